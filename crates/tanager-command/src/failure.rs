//! Failures of a command and their exit codes.

use thiserror::Error;

/// Failure of a command. The exit codes are part of the interface and remain stable.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub(crate) enum Failure {
    /// The server refused the request; nothing changed.
    #[error("refused: {0}")]
    Refused(String),
    /// The arguments, a file or the environment are invalid; nothing changed.
    #[error("{0}")]
    Usage(String),
    /// The checked configuration has warnings, but no error.
    #[error("{0}")]
    Warnings(String),
    /// The logs show faults.
    #[error("{0}")]
    Faults(String),
    /// The checked configuration has errors.
    #[error("{0}")]
    Errors(String),
    /// The input of a check cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// Another change was accepted first; nothing changed.
    #[error("conflict: {0}")]
    Conflict(String),
    /// No request reached a node; nothing changed.
    #[error("no node reachable: {0}")]
    Unreachable(String),
    /// The change may have taken effect, or a wait timed out before its condition was met.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl Failure {
    /// Exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Warnings(_) | Self::Faults(_) => 1,
            Self::Usage(_) | Self::Errors(_) => 2,
            Self::Conflict(_) | Self::Unreadable(_) => 3,
            Self::Unreachable(_) => 4,
            Self::Unknown(_) => 5,
        }
    }
}
