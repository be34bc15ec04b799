//! A submitted request.

use std::time::Duration;

use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::TeamId;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::RequestSummary;

use crate::worker::WorkerKey;

/// State of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestState {
    Queued,
    /// A claim is being written; it holds slots of `worker` until `hold_until`.
    Claiming {
        worker: Option<WorkerKey>,
        hold_until: Duration,
    },
    Sent {
        worker: WorkerKey,
        since: Duration,
    },
}

/// A request without its final action.
#[derive(Clone, Debug)]
pub(crate) struct RequestEntry {
    pub(crate) pool: PoolId,
    pub(crate) team: TeamId,
    pub(crate) priority: RequestPriority,
    pub(crate) idempotent: bool,
    pub(crate) needs_claim: bool,
    pub(crate) slots: u32,
    /// Time by which it must be sent or refused.
    pub(crate) queue_deadline: Duration,
    /// Time by which it must have ended.
    pub(crate) deadline: Duration,
    pub(crate) state: RequestState,
    pub(crate) attempts: u32,
    pub(crate) tried_workers: Vec<WorkerKey>,
    /// Whether an attempt may have run, so that the request can no longer be refused.
    pub(crate) may_have_run: bool,
}

impl RequestEntry {
    pub(crate) fn new(request: RequestSummary, now: Duration, queue_limit: Duration) -> Self {
        let deadline = now.saturating_add(request.timeout);
        Self {
            pool: request.pool,
            team: request.team,
            priority: request.priority,
            idempotent: request.idempotent,
            needs_claim: request.needs_claim,
            slots: request.slots.max(1),
            queue_deadline: now.saturating_add(queue_limit).min(deadline),
            deadline,
            state: RequestState::Queued,
            attempts: 0,
            tried_workers: Vec::new(),
            may_have_run: false,
        }
    }

    /// Time at which the request expires in its current state.
    pub(crate) fn expiry(&self) -> Duration {
        match self.state {
            RequestState::Sent { .. } => self.deadline,
            RequestState::Queued if self.may_have_run => self.deadline,
            RequestState::Queued | RequestState::Claiming { .. } => self.queue_deadline,
        }
    }
}
