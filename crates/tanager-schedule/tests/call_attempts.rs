//! Repeats of a call to an owner. Each test names the failure that it guards against.

use std::time::Duration;

use tanager_schedule::call_attempts::CallAttempts;
use tanager_schedule::call_attempts::CallStep;

/// Time for which the caller waits.
const DEADLINE: Duration = Duration::from_millis(2_850);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Plays a request, in steps of 10 ms, to an owner that answers a call `latency` after it was sent, but
/// not before `resumes_at`. `loses_first` is a connection that went silent. Returns the time of the
/// answer and the number of calls; `None` if the caller got none.
fn play(resumes_at: Duration, latency: Duration, loses_first: bool) -> (Option<Duration>, u32) {
    let mut attempts = CallAttempts::new(Duration::ZERO, DEADLINE);
    let mut answers: Vec<Duration> = Vec::new();
    for step in 0..1_000 {
        let now = ms(10 * step);
        if let Some(answer) = answers.iter().find(|at| **at <= now) {
            return (Some(*answer), attempts.calls());
        }
        if now >= DEADLINE {
            break;
        }
        match attempts.next_step(now) {
            CallStep::Call { is_repeat } if loses_first && !is_repeat => {}
            CallStep::Call { .. } => answers.push((now + latency).max(resumes_at)),
            CallStep::Wait(until) => assert!(until.is_none_or(|until| until > now), "{until:?}"),
            CallStep::GiveUp => break,
        }
    }
    (None, attempts.calls())
}

/// Guards against a caller that gets no answer although the owner resumes while it waits.
#[test]
fn owner_that_resumes_in_time_is_heard() {
    for milliseconds in (0..2_800).step_by(100) {
        let (answer, calls) = play(ms(milliseconds), ms(20), false);
        assert!(
            answer.is_some_and(|at| at <= ms(milliseconds) + ms(30)),
            "{milliseconds} ms: {answer:?}"
        );
        assert!(calls <= 2, "{calls} calls");
    }
}

/// Guards against a slow owner whose answer is never awaited because the call is given up and sent
/// again.
#[test]
fn slow_owner_is_heard() {
    let (answer, calls) = play(Duration::ZERO, ms(2_500), false);
    assert_eq!(answer, Some(ms(2_500)));
    assert!(calls <= 2, "{calls} calls");
}

/// Guards against a caller that waits in vain for a connection that went silent.
#[test]
fn silent_connection_is_replaced() {
    let (answer, _) = play(Duration::ZERO, ms(20), true);
    assert!(answer.is_some_and(|at| at < ms(1_000)), "{answer:?}");
}

/// Guards against calls that follow each other without a pause while a cell has no owner, and against one
/// that is given up before the caller gives up.
#[test]
fn failed_calls_are_repeated_with_pauses_until_the_deadline() {
    let mut attempts = CallAttempts::new(Duration::ZERO, DEADLINE);
    let mut sent = Vec::new();
    let mut now = Duration::ZERO;
    loop {
        match attempts.next_step(now) {
            CallStep::Call { .. } => {
                sent.push(now);
                attempts.record_failure(now);
            }
            CallStep::Wait(until) => now = until.expect("no call is in flight"),
            CallStep::GiveUp => break,
        }
    }
    assert_eq!(now, DEADLINE);
    assert!((10..=25).contains(&sent.len()), "{sent:?}");
    assert!(
        sent.last().is_some_and(|last| *last >= DEADLINE - ms(260)),
        "{sent:?}"
    );
}

/// Guards against a request that is refused without a call because its node resumed late.
#[test]
fn request_past_its_deadline_is_tried_once() {
    let mut attempts = CallAttempts::new(ms(3_000), DEADLINE);
    assert_eq!(
        attempts.next_step(ms(3_000)),
        CallStep::Call { is_repeat: false }
    );
    assert_eq!(attempts.next_step(ms(3_000)), CallStep::Wait(None));
    attempts.record_failure(ms(3_100));
    assert_eq!(attempts.next_step(ms(3_100)), CallStep::GiveUp);
}

/// Guards against a request that waits for its pause although a call of another one has ended.
#[test]
fn pause_can_be_ended() {
    let mut attempts = CallAttempts::new(Duration::ZERO, DEADLINE);
    attempts.next_step(Duration::ZERO);
    attempts.record_failure(ms(10));
    assert!(matches!(
        attempts.next_step(ms(11)),
        CallStep::Wait(Some(_))
    ));
    attempts.end_pause(ms(12));
    assert!(matches!(attempts.next_step(ms(12)), CallStep::Call { .. }));
}
