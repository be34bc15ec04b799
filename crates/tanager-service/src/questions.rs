//! Clients' questions about jobs and queues at the node that takes them.

use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::QueueConfig;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use tanager_site::job_api::JobStatus;
use tokio::time;

use crate::authentication::Caller;
use crate::authentication::JobAccess;
use crate::authentication::may_access;
use crate::cell_calls::CallFailure;
use crate::cell_calls::RepeatedCall;
use crate::cell_calls::call_until_answered;
use crate::cell_calls::cell_request;
use crate::context::NodeContext;
use crate::job_api::JobCells;
use crate::job_api::no_workers_yet;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::question_log::QuestionFailure;
use crate::stored_status;
use crate::stored_status::status_of_rows;

/// Time without an answer of the owner, or half of the time for which the client waits if that is shorter,
/// after which the status of a job is read from the store.
const STORED_READ_WAIT: Duration = Duration::from_secs(1);
/// Interval between two such reads, and the time limit of a call of one.
const STORED_READ_PERIOD: Duration = Duration::from_millis(400);
const STORED_READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What became of a question to the owner of a cell.
#[derive(Clone, Debug)]
struct QuestionOutcome {
    response: CellResponse,
    failure: Option<QuestionFailure>,
    cell: Option<CellName>,
    /// Owner of the cell, if it is known.
    owner: Option<NodeName>,
    attempts: u32,
}

impl QuestionOutcome {
    /// Outcome of a question that no owner was asked.
    fn unasked(response: CellResponse, failure: QuestionFailure) -> Self {
        Self {
            response,
            failure: Some(failure),
            cell: None,
            owner: None,
            attempts: 0,
        }
    }
}

/// Returns the status of a job from the cell that knows it.
pub(crate) async fn job_status(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    timeout: Duration,
) -> CellResponse {
    let started = context.clock.now();
    let outcome = find_job(context, caller, queue, id, started + timeout).await;
    log_failure(
        context,
        &outcome,
        &format!("job={id}"),
        queue,
        caller,
        started,
    );
    outcome.response
}

async fn find_job(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    deadline: Duration,
) -> QuestionOutcome {
    let cells = JobCells::find(context, queue, id);
    let candidates = (cells.current.iter())
        .chain(&cells.former)
        .chain(&cells.others);
    let mut last = None;
    for cell in candidates {
        let request = cell_request(context, caller, cell, &queue.key, CellOperation::Show(id));
        let outcome = ask_owner(context, caller, &request, deadline).await;
        // Any other response: the cell has the job, or it cannot be determined now whether it has.
        if outcome.response != CellResponse::NotFound {
            return outcome;
        }
        last = Some(outcome);
    }
    match (cells.current, last) {
        (Some(_), Some(outcome)) => outcome,
        _ => QuestionOutcome::unasked(no_workers_yet(), QuestionFailure::NoPartition),
    }
}

/// Returns the number of waiting jobs of a queue as a response.
pub(crate) async fn waiting_jobs(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    timeout: Duration,
) -> CellResponse {
    match count_waiting(context, caller, queue, timeout).await {
        Some(total) => CellResponse::Waiting(total),
        None => CellResponse::NotOwner,
    }
}

/// Returns the cells that may have jobs of a queue: those of its pool, and of the pools that it had before.
/// Empty if the pool is not partitioned yet.
fn cells_of_queue(context: &NodeContext, queue: &QueueConfig) -> Vec<CellName> {
    let view = context.view();
    let mut cells = view.cells_of(&queue.pool);
    if !cells.is_empty() {
        let former = view.previous_pools.get(&queue.key);
        let former = former.into_iter().flatten();
        for pool in former.filter(|pool| **pool != queue.pool) {
            cells.extend(view.cells_of(pool));
        }
    }
    cells
}

/// Returns the number of waiting jobs of a queue; `None` if a cell of its pools does not respond.
pub(crate) async fn count_waiting(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    timeout: Duration,
) -> Option<u64> {
    let started = context.clock.now();
    let cells = cells_of_queue(context, queue);
    let mut total = 0;
    let mut failed = None;
    if cells.is_empty() {
        let failure = QuestionFailure::NoPartition;
        failed = Some(QuestionOutcome::unasked(CellResponse::NotOwner, failure));
    }
    for cell in cells {
        let operation = CellOperation::Waiting;
        let request = cell_request(context, caller, &cell, &queue.key, operation);
        let outcome = ask_owner(context, caller, &request, started + timeout).await;
        match outcome.response {
            CellResponse::Waiting(number) => total += number,
            _ => {
                failed = Some(outcome);
                break;
            }
        }
    }
    let Some(outcome) = failed else {
        return Some(total);
    };
    log_failure(context, &outcome, "waiting", queue, caller, started);
    None
}

