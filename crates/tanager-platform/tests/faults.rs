//! Tests of the client with faults of the platform stand-in.

use std::time::Duration;

use serde_json::json;

use tanager_platform::ListedState;
use tanager_platform::PlatformClient;
use tanager_platform::RowCondition;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_protocol::error::ErrorKind;
use tanager_standin::PlatformFaults;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;
use tanager_standin::platform::LostResponses;
use tanager_standin::platform::OutageMode;

/// Time limit that only a hang reaches, so that no result depends on the speed of the machine.
const HANG_TIMEOUT: Duration = Duration::from_secs(600);
/// Time limit of calls that must time out.
const CALL_TIMEOUT: Duration = Duration::from_millis(200);

fn start(timeout: Duration) -> (PlatformStandin, PlatformClient) {
    let platform = PlatformStandin::bind(PlatformOptions::default()).unwrap();
    let client = PlatformClient::new(platform.address(), timeout);
    (platform, client)
}

fn insert(key: &str) -> TableTransaction {
    TableTransaction {
        conditions: vec![RowCondition {
            key: key.to_owned(),
            version: 0,
        }],
        writes: vec![RowWrite {
            key: key.to_owned(),
            value: Some(json!("token")),
        }],
    }
}

fn outage(mode: OutageMode) -> PlatformFaults {
    PlatformFaults {
        outage: Some(mode),
        ..PlatformFaults::default()
    }
}

/// Guards against a lost response that is reported as not sent, or retried by the client itself.
#[tokio::test]
async fn lost_response_is_unknown_and_the_write_takes_effect() {
    let (platform, client) = start(HANG_TIMEOUT);
    // An idle connection exists, as in a running node.
    assert_eq!(client.read("head").await.unwrap(), None);
    let faults = PlatformFaults {
        lose_answers: Some(LostResponses::Count(2)),
        ..PlatformFaults::default()
    };
    platform.set_faults(faults).await.unwrap();
    let error = client.transact(&insert("head")).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Unknown);
    assert_eq!(error.step, "transact");
    assert_eq!(error.peer, platform.address().to_string());
    let row = client.read("head").await.unwrap().unwrap();
    assert_eq!(row.value, json!("token"));
    let error = client.put_object("o", vec![1]).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Unknown);
    assert_eq!(client.get_object("o").await.unwrap().unwrap(), vec![1]);
    let stats = platform.stats();
    assert_eq!((stats.transactions, stats.lost_answers), (1, 2));
    let conflict = client.transact(&insert("head")).await.unwrap();
    assert_eq!(conflict, TransactionResult::Conflict(vec![0]));
}

/// Guards against a stand-in whose seeded losses differ between runs.
#[tokio::test]
async fn seeded_losses_repeat() {
    let mut patterns = Vec::new();
    for _ in 0..2 {
        let (platform, client) = start(HANG_TIMEOUT);
        let faults = PlatformFaults {
            lose_answers: Some(LostResponses::Chance {
                probability: 0.5,
                seed: 7,
            }),
            ..PlatformFaults::default()
        };
        platform.set_faults(faults).await.unwrap();
        let mut pattern = Vec::new();
        for number in 0..40 {
            pattern.push(
                client
                    .transact(&insert(&format!("k{number}")))
                    .await
                    .is_ok(),
            );
        }
        assert_eq!(platform.stats().transactions, 40);
        patterns.push(pattern);
    }
    assert_eq!(patterns[0], patterns[1]);
    assert!(patterns[0].contains(&true) && patterns[0].contains(&false));
}

/// Guards against a refused connection that is reported as a write that may have taken effect,
/// and against a client that does not recover.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let (platform, client) = start(HANG_TIMEOUT);
    client.transact(&insert("a")).await.unwrap();
    platform
        .set_faults(outage(OutageMode::Refuse))
        .await
        .unwrap();
    let error = client.transact(&insert("b")).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NotSent);
    platform.set_faults(outage(OutageMode::None)).await.unwrap();
    assert_eq!(client.read("b").await.unwrap(), None);
    assert!(client.read("a").await.unwrap().is_some());
}

