//! Guards the generations of claims: a claim excludes others for the rest of its generation and
//! the whole next one, and is removed afterwards.

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use tanager_node::claims::ClaimGrant;
use tanager_node::claims::ClaimResult;
use tanager_node::claims::ClaimService;
use tanager_node::claims::ClaimSettings;
use tanager_node::claims::KeyHistory;
use tanager_node::claims::fingerprint::RequestFingerprint;
use tanager_node::claims::generation::GENERATION_KEY;
use tanager_platform::PlatformClient;
use tanager_protocol::outcome::EndpointResponse;
use tanager_standin::platform::LostResponses;
use tanager_standin::platform::PlatformFaults;
use tanager_standin::platform::PlatformOptions;
use tanager_standin::platform::PlatformStandin;

use common::FakeStore;
use common::HANG_TIMEOUT;
use common::platform;
use common::request;
use common::wait_until;

fn service(platform: Arc<PlatformClient>, node: &str) -> ClaimService {
    let settings = ClaimSettings::default();
    ClaimService::spawn(
        platform,
        (node.to_owned(), 7),
        settings,
        Arc::new(|_| false),
    )
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::new(&request("POST", ""))
}

async fn claim(service: &ClaimService, key: &str) -> ClaimResult {
    let deadline = Instant::now() + HANG_TIMEOUT;
    service.claim("intake", key, fingerprint(), deadline).await
}

async fn granted(service: &ClaimService, key: &str) -> ClaimGrant {
    match claim(service, key).await {
        ClaimResult::Granted(ticket) => ticket,
        other => panic!("not granted: {other:?}"),
    }
}

fn advance(store: &FakeStore, generation: u64) {
    store.put(GENERATION_KEY, json!({ "generation": generation }));
}

fn row(generation: u64, key: &str) -> String {
    format!("claim/{generation:08}/intake/{key}")
}

fn answer() -> EndpointResponse {
    EndpointResponse {
        status: 200,
        ..EndpointResponse::default()
    }
}

