//! Choice of the VMs of a maintenance wave to drain, and of those that get the free places.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;

use crate::wave::HIGH_LOAD;
use crate::wave::MaintenanceStep;
use crate::wave::VmProgress;
use crate::wave::VmStatus;
use crate::wave::WaveTracker;
use crate::wave_plan::WavePlan;

/// Share of the remaining cores that the load of a pool may take while some of its VMs are down.
const MAX_REMAINING_LOAD: f64 = 0.7;
/// Bounds of the share of a pool that is drained or down at the same time, except when all pools
/// are needed.
const MIN_POOL_SHARE: f64 = 0.34;
/// See [`MIN_POOL_SHARE`]. The rest serves the beginning of a surge.
const MAX_POOL_SHARE: f64 = 0.6;
/// Minimum time after which a drain that does not end is interrupted in favour of other VMs.
const MIN_DRAIN_LIMIT: Duration = Duration::from_secs(3);
/// Limit of a drain relative to the measured mean.
const DRAIN_LIMIT_RATIO: f64 = 3.0;
/// Pause after an interrupted drain; doubles with each further one.
const INITIAL_DRAIN_PAUSE: Duration = Duration::from_secs(1);
/// Maximum pause after an interrupted drain.
const MAX_DRAIN_PAUSE: Duration = Duration::from_secs(4);
/// Part of the VMs in progress that may be VMs with an interrupted drain.
const SLOW_VMS_SHARE: usize = 3;

impl WaveTracker {
    /// Interrupts drains that do not end while other VMs wait, and those of VMs that can wait for the
    /// end of a surge.
    pub(crate) fn interrupt_drains(
        &mut self,
        vms: &BTreeMap<VmName, VmStatus>,
        plan: &WavePlan,
        now: Duration,
    ) {
        let limit = MIN_DRAIN_LIMIT.max(self.times.drain().mul_f64(DRAIN_LIMIT_RATIO));
        let is_near_deadline = self.is_near_deadline(now);
        let has_others = (self.vms.values()).any(|entry| entry.step == MaintenanceStep::Waiting);
        for (vm, entry) in &mut self.vms {
            let (MaintenanceStep::Preparing(since) | MaintenanceStep::Draining(since)) = entry.step
            else {
                continue;
            };
            if entry.may_be_ordered || entry.is_empty {
                continue;
            }
            // Near the deadline, runs that are not long-running are ended.
            let is_overdue = has_others
                && now.saturating_sub(since) > limit
                && (entry.has_long_running || !is_near_deadline);
            if is_overdue {
                let pause = INITIAL_DRAIN_PAUSE * 2u32.saturating_pow(entry.interruptions.min(8));
                entry.retry_at = now + pause.min(MAX_DRAIN_PAUSE);
                entry.interruptions += 1;
                entry.step = MaintenanceStep::Waiting;
                self.interrupted += 1;
                continue;
            }
            let is_loaded = (vms.get(vm))
                .and_then(|status| self.loads.get(&status.pool))
                .is_some_and(|load| *load >= HIGH_LOAD);
            let is_preparing = matches!(entry.step, MaintenanceStep::Preparing(_));
            if is_preparing && is_loaded && entry.interruptions == 0 && !plan.needs_all_pools() {
                entry.step = MaintenanceStep::Waiting;
            }
        }
    }

    pub(crate) fn choose_vms(
        &mut self,
        vms: &BTreeMap<VmName, VmStatus>,
        plan: &WavePlan,
        now: Duration,
    ) -> Vec<VmName> {
        let mut sizes: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for status in vms.values() {
            *sizes.entry(&status.pool).or_default() += 1;
        }
        let mut in_progress = 0;
        let mut slow_in_progress = 0;
        let mut in_progress_by_pool: BTreeMap<&PoolName, usize> = BTreeMap::new();
        for (vm, entry) in self.vms.iter().filter(|(_, entry)| entry.is_in_progress()) {
            in_progress += 1;
            slow_in_progress += usize::from(entry.is_slow());
            if let Some(status) = vms.get(vm) {
                *in_progress_by_pool.entry(&status.pool).or_default() += 1;
            }
        }
        let max_slow = (plan.max_in_progress / SLOW_VMS_SHARE).max(1);
        let mut chosen = Vec::new();
        for candidate in self.candidates(vms, now) {
            if in_progress >= plan.max_in_progress {
                break;
            }
            let size = sizes.get(candidate.pool).copied().unwrap_or(1);
            let pool_limit =
                ((size as f64 * max_pool_share(candidate.load)).floor() as usize).max(1);
            let in_pool = in_progress_by_pool.entry(candidate.pool).or_default();
            let is_idle = candidate.load.is_none_or(|load| load < HIGH_LOAD);
            let is_allowed = match candidate.is_slow {
                // What takes long starts early, also in a loaded pool.
                true => slow_in_progress < max_slow,
                false => plan.needs_all_pools() || (is_idle && *in_pool < pool_limit),
            };
            if !is_allowed {
                continue;
            }
            in_progress += 1;
            slow_in_progress += usize::from(candidate.is_slow);
            *in_pool += 1;
            chosen.push(candidate.vm.clone());
        }
        for vm in &chosen {
            if let Some(entry) = self.vms.get_mut(vm) {
                entry.step = MaintenanceStep::Preparing(now);
                entry.is_empty = false;
                entry.has_long_running = false;
            }
        }
        chosen
    }