/// Asks the owner of a cell for as long as the client waits. The status of a job is read from the store if
/// the owner does not answer in a part of that time.
async fn ask_owner(
    context: &Arc<NodeContext>,
    caller: &Caller,
    request: &CellRequest,
    deadline: Duration,
) -> QuestionOutcome {
    let started = context.clock.now();
    let outcome = async {
        let call = call_until_answered(context, request, deadline).await;
        let owner = context.view().owner_of(&request.cell).map(|(node, _)| node);
        question_outcome(request, call, owner)
    };
    let CellOperation::Show(id) = request.operation else {
        return outcome.await;
    };
    let wait = STORED_READ_WAIT.min(deadline.saturating_sub(started) / 2);
    tokio::select! {
        biased;
        outcome = outcome => outcome,
        response = read_status(context, caller, request, id, wait) => {
            log::info!(
                "event=status_from_store job={id} cell={} answer={response:?} after={:?}{caller}",
                request.cell,
                context.clock.now().saturating_sub(started)
            );
            context.metrics.stored_answers.increment();
            QuestionOutcome {
                failure: failed_response(&response),
                response,
                cell: Some(request.cell.clone()),
                owner: None,
                attempts: 0,
            }
        }
    }
}

/// Returns the response that the stored rows of a job give, after a wait. Does not end while they give none.
async fn read_status(
    context: &NodeContext,
    caller: &Caller,
    request: &CellRequest,
    id: JobId,
    wait: Duration,
) -> CellResponse {
    time::sleep(wait).await;
    loop {
        if let Some(response) = read_status_once(context, caller, request, id).await {
            return response;
        }
        time::sleep(STORED_READ_PERIOD).await;
    }
}

async fn read_status_once(
    context: &NodeContext,
    caller: &Caller,
    request: &CellRequest,
    id: JobId,
) -> Option<CellResponse> {
    let (target, nodes) = {
        let view = context.view();
        (view.merged_cell(&request.cell), view.nodes.len())
    };
    // The owner of the other cell copies the rows of a merged one, and then removes them.
    let mut parts = vec![target];
    if parts[0] != request.cell {
        parts.push(request.cell.clone());
    }
    let mut found = None;
    for part in parts {
        let (rate, now) = (context.settings.store.reads_per_s, context.clock.now());
        if !context.stored_reads.take(rate, nodes, now) {
            break;
        }
        let rows = stored_status::read_job(&context.store, &part, id, STORED_READ_TIMEOUT).await;
        match rows.map(|rows| status_of_rows(id, &rows)) {
            Ok(Some((_, JobStatus::Queued | JobStatus::Running))) if found.is_some() => {}
            Ok(Some(status)) => found = Some(status),
            Ok(None) => {}
            Err(error) => log::debug!("event=status_not_read job={id} cell={part} error={error:?}"),
        }
    }
    let (job, status) = found?;
    let is_open = *caller == Caller::Open && !context.has_workspaces();
    match is_open || may_access(caller, JobAccess::Read, &request.queue, &job) {
        true => Some(CellResponse::State(status)),
        false => Some(CellResponse::Forbidden),
    }
}

fn question_outcome(
    request: &CellRequest,
    call: RepeatedCall,
    owner: Option<NodeName>,
) -> QuestionOutcome {
    let failure = match &call.result {
        Ok(response) => failed_response(response),
        Err(CallFailure::NoOwner) => Some(QuestionFailure::NoOwner),
        Err(CallFailure::Withheld(_)) => Some(QuestionFailure::Withheld),
        Err(CallFailure::Unreachable) => Some(QuestionFailure::Unreachable),
        Err(CallFailure::Silent) => Some(QuestionFailure::Silent),
    };
    QuestionOutcome {
        failure,
        cell: Some(request.cell.clone()),
        owner,
        attempts: call.calls,
        response: call.into_response(&request.operation),
    }
}

fn failed_response(response: &CellResponse) -> Option<QuestionFailure> {
    match response {
        CellResponse::State(_) | CellResponse::Waiting(_) => None,
        CellResponse::NotFound => Some(QuestionFailure::Unknown),
        CellResponse::Forbidden => Some(QuestionFailure::Forbidden),
        CellResponse::Uncertain => Some(QuestionFailure::Uncertain),
        CellResponse::NotOwner => Some(QuestionFailure::NotOwner),
        _ => Some(QuestionFailure::Refused),
    }
}

fn log_failure(
    context: &NodeContext,
    outcome: &QuestionOutcome,
    subject: &str,
    queue: &QueueConfig,
    caller: &Caller,
    started: Duration,
) {
    let Some(failure) = outcome.failure else {
        return;
    };
    let failed_questions = &context.metrics.failed_questions;
    let now = context.clock.now();
    if failure == QuestionFailure::Unknown {
        failed_questions.count(failure);
        log::info!("event=job_unknown {subject} queue={}{caller}", queue.key);
        return;
    }
    let Some(omitted) = failed_questions.record(failure, now) else {
        return;
    };
    log::info!(
        "event=question_failed {subject} queue={} cell={} owner={} reason={failure} attempts={} \
         after={:?} lag={:?} omitted={omitted} answer={:?}{caller}",
        queue.key,
        outcome.cell.as_deref().unwrap_or("-"),
        outcome.owner.as_deref().unwrap_or("-"),
        outcome.attempts,
        now.saturating_sub(started),
        context.lag_since(started),
        outcome.response
    );
}
