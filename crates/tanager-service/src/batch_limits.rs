//! Size of the ledger's transactions.
//!
//! Load: a surge on a cell with hundreds of workers, where the rows that wait to be stored exceed
//! what the store accepts in one transaction. A transaction that the store rejects for its size is
//! never applied, so it must be cut, or the cell would store nothing any more. The same holds for one that
//! a slow link does not carry within the time limit of the call.

use tanager_site::store::MAX_ENTRIES;

use crate::transfer_time::max_transaction_bytes;

/// Limits of the next transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of entries.
    entries: usize,
    /// Maximum size of the row values, in bytes.
    bytes: usize,
    /// Size that they grow up to.
    max_bytes: usize,
}

/// What may still be added to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchRoom {
    entries: usize,
    bytes: usize,
    is_empty: bool,
}

impl BatchLimits {
    /// Returns the limits that the platform documents, or those of a link with a rate in bytes per second.
    pub fn for_link(link_rate: Option<f64>) -> Self {
        let bytes = max_transaction_bytes(link_rate);
        Self {
            entries: MAX_ENTRIES,
            bytes,
            max_bytes: bytes,
        }
    }

    /// Halves the limits after the store rejected a transaction.
    pub fn shrink(&mut self) {
        self.entries = (self.entries / 2).max(1);
        self.bytes = (self.bytes / 2).max(1);
    }

    /// Doubles the limits, up to the initial ones, after a transaction was applied.
    pub fn grow(&mut self) {
        self.entries = (self.entries * 2).min(MAX_ENTRIES);
        self.bytes = (self.bytes * 2).min(self.max_bytes);
    }

    /// Returns the room beside entries that every transaction has. There is always room for one
    /// row, so that the cell makes progress.
    pub fn room(&self, fixed_entries: usize, fixed_bytes: usize) -> BatchRoom {
        BatchRoom {
            entries: self.entries.saturating_sub(fixed_entries).max(1),
            bytes: self.bytes.saturating_sub(fixed_bytes),
            is_empty: true,
        }
    }
}

impl BatchRoom {
    /// Returns the number of rows that may still be added.
    pub fn entries(&self) -> usize {
        self.entries
    }

    /// Adds a row if it fits; returns whether it does.
    pub fn add(&mut self, bytes: usize) -> bool {
        let fits = self.entries > 0 && (bytes <= self.bytes || self.is_empty);
        if fits {
            self.entries -= 1;
            self.bytes = self.bytes.saturating_sub(bytes);
            self.is_empty = false;
        }
        fits
    }
}
