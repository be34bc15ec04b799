//! Maintenance waves: which VM is drained and ordered into maintenance next.
//!
//! Half of the fleet may be due within half a minute while queues surge in turn. VMs of pools with
//! little load go first, as many as may be down. VMs of a pool under load wait, because the pool is
//! soon idle, until the remaining time is needed; see [`WavePlan`].
//!
//! A VM holds a place of the wave from its order until it is back in service. VMs are drained ahead
//! while they wait for a place, so a VM that cannot be drained holds up no other one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;

use crate::wave_plan::MaintenanceTimes;
use crate::wave_plan::WavePlan;
use crate::wave_plan::WaveState;

/// Share of a wave's duration after which runs on VMs that do not become empty are ended.
const NEAR_DEADLINE_SHARE: f64 = 0.85;
/// Share of reserved cores from which a pool counts as loaded.
pub(crate) const HIGH_LOAD: f64 = 0.5;
/// An accepted VM that the platform has not listed for this long counts as removed.
const MAX_UNLISTED_TIME: Duration = Duration::from_secs(10);

/// State of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmStatus {
    /// Pool.
    pub pool: PoolName,
    /// Whether it is up.
    pub is_up: bool,
    /// Whether it is switched off, as VMs of a spare pool are.
    pub is_off: bool,
}

/// Progress of a VM's maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MaintenanceStep {
    /// Not started.
    Waiting,
    /// Being drained since this time, without a place of the wave yet.
    Preparing(Duration),
    /// Being drained since this time; may be ordered once it is empty.
    Draining(Duration),
    /// Maintenance was ordered first at this time; there is no response yet.
    Ordered(Duration),
    /// The order was accepted at this time.
    Accepted(Duration),
    /// Maintenance has ended, and the VM is up again.
    Done,
    /// The platform no longer lists the VM.
    Gone,
}

/// Progress of a VM, with what is known from its drains.
#[derive(Clone, Debug)]
pub(crate) struct VmProgress {
    pub(crate) step: MaintenanceStep,
    /// Whether the last drain request found it empty.
    pub(crate) is_empty: bool,
    /// Whether the last drain request found a long-running task.
    pub(crate) has_long_running: bool,
    /// Number of interrupted drains.
    pub(crate) interruptions: u32,
    /// It is not drained again before this time.
    pub(crate) retry_at: Duration,
    /// Time of the first order whose acceptance is to be measured.
    pub(crate) ordered_at: Option<Duration>,
    /// Whether a former coordinator may have ordered its maintenance.
    pub(crate) may_be_ordered: bool,
    /// Time at which the platform last listed it.
    pub(crate) listed_at: Duration,
}

/// Progress of one wave.
#[derive(Clone, Debug)]
pub struct WaveTracker {
    /// Number of the wave.
    pub wave: u64,
    pub(crate) max_down: usize,
    end: Duration,
    duration: Duration,
    maintenance: Duration,
    pub(crate) times: MaintenanceTimes,
    pub(crate) vms: BTreeMap<VmName, VmProgress>,
    /// VMs that the platform lists as in maintenance.
    pub(crate) in_maintenance: BTreeSet<VmName>,
    /// Last known load of each pool.
    pub(crate) loads: BTreeMap<PoolName, f64>,
    /// Time at which each pool was last loaded.
    pub(crate) loaded_at: BTreeMap<PoolName, Duration>,
    pub(crate) interrupted: u64,
    last_plan: Option<WavePlan>,
}

/// Numbers of VMs by progress, for the log.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WaveCounts {
    /// Not started.
    pub waiting: usize,
    /// Being drained, with or without a place.
    pub draining: usize,
    /// Ordered or in maintenance.
    pub down: usize,
    /// Maintained or removed.
    pub done: usize,
}

impl WaveTracker {
    /// Starts a wave at `now`, with at most `max_down` VMs in maintenance at the same time.
    pub fn new(
        wave: u64,
        names: impl IntoIterator<Item = VmName>,
        max_down: usize,
        duration: Duration,
        maintenance: Duration,
        now: Duration,
    ) -> Self {
        Self {
            wave,
            max_down: max_down.max(1),
            end: now + duration,
            duration,
            maintenance,
            times: MaintenanceTimes::new(maintenance),
            vms: (names.into_iter())
                .map(|vm| (vm, VmProgress::new(now)))
                .collect(),
            in_maintenance: BTreeSet::new(),
            loads: BTreeMap::new(),
            loaded_at: BTreeMap::new(),
            interrupted: 0,
            last_plan: None,
        }
    }

    /// Sets the end of the wave, which lies before `now` plus the duration if the order was seen
    /// earlier.
    pub fn set_end(&mut self, end: Duration) {
        self.end = end;
    }

