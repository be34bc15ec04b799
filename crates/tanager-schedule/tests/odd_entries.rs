//! Entries of live workers that are stale or from another writer. Each test names the failure that it
//! guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use tanager_jobs::ProgressRecord;
use tanager_jobs::RunningRun;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::recovery::FormerOwner;

use support::QUEUE;
use support::WALL_MS;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::starts;
use support::step;
use support::task;

const BORN_MS: u64 = 1_760_000_000_000;

fn born(name: &str, started_ms: u64) -> WorkerEntry {
    WorkerEntry {
        started_ms,
        ..entry(name)
    }
}

fn report(clock_ms: u64, has_run: bool) -> WorkerReport {
    let run = RunningRun {
        task: task(1, 0, 0),
        run: 4,
        checkpoint: String::new(),
        percent: 10,
        usage: 0,
    };
    WorkerReport {
        clock_ms,
        started_ms: Some(BORN_MS),
        running: has_run.then_some(run).into_iter().collect(),
        ended: vec![],
        omits_ends: false,
    }
}

/// Runs a task on the worker `a`, shows the cell an entry under its id while it continues to report
/// the run, and checks that the task starts nowhere else while its lease lasts.
fn check_run_is_kept(odd: &WorkerEntry) {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    let record = job(1, vec![step(1)]);
    core.load_job(record, &ProgressRecord::default(), Duration::ZERO, WALL_MS);
    let entries = [born("a", BORN_MS), born("b", BORN_MS)];
    core.await_former_workers(&entries, FormerOwner::Unresponsive, Duration::ZERO);
    core.sync_workers(&entries, Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    for (key, has_run) in [(keys[0], true), (keys[1], false)] {
        let listed = report(10_000, has_run);
        core.apply_report(key, &listed, Duration::ZERO, millis(5), WALL_MS);
    }
    for number in 1..20 {
        let now = millis(number * 50);
        // The odd entry stands between two heartbeats of the worker.
        let shown = match number {
            4..=12 => [odd.clone(), entries[1].clone()],
            _ => entries.clone(),
        };
        core.sync_workers(&shown, now);
        let new_keys = core.unregistered_workers(now);
        core.mark_registered(&new_keys);
        // The next report comes later than the decisions that follow the entries.
        core.tick(now, WALL_MS, true);
        assert!(starts(&core.take_actions()).is_empty(), "at {now:?}");
        for key in core.worker_keys() {
            let is_running = (core.worker(key)).is_some_and(|worker| worker.entry.worker == "a");
            let listed = report(10_000 + number * 50, is_running);
            core.apply_report(key, &listed, now, now, WALL_MS);
        }
        core.tick(now, WALL_MS, true);
        assert!(starts(&core.take_actions()).is_empty(), "at {now:?}");
    }
}

/// Guards against a second run of a task (TWICE): a stale read, or another writer, shows an entry of
/// a live worker with an earlier start, and the worker's next report then seems to come from a later
/// incarnation.
#[test]
fn entry_with_an_earlier_start_ends_no_run() {
    check_run_is_kept(&born("a", BORN_MS - 1_000));
}

/// Guards against a second run of a task (TWICE): an entry of another writer with a later start takes
/// the runs of the live worker for ended.
#[test]
fn entry_with_a_start_in_the_future_ends_no_run() {
    check_run_is_kept(&born("a", BORN_MS + 86_400_000));
}

/// Guards against a second run of a task (TWICE): an entry of another writer with another address
/// takes the runs of the live worker for ended.
#[test]
fn entry_with_another_address_ends_no_run() {
    check_run_is_kept(&WorkerEntry {
        address: SocketAddr::from(([10, 9, 9, 9], 9)),
        ..born("a", BORN_MS)
    });
}

/// Guards against a second run of a task (TWICE): an entry of another writer without a start.
#[test]
fn entry_without_a_start_ends_no_run() {
    check_run_is_kept(&born("a", 0));
}
