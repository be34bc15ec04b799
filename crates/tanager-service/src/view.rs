//! What the node knows of the fleet: configuration, workers, nodes, pools and owners of cells.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::FleetConfig;
use tanager_jobs::JobId;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::WorkerId;
use tanager_site::fleet::WaveOrder;
use tanager_site::store::RowVersion;
use xxhash_rust::xxh3::xxh3_64;

use crate::records::COORDINATOR_CELL;
use crate::records::NodeRecord;
use crate::records::OwnerRecord;
use crate::records::PoolRecord;
use crate::records::cell_name;

/// A cell has at most about this many workers. In a surge 13 workers of 16 cores run some 300 tasks
/// a second of the sites' shortest kind; on the grown site nodes have 0.12 to 0.5 of a core.
pub const CELL_WORKERS: usize = 13;
/// Longest gap between two successful reads over which silence is counted.
const READ_GAP: Duration = Duration::from_millis(1_500);

/// A node as others see it.
#[derive(Clone, Debug)]
pub struct ObservedNode {
    /// Row.
    pub record: NodeRecord,
    /// Version of the row.
    pub version: RowVersion,
    /// Time during which reads succeeded and the row did not change.
    pub unresponsive_time: Duration,
}

/// Owner of a cell as last read.
#[derive(Clone, Debug, Default)]
pub struct ObservedOwner {
    /// Row.
    pub record: OwnerRecord,
    /// Version of the row; 0 when there is none.
    pub version: RowVersion,
    /// Since when the cell has no living owner.
    pub orphaned_since: Option<Duration>,
}

/// What the node knows.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// Pools that each queue was directed to by versions seen so far.
    pub previous_pools: BTreeMap<String, BTreeSet<PoolName>>,
    /// Workers by id.
    pub workers: BTreeMap<WorkerId, WorkerEntry>,
    /// Nodes by name.
    pub nodes: BTreeMap<NodeName, ObservedNode>,
    /// Last successful read of the nodes.
    pub nodes_read_at: Option<Duration>,
    /// Owners by cell.
    pub owners: BTreeMap<CellName, ObservedOwner>,
    /// Whether owners were read.
    pub has_read_owners: bool,
    /// Pools with their cells.
    pub pools: BTreeMap<PoolName, (PoolRecord, RowVersion)>,
    /// Waves that the operator asked for.
    pub waves: BTreeMap<u64, WaveOrder>,
}

impl FleetView {
    /// Takes a configuration unless a newer one is in force. Returns whether it was taken.
    pub fn apply_config(&mut self, config: FleetConfig) -> bool {
        let is_newer =
            (self.config.as_ref()).is_none_or(|current| config.version > current.version);
        if !is_newer {
            return false;
        }
        for queue in &config.queues {
            let pools = self.previous_pools.entry(queue.key.clone()).or_default();
            pools.insert(queue.pool.clone());
        }
        self.config = Some(Arc::new(config));
        true
    }

    /// Takes a read of the nodes' rows: those that changed, or all of them.
    pub fn apply_node_rows(
        &mut self,
        rows: Vec<(NodeName, Option<NodeRecord>, RowVersion)>,
        is_full: bool,
        now: Duration,
    ) {
        let passed = match self.nodes_read_at {
            Some(before) if now.saturating_sub(before) <= READ_GAP => now.saturating_sub(before),
            _ => Duration::ZERO,
        };
        let is_gap = passed.is_zero();
        self.nodes_read_at = Some(now);
        for observed in self.nodes.values_mut() {
            observed.unresponsive_time = match is_gap {
                true => Duration::ZERO,
                false => observed.unresponsive_time + passed,
            };
        }
        if is_full {
            let names: BTreeSet<&NodeName> = rows.iter().map(|(name, _, _)| name).collect();
            self.nodes.retain(|name, _| names.contains(name));
        }
        for (name, record, version) in rows {
            let Some(record) = record else {
                self.nodes.remove(&name);
                continue;
            };
            match self.nodes.get_mut(&name) {
                Some(observed) if observed.version >= version => {}
                _ => {
                    let observed = ObservedNode {
                        record,
                        version,
                        unresponsive_time: Duration::ZERO,
                    };
                    self.nodes.insert(name, observed);
                }
            }
        }
    }

