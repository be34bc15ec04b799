//! Passes a request to the home of its pool, or a ticketed request to the node that issued it.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use tanager_protocol::ids::NodeId;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::request::is_idempotent_method;

use crate::peer::ForwardFailure;
use crate::tickets::TicketKey;

/// Time to retry after when nothing better is known: a node without contact for 3 s is no longer
/// considered as a home.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// The home answers at the deadline itself; its answer needs this long to arrive. Without it, a
/// request that was not run would be reported as unknown.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// A boxed future.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// A node that may handle a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeTarget {
    /// This node.
    Local,
    /// Another node.
    Remote {
        /// Its name.
        node: NodeId,
        /// Address of its peer interface.
        address: SocketAddr,
    },
}

/// What the router needs of the node.
#[derive(Clone)]
pub struct RouterHandlers {
    /// Live homes of a pool in order of preference.
    pub homes: HomesHandler,
    /// The process that issued a ticket; `None` when it is gone.
    pub issuer: IssuerHandler,
    /// Handles a request on this node.
    pub local: Arc<dyn Fn(ForwardRequest) -> BoxFuture<RequestOutcome> + Send + Sync>,
    /// Forwards a request to another node within a time limit.
    pub remote: RemoteHandler,
}

/// Returns the live homes of a pool in order of preference.
pub type HomesHandler = Arc<dyn Fn(&str) -> Vec<HomeTarget> + Send + Sync>;
/// Returns the process that issued a ticket; `None` when it is gone.
pub type IssuerHandler = Arc<dyn Fn(&TicketKey) -> Option<HomeTarget> + Send + Sync>;
/// Forwards a request to another node within a time limit.
pub type RemoteHandler = Arc<
    dyn Fn(
            SocketAddr,
            ForwardRequest,
            Duration,
        ) -> BoxFuture<Result<RequestOutcome, ForwardFailure>>
        + Send
        + Sync,
>;

/// Passes each request to one node, and to the next one where that is safe.
#[derive(Clone)]
pub struct RequestRouter {
    handlers: RouterHandlers,
}

impl RequestRouter {
    /// Creates a router.
    pub fn new(handlers: RouterHandlers) -> Self {
        Self { handlers }
    }

    /// Returns the outcome of a request, at the latest shortly after its timeout.
    pub async fn route(&self, request: ForwardRequest) -> RequestOutcome {
        let start = Instant::now();
        let timeout = Duration::from_millis(request.timeout_ms);
        let idempotent = is_idempotent_method(&request.method);
        let ticket = TicketKey::parse(&request.idempotency_key).filter(|_| !idempotent);
        let targets = match &ticket {
            Some(ticket) => (self.handlers.issuer)(ticket).into_iter().collect(),
            None => (self.handlers.homes)(&request.pool),
        };
        let mut lost: Option<String> = None;
        let mut last_error = "no live node".to_owned();
        for target in targets {
            let left = timeout.saturating_sub(start.elapsed());
            if left.is_zero() {
                break;
            }
            let mut request = request.clone();
            // Rounded up: a remaining time of 0 would be none at all.
            request.timeout_ms = left.as_millis().try_into().unwrap_or(u64::MAX).max(1);
            match self.attempt(target, request, left).await {
                Ok(outcome) => return settle(outcome, lost.as_deref()),
                Err(ForwardFailure::NotSent(message)) => last_error = message,
                Err(ForwardFailure::Unknown(message)) if idempotent && lost.is_none() => {
                    lost = Some(message);
                }
                Err(ForwardFailure::Unknown(message)) => {
                    lost = Some(message);
                    break;
                }
            }
        }
        let expired = start.elapsed() >= timeout;
        if let Some(message) = lost {
            let reason = if expired {
                UnknownReason::Timeout
            } else {
                UnknownReason::HomeLost
            };
            let safe = idempotent || !request.idempotency_key.is_empty();
            return unknown(reason, message, safe);
        }
        if ticket.is_some() {
            // An earlier request with this ticket may have run.
            let message =
                format!("the process that issued the ticket is unreachable: {last_error}");
            return unknown(UnknownReason::KeyHistory, message, true);
        }
        let (reason, message) = if expired {
            let message =
                format!("the time limit passed before the request was sent: {last_error}");
            (NotRunReason::QueueTimeout, message)
        } else {
            let message = format!("no home of the pool is reachable: {last_error}");
            (NotRunReason::NotReady, message)
        };
        RequestOutcome::NotRun(NotRunOutcome {
            reason,
            message,
            retry_after: Some(RETRY_AFTER),
        })
    }

    async fn attempt(
        &self,
        target: HomeTarget,
        request: ForwardRequest,
        left: Duration,
    ) -> Result<RequestOutcome, ForwardFailure> {
        let limit = left + ANSWER_MARGIN;
        let work = match target {
            HomeTarget::Local => {
                let outcome = (self.handlers.local)(request);
                Box::pin(async move { Ok(outcome.await) })
            }
            HomeTarget::Remote { address, .. } => (self.handlers.remote)(address, request, limit),
        };
        match time::timeout(limit, work).await {
            Ok(result) => result,
            Err(_) => Err(ForwardFailure::Unknown(format!(
                "no outcome within {limit:?}"
            ))),
        }
    }
}

/// An attempt that was lost may have run, whatever a later attempt reports (R4).
fn settle(outcome: RequestOutcome, lost: Option<&str>) -> RequestOutcome {
    match (outcome, lost) {
        (RequestOutcome::NotRun(outcome), Some(lost)) => {
            let message = format!("{lost}; then: {}", outcome.message);
            let retry_after = outcome.retry_after.or(Some(RETRY_AFTER));
            RequestOutcome::Unknown(UnknownOutcome {
                reason: UnknownReason::HomeLost,
                message,
                retry_after,
            })
        }
        (outcome, _) => outcome,
    }
}

fn unknown(reason: UnknownReason, message: String, retry_is_safe: bool) -> RequestOutcome {
    RequestOutcome::Unknown(UnknownOutcome {
        reason,
        message,
        retry_after: retry_is_safe.then_some(RETRY_AFTER),
    })
}
