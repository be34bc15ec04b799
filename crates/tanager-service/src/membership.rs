//! Decides which node acquires a cell that has no live owner. Pure functions without I/O.
//!
//! Any number of nodes may fail. All live nodes compute the same assignment from the same rows;
//! where their views differ, the conditional write of the owner row decides.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use tanager_schedule::early_ends;
use tanager_schedule::ownership;
use xxhash_rust::xxh3::xxh3_64;

use crate::records::ALLOCATOR_CELL;
use crate::records::COORDINATOR_CELL;
use crate::records::cell_index;
use crate::view::FleetView;
use crate::view::MAX_READ_GAP;

/// A node whose row did not change for this long is considered dead. Heartbeats are written every
/// second and read every half second. Leases of five seconds or more outlast the detection and the
/// takeover.
pub const NODE_DEATH_TIMEOUT: Duration = ownership::NODE_DEATH_TIMEOUT;
/// Interval between heartbeats.
pub(crate) const HEARTBEAT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which an owner without a confirmed heartbeat still extends leases. Other nodes consider
/// it dead after a shorter time.
pub const UNCONFIRMED_LEASE_LIMIT: Duration = Duration::from_millis(4_000);
/// Delay after which the next candidate may also acquire an orphaned cell.
const CANDIDATE_DELAY: Duration = Duration::from_millis(700);

/// Factor by which the load of an owner must exceed the one that its cell would make on another node, so that
/// a cell does not move to and fro between nodes of about the same strength.
const MIN_RELIEF: f64 = 2.0;
/// Time without a new heartbeat beyond which a node does not get a cell of a live owner. Heartbeats are written
/// every second and read every half second.
const MAX_SUCCESSOR_SILENCE: Duration = Duration::from_millis(1_700);

/// Returns the cells that this node should acquire now.
///
/// A cell whose row names this node although it does not run the cell is acquired at once: an
/// earlier process owned it, or the store carried out the acquiring write after the node had
/// abandoned it; after repeated early ends of its owners the other nodes come first. Other cells are acquired only if `may_acquire_others`, and those of an owner whose
/// node's row is missing only after the time for which a known node may be unresponsive. Rows of nodes
/// that were read too long ago do not show that a node is unresponsive: it may have come back. A cell
/// whose owner row cannot be decoded is left to the unknown owner.
pub fn choose_cells_to_acquire(
    view: &mut FleetView,
    own_node: &str,
    owned_cells: &BTreeSet<CellName>,
    may_acquire_others: bool,
    now: Duration,
) -> Vec<CellName> {
    // Without the rows of the other nodes, every owner would look dead.
    let Some(nodes_read_at) = view.nodes_read_at else {
        return Vec::new();
    };
    let may_acquire_others =
        may_acquire_others && now.saturating_sub(nodes_read_at) <= MAX_READ_GAP;
    let cells = view.configured_cells();
    let mut loads: BTreeMap<NodeName, NodeLoad> = (view.nodes.iter())
        .filter(|(name, observed)| {
            let is_own_node = name.as_str() == own_node;
            !observed.record.leaving
                && (is_own_node || observed.unresponsive_time < NODE_DEATH_TIMEOUT)
        })
        .map(|(name, observed)| (name.clone(), NodeLoad::new(observed.record.cores)))
        .collect();
    if !loads.contains_key(own_node) {
        return Vec::new();
    }
    let weights: BTreeMap<CellName, u64> = (cells.iter())
        .map(|cell| (cell.clone(), weight(view, cell)))
        .collect();
    let mut orphans = Vec::new();
    for cell in cells {
        if view.has_unreadable_owner(&cell) {
            continue;
        }
        let owner = live_owner(view, &cell, own_node)
            .filter(|owner| owner != own_node || owned_cells.contains(&cell));
        let is_node_known = (view.owners.get(&cell))
            .is_none_or(|observed| view.nodes.contains_key(&observed.record.node));
        let observed = view.owners.entry(cell.clone()).or_default();
        if is_node_known || observed.record.node.is_empty() {
            observed.unknown_since = None;
        } else {
            let since = *observed.unknown_since.get_or_insert(now);
            if now.saturating_sub(since) < NODE_DEATH_TIMEOUT {
                continue;
            }
        }
        match owner {
            Some(owner) => {
                observed.orphaned_since = None;
                if let Some(load) = loads.get_mut(&owner) {
                    load.assigned_weight += weights[&cell];
                }
            }
            None => {
                let since = *observed.orphaned_since.get_or_insert(now);
                orphans.push((cell, now.saturating_sub(since)));
            }
        }
    }
    let mut cells_to_acquire = Vec::new();
    for (cell, orphaned_for) in orphans {
        let owner_record = &view.owners[&cell].record;
        let may_reacquire = early_ends::may_reacquire_at_once(owner_record.early_ends);
        if owner_record.node == own_node && may_reacquire {
            cells_to_acquire.push(cell);
            continue;
        }
        let comes_last = |node: &NodeName| !may_reacquire && *node == owner_record.node;
        let released_by = owner_record.released_by.clone();
        let mut order: Vec<(bool, u64, u64, NodeName)> = (loads.iter())
            .filter(|(node, _)| **node != released_by)
            .map(|(node, load)| {
                let hash = xxh3_64(format!("{cell} {node}").as_bytes());
                let load = load.load_with(weights[&cell]);
                (comes_last(node), load, hash, node.clone())
            })
            .collect();
        order.sort();
        let candidates = 1 + (orphaned_for.as_millis() / CANDIDATE_DELAY.as_millis()) as usize;
        let is_candidate = order
            .iter()
            .take(candidates)
            .any(|(_, _, _, node)| node == own_node);
        if may_acquire_others && is_candidate {
            cells_to_acquire.push(cell.clone());
        }
        if let Some((_, _, _, first)) = order.first()
            && let Some(load) = loads.get_mut(first)
        {
            load.assigned_weight += weights[&cell];
        }
    }
    cells_to_acquire
}

