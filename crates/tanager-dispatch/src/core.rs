//! The state machine of a node's dispatch thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use slotmap::SlotMap;

use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::RequestSummary;

use crate::action::ClaimReport;
use crate::action::DispatchAction;
use crate::action::ProbeReport;
use crate::action::RequestKey;
use crate::action::SendReport;
use crate::counters::DispatchCounters;
use crate::dump::DispatchDump;
use crate::dump::PoolDump;
use crate::dump::WorkerDump;
use crate::pool::PoolState;
use crate::probing::ProbeBudget;
use crate::request::RequestEntry;
use crate::request::RequestState;
use crate::select;
use crate::settings::DispatchSettings;
use crate::settings::class_index;
use crate::timer::DeadlineHeap;
use crate::worker::WorkerTable;

/// Queues, worker table and limits of the pools for which a node is home.
///
/// Every call first ends the expired requests, so that an event is never applied before a deadline
/// that preceded it.
#[derive(Debug)]
pub struct DispatchCore {
    pub(crate) settings: DispatchSettings,
    pub(crate) version: LogVersion,
    pub(crate) requests: SlotMap<RequestKey, RequestEntry>,
    pub(crate) pools: BTreeMap<PoolId, PoolState>,
    pub(crate) workers: WorkerTable,
    pub(crate) timers: DeadlineHeap,
    pub(crate) home_pools: Option<BTreeSet<PoolId>>,
    pub(crate) probe_budget: ProbeBudget,
    /// Time of the next probe or trial request.
    pub(crate) next_wakeup: Duration,
    pub(crate) random: StdRng,
    /// Pools to be checked for requests that can start.
    pub(crate) dirty_pools: BTreeSet<PoolId>,
    /// Start of the current usage measurement.
    pub(crate) usage_window_start: Duration,
}

impl DispatchCore {
    /// Creates a state machine without pools. `seed` decides ties among equally loaded workers.
    pub fn new(settings: DispatchSettings, seed: u64) -> Self {
        let probe_budget = ProbeBudget::new(settings.probe_bytes_per_second);
        Self {
            settings,
            version: 0,
            requests: SlotMap::with_key(),
            pools: BTreeMap::new(),
            workers: WorkerTable::default(),
            timers: DeadlineHeap::default(),
            home_pools: None,
            probe_budget,
            next_wakeup: Duration::ZERO,
            random: StdRng::seed_from_u64(seed),
            dirty_pools: BTreeSet::new(),
            usage_window_start: Duration::ZERO,
        }
    }

    /// Limits probing to these pools; `None`, the initial state, probes all. Requests of other
    /// pools are still served, because two nodes may briefly be home of the same pool.
    pub fn set_home_pools(&mut self, now: Duration, home_pools: Option<BTreeSet<PoolId>>) {
        self.home_pools = home_pools;
        self.next_wakeup = now;
    }

