//! Age of calls between nodes. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::call_deadline::has_expired;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against work for a caller that has given up, and against refusing one that waits.
#[test]
fn call_expires_with_its_callers_wait() {
    assert!(!has_expired(ms(1_700), ms(0), ms(1_000)));
    assert!(!has_expired(ms(1_700), ms(600), ms(1_000)));
    assert!(has_expired(ms(1_700), ms(700), ms(1_000)));
    assert!(has_expired(ms(450), ms(0), ms(900)));
}
