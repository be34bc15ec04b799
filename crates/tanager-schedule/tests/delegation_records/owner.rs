//! Owners of the two cells: takeovers, transactions, and jobs that run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::RngExt;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_schedule::CellCore;
use tanager_schedule::core::JobPhase;
use tanager_schedule::delegation_table::DelegationChange;
use tanager_schedule::persistence::DirtyJob;

use super::world::FIRST;
use super::world::Row;
use super::world::World;
use super::world::settings;

/// Outcome of the last transaction of a job's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stored {
    Yes,
    No,
}

pub(crate) struct Transaction {
    applies_at: u64,
    /// Time at which the owner learns the outcome; `None` before it is applied.
    known_at: Option<u64>,
    is_refused: bool,
    response_delay: u64,
    inserts: Vec<JobRecord>,
    delegations: Vec<DelegationChange>,
    dirty: Vec<DirtyJob>,
    expired: Vec<JobId>,
}

pub(crate) struct Owner {
    pub(crate) cell: usize,
    pub(crate) token: u64,
    pub(crate) core: CellCore,
    pub(crate) is_alive: bool,
    pub(crate) frozen_until: u64,
    /// Jobs that wait for a transaction.
    inserts: VecDeque<JobRecord>,
    /// Jobs that wait for a transaction or are in one.
    pub(crate) storing: BTreeSet<JobId>,
    /// Outcomes of the jobs that are no longer in `storing`.
    pub(crate) stored: BTreeMap<JobId, Stored>,
    transaction: Option<Transaction>,
    /// Jobs that return to the first cell and are being stored there.
    taking_back: BTreeSet<JobId>,
    /// Jobs that run, with the time of their end.
    running: BTreeMap<JobId, u64>,
}

impl Owner {
    /// Queues a job for storing, unless it is queued already.
    pub(crate) fn insert(&mut self, record: JobRecord) {
        if self.storing.insert(record.id) {
            self.inserts.push_back(record);
        }
    }

    /// Returns whether a job is open in this cell.
    pub(crate) fn is_open(&self, id: JobId) -> bool {
        matches!(self.core.job_phase(id), Some(JobPhase::Queued))
    }
}

impl World {
    pub(crate) fn take_over(&mut self, cell: usize) {
        self.trace(|| format!("takeover of cell {cell}"));
        let token = self.rows[0].token.max(self.rows[1].token) + 1;
        self.rows[cell].token = token;
        let mut core = CellCore::new(settings());
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let rows = &self.rows[cell];
        for (id, row) in &rows.jobs {
            let progress = rows.progress.get(id).cloned().unwrap_or_default();
            match row {
                Row::Job(record) => core.load_job(record.clone(), &progress, now, wall_ms),
                Row::Delegation(record) => core.load_delegation(record.clone(), &progress, wall_ms),
            }
        }
        for (id, progress) in &rows.progress {
            if !rows.jobs.contains_key(id) {
                core.load_early_cancellation(*id, progress);
            }
        }
        self.owners.push(Owner {
            cell,
            token,
            core,
            is_alive: true,
            frozen_until: 0,
            inserts: VecDeque::new(),
            storing: BTreeSet::new(),
            stored: BTreeMap::new(),
            transaction: None,
            taking_back: BTreeSet::new(),
            running: BTreeMap::new(),
        });
    }

    /// Returns whether an owner acts at present.
    pub(crate) fn is_active(&self, number: usize) -> bool {
        let owner = &self.owners[number];
        owner.is_alive && self.now >= owner.frozen_until
    }

    pub(crate) fn step_owner(&mut self, number: usize) {
        // A transaction in transit reaches the store whatever happens to its owner.
        self.apply_transaction(number);
        if !self.is_active(number) {
            return;
        }
        // A former owner learns of its successor within some seconds, also without a transaction.
        if !self.is_current(number) && self.chance(0.005) {
            self.owners[number].is_alive = false;
        }
        self.finish_transaction(number);
        if !self.owners[number].is_alive {
            return;
        }
        if self.owners[number].cell == FIRST {
            self.step_delegations(number);
        }
        self.start_transaction(number);
        if self.is_current(number) {
            self.run_jobs(number);
        }
    }

    fn start_transaction(&mut self, number: usize) {
        let wall_ms = self.wall_ms();
        let owner = &mut self.owners[number];
        if owner.transaction.is_some() {
            return;
        }
        let expired = owner.core.remove_expired(wall_ms, 20);
        if owner.inserts.is_empty() && !owner.core.has_dirty() && expired.is_empty() {
            return;
        }
        let inserts = owner.inserts.drain(..).collect();
        let delegations = owner.core.delegations.take_changes(40, |_| true);
        let (dirty, _) = owner.core.take_dirty(40);
        let is_refused = self.fault(0.05);
        let is_response_lost = self.fault(0.05);
        let transaction = Transaction {
            applies_at: self.now + self.random.random_range(15..30),
            known_at: None,
            is_refused,
            response_delay: if is_response_lost { 400 } else { 5 },
            inserts,
            delegations,
            dirty,
            expired,
        };
        self.owners[number].transaction = Some(transaction);
    }

