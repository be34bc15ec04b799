//! Limits of an entry node on calls to owners. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::call_limits::CallKind;
use tanager_schedule::call_limits::CallLimits;
use tanager_schedule::call_limits::CallOutcome;
use tanager_schedule::call_limits::CallRefusal;

const CELL: &str = "pool/0";
const OWNER: &str = "node-1";
/// Time limit of a call to an owner.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_700);
/// Time in which an owner in calm answers.
const CALM_LATENCY: Duration = Duration::from_millis(30);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn submit(limits: &mut CallLimits, sender: &str, now: Duration) -> Result<(), CallRefusal> {
    limits.begin(CELL, OWNER, sender, CallKind::Submission, now)
}

fn end(limits: &mut CallLimits, sender: &str, outcome: CallOutcome, now: Duration) {
    limits.end(CELL, OWNER, sender, CallKind::Submission, outcome, now);
}

/// Passes on as many submissions as possible at `now`; returns their number.
fn flood(limits: &mut CallLimits, sender: &str, now: Duration) -> usize {
    (0..1_000)
        .take_while(|_| submit(limits, sender, now).is_ok())
        .count()
}

/// Plays 10 submissions a second to an owner that answers none; returns the number passed on.
fn play_silence(limits: &mut CallLimits, from: Duration, seconds: u64) -> usize {
    let mut ends = std::collections::VecDeque::new();
    let mut passed = 0;
    for step in 0..seconds * 10 {
        let now = from + ms(100 * step);
        while ends.front().is_some_and(|end| *end <= now) {
            ends.pop_front();
            end(limits, "a", CallOutcome::Silent(CALL_TIMEOUT), now);
        }
        if submit(limits, "a", now).is_ok() {
            ends.push_back(now + CALL_TIMEOUT);
            passed += 1;
        }
    }
    for _ in ends {
        end(
            limits,
            "a",
            CallOutcome::Silent(CALL_TIMEOUT),
            from + ms(seconds * 1_000 + 1_700),
        );
    }
    passed
}

/// Guards against a silent owner that is asked as often as before (a call a client each, for 20 s).
#[test]
fn silent_owner_is_asked_only_by_probes() {
    let mut limits = CallLimits::default();
    play_silence(&mut limits, ms(0), 6);
    let passed = play_silence(&mut limits, ms(10_000), 17);
    assert!((5..=11).contains(&passed), "{passed} of 170 were passed on");
}

/// Guards against callers that are refused long after the owner answers again.
#[test]
fn limit_grows_again_within_two_seconds_of_answers() {
    let mut limits = CallLimits::default();
    play_silence(&mut limits, ms(0), 10);
    assert!(limits.limit(CELL, CallKind::Submission) < 2.0);
    let mut now = ms(20_000);
    while now < ms(22_000) {
        let count = flood(&mut limits, "a", now);
        now += CALM_LATENCY;
        for _ in 0..count {
            end(&mut limits, "a", CallOutcome::Answered, now);
        }
    }
    assert!(
        limits.limit(CELL, CallKind::Submission) > 30.0,
        "{}",
        limits.limit(CELL, CallKind::Submission)
    );
}

/// Guards against a node that limits calls because its clients hardly wait.
#[test]
fn short_time_limits_of_clients_are_no_silence() {
    let mut limits = CallLimits::default();
    let before = limits.limit(CELL, CallKind::Submission);
    for step in 0..50 {
        submit(&mut limits, "a", ms(step * 300)).expect("passed on");
        end(
            &mut limits,
            "a",
            CallOutcome::Silent(ms(150)),
            ms(step * 300 + 150),
        );
    }
    assert!(limits.limit(CELL, CallKind::Submission) >= before);
}

/// Guards against many calls lost in one stall that close the cell at once.
#[test]
fn calls_lost_in_one_stall_reduce_the_limit_once() {
    let mut limits = CallLimits::default();
    for _ in 0..40 {
        submit(&mut limits, "a", ms(0)).expect("passed on");
    }
    for _ in 0..40 {
        end(
            &mut limits,
            "a",
            CallOutcome::Silent(CALL_TIMEOUT),
            CALL_TIMEOUT,
        );
    }
    assert_eq!(limits.limit(CELL, CallKind::Submission), 20.0);
}

