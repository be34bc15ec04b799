//! Moves of VMs between the spare pool and pools under load.
//!
//! Load answered: queues surge in turn, each for some seconds to more than its pool holds, while
//! the other pools are nearly idle. VMs of the spare pool go to the pool that lacks cores, and on
//! to the next one when they are idle there; they go home when no pool lacks cores. A pool's own
//! VMs stay: tasks that last are spread over them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;

/// Backlog is to be worked off within this time: about the slack that short jobs have.
const BACKLOG_TIME_SECS: f64 = 1.2;
/// A pool asks for VMs when it lacks more than this share of one.
const MIN_SHORTAGE_VMS: f64 = 1.0;
/// A pool gives a VM up when it could lose this many and still lack nothing.
const MIN_SURPLUS_VMS: f64 = 1.5;
/// A VM goes home when its pool has had a surplus for this long. Two moves cost as much as some
/// seconds of a VM.
const RETURN_DELAY: Duration = Duration::from_millis(3_500);
/// A VM stays in a pool for at least this long, so that moves do not alternate.
const MIN_STAY: Duration = Duration::from_millis(2_000);

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Cores of its workers.
    pub cores: f64,
    /// Cores reserved by tasks that last.
    pub lasting: f64,
    /// Core-seconds of work that arrived per second, lately.
    pub arrival: f64,
    /// Core-seconds of work that waits.
    pub backlog: f64,
}

/// A VM that may be moved.
#[derive(Clone, Debug, PartialEq)]
pub struct VmPlacement {
    /// Pool that it is in.
    pub pool: PoolName,
    /// Pool that it belongs to.
    pub home: PoolName,
    /// Whether it belongs to a spare pool.
    pub is_spare: bool,
    /// Cores.
    pub cores: f64,
    /// Whether an order to move it would be accepted.
    pub is_movable: bool,
}

/// How far a move has come.
#[derive(Clone, Debug, PartialEq)]
pub enum MoveStep {
    /// The VM is being emptied.
    Draining,
    /// The order was sent and has no answer yet.
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

/// Plans moves.
#[derive(Debug, Default)]
pub struct CapacityPlanner {
    moves: BTreeMap<VmName, VmMove>,
    arrival_times: BTreeMap<VmName, Duration>,
    surplus_since: BTreeMap<PoolName, Duration>,
}

impl PoolLoad {
    /// Cores that the pool should have now.
    pub fn required_cores(&self) -> f64 {
        self.lasting + self.arrival + self.backlog / BACKLOG_TIME_SECS
    }
}

impl CapacityPlanner {
    /// Returns the moves in progress.
    pub fn moves(&self) -> &BTreeMap<VmName, VmMove> {
        &self.moves
    }

    /// Sets the step of a move.
    pub fn set_step(&mut self, vm: &str, step: MoveStep) {
        if let Some(entry) = self.moves.get_mut(vm) {
            entry.step = step;
        }
    }

    /// Gives a move up that was not accepted.
    pub fn abandon_move(&mut self, vm: &str) {
        self.moves.remove(vm);
    }

    /// Takes the VMs as listed: moves that arrived are done.
    fn complete_moves(&mut self, vms: &BTreeMap<VmName, VmPlacement>, now: Duration) {
        let arrived: Vec<VmName> = (self.moves.iter())
            .filter(|(vm, entry)| {
                let is_there = vms
                    .get(*vm)
                    .is_some_and(|place| place.pool == entry.target && place.is_movable);
                matches!(entry.step, MoveStep::Accepted(_)) && is_there
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in arrived {
            self.moves.remove(&vm);
            self.arrival_times.insert(vm, now);
        }
        self.moves.retain(|vm, _| vms.contains_key(vm));
    }

    /// Chooses moves to begin now.
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
            .filter(|(vm, place)| {
                let stayed = place.pool == place.home
                    || (self.arrival_times.get(*vm))
                        .is_none_or(|at| now.saturating_sub(*at) >= MIN_STAY);
                place.is_movable
                    && place.is_spare
                    && stayed
                    && !reserved.contains(*vm)
                    && !self.moves.contains_key(*vm)
            })
            .map(|(vm, _)| vm)
            .collect();
        // VMs at home first: they serve no one.
        candidates.sort_by_key(|vm| vms[*vm].pool != vms[*vm].home);
        for vm in candidates {
            let place = &vms[vm];
            let is_home = place.pool == place.home;
            // Nothing is known of a pool that does not report its load.
            let surplus = shortages.get(&place.pool).map_or(0.0, |shortage| -shortage);
            if !is_home && surplus < place.cores * MIN_SURPLUS_VMS {
                continue;
            }
            let largest_shortage = (shortages.iter())
                .filter(|(pool, _)| **pool != place.pool)
                .max_by(|left, right| left.1.total_cmp(right.1))
                .map(|(pool, shortage)| (pool.clone(), *shortage));
            let target = match largest_shortage {
                Some((pool, shortage)) if shortage > place.cores * MIN_SHORTAGE_VMS => pool,
                _ if !is_home && self.has_long_surplus(&place.pool, now) => place.home.clone(),
                _ => continue,
            };
            if let Some(shortage) = shortages.get_mut(&target) {
                *shortage -= place.cores;
            }
            if let Some(shortage) = shortages.get_mut(&place.pool) {
                *shortage += place.cores;
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

    /// Returns the cores that each pool lacks; negative for a surplus. VMs on their way count.
    fn shortages(
        &self,
        loads: &BTreeMap<PoolName, PoolLoad>,
        vms: &BTreeMap<VmName, VmPlacement>,
    ) -> BTreeMap<PoolName, f64> {
        let mut shortages: BTreeMap<PoolName, f64> = (loads.iter())
            .map(|(pool, load)| (pool.clone(), load.required_cores() - load.cores))
            .collect();
        for (vm, entry) in &self.moves {
            let Some(place) = vms.get(vm) else { continue };
            if let Some(shortage) = shortages.get_mut(&entry.target) {
                *shortage -= place.cores;
            }
            if entry.step == MoveStep::Draining
                && let Some(shortage) = shortages.get_mut(&place.pool)
            {
                *shortage += place.cores;
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
