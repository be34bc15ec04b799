//! Tests of proposals with faults of the store.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tanager_control::ControlService;
use tanager_control::ControlTiming;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::LogVersion;

use support::Cluster;
use support::FakePlatform;
use support::Faults;
use support::configure;
use support::document;
use support::fast_timing;
use support::start_drain;
use support::start_move;
use support::wait_state;
use support::wait_until;

async fn kinds(service: &ControlService) -> Vec<&'static str> {
    let history = service.history(100).await.expect("history");
    history.iter().map(|entry| entry.change.kind()).collect()
}

/// Proposes a drain while `fault` affects `count` transactions; the drain must be in the log
/// exactly once.
async fn check_single_entry(fault: fn(&Faults) -> &AtomicU32, count: u32) {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = cluster.join(&platform, 0).await;
    configure(&service).await;
    fault(&platform.faults).store(count, Ordering::SeqCst);
    let entry = service.propose("operator", start_drain("a0"), None).await;
    let entry = entry.expect("accepted in the end");
    assert_eq!(entry.version, 3);
    assert_eq!(
        kinds(&service).await,
        ["join_node", "configure", "start_drain"]
    );
    assert_eq!(service.history(1).await.expect("history"), [entry]);
}

macro_rules! fault_cases {
    ($($(#[$doc:meta])* $case:ident: $fault:ident, $count:expr;)*) => {
        $($(#[$doc])* #[tokio::test]
        async fn $case() {
            check_single_entry(|faults| &faults.$fault, $count).await;
        })*
    };
}

fault_cases! {
    /// Guards against a change that is applied twice, or reported as failed, because the response
    /// to its transaction was lost.
    lost_response_is_resolved: lose_responses, 1;
    /// Guards against abandoning a change that never reached the store.
    dropped_request_is_repeated: drop_requests, 2;
    /// Guards against a second entry when the first attempt takes effect after the proposer looked
    /// for its token without finding it.
    delayed_write_is_recognised: delayed_writes, 1;
}

/// Guards against a whole document in the log, and against a patch that is computed for another
/// state than the one to which it is applied: the second proposer has not applied the first change.
#[tokio::test]
async fn patch_is_based_on_the_newest_state() {
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
    // The second node receives no entries until its own proposal reads the store.
    let first_disconnected = cluster.disconnect(0);
    assert!(first_disconnected.is_some());
    let mut reversed = document();
    reversed.pools.get_mut("b").expect("a pool").floor = 0;
    let mut floors = document();
    floors.pools.get_mut("a").expect("a pool").floor = 2;
    let change = |document| FleetChange::Configure { document };
    platform.faults.lose_responses.store(1, Ordering::SeqCst);
    let entry = first.propose("alice", change(floors), None).await;
    assert_eq!(entry.expect("accepted").change.kind(), "amend");
    assert_eq!(second.state().configured_version, 2);
    let entry = second.propose("bob", change(reversed.clone()), None).await;
    let FleetChange::Amend { patch } = entry.expect("accepted").change else {
        panic!("not an amendment");
    };
    // Bob's document also reverts Alice's floor.
    assert!(patch.set_pools.keys().eq(["a", "b"]));
    assert_eq!(second.state().document, reversed);
    assert_eq!(second.state().configured_author, "bob");
}

/// Guards against lost or duplicate entries when concurrent proposals conflict on `head`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_proposals_are_all_applied() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    let third = cluster.join(&platform, 2).await;
    let services = [first, second, third];
    let tasks: Vec<_> = services
        .iter()
        .zip(["a0", "a1", "a2"])
        .map(|(service, vm)| {
            let service = Arc::clone(service);
            tokio::spawn(async move {
                let healths = [VmHealth::Leaving, VmHealth::Up];
                for health in healths.into_iter().cycle().take(10) {
                    let vm = vm.to_owned();
                    let change = FleetChange::ReportVm { vm, health };
                    service
                        .propose("test", change, None)
                        .await
                        .expect("accepted");
                }
            })
        })
        .collect();
    for task in tasks {
        task.await.expect("no panic");
    }
    // Three registrations, one configuration, three times ten reports.
    for service in &services {
        wait_state(service, |state| state.version == 34).await;
        assert_eq!(service.state(), services[0].state());
    }
    let conflicts = services.each_ref().map(|service| {
        let dump = service.dump();
        dump["counters"]["conflicts"].as_u64().expect("counter")
    });
    assert!(
        conflicts.iter().sum::<u64>() > 0,
        "the proposers did not race"
    );
}

/// Guards against an operator who overwrites a change without having seen it; the error must name
/// the author of that change.
#[tokio::test]
async fn outdated_change_names_the_author() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = cluster.join(&platform, 0).await;
    configure(&first).await;
    let second = cluster.join(&platform, 1).await;
    let version = first.state().vms["a0"].version;
    let entry = first
        .propose("alice", start_drain("a0"), Some(version))
        .await;
    entry.expect("based on the newest version");
    let move_a0 = start_move("a0", "b");
    let error = second
        .propose("bob", move_a0, Some(version))
        .await
        .expect_err("outdated");
    assert_eq!(error.kind, ErrorKind::Conflict);
    assert!(error.message.ends_with("by alice"), "{error}");
}

/// Guards against a change that is reported as accepted in an outage, and against a node that does
/// not reconnect afterwards.
#[tokio::test]
async fn proposal_fails_during_an_outage_only() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = cluster.join(&platform, 0).await;
    configure(&service).await;
    platform.set_outage(true);
    let before = service.state();
    let error = service.propose("operator", start_drain("a0"), None).await;
    // The responses of an outage do not show whether the transaction took effect.
    assert_eq!(error.expect_err("outage").kind, ErrorKind::Unknown);
    assert_eq!(service.state(), before);
    assert!(service.may_dispatch(), "a registered node keeps serving");
    platform.set_outage(false);
    wait_until(|| service.dump()["store_failed"] == false).await;
    let entry = service.propose("operator", start_drain("a0"), None).await;
    entry.expect("the outage is over");
    assert_eq!(
        kinds(&service).await,
        ["join_node", "configure", "start_drain"]
    );
}

