//! Starts and stops a node of the job service; holds the state that its parts share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::call_age::NodeTime;
use tanager_schedule::call_age::largest_age;
use tanager_schedule::order_lease::ORDER_LEASE;
use tanager_schedule::ownership;
use tanager_schedule::ownership::OwnershipConfirmations;
use tanager_schedule::ownership::OwnershipEvidence;
use tanager_site::machines::AdviceClient;
use tanager_site::machines::MachineClient;
use tanager_site::settings::SiteSettings;
use tanager_site::store::TableStore;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use crate::admin;
use crate::allowance_exchange;
use crate::call_guard;
use crate::call_guard::CallGuard;
use crate::cancellation_batches::CancellationBatches;
use crate::cancellations::MAX_REPEATED;
use crate::cell::CellHandle;
use crate::clock::NodeClock;
use crate::job_api;
use crate::loop_lag;
use crate::loop_lag::LoopLag;
use crate::membership::NODE_DEATH_TIMEOUT;
use crate::metrics::NodeMetrics;
use crate::operator_watch::ConfigReads;
use crate::peers;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::peers::DrainRequest;
use crate::peers::PeerClient;
use crate::queue_pools::QueuePools;
use crate::records::Incarnation;
use crate::skipped_rows::SkippedRows;
use crate::store_access::StoreAccess;
use crate::stored_status::StoredReads;
use crate::table_watch;
use crate::takeover;
use crate::takeover::Successor;
use crate::view::FleetView;

/// Maximum number of peers used as relays to the store.
const MAX_RELAYS: usize = 6;
/// Maximum time for requests in progress to finish during a stop.
const REQUEST_DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time from the first failed readiness check until the load balancer sends no new connections: it
/// checks every second and removes a node after two failures.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_200);
/// Delay of a heartbeat, beyond the latency of the last one, from which the store is considered not
/// to accept heartbeats. Short enough that other nodes are not yet considered dead.
const HEARTBEAT_MARGIN: Duration = Duration::from_millis(500);
/// Minimum number of cores assumed for a node.
const MIN_CORES: f64 = 0.01;
/// Time limit of a notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(200);

/// State shared by all parts of a node.
pub struct NodeContext {
    /// Settings of the node.
    pub settings: SiteSettings,
    /// Identifies this process of the node.
    pub incarnation: Incarnation,
    /// Clock of this process.
    pub clock: NodeClock,
    /// Counters and latency histograms.
    pub metrics: Arc<NodeMetrics>,
    /// Lag of the loop of the runtime.
    pub(crate) loop_lag: LoopLag,
    /// Client of the store.
    pub store: TableStore,
    /// Transport of `store`: direct or through relays.
    pub store_access: Arc<StoreAccess>,
    /// Client for calls to other nodes.
    pub peers: Arc<PeerClient>,
    /// Client of the advice service, if the site has one.
    pub advice: Option<AdviceClient>,
    /// Held during a request to the advice service.
    pub advice_lock: tokio::sync::Mutex<()>,
    /// Limits the number of cancellations that are repeated in the background.
    pub(crate) cancellation_permits: Semaphore,
    /// Repeated cancellations that wait for a call to the owner of their cell.
    pub(crate) cancellation_batches: CancellationBatches,
    /// State of the calls to and from other nodes.
    pub(crate) call_guard: CallGuard,
    /// Reads of the status of jobs from the store.
    pub(crate) stored_reads: StoredReads,
    /// Client of the machine API, if the site has one.
    pub machines: Option<MachineClient>,
    /// Wakes the task that reads the owners of cells.
    pub owner_read_requested: Notify,
    /// Reads of the operator's table.
    pub(crate) config_reads: ConfigReads,
    /// Which pools may have jobs of each queue.
    pub(crate) queue_pools: QueuePools,
    /// Wakes the task that acquires cells.
    pub owners_changed: Notify,
    /// Rows of other writers that cannot be used.
    pub(crate) skipped_rows: SkippedRows,
    view: Mutex<FleetView>,
    cells: Mutex<BTreeMap<CellName, Arc<CellHandle>>>,
    confirmations: Mutex<NodeConfirmations>,
    stopping: watch::Sender<bool>,
}

/// What the store has confirmed.
#[derive(Clone, Copy, Debug, Default)]
struct NodeConfirmations {
    ownership: OwnershipConfirmations,
    /// Latency of the last confirmed heartbeat.
    heartbeat_latency: Duration,
}

/// A running node.
pub struct JobNode {
    context: Arc<NodeContext>,
    client: HttpServer,
    readiness: HttpServer,
    peer: HttpServer,
    admin: HttpServer,
}

