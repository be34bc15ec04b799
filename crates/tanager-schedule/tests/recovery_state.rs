//! What a takeover waits for, as it is logged.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::ProgressRecord;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellCore;
use tanager_schedule::recovery::FormerOwner;

use support::WALL_MS;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::step;

/// Guards against a recovery that never ends and does not say which workers it waits for.
#[test]
fn recovery_names_the_workers_and_tasks_that_wait() {
    let mut core = CellCore::new(settings());
    let progress = ProgressRecord::default();
    core.load_job(job(1, vec![step(2)]), &progress, Duration::ZERO, WALL_MS);
    let entries = [entry("a"), entry("b")];
    core.await_former_workers(&entries, FormerOwner::Inactive, Duration::ZERO);
    core.sync_workers(&entries, Duration::ZERO);
    let state = core.recovery_state(millis(100)).expect("a recovery");
    let names: Vec<&str> = (state.workers.iter())
        .map(|(worker, _)| worker.as_str())
        .collect();
    assert_eq!((names, state.unlisted_tasks), (vec!["a", "b"], 2));
    assert!(state.workers[0].1 > settings().lease - millis(100));
    let report = WorkerReport {
        clock_ms: 10_000,
        started_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
        omits_ends: false,
    };
    let keys = core.worker_keys();
    core.apply_report(keys[0], &report, millis(100), millis(110), WALL_MS);
    let state = core.recovery_state(millis(120)).expect("a recovery");
    assert_eq!((state.workers.len(), state.unlisted_tasks), (1, 2));
    core.apply_report(keys[1], &report, millis(120), millis(130), WALL_MS);
    assert_eq!(core.recovery_state(millis(140)), None);
}
