//! Client for endpoints, which classifies every failed request as not sent or unknown.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::future;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::FusedFuture;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header;

use tanager_http::ClientConnection;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::message::is_hop_by_hop_header;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::outcome::REQUEST_ID_HEADER;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::ForwardRequest;

/// Reason for which a response closes its connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseSignal {
    /// The endpoint closes the connection for an unspecified reason.
    ConnectionClose,
    /// The endpoint closes the connection with status 503: it is shutting down.
    Shutdown,
}

/// Callback for responses that close their connection; gets the address of the endpoint.
pub type CloseListener = Arc<dyn Fn(SocketAddr, CloseSignal) + Send + Sync>;

/// Whether a failed request may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendFailureKind {
    /// No byte of the request was sent; another worker may be tried.
    NotSent,
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A request without a complete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SendFailure {
    /// Whether the request may have run.
    pub kind: SendFailureKind,
    /// Message with the failed step and the endpoint.
    pub message: String,
}

impl From<TanagerError> for SendFailure {
    fn from(error: TanagerError) -> Self {
        let kind = match (error.kind, error.step) {
            (ErrorKind::NotSent, _) => SendFailureKind::NotSent,
            (ErrorKind::Timeout, _) => SendFailureKind::Unknown(UnknownReason::Timeout),
            (_, "read" | "match") => SendFailureKind::Unknown(UnknownReason::BadAnswer),
            _ => SendFailureKind::Unknown(UnknownReason::ConnectionLost),
        };
        let message = error.to_string();
        Self { kind, message }
    }
}

/// Result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The endpoint serves requests.
    Up,
    /// The endpoint responded with status 503: it is shutting down.
    ShuttingDown,
    /// The endpoint did not respond, or responded with another error status.
    Down,
}

/// A request, its id, and the latest time at which it may be sent.
type OutgoingRequest<'a> = (&'a HttpRequest, &'a str, Option<Instant>);
type IdleConnections = Arc<Mutex<Vec<ClientConnection>>>;

/// Client for all endpoints, with reusable connections per address.
///
/// It does not use `ClientPool`, which makes a connection reusable before the request id of the
/// response is compared; a connection that returned the response of another request could then be
/// used once more.
pub struct EndpointClient {
    limits: PoolLimits,
    on_close: CloseListener,
    pools: Mutex<HashMap<SocketAddr, IdleConnections>>,
}

impl EndpointClient {
    /// Creates a client, which connects to an endpoint on the first request.
    pub fn new(limits: PoolLimits, on_close: CloseListener) -> Self {
        Self {
            limits,
            on_close,
            pools: Mutex::default(),
        }
    }

