//! Limits log lines about events of which there can be hundreds a second.

use std::time::Duration;

/// Period of [`LineBudget`].
const PERIOD: Duration = Duration::from_secs(1);
/// Lines in a period.
const LINES_PER_PERIOD: u32 = 20;

/// Limits the lines about one kind of event: those beyond the budget of a second are counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    period_end: Duration,
    used: u32,
    omitted: u64,
}

impl LineBudget {
    /// Takes a line from the budget. Returns the number of lines omitted since the last one, or
    /// `None` if the budget of this second is used up.
    pub fn take(&mut self, now: Duration) -> Option<u64> {
        if now >= self.period_end {
            self.period_end = now + PERIOD;
            self.used = 0;
        }
        if self.used >= LINES_PER_PERIOD {
            self.omitted += 1;
            return None;
        }
        self.used += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}
