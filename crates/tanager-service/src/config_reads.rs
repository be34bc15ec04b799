//! When the operator's table was read, which decides whether keys are accepted.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use crate::peer_versions::PeerVersions;
use crate::peer_versions::VersionInForce;

/// Time since the start of the last read from which requests wait for the next one. A version that was
/// stored before this time must be in force, within 2 s. Reads start every 0.5 s, so this happens
/// after a suspension of the process or while each read takes long.
const STALL_LIMIT: Duration = Duration::from_millis(1_900);
/// Maximum time for which a request waits for a read. A read takes some milliseconds, and up to half a
/// second while the store is slow.
const STALL_WAIT: Duration = Duration::from_millis(500);

/// Reads of the operator's table, and what other nodes have read.
#[derive(Debug)]
pub struct ConfigReads {
    times: watch::Sender<ReadTimes>,
    peers: Mutex<PeerVersions>,
    /// Whether requests were refused last because this node is behind.
    is_behind: AtomicBool,
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
    /// Version of the configuration in force, and the time since which it is.
    version: Option<(u64, Duration)>,
}

impl Default for ConfigReads {
    fn default() -> Self {
        Self {
            times: watch::Sender::new(ReadTimes::default()),
            peers: Mutex::default(),
            is_behind: AtomicBool::new(false),
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

    /// Records the version of a configuration that is in force from now on.
    pub fn record_version(&self, version: u64, now: Duration) {
        self.times
            .send_modify(|times| times.version = Some((version, now)));
        self.peers().take(version);
    }

    /// Returns the version of the configuration in force; `None` if there is none yet.
    pub fn version(&self) -> Option<u64> {
        self.times.borrow().version.map(|(version, _)| version)
    }

    /// Returns what this node tells others about the configuration in force.
    pub(crate) fn in_force(&self, now: Duration) -> Option<VersionInForce> {
        let (version, since) = self.times.borrow().version?;
        let age = now.saturating_sub(since);
        Some(VersionInForce { version, age })
    }

    /// Records what another node has in force. The first time that a version is heard of, the table is
    /// read at once.
    pub(crate) fn record_peer(&self, peer: VersionInForce, now: Duration) {
        let is_newer = self.version().is_none_or(|version| peer.version > version);
        if is_newer && self.peers().record(peer, now) {
            self.requested.notify_one();
        }
    }

    /// Returns whether this node must not serve by its configuration, because others have had a newer one for
    /// so long that it must be in force here, within `limit` after the store acknowledged it.
    pub(crate) fn is_behind(&self, now: Duration, limit: Duration) -> bool {
        let overdue = self.peers().overdue(now, limit);
        let is_behind = overdue.is_some();
        if self.is_behind.swap(is_behind, Ordering::Relaxed) != is_behind {
            let version = self.version();
            match overdue {
                Some(peer) => log::warn!(
                    "event=config_behind refuses=true version={version:?} newer={} age={:?} verified={:?}",
                    peer.version,
                    peer.age,
                    self.verified_age(now)
                ),
                None => log::info!("event=config_behind refuses=false version={version:?}"),
            }
        }
        is_behind
    }

    fn peers(&self) -> MutexGuard<'_, PeerVersions> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
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
