//! Serialisable summary of the state machine, for the administration API.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::RackId;
use tanager_protocol::ids::VmId;
use tanager_protocol::ids::ZoneId;

/// Summary of the state machine.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DispatchDump {
    /// Version of the fleet state in use.
    pub version: LogVersion,
    /// Requests without a final action.
    pub open: usize,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolDump>,
    /// Workers by VM name.
    pub workers: BTreeMap<VmId, WorkerDump>,
}

/// Summary of one pool. Arrays are by priority, most urgent first.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolDump {
    /// Requests in the queue.
    pub queued: [usize; 3],
    /// Slots in use.
    pub slots_in_use: [u32; 3],
    /// Slots that may be in use at once.
    pub capacity: u32,
    /// Claims being written that hold no slot.
    pub parked_claims: usize,
}

/// Summary of one worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerDump {
    /// Its pool.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Slots in use.
    pub used: u32,
    /// Slots that may be in use at once.
    pub limit: u32,
    /// Slots declared in the configuration.
    pub declared: u32,
    /// Whether the fleet state and the endpoint's announcements allow new work.
    pub receives: bool,
    /// Whether it is ejected or waits for the result of a trial request.
    pub ejected: bool,
    /// Whether it gets no new work because of failed probes.
    pub suspended: bool,
}
