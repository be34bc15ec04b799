//! Calls other nodes over one connection per address.

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
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 8 << 20;

type GeneratedClient = peer_client::PeerClient<Channel>;

/// A call without a reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ForwardFailure {
    /// The call did not leave this process.
    NotSent(String),
    /// The call may have taken effect.
    Unknown(String),
}

/// Fails every attempt of a channel to connect again on its own: such an attempt could not be told
/// from a failure after the call was sent.
#[derive(Debug, Error)]
#[error("the connection is closed")]
struct ConnectionClosed;

/// Hands one established connection to a channel.
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

#[derive(Clone)]
struct LiveChannel {
    number: u64,
    channel: Channel,
}

/// Newest failed connect: its time and message.
type ConnectFailure = Option<(Instant, String)>;

#[derive(Default)]
struct PeerSlot {
    live: Mutex<Option<LiveChannel>>,
    connecting: tokio::sync::Mutex<ConnectFailure>,
}

impl PeerSlot {
    fn live(&self) -> MutexGuard<'_, Option<LiveChannel>> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes later calls use a new connection; calls in progress keep the old one.
    fn discard(&self, number: u64) {
        let mut live = self.live();
        if live.as_ref().is_some_and(|live| live.number == number) {
            *live = None;
        }
    }
}

/// Client of all other nodes.
pub struct PeerClient {
    message_limit: usize,
    slots: Mutex<HashMap<SocketAddr, Arc<PeerSlot>>>,
    connections: AtomicU64,
}

impl PeerClient {
    /// Creates a client for requests with bodies of up to `max_body` bytes; it connects when it is
    /// first used.
    pub fn new(max_body: usize) -> Self {
        Self {
            message_limit: message_limit(max_body),
            slots: Mutex::default(),
            connections: AtomicU64::new(0),
        }
    }

    /// Forwards a request to the home of its pool.
    ///
    /// # Errors
    ///
    /// A [`ForwardFailure`] that tells whether the request may have run.
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

    /// Exchanges the status with another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] or [`ErrorKind::Unknown`].
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
        reply.await.map_err(|error| error.at("gossip", address))
    }

    /// Reads change log entries from another node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] or [`ErrorKind::Unknown`].
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: FetchRequest,
        timeout: Duration,
    ) -> TanagerResult<FetchReply> {
        let reply = self.call(address, timeout, |mut client| async move {
            client.fetch(request).await
        });
        reply.await.map_err(|error| error.at("fetch", address))
    }

    /// Forgets the connections to addresses of nodes that are gone.
    pub fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        self.slots()
            .retain(|address, _| addresses.contains(address));
    }

    /// Number of connections opened so far.
    pub fn opened_connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
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
        let slot = Arc::clone(self.slots().entry(address).or_default());
        let mut closed = false;
        loop {
            let live = match self.connect(&slot, address, deadline).await {
                Ok(live) => live,
                Err(message) => return Err(ForwardFailure::NotSent(message)),
            };
            let client = GeneratedClient::new(live.channel)
                .max_decoding_message_size(usize::MAX)
                .max_encoding_message_size(self.message_limit);
            let result = time::timeout_at(deadline.into(), operation(client)).await;
            let status = match result {
                Ok(Ok(reply)) => return Ok(reply.into_inner()),
                Ok(Err(status)) => Some(status),
                Err(_) => None,
            };
            slot.discard(live.number);
            match status {
                // The connection ended while it was idle, as after a restart of the peer.
                Some(status) if was_closed(&status) && !closed => closed = true,
                Some(status) if was_closed(&status) => {
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
        slot: &PeerSlot,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<LiveChannel, String> {
        if let Some(live) = slot.live().clone() {
            return Ok(live);
        }
        let asked = Instant::now();
        let limit = deadline.min(asked + CONNECT_TIMEOUT);
        let late = |_| format!("connect {address}: no connection in time");
        let connecting = time::timeout_at(deadline.into(), slot.connecting.lock());
        let mut failure = connecting.await.map_err(late)?;
        if let Some(live) = slot.live().clone() {
            return Ok(live);
        }
        // Calls that waited for a failed connect fail with it; one after the other would take a
        // second each.
        if let Some((time, message)) = failure.as_ref()
            && *time >= asked
        {
            return Err(message.clone());
        }
        let opened = match time::timeout_at(limit.into(), open_channel(address)).await {
            Ok(opened) => opened,
            Err(elapsed) => Err(late(elapsed)),
        };
        match opened {
            Ok(channel) => {
                let number = &self.connections;
                let number = number.fetch_add(1, Ordering::Relaxed);
                let live = LiveChannel { number, channel };
                *slot.live() = Some(live.clone());
                Ok(live)
            }
            Err(message) => {
                *failure = Some((Instant::now(), message.clone()));
                Err(message)
            }
        }
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<PeerSlot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ForwardFailure {
    fn at(self, step: &'static str, address: SocketAddr) -> TanagerError {
        let (kind, message) = match self {
            Self::NotSent(message) => (ErrorKind::NotSent, message),
            Self::Unknown(message) => (ErrorKind::Unknown, message),
        };
        TanagerError::new(kind, step, address.to_string(), message)
    }
}

async fn open_channel(address: SocketAddr) -> Result<Channel, String> {
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
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .connect_with_connector(OnceConnector {
            stream: Some(stream),
        })
        .await
        .map_err(|error| failed(&error))
}

/// Returns whether the connection closed before it took the call. hyper reports a request that it
/// took, whether or not the peer saw it, with another error than canceled.
fn was_closed(status: &Status) -> bool {
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
