//! Faults that the stand-in injects.

use std::time::Duration;

use rand::RngExt;

/// Current faults. Rates are from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct SiteFaults {
    /// The store returns 503 to every request.
    pub store_refuses: bool,
    /// The store returns 429 to every change and serves reads.
    pub changes_refused: bool,
    /// The store neither applies nor answers requests.
    pub store_unresponsive: bool,
    /// Share of the store's changes that are applied but get no response.
    pub change_response_loss_rate: f64,
    /// The store has dropped the history of its feeds and returns 410 to their readers.
    pub history_dropped: bool,
    /// Size in bytes above which the store rejects a change; 0 means the documented 1 MB.
    pub max_change_bytes: usize,
    /// Share of orders to workers that are executed but get no response.
    pub order_response_loss_rate: f64,
    /// Time for which the machine API delays the execution of an order.
    pub machine_order_delay: Duration,
    /// The machine API lists VMs, and the workers report runs, that no client can use.
    pub lists_odd_entries: bool,
    /// Share of runs that fail.
    pub run_failure_rate: f64,
}

impl SiteFaults {
    /// Whether the store is unavailable to all clients.
    pub fn is_store_unavailable(&self) -> bool {
        self.store_refuses || self.store_unresponsive
    }
}

/// Decides at random whether a fault with this rate affects the current call.
pub(crate) fn should_trigger(rate: f64) -> bool {
    rate > 0.0 && rand::rng().random_bool(rate.min(1.0))
}
