//! Opens the occurrences of jobs: those that are due, as far as the window allows, and those of which a worker
//! reports a run.

use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::TaskKey;

use crate::core::CellCore;
use crate::job::OccurrenceEntry;
use crate::occurrence_window::OpenOccurrences;

/// Largest difference between the times of day of two owners, in milliseconds. A report about an occurrence that
/// is due later is an error of the worker.
const MAX_CLOCK_DIFFERENCE_MS: u64 = 10_000;

impl CellCore {
    /// Opens the occurrences of a job that are due, as far as the window allows.
    pub(crate) fn open_due_occurrences(&mut self, id: JobId, now: Duration, wall_ms: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.is_ended() {
            self.scheduled_jobs.remove(&id);
            return;
        }
        let due = job.record.spec.due_occurrences(wall_ms);
        let mut number = job.next_unopened();
        let mut window = OpenOccurrences {
            count: job.occurrences.len(),
            waiting_tasks: job.waiting_tasks(),
            first_missing: job.done.first_missing(),
        };
        let size = job.cost.occurrence;
        while number < due && window.may_open(number) && self.memory.may_open(size, window.count) {
            window.count += 1;
            window.waiting_tasks += self.open_occurrence(id, number, now, wall_ms);
            let Some(job) = self.jobs.get_mut(&id) else {
                return;
            };
            job.next_occurrence = number + 1;
            number = job.next_unopened();
        }
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if number >= job.record.spec.occurrences() {
            self.scheduled_jobs.remove(&id);
        }
    }

    /// Opens an occurrence; returns the number of its tasks that wait to be placed. Tasks of an occurrence that a
    /// former owner may have opened are treated like those of a job that was just loaded.
    fn open_occurrence(&mut self, id: JobId, number: u32, now: Duration, wall_ms: u64) -> usize {
        let Some(job) = self.jobs.get_mut(&id) else {
            return 0;
        };
        job.open_occurrence(number, now, wall_ms);
        self.update_charge(id);
        let Some(job) = self.jobs.get_mut(&id) else {
            return 0;
        };
        if number < job.formerly_due {
            let suspects = job.mark_unaccounted(number);
            self.crashes.suspects.extend(suspects);
            if !self.recovering {
                self.release_unaccounted(id);
            }
        }
        self.add_ready_steps_of(id, number);
        (self.jobs.get(&id))
            .and_then(|job| job.occurrences.get(&number))
            .map_or(0, OccurrenceEntry::waiting_tasks)
    }

    /// Opens the occurrence of a task that a worker reports: a former owner started the task, and this one holds the
    /// occurrence back, or its clock is behind.
    pub(crate) fn open_reported_occurrence(&mut self, task: TaskKey, now: Duration, wall_ms: u64) {
        let (id, number) = (task.job, task.occurrence);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.is_ended() || job.done.contains(number) || job.occurrences.contains_key(&number) {
            return;
        }
        let spec = &job.record.spec;
        let is_plausible = number < spec.occurrences()
            && (spec.due_ms(number))
                .is_none_or(|due_ms| due_ms <= wall_ms.saturating_add(MAX_CLOCK_DIFFERENCE_MS));
        if !is_plausible {
            return;
        }
        // Other workers may run further tasks of it.
        job.formerly_due = job.formerly_due.max(number + 1);
        self.open_occurrence(id, number, now, wall_ms);
    }
}