    /// Applies a fleet state. A state older than the one in use is ignored.
    pub fn update_fleet_state(&mut self, now: Duration, state: &FleetState) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if state.version >= self.version {
            self.version = state.version;
            self.apply_fleet_state(now, state, &mut actions);
        }
        self.next_wakeup = now;
        self.start_ready_requests(now, actions)
    }

    /// Accepts a request. A refusal is among the returned actions.
    pub fn submit(
        &mut self,
        now: Duration,
        request: RequestSummary,
    ) -> (RequestKey, Vec<DispatchAction>) {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        let key = self.admit(now, request, &mut actions);
        (key, self.start_ready_requests(now, actions))
    }

    /// Handles the result of a `Claim` action. Ignored for a request that has ended.
    pub fn claim_finished(
        &mut self,
        now: Duration,
        key: RequestKey,
        report: ClaimReport,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.apply_claim(now, key, report, &mut actions);
        self.start_ready_requests(now, actions)
    }

    /// Handles the result of a `Send` action. Ignored for a request that has ended.
    pub fn send_finished(
        &mut self,
        now: Duration,
        key: RequestKey,
        report: SendReport,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        // A report that arrives exactly at the deadline still counts, so it is applied before
        // expiry.
        self.apply_send(now, key, report, &mut actions);
        self.expire(now, &mut actions);
        self.start_ready_requests(now, actions)
    }

    /// Ends a request that its caller has abandoned. O(1) on average. Ignored for a request that
    /// has ended.
    pub fn cancel(&mut self, now: Duration, key: RequestKey) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        self.apply_cancel(now, key, &mut actions);
        self.start_ready_requests(now, actions)
    }

    /// Handles the result of a `Probe` action.
    pub fn probe_finished(
        &mut self,
        now: Duration,
        vm: &str,
        report: ProbeReport,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if let Some(key) = self.workers.keys_by_name.get(vm).copied() {
            if report == ProbeReport::Failed {
                self.record_probe_failure(now, key);
            } else if let Some(worker) = self.workers.entries.get_mut(key) {
                worker.probe_started = None;
                worker.last_assessed = now;
                worker.last_probe = now;
                worker.failed_probes = 0;
                worker.suspended = false;
                worker.shutting_down = report == ProbeReport::ShuttingDown;
                self.dirty_pools.insert(worker.pool.clone());
            }
        }
        self.start_ready_requests(now, actions)
    }

    /// Gives a VM priority in the next round of probes because its endpoint closed a connection.
    /// The endpoint may be shutting down, or it may limit the requests per connection.
    pub fn connection_closed(&mut self, now: Duration, vm: &str) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if let Some(key) = self.workers.keys_by_name.get(vm)
            && let Some(worker) = self.workers.entries.get_mut(*key)
        {
            worker.last_assessed = Duration::ZERO;
            let due = worker.last_probe + self.settings.probe_interval;
            self.next_wakeup = self.next_wakeup.min(due.max(now));
        }
        self.start_ready_requests(now, actions)
    }

    /// Ends expired requests and starts the probes and trial requests that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        self.expire(now, &mut actions);
        if self.next_wakeup <= now {
            self.start_probes(now, &mut actions);
            // A trial may have become due in any pool.
            self.dirty_pools.extend(self.pools.keys().cloned());
        }
        self.start_ready_requests(now, actions)
    }

    /// Latest time for the next call of `tick`. May be earlier than necessary.
    pub fn next_deadline(&self) -> Option<Duration> {
        let next_wakeup = (!self.workers.entries.is_empty()).then_some(self.next_wakeup);
        match (self.timers.next(), next_wakeup) {
            (Some(timer), Some(wakeup)) => Some(timer.min(wakeup)),
            (timer, wakeup) => timer.or(wakeup),
        }
    }

    /// Number of requests that use slots of a VM, including those whose claim is being written.
    pub fn in_flight(&self, vm: &str) -> u32 {
        self.workers
            .by_name(vm)
            .map_or(0, |worker| worker.request_count)
    }

    /// Slots of a VM that may be in use at once; 0 while it accepts no new work.
    pub fn slot_limit(&self, vm: &str) -> u32 {
        self.workers
            .by_name(vm)
            .filter(|worker| worker.is_assignable() && !worker.is_failing())
            .map_or(0, |worker| worker.limit.current())
    }

    /// Version of the fleet state in use.
    pub fn applied_version(&self) -> LogVersion {
        self.version
    }

    /// VMs that this node counts as unavailable: ejected, failing probes, or shutting down.
    pub fn suspects(&self) -> BTreeSet<VmId> {
        self.workers
            .entries
            .values()
            .filter(|worker| !worker.removed)
            .filter(|worker| worker.is_failing() || worker.is_unreachable() || worker.shutting_down)
            .map(|worker| worker.vm.clone())
            .collect()
    }

    /// Counters by pool and priority.
    pub fn counters(&self) -> impl Iterator<Item = (&PoolId, RequestPriority, &DispatchCounters)> {
        self.pools.iter().flat_map(|(pool, state)| {
            RequestPriority::ALL
                .into_iter()
                .map(move |priority| (pool, priority, &state.counters[class_index(priority)]))
        })
    }

    /// Summary of the current state.
    pub fn dump(&self) -> DispatchDump {
        let pools = self.pools.iter().map(|(pool, state)| {
            let dump = PoolDump {
                queued: RequestPriority::ALL.map(|priority| state.queue.queued(priority)),
                slots_in_use: RequestPriority::ALL.map(|priority| state.queue.in_use(priority)),
                capacity: select::capacity(state, &self.workers),
                parked_claims: state.parked_claims,
            };
            (pool.clone(), dump)
        });
        let workers = self.workers.entries.values().map(|worker| {
            let dump = WorkerDump {
                pool: worker.pool.clone(),
                rack: worker.rack.clone(),
                zone: worker.zone.clone(),
                used: worker.used_slots,
                limit: worker.limit.current(),
                declared: worker.limit.declared(),
                receives: worker.is_assignable(),
                ejected: worker.ejection.is_out_of_service(),
                suspended: worker.suspended,
            };
            (worker.vm.clone(), dump)
        });
        DispatchDump {
            version: self.version,
            open: self.requests.len(),
            pools: pools.collect(),
            workers: workers.collect(),
        }
    }

    /// Starts the requests that can start and removes the deadlines of ended ones.
    fn start_ready_requests(
        &mut self,
        now: Duration,
        mut actions: Vec<DispatchAction>,
    ) -> Vec<DispatchAction> {
        while let Some(pool) = self.dirty_pools.pop_first() {
            self.dispatch_pool(now, &pool, &mut actions);
        }
        let requests = &self.requests;
        self.timers
            .prune(requests.len(), |key| requests.contains_key(key));
        actions
    }

    fn apply_cancel(&mut self, now: Duration, key: RequestKey, actions: &mut Vec<DispatchAction>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        match request.state {
            RequestState::Queued if !request.may_have_run => {
                let message = "cancelled by the caller".to_owned();
                self.refuse(now, key, NotRunReason::Cancelled, message, None, actions);
            }
            _ => self.finish(now, key, actions),
        }
    }
}
