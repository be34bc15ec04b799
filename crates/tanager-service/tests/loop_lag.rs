//! Lag of the loop of a node.

use std::time::Duration;

use tanager_service::loop_lag::LagHistory;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Samples that are due every 50 ms from 50 ms on, with their lags.
fn history(lags: &[u64]) -> (LagHistory, Duration) {
    let mut history = LagHistory::default();
    let mut now = Duration::ZERO;
    for lag in lags {
        let due = now + ms(50);
        history.begin(due);
        now = due + ms(*lag);
        assert_eq!(history.end(now), ms(*lag));
    }
    (history, now)
}

macro_rules! lag_cases {
    ($($(#[$note:meta])* $case:ident: $lags:expr, since $since:expr, after $after:expr => $lag:expr;)*) => {
        $($(#[$note])*
        #[test]
        fn $case() {
            let (mut history, end) = history(&$lags);
            history.begin(end + ms(50));
            assert_eq!(history.largest_since(ms($since), end + ms($after)), ms($lag));
        })*
    };
}

lag_cases! {
    /// Guards against a lag that the next short sample hides.
    largest_lag_counts: [3, 400, 2], since 0, after 10 => 400;
    /// Guards against a call that is excused by a lag before it began.
    lag_before_the_time_does_not_count: [400, 2, 3], since 451, after 10 => 3;
    /// Guards against a call that is excused by the whole of a lag of which it saw only the end.
    lag_counts_from_the_time_on: [400], since 440, after 10 => 10;
    /// Guards against a lag that is not seen because the sampler has not run yet.
    lag_in_progress_counts: [3], since 0, after 350 => 300;
}

/// Guards against a history that grows, or that forgets lags within the time limit of a call.
#[test]
fn old_samples_are_removed() {
    let mut lags = vec![700];
    lags.extend([0; 40]);
    let (mut history, now) = history(&lags);
    assert_eq!(history.largest_since(ms(0), now), ms(700));
    history.begin(now + ms(50));
    history.end(now + ms(6_000));
    history.begin(now + ms(6_050));
    assert_eq!(history.largest_since(ms(0), now + ms(6_010)), ms(5_950));
    history.end(now + ms(12_000));
    assert_eq!(history.largest_since(ms(0), now + ms(12_000)), ms(5_950));
    history.begin(now + ms(12_050));
    history.end(now + ms(17_100));
    assert_eq!(history.largest_since(ms(0), now + ms(17_100)), ms(5_050));
}

/// Guards against a node that takes its own punctual calls for late ones.
#[test]
fn punctual_loop_has_no_recent_lag() {
    assert_eq!(LagHistory::default().recent(ms(5_000)), Duration::ZERO);
    let (mut history, end) = history(&[0; 9]);
    history.begin(end + ms(50));
    assert_eq!(history.recent(end + ms(50)), Duration::ZERO);
}

/// Guards against calls that are begun during a stall before the sample can end.
#[test]
fn recent_lag_grows_while_the_sample_is_overdue() {
    let mut history = LagHistory::default();
    history.begin(ms(200));
    assert_eq!(history.recent(ms(1_500)), ms(1_300));
}

/// Guards against calls that waited during a stall and are begun after the sample has ended.
#[test]
fn recent_lag_is_held_after_a_stall_and_then_forgotten() {
    let (mut history, end) = history(&[1_200]);
    history.begin(end + ms(50));
    assert_eq!(history.recent(end + ms(50)), ms(1_200));
    for due in [50, 100, 150] {
        history.end(end + ms(due));
        history.begin(end + ms(due + 50));
    }
    assert_eq!(history.recent(end + ms(200)), Duration::ZERO);
}
