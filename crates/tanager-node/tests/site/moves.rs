//! Moves of VMs between pools under load and faults.

use std::time::Duration;

use nix::sys::signal::Signal;
use tanager_platform::ListedState;
use tanager_standin::load::LoadOptions;
use tanager_standin::platform::OutageMode;

use crate::caller::assert_answered_percent;
use crate::caller::spawn_load;
use crate::fleet::assert_one_pool_at_a_time;
use crate::fleet::assert_refused;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::nodes::assert_verdict;

/// Long enough that requests are in progress whenever a move starts.
const SERVICE_TIME: Duration = Duration::from_millis(150);
/// Longer than a commit takes to reach all nodes. A commit that does not wait for the requests of
/// the old pool is therefore noticed.
const OVERLAPPING_SERVICE_TIME: Duration = Duration::from_millis(1_500);
/// Mean service time. A request takes up to 1.8 times as long and keeps a move from being
/// committed while the test causes a fault.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(800);

/// Guards against a VM that runs requests of two pools at the same time (R2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moved_vms_serve_one_pool_at_a_time() {
    let site = TestSite::start(4, 12, 1).await;
    let load = spawn_load(site.load_with_pool_paths(51, 35.0, 9, OVERLAPPING_SERVICE_TIME));
    for vm in ["vm-1", "vm-5", "vm-9"] {
        site.wait_for_traffic(vm).await;
    }
    let moves = [("vm-1", "beta"), ("vm-5", "gamma"), ("vm-9", "alpha")];
    for (node, (vm, to)) in moves.into_iter().enumerate() {
        let response = site.start_move(node, vm, to).await;
        assert!(response.status.is_success(), "{response:?}");
    }
    for (vm, to) in moves {
        site.wait_for_move(3, vm, to).await;
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 90);
    let runs = site.endpoints.runs();
    let expected = [["alpha", "beta"], ["beta", "gamma"], ["gamma", "alpha"]];
    for ((vm, _), pools) in moves.into_iter().zip(expected) {
        assert_eq!(assert_one_pool_at_a_time(&runs, vm), pools, "{vm}");
    }
    site.assert_floor_kept(0, 1).await;
}

/// Shortens the timeout of the requests, so that callers of the frozen node fail soon and the test
/// ends soon after the load.
fn with_short_timeout(mut options: LoadOptions) -> LoadOptions {
    options.mix.timeout = Duration::from_secs(2);
    options
}

enum FrozenNodeEnd {
    Resumes,
    IsKilled,
}

/// Freezes a node that may run requests at the VM before the move starts. Guards against a commit
/// of the move before that node has stopped using the VM for the old pool.
async fn frozen_node_delays_a_move(seed: u64, end: FrozenNodeEnd) {
    let mut site = TestSite::start(4, 12, 1).await;
    let load = spawn_load(with_short_timeout(site.load_with_pool_paths(
        seed,
        60.0,
        14,
        SERVICE_TIME,
    )));
    site.wait_for_traffic("vm-1").await;
    let frozen = site.home_of("alpha");
    let operator = (frozen + 1) % 4;
    site.nodes[frozen].signal(Signal::SIGSTOP);
    let response = site.start_move(operator, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    site.assert_still_moving(operator, "vm-1", "alpha", 5).await;
    match end {
        FrozenNodeEnd::Resumes => site.nodes[frozen].signal(Signal::SIGCONT),
        FrozenNodeEnd::IsKilled => {
            site.nodes[frozen].kill();
            // The other nodes cannot distinguish a dead node from a frozen one.
            site.assert_still_moving(operator, "vm-1", "alpha", 2).await;
            let name = site.nodes[frozen].name.clone();
            site.platform.set_vm(&name, ListedState::Gone);
        }
    }
    site.wait_for_move(operator, "vm-1", "beta").await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 50);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_waits_until_a_frozen_node_resumes() {
    frozen_node_delays_a_move(52, FrozenNodeEnd::Resumes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_waits_until_a_frozen_node_is_reported_gone() {
    frozen_node_delays_a_move(53, FrozenNodeEnd::IsKilled).await;
}

/// Guards against a move that is never completed after its coordinator was killed, or that is
/// committed while the killed coordinator is still registered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_coordinator_completes_a_move() {
    let mut site = TestSite::start(4, 12, 1).await;
    let load = spawn_load(with_short_timeout(site.load_with_pool_paths(
        54,
        60.0,
        13,
        LONG_SERVICE_TIME,
    )));
    site.wait_for_traffic("vm-1").await;
    let coordinator = site.home_of("vm-1");
    let operator = (coordinator + 1) % 4;
    let response = site.start_move(operator, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    site.nodes[coordinator].kill();
    // Longer than another node takes to become the coordinator.
    site.assert_still_moving(operator, "vm-1", "alpha", 5).await;
    let name = site.nodes[coordinator].name.clone();
    site.platform.set_vm(&name, ListedState::Gone);
    site.wait_for_move(operator, "vm-1", "beta").await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 50);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
}

/// Guards against a move that ends without an entry in the log, or that is lost in an outage of
/// the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_continues_after_a_store_outage() {
    let site = TestSite::start(3, 12, 1).await;
    let load = spawn_load(site.load_with_pool_paths(55, 80.0, 10, LONG_SERVICE_TIME));
    site.wait_for_traffic("vm-1").await;
    let response = site.start_move(0, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    site.set_outage(OutageMode::Hang).await;
    site.assert_still_moving(0, "vm-1", "alpha", 3).await;
    site.set_outage(OutageMode::None).await;
    site.wait_for_move(1, "vm-1", "beta").await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 70);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
}

/// Guards against operators who see the same spare VM at the same time and together move more VMs
/// than the floor of the pool allows (R1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_operators_cannot_both_move_the_last_spare_vm() {
    let site = TestSite::start(3, 12, 3).await;
    let load = spawn_load(site.load_with_pool_paths(56, 60.0, 8, SERVICE_TIME));
    for (vms, to) in [
        (["vm-1", "vm-4", "vm-7"], "gamma"),
        (["vm-2", "vm-5", "vm-8"], "gamma"),
    ] {
        let (first, second, third) = tokio::join!(
            site.start_move(0, vms[0], to),
            site.start_move(1, vms[1], to),
            site.start_move(2, vms[2], to),
        );
        let responses = [first, second, third];
        let winners: Vec<usize> = (0..3)
            .filter(|index| responses[*index].status.is_success())
            .collect();
        assert_eq!(winners.len(), 1, "{responses:?}");
        for (index, response) in responses.iter().enumerate() {
            if index != winners[0] {
                assert_refused(response);
            }
        }
        site.wait_for_move(0, vms[winners[0]], to).await;
        // The pool is at its floor now.
        let loser = vms[(winners[0] + 1) % 3];
        eventually("the other node has applied the move", async || {
            site.vm_record(1, vms[winners[0]]).await["pool"] == to
        })
        .await;
        assert_refused(&site.start_move(1, loser, to).await);
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 90);
    let kinds = site.assert_floor_kept(2, 3).await;
    assert_eq!(kinds["start_move"], 2, "{kinds:?}");
    assert_eq!(kinds["commit_move"], 2, "{kinds:?}");
}
