//! Entries of workers that are read late. Each test names the failure that it guards against.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::RunningRun;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;

use support::QUEUE;
use support::WALL_MS;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::starts;
use support::step;

/// Starts of the two incarnations of the worker, in milliseconds.
const FIRST_START_MS: u64 = 1_000;
const SECOND_START_MS: u64 = 9_000;

fn entry_started_at(started_ms: u64) -> WorkerEntry {
    WorkerEntry {
        started_ms,
        ..entry("a")
    }
}

fn report(started_ms: u64, running: Vec<RunningRun>) -> WorkerReport {
    WorkerReport {
        clock_ms: 500,
        started_ms: Some(started_ms),
        running,
        ended: Vec::new(),
        omits_ends: false,
    }
}

fn key_of(core: &CellCore) -> WorkerKey {
    core.worker_keys()[0]
}

/// Returns a cell whose only worker has reported that it restarted.
fn cell_with_restarted_worker() -> CellCore {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    core.sync_workers(&[entry_started_at(FIRST_START_MS)], Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    let first = key_of(&core);
    apply(&mut core, first, &report(FIRST_START_MS, Vec::new()), 10);
    apply(&mut core, first, &report(SECOND_START_MS, Vec::new()), 20);
    let keys = core.unregistered_workers(millis(20));
    core.mark_registered(&keys);
    core
}

fn apply(core: &mut CellCore, key: WorkerKey, report: &WorkerReport, at: u64) {
    core.apply_report(key, report, millis(at - 5), millis(at), WALL_MS);
}

/// Guards against a second run of a task (TWICE): an entry from before a restart that a report has
/// revealed made the next report look like another restart, so the runs of the present incarnation
/// were released while they ran.
#[test]
fn entry_of_an_earlier_incarnation_releases_no_runs() {
    let mut core = cell_with_restarted_worker();
    let key = key_of(&core);
    apply(&mut core, key, &report(SECOND_START_MS, Vec::new()), 30);
    core.add_job(job(1, vec![step(1)]), millis(30), WALL_MS);
    core.tick(millis(100), WALL_MS, true);
    let (worker, task, run) = starts(&core.take_actions())[0];
    assert_eq!(worker, key);
    let accepted = OrderResult::Answered(OrderAnswer::Accepted);
    core.apply_start_result(key, task, run, accepted, millis(105));
    let running = RunningRun {
        task,
        run,
        checkpoint: String::new(),
        percent: 10,
        usage: 0,
    };
    let listed = report(SECOND_START_MS, vec![running]);
    apply(&mut core, key, &listed, 120);
    core.sync_workers(&[entry_started_at(FIRST_START_MS)], millis(130));
    apply(&mut core, key, &listed, 150);
    assert!(core.worker(key).is_some(), "the incarnation was replaced");
    core.tick(millis(250), WALL_MS, true);
    assert!(starts(&core.take_actions()).is_empty());
}

/// Guards against a restart that is not noticed: an entry without the start of the worker must not
/// erase the known one, or the ends of the next incarnation are taken for those of this one.
#[test]
fn entry_without_a_start_keeps_the_known_one() {
    let mut core = cell_with_restarted_worker();
    core.sync_workers(&[entry_started_at(0)], millis(130));
    let worker = core.worker(key_of(&core)).expect("known worker");
    assert_eq!(worker.entry.started_ms, SECOND_START_MS);
}

/// Guards against a restart that is ignored: a later start in the entry replaces the incarnation.
#[test]
fn entry_of_a_later_incarnation_replaces_the_known_one() {
    let mut core = cell_with_restarted_worker();
    let before = key_of(&core);
    core.sync_workers(&[entry_started_at(SECOND_START_MS + 1)], millis(130));
    assert!(core.worker(before).is_none());
    let worker = core.worker(key_of(&core)).expect("known worker");
    assert_eq!(worker.entry.started_ms, SECOND_START_MS + 1);
}
