//! Tests of the HTTP interface for callers.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::ServerLimits;
use tanager_http::pool::PoolLimits;
use tanager_node::caller::CallerHandlers;
use tanager_node::caller::CallerLimits;
use tanager_node::caller::CallerServer;
use tanager_node::caller::convert::response_from_outcome;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::ForwardRequest;

use common::HANG_TIMEOUT;
use common::LOCALHOST;
use common::wait_until;

const MAX_BODY: usize = 1_000;

type SubmittedRequests = Arc<Mutex<Vec<ForwardRequest>>>;

/// Starts a caller interface that responds 200 to each request; requests to the pool `stuck` get no
/// response. Also returns the list of submitted requests.
async fn bind() -> (CallerServer, SubmittedRequests) {
    let submitted = SubmittedRequests::default();
    let handler_requests = Arc::clone(&submitted);
    let handlers = CallerHandlers {
        submit: Arc::new(move |request| {
            let stuck = request.pool == "stuck";
            handler_requests.lock().unwrap().push(request);
            Box::pin(async move {
                if stuck {
                    std::future::pending::<()>().await;
                }
                RequestOutcome::Answered(EndpointResponse {
                    status: 200,
                    ..EndpointResponse::default()
                })
            })
        }),
        issue_ticket: Arc::new(|| Some("ticket-n1-5-0".to_owned())),
        request_id: Arc::new(|| "request-1".to_owned()),
    };
    let limits = CallerLimits {
        server: ServerLimits {
            max_body: MAX_BODY,
            ..ServerLimits::default()
        },
        ..CallerLimits::default()
    };
    (
        CallerServer::bind(LOCALHOST, limits, handlers)
            .await
            .unwrap(),
        submitted,
    )
}

fn post(path: &str, headers: &[(&'static str, Vec<u8>)], body: usize) -> HttpRequest {
    let mut request = HttpRequest::new(Method::POST, path, vec![b'x'; body]);
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value).unwrap();
        request.headers.append(HeaderName::from_static(name), value);
    }
    request
}

fn client(server: &CallerServer) -> ClientPool {
    ClientPool::new(server.address(), PoolLimits::default())
}

/// Generates requests that are invalid in one way each.
fn invalid_requests() -> impl Strategy<Value = HttpRequest> {
    let header = |name: &'static str, value: Vec<u8>| post("/intake/a", &[(name, value)], 0);
    let priority = "[a-zA-Z]{1,9}".prop_filter("valid", |text| {
        !["urgent", "normal", "batch"].contains(&text.as_str())
    });
    let timeout = prop_oneof![
        "0{1,5}",
        "[+-][0-9]{1,5}",
        "[0-9]{1,3}[a-z.]",
        "[4-9][0-9]{6,30}"
    ];
    let long_key = "[!-~]{129,300}";
    let bad_key = prop_oneof!["[a-z]{1,9}[ \t][a-z]{1,9}", Just(String::new())];
    let binary_key = proptest::collection::vec(0x80_u8..=0xff, 1..20);
    let repeated = proptest::sample::select(vec![
        "idempotency-key",
        "tanager-team",
        "tanager-priority",
        "tanager-timeout-ms",
        "tanager-slots",
    ]);
    let pool = prop_oneof!["[A-Z~%!.-][a-z%]{0,9}", "[a-z]{65,99}", Just(String::new())];
    prop_oneof![
        priority.prop_map(move |text| header("tanager-priority", text.into())),
        timeout
            .clone()
            .prop_map(move |text| header("tanager-timeout-ms", text.into())),
        "[0-9]{0,3}[a-z]|0|[5-9][0-9]{9}"
            .prop_map(move |text| header("tanager-slots", text.into())),
        "[A-Z][a-z]{0,9}|[a-z]{65,80}".prop_map(move |text| header("tanager-team", text.into())),
        long_key.prop_map(move |text| header("idempotency-key", text.into())),
        bad_key.prop_map(move |text| header("idempotency-key", text.into())),
        binary_key.prop_map(move |value| header("idempotency-key", value)),
        repeated.prop_map(|name| post("/intake/a", &[(name, b"1".into()), (name, b"1".into())], 0)),
        pool.prop_map(|pool| post(&format!("/{pool}/a"), &[], 0)),
        (MAX_BODY + 1..MAX_BODY * 20).prop_map(|size| post("/intake/a", &[], size)),
    ]
}

