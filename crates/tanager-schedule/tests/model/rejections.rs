//! A store that rejects the progress of some jobs, and what owners keep of it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::withheld_progress::progress_of_marked_job;

use super::world::World;

/// Time after the first rejection from which an owner marks a job.
const MARK_DELAY: Duration = Duration::from_secs(1);

/// Marks of jobs, as the ledger row of a cell has them.
pub(crate) type Marks = BTreeMap<JobId, JobState>;

/// Rejections that an owner knows of, with their times.
pub(crate) type Rejections = BTreeMap<JobId, Duration>;

impl World {
    /// Chooses at random whether the store rejects the progress of a new job.
    pub(crate) fn choose_rejected(&mut self, id: JobId) {
        let share = self.plan.rejected;
        if share > 0.0 && self.chance(share) {
            self.rejected.insert(id);
        }
    }

    /// Returns the jobs whose progress the store rejects now.
    pub(crate) fn rejected_now(&self) -> BTreeSet<JobId> {
        match self.now < self.faults_until {
            true => self.rejected.clone(),
            false => BTreeSet::new(),
        }
    }

    /// Returns the stored progress of a job as the next owner of a cell loads it.
    pub(crate) fn loaded_progress(
        &mut self,
        record: &JobRecord,
        progress: &ProgressRecord,
        mark: Option<JobState>,
    ) -> ProgressRecord {
        let Some(mark) = mark else {
            return progress.clone();
        };
        let (spec, wall_ms) = (Some(&record.spec), self.wall_ms());
        let progress = progress_of_marked_job(spec, progress.clone(), mark, wall_ms);
        if mark == JobState::Open && progress.state == JobState::Failed {
            self.failed_by_mark.insert(record.id);
        }
        progress
    }

    /// Applies the rejection of a transaction with these jobs; returns whether it was rejected. The
    /// search for the rejected row is not a part of the model.
    pub(crate) fn reject_transaction(&mut self, number: usize, jobs: &[DirtyJob]) -> bool {
        let rejected = self.rejected_now();
        let Some(id) = (jobs.iter().map(|job| job.id)).find(|id| rejected.contains(id)) else {
            return false;
        };
        self.trace(|| format!("owner {number} progress of {id} is rejected"));
        let now = self.now;
        let owner = &mut self.owners[number];
        owner.core.restore_dirty(jobs);
        owner.core.withhold_progress(id);
        owner.rejections.insert(id, now);
        true
    }

    /// Returns the marks of the next transaction of an owner.
    pub(crate) fn next_marks(&self, number: usize, jobs: &[DirtyJob]) -> Marks {
        let owner = &self.owners[number];
        let stored = &self.cells[owner.cell].marks;
        let mut marks = owner.core.withheld_states();
        marks.retain(|id, _| {
            let rejected_at = owner.rejections.get(id);
            let is_due = rejected_at.is_some_and(|at| self.now.saturating_sub(*at) >= MARK_DELAY);
            (stored.contains_key(id) || is_due) && !jobs.iter().any(|job| job.id == *id)
        });
        marks
    }
}
