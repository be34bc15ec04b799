//! State of the platform stand-in and the effects of requests on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;

use crate::platform::LostResponses;
use crate::platform::OutageMode;
use crate::platform::PlatformFaults;
use crate::table::MemoryTable;
use crate::vms::VmHistory;
use crate::wire::WireRequest;
use crate::wire::WireResponse;
use crate::wire::decode_key;

/// Maximum number of rows of a scan without the parameter `limit`.
const DEFAULT_SCAN_LIMIT: usize = 1_000;

/// Counts of the requests that the stand-in ran.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads of rows, scans, objects and lists.
    pub reads: u64,
    /// Transactions, object writes and reboots.
    pub writes: u64,
    /// Transactions, including those that failed a condition.
    pub transactions: u64,
    /// Transactions that failed a condition.
    pub conflicts: u64,
    /// Lost responses.
    pub lost_answers: u64,
    /// Request counts by kind.
    pub kinds: BTreeMap<String, KindStats>,
}

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindStats {
    /// Number of requests.
    pub count: u64,
    /// Bytes of requests on the wire.
    pub bytes_in: u64,
    /// Bytes of responses on the wire, including lost responses.
    pub bytes_out: u64,
}

/// Action that follows the effect of a request.
pub(crate) enum ServiceAction {
    /// Send the response.
    Respond(WireResponse),
    /// Close the connection without a response.
    Disconnect,
    /// Restart the endpoint of a VM.
    Reboot {
        /// VM.
        vm: String,
        /// Control address of its endpoint.
        control: SocketAddr,
        /// Whether the response is lost.
        is_response_lost: bool,
    },
}

/// Stored data, faults and counts of the stand-in.
pub(crate) struct PlatformState {
    table: MemoryTable,
    objects: BTreeMap<String, Bytes>,
    pub(crate) vms: VmHistory,
    pub(crate) stats: PlatformStats,
    delay: Duration,
    outage: OutageMode,
    lose_answers: LostResponses,
    random: StdRng,
}

impl PlatformState {
    pub(crate) fn new(list_lag: Duration) -> Self {
        Self {
            table: MemoryTable::default(),
            objects: BTreeMap::new(),
            vms: VmHistory::new(list_lag),
            stats: PlatformStats::default(),
            delay: Duration::ZERO,
            outage: OutageMode::None,
            lose_answers: LostResponses::Count(0),
            random: StdRng::seed_from_u64(0),
        }
    }

    pub(crate) fn set_faults(&mut self, faults: PlatformFaults, now: Instant) {
        if let Some(delay) = faults.delay_ms {
            self.delay = Duration::from_millis(delay);
        }
        if let Some(outage) = faults.outage {
            self.outage = outage;
        }
        if let Some(lose_answers) = faults.lose_answers {
            self.lose_answers = lose_answers;
            if let LostResponses::Chance { seed, .. } = lose_answers {
                self.random = StdRng::seed_from_u64(seed);
            }
        }
        if let Some(frozen) = faults.freeze_list {
            self.vms.set_frozen(frozen, now);
        }
        if let Some(lag) = faults.list_lag_ms {
            self.vms.set_lag(Duration::from_millis(lag));
        }
    }

    /// Current outage.
    pub(crate) fn outage(&self) -> OutageMode {
        self.outage
    }

    /// Current delay.
    pub(crate) fn delay(&self) -> Duration {
        self.delay
    }

    /// Applies a request and returns the action that follows.
    pub(crate) fn apply_request(&mut self, request: &WireRequest, now: Instant) -> ServiceAction {
        let path = request.path().to_owned();
        let mut restart_target = None;
        let (kind, response) = match (request.method.as_str(), path.as_str()) {
            ("POST", "/table/transact") => ("transact", self.transact(request)),
            ("GET", "/table/scan") => ("scan", self.scan(request)),
            ("GET", "/vms") => ("list_vms", self.list_vms(request, now)),
            ("GET", path) if path.starts_with("/table/rows/") => ("read", self.read_row(path)),
            ("GET", path) if path.starts_with("/objects/") => ("get_object", self.get_object(path)),
            ("PUT", path) if path.starts_with("/objects/") => {
                ("put_object", self.put_object(path, request))
            }
            ("POST", path) if path.starts_with("/vms/") && path.ends_with("/reboot") => {
                let (response, target) = self.reboot_vm(path);
                restart_target = target;
                ("reboot", response)
            }
            _ => ("other", WireResponse::new(404, "")),
        };
        self.count_request(kind, request, &response);
        let is_write = matches!(kind, "transact" | "put_object" | "reboot");
        let is_response_lost = is_write && self.should_lose_response();
        match restart_target {
            Some((vm, control)) => ServiceAction::Reboot {
                vm,
                control,
                is_response_lost,
            },
            None if is_response_lost => ServiceAction::Disconnect,
            None => ServiceAction::Respond(response),
        }
    }

