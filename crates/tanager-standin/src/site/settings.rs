//! Settings files of nodes on the stand-in.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use serde_json::json;

use super::SiteStandin;

/// Ports that a node needs.
const NODE_PORTS: u16 = 4;
/// Ports below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 20_000;
const PORT_COUNT: u16 = 12_000;
const PORT_TRIES: usize = 500;

static NEXT_PORTS: AtomicU16 = AtomicU16::new(0);

/// Returns the next group of ports. Processes begin at different places.
fn next_ports() -> u16 {
    let begin = (std::process::id() % 1_000) as u16 * 12;
    let used = NEXT_PORTS.fetch_add(NODE_PORTS, Ordering::Relaxed);
    FIRST_PORT + begin.wrapping_add(used) % PORT_COUNT
}

fn is_free(port: u16) -> bool {
    TcpListener::bind(("127.0.0.1", port)).is_ok()
}

/// Ports of a node on 127.0.0.1.
#[derive(Clone, Copy, Debug)]
pub struct NodePorts {
    /// For clients.
    pub client: u16,
    /// For the load balancer's question.
    pub readiness: u16,
    /// For other nodes; the next one serves the operator.
    pub internal: u16,
}

impl NodePorts {
    /// Finds ports that are free now. Two calls of one process never return the same port.
    ///
    /// # Panics
    ///
    /// When no ports are free.
    pub fn find() -> Self {
        let first = (0..PORT_TRIES)
            .map(|_| next_ports())
            .find(|first| (*first..*first + NODE_PORTS).all(is_free))
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

    /// Address of the operator's interface.
    pub fn admin_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.internal + 1))
    }

    /// Address of the readiness check.
    pub fn readiness_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.readiness))
    }
}

impl SiteStandin {
    /// Returns the settings file of a node, in the platform's format.
    pub fn settings(&self, name: &str, ports: NodePorts) -> String {
        self.settings_with_store(name, ports, self.store_address())
    }

    /// Returns the settings file of a node that reaches the store at `store`, for instance through
    /// a proxy.
    pub fn settings_with_store(&self, name: &str, ports: NodePorts, store: SocketAddr) -> String {
        json!({
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
            "cloud_api": {"address": self.machines_address().to_string()},
        })
        .to_string()
    }
}
