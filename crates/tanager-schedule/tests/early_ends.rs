//! Owners of a cell that end soon after they acquired it.

use std::time::Duration;

use tanager_schedule::early_ends::EARLY_TIME;
use tanager_schedule::early_ends::FormerOwnership;
use tanager_schedule::early_ends::TOLERATED_ENDS;
use tanager_schedule::early_ends::may_reacquire_at_once;

fn former(early_ends: u32, age: Duration) -> FormerOwnership {
    FormerOwnership {
        early_ends,
        is_released: false,
        age,
    }
}

/// Guards against a cell that ends its owners for good without anybody noticing.
#[test]
fn early_ends_in_a_row_are_counted() {
    let mut early_ends = 0;
    for expected in 1..=5 {
        early_ends = former(early_ends, Duration::from_millis(400)).early_ends();
        assert_eq!(early_ends, expected);
        assert_eq!(
            may_reacquire_at_once(early_ends),
            early_ends < TOLERATED_ENDS
        );
    }
    assert_eq!(former(u32::MAX, Duration::ZERO).early_ends(), u32::MAX);
}

/// Guards against ordinary takeovers that are treated as a circle of ends.
#[test]
fn long_ownerships_and_releases_end_a_row() {
    assert_eq!(former(7, EARLY_TIME).early_ends(), 0);
    let released = FormerOwnership {
        is_released: true,
        ..former(7, Duration::ZERO)
    };
    assert_eq!(released.early_ends(), 0);
}
