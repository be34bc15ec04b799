//! Idempotency keys, tickets and faulty endpoints under load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use tokio::time;

use tanager_http::HttpRequest;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::plan::plan_requests;
use tanager_standin::platform::OutageMode;
use tanager_standin::verification::CallerOutcome;

use crate::caller::ReportedOutcome;
use crate::caller::assert_answered_percent;
use crate::caller::assert_one_response;
use crate::caller::count_runs;
use crate::caller::keyed_post;
use crate::caller::send_request;
use crate::caller::send_to_all;
use crate::caller::send_until_answered;
use crate::caller::spawn_load;
use crate::harness::POOLS;
use crate::harness::TestSite;
use crate::harness::call;
use crate::nodes::assert_verdict;

/// Time until the other nodes no longer select a killed node as a home.
const HOME_CHANGE_TIME: Duration = Duration::from_secs(4);

/// Guards against a second run if requests with one key arrive through several nodes at once, and
/// if the next home does not know which requests a killed home ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_key_through_all_nodes_runs_once() {
    let mut site = TestSite::start(4, 12, 1).await;
    let load = spawn_load(site.load_options(21, 60.0, Duration::from_secs(10)));
    let home = site.home_of("alpha");
    let others: Vec<SocketAddr> = (0..4)
        .filter(|node| *node != home)
        .map(|node| site.nodes[node].caller_address)
        .collect();
    let completed: Vec<HttpRequest> = requests("settled", 20, Duration::from_millis(30));
    let interrupted: Vec<HttpRequest> = requests("cut", 10, Duration::from_millis(600));
    let mut outcomes_by_key: BTreeMap<String, Vec<ReportedOutcome>> = BTreeMap::new();
    for request in &completed {
        let outcomes = send_to_all(&others, request).await;
        outcomes_by_key.insert(key_of(request), outcomes);
    }
    // The record of a response is written after the response is sent. If the home dies in between,
    // only the claim remains and retries get the outcome unknown.
    time::sleep(Duration::from_secs(1)).await;
    let in_progress: Vec<_> = interrupted
        .iter()
        .map(|request| {
            let (others, request) = (others.clone(), request.clone());
            tokio::spawn(async move { (key_of(&request), send_to_all(&others, &request).await) })
        })
        .collect();
    time::sleep(Duration::from_millis(300)).await;
    site.nodes[home].kill();
    for call in in_progress {
        let (key, outcomes) = call.await.expect("caller");
        outcomes_by_key.insert(key, outcomes);
    }
    for request in completed.iter().chain(&interrupted) {
        let outcomes = send_to_all(&others, request).await;
        outcomes_by_key
            .get_mut(&key_of(request))
            .expect("outcomes of the key")
            .extend(outcomes);
    }
    time::sleep(HOME_CHANGE_TIME).await;
    for request in completed.iter().chain(&interrupted) {
        let outcomes = send_to_all(&others, request).await;
        let known = outcomes_by_key
            .get_mut(&key_of(request))
            .expect("outcomes of the key");
        if known[..3]
            .iter()
            .any(|outcome| outcome.response().is_some())
        {
            let repeated = outcomes.iter().all(|outcome| outcome.response().is_some());
            assert!(
                repeated,
                "{}: {known:?}, then {outcomes:?}",
                key_of(request)
            );
        }
        known.extend(outcomes);
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 50);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &outcomes_by_key {
        assert!(count_runs(&runs, key) <= 1, "{key}: {outcomes:?}");
        assert_one_response(key, outcomes);
    }
    for request in &completed {
        let outcomes = &outcomes_by_key[&key_of(request)];
        let answered = outcomes.iter().any(|outcome| outcome.response().is_some());
        assert!(answered, "{}: {outcomes:?}", key_of(request));
    }
}

