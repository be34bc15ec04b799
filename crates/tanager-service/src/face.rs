//! Clients' requests: finds the queue, asks the owner of the job's cell, and answers.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_jobs::JobId;
use tanager_jobs::QueueConfig;
use tanager_jobs::ids::CellName;
use tanager_protocol::error::ErrorKind;
use tanager_site::face::encode_state;
use tanager_site::face::encode_waiting;
use tokio::time;

use crate::node::NodeContext;
use crate::peers::CellAnswer;
use crate::peers::CellAsk;
use crate::peers::CellRequest;
use crate::peers::SubmittedJob;

/// Header with the time that the client waits for a response.
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-milliseconds");
/// Time that a client is assumed to wait if it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_millis(3_000);
/// Time that is left for the response to reach the client.
const DEADLINE_MARGIN: Duration = Duration::from_millis(150);
/// An owner gets at least this long, also when the client will have left by then.
const SHORTEST_WAIT: Duration = Duration::from_millis(150);
/// Longest time for the owner's answer. A submission that the store answers takes far less.
const OWNER_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time for which a request waits for a cell that is being handed over. It is below a quarter of
/// the shortest objective, so that a refusal after it is still early.
const OWNER_WAIT: Duration = Duration::from_millis(250);
/// Pause between two looks for the owner.
const OWNER_PAUSE: Duration = Duration::from_millis(40);
/// Retry time told while a cell has no owner: a handover takes a fraction of a second, and a dead
/// owner is replaced within three.
const TAKEOVER_RETRY_S: u64 = 1;

/// Answers a client's request.
pub async fn handle(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
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
    let name = &path[queue.path_prefix.len()..];
    let limit = deadline(&request).min(OWNER_TIMEOUT);
    if name.is_empty() {
        return match request.method {
            Method::GET => waiting(&context, queue, limit).await,
            _ => HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED, "only GET"),
        };
    }
    let Ok(id) = name.parse::<JobId>() else {
        return HttpResponse::new(StatusCode::BAD_REQUEST, "not the id of a job");
    };
    match request.method {
        Method::POST if request.body.len() > config.max_body => {
            HttpResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Method::POST => submit(&context, queue, id, &request, limit).await,
        Method::GET => find(&context, queue, id, CellAsk::Show(id), limit).await,
        Method::DELETE => find(&context, queue, id, CellAsk::Cancel(id), limit).await,
        _ => HttpResponse::new(StatusCode::METHOD_NOT_ALLOWED, "GET, POST or DELETE"),
    }
}

fn deadline(request: &HttpRequest) -> Duration {
    let wanted = (request.header(DEADLINE.as_str()))
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    wanted.saturating_sub(DEADLINE_MARGIN).max(SHORTEST_WAIT)
}

async fn submit(
    context: &Arc<NodeContext>,
    queue: &QueueConfig,
    id: JobId,
    request: &HttpRequest,
    limit: Duration,
) -> HttpResponse {
    let Ok(body) = std::str::from_utf8(&request.body) else {
        return HttpResponse::new(StatusCode::BAD_REQUEST, "the body is not UTF-8");
    };
    let job = SubmittedJob::Body(body.to_owned());
    respond(hand_in(context, queue, id, job, limit).await)
}

/// Hands a job to the owner of its cell.
pub async fn hand_in(
    context: &Arc<NodeContext>,
    queue: &QueueConfig,
    id: JobId,
    job: SubmittedJob,
    limit: Duration,
) -> CellAnswer {
    let refused = |reason: &str| CellAnswer::Refused {
        retry_after: 1,
        overload: false,
        reason: reason.to_owned(),
    };
    // The same id may have been accepted before the queue was directed to another pool.
    for cell in former_cells(context, queue, id) {
        match ask(context, &cell, &queue.key, CellAsk::Known(id), limit).await {
            CellAnswer::Done => return CellAnswer::Done,
            CellAnswer::NotFound => {}
            _ => return refused("a former owner is away"),
        }
    }
    let Some(cell) = context.view().cell_of(&queue.pool, id) else {
        return refused("the pool has no workers yet");
    };
    let ask_submit = CellAsk::Submit { id, job };
    let answer = ask(context, &cell, &queue.key, ask_submit, limit).await;
    if answer != CellAnswer::Done {
        log::info!(
            "event=submission_answered job={id} queue={} cell={cell} answer={answer:?}",
            queue.key
        );
    }
    answer
}

/// Returns the cells that a job of this queue may be in because of earlier configurations.
fn former_cells(context: &NodeContext, queue: &QueueConfig, id: JobId) -> Vec<CellName> {
    let view = context.view();
    let Some(pools) = view.past_pools.get(&queue.key) else {
        return Vec::new();
    };
    (pools.iter())
        .filter(|pool| **pool != queue.pool)
        .filter_map(|pool| view.cell_of(pool, id))
        .collect()
}

