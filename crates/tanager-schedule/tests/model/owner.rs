//! Owners of the cell in the model: takeover, decisions and transactions.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::WorkerEntry;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::CellEvent;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::ownership;
use tanager_schedule::ownership::NODE_DEATH_TIMEOUT;
use tanager_schedule::ownership::OwnershipConfirmations;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::persistence::EndWatermarks;
use tanager_schedule::recovery::FormerOwner;

use super::calls::Message;
use super::rejections::Marks;
use super::rejections::Rejections;
use super::world::MAX_ATTEMPTS;
use super::world::UNCONFIRMED_LEASE_LIMIT;
use super::world::World;
use super::world::settings;

/// Interval between an owner's reads of the owner rows.
const OWNER_READ_PERIOD: Duration = Duration::from_millis(500);

pub(crate) struct Commit {
    /// Time at which the owner knows the outcome.
    pub(crate) at: Duration,
    /// Time at which the store carries it out if its condition holds.
    pub(crate) applied_at: Duration,
    /// Whether it has reached the store.
    pub(crate) is_sent: bool,
    pub(crate) is_applied: bool,
    pub(crate) jobs: Vec<DirtyJob>,
    pub(crate) watermarks: EndWatermarks,
    pub(crate) registered: Vec<WorkerKey>,
    pub(crate) workers: Vec<WorkerEntry>,
    pub(crate) marks: Marks,
}

pub(crate) struct Owner {
    pub(crate) core: CellCore,
    pub(crate) cell: usize,
    /// Cells whose jobs and workers it has loaded.
    pub(crate) homes: Vec<usize>,
    pub(crate) token: u64,
    pub(crate) alive: bool,
    pub(crate) frozen_until: Duration,
    /// Time until which nothing is handled and decided.
    pub(crate) busy_until: Duration,
    /// Whether heartbeats are written meanwhile.
    pub(crate) beats_while_busy: bool,
    /// Time until which the store turns this owner away.
    pub(crate) turned_away_until: Duration,
    /// Relays that are turned away, too.
    pub(crate) unserved_relays: usize,
    pub(crate) confirmations: OwnershipConfirmations,
    pub(crate) owners_read_at: Duration,
    pub(crate) renewals: BTreeMap<WorkerKey, Duration>,
    pub(crate) commit: Option<Commit>,
    pub(crate) rejections: Rejections,
    /// Time since which the current owner is unresponsive.
    pub(crate) unresponsive_since: Option<Duration>,
}

impl World {
    /// Starts a new owner, which acquires and loads the cell.
    pub(crate) fn take_over(&mut self, cell: usize, former_owner: FormerOwner) {
        let homes = self.homes(cell);
        let awaits_predecessor = (homes.iter()).any(|home| self.cells[*home].awaits_predecessor);
        let former_owner =
            ownership::former_owner(former_owner == FormerOwner::Inactive, awaits_predecessor);
        self.cells[cell].awaits_predecessor = former_owner == FormerOwner::Unresponsive;
        self.trace(|| format!("takeover of {homes:?} from {former_owner:?}"));
        self.next_token += 1;
        self.cells[cell].owner_token = self.next_token;
        let mut core = CellCore::new(settings(&self.plan));
        let policy = QueuePolicy {
            max_attempts: MAX_ATTEMPTS,
            ..QueuePolicy::default()
        };
        core.set_queues([("queue".to_owned(), policy)]);
        let of_cell = |id: &JobId| homes.contains(&self.home_of_job(*id));
        let marks = self.cells[cell].marks.clone();
        let rows: Vec<_> = (self.jobs.iter().filter(|(id, _)| of_cell(id)))
            .map(|(_, row)| row.clone())
            .collect();
        for (record, progress) in rows {
            let mark = marks.get(&record.id).copied();
            let progress = self.loaded_progress(&record, &progress, mark);
            core.load_job(record, &progress, self.now, self.wall_ms());
        }
        for (id, mark) in &marks {
            core.load_mark(*id, *mark);
        }
        let former_workers: Vec<WorkerEntry> = (homes.iter())
            .flat_map(|home| self.cells[*home].ledger_workers.iter().cloned())
            .collect();
        core.await_former_workers(&former_workers, former_owner, self.now);
        let mut entries = self.listed();
        entries.retain(|entry| homes.contains(&self.home_of_entry(entry)));
        for former in &former_workers {
            if !entries.iter().any(|entry| entry.worker == former.worker) {
                entries.push(former.clone());
            }
        }
        core.sync_workers(&entries, self.now);
        let mut confirmations = OwnershipConfirmations::default();
        confirmations.record_heartbeat(self.now, self.now);
        confirmations.record_owner_read(self.now);
        self.owners.push(Owner {
            core,
            cell,
            homes,
            token: self.cells[cell].owner_token,
            alive: true,
            frozen_until: Duration::ZERO,
            busy_until: Duration::ZERO,
            beats_while_busy: false,
            turned_away_until: Duration::ZERO,
            unserved_relays: 0,
            confirmations,
            owners_read_at: self.now,
            renewals: BTreeMap::new(),
            commit: None,
            rejections: Rejections::new(),
            unresponsive_since: None,
        });
    }

