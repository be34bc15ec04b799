//! Time limits and queue policies of a cell.

use std::time::Duration;

use tanager_jobs::AdviceCost;
use tanager_jobs::ResourceAmount;

/// Time limits of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CellSettings {
    /// Lease granted by each renewal and each start.
    pub lease: Duration,
    /// Maximum lease that workers grant, regardless of the order.
    pub max_lease: Duration,
    /// Maximum time for which an owner that has lost the cell may continue to extend leases.
    pub stale_owner_limit: Duration,
    /// Maximum time that a stop takes on a worker.
    pub max_stop_time: Duration,
    /// Time for which ended jobs are retained.
    pub retention: Duration,
    /// Whether loads are reported with the demand over a short window, for the forecast.
    pub forecasts_demand: bool,
    /// Whether order and admission follow the plan of `overload`.
    pub plans_overload: bool,
    /// Whether the evidence against workers, as `worker_health` sums it up, limits the runs that are
    /// started there, instead of the number of failures in a row.
    pub weighs_workers: bool,
}

/// Minimum rate of a worker's clock relative to the local clock: worker clocks may be 2% slow, as
/// documented by the platform.
pub const MIN_CLOCK_RATE: f64 = 0.98;

/// Policy of a queue, from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuePolicy {
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// A job's target completion time is this multiple of its critical path plus `target_latency`.
    pub stretch: f64,
    /// Constant part of the target completion time; see `stretch`.
    pub target_latency: Duration,
    /// Cost of the advice that starts require; `None` if they require none.
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

/// Terms of a workspace, from the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkspacePolicy {
    /// Share of the capacity when all of it is in use, relative to other workspaces; also the
    /// number of jobs per second that the workspace is entitled to.
    pub weight: f64,
    /// Resources that the workspace may use at the same time over all cells; 0 means no limit.
    pub cap: ResourceAmount,
}
