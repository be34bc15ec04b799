//! Bounds for what may run on workers that have not reported after a takeover.
//!
//! Load: an owner dies in a flood, and its successor has a thousand waiting jobs and some workers that
//! never report again. If every waiting task counted as running, no other cell could start any task
//! of these workspaces until the recovery ends.

use std::collections::HashMap;

use tanager_jobs::ResourceAmount;
use tanager_jobs::ids::WorkerId;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::amounts;
use crate::allowance::larger;

/// Capacities of the workers of the former owner, from its ledger.
#[derive(Clone, Debug, Default)]
pub struct FormerCapacities {
    /// Capacities that the ledger has. Ledgers of earlier versions have none.
    pub by_worker: HashMap<WorkerId, ResourceAmount>,
    /// Capacity that no worker exceeds in any resource; `None` if no worker's is known. It bounds the
    /// workers whose capacity the ledger does not have.
    pub largest: Option<ResourceAmount>,
}

impl FormerCapacities {
    /// Returns the largest amounts that the runs on a worker can reserve; `None` if they are not
    /// known. `listed` is the capacity in the worker's entry, which is zero for a worker that is
    /// only in the ledger.
    pub fn bound(&self, worker: &WorkerId, listed: Option<&ResourceAmount>) -> Option<Amounts> {
        let is_known = |capacity: &&ResourceAmount| **capacity != ResourceAmount::default();
        let stored = self.by_worker.get(worker).filter(is_known);
        let known = match (stored, listed.filter(is_known)) {
            (Some(stored), Some(listed)) => larger(&amounts(stored), &amounts(listed)),
            (Some(capacity), None) | (None, Some(capacity)) => amounts(capacity),
            (None, None) => amounts(&self.largest?),
        };
        Some(known)
    }
}

/// Returns the sum of the bounds; `None` if one of them is not known.
pub fn sum_bounds(bounds: impl Iterator<Item = Option<Amounts>>) -> Option<Amounts> {
    bounds
        .into_iter()
        .try_fold(Amounts::default(), |sum, bound| Some(add(&sum, &bound?)))
}
