//! When a node repeats a call to the owner of a cell that may be repeated: a question, which changes
//! nothing, or a cancellation, which changes nothing more the second time.
//!
//! Answers the load of an owner that stands still for up to some seconds, is replaced, or no longer
//! reads from a connection. The call is repeated for as long as its caller waits, also while the
//! first one has no answer.

use std::time::Duration;

/// Time without an answer after which the owner is called a second time. The first call may have been
/// sent on a connection that went silent, or to a node that lost the cell.
const REPEAT_AFTER: Duration = Duration::from_millis(600);
/// Calls in flight at the same time.
const MAX_IN_FLIGHT: usize = 2;
/// Pause after a failed call; it doubles with each one up to [`MAX_PAUSE`]. A handover takes a few tens
/// of milliseconds.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStep {
    /// Call the owner.
    Call {
        /// Whether another call is in flight, so that this one needs a connection of its own.
        is_repeat: bool,
    },
    /// Wait for the end of a call, at most until this time if there is one.
    Wait(Option<Duration>),
    /// The caller does not wait any longer.
    GiveUp,
}

/// Calls of one request. All times are on one clock.
#[derive(Clone, Debug)]
pub struct CallAttempts {
    deadline: Duration,
    /// Time from which the next call may be sent.
    next_call: Duration,
    in_flight: usize,
    calls: u32,
    failures: u32,
}

impl CallAttempts {
    /// Creates the state of a request whose caller waits until `deadline`.
    pub fn new(now: Duration, deadline: Duration) -> Self {
        Self {
            deadline,
            next_call: now,
            in_flight: 0,
            calls: 0,
            failures: 0,
        }
    }

    /// Returns what to do next. [`CallStep::Call`] counts as sent. There is always one call.
    pub fn next_step(&mut self, now: Duration) -> CallStep {
        let is_due = now >= self.next_call && self.in_flight < MAX_IN_FLIGHT;
        if self.calls == 0 || (is_due && now < self.deadline) {
            let is_repeat = self.in_flight > 0;
            self.in_flight += 1;
            self.calls += 1;
            self.next_call = now + REPEAT_AFTER;
            return CallStep::Call { is_repeat };
        }
        match self.in_flight {
            0 if now >= self.deadline => CallStep::GiveUp,
            0 => CallStep::Wait(Some(self.next_call.min(self.deadline))),
            1 if self.next_call < self.deadline => CallStep::Wait(Some(self.next_call)),
            // The calls in flight have time limits.
            _ => CallStep::Wait(None),
        }
    }

    /// Records that a call ended without an answer.
    pub fn record_failure(&mut self, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let factor = 1u32 << self.failures.min(8);
        self.failures = self.failures.saturating_add(1);
        self.next_call = now + FIRST_PAUSE.saturating_mul(factor).min(MAX_PAUSE);
    }

    /// Allows the next call now.
    pub fn end_pause(&mut self, now: Duration) {
        self.next_call = self.next_call.min(now);
    }

    /// Returns the number of calls.
    pub fn calls(&self) -> u32 {
        self.calls
    }
}
