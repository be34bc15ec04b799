//! Snapshots in the object store, and deletion of the log entries that they replace.
//!
//! The platform cannot delete objects, so two objects are written alternately. The row `snapshot`
//! names the newest one with its version; the other object may contain any state of the log.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time;

use tanager_platform::RowCondition;
use tanager_platform::RowVersion;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;

use crate::core::ControlCore;
use crate::replica::decode;
use crate::replica::encode;
use crate::store::LOG_PREFIX;
use crate::store::log_key;

pub(crate) const SNAPSHOT_KEY: &str = "snapshot";
const SNAPSHOT_OBJECTS: [&str; 2] = ["snapshot/a", "snapshot/b"];
/// Attempts to read a snapshot that may be replaced between the reads of the row and the object.
const MAX_LOAD_READS: u32 = 3;
/// Pause before another read; it grows with each read.
const LOAD_PAUSE: Duration = Duration::from_millis(20);
/// Deletions per transaction; makes it about as large as a batch of claims.
const MAX_DELETIONS: u64 = 100;

/// Value of the row `snapshot`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotReference {
    /// Key of the object.
    pub(crate) key: String,
    /// Version of the state in the object.
    pub(crate) version: LogVersion,
}

impl ControlCore {
    /// Reads the row `snapshot` and its row version, 0 when it is absent.
    pub(crate) async fn read_snapshot_reference(
        &self,
    ) -> TanagerResult<(Option<SnapshotReference>, RowVersion)> {
        let Some(row) = self.backend.platform.read(SNAPSHOT_KEY).await? else {
            return Ok((None, 0));
        };
        let reference = serde_json::from_value(row.value).map_err(|error| {
            TanagerError::new(ErrorKind::Internal, "decode", SNAPSHOT_KEY, error)
        })?;
        Ok((Some(reference), row.version))
    }

    async fn read_snapshot(&self, key: &str) -> TanagerResult<Option<FleetState>> {
        let content = self.backend.platform.get_object(key).await?;
        content.map(|content| decode(&content)).transpose()
    }

    /// Installs the newest snapshot.
    pub(crate) async fn load_snapshot(&self) -> TanagerResult<()> {
        for attempt in 0..MAX_LOAD_READS {
            time::sleep(LOAD_PAUSE * attempt).await;
            let (Some(reference), _) = self.read_snapshot_reference().await? else {
                return Ok(());
            };
            let state = self.read_snapshot(&reference.key).await?;
            // Another version means that the object was replaced after the row was read.
            if let Some(state) = state.filter(|state| state.version == reference.version) {
                self.install(state);
                return Ok(());
            }
        }
        // A delayed write of an earlier home replaced the named object. The other object contains
        // the previous snapshot, and the entries after that snapshot are still in the log.
        for key in SNAPSHOT_OBJECTS {
            if let Some(state) = self.read_snapshot(key).await? {
                self.install(state);
            }
        }
        Ok(())
    }

    /// Writes a snapshot when enough entries follow the newest one.
    pub(crate) async fn write_snapshot_if_due(&self) -> TanagerResult<()> {
        let state = self.state();
        let interval = self.settings.timing.snapshot_interval;
        let is_due = |snapshot| state.version >= interval.saturating_add(snapshot);
        if !is_due(self.status().snapshot_version) || !self.is_home("control") {
            return Ok(());
        }
        let platform = &self.backend.platform;
        let (reference, row_version) = self.read_snapshot_reference().await?;
        let newest = reference.as_ref().map_or(0, |reference| reference.version);
        self.status().snapshot_version = newest;
        if !is_due(newest) {
            return Ok(());
        }
        let [first, second] = SNAPSHOT_OBJECTS;
        let is_first = reference.is_some_and(|reference| reference.key == first);
        let key = if is_first { second } else { first };
        // The row must never name an object that does not exist.
        platform.put_object(key, encode(&*state)?).await?;
        let (key, version) = (key.to_owned(), state.version);
        let transaction = TableTransaction {
            conditions: vec![RowCondition {
                key: SNAPSHOT_KEY.to_owned(),
                version: row_version,
            }],
            writes: vec![SnapshotReference { key, version }.row_write()?],
        };
        // After a lost response or a conflict the row is read again in the next period.
        if let TransactionResult::Committed(_) = platform.transact(&transaction).await? {
            let mut status = self.status();
            status.snapshot_version = version;
            status.counters.snapshots += 1;
        }
        Ok(())
    }

