//! Calls between nodes at both ends: the receiver drops those whose caller has given up, and the
//! sender keeps to what the owner of a cell can answer.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::call_deadline::has_expired;
use tanager_schedule::call_limits::CallKind;
use tanager_schedule::call_limits::CallLimits;
use tanager_schedule::call_limits::CallOutcome;
use tanager_schedule::call_limits::CallRefusal;
use tokio::sync::Notify;

use crate::clock::NodeClock;
use crate::line_budget::LineBudget;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::refusals::overload_refusal;

/// A call that ends without an answer says nothing about the owner while this node itself is as late
/// as this.
const MAX_OWN_LAG: Duration = Duration::from_millis(200);
/// Shortest time between two log lines about refused calls; a flood refuses hundreds a second.
pub(crate) const LINE_PERIOD: Duration = Duration::from_secs(1);
/// `Retry-After` in seconds of a call that reached the owner too late.
const LATE_RETRY_S: u64 = 1;

/// State of a node's calls to and from other nodes.
#[derive(Debug, Default)]
pub(crate) struct CallGuard {
    limits: Mutex<CallLimits>,
    /// Wakes a request that waits for a call of another one to the same cell to end.
    ended: Mutex<HashMap<CellName, Arc<Notify>>>,
    refused: RefusedCalls,
    /// Lines about owners that cannot be reached.
    lines: Mutex<LineBudget>,
}

/// Calls that were refused since the last log line.
#[derive(Debug, Default)]
struct RefusedCalls {
    dropped: AtomicU64,
    not_admitted: AtomicU64,
    withheld: AtomicU64,
}

impl RefusedCalls {
    /// Logs the numbers, if there are any, and starts from zero.
    fn log(&self, lag: Duration) {
        let [dropped, not_admitted, withheld] =
            [&self.dropped, &self.not_admitted, &self.withheld].map(|n| n.swap(0, Relaxed));
        if dropped + not_admitted + withheld > 0 {
            log::info!(
                "event=calls_refused dropped={dropped} not_admitted={not_admitted} \
                 withheld={withheld} lag={lag:?}"
            );
        }
    }
}

impl CallGuard {
    /// Counts a submission that found no place at its owner.
    pub(crate) fn record_not_admitted(&self) {
        self.refused.not_admitted.fetch_add(1, Relaxed);
    }

    /// Logs how many calls were refused since the last line, if there were any.
    pub(crate) fn log_refused(&self, lag: Duration) {
        self.refused.log(lag);
    }

    /// Takes a line about an owner that cannot be reached from the budget; see [`LineBudget::take`].
    pub(crate) fn take_line(&self, now: Duration) -> Option<u64> {
        lock(&self.lines).take(now)
    }

    /// Waits until a call to the owner of a cell ends. Each end wakes one waiting request.
    pub(crate) async fn call_ended(&self, cell: &str) {
        let notify = Arc::clone(lock(&self.ended).entry(cell.to_owned()).or_default());
        notify.notified().await;
    }
}

/// A call that is passed on to the owner of a cell. If it is dropped, its outcome is unknown.
pub(crate) struct PassedCall<'a> {
    guard: &'a CallGuard,
    clock: NodeClock,
    cell: &'a str,
    owner: String,
    sender: &'a str,
    kind: CallKind,
    started: Duration,
    outcome: CallOutcome,
}

impl PassedCall<'_> {
    /// Records the result of the call, which this node read `own_lag` late at most.
    pub(crate) fn end(mut self, result: &TanagerResult<CellResponse>, own_lag: Duration) {
        let now = self.clock.now();
        self.outcome = match result {
            Ok(CellResponse::Refused {
                retry_after,
                sender_wide: true,
                ..
            }) => CallOutcome::Refused(Duration::from_secs(*retry_after)),
            Ok(_) => CallOutcome::Answered,
            Err(error) if error.kind == ErrorKind::NotSent => CallOutcome::Unknown,
            // The response may wait in this node's own socket.
            Err(_) if own_lag >= MAX_OWN_LAG => CallOutcome::Unknown,
            Err(_) => CallOutcome::Silent(now.saturating_sub(self.started)),
        };
    }
}

impl Drop for PassedCall<'_> {
    fn drop(&mut self) {
        let now = self.clock.now();
        let (cell, outcome) = (self.cell, self.outcome);
        lock(&self.guard.limits).end(cell, &self.owner, self.sender, self.kind, outcome, now);
        if let Some(notify) = lock(&self.guard.ended).get(cell) {
            notify.notify_one();
        }
    }
}

/// Decides whether a request is passed on to the owner of its cell, and returns the refusal
/// otherwise. Calls that do not come from clients are not limited (`None`).
pub(crate) fn begin_call<'a>(
    guard: &'a CallGuard,
    clock: NodeClock,
    request: &'a CellRequest,
    owner: &str,
) -> Result<Option<PassedCall<'a>>, CellResponse> {
    let Some(kind) = request.operation.call_kind() else {
        return Ok(None);
    };
    let sender = request.workspace.as_ref();
    let sender = sender.map_or(request.queue.as_str(), |workspace| workspace.as_str());
    let (cell, started) = (request.cell.as_str(), clock.now());
    let result = lock(&guard.limits).begin(cell, owner, sender, kind, started);
    match result {
        Ok(()) => Ok(Some(PassedCall {
            guard,
            clock,
            cell,
            owner: owner.to_owned(),
            sender,
            kind,
            started,
            outcome: CallOutcome::Unknown,
        })),
        Err(refusal) => {
            guard.refused.withheld.fetch_add(1, Relaxed);
            Err(withheld_response(refusal))
        }
    }
}

fn withheld_response(refusal: CallRefusal) -> CellResponse {
    match refusal {
        CallRefusal::Held(after) => overload_refusal(
            after,
            "too many submissions wait at the owner of the cell; this one was not passed on",
        ),
        CallRefusal::InFlight(after) => CellResponse::Refused {
            retry_after: after.as_secs().max(1),
            overload: false,
            reason: "the owner of the cell answers too slowly; the request was not passed on"
                .to_owned(),
            sender_wide: false,
        },
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the response to a call that was just read if its caller, which waited for `remaining`
/// when it sent the call, has given up. The call was sent up to `age` ago.
pub(crate) fn drop_late_call(
    guard: &CallGuard,
    remaining: Option<Duration>,
    age: Duration,
) -> Option<CellResponse> {
    let remaining = remaining?;
    if !has_expired(remaining, Duration::ZERO, age) {
        return None;
    }
    guard.refused.dropped.fetch_add(1, Relaxed);
    Some(CellResponse::Refused {
        retry_after: LATE_RETRY_S,
        overload: false,
        reason: format!(
            "the call reached the owner of the cell too late: {remaining:.3?} remained, up to {age:.3?} ago"
        ),
        sender_wide: false,
    })
}
