//! Moves and waves run by several nodes.

mod support;

use std::time::Duration;

use tokio::time;

use tanager_control::ControlService;
use tanager_control::rendezvous_home;
use tanager_protocol::change::FleetChange;
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
use support::node_record;
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

/// Guards R2: a VM must not serve its new pool while any node has work of the old one on it.
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

/// Guards R2 against acknowledgements that do not count: from an earlier run of the node, from
/// before the move was applied, or with work in flight.
#[tokio::test]
async fn move_waits_for_the_right_acknowledgement() {
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

/// Guards R2 against a node that is silent but may still have work, and against a move that waits
/// forever for a node whose VM is gone.
#[tokio::test]
async fn move_waits_for_a_silent_node_until_it_is_gone() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    let third = cluster.join(&platform, 2).await;
    wait_until(|| first.live_nodes().len() == 3).await;
    // The node is frozen: it neither talks nor applies entries.
    drop(cluster.cut(1));
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
        "a node that talks is not gone"
    );
    assert_eq!(first.state().vms["a2"].health, VmHealth::Up);
}

/// Guards R1 during a wave, the order of its steps, and against a second reboot of a VM.
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
    // Floor 1 of 3 VMs lets the two VMs of rack r0 go at once; a2 of rack r1 follows.
    assert_eq!((running, most), (0, 2));
}

/// Guards against a wave that stops with its coordinator, and against one that starts afresh.
#[tokio::test]
async fn wave_continues_at_the_next_home() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    wait_until(|| first.live_nodes().len() == 2 && second.live_nodes().len() == 2).await;
    // Work on a1 holds the wave with a0 done or in maintenance.
    let load = [("a1".to_owned(), 1)].into();
    cluster.work.lock().unwrap().insert("n0".to_owned(), load);
    let home = first.home_of("a").expect("a home");
    let nodes = ["n0".to_owned(), "n1".to_owned()];
    assert_eq!(rendezvous_home("a", &nodes), Some(&home));
    start_wave(&first).await;
    wait_state(&first, |state| state.waves["w"].finished == ["a0"]).await;
    let (dead, survivor) = match home.as_str() {
        "n0" => (first, second),
        _ => (second, first),
    };
    cluster.cut(u8::from(home == "n1"));
    // Its tasks end here; a node that is only cut off would register again.
    drop(dead);
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

/// Guards against a wave that goes on after a VM of its pool failed.
#[tokio::test]
async fn wave_pauses_on_failure_and_resumes() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    // Work on a0 holds the wave in its first rack.
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
        "a VM in maintenance returns, no further one starts"
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
