//! Single requests with known keys and paths, and the outcomes that their callers received.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use tokio::task::JoinHandle;
use tokio::time;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_standin::EndpointRun;
use tanager_standin::load::LoadOptions;
use tanager_standin::load::run_load;
use tanager_standin::record::caller_id;
use tanager_standin::report::LoadReport;

use crate::harness::call;

/// Outcome of one request as its caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportedOutcome {
    /// Body of the endpoint's response. It contains the request id of the run.
    Answered(Bytes),
    NotRun(String),
    Unknown {
        reason: String,
        retry_after: bool,
    },
    /// The connection broke or the timeout expired.
    Lost,
}

impl ReportedOutcome {
    pub fn response(&self) -> Option<&Bytes> {
        match self {
            Self::Answered(body) => Some(body),
            _ => None,
        }
    }
}

impl From<Option<HttpResponse>> for ReportedOutcome {
    fn from(response: Option<HttpResponse>) -> Self {
        let Some(response) = response else {
            return Self::Lost;
        };
        let text = |name| response.header(name).unwrap_or_default().to_owned();
        let reason = text("tanager-reason");
        match text("tanager-outcome").as_str() {
            "answered" => Self::Answered(response.body),
            "not-run" => {
                let message = String::from_utf8_lossy(&response.body);
                Self::NotRun(format!("{reason}: {message}"))
            }
            "unknown" => Self::Unknown {
                reason,
                retry_after: response.header("retry-after").is_some(),
            },
            other => panic!("outcome {other:?} of {response:?}"),
        }
    }
}

/// Builds a POST request whose idempotency key is also the last segment of its path.
pub fn keyed_post(pool: &str, key: &str, service_time: Duration) -> HttpRequest {
    let mut request = HttpRequest::new(Method::POST, format!("/{pool}/{pool}/{key}"), "");
    insert_header(&mut request, "idempotency-key", key);
    insert_header(
        &mut request,
        "x-work-ms",
        &service_time.as_millis().to_string(),
    );
    insert_header(&mut request, "tanager-timeout-ms", "3000");
    request
}

pub fn insert_header(request: &mut HttpRequest, name: &'static str, text: &str) {
    let value = HeaderValue::from_str(text).expect("header");
    request.headers.insert(HeaderName::from_static(name), value);
}

pub async fn send_request(address: SocketAddr, request: HttpRequest) -> ReportedOutcome {
    call(address, request).await.into()
}

/// Sends the same request to several nodes at once.
pub async fn send_to_all(addresses: &[SocketAddr], request: &HttpRequest) -> Vec<ReportedOutcome> {
    let calls: Vec<JoinHandle<ReportedOutcome>> = addresses
        .iter()
        .map(|address| tokio::spawn(send_request(*address, request.clone())))
        .collect();
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.expect("caller"));
    }
    outcomes
}

/// Sends a request to the nodes in turn until it is answered, at most `attempts` times.
pub async fn send_until_answered(
    addresses: &[SocketAddr],
    request: &HttpRequest,
    attempts: usize,
) -> Vec<ReportedOutcome> {
    let mut outcomes = Vec::new();
    for attempt in 0..attempts {
        let address = addresses[attempt % addresses.len()];
        let outcome = send_request(address, request.clone()).await;
        let done = outcome.response().is_some();
        outcomes.push(outcome);
        if done {
            break;
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    outcomes
}

/// Asserts that all responses to requests with one key are the same, so that they come from one
/// run.
pub fn assert_one_response<'a>(key: &str, outcomes: impl IntoIterator<Item = &'a ReportedOutcome>) {
    let mut responses = outcomes.into_iter().filter_map(ReportedOutcome::response);
    if let Some(first) = responses.next() {
        for response in responses {
            assert_eq!(response, first, "key {key} has two responses");
        }
    }
}

/// Counts the runs with the given key, or with the key as the last segment of their path.
pub fn count_runs(runs: &[EndpointRun], key: &str) -> usize {
    let runs = runs.iter();
    runs.filter(|run| run.key == key || caller_id(&run.path) == key)
        .count()
}

pub fn spawn_load(options: LoadOptions) -> JoinHandle<LoadReport> {
    tokio::spawn(async move { run_load(&options).await })
}

/// Asserts that at least `percent` of the requests were answered.
pub fn assert_answered_percent(report: &LoadReport, percent: u64) {
    let answered = report.count("answered");
    let requests = report.records.len() as u64;
    assert!(
        answered * 100 >= requests * percent,
        "{answered} of {requests} answered, expected {percent}%: {report}"
    );
}
