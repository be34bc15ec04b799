//! State of the platform stand-in and the effect of each request on it.

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

/// Rows of a scan that names no limit.
const DEFAULT_SCAN_LIMIT: usize = 1_000;

/// Counts of requests that the stand-in ran.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Reads of rows, scans, objects and lists.
    pub reads: u64,
    /// Transactions, object writes and reboots.
    pub writes: u64,
    /// Transactions, conflicts included.
    pub transactions: u64,
    /// Transactions that failed a condition.
    pub conflicts: u64,
    /// Answers that were lost.
    pub lost_answers: u64,
    /// Counts by kind of request.
    pub kinds: BTreeMap<String, KindStats>,
}

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct KindStats {
    /// Requests.
    pub count: u64,
    /// Bytes of requests on the wire.
    pub bytes_in: u64,
    /// Bytes of responses on the wire, lost ones included.
    pub bytes_out: u64,
}

/// What happens after a request took effect.
pub(crate) enum ServiceReply {
    /// The response is sent.
    Answer(WireResponse),
    /// The connection is closed without a response.
    Lost,
    /// The endpoint of a VM is restarted.
    Reboot {
        /// The VM.
        vm: String,
        /// Control address of its endpoint.
        control: SocketAddr,
        /// Whether the response is lost.
        lost: bool,
    },
}

/// Everything the stand-in stores.
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
            self.vms.freeze(frozen, now);
        }
        if let Some(lag) = faults.list_lag_ms {
            self.vms.set_lag(Duration::from_millis(lag));
        }
    }

    /// Outage in force.
    pub(crate) fn outage(&self) -> OutageMode {
        self.outage
    }

    /// Delay in force.
    pub(crate) fn delay(&self) -> Duration {
        self.delay
    }

    /// Runs a request and decides the fate of its response.
    pub(crate) fn run(&mut self, request: &WireRequest, now: Instant) -> ServiceReply {
        let path = request.path().to_owned();
        let mut restart = None;
        let (kind, response) = match (request.method.as_str(), path.as_str()) {
            ("POST", "/table/transact") => ("transact", self.transact(request)),
            ("GET", "/table/scan") => ("scan", self.scan(request)),
            ("GET", "/vms") => ("list_vms", self.list(request, now)),
            ("GET", path) if path.starts_with("/table/rows/") => ("read", self.read(path)),
            ("GET", path) if path.starts_with("/objects/") => ("get_object", self.object(path)),
            ("PUT", path) if path.starts_with("/objects/") => {
                ("put_object", self.put_object(path, request))
            }
            ("POST", path) if path.starts_with("/vms/") && path.ends_with("/reboot") => {
                let (response, target) = self.reboot(path);
                restart = target;
                ("reboot", response)
            }
            _ => ("other", WireResponse::new(404, "")),
        };
        self.count(kind, request, &response);
        let write = matches!(kind, "transact" | "put_object" | "reboot");
        let lost = write && self.loses_answer();
        match restart {
            Some((vm, control)) => ServiceReply::Reboot { vm, control, lost },
            None if lost => ServiceReply::Lost,
            None => ServiceReply::Answer(response),
        }
    }

    fn count(&mut self, kind: &str, request: &WireRequest, response: &WireResponse) {
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

    fn loses_answer(&mut self) -> bool {
        let lost = match &mut self.lose_answers {
            LostResponses::Count(0) => false,
            LostResponses::Count(count) => {
                *count -= 1;
                true
            }
            LostResponses::Chance { probability, .. } => {
                self.random.random_bool(probability.clamp(0.0, 1.0))
            }
        };
        self.stats.lost_answers += u64::from(lost);
        lost
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

    fn read(&self, path: &str) -> WireResponse {
        let key = path.strip_prefix("/table/rows/").and_then(decode_key);
        match key.and_then(|key| self.table.read(&key)) {
            Some(row) => WireResponse::json(200, &json!(row)),
            None => WireResponse::new(404, ""),
        }
    }

    fn scan(&self, request: &WireRequest) -> WireResponse {
        let text = |name| request.query(name).unwrap_or_default();
        let limit = request.query("limit");
        let limit = limit.map_or(Ok(DEFAULT_SCAN_LIMIT), |limit| limit.parse());
        let Ok(limit) = limit else {
            return WireResponse::new(400, "bad limit");
        };
        let rows = self.table.scan(&text("prefix"), &text("after"), limit);
        WireResponse::json(200, &json!({ "rows": rows }))
    }

    fn object(&self, path: &str) -> WireResponse {
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

    fn list(&self, request: &WireRequest, now: Instant) -> WireResponse {
        let since = request.query("since").unwrap_or_else(|| "0".to_owned());
        match since.parse() {
            Ok(since) => WireResponse::json(200, &json!(self.vms.list(since, now))),
            Err(_) => WireResponse::new(400, "bad since"),
        }
    }

    fn reboot(&mut self, path: &str) -> (WireResponse, Option<(String, SocketAddr)>) {
        let vm = path
            .strip_prefix("/vms/")
            .and_then(|path| path.strip_suffix("/reboot"))
            .and_then(decode_key);
        match vm {
            Some(vm) if self.vms.contains(&vm) => {
                let control = self.vms.reboot(&vm);
                let target = control.map(|control| (vm, control));
                (WireResponse::json(202, &json!({})), target)
            }
            _ => (WireResponse::new(404, "no such VM"), None),
        }
    }
}
