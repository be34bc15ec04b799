//! Open-loop load generator over HTTP.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::outcome::OUTCOME_HEADER;
use tanager_protocol::outcome::REASON_HEADER;
use tanager_protocol::request::RequestPriority;

use crate::endpoint::REJECTED_HEADER;
use crate::plan::MixOptions;
use crate::plan::PlannedRequest;
use crate::plan::plan_requests;
use crate::record::EndpointRun;
use crate::record::body_digest;
use crate::record::caller_id;
use crate::record::response_bytes;
use crate::report::LoadReport;
use crate::verification::CallerOutcome;
use crate::verification::CallerRecord;

/// Attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 5;
/// Delay before a retry of an attempt without a response, for which no `Retry-After` exists.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Added to a request's timeout, so that the node's final response still reaches the caller.
const CALLER_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);
/// Reads of the endpoints' record, one per second, while runs are in progress.
const MAX_RECORD_READS: usize = 120;

/// Options of [`run_load`].
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Nodes, or endpoints when `direct` is set.
    pub targets: Vec<SocketAddr>,
    /// Whether requests go directly to endpoints, without a node.
    pub direct: bool,
    /// Whether requests with an idempotency key are retried after the time in `Retry-After`.
    pub retry: bool,
    /// Mix of requests.
    pub mix: MixOptions,
}

/// Sends each planned request at its time, independent of the progress of the others.
pub async fn run_load(options: &LoadOptions) -> LoadReport {
    let limits = PoolLimits {
        max_connections: 1_024,
        ..PoolLimits::default()
    };
    let targets = options.targets.iter();
    let pools: Arc<Vec<ClientPool>> = Arc::new(
        targets
            .map(|address| ClientPool::new(*address, limits))
            .collect(),
    );
    let mut report = LoadReport::default();
    let mut callers = JoinSet::new();
    // Planned before the start, because planning takes time and would delay the first requests.
    let plan = plan_requests(&options.mix);
    let start = Instant::now();
    for planned in plan {
        time::sleep_until(start + planned.start_offset).await;
        let pools = Arc::clone(&pools);
        let (direct, retry) = (options.direct, options.retry);
        callers.spawn(async move {
            let planned_start = start + planned.start_offset;
            let record = send_with_retries(&pools, &planned, direct, retry).await;
            (planned.priority, record, planned_start.elapsed())
        });
        while let Some(joined) = callers.try_join_next() {
            add_joined(&mut report, joined);
        }
    }
    while let Some(joined) = callers.join_next().await {
        add_joined(&mut report, joined);
    }
    report
}

type JoinedCaller = Result<(RequestPriority, CallerRecord, Duration), JoinError>;

fn add_joined(report: &mut LoadReport, joined: JoinedCaller) {
    // Without this the requests of a panicked caller would be missing from the verdict.
    let (priority, record, latency) = joined.expect("a caller does not panic");
    report.add(priority, record, latency);
}

/// Reads the runs of these requests from the endpoints' record and returns them when none is in
/// progress. Ignores runs of other requests, because those may never end.
///
/// # Errors
///
/// Errors of [`ClientPool::exchange`]; [`ErrorKind::Unknown`] for a record that is not valid JSON;
/// [`ErrorKind::Timeout`] when runs stay in progress.
pub async fn read_record(
    control: SocketAddr,
    records: &[CallerRecord],
) -> TanagerResult<Vec<EndpointRun>> {
    let ids: HashSet<&str> = records.iter().map(|record| &*record.id).collect();
    let keys: HashSet<&str> = records.iter().map(|record| &*record.key).collect();
    let limits = PoolLimits {
        max_body: 1 << 30,
        ..PoolLimits::default()
    };
    let pool = ClientPool::new(control, limits);
    let read_error = |kind, message: String| {
        TanagerError::new(kind, "read_record", control.to_string(), message)
    };
    let mut previous_count = None;
    for _ in 0..MAX_RECORD_READS {
        let request = HttpRequest::new(Method::GET, "/record", "");
        let response = pool.exchange(&request, Duration::from_secs(60)).await?;
        let mut runs: Vec<EndpointRun> = serde_json::from_slice(&response.body)
            .map_err(|error| read_error(ErrorKind::Unknown, error.to_string()))?;
        runs.retain(|run| {
            let has_key = !run.key.is_empty() && keys.contains(&*run.key);
            has_key || ids.contains(caller_id(&run.path))
        });
        // A request queued at a node may start later, so the number of runs must also be stable.
        if runs.iter().all(|run| run.finish.is_some()) && previous_count == Some(runs.len()) {
            return Ok(runs);
        }
        previous_count = Some(runs.len());
        time::sleep(Duration::from_secs(1)).await;
    }
    Err(read_error(
        ErrorKind::Timeout,
        "runs are still in progress".to_owned(),
    ))
}

