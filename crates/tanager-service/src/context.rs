//! State that the parts of a node share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_schedule::call_age::NodeTime;
use tanager_schedule::memory_budget;
use tanager_schedule::order_lease::ORDER_LEASE;
use tanager_schedule::ownership;
use tanager_schedule::ownership::OwnershipConfirmations;
use tanager_schedule::ownership::OwnershipEvidence;
use tanager_site::machines::AdviceClient;
use tanager_site::machines::MachineClient;
use tanager_site::settings::SiteSettings;
use tanager_site::store::RowVersion;
use tanager_site::store::TableStore;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::call_guard::CallGuard;
use crate::cell::CellHandle;
use crate::clock::NodeClock;
use crate::config_metrics::ConfigCollector;
use crate::config_reads::ConfigReads;
use crate::loop_lag::LoopLag;
use crate::membership::HEARTBEAT_PERIOD;
use crate::membership::NODE_DEATH_TIMEOUT;
use crate::membership::UNCONFIRMED_LEASE_LIMIT;
use crate::memory_use::MemoryCollector;
use crate::metrics::NodeMetrics;
use crate::operator_copy::OperatorCopy;
use crate::peers::PeerClient;
use crate::queue_pools::QueuePools;
use crate::records::Incarnation;
use crate::records::new_incarnation;
use crate::skipped_rows::SkipReport;
use crate::skipped_rows::SkippedRows;
use crate::store_access::StoreAccess;
use crate::stored_status::StoredReads;
use crate::view::FleetView;
use crate::waiting_cancellations::CancellationBatches;

/// Maximum number of peers used as relays to the store.
const MAX_RELAYS: usize = 6;
/// Delay of a heartbeat, beyond the latency of the last one, from which the store is considered not
/// to accept heartbeats. Short enough that other nodes are not yet considered dead.
const HEARTBEAT_MARGIN: Duration = Duration::from_millis(500);
/// Minimum number of cores assumed for a node.
const MIN_CORES: f64 = 0.01;
/// Time limit of a notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of cancellations that a node repeats at the same time.
const MAX_REPEATED_CANCELLATIONS: usize = 1_024;

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
    pub(crate) config_reads: Arc<ConfigReads>,
    /// Rows of the operator's table, for peers.
    operator_copy: Mutex<OperatorCopy>,
    /// Which pools may have jobs of each queue.
    pub(crate) queue_pools: QueuePools,
    /// Wakes the task that acquires cells.
    pub owners_changed: Notify,
    /// Rows of other writers that cannot be used.
    pub(crate) skipped_rows: SkippedRows,
    /// Memory that the jobs of all cells of this node may take, in bytes.
    memory_budget: u64,
    view: Mutex<FleetView>,
    cells: Mutex<BTreeMap<CellName, Arc<CellHandle>>>,
    /// Times at which this process last acquired cells.
    acquisitions: Mutex<BTreeMap<CellName, Duration>>,
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

impl NodeContext {
    /// Creates the state of a new process.
    pub(crate) fn open(settings: SiteSettings) -> Self {
        let clock = NodeClock::start();
        let config_reads = Arc::new(ConfigReads::default());
        let mut metrics = NodeMetrics::new();
        metrics.register_collector(Box::new(ConfigCollector {
            reads: Arc::clone(&config_reads),
            clock,
        }));
        metrics.register_collector(Box::new(MemoryCollector {
            limit: settings.memory_limit,
        }));
        let metrics = Arc::new(metrics);
        let peers = Arc::new(PeerClient::new(clock, Arc::clone(&config_reads)));
        let (store_access, store) = StoreAccess::open(
            settings.store.address,
            clock,
            Arc::clone(&peers),
            Arc::clone(&metrics),
        );
        let incarnation = new_incarnation(clock.wall_ms(), rand::random());
        Self {
            advice: settings.advice_address.map(AdviceClient::new),
            advice_lock: tokio::sync::Mutex::new(()),
            cancellation_permits: Semaphore::new(MAX_REPEATED_CANCELLATIONS),
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
            config_reads,
            operator_copy: Mutex::default(),
            queue_pools: QueuePools::default(),
            owners_changed: Notify::new(),
            skipped_rows: SkippedRows::default(),
            memory_budget: memory_budget::jobs_budget(settings.memory_limit),
            view: Mutex::default(),
            cells: Mutex::default(),
            acquisitions: Mutex::default(),
            confirmations: Mutex::default(),
            stopping: watch::Sender::new(false),
            settings,
        }
    }

    /// Locks the view. The guard must not be held across an await.
    pub fn view(&self) -> MutexGuard<'_, FleetView> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the rows of the operator's table that peers get.
    pub(crate) fn operator_copy(&self) -> MutexGuard<'_, OperatorCopy> {
        (self.operator_copy.lock()).unwrap_or_else(PoisonError::into_inner)
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

    /// Returns the memory in bytes that the jobs of a cell may take, whether or not it is registered yet; less after
    /// repeated early ends of its owners.
    pub(crate) fn cell_memory_budget(&self, name: &str, early_ends: u32) -> u64 {
        let cells = self.lock_cells();
        let others = cells.values().filter(|cell| cell.name != name);
        let (count, used) = others.fold((0, 0), |(count, used), cell| {
            (count + 1, used + cell.memory_used())
        });
        let budget = memory_budget::cell_budget(self.memory_budget, used, count + 1);
        memory_budget::reduced_budget(budget, early_ends)
    }

    /// Records that this process acquired a cell.
    pub(crate) fn record_acquisition(&self, name: &CellName) {
        let now = self.clock.now();
        self.lock_acquisitions().insert(name.clone(), now);
    }

    /// Returns when this process last acquired a cell.
    pub(crate) fn last_acquisition(&self, name: &str) -> Option<Duration> {
        self.lock_acquisitions().get(name).copied()
    }

    fn lock_acquisitions(&self) -> MutexGuard<'_, BTreeMap<CellName, Duration>> {
        (self.acquisitions.lock()).unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers an acquired cell.
    pub(crate) fn insert_cell(&self, cell: Arc<CellHandle>) {
        self.lock_cells().insert(cell.name.clone(), cell);
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
        let limit = HEARTBEAT_PERIOD + HEARTBEAT_MARGIN + latency;
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
        let limit = UNCONFIRMED_LEASE_LIMIT;
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

    /// Records that the node stops.
    pub(crate) fn begin_stop(&self) {
        self.stopping.send_replace(true);
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
        if self.is_config_behind() {
            return false;
        }
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

    /// Returns for how long what is read now may have waited in its socket.
    pub fn recent_lag(&self) -> Duration {
        let now = self.clock.now();
        self.loop_lag.update(|history| history.recent(now))
    }

    /// Returns the largest lag of the loop since `started`, up to five seconds ago.
    pub fn lag_since(&self, started: Duration) -> Duration {
        let now = self.clock.now();
        (self.loop_lag).update(|history| history.largest_since(started, now))
    }

    /// Counts a row that cannot be used, and logs it unless it was logged before with this problem.
    pub(crate) fn skip_row(
        &self,
        source: &'static str,
        key: &str,
        version: RowVersion,
        problem: &str,
    ) {
        let report = self.skipped_rows.record(source, key, version, problem);
        if report != SkipReport::None {
            self.metrics.rows_skipped.increment();
        }
        if report == SkipReport::CountAndLog {
            // The key is text of the other writer, so it is quoted and escaped.
            log::warn!(
                "event=row_skipped table={source} key={key:?} row={version} error={problem:?}"
            );
        }
    }
}
