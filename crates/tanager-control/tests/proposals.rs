//! Faults of the store while a change is proposed.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use tanager_control::ControlService;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::LogVersion;

use support::Cluster;
use support::FakePlatform;
use support::Faults;
use support::configure;
use support::start_drain;
use support::start_move;
use support::wait_state;
use support::wait_until;

async fn kinds(service: &ControlService) -> Vec<&'static str> {
    let history = service.history(100).await.expect("history");
    history.iter().map(|entry| entry.change.kind()).collect()
}

/// Proposes a drain while `fault` hits so many transactions; it must be in the log exactly once.
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
    /// Guards against giving up a change that never reached the store.
    dropped_request_is_repeated: drop_requests, 2;
    /// Guards against a second entry when the first attempt takes effect after the token was
    /// looked for in vain.
    late_write_is_recognised: late_writes, 1;
}

/// Guards against lost or doubled entries when proposers race on `head`.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn racing_proposers_lose_nothing() {
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

/// Guards against a second operator who overwrites a change not seen yet; the error must name the
/// first one.
#[tokio::test]
async fn stale_change_names_the_author() {
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
        .expect_err("stale");
    assert_eq!(error.kind, ErrorKind::Conflict);
    assert!(error.message.ends_with("by alice"), "{error}");
}

/// Guards against a change that is reported as accepted in an outage, and against a node that
/// stays cut off afterwards.
#[tokio::test]
async fn outage_refuses_and_ends() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = cluster.join(&platform, 0).await;
    configure(&service).await;
    platform.set_outage(true);
    let before = service.state();
    let error = service.propose("operator", start_drain("a0"), None).await;
    // The answers of an outage do not tell whether the transaction took effect.
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

/// Guards R8 against a read of `head` that is answered after newer entries were applied.
#[tokio::test]
async fn slow_read_never_moves_the_state_back() {
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
    platform.faults.slow_reads.store(1, Ordering::SeqCst);
    wait_until(|| platform.faults.slow_reads.load(Ordering::SeqCst) == 0).await;
    for vm in ["a0", "a1"] {
        let entry = service.propose("operator", start_drain(vm), None).await;
        entry.expect("accepted while a read is held back");
    }
    // The poll that was held back ends before the next one begins.
    platform.faults.slow_reads.store(1, Ordering::SeqCst);
    platform.gate.add_permits(1);
    wait_until(|| platform.faults.slow_reads.load(Ordering::SeqCst) == 0).await;
    platform.gate.add_permits(1);
    let entry = service.propose("operator", start_drain("b0"), None).await;
    assert_eq!(entry.expect("accepted").version, 5);
    wait_until(|| versions.lock().unwrap().last() == Some(&5)).await;
    let versions = versions.lock().unwrap();
    assert!(versions.is_sorted(), "{versions:?}");
}
