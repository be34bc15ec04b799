//! Age of calls between nodes. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::call_deadline::TimerLag;
use tanager_schedule::call_deadline::has_expired;

const PERIOD: Duration = Duration::from_millis(100);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against a node that takes its own punctual calls for late ones.
#[test]
fn punctual_timer_has_no_lag() {
    let mut lag = TimerLag::default();
    assert_eq!(lag.lag(ms(5_000)), Duration::ZERO);
    for round in 1..10 {
        let now = PERIOD * round;
        lag.record(now, now + PERIOD);
        assert_eq!(lag.lag(now + ms(50)), Duration::ZERO);
    }
}

/// Guards against calls that are begun during a stall before the timer can fire.
#[test]
fn lag_grows_while_the_timer_is_overdue() {
    let mut lag = TimerLag::default();
    lag.record(ms(100), ms(200));
    assert_eq!(lag.lag(ms(1_500)), ms(1_300));
}

/// Guards against calls that waited during a stall and are begun after the timer has fired.
#[test]
fn lag_is_held_after_a_stall_and_then_forgotten() {
    let mut lag = TimerLag::default();
    lag.record(ms(100), ms(200));
    lag.record(ms(1_400), ms(1_500));
    assert_eq!(lag.lag(ms(1_450)), ms(1_200));
    lag.record(ms(1_500), ms(1_600));
    lag.record(ms(1_600), ms(1_700));
    assert_eq!(lag.lag(ms(1_650)), Duration::ZERO);
}

/// Guards against work for a caller that has given up, and against refusing one that waits.
#[test]
fn call_expires_with_its_callers_wait() {
    assert!(!has_expired(ms(1_700), ms(0), ms(1_000)));
    assert!(!has_expired(ms(1_700), ms(600), ms(1_000)));
    assert!(has_expired(ms(1_700), ms(700), ms(1_000)));
    assert!(has_expired(ms(450), ms(0), ms(900)));
}
