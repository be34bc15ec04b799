//! Pending writes and their comparison with the stored rows.

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

/// Operation of a pending write.
pub(super) enum WriteAction {
    /// A new claim.
    Insert {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Channel for the result.
        reply: oneshot::Sender<ClaimDelivery>,
        /// Counts this claim as waiting until it is dropped.
        _permit: OwnedSemaphorePermit,
    },
    /// The response of a claimed request.
    Record {
        /// New value of the row.
        row: Box<ClaimRow>,
        /// Counts the size of this record as waiting until it is dropped.
        _permit: OwnedSemaphorePermit,
    },
    /// Removal of a claim whose request was not sent.
    Delete {
        /// Checks left after the removal, in case another write of the claim takes effect.
        checks_left: usize,
    },
}

/// A write of one claim row.
pub(super) struct PendingWrite {
    /// Pool and key of the request.
    pub(super) name: String,
    /// Generation of the row. An insert gets the generation that is current when it is sent.
    pub(super) generation: u64,
    /// Token of the claim.
    pub(super) token: String,
    /// Version that the row must have; 0 if it must be absent.
    pub(super) version: RowVersion,
    /// Version that the row of the previous generation must have before an insert; 0 if it must be
    /// absent. The insert removes such a row, which is of this claim and whose request was not
    /// sent.
    pub(super) previous_version: RowVersion,
    /// Latest time to send the request, and its fingerprint, if this removes a granted claim.
    pub(super) granted: Option<(Instant, RequestFingerprint)>,
    /// Operation of this write.
    pub(super) action: WriteAction,
    /// Whether the row must be read before it is written.
    pub(super) must_read_row: bool,
    /// Whether an insert of this claim has an unknown outcome and may take effect later.
    pub(super) maybe_written: bool,
    /// Whether a removal of this claim has an unknown outcome and may take effect later.
    pub(super) maybe_deleted: bool,
    /// Number of conflicts and refusals.
    pub(super) failures: u32,
}

/// Comparison of a stored row with a write.
pub(super) enum RowMatch {
    /// There is no row.
    Absent,
    /// The row is of the claim of this write.
    Own(RowVersion, Box<ClaimRow>),
    /// The row is of another claim; `None` if it cannot be decoded.
    Other(Option<Box<ClaimRow>>),
}

impl RowMatch {
    /// Returns the version of the row; 0 if it is absent or of another claim.
    pub(super) fn version(&self) -> RowVersion {
        match self {
            Self::Own(version, _) => *version,
            Self::Absent | Self::Other(_) => 0,
        }
    }
}

impl WriteAction {
    /// Returns whether this is an insert for a request with this fingerprint.
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
            must_read_row: false,
            maybe_written: false,
            maybe_deleted: false,
            failures: 0,
        }
    }

    /// Returns whether this is an insert whose caller no longer waits for the result.
    pub(super) fn is_abandoned(&self) -> bool {
        matches!(&self.action, WriteAction::Insert { reply, .. } if reply.is_closed())
    }

    /// Compares a stored row with this write.
    pub(super) fn match_row(&self, row: Option<TableRow>) -> RowMatch {
        let Some(row) = row else {
            return RowMatch::Absent;
        };
        match serde_json::from_value::<ClaimRow>(row.value) {
            Ok(claim) if claim.token == self.token => RowMatch::Own(row.version, Box::new(claim)),
            Ok(claim) => RowMatch::Other(Some(Box::new(claim))),
            Err(_) => RowMatch::Other(None),
        }
    }

    /// Records that the transaction with this write has an unknown outcome.
    pub(super) fn mark_unknown(&mut self) {
        self.must_read_row = true;
        match self.action {
            WriteAction::Insert { .. } => self.maybe_written = true,
            WriteAction::Delete { .. } => self.maybe_deleted = true,
            WriteAction::Record { .. } => {}
        }
    }

    pub(super) fn is_insert(&self) -> bool {
        matches!(self.action, WriteAction::Insert { .. })
    }

    /// Moves an insert to a generation and discards the versions read in its previous one.
    pub(super) fn move_to_generation(&mut self, generation: u64) {
        if self.is_insert() && self.generation != generation {
            self.generation = generation;
            self.version = 0;
            self.previous_version = 0;
        }
    }

    /// Returns the keys of the rows that decide the write: its own and, for an insert, that of the
    /// previous generation.
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

    /// Returns the rows to write, of which the first is that of the claim.
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