/// Guards against a second run and against a lost response if a caller disconnects and retries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_disconnects_gets_the_recorded_response() {
    let site = TestSite::start(3, 12, 1).await;
    let load = spawn_load(site.load_options(22, 60.0, Duration::from_secs(6)));
    let caller_addresses = site.caller_addresses();
    let mut retries = Vec::new();
    for (number, request) in requests("dropped", 30, Duration::from_millis(300))
        .into_iter()
        .enumerate()
    {
        let mut caller_addresses = caller_addresses.clone();
        caller_addresses.rotate_left(number % 3);
        // The callers disconnect at times between the arrival of the request, before its claim is
        // written, and the run at the endpoint.
        let client_timeout = Duration::from_millis(number as u64 * 8);
        retries.push(tokio::spawn(async move {
            let first = time::timeout(
                client_timeout,
                send_request(caller_addresses[0], request.clone()),
            )
            .await;
            assert!(first.is_err(), "{first:?}");
            caller_addresses.rotate_left(1);
            let outcomes = send_until_answered(&caller_addresses, &request, 6).await;
            let repeated = send_to_all(&caller_addresses, &request).await;
            (key_of(&request), outcomes, repeated)
        }));
    }
    let mut outcomes_by_key = Vec::new();
    for retry in retries {
        outcomes_by_key.push(retry.await.expect("caller"));
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 90);
    let runs = site.endpoints.runs();
    for (key, outcomes, repeated) in &outcomes_by_key {
        assert_eq!(count_runs(&runs, key), 1, "{key}: {outcomes:?}");
        let all: Vec<&ReportedOutcome> = outcomes.iter().chain(repeated).collect();
        assert!(
            repeated.iter().all(|outcome| outcome.response().is_some()),
            "{all:?}"
        );
        assert_one_response(key, all);
    }
}

/// Guards against a second run of a request with a ticket, and against its refusal during an outage
/// of the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ticketed_requests_run_once_through_any_node_in_an_outage() {
    let mut site = TestSite::start(3, 12, 1).await;
    let load = spawn_load(site.load_options(23, 60.0, Duration::from_secs(9)));
    site.set_outage(OutageMode::Hang).await;
    let caller_addresses = site.caller_addresses();
    let mut calls = Vec::new();
    for number in 0..30 {
        let request = HttpRequest::new(Method::POST, "/tickets", "");
        let response = call(caller_addresses[number % 3], request)
            .await
            .expect("ticket");
        assert!(response.status.is_success(), "{response:?}");
        let ticket = String::from_utf8(response.body.to_vec()).expect("ticket");
        let request = keyed_post(POOLS[number % 3], ticket.trim(), Duration::from_millis(30));
        let caller_addresses = caller_addresses.clone();
        calls.push(tokio::spawn(async move {
            let mut outcomes = send_to_all(&caller_addresses, &request).await;
            outcomes.extend(send_to_all(&caller_addresses, &request).await);
            (request, outcomes)
        }));
    }
    let mut outcomes_by_request = Vec::new();
    for call in calls {
        outcomes_by_request.push(call.await.expect("caller"));
    }
    for (request, outcomes) in &outcomes_by_request {
        // The second round is sent after the run has ended.
        let answered = outcomes[3..]
            .iter()
            .all(|outcome| outcome.response().is_some());
        assert!(answered, "{}: {outcomes:?}", key_of(request));
        assert_one_response(&key_of(request), outcomes);
    }
    // Other nodes cannot know whether a request with a ticket of a killed node ran.
    site.nodes[0].kill();
    let others = &caller_addresses[1..];
    for (request, _) in outcomes_by_request.iter().step_by(3) {
        for outcome in send_to_all(others, request).await {
            let unknown = matches!(
                outcome,
                ReportedOutcome::Unknown {
                    retry_after: true,
                    ..
                }
            );
            assert!(unknown, "{}: {outcome:?}", key_of(request));
        }
    }
    site.set_outage(OutageMode::None).await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 30);
    let runs = site.endpoints.runs();
    for (request, outcomes) in &outcomes_by_request {
        assert_eq!(count_runs(&runs, &key_of(request)), 1, "{outcomes:?}");
    }
}

