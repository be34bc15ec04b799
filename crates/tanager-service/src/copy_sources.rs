//! Which peers are asked for the operator's rows, and what their answers are worth.

use std::net::SocketAddr;
use std::time::Duration;

/// Age of a copy up to which it replaces a read of the store. Nodes that read the store every 0.5 s have such
/// copies; those of nodes that read copies themselves are mostly older.
pub const MAX_COPY_AGE: Duration = Duration::from_millis(700);
/// Age of a copy up to which its peer is taken to be reading the store, which takes seconds over a slow link. A
/// read that such a peer relayed would only delay its own.
const MAX_AWAITED_AGE: Duration = Duration::from_secs(4);
/// Maximum number of peers that are asked for one read.
const MAX_SOURCES: usize = 3;
/// Time for which the store is read after none of them had a current copy.
const FAILURE_PAUSE: Duration = Duration::from_secs(2);

/// What a copy is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyStatus {
    /// It replaces a read of the store.
    Current,
    /// The store is to be read for what is newer.
    Outdated,
    /// It is outdated, but the store does not serve this node, and the peer is reading it: the peer is to be
    /// asked again.
    Awaited,
}

impl CopyStatus {
    /// Returns the status of a copy whose peer has read the store this long ago. `is_relaying` says whether
    /// calls of this node are relayed.
    pub fn of(age: Duration, is_relaying: bool) -> Self {
        if age <= MAX_COPY_AGE {
            Self::Current
        } else if is_relaying && age <= MAX_AWAITED_AGE {
            Self::Awaited
        } else {
            Self::Outdated
        }
    }
}

/// Peers that had current copies, and those that had none.
#[derive(Debug, Default)]
pub struct CopySources {
    /// Peer that had a current copy last.
    current: Option<SocketAddr>,
    /// Number of peers that had none since then. The next ones are asked first.
    outdated: usize,
    paused_until: Duration,
}

impl CopySources {
    /// Returns whether the store is to be read without asking peers, because none had a current copy.
    pub fn is_paused(&self, now: Duration) -> bool {
        now < self.paused_until
    }

    /// Returns the peers to ask, in order.
    pub fn choose(&self, mut peers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        if !peers.is_empty() {
            let offset = self.outdated % peers.len();
            peers.rotate_left(offset);
        }
        peers.sort_by_key(|peer| Some(*peer) != self.current);
        peers.truncate(MAX_SOURCES);
        peers
    }

    /// Records that a peer had a current copy.
    pub fn record_current(&mut self, peer: SocketAddr) {
        self.current = Some(peer);
        self.outdated = 0;
    }

    /// Records that no peer of those chosen had a current copy. They are asked again at once only if the
    /// store does not serve this node.
    pub fn record_outdated(&mut self, is_relaying: bool, now: Duration) {
        self.current = None;
        self.outdated += MAX_SOURCES;
        if !is_relaying {
            self.paused_until = now + FAILURE_PAUSE;
        }
    }
}
