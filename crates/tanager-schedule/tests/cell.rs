//! Individual decisions of a cell. Each test names the failure that it guards against.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::CancelResult;
use tanager_schedule::CellAction;
use tanager_schedule::core::JobPhase;
use tanager_schedule::orders::OrderResult;

use support::QUEUE;
use support::TestCell;
use support::entry;
use support::job;
use support::long_running_step;
use support::millis;
use support::starts;
use support::step;
use support::stops;
use support::task;

fn two_workers() -> TestCell {
    TestCell::new(vec![entry("a"), entry("b")])
}

/// Guards against a step that starts before the step it depends on is done (ORDER).
#[test]
fn second_step_waits_for_the_first() {
    let mut cell = two_workers();
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    cell.accept(job(1, vec![step(2), second]));
    let first = starts(&cell.tick());
    assert_eq!(first.len(), 2);
    let (worker, key, run) = first[0];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    assert!(starts(&cell.tick()).is_empty());
    let (worker, key, run) = first[1];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    assert_eq!(starts(&cell.tick())[0].1, task(1, 1, 0));
}

/// Guards against a job reported as completed before its end is stored.
#[test]
fn completion_is_reported_once_stored() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let (worker, key, run) = starts(&cell.tick())[0];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    assert_eq!(cell.core.job_phase(JobId(1)), Some(JobPhase::Running));
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    let completed = JobPhase::Ended(JobState::Completed);
    assert_eq!(cell.core.job_phase(JobId(1)), Some(completed));
}

/// Guards against acknowledging an end that is not stored.
#[test]
fn ends_are_acknowledged_once_stored() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let (worker, key, run) = starts(&cell.tick())[0];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    let plan = cell
        .core
        .plan_renewal(worker, cell.now)
        .expect("known worker");
    assert_eq!((plan.acknowledged, plan.has_unstored_ends), (0, true));
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    let plan = cell
        .core
        .plan_renewal(worker, cell.now)
        .expect("known worker");
    assert_eq!((plan.acknowledged, plan.has_unstored_ends), (1, false));
}

/// Guards against more failed runs than the queue allows (BUDGET).
#[test]
fn job_fails_after_its_attempts() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    for attempt in 1..=3 {
        let started = starts(&cell.tick());
        assert_eq!(started.len(), 1, "attempt {attempt}");
        let (worker, key, run) = started[0];
        assert_eq!(run, attempt);
        cell.end(worker, key, run, EndCause::Failed);
        cell.report_all();
    }
    assert!(starts(&cell.tick()).is_empty());
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    let failed = JobPhase::Ended(JobState::Failed);
    assert_eq!(cell.core.job_phase(JobId(1)), Some(failed));
}

/// Guards against a task that starts twice because the response to its start was lost (TWICE).
#[test]
fn unanswered_start_is_repeated_at_the_same_worker() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    let (worker, key, run) = starts(&cell.core.take_actions())[0];
    cell.core
        .apply_start_result(worker, key, run, OrderResult::Unknown, cell.now);
    for _ in 0..4 {
        cell.advance_time(millis(500));
        cell.report_all();
        let wall_ms = cell.wall_ms();
        cell.core.tick(cell.now, wall_ms, true);
        let actions = cell.core.take_actions();
        for (other, started, again) in starts(&actions) {
            assert_eq!((other, started, again), (worker, key, run));
            cell.core
                .apply_start_result(worker, key, run, OrderResult::Unknown, cell.now);
        }
    }
}

/// Guards against a task that starts elsewhere while an unresponsive worker's lease may still be
/// valid.
#[test]
fn unresponsive_worker_keeps_its_tasks_for_the_lease() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let (lost, key, run) = starts(&cell.tick())[0];
    let other = (cell.core.worker_keys().into_iter())
        .find(|worker| *worker != lost)
        .expect("two workers");
    cell.core.record_missed_renewal(lost);
    for _ in 0..55 {
        cell.advance_time(millis(100));
        cell.report(other);
        assert!(starts(&cell.tick()).is_empty(), "at {:?}", cell.now);
    }
    for _ in 0..6 {
        cell.advance_time(millis(100));
        cell.report(other);
        if let Some(again) = starts(&cell.tick()).first() {
            assert_eq!(*again, (other, key, run + 1));
            return;
        }
    }
    panic!("the task never started again");
}

/// Guards against starts after a cancellation, and runs that continue after it (UNASKED).
#[test]
fn cancelled_job_is_stopped() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(2)]));
    cell.tick();
    let wall_ms = cell.wall_ms();
    let result = cell.core.cancel(JobId(1), cell.now, wall_ms);
    assert_eq!(result, CancelResult::Pending);
    assert_eq!(stops(&cell.tick()).len(), 2);
    cell.report_all();
    assert!(starts(&cell.tick()).is_empty());
    assert_eq!(
        cell.core.cancel(JobId(2), cell.now, wall_ms),
        CancelResult::Unknown
    );
}

