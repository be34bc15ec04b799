//! Transactions of an owner. One without a response is sent again under the same conditions, as
//! `ledger.rs` of the service does, and each copy may be carried out later.

use std::rc::Rc;

use rand::RngExt;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::WorkerEntry;
use tanager_schedule::WorkerKey;
use tanager_schedule::delegation_table::DelegationChange;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::persistence::EndWatermarks;

use super::owner::Stored;
use super::world::Row;
use super::world::World;

/// Time after which a transaction without a response is sent again.
const TIMEOUT: u64 = 400;
const RETRY_PAUSE: u64 = 60;

/// Content of a transaction.
pub(crate) struct Batch {
    inserts: Vec<JobRecord>,
    delegations: Vec<DelegationChange>,
    dirty: Vec<DirtyJob>,
    watermarks: EndWatermarks,
    registered: Vec<WorkerKey>,
    workers: Vec<WorkerEntry>,
    expired: Vec<JobId>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteResult {
    Applied,
    NotApplied,
    /// The conditions fail, and the rows do not show that an earlier copy was applied.
    Conflict,
}

/// A transaction in progress, as its owner sees it.
pub(crate) struct Transaction {
    batch: Rc<Batch>,
    attempts: u64,
    /// Whether an earlier copy may still be carried out.
    is_uncertain: bool,
    response: Option<(u64, WriteResult)>,
    resend_at: u64,
}

/// A copy of a transaction on its way to the store.
pub(crate) struct StoreWrite {
    at: u64,
    owner: usize,
    attempt: u64,
    /// Version of the ledger row that it expects.
    ledger: u64,
    batch: Rc<Batch>,
    is_refused: bool,
    sends_response: bool,
}

impl World {
    pub(crate) fn start_transaction(&mut self, number: usize) {
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let owner = &mut self.owners[number];
        if owner.transaction.is_some() {
            return;
        }
        let core = &mut owner.core;
        let registered = core.unregistered_workers(now);
        let expired = core.remove_expired(wall_ms, 20);
        let has_work = !owner.inserts.is_empty()
            || core.has_dirty()
            || core.has_unstored_ends()
            || !registered.is_empty()
            || !expired.is_empty();
        if !has_work {
            return;
        }
        let delegations = core.delegations.take_changes(40, |_| true);
        let (dirty, watermarks) = core.take_dirty(40);
        let batch = Batch {
            inserts: owner.inserts.drain(..).collect(),
            delegations,
            dirty,
            watermarks,
            registered,
            workers: core.ledger_workers(now),
            expired,
        };
        owner.transaction = Some(Transaction {
            batch: Rc::new(batch),
            attempts: 0,
            is_uncertain: false,
            response: None,
            resend_at: 0,
        });
        self.send_write(number);
    }

    fn send_write(&mut self, number: usize) {
        let is_late = self.planned_fault(self.plan.late_writes, 0.05);
        let is_lost = self.planned_fault(self.plan.late_writes, 0.02);
        let is_refused = self.fault(0.04);
        let sends_response = !is_late && !self.fault(0.04);
        let delay = match is_late {
            true => self.random.random_range(1_000..6_000),
            false => self.random.random_range(15..30),
        };
        let now = self.now;
        let owner = &mut self.owners[number];
        let ledger = owner.ledger;
        let Some(transaction) = &mut owner.transaction else {
            return;
        };
        transaction.attempts += 1;
        transaction.response = None;
        transaction.resend_at = now + TIMEOUT;
        let write = StoreWrite {
            at: now + delay,
            owner: number,
            attempt: transaction.attempts,
            ledger,
            batch: Rc::clone(&transaction.batch),
            is_refused,
            sends_response,
        };
        if !is_lost {
            self.late_writes += u64::from(is_late);
            self.writes.push(write);
        }
    }

    /// Carries out the transactions that have reached the store, whatever happened to their owners.
    pub(crate) fn apply_writes(&mut self) {
        let now = self.now;
        let due: Vec<StoreWrite> = self
            .writes
            .extract_if(.., |write| write.at <= now)
            .collect();
        for write in due {
            let result = match write.is_refused {
                true => WriteResult::NotApplied,
                false => self.apply_write(&write),
            };
            let transaction = &mut self.owners[write.owner].transaction;
            if let Some(transaction) = transaction
                && write.sends_response
                && transaction.attempts == write.attempt
                && Rc::ptr_eq(&transaction.batch, &write.batch)
            {
                transaction.response = Some((now + 5, result));
            }
        }
    }

