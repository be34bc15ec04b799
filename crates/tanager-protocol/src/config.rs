//! The operators' configuration document and its validation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::PoolId;
use crate::ids::RackId;
use crate::ids::TeamId;
use crate::ids::VmId;
use crate::ids::ZoneId;
use crate::ids::is_valid_name;
use crate::request::RequestPriority;

/// Whole configuration of a site, as printed by the operators' library.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Name of the site.
    pub site: String,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolConfig>,
    /// VMs by name.
    pub vms: BTreeMap<VmId, VmConfig>,
    /// Teams by name.
    pub teams: BTreeMap<TeamId, TeamConfig>,
}

/// Configuration of a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolConfig {
    /// Team that owns the pool; empty for the site's operators.
    pub owner: TeamId,
    /// Declared availability: least number of VMs that planned work leaves available.
    pub floor: u32,
    /// Path that the home probes with GET; 503 means that the endpoint is shutting down.
    pub probe_path: String,
    /// Longest time in the queue for each priority.
    pub queue_limits: QueueLimits,
    /// Quotas by team. A team without an entry has no limit.
    pub quotas: BTreeMap<TeamId, TeamQuota>,
    /// Whether POST and PATCH requests without an `Idempotency-Key` are refused.
    pub require_key: bool,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            owner: TeamId::new(),
            floor: 0,
            probe_path: "/health".to_owned(),
            queue_limits: QueueLimits::default(),
            quotas: BTreeMap::new(),
            require_key: false,
        }
    }
}

/// Longest time in the queue for each priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(into = "QueueLimitsMillis", from = "QueueLimitsMillis")]
pub struct QueueLimits {
    /// Limit for urgent requests.
    pub urgent: Duration,
    /// Limit for normal requests.
    pub normal: Duration,
    /// Limit for batch requests.
    pub batch: Duration,
}

/// Urgent work starts within 9.9 s or is refused.
const URGENT_QUEUE_LIMIT: Duration = Duration::from_millis(9_900);
const NORMAL_QUEUE_LIMIT: Duration = Duration::from_secs(30);
const BATCH_QUEUE_LIMIT: Duration = Duration::from_secs(120);

impl Default for QueueLimits {
    fn default() -> Self {
        Self {
            urgent: URGENT_QUEUE_LIMIT,
            normal: NORMAL_QUEUE_LIMIT,
            batch: BATCH_QUEUE_LIMIT,
        }
    }
}

impl QueueLimits {
    /// Limit for a priority.
    pub fn limit(&self, priority: RequestPriority) -> Duration {
        match priority {
            RequestPriority::Urgent => self.urgent,
            RequestPriority::Normal => self.normal,
            RequestPriority::Batch => self.batch,
        }
    }
}

/// Serialised form of [`QueueLimits`], in milliseconds.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct QueueLimitsMillis {
    urgent_ms: u64,
    normal_ms: u64,
    batch_ms: u64,
}

impl Default for QueueLimitsMillis {
    fn default() -> Self {
        QueueLimits::default().into()
    }
}

impl From<QueueLimits> for QueueLimitsMillis {
    fn from(limits: QueueLimits) -> Self {
        let millis = |limit: Duration| u64::try_from(limit.as_millis()).unwrap_or(u64::MAX);
        Self {
            urgent_ms: millis(limits.urgent),
            normal_ms: millis(limits.normal),
            batch_ms: millis(limits.batch),
        }
    }
}

impl From<QueueLimitsMillis> for QueueLimits {
    fn from(millis: QueueLimitsMillis) -> Self {
        Self {
            urgent: Duration::from_millis(millis.urgent_ms),
            normal: Duration::from_millis(millis.normal_ms),
            batch: Duration::from_millis(millis.batch_ms),
        }
    }
}

/// Quota of one team in one pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamQuota {
    /// Sustained rate, in requests per second; 0 refuses the team.
    pub rate: u32,
    /// Requests that may arrive at once above the rate.
    pub burst: u32,
    /// Share of the team among teams of the same priority, at least 1.
    pub weight: u32,
}

/// Configuration of a VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmConfig {
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Pool of the VM when it is first configured. Later changes are moves.
    pub pool: PoolId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack within the zone.
    pub rack: RackId,
    /// Requests that the endpoint runs concurrently.
    pub slots: u32,
}

/// Configuration of a team.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TeamConfig {
    /// Lower-case hexadecimal SHA-256 of the team's administration token; empty for none.
    pub token_sha256: String,
}

/// Largest accepted number of slots of one VM.
pub const MAX_SLOTS: u32 = 1_024;

impl ConfigDocument {
    /// Validates the document without reference to the state of the fleet.
    ///
    /// # Errors
    ///
    /// Returns the first problem found, naming the object and the accepted form.
    pub fn validate(&self) -> Result<(), String> {
        validate_name("site", &self.site)?;
        for (team, config) in &self.teams {
            validate_name("team", team)?;
            validate_token_digest(team, &config.token_sha256)?;
        }
        for (pool, config) in &self.pools {
            self.validate_pool(pool, config)?;
        }
        let mut addresses = BTreeSet::new();
        for (vm, config) in &self.vms {
            self.validate_vm(vm, config)?;
            if !addresses.insert(config.address) {
                return Err(format!("vm {vm}: address {} is used twice", config.address));
            }
        }
        Ok(())
    }

    fn validate_pool(&self, pool: &str, config: &PoolConfig) -> Result<(), String> {
        validate_name("pool", pool)?;
        if !config.owner.is_empty() && !self.teams.contains_key(&config.owner) {
            return Err(format!("pool {pool}: owner {} is not a team", config.owner));
        }
        if !config.probe_path.starts_with('/')
            || !config
                .probe_path
                .bytes()
                .all(|byte| byte.is_ascii_graphic())
        {
            return Err(format!(
                "pool {pool}: probe_path must start with / and be plain ASCII"
            ));
        }
        let limits = config.queue_limits;
        if limits.urgent.is_zero() || limits.normal.is_zero() || limits.batch.is_zero() {
            return Err(format!("pool {pool}: queue limits must be at least 1 ms"));
        }
        for (team, quota) in &config.quotas {
            if !self.teams.contains_key(team) {
                return Err(format!(
                    "pool {pool}: quota for {team}, which is not a team"
                ));
            }
            if quota.weight == 0 {
                return Err(format!(
                    "pool {pool}: weight of team {team} must be at least 1"
                ));
            }
        }
        Ok(())
    }

    fn validate_vm(&self, vm: &str, config: &VmConfig) -> Result<(), String> {
        validate_name("vm", vm)?;
        validate_name("zone", &config.zone)?;
        validate_name("rack", &config.rack)?;
        if !self.pools.contains_key(&config.pool) {
            return Err(format!("vm {vm}: pool {} is not configured", config.pool));
        }
        if config.slots == 0 || config.slots > MAX_SLOTS {
            return Err(format!("vm {vm}: slots must be 1 to {MAX_SLOTS}"));
        }
        Ok(())
    }
}

fn validate_name(kind: &str, name: &str) -> Result<(), String> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(format!(
        "{kind} {name:?}: a name is 1 to 64 of a-z, 0-9, '-', '_', '.'"
    ))
}

fn validate_token_digest(team: &str, digest: &str) -> Result<(), String> {
    let is_hexadecimal = digest
        .bytes()
        .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if digest.is_empty() || (digest.len() == 64 && is_hexadecimal) {
        return Ok(());
    }
    Err(format!(
        "team {team}: token_sha256 must be 64 lower-case hexadecimal digits"
    ))
}
