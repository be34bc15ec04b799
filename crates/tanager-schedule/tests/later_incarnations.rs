//! Evidence about one incarnation or run that must not be applied to a later one. Each test names the
//! failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ProgressRecord;
use tanager_jobs::RunningRun;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::CellSettings;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;
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

const RESTARTED_MS: u64 = 2_000;

fn long_lease_settings() -> CellSettings {
    CellSettings {
        lease: Duration::from_secs(6),
        max_lease: Duration::from_secs(10),
        ..settings()
    }
}

fn report(clock_ms: u64, started_ms: u64, running: Vec<u64>, ended: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        clock_ms,
        started_ms: Some(started_ms),
        running: (running.into_iter())
            .map(|run| RunningRun {
                task: task(1, 0, 0),
                run,
                checkpoint: String::new(),
                percent: 10,
                usage: 0,
            })
            .collect(),
        ended,
        omits_ends: false,
    }
}

fn restarted(name: &str) -> WorkerEntry {
    WorkerEntry {
        started_ms: RESTARTED_MS,
        ..entry(name)
    }
}

fn key_of(core: &CellCore, name: &str) -> WorkerKey {
    (core.worker_keys().into_iter())
        .find(|key| core.worker(*key).expect("known").entry.worker == name)
        .expect("the worker")
}

fn acquired_cell() -> CellCore {
    let mut core = CellCore::new(long_lease_settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    let progress = ProgressRecord::default();
    core.load_job(job(1, vec![step(1)]), &progress, Duration::ZERO, WALL_MS);
    let entries = [entry("a"), entry("b")];
    core.await_former_workers(&entries, FormerOwner::Inactive, Duration::ZERO);
    core.sync_workers(&entries, Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    core
}

/// Returns a cell without a former owner.
fn new_cell() -> CellCore {
    let mut core = CellCore::new(long_lease_settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    core.sync_workers(&[entry("a"), entry("b")], Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    core
}

fn run_tick(core: &mut CellCore, now: Duration) -> Vec<CellAction> {
    core.tick(now, WALL_MS, true);
    core.take_actions()
}

/// Guards against a start of a task while a run of it that cannot be adopted is still being
/// stopped (TWICE). Two runs have the same number because starts by a former owner were not stored.
#[test]
fn task_waits_for_the_stop_of_a_run_that_cannot_be_adopted() {
    let mut core = acquired_cell();
    let lapsed = EndedRun {
        number: 1,
        task: task(1, 0, 0),
        run: 2,
        cause: EndCause::Stopped,
        checkpoint: String::new(),
    };
    let (a, b) = (key_of(&core, "a"), key_of(&core, "b"));
    let from_a = report(10_000, 1_000, vec![], vec![lapsed]);
    core.apply_report(a, &from_a, millis(1), millis(2), WALL_MS);
    let from_b = report(10_000, 1_000, vec![2], vec![]);
    core.apply_report(b, &from_b, millis(3), millis(4), WALL_MS);
    let actions = run_tick(&mut core, millis(10));
    assert!(starts(&actions).is_empty(), "{actions:?}");
}

