//! Faults of processes, links, the store and the platform.

use std::time::Duration;

use rand::RngExt;

use super::store::Process;
use super::world::Event;
use super::world::FAULT_TIME;
use super::world::World;

/// When an order may be sent, and how long a new coordinator waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderRule {
    /// `OrderLease` and `takeover_wait`.
    Lease,
    /// The rule before: a heartbeat confirmed within 1.5 s, checked once per order.
    Heartbeat,
}

/// Which faults are injected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultPlan {
    pub(crate) rule: OrderRule,
    /// Probability that a call to the store or its response is lost.
    pub(crate) lost: f64,
    /// Probability that a call to the store or its response is seconds late.
    pub(crate) late: f64,
    pub(crate) refused_reads: bool,
    /// The store refuses the writes of one node, which may still read.
    pub(crate) refused_writes: bool,
    pub(crate) pauses: bool,
    /// Probability of a pause before each step of an order.
    pub(crate) step_pauses: f64,
    /// Probability of a pause between the last check of the lease and the write.
    pub(crate) write_pauses: f64,
    pub(crate) restarts: bool,
    pub(crate) handovers: bool,
    pub(crate) store_cuts: bool,
    pub(crate) platform_cuts: bool,
    /// Pauses that begin while the link to the platform is cut and orders wait behind it.
    pub(crate) pauses_in_cuts: bool,
    pub(crate) slow_platform: bool,
    pub(crate) clock_errors: bool,
    /// The kernel discards bytes that have waited for the time of a lease, also while the process is
    /// paused, as the node asks it to.
    pub(crate) kernel_discards: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    Pause,
    Restart,
    Handover,
    StoreCut,
    PlatformCut,
    PauseInCut,
    RefusedReads,
    RefusedWrites,
    SlowPlatform,
}

impl World {
    pub(crate) fn inject(&mut self, fault: Fault, node: usize) {
        // The coordinator is hit more often than the others.
        let coordinator = (self.nodes.iter())
            .position(|node| node.ownership.as_ref().is_some_and(|own| !own.is_closed));
        let node = match coordinator {
            Some(coordinator) if self.rng.random_bool(0.6) => coordinator,
            _ => node,
        };
        let long = self.fault_duration();
        let long = long.min(FAULT_TIME.saturating_sub(self.now));
        let end = self.now + long;
        self.trace(|| format!("node {node}: {fault:?} for up to {long:?}"));
        match fault {
            Fault::Pause => self.pause(node, long),
            Fault::Restart => self.kill(node),
            Fault::Handover => self.begin_handover(node),
            Fault::StoreCut => {
                self.nodes[node].store_cut_until = end;
                self.platform.disturb(Some(node), self.now, end);
            }
            Fault::PlatformCut | Fault::PauseInCut => {
                if fault == Fault::PauseInCut {
                    let (delay, pause) = (self.random_time(0.0, 1.2), self.random_time(2.0, 10.0));
                    self.schedule(delay, Event::Pause(node, pause));
                }
                self.nodes[node].platform_cut_until = end;
                self.platform.disturb(Some(node), self.now, end);
            }
            Fault::RefusedReads => {
                self.store.refuses_reads = true;
                self.platform.disturb(None, self.now, end);
                self.schedule(long, Event::ServesReads);
            }
            Fault::RefusedWrites => {
                self.nodes[node].writes_refused_until = end;
                self.platform.disturb(None, self.now, end);
            }
            Fault::SlowPlatform => self.slow_until = end,
        }
    }

    pub(crate) fn fault_duration(&mut self) -> Duration {
        match self.rng.random_bool(0.5) {
            true => self.random_time(0.2, 3.0),
            false => self.random_time(0.2, 10.0),
        }
    }

    pub(crate) fn pause(&mut self, node: usize, duration: Duration) {
        let duration = duration.min(FAULT_TIME.saturating_sub(self.now));
        let state = &mut self.nodes[node];
        if !state.is_running || self.now < state.paused_until {
            return;
        }
        state.paused_until = self.now + duration;
        let process = state.process;
        (self.platform).disturb(Some(node), self.now, self.now + duration);
        self.trace(|| format!("node {node}: paused for {duration:?}"));
        self.schedule(duration, Event::Resume(process));
    }

    pub(crate) fn resume(&mut self, process: Process) {
        if self.nodes[process.node].process != process {
            return;
        }
        self.trace(|| format!("node {}: resumes", process.node));
        // The order in which the tasks of a process that resumes are run is not defined.
        for event in std::mem::take(&mut self.nodes[process.node].deferred) {
            let delay = self.random_time(0.0, 0.02);
            self.schedule(delay, event);
        }
    }

    fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_running {
            return;
        }
        let down_time = self.random_time(0.05, 4.0);
        self.platform
            .disturb(Some(node), self.now, self.now + down_time);
        self.nodes[node].is_running = false;
        // Connections are reset when their process ends, because their linger time is zero.
        let process = self.nodes[node].process;
        for order in self.orders.values_mut() {
            order.is_open &= order.holder != process;
        }
        self.schedule(down_time, Event::Restarted(node));
    }
}
