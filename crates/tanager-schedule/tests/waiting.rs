//! What waits in a cell, as reported to operators. Each test names the failure that it guards
//! against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::ProgressRecord;
use tanager_schedule::CellCore;
use tanager_schedule::WaitCause;
use tanager_schedule::recovery::FormerOwner;

use support::TestCell;
use support::WALL_MS;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::step;

fn job_of(workspace: &str, id: u64, tasks: u32) -> JobRecord {
    JobRecord {
        workspace: Some(workspace.to_owned()),
        ..job(id, vec![step(tasks)])
    }
}

/// Guards against a job that waits for no reason that an operator can see, and against a reason for
/// a job that does not wait.
#[test]
fn job_waits_for_workers() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    cell.accept(job_of("a", 1, 8));
    cell.tick();
    cell.accept(job_of("a", 2, 2));
    cell.tick();
    assert_eq!(cell.core.wait_cause(JobId(1)), None);
    assert_eq!(cell.core.wait_cause(JobId(2)), Some(WaitCause::Workers));
    assert_eq!(cell.core.wait_cause(JobId(3)), None);
    let wall_ms = cell.wall_ms();
    cell.core.cancel(JobId(2), cell.now, wall_ms);
    assert_eq!(cell.core.wait_cause(JobId(2)), None);
}

/// Guards against a job of a former owner that seems to wait for capacity.
#[test]
fn job_waits_for_recovery() {
    let mut core = CellCore::new(settings());
    let progress = ProgressRecord::default();
    core.load_job(job_of("a", 1, 2), &progress, millis(0), WALL_MS);
    core.await_former_workers(&[entry("i-1")], FormerOwner::Unresponsive, millis(0));
    core.sync_workers(&[entry("i-1")], millis(0));
    core.tick(millis(10), WALL_MS, true);
    assert_eq!(core.wait_cause(JobId(1)), Some(WaitCause::Recovery));
    // Longer than the longest lease of the former owner.
    core.tick(millis(20_000), WALL_MS, true);
    assert_eq!(core.wait_cause(JobId(1)), Some(WaitCause::Workers));
}

/// Guards against due occurrences that are held back for a reason that no operator can see.
#[test]
fn held_back_occurrences_are_described() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    let mut schedule = job(1, vec![step(64)]);
    schedule.spec.repetitions = 1_000;
    cell.accept(schedule);
    cell.tick();
    let wall_ms = cell.wall_ms();
    let text = cell.core.describe_wait(JobId(1), wall_ms);
    let expected = "a worker with free capacity; 984 due occurrences are held back";
    assert_eq!(text.as_deref(), Some(expected));
    assert_eq!(cell.core.held_back(wall_ms), Some((984, JobId(1))));
    // Without memory only one occurrence of the cell is open.
    cell.core.set_memory_budget(1);
    cell.accept(job(2, vec![step(64)]));
    let text = cell.core.describe_wait(JobId(2), wall_ms);
    let expected = "memory of the owner; 1 due occurrences are held back";
    assert_eq!(text.as_deref(), Some(expected));
    assert_eq!(cell.core.describe_wait(JobId(3), wall_ms), None);
}

/// Guards against jobs that are counted for another workspace, or after they started.
#[test]
fn waiting_jobs_are_counted_by_workspace() {
    let mut cell = TestCell::new(vec![entry("i-1")]);
    cell.accept(job_of("a", 1, 8));
    cell.tick();
    cell.report_all();
    for (workspace, id) in [("a", 2), ("b", 3), ("b", 4)] {
        cell.accept(job_of(workspace, id, 1));
    }
    cell.accept(job(5, vec![step(1)]));
    cell.tick();
    let waiting = cell.core.waiting_by_workspace();
    let counts: Vec<_> = (waiting.iter())
        .map(|(name, count)| (name.as_str(), *count))
        .collect();
    assert_eq!(counts, [("a", 1), ("b", 2)]);
    assert_eq!(cell.core.usage_by_workspace()["a"].cpu, 8_000);
}
