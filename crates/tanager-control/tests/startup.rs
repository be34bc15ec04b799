//! Tests of start, restart and stop of nodes, with and without the store.

mod support;

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time;

use tanager_control::ControlService;
use tanager_control::ControlTiming;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;

use support::Cluster;
use support::FakePlatform;
use support::configure;
use support::fast_timing;
use support::start_drain;
use support::start_move;
use support::wait_state;
use support::wait_until;

/// Guards against a node that cannot start in an outage, that dispatches before it is registered
/// (R2), or that does not register when the store is available again.
#[tokio::test]
async fn restart_in_outage_serves_and_joins_later() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    wait_until(|| first.live_nodes().len() == 2).await;
    platform.set_outage(true);
    drop(cluster.disconnect(1));
    drop(second);
    let restarted = cluster.spawn(&platform, 1, 77, fast_timing());
    wait_until(|| restarted.ready().is_ok()).await;
    assert_eq!(restarted.state(), first.state());
    assert!(
        !restarted.may_dispatch(),
        "its previous incarnation is still registered"
    );
    // The previous incarnation stays live until its contact timeout; the new one is not registered.
    wait_until(|| first.live_nodes() == ["n0"]).await;
    platform.set_outage(false);
    wait_until(|| restarted.may_dispatch()).await;
    wait_state(&first, |state| state.nodes["n1"].incarnation == 77).await;
    wait_until(|| first.live_nodes() == ["n0", "n1"]).await;
    let names: Vec<String> = (0..50).map(|index| format!("pool-{index}")).collect();
    wait_until(|| {
        names
            .iter()
            .all(|name| first.home_of(name) == restarted.home_of(name))
    })
    .await;
    let homes = names.iter().filter(|name| first.is_home(name)).count();
    assert!((1..50).contains(&homes), "both nodes are a home: {homes}");
}

/// Guards against a node that serves an empty state because neither the store nor a peer with a
/// state responded.
#[tokio::test]
async fn start_without_store_and_state_is_not_ready() {
    let platform = FakePlatform::bind().await;
    platform.set_outage(true);
    let cluster = Cluster::default();
    let first = cluster.spawn(&platform, 0, 1, fast_timing());
    let second = cluster.spawn(&platform, 1, 2, fast_timing());
    let exchanged_status = |service: &ControlService| {
        let dump = service.dump();
        dump["store_failed"] == true
            && dump["peers"]
                .as_array()
                .is_some_and(|peers| peers.len() == 1)
    };
    wait_until(|| exchanged_status(&first) && exchanged_status(&second)).await;
    for _ in 0..20 {
        time::sleep(Duration::from_millis(5)).await;
        assert!(first.ready().is_err() && second.ready().is_err());
    }
    platform.set_outage(false);
    wait_until(|| first.ready().is_ok() && second.ready().is_ok()).await;
}

/// Guards against a node that stays ready without contact with the store and peers.
#[tokio::test]
async fn isolated_node_is_not_ready() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let timing = ControlTiming {
        isolation_timeout: Duration::from_millis(200),
        ..fast_timing()
    };
    let service = cluster.spawn(&platform, 0, 1, timing);
    wait_until(|| service.ready().is_ok()).await;
    platform.set_outage(true);
    wait_until(|| {
        service
            .ready()
            .is_err_and(|reason| reason.contains("no contact"))
    })
    .await;
    platform.set_outage(false);
    wait_until(|| service.ready().is_ok()).await;
}

/// Guards against a start that needs entries older than the snapshot, or misses those after the
/// snapshot.
#[tokio::test]
async fn start_reads_snapshot_and_tail() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let timing = ControlTiming {
        snapshot_interval: 5,
        ..fast_timing()
    };
    let first = cluster.spawn(&platform, 0, 1, timing);
    wait_until(|| first.ready().is_ok()).await;
    configure(&first).await;
    for vm in ["a0", "a1", "b0"] {
        first
            .propose("operator", start_drain(vm), None)
            .await
            .expect("accepted");
    }
    wait_until(|| first.dump()["snapshot"] == 5).await;
    first
        .propose("operator", start_drain("b1"), None)
        .await
        .expect("accepted");
    let expected = first.state();
    drop(cluster.disconnect(0));
    drop(first);
    platform
        .tables
        .lock()
        .unwrap()
        .rows
        .retain(|key, _| !("log/000000000001".."log/000000000006").contains(&key.as_str()));
    let second = cluster.spawn(&platform, 1, 2, fast_timing());
    wait_until(|| second.ready().is_ok()).await;
    assert_eq!(second.state().vms, expected.vms);
    assert_eq!(
        second.state().version,
        7,
        "the snapshot, one entry and the registration"
    );
}