async fn send_with_retries(
    pools: &[ClientPool],
    planned: &PlannedRequest,
    direct: bool,
    retry: bool,
) -> CallerRecord {
    let mut record = CallerRecord {
        id: planned.id.clone(),
        key: planned.key.clone(),
        method: planned.method.to_string(),
        outcomes: Vec::new(),
    };
    let request = planned.build(direct);
    for attempt in 0..MAX_ATTEMPTS {
        let pool = &pools[(planned.target + attempt) % pools.len()];
        let exchange = pool.exchange(&request, planned.timeout + CALLER_TIMEOUT_MARGIN);
        let result = match planned.cancel_after {
            Some(after) => time::timeout(after, exchange).await.ok(),
            None => Some(exchange.await),
        };
        let Some(result) = result else {
            record.outcomes.push(CallerOutcome::Cancelled);
            break;
        };
        let (outcome, retry_delay) = classify_result(planned, direct, result);
        record.outcomes.push(outcome);
        match retry_delay {
            Some(retry_delay) if retry && !planned.key.is_empty() => time::sleep(retry_delay).await,
            _ => break,
        }
    }
    record
}

/// Returns the outcome of an attempt and, when a retry is allowed, the delay before it.
fn classify_result(
    planned: &PlannedRequest,
    direct: bool,
    result: TanagerResult<HttpResponse>,
) -> (CallerOutcome, Option<Duration>) {
    let response = match result {
        Ok(response) => response,
        Err(error) if error.kind == ErrorKind::NotSent => {
            return (CallerOutcome::NotSent, Some(RETRY_DELAY));
        }
        Err(error) => {
            // Without a node nothing prevents a retried request from running twice.
            let retry_delay = (!direct).then_some(RETRY_DELAY);
            return (
                CallerOutcome::Lost(error.kind.as_str().to_owned()),
                retry_delay,
            );
        }
    };
    let retry_delay = response
        .header("retry-after")
        .and_then(|text| text.parse().ok())
        .map(Duration::from_secs);
    let reason = response.header(REASON_HEADER).unwrap_or("none").to_owned();
    let outcome = match response.header(OUTCOME_HEADER) {
        Some("answered") => classify_endpoint_response(planned, &response),
        None if direct => classify_endpoint_response(planned, &response),
        Some("not-run") => CallerOutcome::NotRun(reason),
        Some("unknown") => CallerOutcome::Unknown(reason),
        _ => CallerOutcome::Unknown("no_outcome".to_owned()),
    };
    match outcome {
        CallerOutcome::NotRun(_) | CallerOutcome::Unknown(_) => (outcome, retry_delay),
        outcome => (outcome, None),
    }
}

fn classify_endpoint_response(planned: &PlannedRequest, response: &HttpResponse) -> CallerOutcome {
    if response.header(REJECTED_HEADER).is_some() {
        return CallerOutcome::Rejected;
    }
    let own = is_own_response(planned, response);
    CallerOutcome::Answered { own }
}

/// Whether a response is the endpoint's complete response to this request.
fn is_own_response(planned: &PlannedRequest, response: &HttpResponse) -> bool {
    let path = response.header("x-echo-path").unwrap_or_default();
    if caller_id(path) != planned.id
        || response.header("x-echo-method") != Some(planned.method.as_str())
        || response.header("x-echo-digest") != Some(body_digest(&planned.body).as_str())
    {
        return false;
    }
    if planned.method == Method::HEAD || !response.status.is_success() {
        return response.body.is_empty();
    }
    match planned.response_size {
        Some(size) => response.body == response_bytes(&planned.id, size),
        None => {
            let echo: Option<serde_json::Value> = serde_json::from_slice(&response.body).ok();
            echo.is_some_and(|echo| echo["path"] == path)
        }
    }
}
