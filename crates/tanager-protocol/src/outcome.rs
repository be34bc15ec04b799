//! Outcomes of a request and their HTTP representation.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Header that names the outcome in every response to a caller.
pub const OUTCOME_HEADER: &str = "tanager-outcome";
/// Header that carries the id of a request to the endpoint and back.
pub const REQUEST_ID_HEADER: &str = "tanager-request-id";
/// Header that names the reason of an outcome other than `Answered`.
pub const REASON_HEADER: &str = "tanager-reason";

/// Outcome of a request.
///
/// A request that may have run is never reported as [`Self::NotRun`] (rule R4).
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The endpoint's complete response.
    Answered(EndpointResponse),
    /// No byte of the request reached an endpoint on any attempt.
    NotRun(NotRunOutcome),
    /// The request may have run.
    Unknown(UnknownOutcome),
}

/// Complete response of an endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers, in order.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Whole body.
    pub body: Vec<u8>,
}

/// A request that was not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NotRunOutcome {
    /// Why the request was not run.
    pub reason: NotRunReason,
    /// Explanation for the caller.
    pub message: String,
    /// When a retry may succeed; `None` when it cannot.
    pub retry_after: Option<Duration>,
}

/// A request that may have run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnknownOutcome {
    /// Why the outcome is unknown.
    pub reason: UnknownReason,
    /// Explanation for the caller.
    pub message: String,
    /// When to retry; `None` when a retry is not safe.
    pub retry_after: Option<Duration>,
}

/// Reasons for which a request is not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The request is malformed.
    BadRequest,
    /// No such pool.
    UnknownPool,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The team exceeds its quota.
    QuotaExceeded,
    /// The estimated wait exceeds the limit of the queue.
    QueueFull,
    /// The request reached the time limit of its queue or its deadline before it was sent.
    QueueTimeout,
    /// No worker of the pool is available.
    NoWorker,
    /// The request exceeds the capacity of every worker of the pool.
    TooLarge,
    /// The node cannot reach a service that it needs to serve requests.
    NotReady,
    /// The caller cancelled the request.
    Cancelled,
}

impl NotRunReason {
    /// HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest | Self::TooLarge => 400,
            Self::UnknownPool => 404,
            Self::BodyTooLarge => 413,
            Self::QuotaExceeded => 429,
            Self::QueueFull
            | Self::QueueTimeout
            | Self::NoWorker
            | Self::NotReady
            | Self::Cancelled => 503,
        }
    }

    /// Stable name used in headers, metrics and the peer protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::UnknownPool => "unknown_pool",
            Self::BodyTooLarge => "body_too_large",
            Self::QuotaExceeded => "quota_exceeded",
            Self::QueueFull => "queue_full",
            Self::QueueTimeout => "queue_timeout",
            Self::NoWorker => "no_worker",
            Self::TooLarge => "too_large",
            Self::NotReady => "not_ready",
            Self::Cancelled => "cancelled",
        }
    }

    /// Parses a name written by [`Self::as_str`].
    pub fn parse(text: &str) -> Option<Self> {
        const ALL: [NotRunReason; 10] = [
            NotRunReason::BadRequest,
            NotRunReason::UnknownPool,
            NotRunReason::BodyTooLarge,
            NotRunReason::QuotaExceeded,
            NotRunReason::QueueFull,
            NotRunReason::QueueTimeout,
            NotRunReason::NoWorker,
            NotRunReason::TooLarge,
            NotRunReason::NotReady,
            NotRunReason::Cancelled,
        ];
        ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}

/// Reasons for which an outcome is unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection failed after the request may have been sent.
    ConnectionLost,
    /// The time limit passed after the request may have been sent.
    Timeout,
    /// The response was truncated, delimited only by the close of its connection, or belonged to
    /// another request.
    BadAnswer,
    /// The history of the idempotency key cannot be read or is incomplete.
    KeyHistory,
    /// The home of the pool was lost after the request was forwarded.
    HomeLost,
}

impl UnknownReason {
    /// HTTP status code of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::Timeout => 504,
            Self::ConnectionLost | Self::BadAnswer | Self::KeyHistory | Self::HomeLost => 502,
        }
    }

    /// Stable name used in headers, metrics and the peer protocol.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::Timeout => "timeout",
            Self::BadAnswer => "bad_answer",
            Self::KeyHistory => "key_history",
            Self::HomeLost => "home_lost",
        }
    }

    /// Parses a name written by [`Self::as_str`].
    pub fn parse(text: &str) -> Option<Self> {
        const ALL: [UnknownReason; 5] = [
            UnknownReason::ConnectionLost,
            UnknownReason::Timeout,
            UnknownReason::BadAnswer,
            UnknownReason::KeyHistory,
            UnknownReason::HomeLost,
        ];
        ALL.into_iter().find(|reason| reason.as_str() == text)
    }
}
