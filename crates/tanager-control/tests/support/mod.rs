//! A fake of the platform's HTTP interface, and a cluster of control services that call their peers
//! within the process.
#![allow(dead_code, unreachable_pub)] // Each test binary uses a subset.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time;

use tanager_control::ControlBackend;
use tanager_control::ControlService;
use tanager_control::ControlSettings;
use tanager_control::ControlTiming;
use tanager_control::NodeProgress;
use tanager_control::RebalanceSettings;
use tanager_control::rebalance::UsageReport;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_platform::PlatformClient;
use tanager_platform::RowVersion;
use tanager_platform::TableTransaction;
use tanager_protocol::change::FleetChange;
use tanager_protocol::config::ConfigDocument;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::NodeRecord;

/// Time limit of platform calls; short, because faults make calls time out.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Ends a test that hangs; no result depends on it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Cost of a move in clusters; short, so that tests need not wait for it.
const MOVE_COST: Duration = Duration::from_millis(300);

/// Faults of the fake platform.
#[derive(Default)]
pub struct Faults {
    /// Every call fails.
    pub outage: AtomicBool,
    /// Number of transactions that are committed, but whose response is 503.
    pub lose_responses: AtomicU32,
    /// Number of transactions whose response is 503 and that have no effect.
    pub drop_requests: AtomicU32,
    /// Number of transactions whose response is 503 and that are committed only after the client
    /// looked for the entry without finding it.
    pub delayed_writes: AtomicU32,
    /// Number of transactions with deletions that are committed, but whose response is 503.
    pub lose_deletions: AtomicU32,
    /// Number of reads of objects that wait for a permit of `read_permits`.
    pub blocked_object_reads: AtomicU32,
    /// Number of reads of `head` whose response waits for a permit of `read_permits`.
    pub blocked_head_reads: AtomicU32,
}

#[derive(Default)]
pub struct Tables {
    pub rows: BTreeMap<String, (RowVersion, Value)>,
    pub objects: BTreeMap<String, Vec<u8>>,
    pub listed: BTreeMap<String, &'static str>,
    pub reboots: Vec<String>,
    /// Number of deleted rows of each transaction with deletions.
    pub deletions: Vec<usize>,
    pub object_reads: usize,
    /// Body of a transaction that is committed later.
    pub delayed_write: Option<Vec<u8>>,
}

pub struct FakePlatform {
    pub address: SocketAddr,
    pub faults: Arc<Faults>,
    pub tables: Arc<Mutex<Tables>>,
    pub read_permits: Arc<Semaphore>,
    _server: HttpServer,
}

fn consume(counter: &AtomicU32) -> bool {
    counter
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
            left.checked_sub(1)
        })
        .is_ok()
}

fn commit(tables: &Mutex<Tables>, body: &[u8]) -> HttpResponse {
    let transaction: TableTransaction = serde_json::from_slice(body).expect("transaction");
    let mut tables = tables.lock().unwrap();
    let current = |key: &String| tables.rows.get(key).map_or(0, |(version, _)| *version);
    let conditions = transaction.conditions.iter().enumerate();
    let failed: Vec<usize> = conditions
        .filter(|(_, condition)| current(&condition.key) != condition.version)
        .map(|(index, _)| index)
        .collect();
    if !failed.is_empty() {
        return reply(StatusCode::CONFLICT, &json!({ "failed": failed }));
    }
    let writes = transaction.writes.iter();
    let deletions = writes.filter(|write| write.value.is_none()).count();
    if deletions > 0 {
        tables.deletions.push(deletions);
    }
    let mut versions = Vec::new();
    for write in transaction.writes {
        // Row versions differ from the values of `head`, so that a test notices a confusion of
        // both.
        let version = tables
            .rows
            .get(&write.key)
            .map_or(70, |(version, _)| *version)
            + 3;
        match write.value {
            Some(value) => drop(tables.rows.insert(write.key, (version, value))),
            None => drop(tables.rows.remove(&write.key)),
        }
        versions.push(version);
    }
    reply(StatusCode::OK, &json!({ "versions": versions }))
}

fn reply(status: StatusCode, body: &Value) -> HttpResponse {
    HttpResponse::new(status, body.to_string())
}

fn transact(faults: &Faults, tables: &Mutex<Tables>, body: Vec<u8>) -> HttpResponse {
    let unavailable = HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "");
    if consume(&faults.drop_requests) {
        return unavailable;
    }
    if consume(&faults.delayed_writes) {
        tables.lock().unwrap().delayed_write = Some(body);
        return unavailable;
    }
    let before = tables.lock().unwrap().deletions.len();
    let response = commit(tables, &body);
    let deleted = tables.lock().unwrap().deletions.len() > before;
    if deleted && consume(&faults.lose_deletions) {
        return unavailable;
    }
    if consume(&faults.lose_responses) {
        return unavailable;
    }
    response
}

