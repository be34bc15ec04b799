//! Tasks that crash the workers that start them, beside tasks that do not.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::TaskKey;
use tanager_schedule::WorkerKey;
use tanager_schedule::core::JobPhase;

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
            self.ends.push((now + TASK_TIME, worker, task, run));
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
