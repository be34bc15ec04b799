//! Jobs whose progress the store rejects.
//!
//! Such a job goes on: its tasks start and end. Its ends are acknowledged once a mark that names the job
//! is stored elsewhere, because from then on no later owner starts its tasks: a job whose mark says
//! that it is open ends as failed after a takeover, since its progress is lost with its owner. The mark
//! also stores the end of the job.

use std::collections::BTreeMap;

use tanager_jobs::JobId;
use tanager_jobs::JobState;

use crate::core::CellCore;
use crate::persistence::DirtyJob;

/// Jobs whose progress is withheld from transactions, with the state in their stored mark if there is
/// one.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithheldProgress {
    marks: BTreeMap<JobId, Option<JobState>>,
}

impl WithheldProgress {
    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.marks.contains_key(&id)
    }

    /// Returns whether a mark of the job is stored.
    pub(crate) fn is_marked(&self, id: JobId) -> bool {
        self.marks.get(&id).is_some_and(Option::is_some)
    }

    pub(crate) fn remove(&mut self, id: JobId) {
        self.marks.remove(&id);
    }
}

impl CellCore {
    /// Records that the store rejects the progress of a job.
    pub fn withhold_progress(&mut self, id: JobId) {
        self.withheld.marks.entry(id).or_default();
    }

    /// Loads a job that a former owner marked. `load_job` must have loaded it as ended.
    pub fn load_mark(&mut self, id: JobId, state: JobState) {
        self.withheld.marks.insert(id, Some(state));
        // A later attempt to store its end removes the need of the mark.
        self.mark_dirty(id);
    }

    /// Returns the jobs whose progress is withheld, with their states.
    pub fn withheld_states(&self) -> BTreeMap<JobId, JobState> {
        (self.withheld.marks.keys())
            .filter_map(|id| Some((*id, self.progress(*id)?.state)))
            .collect()
    }

    /// Records that marks are stored: the ends of these jobs may be acknowledged, and their states
    /// count as stored.
    pub fn mark_withheld_stored(&mut self, marks: &BTreeMap<JobId, JobState>) {
        for (&id, &state) in marks {
            let Some(mark) = self.withheld.marks.get_mut(&id) else {
                continue;
            };
            *mark = Some(state);
            self.apply_stored_state(id, state);
        }
    }

    /// Returns the state that the stored progress of a job has after a takeover, if a mark names it.
    pub fn state_of_mark(mark: JobState) -> JobState {
        match mark {
            JobState::Open => JobState::Failed,
            state => state,
        }
    }

    pub(crate) fn readmit_stored(&mut self, jobs: &[DirtyJob]) {
        for job in jobs {
            self.withheld.remove(job.id);
        }
    }
}
