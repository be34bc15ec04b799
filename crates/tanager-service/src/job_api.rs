//! HTTP API for clients' jobs: finds the queue of a request, sends the request to the owner of the
//! job's cell and returns the response.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::server::RejectReason;
use tanager_jobs::FleetConfig;
use tanager_jobs::JobId;
use tanager_jobs::KeyDigest;
use tanager_jobs::QueueConfig;
use tanager_jobs::ids::CellName;
use tanager_site::job_api::KEY_HEADER;
use tanager_site::job_api::encode_job_status;
use tanager_site::job_api::encode_waiting_count;
use tokio::time;

use crate::authentication::CallRejection;
use crate::authentication::Caller;
use crate::authentication::authenticate;
use crate::cancellations;
use crate::cell_calls::MIN_OWNER_TIMEOUT;
use crate::cell_calls::send_cell_request;
use crate::context::NodeContext;
use crate::peers::CellOperation;
use crate::peers::CellResponse;
use crate::peers::SubmittedJob;
use crate::question_log::QuestionFailure;
use crate::questions;

/// Header with the time for which the client waits for a response, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-milliseconds");
/// Time for which a client is assumed to wait if it sends no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Part of the client's deadline that is reserved for returning the response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// Maximum time limit for the owner's response to a submission, which takes far less while the store
/// responds.
const SUBMISSION_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Interval between two looks for the first reads of this node.
const FIRST_READ_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// `Retry-After` in seconds while a cell has no owner: a handover takes a fraction of a second, and
/// a dead owner is replaced within three seconds.
const TAKEOVER_RETRY_S: u64 = 1;
/// `Retry-After` in seconds while the configuration is unverified. Another node may accept the key.
const VERIFICATION_RETRY_S: u64 = 1;

/// Handles a client's request.
pub async fn handle(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
    let deadline = context.clock.now() + client_timeout(&request);
    context.wait_for_config_read().await;
    if context.is_config_behind() {
        context.metrics.requests_outdated.increment();
        let reason = "a newer configuration is in force on other nodes";
        return refusal(StatusCode::SERVICE_UNAVAILABLE, 1, reason);
    }
    // Another node may accept a job that this one would let wait; nobody but the client asks again for
    // the others.
    if request.method != Method::POST {
        wait_for_first_reads(&context, deadline).await;
    }
    let Some(config) = context.view().config.clone() else {
        return no_config(&context, &request);
    };
    let host = request.header("host").unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let path = request.path.split('?').next().unwrap_or_default();
    let Some(queue) = config.find_queue(host, path) else {
        log::debug!(
            "event=no_queue host={host} path={path} config={}",
            config.version
        );
        return HttpResponse::new(StatusCode::NOT_FOUND, "no such queue");
    };
    let caller = match authenticate_request(&context, &config, queue, &request) {
        Ok(caller) => caller,
        Err(rejection) => return call_rejection_response(rejection),
    };
    let id_text = &path[queue.path_prefix.len()..];
    let timeout = remaining_timeout(&context, deadline);
    if id_text.is_empty() {
        return match request.method {
            Method::GET => {
                client_response(questions::waiting_jobs(&context, &caller, queue, timeout).await)
            }
            _ => HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED, "only GET"),
        };
    }
    let Ok(id) = id_text.parse::<JobId>() else {
        return HttpResponse::new(StatusCode::BAD_REQUEST, "not the id of a job");
    };
    match request.method {
        Method::POST if request.body.len() > config.max_body => {
            HttpResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Method::POST => {
            let timeout = timeout.min(SUBMISSION_TIMEOUT);
            submit(&context, &caller, queue, id, &request, timeout).await
        }
        Method::GET => {
            client_response(questions::job_status(&context, &caller, queue, id, timeout).await)
        }
        Method::DELETE => cancellations::cancel_job(&context, caller, queue, id, timeout).await,
        _ => HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
}

/// Waits until this node has read what it needs to find the owner of a job's cell: it serves requests
/// from its start on.
async fn wait_for_first_reads(context: &NodeContext, deadline: Duration) {
    while !context.view().has_first_reads() && context.clock.now() < deadline {
        time::sleep(FIRST_READ_POLL_INTERVAL).await;
    }
}

fn no_config(context: &NodeContext, request: &HttpRequest) -> HttpResponse {
    if request.method == Method::GET {
        let failure = QuestionFailure::NoConfig;
        let now = context.clock.now();
        if let Some(omitted) = context.metrics.failed_questions.record(failure, now) {
            let path = &request.path;
            log::info!("event=question_failed path={path:?} reason={failure} omitted={omitted}");
        }
    }
    refusal(StatusCode::SERVICE_UNAVAILABLE, 1, "no configuration yet")
}

/// Builds the response to a request that was not read, or whose handler panicked.
pub fn rejection_response(reason: RejectReason) -> HttpResponse {
    match reason {
        // The job may have been stored; a retry with the same id finds out.
        RejectReason::HandlerPanicked => HttpResponse::new(
            StatusCode::BAD_GATEWAY,
            "internal error; the outcome is unknown",
        ),
        reason => HttpResponse::new(reason.status(), ""),
    }
}

/// Determines the sender of a request.
fn authenticate_request(
    context: &NodeContext,
    config: &FleetConfig,
    queue: &QueueConfig,
    request: &HttpRequest,
) -> Result<Caller, CallRejection> {
    let key = request.header(KEY_HEADER);
    let age = context.config_reads.verified_age(context.clock.now());
    let limit = context.settings.features.revocation_limit;
    authenticate(config, queue, key, age, limit).inspect_err(|rejection| {
        // A client may send any number of such requests, so they are logged only at this level.
        log::debug!(
            "event=key_rejected queue={} reason={rejection:?} digest={:?} config={} age={age:?}",
            queue.key,
            key.map(KeyDigest::of),
            config.version
        );
        match rejection {
            CallRejection::UnknownKey => context.metrics.keys_rejected.increment(),
            CallRejection::UnverifiedConfig => context.metrics.keys_unverified.increment(),
        }
    })
}

fn call_rejection_response(rejection: CallRejection) -> HttpResponse {
    match rejection {
        CallRejection::UnknownKey => HttpResponse::new(StatusCode::UNAUTHORIZED, "unknown key"),
        CallRejection::UnverifiedConfig => refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            VERIFICATION_RETRY_S,
            "keys cannot be verified at the moment",
        ),
    }
}

