//! Learned durations of many queues.

use std::time::Duration;

use tanager_schedule::durations::DurationTable;
use tanager_schedule::durations::MAX_QUEUES;

const ESTIMATE: Duration = Duration::from_millis(500);
const MEASURED: Duration = Duration::from_millis(200);

/// Guards against a table that grows with each queue that ever had a job, and against forgetting the queues
/// in use.
#[test]
fn queues_that_were_not_used_for_longest_are_forgotten() {
    let mut table = DurationTable::default();
    for number in 0..MAX_QUEUES * 3 {
        table.record(&format!("queue-{number}"), ESTIMATE, MEASURED);
        table.record("in-use", ESTIMATE, MEASURED);
    }
    let learned = table.learned();
    assert!((MAX_QUEUES / 2..=MAX_QUEUES).contains(&learned.len()));
    assert_eq!(learned[0].0, "in-use");
    assert!(table.contains(&format!("queue-{}", MAX_QUEUES * 3 - 1)));
    assert!(!table.contains("queue-0"));
}
