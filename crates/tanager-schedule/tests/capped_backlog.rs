//! Admission beside a backlog that waits for the cap of its workspace.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::backlog::WorkspaceBacklog;
use tanager_schedule::backlog::expected_wait;

use support::QUEUE;
use support::TestCell;
use support::entry;
use support::job;
use support::step;

const CAPPED: &str = "capped";
const OTHER: &str = "other";

/// Returns a cell of 16 cores, of which a workspace with a backlog of 200 core-seconds may use two.
fn cell_with_capped_backlog() -> TestCell {
    let mut cell = TestCell::new(vec![entry("w1"), entry("w2")]);
    let policy = |cpu| WorkspacePolicy {
        weight: 4.0,
        cap: ResourceAmount {
            cpu,
            ..ResourceAmount::default()
        },
    };
    cell.core.set_workspaces([
        (CAPPED.to_owned(), policy(2_000)),
        (OTHER.to_owned(), policy(0)),
    ]);
    for id in 1..=25 {
        let mut record = job(id, vec![step(16)]);
        record.workspace = Some(CAPPED.to_owned());
        cell.accept(record);
    }
    cell.tick();
    cell
}

fn admit(cell: &mut TestCell, workspace: &str) -> AdmissionDecision {
    let spec = job(1_000, vec![step(1)]).spec;
    (cell.core).admit_for(Some(workspace), QUEUE, &spec, cell.now)
}

#[test]
fn backlog_that_waits_for_a_cap_refuses_no_other_workspace() {
    let mut cell = cell_with_capped_backlog();
    assert_eq!(admit(&mut cell, OTHER), AdmissionDecision::Accept);
}

#[test]
fn workspace_is_refused_what_its_cap_cannot_run_in_time() {
    let mut cell = cell_with_capped_backlog();
    let decision = admit(&mut cell, CAPPED);
    let AdmissionDecision::Overloaded(wait) = decision else {
        panic!("accepted behind 100 s of work");
    };
    assert_eq!(wait, Duration::from_secs(100));
}

fn waiting(work: f64, cores: f64) -> WorkspaceBacklog {
    WorkspaceBacklog { work, cores }
}

#[test]
fn wait_without_caps_is_the_backlog_over_the_cores() {
    let others = [waiting(60.0, 10.0), waiting(20.0, 10.0)];
    let wait = expected_wait(&waiting(0.0, 10.0), &others, 10.0);
    assert_eq!(wait, Duration::from_secs(8));
}

#[test]
fn capped_backlog_delays_by_what_it_may_use() {
    // Until the second one is done after 5 s, the first one uses 4 of 10 cores.
    let others = [waiting(400.0, 4.0), waiting(30.0, 10.0)];
    let wait = expected_wait(&waiting(0.0, 10.0), &others, 10.0);
    assert_eq!(wait, Duration::from_secs(5));
}

#[test]
fn wait_is_never_longer_than_the_whole_backlog_takes() {
    let mut seed = 7_u64;
    let mut draw = |limit: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (seed >> 33) % limit
    };
    for _ in 0..10_000 {
        let others: Vec<_> = (0..draw(6))
            .map(|_| waiting(draw(500) as f64, 1.0 + draw(20) as f64))
            .collect();
        let total: f64 = others.iter().map(|backlog| backlog.work).sum();
        let wait = expected_wait(&waiting(0.0, 20.0), &others, 20.0).as_secs_f64();
        assert!(wait <= total / 20.0 + 1e-6, "{wait} {others:?}");
        // At that time at most all cores are in use.
        let done: f64 = (others.iter())
            .map(|backlog| backlog.work.min(backlog.cores * wait))
            .sum();
        assert!(done <= 20.0 * wait + 1e-6, "{wait} {others:?}");
    }
}
