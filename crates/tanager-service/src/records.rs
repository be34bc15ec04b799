//! Rows that nodes store for themselves and for each other, and the names of their tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ResourceAmount;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use tanager_jobs::ids::PoolName;
use tanager_schedule::unconfirmed_usage::FormerCapacities;
use tanager_site::store::RowName;
use xxhash_rust::xxh3::xxh3_64;

/// Table of nodes; see [`node_row`].
pub const NODE_TABLE: &str = "node";
/// Number of parts of the nodes' table: at 1,000 nodes a part gets 63 heartbeats a second of the 200
/// writes that the platform documents.
const NODE_PARTS: u64 = 16;
/// Table of cell owners; the part is the cell, the key is [`OWNER_KEY`].
pub const CELL_TABLE: &str = "cell";
/// Table of ledgers; the part is the cell, the key is [`LEDGER_KEY`].
pub const LEDGER_TABLE: &str = "ledger";
/// Table of accepted jobs; the part is the cell, the key is the job's id.
pub const JOB_TABLE: &str = "job";
/// Table of jobs' progress; the part is the cell, the key is the job's id.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of pools; the part is empty, the key is the pool's name.
pub const POOL_TABLE: &str = "pool";
/// Key of a cell's owner row.
pub const OWNER_KEY: &str = "owner";
/// Key of a cell's ledger row.
pub const LEDGER_KEY: &str = "ledger";
/// Table of the workers of cells; the part is the cell, the key is the worker's id. A row for each worker
/// has a bounded size, whatever the size of the cell.
pub const LEDGER_WORKER_TABLE: &str = "worker";
/// Key of the row in which earlier versions kept the workers of a cell, in the table of ledgers.
pub const WORKERS_KEY: &str = "workers";
/// Cell without jobs whose owner is the coordinator, the node that sends orders to VMs.
pub const COORDINATOR_CELL: &str = "duty";
/// Cell without jobs whose owner is the allocator, the node that divides the caps of workspaces
/// among the cells. It exists only where a workspace has a cap.
pub const ALLOCATOR_CELL: &str = "workspaces";

/// Number that identifies a process of a node; see [`new_incarnation`].
pub type Incarnation = u64;

/// Number of random bits of an incarnation.
const RANDOM_BITS: u32 = 16;

/// Returns the incarnation of a process that starts at a time in milliseconds since 1970. The random bits keep two
/// processes of a node apart even if their clocks agree.
pub fn new_incarnation(started_ms: u64, random: u16) -> Incarnation {
    (started_ms << RANDOM_BITS) | u64::from(random)
}

/// Returns the start of a process in milliseconds since 1970.
pub fn start_of(incarnation: Incarnation) -> u64 {
    incarnation >> RANDOM_BITS
}

/// Row of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRecord {
    /// Process of the node.
    pub incarnation: Incarnation,
    /// Address on which other nodes are served.
    pub peer: SocketAddr,
    /// Counter that increases with each heartbeat.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether the node is stopping and acquires no cells.
    pub leaving: bool,
    /// CPU share of the node, in cores.
    pub cores: f64,
}

/// Row that names the owner of a cell.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRecord {
    /// Owner; empty after the cell was released.
    pub node: NodeName,
    /// Process of the owner.
    pub incarnation: Incarnation,
    /// Node that released the cell; it does not acquire the cell again.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub released_by: NodeName,
    /// Whether the cell was acquired from an owner that may have still extended leases, and the owner
    /// may not have outlasted them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub awaits_predecessor: bool,
    /// Number of owners in a row, before this one, that ended soon after they had acquired the cell.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub early_ends: u32,
    /// Cell that this one was merged into, with its jobs and workers; empty if it is one of its own.
    /// A cell that was merged is not acquired any more, and its rows no longer change, but that the
    /// owner of the other cell removes them.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub merged_into: CellName,
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Ledger row of a cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerRecord {
    /// Number of the transaction that wrote this row.
    pub sequence: u64,
    /// Process that wrote this row; together with `sequence` it identifies the transaction.
    pub writer: Incarnation,
    /// Marks of jobs whose progress the store rejects: no later owner starts their tasks. Each has the
    /// state of the job, which this row stores in place of its progress.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub withheld: BTreeMap<JobId, JobState>,
    /// Written by earlier versions; see [`LEDGER_WORKER_TABLE`].
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<LedgerWorker>,
    /// Written by earlier versions; see [`crate::queue_statistics`].
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub learned: BTreeMap<String, QueueStatistics>,
}

/// Row with the workers of a cell and the statistics of its queues, as earlier versions wrote it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct CellWorkersRecord {
    /// Workers on which the owner may have runs.
    pub workers: Vec<LedgerWorker>,
    /// Statistics by queue, so that the next owner does not start from the clients' estimates.
    pub learned: BTreeMap<String, QueueStatistics>,
}

/// Statistics of the jobs of a queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct QueueStatistics {
    /// Mean duration of a task, in seconds.
    pub mean: f64,
    /// Mean ratio of a task's duration to the client's estimate.
    pub ratio: f64,
    /// Mean CPU time of a job, in core-seconds.
    pub work: f64,
}

