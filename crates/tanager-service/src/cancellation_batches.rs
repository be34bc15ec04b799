//! Repeated cancellations of a node, sent to the owner of a cell in one call at a time.
//!
//! Answers the load of hundreds of unconfirmed cancellations: a call for each of them costs an
//! overloaded owner more than the cancellations themselves.

use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::ids::CellName;
use tokio::sync::oneshot;
use tokio::time;

use crate::authentication::Caller;
use crate::cell_calls::send_cell_request;
use crate::context::NodeContext;
use crate::peers::CancelledJob;
use crate::peers::CellOperation;
use crate::peers::CellResponse;
use crate::supervision::spawn_task;
use crate::waiting_cancellations::WaitingCancellation;

/// Time for which the first cancellation of a batch waits for others.
const COLLECT_PERIOD: Duration = Duration::from_millis(50);
/// Time limit of a call: longer than the owner waits for the store, so that its answer is not missed.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Cancels a job in a cell with the next call for the cell; returns the owner's response to it.
pub(crate) async fn cancel_in_batch(
    context: &Arc<NodeContext>,
    caller: &Caller,
    cell: &CellName,
    queue: &str,
    id: JobId,
) -> CellResponse {
    let (sender, receiver) = oneshot::channel();
    let cancellation = WaitingCancellation {
        job: CancelledJob {
            id,
            queue: queue.to_owned(),
            workspace: caller.workspace().cloned(),
            is_operator: matches!(caller, Caller::Operator(_)) && context.has_workspaces(),
        },
        response: sender,
    };
    if context.cancellation_batches.add(cell, cancellation) {
        let (context, cell) = (Arc::clone(context), cell.clone());
        spawn_task("cancellation_batches", send_batches(context, cell));
    }
    receiver.await.unwrap_or(CellResponse::NotOwner)
}

/// Sends the waiting cancellations of a cell, one call at a time, until none waits.
async fn send_batches(context: Arc<NodeContext>, cell: CellName) {
    loop {
        time::sleep(COLLECT_PERIOD).await;
        let batch = context.cancellation_batches.take(&cell);
        if batch.is_empty() {
            return;
        }
        let metrics = &context.metrics;
        metrics.cancellations_batched.add(batch.len() as u64);
        metrics.cancellation_batches.increment();
        let jobs = batch.iter().map(|cancellation| cancellation.job.clone());
        let operation = CellOperation::CancelMany(jobs.collect());
        // Each job names its own caller.
        let caller = Caller::Open;
        let timeout = BATCH_TIMEOUT;
        let response = send_cell_request(&context, &caller, &cell, "", operation, timeout).await;
        log::debug!("event=cancellations_sent cell={cell} count={}", batch.len());
        let mut responses = match response {
            CellResponse::Many(responses) if responses.len() == batch.len() => responses,
            response => vec![response; batch.len()],
        };
        for (cancellation, response) in batch.into_iter().zip(responses.drain(..)) {
            // The task that repeats the cancellation may have ended.
            let _ = cancellation.response.send(response);
        }
    }
}