    /// Carries out a transaction at the store.
    fn apply_transaction(&mut self, number: usize) {
        let is_current = self.is_current(number);
        let owner = &mut self.owners[number];
        let Some(transaction) = &mut owner.transaction else {
            return;
        };
        if transaction.known_at.is_some() || self.now < transaction.applies_at {
            return;
        }
        transaction.known_at = Some(self.now + transaction.response_delay);
        if transaction.is_refused || !is_current {
            // The owner learns that it does not own the cell when it reads the conflict.
            transaction.is_refused = true;
            return;
        }
        let rows = &mut self.rows[owner.cell];
        let mut removed = Vec::new();
        for id in &transaction.expired {
            rows.jobs.remove(id);
            rows.progress.remove(id);
        }
        for change in &transaction.delegations {
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
        for record in &transaction.inserts {
            rows.jobs.insert(record.id, Row::Job(record.clone()));
        }
        for job in &transaction.dirty {
            rows.progress.insert(job.id, job.progress.clone());
        }
        for id in removed {
            self.check_removal(id);
        }
    }

    /// Applies the outcome of a transaction at its owner.
    fn finish_transaction(&mut self, number: usize) {
        let is_current = self.is_current(number);
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let owner = &mut self.owners[number];
        let is_known = (owner.transaction.as_ref())
            .and_then(|transaction| transaction.known_at)
            .is_some_and(|at| at <= self.now);
        let Some(transaction) = owner.transaction.take_if(|_| is_known) else {
            return;
        };
        if transaction.is_refused && !is_current {
            owner.is_alive = false;
            return;
        }
        let stored = match transaction.is_refused {
            true => {
                owner.core.restore_dirty(&transaction.dirty);
                owner
                    .core
                    .restore_delegations(&transaction.delegations, true);
                Stored::No
            }
            false => {
                owner.core.mark_delegations_stored(&transaction.delegations);
                for record in &transaction.inserts {
                    owner.core.add_job(record.clone(), now, wall_ms);
                }
                owner.core.mark_stored(&transaction.dirty, &Vec::new());
                Stored::Yes
            }
        };
        for record in &transaction.inserts {
            owner.storing.remove(&record.id);
            owner.stored.insert(record.id, stored);
        }
    }

    /// Sends the calls that are due, and takes jobs back.
    fn step_delegations(&mut self, number: usize) {
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let owner = &mut self.owners[number];
        for request in owner.core.delegations.take_requests(now, wall_ms, 16) {
            self.send_call(number, request);
        }
        let owner = &mut self.owners[number];
        for (record, may_refuse) in owner.core.delegations.take_returned(now) {
            let is_refused = may_refuse && self.random.random_bool(0.5);
            let owner = &mut self.owners[number];
            if is_refused {
                owner.core.delegations.refuse_returned(record.id);
            } else {
                owner.taking_back.insert(record.id);
                owner.insert(record);
            }
        }
        let owner = &mut self.owners[number];
        let finished: Vec<JobId> = (owner.taking_back.iter())
            .filter(|id| !owner.storing.contains(id))
            .copied()
            .collect();
        for id in finished {
            owner.taking_back.remove(&id);
            match owner.stored[&id] {
                Stored::Yes => self.taken_back += 1,
                Stored::No => owner.core.delegations.retry_return(id, now),
            }
        }
    }

    /// Starts and completes jobs. Tasks and workers are not part of this model.
    fn run_jobs(&mut self, number: usize) {
        let ids: Vec<JobId> = self.clients.iter().map(|client| client.id).collect();
        for id in ids {
            let is_open = self.owners[number].is_open(id);
            let cell = self.owners[number].cell;
            let end = self.owners[number].running.get(&id).copied();
            match end {
                None if is_open && self.chance(0.03) => {
                    let end = self.now + self.random.random_range(100..4_000);
                    self.owners[number].running.insert(id, end);
                    self.starts.entry(id).or_default().push((cell, self.now));
                    self.trace(|| format!("{id} starts in cell {cell}"));
                }
                Some(end) if is_open && self.now >= end => self.complete(number, id),
                _ => {}
            }
        }
    }

    /// Stores the completion of a job, and loads the job as completed.
    fn complete(&mut self, number: usize, id: JobId) {
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let owner = &mut self.owners[number];
        if owner.transaction.is_some() {
            return;
        }
        let progress = ProgressRecord {
            state: JobState::Completed,
            ended_ms: wall_ms,
            ..ProgressRecord::default()
        };
        let record = owner.core.record(id).expect("an open job").clone();
        owner.core.load_job(record, &progress, now, wall_ms);
        self.rows[owner.cell].progress.insert(id, progress);
        self.completed.insert(id);
        let cell = owner.cell;
        self.trace(|| format!("{id} is completed in cell {cell}"));
    }
}
