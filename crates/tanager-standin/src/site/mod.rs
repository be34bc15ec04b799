//! Stand-in of the users' platform for the job service: the metadata store, the workers, the
//! machine API and the advice service, as the platform's pages describe them. All servers listen
//! on 127.0.0.1.

mod advice;
mod faults;
mod machines;
mod settings;
mod table;
mod tenants;
mod worker;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_protocol::error::TanagerResult;
use tokio::task::JoinHandle;
use tokio::time;

pub use faults::RowRejection;
pub use faults::SiteFaults;
pub use settings::NodePorts;
pub use table::SiteTable;
pub use tenants::SiteTenant;
pub use worker::ObservedRun;
pub use worker::RunLog;
pub use worker::SiteWorker;

/// Period at which workers renew their entries in the store.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);
/// Time without a renewal after which an entry is removed.
const ENTRY_EXPIRY: Duration = Duration::from_millis(1_500);
/// Time that the maintenance or the move of a VM takes.
const MACHINE_OPERATION_TIME: Duration = Duration::from_millis(600);
/// Host of the queues of [`SiteStandin::put_config`]; clients address the nodes by IP address.
pub const HOST: &str = "127.0.0.1";

/// Pool of workers of the stand-in.
#[derive(Clone, Debug)]
pub struct SitePool {
    /// Name.
    pub name: String,
    /// Number of workers.
    pub workers: usize,
    /// Whether its VMs are down until they are moved to another pool.
    pub spare: bool,
    /// Whether the start of a task requires a ticket of the advice service.
    pub requires_ticket: bool,
}

/// State shared by all servers of the stand-in.
pub(crate) struct SiteState {
    pub(crate) table: SiteTable,
    pub(crate) workers: Vec<SiteWorker>,
    pub(crate) log: RunLog,
    pub(crate) faults: SiteFaults,
    pub(crate) row_rejections: Vec<RowRejection>,
    /// Number of changes that the store rejected as they were, for instance for their size.
    pub(crate) rejected_changes: u64,
    pub(crate) start: Instant,
    pub(crate) orders: Vec<String>,
    pub(crate) received_orders: Vec<ObservedOrder>,
    /// Rejected changes of the store by table of their rows, with their times.
    pub(crate) conflicts: Vec<(String, Duration)>,
    /// Orders to VMs in progress, and the most at any time.
    orders_in_progress: (usize, usize),
    /// Limit of the strict mode in the nodes' settings; `None` if it is off.
    pub(crate) revocation_limit: Option<Duration>,
    /// Pools whose workers require tickets.
    pub(crate) ticket_pools: BTreeSet<String>,
}

/// An order to a VM as the machine API received it. The API checks no fencing tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedOrder {
    /// Name of the VM.
    pub vm: String,
    /// Node that sent the order.
    pub holder: String,
    /// Fencing token; 0 if there was none.
    pub token: u64,
    /// Time since the start of the stand-in.
    pub received_at: Duration,
}

pub(crate) type SharedSite = Arc<Mutex<SiteState>>;

/// A running stand-in.
pub struct SiteStandin {
    state: SharedSite,
    store: HttpServer,
    machines: HttpServer,
    advice: HttpServer,
    servers: Vec<HttpServer>,
    heartbeat_task: JoinHandle<()>,
}