impl NodeContext {
    /// Locks the view. The guard must not be held across an await.
    pub fn view(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time on the clock of this process.
    pub(crate) fn node_time(&self) -> NodeTime {
        NodeTime::new(self.incarnation, self.clock.now())
    }

    /// Returns the cells that this node owns.
    pub fn cells(&self) -> Vec<Arc<CellHandle>> {
        self.lock_cells().values().cloned().collect()
    }

    /// Returns a cell if this node owns it.
    pub fn cell(&self, name: &str) -> Option<Arc<CellHandle>> {
        self.lock_cells().get(name).cloned()
    }

    /// Removes a cell that was lost or released.
    pub fn remove_cell(&self, name: &str, token: FencingToken) {
        let mut cells = self.lock_cells();
        if cells.get(name).is_some_and(|cell| cell.token == token) {
            cells.remove(name);
        }
    }

    /// Acquires a cell and notifies the other nodes.
    pub async fn acquire_cell(self: &Arc<Self>, name: &CellName) {
        let is_owned = self.cell(name).is_some();
        if is_owned || self.is_stopping() {
            return;
        }
        match takeover::acquire_cell(self, name).await {
            Ok(cell) => {
                self.lock_cells().insert(name.clone(), Arc::clone(&cell));
                // Until now, reads of the owner rows did not close the cell, and closing did not
                // remove it.
                cell.close_if_replaced();
                if cell.is_closed() {
                    self.remove_cell(name, cell.token);
                    return;
                }
                self.notify_peers().await;
            }
            Err(error) => log::info!("event=cell_not_taken cell={name} error={error:?}"),
        }
    }

    /// Records that the store confirmed a heartbeat sent at `sent_at`.
    pub fn record_heartbeat(&self, sent_at: Duration, latency: Duration) {
        let ends_gap = {
            let mut confirmations = self.confirmations();
            confirmations.heartbeat_latency = latency;
            (confirmations.ownership).record_heartbeat(sent_at, sent_at + latency)
        };
        if ends_gap {
            self.owner_read_requested.notify_one();
        }
    }

    /// Returns whether the store confirms this node's own heartbeats at present. Otherwise it may
    /// refuse those of other nodes as well, and their silence proves nothing.
    pub fn can_write_heartbeats(&self, now: Duration) -> bool {
        let latency = self.confirmations().heartbeat_latency;
        let limit = table_watch::HEARTBEAT_PERIOD + HEARTBEAT_MARGIN + latency;
        self.is_heartbeat_confirmed(now, limit)
    }

    /// Returns whether a heartbeat sent within the last `limit` was confirmed.
    pub fn is_heartbeat_confirmed(&self, now: Duration, limit: Duration) -> bool {
        self.heartbeat_age(now).is_some_and(|age| age <= limit)
    }

    /// Returns the time since the last confirmed heartbeat was sent; `None` before the first one.
    pub fn heartbeat_age(&self, now: Duration) -> Option<Duration> {
        self.confirmations().ownership.heartbeat_age(now)
    }

    /// Records that the owner rows were read and cells of other owners were closed; the read was sent
    /// at `sent_at`.
    pub fn record_owner_read(&self, sent_at: Duration) {
        (self.confirmations().ownership).record_owner_read(sent_at);
    }

    /// Returns how recently this node was certain to own its cells.
    pub(crate) fn ownership_evidence(&self, now: Duration) -> OwnershipEvidence {
        let store = self.store_access.evidence(now);
        self.confirmations().ownership.evidence(store, now)
    }

    fn confirmations(&self) -> MutexGuard<'_, NodeConfirmations> {
        (self.confirmations.lock()).unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no other node can have acquired a cell of this node: they do so only after a
    /// node has written no heartbeat for [`NODE_DEATH_TIMEOUT`].
    pub fn owns_its_cells(&self, now: Duration) -> bool {
        ownership::is_confirmed(&self.ownership_evidence(now), NODE_DEATH_TIMEOUT)
    }

    /// Returns whether leases may be extended.
    pub fn may_extend_leases(&self, now: Duration) -> bool {
        let limit = takeover::UNCONFIRMED_LEASE_LIMIT;
        ownership::may_extend_leases(&self.ownership_evidence(now), limit)
    }

    /// Returns whether runs may be started.
    pub fn may_start_runs(&self, now: Duration) -> bool {
        ownership::may_start_runs(&self.ownership_evidence(now))
    }

    /// Selects the peers through which calls to the store may be relayed.
    pub fn update_relays(&self) {
        let view = self.view();
        let own_node = &self.settings.node;
        let mut nodes: Vec<(f64, SocketAddr)> = (view.nodes.iter())
            .filter(|(name, observed)| {
                *name != own_node && observed.unresponsive_time < NODE_DEATH_TIMEOUT
            })
            .map(|(name, observed)| {
                let hash = xxh3_64(format!("{own_node} {name}").as_bytes());
                let draw = (hash as f64 / u64::MAX as f64).clamp(1e-9, 1.0);
                (
                    -draw.ln() / observed.record.cores.max(MIN_CORES),
                    observed.record.peer,
                )
            })
            .collect();
        // Each node orders its peers differently, so that no peer relays for all nodes. Peers with
        // more cores tend to come first, because weak ones also have slow links.
        nodes.sort_by(|left, right| left.0.total_cmp(&right.0));
        let relays = nodes
            .into_iter()
            .take(MAX_RELAYS)
            .map(|(_, peer)| peer)
            .collect();
        drop(view);
        self.store_access.set_relays(relays);
    }

    /// Returns whether the node is stopping.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether the node can serve clients.
    pub fn is_ready(&self) -> bool {
        if self.is_stopping() {
            return false;
        }
        let view = self.view();
        let Some(config) = &view.config else {
            return false;
        };
        let has_pools = (config.pools.values())
            .filter(|pool| !pool.spare)
            .all(|pool| view.pools.contains_key(&pool.name));
        has_pools && view.has_read_owners
    }

    /// Notifies all other live nodes that owners of cells changed.
    pub(crate) async fn notify_peers(&self) {
        let peers: Vec<SocketAddr> = {
            let view = self.view();
            (view.nodes.iter())
                .filter(|(name, observed)| {
                    **name != self.settings.node && observed.unresponsive_time < NODE_DEATH_TIMEOUT
                })
                .map(|(_, observed)| observed.record.peer)
                .collect()
        };
        for peer in peers {
            let client = Arc::clone(&self.peers);
            tokio::spawn(async move { client.notify(peer, NOTIFY_TIMEOUT).await });
        }
    }

    fn lock_cells(&self) -> MutexGuard<'_, BTreeMap<CellName, Arc<CellHandle>>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl JobNode {
    /// Starts a node. `version` names the program in the log.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if an address cannot be bound.
    pub async fn spawn(settings: SiteSettings, version: &str) -> TanagerResult<Self> {
        let clock = NodeClock::start();
        let metrics = Arc::new(NodeMetrics::new());
        let peers = Arc::new(PeerClient::new(clock));
        let (store_access, store) = StoreAccess::open(
            settings.store.address,
            clock,
            Arc::clone(&peers),
            Arc::clone(&metrics),
        );
        // The random bits keep two processes of a node apart even if their clocks agree.
        let incarnation = (clock.wall_ms() << 16) | u64::from(rand::random::<u16>());
        let context = Arc::new(NodeContext {
            advice: settings.advice_address.map(AdviceClient::new),
            advice_lock: tokio::sync::Mutex::new(()),
            cancellation_permits: Semaphore::new(MAX_REPEATED),
            cancellation_batches: CancellationBatches::default(),
            call_guard: CallGuard::default(),
            stored_reads: StoredReads::new(clock.now()),
            machines: (settings.machines_address)
                .map(|address| MachineClient::new(address, ORDER_LEASE)),
            incarnation,
            clock,
            metrics,
            loop_lag: LoopLag::default(),
            store,
            store_access,
            peers,
            owner_read_requested: Notify::new(),
            config_reads: ConfigReads::default(),
            queue_pools: QueuePools::default(),
            owners_changed: Notify::new(),
            skipped_rows: SkippedRows::default(),
            view: Mutex::default(),
            cells: Mutex::default(),
            confirmations: Mutex::default(),
            stopping: watch::Sender::new(false),
            settings,
        });
        let node = Self::bind(context).await?;
        table_watch::spawn(&node.context);
        loop_lag::spawn(&node.context);
        call_guard::spawn(&node.context);
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
        self.context.stopping.send_replace(true);
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

/// Handles a call of another node.
async fn handle_peer(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
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
            let remaining = peers::remaining_time(&request);
            let age = largest_age(
                peers::sent_after(&request),
                context.node_time(),
                context.recent_lag(),
            );
            let response = match call_guard::drop_late_call(&context, remaining, age) {
                Some(refusal) => refusal,
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
        peers::RELAY_PATH => match peers::decode_relay_request(&request.body) {
            Ok((call, timeout)) => relay(&context, &call, timeout).await,
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
            Ok(report) => peers::encode_response(&allowance_exchange::answer(&context, &report)),
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
async fn relay(context: &NodeContext, call: &HttpRequest, timeout: Duration) -> HttpResponse {
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
    match context.store_access.send_direct(call, timeout).await {
        Ok(response) => peers::encode_relay_response(&response),
        Err(error) if error.kind == ErrorKind::NotSent => unserved(),
        Err(error) => HttpResponse::new(StatusCode::GATEWAY_TIMEOUT, error.to_string()),
    }
}
