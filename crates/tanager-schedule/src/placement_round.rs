//! What a round of placement has found out, so that it decides once for all steps that are alike.
//!
//! Load: while a workspace is at its cap, hundreds of its steps wait, and each round would check each
//! of them against the cap and compare all workers. Within a round usage only rises and room only
//! shrinks, so what was refused is refused for each step that requests at least as much.

use tanager_jobs::ResourceAmount;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::larger;
use crate::allowance::multiply;
use crate::start_limits::StartLimits;

/// Maximum number of refused amounts that are remembered of a workspace or of the workers; more
/// only save checks of requests that differ in several resources.
const MAX_REFUSED: usize = 8;

/// Position of a workspace in the round.
pub type WorkspaceIndex = usize;

/// What tasks of a step need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StepNeed {
    /// Workspace; `None` without one.
    pub workspace: Option<WorkspaceIndex>,
    /// Amount of one task that counts against the cap.
    pub request: Amounts,
    /// Resources that one task reserves on a worker.
    pub reserved: ResourceAmount,
    /// Number of tasks that wait.
    pub idle: u32,
    /// Whether the tasks start together.
    pub is_gang: bool,
    /// Whether the queue requires advice, which is requested before a worker has room.
    pub needs_advice: bool,
}

/// Tasks of a workspace that were refused without a check of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SkippedTasks {
    /// Sum of the tasks.
    pub wanted: Amounts,
    /// Largest task, in each resource.
    pub largest: Amounts,
}

/// State of a round of placement.
#[derive(Debug, Default)]
pub struct PlacementRound {
    /// Amounts of one task that the cap of each workspace refused.
    refused: Vec<Vec<Amounts>>,
    skipped: Vec<SkippedTasks>,
    /// Amounts for which no worker was found.
    unplaceable: Vec<Amounts>,
    /// Whether a larger amount may find a worker that a smaller one may not use.
    has_last_resort: bool,
    /// Whether the cap refused all tasks of the step that was considered last.
    pub was_refused: bool,
    /// Whether a worker gets no further starts until one of its starts has a result.
    pub awaits_starts: bool,
    /// Limits of the starts in the round.
    pub starts: StartLimits,
}

impl PlacementRound {
    /// Begins a round. `has_last_resort` tells whether there are workers that are only used for what
    /// the others could never hold.
    pub fn begin(&mut self, workspaces: usize, has_last_resort: bool) {
        self.awaits_starts = false;
        self.starts = StartLimits::default();
        self.refused.iter_mut().for_each(Vec::clear);
        self.refused.resize_with(workspaces, Vec::new);
        self.skipped.clear();
        self.skipped.resize(workspaces, SkippedTasks::default());
        self.unplaceable.clear();
        self.has_last_resort = has_last_resort;
        self.was_refused = false;
    }

    /// Records that the cap refused all tasks of a step. Gangs are not recorded: one that is wider
    /// than the cap does not count as waiting.
    pub fn record_refusal(&mut self, need: &StepNeed) {
        if let Some(refused) = (need.workspace).and_then(|index| self.refused.get_mut(index))
            && !need.is_gang
        {
            record(refused, &need.request);
        }
    }

    /// Returns whether the cap refuses a step because it refused one that requests no more. What the
    /// step wants is added to the skipped tasks of its workspace then.
    pub fn skip_refused(&mut self, need: &StepNeed) -> bool {
        let Some(index) = need.workspace.filter(|_| !need.is_gang && need.idle > 0) else {
            return false;
        };
        let is_refused =
            (self.refused.get(index)).is_some_and(|refused| covers(refused, &need.request));
        if let Some(skipped) = self.skipped.get_mut(index).filter(|_| is_refused) {
            let wanted = multiply(&need.request, u64::from(need.idle));
            skipped.wanted = add(&skipped.wanted, &wanted);
            skipped.largest = larger(&skipped.largest, &need.request);
        }
        is_refused
    }

    /// Returns the skipped tasks of the workspaces that have any.
    pub fn skipped(&self) -> impl Iterator<Item = (WorkspaceIndex, &SkippedTasks)> {
        (self.skipped.iter().enumerate()).filter(|(_, tasks)| **tasks != SkippedTasks::default())
    }

    /// Records that no worker was found for a task that may use any.
    pub fn record_unplaceable(&mut self, reserved: &ResourceAmount) {
        record(&mut self.unplaceable, &crate::allowance::amounts(reserved));
    }

    /// Returns whether no worker has room for a task because none had room for one that reserves no
    /// more.
    pub fn is_unplaceable(&self, reserved: &ResourceAmount) -> bool {
        !self.has_last_resort && covers(&self.unplaceable, &crate::allowance::amounts(reserved))
    }
}

fn is_at_least(amount: &Amounts, other: &Amounts) -> bool {
    amount
        .iter()
        .zip(other)
        .all(|(amount, other)| amount >= other)
}

/// Returns whether one of the refused amounts is no larger than `amount`.
fn covers(refused: &[Amounts], amount: &Amounts) -> bool {
    refused.iter().any(|other| is_at_least(amount, other))
}

fn record(refused: &mut Vec<Amounts>, amount: &Amounts) {
    if covers(refused, amount) {
        return;
    }
    refused.retain(|other| !is_at_least(other, amount));
    if refused.len() < MAX_REFUSED {
        refused.push(*amount);
    }
}
