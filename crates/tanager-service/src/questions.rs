//! Clients' questions about jobs and queues at the node that takes them.

use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::QueueConfig;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use tokio::time;

use crate::authentication::Caller;
use crate::cell_calls::CallFailure;
use crate::cell_calls::MIN_OWNER_TIMEOUT;
use crate::cell_calls::OWNER_POLL_INTERVAL;
use crate::cell_calls::OWNER_WAIT;
use crate::cell_calls::call_owner;
use crate::cell_calls::cell_request;
use crate::job_api::JobCells;
use crate::job_api::no_workers_yet;
use crate::node::NodeContext;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::question_log::QuestionFailure;

/// What became of a question to the owner of a cell.
#[derive(Clone, Debug)]
struct QuestionOutcome {
    response: CellResponse,
    failure: Option<QuestionFailure>,
    cell: Option<CellName>,
    /// Node that was asked last.
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
        let outcome = ask_owner(context, &request, deadline).await;
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

/// Returns the number of waiting jobs of a queue; `None` if a cell of its pool does not respond.
pub(crate) async fn count_waiting(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    timeout: Duration,
) -> Option<u64> {
    let started = context.clock.now();
    let cells = context.view().cells_of(&queue.pool);
    let mut total = 0;
    let mut failed = None;
    if cells.is_empty() {
        let failure = QuestionFailure::NoPartition;
        failed = Some(QuestionOutcome::unasked(CellResponse::NotOwner, failure));
    }
    for cell in cells {
        let operation = CellOperation::Waiting;
        let request = cell_request(context, caller, &cell, &queue.key, operation);
        let outcome = ask_owner(context, &request, started + timeout).await;
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

/// Asks the owner of a cell. If the owner changes, waits for the new one up to [`OWNER_WAIT`].
async fn ask_owner(
    context: &Arc<NodeContext>,
    request: &CellRequest,
    deadline: Duration,
) -> QuestionOutcome {
    let started = context.clock.now();
    let mut attempts = 0;
    loop {
        let remaining = deadline.saturating_sub(context.clock.now());
        let timeout = remaining.max(MIN_OWNER_TIMEOUT);
        attempts += 1;
        let result = call_owner(context, request, timeout).await;
        let outcome = question_outcome(request, result, attempts);
        let elapsed = context.clock.now().saturating_sub(started);
        if outcome.response != CellResponse::NotOwner || elapsed >= OWNER_WAIT {
            return outcome;
        }
        context.owner_read_requested.notify_one();
        time::sleep(OWNER_POLL_INTERVAL).await;
    }
}

fn question_outcome(
    request: &CellRequest,
    result: Result<CellResponse, CallFailure>,
    attempts: u32,
) -> QuestionOutcome {
    let (failure, owner) = match &result {
        Ok(response) => (failed_response(response), None),
        Err(CallFailure::NoOwner) => (Some(QuestionFailure::NoOwner), None),
        Err(CallFailure::Withheld(_)) => (Some(QuestionFailure::Withheld), None),
        Err(CallFailure::Unreachable(owner)) => {
            (Some(QuestionFailure::Unreachable), Some(owner.clone()))
        }
        Err(CallFailure::Silent(owner)) => (Some(QuestionFailure::Silent), Some(owner.clone())),
    };
    QuestionOutcome {
        response: result.unwrap_or_else(|failure| failure.into_response(&request.operation)),
        failure,
        cell: Some(request.cell.clone()),
        owner,
        attempts,
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
