//! Takeover of a cell from another owner. Each test names the failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_jobs::RunningRun;
use tanager_jobs::StepSpec;
use tanager_jobs::WorkerReport;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::CellEvent;
use tanager_schedule::QueuePolicy;
use tanager_schedule::recovery::FormerOwner;

use support::QUEUE;
use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::long_running_step;
use support::millis;
use support::settings;
use support::starts;
use support::step;
use support::stops;
use support::task;

fn report(running: Vec<RunningRun>, ended: Vec<EndedRun>) -> WorkerReport {
    WorkerReport {
        clock_ms: 10_000,
        started_ms: None,
        running,
        ended,
        omits_ends: false,
    }
}

fn running(job: u64, index: u32, run: u64) -> RunningRun {
    RunningRun {
        task: task(job, 0, index),
        run,
        checkpoint: String::new(),
        percent: 100,
        usage: 0,
    }
}

fn failed(number: u64, job: u64, run: u64) -> EndedRun {
    EndedRun {
        number,
        task: task(job, 0, 0),
        run,
        cause: EndCause::Failed,
        checkpoint: String::new(),
    }
}

/// Returns a cell acquired from an owner that died, with one stored job.
fn acquired_cell(names: &[&str], steps: Vec<StepSpec>) -> CellCore {
    acquired_from(FormerOwner::Unresponsive, names, steps)
}

/// Returns a cell with one stored job.
fn acquired_from(former_owner: FormerOwner, names: &[&str], steps: Vec<StepSpec>) -> CellCore {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    core.load_job(
        job(1, steps),
        &ProgressRecord::default(),
        Duration::ZERO,
        WALL_MS,
    );
    let entries: Vec<_> = names.iter().map(|name| entry(name)).collect();
    core.await_former_workers(&entries, former_owner, Duration::ZERO);
    core.sync_workers(&entries, Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    core
}

fn run_tick(core: &mut CellCore, now: Duration) -> Vec<CellAction> {
    core.tick(now, WALL_MS, true);
    core.take_actions()
}

/// Guards against jobs that are accepted on top of a backlog that stands still until the recovery ends.
#[test]
fn unlisted_tasks_count_as_backlog() {
    // 200 core-seconds for the eight cores of the worker that reports.
    let mut core = acquired_cell(&["a", "b"], vec![step(400)]);
    let key = core.worker_keys()[0];
    let empty = report(vec![], vec![]);
    core.apply_report(key, &empty, Duration::ZERO, millis(5), WALL_MS);
    run_tick(&mut core, millis(10));
    assert!(core.is_recovering());
    let decision = core.admit(QUEUE, &job(2, vec![step(1)]).spec, millis(200));
    assert_eq!(
        decision,
        AdmissionDecision::Overloaded(Duration::from_secs(25))
    );
}

/// Guards against a second run while a run of the former owner continues (TWICE).
#[test]
fn runs_of_the_old_owner_are_adopted() {
    let mut core = acquired_cell(&["a", "b"], vec![step(2)]);
    let keys = core.worker_keys();
    let listed = report(vec![running(1, 0, 4)], vec![]);
    core.apply_report(keys[0], &listed, Duration::ZERO, millis(5), WALL_MS);
    assert!(starts(&run_tick(&mut core, millis(10))).is_empty());
    core.apply_report(
        keys[1],
        &report(vec![], vec![]),
        Duration::ZERO,
        millis(20),
        WALL_MS,
    );
    let started = starts(&run_tick(&mut core, millis(25)));
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].1, task(1, 0, 1));
}

/// Guards against tasks that start before a worker of the former owner has reported (TWICE).
#[test]
fn unreached_worker_delays_tasks() {
    let mut core = acquired_cell(&["a", "b"], vec![step(1)]);
    let keys = core.worker_keys();
    let limit = settings().stale_owner_limit + settings().lease;
    let mut now = Duration::ZERO;
    while now < limit {
        core.apply_report(keys[0], &report(vec![], vec![]), now, now, WALL_MS);
        assert!(starts(&run_tick(&mut core, now)).is_empty(), "at {now:?}");
        now += millis(100);
    }
    now += millis(300);
    core.apply_report(keys[0], &report(vec![], vec![]), now, now, WALL_MS);
    assert_eq!(starts(&run_tick(&mut core, now)).len(), 1);
}

