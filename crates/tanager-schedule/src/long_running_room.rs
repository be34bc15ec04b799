//! Room that long-running tasks take from the cell, and admission beside them.
//!
//! Load: jobs whose long-running tasks together want more than the cell has. They run until they are cancelled, so what
//! waits for their room waits for good: further ones, and every short job that is accepted after them.

use tanager_jobs::JobSpec;
use tanager_jobs::ResourceAmount;

/// Largest share of a cell's cores that long-running tasks of its jobs may want, in quarters. The rest is for jobs
/// that end.
const MAX_QUARTERS: u64 = 3;

/// Returns what the long-running tasks of a job reserve once all occurrences have started.
pub fn long_running_demand(spec: &JobSpec) -> ResourceAmount {
    let occurrences = u64::from(spec.occurrences());
    let steps = spec.steps.iter().filter(|step| step.long_running);
    steps.fold(ResourceAmount::default(), |sum, step| {
        let count = u64::from(step.count).saturating_mul(occurrences);
        let reserved = step.reserved();
        sum.plus(&ResourceAmount {
            cpu: reserved.cpu.saturating_mul(count),
            memory_mb: reserved.memory_mb.saturating_mul(count),
            gpu: reserved.gpu.saturating_mul(count),
        })
    })
}

/// Returns whether long-running tasks may want this much of a cell with this capacity. Memory and accelerators may all
/// be taken, because workers with many of them may be there for these tasks.
pub fn may_want(demand: &ResourceAmount, capacity: &ResourceAmount) -> bool {
    let cores = (capacity.cpu / 4).saturating_mul(MAX_QUARTERS);
    demand.cpu <= cores && demand.memory_mb <= capacity.memory_mb && demand.gpu <= capacity.gpu
}

/// A worker that could hold a task of a step if it were empty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuitableWorker {
    /// What long-running tasks leave of it.
    pub left: ResourceAmount,
    /// Whether it responds; what one runs that does not is not known.
    pub responds: bool,
}

/// Returns whether long-running tasks take the room of a task on each worker that could hold it. `reserved` is what the
/// task reserves.
pub fn is_taken(
    workers: impl IntoIterator<Item = SuitableWorker>,
    reserved: &ResourceAmount,
) -> bool {
    let mut workers = workers.into_iter().peekable();
    workers.peek().is_some()
        && workers.all(|worker| worker.responds && !worker.left.can_fit(reserved))
}
