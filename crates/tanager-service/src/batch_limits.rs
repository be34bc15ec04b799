//! Size of the ledger's transactions.
//!
//! Load: a surge on a cell with hundreds of workers, where the rows that wait to be stored exceed
//! what the store accepts in one transaction. A transaction that the store rejects for its size is
//! never applied, so it must be cut, or the cell would store nothing any more.

use tanager_site::store::MAX_BYTES;
use tanager_site::store::MAX_ENTRIES;

/// Limits of the next transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of entries.
    entries: usize,
    /// Maximum size of the row values, in bytes.
    bytes: usize,
}

/// What may still be added to a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchRoom {
    entries: usize,
    bytes: usize,
    is_empty: bool,
}

impl BatchLimits {
    /// The limits that the platform documents.
    pub const DOCUMENTED: Self = Self {
        entries: MAX_ENTRIES,
        bytes: MAX_BYTES,
    };

    /// Halves the limits after the store rejected a transaction.
    pub fn shrink(&mut self) {
        self.entries = (self.entries / 2).max(1);
        self.bytes = (self.bytes / 2).max(1);
    }

    /// Doubles the limits, up to the documented ones, after a transaction was applied.
    pub fn grow(&mut self) {
        self.entries = (self.entries * 2).min(Self::DOCUMENTED.entries);
        self.bytes = (self.bytes * 2).min(Self::DOCUMENTED.bytes);
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