/// Guards against a request that is reported as not run although it ran, because a new request
/// replaced its outcome. Many timeouts expire at the same time as other requests arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expired_requests_are_not_reported_as_not_run() {
    let site = TestSite::start(2, 12, 1).await;
    let slow = EndpointFaults {
        slow_factor: 100.0,
        ..EndpointFaults::default()
    };
    for (vm, _) in site.endpoints.endpoints() {
        site.set_endpoint_faults(&vm, slow.clone()).await;
    }
    let mut options = site.load_options(24, 300.0, Duration::from_secs(4));
    options.mix.timeout = Duration::from_millis(50);
    options.retry = false;
    let report = spawn_load(options).await.expect("load");
    for (vm, _) in site.endpoints.endpoints() {
        site.set_endpoint_faults(&vm, EndpointFaults::default())
            .await;
    }
    assert_verdict(&site, &report).await;
    assert_eq!(report.count("not_run:not_ready"), 0, "{report}");
    assert!(report.count("unknown:timeout") > 100, "{report}");
    // Ejected workers are used again once trial requests succeed.
    time::sleep(Duration::from_secs(3)).await;
    let report = spawn_load(site.load_options(25, 60.0, Duration::from_secs(2))).await;
    let report = report.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 90);
}

/// Guards against responses of other requests, truncated responses, second runs and a pool that
/// serves nothing while half of its workers have a fault.
async fn half_of_a_pool_fails(seed: u64, faults: EndpointFaults) {
    let site = TestSite::start(3, 12, 1).await;
    let mut options = site.load_options(seed, 90.0, Duration::from_secs(7));
    options.mix.timeout = Duration::from_secs(2);
    let pools: BTreeMap<String, String> = plan_requests(&options.mix)
        .into_iter()
        .map(|planned| (planned.id, planned.pool))
        .collect();
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    let workers = site.vms_of("alpha");
    for faulty in &workers[..2] {
        site.set_endpoint_faults(faulty, faults.clone()).await;
    }
    let order_at_fault = site.endpoints.next_order();
    let report = load.await.expect("load");
    for faulty in &workers[..2] {
        let result = site.endpoints.set_faults(faulty, EndpointFaults::default());
        result.await.expect("faults");
    }
    assert_verdict(&site, &report).await;
    let answered = |pool: &str| {
        let records = report.records.iter();
        let records = records.filter(|record| pools[&record.id] == pool);
        let outcomes: Vec<String> = records
            .filter_map(|record| record.outcomes.last())
            .map(CallerOutcome::name)
            .collect();
        let answered = outcomes.iter().filter(|name| *name == "answered").count();
        (answered, outcomes.len())
    };
    for pool in ["beta", "gamma"] {
        let (served, sent) = answered(pool);
        assert!(
            served * 10 >= sent * 9,
            "{pool}: {served} of {sent}\n{report}"
        );
    }
    let (served, sent) = answered("alpha");
    assert!(served * 2 >= sent, "alpha: {served} of {sent}\n{report}");
    println!("alpha: {served} of {sent} answered");
    let runs = site.endpoints.runs();
    let healthy = runs.iter().filter(|run| {
        run.start > order_at_fault && run.completed && workers[2..].contains(&run.endpoint)
    });
    // Pool alpha gets 30 requests per second for 6 s. Without faults, half of them would go to these
    // two workers.
    assert!(
        healthy.count() >= 90,
        "the healthy workers ran too few requests\n{report}"
    );
}

macro_rules! worker_faults {
    ($($name:ident: $seed:literal, $fault:ident;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let faults = EndpointFaults { $fault: true, ..EndpointFaults::default() };
            half_of_a_pool_fails($seed, faults).await;
        }
    )*};
}

worker_faults! {
    half_of_a_pool_truncates_responses: 31, truncate;
    half_of_a_pool_trickles_responses: 32, trickle;
    half_of_a_pool_ends_bodies_by_close: 33, close_delimited;
    half_of_a_pool_sends_responses_of_other_requests: 34, crossed;
    half_of_a_pool_never_responds: 35, silent;
    half_of_a_pool_fails_all_requests: 36, fail_all;
}

fn requests(name: &str, count: usize, service_time: Duration) -> Vec<HttpRequest> {
    let request = |number| keyed_post("alpha", &format!("{name}-{number}"), service_time);
    (0..count).map(request).collect()
}

fn key_of(request: &HttpRequest) -> String {
    request.header("idempotency-key").expect("key").to_owned()
}
