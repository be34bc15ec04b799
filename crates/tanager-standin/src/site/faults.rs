//! Faults of the stand-in.

use rand::RngExt;

/// Faults that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct SiteFaults {
    /// The store answers 503 to everything.
    pub store_refuses: bool,
    /// The store answers nothing and does nothing.
    pub store_unresponsive: bool,
    /// Share of the store's changes that are made and not answered.
    pub change_response_loss_rate: f64,
    /// The store has dropped the history of its feeds.
    pub history_dropped: bool,
    /// Share of orders to workers that are carried out and not answered.
    pub order_response_loss_rate: f64,
    /// Share of runs that fail.
    pub run_failure_rate: f64,
}

impl SiteFaults {
    /// Returns whether nothing reaches the store.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_refuses || self.store_unresponsive
    }
}

/// Decides a fault that concerns a share of the calls.
pub(crate) fn happens(share: f64) -> bool {
    share > 0.0 && rand::rng().random_bool(share.min(1.0))
}
