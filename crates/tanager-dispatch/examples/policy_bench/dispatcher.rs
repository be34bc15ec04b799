//! Common interface of the compared dispatchers: `DispatchCore`, and a first-come, first-served
//! queue with or without static shares.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_dispatch::DispatchAction;
use tanager_dispatch::DispatchCore;
use tanager_dispatch::DispatchSettings;
use tanager_dispatch::ProbeReport;
use tanager_dispatch::RequestKey;
use tanager_dispatch::SendReport;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::VmId;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::RequestSummary;

use crate::site::Job;
use crate::site::SLOTS;

/// Policies that the benchmark compares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// First come, first served; no moves, and waves that take all VMs of a pool at once.
    NoProtection,
    /// Fixed shares of the slots by priority; no moves, and waves that take one VM after another.
    StaticShares,
    /// First come, first served; each report may move a VM to the pool with the longest
    /// queue, and waves take one rack after another.
    GreedyChasing,
    /// The policy of this crate.
    Tanagerladder,
}

impl Policy {
    pub(crate) const ALL: [Self; 4] = [
        Self::NoProtection,
        Self::StaticShares,
        Self::GreedyChasing,
        Self::Tanagerladder,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NoProtection => "no protection",
            Self::StaticShares => "static shares",
            Self::GreedyChasing => "greedy chasing",
            Self::Tanagerladder => "ours",
        }
    }
}

/// Action that a dispatcher requests from the driver.
pub(crate) enum DriverEffect {
    Start {
        job: usize,
        vm: VmId,
    },
    /// Final; the job was not run.
    Refused {
        job: usize,
    },
    /// Final; the worker must stop the job if it still runs.
    Ended {
        job: usize,
    },
    Probe {
        vm: VmId,
    },
}

/// Dispatcher of one policy.
pub(crate) enum Dispatcher {
    Simple(Box<SimpleDispatcher>),
    Core(Box<CoreDispatcher>),
}

/// Maps jobs to the requests of a `DispatchCore`.
pub(crate) struct CoreDispatcher {
    pub(crate) core: DispatchCore,
    jobs: BTreeMap<RequestKey, usize>,
    keys: BTreeMap<usize, RequestKey>,
}

impl CoreDispatcher {
    fn effects(&mut self, actions: Vec<DispatchAction>) -> Vec<DriverEffect> {
        let effects = actions.into_iter().filter_map(|action| match action {
            DispatchAction::Send { key, vm, .. } => self
                .jobs
                .get(&key)
                .map(|job| DriverEffect::Start { job: *job, vm }),
            DispatchAction::Refuse { key, .. } => self
                .jobs
                .remove(&key)
                .map(|job| DriverEffect::Refused { job }),
            DispatchAction::Finish { key } => self
                .jobs
                .remove(&key)
                .map(|job| DriverEffect::Ended { job }),
            DispatchAction::Probe { vm, .. } => Some(DriverEffect::Probe { vm }),
            DispatchAction::Claim { .. } => None,
        });
        effects.collect()
    }
}

impl Dispatcher {
    pub(crate) fn new(policy: Policy, seed: u64) -> Self {
        match policy {
            Policy::Tanagerladder => Self::Core(Box::new(CoreDispatcher {
                core: DispatchCore::new(DispatchSettings::default(), seed),
                jobs: BTreeMap::new(),
                keys: BTreeMap::new(),
            })),
            _ => Self::Simple(Box::new(SimpleDispatcher {
                uses_static_shares: policy == Policy::StaticShares,
                ..SimpleDispatcher::default()
            })),
        }
    }

    pub(crate) fn update_fleet_state(
        &mut self,
        now: Duration,
        state: &FleetState,
    ) -> Vec<DriverEffect> {
        match self {
            Self::Simple(simple) => simple.update_fleet_state(state),
            Self::Core(adapter) => {
                let actions = adapter.core.update_fleet_state(now, state);
                adapter.effects(actions)
            }
        }
    }

    pub(crate) fn submit(
        &mut self,
        now: Duration,
        index: usize,
        job: &Job,
        pool: &str,
    ) -> Vec<DriverEffect> {
        match self {
            Self::Simple(simple) => simple.submit(now, index, job, pool),
            Self::Core(adapter) => {
                let request = RequestSummary {
                    pool: pool.to_owned(),
                    team: if job.is_flood { "flood" } else { "regular" }.to_owned(),
                    priority: job.priority,
                    timeout: Duration::from_secs(300),
                    idempotent: true,
                    needs_claim: false,
                    slots: job.slots,
                };
                let (key, actions) = adapter.core.submit(now, request);
                adapter.jobs.insert(key, index);
                adapter.keys.insert(index, key);
                adapter.effects(actions)
            }
        }
    }

    pub(crate) fn finished(
        &mut self,
        now: Duration,
        job: usize,
        report: SendReport,
    ) -> Vec<DriverEffect> {
        match self {
            Self::Simple(simple) => simple.finished(job),
            Self::Core(adapter) => {
                let Some(key) = adapter.keys.get(&job).copied() else {
                    return Vec::new();
                };
                let actions = adapter.core.send_finished(now, key, report);
                adapter.effects(actions)
            }
        }
    }