async_cases! {
    /// Guards against a key that runs again one generation later, and against one that is never
    /// forgotten.
    neighbouring_generations_exclude_each_other => {
        let (store, server) = FakeStore::bind().await;
        let (first, second) = (service(platform(&server), "n1"), service(platform(&server), "n2"));
        let ticket = granted(&first, "k1").await;
        granted(&second, "opener").await;
        advance(&store, 1);
        for service in [&first, &second] {
            assert!(matches!(claim(service, "k1").await, ClaimResult::MayHaveRun));
        }
        assert_eq!(second.history("intake", "k1", &fingerprint()).await, KeyHistory::MayHaveRun);
        first.complete(ticket, &answer());
        first.flush().await;
        assert_eq!(store.state(&row(0, "k1")).as_deref(), Some("done"));
        assert!(matches!(claim(&second, "k1").await, ClaimResult::Recorded(_)));
        advance(&store, 2);
        assert_eq!(second.history("intake", "k1", &fingerprint()).await, KeyHistory::Absent);
        granted(&second, "k1").await;
        assert!(matches!(claim(&first, "k1").await, ClaimResult::MayHaveRun));
    }

    /// Guards against a second run when the write of a frozen home takes effect two generations
    /// later: its transaction must fail although none of its rows exists.
    frozen_home_wakes_two_generations_later => {
        let (store, server) = FakeStore::bind().await;
        let (first, second) = (service(platform(&server), "n1"), service(platform(&server), "n2"));
        granted(&first, "opener").await;
        store.faults.late_writes.store(1, Ordering::SeqCst);
        let frozen = claim(&first, "k1");
        let others = async {
            wait_until(|| store.faults.late_writes.load(Ordering::SeqCst) == 0).await;
            advance(&store, 2);
            let result = claim(&second, "k1").await;
            store.faults.release.notify_waiters();
            result
        };
        let results = tokio::join!(frozen, others);
        let results = [results.0, results.1];
        let granted = results.iter().filter(|r| matches!(r, ClaimResult::Granted(_)));
        assert_eq!(granted.count(), 1, "{results:?}");
        first.flush().await;
        assert_eq!(store.state(&row(0, "k1")), None);
        assert_eq!(store.state(&row(2, "k1")).as_deref(), Some("started"));
    }

    /// Guards against claims and records that are lost, or that get into an old generation, when
    /// the generation advances during an outage.
    outage_across_an_advance => {
        let (store, server) = FakeStore::bind().await;
        let first = Arc::new(service(platform(&server), "n1"));
        let ticket = granted(&first, "k1").await;
        store.faults.outage.store(true, Ordering::SeqCst);
        first.complete(ticket, &answer());
        let waiting = Arc::clone(&first);
        let waiting = tokio::spawn(async move { granted(&waiting, "k2").await });
        let calls = store.calls.load(Ordering::SeqCst);
        wait_until(|| store.calls.load(Ordering::SeqCst) > calls + 1).await;
        advance(&store, 1);
        store.faults.outage.store(false, Ordering::SeqCst);
        waiting.await.unwrap();
        assert_eq!(store.state(&row(1, "k2")).as_deref(), Some("started"));
        assert!(matches!(claim(&first, "k1").await, ClaimResult::Recorded(_)));
    }

    /// Guards against a claim whose late write took effect in the previous generation: its process
    /// must recognise it, and protect the key for a whole generation from now on.
    unsent_claim_of_the_previous_generation_is_moved => {
        let (store, server) = FakeStore::bind().await;
        store.faults.late_writes.store(1, Ordering::SeqCst);
        let first = service(platform(&server), "n1");
        tokio::select! {
            result = claim(&first, "k1") => panic!("not abandoned: {result:?}"),
            () = wait_until(|| store.faults.late_writes.load(Ordering::SeqCst) == 0) => {}
        }
        first.flush().await;
        store.faults.release.notify_waiters();
        wait_until(|| store.state(&row(0, "k1")).is_some()).await;
        advance(&store, 1);
        granted(&first, "k1").await;
        assert_eq!(store.state(&row(0, "k1")), None);
        assert_eq!(store.state(&row(1, "k1")).as_deref(), Some("started"));
    }

    /// Guards against rows that are never removed, against rows that are removed while they
    /// protect their key, and against lost responses of the advance and the removals, with two
    /// nodes that both act as home.
    old_rows_are_removed => {
        let standin = PlatformStandin::bind(PlatformOptions::default()).unwrap();
        let client = Arc::new(PlatformClient::new(standin.address(), Duration::from_secs(5)));
        let writer = service(Arc::clone(&client), "n1");
        for number in 0..150 {
            granted(&writer, &format!("k{number}")).await;
        }
        let lost = LostResponses::Chance { probability: 0.5, seed: 7 };
        let faults = PlatformFaults { lose_answers: Some(lost), ..PlatformFaults::default() };
        standin.set_faults(faults).await.unwrap();
        let settings = ClaimSettings {
            retention: Duration::from_millis(200),
            ..ClaimSettings::default()
        };
        let homes = ["n2", "n3"].map(|node| {
            let owner = (node.to_owned(), 7);
            ClaimService::spawn(Arc::clone(&client), owner, settings, Arc::new(|name| {
                name == GENERATION_KEY
            }))
        });
        let started = Instant::now();
        loop {
            let rows = client.scan("claim/00000000/", "", 200).await.unwrap().len();
            // Read after the rows, so that it is at least the generation of the removal.
            let generation = client.read(GENERATION_KEY).await.unwrap();
            let generation = generation.map_or(0, |row| row.value["generation"].as_u64().unwrap());
            assert!(rows == 150 || generation >= 2, "{rows} rows in generation {generation}");
            if rows == 0 {
                break;
            }
            assert!(started.elapsed() < HANG_TIMEOUT, "the rows are never removed: the test hangs");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert!(homes.iter().any(|home| home.counters().removed_rows > 0));
        assert!(standin.stats().lost_answers > 0);
    }
}