    fn count_request(&mut self, kind: &str, request: &WireRequest, response: &WireResponse) {
        match kind {
            "transact" | "put_object" | "reboot" => self.stats.writes += 1,
            "other" => {}
            _ => self.stats.reads += 1,
        }
        if kind == "transact" {
            self.stats.transactions += 1;
            self.stats.conflicts += u64::from(response.status == 409);
        }
        let stats = self.stats.kinds.entry(kind.to_owned()).or_default();
        stats.count += 1;
        stats.bytes_in += request.wire_bytes as u64;
        stats.bytes_out += response.encode(true, true).len() as u64;
    }

    fn should_lose_response(&mut self) -> bool {
        let is_response_lost = match &mut self.lose_answers {
            LostResponses::Count(0) => false,
            LostResponses::Count(count) => {
                *count -= 1;
                true
            }
            LostResponses::Chance { probability, .. } => {
                self.random.random_bool(probability.clamp(0.0, 1.0))
            }
        };
        self.stats.lost_answers += u64::from(is_response_lost);
        is_response_lost
    }

    fn transact(&mut self, request: &WireRequest) -> WireResponse {
        let transaction: TableTransaction = match serde_json::from_slice(&request.body) {
            Ok(transaction) => transaction,
            Err(error) => return WireResponse::new(400, error.to_string()),
        };
        match self.table.transact(&transaction) {
            Some(TransactionResult::Committed(versions)) => {
                WireResponse::json(200, &json!({ "versions": versions }))
            }
            Some(TransactionResult::Conflict(failed)) => {
                WireResponse::json(409, &json!({ "failed": failed }))
            }
            None => WireResponse::new(400, "a key is written twice"),
        }
    }

    fn read_row(&self, path: &str) -> WireResponse {
        let key = path.strip_prefix("/table/rows/").and_then(decode_key);
        match key.and_then(|key| self.table.read(&key)) {
            Some(row) => WireResponse::json(200, &json!(row)),
            None => WireResponse::new(404, ""),
        }
    }

    fn scan(&self, request: &WireRequest) -> WireResponse {
        let parameter = |name| request.query(name).unwrap_or_default();
        let limit = request.query("limit");
        let limit = limit.map_or(Ok(DEFAULT_SCAN_LIMIT), |limit| limit.parse());
        let Ok(limit) = limit else {
            return WireResponse::new(400, "bad limit");
        };
        let rows = self
            .table
            .scan(&parameter("prefix"), &parameter("after"), limit);
        WireResponse::json(200, &json!({ "rows": rows }))
    }

    fn get_object(&self, path: &str) -> WireResponse {
        let key = path.strip_prefix("/objects/").and_then(decode_key);
        match key.and_then(|key| self.objects.get(&key)) {
            Some(content) => WireResponse::new(200, content.clone()),
            None => WireResponse::new(404, ""),
        }
    }

    fn put_object(&mut self, path: &str, request: &WireRequest) -> WireResponse {
        match path.strip_prefix("/objects/").and_then(decode_key) {
            Some(key) => {
                self.objects.insert(key, request.body.clone());
                WireResponse::new(200, "")
            }
            None => WireResponse::new(400, "bad key"),
        }
    }

    fn list_vms(&self, request: &WireRequest, now: Instant) -> WireResponse {
        let since = request.query("since").unwrap_or_else(|| "0".to_owned());
        match since.parse() {
            Ok(since) => WireResponse::json(200, &json!(self.vms.list(since, now))),
            Err(_) => WireResponse::new(400, "bad since"),
        }
    }

    fn reboot_vm(&mut self, path: &str) -> (WireResponse, Option<(String, SocketAddr)>) {
        let vm = path
            .strip_prefix("/vms/")
            .and_then(|path| path.strip_suffix("/reboot"))
            .and_then(decode_key);
        match vm {
            Some(vm) if self.vms.contains(&vm) => {
                let control = self.vms.reboot(&vm);
                let restart_target = control.map(|control| (vm, control));
                (WireResponse::json(202, &json!({})), restart_target)
            }
            _ => (WireResponse::new(404, "no such VM"), None),
        }
    }
}
