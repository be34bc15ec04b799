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
use tanager_protocol::error::ErrorKind;
use tanager_site::job_api::KEY_HEADER;
use tanager_site::job_api::encode_job_status;
use tanager_site::job_api::encode_waiting_count;
use tokio::time;

use crate::authentication::CallRejection;
use crate::authentication::Caller;
use crate::authentication::authenticate;
use crate::call_guard::begin_call;
use crate::cancellations;
use crate::node::NodeContext;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::peers::SubmittedJob;

/// Header with the time for which the client waits for a response, in milliseconds.
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline-milliseconds");
/// Time for which a client is assumed to wait if it sends no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Part of the client's deadline that is reserved for returning the response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// Minimum time limit for the owner's response, even if it exceeds the client's deadline.
const MIN_OWNER_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time limit for the owner's response. A submission takes far less while the store
/// responds.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time for which a request waits for the new owner of a cell. It is less than a quarter of the
/// shortest latency objective, so that a refusal after this wait comes well within the objective.
const OWNER_WAIT: Duration = Duration::from_millis(250);
/// Interval between two attempts to reach the owner. After [`OWNER_WAIT`] the former owner is likely
/// dead, and the next one takes seconds.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);
const SLOW_OWNER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// `Retry-After` in seconds while a cell has no owner: a handover takes a fraction of a second, and
/// a dead owner is replaced within three seconds.
const TAKEOVER_RETRY_S: u64 = 1;
/// `Retry-After` in seconds while the configuration is unverified. Another node may accept the key.
const VERIFICATION_RETRY_S: u64 = 1;

