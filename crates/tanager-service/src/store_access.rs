//! Calls to the store: directly, or relayed by a peer while direct calls fail.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::pool::ClientPool;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::ownership::StoreEvidence;
use tanager_site::store::TableStore;

use crate::clock::NodeClock;
use crate::metrics::NodeMetrics;
use crate::peers::PeerClient;
use crate::peers::RelayReply;

/// Time for which calls are relayed after a direct call failed or a relayed call succeeded.
const RELAY_PERIOD: Duration = Duration::from_millis(2_000);
/// Minimum interval between probes that test whether direct calls work again.
const PROBE_PERIOD: Duration = Duration::from_millis(700);
/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for which a relay is not used after a call through it failed.
const FAILED_RELAY_PAUSE: Duration = Duration::from_millis(2_500);
/// Maximum number of relays tried for one call.
const MAX_RELAY_ATTEMPTS: usize = 3;

/// Rate in bytes per second at which the body of a response must arrive, beyond the time limit of the
/// call: an eighth of the slowest link of an entry VM, since several transfers may share it.
const MIN_TRANSFER_RATE: u32 = 32_000;
/// Largest response of the store, in bytes. A row of the operator is not limited; this one takes a third
/// of the memory of the smallest entry VM while it is decoded.
const MAX_RESPONSE: usize = 16 << 20;
/// Direct calls that fail for this long are logged as an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time for which the response of a peer that the store does not serve it counts. It is longer than
/// [`FAILED_RELAY_PAUSE`], after which the peer is asked again, and shorter than the time for which
/// a new owner expects a former one to extend leases: a peer that is served again may acquire a cell.
const RELAY_REFUSAL_VALIDITY: Duration = Duration::from_millis(3_200);

/// Sends calls to the store, directly or through relays.
pub struct StoreAccess {
    clock: NodeClock,
    direct: ClientPool,
    peers: Arc<PeerClient>,
    metrics: Arc<NodeMetrics>,
    state: Mutex<AccessState>,
}

#[derive(Debug, Default)]
struct AccessState {
    /// Time until which calls are relayed.
    relay_until: Duration,
    /// Time since which direct calls have failed.
    failing_since: Option<Duration>,
    /// First call that failed since then, and the cause.
    reason: String,
    /// Whether the outage since then was logged.
    is_outage_logged: bool,
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

impl StoreAccess {
    /// Creates the access and a store client that sends through it.
    pub fn open(
        address: SocketAddr,
        clock: NodeClock,
        peers: Arc<PeerClient>,
        metrics: Arc<NodeMetrics>,
    ) -> (Arc<Self>, TableStore) {
        let limits = PoolLimits {
            connect_timeout: Duration::from_millis(500),
            max_idle: Duration::from_secs(8),
            max_connections: 16,
            max_body: MAX_RESPONSE,
            min_rate: Some(MIN_TRANSFER_RATE),
            ..PoolLimits::default()
        };
        let access = Arc::new(Self {
            clock,
            direct: ClientPool::new(address, limits),
            peers,
            metrics,
            state: Mutex::default(),
        });
        let sender = Arc::clone(&access);
        let store = TableStore::new(Arc::new(move |request, timeout| {
            let access = Arc::clone(&sender);
            Box::pin(async move { access.send(request, timeout).await })
        }));
        (access, store)
    }

    /// Sets the peer addresses through which calls may be relayed.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.lock().relays = relays;
    }

    /// Returns whether the last direct call failed.
    pub fn is_failing(&self) -> bool {
        self.lock().failing_since.is_some()
    }

    /// Returns what is known about the availability of the store to this node and its relays.
    pub fn evidence(&self, now: Duration) -> StoreEvidence {
        let state = self.lock();
        let unserved: Vec<&UnservedRelay> = (state.relays.iter())
            .filter_map(|relay| state.unserved_relays.get(relay))
            .filter(|relay| now.saturating_sub(relay.asked_at) <= RELAY_REFUSAL_VALIDITY)
            .collect();
        let last_start = unserved.iter().map(|relay| relay.since).max();
        StoreEvidence {
            is_direct_failing: state.failing_since.is_some(),
            relays: state.relays.len(),
            unserved_relays: unserved.len(),
            unserved_time: last_start.map_or(Duration::ZERO, |since| now.saturating_sub(since)),
        }
    }

