//! Checks of a configuration for entries that can never have an effect and for contradictions.
//!
//! The checks only report. The node uses a configuration with findings like any other one.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::config::FleetConfig;
use crate::config::QueueConfig;
use crate::ids::PoolName;
use crate::ids::WorkspaceName;
use crate::worker::ResourceAmount;
use crate::workspace::KeyDigest;
use crate::workspace::WorkspaceConfig;
use crate::workspace::WorkspaceTable;

/// Number of digits of a job's id, which follows the path prefix of its queue.
const ID_DIGITS: usize = 16;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingSeverity {
    /// An entry has no effect or contradicts another one.
    Warning,
    /// The node does not accept the configuration or a part of it.
    Error,
}

/// What a finding is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FindingKind {
    /// The configuration cannot be decoded.
    NotAccepted,
    /// Two queues have the same host and path prefix.
    EqualQueues,
    /// Requests for some jobs of the queue reach another queue.
    HiddenQueue,
    /// No request can match the queue.
    UnmatchedQueue,
    /// The pool of the queue is not configured.
    MissingPool,
    /// The pool of the queue has no VM.
    EmptyPool,
    /// The pool of the queue is a spare pool.
    SparePool,
    /// Two pools have the same name.
    EqualPools,
    /// Two workspaces have the same name.
    EqualWorkspaces,
    /// The workspace has no key.
    NoKeys,
    /// A workspace has the same key twice.
    RepeatedKey,
    /// Two workspaces have the same key.
    SharedKey,
    /// No request can carry the key.
    UnusableKey,
    /// The cap of the workspace is below the resources of one usual task.
    SmallCap,
    /// The weight of a workspace with keys is not above 0.
    NoWeight,
    /// The target completion time is above the time-out.
    LongTarget,
    /// `max_attempts` is 0.
    NoAttempts,
}

/// A problem of a configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigFinding {
    /// Severity.
    pub severity: FindingSeverity,
    /// Kind.
    pub kind: FindingKind,
    /// Entry concerned, as `queue NAME`, `pool NAME`, `workspace NAME` or `configuration`.
    pub entry: String,
    /// What is wrong and what happens.
    pub message: String,
}

/// An entry that the decoder changed or dropped, which the decoded configuration no longer shows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodingAdjustment {
    /// `max_attempts` of this queue was 0 and became 1.
    RaisedAttempts(String),
    /// An earlier pool with this name was replaced.
    ReplacedPool(PoolName),
    /// An earlier workspace with this name was replaced, with its keys.
    ReplacedWorkspace(WorkspaceName),
    /// A key that no header can carry, with its workspace.
    UnusableKey(WorkspaceName, KeyDigest),
}

/// Sizes with which configured amounts are compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsualSizes {
    /// Resources of a usual task; 0 for resources that are not compared.
    pub task: ResourceAmount,
    /// Time after which callers no longer wait for a job.
    pub time_out: Duration,
}

impl Default for UsualSizes {
    fn default() -> Self {
        Self {
            // The steps of the planned loads use 0.4 to 1.6 cores per task. Their memory is unknown.
            task: ResourceAmount {
                cpu: 1_000,
                ..ResourceAmount::default()
            },
            // Default of the platform's `status_s`: later the status may no longer be available.
            time_out: Duration::from_secs(120),
        }
    }
}

impl ConfigFinding {
    /// Returns the finding about a configuration that the decoder rejects with this message.
    pub fn not_accepted(error: &str) -> Self {
        Self {
            severity: FindingSeverity::Error,
            kind: FindingKind::NotAccepted,
            entry: "configuration".to_owned(),
            message: format!(
                "it cannot be decoded ({error}); nodes skip it and keep the former version"
            ),
        }
    }

    fn warning(kind: FindingKind, entry: String, message: String) -> Self {
        Self {
            severity: FindingSeverity::Warning,
            kind,
            entry,
            message,
        }
    }
}

impl fmt::Display for FindingSeverity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Warning => "warning",
            Self::Error => "error",
        })
    }
}

impl fmt::Display for ConfigFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            severity,
            entry,
            message,
            ..
        } = self;
        write!(formatter, "{severity}: {entry}: {message}")
    }
}

