//! Rows with what a cell has learned of its queues, so that the next owner does not start from the
//! clients' estimates.
//!
//! They are hints: a lost row costs accuracy for some time, so they are stored apart from jobs, and the
//! queues that were used least recently are left out of a row that would become too large.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_site::store::RowName;
use tanager_site::store::TableRow;
use xxhash_rust::xxh3::xxh3_64;

use crate::records::QueueStatistics;
use crate::records::cell_row;

/// Table of statistics; the part is the cell, the key is the number of the row.
pub const STATISTICS_TABLE: &str = "statistics";
/// Number of rows of a cell, among which its queues are divided by a hash: with 4,096 queues, a row has
/// some 28 KB.
const ROWS: u64 = 16;
/// Maximum size of a row in bytes, so that all rows of a cell fit into one transaction.
const MAX_ROW_BYTES: usize = 36_000;
/// Size of the text around the entries of a row.
const FRAME_BYTES: usize = 13;

/// Row with the statistics of some queues.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StatisticsRecord {
    /// Statistics by queue.
    pub queues: BTreeMap<String, QueueStatistics>,
}

/// Divides the statistics of a cell among rows of at most `row_bytes`. `learned` begins with the queue
/// that was used last.
pub fn statistics_rows(
    cell: &str,
    learned: impl IntoIterator<Item = (String, QueueStatistics)>,
    row_bytes: usize,
) -> Vec<(RowName, Vec<u8>)> {
    let limit = row_bytes.min(MAX_ROW_BYTES);
    let mut records: BTreeMap<u64, (usize, StatisticsRecord)> = BTreeMap::new();
    for (queue, statistics) in learned {
        let number = xxh3_64(queue.as_bytes()) % ROWS;
        let (bytes, record) = records.entry(number).or_default();
        // A colon and a comma come with each entry.
        let Ok(entry) = serde_json::to_string(&(&queue, &statistics)) else {
            continue;
        };
        let size = entry.len();
        if *bytes + size + FRAME_BYTES <= limit {
            *bytes += size;
            record.queues.insert(queue, statistics);
        }
    }
    (records.into_iter())
        .filter_map(|(number, (_, record))| {
            let value = encode_record(&record)
                .inspect_err(|error| log::error!("event=record_not_encoded error={error:?}"))
                .ok()?;
            Some((
                cell_row(STATISTICS_TABLE, cell, &format!("{number:02}")),
                value,
            ))
        })
        .collect()
}

/// Reads statistics from rows. Rows that cannot be read are left out: their queues are learned anew.
pub fn read_statistics(rows: &[TableRow]) -> BTreeMap<String, QueueStatistics> {
    let decode = |row: &TableRow| {
        decode_record::<StatisticsRecord>(&row.name.key, &row.value)
            .inspect_err(|error| {
                log::warn!("event=row_skipped table={STATISTICS_TABLE} error={error:?}");
            })
            .ok()
    };
    (rows.iter().filter_map(decode))
        .flat_map(|record| record.queues)
        .collect()
}
