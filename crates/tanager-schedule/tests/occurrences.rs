//! Jobs with many occurrences that are due at once.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::OccurrenceProgress;
use tanager_jobs::OccurrenceSet;
use tanager_jobs::ProgressRecord;
use tanager_jobs::RunningRun;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::core::JobPhase;
use tanager_schedule::done_occurrences::DoneOccurrences;
use tanager_schedule::occurrence_window::MAX_SPAN;
use tanager_schedule::occurrence_window::MAX_WAITING_TASKS;
use tanager_schedule::occurrence_window::OpenOccurrences;
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

/// Occurrences of a schedule that is due each minute, over a year.
const YEAR: u32 = 525_600;

/// Returns a job of which all occurrences are due.
fn overdue_job(id: u64, occurrences: u32, tasks: u32) -> JobRecord {
    let mut record = job(id, vec![step(tasks)]);
    record.spec.repetitions = occurrences;
    record
}

fn acquired_cell(record: &JobRecord, progress: &ProgressRecord, now: Duration) -> CellCore {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    core.load_job(record.clone(), progress, now, WALL_MS);
    core
}

/// Guards against an accepted schedule whose occurrences are all due and fill the memory of their owner.
#[test]
fn overdue_schedule_opens_a_bounded_number_of_occurrences() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(overdue_job(1, YEAR, 2));
    for _ in 0..50 {
        cell.tick();
        cell.report_all();
        cell.advance_time(millis(50));
        let (occurrences, tasks) = cell.core.open_tasks();
        assert!(
            occurrences > 0 && tasks <= MAX_WAITING_TASKS + 100,
            "{tasks}"
        );
    }
}

/// Guards against a takeover that opens all occurrences of which the former owner may have started tasks.
#[test]
fn takeover_opens_a_bounded_number_of_occurrences() {
    let done = (0..YEAR / 2).chain([YEAR - 1]);
    let progress = ProgressRecord {
        done_occurrences: OccurrenceSet::from_ascending(done),
        ..ProgressRecord::default()
    };
    let core = acquired_cell(&overdue_job(1, YEAR, 2), &progress, Duration::ZERO);
    let (_, tasks) = core.open_tasks();
    assert!(tasks > 0 && tasks <= MAX_WAITING_TASKS + 2, "{tasks}");
    let kept = core.progress(JobId(1)).expect("the job is known");
    assert_eq!(kept, progress);
}

/// Guards against progress that an earlier version stored for more occurrences than are opened now, and that the
/// next transaction would drop.
#[test]
fn progress_of_occurrences_that_are_not_open_is_kept() {
    let stored = OccurrenceProgress {
        done_tasks: BTreeMap::from([(0, "1".to_owned())]),
        ..OccurrenceProgress::default()
    };
    let done = OccurrenceProgress {
        done: true,
        ..OccurrenceProgress::default()
    };
    let mut occurrences: BTreeMap<u32, OccurrenceProgress> =
        (10..5_000).map(|number| (number, stored.clone())).collect();
    occurrences.extend((0..10).map(|number| (number, done.clone())));
    let progress = ProgressRecord {
        occurrences: occurrences.clone(),
        ..ProgressRecord::default()
    };
    let core = acquired_cell(&overdue_job(1, 6_000, 2), &progress, Duration::ZERO);
    // Each has a done task beside the waiting one.
    assert!(core.open_tasks().1 <= 2 * MAX_WAITING_TASKS);
    let kept = core.progress(JobId(1)).expect("the job is known");
    occurrences.retain(|number, _| *number >= 10);
    assert_eq!(kept.occurrences, occurrences);
    assert_eq!(
        kept.done_occurrences,
        OccurrenceSet::from_ascending(0..10u32)
    );
}

