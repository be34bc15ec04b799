//! Caller interface: HTTP requests in, outcomes out.

pub mod convert;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use http::Method;
use http::StatusCode;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::server::RejectReason;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::ForwardRequest;

use crate::caller::convert::parse_request;
use crate::caller::convert::response_from_outcome;
use crate::caller::convert::text_response;
use crate::router::BoxFuture;

/// Limits of a [`CallerServer`].
#[derive(Clone, Copy, Debug)]
pub struct CallerLimits {
    /// Limits of connections and bodies.
    pub server: ServerLimits,
    /// Timeout of a request without `Tanager-Timeout-Ms`.
    pub default_timeout: Duration,
    /// Longest accepted timeout.
    pub max_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            server: ServerLimits::default(),
            default_timeout: Duration::from_secs(30),
            max_timeout: Duration::from_secs(3_600),
        }
    }
}

/// What the caller interface needs of the node.
#[derive(Clone)]
pub struct CallerHandlers {
    /// Returns the outcome of a request. The future is dropped when the caller disconnects.
    pub submit: Arc<dyn Fn(ForwardRequest) -> BoxFuture<RequestOutcome> + Send + Sync>,
    /// Issues a ticket; `None` while the node issues none.
    pub issue_ticket: Arc<dyn Fn() -> Option<String> + Send + Sync>,
    /// Returns a request id that no other request of the site has.
    pub request_id: Arc<dyn Fn() -> String + Send + Sync>,
}

/// Outcome and reason of a counted request. The reason of an answered request is empty; the
/// outcome of a request whose caller disconnected is `cancelled`.
pub type OutcomeLabel = (&'static str, &'static str);

/// Counts requests by outcome.
#[derive(Debug, Default)]
pub struct CallerCounters {
    outcomes: Mutex<BTreeMap<OutcomeLabel, u64>>,
}

impl CallerCounters {
    /// Returns the counts.
    pub fn snapshot(&self) -> BTreeMap<OutcomeLabel, u64> {
        let outcomes = self.outcomes.lock();
        outcomes.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn add(&self, label: OutcomeLabel) {
        let outcomes = self.outcomes.lock();
        let mut outcomes = outcomes.unwrap_or_else(PoisonError::into_inner);
        *outcomes.entry(label).or_default() += 1;
    }
}

/// Counts a request as cancelled unless it gets an outcome.
struct RequestCount {
    counters: Arc<CallerCounters>,
    label: OutcomeLabel,
}

impl Drop for RequestCount {
    fn drop(&mut self) {
        self.counters.add(self.label);
    }
}

/// A running caller interface.
#[derive(Debug)]
pub struct CallerServer {
    server: HttpServer,
    counters: Arc<CallerCounters>,
}

impl CallerServer {
    /// Binds the caller interface.
    ///
    /// # Errors
    ///
    /// `Invalid` when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: CallerLimits,
        handlers: CallerHandlers,
    ) -> TanagerResult<Self> {
        let counters = Arc::new(CallerCounters::default());
        let reject_counters = Arc::clone(&counters);
        let reject = Arc::new(move |reason| {
            let response = response_from_reject(reason);
            let name = match reason {
                RejectReason::BodyTooLarge => NotRunReason::BodyTooLarge.as_str(),
                _ => NotRunReason::BadRequest.as_str(),
            };
            reject_counters.add(("not-run", name));
            response
        });
        let handler_counters = Arc::clone(&counters);
        let handler = Arc::new(move |request| {
            let handlers = handlers.clone();
            let count = RequestCount {
                counters: Arc::clone(&handler_counters),
                label: ("cancelled", ""),
            };
            let response = handle(request, limits, handlers, count);
            Box::pin(response) as BoxFuture<HttpResponse>
        });
        let server = HttpServer::bind_with_reject(address, limits.server, handler, reject).await?;
        Ok(Self { server, counters })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counts of requests by outcome.
    pub fn counters(&self) -> Arc<CallerCounters> {
        Arc::clone(&self.counters)
    }

    /// Stops accepting, finishes requests in progress and closes all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn handle(
    request: HttpRequest,
    limits: CallerLimits,
    handlers: CallerHandlers,
    mut count: RequestCount,
) -> HttpResponse {
    if request.method == Method::POST && request.path == "/tickets" {
        if let Some(ticket) = (handlers.issue_ticket)() {
            count.label = ("answered", "");
            return text_response(StatusCode::OK, "answered", ticket);
        }
        let outcome = RequestOutcome::NotRun(NotRunOutcome {
            reason: NotRunReason::NotReady,
            message: "this node issues no tickets now".to_owned(),
            retry_after: Some(Duration::from_secs(1)),
        });
        count.label = outcome_label(&outcome);
        return response_from_outcome(outcome);
    }
    let outcome = match parse_request(request, (handlers.request_id)(), limits) {
        Ok(request) => (handlers.submit)(request).await,
        Err(outcome) => RequestOutcome::NotRun(outcome),
    };
    count.label = outcome_label(&outcome);
    response_from_outcome(outcome)
}

fn response_from_reject(reason: RejectReason) -> HttpResponse {
    let (not_run, message) = match reason {
        RejectReason::BodyTooLarge => (
            NotRunReason::BodyTooLarge,
            "the body exceeds the limit of this site",
        ),
        RejectReason::BodyTimeout => (
            NotRunReason::BadRequest,
            "the body was not received in time",
        ),
        RejectReason::BadBody => (NotRunReason::BadRequest, "the body is malformed"),
    };
    let mut response = response_from_outcome(RequestOutcome::NotRun(NotRunOutcome {
        reason: not_run,
        message: message.to_owned(),
        retry_after: None,
    }));
    response.status = reason.status();
    response
}

fn outcome_label(outcome: &RequestOutcome) -> OutcomeLabel {
    match outcome {
        RequestOutcome::Answered(_) => ("answered", ""),
        RequestOutcome::NotRun(outcome) => ("not-run", outcome.reason.as_str()),
        RequestOutcome::Unknown(outcome) => ("unknown", outcome.reason.as_str()),
    }
}
