//! Decision to move a VM from one pool to another.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_protocol::ids::PoolId;

/// Donors keep this share of their slots free after giving up a VM, so that the VM does not have to
/// return at the next small rise of their load.
const DONOR_LOAD: f64 = 0.7;
/// A report older than this says nothing about the present load.
const REPORT_AGE: Duration = Duration::from_secs(15);

/// Load of one pool as last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedLoad {
    /// The pool.
    pub pool: PoolId,
    /// VMs that receive work.
    pub available: u32,
    /// Declared availability.
    pub floor: u32,
    /// Slots of all available VMs.
    pub slots: u32,
    /// Offered load in slots: arrivals per second times run time. Backlog does not count, because
    /// it remains after a surge has ended.
    pub offered: f64,
    /// Time to which the report applies.
    pub measured_at: Duration,
}

/// A VM to be moved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MovePlan {
    /// Pool that gives up a VM.
    pub from: PoolId,
    /// Pool that receives it.
    pub to: PoolId,
}

/// Reports over which a condition has held, with gaps of less than a twentieth of the cost of a move.
#[derive(Clone, Copy, Debug)]
struct LoadRun {
    start: Duration,
    last: Duration,
    /// Time of the newest report, whether or not the condition held in it.
    seen: Duration,
    sum: f64,
    count: f64,
}

impl LoadRun {
    fn mean(&self) -> f64 {
        self.sum / self.count
    }
}

/// Remembers since when each pool has been overloaded or able to give up a VM.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    overloaded: BTreeMap<PoolId, LoadRun>,
    spare: BTreeMap<PoolId, LoadRun>,
}

impl MovePlanner {
    /// Decides at most one move. `cost` is the time that a move takes a VM out of service.
    ///
    /// A pool receives a VM once its reported load has exceeded its slots for longer than `cost`.
    /// Waiting as long as the move costs bounds the loss: a shorter surge causes no move, and a
    /// longer one is served at most `cost` later than with foresight. The donor must have had room
    /// for as long. Only times of reports count, so lagging reports delay a move but never cause
    /// one. Single low reports do not end an overload, because reports over a second vary widely
    /// when run times do; the mean must exceed the slots as well.
    pub fn plan_move(
        &mut self,
        now: Duration,
        pools: &[ReportedLoad],
        cost: Duration,
    ) -> Option<MovePlan> {
        let gap = cost / 20;
        for pool in pools {
            let fresh = now.saturating_sub(pool.measured_at) <= REPORT_AGE;
            let over = fresh && pool.offered > f64::from(pool.slots);
            let room = fresh && has_room(pool, pool.offered);
            track(&mut self.overloaded, pool, over, gap);
            track(&mut self.spare, pool, room, gap);
        }
        let lasted = |runs: &BTreeMap<PoolId, LoadRun>, pool: &ReportedLoad| {
            runs.get(&pool.pool)
                .filter(|run| run.last.saturating_sub(run.start) > cost)
                .map(LoadRun::mean)
        };
        let to = pools
            .iter()
            .filter(|pool| {
                lasted(&self.overloaded, pool).is_some_and(|mean| mean > f64::from(pool.slots))
            })
            .max_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))?;
        let from = pools
            .iter()
            .filter(|pool| pool.pool != to.pool)
            .filter(|pool| lasted(&self.spare, pool).is_some_and(|mean| has_room(pool, mean)))
            .min_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))?;
        // The effect of this move must show in the reports before the next one.
        self.overloaded.remove(&to.pool);
        self.spare.remove(&from.pool);
        Some(MovePlan {
            from: from.pool.clone(),
            to: to.pool.clone(),
        })
    }

    /// Drops what is known of a pool. The caller does so when reports are missing, because the
    /// times of the next report would otherwise bridge the gap and count silence as load or room.
    pub fn reset_pool(&mut self, pool: &str) {
        self.overloaded.remove(pool);
        self.spare.remove(pool);
    }
}

fn track(runs: &mut BTreeMap<PoolId, LoadRun>, pool: &ReportedLoad, holds: bool, gap: Duration) {
    if let Some(run) = runs.get_mut(&pool.pool) {
        // A report that is presented again adds no observation.
        if pool.measured_at <= run.seen {
            return;
        }
        run.seen = pool.measured_at;
        if holds {
            run.last = pool.measured_at;
        }
        if pool.measured_at.saturating_sub(run.last) <= gap {
            run.sum += pool.offered;
            run.count += 1.0;
            return;
        }
        runs.remove(&pool.pool);
    }
    if holds {
        let run = LoadRun {
            start: pool.measured_at,
            last: pool.measured_at,
            seen: pool.measured_at,
            sum: pool.offered,
            count: 1.0,
        };
        runs.insert(pool.pool.clone(), run);
    }
}

fn has_room(pool: &ReportedLoad, offered: f64) -> bool {
    if pool.available <= pool.floor || pool.available == 0 {
        return false;
    }
    let remaining =
        f64::from(pool.slots) * f64::from(pool.available - 1) / f64::from(pool.available);
    offered <= DONOR_LOAD * remaining
}

fn relative_load(pool: &ReportedLoad) -> f64 {
    pool.offered / f64::from(pool.slots.max(1))
}
