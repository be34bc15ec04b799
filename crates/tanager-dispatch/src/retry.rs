//! Retry budget of a pool.

use std::time::Duration;

const BUCKET_COUNT: usize = 10;
const BUCKET_LENGTH: Duration = Duration::from_secs(1);

/// Counts requests and retries over the last 10 s.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetryBudget {
    requests: [u64; BUCKET_COUNT],
    retries: [u64; BUCKET_COUNT],
    newest_bucket: u64,
}

impl RetryBudget {
    pub(crate) fn record_request(&mut self, now: Duration) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Records a retry and returns `true` if that keeps retries within one per `requests_per_retry`
    /// requests.
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
        let current = now.as_secs() / BUCKET_LENGTH.as_secs();
        let elapsed = current
            .saturating_sub(self.newest_bucket)
            .min(BUCKET_COUNT as u64);
        for step in 0..elapsed {
            let index = bucket_index(current - step);
            self.requests[index] = 0;
            self.retries[index] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(current);
        bucket_index(self.newest_bucket)
    }
}

fn bucket_index(second: u64) -> usize {
    usize::try_from(second % BUCKET_COUNT as u64).unwrap_or(0)
}
