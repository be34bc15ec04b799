//! Age of calls between nodes. Each test names the failure that it guards against.

use std::time::Duration;

use proptest::prelude::*;
use tanager_schedule::call_age::NodeTime;
use tanager_schedule::call_age::PeerTime;
use tanager_schedule::call_age::largest_age;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn at(process: u64, millis: u64) -> NodeTime {
    NodeTime::new(process, ms(millis))
}

/// Guards against a fresh call that is taken for a late one because its receiver stood still before it was
/// sent.
#[test]
fn call_sent_after_a_standstill_is_young() {
    let peer = PeerTime {
        sent: at(7, 10_000),
        read_at: ms(500),
    };
    // The receiver stood still from 10.1 to 12.1 s; the call was sent and read at 12.2 s.
    let age = largest_age(Some(peer.reached(ms(2_700))), at(7, 12_200), ms(2_000));
    assert!(age < ms(150), "{age:?}");
}

/// Guards against a call that waited during a standstill and is taken for a fresh one.
#[test]
fn call_sent_before_a_standstill_is_old() {
    let peer = PeerTime {
        sent: at(7, 10_000),
        read_at: ms(500),
    };
    let age = largest_age(Some(peer.reached(ms(600))), at(7, 12_200), ms(2_000));
    assert_eq!(age, ms(2_000));
}

/// Guards against an age that is derived from the clock of an earlier process, or of none.
#[test]
fn clock_of_another_process_says_nothing() {
    assert_eq!(
        largest_age(Some(at(6, 12_190)), at(7, 12_200), ms(900)),
        ms(900)
    );
    assert_eq!(largest_age(None, at(7, 12_200), ms(900)), ms(900));
}

/// Guards against messages that a node cannot read, or that stop it.
#[test]
fn times_are_written_and_read() {
    let time = at(u64::MAX, 123_456);
    assert_eq!(time.to_string().parse(), Ok(time));
    for text in ["", "1", "1.", ".1", "1.2.3", "-1.2", "x.y"] {
        assert!(text.parse::<NodeTime>().is_err(), "{text}");
    }
}

proptest! {
    /// Guards against a call that is taken to be younger than it is, whatever the rates of the two clocks are
    /// within their bounds and whenever the sender reads the response.
    #[test]
    fn age_is_never_underestimated(
        sender_rate in 0.98..1.02f64,
        receiver_rate in 0.98..1.02f64,
        response_ms in 0..5_000u64,
        pause_ms in 0..20_000u64,
        transit_ms in 0..5_000u64,
    ) {
        // True times, in milliseconds.
        let response_sent = 1_000;
        let response_read = response_sent + response_ms;
        let call_sent = response_read + pause_ms;
        let call_read = call_sent + transit_ms;
        let sender = |time: u64| ms(time).mul_f64(sender_rate);
        let receiver = |time: u64| NodeTime::new(7, ms(time).mul_f64(receiver_rate));
        let peer = PeerTime { sent: receiver(response_sent), read_at: sender(response_read) };
        let age = largest_age(
            Some(peer.reached(sender(call_sent))),
            receiver(call_read),
            Duration::MAX,
        );
        // Times are in whole milliseconds.
        prop_assert!(age + ms(1) >= ms(transit_ms).mul_f64(receiver_rate), "{age:?}");
    }
}
