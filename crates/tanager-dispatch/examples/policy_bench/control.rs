//! Moves and maintenance waves of the compared policies.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_dispatch::rebalance::MovePlanner;
use tanager_dispatch::rebalance::ReportedLoad;
use tanager_dispatch::wave::WaveProgress;
use tanager_dispatch::wave::WaveVm;
use tanager_dispatch::wave::next_wave_vms;
use tanager_dispatch::wave::wave_order;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::VmId;

use crate::dispatcher::Policy;
use crate::site::Job;
use crate::site::SLOTS;
use crate::site::Site;
use crate::site::Timeline;

/// Time for which a move takes a VM out of service.
pub(crate) const MOVE_COST: Duration = Duration::from_secs(30);
/// Duration of a reboot.
pub(crate) const REBOOT_TIME: Duration = Duration::from_secs(20);
/// Time from a measurement until the planner gets its report.
const REPORT_LAG: Duration = Duration::from_secs(5);
/// Time between usage reports, over which each counts arrivals.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

struct WaveRun {
    pool: usize,
    start: Duration,
    end: Option<Duration>,
    vms: Vec<WaveVm>,
    waiting: Vec<VmId>,
    /// VMs in maintenance, each with the end of its reboot once it has begun.
    running: Vec<(VmId, Option<Duration>)>,
}

struct UsageReport {
    measured_at: Duration,
    offered: Vec<f64>,
    queued: Vec<usize>,
}

/// Plans moves and waves for one policy.
pub(crate) struct FleetControl {
    policy: Policy,
    pools: Vec<(String, u32)>,
    planner: MovePlanner,
    reports: VecDeque<UsageReport>,
    arrived_work: Vec<f64>,
    last_report: Duration,
    moving: BTreeMap<VmId, (usize, Duration)>,
    waves: Vec<WaveRun>,
    pub(crate) moves: u32,
    pub(crate) floor_violations: u32,
}

impl FleetControl {
    pub(crate) fn new(site: &Site, timeline: &Timeline, policy: Policy) -> Self {
        let state = site.fleet();
        let waves = timeline.waves.iter().zip([2, 3]).map(|(start, pool)| {
            let vms: Vec<WaveVm> = state
                .document
                .vms
                .iter()
                .filter(|(_, config)| config.pool == site.pools[pool].0)
                .map(|(vm, config)| WaveVm {
                    vm: vm.clone(),
                    zone: config.zone.clone(),
                    rack: config.rack.clone(),
                })
                .collect();
            WaveRun {
                pool,
                start: Duration::from_secs_f64(*start),
                end: None,
                waiting: wave_order(&vms),
                vms,
                running: Vec::new(),
            }
        });
        Self {
            policy,
            pools: site
                .pools
                .iter()
                .map(|(pool, _, floor)| ((*pool).to_owned(), *floor))
                .collect(),
            planner: MovePlanner::default(),
            reports: VecDeque::new(),
            arrived_work: vec![0.0; site.pools.len()],
            last_report: Duration::ZERO,
            moving: BTreeMap::new(),
            waves: waves.collect(),
            moves: 0,
            floor_violations: 0,
        }
    }

    pub(crate) fn record_arrival(&mut self, job: &Job) {
        if job.slots <= SLOTS {
            self.arrived_work[job.pool] += job.work();
        }
    }

    pub(crate) fn wave_seconds(&self) -> [Option<f64>; 2] {
        let seconds = |index: usize| {
            let wave = self.waves.get(index)?;
            wave.end.map(|end| (end - wave.start).as_secs_f64())
        };
        [seconds(0), seconds(1)]
    }

    /// Advances moves and waves. Returns the VMs that reboot or change their pool in this step.
    pub(crate) fn step(
        &mut self,
        now: Duration,
        state: &mut FleetState,
        used: &BTreeMap<VmId, u32>,
        queued: &[usize],
    ) -> Vec<VmId> {
        let mut stopped = self.commit_moves(now, state, used);
        self.report_usage(now, queued);
        self.start_moves(now, state);
        for index in 0..self.waves.len() {
            stopped.extend(self.step_wave(now, state, used, index));
        }
        stopped
    }

    fn available(&self, state: &FleetState, pool: usize) -> u32 {
        let name = &self.pools[pool].0;
        let count = state
            .vms
            .values()
            .filter(|record| record.pool == *name)
            .filter(|record| record.activity == VmActivity::Active && record.health == VmHealth::Up)
            .count();
        u32::try_from(count).unwrap_or(0)
    }

    /// Takes a VM out of service as planned work and counts any violation of the floor.
    fn remove_from_service(
        &mut self,
        state: &mut FleetState,
        vm: &str,
        pool: usize,
        activity: VmActivity,
    ) {
        if self.available(state, pool) <= self.pools[pool].1 {
            self.floor_violations += 1;
        }
        if let Some(record) = state.vms.get_mut(vm) {
            record.activity = activity;
        }
    }

    fn report_usage(&mut self, now: Duration, queued: &[usize]) {
        if now < self.last_report + REPORT_INTERVAL {
            return;
        }
        let elapsed = (now - self.last_report).as_secs_f64();
        self.last_report = now;
        let offered = self
            .arrived_work
            .iter()
            .map(|work| work / elapsed)
            .collect();
        self.arrived_work.fill(0.0);
        self.reports.push_back(UsageReport {
            measured_at: now,
            offered,
            queued: queued.to_vec(),
        });
    }

