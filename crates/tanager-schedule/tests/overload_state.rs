//! Begin and end of an owner's overload.

use std::time::Duration;

use tanager_schedule::overload_state::OverloadChange;
use tanager_schedule::overload_state::OverloadState;
use tanager_schedule::overload_state::OwnerPeriod;

/// Observes one period a second, given by lag in milliseconds and dropped calls. Returns the changes
/// with their seconds.
fn changes(periods: &[(u64, u64)]) -> Vec<(u64, OverloadChange)> {
    let mut state = OverloadState::default();
    let observed = (1..).zip(periods).filter_map(|(second, &(lag, dropped))| {
        let period = OwnerPeriod {
            lag: Duration::from_millis(lag),
            asked: 100,
            answered: 100 - dropped,
            dropped,
        };
        let change = state.observe(&period, Duration::from_secs(second))?;
        Some((second, change))
    });
    observed.collect()
}

fn ended(seconds: u64) -> OverloadChange {
    let lasted = Duration::from_secs(seconds);
    OverloadChange::Ended { lasted }
}

macro_rules! overload_cases {
    ($($(#[$note:meta])* $case:ident: $periods:expr => $changes:expr;)*) => {
        $($(#[$note])*
        #[test]
        fn $case() {
            assert_eq!(changes(&$periods), $changes);
        })*
    };
}

overload_cases! {
    /// Guards against an overload that is not noticed because its calls are answered, late.
    lag_alone_is_an_overload: [(10, 0), (200, 0)] => [(2, OverloadChange::Begun)];
    /// Guards against an overload that is not noticed because the loop does not lag.
    dropped_calls_alone_are_an_overload: [(10, 0), (10, 10)] => [(2, OverloadChange::Begun)];
    /// Guards against a line for each caller that gives up.
    few_dropped_calls_are_no_overload: [(10, 9), (10, 9), (199, 0)] => [];
    /// Guards against begin and end lines for each pause of an overload.
    short_pauses_do_not_end_an_overload: [
        (500, 0), (10, 0), (10, 0), (500, 0), (10, 0), (10, 0), (60, 0), (10, 0),
    ] => [(1, OverloadChange::Begun)];
    /// Guards against an overload that never ends, or ends while calls are still dropped.
    calm_periods_end_an_overload: [
        (500, 0), (10, 0), (10, 1), (10, 0), (10, 0), (10, 0), (500, 0),
    ] => [(1, OverloadChange::Begun), (6, ended(5)), (7, OverloadChange::Begun)];
}
