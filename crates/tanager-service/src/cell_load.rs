//! Counts what the owner of a cell does, and logs it once a second.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tanager_schedule::decision_work::DecisionWork;
use tanager_schedule::overload_state::OverloadChange;
use tanager_schedule::overload_state::OverloadState;
use tanager_schedule::overload_state::OwnerPeriod;
use tokio::time;

use crate::cell::CellHandle;
use crate::cell_sizes::CellSizes;
use crate::cpu_time::CpuTimes;
use crate::cpu_time::Duty;
use crate::peers::CellResponse;

/// Time between two lines about a cell.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of workers that a line names.
const MAX_NAMED_WORKERS: usize = 8;

/// Counts of what an owner did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadCounts {
    /// Calls of clients and other nodes that it began to handle.
    pub asked: u64,
    /// Calls that it answered.
    pub answered: u64,
    /// Those that it refused.
    pub refused: u64,
    /// Those whose outcome it did not know.
    pub uncertain: u64,
    /// Calls that were abandoned before the answer, because the caller had gone.
    pub dropped: u64,
    /// Start orders that it sent.
    pub started: u64,
    /// Ends of runs that workers reported.
    pub ended: u64,
    /// Processor time of its decisions, in microseconds.
    pub decision_us: u64,
}

impl LoadCounts {
    /// Returns the counts since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            asked: self.asked - earlier.asked,
            answered: self.answered - earlier.answered,
            refused: self.refused - earlier.refused,
            uncertain: self.uncertain - earlier.uncertain,
            dropped: self.dropped - earlier.dropped,
            started: self.started - earlier.started,
            ended: self.ended - earlier.ended,
            decision_us: self.decision_us - earlier.decision_us,
        }
    }
}

/// Counters behind [`LoadCounts`].
#[derive(Debug, Default)]
pub struct CellLoad {
    asked: AtomicU64,
    answered: AtomicU64,
    refused: AtomicU64,
    uncertain: AtomicU64,
    dropped: AtomicU64,
    started: AtomicU64,
    ended: AtomicU64,
    decision_us: AtomicU64,
}

/// A call in progress; it counts as dropped if it ends without an answer.
#[derive(Debug)]
pub struct PendingCall<'a> {
    load: &'a CellLoad,
    is_answered: bool,
}

impl CellLoad {
    /// Counts a call that begins.
    pub fn begin_call(&self) -> PendingCall<'_> {
        add(&self.asked, 1);
        PendingCall {
            load: self,
            is_answered: false,
        }
    }

    /// Counts start orders.
    pub fn add_starts(&self, count: u64) {
        add(&self.started, count);
    }

    /// Counts ends of runs.
    pub fn add_ends(&self, count: u64) {
        add(&self.ended, count);
    }

    /// Adds the processor time of decisions.
    pub fn add_decisions(&self, spent: Duration) {
        add(&self.decision_us, spent.as_micros() as u64);
    }

    /// Reads the counters.
    pub fn counts(&self) -> LoadCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        LoadCounts {
            asked: read(&self.asked),
            answered: read(&self.answered),
            refused: read(&self.refused),
            uncertain: read(&self.uncertain),
            dropped: read(&self.dropped),
            started: read(&self.started),
            ended: read(&self.ended),
            decision_us: read(&self.decision_us),
        }
    }
}

impl PendingCall<'_> {
    /// Counts the answer to the call.
    pub fn end(mut self, response: &CellResponse) {
        self.is_answered = true;
        add(&self.load.answered, 1);
        match response {
            CellResponse::Refused { .. } => add(&self.load.refused, 1),
            CellResponse::Uncertain => add(&self.load.uncertain, 1),
            _ => {}
        }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            add(&self.load.dropped, 1);
        }
    }
}

fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}

/// State at the end of the last period.
struct LoadReporter {
    ended_at: Duration,
    counts: LoadCounts,
    work: DecisionWork,
    cpu: CpuTimes,
    overload: OverloadState,
}

/// Logs the load of a cell each second until it is closed.
pub(crate) async fn run(cell: Arc<CellHandle>) {
    let mut closed = cell.closed();
    let mut reporter = LoadReporter {
        ended_at: cell.context.clock.now(),
        counts: cell.load.counts(),
        work: cell.core().decision_work(),
        cpu: CpuTimes::read(),
        overload: OverloadState::default(),
    };
    loop {
        // The arms return only: the receiver locks the state of the channel until they end, and a
        // report may close the cell.
        let is_closed = tokio::select! {
            () = time::sleep(REPORT_PERIOD) => false,
            _ = closed.wait_for(|closed| *closed) => true,
        };
        // The last second of an ownership is often the one to be explained.
        reporter.report(&cell);
        if is_closed {
            cell.context.metrics.cells.remove(&cell.name);
            return;
        }
    }
}

