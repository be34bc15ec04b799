//! Calls between nodes at both ends: the receiver drops those whose caller has given up, and the
//! sender keeps to what the owner of a cell can answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_schedule::call_deadline::TimerLag;
use tanager_schedule::call_deadline::has_expired;
use tokio::time;

use crate::node::NodeContext;
use crate::peers::CellResponse;
use crate::supervision::spawn_loop;

/// Period of the timer whose overshoot is the lag of the node's event loop. A tenth of the time for
/// which clients' requests wait, at 10 wake-ups a second.
const LAG_PERIOD: Duration = Duration::from_millis(100);
/// `Retry-After` in seconds of a call that reached the owner too late.
const LATE_RETRY_S: u64 = 1;

/// State of a node's calls to and from other nodes.
#[derive(Debug, Default)]
pub(crate) struct CallGuard {
    lag: Mutex<TimerLag>,
}

impl CallGuard {
    /// Returns for how long a call may have waited in its socket before it was read.
    pub(crate) fn lag(&self, now: Duration) -> Duration {
        lock(&self.lag).lag(now)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts to measure the lag of the node's event loop.
pub(crate) fn spawn(context: &Arc<NodeContext>) {
    let context = Arc::clone(context);
    spawn_loop("loop_lag", move || measure_lag(Arc::clone(&context)));
}

async fn measure_lag(context: Arc<NodeContext>) -> Infallible {
    loop {
        let now = context.clock.now();
        lock(&context.call_guard.lag).record(now, now + LAG_PERIOD);
        time::sleep(LAG_PERIOD).await;
    }
}

/// Returns the response to a call that was just read if its caller, which waited for `remaining`
/// when it sent the call, has given up.
pub(crate) fn drop_late_call(
    context: &NodeContext,
    remaining: Option<Duration>,
) -> Option<CellResponse> {
    let lag = context.call_guard.lag(context.clock.now());
    if !has_expired(remaining?, Duration::ZERO, lag) {
        return None;
    }
    context.metrics.calls_dropped.increment();
    log::debug!("event=call_dropped remaining={remaining:?} lag={lag:?}");
    Some(CellResponse::Refused {
        retry_after: LATE_RETRY_S,
        overload: false,
        reason: "the call reached the owner of the cell too late".to_owned(),
    })
}
