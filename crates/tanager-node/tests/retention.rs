//! Tests of the generations of claims: a claim blocks its key for the rest of its generation and
//! the whole next one, then it is removed.

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

async fn expect_grant(service: &ClaimService, key: &str) -> ClaimGrant {
    match claim(service, key).await {
        ClaimResult::Granted(grant) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

fn advance(store: &FakeStore, generation: u64) {
    store.put(GENERATION_KEY, json!({ "generation": generation }));
}

fn row(generation: u64, key: &str) -> String {
    format!("claim/{generation:08}/intake/{key}")
}

fn response() -> EndpointResponse {
    EndpointResponse {
        status: 200,
        ..EndpointResponse::default()
    }
}

async_cases! {
    /// Guards against a second run of a key one generation after its claim, and against a key that
    /// stays blocked for ever.
    claim_blocks_its_key_in_the_next_generation => {
        let (store, server) = FakeStore::bind().await;
        let (first, second) = (service(platform(&server), "n1"), service(platform(&server), "n2"));
        let grant = expect_grant(&first, "k1").await;
        expect_grant(&second, "opener").await;
        advance(&store, 1);
        for service in [&first, &second] {
            assert!(matches!(claim(service, "k1").await, ClaimResult::MayHaveRun));
        }
        assert_eq!(second.history("intake", "k1", &fingerprint()).await, KeyHistory::MayHaveRun);
        first.complete(grant, &response());
        first.flush().await;
        assert_eq!(store.state(&row(0, "k1")).as_deref(), Some("done"));
        assert!(matches!(claim(&second, "k1").await, ClaimResult::Recorded(_)));
        advance(&store, 2);
        assert_eq!(second.history("intake", "k1", &fingerprint()).await, KeyHistory::Absent);
        expect_grant(&second, "k1").await;
        assert!(matches!(claim(&first, "k1").await, ClaimResult::MayHaveRun));
    }

    /// Guards against a second run when the write of a frozen home takes effect two generations
    /// later: its transaction must fail although none of its rows exists.
    delayed_write_fails_two_generations_later => {
        let (store, server) = FakeStore::bind().await;
        let (first, second) = (service(platform(&server), "n1"), service(platform(&server), "n2"));
        expect_grant(&first, "opener").await;
        store.faults.late_writes.store(1, Ordering::SeqCst);
        let delayed_claim = claim(&first, "k1");
        let others = async {
            wait_until(|| store.faults.late_writes.load(Ordering::SeqCst) == 0).await;
            advance(&store, 2);
            store.faults.answer_late_write.notify_one();
            let result = claim(&second, "k1").await;
            store.faults.release.notify_waiters();
            result
        };
        let results = tokio::join!(delayed_claim, others);
        let results = [results.0, results.1];
        let granted = results.iter().filter(|r| matches!(r, ClaimResult::Granted(_)));
        assert_eq!(granted.count(), 1, "{results:?}");
        first.flush().await;
        assert_eq!(store.state(&row(0, "k1")), None);
        assert_eq!(store.state(&row(2, "k1")).as_deref(), Some("started"));
    }

    /// Guards against claims and records that are lost, or written to an old generation, when the
    /// generation advances during an outage.
    generation_advances_during_an_outage => {
        let (store, server) = FakeStore::bind().await;
        let first = Arc::new(service(platform(&server), "n1"));
        let grant = expect_grant(&first, "k1").await;
        store.faults.outage.store(true, Ordering::SeqCst);
        first.complete(grant, &response());
        let shared = Arc::clone(&first);
        let waiting_claim = tokio::spawn(async move { expect_grant(&shared, "k2").await });
        let calls = store.calls.load(Ordering::SeqCst);
        wait_until(|| store.calls.load(Ordering::SeqCst) > calls + 1).await;
        advance(&store, 1);
        store.faults.outage.store(false, Ordering::SeqCst);
        waiting_claim.await.unwrap();
        assert_eq!(store.state(&row(1, "k2")).as_deref(), Some("started"));
        assert!(matches!(claim(&first, "k1").await, ClaimResult::Recorded(_)));
    }

    /// Guards against losing an unsent claim whose delayed write took effect in the previous
    /// generation: its process must recognise it and move it to the current generation, so that the
    /// key is protected for the whole next one.
    unsent_claim_of_the_previous_generation_is_moved => {
        let (store, server) = FakeStore::bind().await;
        store.faults.late_writes.store(1, Ordering::SeqCst);
        let first = service(platform(&server), "n1");
        tokio::select! {
            result = claim(&first, "k1") => panic!("not abandoned: {result:?}"),
            () = wait_until(|| store.faults.late_writes.load(Ordering::SeqCst) == 0) => {}
        }
        store.faults.answer_late_write.notify_one();
        first.flush().await;
        store.faults.release.notify_waiters();
        wait_until(|| store.state(&row(0, "k1")).is_some()).await;
        advance(&store, 1);
        expect_grant(&first, "k1").await;
        assert_eq!(store.state(&row(0, "k1")), None);
        assert_eq!(store.state(&row(1, "k1")).as_deref(), Some("started"));
    }

    /// Guards against rows that are never removed, and against rows that are removed while they
    /// protect their key. Responses to the advance and to the removals are lost, and two nodes act
    /// as home.
    expired_rows_are_removed => {
        let standin = PlatformStandin::bind(PlatformOptions::default()).unwrap();
        let client = Arc::new(PlatformClient::new(standin.address(), Duration::from_secs(5)));
        let writer = service(Arc::clone(&client), "n1");
        for number in 0..150 {
            expect_grant(&writer, &format!("k{number}")).await;
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
            // Read after the rows, so that it is not older than the generation of the removal.
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
