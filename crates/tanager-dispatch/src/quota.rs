//! Team quotas as token buckets.

use std::time::Duration;

use tanager_protocol::config::TeamQuota;

/// Token bucket of one team in one pool.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    pub(crate) fn new(quota: TeamQuota, now: Duration) -> Self {
        let capacity = f64::from(quota.burst.max(1));
        Self {
            rate: f64::from(quota.rate),
            capacity,
            tokens: capacity,
            updated: now,
        }
    }

    /// Applies a changed quota and keeps the tokens, so that a configuration change grants no new
    /// burst.
    pub(crate) fn reconfigure(&mut self, quota: TeamQuota, now: Duration) {
        self.refill(now);
        self.rate = f64::from(quota.rate);
        self.capacity = f64::from(quota.burst.max(1));
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Returns the time until a token is available: zero if one is, `None` if the rate is 0.
    pub(crate) fn time_until_token(&mut self, now: Duration) -> Option<Duration> {
        self.refill(now);
        if self.rate <= 0.0 {
            return None;
        }
        if self.tokens >= 1.0 {
            return Some(Duration::ZERO);
        }
        Some(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }

    pub(crate) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
