//! Floods of one kind of work, bursts of cancellations and requests that no worker can hold.

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

use crate::caller::assert_served;
use crate::caller::insert;
use crate::caller::keyed_post;
use crate::caller::runs_of;
use crate::caller::spawn_load;
use crate::harness::POOLS;
use crate::harness::TestSite;
use crate::harness::call;
use crate::harness::eventually;
use crate::nodes::assert_verdict;

/// Mean service time. The 16 slots of a pool then hold 80 requests a second.
const WORK: Duration = Duration::from_millis(200);
/// Four times what the pool holds.
const FLOOD_RATE: f64 = 320.0;
/// Rate of the steady load on all three pools, about a fifth of what they hold.
const STEADY_RATE: f64 = 45.0;
/// Shorter than the wait that the flood builds up. With 10 s, and 4 s for the flood, the test also
/// passed with a single queue, whose wait admission then bounded to 4 s.
const STEADY_TIMEOUT: Duration = Duration::from_secs(2);
const FLOOD_TIMEOUT: Duration = Duration::from_secs(10);
const RUN: Duration = Duration::from_secs(8);

/// Answered requests of the steady load by pool and priority.
type AnsweredCounts = BTreeMap<(String, RequestPriority), u64>;

/// Compares the service of other work with and without a flood. Guards against a flood that
/// starves other priorities, teams or pools, and against refusals that run or name no time.
async fn flood_leaves_service_to_others(seed: u64, priority: RequestPriority) {
    let without = answered_beside(seed, None).await;
    let with = answered_beside(seed, Some(priority)).await;
    println!("without the flood {without:?}\nwith the flood {with:?}");
    assert_eq!(without.len(), 6, "{without:?}");
    for (kind, expected) in without {
        let answered = with.get(&kind).copied().unwrap_or_default();
        assert!(
            answered * 100 >= expected * 95,
            "{kind:?}: {answered} answered with the flood, {expected} without"
        );
    }
}

/// Runs the steady load on a new site, beside a flood of team-2 on pool alpha if one is given.
async fn answered_beside(seed: u64, flood: Option<RequestPriority>) -> AnsweredCounts {
    let site = TestSite::open(2, 6, 1).await;
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
            duration: RUN,
            work: WORK,
            timeout: FLOOD_TIMEOUT,
            cancelled: 0.0,
            ..MixOptions::default()
        };
        let report = send_flood(&site.callers(), &mix).await;
        assert_verdict(&site, &report).await;
        let refused = report.count("not_run:queue_full") + report.count("not_run:queue_timeout");
        // The pool holds a quarter of the flood and some seconds of waiting work.
        assert!(refused * 5 >= report.records.len() as u64, "{report}");
        assert!(report.count("answered") > 0, "{report}");
    }
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    if flood.is_none() {
        assert_served(&report, 95);
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

/// Load of team-1 with normal and urgent work on all pools.
fn steady_load(site: &TestSite, seed: u64) -> LoadOptions {
    let mut options = site.load(seed, STEADY_RATE, RUN);
    options.mix.teams = vec!["team-1".to_owned()];
    options.mix.priorities = vec![(RequestPriority::Urgent, 1), (RequestPriority::Normal, 1)];
    options.mix.work = WORK;
    options.mix.timeout = STEADY_TIMEOUT;
    // A retry after the flood would hide a refusal during it.
    options.retry = false;
    options.mix.cancelled = 0.0;
    options
}

/// Sends each planned request once and asserts that every refusal names a time to retry after,
/// which the records of the load tool do not hold.
async fn send_flood(callers: &[SocketAddr], mix: &MixOptions) -> LoadReport {
    let start = Instant::now();
    let mut calls = JoinSet::new();
    for planned in plan_requests(mix) {
        time::sleep_until(start + planned.at).await;
        let address = callers[planned.target % callers.len()];
        calls.spawn(async move {
            let outcome = send_once(address, &planned).await;
            let record = record_of(&planned, outcome);
            (planned.priority, record, start.elapsed() - planned.at)
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
            flood_leaves_service_to_others($seed, RequestPriority::$priority).await;
        }
    )*};
}

floods! {
    flood_of_batch_work: 81, Batch;
    flood_of_urgent_work: 82, Urgent;
}

/// Half of the callers of a full queue disconnect at once. Guards against slots and queue places
/// that stay taken, against cancelled work that runs all the same, and against lost answers of the
/// other callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn half_of_a_full_queue_disconnects() {
    let site = TestSite::open(2, 6, 1).await;
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
        let record = record_of(&planned, outcome);
        report.add(planned.priority, record, Duration::ZERO);
    }
    assert_verdict(&site, &report).await;
    assert!(cancelled.len() * 3 >= report.records.len(), "{report}");
    let others = report.records.len() - cancelled.len();
    assert_eq!(report.count("answered"), others as u64, "{report}");
    let runs = site.endpoints.runs();
    let ran: usize = cancelled.iter().map(|id| runs_of(&runs, id)).sum();
    println!("{ran} of {} cancelled requests ran", cancelled.len());
    // Some were at a worker already; without cancellation all of them would run.
    assert!(ran * 2 <= cancelled.len(), "{ran} ran: {report}");
    wait_idle(&site).await;
    let report = spawn_load(steady_load(&site, 84)).await.expect("load");
    assert_verdict(&site, &report).await;
    assert_served(&report, 95);
    wait_idle(&site).await;
}

