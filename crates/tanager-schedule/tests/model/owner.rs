//! Owners of the cell in the model: takeover, decisions and transactions.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::JobState;
use tanager_jobs::WorkerEntry;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::persistence::EndWatermarks;
use tanager_schedule::recovery::FormerOwner;

use super::calls::Message;
use super::world::MAX_ATTEMPTS;
use super::world::UNCONFIRMED_LEASE_LIMIT;
use super::world::World;
use super::world::settings;

/// Time after which another node takes over the cell of an unresponsive owner.
const NODE_DEATH_TIMEOUT: Duration = Duration::from_millis(2_600);

pub(crate) struct Commit {
    pub(crate) at: Duration,
    pub(crate) jobs: Vec<DirtyJob>,
    pub(crate) watermarks: EndWatermarks,
    pub(crate) registered: Vec<WorkerKey>,
    pub(crate) workers: Vec<WorkerEntry>,
}

pub(crate) struct Owner {
    pub(crate) core: CellCore,
    pub(crate) token: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Duration,
    pub(crate) last_heartbeat: Duration,
    pub(crate) renewals: BTreeMap<WorkerKey, Duration>,
    pub(crate) commit: Option<Commit>,
    /// Time since which the current owner is unresponsive.
    pub(crate) unresponsive_since: Option<Duration>,
}

impl World {
    /// Starts a new owner, which acquires and loads the cell.
    pub(crate) fn take_over(&mut self, former_owner: FormerOwner) {
        self.trace(|| "takeover".to_owned());
        self.next_token += 1;
        self.owner_token = self.next_token;
        let mut core = CellCore::new(settings(&self.plan));
        let policy = QueuePolicy {
            max_attempts: MAX_ATTEMPTS,
            ..QueuePolicy::default()
        };
        core.set_queues([("queue".to_owned(), policy)]);
        for (record, progress) in self.jobs.values() {
            core.load_job(record.clone(), progress, self.now, self.wall_ms());
        }
        core.await_former_workers(&self.ledger_workers, former_owner, self.now);
        let mut entries = self.listed();
        for former in &self.ledger_workers {
            if !entries.iter().any(|entry| entry.worker == former.worker) {
                entries.push(former.clone());
            }
        }
        core.sync_workers(&entries, self.now);
        self.owners.push(Owner {
            core,
            token: self.owner_token,
            alive: true,
            frozen_until: Duration::ZERO,
            last_heartbeat: self.now,
            renewals: BTreeMap::new(),
            commit: None,
            unresponsive_since: None,
        });
    }

    pub(crate) fn step_owner(&mut self, number: usize) {
        let now = self.now;
        let wall_ms = self.wall_ms();
        let listed = self.listed();
        let store_up = now >= self.store_down_until;
        let is_current = self.owners[number].token == self.owner_token;
        let owner = &mut self.owners[number];
        if !owner.alive || now < owner.frozen_until {
            return;
        }
        owner.unresponsive_since = None;
        if store_up && is_current {
            owner.last_heartbeat = now;
        }
        if store_up {
            owner.core.sync_workers(&listed, now);
        }
        let may_extend = now.saturating_sub(owner.last_heartbeat) <= UNCONFIRMED_LEASE_LIMIT;
        owner.core.tick(now, wall_ms, may_extend);
        let actions = owner.core.take_actions();
        let events = owner.core.take_events();
        let mut renewals = Vec::new();
        for key in owner.core.worker_keys() {
            let due = owner.renewals.get(&key).copied().unwrap_or(Duration::ZERO);
            if now >= due {
                owner.renewals.insert(key, Duration::MAX);
                if let Some(plan) = owner.core.plan_renewal(key, now) {
                    renewals.push((key, plan));
                }
            }
        }
        for event in events {
            self.trace(|| format!("owner {number} {event:?}"));
        }
        for (key, plan) in renewals {
            let message = Message::Renew {
                until_ms: plan.lease_until_ms.filter(|_| may_extend),
                acknowledged: plan.acknowledged,
                sent_at: now,
            };
            self.send(number, key, message);
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
                    let core = &mut self.owners[number].core;
                    if !core.confirm_start(worker, task, run, may_extend) {
                        continue;
                    }
                    let message = Message::Start {
                        task,
                        run,
                        until_ms: lease_until_ms,
                        checkpoint,
                    };
                    self.send(number, worker, message);
                }
                CellAction::Stop { worker, task, run } => {
                    self.send(number, worker, Message::Stop { task, run });
                }
                CellAction::CellLost => self.owners[number].alive = false,
                CellAction::Pace { .. } | CellAction::RequestAdvice { .. } => {}
            }
        }
        self.run_commit(number, store_up, is_current);
        if let Some(task) = self.traced_task {
            let line = self.owners[number].core.describe_task(task);
            self.trace(|| format!("owner {number} {line}"));
        }
    }

    pub(crate) fn run_commit(&mut self, number: usize, store_up: bool, is_current: bool) {
        let now = self.now;
        let owner = &mut self.owners[number];
        if let Some(commit) = &owner.commit {
            if now < commit.at || !store_up {
                return;
            }
            if !is_current {
                owner.alive = false;
                return;
            }
            self.finish_commit(number);
            return;
        }
        let registered = owner.core.unregistered_workers(now);
        let has_work =
            owner.core.has_dirty() || owner.core.has_unstored_ends() || !registered.is_empty();
        if has_work {
            let (jobs, watermarks) = owner.core.take_dirty(90);
            owner.commit = Some(Commit {
                at: now + Duration::from_millis(15),
                jobs,
                watermarks,
                registered,
                workers: owner.core.ledger_workers(now),
            });
        }
    }

    pub(crate) fn finish_commit(&mut self, number: usize) {
        let owner = &mut self.owners[number];
        let Some(commit) = owner.commit.take() else {
            return;
        };
        for job in &commit.jobs {
            if let Some((_, progress)) = self.jobs.get_mut(&job.id) {
                *progress = job.progress.clone();
            }
            if job.progress.state == JobState::Cancelled
                && let Some(at) = self.cancelled.get_mut(&job.id)
            {
                *at = (*at).min(self.now);
            }
        }
        self.ledger_workers = commit.workers;
        owner.core.mark_stored(&commit.jobs, &commit.watermarks);
        owner.core.mark_registered(&commit.registered);
    }

    /// The current owner releases the cell, and another node acquires it.
    pub(crate) fn hand_over(&mut self) {
        let now = self.now;
        if let Some(owner) = self.current()
            && owner.alive
            && now >= owner.frozen_until
            && owner.commit.is_none()
        {
            owner.alive = false;
            self.take_over(FormerOwner::Inactive);
        }
    }

    /// Another node acquires the cell of an owner that is dead or appears to be.
    pub(crate) fn replace_owner(&mut self) {
        let now = self.now;
        let store_up = now >= self.store_down_until;
        let is_unresponsive = match self.current() {
            Some(owner) if owner.alive && now >= owner.frozen_until => false,
            Some(owner) => {
                let since = *owner.unresponsive_since.get_or_insert(now);
                now.saturating_sub(since) >= NODE_DEATH_TIMEOUT
            }
            None => true,
        };
        if is_unresponsive && store_up {
            // A dead process may be known to have ended, because a later one runs on its node.
            let is_known_dead = self.current().is_none_or(|owner| !owner.alive);
            self.take_over(match is_known_dead {
                true => FormerOwner::Inactive,
                false => FormerOwner::Unresponsive,
            });
        }
    }
}
