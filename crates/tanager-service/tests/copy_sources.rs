//! Which peers are asked for the operator's rows.

use std::net::SocketAddr;
use std::time::Duration;

use tanager_service::copy_sources::CopySources;
use tanager_service::copy_sources::CopyStatus;
use tanager_service::copy_sources::MAX_COPY_AGE;

fn peers(count: u16) -> Vec<SocketAddr> {
    (0..count)
        .map(|number| SocketAddr::from(([10, 0, 0, 1], 7_000 + number)))
        .collect()
}

/// Guards against an outdated copy that replaces a read of the store, and against relayed reads that
/// hold up the read of the peer itself.
#[test]
fn only_recent_copies_replace_reads() {
    let millisecond = Duration::from_millis(1);
    for is_relaying in [false, true] {
        let status = |age| CopyStatus::of(age, is_relaying);
        assert_eq!(status(Duration::ZERO), CopyStatus::Current);
        assert_eq!(status(MAX_COPY_AGE), CopyStatus::Current);
        assert_eq!(status(Duration::from_secs(5)), CopyStatus::Outdated);
    }
    let age = MAX_COPY_AGE + millisecond;
    assert_eq!(CopyStatus::of(age, false), CopyStatus::Outdated);
    assert_eq!(CopyStatus::of(age, true), CopyStatus::Awaited);
}

/// Guards against a node that asks the same peers for ever although others have the rows.
#[test]
fn all_peers_have_their_turn() {
    let mut sources = CopySources::default();
    let mut asked = Vec::new();
    for _ in 0..2 {
        let chosen = sources.choose(peers(6));
        assert_eq!(chosen.len(), 3);
        asked.extend(chosen);
        sources.record_outdated(true, Duration::ZERO);
    }
    asked.sort();
    assert_eq!(asked, peers(6));
    assert_eq!(sources.choose(Vec::new()), []);
}

/// Guards against a search for a peer at each read, and against one that is kept when it is no use.
#[test]
fn peer_that_had_the_rows_is_asked_first() {
    let mut sources = CopySources::default();
    let useful = peers(6)[4];
    sources.record_current(useful);
    assert_eq!(sources.choose(peers(6))[0], useful);
    // It may be gone.
    assert_eq!(sources.choose(peers(3)), peers(3));
    sources.record_outdated(true, Duration::ZERO);
    assert_ne!(sources.choose(peers(6))[0], useful);
}

/// Guards against calls to useless peers before each read of the store, and against a node without the
/// store that asks nobody.
#[test]
fn peers_are_not_asked_for_a_while_after_a_failure() {
    let mut sources = CopySources::default();
    let now = Duration::from_secs(10);
    sources.record_outdated(true, now);
    assert!(!sources.is_paused(now));
    sources.record_outdated(false, now);
    assert!(sources.is_paused(now));
    assert!(!sources.is_paused(now + Duration::from_secs(2)));
}
