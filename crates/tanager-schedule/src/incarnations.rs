//! Workers in and out: lives of workers as the store lists them, and the next hold of each.

use std::collections::HashSet;
use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;

use crate::core::CellCore;
use crate::job::TaskPhase;
use crate::worker::MAX_EXECUTION_DELAY;
use crate::worker::MISSING_ENTRY_LIMIT;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;
use crate::worker::WorkerSlot;

/// Parameters of the next hold of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RenewalPlan {
    /// Lease on the worker's clock; `None` while the worker does not answer, so that its leases
    /// surely end.
    pub lease_until_ms: Option<u64>,
    /// Ends up to this number are stored.
    pub acknowledged: u64,
    /// Whether ends wait to be stored, so that the worker's answer would not wait.
    pub has_unstored_ends: bool,
}

impl CellCore {
    /// Takes the workers' entries of this cell as the store lists them now.
    pub fn sync_workers(&mut self, entries: &[WorkerEntry], now: Duration) {
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
            let is_restarted = entry.started_ms > 0
                && worker.entry.started_ms > 0
                && entry.started_ms > worker.entry.started_ms;
            let address_changed = entry.address != worker.entry.address;
            if !is_restarted && !address_changed {
                if entry.draining && !worker.entry.draining {
                    self.placement_needed = true;
                }
                worker.entry = entry.clone();
                return;
            }
            self.replace_incarnation(key, entry.clone(), now);
            return;
        }
        let slot = WorkerSlot::new(entry.clone(), self.settings.lease);
        let key = self.workers.insert(slot);
        self.workers_by_id.insert(entry.worker.clone(), key);
    }

    /// Replaces the life of a worker by a later one with the same id. Orders without an answer
    /// may still reach the new life; they are stopped there before their tasks start elsewhere.
    pub(crate) fn replace_incarnation(
        &mut self,
        key: WorkerKey,
        entry: WorkerEntry,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let mut unconfirmed_starts = worker.unconfirmed_starts.clone();
        unconfirmed_starts.retain(|_, (_, at)| now.saturating_sub(*at) < MAX_EXECUTION_DELAY);
        // Orders after the last report may have been carried out by the new life.
        let reported = worker
            .clock
            .map_or(Duration::ZERO, |(_, received)| received);
        let recent: Vec<(TaskKey, RunSlot)> = (worker.runs.iter())
            .filter(|(_, slot)| slot.ordered_at >= reported || slot.stage == RunStage::Starting)
            .map(|(task, slot)| (*task, slot.clone()))
            .collect();
        self.end_incarnation(key);
        let id = entry.worker.clone();
        let mut slot = WorkerSlot::new(entry, self.settings.max_lease);
        // There may be a third life before the orders are surely lost.
        slot.unconfirmed_starts.clone_from(&unconfirmed_starts);
        let key = self.workers.insert(slot);
        self.workers_by_id.insert(id, key);
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
    }

    /// Treats a run of an earlier life as one that the new life may have. A confirmed one is in
    /// the next report if it is there; one without an answer is stopped, so that it never starts.
    fn carry_over(&mut self, key: WorkerKey, task: TaskKey, before: &RunSlot, now: Duration) {
        let is_confirmed = before.stage == RunStage::Running;
        let mut slot = RunSlot::starting(before.run, before.amount, now);
        slot.in_flight = false;
        slot.stage = match is_confirmed {
            true => RunStage::Running,
            false => RunStage::Stopping,
        };
        slot.confirmed_at = is_confirmed.then_some(now);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.add_run(task, slot);
        }
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

    /// Forgets a worker that runs nothing.
    fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key)
            && self.workers_by_id.get(&worker.entry.worker) == Some(&key)
        {
            self.workers_by_id.remove(&worker.entry.worker);
        }
    }

    /// Notes that a life of a worker has ended: nothing of it runs.
    pub fn end_incarnation(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs.keys().copied().collect();
        for task in tasks {
            self.release_run(key, task);
        }
        if let Some(worker) = self.workers.get(key) {
            self.unconfirmed_workers.remove(&worker.entry.worker);
        }
        self.remove_worker(key);
        self.placement_needed = true;
    }

    /// Returns the workers that the ledger must name before they are used.
    pub fn unregistered_workers(&self) -> Vec<WorkerKey> {
        (self.workers.iter())
            .filter(|(_, worker)| !worker.registered)
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the entries of all workers that may run something, for the ledger.
    pub fn ledger_workers(&self) -> Vec<WorkerEntry> {
        (self.workers.values())
            .map(|worker| worker.entry.clone())
            .collect()
    }

    /// Notes that the ledger names these workers.
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

    /// Returns a worker.
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerSlot> {
        self.workers.get(key)
    }

    /// Plans the next hold of a worker.
    pub fn plan_renewal(&mut self, key: WorkerKey, now: Duration) -> Option<RenewalPlan> {
        let lease = self.settings.lease;
        let worker = self.workers.get_mut(key)?;
        let lease_until_ms = match worker.renewal_unanswered || !worker.answered_recently(now) {
            true => None,
            false => worker
                .min_clock_ms(now)
                .map(|clock| clock + lease.as_millis() as u64),
        };
        if let Some(until) = lease_until_ms {
            worker.lease_sent_ms = worker.lease_sent_ms.max(until);
        }
        // After a silence another life may answer under the same id, and count its ends anew.
        let is_same_incarnation = !worker.renewal_unanswered && worker.unanswered_orders == 0;
        Some(RenewalPlan {
            lease_until_ms,
            acknowledged: match is_same_incarnation {
                true => worker.stored_end,
                false => 0,
            },
            has_unstored_ends: worker.processed_end > worker.stored_end,
        })
    }
}