pub(crate) fn lock(state: &SharedSite) -> MutexGuard<'_, SiteState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl SiteStandin {
    /// Starts the store, the machine API, the advice service and the workers of the pools.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub async fn spawn(pools: &[SitePool]) -> TanagerResult<Self> {
        let state: SharedSite = Arc::new(Mutex::new(SiteState {
            table: SiteTable::default(),
            workers: Vec::new(),
            log: RunLog::default(),
            faults: SiteFaults::default(),
            row_rejections: Vec::new(),
            rejected_changes: 0,
            start: Instant::now(),
            orders: Vec::new(),
            received_orders: Vec::new(),
            conflicts: Vec::new(),
            orders_in_progress: (0, 0),
            revocation_limit: None,
            ticket_pools: (pools.iter())
                .filter(|pool| pool.requires_ticket)
                .map(|pool| pool.name.clone())
                .collect(),
        }));
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = ServerLimits::default();
        let shared = Arc::clone(&state);
        let store = HttpServer::bind(
            any_port,
            limits,
            Arc::new(move |request| Box::pin(table::handle(Arc::clone(&shared), request))),
        )
        .await?;
        let shared = Arc::clone(&state);
        let machines = HttpServer::bind(
            any_port,
            limits,
            Arc::new(move |request| Box::pin(machines::handle(Arc::clone(&shared), request))),
        )
        .await?;
        let shared = Arc::clone(&state);
        let advice = HttpServer::bind(
            any_port,
            limits,
            Arc::new(move |request| Box::pin(advice::handle(Arc::clone(&shared), request))),
        )
        .await?;
        let mut servers = Vec::new();
        for pool in pools {
            for number in 0..pool.workers {
                let index = lock(&state).workers.len();
                let shared = Arc::clone(&state);
                let server = HttpServer::bind(
                    any_port,
                    limits,
                    Arc::new(move |request| {
                        Box::pin(worker::handle(Arc::clone(&shared), index, request))
                    }),
                )
                .await?;
                let worker =
                    SiteWorker::new(index, &pool.name, number, server.address(), pool.spare);
                lock(&state).workers.push(worker);
                servers.push(server);
            }
        }
        let heartbeat_task = tokio::spawn(heartbeat_loop(Arc::clone(&state)));
        Ok(Self {
            state,
            store,
            machines,
            advice,
            servers,
            heartbeat_task,
        })
    }

    /// Address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store.address()
    }

    /// Address of the machine API.
    pub fn machines_address(&self) -> SocketAddr {
        self.machines.address()
    }

    /// Address of the advice service.
    pub fn advice_address(&self) -> SocketAddr {
        self.advice.address()
    }

    /// Time since the start, on the same clock as [`ObservedRun`].
    pub fn elapsed(&self) -> Duration {
        lock(&self.state).start.elapsed()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut SiteFaults)) {
        change(&mut lock(&self.state).faults);
    }

    /// Sets which rows the store rejects.
    pub fn reject_rows(&self, rejections: Vec<RowRejection>) {
        lock(&self.state).row_rejections = rejections;
    }

    /// Returns the number of changes that the store rejected as they were.
    pub fn rejected_changes(&self) -> u64 {
        lock(&self.state).rejected_changes
    }

    /// Writes a row without a part, as an operator or another client would.
    pub fn put_row(&self, table: &str, key: &str, value: &[u8]) {
        lock(&self.state).table.put(table, "", key, value);
    }

    /// Writes a row with a part, as another node would.
    pub fn put_part_row(&self, table: &str, part: &str, key: &str, value: &[u8]) {
        lock(&self.state).table.put(table, part, key, value);
    }

    /// Like [`Self::put_row`], but responses contain this JSON text as the row's value.
    pub fn put_raw_row(&self, table: &str, key: &str, json: &str) {
        lock(&self.state).table.put_raw(table, "", key, json);
    }

    /// Reads a row without a part.
    pub fn row(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        lock(&self.state).table.value(table, "", key)
    }

    /// Reads a row of a part.
    pub fn part_row(&self, table: &str, part: &str, key: &str) -> Option<Vec<u8>> {
        lock(&self.state).table.value(table, part, key)
    }

    /// Returns the number of rows in a part of a table.
    pub fn row_count(&self, table: &str, part: &str) -> usize {
        lock(&self.state).table.count(table, part)
    }

    /// Returns the keys of the rows in a part of a table.
    pub fn row_keys(&self, table: &str, part: &str) -> Vec<String> {
        lock(&self.state).table.keys(table, part)
    }

    /// Writes a configuration with a queue of short jobs at `/POOL/` for each pool that is not
    /// spare.
    pub fn put_config(&self, version: u64, pools: &[SitePool]) {
        let config = Self::config_document(version, pools);
        self.put_row("op", "config", config.to_string().as_bytes());
    }

    /// Like [`Self::put_config`], with this number of further routes to the first pool. Each takes about
    /// 190 bytes.
    pub fn put_config_with_routes(&self, version: u64, pools: &[SitePool], count: usize) {
        let mut config = Self::config_document(version, pools);
        if let Some(routes) = config["routes"].as_array_mut()
            && let Some(first) = routes.first().cloned()
        {
            routes.extend((0..count).map(|number| {
                let mut route = first.clone();
                route["name"] = json!(format!("route-{number:06}"));
                route["path_prefix"] = json!(format!("/route-{number:06}/"));
                route
            }));
        }
        self.put_row("op", "config", config.to_string().as_bytes());
    }

    fn config_document(version: u64, pools: &[SitePool]) -> serde_json::Value {
        let routes: Vec<_> = (pools.iter())
            .filter(|pool| !pool.spare)
            .map(|pool| {
                let advice = pool.requires_ticket.then(|| {
                    json!({"decision_ms": advice::DECISION_MS, "each_ms": advice::PER_WORKER_MS,
                           "validity_ms": advice::TICKET_VALIDITY_MS})
                });
                json!({"name": pool.name, "host": HOST, "advice": advice, "path_prefix": format!("/{}/", pool.name),
                       "service": pool.name, "priority": 0, "max_attempts": 3, "stretch": 2.0,
                       "target_latency_ms": 600})
            })
            .collect();
        let services: Vec<_> = (pools.iter())
            .map(|pool| json!({"name": pool.name, "enforces_capacity": true, "spare": pool.spare}))
            .collect();
        json!({"version": version, "routes": routes, "services": services,
               "limits": {"body_bytes": 262_144}})
    }

    /// Returns the names of the VMs of a pool.
    pub fn vms(&self, pool: &str) -> Vec<String> {
        (lock(&self.state).workers.iter())
            .filter(|worker| worker.pool == pool)
            .map(|worker| worker.vm.clone())
            .collect()
    }

    /// Returns all runs of the workers.
    pub fn runs(&self) -> Vec<ObservedRun> {
        let mut state = lock(&self.state);
        let now = state.start.elapsed();
        let SiteState { workers, log, .. } = &mut *state;
        for worker in workers {
            worker.advance(now, log);
        }
        state.log.runs.clone()
    }

    /// Returns the largest number of orders to VMs that were in progress at the same time.
    pub fn max_parallel_orders(&self) -> usize {
        lock(&self.state).orders_in_progress.1
    }

    /// Returns the orders that the machine API accepted.
    pub fn machine_orders(&self) -> Vec<String> {
        lock(&self.state).orders.clone()
    }

    /// Returns all orders to VMs that the machine API received, in the order of their arrival.
    pub fn received_orders(&self) -> Vec<ObservedOrder> {
        lock(&self.state).received_orders.clone()
    }

    /// Returns the times at which the store rejected a change of a table's rows because another row
    /// had changed.
    pub fn conflicts(&self, table: &str) -> Vec<Duration> {
        (lock(&self.state).conflicts.iter())
            .filter(|(of_table, _)| of_table == table)
            .map(|(_, rejected_at)| *rejected_at)
            .collect()
    }

    /// Ends the incarnation of a worker; the next one starts after `restart_delay`.
    pub fn crash_worker(&self, index: usize, restart_delay: Duration) {
        let mut state = lock(&self.state);
        let now = state.start.elapsed();
        let SiteState { workers, log, .. } = &mut *state;
        workers[index].crash(now, now + restart_delay, log);
    }

    /// Stops all servers.
    pub async fn stop(self) {
        self.heartbeat_task.abort();
        self.store.stop().await;
        self.machines.stop().await;
        self.advice.stop().await;
        for server in self.servers {
            server.stop().await;
        }
    }
}

/// Periodically renews the entries of the workers that are up, removes expired entries and ends
/// runs that are due.
async fn heartbeat_loop(state: SharedSite) {
    loop {
        {
            let mut state = lock(&state);
            let now = state.start.elapsed();
            let SiteState {
                workers,
                log,
                table,
                faults,
                ..
            } = &mut *state;
            for worker in workers {
                worker.advance(now, log);
                worker.remove_former_entries(table, now, ENTRY_EXPIRY);
                let is_reachable = worker.is_up(now) && !faults.is_store_unavailable();
                if is_reachable {
                    worker.write_heartbeat(table, now);
                } else if now.saturating_sub(worker.last_heartbeat) > ENTRY_EXPIRY {
                    worker.remove_entry(table);
                }
            }
        }
        time::sleep(HEARTBEAT_PERIOD).await;
    }
}

/// Parses a JSON body; `null` when it is malformed.
pub(crate) fn parse_body(request: &HttpRequest) -> serde_json::Value {
    serde_json::from_slice(&request.body).unwrap_or_default()
}

pub(crate) fn json_response(status: u16, body: &serde_json::Value) -> HttpResponse {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::with_content_type(status, "application/json", body.to_string())
}
