//! Tests of moves and waves that several nodes coordinate.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time;

use tanager_control::ControlService;
use tanager_control::ControlTiming;
use tanager_control::select_home_node;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::WaveStatus;
use tanager_protocol::fleet::WaveStep;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::VmLoad;

use support::Cluster;
use support::FakePlatform;
use support::configure;
use support::document;
use support::fast_timing;
use support::node_record;
use support::start_drain;
use support::start_move;
use support::wait_state;
use support::wait_until;

fn is_moving(state: &FleetState, vm: &str) -> bool {
    matches!(state.vms[vm].activity, VmActivity::Moving { .. })
}

async fn start_wave(service: &ControlService) {
    let (wave, pool) = ("w".to_owned(), "a".to_owned());
    let change = FleetChange::StartWave { wave, pool };
    service
        .propose("operator", change, None)
        .await
        .expect("start");
}

/// Lets the nodes run many rounds of gossip and coordination.
async fn run_rounds() {
    time::sleep(Duration::from_millis(200)).await;
}

/// Guards R2: a VM must not serve its new pool while a node has work of the old pool on it.
#[tokio::test]
async fn move_waits_for_work_in_flight() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    let set_work = |node: &str, requests| {
        let load = [("a0".to_owned(), requests)].into();
        cluster.work.lock().unwrap().insert(node.to_owned(), load);
    };
    set_work("n0", 1);
    set_work("n1", 1);
    first
        .propose("operator", start_move("a0", "b"), None)
        .await
        .expect("start");
    wait_state(&second, |state| is_moving(state, "a0")).await;
    run_rounds().await;
    assert!(is_moving(&second.state(), "a0"));
    set_work("n0", 0);
    run_rounds().await;
    assert!(
        is_moving(&second.state(), "a0"),
        "the other node still has work"
    );
    assert!(!first.is_drained("a0"));
    set_work("n1", 0);
    wait_state(&second, |state| state.vms["a0"].pool == "b").await;
    assert_eq!(second.state().vms["a0"].activity, VmActivity::Active);
}

/// Guards R2 against acknowledgements that must not count: from an earlier incarnation of the node,
/// from before it applied the move, or with work in flight.
#[tokio::test]
async fn move_ignores_outdated_acknowledgements() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = cluster.join(&platform, 0).await;
    configure(&service).await;
    let (node, record) = ("n9".to_owned(), node_record(9, 5));
    let join = FleetChange::JoinNode { node, record };
    service.propose("n9", join, None).await.expect("join");
    let entry = service
        .propose("operator", start_move("a0", "b"), None)
        .await;
    let since = entry.expect("start").version;
    let status = |incarnation, version, requests| {
        let vm = "a0".to_owned();
        NodeStatus {
            node: "n9".to_owned(),
            incarnation,
            version,
            // A leaving node is no home, so the only coordinator is the service under test.
            leaving: true,
            in_flight: vec![VmLoad { vm, requests }],
            ..NodeStatus::default()
        }
    };
    for insufficient in [
        status(4, since, 0),
        status(5, since - 1, 0),
        status(5, since, 1),
    ] {
        service.receive_status(insufficient.clone());
        run_rounds().await;
        assert!(is_moving(&service.state(), "a0"), "{insufficient:?}");
    }
    service.receive_status(status(5, since, 0));
    wait_state(&service, |state| state.vms["a0"].pool == "b").await;
}

/// Guards R2 against a move that does not wait for an unresponsive node, which may still have work,
/// and against a move that waits forever for a node whose VM is gone.
#[tokio::test]
async fn move_waits_for_an_unresponsive_node_until_it_is_gone() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    let third = cluster.join(&platform, 2).await;
    wait_until(|| first.live_nodes().len() == 3).await;
    // The node is stopped: it neither calls its peers nor applies entries.
    drop(cluster.disconnect(1));
    drop(second);
    first
        .propose("operator", start_move("a0", "b"), None)
        .await
        .expect("start");
    run_rounds().await;
    assert!(is_moving(&first.state(), "a0"));
    let listed = [
        ("n1", "gone"),
        ("n2", "gone"),
        ("a1", "leaving"),
        ("a2", "live"),
    ];
    for (vm, state) in listed {
        platform
            .tables
            .lock()
            .unwrap()
            .listed
            .insert(vm.to_owned(), state);
    }
    wait_state(&first, |state| !state.nodes.contains_key("n1")).await;
    wait_state(&first, |state| state.vms["a0"].pool == "b").await;
    wait_state(&first, |state| state.vms["a1"].health == VmHealth::Leaving).await;
    assert!(
        third.state().nodes.contains_key("n2"),
        "a node with recent contact is not removed"
    );
    assert_eq!(first.state().vms["a2"].health, VmHealth::Up);
}