    /// Takes the row that this node has just written.
    pub fn record_own_node(&mut self, name: NodeName, record: NodeRecord, version: RowVersion) {
        let observed = ObservedNode {
            record,
            version,
            unresponsive_time: Duration::ZERO,
        };
        self.nodes.insert(name, observed);
    }

    /// Takes the owner of a cell unless a newer row is known.
    pub fn apply_owner(&mut self, cell: &str, record: OwnerRecord, version: RowVersion) {
        let observed = self.owners.entry(cell.to_owned()).or_default();
        if version > observed.version {
            *observed = ObservedOwner {
                record,
                version,
                orphaned_since: None,
            };
        }
    }

    /// Returns the cells that the configuration asks for, with the cell of orders to VMs.
    pub fn configured_cells(&self) -> Vec<CellName> {
        let mut cells = vec![COORDINATOR_CELL.to_owned()];
        let Some(config) = &self.config else {
            return Vec::new();
        };
        for pool in config.pools.values().filter(|pool| !pool.spare) {
            if let Some((record, _)) = self.pools.get(&pool.name) {
                cells.extend((0..record.cells).map(|index| cell_name(&pool.name, index)));
            }
        }
        cells
    }

    /// Returns the cell of a job.
    pub fn cell_of_job(&self, pool: &str, id: JobId) -> Option<CellName> {
        let (record, _) = self.pools.get(pool)?;
        let hash = xxh3_64(&id.0.to_be_bytes());
        let index = hash % u64::from(record.cells.max(1));
        Some(cell_name(pool, index as u32))
    }

    /// Returns the cells of a pool.
    pub fn cells_of(&self, pool: &str) -> Vec<CellName> {
        let count = (self.pools.get(pool)).map_or(0, |(record, _)| record.cells);
        (0..count).map(|index| cell_name(pool, index)).collect()
    }

    /// Returns the workers of a cell.
    pub fn workers_of(&self, cell: &str) -> Vec<WorkerEntry> {
        let pool = crate::records::pool_of(cell);
        let Some((record, _)) = self.pools.get(pool) else {
            return Vec::new();
        };
        (self.workers.values())
            .filter(|entry| entry.pool == pool)
            .filter(|entry| cell_of_worker(self, &entry.worker).as_deref() == Some(cell))
            .map(|entry| WorkerEntry {
                borrowed: (entry.rack.as_ref())
                    .is_some_and(|rack| record.later_racks.contains(rack)),
                ..entry.clone()
            })
            .collect()
    }

    /// Returns the racks of a pool's workers that belong to no cell yet.
    pub fn new_racks(&self, pool: &str) -> BTreeSet<String> {
        let known = self.pools.get(pool).map(|(record, _)| &record.racks);
        (self.workers.values())
            .filter(|entry| entry.pool == pool)
            .filter_map(|entry| entry.rack.clone())
            .filter(|rack| known.is_none_or(|racks| !racks.contains_key(rack)))
            .collect()
    }

    /// Returns the owner of a cell if it is known, with its address.
    pub fn owner_of(&self, cell: &str) -> Option<(NodeName, SocketAddr)> {
        let observed = self.owners.get(cell)?;
        let node = self.nodes.get(&observed.record.node)?;
        let is_superseded = node.record.incarnation > observed.record.incarnation;
        (!is_superseded).then(|| (observed.record.node.clone(), node.record.peer))
    }
}

/// Returns the cell of a listed worker.
pub fn cell_of_worker(view: &FleetView, worker: &str) -> Option<CellName> {
    let entry = view.workers.get(worker)?;
    let (record, _) = view.pools.get(&entry.pool)?;
    let index = record.racks.get(entry.rack.as_ref()?)?;
    Some(cell_name(&entry.pool, *index))
}

/// Extends the division of a pool by new racks: each goes to the cell with the fewest racks.
pub fn assign_racks(record: &PoolRecord, workers: usize, racks: &BTreeSet<String>) -> PoolRecord {
    let mut divided = record.clone();
    if divided.cells > 0 {
        divided.later_racks.extend(racks.iter().cloned());
    } else {
        let cells = workers.div_ceil(CELL_WORKERS).clamp(1, racks.len().max(1));
        divided.cells = cells as u32;
    }
    for rack in racks {
        let fewest = (0..divided.cells)
            .min_by_key(|index| divided.racks.values().filter(|cell| *cell == index).count());
        divided.racks.insert(rack.clone(), fewest.unwrap_or(0));
    }
    divided
}
