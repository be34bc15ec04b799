//! Runs the decisions of a cell: on request, and regularly, because some depend on time alone.

use std::sync::Arc;
use std::time::Duration;

use tanager_schedule::decision_timing::decision_delay;
use tokio::time;

use crate::cell::CellHandle;

/// Interval between decisions without an event.
const TICK_PERIOD: Duration = Duration::from_millis(50);

impl CellHandle {
    /// Asks for decisions soon. Callers that need their result at once use `run_decisions`.
    pub(crate) fn request_decisions(&self) {
        self.decisions_requested.notify_one();
    }
}

/// Runs the decisions of a cell until it is closed.
pub(crate) async fn run(cell: Arc<CellHandle>) {
    let mut closed = cell.closed();
    let mut last_run = None;
    loop {
        let is_requested = tokio::select! {
            () = time::sleep(TICK_PERIOD) => false,
            () = cell.decisions_requested.notified() => true,
            _ = closed.wait_for(|closed| *closed) => return,
        };
        if is_requested {
            let delay = decision_delay(last_run, cell.context.clock.now());
            if !delay.is_zero() {
                time::sleep(delay).await;
            }
        }
        cell.run_decisions();
        last_run = Some(cell.context.clock.now());
    }
}
