//! Client of the peer protocol, with one connection per address.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::error::Error;
use std::future::Future;
use std::future::Ready;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time;
use tonic::Response;
use tonic::Status;
use tonic::codegen::Service;
use tonic::codegen::http::Uri;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::FetchRequest;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::peer_client;

use crate::peer::convert::outcome_from_reply;
use crate::peer::message_limit;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

type GeneratedClient = peer_client::PeerClient<Channel>;

/// Failure of a call without a valid reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardFailure {
    /// The call was not sent.
    NotSent(String),
    /// The call may have taken effect.
    Unknown(String),
}

/// Error returned when a channel tries to reconnect by itself. Channels must not reconnect, because
/// a failed reconnect could not be distinguished from a failure after the call was sent.
#[derive(Debug, Error)]
#[error("the connection is closed")]
struct ConnectionClosed;

/// Connector that passes one established connection to a channel and refuses to reconnect.
struct OnceConnector {
    stream: Option<TcpStream>,
}

impl Service<Uri> for OnceConnector {
    type Response = TokioIo<TcpStream>;
    type Error = ConnectionClosed;
    type Future = Ready<Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, _address: Uri) -> Self::Future {
        ready(self.stream.take().map(TokioIo::new).ok_or(ConnectionClosed))
    }
}

/// An established connection, identified by its number.
#[derive(Clone)]
struct OpenChannel {
    number: u64,
    channel: Channel,
}

/// Time and message of the last failed connection attempt.
type ConnectFailure = Option<(Instant, String)>;

/// Connection state of one address.
#[derive(Default)]
struct PeerEntry {
    open_channel: Mutex<Option<OpenChannel>>,
    /// Allows one connection attempt at a time.
    connect_lock: tokio::sync::Mutex<ConnectFailure>,
}

impl PeerEntry {
    fn lock_channel(&self) -> MutexGuard<'_, Option<OpenChannel>> {
        self.open_channel
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes later calls open a new connection; calls in progress keep the old one.
    fn discard(&self, number: u64) {
        let mut open_channel = self.lock_channel();
        if open_channel
            .as_ref()
            .is_some_and(|open_channel| open_channel.number == number)
        {
            *open_channel = None;
        }
    }
}

/// Client for calls to all other nodes.
pub struct PeerClient {
    message_limit: usize,
    entries: Mutex<HashMap<SocketAddr, Arc<PeerEntry>>>,
    opened_connections: AtomicU64,
}

impl PeerClient {
    /// Creates a client for requests with bodies of up to `max_body` bytes. It connects to a node
    /// on the first call.
    pub fn new(max_body: usize) -> Self {
        Self {
            message_limit: message_limit(max_body),
            entries: Mutex::default(),
            opened_connections: AtomicU64::new(0),
        }
    }

    /// Forwards a request to the home of its pool and returns its outcome.
    ///
    /// # Errors
    ///
    /// A [`ForwardFailure`] that states whether the request may have run.
    pub async fn forward(
        &self,
        address: SocketAddr,
        request: ForwardRequest,
        timeout: Duration,
    ) -> Result<RequestOutcome, ForwardFailure> {
        let reply = self.call(address, timeout, |mut client| {
            let request = request.clone();
            async move { client.forward(request).await }
        });
        let invalid = || ForwardFailure::Unknown(format!("forward {address}: invalid reply"));
        outcome_from_reply(reply.await?).ok_or_else(invalid)
    }

    /// Sends the status of this node to another one and returns that of the other node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] if the call was not sent, [`ErrorKind::Unknown`] if it may have taken
    /// effect.
    pub async fn gossip(
        &self,
        address: SocketAddr,
        status: NodeStatus,
        timeout: Duration,
    ) -> TanagerResult<NodeStatus> {
        let reply = self.call(address, timeout, |mut client| {
            let status = status.clone();
            async move { client.gossip(status).await }
        });
        reply
            .await
            .map_err(|failure| failure.into_error("gossip", address))
    }

