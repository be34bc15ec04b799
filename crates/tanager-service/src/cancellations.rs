//! Cancellations at the node that takes the client's request.
//!
//! A client that gets no confirmation may not ask again, and takes the job for cancelled. The node
//! therefore repeats an unconfirmed cancellation until the owner of the job's cell has stored it.

use std::sync::Arc;
use std::time::Duration;

use tanager_http::HttpResponse;
use tanager_jobs::JobId;
use tanager_jobs::QueueConfig;
use tanager_schedule::call_backoff::repeat_pause;
use tokio::sync::oneshot;
use tokio::time;

use crate::authentication::Caller;
use crate::cancellation_batches::cancel_in_batch;
use crate::cell_calls::send_cell_request;
use crate::context::NodeContext;
use crate::job_api::JobCells;
use crate::job_api::client_response;
use crate::job_api::no_workers_yet;
use crate::job_api::remaining_timeout;
use crate::peers::CellOperation;
use crate::peers::CellResponse;
use crate::supervision::spawn_task;

/// Time for which an unconfirmed cancellation is repeated, longer than a takeover beside an outage of
/// the store and an overload of the owner after them.
const REPEAT_PERIOD: Duration = Duration::from_secs(40);
/// Time limit of a repeated attempt.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Each such attempt to confirm a cancellation is sent alone, the others in batches.
const SINGLE_INTERVAL: u32 = 4;

/// Cancels a job. If no owner confirms that in time, the client is told so, and the node goes on in
/// the background. Unlike other requests, it also goes on if the client closes the connection.
pub async fn cancel_job(
    context: &Arc<NodeContext>,
    caller: Caller,
    queue: &QueueConfig,
    id: JobId,
    timeout: Duration,
) -> HttpResponse {
    let (sender, receiver) = oneshot::channel();
    let (task_context, queue) = (Arc::clone(context), queue.clone());
    spawn_task("cancellation", async move {
        let context = task_context;
        let started = context.clock.now();
        let result = find_and_cancel(&context, &caller, &queue, id, timeout, false).await;
        log::info!(
            "event=cancellation_answered job={id} queue={} answer={result:?} after={:?}{caller}",
            queue.key,
            context.clock.now().saturating_sub(started)
        );
        let (is_final, retry_after) = (is_final(&result), retry_after(&result));
        // The client may have closed the connection.
        let _ = sender.send(result);
        if !is_final {
            repeat(&context, &caller, &queue, id, retry_after).await;
        }
    });
    client_response(receiver.await.unwrap_or(CellResponse::Uncertain))
}

/// Cancels a job in each cell that it may have been submitted to. These cells store the cancellation
/// even if they do not know the job; cells of other pools are only asked whether they have it.
async fn find_and_cancel(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    timeout: Duration,
    is_batched: bool,
) -> CellResponse {
    let cells = JobCells::find(context, queue, id);
    let deadline = context.clock.now() + timeout;
    let send = |cell, operation| {
        let timeout = remaining_timeout(context, deadline);
        send_cell_request(context, caller, cell, &queue.key, operation, timeout)
    };
    let cancel = async |cell| match is_batched {
        true => cancel_in_batch(context, caller, cell, &queue.key, id).await,
        false => send(cell, CellOperation::Cancel(id)).await,
    };
    let mut result = CellResponse::NotFound;
    for cell in cells.current.iter().chain(&cells.former) {
        match cancel(cell).await {
            CellResponse::NotFound => {}
            response if is_final(&result) => result = response,
            _ => {}
        }
    }
    if result != CellResponse::NotFound {
        return result;
    }
    for cell in &cells.others {
        match send(cell, CellOperation::Known(id)).await {
            CellResponse::NotFound | CellResponse::Cancelled => {}
            CellResponse::Done => return cancel(cell).await,
            response => return response,
        }
    }
    match cells.current {
        Some(_) => CellResponse::NotFound,
        None => no_workers_yet(),
    }
}

/// Returns whether a response is certain: the job will not run any more, or the caller may not
/// cancel it.
fn is_final(response: &CellResponse) -> bool {
    use CellResponse::Done;
    use CellResponse::Forbidden;
    use CellResponse::NotFound;
    matches!(response, Done | NotFound | Forbidden)
}

/// Returns the time after which the owner of a cell wants to be asked again.
fn retry_after(response: &CellResponse) -> Option<Duration> {
    match response {
        CellResponse::Refused { retry_after, .. } => Some(Duration::from_secs(*retry_after)),
        _ => None,
    }
}

async fn repeat(
    context: &Arc<NodeContext>,
    caller: &Caller,
    queue: &QueueConfig,
    id: JobId,
    mut wanted: Option<Duration>,
) {
    let Ok(_permit) = context.cancellation_permits.try_acquire() else {
        log::warn!("event=cancellation_not_repeated job={id}{caller}");
        return;
    };
    let end = context.clock.now() + REPEAT_PERIOD;
    let mut attempts = 0;
    while context.clock.now() < end {
        attempts += 1;
        time::sleep(repeat_pause(attempts, wanted, rand::random())).await;
        // Owners of former versions confirm only cancellations that come alone.
        let is_batched = attempts % SINGLE_INTERVAL != 0;
        let timeout = REPEAT_TIMEOUT;
        let result = find_and_cancel(context, caller, queue, id, timeout, is_batched).await;
        if is_final(&result) {
            log::info!("event=cancellation_confirmed job={id} attempts={attempts}{caller}");
            return;
        }
        wanted = retry_after(&result);
    }
    log::warn!("event=cancellation_unconfirmed job={id} attempts={attempts}{caller}");
}
