//! Properties of a caller's request that determine how it is handled.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolId;
use crate::ids::TeamId;

/// Urgency of a request.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Starts within 9.9 s or is refused.
    Urgent,
    /// Priority of a request that names none.
    #[default]
    Normal,
    /// Work that may wait longest.
    Batch,
}

impl RequestPriority {
    /// All priorities, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Batch];

    /// Parses the value of the `Tanager-Priority` header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "normal" => Some(Self::Normal),
            "batch" => Some(Self::Batch),
            _ => None,
        }
    }

    /// Returns the value used in the `Tanager-Priority` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Batch => "batch",
        }
    }
}

/// Properties of a request that the dispatcher uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSummary {
    /// Pool that serves the request.
    pub pool: PoolId,
    /// Team that sent the request; empty when the caller named none.
    pub team: TeamId,
    /// Urgency of the request.
    pub priority: RequestPriority,
    /// Time left for the whole request.
    pub timeout: Duration,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Whether a claim must be written before the request is sent.
    pub needs_claim: bool,
    /// Declared number of slots that the request occupies, at least 1.
    pub slots: u32,
}

/// Returns whether an HTTP method is idempotent by its definition (RFC 9110, section 9.2.2).
pub fn is_idempotent_method(method: &str) -> bool {
    matches!(
        method,
        "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS" | "TRACE"
    )
}
