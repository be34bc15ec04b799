//! Tests of the deletion of old log entries and of the two snapshot objects.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use tanager_control::ControlService;
use tanager_control::ControlTiming;
use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::LogVersion;

use support::Cluster;
use support::FakePlatform;
use support::configure;
use support::fast_timing;
use support::start_drain;
use support::wait_state;
use support::wait_until;

/// Returns timing with a snapshot every 5 entries and 10 entries retained before it.
fn timing() -> ControlTiming {
    ControlTiming {
        snapshot_interval: 5,
        log_retention: 10,
        trim_pause: Duration::from_millis(10),
        ..fast_timing()
    }
}

async fn start(platform: &FakePlatform, cluster: &Cluster) -> Arc<ControlService> {
    let service = cluster.spawn(platform, 0, 1, timing());
    wait_until(|| service.may_dispatch()).await;
    configure(&service).await;
    service
}

/// Appends entries until the log has this version, while several snapshots are written.
async fn append_until(platform: &FakePlatform, service: &ControlService, version: LogVersion) {
    while service.state().version < version {
        if service.state().version.is_multiple_of(10) {
            wait_until(|| named_snapshot(platform).1 + 4 >= service.state().version).await;
        }
        let health = match service.state().vms["a0"].health {
            VmHealth::Up => VmHealth::Leaving,
            _ => VmHealth::Up,
        };
        let vm = "a0".to_owned();
        let change = FleetChange::ReportVm { vm, health };
        let entry = service.propose("test", change, None).await;
        entry.expect("accepted");
    }
}

/// Versions of the entries in the store.
fn stored_versions(platform: &FakePlatform) -> Vec<LogVersion> {
    let tables = platform.tables.lock().unwrap();
    let keys = tables
        .rows
        .keys()
        .filter_map(|key| key.strip_prefix("log/"));
    keys.map(|version| version.parse().expect("a version"))
        .collect()
}

/// Returns the object that the row `snapshot` names, and its version.
fn named_snapshot(platform: &FakePlatform) -> (String, LogVersion) {
    let tables = platform.tables.lock().unwrap();
    let Some((_, value)) = tables.rows.get("snapshot") else {
        return (String::new(), 0);
    };
    let key = value["key"].as_str().expect("a key").to_owned();
    (key, value["version"].as_u64().expect("a version"))
}

fn object_version(platform: &FakePlatform, key: &str) -> Option<LogVersion> {
    let tables = platform.tables.lock().unwrap();
    let content = tables.objects.get(key)?;
    let state: FleetState = serde_json::from_slice(content).expect("a state");
    Some(state.version)
}

fn put_state(platform: &FakePlatform, key: &str, state: &FleetState) {
    let content = serde_json::to_vec(state).expect("encodable");
    let mut tables = platform.tables.lock().unwrap();
    tables.objects.insert(key.to_owned(), content);
}

/// Waits until a snapshot of at least this version is in the store and everything older than its
/// retention is deleted.
async fn wait_trimmed(platform: &FakePlatform, version: LogVersion) {
    wait_until(|| {
        let (_, snapshot) = named_snapshot(platform);
        // Entries after the previous snapshot are retained as well.
        let objects = ["snapshot/a", "snapshot/b"].map(|key| object_version(platform, key));
        let oldest = objects.map(Option::unwrap_or_default).into_iter().min();
        let kept = oldest.map_or(0, |oldest| oldest + 1);
        let kept = kept.min(snapshot.saturating_sub(timing().log_retention));
        snapshot >= version && stored_versions(platform).first() == Some(&kept)
    })
    .await;
}

/// Guards against a table and an object store that grow with every change, transactions that are
/// too large, and a history that fails because its entries were deleted.
#[tokio::test]
async fn old_entries_are_deleted_in_small_transactions() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = start(&platform, &cluster).await;
    // Entries past their retention accumulate only while the home cannot verify a snapshot. On a busy machine
    // a blocked read times out meanwhile, and the next one must be blocked as well.
    let blocked_reads = &platform.faults.blocked_object_reads;
    blocked_reads.store(u32::MAX, Ordering::SeqCst);
    append_until(&platform, &service, 260).await;
    let blocked = u32::MAX - blocked_reads.swap(0, Ordering::SeqCst);
    platform.read_permits.add_permits(blocked as usize);
    wait_trimmed(&platform, 256).await;
    let versions = stored_versions(&platform);
    assert!(
        versions.iter().copied().eq(versions[0]..=260),
        "{versions:?}"
    );
    let history = service.history(1_000).await.expect("history");
    assert!(history.iter().map(|entry| entry.version).eq(versions));
    let tables = platform.tables.lock().unwrap();
    assert!(tables.objects.keys().eq(["snapshot/a", "snapshot/b"]));
    assert_eq!(tables.deletions.iter().max(), Some(&100));
}

/// Guards against a deletion that stops, or deletes retained entries, because its response was
/// lost.
#[tokio::test]
async fn lost_response_of_a_deletion_is_harmless() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = start(&platform, &cluster).await;
    for version in [32, 64] {
        platform.faults.lose_deletions.store(1, Ordering::SeqCst);
        append_until(&platform, &service, version).await;
        wait_trimmed(&platform, version - 4).await;
        assert_eq!(platform.faults.lose_deletions.load(Ordering::SeqCst), 0);
        let versions = stored_versions(&platform);
        let kept = versions[0]..=version;
        assert!(versions.iter().copied().eq(kept), "{versions:?}");
    }
}

