//! An administration API over a fleet state in memory. The tests of `tanager-command` use it too.

#![allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    reason = "no test binary uses all items"
)]

mod fleet_changes;

use std::collections::BTreeMap;
use std::future::pending;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::runtime::Runtime;

use tanager_node::admin::AdminBackend;
use tanager_node::admin::AdminServer;
use tanager_node::admin::AdminSettings;
use tanager_node::admin::ChangeProposal;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::NodeRecord;

/// Token of the operators, which allows every request.
pub const ROOT_TOKEN: &str = "root-token";
/// Token of team `clinic`, which owns the pools `intake` and `files`.
pub const CLINIC_TOKEN: &str = "clinic-token";

/// How the fake backend handles a proposal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProposeMode {
    Accept,
    /// Commits, then fails with `Unknown`.
    LoseResponse,
    /// Commits, then never responds.
    NeverRespond,
    /// Commits after 200 ms.
    AcceptDelayed,
    /// Fails with `Unknown` without committing.
    LoseProposal,
    /// Raises the version of every wave before the next proposal, as a wave step does, then
    /// accepts.
    StepWavesFirst,
    Fail(ErrorKind),
}

/// Backend of the administration API: a fleet state, its change log and counters of calls.
pub struct FakeFleet {
    pub state: Mutex<Arc<FleetState>>,
    pub log: Mutex<Vec<ChangeEntry>>,
    pub proposals: AtomicUsize,
    pub restores: AtomicUsize,
    pub mode: Mutex<ProposeMode>,
    pub ready: Mutex<Result<(), String>>,
}

impl FakeFleet {
    /// Returns a copy of the fleet state.
    pub fn current(&self) -> FleetState {
        FleetState::clone(&self.state.lock().unwrap())
    }

    /// Commits a change as node `node-1`, without counting a proposal.
    pub fn change(&self, change: FleetChange) -> ChangeEntry {
        let proposal = ChangeProposal {
            author: "node-1".to_owned(),
            change,
            expected_version: None,
        };
        self.commit(proposal).unwrap()
    }

    pub fn propose(&self, proposal: ChangeProposal) -> (ProposeMode, TanagerResult<ChangeEntry>) {
        self.proposals.fetch_add(1, Ordering::SeqCst);
        let mode = *self.mode.lock().unwrap();
        if mode == ProposeMode::StepWavesFirst {
            *self.mode.lock().unwrap() = ProposeMode::Accept;
            let mut state = self.state.lock().unwrap();
            let mut stepped = FleetState::clone(&state);
            stepped.version += 1;
            for wave in stepped.waves.values_mut() {
                wave.version = stepped.version;
            }
            *state = Arc::new(stepped);
        }
        let lost_response =
            || TanagerError::new(ErrorKind::Unknown, "commit", "store", "no response");
        let result = match mode {
            ProposeMode::Accept
            | ProposeMode::AcceptDelayed
            | ProposeMode::StepWavesFirst
            | ProposeMode::NeverRespond => self.commit(proposal),
            ProposeMode::LoseResponse => self.commit(proposal).and_then(|_| Err(lost_response())),
            ProposeMode::LoseProposal => Err(lost_response()),
            ProposeMode::Fail(kind) => Err(TanagerError::new(kind, "commit", "store", "failed")),
        };
        (mode, result)
    }

    fn commit(&self, proposal: ChangeProposal) -> TanagerResult<ChangeEntry> {
        let mut guard = self.state.lock().unwrap();
        let mut state = FleetState::clone(&guard);
        let (author, change) = (proposal.author, proposal.change);
        let current_version = fleet_changes::object_version(&state, &change);
        if proposal
            .expected_version
            .is_some_and(|expected_version| current_version > expected_version)
        {
            let author = state.configured_author.clone();
            let message = format!("changed at version {current_version} by {author}");
            return Err(TanagerError::new(
                ErrorKind::Conflict,
                "validate",
                "",
                message,
            ));
        }
        let version = state.version + 1;
        fleet_changes::apply(&mut state, version, &author, &change)?;
        let entry = ChangeEntry {
            version,
            author,
            token: format!("token-{version}"),
            change,
        };
        self.log.lock().unwrap().push(entry.clone());
        *guard = Arc::new(state);
        Ok(entry)
    }
}

/// Configuration with the pools `intake` and `files` of team `clinic`, and the pool `spare` of the
/// operators.
pub fn example_document() -> Value {
    let mut vms = BTreeMap::new();
    for (index, pool) in ["intake", "intake", "files", "files", "spare"]
        .iter()
        .enumerate()
    {
        vms.insert(
            format!("vm-{index}"),
            json!({
                "address": format!("127.0.0.1:{}", 9_000 + index), "pool": pool,
                "zone": "zone-a", "rack": "rack-1", "slots": 8,
            }),
        );
    }
    json!({
        "site": "test",
        "pools": {
            "intake": {"owner": "clinic", "floor": 1,
                "quotas": {"clinic": {"rate": 10, "burst": 20, "weight": 1}}},
            "files": {"owner": "clinic", "floor": 1},
            "spare": {},
        },
        "vms": vms,
        "teams": {"clinic": {"token_sha256": clinic_digest()}, "other": {}},
    })
}

