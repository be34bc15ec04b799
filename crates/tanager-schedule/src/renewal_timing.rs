//! Timing of lease renewals, which also report the ends of runs.
//!
//! A worker delays its reply until a run ends, at most for the requested wait. If the reply is lost,
//! the ends on that worker stay unknown until the renewal times out: its cores look busy, and steps
//! that wait for these ends do not start. Load: a surge in which one call in twenty is lost. With a
//! wait of 500 ms and a time limit of 700 ms beyond it, a worker that is renewed ten times a second
//! was unheard for more than a third of the time.

use std::time::Duration;

/// Wait on a worker with short tasks. Their ends make it reply earlier in any case, so a short wait
/// costs few additional renewals.
const BUSY_WAIT: Duration = Duration::from_millis(250);
/// Wait on a worker with best-effort tasks; bounds the age of the usage by which they are paced.
const PACED_WAIT: Duration = Duration::from_millis(500);
/// Wait on a worker where no end is expected. Together with [`MIN_MARGIN`] it is below the time after which a
/// worker without contact gets no tasks.
const IDLE_WAIT: Duration = Duration::from_millis(1_000);
/// Minimum time limit beyond the wait. A reply takes a few milliseconds; a node that has used up its
/// processor share may read it a tenth of a second later.
const MIN_MARGIN: Duration = Duration::from_millis(250);
/// Maximum time limit beyond the wait.
const MAX_MARGIN: Duration = Duration::from_millis(1_000);
/// Time limit beyond the wait as a multiple of the smoothed delay of replies.
const MARGIN_FACTOR: u32 = 4;
/// Number of listed runs from which the pause before the next renewal grows: by as much again for each further ones.
const RUNS_PER_PAUSE: usize = 256;
/// Maximum pause because of the runs that a worker lists. Together with the wait and the margin it is below the time
/// after which a worker without contact gets no tasks.
const MAX_LISTING_PAUSE: Duration = Duration::from_millis(300);
/// Weight of a new sample of the delay is one over this.
const DELAY_SMOOTHING: u32 = 8;
/// Pause after the second and later failures in a row; a single lost reply needs none.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);

/// What runs on a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WorkerActivity {
    /// Nothing, or long-running tasks only.
    #[default]
    Idle,
    /// Best-effort tasks, which may have to be paced, but no short ones.
    Paced,
    /// Tasks that end by themselves.
    Busy,
}

/// Timing of the renewals of one worker.
#[derive(Clone, Debug, Default)]
pub struct RenewalTiming {
    /// Smoothed time from the end of the wait to the reply.
    delay: Duration,
    /// Failures since the last reply.
    failures: u32,
}

impl RenewalTiming {
    /// Returns how long the worker may delay its reply.
    pub fn wait(activity: WorkerActivity) -> Duration {
        match activity {
            WorkerActivity::Idle => IDLE_WAIT,
            WorkerActivity::Paced => PACED_WAIT,
            WorkerActivity::Busy => BUSY_WAIT,
        }
    }

    /// Returns the minimum time from a renewal to the next one, given that of a small report. Each report lists all runs of
    /// its worker, so one with thousands of small tasks would take the worker and the owner all their time. With
    /// ends that may be followed by more, the next report does not wait longer.
    pub fn period(smallest: Duration, listed_runs: usize, omits_ends: bool) -> Duration {
        if omits_ends {
            return smallest;
        }
        let pauses = u32::try_from(listed_runs / RUNS_PER_PAUSE).unwrap_or(u32::MAX);
        let longest = MAX_LISTING_PAUSE.max(smallest);
        (smallest.saturating_mul(pauses.saturating_add(1))).min(longest)
    }

    /// Returns the time limit of a renewal with this wait. The part beyond the wait doubles with
    /// each failure, so that a slow connection does not fail for ever.
    pub fn timeout(&self, wait: Duration) -> Duration {
        let margin = (self.delay * MARGIN_FACTOR).max(MIN_MARGIN);
        wait + margin
            .saturating_mul(2u32.saturating_pow(self.failures.min(8)))
            .min(MAX_MARGIN)
    }

    /// Records a reply that arrived `elapsed` after a renewal with this wait was sent.
    pub fn record_reply(&mut self, wait: Duration, elapsed: Duration) {
        self.failures = 0;
        // A reply before the end of the wait says nothing about the connection.
        if elapsed >= wait {
            let sample = elapsed - wait;
            self.delay = (self.delay * (DELAY_SMOOTHING - 1) + sample) / DELAY_SMOOTHING;
        }
    }

    /// Records a renewal without a reply; returns the pause before the next one.
    pub fn record_failure(&mut self) -> Duration {
        self.failures += 1;
        match self.failures {
            1 => Duration::ZERO,
            _ => FAILURE_PAUSE,
        }
    }

    /// Returns the number of failures since the last reply.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
