//! Stand-in of the platform's load balancer: forwards TCP connections to ready nodes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::pool::PoolLimits;

/// Timeout of a readiness check and of a connection attempt to a node.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// One node behind the balancer.
#[derive(Clone, Copy, Debug)]
pub struct BalancedNode {
    /// Address that serves callers.
    pub caller: SocketAddr,
    /// Address that serves `/ready`.
    pub admin: SocketAddr,
}

/// Options of a [`BalancerStandin`].
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Address of the balancer; port 0 selects a free port.
    pub address: SocketAddr,
    /// Nodes behind the balancer.
    pub nodes: Vec<BalancedNode>,
    /// Time between two readiness checks of a node.
    pub interval: Duration,
}

/// A running balancer. Dropping it closes all connections.
#[derive(Debug)]
pub struct BalancerStandin {
    address: SocketAddr,
    nodes: Arc<Vec<NodeState>>,
    _tasks: JoinSet<()>,
}

#[derive(Debug)]
struct NodeState {
    node: BalancedNode,
    ready: AtomicBool,
}

impl BalancerStandin {
    /// Binds the balancer. A node receives connections after its first successful readiness check.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn bind(options: BalancerOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.address).await?;
        let address = listener.local_addr()?;
        let nodes = options.nodes.into_iter().map(|node| NodeState {
            node,
            ready: AtomicBool::new(false),
        });
        let nodes: Arc<Vec<NodeState>> = Arc::new(nodes.collect());
        let mut tasks = JoinSet::new();
        for index in 0..nodes.len() {
            tasks.spawn(check_readiness(Arc::clone(&nodes), index, options.interval));
        }
        tasks.spawn(accept_loop(listener, Arc::clone(&nodes)));
        Ok(Self {
            address,
            nodes,
            _tasks: tasks,
        })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Caller addresses of the nodes that passed their last readiness check.
    pub fn ready_nodes(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|state| state.ready.load(Ordering::SeqCst))
            .map(|state| state.node.caller)
            .collect()
    }
}

async fn check_readiness(nodes: Arc<Vec<NodeState>>, index: usize, interval: Duration) {
    let state = &nodes[index];
    let pool = ClientPool::new(state.node.admin, PoolLimits::default());
    loop {
        let request = HttpRequest::new(Method::GET, "/ready", "");
        let response = pool.exchange(&request, CHECK_TIMEOUT).await;
        let ready = response.is_ok_and(|response| response.status.is_success());
        state.ready.store(ready, Ordering::SeqCst);
        time::sleep(interval).await;
    }
}

async fn accept_loop(listener: TcpListener, nodes: Arc<Vec<NodeState>>) {
    let next_index = Arc::new(AtomicUsize::new(0));
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Accept fails when file descriptors run out; retry once some may have been closed.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        connections.spawn(forward_connection(
            stream,
            Arc::clone(&nodes),
            Arc::clone(&next_index),
        ));
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards a connection to the next ready node, round robin; closes it when no node accepts.
async fn forward_connection(
    mut stream: TcpStream,
    nodes: Arc<Vec<NodeState>>,
    next_index: Arc<AtomicUsize>,
) {
    let first_index = next_index.fetch_add(1, Ordering::Relaxed);
    let candidates =
        (0..nodes.len()).map(|offset| &nodes[first_index.wrapping_add(offset) % nodes.len()]);
    for state in candidates.filter(|state| state.ready.load(Ordering::SeqCst)) {
        let connect = TcpStream::connect(state.node.caller);
        let Ok(Ok(mut node_stream)) = time::timeout(CHECK_TIMEOUT, connect).await else {
            continue;
        };
        // Both ends disable Nagle's algorithm, so the balancer must not add it between them.
        let _ = stream.set_nodelay(true);
        let _ = node_stream.set_nodelay(true);
        // An error means that one end broke the connection; both ends see it closed.
        let _ = tokio::io::copy_bidirectional(&mut stream, &mut node_stream).await;
        return;
    }
}
