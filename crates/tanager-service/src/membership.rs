//! Which node takes a cell that has no living owner. Pure decisions.
//!
//! Load answered: the loss of any number of nodes. All living nodes compute the same assignment
//! from the same rows; where their views differ, the conditional write of the owner row decides.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::NodeName;
use xxhash_rust::xxh3::xxh3_64;

use crate::records::COORDINATOR_CELL;
use crate::view::FleetView;

/// A node whose row did not change for this long is taken for dead. Beats come every second, and
/// reads every half second; leases of five seconds and more outlast this and the takeover.
pub const NODE_DEATH_TIMEOUT: Duration = Duration::from_millis(2_600);
/// The next node in the order may take an orphaned cell after this time.
const CANDIDATE_DELAY: Duration = Duration::from_millis(700);

/// Cells that this node should take now. Cells whose row names this node but that it does not run
/// come back to it at once: an earlier process owned them, or the write that took them was carried
/// out after the node had given up on it. Others are taken only if `may_acquire_others`.
pub fn choose_cells_to_acquire(
    view: &mut FleetView,
    me: &str,
    running: &BTreeSet<CellName>,
    may_acquire_others: bool,
    now: Duration,
) -> Vec<CellName> {
    let wanted = view.configured_cells();
    let mut loads: BTreeMap<NodeName, NodeLoad> = (view.nodes.iter())
        .filter(|(name, observed)| {
            let is_me = name.as_str() == me;
            !observed.record.leaving && (is_me || observed.unresponsive_time < NODE_DEATH_TIMEOUT)
        })
        .map(|(name, observed)| (name.clone(), NodeLoad::new(observed.record.cores)))
        .collect();
    if !loads.contains_key(me) {
        return Vec::new();
    }
    let mut orphans = Vec::new();
    for cell in wanted {
        let owner =
            live_owner(view, &cell, me).filter(|owner| owner != me || running.contains(&cell));
        let observed = view.owners.entry(cell.clone()).or_default();
        match owner {
            Some(owner) => {
                observed.orphaned_since = None;
                if let Some(load) = loads.get_mut(&owner) {
                    load.cells += weight(&cell);
                }
            }
            None => {
                let since = *observed.orphaned_since.get_or_insert(now);
                orphans.push((cell, now.saturating_sub(since)));
            }
        }
    }
    let mut mine = Vec::new();
    for (cell, waited) in orphans {
        let former = &view.owners[&cell].record;
        if former.node == me {
            mine.push(cell);
            continue;
        }
        let released_by = former.released_by.clone();
        let mut order: Vec<(u64, u64, NodeName)> = (loads.iter())
            .filter(|(node, _)| **node != released_by)
            .map(|(node, load)| {
                let hash = xxh3_64(format!("{cell} {node}").as_bytes());
                (load.share_with(weight(&cell)), hash, node.clone())
            })
            .collect();
        order.sort();
        let turns = 1 + (waited.as_millis() / CANDIDATE_DELAY.as_millis()) as usize;
        let is_turn = order.iter().take(turns).any(|(_, _, node)| node == me);
        if may_acquire_others && is_turn {
            mine.push(cell.clone());
        }
        if let Some((_, _, first)) = order.first()
            && let Some(load) = loads.get_mut(first)
        {
            load.cells += weight(&cell);
        }
    }
    mine
}

/// Returns the owner of a cell if it is alive.
fn live_owner(view: &FleetView, cell: &str, me: &str) -> Option<NodeName> {
    let observed = view.owners.get(cell)?;
    let owner = &observed.record.node;
    let node = view.nodes.get(owner)?;
    // The owner row may be read before the node row of a process that has just started.
    let is_superseded = node.record.incarnation > observed.record.incarnation;
    let is_alive = owner == me || node.unresponsive_time < NODE_DEATH_TIMEOUT;
    (!is_superseded && is_alive).then(|| owner.clone())
}

/// What a node has to carry.
struct NodeLoad {
    cores: f64,
    cells: u64,
}

impl NodeLoad {
    fn new(cores: f64) -> Self {
        // A row of another writer must not divide by zero.
        let cores = if cores.is_finite() { cores } else { 1.0 };
        Self {
            cores: cores.clamp(0.01, 1_024.0),
            cells: 0,
        }
    }

    /// Load in thousandths of a cell's weight per core, were a cell of this weight added.
    fn share_with(&self, weight: u64) -> u64 {
        ((self.cells + weight) as f64 * 1e3 / self.cores) as u64
    }
}

/// Load of a cell: orders to VMs are rare.
fn weight(cell: &str) -> u64 {
    match cell {
        COORDINATOR_CELL => 1,
        _ => 4,
    }
}
