//! Writes that wait for the next transaction.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Instant;

use crate::claims::unsent::FULL_CHECKS;
use crate::claims::unsent::UnsentTable;
use crate::claims::write::PendingWrite;
use crate::claims::write::WriteAction;

/// Removals in one batch, so that a burst of cancellations does not hold up new claims.
const MAX_BATCH_DELETES: usize = 32;
/// Removals that wait for the store; further claims are remembered as unsent instead.
const MAX_DELETES: usize = 4_096;

/// Writes that wait for the next transaction.
#[derive(Default)]
pub(super) struct WriteQueue {
    /// New claims and records, in order.
    pub(super) writes: VecDeque<PendingWrite>,
    /// Removals by row key.
    pub(super) deletes: HashMap<String, PendingWrite>,
    /// Claims that were given up but may still be written.
    pub(super) unsent: UnsentTable,
}

impl WriteQueue {
    /// Returns whether nothing waits.
    pub(super) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.deletes.is_empty()
    }

    /// Adds a removal.
    pub(super) fn push_delete(&mut self, write: PendingWrite) {
        if self.deletes.len() < MAX_DELETES || self.deletes.contains_key(&write.row_key) {
            self.deletes.insert(write.row_key.clone(), write);
        } else if !write.maybe_deleted {
            self.unsent
                .remember(write.row_key, write.token, FULL_CHECKS);
        }
    }

    /// Adds the removals of given up claims whose check is due.
    pub(super) fn check_unsent(&mut self) {
        let now = Instant::now();
        while self.deletes.len() < MAX_DELETES
            && let Some(claim) = self.unsent.take_due(now)
        {
            let checks_left = claim.checks_left;
            let action = WriteAction::Delete { checks_left };
            let mut write = PendingWrite::new(claim.row_key, claim.token, action);
            write.check_row = true;
            write.maybe_written = true;
            self.push_delete(write);
        }
    }

    /// Drops claims whose claimers no longer wait; those that may be written are removed.
    pub(super) fn drop_abandoned(&mut self) {
        for write in std::mem::take(&mut self.writes) {
            if !write.is_abandoned() {
                self.writes.push_back(write);
            } else if write.maybe_written {
                let checks_left = FULL_CHECKS;
                let action = WriteAction::Delete { checks_left };
                self.push_delete(PendingWrite {
                    action,
                    check_row: true,
                    ..write
                });
            }
        }
    }

    /// Takes writes of different rows. A write waits while an earlier one of its row does.
    pub(super) fn take_batch(&mut self, max_batch: usize) -> Vec<PendingWrite> {
        let limit = MAX_BATCH_DELETES.min(max_batch);
        let keys: Vec<String> = self.deletes.keys().take(limit).cloned().collect();
        let deletes = keys.iter().filter_map(|key| self.deletes.remove(key));
        let mut batch: Vec<PendingWrite> = deletes.collect();
        let mut rows: HashSet<String> = keys.into_iter().collect();
        let mut waiting = VecDeque::new();
        while batch.len() < max_batch
            && let Some(write) = self.writes.pop_front()
        {
            if self.deletes.contains_key(&write.row_key) || !rows.insert(write.row_key.clone()) {
                waiting.push_back(write);
            } else {
                batch.push(write);
            }
        }
        waiting.append(&mut self.writes);
        self.writes = waiting;
        batch
    }

    /// Puts writes back, so that they come before later ones of the same row.
    pub(super) fn put_back(&mut self, writes: Vec<PendingWrite>) {
        for write in writes.into_iter().rev() {
            match write.action {
                WriteAction::Delete { .. } => self.push_delete(write),
                _ => self.writes.push_front(write),
            }
        }
    }
}
