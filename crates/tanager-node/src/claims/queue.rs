//! Queue of writes for the next transactions.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Instant;

use crate::claims::abandoned::AbandonedClaims;
use crate::claims::abandoned::CHECK_COUNT;
use crate::claims::write::PendingWrite;
use crate::claims::write::WriteAction;

/// Largest number of removals in one batch, so that many cancellations do not delay new claims.
const MAX_BATCH_DELETES: usize = 32;
/// Largest number of removals waiting for the store; further claims are tracked as abandoned.
const MAX_WAITING_DELETES: usize = 4_096;

/// Queue of writes for the next transactions.
#[derive(Default)]
pub(super) struct WriteQueue {
    /// New claims and records in the order in which they are written.
    pub(super) writes: VecDeque<PendingWrite>,
    /// Removals by the name of their request.
    pub(super) deletes: HashMap<String, PendingWrite>,
    /// Abandoned claims that may still be written.
    pub(super) abandoned: AbandonedClaims,
}

impl WriteQueue {
    /// Returns whether there are no writes and no removals.
    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.deletes.is_empty()
    }

    /// Adds a removal.
    pub(super) fn push_delete(&mut self, write: PendingWrite) {
        if self.deletes.len() < MAX_WAITING_DELETES || self.deletes.contains_key(&write.name) {
            self.deletes.insert(write.name.clone(), write);
        } else if !write.maybe_deleted {
            self.abandoned.track(&write, CHECK_COUNT);
        }
    }

    /// Adds removals of the abandoned claims whose check is due.
    pub(super) fn check_abandoned(&mut self) {
        let now = Instant::now();
        while self.deletes.len() < MAX_WAITING_DELETES
            && let Some(claim) = self.abandoned.pop_due(now)
        {
            let checks_left = claim.checks_left;
            let action = WriteAction::Delete { checks_left };
            let mut write = PendingWrite::new(claim.name, claim.generation, claim.token, action);
            write.must_read_row = true;
            write.maybe_written = true;
            self.push_delete(write);
        }
    }

    /// Drops claims whose callers no longer wait. A claim that may have been written is replaced by
    /// its removal.
    pub(super) fn remove_abandoned(&mut self) {
        for write in std::mem::take(&mut self.writes) {
            if !write.is_abandoned() {
                self.writes.push_back(write);
            } else if write.maybe_written {
                let checks_left = CHECK_COUNT;
                let action = WriteAction::Delete { checks_left };
                self.push_delete(PendingWrite {
                    action,
                    must_read_row: true,
                    ..write
                });
            }
        }
    }

    /// Removes and returns a batch of writes of different requests. A write stays in the queue
    /// while an earlier one of the same request is queued.
    pub(super) fn take_batch(&mut self, max_batch: usize) -> Vec<PendingWrite> {
        let limit = MAX_BATCH_DELETES.min(max_batch);
        let keys: Vec<String> = self.deletes.keys().take(limit).cloned().collect();
        let deletes = keys.iter().filter_map(|key| self.deletes.remove(key));
        let mut batch: Vec<PendingWrite> = deletes.collect();
        let mut names: HashSet<String> = keys.into_iter().collect();
        let mut deferred = VecDeque::new();
        while batch.len() < max_batch
            && let Some(write) = self.writes.pop_front()
        {
            if self.deletes.contains_key(&write.name) || !names.insert(write.name.clone()) {
                deferred.push_back(write);
            } else {
                batch.push(write);
            }
        }
        deferred.append(&mut self.writes);
        self.writes = deferred;
        batch
    }

    /// Puts writes back at the front, before later ones of the same request.
    pub(super) fn requeue(&mut self, writes: Vec<PendingWrite>) {
        for write in writes.into_iter().rev() {
            match write.action {
                WriteAction::Delete { .. } => self.push_delete(write),
                _ => self.writes.push_front(write),
            }
        }
    }
}