    /// Returns the time for which the store has not served direct calls.
    pub fn unserved_time(&self, now: Duration) -> Duration {
        let since = self.lock().unserved_since;
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    async fn send(
        self: &Arc<Self>,
        request: HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let Some(relay) = self.pick_relay() else {
                break;
            };
            self.metrics.store_relayed.increment();
            let sent_at = self.clock.now();
            let result = self.peers.relay(relay, &request, timeout).await;
            self.record_relay(relay, &result, sent_at);
            match result {
                // The peer did not forward the call; try the next one.
                Ok(RelayReply::Unserved(_)) => {}
                Err(error) if error.kind == ErrorKind::NotSent => {}
                Ok(RelayReply::Response(response)) => return Ok(response),
                Err(error) => return Err(error),
            }
        }
        self.send_direct(&request, timeout).await
    }

    /// Records the result of a relayed call: keeps using a relay that works, skips one that fails.
    fn record_relay(
        self: &Arc<Self>,
        relay: SocketAddr,
        result: &TanagerResult<RelayReply>,
        sent_at: Duration,
    ) {
        let now = self.clock.now();
        let unserved_time = match result {
            Ok(RelayReply::Unserved(time)) => Some(*time),
            Ok(RelayReply::Response(response))
                if response.status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                Some(Duration::ZERO)
            }
            _ => None,
        };
        let mut state = self.lock();
        if let Some(time) = unserved_time {
            let entry = UnservedRelay {
                asked_at: sent_at,
                since: now.saturating_sub(time),
            };
            state.unserved_relays.insert(relay, entry);
        }
        if result.is_err() || unserved_time.is_some() {
            state.working_relay = None;
            state.failed_relays.insert(relay, now + FAILED_RELAY_PAUSE);
            return;
        }
        state.unserved_relays.clear();
        state.working_relay = Some(relay);
        state.relay_until = now + RELAY_PERIOD;
        if now >= state.next_probe {
            state.next_probe = now + PROBE_PERIOD;
            tokio::spawn(probe(Arc::clone(self)));
        }
    }

    /// Sends a call directly and records whether the store serves this node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] if the store did not receive the call.
    pub async fn send_direct(
        &self,
        request: &HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        self.metrics.store_calls.increment();
        let sent_at = self.clock.now();
        let result = self.direct.exchange(request, timeout).await;
        let is_served = result.as_ref().is_ok_and(|response| {
            !matches!(
                response.status,
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
            )
        });
        let now = self.clock.now();
        let mut state = self.lock();
        if is_served {
            state.unserved_since = None;
            if let Some(since) = state.failing_since.take() {
                let outage = now.saturating_sub(since);
                // A single failed call is not logged as an outage; the metrics count it.
                if outage >= OUTAGE_THRESHOLD {
                    log::info!(
                        "event=store_regained away={outage:?} reason={:?}",
                        state.reason
                    );
                }
            }
            state.relay_until = Duration::ZERO;
        } else {
            self.metrics.store_failures.increment();
            state.unserved_since.get_or_insert(sent_at);
            if state.failing_since.is_none() {
                let reason = match &result {
                    Ok(response) => response.status.to_string(),
                    Err(error) => error.to_string(),
                };
                state.reason = format!("{}: {reason}", call_name(request));
                state.failing_since = Some(now);
                state.is_outage_logged = false;
            }
            let is_outage = (state.failing_since)
                .is_some_and(|since| now.saturating_sub(since) >= OUTAGE_THRESHOLD);
            if is_outage && !state.is_outage_logged {
                state.is_outage_logged = true;
                log::warn!("event=store_lost reason={:?}", state.reason);
            }
            state.relay_until = state.relay_until.max(now + RELAY_PERIOD);
            drop(state);
            // The store may no longer respond on the other idle connections, either.
            self.direct.clear();
        }
        result
    }

    fn pick_relay(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let mut state = self.lock();
        if now >= state.relay_until {
            return None;
        }
        if state.working_relay.is_some() {
            return state.working_relay;
        }
        state.failed_relays.retain(|_, until| now < *until);
        let usable: Vec<SocketAddr> = (state.relays.iter())
            .filter(|relay| !state.failed_relays.contains_key(*relay))
            .copied()
            .collect();
        state.next_relay = state.next_relay.wrapping_add(1);
        (!usable.is_empty()).then(|| usable[state.next_relay % usable.len()])
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, AccessState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Returns the method, the path and the table of a call.
fn call_name(request: &HttpRequest) -> String {
    let name = request.path.split('&').next().unwrap_or_default();
    format!("{} {name}", request.method)
}

/// Tests in the background whether direct calls work again.
async fn probe(access: Arc<StoreAccess>) {
    let path = "/rows-get?table=node&part=&limit=1";
    let request = HttpRequest::new(Method::GET, path, "");
    // `send_direct` records the result.
    let _ = access.send_direct(&request, PROBE_TIMEOUT).await;
}
