//! Counters for the metrics page.

use serde::Deserialize;
use serde::Serialize;

/// Counters of one pool and priority since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchCounters {
    /// Requests submitted.
    pub submitted: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Requests finished after they were sent or claimed.
    pub finished: u64,
    /// Attempts with a response of a status below 500.
    pub answered: u64,
    /// Attempts with a response of a status of 500 or above.
    pub failed: u64,
    /// Attempts that sent no byte.
    pub not_sent: u64,
    /// Attempts that may have run but got no complete response.
    pub unknown: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Refused: over the quota.
    pub refused_quota: u64,
    /// Refused: estimated wait over the limit.
    pub refused_full: u64,
    /// Refused: time limit of the queue or deadline reached.
    pub refused_timeout: u64,
    /// Refused: cancelled before it was sent.
    pub refused_cancelled: u64,
    /// Refused: other reasons.
    pub refused_other: u64,
}
