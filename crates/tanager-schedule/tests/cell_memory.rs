//! Memory of the jobs of a cell beside the budget of its owner.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::cell_memory::MemoryDecision;
use tanager_schedule::core::JobPhase;
use tanager_schedule::memory_budget::cell_budget;
use tanager_schedule::memory_budget::jobs_budget;
use tanager_schedule::memory_budget::reduced_budget;
use tanager_schedule::memory_cost::TASK_BYTES;

use support::QUEUE;
use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::long_running_step;
use support::millis;
use support::settings;
use support::step;

/// Budget of the tests: room for some 20 jobs of 2,000 tasks.
const BUDGET: u64 = 20 * 2_000 * TASK_BYTES;

fn cell_with_budget(budget: u64) -> TestCell {
    let mut cell = TestCell::new(vec![entry("a"), entry("b")]);
    cell.core.set_memory_budget(budget);
    cell
}

/// Guards against any number of accepted jobs that wait, each small by itself, and together kill their owner.
#[test]
fn jobs_are_refused_before_they_exceed_the_budget() {
    let mut cell = cell_with_budget(BUDGET);
    let mut accepted = 0;
    for id in 1..=60 {
        let record = job(id, vec![long_running_step(2_000, 1)]);
        match cell.core.reserve_memory(&record, cell.now) {
            MemoryDecision::Accept => {
                accepted += 1;
                cell.accept(record);
                cell.tick();
            }
            decision => assert!(matches!(decision, MemoryDecision::Full(_)), "{decision:?}"),
        }
        assert!(cell.core.memory().0 <= BUDGET);
    }
    assert!((15..=20).contains(&accepted), "{accepted}");
    assert_eq!(cell.core.open_tasks().1, accepted * 2_000);
}

/// Guards against jobs that arrive while others are being stored and are accepted for the same room.
#[test]
fn jobs_that_are_being_stored_reserve_their_memory() {
    let mut cell = cell_with_budget(BUDGET);
    let decisions: Vec<MemoryDecision> = (1..=60)
        .map(|id| {
            let record = job(id, vec![step(2_000)]);
            cell.core.reserve_memory(&record, cell.now)
        })
        .collect();
    let accepted = decisions
        .iter()
        .filter(|decision| **decision == MemoryDecision::Accept);
    assert!((15..=20).contains(&accepted.count()));
    // One that was not stored makes room for another one.
    let last = job(61, vec![step(2_000)]);
    assert_ne!(
        cell.core.reserve_memory(&last, cell.now),
        MemoryDecision::Accept
    );
    cell.core.forget_pending(JobId(1));
    assert_eq!(
        cell.core.reserve_memory(&last, cell.now),
        MemoryDecision::Accept
    );
}

/// Guards against jobs that keep the memory of their tasks after they were cancelled or have ended.
#[test]
fn ended_jobs_release_the_memory_of_their_tasks() {
    let mut cell = cell_with_budget(BUDGET);
    for id in 1..=200 {
        let record = job(id, vec![step(2_000)]);
        let decision = cell.core.reserve_memory(&record, cell.now);
        assert_eq!(decision, MemoryDecision::Accept, "job {id}");
        cell.accept(record);
        cell.tick();
        let wall_ms = cell.wall_ms();
        cell.core.cancel(JobId(id), cell.now, wall_ms);
        cell.tick();
        cell.report_all();
        let (jobs, watermarks) = cell.core.take_dirty(100);
        cell.core.mark_stored(&jobs, &watermarks);
        assert_eq!(cell.core.open_tasks(), (0, 0));
    }
    cell.core.remove_expired(WALL_MS + 1_000_000, 1_000);
    assert_eq!(cell.core.memory().0, 0);
}

/// Guards against a job that can never be held and is told to come back.
#[test]
fn job_larger_than_the_budget_is_rejected_for_good() {
    let mut cell = cell_with_budget(1_000 * TASK_BYTES);
    let decision = (cell.core).reserve_memory(&job(1, vec![step(2_000)]), cell.now);
    assert!(matches!(decision, MemoryDecision::Never { .. }));
}

