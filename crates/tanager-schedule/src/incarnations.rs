//! Incarnations of workers: additions and removals according to the entries in the store,
//! registration in the ledger, and lease renewals.

use std::collections::HashSet;
use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::WorkerId;

use crate::action::CellEvent;
use crate::action::ReleaseCause;
use crate::action::ReplacementSource;
use crate::core::CellCore;
use crate::job::TaskPhase;
use crate::order_token::IncarnationNumber;
use crate::order_token::order_token;
use crate::renewal_timing::WorkerActivity;
use crate::worker::MAX_EXECUTION_DELAY;
use crate::worker::MISSING_ENTRY_LIMIT;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;
use crate::worker::WorkerSlot;

/// Parameters of the next lease renewal of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RenewalPlan {
    /// Lease expiry on the worker's clock, in milliseconds; `None` while the worker is
    /// unresponsive, so that its leases are certain to expire.
    pub lease_until_ms: Option<u64>,
    /// Highest end that is stored.
    pub acknowledged: u64,
    /// Whether ends are not stored yet. The worker then responds at once instead of waiting for a
    /// new end.
    pub has_unstored_ends: bool,
    /// What runs on the worker.
    pub activity: WorkerActivity,
    /// Incarnation of the worker, for the fencing token.
    pub incarnation: IncarnationNumber,
}

impl CellCore {
    /// Synchronizes the workers of the cell with the store's current entries.
    pub fn sync_workers(&mut self, entries: &[WorkerEntry], now: Duration) {
        self.scan_needed = true;
        // Entries may state other capacities of unconfirmed workers.
        self.caps.usage.expire_bound();
        let mut listed = HashSet::new();
        for entry in entries {
            listed.insert(entry.worker.as_str());
            self.sync_worker(entry, now);
        }
        let mut removed = Vec::new();
        for (key, worker) in &mut self.workers {
            if listed.contains(worker.entry.worker.as_str()) {
                worker.missing_since = None;
                continue;
            }
            let since = *worker.missing_since.get_or_insert(now);
            let idle = worker.runs.is_empty() && worker.processed_end == worker.stored_end;
            let is_gone = now.saturating_sub(since) > MISSING_ENTRY_LIMIT
                && !worker.has_unconfirmed_starts(now);
            if idle && is_gone && (worker.clock.is_none() || worker.leases_expired(now)) {
                removed.push(key);
            }
        }
        for key in removed {
            self.remove_worker(key);
        }
    }

    fn sync_worker(&mut self, entry: &WorkerEntry, now: Duration) {
        if let Some(&key) = self.workers_by_id.get(&entry.worker) {
            let worker = &mut self.workers[key];
            // Reports reveal a restart before its entry is read, and reads may be applied out of
            // order. An older entry would make the next report look like another restart.
            let known_start = worker.entry.started_ms;
            if entry.started_ms > 0 && entry.started_ms < known_start {
                return;
            }
            let is_restarted = entry.started_ms > 0
                && worker.entry.started_ms > 0
                && entry.started_ms > worker.entry.started_ms;
            let address_changed = entry.address != worker.entry.address;
            if !is_restarted && !address_changed {
                if entry.draining && !worker.entry.draining {
                    self.placement_needed = true;
                }
                worker.entry = entry.clone();
                self.caps.expire_cores();
                // An entry without a start says nothing about restarts.
                worker.entry.started_ms = entry.started_ms.max(known_start);
                return;
            }
            // What a worker reports itself is more certain than an entry, which another writer may
            // have left under its id.
            let is_plausible = is_restarted && worker.can_have_restarted(entry.started_ms, now);
            if is_plausible || !worker.reported_recently(now) {
                self.replace_incarnation(key, entry.clone(), ReplacementSource::Entry, now);
            }
            return;
        }
        let incarnation = self.number_incarnation(&entry.worker);
        let is_known = incarnation > 0 || self.unconfirmed_workers.contains_key(&entry.worker);
        let assumed_lease = match is_known {
            // Orders to an earlier incarnation, or of the former owner, may have reached a later one
            // than they were meant for, which then granted the longest lease.
            true => self.settings.max_lease,
            false => self.settings.lease,
        };
        let orders_until = now + self.settings.stale_owner_limit;
        let mut slot = WorkerSlot::new(entry.clone(), assumed_lease, orders_until);
        slot.incarnation = incarnation;
        let key = self.workers.insert(slot);
        self.caps.expire_cores();
        self.workers_by_id.insert(entry.worker.clone(), key);
    }

