//! Snapshots in the object store, and deletion of the log entries that they replace.
//!
//! The platform cannot delete objects, so two objects are written in turn. The row `snapshot`
//! names the newest one with its version; the object not named may hold any state of the log.

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
/// Reads of a snapshot that is replaced meanwhile.
const MAX_LOAD_READS: u32 = 3;
/// Pause between them; it grows with each read.
const LOAD_PAUSE: Duration = Duration::from_millis(20);
/// Deletions of one transaction. Keeps it about as large as a batch of claims.
const MAX_DELETIONS: u64 = 100;

/// Value of the row `snapshot`.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotName {
    /// Key of the object.
    pub(crate) key: String,
    /// Version of the state in it.
    pub(crate) version: LogVersion,
}

impl ControlCore {
    /// Reads the row `snapshot` and its row version, 0 when it is absent.
    pub(crate) async fn read_snapshot_name(
        &self,
    ) -> TanagerResult<(Option<SnapshotName>, RowVersion)> {
        let Some(row) = self.backend.platform.read(SNAPSHOT_KEY).await? else {
            return Ok((None, 0));
        };
        let name = serde_json::from_value(row.value).map_err(|error| {
            TanagerError::new(ErrorKind::Internal, "decode", SNAPSHOT_KEY, error)
        })?;
        Ok((Some(name), row.version))
    }

    async fn read_snapshot(&self, key: &str) -> TanagerResult<Option<FleetState>> {
        let content = self.backend.platform.get_object(key).await?;
        content.map(|content| decode(&content)).transpose()
    }

    /// Installs the newest snapshot.
    pub(crate) async fn load_snapshot(&self) -> TanagerResult<()> {
        for attempt in 0..MAX_LOAD_READS {
            time::sleep(LOAD_PAUSE * attempt).await;
            let (Some(name), _) = self.read_snapshot_name().await? else {
                return Ok(());
            };
            let state = self.read_snapshot(&name.key).await?;
            // Another version means that the object was replaced after the row was read.
            if let Some(state) = state.filter(|state| state.version == name.version) {
                self.install(state);
                return Ok(());
            }
        }
        // A delayed write of an earlier home replaced the named object. The other object holds
        // the snapshot before it, and the entries that follow that one are kept.
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
        if !is_due(self.status().snapshot) || !self.is_home("control") {
            return Ok(());
        }
        let platform = &self.backend.platform;
        let (name, row_version) = self.read_snapshot_name().await?;
        let newest = name.as_ref().map_or(0, |name| name.version);
        self.status().snapshot = newest;
        if !is_due(newest) {
            return Ok(());
        }
        let [first, second] = SNAPSHOT_OBJECTS;
        let is_first = name.is_some_and(|name| name.key == first);
        let key = if is_first { second } else { first };
        // The row must never name an object that does not exist.
        platform.put_object(key, encode(&*state)?).await?;
        let (key, version) = (key.to_owned(), state.version);
        let transaction = TableTransaction {
            conditions: vec![RowCondition {
                key: SNAPSHOT_KEY.to_owned(),
                version: row_version,
            }],
            writes: vec![SnapshotName { key, version }.write()?],
        };
        // After a lost response or a conflict the next period reads the row again.
        if let TransactionResult::Committed(_) = platform.transact(&transaction).await? {
            let mut status = self.status();
            status.snapshot = version;
            status.counters.snapshots += 1;
        }
        Ok(())
    }

    /// Deletes the oldest entries that the newest snapshot has made superfluous, by one
    /// transaction. Repeating it is harmless, so a lost response needs no resolution.
    pub(crate) async fn trim_log(&self) -> TanagerResult<()> {
        let (snapshot, trimmed) = {
            let status = self.status();
            (status.snapshot, status.trimmed)
        };
        let kept = snapshot.saturating_sub(self.settings.timing.log_retention);
        let last = kept.saturating_sub(1);
        if last <= trimmed || !self.is_home("control") {
            return Ok(());
        }
        let last = last.min(self.check_snapshots(snapshot).await?);
        if last <= trimmed {
            return Ok(());
        }
        let platform = &self.backend.platform;
        let rows = platform.scan(LOG_PREFIX, "", 1).await?;
        // The content is not decoded: an entry that cannot be read must not stop the deletion.
        let oldest = rows.first().map(|row| &row.key[LOG_PREFIX.len()..]);
        let oldest = oldest.and_then(|version| version.parse::<LogVersion>().ok());
        let Some(oldest) = oldest.filter(|oldest| *oldest <= last) else {
            self.status().trimmed = last;
            return Ok(());
        };
        let last = last.min(oldest.saturating_add(MAX_DELETIONS - 1));
        let deletions = (oldest..=last).map(|version| RowWrite {
            key: log_key(version),
            value: None,
        });
        let transaction = TableTransaction {
            conditions: Vec::new(),
            writes: deletions.collect(),
        };
        platform.transact(&transaction).await?;
        let mut status = self.status();
        status.trimmed = last;
        status.counters.deletions += last - oldest + 1;
        Ok(())
    }

    /// Version up to which no entry is needed to start from either object, 0 when one does not
    /// exist yet or the named one does not hold a snapshot of at least this version. The objects are read once for each
    /// snapshot, because a deletion cannot be undone.
    async fn check_snapshots(&self, snapshot: LogVersion) -> TanagerResult<LogVersion> {
        let (checked, superfluous) = self.status().checked_snapshot;
        if checked == snapshot {
            return Ok(superfluous);
        }
        let (Some(name), _) = self.read_snapshot_name().await? else {
            return Ok(0);
        };
        let state = self.read_snapshot(&name.key).await?;
        let held = state.map_or(0, |state| state.version);
        if held != name.version || held < snapshot {
            return Ok(0);
        }
        let mut superfluous = held;
        for key in SNAPSHOT_OBJECTS {
            let state = self.read_snapshot(key).await?;
            superfluous = superfluous.min(state.map_or(0, |state| state.version));
        }
        self.status().checked_snapshot = (snapshot, superfluous);
        Ok(superfluous)
    }
}

impl SnapshotName {
    /// Write of the row `snapshot`.
    pub(crate) fn write(&self) -> TanagerResult<RowWrite> {
        let value = serde_json::to_value(self).map_err(|error| {
            TanagerError::new(ErrorKind::Internal, "encode", SNAPSHOT_KEY, error)
        })?;
        Ok(RowWrite {
            key: SNAPSHOT_KEY.to_owned(),
            value: Some(value),
        })
    }
}
