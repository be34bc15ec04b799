//! Which versions of the configuration other nodes have, and whether this node must not serve by its own.
//!
//! Load: a node that cannot read a new configuration in time, for instance because its link is too slow for
//! it, while other nodes have it. Without knowledge of these it would serve by the old one: run jobs of
//! removed queues, and answer 404 for new ones.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// Time after the store acknowledged a version within which some node has it in force: a read period, and
/// as long for the read.
const FIRST_NODE_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum number of versions that are kept.
const MAX_VERSIONS: usize = 16;

/// Version that a node has in force, as its calls and responses say.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionInForce {
    /// The version.
    pub version: u64,
    /// Time for which it has been in force there.
    pub age: Duration,
}

impl std::fmt::Display for VersionInForce {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} {}", self.version, self.age.as_millis())
    }
}

impl FromStr for VersionInForce {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (version, age) = text.split_once(' ').unwrap_or((text, "0"));
        Ok(Self {
            version: version.parse()?,
            age: Duration::from_millis(age.parse()?),
        })
    }
}

/// Versions that other nodes have in force and this one has not.
#[derive(Debug, Default)]
pub struct PeerVersions {
    /// Time by which each version was in force at some node, on the clock of this one.
    since: BTreeMap<u64, Duration>,
}

impl PeerVersions {
    /// Records what another node said at `now`. Returns whether it is newer than what all others said.
    pub fn record(&mut self, peer: VersionInForce, now: Duration) -> bool {
        let is_newest =
            (self.since.last_key_value()).is_none_or(|(known, _)| peer.version > *known);
        let since = now.saturating_sub(peer.age);
        let known = self.since.entry(peer.version).or_insert(since);
        *known = since.min(*known);
        if self.since.len() > MAX_VERSIONS {
            // The oldest one decides for how long this node has been behind, the newest one what is news.
            let second = self.since.keys().nth(1).copied();
            second.and_then(|version| self.since.remove(&version));
        }
        is_newest
    }

    /// Records that a version is in force on this node.
    pub fn take(&mut self, version: u64) {
        self.since = self.since.split_off(&version.saturating_add(1));
    }

    /// Returns for how long other nodes have had a version that must be in force here by now: within `limit`
    /// after the store acknowledged it. Returns `None` if there is none.
    pub fn overdue(&self, now: Duration, limit: Duration) -> Option<VersionInForce> {
        let grace = limit.saturating_sub(FIRST_NODE_DELAY);
        (self.since.iter())
            .map(|(version, since)| VersionInForce {
                version: *version,
                age: now.saturating_sub(*since),
            })
            .filter(|peer| peer.age >= grace)
            .max_by_key(|peer| peer.age)
    }
}
