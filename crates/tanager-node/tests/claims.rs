//! Tests that a request with an idempotency key runs at most once (R5).

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

async fn expect_grant(service: &ClaimService, key: &str) -> ClaimGrant {
    match claim(service, key).await {
        ClaimResult::Granted(grant) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

async fn expect_unavailable(service: &ClaimService, key: &str) {
    let deadline = Instant::now() + Duration::from_millis(300);
    let result = service.claim("intake", key, fingerprint("first"), deadline);
    let result = result.await;
    assert!(matches!(result, ClaimResult::Unavailable), "{result:?}");
}

/// Starts a claim and drops its future once `sent` returns true, as when the caller disconnects.
async fn abandoned(service: &ClaimService, key: &str, sent: impl Fn() -> bool) {
    tokio::select! {
        result = claim(service, key) => panic!("not abandoned: {result:?}"),
        () = wait_until(sent) => {}
    }
}

fn response(body: &[u8]) -> EndpointResponse {
    EndpointResponse {
        status: 201,
        headers: vec![("x-part".to_owned(), vec![0xe9, b'a'])],
        body: body.to_vec(),
    }
}

async_cases! {
    /// Guards against a retry that runs again after the first run was recorded, and against a
    /// recorded response that differs from the original.
    recorded_response_is_returned => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k1").await;
        assert_eq!(store.state(ROW).as_deref(), Some("started"));
        first.complete(grant, &response(b"\x00body"));
        first.flush().await;
        let ClaimResult::Recorded(recorded) = claim(&service(&server, "n2"), "k1").await else {
            panic!("the response was not recorded");
        };
        assert_eq!(recorded, response(b"\x00body"));
    }

    /// Guards against a different request with the same key that gets the recorded response, or is
    /// told that it may have run: by the same node, by another node, or by the key history that is
    /// read before a refusal.
    key_of_another_request_is_refused => {
        let (_store, server) = FakeStore::bind().await;
        let (first, second) = (service(&server, "n1"), service(&server, "n2"));
        let grant = expect_grant(&first, "k1").await;
        for service in [&first, &second] {
            let result = claim_for(service, "k1", "other").await;
            assert!(matches!(result, ClaimResult::KeyReused), "{result:?}");
        }
        first.complete(grant, &response(b"first"));
        first.flush().await;
        let result = claim_for(&second, "k1", "other").await;
        assert!(matches!(result, ClaimResult::KeyReused), "{result:?}");
        let history = second.history("intake", "k1", &fingerprint("other")).await;
        assert_eq!(history, KeyHistory::KeyReused);
        let history = second.history("intake", "k1", &fingerprint("first")).await;
        assert_eq!(history, KeyHistory::Recorded(response(b"first")));
    }

    /// Guards against keeping the fingerprint of a request that was not sent: a different request
    /// that reuses its claim must write its own fingerprint into the row.
    unsent_claim_is_reused_by_another_request => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k1").await;
        // The blocked write of k2 delays the removal of k1.
        store.faults.frozen.store(true, Ordering::SeqCst);
        abandoned(&first, "k2", || store.state("claim/00000000/intake/k2").is_some()).await;
        first.release(grant);
        let (result, ()) = tokio::join!(claim_for(&first, "k1", "other"), async {
            store.faults.frozen.store(false, Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(20)).await;
            store.faults.release.notify_waiters();
        });
        let ClaimResult::Granted(grant) = result else {
            panic!("not granted: {result:?}");
        };
        let second = service(&server, "n2");
        assert!(matches!(claim_for(&second, "k1", "other").await, ClaimResult::MayHaveRun));
        assert!(matches!(claim(&second, "k1").await, ClaimResult::KeyReused));
        first.complete(grant, &response(b"other"));
        first.flush().await;
        assert!(matches!(claim_for(&second, "k1", "other").await, ClaimResult::Recorded(_)));
    }

    /// Guards against a second run of a request whose response was too large to record.
    large_response_is_not_run_again => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k1").await;
        first.complete(grant, &response(&vec![1; MAX_RECORDED_BODY_BYTES + 1]));
        first.flush().await;
        assert_eq!(store.state(ROW).as_deref(), Some("done"));
        assert!(matches!(claim(&first, "k1").await, ClaimResult::MayHaveRun));
    }

    /// Guards against two homes that both send a request with the same key.
    one_of_several_concurrent_claims_is_granted => {
        let (_store, server) = FakeStore::bind().await;
        let (first, second) = (service(&server, "n1"), service(&server, "n2"));
        for round in 0..50 {
            let key = format!("k{round}");
            let results =
                tokio::join!(claim(&first, &key), claim(&second, &key), claim(&first, &key));
            let results = [results.0, results.1, results.2];
            let granted = results.iter().filter(|r| matches!(r, ClaimResult::Granted(_)));
            let may_have_run = results.iter().filter(|r| matches!(r, ClaimResult::MayHaveRun));
            assert_eq!((granted.count(), may_have_run.count()), (1, 2), "{results:?}");
        }
    }

    /// Guards against a claim that is lost, or granted twice, when the response to its write is
    /// lost.
    lost_response_of_a_claim => {
        let (store, server) = FakeStore::bind().await;
        store.faults.lost_responses.store(1, Ordering::SeqCst);
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k1").await;
        assert_eq!(first.counters().lost_responses, 1);
        assert!(matches!(claim(&service(&server, "n2"), "k1").await, ClaimResult::MayHaveRun));
        first.complete(grant, &response(b"once"));
        first.flush().await;
        assert_eq!(store.state(ROW).as_deref(), Some("done"));
    }

    /// Guards against a record that is dropped, or that blocks later writes, when the response to
    /// its write is lost.
    lost_response_of_a_completion => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k1").await;
        store.faults.lost_responses.store(2, Ordering::SeqCst);
        first.complete(grant, &response(b"once"));
        first.flush().await;
        assert!(matches!(claim(&first, "k1").await, ClaimResult::Recorded(_)));
        assert_eq!(first.counters().dropped_records, 0);
    }

    /// Guards against a key that stays claimed although its request was never sent.
    lost_response_of_a_release => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k1").await;
        store.faults.lost_responses.store(1, Ordering::SeqCst);
        first.release(grant);
        first.flush().await;
        assert_eq!(store.state(ROW), None);
        expect_grant(&service(&server, "n2"), "k1").await;
    }

    /// Guards against keeping the claim of a caller that disconnected while the claim was written:
    /// its request was never sent, so the row must be removed.
    grant_of_a_disconnected_caller_is_released => {
        let (store, server) = FakeStore::bind().await;
        store.faults.frozen.store(true, Ordering::SeqCst);
        let first = service(&server, "n1");
        abandoned(&first, "k1", || store.state(ROW).is_some()).await;
        store.faults.frozen.store(false, Ordering::SeqCst);
        store.faults.release.notify_waiters();
        wait_until(|| store.state(ROW).is_none()).await;
        expect_grant(&service(&server, "n2"), "k1").await;
    }

    /// Guards against a write that takes effect long after its claim was abandoned: the process
    /// must recognise its own token, and remove the row if the key is not claimed again.
    late_write_of_a_claim_given_up => {
        let (store, server) = FakeStore::bind().await;
        store.faults.late_writes.store(2, Ordering::SeqCst);
        let first = service(&server, "n1");
        for (key, left) in [("k1", 1), ("k2", 0)] {
            abandoned(&first, key, || store.faults.late_writes.load(Ordering::SeqCst) == left).await;
            store.faults.answer_late_write.notify_one();
            // The removal must have found no row before the next write is sent.
            first.flush().await;
        }
        first.flush().await;
        store.faults.release.notify_waiters();
        wait_until(|| store.state(ROW).is_some()).await;
        expect_grant(&first, "k1").await;
        wait_until(|| store.state("claim/00000000/intake/k2").is_none()).await;
        assert_eq!(store.state(ROW).as_deref(), Some("started"));
    }

    /// Guards against claims that wait beyond their deadline and against a busy loop during an
    /// outage of the store, and against records that are lost in the outage.
    claims_and_records_survive_an_outage => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let grant = expect_grant(&first, "k0").await;
        store.faults.outage.store(true, Ordering::SeqCst);
        let before = store.calls.load(Ordering::SeqCst);
        first.complete(grant, &response(b"kept"));
        expect_unavailable(&first, "k1").await;
        // The retry delay starts at 10 ms and doubles; jitter halves it at most. Each try reads and
        // writes once.
        assert!(store.calls.load(Ordering::SeqCst) - before <= 24);
        store.faults.outage.store(false, Ordering::SeqCst);
        assert!(matches!(claim(&first, "k0").await, ClaimResult::Recorded(_)));
        expect_grant(&first, "k1").await;
    }

    /// Guards against accessing the store for a key that is claimed again before its removal was
    /// written.
    released_key_is_granted_again_in_an_outage => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        // The blocked write of k2 delays the removal of k1.
        let grant = expect_grant(&first, "k1").await;
        store.faults.frozen.store(true, Ordering::SeqCst);
        abandoned(&first, "k2", || store.state("claim/00000000/intake/k2").is_some()).await;
        first.release(grant);
        store.faults.outage.store(true, Ordering::SeqCst);
        let (second_grant, ()) = tokio::join!(expect_grant(&first, "k1"), async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            store.faults.release.notify_waiters();
        });
        store.faults.frozen.store(false, Ordering::SeqCst);
        store.faults.outage.store(false, Ordering::SeqCst);
        first.complete(second_grant, &response(b"once"));
        first.flush().await;
        assert_eq!(store.state(ROW).as_deref(), Some("done"));
    }

    /// Guards against a second run while the process that claimed the key first is frozen between
    /// its claim and its request.
    frozen_process_keeps_its_claim => {
        let (store, server) = FakeStore::bind().await;
        let first = Arc::new(service(&server, "n1"));
        store.faults.frozen.store(true, Ordering::SeqCst);
        let shared = Arc::clone(&first);
        let frozen_claim = tokio::spawn(async move { expect_grant(&shared, "k1").await });
        wait_until(|| store.state(ROW).is_some()).await;
        store.faults.frozen.store(false, Ordering::SeqCst);
        assert!(matches!(claim(&service(&server, "n2"), "k1").await, ClaimResult::MayHaveRun));
        store.faults.release.notify_waiters();
        let grant = frozen_claim.await.unwrap();
        first.complete(grant, &response(b"once"));
        first.flush().await;
        assert!(matches!(claim(&service(&server, "n2"), "k1").await, ClaimResult::Recorded(_)));
    }

    /// Guards against one transaction per claim, and against a conflicting key that makes the other
    /// claims of its batch fail.
    claims_are_batched_into_transactions => {
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
        let may_have_run = results.iter().filter(|r| matches!(r, ClaimResult::MayHaveRun)).count();
        let granted = results.iter().filter(|r| matches!(r, ClaimResult::Granted(_))).count();
        assert_eq!((granted, may_have_run), (64, 1));
        let counters = first.counters();
        assert_eq!((counters.writes, counters.conflicts), (64, 1));
        assert!(counters.batches <= 8, "{counters:?}");
    }

    /// Guards against blocking all claims when the store refuses large transactions.
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

    /// Guards against completion records that exhaust the memory of the node in a long outage.
    unwritten_records_are_bounded => {
        let (store, server) = FakeStore::bind().await;
        let first = service(&server, "n1");
        let mut grants = Vec::new();
        for number in 0..800 {
            grants.push(expect_grant(&first, &format!("k{number}")).await);
        }
        store.faults.outage.store(true, Ordering::SeqCst);
        for grant in grants {
            first.complete(grant, &response(&[1; MAX_RECORDED_BODY_BYTES]));
        }
        // 16 MiB hold 747 records of 16 KiB in base64 with their overhead.
        assert!(first.counters().dropped_records >= 50, "{:?}", first.counters());
    }
}
