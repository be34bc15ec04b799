//! Owners of a cell that end soon after they acquired it, one after the other.
//!
//! Load: something about a cell ends each process that owns it, by its memory or by a fault that nobody has thought of. Its
//! node would acquire it again at each start, for good, and the other cells of the node would end with it. Few ends
//! in a row are usual while processes are killed from outside.

use std::time::Duration;

/// Time after its start, or after its acquisition of the cell, from which the end of an owner is not early.
pub const EARLY_TIME: Duration = Duration::from_secs(10);
/// Number of early ends in a row from which on the cell is treated as their cause.
pub const TOLERATED_ENDS: u32 = 3;

/// What is known of the former owner of a cell when it is acquired.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FormerOwnership {
    /// Early ends in a row before it.
    pub early_ends: u32,
    /// Whether it released the cell.
    pub is_released: bool,
    /// Time from the start of its process, or from its acquisition of the cell if that is known, until now.
    pub age: Duration,
}

impl FormerOwnership {
    /// Returns the number of early ends in a row, that of the former owner included.
    pub fn early_ends(&self) -> u32 {
        match self.is_released || self.age >= EARLY_TIME {
            true => 0,
            false => self.early_ends.saturating_add(1),
        }
    }
}

/// Returns whether the node of the former owner may acquire the cell again at once. After repeated early ends others, which
/// may have more memory, come first.
pub fn may_reacquire_at_once(early_ends: u32) -> bool {
    early_ends < TOLERATED_ENDS
}
