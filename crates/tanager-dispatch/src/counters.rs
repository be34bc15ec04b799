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
    /// Attempts with an answer below status 500.
    pub answered: u64,
    /// Attempts with an answer of status 500 or above.
    pub failed: u64,
    /// Attempts of which no byte was sent.
    pub not_sent: u64,
    /// Attempts that may have run without an answer.
    pub unknown: u64,
    /// Attempts after the first.
    pub retried: u64,
    /// Refused: over the quota.
    pub refused_quota: u64,
    /// Refused: estimated wait over the limit.
    pub refused_full: u64,
    /// Refused: queue age or deadline reached.
    pub refused_timeout: u64,
    /// Refused: cancelled before it was sent.
    pub refused_cancelled: u64,
    /// Refused: other reasons.
    pub refused_other: u64,
}