/// Guards against a flood of one workspace that takes the calls of its neighbours and of questions.
#[test]
fn flood_leaves_calls_to_others() {
    let mut limits = CallLimits::default();
    assert!((flood(&mut limits, "flood", ms(0)) as f64) < limits.limit(CELL, CallKind::Submission));
    for _ in 0..10 {
        assert!(submit(&mut limits, "neighbour", ms(0)).is_ok());
    }
    assert!(
        limits
            .begin(CELL, OWNER, "flood", CallKind::Question, ms(0))
            .is_ok()
    );
}

/// Guards against submissions that are passed on although the owner just refused their sender.
#[test]
fn refused_sender_is_held_with_the_remaining_time() {
    let mut limits = CallLimits::default();
    submit(&mut limits, "flood", ms(0)).expect("passed on");
    end(
        &mut limits,
        "flood",
        CallOutcome::Refused(ms(2_000)),
        ms(50),
    );
    let refusal = submit(&mut limits, "flood", ms(150));
    assert_eq!(refusal, Err(CallRefusal::Held(ms(1_900))));
    assert!(submit(&mut limits, "neighbour", ms(150)).is_ok());
    let question = limits.begin(CELL, OWNER, "flood", CallKind::Question, ms(150));
    assert!(question.is_ok());
    assert!(submit(&mut limits, "flood", ms(2_050)).is_ok());
}

/// Guards against a sender that stays refused although the owner would accept it.
#[test]
fn probe_that_is_answered_ends_the_hold() {
    let mut limits = CallLimits::default();
    submit(&mut limits, "flood", ms(0)).expect("passed on");
    end(&mut limits, "flood", CallOutcome::Refused(ms(4_000)), ms(0));
    assert!(submit(&mut limits, "flood", ms(600)).is_ok(), "a probe");
    assert!(
        submit(&mut limits, "flood", ms(610)).is_err(),
        "one probe a period"
    );
    end(&mut limits, "flood", CallOutcome::Answered, ms(630));
    assert!(submit(&mut limits, "flood", ms(640)).is_ok());
}

/// Guards against a refusal of a former owner that outlives a takeover.
#[test]
fn new_owner_is_not_bound_by_the_former_ones_refusal() {
    let mut limits = CallLimits::default();
    submit(&mut limits, "flood", ms(0)).expect("passed on");
    end(&mut limits, "flood", CallOutcome::Refused(ms(4_000)), ms(0));
    let next = limits.begin(CELL, "node-2", "flood", CallKind::Submission, ms(100));
    assert!(next.is_ok());
}

/// Guards against status calls that are refused because the store leaves cancellations unanswered.
#[test]
fn questions_are_passed_on_beside_unanswered_cancellations() {
    let mut limits = CallLimits::default();
    let mut now = ms(0);
    for _ in 0..10 {
        let kind = CallKind::Cancellation;
        let _ = limits.begin(CELL, OWNER, "a", kind, now);
        now += CALL_TIMEOUT;
        limits.end(
            CELL,
            OWNER,
            "a",
            kind,
            CallOutcome::Silent(CALL_TIMEOUT),
            now,
        );
    }
    let kind = CallKind::Cancellation;
    while limits.begin(CELL, OWNER, "a", kind, now).is_ok() {}
    for _ in 0..10 {
        assert!(
            limits
                .begin(CELL, OWNER, "a", CallKind::Question, now)
                .is_ok()
        );
    }
}

/// Guards against cancellations that wait behind the submissions with which a slow owner is probed.
#[test]
fn cancellation_is_passed_on_beside_a_probe() {
    let mut limits = CallLimits::default();
    play_silence(&mut limits, ms(0), 10);
    let now = ms(20_000);
    submit(&mut limits, "a", now).expect("a probe");
    assert!(submit(&mut limits, "a", now).is_err());
    let kind = CallKind::Cancellation;
    assert!(limits.begin(CELL, OWNER, "a", kind, now).is_ok());
    assert!(limits.begin(CELL, OWNER, "a", kind, now).is_err());
}
