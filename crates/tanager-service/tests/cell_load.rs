//! Counts of what the owner of a cell does, and processor time by duty.

use std::hint::black_box;
use std::time::Duration;

use tanager_service::cell_load::CellLoad;
use tanager_service::cell_load::LoadCounts;
use tanager_service::cpu_time;
use tanager_service::cpu_time::CpuTimes;
use tanager_service::cpu_time::Duty;
use tanager_service::metrics::NodeMetrics;
use tanager_service::peers::CellResponse;

/// Guards against calls that are neither answered nor dropped, so that an owner that leaves calls
/// without an answer looks idle.
#[test]
fn abandoned_calls_count_as_dropped() {
    let load = CellLoad::default();
    let before = load.counts();
    load.begin_call().end(&CellResponse::Done);
    load.begin_call().end(&CellResponse::Uncertain);
    let refusal = CellResponse::Refused {
        retry_after: 1,
        overload: true,
        reason: String::new(),
        sender_wide: false,
    };
    load.begin_call().end(&refusal);
    drop(load.begin_call());
    let _in_progress = load.begin_call();
    let expected = LoadCounts {
        asked: 5,
        answered: 3,
        refused: 1,
        uncertain: 1,
        dropped: 1,
        ..LoadCounts::default()
    };
    assert_eq!(load.counts().since(&before), expected);
}

/// Guards against processor time that counts for another duty, and against waiting that counts as
/// processor time.
#[test]
fn processor_time_counts_for_its_duty() {
    let before = CpuTimes::read();
    let (sum, spent) = cpu_time::measure(Duty::Renewals, || {
        (0..2_000_000u64).fold(0, |sum, number| black_box(sum) ^ black_box(number))
    });
    black_box(sum);
    let after = CpuTimes::read();
    let counted = after
        .of(Duty::Renewals)
        .saturating_sub(before.of(Duty::Renewals));
    assert!(spent > Duration::ZERO);
    assert_eq!(counted, spent);
    assert!(after.process.saturating_sub(before.process) >= spent);
    let pause = Duration::from_millis(200);
    let ((), spent) = cpu_time::measure(Duty::Admission, || std::thread::sleep(pause));
    assert!(spent < pause / 2, "{spent:?}");
}

/// Guards against a duty that the metrics omit.
#[test]
fn metrics_have_each_duty() {
    let text = NodeMetrics::new().render();
    for duty in Duty::ALL {
        let line = format!("tanager_cpu_seconds_total{{duty=\"{}\"}} ", duty.name());
        assert!(text.contains(&line), "{line} in {text}");
    }
    assert!(
        text.contains("tanager_process_cpu_seconds_total "),
        "{text}"
    );
}
