//! Records of the fleet state, as shown by the administration API.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigDocument;
use crate::ids::Incarnation;
use crate::ids::LogVersion;
use crate::ids::NodeId;
use crate::ids::PoolId;
use crate::ids::VmId;
use crate::ids::WaveId;
use crate::ids::ZoneId;

/// State of a VM. A VM belongs to exactly one pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// The pool the VM belongs to.
    pub pool: PoolId,
    /// Planned work on the VM.
    pub activity: VmActivity,
    /// Newest reported health.
    pub health: VmHealth,
    /// Version of the newest entry that changed this record.
    pub version: LogVersion,
}

/// Planned work on a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmActivity {
    /// Receives work of its pool; no planned work.
    Active,
    /// Receives no new work and moves to another pool.
    Moving {
        /// Pool the VM joins.
        to: PoolId,
        /// Version at which the move started.
        since: LogVersion,
    },
    /// Receives no new work until the drain ends.
    Draining {
        /// Why the VM is drained.
        reason: String,
        /// Version at which the drain started.
        since: LogVersion,
    },
}

/// Reported health of a VM.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmHealth {
    /// Serves requests.
    #[default]
    Up,
    /// Does not respond.
    Down,
    /// The platform announced that the VM will shut down.
    Leaving,
    /// No longer exists.
    Gone,
}

/// A registered node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeRecord {
    /// Identifies the process start of the node.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the caller interface.
    pub caller_address: SocketAddr,
    /// Address of the peer interface.
    pub peer_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Version at which the node joined.
    pub since: LogVersion,
}

/// A maintenance wave over one pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WaveRecord {
    /// Pool under maintenance.
    pub pool: PoolId,
    /// Progress of the wave.
    pub status: WaveStatus,
    /// VMs not yet started, in order.
    pub waiting: Vec<VmId>,
    /// VMs in maintenance, with their step.
    pub running: Vec<(VmId, WaveStep)>,
    /// VMs back in service.
    pub finished: Vec<VmId>,
    /// Version of the newest entry that changed this record.
    pub version: LogVersion,
}

/// Progress of a wave.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveStatus {
    /// VMs are being maintained.
    Running,
    /// No further VM is started until the wave is resumed.
    Paused {
        /// Why the wave was paused.
        reason: String,
    },
    /// Every VM was maintained.
    Finished,
    /// No further VM is started; VMs that are being rebooted return to service.
    Aborted,
}

impl WaveRecord {
    /// Returns whether the wave is over: no VM is in maintenance and none will be.
    pub fn is_over(&self) -> bool {
        match self.status {
            WaveStatus::Finished => true,
            WaveStatus::Aborted => self.running.is_empty(),
            WaveStatus::Running | WaveStatus::Paused { .. } => false,
        }
    }
}

/// Step of one VM in a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaveStep {
    /// The VM receives no new work and finishes its requests.
    Drain,
    /// The platform reboots the VM.
    Reboot,
    /// The VM is back and serves its pool.
    Return,
}

/// The whole durable control state: the result of applying the change log up to a version.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetState {
    /// Version of the newest applied entry.
    pub version: LogVersion,
    /// Configuration in force.
    pub document: ConfigDocument,
    /// Version of the entry that put the configuration in force; 0 before the first.
    pub configured_version: LogVersion,
    /// Author of the configuration in force.
    pub configured_author: String,
    /// VMs by name; exactly those of the configuration.
    pub vms: BTreeMap<VmId, VmRecord>,
    /// Registered nodes by name.
    pub nodes: BTreeMap<NodeId, NodeRecord>,
    /// Maintenance waves by name.
    pub waves: BTreeMap<WaveId, WaveRecord>,
}
