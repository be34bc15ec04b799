//! Starts and stops a node of the job service, and answers the calls of other nodes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::call_age::largest_age;
use tanager_site::settings::SiteSettings;
use tokio::time;

use crate::admin;
use crate::allowance_exchange;
use crate::call_guard;
use crate::context::NodeContext;
use crate::copied_reads;
use crate::copied_reads::COPY_PATH;
use crate::job_api;
use crate::loop_lag;
use crate::memory_use;
use crate::peers;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::peers::DrainRequest;
use crate::relay_calls::RELAY_PATH;
use crate::relay_calls::RelayedCall;
use crate::supervision::spawn_loop;
use crate::table_watch;
use crate::takeover;
use crate::takeover::Successor;

/// Maximum time for requests in progress to finish during a stop.
const REQUEST_DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time from the first failed readiness check until the load balancer sends no new connections: it
/// checks every second and removes a node after two failures.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_200);

/// A running node.
pub struct JobNode {
    context: Arc<NodeContext>,
    client: HttpServer,
    readiness: HttpServer,
    peer: HttpServer,
    admin: HttpServer,
}

impl JobNode {
    /// Starts a node. `version` names the program in the log.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if an address cannot be bound.
    pub async fn spawn(settings: SiteSettings, version: &str) -> TanagerResult<Self> {
        let context = Arc::new(NodeContext::open(settings));
        let incarnation = context.incarnation;
        let node = Self::bind(context).await?;
        table_watch::spawn(&node.context);
        let shared = Arc::clone(&node.context);
        spawn_loop("loop_lag", move || sample_lag(Arc::clone(&shared)));
        let shared = Arc::clone(&node.context);
        spawn_loop("refused_calls", move || {
            log_refused_calls(Arc::clone(&shared))
        });
        let shared = Arc::clone(&node.context);
        spawn_loop("memory", move || {
            let cells = Arc::clone(&shared);
            memory_use::watch(shared.settings.memory_limit, move || cells.cells().len())
        });
        log::info!(
            "event=started incarnation={incarnation} client={} peer={} zone={} version={version}",
            node.context.settings.client_address,
            node.context.settings.peer_address,
            node.context.settings.zone
        );
        Ok(node)
    }

    async fn bind(context: Arc<NodeContext>) -> TanagerResult<Self> {
        let limits = ServerLimits::default();
        let settings = &context.settings;
        let shared = Arc::clone(&context);
        let client = HttpServer::bind_with_reject(
            settings.client_address,
            limits,
            Arc::new(move |request| Box::pin(job_api::handle(Arc::clone(&shared), request))),
            Arc::new(job_api::rejection_response),
        )
        .await?;
        let shared = Arc::clone(&context);
        let readiness = HttpServer::bind(
            settings.readiness_address,
            limits,
            Arc::new(move |_| {
                let response = admin::readiness(&shared);
                Box::pin(async move { response })
            }),
        )
        .await?;
        let shared = Arc::clone(&context);
        let peer = HttpServer::bind(
            settings.peer_address,
            limits,
            Arc::new(move |request| Box::pin(handle_peer(Arc::clone(&shared), request))),
        )
        .await?;
        let shared = Arc::clone(&context);
        let admin = HttpServer::bind(
            settings.admin_address,
            limits,
            Arc::new(move |request| Box::pin(admin::handle(Arc::clone(&shared), request))),
        )
        .await?;
        Ok(Self {
            context,
            client,
            readiness,
            peer,
            admin,
        })
    }

    /// Returns the state shared by the parts of the node.
    pub fn context(&self) -> &Arc<NodeContext> {
        &self.context
    }

    /// Releases the cells, finishes the requests in progress and stops the node.
    pub async fn stop(self) {
        let started = self.context.clock.now();
        log::info!("event=stopping cells={}", self.context.cells().len());
        self.context.begin_stop();
        let mut releases = tokio::task::JoinSet::new();
        for cell in self.context.cells() {
            releases.spawn(async move { takeover::release_cell(&cell, &Successor::Any).await });
        }
        while releases.join_next().await.is_some() {}
        self.context.notify_peers().await;
        let elapsed = self.context.clock.now().saturating_sub(started);
        time::sleep(LOAD_BALANCER_DELAY.saturating_sub(elapsed)).await;
        let stopped = time::timeout(REQUEST_DRAIN_LIMIT, self.client.stop()).await;
        log::info!(
            "event=stopped requests_finished={} after={:?}",
            stopped.is_ok(),
            self.context.clock.now().saturating_sub(started)
        );
        let _ = time::timeout(Duration::from_millis(300), self.peer.stop()).await;
        drop((self.readiness, self.admin));
    }
}

