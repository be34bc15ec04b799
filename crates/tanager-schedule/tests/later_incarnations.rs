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

/// Guards against orders to a worker that left and came back under its id with the token of the
/// orders to its former incarnation (TWICE).
#[test]
fn worker_that_comes_back_has_a_higher_token() {
    let mut core = new_cell();
    let a = key_of(&core, "a");
    let empty = report(10_000, 1_000, vec![], vec![]);
    core.apply_report(a, &empty, millis(1), millis(2), WALL_MS);
    core.plan_renewal(a, millis(3));
    let before = core.order_token(a, 7).expect("known");
    // The renewal has no response; the entry expires, and the lease ends.
    core.record_missed_renewal(a);
    for second in 1..11 {
        core.sync_workers(&[entry("b")], Duration::from_secs(second));
    }
    assert_eq!(core.order_token(a, 7), None, "removed");
    core.sync_workers(&[restarted("a"), entry("b")], Duration::from_secs(11));
    let after = core.order_token(key_of(&core, "a"), 7).expect("known");
    assert!(after > before, "{after} {before}");
}

/// As before, for the lease: a late renewal meant for the former clock is cut to the longest lease
/// only.
#[test]
fn worker_that_comes_back_may_have_the_longest_lease() {
    let mut core = new_cell();
    let a = key_of(&core, "a");
    let empty = report(100_000, 1_000, vec![], vec![]);
    core.apply_report(a, &empty, millis(1), millis(2), WALL_MS);
    core.plan_renewal(a, millis(3));
    core.record_missed_renewal(a);
    for second in 1..11 {
        core.sync_workers(&[entry("b")], Duration::from_secs(second));
    }
    core.sync_workers(&[restarted("a"), entry("b")], Duration::from_secs(11));
    let a = key_of(&core, "a");
    let empty = report(500, RESTARTED_MS, vec![], vec![]);
    core.apply_report(a, &empty, millis(11_100), millis(11_200), WALL_MS);
    let worker = core.worker(a).expect("known");
    // Granted up to 500 ms + 10 s on its clock.
    assert!(!worker.leases_expired(millis(11_200 + 8_000)));
}

/// Guards against orders after a refusal (421) with the token of the orders before it (TWICE).
#[test]
fn worker_added_after_a_refusal_has_a_higher_token() {
    let mut core = acquired_cell();
    let a = key_of(&core, "a");
    let before = core.order_token(a, 7).expect("known");
    core.end_refused_incarnation(a);
    core.sync_workers(&[restarted("a"), entry("b")], millis(20));
    let after = core.order_token(key_of(&core, "a"), 7).expect("known");
    assert!(after > before, "{after} {before}");
}

/// Guards against tasks that start although the worker that may have them was not reached: another
/// worker at its former address refused the order (TWICE).
#[test]
fn refusal_does_not_account_for_a_worker_of_the_former_owner() {
    let mut core = acquired_cell();
    let b = key_of(&core, "b");
    let empty = report(10_000, 1_000, vec![], vec![]);
    core.apply_report(b, &empty, millis(1), millis(2), WALL_MS);
    core.end_refused_incarnation(key_of(&core, "a"));
    core.sync_workers(&[restarted("a"), entry("b")], millis(5));
    let actions = run_tick(&mut core, millis(10));
    assert!(starts(&actions).is_empty(), "{actions:?}");
}

/// Guards against the release of a run whose repeated start was late while an earlier one may have
/// been carried out and a lease from before lasts longer (TWICE).
#[test]
fn late_repetition_does_not_release_a_run_within_an_assumed_lease() {
    let mut core = acquired_cell();
    core.sync_workers(&[restarted("a")], millis(1));
    let a = key_of(&core, "a");
    let empty = report(100, RESTARTED_MS, vec![], vec![]);
    core.apply_report(a, &empty, millis(2), millis(3), WALL_MS);
    core.mark_registered(&[a]);
    let b = key_of(&core, "b");
    let empty_b = report(10_000, 1_000, vec![], vec![]);
    core.apply_report(b, &empty_b, millis(2), millis(3), WALL_MS);
    let (worker, task, run) = starts(&run_tick(&mut core, millis(10)))[0];
    core.apply_start_result(worker, task, run, OrderResult::Unknown, millis(410));
    let is_a = worker == a;
    let late = OrderResult::Answered(OrderAnswer::Late);
    core.apply_start_result(worker, task, run, late, millis(6_500));
    let slot_exists = core.worker(worker).expect("known").runs.contains_key(&task);
    assert!(slot_exists, "released on a: {is_a}");
}
