//! Tasks that crash the workers that start them, beside tasks that do not.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_schedule::WorkerKey;
use tanager_schedule::core::JobPhase;
use tanager_schedule::orders::OrderResult;

use support::TestCell;
use support::entry;
use support::job;
use support::long_running_step;
use support::starts;
use support::step;

/// Time between two ticks of a test.
const TICK: Duration = Duration::from_millis(50);
/// Duration of a task that does not crash its worker.
const TASK_TIME: Duration = Duration::from_millis(400);
/// Starts after which a task that crashes each of its workers must not start again: three, and
/// two more.
const MAX_STARTS: usize = 5;

/// A cell in which the tasks of some jobs crash each worker that starts them.
struct CrashingCell {
    cell: TestCell,
    crashing: BTreeSet<JobId>,
    long_running: BTreeSet<JobId>,
    /// Runs in progress with their end.
    ends: Vec<(Duration, WorkerKey, TaskKey, u64)>,
    starts: Vec<TaskKey>,
    crashes: usize,
}

impl CrashingCell {
    fn new(workers: usize, crashing: &[u64]) -> Self {
        let names = ["a", "b", "c", "d", "e", "f", "g", "h"];
        let entries = names[..workers].iter().map(|name| entry(name)).collect();
        Self {
            cell: TestCell::new(entries),
            crashing: crashing.iter().map(|id| JobId(*id)).collect(),
            long_running: BTreeSet::new(),
            ends: Vec::new(),
            starts: Vec::new(),
            crashes: 0,
        }
    }

    fn tick(&mut self) {
        let now = self.cell.now;
        for (_, worker, task, run) in self.ends.extract_if(.., |(end, ..)| *end <= now) {
            self.cell.end(worker, task, run, EndCause::Done);
        }
        self.cell.report_all();
        let mut crashed = BTreeSet::new();
        for (worker, task, run) in starts(&self.cell.tick()) {
            self.starts.push(task);
            if self.crashing.contains(&task.job) {
                crashed.insert(worker);
            }
            if !self.long_running.contains(&task.job) {
                self.ends.push((now + TASK_TIME, worker, task, run));
            }
        }
        for worker in crashed {
            self.crash(worker);
        }
        let (jobs, watermarks) = self.cell.core.take_dirty(100);
        self.cell.core.mark_stored(&jobs, &watermarks);
        self.cell.advance_time(TICK);
    }

    fn crash(&mut self, worker: WorkerKey) {
        self.crashes += 1;
        self.ends.retain(|(_, key, _, _)| *key != worker);
        self.cell.crash(worker);
    }

    fn run(&mut self, time: Duration) {
        let end = self.cell.now + time;
        while self.cell.now < end {
            self.tick();
        }
    }

    fn state(&self, id: u64) -> Option<JobState> {
        match self.cell.core.job_phase(JobId(id)) {
            Some(JobPhase::Ended(state)) => Some(state),
            _ => None,
        }
    }

    fn start_count(&self, id: u64) -> usize {
        self.starts
            .iter()
            .filter(|task| task.job == JobId(id))
            .count()
    }
}

/// Guards against a task that crashes one worker after another (BUDGET).
#[test]
fn task_that_crashes_its_workers_is_given_up() {
    let mut cell = CrashingCell::new(4, &[1]);
    cell.cell.accept(job(1, vec![step(1)]));
    cell.run(Duration::from_secs(20));
    assert!(cell.start_count(1) <= MAX_STARTS, "{}", cell.start_count(1));
    assert_eq!(cell.state(1), Some(JobState::Failed));
}

/// Guards against a long-running task that crashes one worker after another (BUDGET).
#[test]
fn long_running_task_that_crashes_its_workers_is_given_up() {
    let mut cell = CrashingCell::new(4, &[1]);
    cell.cell.accept(job(1, vec![long_running_step(1, 1)]));
    cell.run(Duration::from_secs(20));
    assert!(cell.start_count(1) <= MAX_STARTS, "{}", cell.start_count(1));
    assert_eq!(cell.state(1), Some(JobState::Failed));
}
/// Guards against a task that is given up because it ran beside one that crashes its workers (LOST).
#[test]
fn tasks_beside_a_crashing_task_complete() {
    let mut cell = CrashingCell::new(4, &[1, 2]);
    for id in 1..=40 {
        cell.cell.accept(job(id, vec![step(2)]));
    }
    cell.run(Duration::from_secs(40));
    for id in 3..=40 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
    for id in 1..=2 {
        assert_eq!(cell.state(id), Some(JobState::Failed), "job {id}");
    }
    // Both tasks of each crashing job may crash workers until one of them is given up.
    assert!(cell.crashes <= 2 * 2 * 3, "{}", cell.crashes);
}

