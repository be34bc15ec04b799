//! One row to be written, and what the row that is read back means for it.

use std::time::Instant;

use serde_json::Value;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::oneshot;

use tanager_platform::RowCondition;
use tanager_platform::RowVersion;
use tanager_platform::RowWrite;
use tanager_platform::TableRow;

use crate::claims::ClaimDelivery;
use crate::claims::ClaimOwner;
use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::generation::row_key;
use crate::claims::record::ClaimRow;

/// What is written.
pub(super) enum WriteAction {
    /// A new claim.
    Insert {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Receives the result.
        reply: oneshot::Sender<ClaimDelivery>,
        /// Place among the waiting claims.
        _permit: OwnedSemaphorePermit,
    },
    /// The response of a claimed request.
    Record {
        /// New value.
        row: Box<ClaimRow>,
        /// Place among the waiting records.
        _permit: OwnedSemaphorePermit,
    },
    /// Removal of a claim whose request was not sent.
    Delete {
        /// Later checks, should another write of the claim take effect.
        checks_left: usize,
    },
}

/// One row to be written.
pub(super) struct PendingWrite {
    /// Pool and key of the request.
    pub(super) name: String,
    /// Generation of the row; that of an insert is the current one when it is sent.
    pub(super) generation: u64,
    /// Token of the claim.
    pub(super) token: String,
    /// Version that the row must have; 0 when it must be absent.
    pub(super) version: RowVersion,
    /// Version that the row of the previous generation must have before an insert. Such a row,
    /// of this claim and unsent, is removed by the insert.
    pub(super) previous_version: RowVersion,
    /// Latest time to send, and fingerprint, of a granted claim that is removed.
    pub(super) granted: Option<(Instant, RequestFingerprint)>,
    /// What is written.
    pub(super) action: WriteAction,
    /// The row must be read before it is written.
    pub(super) check_row: bool,
    /// An insert of this claim has an unknown outcome and may take effect later.
    pub(super) maybe_written: bool,
    /// A removal of this claim has an unknown outcome and may take effect later.
    pub(super) maybe_deleted: bool,
    /// Conflicts and refusals so far.
    pub(super) failures: u32,
}

/// What a row means for a write.
pub(super) enum RowView {
    /// There is no row.
    Absent,
    /// The row holds the claim of this write.
    Own(RowVersion, Box<ClaimRow>),
    /// The row holds another claim; `None` when it cannot be decoded.
    Other(Option<Box<ClaimRow>>),
}

impl RowView {
    /// Version of the row; 0 when it is absent or of another claim.
    pub(super) fn version(&self) -> RowVersion {
        match self {
            Self::Own(version, _) => *version,
            Self::Absent | Self::Other(_) => 0,
        }
    }
}

impl WriteAction {
    /// Returns whether this is a claim of a request with the fingerprint.
    pub(super) fn has_fingerprint(&self, other: &RequestFingerprint) -> bool {
        matches!(self, Self::Insert { fingerprint, .. } if fingerprint == other)
    }
}

impl PendingWrite {
    pub(super) fn new(name: String, generation: u64, token: String, action: WriteAction) -> Self {
        Self {
            name,
            generation,
            token,
            version: 0,
            previous_version: 0,
            granted: None,
            action,
            check_row: false,
            maybe_written: false,
            maybe_deleted: false,
            failures: 0,
        }
    }

    /// The claimer no longer waits for the result.
    pub(super) fn is_abandoned(&self) -> bool {
        matches!(&self.action, WriteAction::Insert { reply, .. } if reply.is_closed())
    }

    pub(super) fn view(&self, row: Option<TableRow>) -> RowView {
        let Some(row) = row else {
            return RowView::Absent;
        };
        match serde_json::from_value::<ClaimRow>(row.value) {
            Ok(claim) if claim.token == self.token => RowView::Own(row.version, Box::new(claim)),
            Ok(claim) => RowView::Other(Some(Box::new(claim))),
            Err(_) => RowView::Other(None),
        }
    }

    /// The transaction with this write has an unknown outcome.
    pub(super) fn mark_unknown(&mut self) {
        self.check_row = true;
        match self.action {
            WriteAction::Insert { .. } => self.maybe_written = true,
            WriteAction::Delete { .. } => self.maybe_deleted = true,
            WriteAction::Record { .. } => {}
        }
    }

    pub(super) fn is_insert(&self) -> bool {
        matches!(self.action, WriteAction::Insert { .. })
    }

    /// Moves an insert to a generation. What was read of its rows before no longer counts.
    pub(super) fn enter(&mut self, generation: u64) {
        if self.is_insert() && self.generation != generation {
            self.generation = generation;
            self.version = 0;
            self.previous_version = 0;
        }
    }

    /// Keys of the rows that decide the write: its own, and before an insert the previous one.
    pub(super) fn row_keys(&self) -> Vec<String> {
        let mut keys = vec![row_key(self.generation, &self.name)];
        if self.is_insert()
            && let Some(previous) = self.generation.checked_sub(1)
        {
            keys.push(row_key(previous, &self.name));
        }
        keys
    }

    pub(super) fn conditions(&self) -> impl Iterator<Item = RowCondition> {
        let versions = [self.version, self.previous_version];
        let conditions = self.row_keys().into_iter().zip(versions);
        conditions.map(|(key, version)| RowCondition { key, version })
    }

    /// Rows to be written; the first is that of the claim.
    pub(super) fn row_writes(
        &self,
        owner: &ClaimOwner,
    ) -> Result<Vec<RowWrite>, serde_json::Error> {
        let value: Option<Value> = match &self.action {
            WriteAction::Insert { fingerprint, .. } => {
                let (token, fingerprint) = (self.token.clone(), fingerprint.clone());
                let row = ClaimRow::started(token, owner.clone(), fingerprint);
                Some(serde_json::to_value(row)?)
            }
            WriteAction::Record { row, .. } => Some(serde_json::to_value(row)?),
            WriteAction::Delete { .. } => None,
        };
        let previous = (self.previous_version != 0).then_some(None);
        let values = [Some(value), previous].into_iter().flatten();
        let writes = self.row_keys().into_iter().zip(values);
        Ok(writes.map(|(key, value)| RowWrite { key, value }).collect())
    }
}