fn query(path: &str, name: &str) -> String {
    let (_, query) = path.split_once('?').expect("query");
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(key, _)| *key == name)
        .expect("parameter")
        .1
        .to_owned()
}

fn get(tables: &mut Tables, path: &str) -> HttpResponse {
    let not_found = HttpResponse::new(StatusCode::NOT_FOUND, "");
    if let Some(key) = path.strip_prefix("/table/rows/") {
        return tables.rows.get(key).map_or(not_found, |(version, value)| {
            reply(
                StatusCode::OK,
                &json!({"key": key, "version": version, "value": value}),
            )
        });
    }
    if let Some(key) = path.strip_prefix("/objects/") {
        let object = tables.objects.get(key);
        return object.map_or(not_found, |body| {
            HttpResponse::new(StatusCode::OK, body.clone())
        });
    }
    if path.starts_with("/table/scan") {
        let (prefix, after) = (query(path, "prefix"), query(path, "after"));
        let limit = query(path, "limit").parse().expect("limit");
        let rows = tables.rows.iter();
        let rows: Vec<Value> = rows
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .take(limit)
            .map(|(key, (version, value))| json!({"key": key, "version": version, "value": value}))
            .collect();
        return reply(StatusCode::OK, &json!({ "rows": rows }));
    }
    let listed = tables.listed.iter();
    let vms: Vec<Value> = listed
        .map(|(vm, state)| json!({"vm": vm, "state": state}))
        .collect();
    reply(StatusCode::OK, &json!({"version": 1, "vms": vms}))
}

impl FakePlatform {
    pub async fn bind() -> Self {
        let faults: Arc<Faults> = Arc::default();
        let tables: Arc<Mutex<Tables>> = Arc::default();
        let read_permits = Arc::new(Semaphore::new(0));
        let shared = (
            Arc::clone(&faults),
            Arc::clone(&tables),
            Arc::clone(&read_permits),
        );
        let handler = move |request: HttpRequest| {
            let (faults, tables, read_permits) = shared.clone();
            let future = async move {
                if faults.outage.load(Ordering::SeqCst) {
                    return HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "");
                }
                if request.method == Method::GET {
                    if request.path.starts_with("/objects/") {
                        tables.lock().unwrap().object_reads += 1;
                        if consume(&faults.blocked_object_reads) {
                            read_permits.acquire().await.expect("open").forget();
                        }
                    }
                    let response = get(&mut tables.lock().unwrap(), &request.path);
                    if request.path.starts_with("/table/rows/log/") {
                        let late = tables.lock().unwrap().delayed_write.take();
                        late.map(|body| commit(&tables, &body));
                    }
                    if request.path == "/table/rows/head" && consume(&faults.blocked_head_reads) {
                        read_permits.acquire().await.expect("open").forget();
                    }
                    return response;
                }
                if let Some(key) = request.path.strip_prefix("/objects/") {
                    let mut tables = tables.lock().unwrap();
                    tables.objects.insert(key.to_owned(), request.body.to_vec());
                    return HttpResponse::new(StatusCode::OK, "");
                }
                if let Some(rest) = request.path.strip_prefix("/vms/") {
                    let vm = rest.trim_end_matches("/reboot").to_owned();
                    tables.lock().unwrap().reboots.push(vm);
                    return HttpResponse::new(StatusCode::ACCEPTED, "");
                }
                transact(&faults, &tables, request.body.to_vec())
            };
            Box::pin(future) as tanager_http::server::ResponseFuture
        };
        let listen_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server =
            HttpServer::bind(listen_address, ServerLimits::default(), Arc::new(handler)).await;
        let server = server.expect("bind");
        Self {
            address: server.address(),
            faults,
            tables,
            read_permits,
            _server: server,
        }
    }

    pub fn set_outage(&self, outage: bool) {
        self.faults.outage.store(outage, Ordering::SeqCst);
    }

    pub fn reboots(&self) -> Vec<String> {
        self.tables.lock().unwrap().reboots.clone()
    }
}

type NodeMap = BTreeMap<SocketAddr, Arc<ControlService>>;

/// Nodes that can call each other while they are in the map.
#[derive(Default)]
pub struct Cluster {
    pub nodes: Arc<Mutex<NodeMap>>,
    /// Requests in flight that each node reports, by VM.
    pub work: Arc<Mutex<BTreeMap<String, BTreeMap<String, u32>>>>,
    pub suspects: Arc<Mutex<BTreeSet<String>>>,
    /// Usage that each node reports.
    pub usage: Arc<Mutex<BTreeMap<String, UsageReport>>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // The services refer to the map, so they would otherwise never be dropped.
        self.nodes.lock().unwrap().clear();
    }
}

pub fn node_address(index: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(index)))
}

pub fn node_record(index: u8, incarnation: u64) -> NodeRecord {
    NodeRecord {
        incarnation,
        zone: "z".to_owned(),
        caller_address: node_address(index),
        peer_address: node_address(index),
        admin_address: node_address(index),
        since: 0,
    }
}

