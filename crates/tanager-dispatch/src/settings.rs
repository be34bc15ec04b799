//! Settings of the state machine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use tanager_protocol::request::RequestPriority;

/// Settings of the state machine. The defaults are those of the design document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DispatchSettings {
    /// Weights of urgent, normal and batch work.
    pub weights: [u32; 3],
    /// Time between probes of a worker while the budget suffices.
    pub probe_interval: Duration,
    /// Time after which a probe without a report counts as failed.
    pub probe_timeout: Duration,
    /// Limit of all probes of this node, in bytes per second.
    pub probe_bytes_per_second: u32,
    /// Number of requests per permitted retry of a request that may have run: 10 limits retries to
    /// 10%.
    pub requests_per_retry: u64,
    /// Maximum number of attempts per request. 5 is one more than the workers of a rack, so that a
    /// request that fails on all workers of a lost rack still reaches another worker.
    pub max_attempts: u32,
    /// Maximum number of queued requests per flow, to bound memory when run times are very short.
    pub max_queued: usize,
    /// Longest time for which a claim that is being written holds a slot. A slow store must not
    /// leave workers idle, because requests without a claim do not need the store.
    pub claim_hold: Duration,
    /// Duration of the first ejection of a worker; it doubles with each further one.
    pub ejection_base: Duration,
    /// Maximum duration of an ejection.
    pub ejection_limit: Duration,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            weights: [8, 4, 1],
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_secs(1),
            probe_bytes_per_second: 4_096,
            requests_per_retry: 10,
            max_attempts: 5,
            max_queued: 20_000,
            claim_hold: Duration::from_millis(250),
            ejection_base: Duration::from_secs(1),
            ejection_limit: Duration::from_secs(60),
        }
    }
}

/// Index of a priority in arrays by priority, most urgent first.
pub(crate) fn class_index(priority: RequestPriority) -> usize {
    match priority {
        RequestPriority::Urgent => 0,
        RequestPriority::Normal => 1,
        RequestPriority::Batch => 2,
    }
}
