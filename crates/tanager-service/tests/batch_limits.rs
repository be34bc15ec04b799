//! Size of the ledger's transactions.

use tanager_service::batch_limits::BatchLimits;
use tanager_site::store::MAX_BYTES;
use tanager_site::store::MAX_ENTRIES;

/// Bytes of one progress row of a step with hundreds of tasks.
const LARGE_ROW: usize = 20_000;

/// Guards against a surge whose progress rows exceed the size of a transaction.
#[test]
fn rows_of_a_surge_fit_into_a_transaction() {
    let mut room = BatchLimits::DOCUMENTED.room(3, 40_000);
    let added = (0..200).take_while(|_| room.add(LARGE_ROW)).count();
    assert_eq!(added, (MAX_BYTES - 40_000) / LARGE_ROW);
    let mut room = BatchLimits::DOCUMENTED.room(3, 100);
    let added = (0..200).take_while(|_| room.add(100)).count();
    assert_eq!(added, MAX_ENTRIES - 3);
}

/// Guards against a cell that never stores a row because the limits became too small for it.
#[test]
fn rejected_transactions_shrink_to_one_row_and_grow_again() {
    let mut limits = BatchLimits::DOCUMENTED;
    for _ in 0..30 {
        limits.shrink();
    }
    let mut room = limits.room(3, 40_000);
    assert!(room.add(LARGE_ROW));
    assert!(!room.add(1));
    for _ in 0..30 {
        limits.grow();
    }
    assert_eq!(limits, BatchLimits::DOCUMENTED);
}
