//! Floods of requests of one priority, bursts of cancellations, and requests that need more slots
//! than any worker has.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use tanager_http::HttpRequest;
use tanager_protocol::request::RequestPriority;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::endpoint::REJECTED_HEADER;
use tanager_standin::load::LoadOptions;
use tanager_standin::plan::MixOptions;
use tanager_standin::plan::PlannedRequest;
use tanager_standin::plan::plan_requests;
use tanager_standin::record::body_digest;
use tanager_standin::report::LoadReport;
use tanager_standin::verification::CallerOutcome;
use tanager_standin::verification::CallerRecord;

use crate::caller::assert_answered_percent;
use crate::caller::count_runs;
use crate::caller::insert_header;
use crate::caller::keyed_post;
use crate::caller::spawn_load;
use crate::harness::POOLS;
use crate::harness::TestSite;
use crate::harness::call;
use crate::harness::eventually;
use crate::nodes::assert_verdict;

/// Mean service time. The 16 slots of a pool then serve 80 requests per second.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// Requests per second: four times the capacity of the pool.
const FLOOD_RATE: f64 = 320.0;
/// Requests per second of the steady load on all three pools: about a fifth of their capacity.
const STEADY_RATE: f64 = 45.0;
/// Shorter than the queueing delay that the flood causes. With 10 s, and with 4 s for the flood, a
/// single queue for all work passed too, because admission then limited its delay to 4 s.
const STEADY_TIMEOUT: Duration = Duration::from_secs(2);
const FLOOD_TIMEOUT: Duration = Duration::from_secs(10);
const LOAD_DURATION: Duration = Duration::from_secs(8);

/// Number of answered requests of the steady load by pool and priority.
type AnsweredCounts = BTreeMap<(String, RequestPriority), u64>;

/// Compares how many other requests are answered with and without a flood. Guards against a flood
/// that starves other priorities, teams or pools, and against refused requests that run or get no
/// `retry-after` header.
async fn flood_starves_no_other_requests(seed: u64, priority: RequestPriority) {
    let baseline = count_answered(seed, None).await;
    let with_flood = count_answered(seed, Some(priority)).await;
    println!("without the flood {baseline:?}\nwith the flood {with_flood:?}");
    assert_eq!(baseline.len(), 6, "{baseline:?}");
    for (kind, expected) in baseline {
        let answered = with_flood.get(&kind).copied().unwrap_or_default();
        assert!(
            answered * 100 >= expected * 95,
            "{kind:?}: {answered} answered with the flood, {expected} without"
        );
    }
}

