//! Jobs beside a schedule that missed most of its occurrences.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::collections::BTreeMap;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::OrderAnswer;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::core::JobPhase;
use tanager_schedule::orders::OrderResult;
use tanager_schedule::start_limits::MAX_STARTS;
use tanager_schedule::start_limits::StartLimits;

use support::QUEUE;
use support::TestCell;
use support::entry;
use support::job;
use support::millis;
use support::starts;
use support::step;

/// Cores of a worker of the tests.
const WORKER_CORES: usize = 8;
const WORKERS: usize = 4;
/// Rounds of 100 ms that a task of a missed occurrence takes.
const TASK_ROUNDS: usize = 5;

/// Returns a schedule of which a year of minutes was missed.
fn missed_schedule(id: u64, tasks: u32) -> JobRecord {
    let mut record = job(id, vec![step(tasks)]);
    record.spec.repetitions = 525_600;
    record
}

/// Lets the runs of missed occurrences end after `TASK_ROUNDS` and all others after a round; returns the number of runs of
/// each job.
fn run_round(
    cell: &mut TestCell,
    ages: &mut BTreeMap<(JobId, u32, u32), usize>,
) -> BTreeMap<JobId, usize> {
    cell.tick();
    let mut runs: BTreeMap<JobId, usize> = BTreeMap::new();
    for (worker, task, run) in cell.running.clone() {
        *runs.entry(task.job).or_default() += 1;
        let age = ages
            .entry((task.job, task.occurrence, task.index))
            .or_default();
        *age += 1;
        if task.job.0 >= 100 || *age >= TASK_ROUNDS {
            cell.end(worker, task, run, EndCause::Done);
        }
    }
    cell.advance_time(millis(100));
    cell.report_all();
    let (jobs, watermarks) = cell.core.take_dirty(100);
    cell.core.mark_stored(&jobs, &watermarks);
    runs
}

fn cell_of_four() -> TestCell {
    TestCell::new(
        (0..WORKERS)
            .map(|number| entry(&format!("w{number}")))
            .collect(),
    )
}

/// Guards against one client's wrong year that closes the queue for all later jobs: the occurrences that were missed counted
/// as work before them and took all workers.
#[test]
fn jobs_are_accepted_and_done_in_time_beside_a_missed_schedule() {
    let mut cell = cell_of_four();
    let mut ages = BTreeMap::new();
    cell.accept(missed_schedule(1, 2));
    for _ in 0..20 {
        run_round(&mut cell, &mut ages);
    }
    for id in 100..140 {
        let record = job(id, vec![step(8)]);
        let decision = cell.core.admit(QUEUE, &record.spec, cell.now);
        assert_eq!(decision, AdmissionDecision::Accept, "job {id}");
        cell.accept(record);
        // Each job has a round to start and one to end.
        run_round(&mut cell, &mut ages);
        run_round(&mut cell, &mut ages);
        let phase = cell.core.job_phase(JobId(id));
        assert_eq!(
            phase,
            Some(JobPhase::Ended(JobState::Completed)),
            "job {id}"
        );
    }
}

/// Guards against a missed schedule that stands still while less than half of its cell is in use, and against one that
/// takes more than that by more than a task.
#[test]
fn missed_occurrences_use_half_of_the_cores() {
    let mut cell = cell_of_four();
    let mut ages = BTreeMap::new();
    cell.accept(missed_schedule(1, 3));
    for _ in 0..100 {
        let runs = run_round(&mut cell, &mut ages);
        assert_eq!(runs[&JobId(1)], WORKERS * WORKER_CORES / 2);
    }
}

/// Guards against a missed schedule that waits until another one has caught up.
#[test]
fn missed_schedules_take_turns() {
    let mut cell = cell_of_four();
    let mut ages = BTreeMap::new();
    cell.accept(missed_schedule(1, 2));
    cell.accept(missed_schedule(2, 2));
    let mut runs = BTreeMap::new();
    for _ in 0..100 {
        for (id, count) in run_round(&mut cell, &mut ages) {
            *runs.entry(id).or_insert(0) += count;
        }
    }
    let (first, second) = (runs[&JobId(1)], runs[&JobId(2)]);
    assert!(first.abs_diff(second) * 5 < first, "{first} and {second}");
}

