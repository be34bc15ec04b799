//! Restores an exported state into an empty store.

use rand::RngExt;

use tanager_platform::RowCondition;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::ids::LogVersion;

use crate::core::ControlCore;
use crate::replica::encode;
use crate::snapshots::SNAPSHOT_KEY;
use crate::snapshots::SnapshotReference;
use crate::store::HEAD_KEY;
use crate::store::log_key;

impl ControlCore {
    pub(crate) async fn restore(&self, state: FleetState) -> TanagerResult<LogVersion> {
        let invalid =
            |message: String| TanagerError::new(ErrorKind::Invalid, "restore", "snapshot", message);
        state.document.validate().map_err(invalid)?;
        if !state.vms.keys().eq(state.document.vms.keys()) {
            return Err(invalid(
                "the VMs of the state differ from those of its document".to_owned(),
            ));
        }
        let _guard = self.proposal_lock.lock().await;
        self.catch_up().await?;
        let current = self.state();
        let head = self.status().head;
        // Nodes register themselves before an operator can restore anything.
        let empty =
            current.configured_version == 0 && current.vms.is_empty() && current.waves.is_empty();
        if !empty || head.version != current.version {
            return Err(TanagerError::new(
                ErrorKind::Refused,
                "restore",
                HEAD_KEY,
                format!("the store is not empty: its version is {}", current.version),
            ));
        }
        let restored = merge(state, &current)?;
        let version = restored.version;
        let platform = &self.backend.platform;
        let (_, snapshot_version) = self.read_snapshot_reference().await?;
        let content = encode(&restored)?;
        // The key is unique: another restore may write its object at the same time, and if neither
        // transaction is committed, no node may load the object as a state of the log.
        let key = format!("snapshot/restored-{:016x}", rand::rng().random::<u64>());
        platform.put_object(&key, content).await?;
        let condition = |key: String, version| RowCondition { key, version };
        let head_write = RowWrite {
            key: HEAD_KEY.to_owned(),
            value: Some(version.into()),
        };
        let transaction = TableTransaction {
            conditions: vec![
                condition(HEAD_KEY.to_owned(), head.row_version),
                condition(SNAPSHOT_KEY.to_owned(), snapshot_version),
                condition(log_key(version), 0),
            ],
            writes: vec![head_write, SnapshotReference { key, version }.row_write()?],
        };
        match platform.transact(&transaction).await? {
            TransactionResult::Committed(_) => {
                self.install(restored);
                self.catch_up().await?;
                Ok(version)
            }
            TransactionResult::Conflict(_) => Err(TanagerError::new(
                ErrorKind::Conflict,
                "restore",
                HEAD_KEY,
                "the store changed during the restore",
            )),
        }
    }
}

/// Combines the exported state with the nodes that are registered now, under a version above
/// both.
fn merge(mut state: FleetState, current: &FleetState) -> TanagerResult<FleetState> {
    let newest = state.version.max(current.version);
    let version = newest.checked_add(1).ok_or_else(|| {
        TanagerError::new(
            ErrorKind::Invalid,
            "restore",
            "snapshot",
            "version overflow",
        )
    })?;
    state.version = version;
    state.nodes = current.nodes.clone();
    for record in state.vms.values_mut() {
        // Nodes acknowledge versions of this log, not of the log of the exported state.
        if let VmActivity::Moving { since, .. } | VmActivity::Draining { since, .. } =
            &mut record.activity
        {
            *since = version;
        }
    }
    Ok(state)
}