    /// Reads change log entries from another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] if the call was not sent, [`ErrorKind::Unknown`] if it may have taken
    /// effect.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: FetchRequest,
        timeout: Duration,
    ) -> TanagerResult<FetchReply> {
        let reply = self.call(address, timeout, |mut client| async move {
            client.fetch(request).await
        });
        reply
            .await
            .map_err(|failure| failure.into_error("fetch", address))
    }

    /// Discards the connections to all other addresses.
    pub fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        self.lock_entries()
            .retain(|address, _| addresses.contains(address));
    }

    /// Returns the number of connections opened since the client was created.
    pub fn opened_connections(&self) -> u64 {
        self.opened_connections.load(Ordering::Relaxed)
    }

    async fn call<T, F>(
        &self,
        address: SocketAddr,
        timeout: Duration,
        operation: impl Fn(GeneratedClient) -> F,
    ) -> Result<T, ForwardFailure>
    where
        F: Future<Output = Result<Response<T>, Status>>,
    {
        let deadline = Instant::now() + timeout;
        let entry = Arc::clone(self.lock_entries().entry(address).or_default());
        let mut retried = false;
        loop {
            let open_channel = match self.connect(&entry, address, deadline).await {
                Ok(open_channel) => open_channel,
                Err(message) => return Err(ForwardFailure::NotSent(message)),
            };
            let client = GeneratedClient::new(open_channel.channel)
                .max_decoding_message_size(usize::MAX)
                .max_encoding_message_size(self.message_limit);
            let result = time::timeout_at(deadline.into(), operation(client)).await;
            let status = match result {
                Ok(Ok(reply)) => return Ok(reply.into_inner()),
                Ok(Err(status)) => Some(status),
                Err(_) => None,
            };
            entry.discard(open_channel.number);
            match status {
                // The connection closed while it was idle, for example when the peer restarted.
                Some(status) if closed_before_send(&status) && !retried => retried = true,
                Some(status) if closed_before_send(&status) => {
                    return Err(ForwardFailure::NotSent(format!("{address}: {status}")));
                }
                Some(status) => {
                    return Err(ForwardFailure::Unknown(format!("{address}: {status}")));
                }
                None => {
                    let message = format!("{address}: no reply within {timeout:?}");
                    return Err(ForwardFailure::Unknown(message));
                }
            }
        }
    }

    async fn connect(
        &self,
        entry: &PeerEntry,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<OpenChannel, String> {
        if let Some(open_channel) = entry.lock_channel().clone() {
            return Ok(open_channel);
        }
        let requested_at = Instant::now();
        let limit = deadline.min(requested_at + CONNECT_TIMEOUT);
        let timed_out = |_| format!("connect {address}: no connection in time");
        let connect_lock = time::timeout_at(deadline.into(), entry.connect_lock.lock());
        let mut failure = connect_lock.await.map_err(timed_out)?;
        if let Some(open_channel) = entry.lock_channel().clone() {
            return Ok(open_channel);
        }
        // Calls that waited for an attempt that failed return its error. If each of them tried
        // again, the attempts would take a second each, one after the other.
        if let Some((time, message)) = failure.as_ref()
            && *time >= requested_at
        {
            return Err(message.clone());
        }
        let opened = match time::timeout_at(limit.into(), connect_channel(address)).await {
            Ok(opened) => opened,
            Err(elapsed) => Err(timed_out(elapsed)),
        };
        match opened {
            Ok(channel) => {
                let number = &self.opened_connections;
                let number = number.fetch_add(1, Ordering::Relaxed);
                let open_channel = OpenChannel { number, channel };
                *entry.lock_channel() = Some(open_channel.clone());
                Ok(open_channel)
            }
            Err(message) => {
                *failure = Some((Instant::now(), message.clone()));
                Err(message)
            }
        }
    }

    fn lock_entries(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<PeerEntry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ForwardFailure {
    fn into_error(self, step: &'static str, address: SocketAddr) -> TanagerError {
        let (kind, message) = match self {
            Self::NotSent(message) => (ErrorKind::NotSent, message),
            Self::Unknown(message) => (ErrorKind::Unknown, message),
        };
        TanagerError::new(kind, step, address.to_string(), message)
    }
}

async fn connect_channel(address: SocketAddr) -> Result<Channel, String> {
    let failed = |error: &dyn Error| format!("connect {address}: {error}");
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| failed(&error))?;
    stream.set_nodelay(true).map_err(|error| failed(&error))?;
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    endpoint
        .map_err(|error| failed(&error))?
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(true)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .connect_with_connector(OnceConnector {
            stream: Some(stream),
        })
        .await
        .map_err(|error| failed(&error))
}

/// Returns whether the connection closed before it accepted the call. hyper reports `canceled` only
/// for requests that it did not accept; for accepted ones, the peer may have received them.
fn closed_before_send(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        let canceled = error.downcast_ref().is_some_and(hyper::Error::is_canceled);
        if canceled || error.is::<ConnectionClosed>() {
            return true;
        }
        source = error.source();
    }
    false
}
