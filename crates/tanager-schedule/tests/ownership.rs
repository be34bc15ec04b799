//! What an owner whose ownership is uncertain may do. Each test names the failure that it guards
//! against.

use std::time::Duration;

use tanager_schedule::ownership;
use tanager_schedule::ownership::OwnershipConfirmations;
use tanager_schedule::ownership::OwnershipEvidence;
use tanager_schedule::ownership::StoreEvidence;
use tanager_schedule::recovery::FormerOwner;

/// Time for which a new owner expects a former one to extend leases.
const LEASE_LIMIT: Duration = Duration::from_millis(4_000);

fn evidence(heartbeat_ms: u64, read_ms: u64, unserved_relays: usize) -> OwnershipEvidence {
    OwnershipEvidence {
        heartbeat_age: Some(Duration::from_millis(heartbeat_ms)),
        owner_read_age: Some(Duration::from_millis(read_ms)),
        has_unread_gap: false,
        store: StoreEvidence {
            is_direct_failing: true,
            relays: 6,
            unserved_relays,
            unserved_time: Duration::ZERO,
        },
    }
}

/// Guards against two owners that extend leases (TWICE): the store may turn away the owner and some
/// of its relays while others take the cell over.
#[test]
fn one_relay_that_is_not_served_extends_no_leases() {
    for unserved_relays in 0..6 {
        let evidence = evidence(4_001, 4_001, unserved_relays);
        assert!(!ownership::may_extend_leases(&evidence, LEASE_LIMIT));
        assert!(!ownership::may_start_runs(&evidence));
    }
}

/// Guards against accepted work that ends because the store is away for long for all nodes.
#[test]
fn outage_for_all_keeps_leases_and_starts() {
    let mut evidence = evidence(60_000, 59_500, 6);
    evidence.store.unserved_time = Duration::from_millis(58_500);
    assert!(ownership::may_extend_leases(&evidence, LEASE_LIMIT));
    assert!(ownership::may_start_runs(&evidence));
}

/// Guards against a slow owner that was replaced before the outage began and that extends leases
/// and starts runs in it (TWICE).
#[test]
fn outage_keeps_nothing_that_was_uncertain_before() {
    let mut evidence = evidence(60_000, 59_500, 6);
    evidence.store.unserved_time = Duration::from_millis(57_000);
    assert!(!ownership::may_extend_leases(&evidence, LEASE_LIMIT));
    assert!(!ownership::may_start_runs(&evidence));
}

/// Guards against an owner without relays that takes its own failing calls for an outage for all.
#[test]
fn node_without_relays_proves_no_outage() {
    let mut evidence = evidence(4_001, 4_001, 0);
    evidence.store.relays = 0;
    assert!(!ownership::may_extend_leases(&evidence, LEASE_LIMIT));
}

/// Guards against an earlier outage that counts while the store serves this node again.
#[test]
fn served_node_relies_on_its_own_confirmations() {
    let mut evidence = evidence(4_001, 4_001, 6);
    evidence.store.is_direct_failing = false;
    assert!(!ownership::may_extend_leases(&evidence, LEASE_LIMIT));
}

/// Guards against a former owner that was turned away, writes heartbeats again and extends leases
/// before it has read that its cells have other owners (TWICE).
#[test]
fn heartbeat_after_a_gap_does_not_confirm_the_ownership() {
    let before_read = evidence(10, 9_000, 0);
    assert!(!ownership::may_extend_leases(&before_read, LEASE_LIMIT));
    assert!(!ownership::may_start_runs(&before_read));
    let after_read = evidence(500, 10, 0);
    assert!(ownership::may_extend_leases(&after_read, LEASE_LIMIT));
    assert!(ownership::may_start_runs(&after_read));
}

/// Returns the evidence of a node at `now_ms` whose heartbeats and reads of the owner rows were sent at
/// these times, in milliseconds, and confirmed 10 ms later.
fn evidence_at(heartbeats: &[u64], reads: &[u64], now_ms: u64) -> OwnershipEvidence {
    let mut confirmations = OwnershipConfirmations::default();
    for sent_ms in heartbeats {
        let sent_at = Duration::from_millis(*sent_ms);
        confirmations.record_heartbeat(sent_at, sent_at + Duration::from_millis(10));
    }
    for sent_ms in reads {
        confirmations.record_owner_read(Duration::from_millis(*sent_ms));
    }
    confirmations.evidence(StoreEvidence::default(), Duration::from_millis(now_ms))
}

