//! How often the decisions of a cell run. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::decision_timing::decision_delay;

#[test]
fn decisions_after_a_quiet_time_are_not_delayed() {
    let now = Duration::from_secs(1);
    assert_eq!(decision_delay(None, now), Duration::ZERO);
    let last = now - Duration::from_millis(10);
    assert_eq!(decision_delay(Some(last), now), Duration::ZERO);
}

#[test]
fn requests_in_quick_succession_cause_no_round_each() {
    let mut now = Duration::ZERO;
    let (mut last_run, mut due, mut rounds) = (None, None, 0);
    // 5,000 requests a second, for one second.
    for _ in 0..5_000 {
        now += Duration::from_micros(200);
        if due.is_some_and(|due| now >= due) {
            rounds += 1;
            (last_run, due) = (Some(now), None);
        }
        due = due.or_else(|| Some(now + decision_delay(last_run, now)));
    }
    // A few milliseconds between rounds leave at most 250 of them.
    assert!((100..=250).contains(&rounds), "{rounds} rounds");
}
