//! When calls to the store are relayed.

use std::net::SocketAddr;
use std::time::Duration;

use tanager_service::relay_state::RelayOutcome;
use tanager_service::relay_state::RelayState;

const PEER: ([u8; 4], u16) = ([10, 0, 0, 1], 7_000);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn state_with_relay() -> RelayState {
    let mut state = RelayState::default();
    state.set_relays(vec![SocketAddr::from(PEER)]);
    state
}

/// Guards against calls that go through a peer for seconds after the store serves this node again,
/// because each relayed call that ends prolongs the time for which calls are relayed.
#[test]
fn relayed_calls_that_end_after_the_recovery_do_not_prolong_it() {
    let peer = SocketAddr::from(PEER);
    let mut state = state_with_relay();
    state.record_unserved(millis(0), millis(100), String::new);
    assert_eq!(state.pick_relay(millis(110)), Some(peer));
    assert!(state.record_relay(peer, RelayOutcome::Served, millis(110), millis(120)));
    // The probe succeeds while another relayed call is on its way.
    state.record_served(millis(130));
    assert_eq!(state.pick_relay(millis(131)), None);
    state.record_relay(peer, RelayOutcome::Served, millis(125), millis(140));
    assert_eq!(state.pick_relay(millis(141)), None);
}

/// Guards against relayed calls that stop while the store does not serve this node.
#[test]
fn calls_are_relayed_while_direct_ones_fail() {
    let peer = SocketAddr::from(PEER);
    let mut state = state_with_relay();
    state.record_unserved(millis(0), millis(100), String::new);
    for call in 0..20 {
        let sent_at = millis(200 + call * 500);
        assert_eq!(state.pick_relay(sent_at), Some(peer), "call {call}");
        let ended_at = sent_at + millis(20);
        if state.record_relay(peer, RelayOutcome::Served, sent_at, ended_at) {
            state.record_unserved(ended_at, ended_at + millis(10), String::new);
        }
    }
}
