//! Progress that must be stored, acknowledgement of stored ends, and removal of expired jobs.

use std::collections::BTreeMap;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;

use crate::core::CellCore;
use crate::worker::WorkerKey;

/// A job, or an early cancellation, with unsaved progress.
#[derive(Clone, Debug, PartialEq)]
pub struct DirtyJob {
    /// Job.
    pub id: JobId,
    /// Progress.
    pub progress: ProgressRecord,
}

/// Highest end of each worker that is stored once all progress taken with it is stored.
pub type EndWatermarks = Vec<(WorkerKey, u64)>;

impl CellCore {
    /// Marks the progress of a job as unsaved.
    pub(crate) fn mark_dirty(&mut self, id: JobId) {
        self.dirty.insert(id);
    }

    /// Marks the progress of a job, or an early cancellation, as unsaved; returns whether there is any.
    pub fn mark_unsaved(&mut self, id: JobId) -> bool {
        let is_known = self.progress(id).is_some();
        if is_known {
            self.dirty.insert(id);
        }
        is_known
    }

    /// Marks jobs as unsaved again whose progress could not be stored.
    pub fn restore_dirty(&mut self, jobs: &[DirtyJob]) {
        self.dirty.extend(jobs.iter().map(|job| job.id));
    }

    /// Returns whether any job has unsaved progress that is not withheld.
    pub fn has_dirty(&self) -> bool {
        self.delegations.has_changes() || (self.dirty.iter()).any(|id| !self.withheld.contains(*id))
    }

    /// Takes the unsaved progress of at most `limit` jobs, with the highest end of each worker that is
    /// stored along with it.
    pub fn take_dirty(&mut self, limit: usize) -> (Vec<DirtyJob>, EndWatermarks) {
        self.take_dirty_of(limit, |_| true, |_| true)
    }

    /// Like [`Self::take_dirty`], but only of the jobs that `is_selected`. What `is_added` returns false
    /// for remains unsaved, because the transaction does not store all of it.
    pub fn take_dirty_of(
        &mut self,
        limit: usize,
        is_selected: impl Fn(JobId) -> bool,
        mut is_added: impl FnMut(&DirtyJob) -> bool,
    ) -> (Vec<DirtyJob>, EndWatermarks) {
        let ids: Vec<JobId> = (self.dirty.iter().copied())
            .filter(|id| is_selected(*id))
            .take(limit)
            .collect();
        let mut jobs = Vec::with_capacity(ids.len());
        for id in ids {
            let Some(progress) = self.progress(id) else {
                self.dirty.remove(&id);
                continue;
            };
            let job = DirtyJob { id, progress };
            if is_added(&job) {
                self.dirty.remove(&id);
                jobs.push(job);
            }
        }
        let watermarks = self.end_watermarks();
        (jobs, watermarks)
    }

    /// Returns the highest end of each worker that is stored once all progress is stored that was taken.
    fn end_watermarks(&self) -> EndWatermarks {
        let is_unstored = |id| self.dirty.contains(&id) && !self.withheld.is_marked(id);
        (self.workers.iter())
            .filter_map(|(key, worker)| Some((key, worker.unstored_ends.watermark(is_unstored)?)))
            .collect()
    }

    /// Returns whether ends could be acknowledged after a transaction. This can be the case without
    /// unsaved progress, for instance for runs of unknown jobs.
    pub fn has_unstored_ends(&self) -> bool {
        (self.workers.values())
            .filter_map(|worker| worker.unstored_ends.first_job())
            .any(|id| !self.withheld.contains(id) || self.withheld.is_marked(id))
    }

    /// Marks the progress and ends returned by `take_dirty` as stored.
    pub fn mark_stored(&mut self, jobs: &[DirtyJob], watermarks: &EndWatermarks) {
        for dirty in jobs {
            self.apply_stored_state(dirty.id, dirty.progress.state);
        }
        for dirty in jobs {
            self.withheld.remove(dirty.id);
        }
        for &(key, number) in watermarks {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.stored_end = worker.stored_end.max(number);
                worker.unstored_ends.remove_through(number);
            }
        }
    }

    fn apply_stored_state(&mut self, id: JobId, state: JobState) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.stored_state = state;
        } else if let Some(cancellation) = self.early_cancellations.get_mut(&id) {
            cancellation.is_stored = true;
        }
    }

    /// Records that the store rejects the progress of a job.
    pub fn withhold_progress(&mut self, id: JobId) {
        self.withheld.insert(id);
    }

    /// Loads the mark of a job, which was loaded with the progress that follows from it.
    pub fn load_mark(&mut self, id: JobId, state: JobState) {
        self.withheld.insert(id);
        self.withheld.record_mark(id, state);
        // A later attempt to store its end removes the need of the mark.
        self.mark_dirty(id);
    }

    /// Returns the jobs whose progress is withheld, with their states.
    pub fn withheld_states(&self) -> BTreeMap<JobId, JobState> {
        (self.withheld.ids())
            .filter_map(|id| Some((id, self.progress(id)?.state)))
            .collect()
    }

    /// Records that marks are stored: the ends of these jobs may be acknowledged, and their states
    /// count as stored.
    pub fn mark_withheld_stored(&mut self, marks: &BTreeMap<JobId, JobState>) {
        for (&id, &state) in marks {
            if self.withheld.record_mark(id, state) {
                self.apply_stored_state(id, state);
            }
        }
    }

    /// Removes ended jobs whose retention time has passed; returns their ids.
    pub fn remove_expired(&mut self, wall_ms: u64, limit: usize) -> Vec<JobId> {
        let retention = u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX);
        let oldest = wall_ms.saturating_sub(retention);
        let expired: Vec<(u64, JobId)> = (self.ended.iter())
            .take_while(|(ended_ms, _)| *ended_ms < oldest)
            .take(limit)
            .copied()
            .collect();
        let mut ids = Vec::with_capacity(expired.len());
        for key in expired {
            // The stored progress of a withheld job is older than its end.
            if self.is_stored(key.1) && !self.withheld.contains(key.1) {
                self.ended.remove(&key);
                if let Some(job) = self.jobs.remove(&key.1) {
                    self.remove_charge(&job);
                }
                self.early_cancellations.remove(&key.1);
                ids.push(key.1);
            }
        }
        ids
    }

    /// Returns the progress of a job, or its early cancellation, as it would be stored.
    pub fn progress(&self, id: JobId) -> Option<ProgressRecord> {
        if let Some(job) = self.jobs.get(&id) {
            return Some(job.progress());
        }
        let cancellation = self.early_cancellations.get(&id)?;
        Some(ProgressRecord {
            state: JobState::Cancelled,
            ended_ms: cancellation.cancelled_ms,
            ..ProgressRecord::default()
        })
    }

    /// Returns whether the state of a job, or its early cancellation, is stored. The cancellation of a
    /// delegated job must be stored in both cells.
    pub fn is_stored(&self, id: JobId) -> bool {
        match self.jobs.get(&id) {
            Some(job) => job.stored_state == job.state,
            None if self.delegations.record(id).is_some() => {
                self.delegations.is_cancellation_confirmed(id)
            }
            None => (self.early_cancellations.get(&id))
                .is_some_and(|cancellation| cancellation.is_stored),
        }
    }
}