    /// Deletes the oldest entries that the newest snapshot replaces, by one transaction. The
    /// deletion is idempotent, so a lost response needs no resolution.
    pub(crate) async fn trim_log(&self) -> TanagerResult<()> {
        let (snapshot, trimmed_version) = {
            let status = self.status();
            (status.snapshot_version, status.trimmed_version)
        };
        let first_retained = snapshot.saturating_sub(self.settings.timing.log_retention);
        let last_deleted = first_retained.saturating_sub(1);
        if last_deleted <= trimmed_version || !self.is_home("control") {
            return Ok(());
        }
        let last_deleted = last_deleted.min(self.verify_snapshots(snapshot).await?);
        if last_deleted <= trimmed_version {
            return Ok(());
        }
        let platform = &self.backend.platform;
        let rows = platform.scan(LOG_PREFIX, "", 1).await?;
        // The content is not decoded: an unreadable entry must not stop the deletion.
        let oldest = rows.first().map(|row| &row.key[LOG_PREFIX.len()..]);
        let oldest = oldest.and_then(|version| version.parse::<LogVersion>().ok());
        let Some(oldest) = oldest.filter(|oldest| *oldest <= last_deleted) else {
            self.status().trimmed_version = last_deleted;
            return Ok(());
        };
        let last_deleted = last_deleted.min(oldest.saturating_add(MAX_DELETIONS - 1));
        let deletions = (oldest..=last_deleted).map(|version| RowWrite {
            key: log_key(version),
            value: None,
        });
        let transaction = TableTransaction {
            conditions: Vec::new(),
            writes: deletions.collect(),
        };
        platform.transact(&transaction).await?;
        let mut status = self.status();
        status.trimmed_version = last_deleted;
        status.counters.deletions += last_deleted - oldest + 1;
        Ok(())
    }

    /// Returns the version up to which no entry is needed to start from either object: 0 when one
    /// does not exist yet, or when the version of the named one is not that of the row or is less
    /// than `snapshot`. Reads the objects once for each snapshot, because a deletion cannot be
    /// undone.
    async fn verify_snapshots(&self, snapshot: LogVersion) -> TanagerResult<LogVersion> {
        let (verified, obsolete_version) = self.status().verified_snapshot;
        if verified == snapshot {
            return Ok(obsolete_version);
        }
        let (Some(reference), _) = self.read_snapshot_reference().await? else {
            return Ok(0);
        };
        let state = self.read_snapshot(&reference.key).await?;
        let object_version = state.map_or(0, |state| state.version);
        if object_version != reference.version || object_version < snapshot {
            return Ok(0);
        }
        let mut obsolete_version = object_version;
        for key in SNAPSHOT_OBJECTS {
            let state = self.read_snapshot(key).await?;
            obsolete_version = obsolete_version.min(state.map_or(0, |state| state.version));
        }
        self.status().verified_snapshot = (snapshot, obsolete_version);
        Ok(obsolete_version)
    }
}

impl SnapshotReference {
    /// Creates the write of the row `snapshot`.
    pub(crate) fn row_write(&self) -> TanagerResult<RowWrite> {
        let value = serde_json::to_value(self).map_err(|error| {
            TanagerError::new(ErrorKind::Internal, "encode", SNAPSHOT_KEY, error)
        })?;
        Ok(RowWrite {
            key: SNAPSHOT_KEY.to_owned(),
            value: Some(value),
        })
    }
}