    /// Marks a VM that a former coordinator may have ordered: its maintenance may begin at any
    /// time, so it holds a place, and the order is sent again once the VM is drained.
    pub fn restore_possible_order(&mut self, vm: &str, now: Duration) {
        if let Some(entry) = self.vms.get_mut(vm) {
            entry.step = MaintenanceStep::Draining(now);
            entry.may_be_ordered = true;
        }
    }

    /// Returns the step of a VM.
    pub fn step(&self, vm: &str) -> Option<MaintenanceStep> {
        self.vms.get(vm).map(|entry| entry.step)
    }

    /// Sets the step of a VM that is part of the wave.
    pub fn set_step(&mut self, vm: &str, step: MaintenanceStep) {
        let Some(entry) = self.vms.get_mut(vm) else {
            return;
        };
        let drained_since = match entry.step {
            MaintenanceStep::Preparing(since) | MaintenanceStep::Draining(since) => Some(since),
            _ => None,
        };
        if let MaintenanceStep::Ordered(at) | MaintenanceStep::Accepted(at) = step {
            // Otherwise the drain was measured when the VM was empty.
            if let Some(since) = drained_since.filter(|_| !entry.is_empty) {
                self.times.record_drain(at.saturating_sub(since));
            }
            entry.ordered_at.get_or_insert(at);
        }
        if step == MaintenanceStep::Waiting {
            entry.ordered_at = None;
        }
        entry.may_be_ordered = false;
        entry.step = step;
    }

    /// Records the response to a drain request, and measures the drain when it has ended.
    pub fn record_drain(
        &mut self,
        vm: &str,
        is_empty: bool,
        has_long_running: bool,
        now: Duration,
    ) {
        let Some(entry) = self.vms.get_mut(vm) else {
            return;
        };
        if let MaintenanceStep::Preparing(since) | MaintenanceStep::Draining(since) = entry.step
            && is_empty
            && !entry.is_empty
        {
            self.times.record_drain(now.saturating_sub(since));
        }
        entry.is_empty = is_empty;
        entry.has_long_running = has_long_running;
    }

    /// Returns the VMs that hold a place of the wave: they are being drained for their order,
    /// ordered or maintained.
    pub fn active(&self) -> Vec<(VmName, MaintenanceStep)> {
        self.vms_in(is_active)
    }

    /// Returns the VMs that are drained while they wait for a place.
    pub fn preparing(&self) -> Vec<(VmName, MaintenanceStep)> {
        self.vms_in(|step| matches!(step, MaintenanceStep::Preparing(_)))
    }

    fn vms_in(
        &self,
        is_wanted: impl Fn(MaintenanceStep) -> bool,
    ) -> Vec<(VmName, MaintenanceStep)> {
        (self.vms.iter())
            .filter(|(_, entry)| is_wanted(entry.step))
            .map(|(vm, entry)| (vm.clone(), entry.step))
            .collect()
    }

    /// Returns the VMs whose maintenance has started.
    pub fn started_vms(&self) -> Vec<VmName> {
        (self.vms_in(|step| matches!(step, MaintenanceStep::Accepted(_) | MaintenanceStep::Done)))
            .into_iter()
            .map(|(vm, _)| vm)
            .collect()
    }

    /// Returns the VMs that may have been ordered and whose order is not known to be accepted, and
    /// those that may be ordered before the next call of [`WaveTracker::advance`].
    pub fn possibly_ordered_vms(&self) -> Vec<VmName> {
        (self.vms_in(|step| {
            matches!(
                step,
                MaintenanceStep::Draining(_) | MaintenanceStep::Ordered(_)
            )
        }))
        .into_iter()
        .map(|(vm, _)| vm)
        .collect()
    }

    /// Returns whether every VM was maintained or is no longer listed.
    pub fn is_complete(&self) -> bool {
        (self.vms.values())
            .all(|entry| matches!(entry.step, MaintenanceStep::Done | MaintenanceStep::Gone))
    }

    /// Returns whether the wave is close to its deadline.
    pub fn is_near_deadline(&self, now: Duration) -> bool {
        now + self.duration.mul_f64(1.0 - NEAR_DEADLINE_SHARE) >= self.end
    }

