//! Ejection of a worker on which runs fail in a row, and its way back.
//!
//! Load: a worker that fails all that it starts would use up the attempts of one job after the
//! other. It gets no starts for some time, then one run at a time as a trial. Runs that began before
//! the last failure do not show whether a new one would fail, so they neither pass the trial nor take
//! its place: a long-running one never ends.

use std::time::Duration;

/// Number of failures in a row after which a worker is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubles with each further failure.
const INITIAL_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(20);
/// Pause after a failure or the start of a trial before an ejected worker may get a task that no other
/// worker can hold. Users count a job as lost that has nothing running for 3 s.
pub const LAST_RESORT_PAUSE: Duration = Duration::from_secs(2);
/// Time after which a long-running run, which has no end that could pass a trial, passes it.
pub const TRIAL_TIME: Duration = Duration::from_secs(2);

/// Which starts a worker gets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerStanding {
    /// Any.
    Sound,
    /// One, as a trial.
    Trial,
    /// One, and only of a task that no better worker could hold even if it were idle.
    LastResort,
    /// None for now; time alone ends this.
    Excluded,
}

/// Failures in a row on a worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureStreak {
    failures: u32,
    last_failure: Duration,
    ejected_until: Duration,
}

impl FailureStreak {
    /// Returns the number of failures since the last success.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a run that failed or stalled.
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        self.last_failure = now;
        let Some(excess) = self.failures.checked_sub(FAILURES_TO_EJECT) else {
            return;
        };
        let pause = INITIAL_EJECTION * 2u32.saturating_pow(excess.min(8));
        self.ejected_until = now + pause.min(MAX_EJECTION);
    }

    /// Records a run that succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns whether a run that was ordered at `ordered_at` would be a trial.
    pub fn is_trial(&self, ordered_at: Duration) -> bool {
        self.failures >= FAILURES_TO_EJECT && ordered_at >= self.last_failure
    }

    /// Returns which starts the worker gets, given when each of its runs was ordered.
    pub fn standing(
        &self,
        ordered_at: impl Iterator<Item = Duration>,
        now: Duration,
    ) -> WorkerStanding {
        if self.failures < FAILURES_TO_EJECT {
            return WorkerStanding::Sound;
        }
        let last_trial = ordered_at.filter(|at| self.is_trial(*at)).max();
        if last_trial.is_none() && now >= self.ejected_until {
            return WorkerStanding::Trial;
        }
        let quiet_since = last_trial.unwrap_or(self.last_failure);
        match now.saturating_sub(quiet_since) >= LAST_RESORT_PAUSE {
            true => WorkerStanding::LastResort,
            false => WorkerStanding::Excluded,
        }
    }
}
