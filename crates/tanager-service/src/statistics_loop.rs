//! Stores the statistics of a cell's queues from time to time.

use std::collections::HashMap;
use std::time::Duration;

use tanager_site::store::RowName;
use tanager_site::store::RowVersion;
use tanager_site::store::TableStore;
use tokio::sync::watch;
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use crate::independent_rows::WrittenRow;
use crate::independent_rows::write_rows;
use crate::records::CELL_TABLE;
use crate::records::OWNER_KEY;
use crate::records::cell_row;

/// Interval between two writes; some statistics change with each task.
const PERIOD: Duration = Duration::from_secs(5);
/// Time limit of a write. One that fails is made up for by the next.
const TIMEOUTS: [Duration; 1] = [Duration::from_millis(1_500)];
/// Number of periods for which a row that the store rejected is not written again.
const REJECTION_PERIODS: u32 = 12;

/// The cell whose statistics are stored.
pub(crate) struct StatisticsTarget {
    pub(crate) store: TableStore,
    pub(crate) cell: String,
    /// Version of the owner row: a former owner stores nothing.
    pub(crate) owner_version: RowVersion,
    /// Maximum size of the rows of a transaction, in bytes.
    pub(crate) max_bytes: usize,
}

/// Row as it was last written.
#[derive(Clone, Copy, Debug, Default)]
struct LastWrite {
    hash: u64,
    /// Number of periods until it is written again although it was rejected.
    pause: u32,
}

/// Stores the rows that `read_rows` returns until the cell is closed.
pub(crate) async fn run(
    target: StatisticsTarget,
    mut closed: watch::Receiver<bool>,
    read_rows: impl Fn() -> Vec<WrittenRow>,
) {
    let owner_row = cell_row(CELL_TABLE, &target.cell, OWNER_KEY);
    let expect = [(owner_row, target.owner_version)];
    let mut last_writes: HashMap<RowName, LastWrite> = HashMap::new();
    loop {
        tokio::select! {
            () = time::sleep(PERIOD) => {}
            _ = closed.wait_for(|closed| *closed) => return,
        }
        let rows: Vec<WrittenRow> = (read_rows().into_iter())
            .filter(|(name, value)| {
                let last = last_writes.entry(name.clone()).or_default();
                last.pause = last.pause.saturating_sub(1);
                last.pause == 0 && last.hash != xxh3_64(value)
            })
            .collect();
        if rows.is_empty() {
            continue;
        }
        let hashes: HashMap<RowName, u64> = (rows.iter())
            .map(|(name, value)| (name.clone(), xxh3_64(value)))
            .collect();
        let report = write_rows(&target.store, &expect, rows, &TIMEOUTS, target.max_bytes).await;
        for name in report.stored {
            let hash = hashes.get(&name).copied().unwrap_or_default();
            last_writes.insert(name, LastWrite { hash, pause: 0 });
        }
        for (name, bytes, error) in report.rejected {
            log::warn!(
                "event=row_rejected cell={} row={}/{} bytes={bytes} error={error:?}",
                target.cell,
                name.table,
                name.key
            );
            let pause = REJECTION_PERIODS;
            last_writes.insert(name, LastWrite { hash: 0, pause });
        }
        if let Some(failure) = report.failure {
            log::info!(
                "event=statistics_not_stored cell={} result={failure:?}",
                target.cell
            );
        }
    }
}
