//! Settings of the state machine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use tanager_protocol::request::RequestPriority;

/// Settings of the state machine. The defaults are those of the design page.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DispatchSettings {
    /// Weights of urgent, normal and batch work.
    pub weights: [u32; 3],
    /// Time between probes of a worker while the budget suffices.
    pub probe_interval: Duration,
    /// Time after which an unreported probe counts as failed.
    pub probe_timeout: Duration,
    /// Limit of all probes of this node, in bytes per second.
    pub probe_bytes_per_second: u32,
    /// Requests for each retry of a request that may have run: 10 allows 10%.
    pub requests_per_retry: u64,
    /// Most attempts of one request. 5 is one more than the workers of a rack, so that a request
    /// that meets a lost rack still reaches a worker outside it.
    pub max_attempts: u32,
    /// Most queued requests of one flow, to bound memory when run times are very short.
    pub max_queued: usize,
    /// Longest time for which a claim that is being written holds a slot. A slow store must not
    /// idle the workers, because requests without a claim are served without the store.
    pub claim_hold: Duration,
    /// Time of the first ejection of a worker; it doubles with each further one.
    pub ejection_base: Duration,
    /// Longest ejection.
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
