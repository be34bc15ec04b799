//! Bounds for what may run on workers that have not reported after a takeover.
//!
//! Load: an owner dies in a flood, and its successor has a thousand waiting jobs and some workers that
//! never report again. If every waiting task counted as running, no other cell could start any task
//! of these workspaces until the recovery ends.

use std::collections::HashMap;

use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::ids::WorkerId;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::amounts;
use crate::allowance::larger;
use crate::allowance::multiply;

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

/// Returns the largest amounts that tasks of a job can reserve at the same time, for the number of tasks
/// of each step that may be running. Best-effort steps are left out.
///
/// A step begins once all tasks of the steps that it depends on are done, so of steps that depend on
/// each other only one runs at a time. Copies of a speculative step's tasks may outlast it.
pub fn concurrent_amounts(steps: &[StepSpec], counts: &[u64]) -> Amounts {
    let mut chains: Vec<Chain> = Vec::new();
    for (number, (step, &count)) in steps.iter().zip(counts).enumerate() {
        if step.fills {
            continue;
        }
        let amount = multiply(&amounts(&step.request), count);
        let earlier = (chains.iter_mut())
            .find(|chain| !chain.is_open_ended && step.after.contains(&chain.last));
        let last = number as u16;
        match earlier {
            Some(chain) => {
                chain.last = last;
                chain.is_open_ended = step.speculative;
                chain.amount = larger(&chain.amount, &amount);
            }
            None => chains.push(Chain {
                last,
                is_open_ended: step.speculative,
                amount,
            }),
        }
    }
    (chains.iter()).fold(Amounts::default(), |sum, chain| add(&sum, &chain.amount))
}

/// Steps of which each depends on the one before.
struct Chain {
    /// Number of the last step.
    last: u16,
    /// Whether tasks of the last step may still run when the next one begins.
    is_open_ended: bool,
    /// Largest amount of each resource that one of the steps reserves.
    amount: Amounts,
}