/// Guards against a call that exceeds its time limit on an unresponsive platform.
#[tokio::test]
async fn unresponsive_platform_times_out() {
    let (platform, client) = start(CALL_TIMEOUT);
    platform.set_faults(outage(OutageMode::Hang)).await.unwrap();
    let error = client.transact(&insert("a")).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert_eq!(client.read("a").await.unwrap_err().kind, ErrorKind::Timeout);
    platform.set_faults(outage(OutageMode::None)).await.unwrap();
    let client = PlatformClient::new(platform.address(), HANG_TIMEOUT);
    assert_eq!(client.read("a").await.unwrap(), None);
}

/// Guards against a timed-out write that is reported as not run although it takes effect later.
#[tokio::test]
async fn delayed_write_takes_effect_after_the_time_limit() {
    let (platform, client) = start(CALL_TIMEOUT);
    let delay = |delay_ms| PlatformFaults {
        delay_ms: Some(delay_ms),
        ..PlatformFaults::default()
    };
    platform.set_faults(delay(600_000)).await.unwrap();
    let error = client.transact(&insert("a")).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    platform.set_faults(delay(0)).await.unwrap();
    let reader = PlatformClient::new(platform.address(), HANG_TIMEOUT);
    while reader.read("a").await.unwrap().is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a refused request that is reported as one that may have taken effect.
#[tokio::test]
async fn client_error_is_refused() {
    let (_platform, client) = start(HANG_TIMEOUT);
    let mut twice = insert("a");
    twice.writes.push(twice.writes[0].clone());
    let error = client.transact(&twice).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Refused);
    let error = client.reboot("vm-1").await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Refused);
}

/// Guards against a client that reads changes of the list twice or not at all.
#[tokio::test]
async fn list_shows_changes_after_the_lag() {
    let options = PlatformOptions {
        list_lag: HANG_TIMEOUT,
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::bind(options).unwrap();
    let client = PlatformClient::new(platform.address(), HANG_TIMEOUT);
    platform.set_vm("vm-1", ListedState::Live);
    platform.set_vm("vm-2", ListedState::Live);
    let listing = client.list_vms(0).await.unwrap();
    assert_eq!((listing.version, listing.vms.len()), (0, 0));
    let lag = |list_lag_ms| PlatformFaults {
        list_lag_ms: Some(list_lag_ms),
        ..PlatformFaults::default()
    };
    platform.set_faults(lag(0)).await.unwrap();
    let listing = client.list_vms(0).await.unwrap();
    assert_eq!((listing.version, listing.vms.len()), (2, 2));
    platform.set_vm("vm-2", ListedState::Leaving);
    platform.set_vm("vm-2", ListedState::Gone);
    let changes = client.list_vms(listing.version).await.unwrap();
    assert_eq!((changes.version, changes.vms.len()), (4, 1));
    assert_eq!(changes.vms[0].vm, "vm-2");
    assert_eq!(changes.vms[0].state, ListedState::Gone);
    let none = client.list_vms(changes.version).await.unwrap();
    assert_eq!((none.version, none.vms.len()), (4, 0));
}

/// Guards against a frozen list that still shows changes.
#[tokio::test]
async fn frozen_list_shows_changes_when_it_is_released() {
    let (platform, client) = start(HANG_TIMEOUT);
    platform.set_vm("vm-1", ListedState::Live);
    let freeze = |frozen| PlatformFaults {
        freeze_list: Some(frozen),
        ..PlatformFaults::default()
    };
    platform.set_faults(freeze(true)).await.unwrap();
    platform.set_vm("vm-1", ListedState::Gone);
    let listing = client.list_vms(0).await.unwrap();
    assert_eq!(
        (listing.version, listing.vms[0].state),
        (1, ListedState::Live)
    );
    platform.set_faults(freeze(false)).await.unwrap();
    let listing = client.list_vms(1).await.unwrap();
    assert_eq!(
        (listing.version, listing.vms[0].state),
        (2, ListedState::Gone)
    );
}

/// Guards against a reboot that is lost, or that hits another VM because of its name.
#[tokio::test]
async fn reboot_names_the_vm() {
    let (platform, client) = start(HANG_TIMEOUT);
    platform.set_vm("vm-1.a_b", ListedState::Live);
    client.reboot("vm-1.a_b").await.unwrap();
    assert_eq!(platform.reboots(), ["vm-1.a_b"]);
}
