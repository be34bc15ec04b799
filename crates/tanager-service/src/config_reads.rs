//! When the operator's table was read, which decides whether keys are accepted.

use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

/// Time since the start of the last read from which requests wait for the next one. A version that was
/// stored before this time must be in force, within 2 s. Reads start every 0.5 s, so this happens
/// after a suspension of the process or while each read takes long.
const STALL_LIMIT: Duration = Duration::from_millis(1_900);
/// Maximum time for which a request waits for a read. A read takes some milliseconds, and up to half a
/// second while the store is slow.
const STALL_WAIT: Duration = Duration::from_millis(500);

/// Reads of the operator's table.
#[derive(Debug)]
pub struct ConfigReads {
    times: watch::Sender<ReadTimes>,
    /// Asks for a read now.
    pub(crate) requested: Notify,
}

/// Starts of the last reads that have ended, and what is in force.
#[derive(Clone, Copy, Debug, Default)]
struct ReadTimes {
    /// Last read.
    attempted_at: Option<Duration>,
    /// Last successful read.
    verified_at: Option<Duration>,
    /// Version of the configuration in force.
    version: Option<u64>,
}

impl Default for ConfigReads {
    fn default() -> Self {
        Self {
            times: watch::Sender::new(ReadTimes::default()),
            requested: Notify::new(),
        }
    }
}

impl ConfigReads {
    /// Records the result of a read that began at `started`.
    pub fn record(&self, started: Duration, is_successful: bool) {
        self.times.send_modify(|times| {
            // A read of a peer that answers this one may be older than the last one of this node.
            times.attempted_at = times.attempted_at.max(Some(started));
            if is_successful {
                times.verified_at = times.verified_at.max(Some(started));
            }
        });
    }

    /// Records the version of a configuration that is in force now.
    pub fn record_version(&self, version: u64) {
        self.times
            .send_modify(|times| times.version = Some(version));
    }

    /// Returns the version of the configuration in force; `None` if there is none yet.
    pub fn version(&self) -> Option<u64> {
        self.times.borrow().version
    }

    /// Returns the time since the start of the last successful read; `None` before the first one. A
    /// configuration that the store acknowledged before that start is in force here.
    pub fn verified_age(&self, now: Duration) -> Option<Duration> {
        let verified_at = self.times.borrow().verified_at;
        verified_at.map(|started| now.saturating_sub(started))
    }

    /// Returns whether no read that began recently has ended, as after a suspension of the process.
    pub fn is_stalled(&self, now: Duration) -> bool {
        let attempted_at = self.times.borrow().attempted_at;
        attempted_at.is_some_and(|started| now.saturating_sub(started) > STALL_LIMIT)
    }

    /// Requests a read now, and waits until one that began at `since` or later has ended.
    pub(crate) async fn read_since(&self, since: Duration) {
        self.requested.notify_one();
        let mut times = self.times.subscribe();
        let has_read = |times: &ReadTimes| times.attempted_at.is_some_and(|at| at >= since);
        // The sender lives as long as `self`.
        let _ = time::timeout(STALL_WAIT, times.wait_for(has_read)).await;
    }
}
