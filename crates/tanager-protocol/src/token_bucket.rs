//! Token bucket that limits or measures a rate.

use std::time::Duration;

/// Token bucket: holds at most `capacity` tokens and gains `rate` tokens per second.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    tokens: f64,
    updated: Duration,
}

impl TokenBucket {
    /// Creates a full bucket. `rate` is in tokens per second.
    pub fn new(rate: f64, capacity: f64, now: Duration) -> Self {
        Self {
            rate,
            capacity,
            tokens: capacity,
            updated: now,
        }
    }

    /// Changes rate and capacity and keeps the tokens, so that a configuration change grants no new
    /// burst.
    pub fn reconfigure(&mut self, rate: f64, capacity: f64, now: Duration) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.tokens = self.tokens.min(capacity);
    }

    /// Returns the time until a token is available: zero if one is, `None` if the rate is 0.
    pub fn time_until_token(&mut self, now: Duration) -> Option<Duration> {
        self.refill(now);
        if self.rate <= 0.0 {
            return None;
        }
        if self.tokens >= 1.0 {
            return Some(Duration::ZERO);
        }
        Some(Duration::from_secs_f64((1.0 - self.tokens) / self.rate))
    }

    /// Takes a token. The caller has checked that one is available.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}