/// Checks a decoded configuration. `vms` has the sizes of the VMs of each pool, `None` if they are
/// not known. Errors come first.
pub fn check_config(
    config: &FleetConfig,
    adjustments: &[DecodingAdjustment],
    vms: Option<&BTreeMap<PoolName, Vec<ResourceAmount>>>,
    sizes: &UsualSizes,
) -> Vec<ConfigFinding> {
    let mut findings: Vec<_> = adjustments.iter().map(describe_adjustment).collect();
    check_routing(&config.queues, &mut findings);
    for queue in &config.queues {
        check_pool(config, queue, vms, &mut findings);
        check_target(queue, sizes.time_out, &mut findings);
    }
    if let Some(workspaces) = &config.workspaces {
        check_shared_keys(workspaces, &mut findings);
        for (name, workspace) in workspaces.iter() {
            check_workspace(name, workspace, &sizes.task, &mut findings);
        }
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.severity));
    findings
}

fn describe_adjustment(adjustment: &DecodingAdjustment) -> ConfigFinding {
    match adjustment {
        DecodingAdjustment::RaisedAttempts(queue) => ConfigFinding::warning(
            FindingKind::NoAttempts,
            format!("queue {queue}"),
            "max_attempts is 0; nodes use 1, so a job fails when one of its tasks fails once"
                .to_owned(),
        ),
        DecodingAdjustment::ReplacedPool(pool) => ConfigFinding::warning(
            FindingKind::EqualPools,
            format!("pool {pool}"),
            "the pool is given more than once; nodes use only the last entry".to_owned(),
        ),
        DecodingAdjustment::ReplacedWorkspace(workspace) => ConfigFinding {
            severity: FindingSeverity::Error,
            kind: FindingKind::EqualWorkspaces,
            entry: format!("workspace {workspace}"),
            message: "the workspace is given more than once; nodes use only the last entry and \
                      accept no key of the others"
                .to_owned(),
        },
        DecodingAdjustment::UnusableKey(workspace, digest) => ConfigFinding::warning(
            FindingKind::UnusableKey,
            format!("workspace {workspace}"),
            format!(
                "the key with digest {digest} has characters that no header can carry, or space \
                 at an end; no request can present it"
            ),
        ),
    }
}

/// Checks which requests reach each queue: the longest matching path prefix decides, and the last
/// of several equal queues.
fn check_routing(queues: &[QueueConfig], findings: &mut Vec<ConfigFinding>) {
    let route =
        |queue: &QueueConfig, prefix: &str| (queue.host.to_ascii_lowercase(), prefix.to_owned());
    let indexes: HashMap<_, usize> = (queues.iter().enumerate())
        .map(|(index, queue)| (route(queue, &queue.path_prefix), index))
        .collect();
    for (index, queue) in queues.iter().enumerate() {
        let entry = || format!("queue {}", queue.key);
        if let Some(reason) = unmatched_reason(queue) {
            let message = format!("{reason}; no request reaches the queue");
            findings.push(ConfigFinding::warning(
                FindingKind::UnmatchedQueue,
                entry(),
                message,
            ));
        }
        if indexes[&route(queue, &queue.path_prefix)] != index {
            findings.push(ConfigFinding::warning(
                FindingKind::EqualQueues,
                entry(),
                "a later queue has the same host and path prefix; all requests go to that one"
                    .to_owned(),
            ));
        }
        for prefix in prefixes_before_id_digits(&queue.path_prefix) {
            if let Some(&hidden) = indexes.get(&route(queue, prefix)) {
                let digits = &queue.path_prefix[prefix.len()..];
                findings.push(ConfigFinding::warning(
                    FindingKind::HiddenQueue,
                    format!("queue {}", queues[hidden].key),
                    format!(
                        "requests for its jobs whose ids begin with {digits} go to queue {}, \
                         which does not accept them",
                        queue.key
                    ),
                ));
            }
        }
    }
}

/// Returns why no request can match the queue.
fn unmatched_reason(queue: &QueueConfig) -> Option<&'static str> {
    if queue.host.contains(':') {
        return Some("the host has a colon, but hosts of requests are compared without a port");
    }
    if !queue.path_prefix.starts_with('/') {
        return Some("the path prefix does not begin with /");
    }
    // Requests are compared as they were sent, up to a query.
    let is_sent = |character: char| character.is_ascii_graphic() && !"?#".contains(character);
    if !queue.path_prefix.chars().all(is_sent) || !queue.host.chars().all(is_sent) {
        return Some("the host or the path prefix has a character that the path cannot have");
    }
    None
}

