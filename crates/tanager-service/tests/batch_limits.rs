//! Size of the ledger's transactions.

use std::time::Duration;

use tanager_service::batch_limits::BatchLimits;
use tanager_service::transfer_time::transfer_time;
use tanager_site::store::MAX_BYTES;
use tanager_site::store::MAX_ENTRIES;

/// Bytes of one progress row of a step with hundreds of tasks.
const LARGE_ROW: usize = 20_000;

/// Guards against a surge whose progress rows exceed the size of a transaction.
#[test]
fn rows_of_a_surge_fit_into_a_transaction() {
    let mut room = BatchLimits::for_link(None).room(3, 40_000);
    let added = (0..200).take_while(|_| room.add(LARGE_ROW)).count();
    assert_eq!(added, (MAX_BYTES - 40_000) / LARGE_ROW);
    let mut room = BatchLimits::for_link(None).room(3, 100);
    let added = (0..200).take_while(|_| room.add(100)).count();
    assert_eq!(added, MAX_ENTRIES - 3);
}

/// Guards against a cell that never stores a row because the limits became too small for it.
#[test]
fn rejected_transactions_shrink_to_one_row_and_grow_again() {
    let mut limits = BatchLimits::for_link(None);
    for _ in 0..30 {
        limits.shrink();
    }
    let mut room = limits.room(3, 40_000);
    assert!(room.add(LARGE_ROW));
    assert!(!room.add(1));
    for _ in 0..30 {
        limits.grow();
    }
    assert_eq!(limits, BatchLimits::for_link(None));
}

/// Guards against a transaction that a slow link does not carry within the time limit of its call, so that
/// the cell stores nothing any more.
#[test]
fn transactions_of_a_slow_link_are_small() {
    for megabits in [2.0, 10.0] {
        let rate = megabits * 1e6 / 8.0;
        let limits = BatchLimits::for_link(Some(rate));
        let mut room = limits.room(3, 0);
        let bytes: usize = (0..200)
            .take_while(|_| room.add(LARGE_ROW))
            .map(|_| LARGE_ROW)
            .sum();
        assert!(bytes > 0);
        let time = transfer_time(bytes, Some(rate));
        assert!(time <= Duration::from_millis(200), "{time:?} at {megabits}");
        let mut grown = limits;
        grown.shrink();
        for _ in 0..30 {
            grown.grow();
        }
        assert_eq!(grown, limits);
    }
    let fast = BatchLimits::for_link(Some(200e6 / 8.0));
    assert_eq!(fast, BatchLimits::for_link(None));
}
