//! One delegated job: what is known about it, and what follows from the responses of its sibling.

use std::time::Duration;

use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;

/// Interval, as a share of the retention, between questions whether the sibling still has a job.
pub(crate) const CHECK_SHARE: u32 = 8;

/// A request about a delegated job to the owner of the sibling.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelegationCall {
    /// Submit the job.
    Submit,
    /// Make certain that the sibling never runs the job, unless it has stored it.
    Withdraw,
    /// Cancel the job.
    Cancel,
    /// Find out whether the sibling still has the job.
    Check,
}

/// A request to send.
#[derive(Clone, Debug, PartialEq)]
pub struct DelegationRequest {
    /// The delegation.
    pub record: DelegationRecord,
    /// What to ask of `record.delegated_to`.
    pub call: DelegationCall,
}

/// Response of the sibling's owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelegationResponse {
    /// The sibling has stored the job.
    Stored,
    /// The sibling did not store the job by this attempt.
    Refused,
    /// It is not known whether the request took effect.
    Uncertain,
    /// The sibling does not have the job. In response to a withdrawal or a cancellation: and will
    /// never run it.
    Unknown,
    /// The sibling has a cancellation of the job and will not run it.
    Cancelled,
    /// The delegation is so old that the sibling may have run the job and removed it.
    Expired,
}

/// What is known about a delegated job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelegationPhase {
    /// The row is being stored. The sibling was not asked yet.
    Storing,
    /// The row is stored, and the outcome of the submission is not known. `is_in_doubt` is set if an
    /// earlier attempt, possibly of a former owner, may still reach the sibling.
    Open {
        /// See above.
        is_in_doubt: bool,
    },
    /// The sibling refused the job, and an earlier attempt may still reach it.
    Withdrawing,
    /// The sibling will never run the job. `may_refuse` is set if no client can have been told
    /// otherwise, so that the first cell may refuse the job as well.
    Returned {
        /// See above.
        may_refuse: bool,
    },
    /// The first cell is storing the job as its own.
    TakingBack {
        /// As in `Returned`.
        may_refuse: bool,
    },
    /// The job is refused, and the row is being removed.
    Removing,
    /// The sibling has stored the job.
    Accepted,
    /// The sibling has removed the job, and the row is being removed.
    Expired,
}

/// Answer to a client that submits a delegated job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DelegationAnswer {
    /// The sibling has stored the job.
    Accepted,
    /// The job was cancelled before the sibling stored it.
    Cancelled,
}

/// A change of a delegation's rows in a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct DelegationChange {
    /// The job.
    pub id: JobId,
    /// Row to write in the place of the job's row.
    pub record: Option<DelegationRecord>,
    /// Whether the job's row is removed.
    pub is_removed: bool,
    /// Progress row to write: the cancellation. If there is none and `is_removed` is set, that row
    /// is removed as well.
    pub progress: Option<ProgressRecord>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Cancellation {
    pub(crate) cancelled_ms: u64,
    pub(crate) is_stored: bool,
    /// Whether the sibling has stored it as well.
    pub(crate) is_confirmed: bool,
}

#[derive(Debug)]
pub(crate) struct DelegationEntry {
    pub(crate) record: DelegationRecord,
    pub(crate) phase: DelegationPhase,
    pub(crate) cancellation: Option<Cancellation>,
    /// Whether the sibling said that it has the job.
    pub(crate) is_known_at_sibling: bool,
    /// Whether the sibling did not have the job when it was last asked for that.
    pub(crate) is_missing_at_sibling: bool,
    pub(crate) is_call_in_flight: bool,
    /// Time of the next request, or of the next attempt to take the job back.
    pub(crate) next_call_at: Duration,
    /// Time from which the sibling is asked whether it still has the job, in ms since 1970.
    pub(crate) check_at_ms: u64,
}

impl DelegationEntry {
    pub(crate) fn new(record: DelegationRecord, phase: DelegationPhase, retention_ms: u64) -> Self {
        let pause = retention_ms.saturating_add(retention_ms / u64::from(CHECK_SHARE));
        Self {
            check_at_ms: record.job.accepted_ms.saturating_add(pause),
            record,
            phase,
            cancellation: None,
            is_known_at_sibling: false,
            is_missing_at_sibling: false,
            is_call_in_flight: false,
            next_call_at: Duration::ZERO,
        }
    }

    pub(crate) fn next_call(&self, wall_ms: u64) -> Option<DelegationCall> {
        let is_at_sibling = matches!(
            self.phase,
            DelegationPhase::Open { .. } | DelegationPhase::Withdrawing | DelegationPhase::Accepted
        );
        if !is_at_sibling {
            return None;
        }
        match self.cancellation {
            // The cancellation must be stored here first, or the next owner would not know of it.
            Some(cancellation) if !cancellation.is_stored => return None,
            Some(cancellation) if !cancellation.is_confirmed => {
                return Some(DelegationCall::Cancel);
            }
            _ => {}
        }
        match self.phase {
            DelegationPhase::Open { .. } => Some(DelegationCall::Submit),
            DelegationPhase::Withdrawing => Some(DelegationCall::Withdraw),
            _ => (wall_ms >= self.check_at_ms).then_some(DelegationCall::Check),
        }
    }

    pub(crate) fn apply_submission(&mut self, response: DelegationResponse) {
        let DelegationPhase::Open { is_in_doubt } = self.phase else {
            return;
        };
        self.phase = match response {
            DelegationResponse::Stored | DelegationResponse::Expired => DelegationPhase::Accepted,
            // No attempt can reach the sibling any more.
            DelegationResponse::Refused if !is_in_doubt => {
                DelegationPhase::Returned { may_refuse: true }
            }
            // Without a cancellation of the client, this one is from an earlier withdrawal, whose
            // retention must start anew.
            DelegationResponse::Refused | DelegationResponse::Cancelled => {
                DelegationPhase::Withdrawing
            }
            DelegationResponse::Uncertain | DelegationResponse::Unknown => {
                DelegationPhase::Open { is_in_doubt: true }
            }
        };
    }

    pub(crate) fn change(&self) -> DelegationChange {
        let is_removed = matches!(
            self.phase,
            DelegationPhase::Removing | DelegationPhase::Expired
        );
        let has_cancellation = self.phase != DelegationPhase::Expired;
        let progress =
            (self.cancellation.filter(|_| has_cancellation)).map(|cancellation| ProgressRecord {
                state: JobState::Cancelled,
                ended_ms: cancellation.cancelled_ms,
                ..ProgressRecord::default()
            });
        DelegationChange {
            id: self.record.job.id,
            record: (self.phase == DelegationPhase::Storing).then(|| self.record.clone()),
            is_removed,
            progress,
        }
    }
}
