//! Calls to the owners of cells, this node or a peer.

use std::future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tanager_jobs::JobId;
use tanager_jobs::ids::CellName;
use tanager_protocol::error::ErrorKind;
use tanager_schedule::call_attempts::CallAttempts;
use tanager_schedule::call_attempts::CallStep;
use tokio::time;

use crate::authentication::Caller;
use crate::call_guard::begin_call;
use crate::context::NodeContext;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;

/// Minimum time limit for the owner's response, even if it exceeds the client's deadline.
pub(crate) const MIN_OWNER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a request waits for the new owner of a cell. It is less than a quarter of the
/// shortest latency objective, so that a refusal after this wait comes well within the objective.
const OWNER_WAIT: Duration = Duration::from_millis(250);
/// Interval between two attempts to reach the owner.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Failed calls of a request, from the first one on, after which this node reads the owners at once. The
/// owner is likely dead after that, and the node that replaces it says so.
const OWNER_READ_REQUESTS: u32 = 3;

/// Why a call to the owner of a cell has no answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum CallFailure {
    /// No owner of the cell is known, or this node is the owner and has not loaded the cell.
    NoOwner,
    /// The call was not passed on, because the owner answers too slowly or refuses the sender.
    Withheld(CellResponse),
    /// The owner did not receive the call.
    Unreachable,
    /// The owner may have received the call.
    Silent,
}

impl CallFailure {
    /// Returns the response that a failed call stands for.
    fn into_response(self, operation: &CellOperation) -> CellResponse {
        match (self, operation) {
            (Self::Withheld(refusal), _) => refusal,
            (Self::Silent, CellOperation::Submit { .. } | CellOperation::Delegate(_)) => {
                CellResponse::Uncertain
            }
            _ => CellResponse::NotOwner,
        }
    }
}

/// Sends an operation to the owner of a cell, this node or a peer. If the owner of the cell changes,
/// waits for the new one: up to [`OWNER_WAIT`]. A cancellation is repeated up to `timeout`, because
/// clients take one that they do not repeat for done.
pub(crate) async fn send_cell_request(
    context: &Arc<NodeContext>,
    caller: &Caller,
    cell: &CellName,
    queue: &str,
    operation: CellOperation,
    timeout: Duration,
) -> CellResponse {
    let request = cell_request(context, caller, cell, queue, operation);
    let started = context.clock.now();
    if matches!(request.operation, CellOperation::Cancel(_)) {
        let call = call_until_answered(context, &request, started + timeout).await;
        return call.into_response(&request.operation);
    }
    let mut call_timeout = timeout;
    loop {
        let response = send_cell_request_once(context, &request, call_timeout).await;
        let elapsed = context.clock.now().saturating_sub(started);
        if response != CellResponse::NotOwner || elapsed >= OWNER_WAIT {
            return response;
        }
        context.owner_read_requested.notify_one();
        time::sleep(OWNER_POLL_INTERVAL).await;
        call_timeout = timeout.saturating_sub(elapsed).max(MIN_OWNER_TIMEOUT);
    }
}

/// Result of a call that was repeated.
#[derive(Debug)]
pub(crate) struct RepeatedCall {
    /// Response, or why the last call that ended has none.
    pub(crate) result: Result<CellResponse, CallFailure>,
    /// Number of calls.
    pub(crate) calls: u32,
}

impl RepeatedCall {
    /// Returns the response, or the one that the failure stands for.
    pub(crate) fn into_response(self, operation: &CellOperation) -> CellResponse {
        (self.result).unwrap_or_else(|failure| failure.into_response(operation))
    }
}

/// Calls the owner of a cell until it answers, at most until `deadline`, for an operation that may be
/// repeated.
pub(crate) async fn call_until_answered(
    context: &Arc<NodeContext>,
    request: &CellRequest,
    deadline: Duration,
) -> RepeatedCall {
    let mut attempts = CallAttempts::new(context.clock.now(), deadline);
    let mut calls = FuturesUnordered::new();
    let mut result = Err(CallFailure::NoOwner);
    loop {
        let now = context.clock.now();
        let wait_until = match attempts.next_step(now) {
            CallStep::Call { is_repeat } => {
                if is_repeat {
                    close_idle_connections(context, request);
                }
                let timeout = deadline.saturating_sub(now).max(MIN_OWNER_TIMEOUT);
                calls.push(call_owner(context, request, timeout));
                continue;
            }
            CallStep::Wait(until) => until,
            CallStep::GiveUp => break,
        };
        let is_withheld = matches!(result, Err(CallFailure::Withheld(_)));
        let cell = context.view().merged_cell(&request.cell);
        tokio::select! {
            Some(ended) = calls.next() => {
                let is_answered = ended.as_ref().is_ok_and(|response| is_answer(request, response));
                result = ended;
                if is_answered {
                    break;
                }
                attempts.record_failure(context.clock.now());
                if !matches!(result, Err(CallFailure::Withheld(_)))
                    && attempts.calls() <= OWNER_READ_REQUESTS
                {
                    context.owner_read_requested.notify_one();
                }
            }
            () = sleep_until(context, wait_until) => {}
            () = context.call_guard.call_ended(&cell), if is_withheld => {
                attempts.end_pause(context.clock.now());
            }
        }
    }
    RepeatedCall {
        result,
        calls: attempts.calls(),
    }
}