/// Guards R2 against a commit based on the acknowledgements of an earlier move: the coordinator
/// decides to commit the first move, and its proposal is delayed until the second move has begun.
#[tokio::test]
async fn commit_ignores_acknowledgements_of_an_earlier_move() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let timing = ControlTiming {
        poll_interval: Duration::from_secs(3_600),
        ..fast_timing()
    };
    let second = cluster.spawn(&platform, 1, 2, timing);
    wait_until(|| second.may_dispatch()).await;
    // A leaving node is no home, so the first node coordinates every move.
    second.set_leaving();
    wait_until(|| first.live_nodes() == ["n0"]).await;
    let set_work = |requests| {
        let load = [("a0".to_owned(), requests)].into();
        let mut work = cluster.work.lock().unwrap();
        work.insert("n0".to_owned(), load);
    };
    set_work(1);
    let entry = first.propose("operator", start_move("a0", "b"), None).await;
    let started = entry.expect("start").version;
    wait_state(&second, |state| state.version == started).await;
    // The poll and a proposal that will be refused wait for `head`; further proposals wait for the
    // latter.
    let blocked_head_reads = &platform.faults.blocked_head_reads;
    blocked_head_reads.store(2, Ordering::SeqCst);
    wait_until(|| blocked_head_reads.load(Ordering::SeqCst) == 1).await;
    let vm = "a1".to_owned();
    let refused = FleetChange::EndDrain { vm };
    let blocking = Arc::clone(&first);
    let blocked = tokio::spawn(async move { blocking.propose("operator", refused, None).await });
    wait_until(|| blocked_head_reads.load(Ordering::SeqCst) == 0).await;
    set_work(0);
    wait_until(|| first.is_drained("a0")).await;
    run_rounds().await;
    set_work(1);
    let vm = "a0".to_owned();
    for change in [FleetChange::AbortMove { vm }, start_move("a0", "b")] {
        second
            .propose("operator", change, None)
            .await
            .expect("accepted");
    }
    let restarted = second.state().version;
    wait_state(&first, |state| state.version == restarted).await;
    platform.read_permits.add_permits(2);
    let result = blocked.await.expect("no panic");
    assert_eq!(result.expect_err("not draining").kind, ErrorKind::Refused);
    run_rounds().await;
    assert!(
        is_moving(&first.state(), "a0"),
        "committed with work of the old pool in flight"
    );
    set_work(0);
    wait_state(&first, |state| state.vms["a0"].pool == "b").await;
}

/// Guards R2 against the removal of a VM on which a node still has work of its pool: the VM could
/// be configured again under another name.
#[tokio::test]
async fn removal_waits_for_work_in_flight() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let _second = cluster.join(&platform, 1).await;
    let set_work = |requests| {
        let load = [("a0".to_owned(), requests)].into();
        let mut work = cluster.work.lock().unwrap();
        work.insert("n1".to_owned(), load);
    };
    set_work(1);
    let entry = first.propose("operator", start_drain("a0"), None).await;
    entry.expect("drain");
    let mut document = document();
    document.vms.remove("a0");
    let change = FleetChange::Configure { document };
    run_rounds().await;
    let result = first.propose("operator", change.clone(), None).await;
    let error = result.expect_err("the other node still has work");
    assert_eq!(error.kind, ErrorKind::Refused);
    assert!(error.message.contains("not drained yet"), "{error}");
    set_work(0);
    wait_until(|| first.is_drained("a0")).await;
    let entry = first.propose("operator", change, None).await;
    entry.expect("drained");
    assert!(!first.state().vms.contains_key("a0"));
}

/// Guards R1 during a wave, guards the order of its steps, and guards against a second reboot of a
/// VM.
#[tokio::test]
async fn wave_maintains_every_vm_within_the_floor() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let _second = cluster.join(&platform, 1).await;
    wait_until(|| first.live_nodes().len() == 2).await;
    start_wave(&first).await;
    wait_state(&first, |state| {
        state.waves["w"].status == WaveStatus::Finished
    })
    .await;
    let mut reboots = platform.reboots();
    reboots.sort();
    assert_eq!(reboots, ["a0", "a1", "a2"]);
    let mut running = 0;
    let mut most = 0;
    for entry in first.history(100).await.expect("history") {
        match entry.change {
            FleetChange::StepWave {
                step: WaveStep::Drain,
                ..
            } => running += 1,
            FleetChange::StepWave {
                step: WaveStep::Return,
                ..
            } => running -= 1,
            _ => {}
        }
        most = most.max(running);
    }
    // Floor 1 of 3 VMs allows the two VMs of rack r0 to drain at once; a2 of rack r1 follows.
    assert_eq!((running, most), (0, 2));
}

