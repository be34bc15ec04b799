//! What workers say of themselves and of their runs.

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
    /// Memory in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl ResourceAmount {
    /// Returns whether `other` fits into this amount.
    pub fn can_fit(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.memory_mb >= other.memory_mb && self.gpu >= other.gpu
    }

    /// Returns the sum.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory_mb: self.memory_mb + other.memory_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// Returns the difference, not below zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// A worker's entry in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Id of this life of the worker.
    pub worker: WorkerId,
    /// Pool that the worker belongs to.
    pub pool: PoolName,
    /// Address for orders.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// Time that a draining worker has left at the least.
    pub drain_remaining: Option<Duration>,
    /// Start of this life, in Unix milliseconds; tells two lives with the same id apart.
    pub started_ms: u64,
    /// Total resources.
    pub capacity: ResourceAmount,
    /// Kind and rack, among other labels that a step may require.
    pub labels: Vec<String>,
    /// Rack of its VM, if it is told.
    pub rack: Option<String>,
    /// Whether its VM came to the pool later and may leave it again soon.
    pub borrowed: bool,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndCause {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the worker's.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease expired.
    Expired,
    /// Another member of the gang ended.
    GangMemberEnded,
    /// The other members of the gang did not come in time.
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
    /// Progress from 0 to 100. A task that lasts is at work at 100.
    pub percent: u32,
    /// For a task that serves, the tail of its response times in milliseconds; for any other, the
    /// processor time in use in thousandths of a core.
    pub usage: u64,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Number of the end in this life of the worker, from 1.
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

/// A worker's answer to a hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's clock when it answered, in milliseconds.
    pub clock_ms: u64,
    /// Start of this life, if the worker said it.
    pub started_ms: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunningRun>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<EndedRun>,
}

/// Answer to a start, a stop or a change of pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// Done, now or before.
    Accepted,
    /// The worker knows a higher token.
    Fenced,
    /// A run at least as high was stopped or has ended there.
    OldRun,
    /// The lease of the order has passed on the worker's clock.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The ticket is not valid.
    BadTicket,
    /// Another life of the worker answers at this address.
    OtherLife,
    /// The worker is not healthy and did nothing.
    Unwell,
    /// The order is malformed.
    Malformed,
}
