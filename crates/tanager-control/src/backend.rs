//! Interface of the control service to the rest of the node.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use tanager_platform::PlatformClient;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::VmId;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::NodeStatus;

use crate::rebalance::UsageReport;

/// Future returned by the closures of a [`ControlBackend`].
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Progress of the local dispatcher, observed atomically.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeProgress {
    /// Newest log version that the dispatcher has applied.
    pub version: LogVersion,
    /// Requests in flight for each VM that is draining or moving at that version.
    pub in_flight: BTreeMap<VmId, u32>,
}

/// Connections of the control service to the platform, the peers and the local dispatcher.
///
/// The service owns the closures. A closure that also owns the service keeps the service's tasks
/// running after every other owner was dropped.
#[derive(Clone)]
pub struct ControlBackend {
    /// Client of the platform.
    pub platform: Arc<PlatformClient>,
    /// Returns the progress of the local dispatcher.
    pub progress: Arc<dyn Fn() -> NodeProgress + Send + Sync>,
    /// Returns the newest measurement of the load of this node's pools.
    pub usage: Arc<dyn Fn() -> UsageReport + Send + Sync>,
    /// Returns the VMs that local probes consider unavailable.
    pub suspects: Arc<dyn Fn() -> BTreeSet<VmId> + Send + Sync>,
    /// Fetches the entries after a version from a peer.
    pub fetch: FetchCall,
    /// Sends this node's status to a peer and returns the peer's status.
    pub gossip: GossipCall,
}

/// Calls `Fetch` of a peer.
pub type FetchCall =
    Arc<dyn Fn(SocketAddr, LogVersion) -> BoxFuture<TanagerResult<FetchReply>> + Send + Sync>;
/// Calls `Gossip` of a peer.
pub type GossipCall =
    Arc<dyn Fn(SocketAddr, NodeStatus) -> BoxFuture<TanagerResult<NodeStatus>> + Send + Sync>;

impl fmt::Debug for ControlBackend {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ControlBackend")
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}
