//! Takeover of a cell. Stored jobs are loaded; tasks that may run on a worker of the former owner
//! wait until that worker has reported or its leases have expired for certain.

use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::ProgressRecord;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::WorkerId;

use crate::action::CellEvent;
use crate::core::CellCore;
use crate::job::JobEntry;
use crate::job::TaskPhase;
use crate::settings::MIN_CLOCK_RATE;

/// Time in addition to the longest stop, after which stops ordered by the former owner are visible
/// in the workers' lists.
const STOP_MARGIN: Duration = Duration::from_millis(600);

/// What is known about the former owner of a cell when the cell is acquired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FormerOwner {
    /// It released the cell, or its process has ended. It extends no more leases.
    Inactive,
    /// It shows no sign of life, but may still run and extend leases for a while.
    Unresponsive,
}

/// Returns the longest time on the local clock that a lease lasts on a worker.
fn max_lease_time(lease: Duration) -> Duration {
    lease.mul_f64(1.0 / MIN_CLOCK_RATE)
}

impl CellCore {
    /// Loads a stored job.
    pub fn load_job(
        &mut self,
        record: JobRecord,
        progress: &ProgressRecord,
        now: Duration,
        wall_ms: u64,
    ) {
        let id = record.id;
        // The age is computed from wall clocks, which may differ slightly between VMs.
        let age = Duration::from_millis(wall_ms.saturating_sub(record.accepted_ms));
        let accepted = now.saturating_sub(age);
        let due = record.spec.due_occurrences(wall_ms);
        let mut entry = JobEntry::new(record, accepted);
        entry.restore(progress, due);
        self.recovering = true;
        self.insert_job(id, entry, now, wall_ms);
        self.record_loaded_job(id, wall_ms);
    }

    /// Sets the workers on which the former owner may have runs.
    pub fn await_former_workers(
        &mut self,
        workers: &[WorkerEntry],
        former_owner: FormerOwner,
        now: Duration,
    ) {
        let stale_owner_time = match former_owner {
            FormerOwner::Inactive => Duration::ZERO,
            FormerOwner::Unresponsive => self.settings.stale_owner_limit,
        };
        let lease = max_lease_time(self.settings.lease);
        // Stops ordered by the former owner appear in the lists only once the runs have ended.
        self.caps.usage.expire_bound();
        self.stops_visible_from = now + self.settings.max_stop_time + STOP_MARGIN;
        for entry in workers {
            self.unconfirmed_workers
                .insert(entry.worker.clone(), now + stale_owner_time + lease);
        }
    }

    /// Waits anew for a complete report of a worker that is not accounted for, at most for `lease`.
    pub(crate) fn await_worker_again(&mut self, worker: &WorkerId, lease: Duration, now: Duration) {
        if let Some(end) = self.unconfirmed_workers.get_mut(worker) {
            *end = (*end).max(now + max_lease_time(lease));
        }
    }

    /// Allows unlisted tasks to start again once no worker of the former owner is unconfirmed.
    pub(crate) fn finish_recovery(&mut self, now: Duration) {
        let expired = (self.unconfirmed_workers).extract_if(|_, end| now >= *end);
        (self.unreached_workers).extend(expired.map(|(worker, _)| worker));
        if !self.unconfirmed_workers.is_empty() || !self.recovering {
            return;
        }
        self.recovering = false;
        self.events.push(CellEvent::RecoveryEnded {
            unreached_workers: std::mem::take(&mut self.unreached_workers),
        });
        let open: Vec<_> = self.open_jobs.iter().copied().collect();
        for id in open {
            self.release_unaccounted(id);
        }
    }

    pub(crate) fn release_unaccounted(&mut self, id: tanager_jobs::JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut found = false;
        let mut unlisted = Vec::new();
        for (&number, occurrence) in &mut job.occurrences {
            for (step_number, step) in occurrence.steps.iter_mut().enumerate() {
                for index in 0..step.tasks.len() {
                    if step.tasks[index].phase == TaskPhase::Unaccounted {
                        step.set_phase(index, TaskPhase::Idle);
                        let entry = &mut step.tasks[index];
                        unlisted.extend(entry.unlisted_run().map(|run| {
                            let task = TaskKey {
                                job: id,
                                occurrence: number,
                                step: step_number as u16,
                                index: index as u32,
                            };
                            (task, run)
                        }));
                        // A start by the former owner may not be stored; skip its run number.
                        entry.run += 1;
                        found = true;
                    }
                }
            }
        }
        for (task, run) in unlisted {
            self.record_unlisted_run(task, run);
        }
        if found {
            self.add_ready_steps(id);
            self.placement_needed = true;
        }
    }

    /// Returns whether the takeover still waits for workers.
    pub fn is_recovering(&self) -> bool {
        !self.unconfirmed_workers.is_empty()
    }
}