    /// Returns the VMs that may be drained, in the order of preference: those whose drain was
    /// interrupted, then idle pools before loaded ones, and of the idle pools the one whose surge
    /// has ended last, because it stays idle for the longest time.
    fn candidates<'a>(
        &'a self,
        vms: &'a BTreeMap<VmName, VmStatus>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let mut candidates: Vec<Candidate<'_>> = (self.vms.iter())
            .filter(|(_, entry)| entry.step == MaintenanceStep::Waiting && entry.retry_at <= now)
            .filter_map(|(vm, entry)| vms.get(vm).map(|status| (vm, entry, status)))
            .filter(|(_, _, status)| status.is_up || status.is_off)
            .map(|(vm, entry, status)| Candidate {
                vm,
                pool: &status.pool,
                load: self.loads.get(&status.pool).copied(),
                idle_for: (self.loaded_at.get(&status.pool))
                    .map_or(now, |loaded_at| now.saturating_sub(*loaded_at)),
                is_slow: entry.is_slow(),
            })
            .collect();
        candidates.sort_by(|left, right| left.rank().cmp(&right.rank()));
        candidates
    }

    /// Gives the places that are not taken by VMs in maintenance to drained VMs first.
    pub(crate) fn assign_places(&mut self) {
        let is_down = |vm: &VmName, entry: &VmProgress| match entry.step {
            MaintenanceStep::Ordered(_) | MaintenanceStep::Accepted(_) => true,
            MaintenanceStep::Draining(_) if entry.may_be_ordered => true,
            MaintenanceStep::Done | MaintenanceStep::Gone => false,
            _ => self.in_maintenance.contains(vm),
        };
        let down = (self.vms.iter())
            .filter(|(vm, entry)| is_down(vm, entry))
            .count();
        let mut draining: Vec<((bool, bool, Duration), VmName)> = (self.vms.iter())
            .filter(|(vm, entry)| !is_down(vm, entry))
            .filter_map(|(vm, entry)| match entry.step {
                MaintenanceStep::Preparing(since) | MaintenanceStep::Draining(since) => {
                    Some(((!entry.is_empty, entry.has_long_running, since), vm.clone()))
                }
                _ => None,
            })
            .collect();
        draining.sort();
        let free = self.max_down.saturating_sub(down);
        for (position, ((_, _, since), vm)) in draining.into_iter().enumerate() {
            if let Some(entry) = self.vms.get_mut(&vm) {
                entry.step = match position < free {
                    true => MaintenanceStep::Draining(since),
                    false => MaintenanceStep::Preparing(since),
                };
            }
        }
    }
}

/// A VM that may be drained.
struct Candidate<'a> {
    vm: &'a VmName,
    pool: &'a PoolName,
    /// Share of its cores that the pool needs; `None` for a pool without jobs.
    load: Option<f64>,
    /// Time since the pool was last loaded.
    idle_for: Duration,
    is_slow: bool,
}

impl Candidate<'_> {
    fn rank(&self) -> (bool, bool, u64, Duration, &VmName) {
        let load = self.load.unwrap_or(0.0);
        let is_loaded = load >= HIGH_LOAD;
        // Loaded pools are ordered by their load.
        let load_percent = if is_loaded { (load * 100.0) as u64 } else { 0 };
        (
            !self.is_slow,
            is_loaded,
            load_percent,
            self.idle_for,
            self.vm,
        )
    }
}

/// Returns the maximum share of a pool that is drained or down at the same time. The rest must carry
/// the pool's load.
fn max_pool_share(load: Option<f64>) -> f64 {
    match load {
        None => 1.0,
        Some(load) => (1.0 - load / MAX_REMAINING_LOAD).clamp(MIN_POOL_SHARE, MAX_POOL_SHARE),
    }
}
