//! A network link from a node to a server of the platform, which can hold bytes back and deliver them
//! later, and whose rate can be limited.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time;

/// Which bytes the link holds back until the mode changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum LinkMode {
    /// None.
    #[default]
    Forward,
    /// GET requests.
    HoldReads,
    /// Requests other than GET.
    HoldWrites,
    /// All requests.
    HoldRequests,
    /// All responses.
    HoldResponses,
}

impl LinkMode {
    fn holds_request(self, bytes: &[u8]) -> bool {
        let is_read = bytes.starts_with(b"GET ");
        match self {
            Self::Forward | Self::HoldResponses => false,
            Self::HoldReads => is_read,
            Self::HoldWrites => !is_read,
            Self::HoldRequests => true,
        }
    }
}

/// Rate of one direction of a link, which all its connections share.
struct LinkRate {
    bytes_per_second: f64,
    /// Time at which the bytes sent so far have passed the link.
    free_at: Mutex<Instant>,
}

impl LinkRate {
    fn new(bits_per_second: f64) -> Self {
        Self {
            bytes_per_second: bits_per_second / 8.0,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until bytes that are sent now have passed the link.
    async fn pass(&self, bytes: usize) {
        let passed_at = {
            let mut free_at = self.free_at.lock().expect("no panic");
            let duration = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        time::sleep_until(passed_at.into()).await;
    }
}

/// A running link. A connection that the client closes delivers the bytes that it holds, and one that
/// the client resets loses them.
pub(crate) struct NetworkLink {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<LinkMode>,
    waiting_writes: Arc<AtomicUsize>,
    /// Number of connections that were opened.
    connections: watch::Sender<usize>,
}

impl NetworkLink {
    /// Binds a link without a limit of its rate.
    pub(crate) async fn bind(target: SocketAddr) -> Self {
        Self::bind_with_rate(target, f64::INFINITY).await
    }

    /// Binds a link that carries requests and responses each at a rate in bits per second.
    pub(crate) async fn bind_with_rate(target: SocketAddr, bits_per_second: f64) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let mode = watch::Sender::new(LinkMode::default());
        let waiting_writes = Arc::new(AtomicUsize::new(0));
        let (subscriber, counter) = (mode.clone(), Arc::clone(&waiting_writes));
        let connections = watch::Sender::new(0);
        let opened = connections.clone();
        let [request_rate, response_rate] =
            [(); 2].map(|()| Arc::new(LinkRate::new(bits_per_second)));
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                opened.send_modify(|count| *count += 1);
                let connection = LinkConnection {
                    mode: subscriber.subscribe(),
                    waiting_writes: Arc::clone(&counter),
                    request_rate: Arc::clone(&request_rate),
                    response_rate: Arc::clone(&response_rate),
                };
                tokio::spawn(connection.serve(client, target));
            }
        });
        Self {
            address,
            mode,
            waiting_writes,
            connections,
        }
    }

    /// Returns the number of connections that were opened so far.
    pub(crate) fn connections(&self) -> usize {
        *self.connections.borrow()
    }

    /// Waits until this many connections were opened.
    pub(crate) async fn wait_for_connections(&self, count: usize) {
        let mut opened = self.connections.subscribe();
        let result = opened.wait_for(|opened| *opened >= count).await;
        result.expect("a running link");
    }

    pub(crate) fn set_mode(&self, mode: LinkMode) {
        self.mode.send_replace(mode);
    }

    /// Returns the number of held requests other than GET whose client has not closed or reset its
    /// connection.
    pub(crate) fn waiting_writes(&self) -> usize {
        self.waiting_writes.load(Ordering::SeqCst)
    }
}

#[derive(Clone)]
struct LinkConnection {
    mode: watch::Receiver<LinkMode>,
    waiting_writes: Arc<AtomicUsize>,
    request_rate: Arc<LinkRate>,
    response_rate: Arc<LinkRate>,
}

impl LinkConnection {
    async fn serve(self, client: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        // With Nagle's algorithm a small response waits for the delayed acknowledgement of the peer.
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_in, client_out) = client.into_split();
        let (server_in, server_out) = server.into_split();
        tokio::select! {
            () = self.clone().forward_requests(client_in, server_out) => {}
            () = self.forward_responses(server_in, client_out) => {}
        }
    }

    async fn forward_requests(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = [0; 16 << 10];
        let mut held: Vec<u8> = Vec::new();
        let mut is_open = true;
        let mut is_counted = false;
        loop {
            let mode = *self.mode.borrow_and_update();
            if !held.is_empty() && !mode.holds_request(&held) {
                self.request_rate.pass(held.len()).await;
                if to.write_all(&held).await.is_err() {
                    return;
                }
                held.clear();
                if !is_open {
                    // The server may drop a request whose connection ends before its response.
                    return std::future::pending().await;
                }
            }
            if held.is_empty() && !is_open {
                return;
            }
            let is_waiting = is_open && !held.is_empty() && !held.starts_with(b"GET ");
            self.count(&mut is_counted, is_waiting);
            tokio::select! {
                read = from.read(&mut buffer), if is_open => match read {
                    Ok(0) => is_open = false,
                    Ok(length) => held.extend_from_slice(&buffer[..length]),
                    Err(_) => {
                        self.count(&mut is_counted, false);
                        return;
                    }
                },
                changed = self.mode.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    fn count(&self, is_counted: &mut bool, is_waiting: bool) {
        match (*is_counted, is_waiting) {
            (false, true) => _ = self.waiting_writes.fetch_add(1, Ordering::SeqCst),
            (true, false) => _ = self.waiting_writes.fetch_sub(1, Ordering::SeqCst),
            _ => {}
        }
        *is_counted = is_waiting;
    }

    async fn forward_responses(mut self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = [0; 16 << 10];
        loop {
            let Ok(length) = from.read(&mut buffer).await else {
                return;
            };
            let is_forwarded = |mode: &LinkMode| *mode != LinkMode::HoldResponses;
            if length == 0 || self.mode.wait_for(is_forwarded).await.is_err() {
                return;
            }
            self.response_rate.pass(length).await;
            if to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }
}
