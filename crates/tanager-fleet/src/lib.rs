//! Applies the change log to the fleet state and validates proposed changes.
//!
//! All functions are pure, so that every node computes the same state from the same entries.
//!
//! The checks enforce two rules: planned work never takes a pool below its floor (R1), and every VM
//! belongs to exactly one pool, which changes only by a move (R2).

mod apply;
mod check;
mod configure;
mod floor;

pub use apply::MAX_FINISHED_WAVES;
pub use apply::apply_entry;
pub use check::CheckContext;
pub use check::check_change;
pub use check::record_version;
pub use floor::available_vms;
