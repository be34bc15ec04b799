//! Reads of the change log in the platform's store.

use tanager_platform::TableRow;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::ids::LogVersion;

use crate::core::ControlCore;
use crate::core::HeadRow;
use crate::core::lock;

pub(crate) const HEAD_KEY: &str = "head";
pub(crate) const LOG_PREFIX: &str = "log/";
/// Rows per scan. A configuration of the design size in which every team has a quota in every pool
/// takes 2.1 MB, and the client accepts pages up to 64 MiB.
const PAGE_ROWS: usize = 8;
/// Largest number of entries returned by one call of `history`.
const MAX_HISTORY_ENTRIES: usize = 1_000;

pub(crate) fn log_key(version: LogVersion) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

impl ControlCore {
    /// Reads `head` and applies the entries up to it.
    ///
    /// A response that is older than the applied state changes nothing.
    pub(crate) async fn catch_up(&self) -> TanagerResult<()> {
        let result = self.read_log().await;
        // Errors of other kinds concern the content of the store, which was reached.
        let unreachable = result.as_ref().is_err_and(|error| {
            matches!(
                error.kind,
                ErrorKind::NotSent | ErrorKind::Unknown | ErrorKind::Timeout
            )
        });
        self.record_store_result(unreachable);
        if !unreachable {
            self.record_log_fault(result.as_ref().err());
        }
        result?;
        self.status().synced = true;
        Ok(())
    }

    /// Records whether the content of the store could be applied. The node stays ready when it
    /// could not: an entry that no node can read must not take all nodes out of service.
    fn record_log_fault(&self, error: Option<&TanagerError>) {
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
                version: parse_version(row)?,
                row_version: row.version,
            },
            None => HeadRow::default(),
        };
        self.update_head(head);
        if self.state().version == 0 && head.version > 0 {
            self.load_snapshot().await?;
        }
        while self.state().version < head.version {
            let before = self.state().version;
            let entries = self.read_entries(before, PAGE_ROWS).await?;
            if entries.first().map(|entry| entry.version) == Some(before + 1) {
                self.apply(&entries)?;
            } else {
                // The entry was deleted after a snapshot, or the log was restored from one.
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

    /// Records the value and row version of `head`, unless a newer one is known.
    pub(crate) fn update_head(&self, head: HeadRow) {
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

    /// Reads one entry. Returns `None` when the version is not in the log.
    pub(crate) async fn read_entry(
        &self,
        version: LogVersion,
    ) -> TanagerResult<Option<ChangeEntry>> {
        let row = self.backend.platform.read(&log_key(version)).await?;
        row.map(decode_entry).transpose()
    }

    pub(crate) async fn history(&self, limit: usize) -> TanagerResult<Vec<ChangeEntry>> {
        let limit = limit.min(MAX_HISTORY_ENTRIES);
        let newest = self.state().version;
        let count = LogVersion::try_from(limit).unwrap_or(LogVersion::MAX);
        let mut after = newest.saturating_sub(count);
        let mut entries = Vec::new();
        while after < newest {
            let page = match self.read_entries(after, PAGE_ROWS).await {
                Ok(page) => page,
                Err(error) => {
                    let retained = lock(&self.log).latest(limit)?;
                    return if retained.is_empty() {
                        Err(error)
                    } else {
                        Ok(retained)
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

fn parse_version(row: &TableRow) -> TanagerResult<LogVersion> {
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
        return Err(invalid(format!("the entry has version {}", entry.version)));
    }
    Ok(entry)
}
