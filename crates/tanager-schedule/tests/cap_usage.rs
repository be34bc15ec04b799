//! Usage of workspaces that a cell keeps. Each test names the failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobRecord;
use tanager_jobs::ProgressRecord;
use tanager_jobs::ResourceAmount;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::allowance::Amounts;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::report::WorkspaceAllowance;
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

const WORKSPACE: &str = "w";
/// Room for two tasks.
const CAP: Amounts = [2_000, 0, 0];

fn job_of_workspace(id: u64, tasks: u32) -> JobRecord {
    JobRecord {
        workspace: Some(WORKSPACE.to_owned()),
        ..job(id, vec![step(tasks)])
    }
}

fn set_cap(core: &mut CellCore) {
    let policy = WorkspacePolicy {
        weight: 4.0,
        cap: ResourceAmount {
            cpu: CAP[0],
            ..ResourceAmount::default()
        },
    };
    core.set_workspaces([(WORKSPACE.to_owned(), policy)]);
}

/// Reports to the allocator, which grants the whole cap. Returns the reported usage in thousandths of a core.
fn exchange(core: &mut CellCore, now: Duration) -> u64 {
    let report = core.create_allowance_report(&"cell".to_owned(), 1, now);
    let granted = WorkspaceAllowance {
        name: WORKSPACE.to_owned(),
        cap: CAP,
        limit: CAP,
        ..WorkspaceAllowance::default()
    };
    let reply = AllowanceReply {
        number: report.number,
        allocator: 1,
        valid_ms: 5_000,
        version: 1,
        workspaces: vec![granted],
    };
    core.apply_allowance_reply(&reply, now);
    (report.workspaces.iter())
        .map(|workspace| workspace.used[0])
        .sum()
}

/// Returns a cell with room for more tasks than the cap allows, of which two run.
fn cell_at_cap() -> TestCell {
    let mut cell = TestCell::new(vec![entry("w1"), entry("w2")]);
    set_cap(&mut cell.core);
    exchange(&mut cell.core, cell.now);
    cell.accept(job_of_workspace(1, 6));
    assert_eq!(starts(&cell.tick()).len(), 2);
    cell
}

#[test]
fn end_lets_the_next_task_start_at_once() {
    let mut cell = cell_at_cap();
    cell.advance_time(millis(1));
    let (worker, task, run) = cell.running[0];
    cell.end(worker, task, run, EndCause::Done);
    cell.report(worker);
    assert_eq!(starts(&cell.tick()).len(), 1);
    assert_eq!(exchange(&mut cell.core, cell.now), CAP[0]);
}

#[test]
fn refused_step_is_not_looked_at_again_while_nothing_changes() {
    let mut cell = cell_at_cap();
    cell.tick();
    let before = cell.core.decision_work();
    for _ in 0..50 {
        cell.advance_time(millis(1));
        cell.tick();
    }
    let work = cell.core.decision_work();
    assert_eq!(work.cap_checks, before.cap_checks);
}

#[test]
fn raised_limit_lets_refused_step_start_at_once() {
    let mut cell = TestCell::new(vec![entry("w1")]);
    set_cap(&mut cell.core);
    cell.accept(job_of_workspace(1, 6));
    assert_eq!(starts(&cell.tick()).len(), 0);
    cell.advance_time(millis(1));
    exchange(&mut cell.core, cell.now);
    assert_eq!(starts(&cell.tick()).len(), 2);
}

#[test]
fn crash_takes_the_runs_from_the_usage() {
    let mut cell = cell_at_cap();
    for (worker, _, _) in cell.running.clone() {
        cell.core.end_incarnation(worker);
    }
    assert_eq!(exchange(&mut cell.core, cell.now), 0);
    assert_eq!(cell.core.usage_differences(), []);
}

#[test]
fn run_that_is_known_before_its_job_is_counted() {
    let mut cell = cell_at_cap();
    let worker = cell.core.worker_keys()[0];
    cell.running.push((worker, support::task(2, 0, 0), 1));
    cell.report(worker);
    cell.accept(job_of_workspace(2, 1));
    assert_eq!(cell.core.usage_differences(), []);
    assert_eq!(exchange(&mut cell.core, cell.now), CAP[0] + 1_000);
}

/// Returns a cell that was taken over, one of whose jobs may run on its only worker.
fn acquired_cell() -> CellCore {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    set_cap(&mut core);
    load(&mut core, 1, 3, Duration::ZERO);
    core.await_former_workers(&[entry("w1")], FormerOwner::Inactive, Duration::ZERO);
    core.sync_workers(&[entry("w1")], Duration::ZERO);
    let keys = core.worker_keys();
    core.mark_registered(&keys);
    core
}

fn load(core: &mut CellCore, id: u64, tasks: u32, now: Duration) {
    let record = job_of_workspace(id, tasks);
    core.load_job(record, &ProgressRecord::default(), now, WALL_MS);
}

#[test]
fn tasks_of_a_former_owner_count_until_its_workers_report() {
    let mut core = acquired_cell();
    assert_eq!(exchange(&mut core, Duration::ZERO), 3_000);
    let now = millis(1);
    let report = tanager_jobs::WorkerReport {
        clock_ms: 1,
        ..tanager_jobs::WorkerReport::default()
    };
    core.apply_report(core.worker_keys()[0], &report, now, now, WALL_MS);
    assert_eq!(exchange(&mut core, now), 0);
}

#[test]
fn job_loaded_during_recovery_counts_at_once() {
    let mut core = acquired_cell();
    assert_eq!(exchange(&mut core, Duration::ZERO), 3_000);
    load(&mut core, 2, 2, millis(1));
    assert_eq!(exchange(&mut core, millis(1)), 5_000);
}

#[test]
fn worker_awaited_during_recovery_counts_at_once() {
    let mut core = acquired_cell();
    load(&mut core, 2, 9, Duration::ZERO);
    // The capacity of one worker bounds what may run.
    assert_eq!(exchange(&mut core, Duration::ZERO), 8_000);
    core.sync_workers(&[entry("w1"), entry("w2")], millis(1));
    core.await_former_workers(&[entry("w2")], FormerOwner::Inactive, millis(1));
    assert_eq!(exchange(&mut core, millis(1)), 12_000);
}
