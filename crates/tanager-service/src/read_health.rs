//! Whether the state that was read from a table of the store is current, and when that is worth a log
//! line.

use std::time::Duration;

/// Age from which a state is reported as stale: the shortest time within which a new configuration must
/// be in force.
pub const STALE_AGE: Duration = Duration::from_secs(2);
/// Time between reports about a state that remains stale.
pub const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// A report about the state that was read from a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthReport {
    /// Reads have failed for so long that the state is stale. It is repeated while that lasts.
    Stale(Outage),
    /// A read succeeded after the state was reported as stale.
    Current(Outage),
}

/// Reads of a table that failed in a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    /// Time since the start of the first of them. Changes that the store committed since then may be
    /// missing.
    pub age: Duration,
    /// Their number.
    pub failures: u32,
}

/// Results of the reads of a table.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadHealth {
    /// Start of the first read that failed since the last successful one.
    failing_since: Option<Duration>,
    failures: u32,
    reported_at: Option<Duration>,
}

impl ReadHealth {
    /// Records a read that began at `started` and ended at `now`, and returns a report if one is due.
    pub fn record(
        &mut self,
        started: Duration,
        now: Duration,
        is_successful: bool,
    ) -> Option<HealthReport> {
        let failing_since = self.failing_since.unwrap_or(started);
        let age = now.saturating_sub(failing_since);
        if is_successful {
            let failures = self.failures;
            let was_reported = self.reported_at.is_some();
            *self = Self::default();
            return was_reported.then_some(HealthReport::Current(Outage { age, failures }));
        }
        self.failing_since = Some(failing_since);
        self.failures += 1;
        let is_due = match self.reported_at {
            None => age >= STALE_AGE,
            Some(reported_at) => now.saturating_sub(reported_at) >= REPORT_PERIOD,
        };
        if !is_due {
            return None;
        }
        self.reported_at = Some(now);
        let failures = self.failures;
        Some(HealthReport::Stale(Outage { age, failures }))
    }
}
