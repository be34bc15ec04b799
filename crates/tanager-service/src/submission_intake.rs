//! Places of the submissions that wait for the store at the owner of a cell.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::ids::WorkspaceName;
use tanager_schedule::call_intake::CallIntake;
use tanager_schedule::call_intake::PlaceKey;

use crate::cell::CellHandle;
use crate::peers::CellResponse;
use crate::refusals::overload_refusal;

/// Place of a submission, which is freed when it is dropped.
pub(crate) struct SubmissionPlace {
    cell: Arc<CellHandle>,
    key: PlaceKey,
}

impl Drop for SubmissionPlace {
    fn drop(&mut self) {
        self.cell.lock_intake().release(self.key);
    }
}

impl CellHandle {
    /// Takes a place for a submission of a workspace or, without workspaces, to a queue, that was sent up
    /// to `age` ago. Otherwise returns the refusal; the job was not decoded then.
    pub(crate) fn take_place(
        self: &Arc<Self>,
        queue: &str,
        workspace: Option<&WorkspaceName>,
        age: Duration,
        now: Duration,
    ) -> Result<SubmissionPlace, CellResponse> {
        let sender = workspace.map_or(queue, |workspace| workspace.as_str());
        let result = self.lock_intake().admit(sender, age, now);
        match result {
            Ok(key) => Ok(SubmissionPlace {
                cell: Arc::clone(self),
                key,
            }),
            Err(after) => {
                self.context.metrics.refused_intake.increment();
                self.context.call_guard.record_not_admitted();
                self.record_refusal(workspace);
                let reason = "too many submissions wait for the store";
                let mut refusal = overload_refusal(after, reason);
                if let CellResponse::Refused { sender_wide, .. } = &mut refusal {
                    *sender_wide = true;
                }
                Err(refusal)
            }
        }
    }

    fn lock_intake(&self) -> MutexGuard<'_, CallIntake> {
        self.intake.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
