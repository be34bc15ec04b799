//! How often a node reads the state of jobs from the store.
//!
//! Answers the load of a silent owner that many clients ask about: the store serves a number of reads a
//! second to all nodes together, and those by which nodes learn of owners, workers and
//! configurations must not fail because of questions.

use std::time::Duration;

/// Part of the store's reads that questions may take, of all nodes together.
const SHARE: f64 = 0.1;
/// Time in which an unused budget accumulates.
const BURST: Duration = Duration::from_secs(1);

/// Budget of reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadBudget {
    available: f64,
    updated: Duration,
}

impl ReadBudget {
    /// Creates a full budget at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            available: f64::INFINITY,
            updated: now,
        }
    }

    /// Takes `reads` from the budget; returns false, and takes none, if it does not have them. The store
    /// serves `rate` reads a second to `nodes` nodes. One question is always within a full budget.
    pub fn take(&mut self, reads: u32, rate: f64, nodes: usize, now: Duration) -> bool {
        let own_rate = rate * SHARE / nodes.max(1) as f64;
        let reads = f64::from(reads);
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let capacity = (own_rate * BURST.as_secs_f64()).max(reads);
        self.available = (self.available + elapsed * own_rate).min(capacity);
        self.updated = now;
        if self.available < reads {
            return false;
        }
        self.available -= reads;
        true
    }
}
