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

use crate::caller::ToldOutcome;
use crate::caller::assert_one_answer;
use crate::caller::assert_served;
use crate::caller::keyed_post;
use crate::caller::runs_of;
use crate::caller::spawn_load;
use crate::caller::tell;
use crate::caller::tell_all;
use crate::caller::tell_until_answered;
use crate::harness::POOLS;
use crate::harness::TestSite;
use crate::harness::call;
use crate::nodes::assert_verdict;

/// Time until the other nodes no longer count a killed node as a home.
const HOME_CHANGE: Duration = Duration::from_secs(4);

/// Guards against a second run when one key arrives through several nodes at once, and when the
/// next home does not know what the killed one ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_key_through_all_nodes_runs_once() {
    let mut site = TestSite::open(4, 12, 1).await;
    let load = spawn_load(site.load(21, 60.0, Duration::from_secs(10)));
    let home = site.home_of("alpha");
    let others: Vec<SocketAddr> = (0..4)
        .filter(|node| *node != home)
        .map(|node| site.nodes[node].caller)
        .collect();
    let settled: Vec<HttpRequest> = requests("settled", 20, Duration::from_millis(30));
    let cut: Vec<HttpRequest> = requests("cut", 10, Duration::from_millis(600));
    let mut told: BTreeMap<String, Vec<ToldOutcome>> = BTreeMap::new();
    for request in &settled {
        let outcomes = tell_all(&others, request).await;
        told.insert(key_of(request), outcomes);
    }
    // The record of an answer is written after the answer; a home that dies in between leaves a
    // claim whose retries are answered unknown.
    time::sleep(Duration::from_secs(1)).await;
    let in_progress: Vec<_> = cut
        .iter()
        .map(|request| {
            let (others, request) = (others.clone(), request.clone());
            tokio::spawn(async move { (key_of(&request), tell_all(&others, &request).await) })
        })
        .collect();
    time::sleep(Duration::from_millis(300)).await;
    site.nodes[home].kill();
    for call in in_progress {
        let (key, outcomes) = call.await.expect("caller");
        told.insert(key, outcomes);
    }
    for request in settled.iter().chain(&cut) {
        let outcomes = tell_all(&others, request).await;
        told.get_mut(&key_of(request))
            .expect("told")
            .extend(outcomes);
    }
    time::sleep(HOME_CHANGE).await;
    for request in settled.iter().chain(&cut) {
        let outcomes = tell_all(&others, request).await;
        let known = told.get_mut(&key_of(request)).expect("told");
        if known[..3].iter().any(|outcome| outcome.answer().is_some()) {
            let repeated = outcomes.iter().all(|outcome| outcome.answer().is_some());
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
    assert_served(&report, 50);
    let runs = site.endpoints.runs();
    for (key, outcomes) in &told {
        assert!(runs_of(&runs, key) <= 1, "{key}: {outcomes:?}");
        assert_one_answer(key, outcomes);
    }
    for request in &settled {
        let outcomes = &told[&key_of(request)];
        let answered = outcomes.iter().any(|outcome| outcome.answer().is_some());
        assert!(answered, "{}: {outcomes:?}", key_of(request));
    }
}

/// Guards against a second run for, and against the loss of the response to, a caller that
/// disconnects and retries.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_disconnects_gets_the_recorded_answer() {
    let site = TestSite::open(3, 12, 1).await;
    let load = spawn_load(site.load(22, 60.0, Duration::from_secs(6)));
    let callers = site.callers();
    let mut retries = Vec::new();
    for (number, request) in requests("dropped", 30, Duration::from_millis(300))
        .into_iter()
        .enumerate()
    {
        let mut callers = callers.clone();
        callers.rotate_left(number % 3);
        // From before the claim is written until after the endpoint began.
        let patience = Duration::from_millis(number as u64 * 8);
        retries.push(tokio::spawn(async move {
            let first = time::timeout(patience, tell(callers[0], request.clone())).await;
            assert!(first.is_err(), "{first:?}");
            callers.rotate_left(1);
            let outcomes = tell_until_answered(&callers, &request, 6).await;
            let repeated = tell_all(&callers, &request).await;
            (key_of(&request), outcomes, repeated)
        }));
    }
    let mut told = Vec::new();
    for retry in retries {
        told.push(retry.await.expect("caller"));
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 90);
    let runs = site.endpoints.runs();
    for (key, outcomes, repeated) in &told {
        assert_eq!(runs_of(&runs, key), 1, "{key}: {outcomes:?}");
        let all: Vec<&ToldOutcome> = outcomes.iter().chain(repeated).collect();
        assert!(
            repeated.iter().all(|told| told.answer().is_some()),
            "{all:?}"
        );
        assert_one_answer(key, all);
    }
}

