//! Decides what an owner may do whose ownership of a cell is uncertain, and what a new owner must
//! assume of the former ones. Pure functions without I/O.

use std::time::Duration;

use crate::recovery::FormerOwner;

/// What a node knows about the availability of the store to itself and to its relays, the peers
/// through which it sends calls while its own ones fail.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreEvidence {
    /// Whether the last direct call failed.
    pub is_direct_failing: bool,
    /// Number of relays.
    pub relays: usize,
    /// Number of relays that responded lately that the store does not serve them, and through which
    /// no call has succeeded since.
    pub unserved_relays: usize,
    /// Time for which none of these relays has been served.
    pub unserved_time: Duration,
}

/// How recently an owner was certain to own its cells.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnershipEvidence {
    /// Time since the last heartbeat was sent that the store confirmed; `None` before the first.
    pub heartbeat_age: Option<Duration>,
    /// Time since the last successful read of the owner rows was sent; `None` before the first.
    pub owner_read_age: Option<Duration>,
    /// Whether the heartbeats had a gap in which another node may have acquired a cell, and the owner
    /// rows have not been read since.
    pub has_unread_gap: bool,
    /// What is known about the store.
    pub store: StoreEvidence,
}

/// When a node's ownership was last confirmed, by the clock of its process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OwnershipConfirmations {
    /// Time at which the last confirmed heartbeat was sent.
    heartbeat: Option<Duration>,
    /// Time at which the last successful read of the owner rows was sent.
    owner_read: Option<Duration>,
    /// Time at which the heartbeat that ended the last gap was confirmed.
    gap_end: Option<Duration>,
}

impl OwnershipConfirmations {
    /// Records a heartbeat that was sent at `sent_at` and confirmed at `confirmed_at`; returns whether
    /// it ended a gap, so that the owner rows have to be read again.
    ///
    /// Before a confirmation within [`NODE_DEATH_TIMEOUT`] of the previous heartbeat, no node can have
    /// seen the time out. A later one says nothing about the rows that were read before it.
    pub fn record_heartbeat(&mut self, sent_at: Duration, confirmed_at: Duration) -> bool {
        let previous = self.heartbeat.replace(sent_at);
        let ends_gap = previous
            .is_some_and(|previous| confirmed_at.saturating_sub(previous) >= NODE_DEATH_TIMEOUT);
        if ends_gap {
            self.gap_end = Some(confirmed_at);
        }
        ends_gap
    }

    /// Records a successful read of the owner rows that was sent at `sent_at`.
    pub fn record_owner_read(&mut self, sent_at: Duration) {
        self.owner_read = Some(sent_at);
    }

    /// Returns the time since the last confirmed heartbeat was sent; `None` before the first.
    pub fn heartbeat_age(&self, now: Duration) -> Option<Duration> {
        self.heartbeat.map(|sent_at| now.saturating_sub(sent_at))
    }

    /// Returns how recently the ownership was certain.
    pub fn evidence(&self, store: StoreEvidence, now: Duration) -> OwnershipEvidence {
        OwnershipEvidence {
            heartbeat_age: self.heartbeat_age(now),
            owner_read_age: self.owner_read.map(|sent_at| now.saturating_sub(sent_at)),
            has_unread_gap: self
                .gap_end
                .is_some_and(|gap_end| self.owner_read < Some(gap_end)),
            store,
        }
    }
}

/// Silence of a node after which others acquire its cells.
pub const NODE_DEATH_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Returns whether an owner may extend leases. `limit` is the time for which a new owner expects a
/// former one to do so.
///
/// While the store serves no node, none can acquire a cell, so leases are extended for as long as
/// that lasts: accepted work goes on. One relay that is not served either does not prove it, and
/// neither does one that does not respond: the store may turn away a part of the nodes, and a
/// network partition may separate some of them, while it serves the others. The ownership must also
/// have been certain when the outage began: a slow owner may have been replaced before.
///
/// A gap between the heartbeats does not count within the limit: the owner rows were read before any
/// takeover in it, so the leases end within the time that the new owner expects.
pub fn may_extend_leases(evidence: &OwnershipEvidence, limit: Duration) -> bool {
    is_recent(evidence, limit) || is_unavailable_to_all(evidence)
}

/// Returns whether an owner may start runs.
///
/// The limit is [`NODE_DEATH_TIMEOUT`], shorter than that of [`may_extend_leases`]. A new owner waits
/// for the leases of the former one, but it may already have adopted a run that the former one takes
/// for lost and would start again on a worker that the new owner has not reached.
pub fn may_start_runs(evidence: &OwnershipEvidence) -> bool {
    is_confirmed(evidence, NODE_DEATH_TIMEOUT) || is_unavailable_to_all(evidence)
}

/// Determines what is known about the former owners of a cell: `has_ended` tells whether the last
/// one released the cell or its process has ended, `awaits_predecessor` whether that one acquired
/// the cell from an unresponsive owner and may not have outlasted its leases.
///
/// An owner that ends soon after it acquired the cell says nothing about its predecessor, which may
/// still extend leases on workers that neither of its successors reaches.
pub fn former_owner(has_ended: bool, awaits_predecessor: bool) -> FormerOwner {
    match has_ended && !awaits_predecessor {
        true => FormerOwner::Inactive,
        false => FormerOwner::Unresponsive,
    }
}

/// Returns whether the ownership was confirmed within the last `limit`: by a heartbeat, and by a
/// read of the owner rows that no gap between the heartbeats followed.
///
/// A heartbeat alone proves nothing after a gap: a node that was turned away writes heartbeats again
/// before it learns that its cells have other owners.
pub fn is_confirmed(evidence: &OwnershipEvidence, limit: Duration) -> bool {
    is_recent(evidence, limit) && !evidence.has_unread_gap
}

fn is_recent(evidence: &OwnershipEvidence, limit: Duration) -> bool {
    let is_recent = |age: Option<Duration>| age.is_some_and(|age| age <= limit);
    is_recent(evidence.heartbeat_age) && is_recent(evidence.owner_read_age)
}

/// Returns whether the store serves no node, so that no cell can be acquired, and none of the cells
/// was acquired before that.
fn is_unavailable_to_all(evidence: &OwnershipEvidence) -> bool {
    let store = &evidence.store;
    store.is_direct_failing
        && store.relays > 0
        && store.unserved_relays >= store.relays
        && is_confirmed(evidence, NODE_DEATH_TIMEOUT + store.unserved_time)
}
