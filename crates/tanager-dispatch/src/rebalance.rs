//! Planning of moves of VMs between pools.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_protocol::ids::PoolId;

/// Maximum load of a donor, as a share of its slots after the move, so that a small rise of its
/// load does not require the VM to return.
const MAX_DONOR_LOAD: f64 = 0.7;
/// Reports older than this are ignored, because the load may have changed.
const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// Load of one pool as last reported.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedLoad {
    /// The pool.
    pub pool: PoolId,
    /// VMs that accept work.
    pub available: u32,
    /// Least number of VMs that must be available.
    pub floor: u32,
    /// Slots of all available VMs.
    pub slots: u32,
    /// Offered load in slots: arrivals per second times run time. Backlog does not count, because
    /// it remains after a surge has ended.
    pub offered: f64,
    /// Time of the measurement.
    pub measured_at: Duration,
}

/// Move of one VM between pools.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MovePlan {
    /// Pool that gives up a VM.
    pub from: PoolId,
    /// Pool that receives it.
    pub to: PoolId,
}

/// Period in which the reports of a pool met a condition, with gaps of at most a twentieth of the
/// cost of a move.
#[derive(Clone, Copy, Debug)]
struct ConditionSpan {
    start: Duration,
    last_met: Duration,
    /// Time of the newest report, whether or not it met the condition.
    last_report: Duration,
    offered_sum: f64,
    report_count: f64,
}

impl ConditionSpan {
    fn mean(&self) -> f64 {
        self.offered_sum / self.report_count
    }
}

/// Plans moves from the periods in which pools were overloaded or able to give up a VM.
#[derive(Clone, Debug, Default)]
pub struct MovePlanner {
    overloaded: BTreeMap<PoolId, ConditionSpan>,
    donors: BTreeMap<PoolId, ConditionSpan>,
}

impl MovePlanner {
    /// Plans at most one move. `move_cost` is the time for which a move takes a VM out of service.
    ///
    /// A pool receives a VM once its reported load has exceeded its slots for longer than
    /// `move_cost`. Waiting for this time bounds the loss: a shorter surge causes no move, and a
    /// longer one gets a VM at most `move_cost` later than with knowledge of the future. The donor
    /// must have been able to give up a VM for as long. Only the measurement times of reports
    /// count, so late reports delay a move but never cause one. Single low reports do not end an
    /// overload, because measurements over one second vary widely when run times do; the mean must
    /// exceed the slots as well.
    pub fn plan_move(
        &mut self,
        now: Duration,
        pools: &[ReportedLoad],
        move_cost: Duration,
    ) -> Option<MovePlan> {
        let gap = move_cost / 20;
        for pool in pools {
            let fresh = now.saturating_sub(pool.measured_at) <= MAX_REPORT_AGE;
            let overloaded = fresh && pool.offered > f64::from(pool.slots);
            let can_donate = fresh && can_spare_vm(pool, pool.offered);
            update_span(&mut self.overloaded, pool, overloaded, gap);
            update_span(&mut self.donors, pool, can_donate, gap);
        }
        let lasting_mean = |spans: &BTreeMap<PoolId, ConditionSpan>, pool: &ReportedLoad| {
            spans
                .get(&pool.pool)
                .filter(|span| span.last_met.saturating_sub(span.start) > move_cost)
                .map(ConditionSpan::mean)
        };
        let to = pools
            .iter()
            .filter(|pool| {
                lasting_mean(&self.overloaded, pool)
                    .is_some_and(|mean| mean > f64::from(pool.slots))
            })
            .max_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))?;
        let from = pools
            .iter()
            .filter(|pool| pool.pool != to.pool)
            .filter(|pool| {
                lasting_mean(&self.donors, pool).is_some_and(|mean| can_spare_vm(pool, mean))
            })
            .min_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))?;
        // The reports must show the effect of this move before the next one is planned.
        self.overloaded.remove(&to.pool);
        self.donors.remove(&from.pool);
        Some(MovePlan {
            from: from.pool.clone(),
            to: to.pool.clone(),
        })
    }

    /// Discards the history of a pool. To be called when reports are missing, because the next
    /// report would otherwise bridge the gap and count the missing time as overloaded or spare.
    pub fn reset_pool(&mut self, pool: &str) {
        self.overloaded.remove(pool);
        self.donors.remove(pool);
    }
}

fn update_span(
    spans: &mut BTreeMap<PoolId, ConditionSpan>,
    pool: &ReportedLoad,
    is_met: bool,
    gap: Duration,
) {
    if let Some(span) = spans.get_mut(&pool.pool) {
        // A repeated report is not a new observation.
        if pool.measured_at <= span.last_report {
            return;
        }
        span.last_report = pool.measured_at;
        if is_met {
            span.last_met = pool.measured_at;
        }
        if pool.measured_at.saturating_sub(span.last_met) <= gap {
            span.offered_sum += pool.offered;
            span.report_count += 1.0;
            return;
        }
        spans.remove(&pool.pool);
    }
    if is_met {
        let span = ConditionSpan {
            start: pool.measured_at,
            last_met: pool.measured_at,
            last_report: pool.measured_at,
            offered_sum: pool.offered,
            report_count: 1.0,
        };
        spans.insert(pool.pool.clone(), span);
    }
}

fn can_spare_vm(pool: &ReportedLoad, offered: f64) -> bool {
    if pool.available <= pool.floor || pool.available == 0 {
        return false;
    }
    let remaining =
        f64::from(pool.slots) * f64::from(pool.available - 1) / f64::from(pool.available);
    offered <= MAX_DONOR_LOAD * remaining
}

fn relative_load(pool: &ReportedLoad) -> f64 {
    pool.offered / f64::from(pool.slots.max(1))
}
