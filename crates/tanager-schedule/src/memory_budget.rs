//! How much of a node's memory its jobs may take.
//!
//! The platform kills a process above its limit. Load: jobs of up to 20,000 tasks, each of which any node may
//! get to own with all other jobs of its cell.

use crate::early_ends::TOLERATED_ENDS;

/// Limit that is assumed where the platform names none, in bytes: the one that the service is designed for.
const DEFAULT_LIMIT: u64 = 256_000_000;
/// Bytes that a node takes without jobs: 12 MB when idle, up to 30 MB with the connections and copies of the largest
/// deployments, and a page of rows or a large request being read.
const PROCESS_BYTES: u64 = 48_000_000;
/// Share of the rest that jobs may take. The allocator keeps freed memory, and a node may get to own more cells than
/// it accepted jobs for.
const JOBS_SHARE: f64 = 0.5;
/// Least budget in bytes: enough for the largest job that is accepted.
const MIN_BUDGET: u64 = 24_000_000;
/// Most halvings of the budget of a cell whose owners keep ending early.
const MAX_HALVINGS: u32 = 4;

/// Returns the budget of the jobs of a node in bytes, from the limit of its platform.
pub fn jobs_budget(limit: Option<u64>) -> u64 {
    let limit = limit.unwrap_or(DEFAULT_LIMIT);
    let budget = limit.saturating_sub(PROCESS_BYTES) as f64 * JOBS_SHARE;
    (budget as u64).max(MIN_BUDGET)
}

/// Returns the budget of a cell in bytes: what the other cells of the node leave, at least an equal part.
pub fn cell_budget(node_budget: u64, used_by_others: u64, cells: usize) -> u64 {
    let equal_part = node_budget / cells.max(1) as u64;
    node_budget.saturating_sub(used_by_others).max(equal_part)
}

/// Returns the budget of a cell of which several owners in a row have ended soon after they had acquired it. Whatever
/// ends them may come with the work of the cell, so each gets half of what the one before had.
pub fn reduced_budget(budget: u64, early_ends: u32) -> u64 {
    let halvings = (early_ends.saturating_sub(TOLERATED_ENDS - 1)).min(MAX_HALVINGS);
    budget >> halvings
}
