//! A TCP proxy whose connections can go silent while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::io;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Forwards connections to one address. Dropping it closes all of them.
pub struct SilentProxy {
    address: SocketAddr,
    silence: watch::Sender<()>,
    open: Arc<AtomicUsize>,
    acceptor: JoinHandle<()>,
}

impl SilentProxy {
    pub async fn bind(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listener");
        let address = listener.local_addr().expect("address");
        let silence = watch::Sender::new(());
        let open = Arc::new(AtomicUsize::new(0));
        let (subscriber, count) = (silence.clone(), Arc::clone(&open));
        let acceptor = tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("connection");
                let silenced = subscriber.subscribe();
                tokio::spawn(forward(stream, target, silenced, Arc::clone(&count)));
            }
        });
        Self {
            address,
            silence,
            open,
            acceptor,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that forward.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// From now on the existing connections carry nothing in either direction and stay open.
    pub fn silence(&self) {
        self.silence.send_replace(());
    }
}

impl Drop for SilentProxy {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

async fn forward(
    mut stream: TcpStream,
    target: SocketAddr,
    mut silenced: watch::Receiver<()>,
    open: Arc<AtomicUsize>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    // Without it a small response waits for the delayed acknowledgement of the other end.
    let _ = stream.set_nodelay(true);
    let _ = server.set_nodelay(true);
    open.fetch_add(1, Ordering::SeqCst);
    let ended = tokio::select! {
        _ = io::copy_bidirectional(&mut stream, &mut server) => true,
        // An error means that the proxy was dropped.
        silenced = silenced.changed() => silenced.is_err(),
    };
    open.fetch_sub(1, Ordering::SeqCst);
    if !ended {
        // Both sockets stay open, unread, until the proxy is dropped.
        while silenced.changed().await.is_ok() {}
    }
}
