//! The allocator of caps and the cells that use little of them.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_schedule::WorkspacePolicy;
use tanager_schedule::allowance::holder::CellAllowances;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::allowance::table::AllowanceTable;

use super::load::workspace_policies;

/// Name of the cell whose owner is simulated.
pub(crate) const CELL: &str = "pool/0";
const OTHER_CELLS: [&str; 2] = ["other/0", "other/1"];
/// Thousandths of a core that each workspace uses in each of the other cells.
const OTHER_USE: u64 = 20_000;
const LONGEST_LEASE: Duration = Duration::from_millis(6_000);
const CONFIG_VERSION: u64 = 1;

/// An allocator and the other cells, which answer at once.
pub(crate) struct Exchange {
    table: AllowanceTable,
    token: u64,
    others: Vec<CellAllowances>,
    policies: BTreeMap<String, WorkspacePolicy>,
}

impl Exchange {
    pub(crate) fn new() -> Self {
        let mut exchange = Self {
            table: AllowanceTable::new(0, LONGEST_LEASE, Duration::ZERO),
            token: 0,
            others: Vec::new(),
            policies: workspace_policies().into_iter().collect(),
        };
        exchange.restart(Duration::ZERO);
        exchange
    }

    /// Replaces the allocator and the owners of the other cells.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.token += 1;
        self.table = AllowanceTable::new(self.token, LONGEST_LEASE, now);
        self.table
            .set_policies(CONFIG_VERSION, self.policies.clone());
        let usage: BTreeMap<String, [u64; 3]> = (self.policies.keys())
            .map(|name| (name.clone(), [OTHER_USE, 0, 0]))
            .collect();
        self.others = OTHER_CELLS
            .iter()
            .map(|_| {
                let mut cell = CellAllowances::default();
                cell.set_version(CONFIG_VERSION);
                cell.set_usage(usage.clone());
                cell
            })
            .collect();
    }

    /// Lets the other cells report if that is due.
    pub(crate) fn advance(&mut self, now: Duration) {
        self.sync_cells(now);
        for (index, cell) in self.others.iter_mut().enumerate() {
            if cell.report_due(now) > now {
                continue;
            }
            let name = OTHER_CELLS[index].to_owned();
            let report = cell.create_report(&name, self.token, &self.policies, now);
            if let Some(reply) = self.table.answer(&report, now) {
                cell.apply_reply(&reply, now);
            }
        }
    }

    pub(crate) fn answer(
        &mut self,
        report: &AllowanceReport,
        now: Duration,
    ) -> Option<AllowanceReply> {
        self.sync_cells(now);
        self.table.answer(report, now)
    }

    fn sync_cells(&mut self, now: Duration) {
        let cells: BTreeMap<String, bool> = (OTHER_CELLS.iter().chain([&CELL]))
            .map(|name| ((*name).to_owned(), true))
            .collect();
        self.table.set_cells(&cells, now);
    }
}