/// Guards against a second run of ticketed work, and against its refusal while the store is out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tickets_run_once_through_any_node_in_an_outage() {
    let mut site = TestSite::open(3, 12, 1).await;
    let load = spawn_load(site.load(23, 60.0, Duration::from_secs(9)));
    site.set_outage(OutageMode::Hang).await;
    let callers = site.callers();
    let mut calls = Vec::new();
    for number in 0..30 {
        let request = HttpRequest::new(Method::POST, "/tickets", "");
        let response = call(callers[number % 3], request).await.expect("ticket");
        assert!(response.status.is_success(), "{response:?}");
        let ticket = String::from_utf8(response.body.to_vec()).expect("ticket");
        let request = keyed_post(POOLS[number % 3], ticket.trim(), Duration::from_millis(30));
        let callers = callers.clone();
        calls.push(tokio::spawn(async move {
            let mut outcomes = tell_all(&callers, &request).await;
            outcomes.extend(tell_all(&callers, &request).await);
            (request, outcomes)
        }));
    }
    let mut told = Vec::new();
    for call in calls {
        told.push(call.await.expect("caller"));
    }
    for (request, outcomes) in &told {
        // The second round comes after the end of the run.
        let answered = outcomes[3..].iter().all(|told| told.answer().is_some());
        assert!(answered, "{}: {outcomes:?}", key_of(request));
        assert_one_answer(&key_of(request), outcomes);
    }
    // Another process cannot know whether a ticket of a killed one ran.
    site.nodes[0].kill();
    let others = &callers[1..];
    for (request, _) in told.iter().step_by(3) {
        for outcome in tell_all(others, request).await {
            let unknown = matches!(
                outcome,
                ToldOutcome::Unknown {
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
    assert_served(&report, 30);
    let runs = site.endpoints.runs();
    for (request, outcomes) in &told {
        assert_eq!(runs_of(&runs, &key_of(request)), 1, "{outcomes:?}");
    }
}

/// Many time limits pass at the moments at which other requests arrive. Guards against a request
/// that loses its outcome to a new one and is reported as not run although it ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn expired_requests_are_not_reported_as_not_run() {
    let site = TestSite::open(2, 12, 1).await;
    let slow = EndpointFaults {
        slow_factor: 100.0,
        ..EndpointFaults::default()
    };
    for (vm, _) in site.endpoints.endpoints() {
        site.set_endpoint(&vm, slow.clone()).await;
    }
    let mut options = site.load(24, 300.0, Duration::from_secs(4));
    options.mix.timeout = Duration::from_millis(50);
    options.retry = false;
    let report = spawn_load(options).await.expect("load");
    for (vm, _) in site.endpoints.endpoints() {
        site.set_endpoint(&vm, EndpointFaults::default()).await;
    }
    assert_verdict(&site, &report).await;
    assert_eq!(report.count("not_run:not_ready"), 0, "{report}");
    assert!(report.count("unknown:timeout") > 100, "{report}");
    // Ejected workers return with their first trials.
    time::sleep(Duration::from_secs(3)).await;
    let report = spawn_load(site.load(25, 60.0, Duration::from_secs(2))).await;
    let report = report.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 90);
}

/// Half of the workers of `alpha` have a fault. Guards against foreign and cut answers, second
/// runs, and a pool that stops serving with them.
async fn half_of_a_pool_fails(seed: u64, faults: EndpointFaults) {
    let site = TestSite::open(3, 12, 1).await;
    let mut options = site.load(seed, 90.0, Duration::from_secs(7));
    options.mix.timeout = Duration::from_secs(2);
    let pools: BTreeMap<String, String> = plan_requests(&options.mix)
        .into_iter()
        .map(|planned| (planned.id, planned.pool))
        .collect();
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    let workers = site.vms_of("alpha");
    for faulty in &workers[..2] {
        site.set_endpoint(faulty, faults.clone()).await;
    }
    let mark = site.endpoints.next_order();
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
    let healthy = runs
        .iter()
        .filter(|run| run.start > mark && run.completed && workers[2..].contains(&run.endpoint));
    // 30 requests a second for 6 s; half of them would go to the two workers without a fault.
    assert!(healthy.count() >= 90, "the healthy workers idle\n{report}");
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
    half_of_a_pool_truncates: 31, truncate;
    half_of_a_pool_trickles: 32, trickle;
    half_of_a_pool_ends_bodies_by_close: 33, close_delimited;
    half_of_a_pool_answers_crossed: 34, crossed;
    half_of_a_pool_is_silent: 35, silent;
    half_of_a_pool_fails_all: 36, fail_all;
}

fn requests(name: &str, count: usize, work: Duration) -> Vec<HttpRequest> {
    let request = |number| keyed_post("alpha", &format!("{name}-{number}"), work);
    (0..count).map(request).collect()
}

fn key_of(request: &HttpRequest) -> String {
    request.header("idempotency-key").expect("key").to_owned()
}
