//! Information that workers report about themselves and their runs.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolName;
use crate::ids::RunNumber;
use crate::ids::TaskKey;
use crate::ids::WorkerId;

/// An amount of resources.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceAmount {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl ResourceAmount {
    /// Returns whether `other` fits into this amount.
    pub fn can_fit(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.memory_mb >= other.memory_mb && self.gpu >= other.gpu
    }

    /// Returns the sum of both amounts, with a maximum of 2^64 - 1 each.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns the difference, with a minimum of zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// Entry of a worker in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Id of the worker. A restarted worker may keep it.
    pub worker: WorkerId,
    /// Pool that the worker belongs to.
    pub pool: PoolName,
    /// Address that accepts orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether the worker is about to shut down.
    pub draining: bool,
    /// Minimum time until a draining worker shuts down.
    pub drain_remaining: Option<Duration>,
    /// Start of this incarnation, in milliseconds since 1970. Tells two incarnations with the same
    /// id apart.
    pub started_ms: u64,
    /// Total resources.
    pub capacity: ResourceAmount,
    /// Labels that a step may require; they include the worker's kind and rack.
    pub labels: Vec<String>,
    /// Rack of its VM, if known.
    pub rack: Option<String>,
    /// Whether its VM joined the pool after the pool was partitioned into cells; it may be borrowed
    /// from another pool and soon return there.
    pub borrowed: bool,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// The task is done.
    Done,
    /// The task failed because of its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Expired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not start in time.
    GangIncomplete,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningRun {
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress from 0 to 100. A long-running task is available at 100.
    pub percent: u32,
    /// For a serving task, the tail of its response times in milliseconds; for any other task, the
    /// processor time in use in thousandths of a core.
    pub usage: u64,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Sequence number of the end in this incarnation of the worker, from 1.
    pub number: u64,
    /// Task.
    pub task: TaskKey,
    /// Run.
    pub run: RunNumber,
    /// Cause.
    pub cause: EndCause,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// A worker's response to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock when it responded, in milliseconds.
    pub clock_ms: u64,
    /// Start of this incarnation in milliseconds since 1970, if the worker reported it.
    pub started_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndedRun>,
    /// Whether the worker may have further ends that are not acknowledged.
    pub omits_ends: bool,
}

/// Response to a start, a stop or a change of pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The order was carried out, now or earlier.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// This run or a higher one was stopped or has ended on the worker.
    OldRun,
    /// The lease of the order has expired by the worker's clock.
    Late,
    /// The task does not fit into the free resources.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// Another incarnation of the worker responds at this address.
    OtherLife,
    /// The worker is not healthy and did not carry out the order.
    Unwell,
    /// The order is malformed.
    Malformed,
}
