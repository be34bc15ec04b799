//! In-memory table of the platform stand-in.

use std::collections::BTreeMap;
use std::collections::HashSet;

use serde_json::Value;

use tanager_platform::RowVersion;
use tanager_platform::TableRow;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;

/// Rows with their versions.
///
/// The version of a row starts at 1 and increases by 1 with each write, including a deletion. It
/// continues after a deletion, so that a condition on an old version never matches a later row of
/// the same key.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, StoredRow>,
}

#[derive(Debug)]
struct StoredRow {
    version: RowVersion,
    value: Option<Value>,
}

impl MemoryTable {
    /// Reads one row.
    pub fn read(&self, key: &str) -> Option<TableRow> {
        let row = self.rows.get(key)?;
        Some(TableRow {
            key: key.to_owned(),
            version: row.version,
            value: row.value.clone()?,
        })
    }

    /// Returns up to `limit` rows in key order whose keys start with `prefix` and sort after
    /// `after`.
    pub fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<TableRow> {
        self.rows
            .range(prefix.max(after).to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix) || key.as_str() <= after)
            .filter(|(key, _)| key.as_str() > after || after.is_empty())
            .filter_map(|(key, _)| self.read(key))
            .take(limit)
            .collect()
    }

    /// Commits a transaction; `None` when two of its writes have the same key.
    pub fn transact(&mut self, transaction: &TableTransaction) -> Option<TransactionResult> {
        let mut keys = HashSet::new();
        if !transaction
            .writes
            .iter()
            .all(|write| keys.insert(&write.key))
        {
            return None;
        }
        let conditions = transaction.conditions.iter().enumerate();
        let failed: Vec<usize> = conditions
            .filter(|(_, condition)| self.version(&condition.key) != condition.version)
            .map(|(index, _)| index)
            .collect();
        if !failed.is_empty() {
            return Some(TransactionResult::Conflict(failed));
        }
        let writes = transaction.writes.iter();
        let versions = writes.map(|write| self.write(&write.key, write.value.clone()));
        Some(TransactionResult::Committed(versions.collect()))
    }

    fn version(&self, key: &str) -> RowVersion {
        self.read(key).map_or(0, |row| row.version)
    }

    fn write(&mut self, key: &str, value: Option<Value>) -> RowVersion {
        let row = self.rows.entry(key.to_owned()).or_insert(StoredRow {
            version: 0,
            value: None,
        });
        row.version += 1;
        row.value = value;
        if row.value.is_some() { row.version } else { 0 }
    }
}
