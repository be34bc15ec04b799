//! The clock of a node's process.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Measures time since the start of the process and reads the time of day.
///
/// It uses `CLOCK_BOOTTIME`, which, unlike the monotonic clock, also counts the time for which the
/// VM was suspended: a node that resumes must detect that its ownership and leases are outdated.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Duration,
}

impl NodeClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }

    /// Returns the time of day in milliseconds since 1970.
    pub fn wall_ms(&self) -> u64 {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis() as u64)
    }
}

fn boot_time() -> Duration {
    // The clock exists on Linux since 2.6.39. On an error, all times would be equal.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
