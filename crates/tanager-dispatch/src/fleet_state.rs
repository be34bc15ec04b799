//! Application of a fleet state to pools and workers.

use std::time::Duration;

use tanager_protocol::config::VmConfig;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::NotRunReason;

use crate::action::DispatchAction;
use crate::action::RequestKey;
use crate::core::DispatchCore;
use crate::ejection::EjectionState;
use crate::limit::AdaptiveLimit;
use crate::pool::PoolState;
use crate::request::RequestState;
use crate::worker::WorkerEntry;
use crate::worker::WorkerKey;

impl DispatchCore {
    pub(crate) fn apply_fleet_state(
        &mut self,
        now: Duration,
        state: &FleetState,
        actions: &mut Vec<DispatchAction>,
    ) {
        for (name, config) in &state.document.pools {
            let weights = self.settings.weights;
            let pool = self
                .pools
                .entry(name.clone())
                .or_insert_with(|| PoolState::new(weights));
            pool.configure(config, now);
        }
        for (name, pool) in &mut self.pools {
            pool.configured = state.document.pools.contains_key(name);
            pool.workers.clear();
            pool.max_worker_slots = 0;
        }
        let removed: Vec<WorkerKey> = self
            .workers
            .entries
            .iter()
            .filter(|(_, worker)| !state.vms.contains_key(&worker.vm))
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            if let Some(worker) = self.workers.entries.get_mut(key) {
                worker.removed = true;
                worker.accepts_work = false;
            }
            self.workers.remove_if_idle(key);
        }
        for (vm, record) in &state.vms {
            if let Some(config) = state.document.vms.get(vm) {
                self.apply_vm(now, vm, record, config);
            }
        }
        self.refuse_removed_pools(now, actions);
        let names: Vec<PoolId> = self.pools.keys().cloned().collect();
        for name in &names {
            self.limit_exclusions(name);
        }
        self.dirty_pools.extend(names);
    }

    fn apply_vm(&mut self, now: Duration, vm: &VmId, record: &VmRecord, config: &VmConfig) {
        let key = match self.workers.keys_by_name.get(vm) {
            Some(key) => *key,
            None => self.workers.insert(WorkerEntry {
                vm: vm.clone(),
                pool: record.pool.clone(),
                address: config.address,
                rack: config.rack.clone(),
                zone: config.zone.clone(),
                accepts_work: false,
                healthy: true,
                is_probed: true,
                shutting_down: false,
                failed_probes: 0,
                suspended: false,
                removed: false,
                limit: AdaptiveLimit::new(config.slots),
                ejection: EjectionState::new(),
                used_slots: 0,
                request_count: 0,
                reserved_for: None,
                last_assessed: now,
                last_probe: now,
                probe_started: None,
            }),
        };
        let Some(worker) = self.workers.entries.get_mut(key) else {
            return;
        };
        let replaced = worker.address != config.address || worker.pool != record.pool;
        let up = record.health == VmHealth::Up;
        if replaced || (up && !worker.healthy) {
            // Observations of the previous endpoint do not apply to this one.
            worker.ejection = EjectionState::new();
            worker.limit = AdaptiveLimit::new(config.slots);
            worker.shutting_down = false;
            worker.failed_probes = 0;
            worker.suspended = false;
        }
        worker.removed = false;
        worker.healthy = up;
        worker.pool.clone_from(&record.pool);
        worker.address = config.address;
        worker.rack.clone_from(&config.rack);
        worker.zone.clone_from(&config.zone);
        worker.limit.set_declared(config.slots);
        worker.accepts_work = up && record.activity == VmActivity::Active;
        worker.is_probed = record.health != VmHealth::Gone;
        if let Some(pool) = self.pools.get_mut(&record.pool) {
            pool.workers.push(key);
            pool.max_worker_slots = pool.max_worker_slots.max(config.slots);
        }
    }

    /// Refuses the waiting requests of pools that are no longer configured.
    fn refuse_removed_pools(&mut self, now: Duration, actions: &mut Vec<DispatchAction>) {
        if self.pools.values().all(|pool| pool.configured) {
            return;
        }
        let orphaned_requests: Vec<(RequestKey, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.state == RequestState::Queued)
            .filter(|(_, request)| {
                self.pools
                    .get(&request.pool)
                    .is_none_or(|pool| !pool.configured)
            })
            .map(|(key, request)| (key, request.may_have_run))
            .collect();
        for (key, may_have_run) in orphaned_requests {
            if may_have_run {
                self.finish(now, key, actions);
            } else {
                let message = "the pool was removed from the configuration".to_owned();
                self.refuse(now, key, NotRunReason::UnknownPool, message, None, actions);
            }
        }
        self.pools
            .retain(|_, pool| pool.configured || pool.open_requests > 0);
    }

    /// Whether one more worker of the pool may be excluded because of failures.
    pub(crate) fn may_exclude_one_more(&self, pool: &str) -> bool {
        let (assignable, excluded) = self.count_exclusions(pool);
        (excluded + 1) * 2 <= assignable
    }

    /// Number of assignable workers of a pool, and how many of them are failing.
    fn count_exclusions(&self, pool: &str) -> (usize, usize) {
        let Some(pool) = self.pools.get(pool) else {
            return (0, 0);
        };
        let assignable = pool
            .workers
            .iter()
            .filter_map(|key| self.workers.entries.get(*key))
            .filter(|worker| worker.is_assignable());
        let excluded = assignable.clone().filter(|worker| worker.is_failing());
        (assignable.count(), excluded.count())
    }

    /// Returns failing workers to service while more than half of a pool is excluded, which happens
    /// when healthy workers are drained or shut down.
    pub(crate) fn limit_exclusions(&mut self, pool: &str) {
        loop {
            let (assignable, excluded) = self.count_exclusions(pool);
            if excluded * 2 <= assignable {
                return;
            }
            let Some(state) = self.pools.get(pool) else {
                return;
            };
            let earliest = state
                .workers
                .iter()
                .filter_map(|key| self.workers.entries.get(*key).map(|worker| (key, worker)))
                .filter(|(_, worker)| worker.is_assignable() && worker.is_failing())
                .min_by_key(|(_, worker)| (worker.suspended, worker.ejection.ejected_until()))
                .map(|(key, _)| *key);
            let Some(worker) = earliest.and_then(|key| self.workers.entries.get_mut(key)) else {
                return;
            };
            worker.ejection.readmit();
            worker.suspended = false;
        }
    }
}
