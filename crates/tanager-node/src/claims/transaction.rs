//! Builds one transaction from many writes and maps its result back to them.

use std::collections::BTreeSet;

use tanager_platform::RowVersion;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;

use crate::claims::ClaimOwner;
use crate::claims::generation::ClaimGeneration;
use crate::claims::write::PendingWrite;

/// Result of a batch transaction.
pub(super) enum BatchResult {
    /// Committed, with the new version of each write.
    Committed(Vec<RowVersion>),
    /// The transaction failed because another generation has started.
    GenerationEnded,
    /// Positions of the writes with a failed condition.
    Conflict(BTreeSet<usize>),
}

/// One transaction for many writes.
pub(super) struct BatchTransaction {
    pub(super) transaction: TableTransaction,
    /// Position of the write of each condition; `None` for the condition on the generation.
    conditions: Vec<Option<usize>>,
    /// Position of the row of each write among the rows of the transaction.
    rows: Vec<usize>,
}

impl BatchTransaction {
    /// Builds the transaction. Inserts are conditional on the generation, so that they fail if they
    /// arrive at the store after it has ended.
    pub(super) fn build(
        batch: &[PendingWrite],
        generation: ClaimGeneration,
        owner: &ClaimOwner,
    ) -> Result<Self, serde_json::Error> {
        let mut built = Self {
            transaction: TableTransaction {
                conditions: Vec::new(),
                writes: Vec::new(),
            },
            conditions: Vec::new(),
            rows: Vec::new(),
        };
        if batch.iter().any(PendingWrite::is_insert) {
            built.transaction.conditions.push(generation.condition());
            built.conditions.push(None);
        }
        for (position, write) in batch.iter().enumerate() {
            for condition in write.conditions() {
                built.transaction.conditions.push(condition);
                built.conditions.push(Some(position));
            }
            built.rows.push(built.transaction.writes.len());
            built.transaction.writes.extend(write.row_writes(owner)?);
        }
        Ok(built)
    }

    /// Maps the result of the transaction to the writes; `None` if it does not match them.
    pub(super) fn interpret(&self, result: TransactionResult) -> Option<BatchResult> {
        let failed = match result {
            TransactionResult::Committed(versions) => {
                let complete = versions.len() == self.transaction.writes.len();
                let versions = self.rows.iter().map(|row| versions.get(*row).copied());
                let versions = versions.collect::<Option<Vec<_>>>();
                return versions.filter(|_| complete).map(BatchResult::Committed);
            }
            TransactionResult::Conflict(failed) => failed,
        };
        let failed = failed.iter().map(|index| self.conditions.get(*index));
        let failed: Vec<Option<usize>> = failed.flatten().copied().collect();
        if failed.contains(&None) {
            return Some(BatchResult::GenerationEnded);
        }
        let writes: BTreeSet<usize> = failed.into_iter().flatten().collect();
        (!writes.is_empty()).then_some(BatchResult::Conflict(writes))
    }
}
