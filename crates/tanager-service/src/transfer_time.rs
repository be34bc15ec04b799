//! How long the link of this node needs for rows of the store.

use std::time::Duration;

use tanager_site::store::MAX_BYTES;

/// Size of a row in a call to the store, which encodes it in Base64, relative to the row itself.
const ENCODED_SIZE: f64 = 4.0 / 3.0;
/// Time that a transaction may occupy the link. Heartbeats and the renewals of leases wait behind it, and a
/// call ends after 0.25 s if the store is otherwise fast.
const MAX_SEND_TIME: Duration = Duration::from_millis(200);

/// Returns the time for rows of this size in bytes over a link with a rate in bytes per second; zero if the
/// rate is not known.
pub fn transfer_time(bytes: usize, link_rate: Option<f64>) -> Duration {
    let seconds = link_rate.map_or(0.0, |rate| bytes as f64 * ENCODED_SIZE / rate);
    // An absurd rate must not end the process.
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns the largest size of the rows of a transaction, in bytes: the documented one, or what a link with
/// a rate in bytes per second carries in time.
pub fn max_transaction_bytes(link_rate: Option<f64>) -> usize {
    let carried = link_rate.map(|rate| rate * MAX_SEND_TIME.as_secs_f64() / ENCODED_SIZE);
    carried.map_or(MAX_BYTES, |bytes| MAX_BYTES.min(bytes as usize))
}
