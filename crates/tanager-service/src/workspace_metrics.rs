//! Counters by workspace. A deployment may have any number of workspaces, but each time series costs
//! memory here and at the monitoring system, so only some of them are counted by name.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Maximum number of workspaces that are counted by name: those counted first.
pub const MAX_NAMED_WORKSPACES: usize = 32;
/// Label of all other workspaces together.
pub const OTHER_WORKSPACES: &str = "(others)";

type WorkspaceLabel = [(&'static str, String); 1];

/// Counters by workspace.
#[derive(Debug, Default)]
pub struct WorkspaceMetrics {
    named: Mutex<BTreeSet<String>>,
    accepted: Family<WorkspaceLabel, Counter>,
    refused: Family<WorkspaceLabel, Counter>,
}

impl WorkspaceMetrics {
    /// Creates the counters and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "workspace_jobs_accepted",
            "Jobs accepted by cells of this node, by workspace",
            metrics.accepted.clone(),
        );
        registry.register(
            "workspace_jobs_refused",
            "Jobs refused by cells of this node, by workspace",
            metrics.refused.clone(),
        );
        metrics
    }

    /// Counts an accepted job.
    pub fn record_accepted(&self, workspace: &str) {
        self.accepted.get_or_create(&self.label(workspace)).inc();
    }

    /// Counts a refused job.
    pub fn record_refused(&self, workspace: &str) {
        self.refused.get_or_create(&self.label(workspace)).inc();
    }

    fn label(&self, workspace: &str) -> WorkspaceLabel {
        let mut named = self.named.lock().unwrap_or_else(PoisonError::into_inner);
        if !named.contains(workspace) && named.len() < MAX_NAMED_WORKSPACES {
            named.insert(workspace.to_owned());
        }
        let text = match named.contains(workspace) {
            true => workspace,
            false => OTHER_WORKSPACES,
        };
        [("workspace", text.to_owned())]
    }
}
