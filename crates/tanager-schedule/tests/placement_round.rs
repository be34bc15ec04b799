//! What a round of placement remembers. Each test names the failure that it guards against.

use tanager_jobs::ResourceAmount;
use tanager_schedule::placement_round::PlacementRound;
use tanager_schedule::placement_round::SkippedTasks;
use tanager_schedule::placement_round::StepNeed;

fn amount(cpu: u64, memory_mb: u64) -> ResourceAmount {
    ResourceAmount {
        cpu,
        memory_mb,
        gpu: 0,
    }
}

fn need(workspace: usize, cpu: u64, memory_mb: u64) -> StepNeed {
    StepNeed {
        workspace: Some(workspace),
        request: [cpu, memory_mb, 0],
        reserved: amount(cpu, memory_mb),
        idle: 3,
        is_gang: false,
        needs_advice: false,
    }
}

fn round() -> PlacementRound {
    let mut round = PlacementRound::default();
    round.begin(2, false);
    round
}

#[test]
fn smaller_request_is_checked_though_a_larger_one_was_refused() {
    let mut round = round();
    round.record_refusal(&need(0, 2_000, 100));
    assert!(round.skip_refused(&need(0, 2_000, 100)));
    assert!(round.skip_refused(&need(0, 3_000, 200)));
    assert!(!round.skip_refused(&need(0, 1_000, 100)));
    assert!(!round.skip_refused(&need(0, 3_000, 99)));
}

#[test]
fn refusal_of_one_workspace_does_not_refuse_another() {
    let mut round = round();
    round.record_refusal(&need(0, 2_000, 100));
    assert!(!round.skip_refused(&need(1, 2_000, 100)));
    let none = StepNeed {
        workspace: None,
        ..need(0, 2_000, 100)
    };
    assert!(!round.skip_refused(&none));
}

#[test]
fn gang_is_always_checked() {
    let mut round = round();
    let gang = StepNeed {
        is_gang: true,
        ..need(0, 2_000, 100)
    };
    round.record_refusal(&gang);
    assert!(!round.skip_refused(&need(0, 2_000, 100)));
    round.record_refusal(&need(0, 1_000, 100));
    assert!(!round.skip_refused(&gang));
}

#[test]
fn skipped_tasks_are_still_reported_as_wanted() {
    let mut round = round();
    round.record_refusal(&need(1, 1_000, 100));
    assert!(round.skip_refused(&need(1, 1_000, 100)));
    assert!(round.skip_refused(&need(1, 2_000, 100)));
    let expected = SkippedTasks {
        wanted: [9_000, 600, 0],
        largest: [2_000, 100, 0],
    };
    let skipped: Vec<_> = round.skipped().collect();
    assert_eq!(skipped, [(1, &expected)]);
}

#[test]
fn refusals_of_an_earlier_round_do_not_count() {
    let mut round = round();
    round.record_refusal(&need(0, 1_000, 100));
    round.record_unplaceable(&amount(1_000, 100));
    assert!(round.is_unplaceable(&amount(1_000, 100)));
    round.begin(2, false);
    assert!(!round.skip_refused(&need(0, 1_000, 100)));
    assert!(!round.is_unplaceable(&amount(1_000, 100)));
}

#[test]
fn larger_task_may_use_a_worker_of_last_resort() {
    let mut round = round();
    round.begin(2, true);
    round.record_unplaceable(&amount(1_000, 100));
    assert!(!round.is_unplaceable(&amount(1_000, 100)));
}
