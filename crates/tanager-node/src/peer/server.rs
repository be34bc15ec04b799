//! Server of the peer protocol.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;

use tanager_http::server::bind_listener;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::FetchRequest;
use tanager_protocol::peer::ForwardReply;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::peer_server;
use tanager_protocol::peer::peer_server::Peer;

use crate::peer::convert::reply_from_outcome;
use crate::peer::message_limit;
use crate::router::BoxFuture;

const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of concurrent calls per connection. Forwarded requests wait in the queue of their home; a
/// limit below the length of that queue would delay requests at the sender, invisible to the home.
const MAX_STREAMS: u32 = 65_536;

/// With the default window of 64 KiB, a body of 4 MiB would take 64 round trips.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Handlers for the calls of other nodes. A handler's future is dropped when the other node cancels
/// its call.
#[derive(Clone)]
pub struct PeerHandlers {
    /// Handles a request as the home of its pool.
    pub forward: Arc<dyn Fn(ForwardRequest) -> BoxFuture<RequestOutcome> + Send + Sync>,
    /// Applies the status of another node and returns that of this node.
    pub gossip: Arc<dyn Fn(NodeStatus) -> BoxFuture<NodeStatus> + Send + Sync>,
    /// Returns change log entries.
    pub fetch: Arc<dyn Fn(FetchRequest) -> BoxFuture<FetchReply> + Send + Sync>,
}

#[tonic::async_trait]
impl Peer for PeerHandlers {
    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let outcome = (self.forward)(request.into_inner()).await;
        Ok(Response::new(reply_from_outcome(outcome)))
    }

    async fn gossip(&self, request: Request<NodeStatus>) -> Result<Response<NodeStatus>, Status> {
        let status = (self.gossip)(request.into_inner()).await;
        Ok(Response::new(status))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let reply = (self.fetch)(request.into_inner()).await;
        Ok(Response::new(reply))
    }
}

/// A running server of the peer protocol.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    server: JoinHandle<()>,
}

impl PeerServer {
    /// Binds a server for requests with bodies of up to `max_body` bytes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Invalid`] if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        max_body: usize,
        handlers: PeerHandlers,
    ) -> TanagerResult<Self> {
        let failed = |error: std::io::Error| {
            TanagerError::new(ErrorKind::Invalid, "bind", address.to_string(), error)
        };
        let listener = bind_listener(address).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        let service = peer_server::PeerServer::new(handlers)
            .max_decoding_message_size(message_limit(max_body))
            .max_encoding_message_size(usize::MAX);
        let (stop, mut stopped) = watch::channel(false);
        let work = Server::builder()
            .http2_keepalive_interval(Some(PING_INTERVAL))
            .http2_keepalive_timeout(Some(PING_TIMEOUT))
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, async move {
                // An error means that the handle was dropped, which also stops the server.
                let _ = stopped.wait_for(|stopped| *stopped).await;
            });
        let server = tokio::spawn(async move {
            if let Err(error) = work.await {
                log::error!("peer server at {address} failed: {error}");
            }
        });
        Ok(Self {
            address,
            stop,
            server,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, finishes calls in progress and closes all connections.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        // A panic in the server was already reported.
        let _ = self.server.await;
    }
}
