//! Cancellation of jobs, also of those that are not accepted yet.
//!
//! A client may cancel a job while its acceptance is being stored, or while its submission is on the
//! way through another node. Such a cancellation is stored by itself, and a job that arrives later
//! is cancelled from the start.

use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;

use crate::core::CellCore;
use crate::job::JobEntry;

/// Maximum number of early cancellations; they take a row each and are kept as long as ended jobs.
const MAX_EARLY_CANCELLATIONS: usize = 10_000;

/// Cancellation of a job that the cell does not have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlyCancellation {
    /// Time of the cancellation, in milliseconds since 1970.
    pub(crate) cancelled_ms: u64,
    pub(crate) is_stored: bool,
}

/// Result of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelResult {
    /// The job is cancelled, now or by an earlier call, but that is not stored yet. Acknowledge
    /// once it is stored.
    Pending,
    /// The job had already ended, and that is stored.
    Ended,
    /// The job is unknown; it will not run if it is accepted later. Acknowledge once that is stored.
    Unknown,
    /// The job is unknown, and there are too many early cancellations to add another one.
    Refused,
}

impl CellCore {
    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId, now: Duration, wall_ms: u64) -> CancelResult {
        if self.delegations.cancel(id, wall_ms) {
            return CancelResult::Pending;
        }
        let Some(job) = self.jobs.get(&id) else {
            return self.cancel_early(id, wall_ms);
        };
        if job.is_ended() {
            return match job.stored_state == job.state {
                true => CancelResult::Ended,
                false => CancelResult::Pending,
            };
        }
        self.end_job(id, JobState::Cancelled, now, wall_ms);
        CancelResult::Pending
    }

    pub(crate) fn cancel_early(&mut self, id: JobId, wall_ms: u64) -> CancelResult {
        if self.is_cancelled_early(id) {
            return CancelResult::Unknown;
        }
        if self.early_cancellations.len() >= MAX_EARLY_CANCELLATIONS {
            return CancelResult::Refused;
        }
        self.insert_early_cancellation(id, wall_ms, false);
        self.mark_dirty(id);
        CancelResult::Unknown
    }

    pub(crate) fn insert_early_cancellation(
        &mut self,
        id: JobId,
        cancelled_ms: u64,
        is_stored: bool,
    ) {
        let cancellation = EarlyCancellation {
            cancelled_ms,
            is_stored,
        };
        self.early_cancellations.insert(id, cancellation);
        self.ended.insert((cancelled_ms, id));
    }

    /// Loads the stored progress of a job that was never accepted.
    pub fn load_early_cancellation(&mut self, id: JobId, progress: &ProgressRecord) {
        if progress.state == JobState::Cancelled && !self.jobs.contains_key(&id) {
            self.insert_early_cancellation(id, progress.ended_ms, true);
        }
    }

    /// Returns whether a job that the cell does not have was cancelled.
    pub fn is_cancelled_early(&self, id: JobId) -> bool {
        self.early_cancellations.contains_key(&id)
    }

    /// Ends a job that was cancelled before it was accepted.
    pub(crate) fn apply_early_cancellation(&mut self, id: JobId, job: &mut JobEntry) {
        let Some(cancellation) = self.early_cancellations.remove(&id) else {
            return;
        };
        job.state = JobState::Cancelled;
        job.ended_ms = cancellation.cancelled_ms;
        if cancellation.is_stored {
            job.stored_state = JobState::Cancelled;
        }
    }
}