/// Returns whether a response ends a repeated call.
fn is_answer(request: &CellRequest, response: &CellResponse) -> bool {
    match (&request.operation, response) {
        (_, CellResponse::NotOwner) => false,
        (CellOperation::Cancel(_), _) => true,
        (_, CellResponse::Refused { .. }) => false,
        _ => true,
    }
}

/// Closes the idle connections to the owner of a cell: others may be silent as the one in use.
fn close_idle_connections(context: &NodeContext, request: &CellRequest) {
    let owner = {
        let view = context.view();
        view.owner_of(&view.merged_cell(&request.cell))
    };
    if let Some((_, address)) = owner {
        context.peers.close_idle_connections(address);
    }
}

async fn sleep_until(context: &NodeContext, until: Option<Duration>) {
    match until {
        Some(until) => time::sleep(until.saturating_sub(context.clock.now())).await,
        None => future::pending().await,
    }
}

/// Builds a request to the owner of a cell.
pub(crate) fn cell_request(
    context: &NodeContext,
    caller: &Caller,
    cell: &CellName,
    queue: &str,
    operation: CellOperation,
) -> CellRequest {
    // Messages of deployments without workspaces stay as former versions expect them.
    CellRequest {
        cell: cell.clone(),
        home: None,
        queue: queue.to_owned(),
        workspace: caller.workspace().cloned(),
        is_operator: matches!(caller, Caller::Operator(_)) && context.has_workspaces(),
        operation,
    }
}

/// Sends an operation to the known owner of a cell, or of the one that it was merged into, without
/// waiting for another owner.
pub(crate) async fn send_cell_request_once(
    context: &Arc<NodeContext>,
    request: &CellRequest,
    timeout: Duration,
) -> CellResponse {
    match call_owner(context, request, timeout).await {
        Ok(response) => response,
        Err(failure) => failure.into_response(&request.operation),
    }
}

/// Sends an operation to the known owner of a cell, or of the one that it was merged into.
///
/// # Errors
///
/// Why there is no answer of the owner.
pub(crate) async fn call_owner(
    context: &Arc<NodeContext>,
    request: &CellRequest,
    timeout: Duration,
) -> Result<CellResponse, CallFailure> {
    let target = context.view().merged_cell(&request.cell);
    let request = &CellRequest {
        home: (target != request.cell).then(|| request.cell.clone()),
        cell: target,
        ..request.clone()
    };
    if let Some(local_cell) = context.cell(&request.cell) {
        // The client's request may have waited in the socket of this node.
        let age = context.recent_lag();
        return Ok(local_cell.handle(request.clone(), age).await);
    }
    let owner = context.view().owner_of(&request.cell);
    let Some((owner, address)) = owner.filter(|(node, _)| *node != context.settings.node) else {
        return Err(CallFailure::NoOwner);
    };
    let call = match begin_call(&context.call_guard, context.clock, request, &owner) {
        Ok(call) => call,
        Err(refusal) => {
            context.metrics.calls_withheld.increment();
            return Err(CallFailure::Withheld(refusal));
        }
    };
    let result = context.peers.call_cell(address, request, timeout).await;
    if let Some(call) = call {
        // The response may wait in this node's own socket.
        call.end(&result, context.recent_lag());
    }
    result.map_err(|error| match error.kind {
        ErrorKind::NotSent => {
            // Calls that may be repeated fail some ten times each while an owner is dead.
            let line = context.call_guard.take_line(context.clock.now());
            if let Some(omitted) = line {
                log::info!(
                    "event=owner_unreachable cell={} owner={owner} omitted={omitted} error={error:?}",
                    request.cell
                );
            }
            CallFailure::Unreachable
        }
        _ => {
            log::info!(
                "event=owner_silent cell={} owner={owner} error={error:?}",
                request.cell
            );
            CallFailure::Silent
        }
    })
}

/// Sends an operator's request to each pool's cell that may have a job. Returns the first response other
/// than "not found", with its cell.
pub(crate) async fn request_from_all_pools(
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