fn clinic_digest() -> String {
    use sha2::Digest;
    let digest = sha2::Sha256::digest(CLINIC_TOKEN.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A running administration API over a [`FakeFleet`].
pub struct TestServer {
    pub fleet: Arc<FakeFleet>,
    pub address: SocketAddr,
    server: Option<AdminServer>,
    runtime: Runtime,
}

impl TestServer {
    /// Starts a node whose fleet has the example document as version 1.
    pub fn start() -> Self {
        let fleet = Arc::new(FakeFleet {
            state: Mutex::default(),
            log: Mutex::default(),
            proposals: AtomicUsize::new(0),
            restores: AtomicUsize::new(0),
            mode: Mutex::new(ProposeMode::Accept),
            ready: Mutex::new(Ok(())),
        });
        let document = serde_json::from_value(example_document()).unwrap();
        fleet.change(FleetChange::Configure { document });
        Self::start_with_fleet(fleet)
    }

    /// Starts a node over an existing fleet.
    pub fn start_with_fleet(fleet: Arc<FakeFleet>) -> Self {
        let runtime = Runtime::new().unwrap();
        let settings = AdminSettings {
            root_token: ROOT_TOKEN.to_owned(),
        };
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let bind = AdminServer::bind(address, settings, backend(&fleet));
        let server = runtime.block_on(bind).unwrap();
        Self {
            fleet,
            address: server.address(),
            server: Some(server),
            runtime,
        }
    }

    /// Registers a node whose administration API is at the address of this server.
    pub fn register(&self, node: &str) {
        let record = NodeRecord {
            incarnation: 1,
            zone: "zone-a".to_owned(),
            caller_address: self.address,
            peer_address: self.address,
            admin_address: self.address,
            since: 0,
        };
        let node = node.to_owned();
        self.fleet.change(FleetChange::JoinNode { node, record });
    }

    /// Returns the number of proposals so far.
    pub fn proposals(&self) -> usize {
        self.fleet.proposals.load(Ordering::SeqCst)
    }

    pub fn set_mode(&self, mode: ProposeMode) {
        *self.fleet.mode.lock().unwrap() = mode;
    }

    pub fn stop(mut self) {
        let server = self.server.take().unwrap();
        self.runtime.block_on(server.stop());
    }

    /// Sends a request with the given token and returns the status and the body.
    pub fn call(&self, token: &str, method: &str, path: &str, body: &[u8]) -> (u16, Value) {
        let authorization = if token.is_empty() {
            String::new()
        } else {
            format!("Authorization: Bearer {token}\r\n")
        };
        self.call_with_headers(&authorization, method, path, body)
    }

    /// Like [`Self::call`], but sends the given header lines, each with its CRLF, instead of a token.
    pub fn call_with_headers(
        &self,
        headers: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, Value) {
        let mut request = format!(
            "{method} {path} HTTP/1.1\r\nHost: node\r\nConnection: close\r\n{headers}\
             Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(body);
        let response = exchange(self.address, &request);
        let text = String::from_utf8(response).unwrap();
        let (head, body) = text.split_once("\r\n\r\n").expect("a response");
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let body = serde_json::from_str(body).unwrap_or_else(|_| Value::from(body));
        (status, body)
    }
}

/// Sends a raw request and reads until the server closes the connection.
pub fn exchange(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).unwrap();
    // The server may refuse a large body before it has read the whole body, so errors are ignored.
    let _ = stream.write_all(request);
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    response
}

fn backend(fleet: &Arc<FakeFleet>) -> AdminBackend {
    let state = Arc::clone(fleet);
    let propose = Arc::clone(fleet);
    let history = Arc::clone(fleet);
    let snapshot = Arc::clone(fleet);
    let restore = Arc::clone(fleet);
    let ready = Arc::clone(fleet);
    AdminBackend {
        state: Arc::new(move || Arc::clone(&state.state.lock().unwrap())),
        propose: Arc::new(move |proposal| {
            let fleet = Arc::clone(&propose);
            Box::pin(async move {
                if *fleet.mode.lock().unwrap() == ProposeMode::AcceptDelayed {
                    tokio::time::sleep(Duration::from_millis(200)).await;
                }
                let (mode, result) = fleet.propose(proposal);
                if mode == ProposeMode::NeverRespond {
                    pending::<()>().await;
                }
                result
            })
        }),
        history: Arc::new(move |limit| {
            let log = history.log.lock().unwrap();
            let entries = log.iter().rev().take(limit).cloned().collect();
            Box::pin(async move { Ok(entries) })
        }),
        snapshot: Arc::new(move |()| {
            let state = snapshot.current();
            Box::pin(async move { Ok(state) })
        }),
        restore: Arc::new(move |new| {
            let fleet = Arc::clone(&restore);
            Box::pin(async move {
                fleet.restores.fetch_add(1, Ordering::SeqCst);
                let mut state = fleet.state.lock().unwrap();
                if state.version > 0 {
                    let message = "the store is not empty";
                    return Err(TanagerError::new(
                        ErrorKind::Refused,
                        "restore",
                        "",
                        message,
                    ));
                }
                *state = Arc::new(new);
                Ok(())
            })
        }),
        dump: Arc::new(|| json!({"services": {"dispatch": {"queued": 3}}})),
        ready: Arc::new(move || ready.ready.lock().unwrap().clone()),
        metrics: Arc::new(|| "# EOF\n".to_owned()),
    }
}
