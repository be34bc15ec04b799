//! What the allocator keeps for each cell, for the log: why a cell got less than it wants.

use std::fmt;
use std::time::Duration;

use tanager_jobs::ids::CellName;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::is_within;
use crate::allowance::report::AllowanceReport;
use crate::allowance::report::WorkspaceAllowance;
use crate::allowance::report::WorkspaceReport;
use crate::allowance::table::AllowanceTable;
use crate::allowance::table::REPORT_AGE_LIMIT;

/// What is reserved of a workspace's cap for a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct CellReservation {
    /// Cell.
    pub cell: CellName,
    /// Limit that the cell reported to hold.
    pub limit: Amounts,
    /// Limit in the reply to that report.
    pub sent: Amounts,
    /// Amount in use, including what may be running after a takeover.
    pub used: Amounts,
    /// Sum of the tasks that wait for the limit.
    pub wanted: Amounts,
    /// Time since the report.
    pub report_age: Duration,
    /// Whether the cell has a live owner.
    pub has_owner: bool,
}

/// What determined the limit of a workspace in a cell.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusalCause {
    /// Cap of the workspace.
    pub cap: Amounts,
    /// Time since which the limits granted by former allocators are known; `None` before.
    pub rebuilt_for: Option<Duration>,
    /// Time since this allocator acquired its cell.
    pub allocating_for: Duration,
    /// Cells that have not reported to this allocator.
    pub unknown_cells: Vec<CellName>,
    /// What is reserved for the other cells, if anything is reserved or wanted there.
    pub others: Vec<CellReservation>,
}

/// A cell that no longer reports, for which limits stay reserved.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldCell {
    /// Cell.
    pub cell: CellName,
    /// Number of workspaces for which something is reserved.
    pub workspaces: usize,
    /// Time since the last report.
    pub report_age: Duration,
    /// Whether the cell has a live owner.
    pub has_owner: bool,
    /// Time after which the reservations end if the cell neither reports nor gets an owner.
    pub remaining: Duration,
}

/// Returns whether the terms are too small for a waiting task of a workspace, or were lowered below
/// what its cell uses and wants.
pub fn is_refused(reported: &WorkspaceReport, terms: &WorkspaceAllowance) -> bool {
    let none = Amounts::default();
    if terms.cap == none || terms.excess != none {
        return false;
    }
    let is_short = |amount: &Amounts| {
        let needed = add(&reported.used, amount);
        !is_within(&needed, &terms.limit, &terms.cap)
    };
    let is_lowered = !is_within(&reported.limit, &terms.limit, &terms.cap);
    let is_waiting = reported.wanted != none;
    is_waiting && is_short(&reported.smallest) || is_lowered && is_short(&reported.wanted)
}

impl AllowanceTable {
    /// Returns what determined the limit of a workspace in the cell of the report.
    pub fn refusal_cause(
        &self,
        report: &AllowanceReport,
        workspace: &str,
        now: Duration,
    ) -> RefusalCause {
        let others = (self.cells.iter())
            .filter(|(name, _)| **name != report.cell)
            .filter_map(|(name, entry)| {
                let share = entry.workspaces.get(workspace)?;
                let none = Amounts::default();
                let is_unused = share.reserved() == none && share.report.wanted == none;
                (!is_unused).then(|| CellReservation {
                    cell: name.clone(),
                    limit: share.report.limit,
                    sent: share.sent,
                    used: share.report.used,
                    wanted: share.report.wanted,
                    report_age: now.saturating_sub(entry.reported_at),
                    has_owner: entry.has_owner,
                })
            })
            .collect();
        let unknown_cells = (self.cells.iter())
            .filter(|(_, entry)| !entry.has_reported)
            .map(|(name, _)| name.clone())
            .collect();
        RefusalCause {
            cap: self.cap(workspace),
            rebuilt_for: (self.rebuilt_at).map(|rebuilt| now.saturating_sub(rebuilt)),
            allocating_for: now.saturating_sub(self.started_at),
            unknown_cells,
            others,
        }
    }

    /// Returns the cells that no longer report and for which something is reserved.
    pub fn held_cells(&self, now: Duration) -> Vec<HeldCell> {
        (self.cells.iter())
            .filter_map(|(name, entry)| {
                let report_age = now.saturating_sub(entry.reported_at);
                let workspaces = (entry.workspaces.values())
                    .filter(|share| share.reserved() != Amounts::default())
                    .count();
                (report_age > REPORT_AGE_LIMIT && workspaces > 0).then(|| HeldCell {
                    cell: name.clone(),
                    workspaces,
                    report_age,
                    has_owner: entry.has_owner,
                    remaining: (entry.alive_at + self.hold_time).saturating_sub(now),
                })
            })
            .collect()
    }
}

impl fmt::Display for CellReservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:limit={:?},sent={:?},used={:?},wanted={:?},age={}ms,owner={}",
            self.cell,
            self.limit,
            self.sent,
            self.used,
            self.wanted,
            self.report_age.as_millis(),
            self.has_owner
        )
    }
}
