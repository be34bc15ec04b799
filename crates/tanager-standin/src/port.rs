//! Listeners of the stand-ins, which can be closed and reopened on the same port.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::wire::WireConnection;

/// Connections that the operating system queues until they are accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Limit of the wait for child processes to close their copies of a listener.
const REBIND_TIMEOUT: Duration = Duration::from_secs(10);

/// Future of a [`ConnectionHandler`].
pub type ConnectionFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
/// Serves one connection; its future ends soon after the receiver becomes true.
pub type ConnectionHandler =
    Arc<dyn Fn(WireConnection, watch::Receiver<bool>) -> ConnectionFuture + Send + Sync>;

/// A running listener.
#[derive(Debug)]
struct WireServer {
    stop: watch::Sender<bool>,
    accept_task: JoinHandle<()>,
}

impl WireServer {
    fn spawn(listener: TcpListener, handler: ConnectionHandler) -> Self {
        let (stop, stopped) = watch::channel(false);
        let accept_task = tokio::spawn(accept_loop(listener, handler, stopped));
        Self { stop, accept_task }
    }

    /// Stops listening and waits for all connections to end.
    async fn stop(self) {
        self.stop.send_replace(true);
        // The task ends only after its connections; the panic hook has reported a panic there.
        let _ = self.accept_task.await;
    }
}

/// A port that is open or refuses connections. Dropping it stops the listener.
pub struct WirePort {
    address: SocketAddr,
    handler: ConnectionHandler,
    state: Mutex<PortState>,
}

enum PortState {
    Open(WireServer),
    /// The socket stays bound without listening, so that no other process gets the port.
    Closed(TcpSocket),
    /// The socket was lost to an error; opening the port binds it again.
    Unbound,
}

impl WirePort {
    /// Binds a port and serves its connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn bind(address: SocketAddr, handler: ConnectionHandler) -> io::Result<Self> {
        let listener = bind_socket(address)?.listen(LISTEN_BACKLOG)?;
        let address = listener.local_addr()?;
        let server = WireServer::spawn(listener, Arc::clone(&handler));
        Ok(Self {
            address,
            handler,
            state: Mutex::new(PortState::Open(server)),
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections, finishes requests in progress and closes all connections.
    ///
    /// # Errors
    ///
    /// Returns an error when the port cannot be bound again.
    pub async fn close(&self) -> io::Result<()> {
        let mut state = self.state.lock().await;
        if let PortState::Open(server) = std::mem::replace(&mut *state, PortState::Unbound) {
            server.stop().await;
            *state = PortState::Closed(rebind_socket(self.address).await?);
        }
        Ok(())
    }

    /// Accepts connections again.
    ///
    /// # Errors
    ///
    /// Returns an error when the port cannot be bound or listened on.
    pub async fn open(&self) -> io::Result<()> {
        let mut state = self.state.lock().await;
        let socket = match std::mem::replace(&mut *state, PortState::Unbound) {
            PortState::Open(server) => {
                *state = PortState::Open(server);
                return Ok(());
            }
            PortState::Closed(socket) => socket,
            PortState::Unbound => bind_socket(self.address)?,
        };
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let server = WireServer::spawn(listener, Arc::clone(&self.handler));
        *state = PortState::Open(server);
        Ok(())
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Allows binding while closed connections of the port are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Binds an address again after its listener was closed.
///
/// A child process that another thread starts has a copy of the listener until its `exec`, and the
/// address stays in use until then.
async fn rebind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let end = Instant::now() + REBIND_TIMEOUT;
    loop {
        match bind_socket(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                time::sleep(Duration::from_millis(1)).await;
            }
            result => return result,
        }
    }
}

async fn accept_loop(
    listener: TcpListener,
    handler: ConnectionHandler,
    mut stopped: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(&mut stopped) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Accept fails when file descriptors run out; retry once some may have been closed.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // With Nagle's algorithm a small response would wait for the client's delayed ACK.
        let _ = stream.set_nodelay(true);
        connections.spawn(handler(WireConnection::new(stream), stopped.clone()));
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Completes when the server stops or its [`WirePort`] is dropped.
pub async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped with the port.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