    pub(crate) fn step_owner(&mut self, number: usize) {
        let now = self.now;
        let wall_ms = self.wall_ms();
        let mut listed = self.listed();
        listed.retain(|entry| {
            self.owners[number]
                .homes
                .contains(&self.home_of_entry(entry))
        });
        let store_up = self.serves(number);
        let is_current = self.is_current(number);
        let must_reload =
            is_current && self.owners[number].homes != self.homes(self.owners[number].cell);
        let store = self.store_evidence(number);
        let owner = &mut self.owners[number];
        if !owner.alive || now < owner.frozen_until {
            return;
        }
        let is_busy = now < owner.busy_until;
        let writes_heartbeats =
            now >= owner.turned_away_until && (!is_busy || owner.beats_while_busy);
        if writes_heartbeats {
            owner.unresponsive_since = None;
        }
        if writes_heartbeats && store_up {
            // The node of a former owner writes heartbeats, too.
            owner.confirmations.record_heartbeat(now, now);
        }
        if is_busy {
            return;
        }
        if store_up && now.saturating_sub(owner.owners_read_at) >= OWNER_READ_PERIOD {
            owner.owners_read_at = now;
            owner.confirmations.record_owner_read(now);
            owner.alive = is_current;
            if must_reload && owner.commit.is_none() {
                self.reload(number);
                return;
            }
        }
        if !owner.alive {
            return;
        }
        if store_up {
            owner.core.sync_workers(&listed, now);
        }
        let evidence = owner.confirmations.evidence(store, now);
        let may_extend = ownership::may_extend_leases(&evidence, UNCONFIRMED_LEASE_LIMIT);
        let may_start = ownership::may_start_runs(&evidence);
        owner.core.tick(now, wall_ms, may_start);
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
            if matches!(event, CellEvent::CapUsageCorrected { .. }) {
                self.record.violations.push(format!("USAGE: {event:?}"));
            }
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
                    if !core.confirm_start(worker, task, run, may_start) {
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
        self.check_usage(number);
        if let Some(task) = self.traced_task {
            let line = self.owners[number].core.describe_task(task);
            self.trace(|| format!("owner {number} {line}"));
        }
    }

    /// Checks the usage of workspaces that the owner keeps against a count of its runs.
    fn check_usage(&mut self, number: usize) {
        if !self.plan.workspaces {
            return;
        }
        let differences = self.owners[number].core.usage_differences();
        if !differences.is_empty() {
            let text = format!("USAGE: owner {number} at {:?}: {differences:?}", self.now);
            self.record.violations.push(text);
        }
    }

    pub(crate) fn run_commit(&mut self, number: usize, store_up: bool, is_current: bool) {
        let now = self.now;
        let owner = &mut self.owners[number];
        if let Some(commit) = &owner.commit {
            if now < commit.at || !store_up {
                return;
            }
            if !is_current && !commit.is_applied {
                owner.alive = false;
                return;
            }
            self.finish_commit(number);
            return;
        }
        let registered = owner.core.unregistered_workers(now);
        let mut has_work =
            owner.core.has_dirty() || owner.core.has_unstored_ends() || !registered.is_empty();
        let rejected = self.rejected_now();
        has_work |= self.next_marks(number, &[]) != self.cells[self.owners[number].cell].marks;
        if has_work {
            let owner = &mut self.owners[number];
            let withheld = owner.core.withheld_states();
            let is_selected = |id| !withheld.contains_key(&id) || !rejected.contains(&id);
            let (jobs, watermarks) = owner.core.take_dirty_of(90, is_selected, |_| true);
            if self.reject_transaction(number, &jobs) {
                return;
            }
            let marks = self.next_marks(number, &jobs);
            let owner = &mut self.owners[number];
            let workers = owner.core.ledger_workers(now);
            let mut commit = Commit {
                at: now,
                applied_at: now,
                is_sent: store_up,
                is_applied: false,
                jobs,
                watermarks,
                registered,
                workers,
                marks,
            };
            self.schedule_commit(&mut commit);
            self.owners[number].commit = Some(commit);
        }
    }

    /// Carries out a transaction.
    pub(crate) fn store_commit(&mut self, cell: usize, commit: &mut Commit) {
        commit.is_applied = true;
        for job in &commit.jobs {
            if let Some((_, progress)) = self.jobs.get_mut(&job.id) {
                *progress = job.progress.clone();
            }
        }
        self.cells[cell].ledger_workers.clone_from(&commit.workers);
        self.cells[cell].marks.clone_from(&commit.marks);
    }

    pub(crate) fn finish_commit(&mut self, number: usize) {
        let owner = &mut self.owners[number];
        let cell = owner.cell;
        let Some(mut commit) = owner.commit.take() else {
            return;
        };
        if !commit.is_applied {
            self.store_commit(cell, &mut commit);
        }
        let states = (commit.jobs.iter()).map(|job| (job.id, job.progress.state));
        for (id, state) in states.chain(commit.marks.clone()) {
            if state == JobState::Cancelled
                && let Some(at) = self.cancelled.get_mut(&id)
            {
                *at = (*at).min(self.now);
            }
        }
        let owner = &mut self.owners[number];
        owner.core.mark_withheld_stored(&commit.marks);
        owner.core.mark_stored(&commit.jobs, &commit.watermarks);
        owner.core.mark_registered(&commit.registered);
        self.plan_power_loss();
    }

    /// The current owner releases the cell, and another node acquires it.
    pub(crate) fn hand_over(&mut self, cell: usize) {
        if self.release(cell) {
            self.take_over(cell, FormerOwner::Inactive);
        }
    }

    /// The current owner releases the cell; returns whether it did.
    pub(crate) fn release(&mut self, cell: usize) -> bool {
        let now = self.now;
        if let Some(owner) = self.current(cell)
            && owner.alive
            && now >= owner.frozen_until.max(owner.busy_until)
            && now >= owner.turned_away_until
            && owner.commit.is_none()
        {
            owner.alive = false;
            // The row of a released cell says whether its owner still waited.
            let is_recovering = owner.core.is_recovering();
            self.cells[cell].awaits_predecessor &= is_recovering;
            return true;
        }
        false
    }

    /// Another node acquires the cell of an owner that is dead or appears to be.
    pub(crate) fn replace_owner(&mut self, cell: usize) {
        if self.cells[cell].is_merged {
            return;
        }
        let now = self.now;
        let store_up = now >= self.store_down_until;
        let is_unresponsive = match self.current(cell) {
            Some(owner)
                if owner.alive
                    && now >= owner.frozen_until.max(owner.turned_away_until)
                    && (now >= owner.busy_until || owner.beats_while_busy) =>
            {
                false
            }
            Some(owner) => {
                let since = *owner.unresponsive_since.get_or_insert(now);
                now.saturating_sub(since) >= NODE_DEATH_TIMEOUT
            }
            None => true,
        };
        if is_unresponsive && store_up {
            // A dead process may be known to have ended, because a later one runs on its node.
            let is_known_dead = self.current(cell).is_none_or(|owner| !owner.alive);
            self.take_over(
                cell,
                match is_known_dead {
                    true => FormerOwner::Inactive,
                    false => FormerOwner::Unresponsive,
                },
            );
        }
    }
}
