//! Workers of a cell as its rows name them: the next owner waits for their reports before it starts tasks
//! that may run there.

use std::collections::BTreeMap;
use std::collections::HashSet;

use tanager_jobs::ids::WorkerId;

use crate::records::LedgerWorker;

/// Rows of workers in the part of a cell.
#[derive(Clone, Debug, Default)]
pub struct StoredWorkers {
    rows: BTreeMap<WorkerId, LedgerWorker>,
    /// Workers in the ledger row of an earlier version, which stay there until all have rows.
    legacy: Vec<LedgerWorker>,
    /// Whether there is a row of an earlier version with all workers.
    has_legacy_row: bool,
}

/// Differences between the rows and the workers of a cell.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerChanges {
    /// Workers whose rows are missing or differ.
    pub written: Vec<LedgerWorker>,
    /// Workers that the cell does not have any more.
    pub removed: Vec<WorkerId>,
}

impl StoredWorkers {
    /// Describes the rows of a cell: its own, and what earlier versions left.
    pub fn new(
        rows: impl IntoIterator<Item = LedgerWorker>,
        legacy: Vec<LedgerWorker>,
        has_legacy_row: bool,
    ) -> Self {
        let rows = (rows.into_iter()).map(|worker| (worker.worker.clone(), worker));
        Self {
            rows: rows.collect(),
            legacy,
            has_legacy_row,
        }
    }

    /// Returns whether the row of a worker is as it should be.
    pub fn contains(&self, worker: &LedgerWorker) -> bool {
        self.rows.get(&worker.worker) == Some(worker)
    }

    /// Returns how the rows differ from the workers that a cell has now.
    pub fn changes(&self, current: &[LedgerWorker]) -> WorkerChanges {
        let written = (current.iter())
            .filter(|worker| !self.contains(worker))
            .cloned();
        let ids: HashSet<&WorkerId> = current.iter().map(|worker| &worker.worker).collect();
        let removed = self.rows.keys().filter(|id| !ids.contains(id)).cloned();
        WorkerChanges {
            written: written.collect(),
            removed: removed.collect(),
        }
    }

    /// Returns the workers to keep in the ledger row.
    pub fn legacy(&self) -> &[LedgerWorker] {
        &self.legacy
    }

    /// Returns whether the row of an earlier version can be removed once all workers have rows.
    pub fn has_legacy_row(&self) -> bool {
        self.has_legacy_row
    }

    /// Records that changes are stored; `is_complete` if no others are needed.
    pub fn record(&mut self, changes: &WorkerChanges, is_complete: bool) {
        for worker in &changes.written {
            self.rows.insert(worker.worker.clone(), worker.clone());
        }
        for id in &changes.removed {
            self.rows.remove(id);
        }
        if is_complete {
            self.legacy.clear();
            self.has_legacy_row = false;
        }
    }
}
