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
    /// What is known about the store.
    pub store: StoreEvidence,
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
pub fn may_extend_leases(evidence: &OwnershipEvidence, limit: Duration) -> bool {
    is_confirmed(evidence, limit) || is_unavailable_to_all(evidence)
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
/// read of the owner rows.
///
/// A heartbeat alone proves nothing after a gap: a node that was turned away writes heartbeats again
/// before it learns that its cells have other owners.
pub fn is_confirmed(evidence: &OwnershipEvidence, limit: Duration) -> bool {
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
