//! Calls to the store: directly, or relayed by a peer while direct calls fail.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::MIN_LINK_RATE;
use tanager_http::pool::ClientPool;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::ownership::StoreEvidence;
use tanager_site::store::TableStore;

use crate::clock::NodeClock;
use crate::metrics::NodeMetrics;
use crate::peers::MAX_RESPONSE;
use crate::peers::PeerClient;
use crate::relay_calls::RelayReply;
use crate::relay_calls::RelayedCall;
use crate::relay_state::OutageReport;
use crate::relay_state::RelayOutcome;
use crate::relay_state::RelayState;

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of relays tried for one call.
const MAX_RELAY_ATTEMPTS: usize = 3;

/// Sends calls to the store, directly or through relays.
pub struct StoreAccess {
    clock: NodeClock,
    direct: ClientPool,
    peers: Arc<PeerClient>,
    metrics: Arc<NodeMetrics>,
    state: Mutex<RelayState>,
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
            min_rate: Some(MIN_LINK_RATE),
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
        self.lock().set_relays(relays);
    }

    /// Returns whether calls are relayed now.
    pub fn is_relaying(&self) -> bool {
        self.lock().is_relaying(self.clock.now())
    }

    /// Returns the peers that may be asked for what they have read; see [`RelayState::usable_peers`].
    pub fn usable_peers(&self) -> Vec<SocketAddr> {
        self.lock().usable_peers(self.clock.now())
    }

    /// Returns whether the last direct call failed.
    pub fn is_failing(&self) -> bool {
        self.lock().is_failing()
    }

    /// Returns what is known about the availability of the store to this node and its relays.
    pub fn evidence(&self, now: Duration) -> StoreEvidence {
        self.lock().evidence(now)
    }

    /// Returns the time for which the store has not served direct calls.
    pub fn unserved_time(&self, now: Duration) -> Duration {
        self.lock().unserved_time(now)
    }

    async fn send(
        self: &Arc<Self>,
        request: HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        let call = RelayedCall::new(request, timeout);
        for _ in 0..MAX_RELAY_ATTEMPTS {
            let relay = self.lock().pick_relay(self.clock.now());
            let Some(relay) = relay else {
                break;
            };
            self.metrics.store_relayed.increment();
            let sent_at = self.clock.now();
            let result = call.send(&self.peers, relay).await;
            self.record_relay(relay, &result, sent_at);
            match result {
                // The peer did not forward the call; try the next one.
                Ok(RelayReply::Unserved(_)) => {}
                Err(error) if error.kind == ErrorKind::NotSent => {}
                Ok(RelayReply::Response(response)) => return Ok(response),
                Err(error) => return Err(error),
            }
        }
        self.send_direct(&call.request, timeout).await
    }

    /// Records the result of a relayed call.
    fn record_relay(
        self: &Arc<Self>,
        relay: SocketAddr,
        result: &TanagerResult<RelayReply>,
        sent_at: Duration,
    ) {
        let outcome = match result {
            Ok(RelayReply::Unserved(time)) => RelayOutcome::Unserved(*time),
            Ok(RelayReply::Response(response))
                if response.status == StatusCode::SERVICE_UNAVAILABLE =>
            {
                RelayOutcome::Unserved(Duration::ZERO)
            }
            Ok(RelayReply::Response(_)) => RelayOutcome::Served,
            Err(_) => RelayOutcome::Failed,
        };
        let now = self.clock.now();
        if self.lock().record_relay(relay, outcome, sent_at, now) {
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
        let report = match is_served {
            true => self.lock().record_served(now),
            false => {
                self.metrics.store_failures.increment();
                // The store may no longer respond on the other idle connections, either.
                self.direct.clear();
                let reason = || match &result {
                    Ok(response) => format!("{}: {}", call_name(request), response.status),
                    Err(error) => format!("{}: {error}", call_name(request)),
                };
                self.lock().record_unserved(sent_at, now, reason)
            }
        };
        match report {
            Some(OutageReport::Lost(reason)) => log::warn!("event=store_lost reason={reason:?}"),
            Some(OutageReport::Regained(away, reason)) => {
                log::info!("event=store_regained away={away:?} reason={reason:?}");
            }
            None => {}
        }
        result
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RelayState> {
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
