//! Tests of the limit on log lines.

use std::time::Duration;

use tanager_service::line_budget::LineBudget;

/// Guards against a log that a silent owner fills with a line for each question, and against lines
/// that are left out without being counted.
#[test]
fn omitted_lines_are_counted_in_the_next_one() {
    let mut budget = LineBudget::default();
    let second = Duration::from_secs(1);
    let logged = (0..500).filter(|_| budget.take(second).is_some()).count();
    assert!((1..=50).contains(&logged), "{logged} lines in a second");
    assert_eq!(budget.take(second * 2), Some(500 - logged as u64));
    assert_eq!(budget.take(second * 2), Some(0));
}