    /// Returns the number of the next incarnation with this id. A worker that was removed may come
    /// back under its id while orders to it are still to be carried out.
    fn number_incarnation(&mut self, id: &WorkerId) -> IncarnationNumber {
        let next = self.next_incarnations.entry(id.clone()).or_default();
        let number = *next;
        *next = number.saturating_add(1);
        number
    }

    /// Replaces an incarnation of a worker by a later one with the same id. Orders without a
    /// response may still reach the new incarnation; they are stopped there before their tasks
    /// start elsewhere.
    pub(crate) fn replace_incarnation(
        &mut self,
        key: WorkerKey,
        entry: WorkerEntry,
        source: ReplacementSource,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let (started_ms_before, released) = (worker.entry.started_ms, worker.runs.len());
        let mut unconfirmed_starts = worker.unconfirmed_starts.clone();
        unconfirmed_starts.retain(|_, (_, at)| now.saturating_sub(*at) < MAX_EXECUTION_DELAY);
        // The new incarnation may have carried out orders sent after the last report.
        let reported = worker
            .clock
            .map_or(Duration::ZERO, |(_, received)| received);
        let recent: Vec<(TaskKey, RunSlot)> = (worker.runs.iter())
            .filter(|(_, slot)| slot.ordered_at >= reported || slot.stage == RunStage::Starting)
            .map(|(task, slot)| (*task, slot.clone()))
            .collect();
        let id = entry.worker.clone();
        let awaited_until = self.unconfirmed_workers.get(&id).copied();
        self.end_incarnation(key);
        if let Some(end) = awaited_until {
            // The new incarnation may have runs of the former owner as well, with leases that were
            // meant for the clock of the earlier one.
            self.unconfirmed_workers.insert(id.clone(), end);
            self.await_worker_again(&id, self.settings.max_lease, now);
        }
        let orders_until = now + self.settings.stale_owner_limit;
        let mut slot = WorkerSlot::new(entry, self.settings.max_lease, orders_until);
        slot.incarnation = self.number_incarnation(&id);
        // A third incarnation may start before these orders are certain to be lost.
        slot.unconfirmed_starts.clone_from(&unconfirmed_starts);
        let key = self.workers.insert(slot);
        self.workers_by_id.insert(id, key);
        self.caps.usage.expire_bound();
        self.caps.expire_cores();
        for (task, slot) in recent {
            self.carry_over(key, task, &slot, now);
        }
        for (task, (run, _)) in unconfirmed_starts {
            let is_known =
                (self.workers.get(key)).is_some_and(|worker| worker.runs.contains_key(&task));
            if !is_known {
                let slot = RunSlot::starting(run, ResourceAmount::default(), now);
                self.carry_over(key, task, &slot, now);
            }
        }
        if let Some(worker) = self.workers.get(key) {
            self.events.push(CellEvent::IncarnationReplaced {
                worker: worker.entry.worker.clone(),
                started_ms_before,
                started_ms: worker.entry.started_ms,
                source,
                released,
                carried_over: worker.runs.len(),
            });
        }
    }

    /// Adds a run of the former incarnation to the new one, which may have it. A confirmed run is
    /// in the next report if it exists; a run without a response is stopped, so that it never
    /// starts.
    fn carry_over(&mut self, key: WorkerKey, task: TaskKey, before: &RunSlot, now: Duration) {
        let is_confirmed = before.stage == RunStage::Running;
        let mut slot = RunSlot::starting(before.run, before.amount, now);
        slot.in_flight = false;
        slot.stage = match is_confirmed {
            true => RunStage::Running,
            false => RunStage::Stopping,
        };
        slot.confirmed_at = is_confirmed.then_some(now);
        self.add_run(key, task, slot);
        if let Some(step) = self.step_mut(task) {
            let index = task.index as usize;
            if step.tasks[index].phase == TaskPhase::Idle {
                step.set_phase(index, TaskPhase::Placed(key));
            }
        }
        if !is_confirmed {
            self.send_stop(key, task, now);
        }
    }

