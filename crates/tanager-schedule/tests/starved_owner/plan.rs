//! What happens in a run.

use std::time::Duration;

/// What happens in a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Processor time of the owner per second; infinite if its duties take no time.
    pub(crate) share: f64,
    /// Begin and end of the flood.
    pub(crate) flood: (Duration, Duration),
    /// Times at which all nodes are killed.
    pub(crate) kills: Vec<Duration>,
    /// Time at which callers begin to cancel, and the number of cancellations in a second.
    pub(crate) cancels: Option<(Duration, usize)>,
    /// Jobs that are there from the beginning; each that ends is replaced, and none are asked for.
    pub(crate) held_jobs: Option<HeldJobs>,
    pub(crate) end: Duration,
}

/// A constant number of open jobs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldJobs {
    pub(crate) count: usize,
    /// Whether they all belong to one workspace, which then is at its cap.
    pub(crate) is_one_workspace: bool,
}
