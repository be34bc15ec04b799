//! Settings files and ports of nodes that use the stand-in.

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use serde_json::json;
use tokio::net::TcpSocket;

use super::SiteStandin;
use super::lock;

/// Number of ports of a node.
const NODE_PORTS: u16 = 4;
/// Start of a range below the ports that the system assigns to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
const MAX_PORT_ATTEMPTS: usize = 500;

static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);
/// Sockets on the first ports of the groups that were found.
static RESERVED: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());

/// Returns the first port of the next group. Each process starts at a different offset.
fn next_port_group() -> u16 {
    let process_offset = (std::process::id() % 1_000) as u16 * 12;
    let port_offset = NEXT_PORT_OFFSET.fetch_add(NODE_PORTS, Ordering::Relaxed);
    FIRST_PORT + process_offset.wrapping_add(port_offset) % PORT_COUNT
}

/// Binds a port that no other socket uses.
///
/// The socket does not listen: a child process that another thread starts has a copy of it until its
/// `exec`, and a listening copy would keep the node from binding the port. `SO_REUSEADDR` is set
/// after the call of `bind`, so that the node can bind the port and a search in another process
/// cannot.
fn reserve_port(port: u16) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], port)))?;
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// Returns whether all ports of a group were free, and keeps the first one reserved until the
/// process ends. Groups of all processes start at multiples of [`NODE_PORTS`], so one socket is
/// enough.
fn reserve_group(first: u16) -> bool {
    let sockets: io::Result<Vec<_>> = (first..first + NODE_PORTS).map(reserve_port).collect();
    let Ok(sockets) = sockets else {
        return false;
    };
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    reserved.extend(sockets.into_iter().take(1));
    true
}

/// Ports of a node on 127.0.0.1.
#[derive(Clone, Copy, Debug)]
pub struct NodePorts {
    /// Port for clients.
    pub client: u16,
    /// Port for the load balancer's readiness check.
    pub readiness: u16,
    /// Port for other nodes; the next port serves operators.
    pub internal: u16,
}

impl NodePorts {
    /// Finds free ports. Two calls never return the same port, nor do calls in processes that run at
    /// the same time.
    ///
    /// # Panics
    ///
    /// Panics when no group of free ports is found.
    pub fn find() -> Self {
        let first = (0..MAX_PORT_ATTEMPTS)
            .map(|_| next_port_group())
            .find(|first| reserve_group(*first))
            .expect("free ports");
        Self {
            client: first,
            readiness: first + 1,
            internal: first + 2,
        }
    }

    /// Address for clients.
    pub fn client_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.client))
    }

    /// Address for other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.internal))
    }

    /// Address of the operator interface.
    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.internal + 1))
    }

    /// Address of the readiness check.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.readiness))
    }
}

impl SiteStandin {
    /// Returns the settings file of a node, in the platform's JSON format.
    pub fn settings(&self, name: &str, ports: NodePorts) -> String {
        self.settings_with_store(name, ports, self.store_address())
    }

    /// Returns the settings file of a node that connects to the store at `store`, which may be the
    /// address of a proxy.
    pub fn settings_with_store(&self, name: &str, ports: NodePorts, store: SocketAddr) -> String {
        self.settings_with_addresses(name, ports, store, self.machines_address())
    }

    /// Returns the settings file of a node that connects to the store at `store` and to the machine
    /// API at `machines`, which may be addresses of proxies.
    pub fn settings_with_addresses(
        &self,
        name: &str,
        ports: NodePorts,
        store: SocketAddr,
        machines: SocketAddr,
    ) -> String {
        let mut settings = json!({
            "node_name": name, "role": "jobs", "machine_class": "front", "serves": ["front"],
            "ip_address": "127.0.0.1", "zone": "zone-1", "region": "region-1",
            "listen_addresses": {"front": format!("127.0.0.1:{}", ports.client),
                                 "readiness_address": format!("127.0.0.1:{}", ports.readiness)},
            "internal_port_range": [ports.internal, ports.internal + 1],
            "heartbeat_ms": 500,
            "bounds": {"maximum_hold_ms": 6_000, "stop_ms": 200, "grace_s": 6, "status_s": 120,
                       "lease_ms": 1_000, "maintenance_s": 0.6, "move_s": 0.6},
            "orders": "call", "advice": self.advice_address().to_string(),
            "platform": {"address": store.to_string(), "form": "table", "row_bytes": 65_536},
            "cloud_api": {"address": machines.to_string()},
        });
        if let Some(limit) = lock(&self.state).revocation_limit {
            settings["bounds"]["strict_revocation"] = json!(true);
            settings["bounds"]["revoke_ms"] = json!(limit.as_millis() as u64);
        }
        settings.to_string()
    }
}