/// Guards against a node that cannot catch up because the entries that it needs were deleted.
#[tokio::test]
async fn node_far_behind_starts_from_the_snapshot() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = start(&platform, &cluster).await;
    let timing = ControlTiming {
        poll_interval: Duration::from_secs(3_600),
        ..timing()
    };
    let second = cluster.spawn(&platform, 1, 2, timing);
    wait_until(|| second.may_dispatch()).await;
    // Without peers and polls the second node reads the store only for its own proposal.
    second.set_leaving();
    wait_until(|| first.live_nodes() == ["n0"]).await;
    let peer = cluster.disconnect(0);
    let behind = second.state().version;
    append_until(&platform, &first, 40).await;
    wait_trimmed(&platform, 36).await;
    assert_eq!(second.state().version, behind);
    assert!(stored_versions(&platform)[0] > behind + 1);
    let entry = second.propose("operator", start_drain("b0"), None).await;
    assert_eq!(entry.expect("accepted").version, 41);
    wait_state(&first, |state| state.version == 41).await;
    assert_eq!(second.state(), first.state());
    drop(peer);
}

/// Guards against a start from an object that no row names, because the home crashed between the
/// writes of object and row, and against a third object.
#[tokio::test]
async fn crash_between_object_and_row_write() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = start(&platform, &cluster).await;
    append_until(&platform, &first, 8).await;
    wait_until(|| named_snapshot(&platform).1 >= 5).await;
    let (key, version) = named_snapshot(&platform);
    assert_eq!(key, "snapshot/a");
    // The home wrote the second object and crashed before it wrote the row.
    put_state(&platform, "snapshot/b", &first.snapshot());
    let expected = first.state();
    drop(cluster.disconnect(0));
    drop(first);
    let mut rows = stored_versions(&platform);
    rows.retain(|row| *row <= version);
    for row in rows {
        let key = format!("log/{row:012}");
        platform.tables.lock().unwrap().rows.remove(&key);
    }
    let second = cluster.spawn(&platform, 1, 2, timing());
    wait_until(|| second.may_dispatch()).await;
    assert_eq!(second.state().vms, expected.vms);
    append_until(&platform, &second, 14).await;
    wait_until(|| named_snapshot(&platform).0 == "snapshot/b").await;
    let tables = platform.tables.lock().unwrap();
    assert!(tables.objects.keys().eq(["snapshot/a", "snapshot/b"]));
}

/// Guards against a state of another version than the row names, because the object was replaced
/// between the reads of row and object.
#[tokio::test]
async fn replaced_snapshot_is_read_again() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = start(&platform, &cluster).await;
    append_until(&platform, &first, 5).await;
    wait_until(|| named_snapshot(&platform) == ("snapshot/a".to_owned(), 5)).await;
    cluster.disconnect(0);
    // The first node has no entries to delete yet, so its reads of objects do not consume the
    // fault.
    platform
        .faults
        .blocked_object_reads
        .store(1, Ordering::SeqCst);
    let second = cluster.spawn(&platform, 1, 2, timing());
    wait_until(|| platform.faults.blocked_object_reads.load(Ordering::SeqCst) == 0).await;
    append_until(&platform, &first, 10).await;
    wait_until(|| named_snapshot(&platform) == ("snapshot/b".to_owned(), 10)).await;
    // The first object is being replaced: it contains a state that the row does not name.
    let mut later = first.snapshot();
    later.version = 15;
    put_state(&platform, "snapshot/a", &later);
    let before = platform.tables.lock().unwrap().object_reads;
    platform.read_permits.add_permits(1);
    wait_until(|| second.state().version >= 10).await;
    assert!(
        second.state().version < 15,
        "an object that no row names was used"
    );
    assert!(platform.tables.lock().unwrap().object_reads > before);
}

/// Guards against a store from which no node can start, because a delayed write of an earlier home
/// replaced the named object by an old state.
#[tokio::test]
async fn outdated_object_falls_back_to_the_previous_snapshot() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let first = start(&platform, &cluster).await;
    append_until(&platform, &first, 5).await;
    let outdated = first.snapshot();
    append_until(&platform, &first, 40).await;
    wait_trimmed(&platform, 36).await;
    let expected = first.state();
    drop(cluster.disconnect(0));
    drop(first);
    put_state(&platform, &named_snapshot(&platform).0, &outdated);
    let second = cluster.spawn(&platform, 1, 2, timing());
    wait_until(|| second.may_dispatch()).await;
    assert_eq!(second.state().vms, expected.vms);
}

/// Guards against deletions based on a snapshot that cannot be read back.
#[tokio::test]
async fn nothing_is_deleted_without_a_readable_snapshot() {
    let platform = FakePlatform::bind().await;
    let cluster = Cluster::default();
    let service = start(&platform, &cluster).await;
    let put = |value: Value| {
        let mut tables = platform.tables.lock().unwrap();
        tables.rows.insert("snapshot".to_owned(), (1, value));
    };
    put(json!({"key": "snapshot/lost", "version": 1_000}));
    append_until(&platform, &service, 40).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(stored_versions(&platform).into_iter().eq(1..=40));
    put(json!({"key": "snapshot/a", "version": 0}));
}
