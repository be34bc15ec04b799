//! Timing of lease renewals under lost and slow replies.

use std::time::Duration;

use tanager_schedule::renewal_timing::RenewalTiming;
use tanager_schedule::renewal_timing::WorkerActivity;
use tanager_schedule::worker::CONTACT_LIMIT;

/// Slack that a short job has beside its work: `target_latency` of the queues with short tasks.
const JOB_SLACK: Duration = Duration::from_millis(600);

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

/// Guards against a lost reply that alone makes a job late: its ends must be known within the slack.
#[test]
fn lost_reply_costs_less_than_the_slack_of_a_job() {
    let mut timing = RenewalTiming::default();
    let wait = RenewalTiming::wait(WorkerActivity::Busy);
    for _ in 0..100 {
        timing.record_reply(wait, wait + millis(10));
    }
    let unheard = timing.timeout(wait) + timing.record_failure();
    assert!(unheard <= JOB_SLACK, "{unheard:?}");
}

/// Guards against idle workers that get no tasks because their renewals are too rare.
#[test]
fn idle_worker_stays_in_contact() {
    let timing = RenewalTiming::default();
    let wait = RenewalTiming::wait(WorkerActivity::Idle);
    assert!(timing.timeout(wait) < CONTACT_LIMIT);
}

/// Guards against a worker on a slow connection that is taken for lost: replies that take up to
/// 700 ms arrived in time before, and must do so after some failures.
#[test]
fn time_limit_adapts_to_a_slow_connection() {
    let mut timing = RenewalTiming::default();
    let wait = RenewalTiming::wait(WorkerActivity::Busy);
    let reply = wait + millis(700);
    let mut failures = 0;
    while timing.timeout(wait) < reply {
        timing.record_failure();
        failures += 1;
        assert!(
            failures < 4,
            "the limit stays at {:?}",
            timing.timeout(wait)
        );
    }
    for _ in 0..20 {
        timing.record_reply(wait, reply);
    }
    assert!(timing.timeout(wait) >= reply, "learned from the replies");
}

/// Guards against a limit that stays high after the connection has recovered.
#[test]
fn time_limit_recovers() {
    let mut timing = RenewalTiming::default();
    let wait = RenewalTiming::wait(WorkerActivity::Busy);
    for _ in 0..5 {
        timing.record_failure();
    }
    for _ in 0..100 {
        timing.record_reply(wait, wait + millis(10));
    }
    assert!(timing.timeout(wait) <= JOB_SLACK);
}

/// Guards against a worker with thousands of small tasks that lists them all forty times a second, and against a worker with
/// a usual number of tasks that is heard less often than before.
#[test]
fn period_grows_with_the_listed_runs() {
    let smallest = Duration::from_millis(25);
    let period = |listed| RenewalTiming::period(smallest, listed, false);
    assert_eq!([0, 20, 255].map(period), [smallest; 3]);
    assert_eq!(period(256), 2 * smallest);
    assert_eq!(period(3_166), 12 * smallest);
    assert_eq!(period(100_000), Duration::from_millis(300));
    assert_eq!(RenewalTiming::period(smallest, 100_000, true), smallest);
}
