//! Cancellations of jobs that the cell does not have, or whose starts wait to be sent. Each test
//! names the failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_jobs::TaskKey;
use tanager_schedule::CancelResult;
use tanager_schedule::CellCore;
use tanager_schedule::WorkerKey;
use tanager_schedule::core::JobPhase;
use tanager_schedule::orders::OrderResult;

use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::settings;
use support::starts;
use support::step;

const ID: JobId = JobId(1);

fn cell_with_cancellation() -> TestCell {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    let wall_ms = cell.wall_ms();
    let result = cell.core.cancel(ID, cell.now, wall_ms);
    assert_eq!(result, CancelResult::Unknown);
    cell
}

/// Stores everything that is unsaved; returns the progress of the job.
fn store(cell: &mut TestCell) -> ProgressRecord {
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    jobs.into_iter()
        .find(|dirty| dirty.id == ID)
        .map(|dirty| dirty.progress)
        .expect("progress of the job")
}

fn assert_cancelled(cell: &TestCell) {
    let phase = cell.core.job_phase(ID);
    assert_eq!(phase, Some(JobPhase::Ended(JobState::Cancelled)));
}

/// Guards against a job that runs because its acceptance commits after its cancellation.
#[test]
fn job_stored_after_its_cancellation_never_starts() {
    let mut cell = cell_with_cancellation();
    cell.accept(job(1, vec![step(2)]));
    assert!(starts(&cell.tick()).is_empty());
    assert!(!cell.core.is_stored(ID));
    assert_eq!(store(&mut cell).state, JobState::Cancelled);
    assert_cancelled(&cell);
}

/// Guards against an acknowledgement before the cancellation is stored, or never.
#[test]
fn cancellation_of_an_unknown_job_is_stored_once() {
    let mut cell = cell_with_cancellation();
    assert!(cell.core.is_cancelled_early(ID) && !cell.core.is_stored(ID));
    assert_eq!(cell.core.job_phase(ID), None);
    assert_eq!(store(&mut cell).state, JobState::Cancelled);
    assert!(cell.core.is_stored(ID));
    let wall_ms = cell.wall_ms();
    let again = cell.core.cancel(ID, cell.now, wall_ms);
    assert_eq!(again, CancelResult::Unknown);
    assert!(!cell.core.has_dirty());
}

/// Guards against a next owner that does not know of the cancellation.
#[test]
fn next_owner_knows_an_early_cancellation() {
    let progress = store(&mut cell_with_cancellation());
    let mut cell = TestCell::new(vec![entry("i-1")]);
    cell.core.load_early_cancellation(ID, &progress);
    assert!(cell.core.is_stored(ID));
    cell.accept(job(1, vec![step(2)]));
    assert!(starts(&cell.tick()).is_empty());
    assert_cancelled(&cell);
}

/// Guards against rows of early cancellations that are never removed.
#[test]
fn early_cancellations_expire() {
    let mut cell = cell_with_cancellation();
    let expiry_ms = WALL_MS + 1 + settings().retention.as_millis() as u64;
    assert!(cell.core.remove_expired(expiry_ms, 10).is_empty());
    store(&mut cell);
    assert_eq!(cell.core.remove_expired(expiry_ms, 10), [ID]);
    assert!(!cell.core.is_cancelled_early(ID));
}

/// Guards against a flood of cancellations of unknown jobs that fills the store.
#[test]
fn early_cancellations_are_bounded() {
    let mut core = CellCore::new(settings());
    let mut cancel = |number| core.cancel(JobId(number), support::millis(0), WALL_MS);
    let accepted = (0..20_000)
        .take_while(|number| cancel(*number) == CancelResult::Unknown)
        .count();
    assert!((1_000..20_000).contains(&accepted), "{accepted}");
    assert_eq!(cancel(30_000), CancelResult::Refused);
    assert_eq!(cancel(0), CancelResult::Unknown);
}

/// Starts the only task of a job, without an answer of its worker.
fn ordered_start(cell: &mut TestCell) -> (WorkerKey, TaskKey, u64) {
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    starts(&cell.core.take_actions())[0]
}

fn run_count(cell: &TestCell) -> usize {
    cell.core.sizes().2
}

/// Guards against a start that waits for a connection and is sent after its job was cancelled.
#[test]
fn waiting_start_of_a_cancelled_job_is_withdrawn() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    let (worker, task, run) = ordered_start(&mut cell);
    assert!(cell.core.confirm_start(worker, task, run, true));
    let wall_ms = cell.wall_ms();
    cell.core.cancel(ID, cell.now, wall_ms);
    assert!(!cell.core.confirm_start(worker, task, run, true));
    assert_eq!(run_count(&cell), 0);
}

/// Guards against forgetting a run that an earlier start without an answer may still begin.
#[test]
fn withdrawn_start_keeps_a_run_that_may_begin() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    let (worker, task, run) = ordered_start(&mut cell);
    cell.core
        .apply_start_result(worker, task, run, OrderResult::Unknown, cell.now);
    let wall_ms = cell.wall_ms();
    cell.core.cancel(ID, cell.now, wall_ms);
    assert!(!cell.core.confirm_start(worker, task, run, true));
    assert_eq!(run_count(&cell), 1);
}

/// Guards against a start that is sent after the ownership of the cell became doubtful.
#[test]
fn waiting_start_of_a_doubtful_owner_is_withdrawn() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    let (worker, task, run) = ordered_start(&mut cell);
    assert!(!cell.core.confirm_start(worker, task, run, false));
    assert_eq!(run_count(&cell), 0);
    let started_again = starts(&cell.tick());
    assert!(started_again.iter().all(|(_, _, again)| *again > run));
    assert_eq!(started_again.len(), 1);
}

/// Guards against a job that is reported as cancelled, and runs after a takeover.
#[test]
fn cancellation_is_reported_once_stored() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.cancel(ID, cell.now, wall_ms);
    assert_eq!(cell.core.job_phase(ID), Some(JobPhase::Running));
    store(&mut cell);
    assert_cancelled(&cell);
}
