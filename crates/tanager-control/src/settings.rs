//! Settings of the control service.

use std::net::SocketAddr;
use std::time::Duration;

use tanager_protocol::fleet::NodeRecord;
use tanager_protocol::ids::NodeId;

/// Settings of the control service of one node.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// Name of the node, which is also the name of its VM in the platform's list.
    pub node: NodeId,
    /// Record with which the node registers: incarnation, zone and addresses.
    pub record: NodeRecord,
    /// Peer addresses that the node contacts before it knows any registered node.
    pub seeds: Vec<SocketAddr>,
    /// Settings of moves by load.
    pub rebalance: RebalanceSettings,
    /// Periods and limits.
    pub timing: ControlTiming,
}

/// Moves of VMs to pools with a lasting overload.
#[derive(Clone, Copy, Debug)]
pub struct RebalanceSettings {
    /// Whether this node reports its load and may coordinate moves.
    pub enabled: bool,
    /// Time for which a move takes a VM out of service; load must last longer to cause a move.
    pub move_cost: Duration,
}

impl Default for RebalanceSettings {
    fn default() -> Self {
        Self {
            enabled: false,
            move_cost: Duration::from_secs(30),
        }
    }
}

/// Periods and limits of the control service. Tests shorten them.
#[derive(Clone, Copy, Debug)]
pub struct ControlTiming {
    /// Period of reads of `head` and of the platform's VM list.
    pub poll_interval: Duration,
    /// Period of gossip with each registered node and seed.
    pub gossip_interval: Duration,
    /// Period of the coordinators.
    pub coordinate_interval: Duration,
    /// Period of the coordinator of moves by load. It should read each report once, because the
    /// decision tolerates gaps of only a twentieth of the cost of a move.
    pub rebalance_interval: Duration,
    /// A node without contact for this time cannot be a home.
    pub contact_timeout: Duration,
    /// A node without contact with the store and peers for this time is not ready.
    pub isolation_timeout: Duration,
    /// Time limit of a gossip or fetch call.
    pub peer_timeout: Duration,
    /// Time after a reboot request from which a VM that is up counts as rebooted even if it was
    /// never observed to be down.
    pub reboot_grace_period: Duration,
    /// A wave is paused when a VM is not up again within this time after its reboot step began.
    pub reboot_timeout: Duration,
    /// Log entries between two snapshots.
    pub snapshot_interval: u64,
    /// Log entries retained before the newest snapshot.
    pub log_retention: u64,
    /// Pause between two transactions that delete old entries.
    pub trim_pause: Duration,
}

impl Default for ControlTiming {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_secs(1),
            gossip_interval: Duration::from_secs(1),
            coordinate_interval: Duration::from_millis(250),
            rebalance_interval: Duration::from_secs(1),
            contact_timeout: Duration::from_secs(3),
            isolation_timeout: Duration::from_secs(4),
            peer_timeout: Duration::from_secs(2),
            reboot_grace_period: Duration::from_secs(30),
            reboot_timeout: Duration::from_secs(600),
            snapshot_interval: 200,
            log_retention: 2_000,
            trim_pause: Duration::from_secs(1),
        }
    }
}
