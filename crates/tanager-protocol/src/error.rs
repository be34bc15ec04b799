//! The error type of the project: every error names the step and the peer at which it occurred.

use std::fmt;

use thiserror::Error;

/// Result of an operation of the project.
pub type TanagerResult<T> = Result<T, TanagerError>;

/// Kind of a failure, which decides how a caller of the failed operation may react.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ErrorKind {
    /// The request did not leave this process.
    NotSent,
    /// The request may have taken effect.
    Unknown,
    /// The time limit passed; the request may have taken effect.
    Timeout,
    /// The peer refused the request; it had no effect.
    Refused,
    /// A condition on a version failed; the request had no effect.
    Conflict,
    /// The input is invalid.
    Invalid,
    /// The object does not exist.
    NotFound,
    /// The caller may not do this.
    Forbidden,
    /// The service is not ready to do this.
    NotReady,
    /// A defect or failure in this process.
    Internal,
}

impl ErrorKind {
    /// Stable name used in the administration API and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Unknown => "unknown",
            Self::Timeout => "timeout",
            Self::Refused => "refused",
            Self::Conflict => "conflict",
            Self::Invalid => "invalid",
            Self::NotFound => "not_found",
            Self::Forbidden => "forbidden",
            Self::NotReady => "not_ready",
            Self::Internal => "internal",
        }
    }
}

/// An error with the step and the peer at which it occurred.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub struct TanagerError {
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// Step that failed, such as `connect` or `commit`.
    pub step: &'static str,
    /// Peer of the step: an address, file or name; empty when there is none.
    pub peer: String,
    /// Explanation.
    pub message: String,
}

impl TanagerError {
    /// Creates an error.
    pub fn new(
        kind: ErrorKind,
        step: &'static str,
        peer: impl Into<String>,
        message: impl fmt::Display,
    ) -> Self {
        Self {
            kind,
            step,
            peer: peer.into(),
            message: message.to_string(),
        }
    }
}

impl fmt::Display for TanagerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.peer.is_empty() {
            write!(formatter, "{}: {}", self.step, self.message)
        } else {
            write!(formatter, "{} {}: {}", self.step, self.peer, self.message)
        }
    }
}
