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

/// Rows that the store never writes: it rejects each change that contains one of them.
#[derive(Clone, Debug)]
pub struct RowRejection {
    /// Table of the rows.
    pub table: String,
    /// Text that their keys contain; empty for all rows of the table.
    pub key: String,
    /// Status of the response.
    pub status: u16,
    /// Number of such changes that get no response, before the others are answered.
    pub unanswered: u32,
}

impl RowRejection {
    /// Rejects the rows of a table whose keys contain a text, with the status 400.
    pub fn new(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            key: key.to_owned(),
            status: 400,
            unanswered: 0,
        }
    }
}

/// Decides at random whether a fault with this rate affects the current call.
pub(crate) fn should_trigger(rate: f64) -> bool {
    rate > 0.0 && rand::rng().random_bool(rate.min(1.0))
}
