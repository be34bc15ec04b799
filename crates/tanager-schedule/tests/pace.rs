//! Pacing of best-effort tasks that share a worker with serving tasks. Each test names the failure
//! that it guards against.

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
use support::long_running_step;
use support::starts;
use support::step;
use support::stops;

const TARGET_MS: u64 = 100;
/// Maximum time for which a serving task may exceed its target, as documented by the platform.
const MAX_TIME_OVER_TARGET: Duration = Duration::from_secs(4);
/// Period of reports; a worker's figures cover the last half second.
const PERIOD: Duration = Duration::from_millis(500);

/// A worker with a serving task and a best-effort task.
struct SharedWorker {
    cell: TestCell,
    worker: WorkerKey,
    serving: (TaskKey, u64),
    best_effort: (TaskKey, u64),
    /// Pace that the worker has applied, in percent.
    pace: u32,
    /// Progress of the best-effort task in thousandths of a percent.
    progress: u32,
    loses_orders: bool,
}

impl SharedWorker {
    fn new(best_effort_spec: StepSpec) -> Self {
        let mut cell = TestCell::new(vec![entry("a")]);
        let serving_spec = StepSpec {
            target_ms: TARGET_MS,
            ..long_running_step(1, 1)
        };
        cell.accept(job(1, vec![serving_spec]));
        cell.accept(job(2, vec![best_effort_spec]));
        let started = starts(&cell.tick());
        let find = |id: u64| {
            let found = started.iter().find(|(_, task, _)| task.job.0 == id);
            found.map(|(_, task, run)| (*task, *run)).expect("a start")
        };
        Self {
            worker: started[0].0,
            serving: find(1),
            best_effort: find(2),
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
                running(self.best_effort, 1_000, self.progress / 1_000),
            ],
            ended: Vec::new(),
            omits_ends: false,
        }
    }

    /// Reports a response time tail and carries out the orders; returns the stopped tasks.
    fn report_tail(&mut self, tail_ms: u64) -> Vec<TaskKey> {
        self.cell.advance_time(PERIOD);
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

fn best_effort_step() -> StepSpec {
    StepSpec {
        fills: true,
        estimated_ms: 60_000,
        ..step(1)
    }
}

/// Guards against serving tasks that exceed their target because of best-effort tasks (HARM), and
/// against best-effort tasks that make no progress although there is room. The slowdown changes
/// every 10 s.
#[test]
fn best_effort_tasks_are_slowed_down_in_time() {
    let mut shared = SharedWorker::new(best_effort_step());
    let mut time_over_target = Duration::ZERO;
    let mut worked = 0.0;
    let mut possible = 0.0;
    for number in 0..240u32 {
        // Response time tail without best-effort tasks, and its increase by one that runs at full
        // speed.
        let (base, increase) =
            [(40.0, 20.0), (50.0, 90.0), (30.0, 200.0), (70.0, 10.0)][(number / 20) as usize % 4];
        let tail = base + increase * f64::from(shared.pace) / 100.0;
        time_over_target = match tail > TARGET_MS as f64 {
            true => time_over_target + PERIOD,
            false => Duration::ZERO,
        };
        assert!(
            time_over_target < MAX_TIME_OVER_TARGET,
            "above the target for {time_over_target:?} at {number}"
        );
        worked += f64::from(shared.pace);
        possible += ((TARGET_MS as f64 - base) / increase * 100.0).min(100.0);
        shared.report_tail(tail as u64);
    }
    assert!(worked > possible * 0.4, "{worked} of {possible}");
}

/// Guards against a best-effort task that continues at full speed because the order to slow it down
/// was lost.
#[test]
fn lost_pace_orders_are_resent() {
    let mut shared = SharedWorker::new(best_effort_step());
    shared.loses_orders = true;
    shared.report_tail(150);
    shared.report_tail(150);
    assert_eq!(shared.pace, 100);
    shared.loses_orders = false;
    shared.report_tail(150);
    shared.report_tail(150);
    assert_eq!(shared.pace, 0);
}

/// Guards against a new owner that leaves a best-effort task at the pace set by the former owner.
#[test]
fn new_owner_orders_the_pace_of_best_effort_tasks() {
    let mut shared = SharedWorker::new(best_effort_step());
    shared.report_tail(150);
    shared.report_tail(150);
    assert_eq!(shared.pace, 0);
    let mut next = TestCell::new(vec![entry("a")]);
    let serving_spec = StepSpec {
        target_ms: TARGET_MS,
        ..long_running_step(1, 1)
    };
    for record in [job(1, vec![serving_spec]), job(2, vec![best_effort_step()])] {
        let progress = shared.cell.core.progress(record.id).expect("a known job");
        next.core
            .load_job(record, &progress, Duration::ZERO, WALL_MS);
    }
    next.now = shared.cell.now;
    shared.worker = next.core.worker_keys()[0];
    shared.cell = next;
    for _ in 0..24 {
        shared.report_tail(30);
    }
    assert_eq!(shared.pace, 100);
}

/// Guards against treating a best-effort task that was paused by its pace as stalled.
#[test]
fn paused_best_effort_tasks_are_not_stalled() {
    let mut shared = SharedWorker::new(best_effort_step());
    for _ in 0..20 {
        assert!(shared.report_tail(150).is_empty());
    }
}