/// Guards against a wave that ends with its coordinator, and against one that starts again from the
/// beginning.
#[tokio::test]
async fn wave_continues_at_the_next_home() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    wait_until(|| first.live_nodes().len() == 2 && second.live_nodes().len() == 2).await;
    // Work on a1 stops the wave after a0 is finished or in maintenance.
    let load = [("a1".to_owned(), 1)].into();
    cluster.work.lock().unwrap().insert("n0".to_owned(), load);
    let home = first.home_of("a").expect("a home");
    let nodes = ["n0".to_owned(), "n1".to_owned()];
    assert_eq!(select_home_node("a", &nodes), Some(&home));
    start_wave(&first).await;
    wait_state(&first, |state| state.waves["w"].finished == ["a0"]).await;
    let (stopped, survivor) = match home.as_str() {
        "n0" => (first, second),
        _ => (second, first),
    };
    cluster.disconnect(u8::from(home == "n1"));
    // The drop ends the tasks of the node; a node that is only disconnected would register again.
    drop(stopped);
    cluster.work.lock().unwrap().clear();
    platform
        .tables
        .lock()
        .unwrap()
        .listed
        .insert(home.clone(), "gone");
    wait_state(&survivor, |state| {
        state.waves["w"].status == WaveStatus::Finished
    })
    .await;
    assert!(!survivor.state().nodes.contains_key(&home));
    let a0_reboots = platform.reboots().iter().filter(|vm| *vm == "a0").count();
    assert_eq!(a0_reboots, 1, "a finished VM is not maintained again");
}

/// Guards against a wave that cannot be aborted, and against VMs that it leaves drained.
#[tokio::test]
async fn aborted_wave_returns_every_vm() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    // Work on a0 keeps it draining; a1 is rebooted and stays down for some time.
    let load = [("a0".to_owned(), 1)].into();
    cluster.work.lock().unwrap().insert("n0".to_owned(), load);
    cluster.suspects.lock().unwrap().insert("a1".to_owned());
    start_wave(&first).await;
    wait_until(|| platform.reboots() == ["a1"]).await;
    let wave = "w".to_owned();
    let abort = FleetChange::AbortWave { wave };
    first.propose("operator", abort, None).await.expect("abort");
    assert_eq!(first.state().vms["a0"].activity, VmActivity::Active);
    run_rounds().await;
    assert_ne!(first.state().vms["a1"].activity, VmActivity::Active);
    cluster.suspects.lock().unwrap().clear();
    wait_state(&first, |state| state.waves["w"].is_over()).await;
    assert_eq!(first.state().vms["a1"].activity, VmActivity::Active);
    assert_eq!(platform.reboots(), ["a1"]);
}

/// Guards against a wave that continues after a VM of its pool failed.
#[tokio::test]
async fn wave_pauses_on_failure_and_resumes() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    // Work on a0 keeps the wave in its first rack.
    let load = [("a0".to_owned(), 1)].into();
    cluster.work.lock().unwrap().insert("n0".to_owned(), load);
    start_wave(&first).await;
    wait_state(&first, |state| state.waves["w"].finished == ["a1"]).await;
    cluster.suspects.lock().unwrap().insert("a2".to_owned());
    let paused = |state: &FleetState| {
        matches!(&state.waves["w"].status,
        WaveStatus::Paused { reason } if reason == "vm a2 failed")
    };
    wait_state(&first, paused).await;
    cluster.work.lock().unwrap().clear();
    wait_state(&first, |state| state.waves["w"].finished == ["a1", "a0"]).await;
    run_rounds().await;
    assert!(
        paused(&first.state()),
        "a VM in maintenance returns, but no further VM starts"
    );
    cluster.suspects.lock().unwrap().clear();
    let wave = "w".to_owned();
    let resume = FleetChange::ResumeWave { wave };
    first
        .propose("operator", resume, None)
        .await
        .expect("resume");
    wait_state(&first, |state| {
        state.waves["w"].status == WaveStatus::Finished
    })
    .await;
}