/// Guards against the slot of a cancelled request that is used again before its endpoint has
/// noticed the cancellation: the endpoint rejects the next request then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endpoints_notice_cancellations_late() {
    let site = TestSite::open(2, 6, 1).await;
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
            record_of(&planned, outcome),
            Duration::ZERO,
        );
    }
    assert_eq!(report.count("rejected"), 0, "{report}");
    let answered = report.records.len() as u64 - report.count("cancelled");
    assert_eq!(report.count("answered"), answered, "{report}");
    wait_idle(&site).await;
}

/// Guards against a request that waits in a full queue although no worker can ever hold it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_no_worker_can_hold_is_refused_at_once() {
    let site = TestSite::open(2, 6, 1).await;
    let calls = fill_queue(&site, 85).await;
    let mut ids = Vec::new();
    for (number, address) in site.callers().into_iter().enumerate() {
        let keyed = format!("large-keyed-{number}");
        let get = format!("large-get-{number}");
        let path = format!("/alpha/alpha/{get}");
        let requests = [
            keyed_post("alpha", &keyed, WORK),
            HttpRequest::new(Method::GET, path, ""),
        ];
        for mut request in requests {
            insert(&mut request, "tanager-slots", "1000");
            let response = call(address, request).await.expect("response");
            assert_eq!(response.status, 400, "{response:?}");
            assert_eq!(response.header("tanager-outcome"), Some("not-run"));
            assert_eq!(response.header("tanager-reason"), Some("too_large"));
        }
        ids.extend([keyed, get]);
    }
    // Requests that were queued before still wait, so the refused ones did not.
    assert!(queued(&site).await > 0, "the queue is empty");
    let mut report = LoadReport::default();
    for (planned, call) in calls {
        let record = record_of(&planned, call.await.expect("caller"));
        report.add(planned.priority, record, Duration::ZERO);
    }
    assert_verdict(&site, &report).await;
    assert_served(&report, 100);
    wait_idle(&site).await;
    let runs = site.endpoints.runs();
    for id in ids {
        assert_eq!(runs_of(&runs, &id), 0, "{id} ran");
    }
}

/// Sends some hundred requests to pool alpha at once and waits until most of them are queued.
async fn fill_queue(
    site: &TestSite,
    seed: u64,
) -> Vec<(PlannedRequest, JoinHandle<CallerOutcome>)> {
    let mix = MixOptions {
        seed,
        pools: vec!["alpha".to_owned()],
        rate: 300.0,
        duration: Duration::from_secs(1),
        work: WORK,
        cancelled: 0.0,
        ..MixOptions::default()
    };
    let callers = site.callers();
    let mut calls = Vec::new();
    for planned in plan_requests(&mix) {
        let address = callers[planned.target % callers.len()];
        let request = planned.clone();
        let call = tokio::spawn(async move { send_once(address, &request).await });
        calls.push((planned, call));
    }
    eventually("the queue is full", async || {
        queued(site).await * 3 >= calls.len() as u64 * 2
    })
    .await;
    calls
}

/// Requests in the queue of pool alpha on all nodes.
async fn queued(site: &TestSite) -> u64 {
    let mut queued = 0;
    for node in 0..site.nodes.len() {
        let dump = dispatch_dump(site, node).await;
        queued += total(&dump["pools"]["alpha"]["queued"]);
    }
    queued
}

/// Waits until no node holds a request or a slot.
async fn wait_idle(site: &TestSite) {
    for node in 0..site.nodes.len() {
        eventually("no slot is in use", async || {
            let dump = dispatch_dump(site, node).await;
            let workers = dump["workers"].as_object().expect("workers");
            let pools = POOLS.map(|pool| &dump["pools"][pool]);
            dump["open"] == 0
                && workers.values().all(|worker| worker["used"] == 0)
                && pools
                    .iter()
                    .all(|pool| total(&pool["slots_in_use"]) == 0 && pool["parked_claims"] == 0)
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

fn total(counts: &Value) -> u64 {
    let counts = counts.as_array().expect("counts");
    counts.iter().filter_map(Value::as_u64).sum()
}

fn record_of(planned: &PlannedRequest, outcome: CallerOutcome) -> CallerRecord {
    CallerRecord {
        id: planned.id.clone(),
        key: planned.key.clone(),
        method: planned.method.to_string(),
        outcomes: vec![outcome],
    }
}
