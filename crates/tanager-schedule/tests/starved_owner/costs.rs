//! Processor time of an owner's duties.

use std::time::Duration;

use tanager_schedule::decision_work::DecisionWork;

/// Call of an entry node that is read, decided and answered: an HTTP call takes a server 13 us
/// (`call_cost` of `tanager-http`, arm64); as much again is assumed for decoding, the log and
/// wake-ups.
pub(crate) const CALL_COST: Duration = Duration::from_micros(26);
/// Lease renewal of a worker with its report: 14 us for an HTTP client, and as much again.
pub(crate) const REPORT_COST: Duration = Duration::from_micros(28);
/// Start or stop that is sent to a worker, with its answer; as above.
pub(crate) const ORDER_COST: Duration = Duration::from_micros(28);
/// Transaction; as above.
pub(crate) const TRANSACTION_COST: Duration = Duration::from_micros(28);
/// Entry of a job in a transaction, and job that is loaded in a takeover; assumed.
pub(crate) const STORED_JOB_COST: Duration = Duration::from_micros(15);
pub(crate) const LOADED_JOB_COST: Duration = Duration::from_micros(30);
/// Items of decisions, in nanoseconds: the fit that `duty_cost` prints (arm64, release), rounded.
const STEP_NS: u64 = 220;
const CAP_CHECK_NS: u64 = 740;
const WORKER_NS: u64 = 16;
const RUN_NS: u64 = 87;
const TASK_NS: u64 = 29;

/// Returns the number of items.
pub(crate) fn items(work: &DecisionWork) -> u64 {
    work.steps + work.cap_checks + work.workers + work.runs + work.tasks
}

/// Returns the items that were looked at between two counts.
pub(crate) fn difference(before: &DecisionWork, after: &DecisionWork) -> DecisionWork {
    DecisionWork {
        steps: after.steps - before.steps,
        cap_checks: after.cap_checks - before.cap_checks,
        workers: after.workers - before.workers,
        runs: after.runs - before.runs,
        tasks: after.tasks - before.tasks,
    }
}

/// Returns the processor time of decisions that looked at these items.
pub(crate) fn decision_cost(work: &DecisionWork) -> Duration {
    let nanoseconds = work.steps * STEP_NS
        + work.cap_checks * CAP_CHECK_NS
        + work.workers * WORKER_NS
        + work.runs * RUN_NS
        + work.tasks * TASK_NS;
    Duration::from_nanos(nanoseconds)
}
