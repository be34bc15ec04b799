//! Draining of workers that shut down, are moved or are maintained, and stalled tasks. Each test
//! names the failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use tanager_jobs::OrderAnswer;
use tanager_jobs::RunningRun;
use tanager_jobs::StepSpec;
use tanager_jobs::WorkerReport;
use tanager_schedule::orders::OrderResult;

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

/// Guards against stopping a second member of a long-running step while one is unavailable (AVAIL).
#[test]
fn maintenance_stops_one_member_at_a_time() {
    let mut cell = TestCell::new(vec![entry("a"), entry("b"), entry("c")]);
    cell.accept(job(1, vec![long_running_step(2, 1)]));
    cell.tick();
    cell.advance_time(millis(100));
    cell.report_all();
    cell.core
        .drain_worker(&"a".to_owned(), millis(10_000), false);
    cell.core
        .drain_worker(&"b".to_owned(), millis(10_000), false);
    cell.core
        .drain_worker(&"c".to_owned(), millis(10_000), false);
    assert_eq!(stops(&cell.tick()).len(), 1);
    cell.advance_time(millis(100));
    cell.report_all();
    assert!(stops(&cell.tick()).is_empty());
}

/// Guards against a VM that leaves a surge late because it waits for runs that could resume from
/// their checkpoint elsewhere, and against stopping runs whose work would be lost.
#[test]
fn moved_vm_stops_only_runs_that_keep_their_work() {
    let long = |checkpointing| StepSpec {
        checkpointing,
        estimated_ms: 4_000,
        ..step(1)
    };
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![long(true)]));
    cell.accept(job(2, vec![long(false)]));
    assert_eq!(starts(&cell.tick()).len(), 2);
    cell.advance_time(millis(100));
    cell.report_all();
    let worker = "a".to_owned();
    cell.core.drain_worker(&worker, millis(10_000), false);
    assert!(stops(&cell.tick()).is_empty());
    cell.core.drain_worker(&worker, millis(10_000), true);
    assert_eq!(stops(&cell.tick()), vec![task(1, 0, 0)]);
}

/// Guards against stopping a run that would end sooner than the stop.
#[test]
fn moved_vm_waits_for_short_runs() {
    let mut cell = TestCell::new(vec![entry("a")]);
    let short = StepSpec {
        checkpointing: true,
        estimated_ms: 700,
        ..step(1)
    };
    cell.accept(job(1, vec![short]));
    cell.tick();
    cell.advance_time(millis(100));
    cell.report_all();
    cell.core
        .drain_worker(&"a".to_owned(), millis(10_000), true);
    assert!(stops(&cell.tick()).is_empty());
}

/// Guards against counting a member on an unresponsive worker as available (AVAIL; lt-hallein
/// trouble-3).
#[test]
fn member_at_an_unresponsive_worker_is_unavailable() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![long_running_step(2, 1)]));
    let started = starts(&cell.tick());
    cell.advance_time(millis(100));
    cell.report_all();
    let (unresponsive, responsive) = (started[0].0, started[1].0);
    cell.core.record_missed_renewal(unresponsive);
    let name = cell
        .core
        .worker(responsive)
        .map(|slot| slot.entry.worker.clone());
    cell.core
        .drain_worker(&name.expect("known"), millis(10_000), false);
    cell.advance_time(millis(100));
    cell.report(responsive);
    assert!(stops(&cell.tick()).is_empty());
}

/// Guards against counting a member as available because its worker responds to orders, without a
/// recent report of its runs: the worker may be another incarnation (AVAIL; model,
/// moves_and_crashes, seed 172).
#[test]
fn member_without_a_recent_report_is_unavailable() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![long_running_step(2, 1)]));
    let started = starts(&cell.tick());
    cell.advance_time(millis(100));
    cell.report_all();
    let (unreported, responsive) = (started[0], started[1].0);
    let name = cell
        .core
        .worker(responsive)
        .map(|slot| slot.entry.worker.clone());
    cell.core
        .drain_worker(&name.expect("known"), millis(10_000), false);
    cell.advance_time(millis(2_000));
    cell.report(responsive);
    let (worker, key, run) = unreported;
    let answered = OrderResult::Answered(OrderAnswer::Accepted);
    cell.core
        .apply_start_result(worker, key, run, answered, cell.now);
    assert!(stops(&cell.tick()).is_empty());
}

/// Guards against starts on a worker that is about to shut down (DRAIN).
#[test]
fn draining_worker_gets_no_tasks() {
    let mut cell = two_workers();
    cell.entries[0].draining = true;
    let entries = cell.entries.clone();
    cell.core.sync_workers(&entries, cell.now);
    cell.accept(job(1, vec![step(8)]));
    for (worker, _, _) in starts(&cell.tick()) {
        let name = cell
            .core
            .worker(worker)
            .map(|slot| slot.entry.worker.clone());
        assert_eq!(name.as_deref(), Some("b"));
    }
}

/// Guards against a stalled task that is never moved.
#[test]
fn stalled_task_is_moved() {
    let mut cell = two_workers();
    cell.accept(job(1, vec![step(1)]));
    let (worker, key, run) = starts(&cell.tick())[0];
    let stalled = WorkerReport {
        clock_ms: 0,
        started_ms: None,
        running: vec![RunningRun {
            task: key,
            run,
            checkpoint: String::new(),
            percent: 10,
            usage: 0,
        }],
        ended: vec![],
        omits_ends: false,
    };
    let mut stopped = false;
    for _ in 0..30 {
        cell.advance_time(millis(100));
        let wall_ms = cell.wall_ms();
        let clock_ms = cell.now.as_millis() as u64;
        let listed = WorkerReport {
            clock_ms,
            ..stalled.clone()
        };
        cell.core
            .apply_report(worker, &listed, cell.now, cell.now, wall_ms);
        cell.core.tick(cell.now, wall_ms, true);
        stopped |= stops(&cell.core.take_actions()).contains(&key);
    }
    assert!(stopped);
}

/// Guards against a drain that counts all members of a step for each of those on the worker, which takes the owner of
/// thousands of small tasks seconds.
#[test]
fn drain_counts_the_members_of_a_step_once() {
    const TASKS: u32 = 4_000;
    let mut cell = two_workers();
    let mut member = step(TASKS);
    (member.request.cpu, member.request.memory_mb) = (1, 1);
    (member.long_running, member.may_miss) = (true, 3);
    cell.accept(job(1, vec![member]));
    while cell.running.len() < TASKS as usize {
        cell.tick();
    }
    cell.advance_time(millis(100));
    cell.report_all();
    cell.core
        .drain_worker(&"a".to_owned(), millis(10_000), false);
    let before = cell.core.decision_work().tasks;
    assert_eq!(stops(&cell.tick()).len(), 3);
    let visited = cell.core.decision_work().tasks - before;
    assert_eq!(visited, u64::from(TASKS));
}
