//! Calls between nodes at both ends: the receiver drops those whose caller has given up, and the
//! sender keeps to what the owner of a cell can answer.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::call_deadline::has_expired;
use tanager_schedule::call_limits::CallKind;
use tanager_schedule::call_limits::CallLimits;
use tanager_schedule::call_limits::CallOutcome;
use tanager_schedule::call_limits::CallRefusal;

use crate::node::NodeContext;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::requests::overload_refusal;

/// `Retry-After` in seconds of a call that reached the owner too late.
const LATE_RETRY_S: u64 = 1;

/// State of a node's calls to and from other nodes.
#[derive(Debug, Default)]
pub(crate) struct CallGuard {
    limits: Mutex<CallLimits>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the response to a call that was just read if its caller, which waited for `remaining`
/// when it sent the call, has given up.
pub(crate) fn drop_late_call(
    context: &NodeContext,
    remaining: Option<Duration>,
) -> Option<CellResponse> {
    let lag = context.recent_lag();
    if !has_expired(remaining?, Duration::ZERO, lag) {
        return None;
    }
    context.metrics.calls_dropped.increment();
    log::debug!("event=call_dropped remaining={remaining:?} lag={lag:?}");
    Some(CellResponse::Refused {
        retry_after: LATE_RETRY_S,
        overload: false,
        reason: "the call reached the owner of the cell too late".to_owned(),
        sender_wide: false,
    })
}
