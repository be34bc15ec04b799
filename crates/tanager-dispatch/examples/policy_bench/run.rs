//! Event loop that simulates arrivals, completions and faults for a dispatcher.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use tanager_dispatch::ProbeReport;
use tanager_dispatch::SendReport;
use tanager_dispatch::lending::PoolLoad;
use tanager_dispatch::lending::plan_loans;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::VmId;

use crate::control::FleetControl;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::DriverEffect;
use crate::dispatcher::Policy;
use crate::site::Job;
use crate::site::SLOTS;
use crate::site::Site;
use crate::site::Timeline;
use crate::worker::SimulatedWorker;
use crate::worker::WorkerMode;

/// Time between steps of moves and waves.
const CONTROL_STEP: Duration = Duration::from_millis(500);
/// Time after which a connection to a lost worker fails.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which the fleet state shows that a rack was lost or has returned.
const HEALTH_LAG: Duration = Duration::from_secs(3);
/// Number of leased tasks that always wait in the borrowing pool.
const TASK_BACKLOG: u32 = 10_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum DriverEvent {
    Arrival(usize),
    Completion(usize, u64),
    /// An attempt that ends without a response: the job, the worker, and whether the job may have
    /// run.
    ConnectionFailed(usize, usize, bool),
    /// An error response.
    ErrorResponse(usize, usize),
    Deadline,
    Control,
    Cancel,
    WorkersFailing(bool),
    RackOutage(bool),
    HealthReport(bool),
}

/// Result of one job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobResult {
    pub(crate) started: Option<Duration>,
    pub(crate) useful: bool,
    pub(crate) ended: bool,
    pub(crate) cancelled: bool,
    worker: Option<usize>,
}

/// Figures of one run.
#[derive(Debug, Default)]
pub(crate) struct RunResult {
    pub(crate) jobs: Vec<JobResult>,
    /// Slot-seconds of finished requests.
    pub(crate) useful_slot_seconds: f64,
    /// Slot-seconds of finished or saved leased tasks.
    pub(crate) leased_slot_seconds: f64,
    /// Slot-seconds of all workers.
    pub(crate) total_slot_seconds: f64,
    /// Slot-seconds idle on workers in service while leased tasks waited.
    pub(crate) idle_slot_seconds: f64,
    /// Slot-seconds withheld by adapted limits.
    pub(crate) limited_slot_seconds: f64,
    pub(crate) moves: u32,
    pub(crate) floor_violations: u32,
    /// Seconds from the start to the end of each wave, if it ended.
    pub(crate) wave_seconds: [Option<f64>; 2],
    /// Requests to which an always failing worker responded.
    pub(crate) failed_requests: u32,
}

struct PolicyDriver<'a> {
    site: &'a Site,
    policy: Policy,
    jobs: &'a [Job],
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, DriverEvent)>>,
    planned_deadline: Option<Duration>,
    dispatcher: Dispatcher,
    workers: Vec<SimulatedWorker>,
    names: BTreeMap<VmId, usize>,
    vms: Vec<VmId>,
    /// Index of the pool of each worker.
    pools: Vec<usize>,
    limits: Vec<u32>,
    in_service: Vec<bool>,
    waiting: BTreeMap<&'static str, u32>,
    state: FleetState,
    control: FleetControl,
    accounted_until: Duration,
    result: RunResult,
}

/// Runs one policy over the arrivals.
pub(crate) fn run(
    site: &Site,
    timeline: &Timeline,
    policy: Policy,
    jobs: &[Job],
    seed: u64,
) -> RunResult {
    let state = site.fleet();
    let names: BTreeMap<VmId, usize> = state.vms.keys().cloned().zip(0..).collect();
    let vms: Vec<VmId> = state.vms.keys().cloned().collect();
    let count = names.len();
    let mut driver = PolicyDriver {
        site,
        policy,
        jobs,
        now: Duration::ZERO,
        sequence: 0,
        events: BinaryHeap::new(),
        planned_deadline: None,
        dispatcher: Dispatcher::new(policy, seed),
        workers: (0..count).map(|_| SimulatedWorker::new()).collect(),
        names,
        vms,
        pools: vec![0; count],
        limits: vec![SLOTS; count],
        in_service: vec![true; count],
        waiting: site.pools.iter().map(|(pool, _, _)| (*pool, 0)).collect(),
        state,
        control: FleetControl::new(site, timeline, policy),
        accounted_until: Duration::ZERO,
        result: RunResult {
            jobs: vec![JobResult::default(); jobs.len()],
            ..RunResult::default()
        },
    };
    driver.execute(timeline);
    driver.result
}

