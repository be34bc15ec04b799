//! What a node knows of the configurations of others, and when it must not serve by its own.

use std::time::Duration;

use tanager_service::peer_versions::PeerVersions;
use tanager_service::peer_versions::VersionInForce;

const LIMIT: Duration = Duration::from_secs(3);

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn in_force(version: u64, age: f64) -> VersionInForce {
    VersionInForce {
        version,
        age: seconds(age),
    }
}

/// Guards against a node that serves by a configuration which others have replaced, and against one that
/// refuses requests while it still has time to read the new one.
#[test]
fn versions_are_overdue_after_the_limit() {
    let mut peers = PeerVersions::default();
    assert!(peers.record(in_force(16, 0.5), seconds(10.0)));
    assert_eq!(peers.overdue(seconds(11.4), LIMIT), None);
    assert_eq!(peers.overdue(seconds(11.5), LIMIT), Some(in_force(16, 2.0)));
    peers.take(16);
    assert_eq!(peers.overdue(seconds(20.0), LIMIT), None);
}

/// Guards against configurations in quick succession, each of which starts the time anew.
#[test]
fn newer_versions_do_not_extend_the_time() {
    let mut peers = PeerVersions::default();
    for version in 16..60 {
        let now = seconds(10.0 + (version - 16) as f64 * 0.2);
        assert!(peers.record(in_force(version, 0.0), now));
        assert!(
            !peers.record(in_force(version, 0.1), now + seconds(0.1)),
            "is it news twice?"
        );
    }
    assert_eq!(peers.overdue(seconds(12.0), LIMIT), Some(in_force(16, 2.0)));
    peers.take(58);
    let overdue = peers.overdue(seconds(20.7), LIMIT);
    assert_eq!(overdue.map(|peer| peer.version), Some(59));
    peers.take(70);
    assert_eq!(peers.overdue(seconds(90.0), LIMIT), None);
}

/// Guards against a time that depends on which of several nodes said it last.
#[test]
fn first_node_decides() {
    let mut peers = PeerVersions::default();
    peers.record(in_force(16, 0.2), seconds(10.0));
    peers.record(in_force(16, 1.7), seconds(10.5));
    peers.record(in_force(16, 0.0), seconds(10.6));
    assert_eq!(peers.overdue(seconds(10.8), LIMIT), Some(in_force(16, 2.0)));
}

/// Guards against a header that nodes do not understand, and against one that ends the process.
#[test]
fn header_is_read_as_it_is_written() {
    let version = in_force(18, 5.25);
    assert_eq!(version.to_string(), "18 5250");
    assert_eq!("18 5250".parse(), Ok(version));
    for text in ["", " ", "x", "1 x", "-1 5", "99999999999999999999 1"] {
        assert!(text.parse::<VersionInForce>().is_err(), "{text:?}");
    }
}