/// A worker listed in a ledger.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerWorker {
    /// Id of the worker.
    pub worker: String,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Start of the worker's incarnation, in milliseconds.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Capacity of the worker, which bounds what may run there if it never reports to the next owner.
    /// Not in rows of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<ResourceAmount>,
}

/// Row with the partition of a pool into cells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRecord {
    /// Number of cells in the pool.
    pub cells: u32,
    /// Index of the cell that each rack is assigned to.
    pub racks: BTreeMap<String, u32>,
    /// Racks added after the first partition; their VMs may be borrowed from another pool.
    #[serde(default)]
    pub later_racks: BTreeSet<String>,
}

impl CellWorkersRecord {
    /// Adds the record of a cell that was merged into this one. What this record has is newer.
    pub fn add_absorbed(&mut self, absorbed: Self) {
        let known: BTreeSet<String> = (self.workers.iter())
            .map(|worker| worker.worker.clone())
            .collect();
        let new = (absorbed.workers.into_iter()).filter(|worker| !known.contains(&worker.worker));
        self.workers.extend(new);
        for (queue, statistics) in absorbed.learned {
            self.learned.entry(queue).or_insert(statistics);
        }
    }
}

/// Returns the entries of the workers of a cell in a takeover: the listed ones, and those that only the ledger names,
/// so that their reports reveal their runs. Of an incarnation that is later in the ledger than in the list, which this
/// node may have read before it, the ledger has the address. A worker at the former address is another one.
pub fn entries_at_takeover(
    listed: Vec<WorkerEntry>,
    ledger: &[LedgerWorker],
    pool: &PoolName,
) -> Vec<WorkerEntry> {
    let mut entries = listed;
    for row in ledger {
        match entries.iter_mut().find(|entry| entry.worker == row.worker) {
            None => entries.push(row.placeholder_entry(pool)),
            Some(entry) if row.started_ms > entry.started_ms => {
                entry.address = row.address;
                entry.started_ms = row.started_ms;
            }
            Some(_) => {}
        }
    }
    entries
}

/// Returns the capacities of the workers of a ledger. `fleet` has the capacities of all listed workers:
/// one of the ledger without a capacity is at most as large as the largest of all.
pub fn former_capacities(
    workers: &[LedgerWorker],
    fleet: impl Iterator<Item = ResourceAmount>,
) -> FormerCapacities {
    let by_worker: HashMap<_, _> = (workers.iter())
        .filter_map(|worker| Some((worker.worker.clone(), worker.capacity?)))
        .collect();
    let largest = (fleet.chain(by_worker.values().copied()))
        .filter(|capacity| *capacity != ResourceAmount::default())
        .reduce(|largest, capacity| ResourceAmount {
            cpu: largest.cpu.max(capacity.cpu),
            memory_mb: largest.memory_mb.max(capacity.memory_mb),
            gpu: largest.gpu.max(capacity.gpu),
        });
    FormerCapacities { by_worker, largest }
}

impl LedgerWorker {
    /// Describes a worker with this capacity.
    pub fn from_entry(entry: &WorkerEntry, capacity: Option<ResourceAmount>) -> Self {
        Self {
            worker: entry.worker.clone(),
            address: entry.address,
            started_ms: entry.started_ms,
            capacity,
        }
    }

    /// Returns an entry through which the worker can be reached. It has no capacity, so the worker
    /// gets no tasks. It is not marked as draining, because that would stop the worker's
    /// long-running tasks at once.
    pub fn placeholder_entry(&self, pool: &PoolName) -> WorkerEntry {
        WorkerEntry {
            worker: self.worker.clone(),
            pool: pool.clone(),
            address: self.address,
            zone: String::new(),
            draining: false,
            drain_remaining: None,
            started_ms: self.started_ms,
            capacity: ResourceAmount::default(),
            labels: Vec::new(),
            rack: None,
            borrowed: false,
        }
    }
}

/// Returns the name of the cell with this index in a pool.
pub fn cell_name(pool: &str, index: u32) -> CellName {
    format!("{pool}/{index}")
}

/// Returns the index of a cell in its pool; `None` for a cell without jobs.
pub fn cell_index(cell: &str) -> Option<u32> {
    cell.rsplit_once('/')?.1.parse().ok()
}

/// Returns the pool that a cell belongs to.
pub fn pool_of(cell: &str) -> &str {
    cell.rsplit_once('/').map_or(cell, |(pool, _)| pool)
}

/// Returns the name of a row in the part of a cell.
pub fn cell_row(table: &str, cell: &str, key: &str) -> RowName {
    RowName {
        table: table.to_owned(),
        part: cell.to_owned(),
        key: key.to_owned(),
    }
}

/// Returns the name of a node's row.
///
/// The rows are spread over parts, because the store carries out the writes of a part one after
/// another: with 150 nodes, the heartbeats of all would fill most of one part's rate, and their
/// retries after a disturbance all of it.
pub fn node_row(node: &str) -> RowName {
    let part = xxh3_64(node.as_bytes()) % NODE_PARTS;
    cell_row(NODE_TABLE, &format!("n{part}"), node)
}

/// Returns the name of a row in the unnamed part of a table.
pub fn unpartitioned_row(table: &str, key: &str) -> RowName {
    cell_row(table, "", key)
}
