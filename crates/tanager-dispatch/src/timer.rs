//! Deadlines of requests, with lazy removal.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::action::RequestKey;

/// Heap of deadlines. Entries of ended requests are removed when they reach the top.
#[derive(Debug, Default)]
pub(crate) struct DeadlineHeap {
    heap: BinaryHeap<Reverse<(Duration, RequestKey)>>,
}

impl DeadlineHeap {
    pub(crate) fn push(&mut self, when: Duration, key: RequestKey) {
        self.heap.push(Reverse((when, key)));
    }

    /// Removes the earliest entry if it is due at `now`, and returns its request.
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

    /// Removes entries of ended requests: always at the top, elsewhere once they are the majority,
    /// so that a cancelled request takes amortised constant time.
    pub(crate) fn prune(&mut self, open_requests: usize, is_open: impl Fn(RequestKey) -> bool) {
        while let Some(Reverse((_, key))) = self.heap.peek() {
            if is_open(*key) {
                break;
            }
            self.heap.pop();
        }
        // An open request has at most two entries per attempt and three for its queue and claim.
        if self.heap.len() > 16 * open_requests + 64 {
            self.heap.retain(|Reverse((_, key))| is_open(*key));
        }
    }
}