/// Returns the shorter prefixes that are followed by what may be the beginning of a job's id.
fn prefixes_before_id_digits(prefix: &str) -> impl Iterator<Item = &str> {
    let is_digit = |byte: &u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    let digits = (prefix.bytes().rev().take(ID_DIGITS))
        .take_while(is_digit)
        .count();
    (1..=digits).map(|cut| &prefix[..prefix.len() - cut])
}

fn check_pool(
    config: &FleetConfig,
    queue: &QueueConfig,
    vms: Option<&BTreeMap<PoolName, Vec<ResourceAmount>>>,
    findings: &mut Vec<ConfigFinding>,
) {
    let pool = &queue.pool;
    let is_empty = vms.is_some_and(|vms| vms.get(pool).is_none_or(Vec::is_empty));
    let problem = match config.pools.get(pool) {
        None => (
            FindingKind::MissingPool,
            format!("pool {pool} is not configured; jobs of the queue cannot run"),
        ),
        Some(config) if config.spare => (
            FindingKind::SparePool,
            format!(
                "pool {pool} is a spare pool, whose VMs are switched off; jobs of the queue cannot run"
            ),
        ),
        Some(_) if is_empty => (
            FindingKind::EmptyPool,
            format!("pool {pool} has no VM; jobs of the queue wait until it has one"),
        ),
        Some(_) => return,
    };
    let (kind, message) = problem;
    let entry = format!("queue {}", queue.key);
    findings.push(ConfigFinding::warning(kind, entry, message));
}

fn check_target(queue: &QueueConfig, time_out: Duration, findings: &mut Vec<ConfigFinding>) {
    let target = queue.target_latency;
    if target > time_out {
        findings.push(ConfigFinding::warning(
            FindingKind::LongTarget,
            format!("queue {}", queue.key),
            format!(
                "the target of {target:?} is above the time-out of {time_out:?}; a job can be in \
                 time by its target when its status is no longer kept"
            ),
        ));
    }
}

fn check_shared_keys(workspaces: &WorkspaceTable, findings: &mut Vec<ConfigFinding>) {
    let mut owners: BTreeMap<KeyDigest, BTreeSet<&WorkspaceName>> = BTreeMap::new();
    for (name, workspace) in workspaces.iter() {
        for key in &workspace.keys {
            owners.entry(*key).or_default().insert(name);
        }
    }
    for (key, names) in owners {
        let mut names = names.into_iter();
        let Some(first) = names.next() else { continue };
        for name in names {
            findings.push(ConfigFinding {
                severity: FindingSeverity::Error,
                kind: FindingKind::SharedKey,
                entry: format!("workspace {name}"),
                message: format!(
                    "the key with digest {key} is also one of workspace {first}; its requests \
                     count as those of {first}"
                ),
            });
        }
    }
}

fn check_workspace(
    name: &str,
    workspace: &WorkspaceConfig,
    usual_task: &ResourceAmount,
    findings: &mut Vec<ConfigFinding>,
) {
    let mut warn = |kind, message: String| {
        findings.push(ConfigFinding::warning(
            kind,
            format!("workspace {name}"),
            message,
        ));
    };
    if workspace.keys.is_empty() {
        let message = "the workspace has no key; no request can belong to it";
        warn(FindingKind::NoKeys, message.to_owned());
    }
    let mut seen = BTreeSet::new();
    let mut repeated = BTreeSet::new();
    for key in &workspace.keys {
        if !seen.insert(key) {
            repeated.insert(key);
        }
    }
    for key in repeated {
        let message = format!("the key with digest {key} is given twice; it has one effect");
        warn(FindingKind::RepeatedKey, message);
    }
    let has_weight = workspace.weight > 0.0;
    if !workspace.keys.is_empty() && !has_weight {
        let message = format!(
            "the weight is {} although the workspace has keys; all its jobs exceed its rate",
            workspace.weight
        );
        warn(FindingKind::NoWeight, message);
    }
    let cap = &workspace.cap;
    let amounts = [
        ("cpu", cap.cpu, usual_task.cpu),
        ("memory", cap.memory_mb, usual_task.memory_mb),
        ("gpu", cap.gpu, usual_task.gpu),
    ];
    for (resource, limit, usual) in amounts {
        if limit > 0 && limit < usual {
            let message = format!(
                "the cap of {limit} for {resource} is below one usual task ({usual}); such tasks \
                 run one at a time or not at all"
            );
            warn(FindingKind::SmallCap, message);
        }
    }
}
