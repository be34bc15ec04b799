//! Planning of VM moves between the spare pool and loaded pools.
//!
//! Queues surge in turn, each for some seconds and beyond the capacity of its pool, while the other
//! pools are nearly idle. VMs of the spare pool move to the pool with a shortage of cores, and on
//! to the next one when they are idle there. They return to the spare pool when no pool has a
//! shortage. A pool's own VMs stay, because long-running tasks are spread over them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;

/// Time in which a pool should work off its backlog, in seconds; about the slack of short jobs.
const BACKLOG_TIME_SECS: f64 = 1.2;
/// A pool requests a VM when its shortage exceeds this multiple of the VM's cores.
const MIN_SHORTAGE_VMS: f64 = 1.0;
/// A pool releases a VM when its surplus is at least this multiple of the VM's cores.
const MIN_SURPLUS_VMS: f64 = 1.5;
/// A VM returns to its own pool when its current pool has had a surplus for this long. Two moves
/// cost as much as some seconds of a VM.
const RETURN_DELAY: Duration = Duration::from_millis(3_500);
/// Minimum stay of a VM in a pool, so that VMs do not alternate between pools.
const MIN_STAY: Duration = Duration::from_millis(2_000);

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Cores of its workers.
    pub cores: f64,
    /// Cores reserved by long-running tasks. Log lines print the field under this name.
    pub lasting: f64,
    /// Core-seconds of work that recently arrived per second.
    pub arrival: f64,
    /// As `arrival`, over a shorter time; 0 if it is not measured.
    pub rising: f64,
    /// Core-seconds of waiting work.
    pub backlog: f64,
}

/// Location of a VM that may be moved.
#[derive(Clone, Debug, PartialEq)]
pub struct VmPlacement {
    /// Current pool.
    pub pool: PoolName,
    /// Pool that the VM belongs to.
    pub home: PoolName,
    /// Whether the VM belongs to a spare pool.
    pub is_spare: bool,
    /// Cores.
    pub cores: f64,
    /// Whether the VM would accept an order to move.
    pub is_movable: bool,
}

/// Progress of a move.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveStep {
    /// The VM is being drained.
    Draining,
    /// The order was sent; there is no response yet.
    Ordered,
    /// The order was accepted at this time.
    Accepted(Duration),
}

/// A move in progress.
#[derive(Clone, Debug, PartialEq)]
pub struct VmMove {
    /// Pool to move to.
    pub target: PoolName,
    /// Step.
    pub step: MoveStep,
}

/// Plans moves of VMs between pools.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    moves: BTreeMap<VmName, VmMove>,
    arrival_times: BTreeMap<VmName, Duration>,
    surplus_since: BTreeMap<PoolName, Duration>,
}

impl PoolLoad {
    /// Returns the number of cores that the pool needs now.
    pub fn required_cores(&self) -> f64 {
        self.lasting + self.arrival + self.backlog / BACKLOG_TIME_SECS
    }
}

impl CapacityPlanner {
    /// Returns the moves in progress.
    pub fn moves(&self) -> &BTreeMap<VmName, VmMove> {
        &self.moves
    }

    /// Sets the step of a move in progress.
    pub fn set_step(&mut self, vm: &str, step: MoveStep) {
        if let Some(entry) = self.moves.get_mut(vm) {
            entry.step = step;
        }
    }

    /// Abandons a move that was not accepted.
    pub fn abandon_move(&mut self, vm: &str) {
        self.moves.remove(vm);
    }