impl LoadReporter {
    fn report(&mut self, cell: &CellHandle) {
        let now = cell.context.clock.now();
        let lag = cell.context.lag_since(self.ended_at);
        let span = now.saturating_sub(self.ended_at);
        let counts = cell.load.counts();
        let cpu = CpuTimes::read();
        let sizes = read_sizes(cell);
        let CellSizes {
            jobs: (open, waiting, runs),
            work,
            ..
        } = sizes;
        let recovery = cell.core().recovery_state(now);
        cell.context.metrics.cells.set(&cell.name, &sizes);
        let done = counts.since(&self.counts);
        cell.context.metrics.count_work(&self.work, &work);
        if let Some(recovery) = recovery {
            let named: Vec<&str> = (recovery.workers.iter().take(MAX_NAMED_WORKERS))
                .map(|(worker, _)| worker.as_str())
                .collect();
            log::info!(
                "event=recovery_waits cell={} token={} waits_for={} first={:.3?} longest={:.3?} \
                 unlisted={} workers={}",
                cell.name,
                cell.token,
                recovery.workers.len(),
                recovery
                    .workers
                    .first()
                    .map_or(Duration::ZERO, |(_, left)| *left),
                recovery
                    .workers
                    .last()
                    .map_or(Duration::ZERO, |(_, left)| *left),
                recovery.unlisted_tasks,
                named.join(",")
            );
        }
        let period = OwnerPeriod {
            lag,
            asked: done.asked,
            answered: done.answered,
            dropped: done.dropped,
        };
        let change = self.overload.observe(&period, now);
        let is_idle = LoadCounts {
            decision_us: 0,
            ..done
        } == LoadCounts::default();
        if !is_idle || waiting > 0 || change.is_some() {
            let spent = |duty| millis(cpu.of(duty).saturating_sub(self.cpu.of(duty)));
            log::info!(
                "event=cell_load cell={} token={} span={:.3} asked={} answered={} refused={} \
                 dropped={} uncertain={} started={} ended={} open={open} waiting={waiting} \
                 runs={runs} lag={:.3} decisions={} cpu={} admission={} reports={} renewals={} \
                 ledger={} peer_calls={} log_lines={} log_writer={} steps={} cap_checks={} \
                 compared={} visited_runs={} visited_tasks={} {sizes}",
                cell.name,
                cell.token,
                span.as_secs_f64(),
                done.asked,
                done.answered,
                done.refused,
                done.dropped,
                done.uncertain,
                done.started,
                done.ended,
                lag.as_secs_f64(),
                done.decision_us / 1_000,
                millis(cpu.process.saturating_sub(self.cpu.process)),
                spent(Duty::Admission),
                spent(Duty::Reports),
                spent(Duty::Renewals),
                spent(Duty::Ledger),
                spent(Duty::PeerCalls),
                spent(Duty::LogLines),
                spent(Duty::LogWriter),
                work.steps - self.work.steps,
                work.cap_checks - self.work.cap_checks,
                work.workers - self.work.workers,
                work.runs - self.work.runs,
                work.tasks - self.work.tasks,
            );
        }
        if let Some(change) = change {
            log_overload(cell, change, &period);
        }
        self.ended_at = now;
        self.counts = counts;
        self.work = work;
        self.cpu = cpu;
    }
}

fn read_sizes(cell: &CellHandle) -> CellSizes {
    let wall_ms = cell.context.clock.wall_ms();
    let core = cell.core();
    CellSizes {
        jobs: core.sizes(),
        tasks: core.open_tasks(),
        held_back: core.held_back(wall_ms),
        memory: core.memory(),
        work: core.decision_work(),
    }
}

fn log_overload(cell: &CellHandle, change: OverloadChange, period: &OwnerPeriod) {
    let (phase, lasted) = match change {
        OverloadChange::Begun => ("begun", Duration::ZERO),
        OverloadChange::Ended { lasted } => ("ended", lasted),
    };
    // A call waited for at most `lag` in this process before it was begun.
    log::warn!(
        "event=owner_overloaded cell={} token={} phase={phase} lasted={lasted:.3?} lag={:.3} \
         asked={} answered={} dropped={}",
        cell.name,
        cell.token,
        period.lag.as_secs_f64(),
        period.asked,
        period.answered,
        period.dropped
    );
}

fn millis(time: Duration) -> u128 {
    time.as_millis()
}