async fn sample_lag(context: Arc<NodeContext>) -> Infallible {
    let is_owner = || !context.cells().is_empty();
    let observed = &context.metrics.loop_lag_seconds;
    loop_lag::sample(&context.loop_lag, context.clock, observed, is_owner).await
}

async fn log_refused_calls(context: Arc<NodeContext>) -> Infallible {
    loop {
        time::sleep(call_guard::LINE_PERIOD).await;
        context.call_guard.log_refused(context.recent_lag());
    }
}

/// Handles a call of another node.
async fn handle_peer(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
    let mut response = handle_call(&context, &request).await;
    let now = context.clock.now();
    peers::insert_version(&mut response, context.config_reads.in_force(now));
    response
}

async fn handle_call(context: &NodeContext, request: &HttpRequest) -> HttpResponse {
    let invalid = |error: tanager_protocol::error::TanagerError| {
        log::warn!(
            "event=peer_call_invalid path={} error={error:?}",
            request.path
        );
        HttpResponse::new(StatusCode::BAD_REQUEST, error.to_string())
    };
    match request.path.as_str() {
        peers::CELL_PATH => {
            // Before the call is decoded, since a node that is late has no time to spare.
            let remaining = peers::remaining_time(request);
            let age = largest_age(
                peers::sent_after(request),
                context.node_time(),
                context.recent_lag(),
            );
            let response = match call_guard::drop_late_call(&context.call_guard, remaining, age) {
                Some(refusal) => {
                    context.metrics.calls_dropped.increment();
                    refusal
                }
                None => match peers::decode_request::<CellRequest>(&request.body) {
                    Ok(call) => match context.cell(&call.cell) {
                        Some(cell) => cell.handle(call, age).await,
                        None => CellResponse::NotOwner,
                    },
                    Err(error) => return invalid(error),
                },
            };
            peers::encode_cell_response(&response, context.node_time())
        }
        RELAY_PATH => match RelayedCall::decode(&request.body) {
            Ok(call) => relay(context, &call).await,
            Err(error) => invalid(error),
        },
        COPY_PATH => match copied_reads::answer(context, &request.body) {
            Ok(response) => response,
            Err(error) => invalid(error),
        },
        peers::DRAIN_PATH => match peers::decode_request::<DrainRequest>(&request.body) {
            Ok(call) => match context.cell(&call.cell) {
                Some(cell) if call.home.as_ref().is_none_or(|home| cell.is_home(home)) => {
                    peers::encode_response(&cell.drain_worker(&call.worker, call.evicts))
                }
                _ => HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not the owner"),
            },
            Err(error) => invalid(error),
        },
        peers::ALLOWANCE_PATH => match peers::decode_request::<AllowanceReport>(&request.body) {
            Ok(report) => peers::encode_response(&allowance_exchange::answer(context, &report)),
            Err(error) => invalid(error),
        },
        peers::NOTIFY_PATH => {
            context.owner_read_requested.notify_one();
            peers::encode_response(&())
        }
        _ => HttpResponse::new(StatusCode::NOT_FOUND, ""),
    }
}

/// Relays a call of another node to the store.
async fn relay(context: &NodeContext, call: &RelayedCall) -> HttpResponse {
    // The body gives the time, in milliseconds, for which the store has not served this node.
    let unserved = || {
        let unserved_time = context
            .store_access
            .unserved_time(context.clock.now())
            .as_millis();
        HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, unserved_time.to_string())
    };
    if context.store_access.is_failing() {
        return unserved();
    }
    let result = (context.store_access).send_direct(&call.request, call.timeout);
    match result.await {
        Ok(response) => call.encode_reply(response),
        Err(error) if error.kind == ErrorKind::NotSent => unserved(),
        Err(error) => HttpResponse::new(StatusCode::GATEWAY_TIMEOUT, error.to_string()),
    }
}
