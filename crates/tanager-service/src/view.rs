//! This node's copy of the fleet's state: configuration, workers, nodes, pools and cell owners.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::FleetConfig;
use tanager_jobs::JobId;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkspaceTable;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::NodeName;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::WorkerId;
use tanager_site::fleet::WaveOrder;
use tanager_site::store::RowVersion;
use xxhash_rust::xxh3::xxh3_64;

use crate::records::ALLOCATOR_CELL;
use crate::records::COORDINATOR_CELL;
use crate::records::NodeRecord;
use crate::records::OwnerRecord;
use crate::records::PoolRecord;
use crate::records::cell_index;
use crate::records::cell_name;

/// Target for the number of workers per cell. In a surge, 13 workers of 16 cores run about 300 of
/// the shortest tasks per second, which the owner must handle with 0.12 to 0.5 of a core.
pub const TARGET_CELL_WORKERS: usize = 13;
/// Maximum gap between two successful reads that counts towards a node's unresponsive time.
pub(crate) const MAX_READ_GAP: Duration = Duration::from_millis(1_500);

/// A node's row as last read.
#[derive(Clone, Debug)]
pub struct ObservedNode {
    /// Decoded row.
    pub record: NodeRecord,
    /// Version of the row.
    pub version: RowVersion,
    /// Time for which reads succeeded but the row did not change.
    pub unresponsive_time: Duration,
}

/// A cell's owner row as last read.
#[derive(Clone, Debug, Default)]
pub struct ObservedOwner {
    /// Decoded row.
    pub record: OwnerRecord,
    /// Version of the row; 0 if there is none.
    pub version: RowVersion,
    /// Version of the newest row that cannot be decoded; 0 if there is none.
    pub unreadable_version: RowVersion,
    /// Time since which the cell has had no live owner.
    pub orphaned_since: Option<Duration>,
    /// Time since which the row of the owner's node has been missing: the two rows are in different
    /// tables, which are read one after the other.
    pub unknown_since: Option<Duration>,
}

/// This node's copy of the fleet's state.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Configuration in force.
    pub config: Option<Arc<FleetConfig>>,
    /// Pools that may have jobs of each queue, by queue key: those that it was assigned to by the
    /// configurations seen so far, and those that the table of queues names.
    pub previous_pools: BTreeMap<String, BTreeSet<PoolName>>,
    /// Pool of each queue, with the first version in a row seen by this process that assigns it there.
    queue_pools: BTreeMap<String, (PoolName, u64)>,
    /// Workers by id.
    pub workers: BTreeMap<WorkerId, WorkerEntry>,
    /// Version of the store as of which `workers` is complete.
    pub workers_version: RowVersion,
    /// Nodes by name.
    pub nodes: BTreeMap<NodeName, ObservedNode>,
    /// Time of the last successful read of the nodes.
    pub nodes_read_at: Option<Duration>,
    /// Owners by cell.
    pub owners: BTreeMap<CellName, ObservedOwner>,
    /// Whether the owners have been read at least once.
    pub has_read_owners: bool,
    /// Whether the pools have been read at least once.
    pub has_read_pools: bool,
    /// Partition of each pool, with the version of its row.
    pub pools: BTreeMap<PoolName, (PoolRecord, RowVersion)>,
    /// Maintenance waves that the operator requested, by number.
    pub waves: BTreeMap<u64, WaveOrder>,
    /// Time at which this node first saw each wave, in milliseconds since 1970.
    pub waves_seen_ms: BTreeMap<u64, u64>,
}

