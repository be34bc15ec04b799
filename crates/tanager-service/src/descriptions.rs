//! What operators see of jobs and workspaces.

use serde::Deserialize;
use serde::Serialize;
use tanager_jobs::ResourceAmount;
use tanager_jobs::ids::WorkspaceName;
use tanager_site::job_api::JobStatus;

/// What a workspace has in a cell.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct WorkspaceLoad {
    /// Resources reserved for its runs.
    pub running: ResourceAmount,
    /// Jobs of which no task has started.
    pub waiting: u64,
    /// Submissions that the cell has refused since its owner acquired it.
    pub refused: u64,
    /// Resources that the cell may use for it; `None` where the cell has no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<ResourceAmount>,
}

impl WorkspaceLoad {
    /// Adds the load of another cell. The sum of the limits covers the cells that have one.
    pub fn add(&mut self, other: &Self) {
        if let Some(limit) = other.limit {
            self.limit = Some(self.limit.unwrap_or_default().plus(&limit));
        }
        self.running = self.running.plus(&other.running);
        self.waiting += other.waiting;
        self.refused += other.refused;
    }
}

/// Status of a job as reported to operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobDescription {
    /// Status as reported to clients.
    pub state: JobStatus,
    /// Workspace of the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// What tasks of the job wait for, where that is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<String>,
    /// What is planned for the job, where overload is planned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub plan: Option<String>,
}
