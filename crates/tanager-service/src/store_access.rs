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
use tanager_site::store::TableStore;

use crate::clock::NodeClock;
use crate::metrics::NodeMetrics;
use crate::peers::PeerClient;

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

/// Direct calls that fail for this long are logged as an outage.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(250);
/// Time for which a relayed call that did not reach the store counts as a sign that the store is
/// unavailable to peers, too.
const RELAY_FAILURE_VALIDITY: Duration = Duration::from_millis(2_500);

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
    /// Cause of the first failure since then.
    reason: String,
    /// Whether the outage since then was logged.
    is_outage_logged: bool,
    /// Time at which a relayed call last failed without reaching the store, because the peer
    /// reported the store unavailable or could not be reached; `None` after a successful one.
    relay_not_sent_at: Option<Duration>,
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

    /// Returns whether the store appears to be unavailable to all nodes: direct calls fail, and a
    /// relayed call recently failed without reaching the store.
    pub fn is_unavailable_to_all(&self, now: Duration) -> bool {
        let state = self.lock();
        let is_fresh = |at: Duration| now.saturating_sub(at) <= RELAY_FAILURE_VALIDITY;
        state.failing_since.is_some() && state.relay_not_sent_at.is_some_and(is_fresh)
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
            let result = self.peers.relay(relay, &request, timeout).await;
            self.record_relay(relay, &result);
            match result {
                // The peer did not forward the call; try the next one.
                Err(error) if error.kind == ErrorKind::NotSent => {}
                result => return result,
            }
        }
        self.send_direct(&request, timeout).await
    }

    /// Records the result of a relayed call: keeps using a relay that works, skips one that fails.
    fn record_relay(self: &Arc<Self>, relay: SocketAddr, result: &TanagerResult<HttpResponse>) {
        let now = self.clock.now();
        let mut state = self.lock();
        match result {
            Ok(_) => {
                state.relay_not_sent_at = None;
                state.working_relay = Some(relay);
                state.relay_until = now + RELAY_PERIOD;
                if now >= state.next_probe {
                    state.next_probe = now + PROBE_PERIOD;
                    tokio::spawn(probe(Arc::clone(self)));
                }
            }
            Err(error) => {
                state.working_relay = None;
                state.failed_relays.insert(relay, now + FAILED_RELAY_PAUSE);
                if error.kind == ErrorKind::NotSent {
                    state.relay_not_sent_at = Some(now);
                }
            }
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
                let outage = now.saturating_sub(since);
                // A single failed call is not logged as an outage; the metrics count it.
                if outage >= OUTAGE_THRESHOLD {
                    log::info!("event=store_regained away={outage:?}");
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

/// Tests in the background whether direct calls work again.
async fn probe(access: Arc<StoreAccess>) {
    let path = "/rows-get?table=node&part=&limit=1";
    let request = HttpRequest::new(Method::GET, path, "");
    // `send_direct` records the result.
    let _ = access.send_direct(&request, PROBE_TIMEOUT).await;
}
