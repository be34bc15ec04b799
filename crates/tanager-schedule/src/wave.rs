//! Maintenance waves: which VM is drained and ordered into maintenance next.
//!
//! Half of the fleet may be due within half a minute while queues surge in turn. VMs of pools with
//! little load go first; a pool under load is included only if the wave would otherwise miss its
//! deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;

/// Estimated time from choosing a VM until it is back in service: drain, maintenance and detection.
/// Used for the required rate.
const MAINTENANCE_CYCLE: Duration = Duration::from_millis(4_500);
/// Share of a wave's duration after which it no longer waits for pools with little load.
const NEAR_DEADLINE_SHARE: f64 = 0.85;
/// Share of reserved cores from which a pool counts as loaded.
const HIGH_LOAD: f64 = 0.5;
/// Maximum share of a pool that is drained or down at the same time, except near the deadline.
const MAX_POOL_SHARE: f64 = 0.34;

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
    /// Being drained since this time.
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

/// Progress of one wave.
#[derive(Clone, Debug)]
pub struct WaveTracker {
    /// Number of the wave.
    pub wave: u64,
    max_active: usize,
    end: Duration,
    duration: Duration,
    maintenance: Duration,
    steps: BTreeMap<VmName, MaintenanceStep>,
}

impl WaveTracker {
    /// Starts a wave at `now`, with at most `max_active` VMs in progress at the same time.
    pub fn new(
        wave: u64,
        names: impl IntoIterator<Item = VmName>,
        max_active: usize,
        duration: Duration,
        maintenance: Duration,
        now: Duration,
    ) -> Self {
        Self {
            wave,
            max_active: max_active.max(1),
            end: now + duration,
            duration,
            maintenance,
            steps: names
                .into_iter()
                .map(|vm| (vm, MaintenanceStep::Waiting))
                .collect(),
        }
    }

    /// Returns the step of a VM.
    pub fn step(&self, vm: &str) -> Option<MaintenanceStep> {
        self.steps.get(vm).copied()
    }

    /// Sets the step of a VM that is part of the wave.
    pub fn set_step(&mut self, vm: &str, step: MaintenanceStep) {
        if let Some(entry) = self.steps.get_mut(vm) {
            *entry = step;
        }
    }

    /// Returns the VMs that are being drained, ordered or maintained.
    pub fn active(&self) -> Vec<(VmName, MaintenanceStep)> {
        (self.steps.iter())
            .filter(|(_, step)| is_active(**step))
            .map(|(vm, step)| (vm.clone(), *step))
            .collect()
    }

    /// Returns the VMs whose maintenance has started.
    pub fn started_vms(&self) -> Vec<VmName> {
        (self.steps.iter())
            .filter(|(_, step)| {
                matches!(step, MaintenanceStep::Accepted(_) | MaintenanceStep::Done)
            })
            .map(|(vm, _)| vm.clone())
            .collect()
    }

    /// Returns whether every VM was maintained or is no longer listed.
    pub fn is_complete(&self) -> bool {
        (self.steps.values())
            .all(|step| matches!(step, MaintenanceStep::Done | MaintenanceStep::Gone))
    }

    /// Returns whether the wave is close to its deadline.
    pub fn is_near_deadline(&self, now: Duration) -> bool {
        now + self.duration.mul_f64(1.0 - NEAR_DEADLINE_SHARE) >= self.end
    }

    /// Applies the platform's current list; returns the VMs to drain now.
    pub fn advance(
        &mut self,
        vms: &BTreeMap<VmName, VmStatus>,
        loads: &BTreeMap<PoolName, f64>,
        now: Duration,
    ) -> Vec<VmName> {
        for (vm, step) in &mut self.steps {
            let status = vms.get(vm);
            *step = match (*step, status) {
                (MaintenanceStep::Done, _) => MaintenanceStep::Done,
                (MaintenanceStep::Accepted(since), Some(status))
                    if now >= since + self.maintenance && (status.is_up || status.is_off) =>
                {
                    MaintenanceStep::Done
                }
                (MaintenanceStep::Accepted(since), _) => MaintenanceStep::Accepted(since),
                (MaintenanceStep::Ordered(since), _) => MaintenanceStep::Ordered(since),
                (_, None) => MaintenanceStep::Gone,
                // The VM crashed while it was drained; it becomes due again when it is back up.
                (MaintenanceStep::Draining(_), Some(status)) if !status.is_up && !status.is_off => {
                    MaintenanceStep::Waiting
                }
                (MaintenanceStep::Gone, Some(_)) => MaintenanceStep::Waiting,
                (step, Some(_)) => step,
            };
        }
        self.choose_vms(vms, loads, now)
    }

    fn choose_vms(
        &mut self,
        vms: &BTreeMap<VmName, VmStatus>,
        loads: &BTreeMap<PoolName, f64>,
        now: Duration,
    ) -> Vec<VmName> {
        let mut active = self.steps.values().filter(|step| is_active(**step)).count();
        let left = (self.steps.values())
            .filter(|step| matches!(step, MaintenanceStep::Waiting))
            .count();
        let time_left = self
            .end
            .saturating_sub(now)
            .saturating_sub(MAINTENANCE_CYCLE);
        let rounds = (time_left.as_secs_f64() / MAINTENANCE_CYCLE.as_secs_f64()).max(1.0);
        let needed = ((active + left) as f64 / rounds).ceil() as usize;
        let near_deadline = self.is_near_deadline(now);
        let mut sizes: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for status in vms.values() {
            *sizes.entry(&status.pool).or_default() += 1;
        }
        let mut active_by_pool: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for (vm, step) in &self.steps {
            if let Some(status) = vms.get(vm).filter(|_| is_active(*step)) {
                *active_by_pool.entry(&status.pool).or_default() += 1;
            }
        }
        let mut waiting: Vec<(f64, VmName)> = (self.steps.iter())
            .filter(|(_, step)| **step == MaintenanceStep::Waiting)
            .filter_map(|(vm, _)| vms.get(vm).map(|status| (vm, status)))
            .filter(|(_, status)| status.is_up || status.is_off)
            .map(|(vm, status)| (loads.get(&status.pool).copied().unwrap_or(0.0), vm.clone()))
            .collect();
        waiting.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
        let mut chosen = Vec::new();
        for (load, vm) in waiting {
            if active >= self.max_active {
                break;
            }
            let Some(status) = vms.get(&vm) else { continue };
            let size = sizes.get(&status.pool).copied().unwrap_or(1);
            let pool_limit = ((size as f64 * MAX_POOL_SHARE).floor() as usize).max(1);
            let in_pool = active_by_pool.get(&status.pool).copied().unwrap_or(0);
            let may_go_first = load < HIGH_LOAD && in_pool < pool_limit;
            let is_needed = active < needed && (in_pool < pool_limit || near_deadline);
            if may_go_first || is_needed || near_deadline {
                active += 1;
                *active_by_pool.entry(&status.pool).or_default() += 1;
                chosen.push(vm);
            }
        }
        for vm in &chosen {
            self.set_step(vm, MaintenanceStep::Draining(now));
        }
        chosen
    }
}

fn is_active(step: MaintenanceStep) -> bool {
    matches!(
        step,
        MaintenanceStep::Draining(_) | MaintenanceStep::Ordered(_) | MaintenanceStep::Accepted(_)
    )
}