pub fn fast_timing() -> ControlTiming {
    ControlTiming {
        poll_interval: Duration::from_millis(20),
        gossip_interval: Duration::from_millis(20),
        coordinate_interval: Duration::from_millis(10),
        rebalance_interval: Duration::from_millis(10),
        reboot_grace_period: Duration::from_millis(50),
        ..ControlTiming::default()
    }
}

impl Cluster {
    /// Starts node `n{index}` with the first four node addresses as seeds.
    pub fn spawn(
        &self,
        platform: &FakePlatform,
        index: u8,
        incarnation: u64,
        timing: ControlTiming,
    ) -> Arc<ControlService> {
        let node = format!("n{index}");
        let settings = ControlSettings {
            node: node.clone(),
            record: node_record(index, incarnation),
            seeds: (0..4).map(node_address).collect(),
            rebalance: RebalanceSettings {
                enabled: true,
                move_cost: MOVE_COST,
            },
            timing,
        };
        let find = {
            let nodes = Arc::clone(&self.nodes);
            move |address: SocketAddr| {
                nodes.lock().unwrap().get(&address).cloned().ok_or_else(|| {
                    TanagerError::new(ErrorKind::NotSent, "connect", address.to_string(), "gone")
                })
            }
        };
        let own = node_address(index);
        let (find_gossip, find_progress) = (find.clone(), find.clone());
        let work = Arc::clone(&self.work);
        let usage = Arc::clone(&self.usage);
        let usage_node = node.clone();
        let suspects = Arc::clone(&self.suspects);
        let backend = ControlBackend {
            platform: Arc::new(PlatformClient::new(platform.address, CALL_TIMEOUT)),
            progress: Arc::new(move || NodeProgress {
                version: find_progress(own).map_or(0, |service| service.state().version),
                in_flight: work.lock().unwrap().get(&node).cloned().unwrap_or_default(),
            }),
            usage: Arc::new(move || {
                usage
                    .lock()
                    .unwrap()
                    .get(&usage_node)
                    .cloned()
                    .unwrap_or_default()
            }),
            suspects: Arc::new(move || suspects.lock().unwrap().clone()),
            fetch: Arc::new(move |address, after| {
                let found = find(address);
                Box::pin(async move { found.map(|service| service.fetch_reply(after)) })
            }),
            gossip: Arc::new(move |address, status| {
                let found = find_gossip(address);
                Box::pin(async move { found.map(|service| service.receive_status(status)) })
            }),
        };
        let service = Arc::new(ControlService::spawn(settings, backend));
        self.nodes.lock().unwrap().insert(own, Arc::clone(&service));
        service
    }

    /// Starts a node and waits until it is registered.
    pub async fn join(&self, platform: &FakePlatform, index: u8) -> Arc<ControlService> {
        let service = self.spawn(platform, index, u64::from(index) + 1, fast_timing());
        wait_until(|| service.may_dispatch() && service.ready().is_ok()).await;
        service
    }

    /// Disconnects a node from its peers.
    pub fn disconnect(&self, index: u8) -> Option<Arc<ControlService>> {
        self.nodes.lock().unwrap().remove(&node_address(index))
    }
}

pub async fn wait_until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(HANG_TIMEOUT, wait)
        .await
        .expect("the condition was not met in time");
}

/// Waits until the applied state of a service meets a condition.
pub async fn wait_state(service: &ControlService, condition: impl Fn(&FleetState) -> bool) {
    wait_until(|| condition(&service.state())).await;
}

/// Returns a document with pools a and b of floor 1 and three VMs each, a0 to a2 and b0 to b2.
pub fn document() -> ConfigDocument {
    let mut vms = serde_json::Map::new();
    for (pool, index) in ["a", "b"]
        .iter()
        .flat_map(|pool| (0..3).map(move |vm| (*pool, vm)))
    {
        let config = json!({"address": format!("10.0.0.{index}:{}", pool.as_bytes()[0]),
            "pool": pool, "zone": "z", "rack": format!("r{}", index / 2), "slots": 8});
        vms.insert(format!("{pool}{index}"), config);
    }
    let value = json!({"site": "s", "teams": {}, "vms": vms,
        "pools": {"a": {"floor": 1}, "b": {"floor": 1}}});
    serde_json::from_value(value).expect("document")
}

pub async fn configure(service: &ControlService) {
    let document = document();
    let change = FleetChange::Configure { document };
    service
        .propose("operator", change, None)
        .await
        .expect("configure");
}

pub fn start_move(vm: &str, to: &str) -> FleetChange {
    FleetChange::StartMove {
        vm: vm.to_owned(),
        to: to.to_owned(),
    }
}

pub fn start_drain(vm: &str) -> FleetChange {
    FleetChange::StartDrain {
        vm: vm.to_owned(),
        reason: "test".to_owned(),
    }
}