    pub(crate) fn cancel(&mut self, now: Duration, job: usize) -> Vec<DriverEffect> {
        match self {
            Self::Simple(simple) => simple.cancel(job),
            Self::Core(adapter) => {
                let Some(key) = adapter.keys.get(&job).copied() else {
                    return Vec::new();
                };
                let actions = adapter.core.cancel(now, key);
                adapter.effects(actions)
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Duration) -> Vec<DriverEffect> {
        match self {
            Self::Simple(simple) => simple.expire(now),
            Self::Core(adapter) => {
                let actions = adapter.core.tick(now);
                adapter.effects(actions)
            }
        }
    }

    pub(crate) fn probe_finished(
        &mut self,
        now: Duration,
        vm: &str,
        report: ProbeReport,
    ) -> Vec<DriverEffect> {
        match self {
            Self::Simple(_) => Vec::new(),
            Self::Core(adapter) => {
                let actions = adapter.core.probe_finished(now, vm, report);
                adapter.effects(actions)
            }
        }
    }

    pub(crate) fn next_deadline(&self, now: Duration) -> Option<Duration> {
        match self {
            Self::Simple(_) => Some(now + Duration::from_millis(100)),
            Self::Core(adapter) => adapter.core.next_deadline(),
        }
    }
}

#[derive(Default)]
struct SimplePool {
    /// One queue, or one per priority with static shares.
    queues: [VecDeque<(usize, Duration)>; 3],
    used: [u32; 3],
    vms: Vec<VmId>,
}

/// First come, first served on the least loaded worker. Requests leave the queue at the time
/// limit of their priority, when callers stop waiting; nothing else is refused, limited or ejected.
#[derive(Default)]
pub(crate) struct SimpleDispatcher {
    uses_static_shares: bool,
    pools: BTreeMap<String, SimplePool>,
    used: BTreeMap<VmId, u32>,
    running: BTreeMap<usize, (VmId, String, usize)>,
    declared: BTreeMap<usize, u32>,
}

/// Static shares of the slots by priority: the weights 8, 4 and 1.
const STATIC_SHARES: [u32; 3] = [8, 4, 1];

impl SimpleDispatcher {
    fn update_fleet_state(&mut self, state: &FleetState) -> Vec<DriverEffect> {
        for pool in state.document.pools.keys() {
            self.pools.entry(pool.clone()).or_default().vms.clear();
        }
        for (vm, record) in &state.vms {
            if record.health == VmHealth::Up
                && record.activity == VmActivity::Active
                && let Some(pool) = self.pools.get_mut(&record.pool)
            {
                pool.vms.push(vm.clone());
            }
        }
        let names: Vec<String> = self.pools.keys().cloned().collect();
        names.iter().flat_map(|pool| self.dispatch(pool)).collect()
    }

    fn submit(&mut self, now: Duration, index: usize, job: &Job, name: &str) -> Vec<DriverEffect> {
        let limit = [9_900, 30_000, 120_000][job.priority as usize];
        self.declared.insert(index, job.slots);
        let class = if self.uses_static_shares {
            job.priority as usize
        } else {
            0
        };
        if let Some(pool) = self.pools.get_mut(name) {
            pool.queues[class].push_back((index, now + Duration::from_millis(limit)));
        }
        self.dispatch(name)
    }

    fn finished(&mut self, job: usize) -> Vec<DriverEffect> {
        let Some((vm, pool, class)) = self.running.remove(&job) else {
            return Vec::new();
        };
        if let Some(used) = self.used.get_mut(&vm) {
            *used -= 1;
        }
        if let Some(state) = self.pools.get_mut(&pool) {
            state.used[class] -= 1;
        }
        let mut effects = vec![DriverEffect::Ended { job }];
        effects.extend(self.dispatch(&pool));
        effects
    }

    fn cancel(&mut self, job: usize) -> Vec<DriverEffect> {
        for pool in self.pools.values_mut() {
            for queue in &mut pool.queues {
                if let Some(position) = queue.iter().position(|(other, _)| *other == job) {
                    queue.remove(position);
                    return vec![DriverEffect::Refused { job }];
                }
            }
        }
        self.finished(job)
    }

    fn expire(&mut self, now: Duration) -> Vec<DriverEffect> {
        let mut effects = Vec::new();
        for queue in self.pools.values_mut().flat_map(|pool| &mut pool.queues) {
            queue.retain(|(job, limit)| {
                if *limit <= now {
                    effects.push(DriverEffect::Refused { job: *job });
                }
                *limit > now
            });
        }
        effects
    }

    fn dispatch(&mut self, name: &str) -> Vec<DriverEffect> {
        let mut effects = Vec::new();
        let Some(pool) = self.pools.get_mut(name) else {
            return effects;
        };
        let slots = u32::try_from(pool.vms.len()).unwrap_or(0) * SLOTS;
        for (class, share) in STATIC_SHARES.into_iter().enumerate() {
            let total: u32 = STATIC_SHARES.iter().sum();
            let limit = if self.uses_static_shares {
                slots * share / total
            } else {
                slots
            };
            let mut position = 0;
            while pool.used[class] < limit {
                let Some((job, _)) = pool.queues[class].get(position).copied() else {
                    break;
                };
                if self
                    .declared
                    .get(&job)
                    .is_some_and(|declared| *declared > SLOTS)
                {
                    position += 1;
                    continue;
                }
                let load = |vm: &VmId| self.used.get(vm).copied().unwrap_or(0);
                let Some(vm) = pool.vms.iter().min_by_key(|vm| load(vm)).cloned() else {
                    break;
                };
                if load(&vm) >= SLOTS {
                    break;
                }
                pool.queues[class].remove(position);
                pool.used[class] += 1;
                *self.used.entry(vm.clone()).or_insert(0) += 1;
                self.running
                    .insert(job, (vm.clone(), name.to_owned(), class));
                effects.push(DriverEffect::Start { job, vm });
            }
        }
        effects
    }
}

/// Index of a priority in the tables of the report.
pub(crate) fn priority_index(priority: RequestPriority) -> usize {
    priority as usize
}
