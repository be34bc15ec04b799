//! Pacing of tasks that fill beside tasks that serve. Each test names the failure that it guards
//! against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::RunningRun;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellAction;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;

use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::lasting;
use support::starts;
use support::step;
use support::stops;

const TARGET_MS: u64 = 100;
/// A serving task may be over its target for this long (`harm_ms` of the platform's pages).
const HARM: Duration = Duration::from_secs(4);
/// Period of reports; the worker's figures are those of the last half second.
const PERIOD: Duration = Duration::from_millis(500);

/// A worker with a serving task and one that fills beside it.
struct SharedWorker {
    cell: TestCell,
    worker: WorkerKey,
    serving: (TaskKey, u64),
    filler: (TaskKey, u64),
    /// Pace that the worker has carried out, in percent.
    pace: u32,
    /// Thousandths of a percent of the filler's work that are done.
    progress: u32,
    loses_orders: bool,
}

impl SharedWorker {
    fn new(fills: StepSpec) -> Self {
        let mut cell = TestCell::new(vec![entry("a")]);
        let serves = StepSpec {
            target_ms: TARGET_MS,
            ..lasting(1, 1)
        };
        cell.accept(job(1, vec![serves]));
        cell.accept(job(2, vec![fills]));
        let started = starts(&cell.tick());
        let find = |id: u64| {
            let found = started.iter().find(|(_, task, _)| task.job.0 == id);
            found.map(|(_, task, run)| (*task, *run)).expect("a start")
        };
        Self {
            worker: started[0].0,
            serving: find(1),
            filler: find(2),
            pace: 100,
            progress: 0,
            loses_orders: false,
            cell,
        }
    }

    fn report_of(&self, tail_ms: u64) -> WorkerReport {
        let running = |(task, run), usage, percent| RunningRun {
            task,
            run,
            checkpoint: String::new(),
            percent,
            usage,
        };
        WorkerReport {
            clock_ms: self.cell.now.as_millis() as u64,
            started_ms: None,
            running: vec![
                running(self.serving, tail_ms, 100),
                running(self.filler, 1_000, self.progress / 1_000),
            ],
            ended: Vec::new(),
        }
    }

    /// Reports a tail and carries the orders out; returns the stopped tasks.
    fn pass(&mut self, tail_ms: u64) -> Vec<TaskKey> {
        self.cell.pass(PERIOD);
        self.progress = (self.progress + self.pace * 4).min(99_000);
        let report = self.report_of(tail_ms);
        let now = self.cell.now;
        self.cell
            .core
            .apply_report(self.worker, &report, now, now, WALL_MS);
        let actions = self.cell.tick();
        for action in &actions {
            let CellAction::Pace {
                worker,
                task,
                run,
                percent,
            } = action
            else {
                continue;
            };
            let result = match self.loses_orders {
                true => OrderResult::Unknown,
                false => OrderResult::Answered(OrderAnswer::Accepted),
            };
            if !self.loses_orders {
                self.pace = *percent;
            }
            self.cell
                .core
                .apply_pace_result(*worker, *task, (*run, *percent), result);
        }
        stops(&actions)
    }
}

fn filling() -> StepSpec {
    StepSpec {
        fills: true,
        estimated_ms: 60_000,
        ..step(1)
    }
}

/// Guards against serving tasks that are over their target because of what fills beside them
/// (HARM), and against fillers that get nothing where there is room. The harm changes every 10 s.
#[test]
fn fillers_are_slowed_before_they_harm() {
    let mut shared = SharedWorker::new(filling());
    let mut over = Duration::ZERO;
    let mut worked = 0.0;
    let mut possible = 0.0;
    for number in 0..240u32 {
        // Tail without fillers, and what a filler at full speed adds.
        let (base, harm) =
            [(40.0, 20.0), (50.0, 90.0), (30.0, 200.0), (70.0, 10.0)][(number / 20) as usize % 4];
        let tail = base + harm * f64::from(shared.pace) / 100.0;
        over = match tail > TARGET_MS as f64 {
            true => over + PERIOD,
            false => Duration::ZERO,
        };
        assert!(over < HARM, "over its target for {over:?} at {number}");
        worked += f64::from(shared.pace);
        possible += ((TARGET_MS as f64 - base) / harm * 100.0).min(100.0);
        shared.pass(tail as u64);
    }
    assert!(worked > possible * 0.4, "{worked} of {possible}");
}

/// Guards against a filler that goes on at full speed because the order to slow it was lost.
#[test]
fn lost_orders_of_pace_are_repeated() {
    let mut shared = SharedWorker::new(filling());
    shared.loses_orders = true;
    shared.pass(150);
    shared.pass(150);
    assert_eq!(shared.pace, 100);
    shared.loses_orders = false;
    shared.pass(150);
    shared.pass(150);
    assert_eq!(shared.pace, 0);
}

/// Guards against a filler that a new owner leaves at the pace of the owner before.
#[test]
fn new_owner_orders_the_pace_of_fillers() {
    let mut shared = SharedWorker::new(filling());
    shared.pass(150);
    shared.pass(150);
    assert_eq!(shared.pace, 0);
    let mut next = TestCell::new(vec![entry("a")]);
    let serves = StepSpec {
        target_ms: TARGET_MS,
        ..lasting(1, 1)
    };
    for record in [job(1, vec![serves]), job(2, vec![filling()])] {
        let progress = shared.cell.core.progress(record.id).expect("a known job");
        next.core
            .load_job(record, &progress, Duration::ZERO, WALL_MS);
    }
    next.now = shared.cell.now;
    shared.worker = next.core.worker_keys()[0];
    shared.cell = next;
    for _ in 0..24 {
        shared.pass(30);
    }
    assert_eq!(shared.pace, 100);
}

/// Guards against taking a filler that was stopped by its pace for one that hangs.
#[test]
fn paced_fillers_are_not_stuck() {
    let mut shared = SharedWorker::new(filling());
    for _ in 0..20 {
        assert!(shared.pass(150).is_empty());
    }
}
