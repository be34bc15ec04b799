//! Orders to a worker that wait to be sent.
//!
//! Load: thousands of small tasks start, or are stopped, at once. A call in flight holds some kilobytes for its
//! request, its response and its timers, an order that waits some hundred bytes. So a worker has a fixed
//! number of senders, each with one call in flight, however many orders wait.

use std::collections::VecDeque;

/// Orders that wait, and how many senders take them.
#[derive(Debug)]
pub struct OrderQueue<Order> {
    waiting: VecDeque<Order>,
    senders: usize,
    max_senders: usize,
}

impl<Order> OrderQueue<Order> {
    /// Creates a queue with at most `max_senders` senders.
    pub fn new(max_senders: usize) -> Self {
        Self {
            waiting: VecDeque::new(),
            senders: 0,
            max_senders,
        }
    }

    /// Adds an order. Returns whether the caller must start a sender, which takes orders with
    /// [`Self::take`] until there are none.
    #[must_use]
    pub fn push(&mut self, order: Order) -> bool {
        self.waiting.push_back(order);
        let needs_sender = self.senders < self.max_senders;
        self.senders += usize::from(needs_sender);
        needs_sender
    }

    /// Takes the next order for a sender; `None` ends the sender.
    pub fn take(&mut self) -> Option<Order> {
        let order = self.waiting.pop_front();
        if order.is_none() {
            self.senders = self.senders.saturating_sub(1);
            // What a burst took is not kept.
            self.waiting.shrink_to_fit();
        }
        order
    }

    /// Returns the number of orders that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no order waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
