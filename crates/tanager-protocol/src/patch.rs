//! Differences between two configuration documents.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::config::ConfigDocument;
use crate::config::PoolConfig;
use crate::config::TeamConfig;
use crate::config::TeamQuota;
use crate::config::VmConfig;
use crate::ids::PoolId;
use crate::ids::TeamId;
use crate::ids::VmId;

/// Largest number of objects in a patch. A larger change is written as a whole document, which is
/// then of similar size: a document of the design size has at most 43,000 objects.
pub const MAX_PATCH_OBJECTS: usize = 4_096;

/// Difference between two configuration documents.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConfigPatch {
    /// New name of the site.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub site: Option<String>,
    /// Pools that are added or changed.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub set_pools: BTreeMap<PoolId, PoolPatch>,
    /// Pools that are removed.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub removed_pools: BTreeSet<PoolId>,
    /// VMs that are added or replaced.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub set_vms: BTreeMap<VmId, VmConfig>,
    /// VMs that are removed.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub removed_vms: BTreeSet<VmId>,
    /// Teams that are added or replaced.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub set_teams: BTreeMap<TeamId, TeamConfig>,
    /// Teams that are removed.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub removed_teams: BTreeSet<TeamId>,
}

/// Difference between two configurations of a pool.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PoolPatch {
    /// Settings other than the quotas, which must be empty here; required for a new pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub settings: Option<PoolConfig>,
    /// Quotas that are added or replaced.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub set_quotas: BTreeMap<TeamId, TeamQuota>,
    /// Quotas that are removed.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub removed_quotas: BTreeSet<TeamId>,
}

impl ConfigPatch {
    /// Computes the patch that turns `before` into `after`.
    pub fn between(before: &ConfigDocument, after: &ConfigDocument) -> Self {
        let (set_vms, removed_vms) = changed_entries(&before.vms, &after.vms);
        let (set_teams, removed_teams) = changed_entries(&before.teams, &after.teams);
        let set_pools = after.pools.iter().filter_map(|(pool, config)| {
            let patch = PoolPatch::between(before.pools.get(pool), config)?;
            Some((pool.clone(), patch))
        });
        Self {
            site: (before.site != after.site).then(|| after.site.clone()),
            set_pools: set_pools.collect(),
            removed_pools: removed_names(&before.pools, &after.pools),
            set_vms,
            removed_vms,
            set_teams,
            removed_teams,
        }
    }

    /// Applies the patch to the document for which it was computed.
    ///
    /// The result is not validated.
    ///
    /// # Errors
    ///
    /// The first mismatch between the patch and the document, or a message that the patch has more
    /// than [`MAX_PATCH_OBJECTS`] objects.
    pub fn apply(&self, document: &ConfigDocument) -> Result<ConfigDocument, String> {
        let object_count = self.object_count();
        if object_count > MAX_PATCH_OBJECTS {
            return Err(format!(
                "the patch has {object_count} objects; the limit is {MAX_PATCH_OBJECTS}"
            ));
        }
        let mut document = document.clone();
        if let Some(site) = &self.site {
            document.site.clone_from(site);
        }
        apply_changes("vm", &mut document.vms, &self.set_vms, &self.removed_vms)?;
        apply_changes(
            "team",
            &mut document.teams,
            &self.set_teams,
            &self.removed_teams,
        )?;
        remove_entries("pool", &mut document.pools, &self.removed_pools)?;
        for (pool, patch) in &self.set_pools {
            if self.removed_pools.contains(pool) {
                return Err(format!("pool {pool} is both set and removed"));
            }
            patch.apply(pool, &mut document.pools)?;
        }
        Ok(document)
    }

    /// Number of objects that are set or removed.
    pub fn object_count(&self) -> usize {
        let pools = self.set_pools.values();
        let quotas = pools.map(|pool| 1 + pool.set_quotas.len() + pool.removed_quotas.len());
        quotas.sum::<usize>()
            + self.removed_pools.len()
            + self.set_vms.len()
            + self.removed_vms.len()
            + self.set_teams.len()
            + self.removed_teams.len()
    }
}

impl PoolPatch {
    fn between(before: Option<&PoolConfig>, after: &PoolConfig) -> Option<Self> {
        if before == Some(after) {
            return None;
        }
        let absent = BTreeMap::new();
        let quotas = before.map_or(&absent, |before| &before.quotas);
        let (set_quotas, removed_quotas) = changed_entries(quotas, &after.quotas);
        let settings = without_quotas(after);
        Some(Self {
            settings: (before.map(without_quotas).as_ref() != Some(&settings)).then_some(settings),
            set_quotas,
            removed_quotas,
        })
    }

    fn apply(&self, pool: &str, pools: &mut BTreeMap<PoolId, PoolConfig>) -> Result<(), String> {
        let config = match &self.settings {
            Some(settings) if !settings.quotas.is_empty() => {
                return Err(format!("pool {pool}: its settings contain quotas"));
            }
            Some(settings) => {
                let config = pools.entry(pool.to_owned()).or_default();
                let quotas = std::mem::take(&mut config.quotas);
                *config = PoolConfig {
                    quotas,
                    ..settings.clone()
                };
                config
            }
            None => pools
                .get_mut(pool)
                .ok_or_else(|| format!("pool {pool} is changed but does not exist"))?,
        };
        apply_changes(
            "quota",
            &mut config.quotas,
            &self.set_quotas,
            &self.removed_quotas,
        )
        .map_err(|problem| format!("pool {pool}: {problem}"))
    }
}

fn without_quotas(config: &PoolConfig) -> PoolConfig {
    PoolConfig {
        owner: config.owner.clone(),
        floor: config.floor,
        probe_path: config.probe_path.clone(),
        queue_limits: config.queue_limits,
        quotas: BTreeMap::new(),
        require_key: config.require_key,
    }
}

fn changed_entries<T: Clone + PartialEq>(
    before: &BTreeMap<String, T>,
    after: &BTreeMap<String, T>,
) -> (BTreeMap<String, T>, BTreeSet<String>) {
    let set = after
        .iter()
        .filter(|(name, value)| before.get(*name) != Some(value));
    let set = set.map(|(name, value)| (name.clone(), value.clone()));
    (set.collect(), removed_names(before, after))
}

fn removed_names<T>(before: &BTreeMap<String, T>, after: &BTreeMap<String, T>) -> BTreeSet<String> {
    let names = before.keys().filter(|name| !after.contains_key(*name));
    names.cloned().collect()
}

fn apply_changes<T: Clone>(
    kind: &str,
    objects: &mut BTreeMap<String, T>,
    set: &BTreeMap<String, T>,
    removed: &BTreeSet<String>,
) -> Result<(), String> {
    remove_entries(kind, objects, removed)?;
    for (name, value) in set {
        if removed.contains(name) {
            return Err(format!("{kind} {name} is both set and removed"));
        }
        objects.insert(name.clone(), value.clone());
    }
    Ok(())
}

fn remove_entries<T>(
    kind: &str,
    objects: &mut BTreeMap<String, T>,
    removed: &BTreeSet<String>,
) -> Result<(), String> {
    for name in removed {
        if objects.remove(name).is_none() {
            return Err(format!("{kind} {name} is removed but does not exist"));
        }
    }
    Ok(())
}
