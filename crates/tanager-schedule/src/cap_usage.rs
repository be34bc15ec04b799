//! Usage of workspaces, kept with each start and end of a run.
//!
//! To count all runs for each decision would take a cell most of its processor time while tasks wait
//! for a cap.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::WorkspaceName;

use crate::action::CellEvent;
use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::amounts;
use crate::allowance::subtract;
use crate::core::CellCore;
use crate::worker::RunSlot;
use crate::worker::WorkerKey;

/// Interval between comparisons of the kept usage with a count of all runs. They guard against
/// faults of this code only, so the runs may be counted rarely.
const COMPARE_PERIOD: Duration = Duration::from_secs(10);
/// Maximum age of the bound over tasks that may run on unconfirmed workers. An old bound is only too
/// large: what can raise it makes it outdated, and time only takes tasks and workers from it.
const BOUND_PERIOD: Duration = Duration::from_millis(40);

/// What a run adds to the usage of its workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct RunCharge {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Requested resources.
    pub amount: Amounts,
}

/// A workspace whose kept usage differs from the count of its runs.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageDifference {
    /// Workspace.
    pub workspace: WorkspaceName,
    /// Kept usage.
    pub kept: Amounts,
    /// Counted usage.
    pub counted: Amounts,
}

/// Usage of the workspaces in a cell.
#[derive(Debug, Default)]
pub(crate) struct CapUsage {
    /// Usage by runs on workers.
    running: BTreeMap<WorkspaceName, Amounts>,
    /// Bound over the tasks that may run on unconfirmed workers.
    unconfirmed: BTreeMap<WorkspaceName, Amounts>,
    bounded_at: Option<Duration>,
    compared_at: Option<Duration>,
    /// Jobs that had runs before they were known.
    unknown_jobs: BTreeSet<JobId>,
}

impl CapUsage {
    /// Makes the bound over unconfirmed workers outdated.
    pub(crate) fn expire_bound(&mut self) {
        self.bounded_at = None;
    }

    pub(crate) fn running(&self) -> &BTreeMap<WorkspaceName, Amounts> {
        &self.running
    }

    fn total(&self, workspace: &str) -> Amounts {
        let part = |usage: &BTreeMap<WorkspaceName, Amounts>| {
            usage.get(workspace).copied().unwrap_or_default()
        };
        add(&part(&self.running), &part(&self.unconfirmed))
    }

    fn totals(&self) -> BTreeMap<WorkspaceName, Amounts> {
        let names = self.running.keys().chain(self.unconfirmed.keys());
        names.map(|name| (name.clone(), self.total(name))).collect()
    }

    fn add(&mut self, charge: &RunCharge) {
        match self.running.get_mut(&charge.workspace) {
            Some(used) => *used = add(used, &charge.amount),
            None => {
                (self.running).insert(charge.workspace.clone(), charge.amount);
            }
        }
    }

    fn subtract(&mut self, charge: &RunCharge) {
        let Some(used) = self.running.get_mut(&charge.workspace) else {
            return;
        };
        *used = subtract(used, &charge.amount);
        if *used == Amounts::default() {
            self.running.remove(&charge.workspace);
        }
    }
}

impl CellCore {
    /// Adds a run to a worker and to the usage of its workspace.
    pub(crate) fn add_run(&mut self, key: WorkerKey, task: TaskKey, mut slot: RunSlot) {
        let charge = self.charge(task, &slot.amount);
        if !self.jobs.contains_key(&task.job) {
            self.caps.usage.unknown_jobs.insert(task.job);
        }
        slot.charge.clone_from(&charge);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = worker.add_run(task, slot);
        self.subtract_charge(before.and_then(|slot| slot.charge));
        self.add_charge(charge);
    }

    /// Removes a run from a worker and from the usage of its workspace.
    pub(crate) fn remove_run(&mut self, key: WorkerKey, task: &TaskKey) -> Option<RunSlot> {
        let slot = self.workers.get_mut(key)?.remove_run(task)?;
        self.subtract_charge(slot.charge.clone());
        Some(slot)
    }