    /// Removes a worker that has no runs.
    fn remove_worker(&mut self, key: WorkerKey) {
        self.health_rates.remove(key);
        self.caps.expire_cores();
        if let Some(worker) = self.workers.remove(key)
            && self.workers_by_id.get(&worker.entry.worker) == Some(&key)
        {
            self.workers_by_id.remove(&worker.entry.worker);
        }
    }

    /// Ends an incarnation of a worker that refused an order because a later one responds.
    pub fn end_refused_incarnation(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get(key) {
            self.events.push(CellEvent::IncarnationReplaced {
                worker: worker.entry.worker.clone(),
                started_ms_before: worker.entry.started_ms,
                started_ms: 0,
                source: ReplacementSource::Refusal,
                released: worker.runs.len(),
                carried_over: 0,
            });
        }
        self.end_incarnation(key);
    }

    /// Ends an incarnation of a worker: releases its runs and removes it.
    pub fn end_incarnation(&mut self, key: WorkerKey) {
        self.record_crash(key, true);
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs.keys().copied().collect();
        for task in tasks {
            self.release_run(key, task, ReleaseCause::WorkerRestarted);
        }
        if let Some(worker) = self.workers.get(key) {
            self.unconfirmed_workers.remove(&worker.entry.worker);
        }
        self.remove_worker(key);
        self.placement_needed = true;
    }

    /// Returns the workers that must be written to the ledger before they may be used.
    pub fn unregistered_workers(&self, now: Duration) -> Vec<WorkerKey> {
        (self.workers.iter())
            .filter(|(_, worker)| !worker.registered && !worker.is_retired(now))
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the entries of all workers that may have runs, for the ledger.
    ///
    /// Retired workers are left out, and are not used before they are registered again. A new
    /// owner waits for each worker in the ledger, and VMs that were moved away never report.
    pub fn ledger_workers(&mut self, now: Duration) -> Vec<WorkerEntry> {
        let mut entries = Vec::with_capacity(self.workers.len());
        for worker in self.workers.values_mut() {
            if worker.is_retired(now) {
                worker.registered = false;
            } else {
                entries.push(worker.entry.clone());
            }
        }
        entries
    }

    /// Marks workers as written to the ledger.
    pub fn mark_registered(&mut self, keys: &[WorkerKey]) {
        for &key in keys {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.registered = true;
            }
        }
        self.placement_needed = true;
    }

    /// Returns the keys of all workers.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Returns the state of a worker.
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerSlot> {
        self.workers.get(key)
    }

    /// Returns the fencing token of orders to a worker; `None` for an unknown worker. `ownership` is
    /// the token of the cell's owner.
    pub fn order_token(&self, key: WorkerKey, ownership: FencingToken) -> Option<FencingToken> {
        (self.workers.get(key)).map(|worker| order_token(ownership, worker.incarnation))
    }

    /// Plans the next lease renewal of a worker; `None` for an unknown worker.
    pub fn plan_renewal(&mut self, key: WorkerKey, now: Duration) -> Option<RenewalPlan> {
        let lease = self.settings.lease;
        let worker = self.workers.get_mut(key)?;
        let lease_until_ms = match worker.misses_renewal() || !worker.responded_recently(now) {
            true => None,
            false => worker
                .min_clock_ms(now)
                .map(|clock| clock + lease.as_millis() as u64),
        };
        if let Some(until) = lease_until_ms {
            worker.lease_sent_ms = worker.lease_sent_ms.max(until);
        }
        // After a missed response, another incarnation with its own numbering of ends may respond
        // under the same id.
        let is_same_incarnation = !worker.misses_response();
        let activity = self.activity(key);
        let worker = self.workers.get(key)?;
        Some(RenewalPlan {
            lease_until_ms,
            activity,
            incarnation: worker.incarnation,
            acknowledged: match is_same_incarnation {
                true => worker.stored_end,
                false => 0,
            },
            has_unstored_ends: worker.processed_end > worker.stored_end,
        })
    }

    fn activity(&self, key: WorkerKey) -> WorkerActivity {
        let runs = self
            .workers
            .get(key)
            .into_iter()
            .flat_map(|worker| worker.runs.keys());
        let mut activity = WorkerActivity::Idle;
        for task in runs {
            match self.spec(*task) {
                Some(spec) if spec.fills => activity = WorkerActivity::Paced,
                Some(spec) if spec.long_running => {}
                _ => return WorkerActivity::Busy,
            }
        }
        activity
    }
}
