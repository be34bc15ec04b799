//! Jobs that a cell delegated to a sibling: what is stored about them, what the sibling is asked
//! next, and what follows from its response.
//!
//! A delegated job is never placed in its first cell. It returns there only once the sibling is
//! certain never to run it: because it refused the only attempt, or because it has stored a
//! cancellation of its own (a withdrawal), which refuses late attempts of former owners.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_jobs::ids::CellName;

pub use crate::delegation_entry::DelegationAnswer;
pub use crate::delegation_entry::DelegationCall;
pub use crate::delegation_entry::DelegationChange;
pub use crate::delegation_entry::DelegationPhase;
pub use crate::delegation_entry::DelegationRequest;
pub use crate::delegation_entry::DelegationResponse;

use crate::delegation_entry::CHECK_SHARE;
use crate::delegation_entry::Cancellation;
use crate::delegation_entry::DelegationEntry;

/// Pause before the sibling is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of delegations whose outcome is not known yet; each holds a connection to the
/// sibling's owner at times.
const MAX_UNRESOLVED: usize = 64;

/// The delegated jobs of a cell.
#[derive(Debug)]
pub struct DelegationTable {
    entries: BTreeMap<JobId, DelegationEntry>,
    /// Delegations with unsaved changes.
    dirty: BTreeSet<JobId>,
    retention_ms: u64,
}

/// Cancellation of a job that leaves the table, with whether it is stored.
pub(crate) type LeftCancellation = Option<(u64, bool)>;