/// Handles a client's request.
pub async fn handle(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
    context.wait_for_config_read().await;
    let Some(config) = context.view().config.clone() else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, 1, "no configuration yet");
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
    let timeout = owner_timeout(&request).min(OWNER_TIMEOUT);
    if id_text.is_empty() {
        return match request.method {
            Method::GET => waiting_jobs(&context, &caller, queue, timeout).await,
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
        Method::POST => submit(&context, &caller, queue, id, &request, timeout).await,
        Method::GET => job_status(&context, &caller, queue, id, timeout).await,
        Method::DELETE => cancellations::cancel_job(&context, caller, queue, id, timeout).await,
        _ => HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
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

fn owner_timeout(request: &HttpRequest) -> Duration {
    let client_timeout = (request.header(DEADLINE_HEADER.as_str()))
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    client_timeout
        .saturating_sub(DEADLINE_MARGIN)
        .max(MIN_OWNER_TIMEOUT)
}

/// Returns the time limit of the next call for a request that ends at `deadline`.
fn remaining_timeout(context: &NodeContext, deadline: Duration) -> Duration {
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
    let operation = CellOperation::Submit { id, job };
    let response = send_cell_request(context, caller, &cell, &queue.key, operation, timeout).await;
    if response != CellResponse::Done {
        log::info!(
            "event=submission_answered job={id} queue={} cell={cell} answer={response:?}{caller}",
            queue.key
        );
    }
    response
}

/// Returns the status of a job from the cell that knows it.
async fn job_status(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    timeout: Duration,
) -> HttpResponse {
    let deadline = context.clock.now() + timeout;
    let cells = JobCells::find(context, queue, id);
    let is_partitioned = cells.current.is_some();
    for cell in cells
        .current
        .iter()
        .chain(&cells.former)
        .chain(&cells.others)
    {
        let operation = CellOperation::Show(id);
        let timeout = remaining_timeout(context, deadline);
        match send_cell_request(context, caller, cell, &queue.key, operation, timeout).await {
            CellResponse::NotFound => {}
            // The cell has the job, or it cannot be determined now whether it has.
            response => return client_response(response),
        }
    }
    if !is_partitioned {
        return client_response(no_workers_yet());
    }
    log::info!("event=job_unknown job={id} queue={}{caller}", queue.key);
    client_response(CellResponse::NotFound)
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

async fn waiting_jobs(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    timeout: Duration,
) -> HttpResponse {
    match count_waiting(context, caller, queue, timeout).await {
        Some(total) => client_response(CellResponse::Waiting(total)),
        None => client_response(CellResponse::NotOwner),
    }
}

/// Returns the number of waiting jobs of a queue; `None` if a cell of its pool does not respond.
pub async fn count_waiting(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    timeout: Duration,
) -> Option<u64> {
    let cells = context.view().cells_of(&queue.pool);
    if cells.is_empty() {
        return None;
    }
    let mut total = 0;
    for cell in cells {
        let operation = CellOperation::Waiting;
        match send_cell_request(context, caller, &cell, &queue.key, operation, timeout).await {
            CellResponse::Waiting(number) => total += number,
            _ => return None,
        }
    }
    Some(total)
}

/// Sends an operator's request to each pool's cell that may have a job. Returns the first response other
/// than "not found", with its cell.
pub async fn request_from_all_pools(
    context: &Arc<NodeContext>,
    id: JobId,
    operation: CellOperation,
    timeout: Duration,
) -> (CellName, CellResponse) {
    let cells: Vec<CellName> = {
        let view = context.view();
        (view.pools.keys())
            .filter_map(|pool| view.cell_of_job(pool, id))
            .filter(|cell| view.owners.contains_key(cell))
            .collect()
    };
    for cell in cells {
        let operator = Caller::Operator(None);
        let operation = operation.clone();
        let response = send_cell_request(context, &operator, &cell, "", operation, timeout).await;
        if response != CellResponse::NotFound {
            let cell = context.view().merged_cell(&cell);
            return (cell, response);
        }
    }
    (CellName::new(), CellResponse::NotFound)
}

/// Sends an operation to the owner of a cell, this node or a peer. If the owner of the cell changes,
/// waits for the new one: up to [`OWNER_WAIT`], and with a cancellation up to `timeout`, because
/// clients take one that they do not repeat for done.
pub async fn send_cell_request(
    context: &Arc<NodeContext>,
    caller: &Caller,
    cell: &CellName,
    queue: &str,
    operation: CellOperation,
    timeout: Duration,
) -> CellResponse {
    // Messages of deployments without workspaces stay as former versions expect them.
    let request = CellRequest {
        cell: cell.clone(),
        home: None,
        queue: queue.to_owned(),
        workspace: caller.workspace().cloned(),
        is_operator: matches!(caller, Caller::Operator(_)) && context.has_workspaces(),
        operation,
    };
    let started = context.clock.now();
    let wait = match request.operation {
        CellOperation::Cancel(_) => timeout,
        _ => OWNER_WAIT,
    };
    let mut call_timeout = timeout;
    loop {
        let response = send_cell_request_once(context, &request, call_timeout).await;
        let elapsed = context.clock.now().saturating_sub(started);
        if response != CellResponse::NotOwner || elapsed >= wait {
            return response;
        }
        context.owner_read_requested.notify_one();
        time::sleep(match elapsed < OWNER_WAIT {
            true => OWNER_POLL_INTERVAL,
            false => SLOW_OWNER_POLL_INTERVAL,
        })
        .await;
        call_timeout = timeout.saturating_sub(elapsed).max(MIN_OWNER_TIMEOUT);
    }
}

/// Sends an operation to the known owner of a cell, or of the one that it was merged into, without
/// waiting for another owner.
pub(crate) async fn send_cell_request_once(
    context: &Arc<NodeContext>,
    request: &CellRequest,
    timeout: Duration,
) -> CellResponse {
    let target = context.view().merged_cell(&request.cell);
    let request = &CellRequest {
        home: (target != request.cell).then(|| request.cell.clone()),
        cell: target,
        ..request.clone()
    };
    if let Some(local_cell) = context.cell(&request.cell) {
        return local_cell.handle(request.clone()).await;
    }
    let owner = context.view().owner_of(&request.cell);
    let Some((owner, address)) = owner.filter(|(node, _)| *node != context.settings.node) else {
        return CellResponse::NotOwner;
    };
    let call = match begin_call(context, request, &owner) {
        Ok(call) => call,
        Err(refusal) => return refusal,
    };
    let result = context.peers.call_cell(address, request, timeout).await;
    if let Some(call) = call {
        call.end(&result);
    }
    match result {
        Ok(response) => response,
        Err(error) if error.kind == ErrorKind::NotSent => {
            log::info!(
                "event=owner_unreachable cell={} owner={owner} error={error:?}",
                request.cell
            );
            CellResponse::NotOwner
        }
        Err(error) => {
            log::info!(
                "event=owner_silent cell={} owner={owner} error={error:?}",
                request.cell
            );
            match request.operation {
                CellOperation::Submit { .. } | CellOperation::Delegate(_) => {
                    CellResponse::Uncertain
                }
                _ => CellResponse::NotOwner,
            }
        }
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