    /// Sends a request and returns the complete response. `timeout` limits the whole exchange.
    ///
    /// # Errors
    ///
    /// A [`SendFailure`] that states whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: &ForwardRequest,
        timeout: Duration,
    ) -> Result<EndpointResponse, SendFailure> {
        self.send_before(address, request, timeout, (None, future::pending()))
            .await
    }

    /// Like [`Self::send`], but does not send the request after the given time, which may pass
    /// while connecting. After a cancellation it returns once the endpoint no longer processes the
    /// request.
    ///
    /// # Errors
    ///
    /// A [`SendFailure`] that states whether the request may have run.
    pub async fn send_before(
        &self,
        address: SocketAddr,
        request: &ForwardRequest,
        timeout: Duration,
        (send_before, cancelled): (Option<Instant>, impl Future<Output = ()>),
    ) -> Result<EndpointResponse, SendFailure> {
        let outgoing = build_request(address, request)?;
        let id = &request.request_id;
        let outgoing = (&outgoing, id.as_str(), send_before);
        let response = self.exchange(address, outgoing, timeout, cancelled).await?;
        let closes = connection_options(&response.headers).any(|option| option == "close");
        if closes {
            let signal = match response.status {
                StatusCode::SERVICE_UNAVAILABLE => CloseSignal::Shutdown,
                _ => CloseSignal::ConnectionClose,
            };
            (self.on_close)(address, signal);
        }
        // A response to HEAD has no body from which the content length could be computed.
        let length = response.headers.get(header::CONTENT_LENGTH);
        let length = length.filter(|_| request.method == "HEAD");
        let length = length.map(|value| (&header::CONTENT_LENGTH, value));
        let headers = end_to_end_headers(&response.headers).chain(length);
        let headers = headers.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
        Ok(EndpointResponse {
            status: response.status.as_u16(),
            headers: headers.collect(),
            body: response.body.to_vec(),
        })
    }

    /// Probes an endpoint with a GET request. Any status below 500 means that it is up.
    pub async fn probe(&self, address: SocketAddr, path: &str, timeout: Duration) -> ProbeOutcome {
        let request = HttpRequest::new(Method::GET, path, "");
        let outgoing = (&request, "", None);
        let exchange = self.exchange(address, outgoing, timeout, future::pending());
        match exchange.await {
            Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                ProbeOutcome::ShuttingDown
            }
            Ok(response) if !response.status.is_server_error() => ProbeOutcome::Up,
            _ => ProbeOutcome::Down,
        }
    }

    /// Discards the connections to all other addresses.
    pub fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        self.lock().retain(|address, _| addresses.contains(address));
    }

    /// Returns the number of addresses with a pool of connections.
    pub fn pool_count(&self) -> usize {
        self.lock().len()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        outgoing: OutgoingRequest<'_>,
        timeout: Duration,
        cancelled: impl Future<Output = ()>,
    ) -> TanagerResult<HttpResponse> {
        let start = Instant::now();
        // A second attempt must not poll the cancellation again after it has completed.
        let mut cancelled = pin!(cancelled.fuse());
        let idle = Arc::clone(self.lock().entry(address).or_default());
        if let Some(connection) = take_connection(&idle, self.limits.max_idle) {
            let target = (address, outgoing);
            let attempt = self.attempt(&idle, connection, target, timeout, cancelled.as_mut());
            match attempt.await {
                Err(error) if error.kind == ErrorKind::NotSent => {}
                result => return result,
            }
            if cancelled.is_terminated() {
                return Err(cancelled_error(address));
            }
        }
        let remaining = timeout.saturating_sub(start.elapsed());
        let connect_timeout = self.limits.connect_timeout.min(remaining);
        let connection = tokio::select! {
            biased;
            () = cancelled.as_mut() => return Err(cancelled_error(address)),
            connection = ClientConnection::open(address, connect_timeout) => connection,
        };
        let connection = match connection {
            Ok(connection) => connection,
            Err(error) => {
                lock_connections(&idle).clear();
                return Err(error);
            }
        };
        let remaining = timeout.saturating_sub(start.elapsed());
        if remaining.is_zero() {
            return Err(TanagerError::new(
                ErrorKind::NotSent,
                "send",
                address.to_string(),
                "no time left after connecting",
            ));
        }
        self.attempt(&idle, connection, (address, outgoing), remaining, cancelled)
            .await
    }

    async fn attempt(
        &self,
        idle: &IdleConnections,
        mut connection: ClientConnection,
        (address, (request, id, send_before)): (SocketAddr, OutgoingRequest<'_>),
        timeout: Duration,
        cancelled: impl Future<Output = ()>,
    ) -> TanagerResult<HttpResponse> {
        if send_before.is_some_and(|time| Instant::now() > time) {
            return Err(TanagerError::new(
                ErrorKind::NotSent,
                "send",
                address.to_string(),
                "the claim of the request has expired",
            ));
        }
        let max_body = self.limits.max_body;
        let exchange =
            connection.exchange_with_cancellation(request.clone(), timeout, max_body, cancelled);
        let result = exchange.await.and_then(|response| {
            check_response(address, &response, id)?;
            Ok(response)
        });
        match &result {
            Ok(_) if connection.is_reusable(self.limits.max_idle) => {
                let mut connections = lock_connections(idle);
                if connections.len() < self.limits.max_connections {
                    connections.push(connection);
                }
            }
            Ok(_) => {}
            // The network path may have failed, and with it all other connections to the address.
            Err(error) if error.kind != ErrorKind::NotSent => lock_connections(idle).clear(),
            Err(_) => {}
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, IdleConnections>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn cancelled_error(address: SocketAddr) -> TanagerError {
    TanagerError::new(
        ErrorKind::NotSent,
        "send",
        address.to_string(),
        "the request was cancelled before it was sent",
    )
}

fn lock_connections(idle: &IdleConnections) -> MutexGuard<'_, Vec<ClientConnection>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

fn take_connection(idle: &IdleConnections, max_idle: Duration) -> Option<ClientConnection> {
    let mut connections = lock_connections(idle);
    while let Some(connection) = connections.pop() {
        if connection.is_reusable(max_idle) {
            return Some(connection);
        }
    }
    None
}

fn build_request(address: SocketAddr, request: &ForwardRequest) -> TanagerResult<HttpRequest> {
    let invalid = |message: String| {
        TanagerError::new(ErrorKind::NotSent, "encode", address.to_string(), message)
    };
    let method = Method::from_bytes(request.method.as_bytes())
        .map_err(|error| invalid(error.to_string()))?;
    let mut headers = HeaderMap::new();
    for header in &request.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes())
            .map_err(|error| invalid(error.to_string()))?;
        let value =
            HeaderValue::from_bytes(&header.value).map_err(|error| invalid(error.to_string()))?;
        headers.append(name, value);
    }
    let mut outgoing = HttpRequest::new(method, request.path.clone(), request.body.clone());
    for (name, value) in end_to_end_headers(&headers) {
        outgoing.headers.append(name.clone(), value.clone());
    }
    let id =
        HeaderValue::from_str(&request.request_id).map_err(|error| invalid(error.to_string()))?;
    outgoing.headers.insert(REQUEST_ID_HEADER, id);
    Ok(outgoing)
}

fn check_response(address: SocketAddr, response: &HttpResponse, id: &str) -> TanagerResult<()> {
    let unexpected = |message: String| {
        TanagerError::new(ErrorKind::Unknown, "match", address.to_string(), message)
    };
    if response.status.is_informational() {
        return Err(unexpected(format!("unexpected status {}", response.status)));
    }
    let mut ids = response.headers.get_all(REQUEST_ID_HEADER).iter();
    match ids.find(|value| value.as_bytes() != id.as_bytes()) {
        Some(other) if !id.is_empty() => Err(unexpected(format!(
            "response to request {other:?} instead of {id:?}"
        ))),
        _ => Ok(()),
    }
}

/// Returns the headers to forward: all except hop-by-hop headers and those named in the
/// `Connection` header.
pub(crate) fn end_to_end_headers(
    headers: &HeaderMap,
) -> impl Iterator<Item = (&HeaderName, &HeaderValue)> {
    let named: BTreeSet<String> = connection_options(headers).collect();
    headers.iter().filter(move |(name, _)| {
        !is_hop_by_hop_header(name.as_str()) && !named.contains(name.as_str())
    })
}

fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = String> {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| {
            text.split(',')
                .map(|option| option.trim().to_ascii_lowercase())
        })
}
