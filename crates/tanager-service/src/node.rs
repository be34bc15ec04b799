//! Starts and stops a node of the job service.

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
use tanager_site::machines::AdviceClient;
use tanager_site::machines::MachineClient;
use tanager_site::settings::SiteSettings;
use tanager_site::store::TableStore;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use crate::admin;
use crate::cell::CellHandle;
use crate::clock::NodeClock;
use crate::job_api;
use crate::metrics::NodeMetrics;
use crate::peers;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::peers::DrainRequest;
use crate::peers::PeerClient;
use crate::records::Incarnation;
use crate::store_access::StoreAccess;
use crate::table_watch;
use crate::takeover;
use crate::view::FleetView;

/// Peers through which calls to the store are relayed, at most.
const MAX_RELAYS: usize = 6;
/// Time for requests in progress at the end of a stop.
const REQUEST_DRAIN_LIMIT: Duration = Duration::from_millis(2_000);
/// Time between the load balancer's first miss and the end of new connections: it asks every
/// second, and takes a node out after two misses.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_200);
/// Least cores that a node is taken to have.
const MIN_CORES: f64 = 0.01;
/// Time limit of a poke.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(200);

/// What all parts of a node share.
pub struct NodeContext {
    /// Settings.
    pub settings: SiteSettings,
    /// Process.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: NodeClock,
    /// Metrics.
    pub metrics: Arc<NodeMetrics>,
    /// Store.
    pub store: TableStore,
    /// Way to the store.
    pub access: Arc<StoreAccess>,
    /// Other nodes.
    pub peers: Arc<PeerClient>,
    /// Advice service.
    pub advice: Option<AdviceClient>,
    /// Held during a question to the advice service.
    pub advice_lock: tokio::sync::Mutex<()>,
    /// Machine API.
    pub machines: Option<MachineClient>,
    /// Wakes the reader of owners.
    pub owner_read_requested: Notify,
    /// Wakes the choice of cells to take.
    pub owners_changed: Notify,
    view: Mutex<FleetView>,
    cells: Mutex<BTreeMap<CellName, Arc<CellHandle>>>,
    last_heartbeat: Mutex<Option<Duration>>,
    stopping: watch::Sender<bool>,
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
    /// Locks the view. Never held across an await.
    pub fn view(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cells of this node.
    pub fn cells(&self) -> Vec<Arc<CellHandle>> {
        self.lock_cells().values().cloned().collect()
    }

    /// Returns a cell of this node.
    pub fn cell(&self, name: &str) -> Option<Arc<CellHandle>> {
        self.lock_cells().get(name).cloned()
    }

    /// Forgets a cell that was lost or given up.
    pub fn remove_cell(&self, name: &str, token: FencingToken) {
        let mut cells = self.lock_cells();
        if cells.get(name).is_some_and(|cell| cell.token == token) {
            cells.remove(name);
        }
    }

    /// Takes a cell.
    pub async fn acquire_cell(self: &Arc<Self>, name: &CellName) {
        let is_mine = self.cell(name).is_some();
        if is_mine || self.is_stopping() {
            return;
        }
        match takeover::acquire_cell(self, name).await {
            Ok(cell) => {
                self.lock_cells().insert(name.clone(), Arc::clone(&cell));
                self.notify_peers().await;
            }
            Err(error) => log::info!("event=cell_not_taken cell={name} error={error:?}"),
        }
    }

    /// Notes that the store confirmed a beat sent at `sent`.
    pub fn record_heartbeat(&self, sent: Duration) {
        *self
            .last_heartbeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(sent);
    }

    /// Returns whether a beat sent within `limit` was confirmed.
    pub fn is_heartbeat_confirmed(&self, now: Duration, limit: Duration) -> bool {
        let last_heartbeat = *self
            .last_heartbeat
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_heartbeat.is_some_and(|sent| now.saturating_sub(sent) <= limit)
    }

    /// Returns whether leases may be extended. A node that nobody confirms may have lost its
    /// cells to another one, which waits for its leases to end. While the store is away from
    /// every node, no one can take a cell.
    pub fn may_extend_leases(&self, now: Duration) -> bool {
        self.is_heartbeat_confirmed(now, takeover::UNCONFIRMED_LIMIT)
            || self.access.is_unavailable_to_all(now)
    }

    /// Names the peers through which calls to the store may be relayed.
    pub fn update_relays(&self) {
        let view = self.view();
        let me = &self.settings.node;
        let mut nodes: Vec<(f64, SocketAddr)> = (view.nodes.iter())
            .filter(|(name, observed)| {
                *name != me && observed.unresponsive_time < crate::membership::NODE_DEATH_TIMEOUT
            })
            .map(|(name, observed)| {
                let hash = xxh3_64(format!("{me} {name}").as_bytes());
                let draw = (hash as f64 / u64::MAX as f64).clamp(1e-9, 1.0);
                (
                    -draw.ln() / observed.record.cores.max(MIN_CORES),
                    observed.record.peer,
                )
            })
            .collect();
        // Each node has an order of its own, so that no peer relays for all, in which nodes come
        // early in proportion to their cores: weak ones also have narrow links.
        nodes.sort_by(|left, right| left.0.total_cmp(&right.0));
        let relays = nodes
            .into_iter()
            .take(MAX_RELAYS)
            .map(|(_, peer)| peer)
            .collect();
        drop(view);
        self.access.set_relays(relays);
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

    /// Asks all other nodes to read the owners of cells now.
    async fn notify_peers(&self) {
        let peers: Vec<SocketAddr> = {
            let view = self.view();
            (view.nodes.iter())
                .filter(|(name, observed)| {
                    **name != self.settings.node
                        && observed.unresponsive_time < crate::membership::NODE_DEATH_TIMEOUT
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
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] when an address cannot be bound.
    pub async fn spawn(settings: SiteSettings) -> TanagerResult<Self> {
        let clock = NodeClock::start();
        let metrics = Arc::new(NodeMetrics::new());
        let peers = Arc::new(PeerClient::default());
        let (access, store) = StoreAccess::open(
            settings.store.address,
            clock,
            Arc::clone(&peers),
            Arc::clone(&metrics),
        );
        // Two processes of a node never share a number, even if their clocks do.
        let incarnation = (clock.wall_ms() << 16) | u64::from(rand::random::<u16>());
        let context = Arc::new(NodeContext {
            advice: settings.advice_address.map(AdviceClient::new),
            advice_lock: tokio::sync::Mutex::new(()),
            machines: settings.machines_address.map(MachineClient::new),
            incarnation,
            clock,
            metrics,
            store,
            access,
            peers,
            owner_read_requested: Notify::new(),
            owners_changed: Notify::new(),
            view: Mutex::default(),
            cells: Mutex::default(),
            last_heartbeat: Mutex::default(),
            stopping: watch::Sender::new(false),
            settings,
        });
        let node = Self::bind(context).await?;
        table_watch::spawn(&node.context);
        log::info!(
            "event=started incarnation={incarnation} client={} peer={} zone={} version={}",
            node.context.settings.client_address,
            node.context.settings.peer_address,
            node.context.settings.zone,
            env!("CARGO_PKG_VERSION")
        );
        Ok(node)
    }

    async fn bind(context: Arc<NodeContext>) -> TanagerResult<Self> {
        let limits = ServerLimits::default();
        let settings = &context.settings;
        let shared = Arc::clone(&context);
        let client = HttpServer::bind(
            settings.client_address,
            limits,
            Arc::new(move |request| Box::pin(job_api::handle(Arc::clone(&shared), request))),
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

    /// Returns what the parts of the node share.
    pub fn context(&self) -> &Arc<NodeContext> {
        &self.context
    }

    /// Hands the cells over, finishes the requests in progress and stops.
    pub async fn stop(self) {
        let began = self.context.clock.now();
        log::info!("event=stopping cells={}", self.context.cells().len());
        self.context.stopping.send_replace(true);
        let mut releases = tokio::task::JoinSet::new();
        for cell in self.context.cells() {
            releases.spawn(async move { takeover::release_cell(&cell).await });
        }
        while releases.join_next().await.is_some() {}
        self.context.notify_peers().await;
        let passed = self.context.clock.now().saturating_sub(began);
        time::sleep(LOAD_BALANCER_DELAY.saturating_sub(passed)).await;
        let stopped = time::timeout(REQUEST_DRAIN_LIMIT, self.client.stop()).await;
        log::info!(
            "event=stopped requests_finished={} after={:?}",
            stopped.is_ok(),
            self.context.clock.now().saturating_sub(began)
        );
        let _ = time::timeout(Duration::from_millis(300), self.peer.stop()).await;
        drop((self.readiness, self.admin));
    }
}

/// Answers a call of another node.
async fn handle_peer(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
    let invalid = |error: tanager_protocol::error::TanagerError| {
        log::warn!(
            "event=peer_call_invalid path={} error={error:?}",
            request.path
        );
        HttpResponse::new(StatusCode::BAD_REQUEST, error.to_string())
    };
    match request.path.as_str() {
        peers::CELL_PATH => match peers::decode::<CellRequest>(&request.body) {
            Ok(call) => match context.cell(&call.cell) {
                Some(cell) => peers::reply(&cell.handle(call).await),
                None => peers::reply(&CellResponse::NotOwner),
            },
            Err(error) => invalid(error),
        },
        peers::RELAY_PATH => match peers::decode_relay(&request.body) {
            Ok((call, timeout)) => relay(&context, &call, timeout).await,
            Err(error) => invalid(error),
        },
        peers::DRAIN_PATH => match peers::decode::<DrainRequest>(&request.body) {
            Ok(call) => match context.cell(&call.cell) {
                Some(cell) => peers::reply(&cell.drain_worker(&call.worker, call.evicts)),
                None => HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "not the owner"),
            },
            Err(error) => invalid(error),
        },
        peers::NOTIFY_PATH => {
            context.owner_read_requested.notify_one();
            peers::reply(&())
        }
        _ => HttpResponse::new(StatusCode::NOT_FOUND, ""),
    }
}

/// Passes a call of another node to the store.
async fn relay(context: &NodeContext, call: &HttpRequest, timeout: Duration) -> HttpResponse {
    if context.access.is_failing() {
        return HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "the store is away");
    }
    match context.access.send_direct(call, timeout).await {
        Ok(response) => peers::encode_relayed(&response),
        Err(error) if error.kind == ErrorKind::NotSent => {
            HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
        }
        Err(error) => HttpResponse::new(StatusCode::GATEWAY_TIMEOUT, error.to_string()),
    }
}