/// Guards against a cancelled job whose end is unknown to the next owner.
#[test]
fn cancelled_job_is_stored() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.cancel(JobId(1), cell.now, wall_ms);
    let (jobs, _) = cell.core.take_dirty(10);
    assert_eq!(jobs[0].progress.state, JobState::Cancelled);
}

/// Guards against more tasks on a worker than it can fit (LIMIT).
#[test]
fn workers_are_not_overcommitted() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(40)]));
    assert_eq!(starts(&cell.tick()).len(), 16);
    cell.advance_time(millis(200));
    cell.report_all();
    assert!(starts(&cell.tick()).is_empty());
}

/// Guards against starts without the required label, and above the limit per worker (ROUTE).
#[test]
fn labels_and_anti_affinity_are_kept() {
    let mut labelled = entry("c");
    labelled.labels[0] = "special".to_owned();
    let mut cell = TestCell::new(vec![entry("a"), entry("b"), labelled]);
    let labelled_step = StepSpec {
        requirement: Some("special".to_owned()),
        ..step(3)
    };
    cell.accept(job(1, vec![labelled_step]));
    for (worker, _, _) in starts(&cell.tick()) {
        let name = cell
            .core
            .worker(worker)
            .map(|slot| slot.entry.worker.clone());
        assert_eq!(name.as_deref(), Some("c"));
    }
    let apart = StepSpec {
        anti_affinity: 1,
        ..step(5)
    };
    cell.accept(job(2, vec![apart]));
    let mut used: Vec<_> = starts(&cell.tick()).iter().map(|start| start.0).collect();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 3);
}

/// Guards against two gangs that each occupy half of what the other needs (GANG).
#[test]
fn gang_starts_whole_or_not_at_all() {
    let mut cell = two_workers();
    let gang = StepSpec {
        gang: true,
        ..step(10)
    };
    cell.accept(job(1, vec![gang.clone()]));
    cell.accept(job(2, vec![gang]));
    let started = starts(&cell.tick());
    assert_eq!(started.len(), 10);
    assert!(started.iter().all(|start| start.1.job == started[0].1.job));
    assert!(started.iter().all(|start| start.2 == 1));
}

/// Guards against members of a gang that continue to run after one of them failed.
#[test]
fn gang_starts_again_together() {
    let mut cell = two_workers();
    let gang = StepSpec {
        gang: true,
        ..step(3)
    };
    cell.accept(job(1, vec![gang]));
    let first = starts(&cell.tick());
    let (worker, key, run) = first[0];
    cell.end(worker, key, run, EndCause::Failed);
    cell.report_all();
    let stopped = stops(&cell.tick());
    assert_eq!(stopped.len(), 2);
    cell.report_all();
    let again = starts(&cell.tick());
    assert_eq!(again.len(), 3);
    assert!(again.iter().all(|start| start.2 == 2));
}

/// Guards against members of a gang that wait forever because one of them is done: one end `done`
/// completes the whole gang.
#[test]
fn one_done_member_completes_a_gang() {
    let mut cell = two_workers();
    let gang = StepSpec {
        gang: true,
        ..step(3)
    };
    cell.accept(job(1, vec![gang]));
    let (worker, key, run) = starts(&cell.tick())[0];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    let completed = JobPhase::Ended(JobState::Completed);
    assert_eq!(cell.core.job_phase(JobId(1)), Some(completed));
}

/// Guards against a long-running task that is not restarted, whatever the cause of its end.
#[test]
fn long_running_task_restarts() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![long_running_step(1, 1)]));
    for cause in [EndCause::Failed; 5]
        .into_iter()
        .chain([EndCause::Done, EndCause::Expired])
        .take(5)
    {
        let started = starts(&cell.tick());
        assert_eq!(started.len(), 1);
        let (worker, key, run) = started[0];
        cell.end(worker, key, run, cause);
        cell.report_all();
        // A worker on which every run fails is ejected for some seconds.
        for _ in 0..100 {
            cell.advance_time(millis(200));
            cell.report_all();
        }
    }
}

/// Guards against runs that no job requested and that continue (UNASKED).
#[test]
fn unknown_runs_are_stopped() {
    let mut cell = two_workers();
    let key = cell.core.worker_keys()[0];
    cell.running.push((key, task(77, 0, 0), 1));
    cell.report(key);
    assert_eq!(stops(&cell.tick()), vec![task(77, 0, 0)]);
}

/// Guards against acknowledging ends of an unknown incarnation.
#[test]
fn nothing_is_acknowledged_after_a_missed_renewal() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let (worker, key, run) = starts(&cell.tick())[0];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    cell.core.record_missed_renewal(worker);
    let plan = cell
        .core
        .plan_renewal(worker, cell.now)
        .expect("known worker");
    assert_eq!((plan.acknowledged, plan.lease_until_ms), (0, None));
}

