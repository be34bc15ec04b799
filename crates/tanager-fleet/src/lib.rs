//! Folds the change log into the fleet state and validates proposed changes.
//!
//! Everything here is a pure function of its arguments, so that every node computes the same
//! state from the same entries.

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
