//! Log lines about limits of workspaces, at a limited rate: what a cell waits for, and what the
//! allocator keeps for the other cells.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::WorkspaceName;
use tanager_schedule::allowance::holder::LimitChange;
use tanager_schedule::allowance::missing::MissingLimit;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::allowance::reservation::HeldCell;
use tanager_schedule::allowance::reservation::is_refused;
use tanager_schedule::allowance::table::AllowanceTable;

/// Minimum interval between two log lines of a kind about the same workspace.
const LOG_PERIOD: Duration = Duration::from_millis(1_000);
/// Maximum number of workspaces with log lines of a kind in one such interval.
const MAX_LOGGED_WORKSPACES: usize = 32;

/// Limits the rate of the lines of a kind.
#[derive(Debug, Default)]
struct LogRate {
    logged_at: BTreeMap<WorkspaceName, Duration>,
}

impl LogRate {
    /// Returns whether a line about the workspace may be written now.
    fn admit(&mut self, workspace: &WorkspaceName, now: Duration) -> bool {
        (self.logged_at).retain(|_, logged| now.saturating_sub(*logged) < LOG_PERIOD);
        let is_admitted =
            !self.logged_at.contains_key(workspace) && self.logged_at.len() < MAX_LOGGED_WORKSPACES;
        if is_admitted {
            self.logged_at.insert(workspace.clone(), now);
        }
        is_admitted
    }
}

/// Lines of a cell.
#[derive(Debug, Default)]
pub(crate) struct HolderLog {
    refusals: LogRate,
    missing: LogRate,
    /// Number of reports in a row that no allocator answered.
    pub(crate) unanswered: u64,
}

impl HolderLog {
    /// Logs limits that are too small for waiting tasks.
    pub(crate) fn record_refusals(
        &mut self,
        cell: &CellName,
        refusals: &[LimitChange],
        now: Duration,
    ) {
        for refusal in refusals {
            if !self.refusals.admit(&refusal.workspace, now) {
                continue;
            }
            log::info!(
                "event=allowance_refused cell={cell} workspace={:?} limit={:?} before={:?} used={:?} wanted={:?}",
                refusal.workspace,
                refusal.limit,
                refusal.before,
                refusal.used,
                refusal.wanted
            );
        }
    }

    /// Logs workspaces whose tasks wait because the cell has no valid limit.
    pub(crate) fn record_missing(
        &mut self,
        cell: &CellName,
        missing: &[MissingLimit],
        now: Duration,
    ) {
        for missing in missing {
            // The first tasks of a workspace in a cell always wait for the reply to the next report.
            let is_first_request = missing.end.is_none() && self.unanswered == 0;
            if is_first_request || !self.missing.admit(&missing.workspace, now) {
                continue;
            }
            log::info!(
                "event=allowance_missing cell={cell} workspace={:?} end={:?} limit={:?} \
                 ended_for={:?} reply_age={:?} unanswered={} wanted={:?}",
                missing.workspace,
                missing.end,
                missing.limit,
                missing.ended_for,
                missing.reply_age,
                self.unanswered,
                missing.wanted
            );
        }
    }
}

/// Lines of the allocator.
#[derive(Debug, Default)]
pub(crate) struct TableLog {
    refusals: LogRate,
    held_cells: BTreeSet<CellName>,
}

impl TableLog {
    /// Logs what is reserved for the other cells where a cell got less than it wants.
    pub(crate) fn record_refusals(
        &mut self,
        table: &AllowanceTable,
        report: &AllowanceReport,
        reply: &AllowanceReply,
        now: Duration,
    ) {
        for (reported, terms) in report.workspaces.iter().zip(&reply.workspaces) {
            if !is_refused(reported, terms) || !self.refusals.admit(&reported.name, now) {
                continue;
            }
            let cause = table.refusal_cause(report, &reported.name, now);
            let others: Vec<String> = cause.others.iter().map(ToString::to_string).collect();
            log::info!(
                "event=allowance_limited cell={} workspace={:?} cap={:?} limit={:?} before={:?} \
                 used={:?} wanted={:?} smallest={:?} rebuilt_for={:?} allocating_for={:?} \
                 unknown_cells={:?} others=[{}]",
                report.cell,
                reported.name,
                cause.cap,
                terms.limit,
                reported.limit,
                reported.used,
                reported.wanted,
                reported.smallest,
                cause.rebuilt_for,
                cause.allocating_for,
                cause.unknown_cells,
                others.join(" ")
            );
        }
    }

    /// Logs the cells that have begun, or ceased, to hold limits without reports.
    pub(crate) fn record_held_cells(&mut self, held: &[HeldCell]) {
        for cell in held {
            if self.held_cells.insert(cell.cell.clone()) {
                log::info!(
                    "event=cell_unreported cell={} workspaces={} report_age={:?} has_owner={} \
                     remaining={:?}",
                    cell.cell,
                    cell.workspaces,
                    cell.report_age,
                    cell.has_owner,
                    cell.remaining
                );
            }
        }
        self.held_cells.retain(|name| {
            let is_held = held.iter().any(|cell| cell.cell == *name);
            if !is_held {
                log::info!("event=cell_reservation_updated cell={name}");
            }
            is_held
        });
    }
}
