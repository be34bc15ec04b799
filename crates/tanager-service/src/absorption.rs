//! Removal of the rows of cells that were merged into a cell, once its owner has copied them into the part
//! of its own cell, so that each transaction remains within one part.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_site::store::RowName;
use tanager_site::store::TableChange;
use tokio::time;

use crate::cell::CellHandle;

/// Number of rows removed in one transaction.
const REMOVALS: usize = 90;
/// Time limit of a removal.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause after a removal, or before one is repeated.
const REMOVAL_PAUSE: Duration = Duration::from_millis(200);

impl CellHandle {
    /// Removes the rows of absorbed cells in the background once they are all copied.
    pub(crate) fn remove_absorbed_rows(self: &Arc<Self>) {
        let rows = self.absorption().begin_removal();
        if !rows.is_empty() {
            let cell = Arc::clone(self);
            self.spawn_task("absorption", async move { remove_rows(cell, rows).await });
        }
    }
}

/// Removes rows, each transaction those of one part. A removal can be repeated without harm.
async fn remove_rows(cell: Arc<CellHandle>, rows: Vec<RowName>) {
    let parts: BTreeSet<CellName> = rows.iter().map(|row| row.part.clone()).collect();
    for part in parts {
        let of_part: Vec<RowName> = (rows.iter())
            .filter(|row| row.part == part)
            .cloned()
            .collect();
        for chunk in of_part.chunks(REMOVALS) {
            let change = TableChange {
                expect: Vec::new(),
                puts: Vec::new(),
                removals: chunk.to_vec(),
            };
            while let Err(error) = cell.context.store.change(&change, REMOVAL_TIMEOUT).await {
                if cell.is_closed() {
                    return;
                }
                log::debug!(
                    "event=absorbed_rows_not_removed cell={} from={part} error={error:?}",
                    cell.name
                );
                time::sleep(REMOVAL_PAUSE).await;
            }
            time::sleep(REMOVAL_PAUSE).await;
        }
    }
    cell.absorption().end_removal();
    log::info!(
        "event=absorption_ended cell={} rows={} token={}",
        cell.name,
        rows.len(),
        cell.token
    );
    cell.ledger.wake();
}
