//! Simulated time, the network between the nodes, the store and the platform, and faults.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::faults::Fault;
use super::faults::FaultPlan;
use super::node::Node;
use super::node::PendingCall;
use super::node::Purpose;
use super::orders::Order;
use super::platform::Platform;
use super::store::Process;
use super::store::Request;
use super::store::Response;
use super::store::Store;

/// Time during which faults are injected.
pub(crate) const FAULT_TIME: Duration = Duration::from_secs(40);
/// Duration of a run.
pub(crate) const RUN_TIME: Duration = Duration::from_secs(62);
/// Each VM has to receive an order in the last stretch of this length.
const PROGRESS_TIME: Duration = Duration::from_secs(6);
const NODES: usize = 3;
pub(crate) const VMS: usize = 2;
/// Pause between two attempts of the coordinator to order something of a VM.
pub(crate) const ORDER_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum time for which the store carries out a call late.
const MAX_LATENESS: f64 = 4.0;

pub(crate) fn seconds(number: f64) -> Duration {
    Duration::from_secs_f64(number)
}

/// What happens in a process.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    HeartbeatDue,
    ViewDue,
    NoteDue,
    OrderDue(usize),
    Response(u64, Response),
    CallTimeout(u64),
    Extend(u64),
    Check(u64),
    Connect(u64),
    Write(u64),
    WriteUnchecked(u64),
    OrderResponse(u64),
    OrderDeadline(u64),
    ReleaseDeadline,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Process(Process, Action),
    StoreCall(Process, u64, Request),
    /// Bytes of an order reach the platform.
    Bytes(u64),
    Fault(Fault),
    Pause(usize, Duration),
    Resume(Process),
    Restarted(usize),
    ServesReads,
}

pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) rng: SmallRng,
    pub(crate) plan: FaultPlan,
    pub(crate) nodes: Vec<Node>,
    pub(crate) orders: BTreeMap<u64, Order>,
    pub(crate) platform: Platform,
    pub(crate) is_tracing: bool,
    pub(crate) store: Store,
    /// The platform answers slowly until this time.
    pub(crate) slow_until: Duration,
    /// Factor of the intervals between faults.
    fault_interval: f64,
    /// Factor of the probabilities of lost and late calls.
    call_faults: f64,
    events: BTreeMap<(Duration, u64), Event>,
    last_number: u64,
}

