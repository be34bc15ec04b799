//! Log lines about single runs: start orders, ends and the renewals that acknowledge them.
//!
//! An owner orders hundreds of starts a second in a surge. The lines of starts and ends that need no
//! attention therefore have a target of their own at level `debug`, which is off by default; while
//! it is off, no line is built.

use log::Level;
use tanager_jobs::EndedRun;
use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;
use tanager_schedule::orders::OrderResult;
use tanager_schedule::worker::WorkerSlot;

use crate::cell::CellHandle;

/// Target of the lines; `RUST_LOG=info,tanager::runs=debug` enables them.
pub const TARGET: &str = "tanager::runs";

/// A start order as it was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentStart<'a> {
    pub(crate) task: TaskKey,
    pub(crate) run: RunNumber,
    /// Id of the worker.
    pub(crate) worker: &'a str,
    /// Start of the worker's incarnation in milliseconds since 1970, as the owner knew it when it
    /// sent the order; 0 if unknown.
    pub(crate) started_ms: u64,
    /// Lease expiry on the worker's clock, in milliseconds.
    pub(crate) lease_until_ms: u64,
}

impl CellHandle {
    /// Logs a start order with its result; only refused and unanswered ones at level `info`.
    pub(crate) fn log_start(&self, start: &SentStart<'_>, result: OrderResult, seconds: f64) {
        let is_accepted = result == OrderResult::Answered(OrderAnswer::Accepted);
        let (level, target, event) = match is_accepted {
            true => (Level::Debug, TARGET, "run_started"),
            false => (Level::Info, module_path!(), "run_not_started"),
        };
        log::log!(
            target: target,
            level,
            "event={event} job={} task={} run={} worker={} born={} result={result:?} \
             lease_until_ms={} after={seconds:.3}s cell={} token={}",
            start.task.job,
            start.task,
            start.run,
            start.worker,
            start.started_ms,
            start.lease_until_ms,
            self.name,
            self.token
        );
    }

    /// Logs the ends of a report that the owner has not read before, those above `read_before`.
    pub(crate) fn log_ends(&self, worker: &WorkerSlot, ended: &[EndedRun], read_before: u64) {
        if !log::log_enabled!(target: TARGET, Level::Debug) {
            return;
        }
        for end in ended.iter().filter(|end| end.number > read_before) {
            log::debug!(
                target: TARGET,
                "event=run_ended job={} task={} run={} cause={:?} number={} listed={} worker={} \
                 born={} cell={} token={}",
                end.task.job,
                end.task,
                end.run,
                end.cause,
                end.number,
                ended.len(),
                worker.entry.worker,
                worker.entry.started_ms,
                self.name,
                self.token
            );
        }
    }

    /// Logs that a renewal is about to acknowledge all ends up to a number.
    pub(crate) fn log_acknowledged(&self, worker: &str, started_ms: u64, acknowledged: u64) {
        log::debug!(
            target: TARGET,
            "event=ends_acknowledged worker={worker} born={started_ms} \
             acknowledged={acknowledged} cell={} token={}",
            self.name,
            self.token
        );
    }
}