/// Guards against invalid requests that reach the dispatcher, and against refusals without the
/// outcome `not-run`.
#[test]
fn invalid_requests_are_not_dispatched() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let (server, submitted) = runtime.block_on(bind());
    let pool = client(&server);
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&invalid_requests(), |request| {
        let response = runtime
            .block_on(pool.exchange(&request, HANG_TIMEOUT))
            .unwrap();
        let status = response.status.as_u16();
        assert!(matches!(status, 400 | 413), "{status}");
        assert_eq!(response.header("tanager-outcome"), Some("not-run"));
        assert!(!response.body.is_empty());
        assert!(submitted.lock().unwrap().is_empty());
        Ok(())
    });
    result.unwrap();
    let outcome_counts = server.counters().snapshot();
    assert_eq!(
        outcome_counts.values().sum::<u64>(),
        400,
        "{outcome_counts:?}"
    );
    assert!(
        outcome_counts
            .keys()
            .all(|(outcome, _)| *outcome == "not-run"),
        "{outcome_counts:?}"
    );
}

macro_rules! outcome_cases {
    ($($case:ident: $outcome:expr
        => $status:literal $name:literal $reason:expr, retry after $retry:expr;)*) => {
        $(#[test]
        fn $case() {
            let response = response_from_outcome($outcome);
            assert_eq!(response.status, $status);
            assert_eq!(response.header("tanager-outcome"), Some($name));
            let reason: Option<&str> = $reason;
            assert_eq!(response.header("tanager-reason"), reason);
            let retry_after: Option<&str> = $retry;
            assert_eq!(response.header("retry-after"), retry_after);
        })*
    };
}

fn not_run(reason: NotRunReason, millis: Option<u64>) -> RequestOutcome {
    RequestOutcome::NotRun(NotRunOutcome {
        reason,
        message: String::new(),
        retry_after: millis.map(Duration::from_millis),
    })
}

fn unknown(reason: UnknownReason, millis: Option<u64>) -> RequestOutcome {
    RequestOutcome::Unknown(UnknownOutcome {
        reason,
        message: String::new(),
        retry_after: millis.map(Duration::from_millis),
    })
}

fn answered(status: u16, headers: &[(&str, &str)]) -> RequestOutcome {
    let headers = headers.iter();
    RequestOutcome::Answered(EndpointResponse {
        status,
        headers: headers
            .map(|(name, value)| ((*name).to_owned(), (*value).into()))
            .collect(),
        body: b"\x00\xff".to_vec(),
    })
}

// Guards against a status, outcome, reason or retry time that makes a caller retry wrongly.
outcome_cases! {
    bad_request: not_run(NotRunReason::BadRequest, None)
        => 400 "not-run" Some("bad_request"), retry after None;
    unknown_pool: not_run(NotRunReason::UnknownPool, None)
        => 404 "not-run" Some("unknown_pool"), retry after None;
    quota_retry_time_rounds_up: not_run(NotRunReason::QuotaExceeded, Some(1_001))
        => 429 "not-run" Some("quota_exceeded"), retry after Some("2");
    full_queue_without_retry_time: not_run(NotRunReason::QueueFull, None)
        => 503 "not-run" Some("queue_full"), retry after Some("1");
    zero_retry_time_becomes_one_second: not_run(NotRunReason::NoWorker, Some(0))
        => 503 "not-run" Some("no_worker"), retry after Some("1");
    unknown_without_retry_time: unknown(UnknownReason::Timeout, None)
        => 504 "unknown" Some("timeout"), retry after None;
    unknown_with_retry_time: unknown(UnknownReason::HomeLost, Some(3_000))
        => 502 "unknown" Some("home_lost"), retry after Some("3");
    retry_after_of_the_endpoint_is_kept: answered(503, &[("retry-after", "9")])
        => 503 "answered" None, retry after Some("9");
    forged_outcome_headers_are_removed:
        answered(200, &[("tanager-outcome", "not-run"), ("tanager-reason", "queue_full")])
        => 200 "answered" None, retry after None;
    invalid_header: answered(200, &[("a b", "")])
        => 502 "unknown" Some("bad_answer"), retry after None;
}

