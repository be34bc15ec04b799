//! Guards the promise that a keyed request runs at most once (R5).

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use tanager_http::HttpServer;
use tanager_node::claims::ClaimGrant;
use tanager_node::claims::ClaimResult;
use tanager_node::claims::ClaimService;
use tanager_node::claims::ClaimSettings;
use tanager_node::claims::KeyHistory;
use tanager_node::claims::fingerprint::RequestFingerprint;
use tanager_node::claims::record::MAX_RECORDED_BODY_BYTES;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::peer::ForwardRequest;

use common::FakeStore;
use common::HANG_TIMEOUT;
use common::platform;
use common::request;
use common::wait_until;

const ROW: &str = "claim/00000000/intake/k1";

fn service(server: &HttpServer, node: &str) -> ClaimService {
    ClaimService::spawn(
        platform(server),
        (node.to_owned(), 7),
        ClaimSettings::default(),
        Arc::new(|_| false),
    )
}

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestFingerprint::new(&ForwardRequest {
        body: body.as_bytes().to_vec(),
        ..request("POST", "")
    })
}

async fn claim(service: &ClaimService, key: &str) -> ClaimResult {
    claim_for(service, key, "first").await
}

async fn claim_for(service: &ClaimService, key: &str, body: &str) -> ClaimResult {
    let deadline = Instant::now() + HANG_TIMEOUT;
    service
        .claim("intake", key, fingerprint(body), deadline)
        .await
}

async fn granted(service: &ClaimService, key: &str) -> ClaimGrant {
    match claim(service, key).await {
        ClaimResult::Granted(ticket) => ticket,
        other => panic!("not granted: {other:?}"),
    }
}

async fn unavailable(service: &ClaimService, key: &str) {
    let deadline = Instant::now() + Duration::from_millis(300);
    let result = service.claim("intake", key, fingerprint("first"), deadline);
    let result = result.await;
    assert!(matches!(result, ClaimResult::Unavailable), "{result:?}");
}

/// Starts a claim and drops its future once `sent` holds, as when the caller disconnects.
async fn abandoned(service: &ClaimService, key: &str, sent: impl Fn() -> bool) {
    tokio::select! {
        result = claim(service, key) => panic!("not abandoned: {result:?}"),
        () = wait_until(sent) => {}
    }
}

fn answer(body: &[u8]) -> EndpointResponse {
    EndpointResponse {
        status: 201,
        headers: vec![("x-part".to_owned(), vec![0xe9, b'a'])],
        body: body.to_vec(),
    }
}