    /// Completes the moves whose VMs are listed in the target pool, and drops those of removed VMs.
    fn complete_moves(&mut self, vms: &BTreeMap<VmName, VmPlacement>, now: Duration) {
        let arrived: Vec<VmName> = (self.moves.iter())
            .filter(|(vm, entry)| {
                let has_arrived = vms.get(*vm).is_some_and(|placement| {
                    placement.pool == entry.target && placement.is_movable
                });
                matches!(entry.step, MoveStep::Accepted(_)) && has_arrived
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in arrived {
            self.moves.remove(&vm);
            self.arrival_times.insert(vm, now);
        }
        self.moves.retain(|vm, _| vms.contains_key(vm));
    }

    /// Returns the moves to start now, as VM and target pool.
    pub fn plan_moves(
        &mut self,
        loads: &BTreeMap<PoolName, PoolLoad>,
        vms: &BTreeMap<VmName, VmPlacement>,
        reserved: &BTreeSet<VmName>,
        now: Duration,
    ) -> Vec<(VmName, PoolName)> {
        self.complete_moves(vms, now);
        let mut shortages = self.shortages(loads, vms);
        self.update_surpluses(&shortages, now);
        let mut chosen = Vec::new();
        let mut candidates: Vec<&VmName> = (vms.iter())
            .filter(|(vm, placement)| {
                let may_leave = placement.pool == placement.home
                    || (self.arrival_times.get(*vm))
                        .is_none_or(|arrived_at| now.saturating_sub(*arrived_at) >= MIN_STAY);
                placement.is_movable
                    && placement.is_spare
                    && may_leave
                    && !reserved.contains(*vm)
                    && !self.moves.contains_key(*vm)
            })
            .map(|(vm, _)| vm)
            .collect();
        // VMs in their own pool first: they run no tasks.
        candidates.sort_by_key(|vm| vms[*vm].pool != vms[*vm].home);
        for vm in candidates {
            let placement = &vms[vm];
            let is_home = placement.pool == placement.home;
            // The surplus of a pool that does not report its load is unknown.
            let surplus = shortages
                .get(&placement.pool)
                .map_or(0.0, |shortage| -shortage);
            if !is_home && surplus < placement.cores * MIN_SURPLUS_VMS {
                continue;
            }
            let largest_shortage = (shortages.iter())
                .filter(|(pool, _)| **pool != placement.pool)
                .max_by(|left, right| left.1.total_cmp(right.1))
                .map(|(pool, shortage)| (pool.clone(), *shortage));
            let target = match largest_shortage {
                Some((pool, shortage)) if shortage > placement.cores * MIN_SHORTAGE_VMS => pool,
                _ if !is_home && self.has_long_surplus(&placement.pool, now) => {
                    placement.home.clone()
                }
                _ => continue,
            };
            if let Some(shortage) = shortages.get_mut(&target) {
                *shortage -= placement.cores;
            }
            if let Some(shortage) = shortages.get_mut(&placement.pool) {
                *shortage += placement.cores;
            }
            chosen.push((vm.clone(), target));
        }
        for (vm, target) in &chosen {
            let entry = VmMove {
                target: target.clone(),
                step: MoveStep::Draining,
            };
            self.moves.insert(vm.clone(), entry);
        }
        chosen
    }

    /// Returns the shortage of each pool in cores, negative for a surplus. VMs that are being moved
    /// count for their target.
    fn shortages(
        &self,
        loads: &BTreeMap<PoolName, PoolLoad>,
        vms: &BTreeMap<VmName, VmPlacement>,
    ) -> BTreeMap<PoolName, f64> {
        let mut shortages: BTreeMap<PoolName, f64> = (loads.iter())
            .map(|(pool, load)| (pool.clone(), load.required_cores() - load.cores))
            .collect();
        for (vm, entry) in &self.moves {
            let Some(placement) = vms.get(vm) else {
                continue;
            };
            if let Some(shortage) = shortages.get_mut(&entry.target) {
                *shortage -= placement.cores;
            }
            if entry.step == MoveStep::Draining
                && let Some(shortage) = shortages.get_mut(&placement.pool)
            {
                *shortage += placement.cores;
            }
        }
        shortages
    }

    fn update_surpluses(&mut self, shortages: &BTreeMap<PoolName, f64>, now: Duration) {
        for (pool, shortage) in shortages {
            if *shortage >= 0.0 {
                self.surplus_since.remove(pool);
            } else {
                self.surplus_since.entry(pool.clone()).or_insert(now);
            }
        }
    }

    fn has_long_surplus(&self, pool: &str, now: Duration) -> bool {
        (self.surplus_since.get(pool))
            .is_some_and(|since| now.saturating_sub(*since) >= RETURN_DELAY)
    }
}
