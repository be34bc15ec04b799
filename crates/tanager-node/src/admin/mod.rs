//! Administration API of a node: HTTP with JSON bodies and bearer tokens.
//!
//! The API needs nothing but the closures of [`AdminBackend`], so that tests can run it against
//! a fleet state in memory.

mod access;
mod changes;
mod reads;
mod reply;
mod routes;
mod strict;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::server::RejectHandler;
use tanager_http::server::RequestHandler;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;

/// Future that a backend closure returns.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;
/// Closure that reads a value at once.
pub type ReadFn<T> = Arc<dyn Fn() -> T + Send + Sync>;
/// Closure that takes an argument and may wait for the store.
pub type CallFn<A, T> = Arc<dyn Fn(A) -> BoxFuture<TanagerResult<T>> + Send + Sync>;

/// Longest accepted request body, in bytes. A snapshot at the design size has about 0.5 MiB.
const MAX_BODY: usize = 4 << 20;
/// Connections of operators and of scrapers of the metrics; a node serves few of either.
const MAX_CONNECTIONS: usize = 128;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the administration API.
#[derive(Clone, Default)]
pub struct AdminSettings {
    /// Token that may do everything; empty when no token may.
    pub root_token: String,
}

/// A change that an operator proposes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeProposal {
    /// `root` or the team, followed by `/` and the `Tanager-Operator` header if given.
    pub author: String,
    /// The change.
    pub change: FleetChange,
    /// Version the change is based on: it must fail with `Conflict` when a later entry changed
    /// the same object. `None` accepts any state.
    pub expected: Option<LogVersion>,
}

/// What the administration API needs of the node.
#[derive(Clone)]
pub struct AdminBackend {
    /// State of the fleet as applied by this node.
    pub state: ReadFn<Arc<FleetState>>,
    /// Commits a change to the log. An error of kind `Unknown` or `Timeout` means that the
    /// change may have taken effect.
    pub propose: CallFn<ChangeProposal, ChangeEntry>,
    /// Newest entries of the log, newest first; the argument limits their number.
    pub history: CallFn<usize, Vec<ChangeEntry>>,
    /// State of the fleet for export.
    pub snapshot: CallFn<(), FleetState>,
    /// Restores an exported state; fails unless the store is empty.
    pub restore: CallFn<FleetState, ()>,
    /// State of every service of the node, for diagnosis.
    pub dump: ReadFn<serde_json::Value>,
    /// Whether the node is ready, or why not.
    pub ready: ReadFn<Result<(), String>>,
    /// Metrics in the OpenMetrics text format.
    pub metrics: ReadFn<String>,
}

/// A running administration API.
#[derive(Debug)]
pub struct AdminServer {
    server: HttpServer,
}

impl AdminServer {
    /// Binds the API to an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// `Invalid` when the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        settings: AdminSettings,
        backend: AdminBackend,
    ) -> TanagerResult<Self> {
        let limits = ServerLimits {
            max_body: MAX_BODY,
            read_timeout: READ_TIMEOUT,
            max_connections: MAX_CONNECTIONS,
        };
        let context = Arc::new(routes::RouteContext { settings, backend });
        let handler: RequestHandler = Arc::new(move |request| {
            let context = Arc::clone(&context);
            Box::pin(async move { routes::handle(&context, &request).await })
        });
        let reject: RejectHandler = Arc::new(reply::rejected);
        let server = HttpServer::bind_with_reject(address, limits, handler, reject).await?;
        Ok(Self { server })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting and finishes the requests in progress.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
