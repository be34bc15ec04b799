//! How long a response may take, by the bytes that have arrived.

use std::time::Duration;

/// Minimum rate in bytes per second of transfers over the links of entry VMs: an eighth of the slowest link,
/// 2 Mbit/s, since several transfers may share it.
pub const MIN_LINK_RATE: u32 = 32_000;

/// Limits of the time of an exchange.
///
/// A time limit for the whole exchange fails for a response that the link cannot carry in that time,
/// however often it is repeated. With a minimum rate, the limit holds for the response's head and for each
/// pause within its body, and the body as a whole is limited by its size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TransferLimits {
    /// Time limit of an exchange without a body; with `min_rate`, also the longest pause between two
    /// parts of the body.
    pub timeout: Duration,
    /// Rate in bytes per second at which the body must arrive on average, after `timeout`. `None`
    /// limits the whole exchange to `timeout`.
    pub min_rate: Option<u32>,
}

impl TransferLimits {
    /// Limits the whole exchange to a time.
    pub fn whole(timeout: Duration) -> Self {
        Self {
            timeout,
            min_rate: None,
        }
    }

    /// Returns the time that the transfer of a body may take at the minimum rate of a link.
    pub fn slowest_transfer(bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / f64::from(MIN_LINK_RATE))
    }

    /// Returns the time since the start of the exchange at which it has failed, unless more bytes arrive
    /// before. So far `received` bytes of the body have arrived, the last of them at `received_at`.
    pub fn deadline(&self, received: u64, received_at: Duration) -> Duration {
        let Some(rate) = self.min_rate else {
            return self.timeout;
        };
        let due = Duration::from_secs_f64(received as f64 / f64::from(rate.max(1)));
        (received_at + self.timeout).min(self.timeout + due)
    }
}