impl DelegationTable {
    /// Creates an empty table. `retention` is the time for which cells retain ended jobs.
    pub fn new(retention: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            dirty: BTreeSet::new(),
            retention_ms: u64::try_from(retention.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns whether there are no delegations.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the delegation of a job.
    pub fn record(&self, id: JobId) -> Option<&DelegationRecord> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    /// Returns what is known about a delegated job.
    pub fn phase(&self, id: JobId) -> Option<DelegationPhase> {
        self.entries.get(&id).map(|entry| entry.phase)
    }

    /// Returns the answer to a client that submits a delegated job; `None` as long as there is none,
    /// or if the job is not delegated.
    pub fn answer(&self, id: JobId) -> Option<DelegationAnswer> {
        let entry = self.entries.get(&id)?;
        let is_accepted = entry.phase == DelegationPhase::Accepted;
        match entry.cancellation {
            None => is_accepted.then_some(DelegationAnswer::Accepted),
            Some(cancellation) if !cancellation.is_confirmed => None,
            Some(_) if entry.is_known_at_sibling => Some(DelegationAnswer::Accepted),
            Some(_) => Some(DelegationAnswer::Cancelled),
        }
    }

    /// Returns whether the cancellation of a delegated job is stored in both cells.
    pub fn is_cancellation_confirmed(&self, id: JobId) -> bool {
        (self.entries.get(&id))
            .and_then(|entry| entry.cancellation)
            .is_some_and(|cancellation| cancellation.is_stored && cancellation.is_confirmed)
    }

    /// Returns whether another job may be delegated.
    pub fn has_room(&self) -> bool {
        let is_unresolved = |entry: &&DelegationEntry| entry.phase != DelegationPhase::Accepted;
        self.entries.values().filter(is_unresolved).count() < MAX_UNRESOLVED
    }

    /// Adds a delegation, whose row must be stored. Does nothing if the job is delegated already.
    pub fn add(&mut self, record: DelegationRecord) {
        let id = record.job.id;
        let entry = DelegationEntry::new(record, DelegationPhase::Storing, self.retention_ms);
        self.entries.entry(id).or_insert(entry);
        self.dirty.insert(id);
    }

    /// Loads a stored delegation.
    pub fn load(&mut self, record: DelegationRecord, progress: &ProgressRecord, wall_ms: u64) {
        let is_old = is_expired(record.job.accepted_ms, self.retention_ms, wall_ms);
        // The sibling of an old delegation cannot tell whether it has run the job. It was submitted
        // to it unless the first cell had no owner for all that time, and then no client was told
        // that it is accepted.
        let phase = match is_old {
            true => DelegationPhase::Accepted,
            false => DelegationPhase::Open { is_in_doubt: true },
        };
        let id = record.job.id;
        let mut entry = DelegationEntry::new(record, phase, self.retention_ms);
        if progress.state == JobState::Cancelled {
            entry.cancellation = Some(Cancellation {
                cancelled_ms: progress.ended_ms,
                is_stored: true,
                is_confirmed: false,
            });
        }
        self.entries.insert(id, entry);
    }

    /// Cancels a delegated job; returns whether the job is delegated.
    pub fn cancel(&mut self, id: JobId, wall_ms: u64) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        if entry.cancellation.is_none() {
            entry.cancellation = Some(Cancellation {
                cancelled_ms: wall_ms,
                is_stored: false,
                is_confirmed: false,
            });
            self.dirty.insert(id);
        }
        true
    }

    /// Takes the requests that are due, at most `limit`, oldest job ids first.
    pub fn take_requests(
        &mut self,
        now: Duration,
        wall_ms: u64,
        limit: usize,
    ) -> Vec<DelegationRequest> {
        let mut requests = Vec::new();
        for entry in self.entries.values_mut() {
            if requests.len() >= limit {
                break;
            }
            if entry.is_call_in_flight || now < entry.next_call_at {
                continue;
            }
            if let Some(call) = entry.next_call(wall_ms) {
                entry.is_call_in_flight = true;
                requests.push(DelegationRequest {
                    record: entry.record.clone(),
                    call,
                });
            }
        }
        requests
    }

    /// Applies the response to a request.
    pub fn apply_response(
        &mut self,
        id: JobId,
        call: DelegationCall,
        response: DelegationResponse,
        now: Duration,
        wall_ms: u64,
    ) {
        let retention_ms = self.retention_ms;
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        let phase_before = entry.phase;
        entry.is_call_in_flight = false;
        entry.is_known_at_sibling |= response == DelegationResponse::Stored;
        match call {
            DelegationCall::Submit => entry.apply_submission(response),
            DelegationCall::Withdraw => match response {
                DelegationResponse::Stored | DelegationResponse::Expired => {
                    entry.phase = DelegationPhase::Accepted;
                }
                DelegationResponse::Unknown => {
                    entry.phase = DelegationPhase::Returned { may_refuse: false };
                }
                _ => {}
            },
            DelegationCall::Cancel => {
                let is_confirmed = matches!(
                    response,
                    DelegationResponse::Stored | DelegationResponse::Unknown
                );
                if let Some(cancellation) = entry.cancellation.as_mut().filter(|_| is_confirmed) {
                    cancellation.is_confirmed = true;
                    entry.phase = DelegationPhase::Accepted;
                }
            }
            DelegationCall::Check => match response {
                // The sibling forgets a job shortly before it has removed the row.
                DelegationResponse::Unknown if entry.is_missing_at_sibling => {
                    entry.phase = DelegationPhase::Expired;
                    self.dirty.insert(id);
                }
                _ => {
                    let pause = retention_ms / u64::from(CHECK_SHARE);
                    entry.check_at_ms = wall_ms.saturating_add(pause);
                    entry.is_missing_at_sibling = response == DelegationResponse::Unknown;
                }
            },
        }
        entry.next_call_at = match entry.phase == phase_before {
            true => now + RETRY_PAUSE,
            false => Duration::ZERO,
        };
    }

    /// Takes the jobs that return to the first cell, with whether the cell may refuse them.
    pub fn take_returned(&mut self, now: Duration) -> Vec<(JobRecord, bool)> {
        let mut returned = Vec::new();
        for entry in self.entries.values_mut() {
            if let DelegationPhase::Returned { may_refuse } = entry.phase
                && now >= entry.next_call_at
            {
                entry.phase = DelegationPhase::TakingBack { may_refuse };
                returned.push((entry.record.job.clone(), may_refuse));
            }
        }
        returned
    }

    /// Records that a job that returned could not be stored as the cell's own.
    pub fn retry_return(&mut self, id: JobId, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&id)
            && let DelegationPhase::TakingBack { may_refuse } = entry.phase
        {
            entry.phase = DelegationPhase::Returned { may_refuse };
            entry.next_call_at = now + RETRY_PAUSE;
        }
    }

    /// Refuses a job that returned: its row is removed.
    pub fn refuse_returned(&mut self, id: JobId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && entry.phase == (DelegationPhase::TakingBack { may_refuse: true })
        {
            entry.phase = DelegationPhase::Removing;
            self.dirty.insert(id);
        }
    }

    /// Returns whether changes must be stored.
    pub fn has_changes(&self) -> bool {
        !self.dirty.is_empty()
    }

