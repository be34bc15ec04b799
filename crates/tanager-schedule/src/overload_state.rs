//! Decides whether the owner of a cell is overloaded, from what it did in each period of about a
//! second.

use std::time::Duration;

/// Lag of the owner's loop from which it counts as overloaded: half the time limit of an order to a
/// worker, above which answers that arrived in time are taken for missing ones.
pub const OVERLOAD_LAG: Duration = Duration::from_millis(200);
/// Lag below which a period counts as calm. An idle loop lags by a few milliseconds.
pub const CALM_LAG: Duration = Duration::from_millis(50);
/// Number of calls left without an answer in one period from which the owner counts as overloaded. A
/// few callers give up for reasons of their own.
pub const OVERLOAD_DROPS: u64 = 10;
/// Number of calm periods in a row after which the overload has ended, so that a pause between two
/// bursts does not end it.
pub const CALM_PERIODS: u32 = 3;

/// What an owner did in a period.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnerPeriod {
    /// Largest lag of its loop.
    pub lag: Duration,
    /// Number of calls that it began.
    pub asked: u64,
    /// Number of calls that it answered.
    pub answered: u64,
    /// Number of calls that it left without an answer.
    pub dropped: u64,
}

/// Begin or end of an overload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OverloadChange {
    /// The owner is overloaded from now on.
    Begun,
    /// The owner is no longer overloaded.
    Ended {
        /// Time since the begin.
        lasted: Duration,
    },
}

/// Whether an owner is overloaded.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverloadState {
    since: Option<Duration>,
    calm_periods: u32,
}

impl OverloadState {
    /// Returns whether the owner is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.since.is_some()
    }

    /// Takes a period that ended at `now` and returns the change that it brings.
    pub fn observe(&mut self, period: &OwnerPeriod, now: Duration) -> Option<OverloadChange> {
        let is_overloaded = period.lag >= OVERLOAD_LAG || period.dropped >= OVERLOAD_DROPS;
        let is_calm = period.lag < CALM_LAG && period.dropped == 0;
        self.calm_periods = match is_calm {
            true => self.calm_periods + 1,
            false => 0,
        };
        match self.since {
            None if is_overloaded => {
                self.since = Some(now);
                Some(OverloadChange::Begun)
            }
            Some(since) if self.calm_periods >= CALM_PERIODS => {
                self.since = None;
                let lasted = now.saturating_sub(since);
                Some(OverloadChange::Ended { lasted })
            }
            _ => None,
        }
    }
}