impl World {
    pub(crate) fn new(seed: u64, plan: FaultPlan) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        // The slowest clock may be exact, the fastest one, or neither.
        let slowest = [0.98, 0.99, 1.0][rng.random_range(0..3)];
        let fault_interval = [0.7, 1.5, 3.0][rng.random_range(0..3)];
        let call_faults = [0.5, 2.0, 10.0][rng.random_range(0..3)];
        let nodes = (0..NODES)
            .map(|node| {
                let rate = match plan.clock_errors {
                    true => slowest + [0.0, 0.0198, rng.random_range(0.0..0.0198)][node],
                    false => 1.0,
                };
                Node::new(node, rate, seconds(rng.random_range(0.0..100.0)))
            })
            .collect();
        let mut world = Self {
            now: Duration::ZERO,
            rng,
            plan,
            nodes,
            orders: BTreeMap::new(),
            platform: Platform::default(),
            is_tracing: false,
            store: Store::default(),
            slow_until: Duration::ZERO,
            fault_interval,
            call_faults,
            events: BTreeMap::new(),
            last_number: 0,
        };
        for node in 0..NODES {
            world.start_process(node);
        }
        let faults = [
            (plan.pauses, Fault::Pause),
            (plan.restarts, Fault::Restart),
            (plan.handovers, Fault::Handover),
            (plan.store_cuts, Fault::StoreCut),
            (plan.platform_cuts, Fault::PlatformCut),
            (plan.pauses_in_cuts, Fault::PauseInCut),
            (plan.refused_reads, Fault::RefusedReads),
            (plan.refused_writes, Fault::RefusedWrites),
            (plan.slow_platform, Fault::SlowPlatform),
        ];
        for (_, fault) in faults.into_iter().filter(|(is_enabled, _)| *is_enabled) {
            let delay = world.random_time(0.5, 8.0);
            world.schedule(delay, Event::Fault(fault));
        }
        world
    }

    /// Runs to the end and checks that the orders go on after the faults.
    pub(crate) fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > RUN_TIME {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        for vm in 0..VMS {
            let last = self.platform.last_order_at.get(&vm).copied();
            if last.is_none_or(|last| last < RUN_TIME - PROGRESS_TIME) {
                let message = format!("no order to VM {vm} after the faults, the last at {last:?}");
                self.platform.violations.push(message);
            }
        }
    }

    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.is_tracing {
            println!("{:9.4} {}", self.now.as_secs_f64(), text());
        }
    }

    pub(crate) fn random_time(&mut self, low: f64, high: f64) -> Duration {
        seconds(self.rng.random_range(low..high))
    }

    pub(crate) fn is_faulty_time(&self) -> bool {
        self.now < FAULT_TIME
    }

    /// Returns whether a fault with this probability occurs now.
    pub(crate) fn occurs(&mut self, probability: f64) -> bool {
        self.is_faulty_time() && probability > 0.0 && self.rng.random_bool(probability)
    }

    pub(crate) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        let number = self.next_number();
        self.events.insert((self.now + delay, number), event);
    }

    /// Schedules an action of a process after `delay`.
    pub(crate) fn schedule_action(&mut self, process: Process, delay: Duration, action: Action) {
        self.schedule(delay, Event::Process(process, action));
    }

    /// Schedules an action of a process after `delay` on its own clock.
    pub(crate) fn schedule_timer(&mut self, process: Process, delay: Duration, action: Action) {
        let delay = self.nodes[process.node].real_time(delay);
        self.schedule_action(process, delay, action);
    }

    fn start_process(&mut self, node: usize) {
        let process = self.nodes[node].process;
        let phase = self.random_time(0.0, 0.3);
        self.schedule_action(process, phase, Action::HeartbeatDue);
        let phase = self.random_time(0.0, 0.5);
        self.schedule_action(process, phase, Action::ViewDue);
        self.schedule_action(process, phase, Action::NoteDue);
        for vm in 0..VMS {
            let phase = self.random_time(0.0, 0.2);
            self.schedule_action(process, phase, Action::OrderDue(vm));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Process(process, action) => {
                let node = &mut self.nodes[process.node];
                if node.process != process || !node.is_running {
                } else if self.now < node.paused_until {
                    node.deferred.push(Event::Process(process, action));
                } else {
                    self.act(process.node, action);
                }
            }
            Event::StoreCall(process, number, request) => self.carry_out(process, number, &request),
            Event::Bytes(number) => self.bytes_arrive(number),
            Event::Pause(node, duration) => self.pause(node, duration),
            Event::Resume(process) => self.resume(process),
            Event::Restarted(node) => {
                self.nodes[node].restart();
                self.trace(|| format!("node {node}: restarted"));
                self.start_process(node);
            }
            Event::ServesReads => self.store.refuses_reads = false,
            Event::Fault(fault) => {
                let next = self.random_time(2.0, 10.0).mul_f64(self.fault_interval);
                if self.now + next < FAULT_TIME {
                    self.schedule(next, Event::Fault(fault));
                }
                let node = self.rng.random_range(0..NODES);
                self.inject(fault, node);
            }
        }
    }

    pub(crate) fn call_store(
        &mut self,
        node: usize,
        purpose: Purpose,
        request: Request,
        timeout: Duration,
    ) {
        let number = self.next_number();
        let state = &mut self.nodes[node];
        let process = state.process;
        let call = PendingCall {
            purpose,
            sent_at: state.local(self.now),
            token: state.ownership.as_ref().map_or(0, |own| own.token),
        };
        state.calls.insert(number, call);
        self.schedule_timer(process, timeout, Action::CallTimeout(number));
        if let Some(delay) = self.store_delay(node) {
            self.schedule(delay, Event::StoreCall(process, number, request));
        }
    }

    /// Returns the time that a call to the store, or its response, is on its way; `None` if it is
    /// lost.
    fn store_delay(&mut self, node: usize) -> Option<Duration> {
        let mut delay = self.random_time(0.001, 0.02);
        let heals_in = (self.nodes[node].store_cut_until).saturating_sub(self.now);
        if !heals_in.is_zero() {
            if self.rng.random_bool(0.5) {
                return None;
            }
            delay += heals_in;
        }
        if self.occurs(self.plan.lost * self.call_faults) {
            return None;
        }
        if self.occurs(self.plan.late * self.call_faults) {
            delay += self.random_time(0.2, MAX_LATENESS);
        }
        Some(delay)
    }

    fn carry_out(&mut self, process: Process, number: u64, request: &Request) {
        let refuses_writes = self.now < self.nodes[process.node].writes_refused_until;
        let response = match refuses_writes && *request != Request::Read {
            true => Response::Refused,
            false => self.store.carry_out(request),
        };
        if matches!(request, Request::WriteOwner(..)) {
            self.trace(|| format!("store: {process:?} {request:?} -> {response:?}"));
        }
        if let Some(delay) = self.store_delay(process.node) {
            self.schedule_action(process, delay, Action::Response(number, response));
        }
    }

    /// Returns the time that the platform takes for an order.
    pub(crate) fn platform_time(&mut self) -> Duration {
        match self.now < self.slow_until {
            true => self.random_time(0.1, 3.0),
            false => self.random_time(0.005, 0.05),
        }
    }
}