/// Guards against the same in a pool in which every worker crashes (LOST).
#[test]
fn tasks_beside_a_crashing_task_complete_on_a_single_worker() {
    let mut cell = CrashingCell::new(1, &[1]);
    for id in 1..=5 {
        cell.cell.accept(job(id, vec![step(1)]));
    }
    cell.run(Duration::from_secs(40));
    for id in 2..=5 {
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id}");
    }
    assert_eq!(cell.state(1), Some(JobState::Failed));
}

/// Guards against a task that is given up because its workers crash for other reasons (LOST).
#[test]
fn task_on_workers_that_crash_for_other_reasons_completes() {
    let mut cell = CrashingCell::new(3, &[]);
    cell.long_running.insert(JobId(1));
    cell.cell.accept(job(1, vec![long_running_step(2, 1)]));
    cell.cell.accept(job(2, vec![step(2)]));
    for _ in 0..10 {
        cell.run(Duration::from_millis(3_500));
        for worker in cell.cell.core.worker_keys() {
            cell.crash(worker);
        }
    }
    cell.run(Duration::from_secs(6));
    assert_eq!(cell.state(1), None);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

/// Guards against a takeover that forgets the crashes, so that the task starts more often (BUDGET).
#[test]
fn crashes_are_known_after_a_takeover() {
    let mut cell = CrashingCell::new(4, &[1]);
    cell.cell.accept(job(1, vec![step(1)]));
    while cell.crashes < 2 {
        cell.tick();
    }
    cell.tick();
    let progress = cell.cell.core.progress(JobId(1)).expect("known job");
    assert_eq!(progress.occurrences[&0].tasks["0.0"].crashes, 2);
    let mut next = CrashingCell::new(4, &[1]);
    let wall_ms = next.cell.wall_ms();
    let record = job(1, vec![step(1)]);
    next.cell
        .core
        .load_job(record, &progress, next.cell.now, wall_ms);
    next.run(Duration::from_secs(20));
    assert_eq!(next.start_count(1), 1);
    assert_eq!(next.state(1), Some(JobState::Failed));
}

/// Guards against a job that is failed because its worker was silent for longer than a lease (LOST).
#[test]
fn silent_worker_is_not_counted_as_crashed() {
    let mut cell = TestCell::new(vec![entry("a"), entry("b")]);
    cell.accept(job(1, vec![step(1)]));
    let silent = starts(&cell.tick())[0].0;
    let crashes = |cell: &TestCell| {
        let progress = cell.core.progress(JobId(1)).expect("known job");
        (progress.occurrences.get(&0))
            .and_then(|occurrence| occurrence.tasks.get("0.0"))
            .map_or(0, |task| task.crashes)
    };
    cell.core.record_missed_renewal(silent);
    for _ in 0..8 {
        cell.advance_time(Duration::from_secs(1));
        cell.report_others(silent);
        cell.tick();
    }
    assert_eq!(crashes(&cell), 1);
    cell.report(silent);
    assert_eq!(crashes(&cell), 0);
}

/// Decides on the start of a single task, without an answer of its worker.
fn decide_start(cell: &mut TestCell) -> (WorkerKey, TaskKey, u64) {
    cell.advance_time(Duration::from_millis(200));
    cell.report_all();
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    starts(&cell.core.take_actions())[0]
}

/// Guards against run numbers that go back after a takeover, so that later crashes are not counted.
#[test]
fn run_numbers_rise_after_a_crash_and_a_takeover() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(1)]));
    let no_room = OrderResult::Answered(OrderAnswer::NoRoom);
    for _ in 0..4 {
        let (worker, task, run) = decide_start(&mut cell);
        cell.core
            .apply_start_result(worker, task, run, no_room, cell.now);
    }
    let (worker, task, run) = decide_start(&mut cell);
    let accepted = OrderResult::Answered(OrderAnswer::Accepted);
    cell.core
        .apply_start_result(worker, task, run, accepted, cell.now);
    cell.crash(worker);
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, false);
    let progress = cell.core.progress(JobId(1)).expect("progress");
    let mut next = TestCell::new(vec![entry("b")]);
    (next.core).load_job(job(1, vec![step(1)]), &progress, next.now, wall_ms);
    let (_, _, next_run) = decide_start(&mut next);
    assert!(next_run > run, "run {next_run} after run {run}");
}

/// Guards against a start that another incarnation rejected and that counts as a crash.
#[test]
fn start_rejected_by_another_incarnation_is_not_counted_as_crashed() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(1)]));
    let (worker, task, run) = decide_start(&mut cell);
    let other_life = OrderResult::Answered(OrderAnswer::OtherLife);
    cell.core
        .apply_start_result(worker, task, run, other_life, cell.now);
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, false);
    let progress = cell.core.progress(JobId(1)).expect("progress");
    let crashes: u32 = (progress.occurrences.values())
        .flat_map(|occurrence| occurrence.tasks.values())
        .map(|task| task.crashes)
        .sum();
    assert_eq!(crashes, 0);
}
