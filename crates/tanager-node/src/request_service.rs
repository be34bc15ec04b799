//! Request service of a node: routes requests of callers, and handles requests for which this node
//! is the home of the pool or the issuer of the ticket.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use tanager_control::ControlService;
use tanager_dispatch::home::rank_homes;
use tanager_protocol::ids::NodeId;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::request::is_idempotent_method;

use crate::claims::ClaimService;
use crate::claims::KeyHistory;
use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::fingerprint::key_reused_outcome;
use crate::dispatcher::DispatchService;
use crate::peer::PeerClient;
use crate::router::HomeTarget;
use crate::router::RequestRouter;
use crate::router::RouterHandlers;
use crate::tickets::TicketEnd;
use crate::tickets::TicketKey;
use crate::tickets::TicketStart;
use crate::tickets::TicketTable;

/// `Retry-After` time while the node is not ready or the history of a key is unknown.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handle of the control service. It is empty until the service is created, after the listeners
/// whose ports the service announces.
type ControlHandle = Arc<OnceLock<Arc<ControlService>>>;

/// Routes and handles the requests of one node.
pub struct RequestService {
    node: NodeId,
    control: ControlHandle,
    dispatch: Arc<DispatchService>,
    peers: Arc<PeerClient>,
    tickets: Arc<TicketTable>,
    claims: Arc<ClaimService>,
}

impl RequestService {
    /// Creates the service.
    pub fn new(
        node: NodeId,
        control: ControlHandle,
        dispatch: Arc<DispatchService>,
        peers: Arc<PeerClient>,
        tickets: Arc<TicketTable>,
        claims: Arc<ClaimService>,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            control,
            dispatch,
            peers,
            tickets,
            claims,
        })
    }

    /// Routes a request of a caller and returns its outcome.
    pub async fn route(self: &Arc<Self>, request: ForwardRequest) -> RequestOutcome {
        let Some(control) = self
            .control
            .get()
            .filter(|control| control.state().version > 0)
        else {
            return not_run_outcome(NotRunReason::NotReady, "the node has no configuration yet");
        };
        let state = control.state();
        let Some(pool) = state.document.pools.get(&request.pool) else {
            return not_run_outcome(NotRunReason::UnknownPool, "no such pool");
        };
        let lacks_key =
            !is_idempotent_method(&request.method) && request.idempotency_key.is_empty();
        if pool.require_key && lacks_key {
            let message = "this pool requires an Idempotency-Key for POST and PATCH";
            return not_run_outcome(NotRunReason::BadRequest, message);
        }
        let key = history_key(&request);
        let outcome = RequestRouter::new(self.handlers()).route(request).await;
        match (key, outcome) {
            (Some(key), RequestOutcome::NotRun(refusal)) if is_transient(refusal.reason) => {
                self.check_refusal(key, refusal).await
            }
            (_, outcome) => outcome,
        }
    }

    /// Returns the outcome of a refused request with a key. An earlier request with the same key
    /// may have run, so the outcome is *not run* only if the store has no claim of the key (rule R4
    /// of [`RequestOutcome`]).
    async fn check_refusal(&self, key: HistoryKey, refusal: NotRunOutcome) -> RequestOutcome {
        let retry_after = refusal.retry_after.or(Some(RETRY_AFTER));
        let history = self.claims.history(&key.pool, &key.key, &key.fingerprint);
        let message = match history.await {
            KeyHistory::Absent => return RequestOutcome::NotRun(refusal),
            KeyHistory::KeyReused => return RequestOutcome::NotRun(key_reused_outcome()),
            KeyHistory::Recorded(response) => return RequestOutcome::Answered(response),
            KeyHistory::MayHaveRun => "an earlier request with this key may have run",
            KeyHistory::Unavailable => "the history of this key cannot be read now",
        };
        RequestOutcome::Unknown(UnknownOutcome {
            reason: UnknownReason::KeyHistory,
            message: format!("{}; {message}", refusal.message),
            retry_after,
        })
    }

    /// Handles a request whose pool has its home on this node, or whose ticket this node issued.
    pub async fn handle_local(self: &Arc<Self>, request: ForwardRequest) -> RequestOutcome {
        let ticket = TicketKey::parse(&request.idempotency_key)
            .filter(|_| !is_idempotent_method(&request.method));
        if let Some(ticket) = ticket {
            return self.handle_ticket(ticket, request).await;
        }
        let may_dispatch = self
            .control
            .get()
            .is_some_and(|control| control.may_dispatch());
        if !may_dispatch {
            return not_run_outcome(
                NotRunReason::NotReady,
                "the home of the pool is not registered",
            );
        }
        self.dispatch.submit(request).await
    }

    /// Runs a request with a ticket at most once. It continues if the caller disconnects, so that
    /// its result is available to a retry.
    async fn handle_ticket(
        self: &Arc<Self>,
        ticket: TicketKey,
        mut request: ForwardRequest,
    ) -> RequestOutcome {
        let fingerprint = RequestFingerprint::new(&request);
        match self.tickets.begin(&ticket, &request.pool, &fingerprint) {
            TicketStart::Started => {}
            TicketStart::KeyReused => return RequestOutcome::NotRun(key_reused_outcome()),
            TicketStart::Finished(response) => return RequestOutcome::Answered(response),
            TicketStart::InProgress => {
                return unknown_key_history("a request with this ticket is in progress");
            }
            TicketStart::Unknown => {
                return unknown_key_history("an earlier request with this ticket may have run");
            }
        }
        // Without a key the home sends the request at most once. Its history is in the ticket
        // table.
        request.idempotency_key.clear();
        let service = Arc::clone(self);
        let run_task = tokio::spawn(async move {
            let outcome = RequestRouter::new(service.handlers()).route(request).await;
            let end = match &outcome {
                RequestOutcome::Answered(response) => TicketEnd::Answered(response.clone()),
                RequestOutcome::NotRun(_) => TicketEnd::NotSent,
                RequestOutcome::Unknown(_) => TicketEnd::Unknown,
            };
            service.tickets.finish(&ticket, end);
            outcome
        });
        match run_task.await {
            Ok(RequestOutcome::Unknown(outcome)) => RequestOutcome::Unknown(UnknownOutcome {
                // A retry is safe: a request with this ticket never runs again.
                retry_after: outcome.retry_after.or(Some(RETRY_AFTER)),
                ..outcome
            }),
            Ok(outcome) => outcome,
            Err(_) => unknown_key_history("the task of the request ended without an outcome"),
        }
    }

    fn handlers(self: &Arc<Self>) -> RouterHandlers {
        let homes = Arc::clone(self);
        let issuer = Arc::clone(self);
        let local = Arc::clone(self);
        let peers = Arc::clone(&self.peers);
        RouterHandlers {
            homes: Arc::new(move |pool| homes.homes(pool)),
            issuer: Arc::new(move |ticket| issuer.issuer(ticket)),
            local: Arc::new(move |request| {
                let service = Arc::clone(&local);
                Box::pin(async move { service.handle_local(request).await })
            }),
            remote: Arc::new(move |address, request, limit| {
                let peers = Arc::clone(&peers);
                Box::pin(async move { peers.forward(address, request, limit).await })
            }),
        }
    }

    fn homes(&self, pool: &str) -> Vec<HomeTarget> {
        let Some(control) = self.control.get() else {
            return Vec::new();
        };
        let live_nodes = control.live_nodes();
        let order = rank_homes(pool, live_nodes.iter().map(String::as_str));
        order
            .into_iter()
            .filter_map(|node| self.home_target(control, node))
            .collect()
    }

    /// Returns the issuer of a ticket; `None` if it has ended, even if another incarnation runs
    /// under its name.
    fn issuer(&self, ticket: &TicketKey) -> Option<HomeTarget> {
        if self.tickets.is_own(ticket) {
            return Some(HomeTarget::Local);
        }
        let control = self.control.get()?;
        let state = control.state();
        let record = state.nodes.get(&ticket.node)?;
        (record.incarnation == ticket.incarnation && ticket.node != self.node).then(|| {
            HomeTarget::Remote {
                node: ticket.node.clone(),
                address: record.peer_address,
            }
        })
    }

    fn home_target(&self, control: &ControlService, node: &str) -> Option<HomeTarget> {
        if node == self.node {
            return Some(HomeTarget::Local);
        }
        let state = control.state();
        let record = state.nodes.get(node)?;
        Some(HomeTarget::Remote {
            node: node.to_owned(),
            address: record.peer_address,
        })
    }
}

