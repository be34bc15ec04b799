//! Figures that the decisions of a cell use.

use std::time::Duration;

use tanager_jobs::AdviceCost;

/// Time limits of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellSettings {
    /// Lease granted by each hold and start.
    pub lease: Duration,
    /// Longest lease that workers grant, whatever an order says.
    pub max_lease: Duration,
    /// Longest time for which a deposed owner may have kept on extending leases.
    pub stale_owner_limit: Duration,
    /// Longest time that a stop takes at a worker.
    pub max_stop: Duration,
    /// Time for which ended jobs are kept.
    pub retention: Duration,
}

/// Part of a worker's clock that surely passes in a second of ours: workers' clocks may be 2% slow
/// (the platform's pages).
pub const MIN_CLOCK_RATE: f64 = 0.98;

/// What the configuration says of a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// The objective is this multiple of the longest chain, plus `target_latency`.
    pub stretch: f64,
    /// See `stretch`.
    pub target_latency: Duration,
    /// Advice that starts need, if any.
    pub advice: Option<AdviceCost>,
}

impl Default for QueuePolicy {
    fn default() -> Self {
        Self {
            priority: 1,
            max_attempts: 3,
            stretch: 2.0,
            target_latency: Duration::from_secs(1),
            advice: None,
        }
    }
}