async_cases! {
    /// Guards against a retry that runs again after the first run was recorded, and against a
    /// recorded response that differs from the original.
    recorded_answer_is_returned => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let ticket = granted(&first, "k1").await;
        assert_eq!(store.state(ROW).as_deref(), Some("started"));
        first.complete(ticket, &answer(b"\x00body"));
        first.flush().await;
        let ClaimResult::Recorded(recorded) = claim(&service(&server, "n2"), "k1").await else {
            panic!("the response was not recorded");
        };
        assert_eq!(recorded, answer(b"\x00body"));
    }

    /// Guards against an answer, or the news that something ran, that goes to a different request
    /// with the same key, from another node or before a refusal.
    key_of_another_request_is_refused => {
        let (_store, server) = FakeStore::bind().await;
        let (first, second) = (service(&server, "n1"), service(&server, "n2"));
        let ticket = granted(&first, "k1").await;
        for service in [&first, &second] {
            let result = claim_for(service, "k1", "other").await;
            assert!(matches!(result, ClaimResult::KeyReused), "{result:?}");
        }
        first.complete(ticket, &answer(b"first"));
        first.flush().await;
        let result = claim_for(&second, "k1", "other").await;
        assert!(matches!(result, ClaimResult::KeyReused), "{result:?}");
        let history = second.history("intake", "k1", &fingerprint("other")).await;
        assert_eq!(history, KeyHistory::KeyReused);
        let history = second.history("intake", "k1", &fingerprint("first")).await;
        assert_eq!(history, KeyHistory::Recorded(answer(b"first")));
    }

    /// Guards against the fingerprint of a request that was not sent: a different request that
    /// takes over its claim must put its own fingerprint into the row.
    unsent_claim_passes_to_another_request => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let ticket = granted(&first, "k1").await;
        // The frozen write of k2 keeps the removal of k1 waiting.
        store.faults.frozen.store(true, Ordering::SeqCst);
        abandoned(&first, "k2", || store.state("claim/00000000/intake/k2").is_some()).await;
        first.release(ticket);
        let (result, ()) = tokio::join!(claim_for(&first, "k1", "other"), async {
            store.faults.frozen.store(false, Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(20)).await;
            store.faults.release.notify_waiters();
        });
        let ClaimResult::Granted(ticket) = result else {
            panic!("not granted: {result:?}");
        };
        let second = service(&server, "n2");
        assert!(matches!(claim_for(&second, "k1", "other").await, ClaimResult::MayHaveRun));
        assert!(matches!(claim(&second, "k1").await, ClaimResult::KeyReused));
        first.complete(ticket, &answer(b"other"));
        first.flush().await;
        assert!(matches!(claim_for(&second, "k1", "other").await, ClaimResult::Recorded(_)));
    }

    /// Guards against a second run of a request whose response was too large to record.
    large_answer_is_held => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let ticket = granted(&first, "k1").await;
        first.complete(ticket, &answer(&vec![1; MAX_RECORDED_BODY_BYTES + 1]));
        first.flush().await;
        assert_eq!(store.state(ROW).as_deref(), Some("done"));
        assert!(matches!(claim(&first, "k1").await, ClaimResult::MayHaveRun));
    }

    /// Guards against two homes that both send the request of one key.
    one_of_two_racing_claimers_is_granted => {
        let (_store, server) = FakeStore::bind().await;
        let (first, second) = (service(&server, "n1"), service(&server, "n2"));
        for round in 0..50 {
            let key = format!("k{round}");
            let results = tokio::join!(claim(&first, &key), claim(&second, &key), claim(&first, &key));
            let results = [results.0, results.1, results.2];
            let granted = results.iter().filter(|r| matches!(r, ClaimResult::Granted(_)));
            let held = results.iter().filter(|r| matches!(r, ClaimResult::MayHaveRun));
            assert_eq!((granted.count(), held.count()), (1, 2), "{results:?}");
        }
    }

    /// Guards against a claim that is lost, or granted twice, when the response to its write is
    /// lost.
    lost_response_of_a_claim => {
        let (store, server) = FakeStore::bind().await;
        store.faults.lost_responses.store(1, Ordering::SeqCst);
        let first = service(&server, "n1");
        let ticket = granted(&first, "k1").await;
        assert_eq!(first.counters().lost_responses, 1);
        assert!(matches!(claim(&service(&server, "n2"), "k1").await, ClaimResult::MayHaveRun));
        first.complete(ticket, &answer(b"once"));
        first.flush().await;
        assert_eq!(store.state(ROW).as_deref(), Some("done"));
    }

    /// Guards against a record that is dropped, or that blocks later writes, when the response to
    /// its write is lost.
    lost_response_of_a_completion => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let ticket = granted(&first, "k1").await;
        store.faults.lost_responses.store(2, Ordering::SeqCst);
        first.complete(ticket, &answer(b"once"));
        first.flush().await;
        assert!(matches!(claim(&first, "k1").await, ClaimResult::Recorded(_)));
        assert_eq!(first.counters().dropped_records, 0);
    }

    /// Guards against a key that stays held although its request was never sent.
    lost_response_of_a_release => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let ticket = granted(&first, "k1").await;
        store.faults.lost_responses.store(1, Ordering::SeqCst);
        first.release(ticket);
        first.flush().await;
        assert_eq!(store.state(ROW), None);
        granted(&service(&server, "n2"), "k1").await;
    }

    /// Guards against a claim of a caller that left while the write was in flight: it must be
    /// removed, not kept as if its request had been sent.
    grant_that_nobody_takes_is_released => {
        let (store, server) = FakeStore::bind().await;
        store.faults.frozen.store(true, Ordering::SeqCst);
        let first = service(&server, "n1");
        abandoned(&first, "k1", || store.state(ROW).is_some()).await;
        store.faults.frozen.store(false, Ordering::SeqCst);
        store.faults.release.notify_waiters();
        wait_until(|| store.state(ROW).is_none()).await;
        granted(&service(&server, "n2"), "k1").await;
    }

    /// Guards against a write that takes effect long after its claim was given up: the same
    /// process must recognise its own token, and remove the row if the key does not come back.
    late_write_of_a_claim_given_up => {
        let (store, server) = FakeStore::bind().await;
        store.faults.late_writes.store(2, Ordering::SeqCst);
        let first = service(&server, "n1");
        for (key, left) in [("k1", 1), ("k2", 0)] {
            abandoned(&first, key, || store.faults.late_writes.load(Ordering::SeqCst) == left).await;
            // The removal must have found no row before the next write is sent.
            first.flush().await;
        }
        first.flush().await;
        store.faults.release.notify_waiters();
        wait_until(|| store.state(ROW).is_some()).await;
        granted(&first, "k1").await;
        wait_until(|| store.state("claim/00000000/intake/k2").is_none()).await;
        assert_eq!(store.state(ROW).as_deref(), Some("started"));
    }

    /// Guards against claims that wait beyond their deadline, and against a tight loop, while the
    /// store is down; and against records that are lost in the outage.
    outage => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let ticket = granted(&first, "k0").await;
        store.faults.outage.store(true, Ordering::SeqCst);
        let before = store.calls.load(Ordering::SeqCst);
        first.complete(ticket, &answer(b"kept"));
        unavailable(&first, "k1").await;
        // 10 ms doubling, at least halved by jitter, with a read and a write in each step.
        assert!(store.calls.load(Ordering::SeqCst) - before <= 24);
        store.faults.outage.store(false, Ordering::SeqCst);
        assert!(matches!(claim(&first, "k0").await, ClaimResult::Recorded(_)));
        granted(&first, "k1").await;
    }

    /// Guards against a store access for a key that comes back before its removal was written.
    released_key_is_granted_again_in_an_outage => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        // The frozen write of k2 keeps the removal of k1 waiting.
        let ticket = granted(&first, "k1").await;
        store.faults.frozen.store(true, Ordering::SeqCst);
        abandoned(&first, "k2", || store.state("claim/00000000/intake/k2").is_some()).await;
        first.release(ticket);
        store.faults.outage.store(true, Ordering::SeqCst);
        let (again, ()) = tokio::join!(granted(&first, "k1"), async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            store.faults.release.notify_waiters();
        });
        store.faults.frozen.store(false, Ordering::SeqCst);
        store.faults.outage.store(false, Ordering::SeqCst);
        first.complete(again, &answer(b"once"));
        first.flush().await;
        assert_eq!(store.state(ROW).as_deref(), Some("done"));
    }

    /// Guards against a second run while the first claimer is frozen between its claim and its
    /// request.
    frozen_claimer_keeps_its_claim => {
        let (store, server) = FakeStore::bind().await;
        let first = Arc::new(service(&server, "n1"));
        store.faults.frozen.store(true, Ordering::SeqCst);
        let frozen = Arc::clone(&first);
        let frozen = tokio::spawn(async move { granted(&frozen, "k1").await });
        wait_until(|| store.state(ROW).is_some()).await;
        store.faults.frozen.store(false, Ordering::SeqCst);
        assert!(matches!(claim(&service(&server, "n2"), "k1").await, ClaimResult::MayHaveRun));
        store.faults.release.notify_waiters();
        let ticket = frozen.await.unwrap();
        first.complete(ticket, &answer(b"once"));
        first.flush().await;
        assert!(matches!(claim(&service(&server, "n2"), "k1").await, ClaimResult::Recorded(_)));
    }

    /// Guards against one transaction per claim, and against one conflicting key that fails the
    /// other claims of its batch.
    claims_share_transactions => {
        let (store, server) = FakeStore::bind().await;
        let first = Arc::new(service(&server, "n1"));
        store.put("claim/00000000/intake/b7", json!({"foreign": true}));
        store.faults.frozen.store(true, Ordering::SeqCst);
        let mut claims = tokio::task::JoinSet::new();
        let batch = Arc::clone(&first);
        claims.spawn(async move { claim(&batch, "opener").await });
        wait_until(|| store.state("claim/00000000/intake/opener").is_some()).await;
        let sent = Arc::new(AtomicUsize::new(0));
        for number in 0..64 {
            let (batch, sent) = (Arc::clone(&first), Arc::clone(&sent));
            claims.spawn(async move {
                sent.fetch_add(1, Ordering::SeqCst);
                claim(&batch, &format!("b{number}")).await
            });
        }
        wait_until(|| sent.load(Ordering::SeqCst) == 64).await;
        store.faults.frozen.store(false, Ordering::SeqCst);
        store.faults.release.notify_waiters();
        let results = claims.join_all().await;
        let held = results.iter().filter(|r| matches!(r, ClaimResult::MayHaveRun)).count();
        let granted = results.iter().filter(|r| matches!(r, ClaimResult::Granted(_))).count();
        assert_eq!((granted, held), (64, 1));
        let counters = first.counters();
        assert_eq!((counters.writes, counters.conflicts), (64, 1));
        assert!(counters.batches <= 8, "{counters:?}");
    }

    /// Guards against a store that refuses large transactions, which would stop all claims.
    refused_batches_shrink => {
        let (store, server) = FakeStore::bind().await;
        store.faults.max_writes.store(3, Ordering::SeqCst);
        let first = Arc::new(service(&server, "n1"));
        let mut claims = tokio::task::JoinSet::new();
        for number in 0..32 {
            let batch = Arc::clone(&first);
            claims.spawn(async move { claim(&batch, &format!("b{number}")).await });
        }
        let results = claims.join_all().await;
        assert!(results.iter().all(|r| matches!(r, ClaimResult::Granted(_))), "{results:?}");
    }

    /// Guards against completion records that fill the memory of the node in a long outage.
    records_are_bounded => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let mut tickets = Vec::new();
        for number in 0..800 {
            tickets.push(granted(&first, &format!("k{number}")).await);
        }
        store.faults.outage.store(true, Ordering::SeqCst);
        for ticket in tickets {
            first.complete(ticket, &answer(&[1; MAX_RECORDED_BODY_BYTES]));
        }
        // 16 MiB hold 747 records of 16 KiB in base64 with their overhead.
        assert!(first.counters().dropped_records >= 50, "{:?}", first.counters());
    }
}
