//! Room that long-running tasks take from the cell, and admission beside them.
//!
//! Load: jobs whose long-running tasks together want more than the cell has. They run until they are cancelled, so what
//! waits for their room waits for good: further ones, and every short job that is accepted after them.

use std::time::Duration;

use tanager_jobs::JobSpec;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;

use crate::core::CellCore;

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

impl CellCore {
    /// Returns whether a job has long-running tasks which, with those of the open jobs, would want too much of the cell.
    pub(crate) fn wants_too_much_room(&self, spec: &JobSpec) -> bool {
        if !spec.is_long_running() {
            return false;
        }
        let jobs = (self.open_jobs.iter()).filter_map(|id| self.jobs.get(id));
        let accepted = jobs.fold(ResourceAmount::default(), |sum, job| {
            sum.plus(&long_running_demand(&job.record.spec))
        });
        let capacity = (self.workers.values())
            .filter(|worker| !worker.entry.draining)
            .fold(ResourceAmount::default(), |sum, worker| {
                sum.plus(&worker.entry.capacity)
            });
        // Workers may register within a moment.
        capacity != ResourceAmount::default()
            && !may_want(&accepted.plus(&long_running_demand(spec)), &capacity)
    }

    /// Returns whether long-running tasks take the room of a step on each worker that could hold one of its tasks.
    pub(crate) fn is_taken_by_long_running(&self, step: &StepSpec, now: Duration) -> bool {
        let reserved = step.reserved();
        let mut suitable = (self.workers.values())
            .filter(|worker| {
                let is_labelled = (step.requirement.as_ref())
                    .is_none_or(|label| worker.entry.labels.contains(label));
                let can_fit = worker.entry.capacity.can_fit(&reserved);
                is_labelled && can_fit && !worker.entry.draining
            })
            .peekable();
        // What a worker runs that does not respond is not known.
        suitable.peek().is_some()
            && suitable.all(|worker| {
                let left = worker.entry.capacity.minus(&self.long_running_use(worker));
                worker.responded_recently(now) && !left.can_fit(&reserved)
            })
    }
}
