//! Age of a call between nodes when its receiver begins it, and whether its caller still waits.
//!
//! Answers the load of an owner that falls behind: a call whose caller has given up costs as much
//! as any other one, and its caller repeats it, so that the overload outlives its cause.

use std::time::Duration;

/// Number of samples of which the largest one counts, so that calls that were read just after a
/// stall are still known to be late.
const HELD_SAMPLES: usize = 2;

/// Lag of an event loop, measured by the overshoot of a periodic timer.
///
/// All tasks of a node run on one thread, so a call waits in its socket for about as long as the
/// timer of a periodic task waits beyond its time.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerLag {
    overshoots: [Duration; HELD_SAMPLES],
    next: usize,
    /// Time at which the timer should fire; `None` before the first sample.
    due: Option<Duration>,
}

impl TimerLag {
    /// Records that the timer fired at `now`, and that it should fire again at `due`.
    pub fn record(&mut self, now: Duration, due: Duration) {
        if let Some(expected) = self.due.replace(due) {
            self.overshoots[self.next] = now.saturating_sub(expected);
            self.next = (self.next + 1) % HELD_SAMPLES;
        }
    }

    /// Returns the lag at `now`. It grows while the timer is overdue.
    pub fn lag(&self, now: Duration) -> Duration {
        let overdue = self
            .due
            .map_or(Duration::ZERO, |due| now.saturating_sub(due));
        self.overshoots.iter().copied().fold(overdue, Duration::max)
    }
}

/// Returns whether the caller has given up: it waited for `remaining` when it sent the call, which
/// was read `since_read` ago by a node whose event loop lags by `lag`.
pub fn has_expired(remaining: Duration, since_read: Duration, lag: Duration) -> bool {
    since_read + lag >= remaining
}