/// Key of the history of a keyed request.
struct HistoryKey {
    pool: String,
    key: String,
    fingerprint: RequestFingerprint,
}

/// Returns the history key of a request whose key is claimed; `None` for tickets, whose history is
/// in the ticket table, and for requests that need no claim.
fn history_key(request: &ForwardRequest) -> Option<HistoryKey> {
    let keyed = !request.idempotency_key.is_empty() && !is_idempotent_method(&request.method);
    let claimed = keyed && TicketKey::parse(&request.idempotency_key).is_none();
    claimed.then(|| HistoryKey {
        pool: request.pool.clone(),
        key: request.idempotency_key.clone(),
        fingerprint: RequestFingerprint::new(request),
    })
}

/// Returns whether the same request could have been accepted at another time.
fn is_transient(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::QuotaExceeded
            | NotRunReason::QueueFull
            | NotRunReason::QueueTimeout
            | NotRunReason::NoWorker
            | NotRunReason::NotReady
            | NotRunReason::Cancelled
    )
}

fn not_run_outcome(reason: NotRunReason, message: &str) -> RequestOutcome {
    let retry_after = (reason == NotRunReason::NotReady).then_some(RETRY_AFTER);
    let message = message.to_owned();
    RequestOutcome::NotRun(NotRunOutcome {
        reason,
        message,
        retry_after,
    })
}

fn unknown_key_history(message: &str) -> RequestOutcome {
    RequestOutcome::Unknown(UnknownOutcome {
        reason: UnknownReason::KeyHistory,
        message: message.to_owned(),
        retry_after: Some(RETRY_AFTER),
    })
}
