//! Usage of workspaces that counts after a takeover. Each test names the failure that it guards
//! against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::ProgressRecord;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellCore;
use tanager_schedule::QueuePolicy;
use tanager_schedule::allowance::Amounts;
use tanager_schedule::recovery::FormerOwner;
use tanager_schedule::unconfirmed_usage::FormerCapacities;

use support::QUEUE;
use support::WALL_MS;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::step;

/// Capacity of a worker of the tests.
const CAPACITY: ResourceAmount = ResourceAmount {
    cpu: 8_000,
    memory_mb: 32_000,
    gpu: 0,
};
/// What 400 tasks of the tests use.
const ALL_TASKS: Amounts = [400_000, 40_000, 0];

/// Returns the entry of a worker that is only in the ledger.
fn unlisted(name: &str) -> WorkerEntry {
    WorkerEntry {
        capacity: ResourceAmount::default(),
        ..entry(name)
    }
}

/// Returns a cell acquired from an owner that died, with one stored job of the workspace `w`.
fn acquired_cell(
    workers: &[WorkerEntry],
    capacities: FormerCapacities,
    steps: Vec<StepSpec>,
) -> CellCore {
    let mut core = CellCore::new(settings());
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    let mut record = job(1, steps);
    record.workspace = Some("w".to_owned());
    core.load_job(record, &ProgressRecord::default(), Duration::ZERO, WALL_MS);
    core.set_former_capacities(capacities);
    core.await_former_workers(workers, FormerOwner::Unresponsive, Duration::ZERO);
    core.sync_workers(workers, Duration::ZERO);
    core
}

fn usage(core: &CellCore) -> Amounts {
    core.cap_usage().get("w").copied().unwrap_or_default()
}

/// Guards against a usage of 41,733 cores in a cell of 4,500, for which the allocator gave the workspace
/// nothing in other cells (fmra-atlas-grown, trouble-3: SHORT).
#[test]
fn unlisted_worker_counts_with_its_stored_capacity() {
    let capacities = FormerCapacities {
        by_worker: HashMap::from([("b".to_owned(), CAPACITY)]),
        largest: None,
    };
    let mut core = acquired_cell(&[entry("a"), unlisted("b")], capacities, vec![step(400)]);
    assert_eq!(usage(&core), [16_000, 40_000, 0]);
    let key = (core.worker_keys().into_iter())
        .find(|key| {
            core.worker(*key)
                .is_some_and(|worker| worker.entry.worker == "a")
        })
        .expect("a worker");
    let report = WorkerReport {
        clock_ms: 10_000,
        started_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
        omits_ends: false,
    };
    core.apply_report(key, &report, Duration::ZERO, millis(5), WALL_MS);
    assert_eq!(usage(&core), [8_000, 32_000, 0]);
}

/// Guards against rows of earlier versions, which have no capacity, with the same effect.
#[test]
fn worker_without_stored_capacity_counts_as_the_largest() {
    let capacities = FormerCapacities {
        by_worker: HashMap::new(),
        largest: Some(CAPACITY),
    };
    let core = acquired_cell(&[unlisted("a"), unlisted("b")], capacities, vec![step(400)]);
    assert_eq!(usage(&core), [16_000, 40_000, 0]);
}

/// Guards against starts above the cap when nothing bounds what runs on an unreached worker.
#[test]
fn worker_of_unknown_capacity_may_run_all_tasks() {
    let workers = [entry("a"), unlisted("b")];
    let core = acquired_cell(&workers, FormerCapacities::default(), vec![step(400)]);
    assert_eq!(usage(&core), ALL_TASKS);
}

/// Guards against starts above the cap on account of a worker that came back smaller than it was.
#[test]
fn larger_of_stored_and_listed_capacity_counts() {
    let small = WorkerEntry {
        capacity: ResourceAmount {
            cpu: 1_000,
            memory_mb: 1_000,
            gpu: 0,
        },
        ..entry("a")
    };
    let capacities = FormerCapacities {
        by_worker: HashMap::from([("a".to_owned(), CAPACITY)]),
        largest: None,
    };
    let core = acquired_cell(&[small], capacities, vec![step(400)]);
    assert_eq!(usage(&core), [8_000, 32_000, 0]);
}

/// Guards against a bound that is lost when the cell is taken over again before an unlisted worker
/// has reported.
#[test]
fn capacity_of_an_unlisted_worker_stays_in_the_ledger() {
    let capacities = FormerCapacities {
        by_worker: HashMap::from([("b".to_owned(), CAPACITY)]),
        largest: None,
    };
    let mut core = acquired_cell(&[entry("a"), unlisted("b")], capacities, vec![step(1)]);
    let entries = core.ledger_workers(millis(10));
    assert_eq!(entries.len(), 2);
    for entry in entries {
        assert_eq!(
            core.ledger_capacity(&entry),
            Some(CAPACITY),
            "{}",
            entry.worker
        );
    }
}

fn dependent(count: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        after: after.to_vec(),
        ..step(count)
    }
}

fn possible_cores(steps: Vec<StepSpec>) -> u64 {
    let core = acquired_cell(&[unlisted("a")], FormerCapacities::default(), steps);
    usage(&core)[0] / 1_000
}

/// Guards against a job that counts with all of its steps, of which only some can run at the same time.
#[test]
fn steps_that_depend_on_each_other_do_not_add_up() {
    assert_eq!(
        possible_cores(vec![step(4), dependent(7, &[0]), dependent(2, &[1])]),
        7
    );
    // Two branches and their end.
    let fork = vec![
        step(3),
        dependent(4, &[0]),
        dependent(5, &[0]),
        dependent(6, &[1, 2]),
    ];
    assert_eq!(possible_cores(fork), 11);
}

/// Guards against starts above the cap beside steps that do run at the same time.
#[test]
fn independent_steps_add_up() {
    assert_eq!(possible_cores(vec![step(4), step(7)]), 11);
    let speculative = StepSpec {
        speculative: true,
        ..step(4)
    };
    assert_eq!(possible_cores(vec![speculative, dependent(7, &[0])]), 11);
}
