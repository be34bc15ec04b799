//! Acknowledgement of ends beside progress that is not stored.

#[allow(dead_code, reason = "other tests use the rest")]
mod support;

use std::collections::BTreeMap;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_jobs::StepSpec;
use tanager_schedule::WorkerKey;
use tanager_schedule::core::JobPhase;
use tanager_schedule::unstored_ends::UnstoredEnds;
use tanager_schedule::withheld_progress::progress_of_marked_job;

use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::long_running_step;
use support::starts;
use support::step;

const REJECTED: JobId = JobId(1);
const OTHER: JobId = JobId(2);

/// Guards against an acknowledgement that skips an end whose progress is not stored.
#[test]
fn watermark_stops_before_the_first_unstored_end() {
    let mut ends = UnstoredEnds::default();
    for (number, id) in [(3, OTHER), (5, OTHER), (6, REJECTED), (9, OTHER)] {
        ends.push(number, id);
    }
    assert_eq!(ends.watermark(|id| id == REJECTED), Some(5));
    assert_eq!(ends.watermark(|_| false), Some(9));
    assert_eq!(ends.watermark(|_| true), None);
    ends.remove_through(5);
    assert_eq!(ends.first_job(), Some(REJECTED));
    assert_eq!(ends.watermark(|id| id == REJECTED), None);
}

/// Ends one task of each of two jobs, which run on workers of their own.
fn cell_with_two_ends() -> (TestCell, WorkerKey, WorkerKey) {
    let mut cell = TestCell::new(vec![entry("a"), entry("b")]);
    let mut first = step(1);
    first.request.cpu = 8_000;
    let second = StepSpec {
        after: vec![0],
        ..first.clone()
    };
    for id in [REJECTED, OTHER] {
        cell.accept(job(id.0, vec![first.clone(), second.clone()]));
    }
    let started = starts(&cell.tick());
    let worker_of = |id: JobId| (started.iter()).find(|(_, task, _)| task.job == id);
    let (rejected, other) = (worker_of(REJECTED), worker_of(OTHER));
    for &(worker, task, run) in &started {
        cell.end(worker, task, run, EndCause::Done);
    }
    cell.report_all();
    let workers = [rejected, other].map(|start| start.expect("a start").0);
    (cell, workers[0], workers[1])
}

fn acknowledged(cell: &mut TestCell, worker: WorkerKey) -> u64 {
    let plan = cell.core.plan_renewal(worker, cell.now);
    plan.expect("known worker").acknowledged
}

/// Guards against ends of all workers that wait for the progress of one job (LOST).
#[test]
fn unstored_progress_delays_only_the_workers_of_its_job() {
    let (mut cell, of_rejected, of_other) = cell_with_two_ends();
    let (jobs, watermarks) = cell
        .core
        .take_dirty_of(10, |_| true, |job| job.id != REJECTED);
    assert_eq!(jobs.len(), 1);
    cell.core.mark_stored(&jobs, &watermarks);
    assert_eq!(acknowledged(&mut cell, of_rejected), 0);
    assert_eq!(acknowledged(&mut cell, of_other), 1);
    assert!(cell.core.has_dirty() && cell.core.has_unstored_ends());
}

/// Guards against transactions without an end, and against an acknowledged end that no row tells the
/// next owner of (TWICE).
#[test]
fn ends_of_withheld_progress_are_acknowledged_once_the_mark_is_stored() {
    let (mut cell, of_rejected, _) = cell_with_two_ends();
    cell.core.withhold_progress(REJECTED);
    let (jobs, watermarks) = cell.core.take_dirty_of(10, |id| id != REJECTED, |_| true);
    cell.core.mark_stored(&jobs, &watermarks);
    assert_eq!(acknowledged(&mut cell, of_rejected), 0);
    assert!(!cell.core.has_dirty() && !cell.core.has_unstored_ends());
    let marks = cell.core.withheld_states();
    assert_eq!(marks, BTreeMap::from([(REJECTED, JobState::Open)]));
    cell.core.mark_withheld_stored(&marks);
    assert!(cell.core.has_unstored_ends());
    let (jobs, watermarks) = cell.core.take_dirty_of(10, |id| id != REJECTED, |_| true);
    cell.core.mark_stored(&jobs, &watermarks);
    assert_eq!(acknowledged(&mut cell, of_rejected), 1);
}

/// Guards against a job that is reported as completed before that is stored, or never.
#[test]
fn mark_stores_the_end_of_a_job() {
    let (mut cell, _, _) = cell_with_two_ends();
    cell.core.withhold_progress(REJECTED);
    for (worker, task, run) in starts(&cell.tick()) {
        cell.end(worker, task, run, EndCause::Done);
    }
    cell.report_all();
    assert_eq!(cell.core.job_phase(REJECTED), Some(JobPhase::Running));
    let marks = cell.core.withheld_states();
    assert_eq!(marks[&REJECTED], JobState::Completed);
    cell.core.mark_withheld_stored(&marks);
    let completed = JobPhase::Ended(JobState::Completed);
    assert_eq!(cell.core.job_phase(REJECTED), Some(completed));
}

/// Guards against a job that starts again from older progress after a takeover (TWICE), and against a
/// mark that outlives its need.
#[test]
fn marked_job_is_not_started_by_the_next_owner() {
    let mut cell = TestCell::new(vec![entry("a")]);
    let record = job(REJECTED.0, vec![step(1)]);
    let stored = ProgressRecord::default();
    let progress = progress_of_marked_job(Some(&record.spec), stored, JobState::Open, WALL_MS);
    cell.core.load_job(record, &progress, cell.now, WALL_MS);
    cell.core.load_mark(REJECTED, JobState::Open);
    assert!(starts(&cell.tick()).is_empty());
    let failed = JobPhase::Ended(JobState::Failed);
    assert_eq!(cell.core.job_phase(REJECTED), Some(failed));
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    assert!(cell.core.withheld_states().is_empty());
}

/// Guards against tasks that last and are stopped after a takeover, although none of them can be done
/// (AVAIL).
#[test]
fn marked_job_whose_tasks_last_goes_on() {
    let stored = ProgressRecord::default();
    let lasting = job(REJECTED.0, vec![long_running_step(2, 1)]);
    let progress = |job: &JobRecord, mark| {
        progress_of_marked_job(Some(&job.spec), stored.clone(), mark, WALL_MS).state
    };
    assert_eq!(progress(&lasting, JobState::Open), JobState::Open);
    assert_eq!(progress(&lasting, JobState::Cancelled), JobState::Cancelled);
    let mixed = job(REJECTED.0, vec![step(1), long_running_step(2, 1)]);
    assert_eq!(progress(&mixed, JobState::Open), JobState::Failed);
}