/// Runs the steady load on a new site, with a flood of team-2 on pool alpha if one is given. Counts
/// the answered requests of the steady load.
async fn count_answered(seed: u64, flood: Option<RequestPriority>) -> AnsweredCounts {
    let site = TestSite::start(2, 6, 1).await;
    let options = steady_load(&site, seed);
    let plan = plan_requests(&options.mix);
    let load = spawn_load(options);
    if let Some(priority) = flood {
        let mix = MixOptions {
            seed: seed + 100,
            pools: vec!["alpha".to_owned()],
            teams: vec!["team-2".to_owned()],
            priorities: vec![(priority, 1)],
            rate: FLOOD_RATE,
            duration: LOAD_DURATION,
            service_time: SERVICE_TIME,
            timeout: FLOOD_TIMEOUT,
            cancelled_share: 0.0,
            ..MixOptions::default()
        };
        let report = send_flood(&site.caller_addresses(), &mix).await;
        assert_verdict(&site, &report).await;
        let refused = report.count("not_run:queue_full") + report.count("not_run:queue_timeout");
        // The pool serves a quarter of the flood and queues some seconds of work.
        assert!(refused * 5 >= report.records.len() as u64, "{report}");
        assert!(report.count("answered") > 0, "{report}");
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    if flood.is_none() {
        assert_answered_percent(&report, 95);
    }
    let planned: BTreeMap<&str, &PlannedRequest> = plan
        .iter()
        .map(|planned| (planned.id.as_str(), planned))
        .collect();
    let mut counts = AnsweredCounts::new();
    for record in &report.records {
        if record.outcomes.last() == Some(&CallerOutcome::Answered { own: true }) {
            let planned = planned[record.id.as_str()];
            let kind = (planned.pool.clone(), planned.priority);
            *counts.entry(kind).or_default() += 1;
        }
    }
    counts
}

/// Options of a load of team-1 with normal and urgent requests to all pools.
fn steady_load(site: &TestSite, seed: u64) -> LoadOptions {
    let mut options = site.load_options(seed, STEADY_RATE, LOAD_DURATION);
    options.mix.teams = vec!["team-1".to_owned()];
    options.mix.priorities = vec![(RequestPriority::Urgent, 1), (RequestPriority::Normal, 1)];
    options.mix.service_time = SERVICE_TIME;
    options.mix.timeout = STEADY_TIMEOUT;
    // A retry after the flood would hide a refusal during the flood.
    options.retry = false;
    options.mix.cancelled_share = 0.0;
    options
}

/// Sends each planned request once. Unlike the load tool, whose records do not contain the header,
/// asserts that every refusal has `retry-after`.
async fn send_flood(caller_addresses: &[SocketAddr], mix: &MixOptions) -> LoadReport {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for planned in plan_requests(mix) {
        time::sleep_until(start + planned.start_offset).await;
        let address = caller_addresses[planned.target % caller_addresses.len()];
        calls.spawn(async move {
            let outcome = send_once(address, &planned).await;
            let record = caller_record(&planned, outcome);
            (
                planned.priority,
                record,
                start.elapsed() - planned.start_offset,
            )
        });
    }
    let mut report = LoadReport::default();
    for (priority, record, latency) in calls.join_all().await {
        report.add(priority, record, latency);
    }
    report
}

async fn send_once(address: SocketAddr, planned: &PlannedRequest) -> CallerOutcome {
    let Some(response) = call(address, planned.build(false)).await else {
        return CallerOutcome::Lost("no_response".to_owned());
    };
    let text = |name| response.header(name).unwrap_or_default().to_owned();
    let reason = text("tanager-reason");
    match text("tanager-outcome").as_str() {
        "answered" if response.header(REJECTED_HEADER).is_some() => CallerOutcome::Rejected,
        "answered" => CallerOutcome::Answered {
            own: text("x-echo-path").ends_with(&format!("/{}", planned.id))
                && text("x-echo-digest") == body_digest(&planned.body),
        },
        "not-run" => {
            let seconds = text("retry-after").parse::<u64>();
            assert!(seconds.is_ok(), "{}: {response:?}", planned.id);
            CallerOutcome::NotRun(reason)
        }
        "unknown" => CallerOutcome::Unknown(reason),
        other => panic!("outcome {other:?} of {}", planned.id),
    }
}

macro_rules! floods {
    ($($name:ident: $seed:literal, $priority:ident;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            flood_starves_no_other_requests($seed, RequestPriority::$priority).await;
        }
    )*};
}

floods! {
    flood_of_batch_requests_starves_no_other_requests: 81, Batch;
    flood_of_urgent_requests_starves_no_other_requests: 82, Urgent;
}

/// Half of the callers of a full queue disconnect at once. Guards against slots and queue places
/// that are not released, against cancelled requests that run nevertheless, and against lost
/// responses to the other callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disconnected_callers_release_slots_and_queue_places() {
    let site = TestSite::start(2, 6, 1).await;
    let calls = fill_queue(&site, 83).await;
    for (number, (_, call)) in calls.iter().enumerate() {
        if number % 2 == 0 {
            call.abort();
        }
    }
    let mut report = LoadReport::default();
    let mut cancelled = Vec::new();
    for (planned, call) in calls {
        let outcome = match call.await {
            Ok(outcome) => outcome,
            Err(error) if error.is_cancelled() => {
                cancelled.push(planned.id.clone());
                CallerOutcome::Cancelled
            }
            Err(error) => panic!("{}: {error}", planned.id),
        };
        let record = caller_record(&planned, outcome);
        report.add(planned.priority, record, Duration::ZERO);
    }
    assert_verdict(&site, &report).await;
    assert!(cancelled.len() * 3 >= report.records.len(), "{report}");
    let others = report.records.len() - cancelled.len();
    assert_eq!(report.count("answered"), others as u64, "{report}");
    let runs = site.endpoints.runs();
    let ran: usize = cancelled.iter().map(|id| count_runs(&runs, id)).sum();
    println!("{ran} of {} cancelled requests ran", cancelled.len());
    // Some were already sent to a worker; without cancellation all of them would run.
    assert!(ran * 2 <= cancelled.len(), "{ran} ran: {report}");
    wait_until_idle(&site).await;
    let report = spawn_load(steady_load(&site, 84)).await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 95);
    wait_until_idle(&site).await;
}

/// Guards against a slot that is reused before the endpoint has noticed that the previous request
/// was cancelled. The endpoint would reject the next request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slots_of_cancelled_requests_are_not_reused_early() {
    let site = TestSite::start(2, 6, 1).await;
    let faults = EndpointFaults {
        late_close_ms: 60,
        ..EndpointFaults::default()
    };
    for (name, _) in site.endpoints.endpoints() {
        let set = site.endpoints.set_faults(&name, faults.clone()).await;
        set.expect("faults");
    }
    let calls = fill_queue(&site, 86).await;
    for (number, (_, call)) in calls.iter().enumerate() {
        if number % 2 == 0 {
            call.abort();
        }
    }
    let mut report = LoadReport::default();
    for (planned, call) in calls {
        let outcome = call.await.unwrap_or(CallerOutcome::Cancelled);
        report.add(
            planned.priority,
            caller_record(&planned, outcome),
            Duration::ZERO,
        );
    }
    assert_eq!(report.count("rejected"), 0, "{report}");
    let answered = report.records.len() as u64 - report.count("cancelled");
    assert_eq!(report.count("answered"), answered, "{report}");
    wait_until_idle(&site).await;
}