/// Returns the time within which the client must get a response.
fn client_timeout(request: &HttpRequest) -> Duration {
    let client_timeout = (request.header(DEADLINE_HEADER.as_str()))
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    client_timeout
        .saturating_sub(DEADLINE_MARGIN)
        .max(MIN_OWNER_TIMEOUT)
}

/// Returns the time limit of the next call for a request that ends at `deadline`.
pub(crate) fn remaining_timeout(context: &NodeContext, deadline: Duration) -> Duration {
    let remaining = deadline.saturating_sub(context.clock.now());
    remaining.max(MIN_OWNER_TIMEOUT)
}

async fn submit(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    request: &HttpRequest,
    timeout: Duration,
) -> HttpResponse {
    let Ok(body) = std::str::from_utf8(&request.body) else {
        return HttpResponse::new(StatusCode::BAD_REQUEST, "the body is not UTF-8");
    };
    let job = SubmittedJob::Body(body.to_owned());
    client_response(submit_job(context, caller, queue, id, job, timeout).await)
}

/// Submits a job to the owner of its cell.
pub async fn submit_job(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    job: SubmittedJob,
    timeout: Duration,
) -> CellResponse {
    let refused = |reason: &str| CellResponse::Refused {
        retry_after: 1,
        overload: false,
        reason: reason.to_owned(),
        sender_wide: false,
    };
    if !context.knows_former_pools(&queue.key).await {
        return refused("the former pools of the queue are not known yet");
    }
    let deadline = context.clock.now() + timeout;
    let cells = JobCells::find(context, queue, id);
    if cells.misses_former {
        return refused("a former pool of the queue is not known yet");
    }
    // The id may have been accepted or cancelled before the queue was assigned to another pool.
    for cell in &cells.former {
        let known = CellOperation::Known(id);
        let timeout = remaining_timeout(context, deadline);
        match send_cell_request(context, caller, cell, &queue.key, known, timeout).await {
            CellResponse::NotFound => {}
            response @ (CellResponse::Done | CellResponse::Cancelled | CellResponse::Forbidden) => {
                return response;
            }
            _ => return refused("a former owner is away"),
        }
    }
    let Some(cell) = cells.current else {
        return no_workers_yet();
    };
    let timeout = remaining_timeout(context, deadline);
    let operation = CellOperation::Submit {
        id,
        job,
        // The owner may not have read this configuration yet.
        max_attempts: Some(queue.max_attempts),
    };
    let response = send_cell_request(context, caller, &cell, &queue.key, operation, timeout).await;
    if response != CellResponse::Done {
        log::info!(
            "event=submission_answered job={id} queue={} cell={cell} answer={response:?}{caller}",
            queue.key
        );
    }
    response
}

