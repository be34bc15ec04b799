//! Takeover of a cell: stored jobs are loaded, and tasks that may run at a worker of the old owner
//! wait until that worker was reached or its leases have surely ended.

use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::ProgressRecord;
use tanager_jobs::WorkerEntry;

use crate::core::CellCore;
use crate::job::JobEntry;
use crate::job::TaskPhase;

/// Time beyond the longest stop after which a stop of the old owner is in the lists.
const STOP_MARGIN: Duration = Duration::from_millis(600);

impl CellCore {
    /// Takes a stored job.
    pub fn load_job(
        &mut self,
        record: JobRecord,
        progress: &ProgressRecord,
        now: Duration,
        wall_ms: u64,
    ) {
        let id = record.id;
        // A job's age is told from the times of day, which may differ between VMs by a little.
        let age = Duration::from_millis(wall_ms.saturating_sub(record.accepted_ms));
        let accepted = now.saturating_sub(age);
        let spec = record.spec.clone();
        let mut entry = JobEntry::new(record, accepted);
        entry.restore(progress, |number| match spec.due_ms(number) {
            None => accepted,
            Some(due) => now.saturating_sub(Duration::from_millis(wall_ms.saturating_sub(due))),
        });
        self.insert_job(id, entry, now, wall_ms);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        for occurrence in job.occurrences.values_mut() {
            // Also in steps that are not open: the old owner may have opened them by ends that are
            // not stored.
            for step in &mut occurrence.steps {
                for index in 0..step.tasks.len() {
                    if step.tasks[index].phase == TaskPhase::Idle {
                        step.set_phase(index, TaskPhase::Unaccounted);
                    }
                }
            }
        }
        self.ready.retain(|step| step.0 != id);
        self.recovering = true;
    }

    /// Names the workers at which the old owner may have runs. `released` tells that the old owner
    /// gave the cell up and extends no leases.
    pub fn await_former_workers(&mut self, workers: &[WorkerEntry], released: bool, now: Duration) {
        let deposed = match released {
            true => Duration::ZERO,
            false => self.settings.stale_owner_limit,
        };
        let lease = self
            .settings
            .lease
            .mul_f64(1.0 / crate::settings::MIN_CLOCK_RATE);
        // Stops that the old owner ordered are not seen in the lists until they have ended.
        self.stops_visible_from = now + self.settings.max_stop + STOP_MARGIN;
        for entry in workers {
            self.unconfirmed_workers
                .insert(entry.worker.clone(), now + deposed + lease);
        }
    }

    /// Lets tasks start again that are in no worker's list, once every worker is accounted for.
    pub(crate) fn finish_recovery(&mut self, now: Duration) {
        self.unconfirmed_workers.retain(|_, end| now < *end);
        if !self.unconfirmed_workers.is_empty() || !self.recovering {
            return;
        }
        self.recovering = false;
        let open: Vec<_> = self.open_jobs.iter().copied().collect();
        for id in open {
            self.release_unaccounted(id);
        }
    }

    fn release_unaccounted(&mut self, id: tanager_jobs::JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut found = false;
        for occurrence in job.occurrences.values_mut() {
            for step in &mut occurrence.steps {
                for index in 0..step.tasks.len() {
                    if step.tasks[index].phase == TaskPhase::Unaccounted {
                        step.set_phase(index, TaskPhase::Idle);
                        // Runs of the old owner are not recorded; leave a gap above them.
                        step.tasks[index].run += 1;
                        found = true;
                    }
                }
            }
        }
        if found {
            self.add_ready_steps(id);
            self.placement_needed = true;
        }
    }

    /// Returns whether a takeover still waits for workers.
    pub fn is_recovering(&self) -> bool {
        !self.unconfirmed_workers.is_empty()
    }
}