/// Guards R8 against a read of `head` whose response arrives after newer entries were applied.
#[tokio::test]
async fn delayed_read_does_not_revert_the_state() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = cluster.join(&platform, 0).await;
    configure(&service).await;
    let mut observer = service.subscribe();
    let versions: Arc<Mutex<Vec<LogVersion>>> = Arc::default();
    let observed = Arc::clone(&versions);
    tokio::spawn(async move {
        while observer.changed().await.is_ok() {
            let version = observer.borrow_and_update().version;
            observed.lock().unwrap().push(version);
        }
    });
    platform
        .faults
        .blocked_head_reads
        .store(1, Ordering::SeqCst);
    wait_until(|| platform.faults.blocked_head_reads.load(Ordering::SeqCst) == 0).await;
    for vm in ["a0", "a1"] {
        let entry = service.propose("operator", start_drain(vm), None).await;
        entry.expect("accepted while a read is delayed");
    }
    // The delayed poll ends before the next one begins.
    platform
        .faults
        .blocked_head_reads
        .store(1, Ordering::SeqCst);
    platform.read_permits.add_permits(1);
    wait_until(|| platform.faults.blocked_head_reads.load(Ordering::SeqCst) == 0).await;
    platform.read_permits.add_permits(1);
    let entry = service.propose("operator", start_drain("b0"), None).await;
    assert_eq!(entry.expect("accepted").version, 5);
    wait_until(|| versions.lock().unwrap().last() == Some(&5)).await;
    let versions = versions.lock().unwrap();
    assert!(versions.is_sorted(), "{versions:?}");
}
