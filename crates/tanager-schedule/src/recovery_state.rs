//! What a takeover still waits for, for the log.

use std::time::Duration;

use tanager_jobs::ids::WorkerId;

use crate::core::CellCore;
use crate::job::TaskPhase;

/// What a takeover waits for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecoveryState {
    /// Workers of the former owner that have not reported, with the time until their leases have
    /// expired for certain; the next one first.
    pub workers: Vec<(WorkerId, Duration)>,
    /// Number of tasks that do not start until then.
    pub unlisted_tasks: usize,
}

impl CellCore {
    /// Returns what the takeover of the cell waits for; `None` once it has ended. Visits all tasks of
    /// the open jobs.
    pub fn recovery_state(&self, now: Duration) -> Option<RecoveryState> {
        if !self.recovering && self.unconfirmed_workers.is_empty() {
            return None;
        }
        let mut workers: Vec<(WorkerId, Duration)> = (self.unconfirmed_workers.iter())
            .map(|(worker, end)| (worker.clone(), end.saturating_sub(now)))
            .collect();
        workers.sort_by(|left, right| (left.1, &left.0).cmp(&(right.1, &right.0)));
        let unlisted_tasks = (self.open_jobs.iter())
            .filter_map(|id| self.jobs.get(id))
            .flat_map(|job| job.occurrences.values())
            .flat_map(|occurrence| &occurrence.steps)
            .flat_map(|step| &step.tasks)
            .filter(|task| task.phase == TaskPhase::Unaccounted)
            .count();
        Some(RecoveryState {
            workers,
            unlisted_tasks,
        })
    }
}