    fn start_moves(&mut self, now: Duration, state: &mut FleetState) {
        let Some(report) = self
            .reports
            .front()
            .filter(|report| report.measured_at + REPORT_LAG <= now)
        else {
            return;
        };
        let measured_at = report.measured_at;
        let (offered, queued) = (report.offered.clone(), report.queued.clone());
        self.reports.pop_front();
        let plan = match self.policy {
            Policy::Tanagerladder => {
                let reported_loads: Vec<ReportedLoad> = (0..self.pools.len())
                    .map(|pool| {
                        let available = self.available(state, pool);
                        ReportedLoad {
                            pool: self.pools[pool].0.clone(),
                            available,
                            floor: self.pools[pool].1,
                            slots: available * SLOTS,
                            offered: offered[pool],
                            measured_at,
                        }
                    })
                    .collect();
                let index = |name: &str| self.pools.iter().position(|(pool, _)| pool == name);
                self.planner
                    .plan_move(now, &reported_loads, MOVE_COST)
                    .and_then(|plan| index(&plan.from).zip(index(&plan.to)))
            }
            Policy::GreedyChasing => {
                let to = (0..self.pools.len()).max_by_key(|pool| queued[*pool]);
                let from = (0..self.pools.len())
                    .filter(|pool| self.available(state, *pool) > 1)
                    .min_by_key(|pool| (queued[*pool], u32::MAX - self.available(state, *pool)));
                from.zip(to)
                    .filter(|(from, to)| queued[*to] > queued[*from] + SLOTS as usize)
            }
            Policy::NoProtection | Policy::StaticShares => None,
        };
        let Some((from, to)) = plan else {
            return;
        };
        let vm = state
            .vms
            .iter()
            .find(|(_, record)| {
                record.pool == self.pools[from].0
                    && record.activity == VmActivity::Active
                    && record.health == VmHealth::Up
            })
            .map(|(vm, _)| vm.clone());
        let Some(vm) = vm else {
            return;
        };
        let activity = VmActivity::Moving {
            to: self.pools[to].0.clone(),
            since: state.version,
        };
        self.remove_from_service(state, &vm, from, activity);
        self.moves += 1;
        self.moving.insert(vm, (to, now + MOVE_COST));
    }

    fn commit_moves(
        &mut self,
        now: Duration,
        state: &mut FleetState,
        used: &BTreeMap<VmId, u32>,
    ) -> Vec<VmId> {
        let due: Vec<VmId> = self
            .moving
            .iter()
            .filter(|(vm, (_, end))| *end <= now && used[*vm] == 0)
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in &due {
            if let Some((to, _)) = self.moving.remove(vm)
                && let Some(record) = state.vms.get_mut(vm)
            {
                record.pool.clone_from(&self.pools[to].0);
                record.activity = VmActivity::Active;
            }
        }
        due
    }

    fn step_wave(
        &mut self,
        now: Duration,
        state: &mut FleetState,
        used: &BTreeMap<VmId, u32>,
        index: usize,
    ) -> Vec<VmId> {
        let mut stopped = Vec::new();
        let wave = &mut self.waves[index];
        if now < wave.start || wave.end.is_some() {
            return stopped;
        }
        for (vm, until) in &mut wave.running {
            if until.is_none() && used[vm] == 0 {
                *until = Some(now + REBOOT_TIME);
                stopped.push(vm.clone());
            }
        }
        wave.running.retain(|(vm, until)| {
            let done = until.is_some_and(|end| end <= now);
            if done && let Some(record) = state.vms.get_mut(vm) {
                record.activity = VmActivity::Active;
            }
            !done
        });
        if wave.waiting.is_empty() && wave.running.is_empty() {
            wave.end = Some(now);
            return stopped;
        }
        let pool = wave.pool;
        let started = self.next_maintenance_vms(state, index);
        for vm in started {
            self.waves[index].waiting.retain(|other| *other != vm);
            // A VM that has left the pool or is moving is maintained with its new pool.
            if state.vms[&vm].pool != self.pools[pool].0 || self.moving.contains_key(&vm) {
                continue;
            }
            let activity = VmActivity::Draining {
                reason: "maintenance".to_owned(),
                since: state.version,
            };
            self.remove_from_service(state, &vm, pool, activity);
            self.waves[index].running.push((vm, None));
        }
        stopped
    }

    fn next_maintenance_vms(&self, state: &FleetState, index: usize) -> Vec<VmId> {
        let wave = &self.waves[index];
        let running: Vec<VmId> = wave.running.iter().map(|(vm, _)| vm.clone()).collect();
        let rack = |vm: &VmId| {
            wave.vms
                .iter()
                .find(|other| other.vm == *vm)
                .map(|vm| vm.rack.clone())
        };
        match self.policy {
            Policy::Tanagerladder => {
                let failed = wave
                    .vms
                    .iter()
                    .any(|vm| state.vms[&vm.vm].health != VmHealth::Up);
                if failed {
                    return Vec::new();
                }
                next_wave_vms(&WaveProgress {
                    vms: &wave.vms,
                    waiting: &wave.waiting,
                    running: &running,
                    available: self.available(state, wave.pool),
                    floor: self.pools[wave.pool].1,
                })
            }
            Policy::NoProtection => wave.waiting.clone(),
            _ if !running.is_empty() => Vec::new(),
            Policy::StaticShares => wave.waiting.iter().take(1).cloned().collect(),
            Policy::GreedyChasing => {
                let first = wave.waiting.first().and_then(rack);
                wave.waiting
                    .iter()
                    .filter(|vm| rack(vm) == first)
                    .cloned()
                    .collect()
            }
        }
    }
}
