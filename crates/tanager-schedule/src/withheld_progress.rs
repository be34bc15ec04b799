//! Jobs whose progress the store rejects.
//!
//! Such a job goes on: its tasks start and end. Its ends are acknowledged once a mark that names the job
//! is stored elsewhere, because from then on no later owner starts its tasks: a job whose mark says
//! that it is open ends as failed after a takeover, since its progress is lost with its owner, unless all
//! its tasks last. The mark also stores the end of the job.

use std::collections::BTreeMap;

use tanager_jobs::JobId;
use tanager_jobs::JobSpec;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;

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

/// Returns the progress with which the next owner loads a job that a mark names. What is `stored` may be
/// older than ends that were acknowledged, so tasks of an open job that may be done must not start again;
/// tasks that last never are, and go on.
pub fn progress_of_marked_job(
    spec: Option<&JobSpec>,
    stored: ProgressRecord,
    mark: JobState,
    wall_ms: u64,
) -> ProgressRecord {
    let lasts = spec.is_some_and(|spec| spec.steps.iter().all(|step| step.long_running));
    let state = match mark {
        JobState::Open if lasts => return stored,
        JobState::Open => JobState::Failed,
        state => state,
    };
    ProgressRecord {
        state,
        ended_ms: wall_ms,
        ..ProgressRecord::default()
    }
}
