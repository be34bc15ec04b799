//! A configuration without keys: the JSON form of `GET /v1/config` on the admin address, and the
//! form in which configurations are compared.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::config::FleetConfig;
use crate::config::QueueConfig;
use crate::ids::PoolName;
use crate::ids::WorkspaceName;
use crate::worker::ResourceAmount;
use crate::workspace::WorkspaceConfig;

/// A configuration without keys. Fields that a reader does not know are ignored.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ConfigSummary {
    /// Version of the configuration.
    pub version: u64,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Queues in the order of the configuration.
    pub queues: Vec<QueueSummary>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, PoolSummary>,
    /// Workspaces by name; `null` if calls need no key.
    pub workspaces: Option<BTreeMap<WorkspaceName, WorkspaceSummary>>,
    /// Sizes of the VMs of each pool as the node knows them; `null` if it does not know them.
    #[serde(default)]
    pub vms: Option<BTreeMap<PoolName, Vec<ResourceAmount>>>,
}

/// A queue of a configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueSummary {
    /// Host and path prefix.
    pub queue: String,
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
    /// Factor of the critical path in the target completion time.
    pub stretch: f64,
    /// Constant part of the target completion time, in milliseconds.
    pub target_latency_ms: f64,
    /// Cost of the advice that starts require; `null` if they require none.
    pub advice: Option<AdviceSummary>,
    /// Whether calls need no key.
    pub public: bool,
}

/// Cost of advice.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdviceSummary {
    /// Fixed time of a call, in milliseconds.
    pub decision_ms: f64,
    /// Additional time of a call for each worker named, in milliseconds.
    pub per_worker_ms: f64,
    /// Time for which a ticket is valid, in milliseconds.
    pub validity_ms: f64,
}

/// A pool of a configuration.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolSummary {
    /// Whether workers reject tasks that exceed their free resources.
    pub enforces_capacity: bool,
    /// Whether the VMs stay switched off until they are moved to another pool.
    pub spare: bool,
}

/// A workspace of a configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceSummary {
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Share of the capacity, and jobs per second that the workspace is entitled to.
    pub weight: f64,
    /// Resources that the workspace may use at the same time; 0 means no limit.
    pub cap: ResourceAmount,
    /// First four bytes of the SHA-256 of each key, in hexadecimal, as in logs. They tell the keys
    /// of a configuration apart.
    pub keys: Vec<String>,
}

impl ConfigSummary {
    /// Returns the summary of a configuration, without sizes of VMs.
    pub fn of(config: &FleetConfig) -> Self {
        let pools = (config.pools.iter()).map(|(name, pool)| {
            let summary = PoolSummary {
                enforces_capacity: pool.enforces_capacity,
                spare: pool.spare,
            };
            (name.clone(), summary)
        });
        let workspaces = config.workspaces.as_ref().map(|workspaces| {
            (workspaces.iter())
                .map(|(name, workspace)| (name.clone(), summarize_workspace(workspace)))
                .collect()
        });
        Self {
            version: config.version,
            max_body: config.max_body,
            queues: config.queues.iter().map(summarize_queue).collect(),
            pools: pools.collect(),
            workspaces,
            vms: None,
        }
    }
}

fn summarize_queue(queue: &QueueConfig) -> QueueSummary {
    let milliseconds = |duration: std::time::Duration| duration.as_secs_f64() * 1e3;
    QueueSummary {
        queue: queue.key.clone(),
        host: queue.host.clone(),
        path_prefix: queue.path_prefix.clone(),
        pool: queue.pool.clone(),
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        stretch: queue.stretch,
        target_latency_ms: milliseconds(queue.target_latency),
        advice: queue.advice.map(|advice| AdviceSummary {
            decision_ms: milliseconds(advice.decision),
            per_worker_ms: milliseconds(advice.per_worker),
            validity_ms: milliseconds(advice.validity),
        }),
        public: queue.is_public,
    }
}

fn summarize_workspace(workspace: &WorkspaceConfig) -> WorkspaceSummary {
    WorkspaceSummary {
        priority: workspace.priority,
        weight: workspace.weight,
        cap: workspace.cap,
        keys: workspace.keys.iter().map(ToString::to_string).collect(),
    }
}
