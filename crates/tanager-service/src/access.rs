//! Jobs of workspaces at the owner of a cell: which callers may use them, and what the workspaces
//! run, wait for and were refused.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;

use tanager_jobs::JobId;
use tanager_jobs::ids::WorkspaceName;

use crate::authentication::Caller;
use crate::authentication::JobAccess;
use crate::authentication::JobOwnership;
use crate::authentication::may_access;
use crate::cell::CellHandle;
use crate::descriptions::JobDescription;
use crate::descriptions::WorkspaceLoad;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;

/// Number of refused submissions by workspace.
#[derive(Debug, Default)]
pub(crate) struct RefusalCounts(Mutex<BTreeMap<WorkspaceName, u64>>);

impl RefusalCounts {
    fn increment(&self, workspace: &WorkspaceName) {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(workspace.clone()).or_default() += 1;
    }

    fn snapshot(&self) -> BTreeMap<WorkspaceName, u64> {
        (self.0.lock().unwrap_or_else(PoisonError::into_inner)).clone()
    }
}

impl CellHandle {
    /// Returns the rejection of a request about a job that its caller may not use.
    pub(crate) fn check_access(&self, request: &CellRequest) -> Option<CellResponse> {
        let (id, access) = match &request.operation {
            CellOperation::Submit { id, .. } => (*id, JobAccess::Submit),
            CellOperation::Known(id) | CellOperation::Cancel(id) => (*id, JobAccess::Change),
            CellOperation::Show(id) => (*id, JobAccess::Read),
            _ => return None,
        };
        let caller = request.caller();
        // Jobs keep their workspace when the operator removes all workspaces, and anyone may use
        // them then.
        if caller == Caller::Open && !self.context.has_workspaces() {
            return None;
        }
        let job = self.ownership(id)?;
        if may_access(&caller, access, &request.queue, &job) {
            return None;
        }
        log::info!(
            "event=access_refused job={id} cell={} queue={} access={access:?} owner={:?}{caller}",
            self.name,
            request.queue,
            job.workspace
        );
        self.context.metrics.access_refused.increment();
        Some(CellResponse::Forbidden)
    }

    /// Returns the queue and the workspace of a job that is accepted or being stored.
    fn ownership(&self, id: JobId) -> Option<JobOwnership> {
        let accepted = (self.core().record(id)).map(|record| JobOwnership {
            queue: record.queue.clone(),
            workspace: record.workspace.clone(),
        });
        accepted.or_else(|| self.ledger.ownership(id))
    }

    /// Counts a refused submission.
    pub(crate) fn record_refusal(&self, workspace: Option<&WorkspaceName>) {
        self.context.metrics.jobs_refused.increment();
        if let Some(workspace) = workspace {
            self.refusals.increment(workspace);
            self.context.metrics.workspaces.record_refused(workspace);
        }
    }

    /// Returns what each workspace has in the cell.
    pub(crate) fn workspace_loads(&self) -> BTreeMap<WorkspaceName, WorkspaceLoad> {
        let mut loads: BTreeMap<WorkspaceName, WorkspaceLoad> = BTreeMap::new();
        let (usage, waiting) = {
            let core = self.core();
            (core.usage_by_workspace(), core.waiting_by_workspace())
        };
        for (name, running) in usage {
            loads.entry(name).or_default().running = running;
        }
        for (name, waiting) in waiting {
            loads.entry(name).or_default().waiting = waiting;
        }
        for (name, refused) in self.refusals.snapshot() {
            loads.entry(name).or_default().refused = refused;
        }
        loads
    }

    /// Describes a job for operators.
    pub(crate) fn describe_job(&self, id: JobId) -> CellResponse {
        match self.job_status(id) {
            CellResponse::State(state) => {
                let clock = &self.context.clock;
                let (now, wall_ms) = (clock.now(), clock.wall_ms());
                let core = self.core();
                CellResponse::Description(JobDescription {
                    state,
                    workspace: core.record(id).and_then(|record| record.workspace.clone()),
                    waits_for: core.describe_wait(id, wall_ms),
                    plan: core.describe_plan(id, now),
                })
            }
            response => response,
        }
    }
}