    /// Adds the runs that a job had before it was known to the usage of its workspace.
    pub(crate) fn charge_earlier_runs(&mut self, id: JobId) {
        if !self.caps.usage.unknown_jobs.remove(&id) {
            return;
        }
        let mut runs = Vec::new();
        for (key, worker) in &self.workers {
            self.work.add_runs(worker.runs.len());
            let of_job = worker.runs.iter().filter(|(task, _)| task.job == id);
            runs.extend(of_job.map(|(task, slot)| (key, *task, slot.clone())));
        }
        for (key, task, slot) in runs {
            self.add_run(key, task, slot);
        }
    }

    fn charge(&self, task: TaskKey, amount: &ResourceAmount) -> Option<Arc<RunCharge>> {
        let record = &self.jobs.get(&task.job)?.record;
        let spec = record.spec.steps.get(usize::from(task.step));
        Some(Arc::new(RunCharge {
            workspace: record.workspace.clone()?,
            amount: amounts(spec.map_or(amount, |spec| &spec.request)),
        }))
    }

    fn add_charge(&mut self, charge: Option<Arc<RunCharge>>) {
        if let Some(charge) = charge {
            self.caps.usage.add(&charge);
            self.update_used(&charge.workspace);
        }
    }

    fn subtract_charge(&mut self, charge: Option<Arc<RunCharge>>) {
        if let Some(charge) = charge {
            self.caps.usage.subtract(&charge);
            self.update_used(&charge.workspace);
        }
    }

    fn update_used(&mut self, workspace: &str) {
        let used = self.caps.usage.total(workspace);
        self.caps.allowances.set_used(workspace, used);
    }

    /// Refreshes the bound over unconfirmed workers, and compares the kept usage with a count from
    /// time to time.
    pub(crate) fn refresh_cap_usage(&mut self, now: Duration) {
        let is_old = |at: Option<Duration>, age| at.is_none_or(|at| now.saturating_sub(at) >= age);
        let is_confirmed = self.unconfirmed_workers.is_empty();
        let usage = &mut self.caps.usage;
        let is_outdated = match is_confirmed {
            true => !usage.unconfirmed.is_empty(),
            false => is_old(usage.bounded_at, BOUND_PERIOD),
        };
        let must_compare = is_old(usage.compared_at, COMPARE_PERIOD);
        if must_compare {
            usage.compared_at = Some(now);
            let differences = self.usage_differences();
            if !differences.is_empty() {
                self.recount_usage();
                self.events
                    .push(CellEvent::CapUsageCorrected { differences });
            }
        }
        if is_outdated {
            let unconfirmed = match is_confirmed {
                true => BTreeMap::new(),
                false => self.unconfirmed_usage(),
            };
            self.caps.usage.bounded_at = Some(now);
            if self.caps.usage.unconfirmed != unconfirmed {
                self.caps.usage.unconfirmed = unconfirmed;
                let totals = self.caps.usage.totals();
                self.caps.allowances.set_usage(totals);
                self.placement_needed = true;
            }
        }
    }

    /// Returns the workspaces whose kept usage by runs differs from a count of all runs.
    pub fn usage_differences(&self) -> Vec<UsageDifference> {
        let counted = self.count_running_usage();
        let kept = &self.caps.usage.running;
        let names: BTreeSet<&str> = (kept.keys().map(String::as_str))
            .chain(counted.keys().copied())
            .collect();
        let difference = |name: &str| UsageDifference {
            workspace: name.to_owned(),
            kept: kept.get(name).copied().unwrap_or_default(),
            counted: counted.get(name).copied().unwrap_or_default(),
        };
        (names.into_iter())
            .map(difference)
            .filter(|difference| difference.kept != difference.counted)
            .collect()
    }

    /// Counts the usage again from the runs of all workers.
    fn recount_usage(&mut self) {
        let mut runs = Vec::new();
        for (key, worker) in &self.workers {
            self.work.add_runs(worker.runs.len());
            runs.extend((worker.runs.iter()).map(|(task, slot)| (key, *task, slot.clone())));
        }
        self.caps.usage.running.clear();
        for (key, task, mut slot) in runs {
            slot.charge = self.charge(task, &slot.amount).or(slot.charge);
            if let Some(charge) = &slot.charge {
                self.caps.usage.add(charge);
            }
            if let Some(worker) = self.workers.get_mut(key) {
                worker.add_run(task, slot);
            }
        }
        let totals = self.caps.usage.totals();
        self.caps.allowances.set_usage(totals);
        self.placement_needed = true;
    }
}
