//! Counts the memory of the jobs of a cell, and reports what is held back.

use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;

use crate::cell_memory::JobCharge;
use crate::cell_memory::MemoryDecision;
use crate::core::CellCore;
use crate::job::JobEntry;
use crate::memory_cost::JobCost;

impl CellCore {
    /// Sets the memory in bytes that the jobs of the cell may take.
    pub fn set_memory_budget(&mut self, budget: u64) {
        self.memory.set_budget(budget);
    }

    /// Returns the memory in bytes that is reserved for the jobs of the cell, and its budget.
    pub fn memory(&self) -> (u64, u64) {
        self.memory.reserved()
    }

    /// Decides whether the memory allows a job that is otherwise admitted, and reserves it until the job is stored or
    /// given up.
    pub fn reserve_memory(&mut self, record: &JobRecord, now: Duration) -> MemoryDecision {
        self.memory.reserve(record.id, &JobCost::of(record), now)
    }

    /// Ends the reservation of a job that was stored, or will not be.
    pub(crate) fn release_memory(&mut self, id: JobId) {
        self.memory.release(id);
    }

    /// Records what a job takes now.
    pub(crate) fn update_charge(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let before = job.charge;
            job.charge = match job.is_ended() {
                true => JobCharge::of_ended(&job.cost),
                false => JobCharge::of_open(&job.cost, job.occurrences.len()),
            };
            self.memory.replace(before, job.charge);
        }
    }

    /// Records that a job is removed.
    pub(crate) fn remove_charge(&mut self, job: &JobEntry) {
        self.memory.replace(job.charge, JobCharge::default());
    }

    /// Returns the number of due occurrences that are not open, and the job that has most of them.
    pub fn held_back(&self, wall_ms: u64) -> Option<(u64, JobId)> {
        let mut total = 0;
        let mut largest = None;
        for id in &self.scheduled_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let due = job.record.spec.due_occurrences(wall_ms);
            let held_back = due.saturating_sub(job.next_unopened());
            total += u64::from(held_back);
            largest = largest.max((held_back > 0).then_some((held_back, *id)));
        }
        largest.map(|(_, id)| (total, id))
    }
}
