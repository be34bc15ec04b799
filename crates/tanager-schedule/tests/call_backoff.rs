//! Pauses between repeats of a call. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::call_backoff::FIRST_PAUSE;
use tanager_schedule::call_backoff::MAX_PAUSE;
use tanager_schedule::call_backoff::repeat_pause;

/// Time limit of a repeated call to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time within which a cancellation must take effect in calm, the least of the deployments.
const EFFECT_LIMIT: Duration = Duration::from_secs(4);

/// Guards against an overloaded owner that is asked at a fixed pace for as long as it does not answer.
#[test]
fn pauses_grow_to_a_maximum() {
    let pauses: Vec<Duration> = (1..20)
        .map(|attempt| repeat_pause(attempt, None, 0.5))
        .collect();
    assert_eq!(pauses[0], FIRST_PAUSE);
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses[10], MAX_PAUSE);
    assert_eq!(repeat_pause(u32::MAX, None, 0.5), MAX_PAUSE);
}

/// Guards against a cancellation that is repeated too late after calm returns, whatever the owner asked for.
#[test]
fn longest_pause_and_its_call_fit_into_the_limit() {
    let longest = repeat_pause(30, Some(Duration::from_secs(60)), 1.0);
    assert!(longest + CALL_TIMEOUT < EFFECT_LIMIT, "{longest:?}");
}

/// Guards against repeats sooner than the owner asked for.
#[test]
fn retry_after_of_the_owner_extends_the_pause() {
    let asked = Duration::from_millis(1_500);
    assert_eq!(repeat_pause(1, Some(asked), 0.5), asked);
}

/// Guards against repeats of many cancellations that stay in step.
#[test]
fn pauses_are_spread() {
    let (least, most) = (repeat_pause(1, None, 0.0), repeat_pause(1, None, 1.0));
    assert!(
        most - least >= FIRST_PAUSE.mul_f64(0.4),
        "{least:?} to {most:?}"
    );
}