/// Guards against occurrences that keep thousands of done tasks beside the few that wait.
#[test]
fn occurrences_open_only_as_far_as_the_budget_goes() {
    let mut cell = cell_with_budget(BUDGET);
    let mut first = step(1_990);
    (first.request.cpu, first.request.memory_mb) = (1, 1);
    let mut last = step(10);
    last.request.cpu = 8_000;
    last.after = vec![0];
    let mut record = job(1, vec![first, last]);
    record.spec.repetitions = 10_000;
    cell.accept(record);
    for _ in 0..200 {
        cell.tick();
        for (worker, task, run) in cell.running.clone() {
            if task.step == 0 {
                cell.end(worker, task, run, EndCause::Done);
            }
        }
        cell.advance_time(millis(50));
        cell.report_all();
        assert!(cell.core.memory().0 <= BUDGET);
    }
    let other = job(2, vec![step(2_000)]);
    let decision = cell.core.reserve_memory(&other, cell.now);
    assert_eq!(decision, MemoryDecision::Accept);
}

/// Guards against a takeover by a node with less memory, or of what an earlier version accepted, that kills the node
/// or leaves jobs without an answer.
#[test]
fn takeover_beyond_the_budget_opens_what_fits_and_knows_all_jobs() {
    const JOBS: u64 = 30;
    let mut cell = cell_with_budget(BUDGET);
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    core.set_memory_budget(BUDGET / 4);
    for id in 1..=JOBS {
        let mut small = step(2_000);
        (small.request.cpu, small.request.memory_mb) = (1, 1);
        let record = job(id, vec![small]);
        core.load_job(record, &ProgressRecord::default(), Duration::ZERO, WALL_MS);
    }
    cell.core = core;
    cell.register();
    let mut done = 0;
    for round in 0..2_000 {
        assert!(cell.core.open_tasks().1 <= 5 * 2_000);
        for id in 1..=JOBS {
            let phase = cell.core.job_phase(JobId(id));
            assert!(phase.is_some(), "job {id}");
        }
        if round == 3 {
            // One that is held back can be cancelled.
            let wall_ms = cell.wall_ms();
            cell.core.cancel(JobId(JOBS), cell.now, wall_ms);
        }
        cell.tick();
        for (worker, task, run) in cell.running.clone() {
            done += 1;
            cell.end(worker, task, run, EndCause::Done);
        }
        cell.advance_time(millis(50));
        cell.report_all();
        let (jobs, watermarks) = cell.core.take_dirty(100);
        cell.core.mark_stored(&jobs, &watermarks);
        let ended = |id| {
            matches!(
                cell.core.job_phase(JobId(id)),
                Some(JobPhase::Ended(JobState::Completed | JobState::Cancelled))
            )
        };
        if (1..=JOBS).all(ended) {
            break;
        }
    }
    assert_eq!(done, (JOBS - 1) * 2_000);
}

/// Guards against a budget that leaves no room for the process itself, or none for jobs.
#[test]
fn budget_follows_from_the_limit() {
    assert_eq!(jobs_budget(Some(260_000_000)), 106_000_000);
    assert_eq!(jobs_budget(Some(160_000_000)), 56_000_000);
    assert_eq!(jobs_budget(Some(1)), 24_000_000);
    assert_eq!(jobs_budget(None), 104_000_000);
    // A cell gets what others leave, and an equal part if they leave nothing.
    assert_eq!(cell_budget(100, 30, 2), 70);
    assert_eq!(cell_budget(100, 95, 4), 25);
    // Two early ends are not unusual; one occurrence is always open.
    assert_eq!(
        [0, 2, 3, 4, 10, 90].map(|ends| reduced_budget(1 << 20, ends)),
        [1 << 20, 1 << 20, 1 << 19, 1 << 18, 1 << 16, 1 << 16]
    );
}
