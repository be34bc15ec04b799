//! Caller interface: an HTTP server that submits requests and responds with their outcomes.

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
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
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
    /// Longest timeout that a request may set.
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

/// Functions of the node that the caller interface uses.
#[derive(Clone)]
pub struct CallerHandlers {
    /// Returns the outcome of a request. The future is dropped when the caller disconnects.
    pub submit: Arc<dyn Fn(ForwardRequest) -> BoxFuture<RequestOutcome> + Send + Sync>,
    /// Issues a ticket; returns `None` while the node is not ready to.
    pub issue_ticket: Arc<dyn Fn() -> Option<String> + Send + Sync>,
    /// Returns a request id that is unique in the site.
    pub request_id: Arc<dyn Fn() -> String + Send + Sync>,
}

/// Outcome and reason of a counted request. The reason is empty for an answered request. The
/// outcome is `cancelled` if the caller disconnected.
pub type OutcomeLabel = (&'static str, &'static str);

/// Numbers of requests by outcome.
#[derive(Debug, Default)]
pub struct CallerCounters {
    outcomes: Mutex<BTreeMap<OutcomeLabel, u64>>,
}

impl CallerCounters {
    /// Returns the current counts.
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

/// Counts a request when dropped: as cancelled, unless its outcome was set.
struct OutcomeRecorder {
    counters: Arc<CallerCounters>,
    label: OutcomeLabel,
}

impl Drop for OutcomeRecorder {
    fn drop(&mut self) {
        self.counters.add(self.label);
    }
}

/// A running server of the caller interface.
#[derive(Debug)]
pub struct CallerServer {
    server: HttpServer,
    counters: Arc<CallerCounters>,
}

impl CallerServer {
    /// Binds the caller interface to an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// `Invalid` if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        limits: CallerLimits,
        handlers: CallerHandlers,
    ) -> TanagerResult<Self> {
        let counters = Arc::new(CallerCounters::default());
        let reject_counters = Arc::clone(&counters);
        let reject = Arc::new(move |reason| {
            let response = response_from_rejection(reason);
            match reason {
                RejectReason::BodyTooLarge => {
                    reject_counters.add(("not-run", NotRunReason::BodyTooLarge.as_str()));
                }
                RejectReason::BodyTimeout | RejectReason::BadBody => {
                    reject_counters.add(("not-run", NotRunReason::BadRequest.as_str()));
                }
                // The recorder of the request has counted it already.
                RejectReason::HandlerPanicked => {}
            }
            response
        });
        let recorder_counters = Arc::clone(&counters);
        let handler = Arc::new(move |request| {
            let handlers = handlers.clone();
            let recorder = OutcomeRecorder {
                counters: Arc::clone(&recorder_counters),
                label: ("cancelled", ""),
            };
            let response = handle_request(request, limits, handlers, recorder);
            Box::pin(response) as BoxFuture<HttpResponse>
        });
        let server = HttpServer::bind_with_reject(address, limits.server, handler, reject).await?;
        Ok(Self { server, counters })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters of requests by outcome.
    pub fn counters(&self) -> Arc<CallerCounters> {
        Arc::clone(&self.counters)
    }

    /// Stops accepting, finishes requests in progress and closes all connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn handle_request(
    request: HttpRequest,
    limits: CallerLimits,
    handlers: CallerHandlers,
    mut recorder: OutcomeRecorder,
) -> HttpResponse {
    if request.method == Method::POST && request.path == "/tickets" {
        if let Some(ticket) = (handlers.issue_ticket)() {
            recorder.label = ("answered", "");
            return text_response(StatusCode::OK, "answered", ticket);
        }
        let outcome = RequestOutcome::NotRun(NotRunOutcome {
            reason: NotRunReason::NotReady,
            message: "this node cannot issue tickets now".to_owned(),
            retry_after: Some(Duration::from_secs(1)),
        });
        recorder.label = outcome_label(&outcome);
        return response_from_outcome(outcome);
    }
    let outcome = match parse_request(request, (handlers.request_id)(), limits) {
        Ok(request) => (handlers.submit)(request).await,
        Err(outcome) => RequestOutcome::NotRun(outcome),
    };
    recorder.label = outcome_label(&outcome);
    response_from_outcome(outcome)
}

fn response_from_rejection(reason: RejectReason) -> HttpResponse {
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
        RejectReason::HandlerPanicked => {
            return response_from_outcome(RequestOutcome::Unknown(UnknownOutcome {
                reason: UnknownReason::HomeLost,
                message: "the node failed while it processed the request".to_owned(),
                retry_after: None,
            }));
        }
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
