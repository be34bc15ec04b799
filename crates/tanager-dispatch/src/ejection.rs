//! Ejection of failing workers and their trial requests.

use std::time::Duration;

/// Consecutive failures that eject a worker.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Outcomes over which the success rate is taken.
const WINDOW: u32 = 20;
/// A worker is ejected only if its failure rate exceeds that of the better quarter of its pool by
/// this much. Requests that fail everywhere say nothing about one worker.
const RATE_MARGIN: f64 = 0.25;

/// Whether a worker is in service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EjectionPhase {
    InService,
    Ejected { until: Duration },
    Trial,
}

/// Recent outcomes of one worker and its ejection.
#[derive(Clone, Debug)]
pub(crate) struct EjectionState {
    phase: EjectionPhase,
    outcomes: u32,
    count: u32,
    consecutive: u32,
    ejections: u32,
}

impl EjectionState {
    pub(crate) fn new() -> Self {
        Self {
            phase: EjectionPhase::InService,
            outcomes: 0,
            count: 0,
            consecutive: 0,
            ejections: 0,
        }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.phase != EjectionPhase::InService
    }

    /// Records an outcome. Returns whether the worker has just returned to service.
    pub(crate) fn record(
        &mut self,
        success: bool,
        now: Duration,
        base: Duration,
        limit: Duration,
    ) -> bool {
        match self.phase {
            EjectionPhase::Trial if success => {
                self.readmit();
                return true;
            }
            EjectionPhase::Trial => {
                self.eject(now, base, limit);
                return false;
            }
            // Work sent before the ejection says nothing new.
            EjectionPhase::Ejected { .. } => return false,
            EjectionPhase::InService => {}
        }
        let mask = (1 << WINDOW) - 1;
        self.outcomes = ((self.outcomes << 1) | u32::from(!success)) & mask;
        self.count = (self.count + 1).min(WINDOW);
        self.consecutive = if success { 0 } else { self.consecutive + 1 };
        if self.count == WINDOW && self.outcomes == 0 {
            // A full window of successes ends the doubling.
            self.ejections = 0;
        }
        false
    }

    /// Failure rate over the window; 0 without outcomes.
    pub(crate) fn failure_rate(&self) -> f64 {
        f64::from(self.outcomes.count_ones()) / f64::from(self.count.max(1))
    }

    /// Whether the outcomes call for an ejection, given the failure rates of the pool's workers.
    pub(crate) fn should_eject(&self, mut pool_rates: Vec<f64>) -> bool {
        let rate = self.failure_rate();
        let low_success = self.count == WINDOW && rate > 0.5;
        if self.is_out() || (self.consecutive < CONSECUTIVE_FAILURES && !low_success) {
            return false;
        }
        pool_rates.sort_by(f64::total_cmp);
        let better = pool_rates.get(pool_rates.len() / 4).copied();
        rate >= better.unwrap_or(0.0) + RATE_MARGIN
    }

    pub(crate) fn eject(&mut self, now: Duration, base: Duration, limit: Duration) {
        let time = base.saturating_mul(1 << self.ejections.min(16)).min(limit);
        self.ejections += 1;
        self.consecutive = 0;
        self.outcomes = 0;
        self.count = 0;
        self.phase = EjectionPhase::Ejected { until: now + time };
    }

    /// End of the ejection, or `None` when in service or on trial.
    pub(crate) fn until(&self) -> Option<Duration> {
        match self.phase {
            EjectionPhase::Ejected { until } => Some(until),
            EjectionPhase::InService | EjectionPhase::Trial => None,
        }
    }

    /// Whether a trial request may be sent now.
    pub(crate) fn trial_due(&self, now: Duration) -> bool {
        matches!(self.phase, EjectionPhase::Ejected { until } if until <= now)
    }

    pub(crate) fn start_trial(&mut self) {
        self.phase = EjectionPhase::Trial;
    }

    /// Returns the worker to service without a trial.
    pub(crate) fn readmit(&mut self) {
        *self = Self {
            ejections: self.ejections,
            ..Self::new()
        };
    }

    /// Returns an unanswered trial (cancelled or never sent) to the ejected state.
    pub(crate) fn abandon_trial(&mut self, now: Duration) {
        if self.phase == EjectionPhase::Trial {
            self.phase = EjectionPhase::Ejected { until: now };
        }
    }
}
