//! Routes a request to the home of its pool, or to the issuer of its ticket.

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

/// Default `Retry-After` time. A node without contact for 3 s is no longer eligible as a home.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Time allowed for the reply of a home that responds only at the deadline. Without it, requests
/// that were not run would be reported as unknown.
const REPLY_MARGIN: Duration = Duration::from_millis(250);

/// A boxed future.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Node to which a request can be routed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HomeTarget {
    /// This node.
    Local,
    /// Another node.
    Remote {
        /// Name of the node.
        node: NodeId,
        /// Address of its peer interface.
        address: SocketAddr,
    },
}

/// Functions of the node that the router uses.
#[derive(Clone)]
pub struct RouterHandlers {
    /// Returns the live homes of a pool in order of preference.
    pub homes: HomesHandler,
    /// Returns the process that issued a ticket; `None` if it has ended.
    pub issuer: IssuerHandler,
    /// Handles a request on this node.
    pub local: Arc<dyn Fn(ForwardRequest) -> BoxFuture<RequestOutcome> + Send + Sync>,
    /// Forwards a request to another node within a time limit.
    pub remote: RemoteHandler,
}

/// Returns the live homes of a pool in order of preference.
pub type HomesHandler = Arc<dyn Fn(&str) -> Vec<HomeTarget> + Send + Sync>;
/// Returns the process that issued a ticket; `None` if it has ended.
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

/// Routes each request to one node, and to the next one if that is safe.
#[derive(Clone)]
pub struct RequestRouter {
    handlers: RouterHandlers,
}

impl RequestRouter {
    /// Creates a router.
    pub fn new(handlers: RouterHandlers) -> Self {
        Self { handlers }
    }

    /// Routes a request and returns its outcome, at the latest 250 ms after its timeout.
    pub async fn route(&self, request: ForwardRequest) -> RequestOutcome {
        let start = Instant::now();
        let timeout = Duration::from_millis(request.timeout_ms);
        let idempotent = is_idempotent_method(&request.method);
        let ticket = TicketKey::parse(&request.idempotency_key).filter(|_| !idempotent);
        let targets = match &ticket {
            Some(ticket) => (self.handlers.issuer)(ticket).into_iter().collect(),
            None => (self.handlers.homes)(&request.pool),
        };
        let mut lost_attempt: Option<String> = None;
        let mut last_error = "no live node".to_owned();
        for target in targets {
            let remaining = timeout.saturating_sub(start.elapsed());
            if remaining.is_zero() {
                break;
            }
            let mut request = request.clone();
            // At least 1 ms, as 0 would leave no time at all.
            request.timeout_ms = remaining.as_millis().try_into().unwrap_or(u64::MAX).max(1);
            match self.attempt(target, request, remaining).await {
                Ok(outcome) => return combine_with_lost(outcome, lost_attempt.as_deref()),
                Err(ForwardFailure::NotSent(message)) => last_error = message,
                Err(ForwardFailure::Unknown(message)) if idempotent && lost_attempt.is_none() => {
                    lost_attempt = Some(message);
                }
                Err(ForwardFailure::Unknown(message)) => {
                    lost_attempt = Some(message);
                    break;
                }
            }
        }
        let expired = start.elapsed() >= timeout;
        if let Some(message) = lost_attempt {
            let reason = if expired {
                UnknownReason::Timeout
            } else {
                UnknownReason::HomeLost
            };
            let retry_is_safe = idempotent || !request.idempotency_key.is_empty();
            return unknown_outcome(reason, message, retry_is_safe);
        }
        if ticket.is_some() {
            // An earlier request with this ticket may have run.
            let message =
                format!("the process that issued the ticket is unreachable: {last_error}");
            return unknown_outcome(UnknownReason::KeyHistory, message, true);
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
        remaining: Duration,
    ) -> Result<RequestOutcome, ForwardFailure> {
        let limit = remaining + REPLY_MARGIN;
        let attempt = match target {
            HomeTarget::Local => {
                let outcome = (self.handlers.local)(request);
                Box::pin(async move { Ok(outcome.await) })
            }
            HomeTarget::Remote { address, .. } => (self.handlers.remote)(address, request, limit),
        };
        match time::timeout(limit, attempt).await {
            Ok(result) => result,
            Err(_) => Err(ForwardFailure::Unknown(format!(
                "no outcome within {limit:?}"
            ))),
        }
    }
}

/// Combines the outcome of an attempt with an earlier lost one. The lost attempt may have run, so
/// the request is not reported as *not run* (rule R4 of [`RequestOutcome`]).
fn combine_with_lost(outcome: RequestOutcome, lost_attempt: Option<&str>) -> RequestOutcome {
    match (outcome, lost_attempt) {
        (RequestOutcome::NotRun(outcome), Some(lost_attempt)) => {
            let message = format!("{lost_attempt}; then: {}", outcome.message);
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

fn unknown_outcome(reason: UnknownReason, message: String, retry_is_safe: bool) -> RequestOutcome {
    RequestOutcome::Unknown(UnknownOutcome {
        reason,
        message,
        retry_after: retry_is_safe.then_some(RETRY_AFTER),
    })
}
