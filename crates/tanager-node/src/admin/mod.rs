//! Administration API of a node: HTTP with JSON bodies and bearer tokens.
//!
//! The API depends only on the closures of [`AdminBackend`], so that tests can run it against an
//! in-memory fleet state.

mod access;
mod changes;
mod reads;
mod reply;
mod routes;
mod strict_json;

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
/// Closure that returns a value immediately.
pub type ReadFn<T> = Arc<dyn Fn() -> T + Send + Sync>;
/// Closure with one argument that may wait for the store.
pub type CallFn<A, T> = Arc<dyn Fn(A) -> BoxFuture<TanagerResult<T>> + Send + Sync>;

/// Longest accepted request body. A snapshot of a fleet of the design size has about 0.5 MiB.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Connection limit. A node serves only a few operators and metrics scrapers.
const MAX_CONNECTIONS: usize = 128;
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Settings of the administration API.
#[derive(Clone, Default)]
pub struct AdminSettings {
    /// Token with all permissions; empty if there is none.
    pub root_token: String,
}

/// Proposal of an operator to change the fleet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ChangeProposal {
    /// `root` or the team, followed by `/` and the `Tanager-Operator` header if given.
    pub author: String,
    /// Proposed change.
    pub change: FleetChange,
    /// Version on which the change is based. The proposal must fail with `Conflict` if a later
    /// entry changed the same object. `None` accepts any state.
    pub expected_version: Option<LogVersion>,
}

/// Functions of the node that the administration API uses.
#[derive(Clone)]
pub struct AdminBackend {
    /// Returns the fleet state that this node has applied.
    pub state: ReadFn<Arc<FleetState>>,
    /// Commits a change to the log. After an error of kind `Unknown` or `Timeout`, the change may
    /// have taken effect.
    pub propose: CallFn<ChangeProposal, ChangeEntry>,
    /// Returns the newest entries of the log, newest first; the argument limits their number.
    pub history: CallFn<usize, Vec<ChangeEntry>>,
    /// Returns the fleet state for export.
    pub snapshot: CallFn<(), FleetState>,
    /// Restores an exported state; fails unless the store is empty.
    pub restore: CallFn<FleetState, ()>,
    /// Returns the state of all services of the node, for diagnosis.
    pub dump: ReadFn<serde_json::Value>,
    /// Returns the reason as an error if the node is not ready.
    pub ready: ReadFn<Result<(), String>>,
    /// Returns the metrics in the OpenMetrics text format.
    pub metrics: ReadFn<String>,
}

/// A running server of the administration API.
#[derive(Debug)]
pub struct AdminServer {
    server: HttpServer,
}

impl AdminServer {
    /// Binds the API to an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// `Invalid` if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        settings: AdminSettings,
        backend: AdminBackend,
    ) -> TanagerResult<Self> {
        let limits = ServerLimits {
            max_body: MAX_BODY_BYTES,
            read_timeout: READ_TIMEOUT,
            max_connections: MAX_CONNECTIONS,
        };
        let context = Arc::new(routes::RouteContext { settings, backend });
        let handler: RequestHandler = Arc::new(move |request| {
            let context = Arc::clone(&context);
            Box::pin(async move { routes::handle(&context, &request).await })
        });
        let reject: RejectHandler = Arc::new(reply::rejection_response);
        let server = HttpServer::bind_with_reject(address, limits, handler, reject).await?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops accepting connections and finishes the requests in progress.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
