//! Reads of the change log and snapshots in the platform's store.

use tanager_platform::RowCondition;
use tanager_platform::RowWrite;
use tanager_platform::TableRow;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;

use crate::core::ControlCore;
use crate::core::HeadRow;
use crate::core::lock;
use crate::replica::decode;
use crate::replica::encode;

pub(crate) const HEAD_KEY: &str = "head";
pub(crate) const SNAPSHOT_KEY: &str = "snapshot";
const LOG_PREFIX: &str = "log/";
/// Rows of one scan. A configuration of the design size in which every team has a quota in every
/// pool takes 2.1 MB, and the client accepts pages up to 64 MiB.
const PAGE_ROWS: usize = 8;
/// Most entries returned by one call of `history`.
const MAX_HISTORY: usize = 1_000;

pub(crate) fn log_key(version: LogVersion) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

pub(crate) fn snapshot_object(version: LogVersion) -> String {
    format!("snapshot/{version:012}")
}

impl ControlCore {
    /// Reads `head` and applies the entries up to it.
    ///
    /// An answer that is older than what this node has applied changes nothing.
    pub(crate) async fn catch_up(&self) -> TanagerResult<()> {
        let result = self.read_log().await;
        // Other kinds are faults of the content; the store itself was reached.
        let unreachable = result.as_ref().is_err_and(|error| {
            matches!(
                error.kind,
                ErrorKind::NotSent | ErrorKind::Unknown | ErrorKind::Timeout
            )
        });
        self.note_store(unreachable);
        if !unreachable {
            self.note_fault(result.as_ref().err());
        }
        result?;
        self.status().synced = true;
        Ok(())
    }

    /// Records whether the content of the store could be applied. The node stays ready otherwise:
    /// an entry that no node can read must not take all of them out of service.
    fn note_fault(&self, error: Option<&TanagerError>) {
        let fault = error.map(ToString::to_string);
        let mut status = self.status();
        if status.fault != fault {
            if let Some(fault) = &fault {
                log::error!(
                    "{} cannot follow the change log: {fault}",
                    self.settings.node
                );
            }
            status.fault = fault;
        }
    }

    async fn read_log(&self) -> TanagerResult<()> {
        let row = self.backend.platform.read(HEAD_KEY).await?;
        let head = match &row {
            Some(row) => HeadRow {
                version: row_number(row)?,
                row_version: row.version,
            },
            None => HeadRow::default(),
        };
        self.note_head(head);
        if self.state().version == 0 && head.version > 0 {
            self.load_snapshot().await?;
        }
        while self.state().version < head.version {
            let before = self.state().version;
            let entries = self.read_entries(before, PAGE_ROWS).await?;
            if entries.first().map(|entry| entry.version) == Some(before + 1) {
                self.apply(&entries)?;
            } else {
                // The log was restored from a snapshot, which has no entries before it.
                self.load_snapshot().await?;
            }
            if self.state().version <= before {
                return Err(TanagerError::new(
                    ErrorKind::Internal,
                    "catch_up",
                    log_key(before + 1),
                    "the entry is missing and no newer snapshot exists",
                ));
            }
        }
        Ok(())
    }

    /// Remembers the row version of `head`, unless a newer one is known.
    pub(crate) fn note_head(&self, head: HeadRow) {
        let mut status = self.status();
        if head.version >= status.head.version {
            status.head = head;
        }
    }

    async fn read_entries(
        &self,
        after: LogVersion,
        limit: usize,
    ) -> TanagerResult<Vec<ChangeEntry>> {
        let platform = &self.backend.platform;
        let rows = platform.scan(LOG_PREFIX, &log_key(after), limit).await?;
        rows.into_iter().map(decode_entry).collect()
    }

    /// Reads one entry; `None` when the version is not in the log.
    pub(crate) async fn read_entry(
        &self,
        version: LogVersion,
    ) -> TanagerResult<Option<ChangeEntry>> {
        let row = self.backend.platform.read(&log_key(version)).await?;
        row.map(decode_entry).transpose()
    }

    async fn load_snapshot(&self) -> TanagerResult<()> {
        let platform = &self.backend.platform;
        let Some(row) = platform.read(SNAPSHOT_KEY).await? else {
            return Ok(());
        };
        let version = row_number(&row)?;
        let Some(content) = platform.get_object(&snapshot_object(version)).await? else {
            return Ok(());
        };
        self.install(decode::<FleetState>(&content)?);
        Ok(())
    }

    /// Writes a snapshot when enough entries follow the newest one.
    pub(crate) async fn write_snapshot_if_due(&self) -> TanagerResult<()> {
        let state = self.state();
        let interval = self.settings.timing.snapshot_interval;
        let is_due = |snapshot| state.version >= interval.saturating_add(snapshot);
        if !is_due(self.status().snapshot) || !self.is_home("control") {
            return Ok(());
        }
        let platform = &self.backend.platform;
        let row = platform.read(SNAPSHOT_KEY).await?;
        let newest = row.as_ref().map_or(Ok(0), row_number)?;
        self.status().snapshot = newest;
        if !is_due(newest) {
            return Ok(());
        }
        // The row must never name an object that does not exist.
        let object = snapshot_object(state.version);
        platform.put_object(&object, encode(&*state)?).await?;
        let transaction = TableTransaction {
            conditions: vec![RowCondition {
                key: SNAPSHOT_KEY.to_owned(),
                version: row.map_or(0, |row| row.version),
            }],
            writes: vec![RowWrite {
                key: SNAPSHOT_KEY.to_owned(),
                value: Some(state.version.into()),
            }],
        };
        // After a lost response or a conflict the next period reads the row again.
        if let TransactionResult::Committed(_) = platform.transact(&transaction).await? {
            let mut status = self.status();
            status.snapshot = state.version;
            status.counters.snapshots += 1;
        }
        Ok(())
    }

    pub(crate) async fn history(&self, limit: usize) -> TanagerResult<Vec<ChangeEntry>> {
        let limit = limit.min(MAX_HISTORY);
        let newest = self.state().version;
        let count = LogVersion::try_from(limit).unwrap_or(LogVersion::MAX);
        let mut after = newest.saturating_sub(count);
        let mut entries = Vec::new();
        while after < newest {
            let page = match self.read_entries(after, PAGE_ROWS).await {
                Ok(page) => page,
                Err(error) => {
                    let held = lock(&self.log).latest(limit)?;
                    return if held.is_empty() {
                        Err(error)
                    } else {
                        Ok(held)
                    };
                }
            };
            let Some(last) = page.last() else {
                break;
            };
            after = last.version;
            entries.extend(page);
        }
        entries.truncate(limit);
        Ok(entries)
    }
}

fn row_number(row: &TableRow) -> TanagerResult<LogVersion> {
    row.value.as_u64().ok_or_else(|| {
        let message = format!("not a version: {}", row.value);
        TanagerError::new(ErrorKind::Internal, "decode", row.key.clone(), message)
    })
}

fn decode_entry(row: TableRow) -> TanagerResult<ChangeEntry> {
    let invalid = |message: String| {
        TanagerError::new(ErrorKind::Internal, "decode", row.key.clone(), message)
    };
    let entry: ChangeEntry =
        serde_json::from_value(row.value).map_err(|error| invalid(error.to_string()))?;
    if log_key(entry.version) != row.key {
        return Err(invalid(format!("holds version {}", entry.version)));
    }
    Ok(entry)
}