impl FleetView {
    /// Returns whether all has been read once that is needed to find the owner of a job's cell.
    pub fn has_first_reads(&self) -> bool {
        self.config.is_some() && self.has_read_owners && self.has_read_pools
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it did.
    pub fn apply_config(&mut self, config: FleetConfig) -> bool {
        let is_newer =
            (self.config.as_ref()).is_none_or(|current| config.version > current.version);
        if !is_newer {
            return false;
        }
        let mut queue_pools = BTreeMap::new();
        for queue in &config.queues {
            self.add_former_pool(&queue.key, &queue.pool);
            let known = self.queue_pools.remove(&queue.key);
            let assigned = (known.filter(|(pool, _)| *pool == queue.pool))
                .unwrap_or_else(|| (queue.pool.clone(), config.version));
            queue_pools.insert(queue.key.clone(), assigned);
        }
        self.queue_pools = queue_pools;
        self.config = Some(Arc::new(config));
        true
    }

    /// Records that a pool may have jobs of a queue.
    pub fn add_former_pool(&mut self, queue: &str, pool: &str) {
        let pools = self.previous_pools.entry(queue.to_owned()).or_default();
        pools.insert(pool.to_owned());
    }

    /// Returns the version of the configuration since which this process knows a queue to be assigned
    /// to its pool; `None` if the queue is not configured.
    pub fn queue_since(&self, queue: &str) -> Option<u64> {
        self.queue_pools.get(queue).map(|(_, version)| *version)
    }

    /// Returns the last version that assigned a queue to another pool or added one.
    pub fn last_queue_change(&self) -> Option<u64> {
        self.queue_pools.values().map(|(_, version)| *version).max()
    }

    /// Applies the result of reading the nodes' rows: all rows if `is_full`, else the changed ones.
    ///
    /// The time for which a node is unresponsive starts anew after a gap in this node's reads, and
    /// while `can_write` is false because the store does not accept this node's own heartbeats.
    pub fn apply_node_rows(
        &mut self,
        rows: Vec<(NodeName, Option<NodeRecord>, RowVersion)>,
        is_full: bool,
        can_write: bool,
        now: Duration,
    ) {
        let elapsed = match self.nodes_read_at {
            Some(before) if now.saturating_sub(before) <= MAX_READ_GAP => {
                now.saturating_sub(before)
            }
            _ => Duration::ZERO,
        };
        let proves_nothing = elapsed.is_zero() || !can_write;
        self.nodes_read_at = Some(now);
        for observed in self.nodes.values_mut() {
            observed.unresponsive_time = match proves_nothing {
                true => Duration::ZERO,
                false => observed.unresponsive_time + elapsed,
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

    /// Records the row that this node has just written.
    pub fn record_own_node(&mut self, name: NodeName, record: NodeRecord, version: RowVersion) {
        let observed = ObservedNode {
            record,
            version,
            unresponsive_time: Duration::ZERO,
        };
        self.nodes.insert(name, observed);
    }

    /// Applies the owner row of a cell unless the known row is at least as new.
    pub fn apply_owner(&mut self, cell: &str, record: OwnerRecord, version: RowVersion) {
        let observed = self.owners.entry(cell.to_owned()).or_default();
        if version > observed.version {
            *observed = ObservedOwner {
                record,
                version,
                unreadable_version: observed.unreadable_version,
                ..ObservedOwner::default()
            };
        }
    }

    /// Records that the owner row of a cell has this version and cannot be decoded, for instance because
    /// a newer program wrote it. Who owns the cell is not known; a former owner does not.
    pub fn apply_unreadable_owner(&mut self, cell: &str, version: RowVersion) {
        let observed = self.owners.entry(cell.to_owned()).or_default();
        observed.unreadable_version = observed.unreadable_version.max(version);
    }

    /// Returns whether the newest owner row of a cell cannot be decoded, so that the cell may have an
    /// owner that is not known.
    pub fn has_unreadable_owner(&self, cell: &str) -> bool {
        (self.owners.get(cell))
            .is_some_and(|observed| observed.unreadable_version > observed.version)
    }

    /// Returns whether the owner row of a cell is newer than the one whose version is `token`.
    pub fn has_newer_owner(&self, cell: &str, token: FencingToken) -> bool {
        (self.owners.get(cell))
            .is_some_and(|observed| observed.version.max(observed.unreadable_version) > token)
    }

    /// Returns the cells of all configured pools, the coordinator's cell and, where a workspace has a
    /// cap, the allocator's cell.
    pub fn configured_cells(&self) -> Vec<CellName> {
        let mut cells = vec![COORDINATOR_CELL.to_owned()];
        let Some(config) = &self.config else {
            return Vec::new();
        };
        if (config.workspaces.as_ref()).is_some_and(WorkspaceTable::has_caps) {
            cells.push(ALLOCATOR_CELL.to_owned());
        }
        for pool in config.pools.values().filter(|pool| !pool.spare) {
            cells.extend(self.cells_of(&pool.name));
        }
        cells
    }

    /// Returns the cell that has the jobs and workers of a cell: the cell itself, or the one that it
    /// was merged into.
    pub fn merged_cell(&self, cell: &str) -> CellName {
        let mut found = cell;
        // Cells are merged into those with a lower index only, so this ends.
        while let Some(next) = self.merged_into(found) {
            found = next;
        }
        found.to_owned()
    }

    fn merged_into(&self, cell: &str) -> Option<&str> {
        let target = &self.owners.get(cell)?.record.merged_into;
        let is_in_pool = crate::records::pool_of(target) == crate::records::pool_of(cell);
        let is_lower = cell_index(target).is_some_and(|index| Some(index) < cell_index(cell));
        (is_in_pool && is_lower).then_some(target.as_str())
    }

    /// Returns the cells that were merged into a cell, directly or through others. One that was merged
    /// into another of them follows it: the rows of the other one are newer.
    pub fn absorbed_cells(&self, cell: &str) -> Vec<CellName> {
        let mut absorbed = Vec::new();
        for other in self.all_cells_of(crate::records::pool_of(cell)) {
            if self.merged_into(&other) == Some(cell) {
                let deeper = self.absorbed_cells(&other);
                absorbed.push(other);
                absorbed.extend(deeper);
            }
        }
        absorbed
    }

    /// Returns the cell of a pool that a job's id maps to. It may have been merged into another one;
    /// see [`Self::merged_cell`].
    pub fn cell_of_job(&self, pool: &str, id: JobId) -> Option<CellName> {
        let (record, _) = self.pools.get(pool)?;
        let hash = xxh3_64(&id.0.to_be_bytes());
        let index = hash % u64::from(record.cells.max(1));
        Some(cell_name(pool, index as u32))
    }

    /// Returns the cells of a pool, without those that were merged into others.
    pub fn cells_of(&self, pool: &str) -> Vec<CellName> {
        let mut cells = self.all_cells_of(pool);
        cells.retain(|cell| self.merged_into(cell).is_none());
        cells
    }

    fn all_cells_of(&self, pool: &str) -> Vec<CellName> {
        let count = (self.pools.get(pool)).map_or(0, |(record, _)| record.cells);
        (0..count).map(|index| cell_name(pool, index)).collect()
    }

    /// Returns the listed workers of a cell and of those that were merged into it.
    pub fn workers_of(&self, cell: &str) -> Vec<WorkerEntry> {
        let mut cells = vec![cell.to_owned()];
        cells.extend(self.absorbed_cells(cell));
        self.workers_in(&cells)
    }

    /// Returns the listed workers whose racks are assigned to cells of a pool.
    pub fn workers_in(&self, cells: &[CellName]) -> Vec<WorkerEntry> {
        let pool = cells
            .first()
            .map_or("", |cell| crate::records::pool_of(cell));
        let Some((record, _)) = self.pools.get(pool) else {
            return Vec::new();
        };
        (self.workers.values())
            .filter(|entry| entry.pool == pool)
            .filter(|entry| {
                let home = cell_of_worker(self, &entry.worker);
                home.is_some_and(|home| cells.contains(&home))
            })
            .map(|entry| WorkerEntry {
                borrowed: (entry.rack.as_ref())
                    .is_some_and(|rack| record.later_racks.contains(rack)),
                ..entry.clone()
            })
            .collect()
    }

    /// Returns the racks of a pool's workers that are not assigned to a cell yet.
    pub fn new_racks(&self, pool: &str) -> BTreeSet<String> {
        let assigned_racks = self.pools.get(pool).map(|(record, _)| &record.racks);
        (self.workers.values())
            .filter(|entry| entry.pool == pool)
            .filter_map(|entry| entry.rack.clone())
            .filter(|rack| assigned_racks.is_none_or(|racks| !racks.contains_key(rack)))
            .collect()
    }

    /// Returns the owner of a cell with its peer address. `None` if the owner is unknown or its
    /// process has been replaced by a newer one.
    pub fn owner_of(&self, cell: &str) -> Option<(NodeName, SocketAddr)> {
        let observed = self.owners.get(cell)?;
        let node = self.nodes.get(&observed.record.node)?;
        let is_superseded = node.record.incarnation > observed.record.incarnation;
        (!is_superseded).then(|| (observed.record.node.clone(), node.record.peer))
    }
}

/// Returns the cell of a worker; `None` if the worker is not listed or its rack is not assigned. The
/// cell may have been merged into another one; see [`FleetView::merged_cell`].
pub fn cell_of_worker(view: &FleetView, worker: &str) -> Option<CellName> {
    let entry = view.workers.get(worker)?;
    let (record, _) = view.pools.get(&entry.pool)?;
    let index = record.racks.get(entry.rack.as_ref()?)?;
    Some(cell_name(&entry.pool, *index))
}

/// Assigns new racks of a pool, each to the cell with the fewest racks. The first call fixes the
/// number of cells.
pub fn assign_racks(record: &PoolRecord, workers: usize, racks: &BTreeSet<String>) -> PoolRecord {
    let mut assigned = record.clone();
    if assigned.cells > 0 {
        assigned.later_racks.extend(racks.iter().cloned());
    } else {
        let cells = workers
            .div_ceil(TARGET_CELL_WORKERS)
            .clamp(1, racks.len().max(1));
        assigned.cells = cells as u32;
    }
    for rack in racks {
        let target_cell = (0..assigned.cells).min_by_key(|index| {
            assigned
                .racks
                .values()
                .filter(|cell| *cell == index)
                .count()
        });
        assigned
            .racks
            .insert(rack.clone(), target_cell.unwrap_or(0));
    }
    assigned
}