/// Cells that may have a job of a queue.
pub(crate) struct JobCells {
    /// Cell under the current configuration; `None` if the pool of the queue is not partitioned yet.
    pub(crate) current: Option<CellName>,
    /// Cells in the other pools that may have jobs of the queue.
    pub(crate) former: Vec<CellName>,
    /// Whether the cells of such a pool are not known.
    pub(crate) misses_former: bool,
    /// Owned cells of the other pools.
    pub(crate) others: Vec<CellName>,
}

impl JobCells {
    pub(crate) fn find(context: &NodeContext, queue: &QueueConfig, id: JobId) -> Self {
        let view = context.view();
        let former_pools = view.previous_pools.get(&queue.key);
        let is_former = |pool: &String| former_pools.is_some_and(|pools| pools.contains(pool));
        let cells = |is_wanted: &dyn Fn(&String) -> bool| -> Vec<CellName> {
            (view.pools.keys())
                .filter(|pool| **pool != queue.pool && is_wanted(pool))
                .filter_map(|pool| view.cell_of_job(pool, id))
                .collect()
        };
        let mut others = cells(&|pool| !is_former(pool));
        others.retain(|cell| view.owners.contains_key(cell));
        let misses_former = (former_pools.into_iter().flatten()).any(|pool| {
            *pool != queue.pool
                && !view.pools.contains_key(pool)
                && context.queue_pools.is_stored(&queue.key, pool)
        });
        Self {
            current: view.cell_of_job(&queue.pool, id),
            former: cells(&is_former),
            misses_former,
            others,
        }
    }
}

pub(crate) fn no_workers_yet() -> CellResponse {
    CellResponse::Refused {
        retry_after: 1,
        overload: false,
        reason: "the pool has no workers yet".to_owned(),
        sender_wide: false,
    }
}

/// Converts the owner's response into the HTTP response for the client.
pub(crate) fn client_response(response: CellResponse) -> HttpResponse {
    match response {
        CellResponse::Done => {
            HttpResponse::with_content_type(StatusCode::OK, "application/json", "{}")
        }
        CellResponse::Refused {
            retry_after,
            overload,
            reason,
            ..
        } => {
            let status = match overload {
                true => StatusCode::TOO_MANY_REQUESTS,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            refusal(status, retry_after, &reason)
        }
        CellResponse::Uncertain => HttpResponse::new(
            StatusCode::GATEWAY_TIMEOUT,
            "it is not known whether the job is stored; send it again with the same id",
        ),
        CellResponse::Invalid(error) => HttpResponse::new(StatusCode::BAD_REQUEST, error),
        CellResponse::State(status) => HttpResponse::with_content_type(
            StatusCode::OK,
            "application/json",
            encode_job_status(status),
        ),
        CellResponse::NotFound => HttpResponse::new(StatusCode::GONE, "no such job"),
        CellResponse::Cancelled => HttpResponse::new(StatusCode::GONE, "the job was cancelled"),
        CellResponse::Waiting(number) => HttpResponse::with_content_type(
            StatusCode::OK,
            "application/json",
            encode_waiting_count(number),
        ),
        CellResponse::Forbidden => HttpResponse::new(
            StatusCode::FORBIDDEN,
            "the job belongs to another workspace",
        ),
        // Clients cannot request a load, what operators see or a batch, so such a response is treated
        // as a missing owner.
        CellResponse::Load(_)
        | CellResponse::Description(_)
        | CellResponse::Workspaces(_)
        | CellResponse::Located(_)
        | CellResponse::Many(_)
        | CellResponse::Expired
        | CellResponse::NotOwner => refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            TAKEOVER_RETRY_S,
            "the cell of the job has no owner at the moment",
        ),
    }
}

fn refusal(status: StatusCode, retry_after: u64, reason: &str) -> HttpResponse {
    HttpResponse::new(status, reason.to_owned())
        .with_header(header::RETRY_AFTER, HeaderValue::from(retry_after))
}
