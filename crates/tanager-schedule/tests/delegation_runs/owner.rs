//! Owners of the two cells: takeovers, decisions, and jobs that return to the first cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::RngExt;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::WorkerKey;
use tanager_schedule::core::JobPhase;
use tanager_schedule::recovery::FormerOwner;

use super::ledger::Transaction;
use super::orders::Message;
use super::world::FIRST;
use super::world::Row;
use super::world::World;
use super::world::settings;

/// An owner without a confirmed heartbeat stops extending leases after this time.
const UNCONFIRMED_LEASE_LIMIT: u64 = 4_000;

/// Interval between reads of the list of workers.
const LIST_PERIOD: u64 = 200;

/// Outcome of the last transaction of a job's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stored {
    Yes,
    No,
}

pub(crate) struct Owner {
    pub(crate) cell: usize,
    pub(crate) token: u64,
    /// Version of the ledger row.
    pub(crate) ledger: u64,
    pub(crate) core: CellCore,
    pub(crate) is_alive: bool,
    pub(crate) frozen_until: u64,
    last_heartbeat: u64,
    /// Time at which the list of workers is read again.
    next_list: u64,
    /// Times of the next lease renewals.
    pub(crate) renewals: BTreeMap<WorkerKey, u64>,
    /// Jobs that wait for a transaction.
    pub(crate) inserts: VecDeque<JobRecord>,
    /// Jobs that wait for a transaction or are in one.
    pub(crate) storing: BTreeSet<JobId>,
    /// Outcomes of the jobs that are no longer in `storing`.
    pub(crate) stored: BTreeMap<JobId, Stored>,
    pub(crate) transaction: Option<Transaction>,
    /// Jobs that return to the first cell and are being stored there.
    taking_back: BTreeSet<JobId>,
}

impl Owner {
    /// Queues a job for storing, unless it is queued already.
    pub(crate) fn insert(&mut self, record: JobRecord) {
        if self.storing.insert(record.id) {
            self.inserts.push_back(record);
        }
    }

    pub(crate) fn resolve(&mut self, id: JobId, stored: Stored) {
        self.storing.remove(&id);
        self.stored.insert(id, stored);
    }

    /// Refuses the jobs that were not sent to the store yet.
    pub(crate) fn refuse_queued(&mut self) {
        for record in std::mem::take(&mut self.inserts) {
            self.resolve(record.id, Stored::No);
        }
    }

    /// Returns whether no transaction is in progress and no job waits for one.
    pub(crate) fn is_idle(&self) -> bool {
        self.transaction.is_none() && self.inserts.is_empty()
    }

    /// Returns whether a job waits for its first start.
    pub(crate) fn is_waiting(&self, id: JobId) -> bool {
        matches!(self.core.job_phase(id), Some(JobPhase::Queued))
    }
}

impl World {
    pub(crate) fn take_over(&mut self, cell: usize, former_owner: FormerOwner) {
        self.trace(|| format!("takeover of cell {cell}, {former_owner:?}"));
        let token = self.rows[0].token.max(self.rows[1].token) + 1;
        self.rows[cell].token = token;
        let mut core = CellCore::new(settings());
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let mut entries = self.listed(cell);
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
        core.await_former_workers(&rows.workers, former_owner, now);
        for former in &rows.workers {
            if !entries.iter().any(|entry| entry.worker == former.worker) {
                entries.push(former.clone());
            }
        }
        core.sync_workers(&entries, now);
        self.owners.push(Owner {
            cell,
            token,
            ledger: rows.ledger,
            core,
            is_alive: true,
            frozen_until: 0,
            last_heartbeat: self.now,
            next_list: 0,
            renewals: BTreeMap::new(),
            inserts: VecDeque::new(),
            storing: BTreeSet::new(),
            stored: BTreeMap::new(),
            transaction: None,
            taking_back: BTreeSet::new(),
        });
    }

    pub(crate) fn step_owner(&mut self, number: usize) {
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
        self.decide(number);
        self.start_transaction(number);
    }

    /// Runs the decisions of an owner and sends its orders and lease renewals.
    fn decide(&mut self, number: usize) {
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        if self.is_current(number) {
            self.owners[number].last_heartbeat = self.now;
        }
        self.read_workers(number);
        let owner = &mut self.owners[number];
        let may_extend = self.now - owner.last_heartbeat <= UNCONFIRMED_LEASE_LIMIT;
        owner.core.tick(now, wall_ms, may_extend);
        let actions = owner.core.take_actions();
        let events = owner.core.take_events();
        let mut messages = Vec::new();
        for key in owner.core.worker_keys() {
            let due = owner.renewals.get(&key).copied().unwrap_or_default();
            if self.now < due {
                continue;
            }
            owner.renewals.insert(key, u64::MAX);
            if let Some(plan) = owner.core.plan_renewal(key, now) {
                let message = Message::Renew {
                    until_ms: plan.lease_until_ms.filter(|_| may_extend),
                    acknowledged: plan.acknowledged,
                    sent_at: now,
                };
                messages.push((key, message));
            }
        }
        for action in actions {
            match action {
                CellAction::Start {
                    worker,
                    task,
                    run,
                    lease_until_ms,
                    checkpoint,
                    ..
                } => {
                    if owner.core.confirm_start(worker, task, run, may_extend) {
                        let message = Message::Start {
                            task,
                            run,
                            until_ms: lease_until_ms,
                            checkpoint,
                        };
                        messages.push((worker, message));
                    }
                }
                CellAction::Stop { worker, task, run } => {
                    messages.push((worker, Message::Stop { task, run }));
                }
                CellAction::CellLost => owner.is_alive = false,
                CellAction::Pace { .. } | CellAction::RequestAdvice { .. } => {}
            }
        }
        for event in events {
            self.trace(|| format!("owner {number} {event:?}"));
        }
        for (key, message) in messages {
            self.send_order(number, key, message);
        }
    }

    /// Updates the workers of an owner from the list, which is read at intervals.
    fn read_workers(&mut self, number: usize) {
        if self.now < self.owners[number].next_list {
            return;
        }
        let listed = self.listed(self.owners[number].cell);
        let now = self.clock();
        let owner = &mut self.owners[number];
        owner.next_list = self.now + LIST_PERIOD;
        owner.core.sync_workers(&listed, now);
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
}