/// Guards against an endpoint's response that is changed on its way to the caller.
#[test]
fn endpoint_response_is_unchanged() {
    let response =
        response_from_outcome(answered(418, &[("set-cookie", "a"), ("set-cookie", "b")]));
    let cookies: Vec<_> = response.headers.get_all("set-cookie").iter().collect();
    assert_eq!(cookies, ["a", "b"]);
    assert_eq!(
        (response.status.as_u16(), &response.body[..]),
        (418, &b"\x00\xff"[..])
    );
}

async fn send(server: &CallerServer, request: HttpRequest) -> HttpResponse {
    client(server)
        .exchange(&request, HANG_TIMEOUT)
        .await
        .unwrap()
}

async_cases! {
    /// Guards against request fields that do not reach the dispatcher.
    request_fields_reach_the_dispatcher => {
        let (server, submitted) = bind().await;
        let headers = [("idempotency-key", "k~1"), ("tanager-team", "north"),
            ("tanager-priority", "urgent"), ("tanager-timeout-ms", "250"), ("tanager-slots", "2"), ("x-kept", "1"),
            ("tanager-request-id", "forged"), ("te", "trailers")];
        let headers = headers.map(|(name, value)| (name, value.into()));
        send(&server, post("/intake/a/b%20c?x=1&y", &headers, 3)).await;
        send(&server, HttpRequest::new(Method::GET, "/intake?x", "")).await;
        let submitted = submitted.lock().unwrap().clone();
        let names: Vec<_> =
            submitted[0].headers.iter().map(|header| header.name.as_str()).collect();
        assert!(names.contains(&"x-kept") && names.contains(&"idempotency-key"), "{names:?}");
        assert!(!names.contains(&"te") && !names.contains(&"tanager-request-id"), "{names:?}");
        let expected = ForwardRequest {
            request_id: "request-1".to_owned(),
            pool: "intake".to_owned(),
            method: "POST".to_owned(),
            path: "/a/b%20c?x=1&y".to_owned(),
            headers: submitted[0].headers.clone(),
            body: b"xxx".to_vec(),
            priority: "urgent".to_owned(),
            team: "north".to_owned(),
            timeout_ms: 250,
            idempotency_key: "k~1".to_owned(),
            slots: 2,
        };
        assert_eq!(submitted[0], expected);
        assert_eq!((submitted[1].path.as_str(), submitted[1].timeout_ms), ("/?x", 30_000));
        assert_eq!((submitted[1].priority.as_str(), submitted[1].slots), ("normal", 0));
    }

    /// Guards against a ticket request that is dispatched to a pool named `tickets`, and against a
    /// ticket path that makes that pool unreachable.
    ticket_path_is_not_a_pool => {
        let (server, submitted) = bind().await;
        let response = send(&server, HttpRequest::new(Method::POST, "/tickets", "")).await;
        assert_eq!((response.status.as_u16(), &response.body[..]), (200, &b"ticket-n1-5-0"[..]));
        assert!(submitted.lock().unwrap().is_empty());
        send(&server, HttpRequest::new(Method::GET, "/tickets/a", "")).await;
        assert_eq!(submitted.lock().unwrap().len(), 1);
    }

    /// Guards against requests that stay queued although their callers disconnected.
    disconnect_cancels_the_request => {
        let (server, submitted) = bind().await;
        let pool = client(&server);
        let stuck = HttpRequest::new(Method::GET, "/stuck/a", "");
        tokio::select! {
            _ = pool.exchange(&stuck, HANG_TIMEOUT) => panic!("answered"),
            () = wait_until(|| !submitted.lock().unwrap().is_empty()) => {}
        }
        let counters = server.counters();
        let expected = BTreeMap::from([(("cancelled", ""), 1)]);
        wait_until(|| counters.snapshot() == expected).await;
        server.stop().await;
    }
}
