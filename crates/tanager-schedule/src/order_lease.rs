//! The right to send orders to VMs, and when a new coordinator may send its first one. Pure
//! functions and state without I/O.
//!
//! A platform that checks no fencing tokens carries out an order of a former coordinator, so the
//! former one must have stopped before its successor begins. The right is a lease: each call that
//! finds the owner row of the coordinator's cell unchanged extends it, from the time at which the
//! call was sent. A successor writes that row after the last such call, so the right of its predecessor
//! has expired at most [`ORDER_LEASE`] after the write, whatever the predecessor believes.

use std::time::Duration;

use crate::recovery::FormerOwner;

/// Time for which orders may be sent, and wait for a response, after a call was sent that found the
/// owner row unchanged. Shorter leases need more such calls, longer ones prolong each takeover.
pub const ORDER_LEASE: Duration = Duration::from_millis(1_500);

/// Shortest rest of the lease with which an order is begun. An order that is abandoned right after it
/// was sent has an unknown outcome.
pub const MIN_ORDER_TIME: Duration = Duration::from_millis(200);

/// Time that the network takes to deliver an order over a link that works.
const MAX_TRANSIT: Duration = Duration::from_millis(200);

/// Share by which the clocks of two nodes may differ in speed, each being 2% off.
const CLOCK_ERROR: f64 = 0.04;

/// The right to send orders under one fencing token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrderLease {
    confirmed_at: Option<Duration>,
    is_ended: bool,
}

impl OrderLease {
    /// Extends the lease: a call that was sent at `sent_at` found the owner row unchanged.
    pub fn confirm(&mut self, sent_at: Duration) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Ends the right for good. A later confirmation does not restore it.
    pub fn end(&mut self) {
        self.is_ended = true;
    }

    /// Returns the time since the last call that confirmed the lease was sent; `None` before the
    /// first.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_sub(confirmed_at))
    }

    /// Returns the time for which orders may still be sent; zero if they may not.
    pub fn remaining(&self, now: Duration) -> Duration {
        match self.age(now) {
            Some(age) if !self.is_ended => ORDER_LEASE.saturating_sub(age),
            _ => Duration::ZERO,
        }
    }
}

/// Returns the time from the write of the owner row to the first order of the new owner, so that
/// the orders of two coordinators lie at least `coordinator_lease` apart. `former_owner` is `None` if
/// the cell never had an owner.
///
/// A former owner that released the cell, or whose process has ended, sent its last order before the
/// row was written. An unresponsive one may resume and send orders until its lease expires.
pub fn takeover_wait(former_owner: Option<FormerOwner>, coordinator_lease: Duration) -> Duration {
    let last_order = match former_owner {
        None => return Duration::ZERO,
        Some(FormerOwner::Inactive) => Duration::ZERO,
        Some(FormerOwner::Unresponsive) => ORDER_LEASE,
    };
    (coordinator_lease + last_order + MAX_TRANSIT).mul_f64(1.0 + CLOCK_ERROR)
}
