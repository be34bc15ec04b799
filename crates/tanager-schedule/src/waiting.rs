//! What waits in a cell, and for what, as reported to operators.

use std::collections::BTreeMap;
use std::fmt;

use tanager_jobs::JobId;
use tanager_jobs::ids::WorkspaceName;

use crate::core::CellCore;
use crate::job::TaskPhase;

/// Cause for which tasks of a job wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitCause {
    /// After a takeover, the task may still run on a worker that has not reported.
    Recovery,
    /// No worker with enough free resources was found.
    Workers,
}

impl fmt::Display for WaitCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Recovery => "workers of the former owner",
            Self::Workers => "a worker with free capacity",
        })
    }
}

impl CellCore {
    /// Returns what tasks of a job wait for; `None` if none waits, or for an unknown job.
    pub fn wait_cause(&self, id: JobId) -> Option<WaitCause> {
        let job = self.jobs.get(&id).filter(|job| !job.is_ended())?;
        let steps = || {
            (job.occurrences.values())
                .flat_map(|occurrence| &occurrence.steps)
                .filter(|step| step.open)
        };
        let is_unaccounted = steps()
            .flat_map(|step| &step.tasks)
            .any(|task| task.phase == TaskPhase::Unaccounted);
        if is_unaccounted {
            return Some(WaitCause::Recovery);
        }
        steps()
            .any(|step| step.idle > 0)
            .then_some(WaitCause::Workers)
    }

    /// Describes what a job waits for, for operators; `None` if nothing waits, or for an unknown job.
    pub fn describe_wait(&self, id: JobId, wall_ms: u64) -> Option<String> {
        let cause = self.wait_cause(id).map(|cause| cause.to_string());
        let job = self.jobs.get(&id).filter(|job| !job.is_ended())?;
        let due = job.record.spec.due_occurrences(wall_ms);
        let held_back = due.saturating_sub(job.next_unopened());
        let cause = match job.occurrences.is_empty() && held_back > 0 {
            true => Some("memory of the owner".to_owned()),
            false => cause,
        };
        match held_back {
            0 => cause,
            _ => {
                let cause = cause.unwrap_or_else(|| "earlier occurrences".to_owned());
                Some(format!(
                    "{cause}; {held_back} due occurrences are held back"
                ))
            }
        }
    }

    /// Returns the number of each workspace's jobs for which no task has started.
    pub fn waiting_by_workspace(&self) -> BTreeMap<WorkspaceName, u64> {
        let mut waiting = BTreeMap::new();
        let jobs = (self.open_jobs.iter()).filter_map(|id| self.jobs.get(id));
        for job in jobs.filter(|job| !job.started) {
            if let Some(workspace) = &job.record.workspace {
                *waiting.entry(workspace.clone()).or_default() += 1;
            }
        }
        waiting
    }
}
