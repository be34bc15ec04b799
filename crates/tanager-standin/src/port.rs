//! Listeners of the stand-ins, which can be closed and opened again on the same port.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time;

use crate::wire::WireConnection;

/// Connections that the system accepts ahead of the listener.
const BACKLOG: u32 = 1_024;

/// Future of a [`ConnectionHandler`].
pub type ConnectionFuture = Pin<Box<dyn Future<Output = ()> + Send>>;
/// Serves one connection; it ends soon after the receiver turns true.
pub type ConnectionHandler =
    Arc<dyn Fn(WireConnection, watch::Receiver<bool>) -> ConnectionFuture + Send + Sync>;

/// A running listener.
#[derive(Debug)]
struct WireServer {
    stop: watch::Sender<bool>,
    acceptor: JoinHandle<()>,
}

impl WireServer {
    fn spawn(listener: TcpListener, handler: ConnectionHandler) -> Self {
        let (stop, stopped) = watch::channel(false);
        let acceptor = tokio::spawn(accept_loop(listener, handler, stopped));
        Self { stop, acceptor }
    }

    /// Stops listening and waits until the connections have ended.
    async fn stop(self) {
        self.stop.send_replace(true);
        // The acceptor ends only after its connections; a panic there was already reported.
        let _ = self.acceptor.await;
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
    /// A bound socket that does not listen keeps the port from other processes.
    Closed(TcpSocket),
    Broken,
}

impl WirePort {
    /// Binds a port and serves its connections.
    ///
    /// # Errors
    ///
    /// Errors of the bind.
    pub fn bind(address: SocketAddr, handler: ConnectionHandler) -> io::Result<Self> {
        let listener = reserve(address)?.listen(BACKLOG)?;
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
    /// Errors of reserving the port.
    pub async fn close(&self) -> io::Result<()> {
        let mut state = self.state.lock().await;
        if let PortState::Open(server) = std::mem::replace(&mut *state, PortState::Broken) {
            server.stop().await;
            *state = PortState::Closed(reserve(self.address)?);
        }
        Ok(())
    }

    /// Accepts connections again.
    ///
    /// # Errors
    ///
    /// Errors of listening.
    pub async fn open(&self) -> io::Result<()> {
        let mut state = self.state.lock().await;
        let socket = match std::mem::replace(&mut *state, PortState::Broken) {
            PortState::Open(server) => {
                *state = PortState::Open(server);
                return Ok(());
            }
            PortState::Closed(socket) => socket,
            PortState::Broken => reserve(self.address)?,
        };
        let listener = socket.listen(BACKLOG)?;
        let server = WireServer::spawn(listener, Arc::clone(&self.handler));
        *state = PortState::Open(server);
        Ok(())
    }
}

fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Without it the port cannot be bound while closed connections are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
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
            // Accept fails when file descriptors run out; retry when some were closed.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        // Without it a small response waits for the delayed acknowledgement of the client.
        let _ = stream.set_nodelay(true);
        connections.spawn(handler(WireConnection::new(stream), stopped.clone()));
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Completes when the server stops or its handle is dropped.
pub async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the handle was dropped.
    let _ = stopped.wait_for(|stopped| *stopped).await;
}
