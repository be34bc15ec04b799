//! Reusable connections to one server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;

use crate::client::ClientConnection;
use crate::client::UnsentBytes;
use crate::guarded_stream::WriteGuard;
use crate::message::HttpRequest;
use crate::message::HttpResponse;
use crate::transfer_limits::TransferLimits;

/// Limits of a [`ClientPool`].
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// A connection idle for longer is not reused, and is closed within twice this time. Network
    /// devices drop idle connections without a reset, and a request sent on such a connection has
    /// an unknown outcome.
    pub max_idle: Duration,
    /// Maximum number of idle connections that are kept.
    pub max_connections: usize,
    /// Largest accepted response body, in bytes.
    pub max_body: usize,
    /// Rate in bytes per second at which the body of a response must arrive after the time limit of its
    /// exchange; see [`TransferLimits::min_rate`].
    pub min_rate: Option<u32>,
    /// What happens to bytes that the server has not acknowledged.
    pub unsent_bytes: UnsentBytes,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            max_idle: Duration::from_secs(5),
            max_connections: 64,
            max_body: 4 << 20,
            min_rate: None,
            unsent_bytes: UnsentBytes::Deliver,
        }
    }
}

/// Pool of reusable connections to one server.
#[derive(Debug)]
pub struct ClientPool {
    address: SocketAddr,
    limits: PoolLimits,
    idle: Arc<Mutex<IdleConnections>>,
}

#[derive(Debug, Default)]
struct IdleConnections {
    connections: Vec<ClientConnection>,
    /// Whether the task that closes connections after their idle time is running.
    cleanup_running: bool,
}

impl ClientPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr, limits: PoolLimits) -> Self {
        Self {
            address,
            limits,
            idle: Arc::default(),
        }
    }

    /// Returns the address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        lock(&self.idle).connections.clear();
    }

    /// Sends a request on an idle or a new connection, within a total of `timeout`, or longer if
    /// [`PoolLimits::min_rate`] permits it for a large response.
    ///
    /// If the request was not sent on an idle connection, it is sent on a new one.
    ///
    /// # Errors
    ///
    /// As for [`ClientConnection::open`] and [`ClientConnection::exchange`].
    pub async fn exchange(
        &self,
        request: &HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        self.exchange_with_guard(request, timeout, None).await
    }

    /// Like [`Self::exchange`], but asks `guard` for permission right before each write to a socket,
    /// on the idle connection as well as on the new one.
    ///
    /// # Errors
    ///
    /// As for [`ClientConnection::open`] and [`ClientConnection::exchange_guarded`].
    pub async fn exchange_guarded(
        &self,
        request: &HttpRequest,
        timeout: Duration,
        guard: &WriteGuard,
    ) -> TanagerResult<HttpResponse> {
        self.exchange_with_guard(request, timeout, Some(guard))
            .await
    }

    async fn exchange_with_guard(
        &self,
        request: &HttpRequest,
        timeout: Duration,
        guard: Option<&WriteGuard>,
    ) -> TanagerResult<HttpResponse> {
        let start = Instant::now();
        if let Some(connection) = self.take_idle_connection() {
            let result = self.exchange_on(connection, request.clone(), timeout, guard);
            match result.await {
                Err(error) if error.kind == ErrorKind::NotSent => {}
                result => return result,
            }
        }
        let remaining = timeout.saturating_sub(start.elapsed());
        let connect_timeout = self.limits.connect_timeout.min(remaining);
        let unsent_bytes = self.limits.unsent_bytes;
        let connection =
            ClientConnection::open_with(self.address, connect_timeout, unsent_bytes).await?;
        let remaining = timeout.saturating_sub(start.elapsed());
        self.exchange_on(connection, request.clone(), remaining, guard)
            .await
    }

    async fn exchange_on(
        &self,
        mut connection: ClientConnection,
        request: HttpRequest,
        timeout: Duration,
        guard: Option<&WriteGuard>,
    ) -> TanagerResult<HttpResponse> {
        let max_body = self.limits.max_body;
        let limits = TransferLimits {
            timeout,
            min_rate: self.limits.min_rate,
        };
        let response = match guard {
            Some(guard) => {
                let exchange = connection.exchange_guarded(request, &limits, max_body, guard);
                exchange.await?
            }
            None => {
                connection
                    .exchange_within(request, &limits, max_body)
                    .await?
            }
        };
        self.return_connection(connection);
        Ok(response)
    }

    fn take_idle_connection(&self) -> Option<ClientConnection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.connections.pop() {
            if connection.is_reusable(self.limits.max_idle) {
                return Some(connection);
            }
        }
        None
    }

    fn return_connection(&self, connection: ClientConnection) {
        let max_idle = self.limits.max_idle;
        let mut idle = lock(&self.idle);
        if !connection.is_reusable(max_idle)
            || idle.connections.len() >= self.limits.max_connections
        {
            return;
        }
        idle.connections.push(connection);
        if !idle.cleanup_running {
            idle.cleanup_running = true;
            tokio::spawn(close_idle_connections(Arc::downgrade(&self.idle), max_idle));
        }
    }
}

/// Closes connections that have been idle for `max_idle`, with a delay of at most `max_idle`, until
/// no connection remains.
async fn close_idle_connections(idle: Weak<Mutex<IdleConnections>>, max_idle: Duration) {
    loop {
        time::sleep(max_idle).await;
        let Some(idle) = idle.upgrade() else { return };
        let mut idle = lock(&idle);
        idle.connections
            .retain(|connection| connection.is_reusable(max_idle));
        if idle.connections.is_empty() {
            idle.cleanup_running = false;
            return;
        }
    }
}

fn lock(idle: &Mutex<IdleConnections>) -> MutexGuard<'_, IdleConnections> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}