/// Guards against tasks that wait, beside a worker that is down, for an owner whose process has
/// certainly ended (LOST; kusluk-ladder-grown fresh-2a8d), and against tasks that start before the
/// leases of that worker have expired (TWICE).
#[test]
fn ended_owner_delays_tasks_by_a_lease_only() {
    let mut core = acquired_from(FormerOwner::Inactive, &["a", "b"], vec![step(1)]);
    let keys = core.worker_keys();
    let mut now = Duration::ZERO;
    while now <= settings().lease {
        core.apply_report(keys[0], &report(vec![], vec![]), now, now, WALL_MS);
        assert!(starts(&run_tick(&mut core, now)).is_empty(), "at {now:?}");
        now += millis(100);
    }
    // The clock of a worker may be 2% slow.
    now += settings().lease / 40;
    core.apply_report(keys[0], &report(vec![], vec![]), now, now, WALL_MS);
    assert_eq!(starts(&run_tick(&mut core, now)).len(), 1);
    let unreached_workers = vec!["b".to_owned()];
    let event = CellEvent::RecoveryEnded { unreached_workers };
    assert!(core.take_events().contains(&event));
}

/// Guards against a new owner that waits for workers that cannot have runs: VMs that were drained
/// and moved away (LOST; kusluk-ladder-grown fresh-2a8d).
#[test]
fn drained_worker_leaves_the_ledger() {
    let mut cell = TestCell::new(vec![entry("a"), entry("b")]);
    cell.accept(job(1, vec![step(1)]));
    let started = starts(&cell.tick());
    let (busy, run_task, run) = started[0];
    cell.report_all();
    let names = |cell: &mut TestCell| {
        let now = cell.now;
        let mut names: Vec<_> = (cell.core.ledger_workers(now).into_iter())
            .map(|entry| entry.worker)
            .collect();
        names.sort();
        names
    };
    assert_eq!(names(&mut cell), ["a", "b"]);
    for name in ["a", "b"] {
        cell.core
            .drain_worker(&name.to_owned(), cell.now + millis(1_000), false);
    }
    let busy_name = cell.core.worker(busy).expect("worker").entry.worker.clone();
    assert_eq!(names(&mut cell), [busy_name.as_str()]);
    // The end of the run is not stored yet.
    cell.end(busy, run_task, run, EndCause::Done);
    cell.report_all();
    assert_eq!(names(&mut cell), [busy_name.as_str()]);
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    assert!(names(&mut cell).is_empty());
    // The VMs were not moved. They are used again once they are registered again.
    cell.advance_time(millis(1_100));
    cell.report_all();
    cell.accept(job(2, vec![step(1)]));
    assert!(starts(&cell.tick()).is_empty());
    let keys = cell.core.unregistered_workers(cell.now);
    assert_eq!((keys.len(), names(&mut cell).len()), (2, 2));
    cell.core.mark_registered(&keys);
    assert_eq!(starts(&cell.tick()).len(), 1);
}

/// Guards against losing failed runs that are listed in a different order than they ended (BUDGET;
/// lt-hallein trouble-3, seed 653716427779).
#[test]
fn failed_runs_count_in_any_order() {
    let mut core = acquired_cell(&["a", "b", "c"], vec![step(1)]);
    let keys = core.worker_keys();
    for (key, run) in [(keys[0], 3), (keys[1], 1), (keys[2], 2)] {
        let listed = report(vec![], vec![failed(1, 1, run)]);
        core.apply_report(key, &listed, Duration::ZERO, millis(5), WALL_MS);
    }
    assert!(starts(&run_tick(&mut core, millis(10))).is_empty());
    let (jobs, _) = core.take_dirty(10);
    assert_eq!(jobs[0].progress.state, JobState::Failed);
}

/// Guards against counting a failed run again that was stored before its owner died.
#[test]
fn stored_failures_are_not_counted_again() {
    let mut first = acquired_cell(&["a"], vec![step(1)]);
    let keys = first.worker_keys();
    let listed = report(vec![], vec![failed(1, 1, 1)]);
    first.apply_report(keys[0], &listed, Duration::ZERO, millis(5), WALL_MS);
    let (jobs, _) = first.take_dirty(10);
    let mut second = CellCore::new(settings());
    second.load_job(
        job(1, vec![step(1)]),
        &jobs[0].progress,
        millis(10),
        WALL_MS,
    );
    second.sync_workers(&[entry("a")], millis(10));
    let keys = second.worker_keys();
    second.apply_report(keys[0], &listed, millis(10), millis(15), WALL_MS);
    let (jobs, _) = second.take_dirty(10);
    let progress = &jobs[0].progress.occurrences[&0].tasks["0.0"];
    assert_eq!(progress.failed_runs, vec![1]);
}

