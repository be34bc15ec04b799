//! Configurations with tenants and public routes, in the platform's format.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use super::SitePool;
use super::SiteStandin;
use super::lock;

/// A tenant of the stand-in.
#[derive(Clone, Debug, Default)]
pub struct SiteTenant {
    /// Name.
    pub name: String,
    /// Keys that its clients may present.
    pub api_keys: Vec<String>,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Share of the capacity, and rate of jobs per second.
    pub weight: f64,
    /// Processor time that it may use at the same time, in thousandths of a core; 0 means no limit.
    pub cap_cpu: u64,
    /// Memory that it may use at the same time, in megabytes; 0 means no limit.
    pub cap_memory_mb: u64,
    /// Accelerators that it may use at the same time; 0 means no limit.
    pub cap_gpu: u64,
}

impl SiteTenant {
    /// Creates a tenant without a cap.
    pub fn new(name: &str, api_keys: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            api_keys: api_keys.iter().map(|key| (*key).to_owned()).collect(),
            weight: 1.0,
            ..Self::default()
        }
    }

    fn to_json(&self) -> Value {
        json!({"name": self.name, "api_keys": self.api_keys, "priority": self.priority,
               "weight": self.weight,
               "cap": {"cpu": self.cap_cpu, "memory_request_mb": self.cap_memory_mb,
                       "gpu": self.cap_gpu}})
    }
}

impl SiteStandin {
    /// Requests strict mode in the settings files that are created from now on.
    pub fn require_strict_revocation(&self, limit: Duration) {
        lock(&self.state).revocation_limit = Some(limit);
    }

    /// Writes a configuration like [`SiteStandin::put_config`] with tenants. The routes of
    /// `public_pools` are public.
    pub fn put_config_with_tenants(
        &self,
        version: u64,
        pools: &[SitePool],
        tenants: &[SiteTenant],
        public_pools: &[&str],
    ) {
        let mut config = Self::config_document(version, pools);
        config["tenants"] = tenants.iter().map(SiteTenant::to_json).collect();
        for route in config["routes"].as_array_mut().into_iter().flatten() {
            let is_public =
                (route["service"].as_str()).is_some_and(|service| public_pools.contains(&service));
            route["public"] = json!(is_public);
        }
        self.put_row("op", "config", config.to_string().as_bytes());
    }
}
