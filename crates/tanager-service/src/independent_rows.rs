//! Writes rows that need not be stored together, so that one that the store rejects does not keep the
//! others from being stored.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_site::store::ChangeResult;
use tanager_site::store::RowName;
use tanager_site::store::RowVersion;
use tanager_site::store::TableChange;
use tanager_site::store::TableStore;

use crate::commit_outcome::AttemptAnswer;
use crate::unstorable_rows::retry_pause;

/// Maximum number of rows written in one transaction, which leaves room for conditions.
const MAX_ROWS: usize = 90;

/// A row to write.
pub type WrittenRow = (RowName, Vec<u8>);

/// Rows that the store rejected, each with the time from which it is tried again.
#[derive(Debug)]
pub struct RejectedRowPauses<K> {
    rows: BTreeMap<K, RejectedRow>,
}

#[derive(Clone, Copy, Debug)]
struct RejectedRow {
    rejections: u32,
    retry_at: Duration,
}

impl<K> Default for RejectedRowPauses<K> {
    fn default() -> Self {
        Self {
            rows: BTreeMap::new(),
        }
    }
}

impl<K: Ord> RejectedRowPauses<K> {
    /// Records a rejection; the pause doubles with each.
    pub fn record(&mut self, key: K, now: Duration) {
        let row = self.rows.entry(key).or_insert(RejectedRow {
            rejections: 0,
            retry_at: now,
        });
        row.rejections += 1;
        row.retry_at = now + retry_pause(row.rejections);
    }

    /// Returns whether a row was rejected and is not to be tried again yet.
    pub fn is_paused(&self, key: &K, now: Duration) -> bool {
        self.rows.get(key).is_some_and(|row| now < row.retry_at)
    }

    /// Forgets a row, because it is stored.
    pub fn remove(&mut self, key: &K) {
        self.rows.remove(key);
    }
}

/// What became of rows.
#[derive(Debug, Default)]
pub struct WriteReport {
    /// Rows that are stored.
    pub stored: Vec<RowName>,
    /// Rows that the store rejects, with their sizes in bytes and its answers.
    pub rejected: Vec<(RowName, usize, TanagerError)>,
    /// Why the rows in neither list are not known to be stored: another answer of the store.
    pub failure: Option<TanagerResult<ChangeResult>>,
}

/// Writes rows under conditions that each transaction repeats. An attempt without an answer is repeated
/// with the next of `timeouts`. The rows of a transaction have `max_bytes` at most, unless one alone is
/// larger. Stops at the first transaction that is neither applied nor rejected.
pub async fn write_rows(
    store: &TableStore,
    expect: &[(RowName, RowVersion)],
    rows: Vec<WrittenRow>,
    timeouts: &[Duration],
    max_bytes: usize,
) -> WriteReport {
    let mut report = WriteReport::default();
    let mut groups = divide(rows, max_bytes);
    groups.reverse();
    while let Some(mut group) = groups.pop() {
        let change = TableChange {
            expect: expect.to_vec(),
            puts: group.clone(),
            removals: Vec::new(),
        };
        match send(store, &change, timeouts).await {
            Ok(ChangeResult::Committed(_)) => {
                report
                    .stored
                    .extend(group.into_iter().map(|(name, _)| name));
            }
            Err(error) if AttemptAnswer::from_failure(&error) == AttemptAnswer::Rejected => {
                let upper = group.split_off(group.len() / 2);
                if group.is_empty() {
                    let rejected = upper.into_iter().map(|(name, value)| {
                        let size = value.len();
                        (name, size, error.clone())
                    });
                    report.rejected.extend(rejected);
                } else {
                    groups.push(upper);
                    groups.push(group);
                }
            }
            other => {
                report.failure = Some(other);
                return report;
            }
        }
    }
    report
}

/// Divides rows among transactions that the store accepts.
fn divide(rows: Vec<WrittenRow>, max_bytes: usize) -> Vec<Vec<WrittenRow>> {
    let mut groups: Vec<Vec<WrittenRow>> = Vec::new();
    let mut bytes = 0;
    for row in rows {
        let size = row.1.len();
        match groups.last_mut() {
            Some(group) if group.len() < MAX_ROWS && bytes + size <= max_bytes => {
                bytes += size;
                group.push(row);
            }
            _ => {
                bytes = size;
                groups.push(vec![row]);
            }
        }
    }
    groups
}

async fn send(
    store: &TableStore,
    change: &TableChange,
    timeouts: &[Duration],
) -> TanagerResult<ChangeResult> {
    let mut result = Ok(ChangeResult::Conflict(Vec::new()));
    for timeout in timeouts {
        result = store.change(change, *timeout).await;
        let is_uncertain = (result.as_ref())
            .is_err_and(|error| matches!(error.kind, ErrorKind::Unknown | ErrorKind::Timeout));
        if !is_uncertain {
            break;
        }
    }
    result
}