/// Guards against a task of an occurrence that is held back while a worker of the former owner runs it.
#[test]
fn reported_run_of_a_held_back_occurrence_continues_alone() {
    let record = overdue_job(1, YEAR, 2);
    let mut core = acquired_cell(&record, &ProgressRecord::default(), Duration::ZERO);
    let entries = [entry("a"), entry("b")];
    core.await_former_workers(&entries, FormerOwner::Unresponsive, Duration::ZERO);
    core.sync_workers(&entries, Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    let task = TaskKey {
        job: JobId(1),
        occurrence: 400_000,
        step: 0,
        index: 1,
    };
    let report = |running: Vec<RunningRun>| WorkerReport {
        clock_ms: 10_000,
        started_ms: None,
        running,
        ended: Vec::new(),
        omits_ends: false,
    };
    let run = RunningRun {
        task,
        run: 1,
        checkpoint: String::new(),
        percent: 50,
        usage: 0,
    };
    let now = millis(10);
    core.apply_report(keys[0], &report(vec![run]), now, now, WALL_MS);
    core.tick(now, WALL_MS, true);
    // The other task of the occurrence may run on the worker that has not reported.
    let started = starts(&core.take_actions());
    assert_eq!(started, Vec::new());
    core.apply_report(keys[1], &report(Vec::new()), now, now, WALL_MS);
    core.tick(now, WALL_MS, true);
    let started = starts(&core.take_actions());
    assert!(started.iter().all(|(_, other, _)| *other != task));
    assert!(core.describe_task(task).contains("run 1"));
}

/// Guards against occurrences that are skipped, or done twice, in a job whose window moves while its owner is
/// replaced.
#[test]
fn all_occurrences_are_done_once_over_takeovers() {
    const OCCURRENCES: u32 = 6_000;
    let record = overdue_job(1, OCCURRENCES, 1);
    let mut cell = TestCell::new((0..12).map(|number| entry(&format!("w{number}"))).collect());
    cell.accept(record.clone());
    let mut done: BTreeMap<u32, u32> = BTreeMap::new();
    let mut stored = ProgressRecord::default();
    for round in 0..4_000 {
        cell.tick();
        // Some runs outlast the round.
        let ending: Vec<_> = (cell.running.iter().enumerate())
            .filter(|(position, _)| (position + round) % 5 != 0)
            .map(|(_, run)| *run)
            .collect();
        for (worker, task, run) in ending {
            *done.entry(task.occurrence).or_default() += 1;
            cell.end(worker, task, run, EndCause::Done);
        }
        cell.report_all();
        let is_stored = round % 3 != 0;
        if is_stored {
            let (jobs, watermarks) = cell.core.take_dirty(100);
            stored = cell.core.progress(JobId(1)).expect("the job is known");
            cell.core.mark_stored(&jobs, &watermarks);
        }
        if cell.core.job_phase(JobId(1)) == Some(JobPhase::Ended(JobState::Completed)) {
            break;
        }
        if round % 40 == 39 {
            let mut core = acquired_cell(&record, &stored, cell.now);
            core.await_former_workers(&cell.entries, FormerOwner::Unresponsive, cell.now);
            cell.core = core;
            cell.register();
        }
        cell.advance_time(millis(100));
        assert!(cell.core.open_tasks().1 <= MAX_WAITING_TASKS + 200);
    }
    assert_eq!(
        cell.core.job_phase(JobId(1)),
        Some(JobPhase::Ended(JobState::Completed))
    );
    assert_eq!(done.len(), OCCURRENCES as usize);
    let twice: Vec<_> = done.iter().filter(|(_, count)| **count > 1).collect();
    assert_eq!(twice, Vec::new());
}

/// Guards against an occurrence that is never done and lets the row of its job grow beyond what the store accepts.
#[test]
fn window_is_bounded_by_waiting_tasks_and_by_span() {
    let open = |count, waiting_tasks| OpenOccurrences {
        count,
        waiting_tasks,
        first_missing: 100,
    };
    assert!(open(5, MAX_WAITING_TASKS - 1).may_open(105));
    assert!(!open(5, MAX_WAITING_TASKS).may_open(105));
    assert!(open(5, 0).may_open(100 + MAX_SPAN - 1));
    assert!(!open(5, 0).may_open(100 + MAX_SPAN));
    // A single occurrence may have more tasks than the window.
    assert!(open(0, 0).may_open(100));
    let mut done = DoneOccurrences::default();
    (1..MAX_SPAN).for_each(|number| done.insert(number));
    assert!(done.to_set().bitmap.len() <= 4_096);
}

/// Guards against a set of done occurrences that takes memory for each of them.
#[test]
fn done_occurrences_in_turn_take_no_memory() {
    let mut done = DoneOccurrences::default();
    for number in (0..1_000).rev() {
        done.insert(number);
    }
    assert_eq!(done.first_missing(), 1_000);
    assert_eq!(done, DoneOccurrences::from_set(&done.to_set(), YEAR));
    done.insert(1_002);
    assert_eq!((done.count(), done.first_missing()), (1_001, 1_000));
    assert!(done.contains(1_002) && !done.contains(1_001));
    assert_eq!(
        DoneOccurrences::from_set(&done.to_set(), 1_002).count(),
        1_000
    );
}
