//! One row to be written, and what the row that is read back means for it.

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
    /// Key of the row.
    pub(super) row_key: String,
    /// Token of the claim.
    pub(super) token: String,
    /// Version that the row must have; 0 when it must be absent.
    pub(super) version: RowVersion,
    /// Fingerprint of the row that is removed, if known.
    pub(super) fingerprint: Option<RequestFingerprint>,
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

impl WriteAction {
    /// Returns whether this is a claim of a request with the fingerprint.
    pub(super) fn has_fingerprint(&self, other: Option<&RequestFingerprint>) -> bool {
        matches!(self, Self::Insert { fingerprint, .. } if Some(fingerprint) == other)
    }
}

impl PendingWrite {
    pub(super) fn new(row_key: String, token: String, action: WriteAction) -> Self {
        Self {
            row_key,
            token,
            version: 0,
            fingerprint: None,
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

    pub(super) fn condition(&self) -> RowCondition {
        RowCondition {
            key: self.row_key.clone(),
            version: self.version,
        }
    }

    pub(super) fn row_write(&self, owner: &ClaimOwner) -> Result<RowWrite, serde_json::Error> {
        let value: Option<Value> = match &self.action {
            WriteAction::Insert { fingerprint, .. } => {
                let (token, fingerprint) = (self.token.clone(), fingerprint.clone());
                let row = ClaimRow::started(token, owner.clone(), fingerprint);
                Some(serde_json::to_value(row)?)
            }
            WriteAction::Record { row, .. } => Some(serde_json::to_value(row)?),
            WriteAction::Delete { .. } => None,
        };
        Ok(RowWrite {
            key: self.row_key.clone(),
            value,
        })
    }
}
