//! Whether calls to the store are sent directly or through a peer, by what calls have shown.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanager_schedule::ownership::StoreEvidence;

/// Time for which calls are relayed after a direct call failed, or a relayed call succeeded meanwhile.
const RELAY_PERIOD: Duration = Duration::from_millis(2_000);
/// Minimum interval between probes that test whether direct calls work again.
const PROBE_PERIOD: Duration = Duration::from_millis(700);
/// Time for which a relay is not used after a call through it failed.
const FAILED_RELAY_PAUSE: Duration = Duration::from_millis(2_500);
/// Direct calls that fail for this long are reported as an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time for which the response of a peer that the store does not serve it counts. It is longer than
/// [`FAILED_RELAY_PAUSE`], after which the peer is asked again, and shorter than the time for which
/// a new owner expects a former one to extend leases: a peer that is served again may acquire a cell.
const RELAY_REFUSAL_VALIDITY: Duration = Duration::from_millis(3_200);

/// What direct and relayed calls have shown.
#[derive(Debug, Default)]
pub struct RelayState {
    /// Time until which calls are relayed.
    relay_until: Duration,
    /// Time since which direct calls have failed.
    failing_since: Option<Duration>,
    /// First call that failed since then, and the cause.
    reason: String,
    /// Whether the outage since then was reported.
    is_outage_reported: bool,
    /// Time at which the first direct call was sent that the store has not served since the last one
    /// that it served.
    unserved_since: Option<Duration>,
    /// Peers that responded that the store does not serve them. A call that succeeds through a peer
    /// removes all, since the store serves some nodes.
    unserved_relays: HashMap<SocketAddr, UnservedRelay>,
    /// Peers that can relay calls.
    relays: Vec<SocketAddr>,
    next_relay: usize,
    /// Relay of the last successful call.
    working_relay: Option<SocketAddr>,
    /// Relays that failed, with the time until which they are not used.
    failed_relays: HashMap<SocketAddr, Duration>,
    /// Earliest time of the next direct probe.
    next_probe: Duration,
}

/// A peer that responded that the store does not serve it.
#[derive(Clone, Copy, Debug)]
struct UnservedRelay {
    /// Time at which the call to the peer was sent.
    asked_at: Duration,
    /// Time since which the store has not served the peer.
    since: Duration,
}

/// Result of a relayed call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayOutcome {
    /// The store served it.
    Served,
    /// The peer responded that the store has not served it for this time.
    Unserved(Duration),
    /// No usable response.
    Failed,
}

/// Change of the availability of direct calls that is worth a log line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OutageReport {
    /// They have failed for a while; the first call that failed, and the cause.
    Lost(String),
    /// They work again: the time for which they failed, and the cause.
    Regained(Duration, String),
}

impl RelayState {
    /// Sets the peers through which calls may be relayed.
    pub fn set_relays(&mut self, relays: Vec<SocketAddr>) {
        self.relays = relays;
    }

    /// Returns whether the last direct call failed.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns what is known about the availability of the store to this node and its relays.
    pub fn evidence(&self, now: Duration) -> StoreEvidence {
        let unserved: Vec<&UnservedRelay> = (self.relays.iter())
            .filter_map(|relay| self.unserved_relays.get(relay))
            .filter(|relay| now.saturating_sub(relay.asked_at) <= RELAY_REFUSAL_VALIDITY)
            .collect();
        let last_start = unserved.iter().map(|relay| relay.since).max();
        StoreEvidence {
            is_direct_failing: self.failing_since.is_some(),
            relays: self.relays.len(),
            unserved_relays: unserved.len(),
            unserved_time: last_start.map_or(Duration::ZERO, |since| now.saturating_sub(since)),
        }
    }

    /// Returns the time for which the store has not served direct calls.
    pub fn unserved_time(&self, now: Duration) -> Duration {
        (self.unserved_since).map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Records that the store served a direct call.
    pub fn record_served(&mut self, now: Duration) -> Option<OutageReport> {
        self.unserved_since = None;
        self.relay_until = Duration::ZERO;
        let outage = now.saturating_sub(self.failing_since.take()?);
        // A single failed call is not an outage.
        (outage >= OUTAGE_THRESHOLD).then(|| OutageReport::Regained(outage, self.reason.clone()))
    }

    /// Records that the store did not serve a direct call, which was sent at `sent_at`.
    pub fn record_unserved(
        &mut self,
        sent_at: Duration,
        now: Duration,
        reason: impl FnOnce() -> String,
    ) -> Option<OutageReport> {
        self.unserved_since.get_or_insert(sent_at);
        if self.failing_since.is_none() {
            self.reason = reason();
            self.failing_since = Some(now);
            self.is_outage_reported = false;
        }
        self.relay_until = self.relay_until.max(now + RELAY_PERIOD);
        let is_outage =
            (self.failing_since).is_some_and(|since| now.saturating_sub(since) >= OUTAGE_THRESHOLD);
        if !is_outage || self.is_outage_reported {
            return None;
        }
        self.is_outage_reported = true;
        Some(OutageReport::Lost(self.reason.clone()))
    }

    /// Records the result of a call that was relayed at `sent_at`: keeps using a relay that works,
    /// skips one that fails. Returns whether to probe the store directly now.
    pub fn record_relay(
        &mut self,
        relay: SocketAddr,
        outcome: RelayOutcome,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        if let RelayOutcome::Unserved(time) = outcome {
            let entry = UnservedRelay {
                asked_at: sent_at,
                since: now.saturating_sub(time),
            };
            self.unserved_relays.insert(relay, entry);
        }
        if outcome != RelayOutcome::Served {
            self.working_relay = None;
            self.failed_relays.insert(relay, now + FAILED_RELAY_PAUSE);
            return false;
        }
        self.unserved_relays.clear();
        self.working_relay = Some(relay);
        // A call that was relayed before the store served this node again may end after that.
        if self.is_failing() {
            self.relay_until = now + RELAY_PERIOD;
        }
        let is_probe_due = now >= self.next_probe;
        if is_probe_due {
            self.next_probe = now + PROBE_PERIOD;
        }
        is_probe_due
    }

    /// Returns whether calls are relayed now.
    pub fn is_relaying(&self, now: Duration) -> bool {
        now < self.relay_until
    }

    /// Returns the peers that may be asked for what they have read, the one that worked last first.
    pub fn usable_peers(&self, now: Duration) -> Vec<SocketAddr> {
        let others = (self.relays.iter()).filter(|peer| Some(**peer) != self.working_relay);
        (self.working_relay.iter().chain(others))
            .filter(|peer| (self.failed_relays.get(*peer)).is_none_or(|until| now >= *until))
            .copied()
            .collect()
    }

    /// Returns the peer through which to send a call now; `None` for a direct call.
    pub fn pick_relay(&mut self, now: Duration) -> Option<SocketAddr> {
        if !self.is_relaying(now) {
            return None;
        }
        if self.working_relay.is_some() {
            return self.working_relay;
        }
        self.failed_relays.retain(|_, until| now < *until);
        let usable: Vec<SocketAddr> = (self.relays.iter())
            .filter(|relay| !self.failed_relays.contains_key(*relay))
            .copied()
            .collect();
        self.next_relay = self.next_relay.wrapping_add(1);
        (!usable.is_empty()).then(|| usable[self.next_relay % usable.len()])
    }
}
