//! Ejection of failing workers and their trial requests.

use std::time::Duration;

/// Consecutive failures that eject a worker.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Number of latest outcomes that determine the failure rate.
const OUTCOME_WINDOW: u32 = 20;
/// Least difference between the failure rate of an ejected worker and the first quartile of its
/// pool's rates. Requests that fail on all workers are no evidence against one of them.
const FAILURE_RATE_MARGIN: f64 = 0.25;

/// Service state of a worker.
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
    /// One bit per outcome in the window, set for a failure; the latest is the lowest bit.
    failure_bits: u32,
    outcome_count: u32,
    consecutive_failures: u32,
    ejection_count: u32,
}

impl EjectionState {
    pub(crate) fn new() -> Self {
        Self {
            phase: EjectionPhase::InService,
            failure_bits: 0,
            outcome_count: 0,
            consecutive_failures: 0,
            ejection_count: 0,
        }
    }

    pub(crate) fn is_out_of_service(&self) -> bool {
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
            // The request was sent before the ejection, so its outcome is no new evidence.
            EjectionPhase::Ejected { .. } => return false,
            EjectionPhase::InService => {}
        }
        let mask = (1 << OUTCOME_WINDOW) - 1;
        self.failure_bits = ((self.failure_bits << 1) | u32::from(!success)) & mask;
        self.outcome_count = (self.outcome_count + 1).min(OUTCOME_WINDOW);
        self.consecutive_failures = if success {
            0
        } else {
            self.consecutive_failures + 1
        };
        if self.outcome_count == OUTCOME_WINDOW && self.failure_bits == 0 {
            // A full window of successes resets the doubling of the ejection time.
            self.ejection_count = 0;
        }
        false
    }

    /// Failure rate over the window; 0 without outcomes.
    pub(crate) fn failure_rate(&self) -> f64 {
        f64::from(self.failure_bits.count_ones()) / f64::from(self.outcome_count.max(1))
    }

    /// Whether the outcomes justify an ejection, given the failure rates of the pool's workers.
    pub(crate) fn should_eject(&self, mut pool_rates: Vec<f64>) -> bool {
        let rate = self.failure_rate();
        let is_mostly_failing = self.outcome_count == OUTCOME_WINDOW && rate > 0.5;
        if self.is_out_of_service()
            || (self.consecutive_failures < CONSECUTIVE_FAILURES && !is_mostly_failing)
        {
            return false;
        }
        pool_rates.sort_by(f64::total_cmp);
        let first_quartile = pool_rates.get(pool_rates.len() / 4).copied();
        rate >= first_quartile.unwrap_or(0.0) + FAILURE_RATE_MARGIN
    }

    pub(crate) fn eject(&mut self, now: Duration, base: Duration, limit: Duration) {
        let time = base
            .saturating_mul(1 << self.ejection_count.min(16))
            .min(limit);
        self.ejection_count += 1;
        self.consecutive_failures = 0;
        self.failure_bits = 0;
        self.outcome_count = 0;
        self.phase = EjectionPhase::Ejected { until: now + time };
    }

    /// End of the ejection, or `None` when in service or on trial.
    pub(crate) fn ejected_until(&self) -> Option<Duration> {
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
            ejection_count: self.ejection_count,
            ..Self::new()
        };
    }

    /// Returns a worker to the ejected state when its trial request was cancelled or never sent.
    pub(crate) fn abandon_trial(&mut self, now: Duration) {
        if self.phase == EjectionPhase::Trial {
            self.phase = EjectionPhase::Ejected { until: now };
        }
    }
}