    /// Takes the changes to store of at most `limit` delegations among those that `is_selected`.
    pub fn take_changes(
        &mut self,
        limit: usize,
        is_selected: impl Fn(JobId) -> bool,
    ) -> Vec<DelegationChange> {
        let ids: Vec<JobId> = (self.dirty.iter().copied())
            .filter(|id| is_selected(*id))
            .take(limit)
            .collect();
        let mut changes = Vec::with_capacity(ids.len());
        for id in ids {
            self.dirty.remove(&id);
            if let Some(entry) = self.entries.get(&id) {
                changes.push(entry.change());
            }
        }
        changes
    }

    /// Marks changes as unsaved again. With `drops_new`, delegations whose first row was not stored
    /// are dropped, because their clients are refused; returns the cancellations among them.
    #[must_use]
    pub fn restore_changes(
        &mut self,
        changes: &[DelegationChange],
        drops_new: bool,
    ) -> Vec<(JobId, u64)> {
        let mut cancelled = Vec::new();
        for change in changes {
            if change.record.is_some() && drops_new {
                let entry = self.entries.remove(&change.id);
                self.dirty.remove(&change.id);
                let cancellation = entry.and_then(|entry| entry.cancellation);
                cancelled.extend(cancellation.map(|entry| (change.id, entry.cancelled_ms)));
            } else {
                self.dirty.insert(change.id);
            }
        }
        cancelled
    }

    /// Drops a delegation whose first row will not be stored; returns the time of its cancellation.
    pub(crate) fn drop_new(&mut self, id: JobId) -> Option<u64> {
        let is_new = |entry: &DelegationEntry| entry.phase == DelegationPhase::Storing;
        if !self.entries.get(&id).is_some_and(is_new) {
            return None;
        }
        self.dirty.remove(&id);
        let cancellation = self.entries.remove(&id)?.cancellation;
        cancellation.map(|cancellation| cancellation.cancelled_ms)
    }

    /// Marks a change as stored. If the delegation leaves the table because its job was refused,
    /// returns its cancellation, which holds for a later submission.
    pub(crate) fn mark_stored(&mut self, change: &DelegationChange) -> LeftCancellation {
        let entry = self.entries.get_mut(&change.id)?;
        if change.record.is_some() && entry.phase == DelegationPhase::Storing {
            entry.phase = DelegationPhase::Open { is_in_doubt: false };
        }
        if change.progress.is_some()
            && let Some(cancellation) = &mut entry.cancellation
        {
            cancellation.is_stored = true;
        }
        if !change.is_removed {
            return None;
        }
        let is_refused = entry.phase == DelegationPhase::Removing;
        let left = self.remove(change.id);
        left.filter(|_| is_refused)
    }

    /// Removes a delegation from the table; returns its cancellation.
    pub(crate) fn remove(&mut self, id: JobId) -> LeftCancellation {
        self.dirty.remove(&id);
        let entry = self.entries.remove(&id)?;
        (entry.cancellation).map(|entry| (entry.cancelled_ms, entry.is_stored))
    }

    /// Returns the number of delegations by phase, for the state dump.
    pub fn summary(&self) -> BTreeMap<String, usize> {
        let mut numbers = BTreeMap::new();
        for entry in self.entries.values() {
            let phase = match entry.phase {
                DelegationPhase::Storing => "storing",
                DelegationPhase::Open { .. } => "open",
                DelegationPhase::Withdrawing => "withdrawing",
                DelegationPhase::Returned { .. } | DelegationPhase::TakingBack { .. } => "returned",
                DelegationPhase::Removing => "refused",
                DelegationPhase::Expired => "expired",
                DelegationPhase::Accepted => "accepted",
            };
            *numbers.entry(phase.to_owned()).or_default() += 1;
        }
        numbers
    }

    /// Returns the cells that jobs are delegated to.
    pub fn siblings(&self) -> BTreeSet<CellName> {
        let siblings = self
            .entries
            .values()
            .map(|entry| &entry.record.delegated_to);
        siblings.cloned().collect()
    }
}

/// Returns whether a delegated job that was accepted at `accepted_ms` is so old that its sibling, if it ever had it, may have removed
/// it. The other half of the retention allows for wall clocks that differ.
pub(crate) fn is_expired(accepted_ms: u64, retention_ms: u64, wall_ms: u64) -> bool {
    wall_ms.saturating_sub(accepted_ms) >= retention_ms / 2
}
