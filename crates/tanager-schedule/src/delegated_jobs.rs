//! Delegation as part of a cell's state: jobs that it delegates, takes back or gets from a sibling.

use std::time::Duration;

use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;

use crate::cancellation::CancelResult;
use crate::core::CellCore;
use crate::delegation::JobDemand;
use crate::delegation_table::DelegationChange;
use crate::delegation_table::is_expired;
use crate::job::JobEntry;

/// What a cell knows of a job that a sibling delegates to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelegatedJob {
    /// The job is not known and may be accepted.
    New,
    /// The job is stored.
    Known,
    /// The job was cancelled or withdrawn, and will not run.
    Cancelled,
    /// The job may have been run and removed.
    Expired,
}

/// Result of a withdrawal at the sibling.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Withdrawal {
    /// The sibling has the job.
    Known,
    /// The job will not run. Acknowledge once that is stored.
    Pending,
    /// The job may have been run and removed.
    Expired,
    /// There are too many cancellations of unknown jobs to add another one.
    Refused,
}

impl CellCore {
    /// Returns what a job asks of a cell.
    pub fn job_demand(&self, job: &JobRecord) -> JobDemand {
        let (workspace, spec) = (job.workspace.as_deref(), &job.spec);
        JobDemand {
            work: self.expected_demand(workspace, &job.queue, spec).1,
            is_scheduled_apart: spec.is_long_running() || spec.repetitions > 0,
            draw: job.id.0,
        }
    }

    /// Adds the delegation of a job; returns false if the id is known already.
    pub fn delegate(&mut self, record: DelegationRecord) -> bool {
        let id = record.job.id;
        if self.record(id).is_some() || self.is_cancelled_early(id) {
            return false;
        }
        self.delegations.add(record);
        true
    }

    /// Loads a stored delegation.
    pub fn load_delegation(
        &mut self,
        record: DelegationRecord,
        progress: &ProgressRecord,
        wall_ms: u64,
    ) {
        self.delegations.load(record, progress, wall_ms);
    }

    /// Marks changes of delegations as stored.
    pub fn mark_delegations_stored(&mut self, changes: &[DelegationChange]) {
        for change in changes {
            if let Some((cancelled_ms, is_stored)) = self.delegations.mark_stored(change) {
                self.insert_early_cancellation(change.id, cancelled_ms, is_stored);
                if !is_stored {
                    self.mark_dirty(change.id);
                }
            }
        }
    }

    /// Marks changes of delegations as unsaved again. With `drops_new`, delegations whose first row
    /// was not stored are dropped; their cancellations are kept.
    pub fn restore_delegations(&mut self, changes: &[DelegationChange], drops_new: bool) {
        for (id, cancelled_ms) in self.delegations.restore_changes(changes, drops_new) {
            self.cancel_early(id, cancelled_ms);
        }
    }

    /// Drops a delegation whose first row the store rejects, because its client is refused.
    pub fn drop_new_delegation(&mut self, id: JobId) {
        if let Some(cancelled_ms) = self.delegations.drop_new(id) {
            self.cancel_early(id, cancelled_ms);
        }
    }

    /// Ends the delegation of a job that this cell stored as its own. Its cancellation holds.
    pub(crate) fn end_delegation(&mut self, id: JobId, job: &mut JobEntry) {
        let Some((cancelled_ms, is_stored)) = self.delegations.remove(id) else {
            return;
        };
        job.state = JobState::Cancelled;
        job.ended_ms = cancelled_ms;
        match is_stored {
            true => job.stored_state = JobState::Cancelled,
            false => self.mark_dirty(id),
        }
    }

    /// Returns what this cell knows of a job that a sibling delegates to it.
    pub fn receive_delegated(&self, job: &JobRecord, wall_ms: u64) -> DelegatedJob {
        if self.is_never_run(job.id) || self.is_cancelled_early(job.id) {
            return DelegatedJob::Cancelled;
        }
        if self.jobs.contains_key(&job.id) {
            return DelegatedJob::Known;
        }
        match is_expired(job.accepted_ms, self.retention_ms(), wall_ms) {
            true => DelegatedJob::Expired,
            false => DelegatedJob::New,
        }
    }

    /// Makes certain that this cell never runs a job of a sibling, unless it has the job. A
    /// withdrawal is retained from its last repetition on, so that it outlasts all attempts that
    /// were sent before. `accepted_ms` is the time at which the first cell accepted the job, in ms
    /// since 1970.
    pub fn withdraw(
        &mut self,
        id: JobId,
        accepted_ms: u64,
        now: Duration,
        wall_ms: u64,
    ) -> Withdrawal {
        if self.is_never_run(id)
            && let Some(job) = self.jobs.get_mut(&id)
        {
            self.ended.remove(&(job.ended_ms, id));
            job.ended_ms = wall_ms;
            job.stored_state = JobState::Open;
            self.ended.insert((wall_ms, id));
            self.mark_dirty(id);
            return Withdrawal::Pending;
        }
        if self.jobs.contains_key(&id) {
            return Withdrawal::Known;
        }
        if let Some(earlier) = self.early_cancellations.remove(&id) {
            self.ended.remove(&(earlier.cancelled_ms, id));
            self.insert_early_cancellation(id, wall_ms, false);
            self.mark_dirty(id);
            return Withdrawal::Pending;
        }
        if is_expired(accepted_ms, self.retention_ms(), wall_ms) {
            return Withdrawal::Expired;
        }
        match self.cancel(id, now, wall_ms) {
            CancelResult::Refused => Withdrawal::Refused,
            _ => Withdrawal::Pending,
        }
    }

    /// Returns whether a job was cancelled before a task of it could start.
    fn is_never_run(&self, id: JobId) -> bool {
        (self.jobs.get(&id)).is_some_and(|job| job.state == JobState::Cancelled && !job.started)
    }

    fn retention_ms(&self) -> u64 {
        u64::try_from(self.settings.retention.as_millis()).unwrap_or(u64::MAX)
    }
}