impl PolicyDriver<'_> {
    fn execute(&mut self, timeline: &Timeline) {
        let at = Duration::from_secs_f64;
        let end = at(timeline.end);
        for (index, job) in self.jobs.iter().enumerate() {
            self.push(job.arrival, DriverEvent::Arrival(index));
        }
        self.push(Duration::ZERO, DriverEvent::Control);
        self.push(
            at(timeline.failing_period.0),
            DriverEvent::WorkersFailing(true),
        );
        self.push(
            at(timeline.failing_period.1),
            DriverEvent::WorkersFailing(false),
        );
        self.push(at(timeline.rack_outage.0), DriverEvent::RackOutage(true));
        self.push(at(timeline.rack_outage.1), DriverEvent::RackOutage(false));
        for time in &timeline.cancel_times {
            self.push(at(*time), DriverEvent::Cancel);
        }
        let effects = self.dispatcher.update_fleet_state(self.now, &self.state);
        self.apply(effects);
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > end {
                break;
            }
            self.account_idle(time);
            self.now = time;
            self.handle(event);
            if self.policy == Policy::Tanagerladder {
                self.refresh_limits(event);
                self.lend();
            }
            self.plan_deadline();
        }
        self.account_idle(end);
        let slots = f64::from(SLOTS);
        self.result.total_slot_seconds = self.workers.iter().map(|_| slots * timeline.end).sum();
        self.result.leased_slot_seconds =
            self.workers.iter().map(|worker| worker.leased_work).sum();
        self.result.moves = self.control.moves;
        self.result.floor_violations = self.control.floor_violations;
        self.result.wave_seconds = self.control.wave_seconds();
    }

    fn push(&mut self, time: Duration, event: DriverEvent) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn plan_deadline(&mut self) {
        let Some(next) = self.dispatcher.next_deadline(self.now) else {
            return;
        };
        if self
            .planned_deadline
            .is_none_or(|planned| next < planned || planned <= self.now)
        {
            self.planned_deadline = Some(next);
            self.push(next.max(self.now), DriverEvent::Deadline);
        }
    }

    fn plan_worker(&mut self, worker: usize) {
        if let Some(time) = self.workers[worker].plan_completion() {
            let generation = self.workers[worker].generation;
            self.push(time, DriverEvent::Completion(worker, generation));
        }
    }

    fn handle(&mut self, event: DriverEvent) {
        match event {
            DriverEvent::Arrival(index) => {
                let pool = self.site.pools[self.jobs[index].pool].0;
                self.control.record_arrival(&self.jobs[index]);
                *self.waiting.entry(pool).or_default() += 1;
                let effects = self
                    .dispatcher
                    .submit(self.now, index, &self.jobs[index], pool);
                self.apply(effects);
            }
            DriverEvent::Completion(worker, generation) => {
                if self.workers[worker].generation != generation {
                    return;
                }
                for job in self.workers[worker].remove_completed(self.now) {
                    self.complete(job);
                }
                self.plan_worker(worker);
            }
            DriverEvent::ConnectionFailed(job, worker, may_have_run) => {
                let report = if may_have_run {
                    SendReport::Unknown
                } else {
                    SendReport::NotSent
                };
                self.report(job, worker, report);
            }
            DriverEvent::ErrorResponse(job, worker) => {
                let latency = Duration::from_millis(2);
                self.result.failed_requests += 1;
                self.report(
                    job,
                    worker,
                    SendReport::Failed {
                        latency,
                        shutting_down: false,
                    },
                );
            }
            DriverEvent::Deadline => {
                let effects = self.dispatcher.tick(self.now);
                self.apply(effects);
            }
            DriverEvent::Control => self.step_control(),
            DriverEvent::Cancel => {
                for job in (0..self.jobs.len()).step_by(2) {
                    let open = self.jobs[job].arrival <= self.now && !self.result.jobs[job].ended;
                    if open {
                        self.result.jobs[job].cancelled = true;
                        let effects = self.dispatcher.cancel(self.now, job);
                        self.apply(effects);
                    }
                }
            }
            DriverEvent::WorkersFailing(on) => {
                let pool = self.site.pools[1].0;
                for index in [3, 7] {
                    let worker = self.names[&format!("{pool}-{index:02}")];
                    self.workers[worker].mode = if on {
                        WorkerMode::FailingFast
                    } else {
                        WorkerMode::Serving
                    };
                }
            }
            DriverEvent::RackOutage(lost) => self.change_rack(lost),
            DriverEvent::HealthReport(lost) => {
                let health = if lost { VmHealth::Down } else { VmHealth::Up };
                for vm in self.rack() {
                    if let Some(record) = self.state.vms.get_mut(&vm) {
                        record.health = health;
                    }
                }
                self.publish();
            }
        }
    }

    /// VMs of the first rack of the fourth pool.
    fn rack(&self) -> Vec<VmId> {
        let rack = format!("{}-rack-0", self.site.pools[3].0);
        let vms = self
            .state
            .document
            .vms
            .iter()
            .filter(|(_, config)| config.rack == rack);
        vms.map(|(vm, _)| vm.clone()).collect()
    }

    fn change_rack(&mut self, lost: bool) {
        for vm in self.rack() {
            let worker = self.names[&vm];
            self.workers[worker].mode = if lost {
                WorkerMode::Unreachable
            } else {
                WorkerMode::Serving
            };
            for job in self.workers[worker].stop_all(self.now) {
                self.push(
                    self.now + CONNECT_TIMEOUT,
                    DriverEvent::ConnectionFailed(job, worker, true),
                );
            }
        }
        self.push(self.now + HEALTH_LAG, DriverEvent::HealthReport(lost));
    }

    fn publish(&mut self) {
        self.state.version += 1;
        let effects = self.dispatcher.update_fleet_state(self.now, &self.state);
        self.apply(effects);
        for (vm, worker) in &self.names {
            let record = &self.state.vms[vm];
            let pools = self.site.pools.iter();
            self.pools[*worker] = pools
                .map(|(pool, _, _)| *pool)
                .position(|pool| pool == record.pool)
                .unwrap_or(0);
            self.in_service[*worker] =
                record.activity == VmActivity::Active && record.health == VmHealth::Up;
        }
    }

    fn step_control(&mut self) {
        let used: BTreeMap<VmId, u32> = self
            .names
            .iter()
            .map(|(vm, worker)| (vm.clone(), self.workers[*worker].used()))
            .collect();
        let queued: Vec<usize> = self
            .site
            .pools
            .iter()
            .map(|(pool, _, _)| self.waiting[pool] as usize)
            .collect();
        let rebooted = self.control.step(self.now, &mut self.state, &used, &queued);
        for vm in rebooted {
            let worker = self.names[&vm];
            self.workers[worker].stop_all(self.now);
        }
        self.publish();
        self.push(self.now + CONTROL_STEP, DriverEvent::Control);
    }

    fn complete(&mut self, job: usize) {
        let worker = self.result.jobs[job].worker;
        self.result.jobs[job].useful = true;
        self.result.useful_slot_seconds += self.jobs[job].work();
        let since = self.result.jobs[job].started.unwrap_or(self.now);
        let latency = self.now.saturating_sub(since);
        if let Some(worker) = worker {
            self.report(job, worker, SendReport::Answered { latency });
        }
    }

    fn report(&mut self, job: usize, worker: usize, report: SendReport) {
        if self.result.jobs[job].worker != Some(worker) || self.result.jobs[job].ended {
            return;
        }
        self.result.jobs[job].worker = None;
        // A retry waits again; the effects of the report remove an ended request.
        *self
            .waiting
            .entry(self.site.pools[self.jobs[job].pool].0)
            .or_default() += 1;
        let effects = self.dispatcher.finished(self.now, job, report);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<DriverEffect>) {
        for effect in effects {
            match effect {
                DriverEffect::Start { job, vm } => self.start(job, &vm),
                DriverEffect::Refused { job } => {
                    self.result.jobs[job].ended = true;
                    self.leave_queue(job);
                }
                DriverEffect::Ended { job } => {
                    self.result.jobs[job].ended = true;
                    match self.result.jobs[job].worker.take() {
                        Some(worker) => {
                            self.workers[worker].remove(self.now, job);
                            self.plan_worker(worker);
                        }
                        None => self.leave_queue(job),
                    }
                }
                DriverEffect::Probe { vm } => {
                    let report = match self.workers[self.names[&vm]].mode {
                        WorkerMode::Unreachable => ProbeReport::Failed,
                        _ => ProbeReport::Up,
                    };
                    let effects = self.dispatcher.probe_finished(self.now, &vm, report);
                    self.apply(effects);
                }
            }
        }
    }

    fn leave_queue(&mut self, job: usize) {
        let pool = self.site.pools[self.jobs[job].pool].0;
        if let Some(waiting) = self.waiting.get_mut(pool) {
            *waiting = waiting.saturating_sub(1);
        }
    }

    fn start(&mut self, job: usize, vm: &str) {
        let worker = self.names[vm];
        self.leave_queue(job);
        let entry = &mut self.result.jobs[job];
        entry.started = entry.started.or(Some(self.now));
        entry.worker = Some(worker);
        match self.workers[worker].mode {
            WorkerMode::Serving => {
                let Job {
                    run_seconds,
                    actual_slots,
                    ..
                } = self.jobs[job];
                self.workers[worker].start(self.now, job, run_seconds, actual_slots);
                self.plan_worker(worker);
            }
            WorkerMode::FailingFast => {
                self.push(
                    self.now + Duration::from_millis(2),
                    DriverEvent::ErrorResponse(job, worker),
                );
            }
            WorkerMode::Unreachable => {
                self.push(
                    self.now + CONNECT_TIMEOUT,
                    DriverEvent::ConnectionFailed(job, worker, false),
                );
            }
        }
    }

    /// Updates the limits that an event may have changed: none for an arrival, that of its worker
    /// for a completion.
    fn refresh_limits(&mut self, event: DriverEvent) {
        let changed = match event {
            DriverEvent::Arrival(_) => 0..0,
            DriverEvent::Completion(worker, _) => worker..worker + 1,
            _ => 0..self.vms.len(),
        };
        if let Dispatcher::Core(adapter) = &self.dispatcher {
            for worker in changed {
                self.limits[worker] = adapter.core.slot_limit(&self.vms[worker]);
            }
        }
    }

    /// Lends the idle slots of pools without waiting work.
    fn lend(&mut self) {
        let mut loads: Vec<PoolLoad> = self
            .site
            .pools
            .iter()
            .map(|(pool, _, _)| PoolLoad {
                waiting: self.waiting[pool],
                ..PoolLoad::default()
            })
            .collect();
        for (worker, pool) in self.pools.iter().enumerate() {
            if self.usable(worker) {
                let (entry, limit) = (&self.workers[worker], self.limits[worker]);
                let used = entry.used().min(limit);
                loads[*pool].capacity += limit;
                loads[*pool].used += used;
                loads[*pool].lent += entry.lent().min(limit - used);
            }
        }
        if loads
            .iter()
            .all(|load| load.used + load.waiting + load.lent >= load.capacity)
        {
            return;
        }
        for (load, (pool, _, _)) in loads.iter_mut().zip(&self.site.pools) {
            (*pool).clone_into(&mut load.pool);
        }
        loads.push(PoolLoad {
            pool: "leased-tasks".to_owned(),
            waiting: TASK_BACKLOG,
            waiting_batch: TASK_BACKLOG,
            ..PoolLoad::default()
        });
        for loan in plan_loans(&loads) {
            let mut remaining_slots = loan.slots;
            for worker in 0..self.workers.len() {
                if remaining_slots == 0 {
                    break;
                }
                let free = self.free(worker);
                let member = self.site.pools[self.pools[worker]].0 == loan.lender;
                if member && self.usable(worker) && free > 0 {
                    remaining_slots -=
                        self.workers[worker].lend(self.now, free.min(remaining_slots));
                    self.plan_worker(worker);
                }
            }
        }
    }

    fn usable(&self, worker: usize) -> bool {
        self.in_service[worker] && self.workers[worker].mode == WorkerMode::Serving
    }

    fn free(&self, worker: usize) -> u32 {
        let entry = &self.workers[worker];
        self.limits[worker].saturating_sub(entry.used() + entry.lent())
    }

    /// Adds the idle and withheld slot time since the last event.
    fn account_idle(&mut self, time: Duration) {
        let elapsed = time.saturating_sub(self.accounted_until).as_secs_f64();
        self.accounted_until = time;
        for worker in 0..self.workers.len() {
            if self.usable(worker) {
                self.result.idle_slot_seconds += elapsed * f64::from(self.free(worker));
                self.result.limited_slot_seconds +=
                    elapsed * f64::from(SLOTS - self.limits[worker]);
            }
        }
    }
}
