//! Events for the owner's log about runs that it did not order and about replaced incarnations.
//! Each test names the failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::ProgressRecord;
use tanager_jobs::RunningRun;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellCore;
use tanager_schedule::CellEvent;
use tanager_schedule::QueuePolicy;
use tanager_schedule::ReleaseCause;
use tanager_schedule::ReplacementSource;
use tanager_schedule::orders::OrderResult;
use tanager_schedule::recovery::FormerOwner;

use support::QUEUE;
use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::starts;
use support::step;
use support::task;

/// Start of the incarnation that `entry` describes, and of the next one.
const BORN: u64 = 1_000;
const NEXT_BORN: u64 = 2_000;

fn report(started_ms: u64, running: &[(u64, u64)]) -> WorkerReport {
    WorkerReport {
        clock_ms: 10,
        started_ms: Some(started_ms),
        running: (running.iter())
            .map(|&(job, run)| RunningRun {
                task: task(job, 0, 0),
                run,
                checkpoint: String::new(),
                percent: 0,
                usage: 0,
            })
            .collect(),
        ended: vec![],
        omits_ends: false,
    }
}

/// Guards against runs of a former owner that leave no trace in the log of the new one, whether
/// they continue or are stopped.
#[test]
fn runs_of_a_former_owner_are_told() {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    let progress = ProgressRecord::default();
    core.load_job(job(1, vec![step(1)]), &progress, Duration::ZERO, WALL_MS);
    core.await_former_workers(&[entry("a")], FormerOwner::Inactive, Duration::ZERO);
    core.sync_workers(&[entry("a")], Duration::ZERO);
    let key = core.worker_keys()[0];
    for time in [5, 10] {
        let listed = report(BORN, &[(1, 4), (2, 7)]);
        assert!(core.apply_report(key, &listed, millis(time), millis(time), WALL_MS));
    }
    let events: Vec<_> = (core.take_events().into_iter())
        .filter(|event| !matches!(event, CellEvent::RecoveryEnded { .. }))
        .collect();
    let adopted = CellEvent::RunAdopted {
        task: task(1, 0, 0),
        run: 4,
        worker: "a".to_owned(),
        started_ms: BORN,
    };
    let stopped = CellEvent::UnknownRunStopped {
        task: task(2, 0, 0),
        run: 7,
        worker: "a".to_owned(),
        started_ms: BORN,
    };
    // Once each, although two reports list the runs.
    assert_eq!(events, [adopted, stopped]);
}

/// Returns a cell with one worker, on which one run is confirmed and one start has no response.
fn cell_with_two_runs() -> TestCell {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(1)]));
    assert_eq!(starts(&cell.tick()).len(), 1);
    cell.advance_time(millis(50));
    cell.report_all();
    cell.accept(job(2, vec![step(1)]));
    cell.advance_time(millis(50));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    let started = starts(&cell.core.take_actions());
    let (key, task, run) = started[0];
    let now = cell.now;
    let core = &mut cell.core;
    core.apply_start_result(key, task, run, OrderResult::Unknown, now);
    core.take_events();
    cell
}

fn replaced(cell: &mut TestCell) -> Vec<CellEvent> {
    (cell.core.take_events().into_iter())
        .filter(|event| matches!(event, CellEvent::IncarnationReplaced { .. }))
        .collect()
}

/// Guards against a restart of a worker of which the log does not tell how it was learned and how
/// many orders the new incarnation may have received.
#[test]
fn replaced_incarnation_is_told() {
    let event = |started_ms, source, carried_over| CellEvent::IncarnationReplaced {
        worker: "a".to_owned(),
        started_ms_before: BORN,
        started_ms,
        source,
        released: 2,
        carried_over,
    };
    let mut cell = cell_with_two_runs();
    let restarted = WorkerEntry {
        started_ms: NEXT_BORN,
        ..entry("a")
    };
    // While the worker reports, an entry with a start in the future has no effect.
    let odd = WorkerEntry {
        started_ms: BORN + 86_400_000,
        ..entry("a")
    };
    cell.core.sync_workers(&[odd], cell.now);
    assert_eq!(replaced(&mut cell), []);
    cell.core.sync_workers(&[restarted], cell.now);
    let expected = event(NEXT_BORN, ReplacementSource::Entry, 1);
    assert_eq!(replaced(&mut cell), [expected]);

    let mut cell = cell_with_two_runs();
    let (key, now) = (cell.core.worker_keys()[0], cell.now);
    let listed = report(NEXT_BORN, &[]);
    assert!(!cell.core.apply_report(key, &listed, now, now, WALL_MS));
    let expected = event(NEXT_BORN, ReplacementSource::Report, 1);
    assert_eq!(replaced(&mut cell), [expected]);

    let mut cell = cell_with_two_runs();
    let (key, now) = (cell.core.worker_keys()[0], cell.now);
    let refused = OrderResult::Answered(OrderAnswer::OtherLife);
    let (task, run) = (task(1, 0, 0), 1);
    cell.core.apply_stop_result(key, task, run, refused, now);
    let expected = event(0, ReplacementSource::Refusal, 0);
    assert_eq!(replaced(&mut cell), [expected]);
}

/// Guards against an order without a response of which the log does not tell that it was given up,
/// so that the next run of the task seems to overlap with it.
#[test]
fn release_of_an_unconfirmed_run_is_told() {
    let mut cell = cell_with_two_runs();
    let released = CellEvent::RunReleased {
        task: task(2, 0, 0),
        run: 1,
        worker: "a".to_owned(),
        cause: ReleaseCause::LeaseExpired,
    };
    let mut found = false;
    for _ in 0..200 {
        cell.advance_time(millis(50));
        let wall_ms = cell.wall_ms();
        cell.core.tick(cell.now, wall_ms, true);
        cell.core.take_actions();
        found |= cell.core.take_events().contains(&released);
    }
    assert!(found);
}