/// Guards against a node that continues to act for a cell that another node owns.
#[test]
fn fenced_order_ends_the_ownership() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    let (worker, key, run) = starts(&cell.core.take_actions())[0];
    let fenced = OrderResult::Answered(OrderAnswer::Fenced);
    cell.core
        .apply_start_result(worker, key, run, fenced, cell.now);
    assert!(cell.core.take_actions().contains(&CellAction::CellLost));
}

/// Guards against starts by an owner whose ownership is unconfirmed.
#[test]
fn unconfirmed_owner_starts_nothing() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, false);
    assert!(starts(&cell.core.take_actions()).is_empty());
}

/// Guards against admitting a job that no worker can ever run, which would wait forever.
#[test]
fn job_that_fits_no_worker_is_refused() {
    let mut cell = two_workers();
    let mut record = job(1, vec![step(1)]);
    record.spec.steps[0].request = ResourceAmount {
        cpu: 9_000,
        memory_mb: 1,
        gpu: 0,
    };
    let decision = cell.core.admit(QUEUE, &record.spec, cell.now);
    assert!(matches!(decision, AdmissionDecision::NoWorker(_)));
    record.spec.steps[0].request.cpu = 8_000;
    let decision = cell.core.admit(QUEUE, &record.spec, cell.now);
    assert_eq!(decision, AdmissionDecision::Accept);
}

/// Guards against a backlog in which no job meets its target.
#[test]
fn overload_is_refused_with_a_retry_time() {
    let mut cell = two_workers();
    let mut accepted = 0;
    for id in 1..200 {
        let record = job(id, vec![step(16)]);
        match cell.core.admit(QUEUE, &record.spec, cell.now) {
            AdmissionDecision::Accept => {
                cell.accept(record);
                accepted += 1;
            }
            AdmissionDecision::Overloaded(after) => {
                // The target is 2 x 0.625 s + 1 s; a job is too late at three times that.
                assert!(after > Duration::from_secs(3) && after < Duration::from_secs(8));
                assert!(accepted >= 4);
                return;
            }
            AdmissionDecision::NoWorker(_)
            | AdmissionDecision::NoRoom(_)
            | AdmissionDecision::ExceedsCap => panic!("the job fits"),
        }
    }
    panic!("nothing was refused");
}

/// Guards against a worker that fails every run and uses up the attempts of many jobs.
#[test]
fn worker_that_fails_everything_is_ejected() {
    let mut cell = two_workers();
    let bad = cell.core.worker_keys()[0];
    let mut failures = 0;
    for id in 1..=20 {
        cell.accept(job(id, vec![step(1)]));
        for (worker, key, run) in starts(&cell.tick()) {
            let cause = match worker == bad {
                true => EndCause::Failed,
                false => EndCause::Done,
            };
            failures += u32::from(worker == bad);
            cell.end(worker, key, run, cause);
        }
        cell.advance_time(millis(50));
        cell.report_all();
    }
    assert!(failures <= 4, "{failures} runs failed");
}

/// Guards against steps that become ready between two rankings and are placed in the order of
/// arrival: in a surge, the small job would be late.
#[test]
fn steps_added_between_rankings_are_placed_by_rank() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(8)]));
    let started = starts(&cell.tick());
    assert_eq!(started.len(), 8);
    cell.report_all();
    // Both wait; the ranking of the first is not outdated when the second arrives.
    cell.advance_time(millis(200));
    cell.report_all();
    cell.accept(job(2, vec![step(4)]));
    assert!(starts(&cell.tick()).is_empty());
    cell.advance_time(millis(10));
    cell.accept(job(3, vec![step(1)]));
    let (worker, ended, run) = started[0];
    cell.end(worker, ended, run, EndCause::Done);
    cell.report_all();
    let next = starts(&cell.tick());
    assert_eq!(next.len(), 1);
    assert_eq!(next[0].1, task(3, 0, 0));
}

/// Guards against a start that exceeds a capacity which has shrunk while the worker runs (LIMIT).
#[test]
fn smaller_capacity_holds_for_the_next_start() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(6)]));
    assert_eq!(starts(&cell.tick()).len(), 6);
    cell.entries[0].capacity.cpu = 4_000;
    cell.core.sync_workers(&cell.entries, cell.now);
    cell.accept(job(2, vec![step(6)]));
    assert!(starts(&cell.tick()).is_empty());
    // A run that is being stopped counts until its end is listed.
    cell.core.cancel(JobId(1), cell.now, cell.wall_ms());
    assert_eq!(stops(&cell.tick()).len(), 6);
    assert!(starts(&cell.tick()).is_empty());
    cell.report_all();
    assert_eq!(starts(&cell.tick()).len(), 4);
    cell.entries[0].capacity.cpu = 8_000;
    cell.core.sync_workers(&cell.entries, cell.now);
    cell.advance_time(millis(200));
    cell.report_all();
    assert_eq!(starts(&cell.tick()).len(), 2);
}