    fn apply_write(&mut self, write: &StoreWrite) -> WriteResult {
        let owner = &self.owners[write.owner];
        let (cell, token) = (owner.cell, owner.token);
        let rows = &mut self.rows[cell];
        if rows.token != token || rows.ledger != write.ledger {
            let was_applied = rows.ledger == write.ledger + 1 && rows.ledger_writer == token;
            return match was_applied {
                true => WriteResult::Applied,
                false => WriteResult::Conflict,
            };
        }
        rows.ledger += 1;
        rows.ledger_writer = token;
        let batch = &write.batch;
        rows.workers.clone_from(&batch.workers);
        for id in &batch.expired {
            rows.jobs.remove(id);
            rows.progress.remove(id);
        }
        for record in &batch.inserts {
            rows.jobs.insert(record.id, Row::Job(record.clone()));
        }
        let mut removed = Vec::new();
        for change in &batch.delegations {
            if let Some(record) = &change.record {
                rows.jobs.insert(change.id, Row::Delegation(record.clone()));
            }
            if change.is_removed {
                rows.jobs.remove(&change.id);
                rows.progress.remove(&change.id);
                removed.push(change.id);
            }
            if let Some(progress) = &change.progress {
                rows.progress.insert(change.id, progress.clone());
            }
        }
        let mut ended = Vec::new();
        for job in &batch.dirty {
            let before = rows.progress.insert(job.id, job.progress.clone());
            let was_open = before.is_none_or(|progress| progress.state == JobState::Open);
            if was_open && job.progress.state != JobState::Open {
                ended.push((job.id, job.progress.state));
            }
        }
        for (id, state) in ended {
            self.trace(|| format!("{id} is stored as {state:?} in cell {cell}"));
            self.record_end(cell, id, state);
        }
        for id in removed {
            self.check_removal(id);
        }
        WriteResult::Applied
    }

    /// Applies the outcome of a transaction at its owner, or sends it again.
    pub(crate) fn finish_transaction(&mut self, number: usize) {
        let now = self.now;
        let owner = &mut self.owners[number];
        let Some(transaction) = &mut owner.transaction else {
            return;
        };
        match transaction.response {
            Some((at, result)) if at <= now => match result {
                WriteResult::Applied => self.finish_applied(number),
                WriteResult::NotApplied if transaction.is_uncertain => {
                    transaction.response = None;
                    transaction.resend_at = now + RETRY_PAUSE;
                }
                WriteResult::NotApplied => self.finish_refused(number),
                WriteResult::Conflict => owner.is_alive = false,
            },
            Some(_) => {}
            None if now >= transaction.resend_at => {
                let is_repeated = transaction.attempts > 1;
                transaction.is_uncertain = true;
                if is_repeated {
                    owner.refuse_queued();
                }
                self.send_write(number);
            }
            None => {}
        }
    }

    fn finish_applied(&mut self, number: usize) {
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let owner = &mut self.owners[number];
        let Some(transaction) = owner.transaction.take() else {
            return;
        };
        let batch = transaction.batch;
        owner.ledger += 1;
        owner.core.mark_delegations_stored(&batch.delegations);
        for record in &batch.inserts {
            owner.core.add_job(record.clone(), now, wall_ms);
            owner.resolve(record.id, Stored::Yes);
        }
        owner.core.mark_stored(&batch.dirty, &batch.watermarks);
        owner.core.mark_registered(&batch.registered);
    }

    fn finish_refused(&mut self, number: usize) {
        let owner = &mut self.owners[number];
        let Some(transaction) = owner.transaction.take() else {
            return;
        };
        let batch = transaction.batch;
        owner.core.restore_dirty(&batch.dirty);
        owner.core.restore_delegations(&batch.delegations, true);
        for record in &batch.inserts {
            owner.resolve(record.id, Stored::No);
        }
        owner.refuse_queued();
    }
}
