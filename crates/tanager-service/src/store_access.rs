//! Calls to the store: directly, or through a peer while the store turns this node away.

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
use tanager_site::store::TableStore;

use crate::clock::NodeClock;
use crate::metrics::NodeMetrics;
use crate::peers::PeerClient;

/// Calls go through peers for this time after a failed direct call, or a relayed one that worked.
const RELAY_PERIOD: Duration = Duration::from_millis(2_000);
/// Period of probes that find out whether direct calls work again.
const PROBE_PERIOD: Duration = Duration::from_millis(700);
/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// A relay that did not work is left out for this long.
const BAD_RELAY_PAUSE: Duration = Duration::from_millis(2_500);
/// Relays tried for one call.
const RELAY_TRIES: usize = 3;

/// Failures for this long are an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(250);
/// A peer's answer that the store is away is believed for this time.
const UNAVAILABLE_VALIDITY: Duration = Duration::from_millis(2_500);

/// Access to the store.
pub struct StoreAccess {
    clock: NodeClock,
    direct: ClientPool,
    peers: Arc<PeerClient>,
    metrics: Arc<NodeMetrics>,
    state: Mutex<AccessState>,
}

#[derive(Debug, Default)]
struct AccessState {
    /// Until when calls go through peers.
    relay_until: Duration,
    /// Since when direct calls fail.
    failing_since: Option<Duration>,
    /// First failure since then.
    reason: String,
    is_reported: bool,
    /// Last answer of a peer that the store is away from it too.
    peer_unavailable_at: Option<Duration>,
    /// Peers to relay through.
    relays: Vec<SocketAddr>,
    next_relay: usize,
    /// Relay that worked last.
    good_relay: Option<SocketAddr>,
    /// Relays that did not work, until when they are left out.
    bad_relays: HashMap<SocketAddr, Duration>,
    /// No direct probe before this time.
    next_probe: Duration,
}

impl StoreAccess {
    /// Creates the access and the client that uses it.
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

    /// Names the nodes through which calls may be relayed.
    pub fn set_relays(&self, relays: Vec<SocketAddr>) {
        self.lock().relays = relays;
    }

    /// Returns whether the last direct call failed.
    pub fn is_failing(&self) -> bool {
        self.lock().failing_since.is_some()
    }

    /// Returns whether the store is away from this node and from the peers that answered.
    pub fn is_unavailable_to_all(&self, now: Duration) -> bool {
        let state = self.lock();
        let is_fresh = |at: Duration| now.saturating_sub(at) <= UNAVAILABLE_VALIDITY;
        state.failing_since.is_some() && state.peer_unavailable_at.is_some_and(is_fresh)
    }

    async fn send(
        self: &Arc<Self>,
        request: HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        for _ in 0..RELAY_TRIES {
            let Some(relay) = self.pick_relay() else {
                break;
            };
            self.metrics.store_relayed.increment();
            let result = self.peers.relay(relay, &request, timeout).await;
            self.record_relay(relay, &result);
            match result {
                // The peer did not pass the call on; another one may.
                Err(error) if error.kind == ErrorKind::NotSent => {}
                result => return result,
            }
        }
        self.send_direct(&request, timeout).await
    }

    /// Keeps to a relay that works, and leaves one out that does not.
    fn record_relay(self: &Arc<Self>, relay: SocketAddr, result: &TanagerResult<HttpResponse>) {
        let now = self.clock.now();
        let mut state = self.lock();
        match result {
            Ok(_) => {
                state.peer_unavailable_at = None;
                state.good_relay = Some(relay);
                state.relay_until = now + RELAY_PERIOD;
                if now >= state.next_probe {
                    state.next_probe = now + PROBE_PERIOD;
                    tokio::spawn(probe(Arc::clone(self)));
                }
            }
            Err(error) => {
                state.good_relay = None;
                state.bad_relays.insert(relay, now + BAD_RELAY_PAUSE);
                if error.kind == ErrorKind::NotSent {
                    state.peer_unavailable_at = Some(now);
                }
            }
        }
    }

    /// Sends a call directly and notes whether the store serves this node.
    pub async fn send_direct(
        &self,
        request: &HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        self.metrics.store_calls.increment();
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
            if let Some(since) = state.failing_since.take() {
                let away = now.saturating_sub(since);
                // A single call that failed is no outage; it is in the metrics.
                if away >= OUTAGE_THRESHOLD {
                    log::info!("event=store_regained away={away:?}");
                }
            }
            state.relay_until = Duration::ZERO;
        } else {
            self.metrics.store_failures.increment();
            if state.failing_since.is_none() {
                let reason = match &result {
                    Ok(response) => response.status.to_string(),
                    Err(error) => error.to_string(),
                };
                state.reason = reason;
                state.failing_since = Some(now);
                state.is_reported = false;
            }
            let is_outage = (state.failing_since)
                .is_some_and(|since| now.saturating_sub(since) >= OUTAGE_THRESHOLD);
            if is_outage && !state.is_reported {
                state.is_reported = true;
                log::warn!("event=store_lost reason={:?}", state.reason);
            }
            state.relay_until = state.relay_until.max(now + RELAY_PERIOD);
            drop(state);
            // Other idle connections may be silent as well.
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
        if state.good_relay.is_some() {
            return state.good_relay;
        }
        state.bad_relays.retain(|_, until| now < *until);
        let usable: Vec<SocketAddr> = (state.relays.iter())
            .filter(|relay| !state.bad_relays.contains_key(*relay))
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

/// Finds out whether direct calls work again, without a caller that waits for it.
async fn probe(access: Arc<StoreAccess>) {
    let path = "/rows-get?table=node&part=&limit=1";
    let request = HttpRequest::new(Method::GET, path, "");
    // The outcome is noted by the call itself.
    let _ = access.send_direct(&request, PROBE_TIMEOUT).await;
}
