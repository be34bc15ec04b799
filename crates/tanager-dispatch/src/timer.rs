//! Deadlines of requests, with lazy removal.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::action::RequestKey;

/// Heap of deadlines. An entry of a request that has ended is dropped when it is met.
#[derive(Debug, Default)]
pub(crate) struct DeadlineHeap {
    heap: BinaryHeap<Reverse<(Duration, RequestKey)>>,
}

impl DeadlineHeap {
    pub(crate) fn push(&mut self, when: Duration, key: RequestKey) {
        self.heap.push(Reverse((when, key)));
    }

    /// Takes the earliest entry that is due at `now`.
    pub(crate) fn pop_due(&mut self, now: Duration) -> Option<RequestKey> {
        let Reverse((when, _)) = self.heap.peek()?;
        if *when > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, key))| key)
    }

    pub(crate) fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((when, _))| *when)
    }

    /// Drops entries of ended requests: at the top always, elsewhere once they are the majority,
    /// which keeps the cost per cancelled request constant on average.
    pub(crate) fn prune(&mut self, live: usize, is_live: impl Fn(RequestKey) -> bool) {
        while let Some(Reverse((_, key))) = self.heap.peek() {
            if is_live(*key) {
                break;
            }
            self.heap.pop();
        }
        // A live request has at most two entries per attempt and three for its queue and claim.
        if self.heap.len() > 16 * live + 64 {
            self.heap.retain(|Reverse((_, key))| is_live(*key));
        }
    }
}
