//! Rows that nodes write for each other, and the names of the tables.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::ResourceAmount;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use tanager_jobs::ids::PoolName;
use tanager_site::store::RowName;

/// Table of nodes: part empty, key the node's name.
pub const NODE_TABLE: &str = "node";
/// Table of owners: part the cell, key [`OWNER_KEY`].
pub const CELL_TABLE: &str = "cell";
/// Table of ledgers: part the cell, key [`LEDGER_KEY`].
pub const LEDGER_TABLE: &str = "ledger";
/// Table of accepted jobs: part the cell, key the job.
pub const JOB_TABLE: &str = "job";
/// Table of progress: part the cell, key the job.
pub const PROGRESS_TABLE: &str = "progress";
/// Table of pools: part empty, key the pool.
pub const POOL_TABLE: &str = "pool";
/// Key of the owner of a cell.
pub const OWNER_KEY: &str = "owner";
/// Key of the ledger of a cell.
pub const LEDGER_KEY: &str = "ledger";
/// Cell of the orders to VMs. It has no jobs.
pub const COORDINATOR_CELL: &str = "duty";

/// Number that tells two processes of a node apart.
pub type Incarnation = u64;

/// A node's row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRecord {
    /// Process.
    pub incarnation: Incarnation,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Rises with each beat.
    #[serde(rename = "beat")]
    pub heartbeat: u64,
    /// Whether the node is stopping and takes no cells.
    pub leaving: bool,
    /// Processor time that the node has, in cores.
    pub cores: f64,
}

/// Owner of a cell.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OwnerRecord {
    /// Owner; empty when the cell was given up.
    pub node: NodeName,
    /// Process of the owner.
    pub incarnation: Incarnation,
    /// Node that gave the cell up, which does not take it again.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub released_by: NodeName,
}

/// Ledger of a cell.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerRecord {
    /// Number of the transaction that wrote this row.
    pub sequence: u64,
    /// Process that wrote it; with `sequence` it names the transaction.
    pub writer: Incarnation,
    /// Workers at which the owner may have runs.
    pub workers: Vec<LedgerWorker>,
    /// What the owner learned of queues, so that the next one does not start from estimates.
    pub learned: BTreeMap<String, LearnedRecord>,
}

/// What was learned of the jobs of a queue.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LearnedRecord {
    /// Mean duration of a task, in seconds.
    pub mean: f64,
    /// Mean ratio of the duration to the client's estimate.
    pub ratio: f64,
    /// Mean processor time of a job, in core-seconds.
    pub work: f64,
}

/// A worker that a ledger names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerWorker {
    /// Id.
    pub worker: String,
    /// Address.
    pub address: SocketAddr,
    /// Start of its life.
    pub born_ms: u64,
}

/// Division of a pool into cells.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRecord {
    /// Number of cells.
    pub cells: u32,
    /// Cell of each rack.
    pub racks: BTreeMap<String, u32>,
    /// Racks that came after the first division: their VMs may be guests from another pool.
    #[serde(default)]
    pub later_racks: BTreeSet<String>,
}

impl LedgerWorker {
    /// Describes a worker.
    pub fn from_entry(entry: &WorkerEntry) -> Self {
        Self {
            worker: entry.worker.clone(),
            address: entry.address,
            born_ms: entry.started_ms,
        }
    }

    /// Returns an entry with which the worker can be reached but gets no tasks, because it has no
    /// room. It is not said to be leaving: its tasks that last would be stopped at once.
    pub fn placeholder_entry(&self, pool: &PoolName) -> WorkerEntry {
        WorkerEntry {
            worker: self.worker.clone(),
            pool: pool.clone(),
            address: self.address,
            zone: String::new(),
            draining: false,
            drain_remaining: None,
            started_ms: self.born_ms,
            capacity: ResourceAmount::default(),
            labels: Vec::new(),
            rack: None,
            borrowed: false,
        }
    }
}

/// Returns the name of a cell of a pool.
pub fn cell_name(pool: &str, index: u32) -> CellName {
    format!("{pool}/{index}")
}

/// Returns the pool of a cell.
pub fn pool_of(cell: &str) -> &str {
    cell.rsplit_once('/').map_or(cell, |(pool, _)| pool)
}

/// Names a row of a cell.
pub fn cell_row(table: &str, cell: &str, key: &str) -> RowName {
    RowName {
        table: table.to_owned(),
        part: cell.to_owned(),
        key: key.to_owned(),
    }
}

/// Names a row without a part.
pub fn unpartitioned_row(table: &str, key: &str) -> RowName {
    cell_row(table, "", key)
}