    /// Returns the time until the end of the wave; zero after it.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.end.saturating_sub(now)
    }

    /// Returns the measured times of a maintenance.
    pub fn times(&self) -> &MaintenanceTimes {
        &self.times
    }

    /// Returns the number of drains that were interrupted because they did not end.
    pub fn interrupted_drains(&self) -> u64 {
        self.interrupted
    }

    /// Returns the number of VMs by progress.
    pub fn counts(&self) -> WaveCounts {
        let mut counts = WaveCounts::default();
        for entry in self.vms.values() {
            match entry.step {
                MaintenanceStep::Waiting => counts.waiting += 1,
                MaintenanceStep::Preparing(_) | MaintenanceStep::Draining(_) => {
                    counts.draining += 1;
                }
                MaintenanceStep::Ordered(_) | MaintenanceStep::Accepted(_) => counts.down += 1,
                MaintenanceStep::Done | MaintenanceStep::Gone => counts.done += 1,
            }
        }
        counts
    }

    /// Returns the plan for the remaining time.
    pub fn plan(&self, now: Duration) -> WavePlan {
        let counts = self.counts();
        let state = WaveState {
            left: counts.waiting + counts.draining + counts.down,
            max_down: self.max_down,
            time_left: self.time_left(now),
            duration: self.duration,
        };
        WavePlan::new(state, &self.times)
    }

    /// Returns the plan of the last call of [`WaveTracker::advance`].
    pub fn last_plan(&self) -> Option<&WavePlan> {
        self.last_plan.as_ref()
    }

    /// Sets the VMs that the platform lists as in maintenance. To be called before
    /// [`WaveTracker::advance`]: an order without a response was carried out if its VM is listed,
    /// and a listed VM that was not ordered takes a place.
    pub fn set_in_maintenance(&mut self, listed: BTreeSet<VmName>, now: Duration) {
        for vm in &listed {
            let Some(entry) = self.vms.get_mut(vm) else {
                continue;
            };
            match entry.step {
                MaintenanceStep::Ordered(since) => {
                    entry.step = MaintenanceStep::Accepted(since);
                }
                MaintenanceStep::Draining(_) if entry.may_be_ordered => {
                    entry.step = MaintenanceStep::Accepted(now);
                    entry.may_be_ordered = false;
                }
                _ => {}
            }
        }
        self.in_maintenance = listed;
    }

    /// Applies the platform's current list; returns the VMs to drain now.
    ///
    /// `loads` has the share of its cores that each pool needs; pools that are not included and were
    /// never included have no load, as the spare pool.
    pub fn advance(
        &mut self,
        vms: &BTreeMap<VmName, VmStatus>,
        loads: &BTreeMap<PoolName, f64>,
        now: Duration,
    ) -> Vec<VmName> {
        for (pool, load) in loads {
            self.loads.insert(pool.clone(), *load);
            if *load >= HIGH_LOAD {
                self.loaded_at.insert(pool.clone(), now);
            }
        }
        for (vm, entry) in &mut self.vms {
            let status = vms.get(vm);
            entry.apply_status(status, self.maintenance, now);
            if entry.step == MaintenanceStep::Done
                && let Some(ordered_at) = entry.ordered_at.take()
            {
                self.times.record_outage(now.saturating_sub(ordered_at));
            }
        }
        let plan = self.plan(now);
        self.interrupt_drains(vms, &plan, now);
        let chosen = self.choose_vms(vms, &plan, now);
        self.assign_places();
        self.last_plan = Some(plan);
        chosen
    }
}

impl VmProgress {
    fn new(now: Duration) -> Self {
        Self {
            step: MaintenanceStep::Waiting,
            is_empty: false,
            has_long_running: false,
            interruptions: 0,
            retry_at: Duration::ZERO,
            ordered_at: None,
            may_be_ordered: false,
            listed_at: now,
        }
    }

    pub(crate) fn is_in_progress(&self) -> bool {
        is_active(self.step) || matches!(self.step, MaintenanceStep::Preparing(_))
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.interruptions > 0
    }

    fn apply_status(&mut self, status: Option<&VmStatus>, maintenance: Duration, now: Duration) {
        if status.is_some() {
            self.listed_at = now;
        }
        let is_removed = now.saturating_sub(self.listed_at) > MAX_UNLISTED_TIME;
        self.step = match (self.step, status) {
            (MaintenanceStep::Done, _) => MaintenanceStep::Done,
            (MaintenanceStep::Accepted(since), Some(status))
                if now >= since + maintenance && (status.is_up || status.is_off) =>
            {
                MaintenanceStep::Done
            }
            (MaintenanceStep::Accepted(_), None) if is_removed => MaintenanceStep::Gone,
            (MaintenanceStep::Accepted(since), _) => MaintenanceStep::Accepted(since),
            (MaintenanceStep::Ordered(since), _) => MaintenanceStep::Ordered(since),
            (_, None) => MaintenanceStep::Gone,
            (MaintenanceStep::Gone, Some(_)) => MaintenanceStep::Waiting,
            // The order of a former coordinator may still be carried out.
            (step, Some(_)) if self.may_be_ordered => step,
            // The VM crashed while it was drained; it becomes due again when it is back up.
            (
                MaintenanceStep::Preparing(_) | MaintenanceStep::Draining(_),
                Some(VmStatus {
                    is_up: false,
                    is_off: false,
                    ..
                }),
            ) => MaintenanceStep::Waiting,
            (step, Some(_)) => step,
        };
    }
}

fn is_active(step: MaintenanceStep) -> bool {
    matches!(
        step,
        MaintenanceStep::Draining(_) | MaintenanceStep::Ordered(_) | MaintenanceStep::Accepted(_)
    )
}
