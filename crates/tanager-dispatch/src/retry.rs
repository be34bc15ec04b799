//! Retry budget of a pool.

use std::time::Duration;

const BUCKETS: usize = 10;
const BUCKET: Duration = Duration::from_secs(1);

/// Counts requests and retries over the last 10 s.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    requests: [u64; BUCKETS],
    retries: [u64; BUCKETS],
    newest: u64,
}

impl RetryBudget {
    pub(crate) fn record_request(&mut self, now: Duration) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Takes one retry if that keeps retries within one per `requests_per_retry` requests.
    pub(crate) fn try_retry(&mut self, now: Duration, requests_per_retry: u64) -> bool {
        let index = self.advance(now);
        let requests: u64 = self.requests.iter().sum();
        let retries: u64 = self.retries.iter().sum();
        if (retries + 1).saturating_mul(requests_per_retry) > requests {
            return false;
        }
        self.retries[index] += 1;
        true
    }

    fn advance(&mut self, now: Duration) -> usize {
        let current = now.as_secs() / BUCKET.as_secs();
        let passed = current.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..passed {
            let index = bucket_index(current - step);
            self.requests[index] = 0;
            self.retries[index] = 0;
        }
        self.newest = self.newest.max(current);
        bucket_index(self.newest)
    }
}

fn bucket_index(second: u64) -> usize {
    usize::try_from(second % BUCKETS as u64).unwrap_or(0)
}
