//! Single requests with known keys and paths, and what their callers were told.

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

/// What the caller of one request was told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ToldOutcome {
    /// The endpoint's response. Its body names the request id of the run.
    Answered(Bytes),
    NotRun(String),
    Unknown {
        reason: String,
        retry_after: bool,
    },
    /// The connection broke or the time limit passed.
    Lost,
}

impl ToldOutcome {
    pub fn answer(&self) -> Option<&Bytes> {
        match self {
            Self::Answered(body) => Some(body),
            _ => None,
        }
    }
}

impl From<Option<HttpResponse>> for ToldOutcome {
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

/// A POST with an idempotency key, which is also the last segment of its path.
pub fn keyed_post(pool: &str, key: &str, work: Duration) -> HttpRequest {
    let mut request = HttpRequest::new(Method::POST, format!("/{pool}/{pool}/{key}"), "");
    insert(&mut request, "idempotency-key", key);
    insert(&mut request, "x-work-ms", &work.as_millis().to_string());
    insert(&mut request, "tanager-timeout-ms", "3000");
    request
}

pub fn insert(request: &mut HttpRequest, name: &'static str, text: &str) {
    let value = HeaderValue::from_str(text).expect("header");
    request.headers.insert(HeaderName::from_static(name), value);
}

pub async fn tell(address: SocketAddr, request: HttpRequest) -> ToldOutcome {
    call(address, request).await.into()
}

/// Sends the same request to several nodes at once.
pub async fn tell_all(addresses: &[SocketAddr], request: &HttpRequest) -> Vec<ToldOutcome> {
    let calls: Vec<JoinHandle<ToldOutcome>> = addresses
        .iter()
        .map(|address| tokio::spawn(tell(*address, request.clone())))
        .collect();
    let mut outcomes = Vec::new();
    for call in calls {
        outcomes.push(call.await.expect("caller"));
    }
    outcomes
}

/// Repeats a request through the nodes in turn until it is answered, at most `attempts` times.
pub async fn tell_until_answered(
    addresses: &[SocketAddr],
    request: &HttpRequest,
    attempts: usize,
) -> Vec<ToldOutcome> {
    let mut outcomes = Vec::new();
    for attempt in 0..attempts {
        let address = addresses[attempt % addresses.len()];
        let outcome = tell(address, request.clone()).await;
        let done = outcome.answer().is_some();
        outcomes.push(outcome);
        if done {
            break;
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    outcomes
}

/// Asserts that all answers to one request are the response of one run.
pub fn assert_one_answer<'a>(key: &str, outcomes: impl IntoIterator<Item = &'a ToldOutcome>) {
    let mut answers = outcomes.into_iter().filter_map(ToldOutcome::answer);
    if let Some(first) = answers.next() {
        for answer in answers {
            assert_eq!(answer, first, "key {key} has two answers");
        }
    }
}

/// Number of runs with a key, or with it as the last segment of the path.
pub fn runs_of(runs: &[EndpointRun], key: &str) -> usize {
    let runs = runs.iter();
    runs.filter(|run| run.key == key || caller_id(&run.path) == key)
        .count()
}

pub fn spawn_load(options: LoadOptions) -> JoinHandle<LoadReport> {
    tokio::spawn(async move { run_load(&options).await })
}

/// Asserts that at least `percent` of the requests were answered.
pub fn assert_served(report: &LoadReport, percent: u64) {
    let answered = report.count("answered");
    let requests = report.records.len() as u64;
    assert!(
        answered * 100 >= requests * percent,
        "{answered} of {requests} answered, expected {percent}%: {report}"
    );
}