/// Guards against stopping a member while the former owner's stop of another one is in progress and
/// not yet visible in the lists (AVAIL; lt-hallein trouble-2, seed 560846237303).
#[test]
fn maintenance_waits_for_stops_of_the_old_owner() {
    let mut core = acquired_cell(&["a", "b"], vec![long_running_step(2, 1)]);
    let keys = core.worker_keys();
    let lists = [vec![running(1, 0, 1)], vec![running(1, 1, 1)]];
    let names: Vec<_> = (keys.iter())
        .filter_map(|key| core.worker(*key).map(|slot| slot.entry.worker.clone()))
        .collect();
    let mut now = Duration::ZERO;
    let mut stopped_at = None;
    while now < millis(3_000) && stopped_at.is_none() {
        for (key, list) in keys.iter().zip(&lists) {
            core.apply_report(*key, &report(list.clone(), vec![]), now, now, WALL_MS);
        }
        core.drain_worker(&names[0], now + millis(1_000), false);
        if !stops(&run_tick(&mut core, now)).is_empty() {
            stopped_at = Some(now);
        }
        now += millis(100);
    }
    let stopped_at = stopped_at.expect("the worker is drained in the end");
    assert!(
        stopped_at >= settings().max_stop_time,
        "stopped at {stopped_at:?}"
    );
}

/// Guards against maintenance of a VM whose worker has not reported its runs to the new owner: a
/// member of a long-running step would end while another is unavailable (AVAIL).
#[test]
fn worker_without_a_report_is_not_empty() {
    let mut core = acquired_cell(&["a", "b"], vec![long_running_step(2, 1)]);
    let until = millis(1_000);
    let worker = "a".to_owned();
    let (is_empty, has_long_running) = core.drain_worker(&worker, until, false);
    assert!(!is_empty && has_long_running);
    let key = (core.worker_keys().into_iter())
        .find(|key| {
            core.worker(*key)
                .is_some_and(|slot| slot.entry.worker == worker)
        })
        .expect("known worker");
    core.apply_report(key, &report(vec![], vec![]), millis(5), millis(5), WALL_MS);
    assert_eq!(core.drain_worker(&worker, until, false), (true, false));
}

/// Guards against a row above the store's 64 KiB, which would block all writes of the cell, and
/// against losing done tasks because of the compact row.
#[test]
fn progress_row_of_a_large_job_is_small_and_complete() {
    let mut first = TestCell::new((0..8).map(|number| entry(&format!("w{number}"))).collect());
    first.accept(job(1, vec![step(5_000)]));
    let mut finished = 0;
    while finished < 4_000 {
        for (worker, key, run) in starts(&first.tick()) {
            first.end(worker, key, run, EndCause::Done);
            finished += 1;
        }
        first.advance_time(millis(200));
        first.report_all();
    }
    let (jobs, _) = first.core.take_dirty(10);
    let row = encode_record(&jobs[0].progress).expect("a row");
    assert!(row.len() < 65_536 / 2, "{} bytes", row.len());
    let mut second = CellCore::new(settings());
    second.load_job(
        job(1, vec![step(5_000)]),
        &decode_record::<ProgressRecord>("1", &row).expect("a record"),
        Duration::ZERO,
        WALL_MS,
    );
    let restored = second.take_dirty(10);
    assert!(restored.0.is_empty());
    assert_eq!(second.progress(JobId(1)), Some(jobs[0].progress.clone()));
}

/// Returns a cell that loads a scheduled job whose first time is still to come on the clock of this owner,
/// half a second behind that of the former one.
fn cell_with_an_early_occurrence() -> TestCell {
    let mut cell = TestCell::new(vec![entry("a"), entry("b")]);
    let mut record = job(1, vec![step(1)]);
    record.spec.repetitions = 2;
    record.spec.first_run_ms = cell.wall_ms() + 500;
    record.spec.interval_ms = 60_000;
    let wall_ms = cell.wall_ms();
    (cell.core).load_job(record, &ProgressRecord::default(), cell.now, wall_ms);
    cell
}

/// Guards against a task of a scheduled job that runs again because its end is acknowledged without effect: the
/// clock of the owner that reads it is behind that of the one that started it (TWICE).
#[test]
fn end_before_the_due_time_counts() {
    let mut cell = cell_with_an_early_occurrence();
    let worker = cell.core.worker_keys()[0];
    cell.end(worker, task(1, 0, 0), 1, EndCause::Done);
    cell.report_all();
    for _ in 0..20 {
        cell.advance_time(millis(100));
        cell.report_all();
        assert_eq!(starts(&cell.tick()), []);
    }
}

/// Guards against a run of a scheduled job that is stopped, or started a second time, because the clock of a new
/// owner is behind that of the one that started it (TWICE).
#[test]
fn run_before_the_due_time_continues() {
    let mut cell = cell_with_an_early_occurrence();
    let worker = cell.core.worker_keys()[1];
    cell.running.push((worker, task(1, 0, 0), 1));
    for _ in 0..20 {
        cell.report_all();
        let actions = cell.tick();
        assert_eq!((starts(&actions), stops(&actions)), (vec![], vec![]));
        cell.advance_time(millis(100));
    }
    assert_eq!(cell.running.len(), 1);
}