/// Returns the cell of this node that another node can bear much better, with that node; `None` if there
/// is none.
///
/// A cell may be on a weak node because the stronger ones were silent when it was acquired, for instance
/// at the end of an outage of the store. Only nodes count whose heartbeat was read a moment ago. The
/// cells of the coordinator and the allocator stay, because each change of their owner delays orders
/// and allowances for seconds.
pub fn choose_cell_to_release(
    view: &FleetView,
    own_node: &str,
    owned_cells: &BTreeSet<CellName>,
    now: Duration,
) -> Option<(CellName, NodeName)> {
    let nodes_read_at = view.nodes_read_at?;
    if now.saturating_sub(nodes_read_at) > MAX_READ_GAP {
        return None;
    }
    let mut loads: BTreeMap<&NodeName, NodeLoad> = (view.nodes.iter())
        .filter(|(name, observed)| {
            let is_own_node = name.as_str() == own_node;
            let is_fresh = observed.unresponsive_time < MAX_SUCCESSOR_SILENCE;
            is_own_node || (!observed.record.leaving && is_fresh)
        })
        .map(|(name, observed)| (name, NodeLoad::new(observed.record.cores)))
        .collect();
    for cell in view.configured_cells() {
        // A cell without a live owner is about to be acquired by one of the nodes.
        let owner = live_owner(view, &cell, own_node)?;
        if let Some(load) = loads.get_mut(&owner) {
            load.assigned_weight += weight(view, &cell);
        }
    }
    let own_load = (loads.iter())
        .find(|(name, _)| name.as_str() == own_node)
        .map(|(_, load)| load.load_with(0))?;
    let (cell, weight) = (owned_cells.iter())
        .filter(|cell| cell_index(cell).is_some())
        .map(|cell| (cell, weight(view, cell)))
        .min_by_key(|(_, weight)| *weight)?;
    let (load, successor) = (loads.iter())
        .filter(|(name, _)| name.as_str() != own_node)
        .map(|(name, load)| (load.load_with(weight), *name))
        .min()?;
    (load as f64 * MIN_RELIEF < own_load as f64).then(|| (cell.clone(), successor.clone()))
}

/// Returns the owner of a cell if it is live.
fn live_owner(view: &FleetView, cell: &str, own_node: &str) -> Option<NodeName> {
    let observed = view.owners.get(cell)?;
    let owner = &observed.record.node;
    let node = view.nodes.get(owner)?;
    // The owner row of a process that has just started may be read before its node row, so a
    // newer owner is accepted; only an older one counts as superseded.
    let is_superseded = node.record.incarnation > observed.record.incarnation;
    let is_alive = owner == own_node || node.unresponsive_time < NODE_DEATH_TIMEOUT;
    (!is_superseded && is_alive).then(|| owner.clone())
}

/// Capacity of a node and the weight of the cells assigned to it.
struct NodeLoad {
    cores: f64,
    assigned_weight: u64,
}

impl NodeLoad {
    fn new(cores: f64) -> Self {
        // The row was written by another node; an invalid value must not cause a division by zero.
        let cores = if cores.is_finite() { cores } else { 1.0 };
        Self {
            cores: cores.clamp(0.01, 1_024.0),
            assigned_weight: 0,
        }
    }

    /// Returns the load, in thousandths of a weight unit per core, that the node would have with
    /// another cell of this weight.
    fn load_with(&self, weight: u64) -> u64 {
        ((self.assigned_weight + weight) as f64 * 1e3 / self.cores) as u64
    }
}

/// Returns the weight of a cell. The coordinator's cell is light, because orders to VMs are rare,
/// and so is the allocator's, which gets some reports a second from each cell. A cell counts once more
/// for each one that was merged into it.
fn weight(view: &FleetView, cell: &str) -> u64 {
    match cell {
        COORDINATOR_CELL | ALLOCATOR_CELL => 1,
        _ => 4 * (1 + view.absorbed_cells(cell).len() as u64),
    }
}