/// Guards against a former owner that stood still for less than the age up to which a read of the
/// owner rows counts, writes a heartbeat and starts runs before it reads them again (TWICE).
#[test]
fn owner_read_from_before_a_gap_does_not_confirm_the_ownership() {
    let before_gap = evidence_at(&[1_000], &[1_990], 3_590);
    assert!(ownership::may_start_runs(&before_gap));
    // The last heartbeat is 3.2 s old, so another node may have acquired the cells.
    let after_gap = evidence_at(&[1_000, 4_200], &[1_990], 4_215);
    assert!(!ownership::may_start_runs(&after_gap));
    // This read may have been served before the heartbeat that kept other nodes away.
    let before_confirmation = evidence_at(&[1_000, 4_200], &[1_990, 4_205], 4_220);
    assert!(!ownership::may_start_runs(&before_confirmation));
    let after_read = evidence_at(&[1_000, 4_200], &[1_990, 4_205, 4_210], 4_225);
    assert!(ownership::may_start_runs(&after_read));
}

/// Guards against an outage that lets a former owner extend leases for as long as it lasts because
/// one heartbeat after a gap was confirmed before it (TWICE).
#[test]
fn outage_after_a_gap_keeps_nothing() {
    let mut evidence = evidence_at(&[1_000, 4_200], &[1_990], 60_000);
    evidence.store = StoreEvidence {
        is_direct_failing: true,
        relays: 6,
        unserved_relays: 6,
        unserved_time: Duration::from_millis(55_700),
    };
    assert!(!ownership::may_extend_leases(&evidence, LEASE_LIMIT));
    assert!(!ownership::may_start_runs(&evidence));
}

/// Guards against accepted work that ends because of a gap that a new owner allows for.
#[test]
fn owner_after_a_gap_extends_leases_within_their_limit() {
    let evidence = evidence_at(&[1_000, 4_200], &[1_990], 4_215);
    assert!(ownership::may_extend_leases(&evidence, LEASE_LIMIT));
}

/// Guards against an owner that stops starting runs beside slow heartbeats, though none is overdue.
#[test]
fn slow_heartbeats_without_a_gap_need_no_further_read() {
    let evidence = evidence_at(&[1_000, 3_500], &[1_990], 3_520);
    assert!(ownership::may_start_runs(&evidence));
}

/// Guards against a start of a task that the next owner has adopted on another worker (TWICE): an
/// owner that may have been replaced extends leases for a while, but starts nothing.
#[test]
fn owner_that_may_be_replaced_starts_nothing() {
    let evidence = evidence(2_601, 100, 0);
    assert!(ownership::may_extend_leases(&evidence, LEASE_LIMIT));
    assert!(!ownership::may_start_runs(&evidence));
}

/// Guards against a node that has not written a heartbeat yet and extends leases.
#[test]
fn unconfirmed_node_may_do_nothing() {
    let evidence = OwnershipEvidence::default();
    assert!(!ownership::may_extend_leases(&evidence, LEASE_LIMIT));
    assert!(!ownership::may_start_runs(&evidence));
}

/// Guards against a takeover that does not wait for the leases of an unresponsive owner because
/// another owner released the cell, or ended, soon after it had acquired it (TWICE).
#[test]
fn end_of_an_owner_says_nothing_about_its_predecessor() {
    let cases = [
        (true, false, FormerOwner::Inactive),
        (true, true, FormerOwner::Unresponsive),
        (false, false, FormerOwner::Unresponsive),
        (false, true, FormerOwner::Unresponsive),
    ];
    for (has_ended, awaits_predecessor, expected) in cases {
        let found = ownership::former_owner(has_ended, awaits_predecessor);
        assert_eq!(found, expected, "{has_ended} {awaits_predecessor}");
    }
}
