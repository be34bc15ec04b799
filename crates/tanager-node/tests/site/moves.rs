//! Moves of VMs between pools under load and faults.

use std::time::Duration;

use nix::sys::signal::Signal;
use tanager_platform::ListedState;
use tanager_standin::load::LoadOptions;
use tanager_standin::platform::OutageMode;

use crate::caller::assert_served;
use crate::caller::spawn_load;
use crate::fleet::assert_one_pool_at_a_time;
use crate::fleet::assert_refused;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::nodes::assert_verdict;

/// Long enough that requests are in progress whenever a move starts.
const WORK: Duration = Duration::from_millis(150);
/// Longer than a commit takes to reach all nodes, so that a commit that does not wait for the
/// work of the old pool is seen.
const OVERLAPPING_WORK: Duration = Duration::from_millis(1_500);
/// A request of up to 1.8 times this time keeps a move open while a fault is brought about.
const LONG_WORK: Duration = Duration::from_millis(800);

/// Guards against work of two pools at one VM at a time (R2).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn moves_under_load_keep_the_pools_apart() {
    let site = TestSite::open(4, 12, 1).await;
    let load = spawn_load(site.named_load(51, 35.0, 9, OVERLAPPING_WORK));
    for vm in ["vm-1", "vm-5", "vm-9"] {
        site.wait_used(vm).await;
    }
    let moves = [("vm-1", "beta"), ("vm-5", "gamma"), ("vm-9", "alpha")];
    for (node, (vm, to)) in moves.into_iter().enumerate() {
        let response = site.start_move(node, vm, to).await;
        assert!(response.status.is_success(), "{response:?}");
    }
    for (vm, to) in moves {
        site.wait_pool(3, vm, to).await;
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 90);
    let runs = site.endpoints.runs();
    let expected = [["alpha", "beta"], ["beta", "gamma"], ["gamma", "alpha"]];
    for ((vm, _), pools) in moves.into_iter().zip(expected) {
        assert_eq!(assert_one_pool_at_a_time(&runs, vm), pools, "{vm}");
    }
    site.assert_floor_kept(0, 1).await;
}

/// Callers of the frozen node give up soon, which ends the test soon after the load.
fn short(mut options: LoadOptions) -> LoadOptions {
    options.mix.timeout = Duration::from_secs(2);
    options
}

enum FrozenEnd {
    Wakes,
    Dies,
}

/// A node that may have work at the VM is frozen before the move starts. Guards against a commit
/// before that node stopped using the VM for the old pool.
async fn frozen_node_delays_a_move(seed: u64, end: FrozenEnd) {
    let mut site = TestSite::open(4, 12, 1).await;
    let load = spawn_load(short(site.named_load(seed, 60.0, 14, WORK)));
    site.wait_used("vm-1").await;
    let frozen = site.home_of("alpha");
    let operator = (frozen + 1) % 4;
    site.nodes[frozen].signal(Signal::SIGSTOP);
    let response = site.start_move(operator, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    site.assert_still_moving(operator, "vm-1", "alpha", 5).await;
    match end {
        FrozenEnd::Wakes => site.nodes[frozen].signal(Signal::SIGCONT),
        FrozenEnd::Dies => {
            site.nodes[frozen].kill();
            // Its death alone shows to nobody: it might be frozen.
            site.assert_still_moving(operator, "vm-1", "alpha", 2).await;
            let name = site.nodes[frozen].name.clone();
            site.platform.set_vm(&name, ListedState::Gone);
        }
    }
    site.wait_pool(operator, "vm-1", "beta").await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 50);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_waits_until_a_frozen_node_wakes() {
    frozen_node_delays_a_move(52, FrozenEnd::Wakes).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_waits_until_a_frozen_node_is_reported_gone() {
    frozen_node_delays_a_move(53, FrozenEnd::Dies).await;
}

/// Guards against a move that nobody completes, or that is committed while the killed
/// coordinator counts as registered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_coordinator_completes_a_move() {
    let mut site = TestSite::open(4, 12, 1).await;
    let load = spawn_load(short(site.named_load(54, 60.0, 13, LONG_WORK)));
    site.wait_used("vm-1").await;
    let coordinator = site.home_of("vm-1");
    let operator = (coordinator + 1) % 4;
    let response = site.start_move(operator, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    site.nodes[coordinator].kill();
    // Longer than the next coordinator takes to take over.
    site.assert_still_moving(operator, "vm-1", "alpha", 5).await;
    let name = site.nodes[coordinator].name.clone();
    site.platform.set_vm(&name, ListedState::Gone);
    site.wait_pool(operator, "vm-1", "beta").await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 50);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
}

/// Guards against a move that ends without an entry in the log, or that the outage loses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn move_continues_after_a_store_outage() {
    let site = TestSite::open(3, 12, 1).await;
    let load = spawn_load(site.named_load(55, 80.0, 10, LONG_WORK));
    site.wait_used("vm-1").await;
    let response = site.start_move(0, "vm-1", "beta").await;
    assert!(response.status.is_success(), "{response:?}");
    site.set_outage(OutageMode::Hang).await;
    site.assert_still_moving(0, "vm-1", "alpha", 3).await;
    site.set_outage(OutageMode::None).await;
    site.wait_pool(1, "vm-1", "beta").await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 70);
    let pools = assert_one_pool_at_a_time(&site.endpoints.runs(), "vm-1");
    assert_eq!(pools, ["alpha", "beta"]);
}

/// Guards against two operators who each see one spare VM and together take two (R1).
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn racing_operators_share_one_spare_vm() {
    let site = TestSite::open(3, 12, 3).await;
    let load = spawn_load(site.named_load(56, 60.0, 8, WORK));
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
        site.wait_pool(0, vms[winners[0]], to).await;
        // The pool is at its floor now.
        let loser = vms[(winners[0] + 1) % 3];
        eventually("every node has seen the move", async || {
            site.vm(1, vms[winners[0]]).await["pool"] == to
        })
        .await;
        assert_refused(&site.start_move(1, loser, to).await);
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 90);
    let kinds = site.assert_floor_kept(2, 3).await;
    assert_eq!(kinds["start_move"], 2, "{kinds:?}");
    assert_eq!(kinds["commit_move"], 2, "{kinds:?}");
}
