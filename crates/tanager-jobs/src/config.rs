//! The operator's configuration as the job service uses it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::PoolName;
use crate::workspace::WorkspaceTable;

/// Cost of the advice that starts of a queue's tasks require.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdviceCost {
    /// Fixed time of a call.
    pub decision: Duration,
    /// Additional time of a call for each worker named.
    pub per_worker: Duration,
    /// Time for which a ticket is valid.
    pub validity: Duration,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Stable key: host and path prefix.
    pub key: String,
    /// Host of the requests.
    pub host: String,
    /// Prefix of their paths.
    pub path_prefix: String,
    /// Pool that runs the tasks.
    pub pool: PoolName,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub max_attempts: u32,
    /// A job's target completion time is this multiple of its critical path plus `target_latency`.
    pub stretch: f64,
    /// Constant part of the target completion time; see `stretch`.
    pub target_latency: Duration,
    /// Cost of the advice that starts require; `None` if they require none.
    pub advice: Option<AdviceCost>,
    /// Whether calls need no key. The jobs of such a queue belong to no workspace.
    pub is_public: bool,
}

/// A pool of VMs.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// Name.
    pub name: PoolName,
    /// Whether workers reject tasks that exceed their free resources.
    pub enforces_capacity: bool,
    /// Whether VMs of the pool stay switched off until they are moved to another pool.
    pub spare: bool,
}

/// The operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version of the configuration. It increases, but not always by one.
    pub version: u64,
    /// Queues.
    pub queues: Vec<QueueConfig>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolConfig>,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Workspaces; `None` if the deployment has none, so that calls need no key.
    pub workspaces: Option<WorkspaceTable>,
}

impl FleetConfig {
    /// Returns the queue whose path prefix is the longest one that matches `path` on this host.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns whether any workspace has a cap.
    pub fn has_workspace_caps(&self) -> bool {
        (self.workspaces.as_ref()).is_some_and(WorkspaceTable::has_caps)
    }

    /// Returns the queue with this key.
    pub fn queue(&self, key: &str) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.key == key)
    }
}