/// Guards against a round of placement that lets reports and lease renewals wait for thousands of starts.
#[test]
fn round_starts_a_bounded_number_of_tasks() {
    let workers = (0..40).map(|number| entry(&format!("w{number}")));
    let mut cell = TestCell::new(workers.collect());
    let mut small = step(3_000);
    (small.request.cpu, small.request.memory_mb) = (1, 1);
    cell.accept(job(100, vec![small]));
    let mut rounds = 0;
    while cell.running.len() < 3_000 {
        let before = cell.running.len();
        cell.tick();
        let started = cell.running.len() - before;
        assert!(started > 0 && started <= MAX_STARTS, "{started}");
        rounds += 1;
    }
    assert_eq!(rounds, 3_000usize.div_ceil(MAX_STARTS));
}

/// Guards against tasks that go first and wait at their worker behind thousands of starts that were ordered before.
#[test]
fn starts_that_wait_at_a_worker_are_bounded() {
    let mut cell = cell_of_four();
    let small = |id, count| {
        let mut small = step(count);
        (small.request.cpu, small.request.memory_mb) = (1, 1);
        job(id, vec![small])
    };
    cell.accept(small(1, 3_000));
    let wall_ms = cell.wall_ms();
    let mut waiting = Vec::new();
    // The workers answer nothing for a while.
    for _ in 0..20 {
        cell.core.tick(cell.now, wall_ms, true);
        waiting.extend(starts(&cell.core.take_actions()));
    }
    assert_eq!(waiting.len(), WORKERS * 32);
    // Each result makes room for another start, at once.
    for (worker, task, run) in waiting.drain(..10) {
        let accepted = OrderResult::Answered(OrderAnswer::Accepted);
        (cell.core).apply_start_result(worker, task, run, accepted, cell.now);
    }
    cell.core.tick(cell.now, wall_ms, true);
    assert_eq!(starts(&cell.core.take_actions()).len(), 10);
}

/// Guards against a task larger than half of its cell that is never started.
#[test]
fn largest_task_of_a_missed_occurrence_may_start() {
    let mut limits = StartLimits::new(0, 16_000);
    limits.is_missed = true;
    assert_eq!(limits.limit(16_000), 1);
    limits.record(16_000);
    assert_eq!(limits.limit(16_000), 0);
    assert_eq!(limits.limit(0), 0);
    limits.is_missed = false;
    assert_eq!(limits.limit(16_000), MAX_STARTS - 1);
}

/// Guards against a schedule whose occurrences are all due at this moment and that closes the queue until they are late.
#[test]
fn jobs_are_accepted_beside_occurrences_that_are_due_at_the_same_time() {
    let mut cell = cell_of_four();
    let mut record = missed_schedule(1, 2);
    record.spec.first_run_ms = cell.wall_ms();
    cell.accept(record);
    cell.tick();
    let spec = job(100, vec![step(8)]).spec;
    assert_eq!(
        cell.core.admit(QUEUE, &spec, cell.now),
        AdmissionDecision::Accept
    );
}

/// Guards against one job of thousands of tasks that closes the queue for all smaller ones, which the ranking lets go
/// first.
#[test]
fn small_jobs_are_accepted_and_done_in_time_beside_a_job_of_thousands_of_tasks() {
    let mut cell = cell_of_four();
    let mut ages = BTreeMap::new();
    cell.accept(job(1, vec![step(19_000)]));
    for _ in 0..20 {
        run_round(&mut cell, &mut ages);
    }
    for id in 100..120 {
        let record = job(id, vec![step(8)]);
        let decision = cell.core.admit(QUEUE, &record.spec, cell.now);
        assert_eq!(decision, AdmissionDecision::Accept, "job {id}");
        cell.accept(record);
        for _ in 0..10 {
            run_round(&mut cell, &mut ages);
        }
        let phase = cell.core.job_phase(JobId(id));
        assert_eq!(
            phase,
            Some(JobPhase::Ended(JobState::Completed)),
            "job {id}"
        );
    }
    // Others of its size wait for it.
    for id in 200..260 {
        let record = job(id, vec![step(19_000)]);
        if cell.core.admit(QUEUE, &record.spec, cell.now) != AdmissionDecision::Accept {
            return;
        }
        cell.accept(record);
        cell.advance_time(millis(100));
        cell.report_all();
    }
    panic!("nothing was refused");
}
