//! Admission beside long-running tasks that take the room of the cell.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::long_running_room::long_running_demand;
use tanager_schedule::long_running_room::may_want;

use support::QUEUE;
use support::TestCell;
use support::entry;
use support::job;
use support::step;

/// Returns a step of long-running tasks of one core each, of which several may be on a worker.
fn lasting(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count)
    }
}

/// Returns a cell of 16 cores.
fn small_cell() -> TestCell {
    TestCell::new(vec![entry("a"), entry("b")])
}

fn admit(cell: &mut TestCell, steps: Vec<StepSpec>) -> AdmissionDecision {
    cell.core.admit(QUEUE, &job(1_000, steps).spec, cell.now)
}

/// Guards against long-running tasks that are accepted without a bound and take the room of all later jobs for good.
#[test]
fn long_running_tasks_leave_a_quarter_of_the_cores() {
    let mut cell = small_cell();
    assert!(matches!(
        admit(&mut cell, vec![lasting(13)]),
        AdmissionDecision::NoRoom(_)
    ));
    assert_eq!(
        admit(&mut cell, vec![lasting(12)]),
        AdmissionDecision::Accept
    );
    cell.accept(job(1, vec![lasting(9)]));
    cell.tick();
    assert!(matches!(
        admit(&mut cell, vec![lasting(4)]),
        AdmissionDecision::NoRoom(_)
    ));
    assert_eq!(
        admit(&mut cell, vec![lasting(3)]),
        AdmissionDecision::Accept
    );
    assert_eq!(admit(&mut cell, vec![step(4)]), AdmissionDecision::Accept);
}

/// Guards against a schedule whose long-running tasks add up over its occurrences.
#[test]
fn long_running_tasks_of_all_occurrences_count() {
    let mut record = job(1, vec![lasting(2), step(1)]);
    assert_eq!(long_running_demand(&record.spec).cpu, 2_000);
    record.spec.repetitions = 10;
    assert_eq!(long_running_demand(&record.spec).cpu, 20_000);
    let mut cell = small_cell();
    let decision = cell.core.admit(QUEUE, &record.spec, cell.now);
    assert!(matches!(decision, AdmissionDecision::NoRoom(_)));
}

/// Guards against jobs that are accepted although long-running tasks of earlier ones hold all workers, where they
/// would wait for good.
#[test]
fn job_without_room_beside_long_running_tasks_is_refused_at_once() {
    let mut cell = small_cell();
    // Accepted by an earlier version.
    cell.accept(job(1, vec![lasting(16)]));
    cell.tick();
    assert!(matches!(
        admit(&mut cell, vec![step(1)]),
        AdmissionDecision::NoRoom(_)
    ));
    // A worker that does not respond may have room.
    cell.advance_time(support::millis(1_000));
    let silent = cell.core.worker_keys()[0];
    cell.report_others(silent);
    cell.advance_time(support::millis(1_000));
    cell.report_others(silent);
    assert_eq!(admit(&mut cell, vec![step(1)]), AdmissionDecision::Accept);
}

/// Guards against jobs that are refused while no worker is known yet.
#[test]
fn long_running_job_is_accepted_before_workers_register() {
    let mut cell = TestCell::new(Vec::new());
    assert_eq!(
        admit(&mut cell, vec![lasting(100)]),
        AdmissionDecision::Accept
    );
}

/// Guards against a refusal of tasks that take all accelerators of the workers that are there for them.
#[test]
fn memory_and_accelerators_may_all_be_taken() {
    let capacity = ResourceAmount {
        cpu: 8_000,
        memory_mb: 100,
        gpu: 4,
    };
    let demand = ResourceAmount {
        cpu: 6_000,
        ..capacity
    };
    assert!(may_want(&demand, &capacity));
    let beyond = ResourceAmount { gpu: 5, ..demand };
    assert!(!may_want(&beyond, &capacity));
}