/// Asks about a job: first in the cell that it is in by the configuration in force, then, if it
/// is not known there, in the cells of the other pools.
async fn find(
    context: &Arc<NodeContext>,
    queue: &QueueConfig,
    id: JobId,
    question: CellAsk,
    limit: Duration,
) -> HttpResponse {
    let (first, others) = {
        let view = context.view();
        let first = view.cell_of(&queue.pool, id);
        let others: Vec<CellName> = (view.pools.keys())
            .filter(|pool| **pool != queue.pool)
            .filter_map(|pool| view.cell_of(pool, id))
            .filter(|cell| view.owners.contains_key(cell))
            .collect();
        (first, others)
    };
    let Some(first) = first else {
        return refusal(
            StatusCode::SERVICE_UNAVAILABLE,
            1,
            "the pool has no workers yet",
        );
    };
    let answer = ask(context, &first, &queue.key, question.clone(), limit).await;
    if answer != CellAnswer::NotFound {
        return respond(answer);
    }
    for cell in others {
        match ask(context, &cell, &queue.key, question.clone(), limit).await {
            CellAnswer::NotFound => {}
            // Whether the job is there cannot be said now.
            answer => return respond(answer),
        }
    }
    log::info!(
        "event=job_unknown job={id} queue={} cell={first}",
        queue.key
    );
    respond(CellAnswer::NotFound)
}

async fn waiting(context: &Arc<NodeContext>, queue: &QueueConfig, limit: Duration) -> HttpResponse {
    match count_waiting(context, queue, limit).await {
        Some(total) => respond(CellAnswer::Waiting(total)),
        None => respond(CellAnswer::NotOwner),
    }
}

/// Returns the number of waiting jobs of a queue; `None` when a cell of its pool does not answer.
pub async fn count_waiting(
    context: &Arc<NodeContext>,
    queue: &QueueConfig,
    limit: Duration,
) -> Option<u64> {
    let cells = context.view().cells_of(&queue.pool);
    if cells.is_empty() {
        return None;
    }
    let mut total = 0;
    for cell in cells {
        match ask(context, &cell, &queue.key, CellAsk::Waiting, limit).await {
            CellAnswer::Waiting(number) => total += number,
            _ => return None,
        }
    }
    Some(total)
}

/// Asks the cell of each pool that may have a job. Returns the first answer other than "not
/// found", with its cell.
pub async fn ask_everywhere(
    context: &Arc<NodeContext>,
    id: JobId,
    question: CellAsk,
    limit: Duration,
) -> (CellName, CellAnswer) {
    let cells: Vec<CellName> = {
        let view = context.view();
        (view.pools.keys())
            .filter_map(|pool| view.cell_of(pool, id))
            .filter(|cell| view.owners.contains_key(cell))
            .collect()
    };
    for cell in cells {
        let answer = ask(context, &cell, "", question.clone(), limit).await;
        if answer != CellAnswer::NotFound {
            return (cell, answer);
        }
    }
    (CellName::new(), CellAnswer::NotFound)
}

/// Asks the owner of a cell, here or at a peer. Waits a little for a cell that changes its owner.
async fn ask(
    context: &Arc<NodeContext>,
    cell: &CellName,
    queue: &str,
    question: CellAsk,
    limit: Duration,
) -> CellAnswer {
    let request = CellRequest {
        cell: cell.clone(),
        queue: queue.to_owned(),
        ask: question,
    };
    let began = context.clock.now();
    loop {
        let answer = ask_once(context, &request, limit).await;
        let passed = context.clock.now().saturating_sub(began);
        if answer != CellAnswer::NotOwner || passed >= OWNER_WAIT {
            return answer;
        }
        context.poked.notify_one();
        time::sleep(OWNER_PAUSE).await;
    }
}

async fn ask_once(
    context: &Arc<NodeContext>,
    request: &CellRequest,
    limit: Duration,
) -> CellAnswer {
    if let Some(own) = context.cell(&request.cell) {
        return own.handle(request.clone()).await;
    }
    let owner = context.view().owner_of(&request.cell);
    let Some((owner, address)) = owner.filter(|(node, _)| *node != context.settings.node) else {
        return CellAnswer::NotOwner;
    };
    match context.peers.ask(address, request, limit).await {
        Ok(answer) => answer,
        Err(error) if error.kind == ErrorKind::NotSent => {
            log::info!(
                "event=owner_unreachable cell={} owner={owner} error={error:?}",
                request.cell
            );
            CellAnswer::NotOwner
        }
        Err(error) => {
            log::info!(
                "event=owner_silent cell={} owner={owner} error={error:?}",
                request.cell
            );
            match request.ask {
                CellAsk::Submit { .. } => CellAnswer::Uncertain,
                _ => CellAnswer::NotOwner,
            }
        }
    }
}

/// Translates the owner's answer for the client.
fn respond(answer: CellAnswer) -> HttpResponse {
    match answer {
        CellAnswer::Done => HttpResponse::typed(StatusCode::OK, "application/json", "{}"),
        CellAnswer::Refused {
            retry_after,
            overload,
            reason,
        } => {
            let status = match overload {
                true => StatusCode::TOO_MANY_REQUESTS,
                false => StatusCode::SERVICE_UNAVAILABLE,
            };
            refusal(status, retry_after, &reason)
        }
        CellAnswer::Uncertain => HttpResponse::new(
            StatusCode::GATEWAY_TIMEOUT,
            "it is not known whether the job is stored; send it again with the same id",
        ),
        CellAnswer::Invalid(error) => HttpResponse::new(StatusCode::BAD_REQUEST, error),
        CellAnswer::State(state) => {
            HttpResponse::typed(StatusCode::OK, "application/json", encode_state(state))
        }
        CellAnswer::NotFound => HttpResponse::new(StatusCode::GONE, "no such job"),
        CellAnswer::Waiting(number) => {
            HttpResponse::typed(StatusCode::OK, "application/json", encode_waiting(number))
        }
        // A load is asked for by nodes only; to a client the cell cannot be reached.
        CellAnswer::Load(_) | CellAnswer::NotOwner => refusal(
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