/// Guards against a request that waits in a full queue although it needs more slots than any
/// worker has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_no_worker_can_hold_is_refused_at_once() {
    let site = TestSite::start(2, 6, 1).await;
    let calls = fill_queue(&site, 85).await;
    let mut ids = Vec::new();
    for (number, address) in site.caller_addresses().into_iter().enumerate() {
        let keyed = format!("large-keyed-{number}");
        let get = format!("large-get-{number}");
        let path = format!("/alpha/alpha/{get}");
        let requests = [
            keyed_post("alpha", &keyed, SERVICE_TIME),
            HttpRequest::new(Method::GET, path, ""),
        ];
        for mut request in requests {
            insert_header(&mut request, "tanager-slots", "1000");
            let response = call(address, request).await.expect("response");
            assert_eq!(response.status, 400, "{response:?}");
            assert_eq!(response.header("tanager-outcome"), Some("not-run"));
            assert_eq!(response.header("tanager-reason"), Some("too_large"));
        }
        ids.extend([keyed, get]);
    }
    // Requests that were queued before are still waiting, so the refused requests did not wait.
    assert!(count_queued(&site).await > 0, "the queue is empty");
    let mut report = LoadReport::default();
    for (planned, call) in calls {
        let record = caller_record(&planned, call.await.expect("caller"));
        report.add(planned.priority, record, Duration::ZERO);
    }
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 100);
    wait_until_idle(&site).await;
    let runs = site.endpoints.runs();
    for id in ids {
        assert_eq!(count_runs(&runs, &id), 0, "{id} ran");
    }
}

/// Sends some hundred requests to pool alpha at once and waits until two thirds of them are queued.
async fn fill_queue(
    site: &TestSite,
    seed: u64,
) -> Vec<(PlannedRequest, JoinHandle<CallerOutcome>)> {
    let mix = MixOptions {
        seed,
        pools: vec!["alpha".to_owned()],
        rate: 300.0,
        duration: Duration::from_secs(1),
        service_time: SERVICE_TIME,
        cancelled_share: 0.0,
        ..MixOptions::default()
    };
    let caller_addresses = site.caller_addresses();
    let mut calls = Vec::new();
    for planned in plan_requests(&mix) {
        let address = caller_addresses[planned.target % caller_addresses.len()];
        let request = planned.clone();
        let call = tokio::spawn(async move { send_once(address, &request).await });
        calls.push((planned, call));
    }
    eventually("the queue is full", async || {
        count_queued(site).await * 3 >= calls.len() as u64 * 2
    })
    .await;
    calls
}

/// Counts the queued requests of pool alpha on all nodes.
async fn count_queued(site: &TestSite) -> u64 {
    let mut queued = 0;
    for node in 0..site.nodes.len() {
        let dump = dispatch_dump(site, node).await;
        queued += sum_counts(&dump["pools"]["alpha"]["queued"]);
    }
    queued
}

/// Waits until no node has an open request or a slot in use.
async fn wait_until_idle(site: &TestSite) {
    for node in 0..site.nodes.len() {
        eventually("no slot is in use", async || {
            let dump = dispatch_dump(site, node).await;
            let workers = dump["workers"].as_object().expect("workers");
            let pools = POOLS.map(|pool| &dump["pools"][pool]);
            dump["open"] == 0
                && workers.values().all(|worker| worker["used"] == 0)
                && pools.iter().all(|pool| {
                    sum_counts(&pool["slots_in_use"]) == 0 && pool["parked_claims"] == 0
                })
        })
        .await;
    }
}

async fn dispatch_dump(site: &TestSite, node: usize) -> Value {
    let dump = site.get_admin(node, "/dump").await.expect("dump");
    let dump = dump["dispatch"].clone();
    assert!(dump["open"].is_u64(), "{dump}");
    dump
}

fn sum_counts(counts: &Value) -> u64 {
    let counts = counts.as_array().expect("counts");
    counts.iter().filter_map(Value::as_u64).sum()
}

fn caller_record(planned: &PlannedRequest, outcome: CallerOutcome) -> CallerRecord {
    CallerRecord {
        id: planned.id.clone(),
        key: planned.key.clone(),
        method: planned.method.to_string(),
        outcomes: vec![outcome],
    }
}
