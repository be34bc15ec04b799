//! Tests of the load generator against a node that responds with outcome headers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::StatusCode;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::message::is_hop_by_hop_header;
use tanager_http::pool::PoolLimits;
use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;
use tanager_standin::load::LoadOptions;
use tanager_standin::load::read_record;
use tanager_standin::load::run_load;
use tanager_standin::plan::MixOptions;
use tanager_standin::record::caller_id;
use tanager_standin::report::LoadReport;
use tanager_standin::verification::Verdict;
use tanager_standin::verification::verify_runs;

/// Longer than any test runs, so that no result depends on the speed of the machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

/// Handling of the attempts of a request by the node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NodeBehaviour {
    /// Rejects the first attempt without running it.
    RejectsFirst,
    /// Runs the first attempt and reports it as not run.
    DeniesFirst,
    /// Runs every attempt and reports the outcome of the first as unknown.
    RunsEvery,
}

struct FakeNode {
    behaviour: NodeBehaviour,
    endpoint: ClientPool,
    attempts: Mutex<HashMap<String, u32>>,
}

fn with_outcome(
    mut response: HttpResponse,
    outcome: &'static str,
    reason: &'static str,
) -> HttpResponse {
    for (name, value) in [
        ("tanager-outcome", outcome),
        ("tanager-reason", reason),
        ("retry-after", "0"),
    ] {
        let name = HeaderName::from_static(name);
        response
            .headers
            .insert(name, HeaderValue::from_static(value));
    }
    response
}

async fn handle_request(node: Arc<FakeNode>, mut request: HttpRequest) -> HttpResponse {
    let id = caller_id(&request.path).to_owned();
    let is_first = {
        let mut attempts = node.attempts.lock().unwrap();
        let attempt = attempts.entry(id.clone()).or_default();
        *attempt += 1;
        *attempt == 1
    };
    let not_run = || HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "");
    if is_first && node.behaviour == NodeBehaviour::RejectsFirst {
        return with_outcome(not_run(), "not-run", "queue_full");
    }
    request.path = format!("/load/{id}");
    let names: Vec<HeaderName> = request.headers.keys().cloned().collect();
    for name in names
        .iter()
        .filter(|name| is_hop_by_hop_header(name.as_str()))
    {
        request.headers.remove(name);
    }
    let mut response = node
        .endpoint
        .exchange(&request, LONG_TIMEOUT)
        .await
        .unwrap();
    response.headers.remove("content-length");
    match (is_first, node.behaviour) {
        (true, NodeBehaviour::DeniesFirst) => with_outcome(not_run(), "not-run", "no_worker"),
        (true, _) => with_outcome(
            HttpResponse::new(StatusCode::BAD_GATEWAY, ""),
            "unknown",
            "connection_lost",
        ),
        (false, _) => with_outcome(response, "answered", ""),
    }
}

async fn run_against_node(behaviour: NodeBehaviour, retry: bool) -> (LoadReport, Verdict) {
    let options = EndpointOptions {
        slots: 10_000,
        ..EndpointOptions::default()
    };
    let endpoint = EndpointStandin::bind(&options).unwrap();
    let node = Arc::new(FakeNode {
        behaviour,
        endpoint: ClientPool::new(endpoint.endpoints()[0].1, PoolLimits::default()),
        attempts: Mutex::default(),
    });
    let handler = move |request| {
        let node = Arc::clone(&node);
        Box::pin(handle_request(node, request)) as tanager_http::server::ResponseFuture
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, ServerLimits::default(), Arc::new(handler));
    let server = server.await.unwrap();
    let options = LoadOptions {
        targets: vec![server.address()],
        direct: false,
        retry,
        mix: MixOptions {
            seed: 5,
            pools: vec!["a".to_owned()],
            rate: 300.0,
            duration: Duration::from_secs(1),
            cancelled_share: 0.0,
            ..MixOptions::default()
        },
    };
    let report = run_load(&options).await;
    let runs = read_record(endpoint.control(), &report.records);
    let verdict = verify_runs(&report.records, &runs.await.unwrap());
    (report, verdict)
}

fn count_keyed(report: &LoadReport) -> u64 {
    let records = report.records.iter();
    records.filter(|record| !record.key.is_empty()).count() as u64
}

/// Guards against a load generator that retries requests without a key, or does not retry keyed
/// requests.
#[tokio::test]
async fn keyed_requests_are_retried() {
    let (report, verdict) = run_against_node(NodeBehaviour::RejectsFirst, true).await;
    assert!(verdict.passed(), "{verdict}");
    let keyed = count_keyed(&report);
    assert!(keyed > 0);
    assert_eq!(report.retries, keyed, "{report}");
    assert_eq!(report.count("answered"), keyed, "{report}");
    let others = report.records.len() as u64 - keyed;
    assert_eq!(report.count("not_run:queue_full"), others, "{report}");
    assert_eq!(verdict.runs as u64, keyed);
}

/// Guards against retries although they are not enabled.
#[tokio::test]
async fn nothing_is_retried_unless_enabled() {
    let (report, verdict) = run_against_node(NodeBehaviour::RejectsFirst, false).await;
    assert!(verdict.passed(), "{verdict}");
    assert_eq!((report.retries, verdict.runs), (0, 0));
}

/// Guards against a verification that accepts a request reported as not run although it ran (R4).
#[tokio::test]
async fn denied_runs_are_found() {
    let (report, verdict) = run_against_node(NodeBehaviour::DeniesFirst, false).await;
    assert!(!verdict.passed());
    assert_eq!(verdict.ran_after_all.len(), report.records.len());
}

/// Guards against a verification that misses a keyed request that a retry ran again (R5).
#[tokio::test]
async fn repeated_runs_are_found() {
    let (report, verdict) = run_against_node(NodeBehaviour::RunsEvery, true).await;
    assert!(!verdict.passed());
    assert_eq!(verdict.ran_twice.len() as u64, count_keyed(&report));
    assert_eq!(verdict.ran_after_all.len(), 0);
}