/// Guards against a restore that replaces an existing configuration, one that registers the nodes
/// of the exported state, and one that other nodes do not apply.
#[tokio::test]
async fn restore_requires_an_empty_store() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    first
        .propose("operator", start_move("a0", "b"), None)
        .await
        .expect("accepted");
    wait_state(&first, |state| state.vms["a0"].pool == "b").await;
    first
        .propose("operator", start_drain("b0"), None)
        .await
        .expect("accepted");
    let exported: FleetState = first.snapshot();
    let refused = first
        .restore(exported.clone())
        .await
        .expect_err("not empty");
    assert_eq!(refused.kind, ErrorKind::Refused);

    let empty = FakePlatform::bind().await;
    let other = Cluster::default();
    let nodes = [other.join(&empty, 2).await, other.join(&empty, 3).await];
    let version = nodes[0]
        .restore(exported.clone())
        .await
        .expect("empty store");
    assert!(version > exported.version);
    for node in &nodes {
        wait_state(node, |state| state.version >= version).await;
        let state = node.state();
        assert_eq!(state.document, exported.document);
        assert_eq!(state.vms["a0"].pool, "b");
        assert!(
            matches!(state.vms["b0"].activity, VmActivity::Draining { since, .. } if since == version)
        );
        assert!(state.nodes.keys().eq(["n2", "n3"]));
    }
    let vm = "a1".to_owned();
    let health = VmHealth::Leaving;
    let change = FleetChange::ReportVm { vm, health };
    nodes[1]
        .propose("test", change, None)
        .await
        .expect("the log continues");
}

/// Guards against a stopping node that remains a home, or registers again after its removal.
#[tokio::test]
async fn stopping_node_does_not_register_again() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    let second = cluster.join(&platform, 1).await;
    wait_until(|| first.live_nodes().len() == 2).await;
    second.set_leaving();
    assert!(second.ready().is_err());
    wait_until(|| first.live_nodes() == ["n0"]).await;
    assert!(second.may_dispatch(), "it finishes its work");
    second.leave().await.expect("leave");
    assert!(!second.may_dispatch());
    second.leave().await.expect("repeated");
    wait_state(&first, |state| !state.nodes.contains_key("n1")).await;
    let stopped_node = Arc::clone(&second);
    for _ in 0..20 {
        time::sleep(Duration::from_millis(5)).await;
        assert!(!stopped_node.state().nodes.contains_key("n1"));
    }
}

/// Guards R8 against a node that cannot reach the store and misses changes that its peers have.
#[tokio::test]
async fn node_without_store_follows_its_peers() {
    let platform = FakePlatform::bind().await;
    let unreachable = FakePlatform::bind().await;
    unreachable.set_outage(true);
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    let second = cluster.spawn(&unreachable, 1, 2, fast_timing());
    configure(&first).await;
    wait_state(&second, |state| state.configured_version == 2).await;
    let entry = first.propose("operator", start_drain("a0"), None).await;
    let version = entry.expect("accepted").version;
    wait_state(&second, |state| state.version == version).await;
    assert_eq!(second.state(), first.state());
    wait_until(|| second.ready().is_ok()).await;
    assert!(!second.may_dispatch());
    let retained = second.history(1).await.expect("retained entries");
    assert_eq!(retained[0].version, version);
}

/// Guards against an unreadable entry that is not reported, stops the node or is skipped.
#[tokio::test]
async fn unreadable_entry_is_shown_and_not_skipped() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = cluster.join(&platform, 0).await;
    configure(&service).await;
    let before = service.state();
    let put = |key: &str, version, value| {
        let mut tables = platform.tables.lock().unwrap();
        tables.rows.insert(key.to_owned(), (version, value));
    };
    put(
        "log/000000000003",
        1,
        json!({"version": 3, "change": {"later_kind": {}}}),
    );
    put("head", 100, json!(3));
    wait_until(|| service.dump()["fault"].is_string()).await;
    assert_eq!(service.state(), before);
    assert!(service.ready().is_ok());
    let entry = service.propose("operator", start_drain("a0"), None).await;
    assert_eq!(entry.expect_err("behind the log").kind, ErrorKind::Internal);
    let change = json!({"end_drain": {"vm": "a0"}});
    let entry = json!({"version": 3, "author": "x", "token": "", "change": change});
    put("log/000000000003", 2, entry);
    wait_state(&service, |state| state.version == 3).await;
    wait_until(|| service.dump()["fault"].is_null()).await;
}

/// Guards R2 against two incarnations of one node that both dispatch: moves wait only for the
/// registered incarnation, so the other one must stop, stay unregistered and report why it is not
/// ready.
#[tokio::test]
async fn superseded_incarnation_stops_dispatching() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.spawn(&platform, 0, 77, fast_timing());
    wait_until(|| second.may_dispatch() && second.ready().is_ok()).await;
    wait_until(|| !first.may_dispatch()).await;
    wait_until(|| {
        let ready = first.ready();
        ready.is_err_and(|reason| reason == "another incarnation of this node is registered")
    })
    .await;
    assert_eq!(first.dump()["superseded"], true);
    // The first incarnation still polls the store; the two must not replace each other repeatedly.
    let since = second.state().nodes["n0"].since;
    for _ in 0..20 {
        time::sleep(Duration::from_millis(5)).await;
        assert!(!first.may_dispatch() && second.may_dispatch());
    }
    let state = second.state();
    assert_eq!(state.nodes["n0"].incarnation, 77);
    assert_eq!(state.nodes["n0"].since, since);
}
