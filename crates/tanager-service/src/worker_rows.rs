//! Applies the rows of workers to the view.

use std::collections::BTreeSet;

use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::WorkerId;
use tanager_site::fleet::WORKER_TABLE;
use tanager_site::fleet::decode_worker;
use tanager_site::store::RowVersion;

use crate::context::NodeContext;
use crate::table_watch::TableRead;
use crate::view::FleetView;

/// A worker's row: its version, and its entry unless it was removed or cannot be used.
pub type WorkerRow = (WorkerId, RowVersion, Option<WorkerEntry>);

/// Decodes the rows of a read and applies them. `version` is the version of the store as of which the
/// rows are complete.
pub(crate) fn apply_worker_rows(context: &NodeContext, read: TableRead, version: RowVersion) {
    let (rows, is_full) = match read {
        TableRead::Full(rows) => (rows, true),
        TableRead::Changed(rows) => (rows, false),
    };
    let rows = rows.into_iter().map(|row| {
        let key = row.name.key;
        if row.deleted {
            context.skipped_rows.forget(WORKER_TABLE, &key);
            return (key, row.version, None);
        }
        let entry = match decode_worker(&key, &row.value) {
            // A skipped row of this key stays remembered until it is removed: where the worker and
            // another writer take turns, each turn would be logged otherwise.
            Ok(entry) => Some(entry),
            Err(error) => {
                context.skip_row(WORKER_TABLE, &key, row.version, &error);
                None
            }
        };
        (key, row.version, entry)
    });
    let rows = rows.collect();
    (context.view()).apply_worker_rows(rows, is_full, version);
}

impl FleetView {
    /// Applies the result of reading the workers' rows as of a version of the store: all rows if
    /// `is_full`, else the changed ones.
    ///
    /// A read whose response was overtaken by that of a later one is ignored: it would bring back
    /// entries of earlier incarnations.
    pub fn apply_worker_rows(&mut self, rows: Vec<WorkerRow>, is_full: bool, version: RowVersion) {
        if version < self.workers_version {
            return;
        }
        self.workers_version = version;
        if is_full {
            let listed: BTreeSet<&WorkerId> = rows.iter().map(|(worker, _, _)| worker).collect();
            self.workers.retain(|worker, _| listed.contains(worker));
        }
        for (worker, row, entry) in rows {
            let Some(entry) = entry else {
                if self.workers.remove(&worker).is_some() {
                    log::debug!("event=worker_unlisted worker={worker} row={row}");
                }
                continue;
            };
            let (draining, started_ms) = (entry.draining, entry.started_ms);
            let pool = entry.pool.clone();
            let before = self.workers.insert(worker.clone(), entry);
            let is_change = before.is_none_or(|before| {
                before.draining != draining || before.started_ms != started_ms
            });
            if is_change {
                log::debug!(
                    "event=worker_listed worker={worker} pool={pool} draining={draining} \
                     born={started_ms} row={row}"
                );
            }
        }
    }
}
