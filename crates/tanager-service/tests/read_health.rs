//! When reads of a table that fail are reported.

use std::time::Duration;

use tanager_service::read_health::HealthReport;
use tanager_service::read_health::Outage;
use tanager_service::read_health::REPORT_PERIOD;
use tanager_service::read_health::ReadHealth;
use tanager_service::read_health::STALE_AGE;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Guards against a table that is not read for minutes without a line in the log, and against a line
/// for each of its failed reads.
#[test]
fn failing_reads_are_reported_once_stale_and_then_at_intervals() {
    let mut health = ReadHealth::default();
    let mut reports = Vec::new();
    for number in 0..24 {
        let started = seconds(10.0 + f64::from(number) * 0.5);
        let ended = started + seconds(0.5);
        if let Some(report) = health.record(started, ended, false) {
            reports.push((ended, report));
        }
    }
    let first = seconds(10.0) + STALE_AGE;
    let stale = |ended: Duration| {
        let age = ended - seconds(10.0);
        let failures = (age.as_secs_f64() / 0.5) as u32;
        (ended, HealthReport::Stale(Outage { age, failures }))
    };
    let expected = [0, 1].map(|repeat| stale(first + REPORT_PERIOD * repeat));
    assert_eq!(reports[..2], expected);
    assert_eq!(reports.len(), 3);
    let outage = Outage {
        age: seconds(13.0),
        failures: 24,
    };
    let report = health.record(seconds(22.0), seconds(23.0), true);
    assert_eq!(report, Some(HealthReport::Current(outage)));
    assert_eq!(health.record(seconds(23.5), seconds(23.6), true), None);
}

/// Guards against reports about single failures, and about a table that is read rarely.
#[test]
fn single_failures_are_not_reported() {
    let mut health = ReadHealth::default();
    for number in 0..50 {
        let started = seconds(f64::from(number) * 7.0);
        let is_successful = number % 2 == 1;
        let report = health.record(started, started + seconds(0.8), is_successful);
        assert_eq!(report, None, "read {number}");
    }
}
