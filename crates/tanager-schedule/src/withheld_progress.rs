//! Jobs whose progress the store rejects.
//!
//! Such a job goes on: its tasks start and end. Its ends are acknowledged once a mark that names the job
//! is stored elsewhere, because from then on no later owner starts its tasks: a job whose mark says
//! that it is open ends as failed after a takeover, since its progress is lost with its owner. The mark
//! also stores the end of the job.

use std::collections::BTreeMap;

use tanager_jobs::JobId;
use tanager_jobs::JobState;

/// Jobs whose progress is withheld from transactions, with the state in their stored mark if there is
/// one.
#[derive(Clone, Debug, Default)]
pub struct WithheldProgress {
    marks: BTreeMap<JobId, Option<JobState>>,
}

impl WithheldProgress {
    /// Withholds the progress of a job.
    pub fn insert(&mut self, id: JobId) {
        self.marks.entry(id).or_default();
    }

    /// Records the state in the stored mark of a job; returns false if its progress is not withheld.
    pub fn record_mark(&mut self, id: JobId, state: JobState) -> bool {
        let mark = self.marks.get_mut(&id);
        mark.map(|mark| *mark = Some(state)).is_some()
    }

    /// Returns whether the progress of a job is withheld.
    pub fn contains(&self, id: JobId) -> bool {
        self.marks.contains_key(&id)
    }

    /// Returns whether a mark of the job is stored.
    pub fn is_marked(&self, id: JobId) -> bool {
        self.marks.get(&id).is_some_and(Option::is_some)
    }

    /// Returns the jobs.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.marks.keys().copied()
    }

    /// Ends the withholding of a job, because its progress is stored.
    pub fn remove(&mut self, id: JobId) {
        self.marks.remove(&id);
    }
}

/// Returns the state of a job after a takeover whose mark has the state `mark`.
pub fn state_of_mark(mark: JobState) -> JobState {
    match mark {
        JobState::Open => JobState::Failed,
        state => state,
    }
}
