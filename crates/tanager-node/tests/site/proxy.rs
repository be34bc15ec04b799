//! A TCP proxy whose open connections can be stalled while new connections work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Forwards connections to one address. Dropping the proxy closes all connections.
pub struct StallingProxy {
    address: SocketAddr,
    stall: watch::Sender<()>,
    open: Arc<AtomicUsize>,
    acceptor: JoinHandle<()>,
}

impl StallingProxy {
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let stall = watch::Sender::new(());
        let open = Arc::new(AtomicUsize::new(0));
        let (subscriber, count) = (stall.clone(), Arc::clone(&open));
        let acceptor = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("connection");
                let stalled = subscriber.subscribe();
                tokio::spawn(forward(stream, target, stalled, Arc::clone(&count)));
            }
        });
        Self {
            address,
            stall,
            open,
            acceptor,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections that forward data.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Stops forwarding on all open connections, in both directions, without closing them.
    pub fn stall_open_connections(&self) {
        self.stall.send_replace(());
    }
}

impl Drop for StallingProxy {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    mut stalled: watch::Receiver<()>,
    open: Arc<AtomicUsize>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    // With Nagle's algorithm a small response waits for the delayed acknowledgement of the peer.
    let _ = stream.set_nodelay(true);
    let _ = server.set_nodelay(true);
    open.fetch_add(1, Ordering::SeqCst);
    let ended = tokio::select! {
        _ = io::copy_bidirectional(&mut stream, &mut server) => true,
        // The channel returns an error if the proxy was dropped.
        stalled = stalled.changed() => stalled.is_err(),
    };
    open.fetch_sub(1, Ordering::SeqCst);
    if !ended {
        // Keeps both sockets open and unread until the proxy is dropped.
        while stalled.changed().await.is_ok() {}
    }
}
