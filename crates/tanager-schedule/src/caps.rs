//! Caps of workspaces in a cell: counts what the workspaces use and limits the starts of tasks.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobSpec;
use tanager_jobs::JobState;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::WorkspaceName;

use crate::allowance::Amounts;
use crate::allowance::add;
use crate::allowance::amounts;
use crate::allowance::holder::CellAllowances;
use crate::allowance::holder::ReplyEffect;
use crate::allowance::is_within;
use crate::allowance::missing::MissingLimit;
use crate::allowance::multiply;
use crate::allowance::report::AllowanceReply;
use crate::allowance::report::AllowanceReport;
use crate::allowance::request::StartRequest;
use crate::allowance::smaller;
use crate::allowance::subtract;
use crate::cap_usage::CapUsage;
use crate::core::CellCore;
use crate::core::StepKey;
use crate::job::TaskPhase;
use crate::rounds::RoundLimits;
use crate::settings::WorkspacePolicy;
use crate::unconfirmed_usage::FormerCapacities;
use crate::unconfirmed_usage::concurrent_amounts;
use crate::unconfirmed_usage::sum_bounds;

/// Time after its end for which a job's runs may still go on when its cell is taken over.
const STOPPING_TIME_MS: u64 = 15_000;

/// State of the caps in a cell.
#[derive(Debug, Default)]
pub struct CapState {
    /// Limits that the cell holds.
    pub allowances: CellAllowances,
    /// Cores of the cell's workers in thousandths, once they were summed up.
    cell_cpu: Cell<Option<u64>>,
    /// Usage of the workspaces.
    pub(crate) usage: CapUsage,
    /// Jobs that had been failed or cancelled shortly before the takeover: their runs may go on
    /// until they are listed and stopped.
    ended_at_takeover: Vec<JobId>,
    /// Capacities of the former owner's workers.
    former_capacities: FormerCapacities,
}

impl CapState {
    /// Makes the sum of the cell's cores outdated.
    pub(crate) fn expire_cores(&mut self) {
        self.cell_cpu.take();
    }
}

impl CellCore {
    fn has_caps(&self) -> bool {
        (self.workspaces.iter())
            .flat_map(BTreeMap::values)
            .any(|policy| policy.cap != ResourceAmount::default())
    }

    /// Records the state of a job that was loaded in a takeover.
    pub(crate) fn record_loaded_job(&mut self, id: JobId, wall_ms: u64) {
        let may_run = (self.jobs.get(&id)).is_some_and(|job| {
            job.record.workspace.is_some()
                && matches!(job.state, JobState::Failed | JobState::Cancelled)
                && job.ended_ms + STOPPING_TIME_MS > wall_ms
        });
        self.caps.usage.expire_bound();
        if may_run {
            self.caps.ended_at_takeover.push(id);
        }
    }

    /// Returns what each workspace uses by the requests of its tasks. After a takeover this
    /// includes the tasks that may run on workers that have not reported, up to the capacity of
    /// these workers.
    ///
    /// Decisions use the usage that is kept with each start and end.
    pub fn cap_usage(&self) -> BTreeMap<WorkspaceName, Amounts> {
        let mut usage = self.count_running_usage();
        if !self.unconfirmed_workers.is_empty() {
            self.add_unconfirmed_usage(&mut usage);
        }
        (usage.into_iter())
            .map(|(workspace, used)| (workspace.to_owned(), used))
            .collect()
    }

    /// Counts what each workspace uses by the requests of its runs. A run whose job is no longer known
    /// counts as it did before.
    pub(crate) fn count_running_usage(&self) -> HashMap<&str, Amounts> {
        let mut usage: HashMap<&str, Amounts> = HashMap::new();
        for (task, run) in self.workers.values().flat_map(|worker| &worker.runs) {
            self.work.add_runs(1);
            let (workspace, amount) = match (self.jobs.get(&task.job), &run.charge) {
                (Some(job), _) => {
                    let spec = job.record.spec.steps.get(usize::from(task.step));
                    let amount = amounts(spec.map_or(&run.amount, |spec| &spec.request));
                    (job.record.workspace.as_deref(), amount)
                }
                (None, Some(charge)) => (Some(charge.workspace.as_str()), charge.amount),
                (None, None) => continue,
            };
            if let Some(workspace) = workspace {
                let used = usage.entry(workspace).or_default();
                *used = add(used, &amount);
            }
        }
        usage.retain(|_, used| *used != Amounts::default());
        usage
    }

    /// Returns a bound over the tasks that may run on workers that have not reported after a
    /// takeover.
    pub(crate) fn unconfirmed_usage(&self) -> BTreeMap<WorkspaceName, Amounts> {
        let running = self.caps.usage.running();
        let mut usage: HashMap<&str, Amounts> = (running.iter())
            .map(|(workspace, used)| (workspace.as_str(), *used))
            .collect();
        self.add_unconfirmed_usage(&mut usage);
        (usage.into_iter())
            .map(|(workspace, used)| {
                let running = running.get(workspace).copied().unwrap_or_default();
                (workspace.to_owned(), subtract(&used, &running))
            })
            .filter(|(_, used)| *used != Amounts::default())
            .collect()
    }

    fn add_unconfirmed_usage<'a>(&'a self, usage: &mut HashMap<&'a str, Amounts>) {
        let capacity = self.unconfirmed_capacity();
        let mut possible: HashMap<&str, (Amounts, Amounts)> = HashMap::new();
        let mut add_tasks = |workspace, steps: &[StepSpec], counts: &[u64]| {
            let (reserving, best_effort) = possible.entry(workspace).or_default();
            *reserving = add(reserving, &concurrent_amounts(steps, counts));
            // Best-effort tasks reserve no processor time, so capacity does not limit them.
            for (spec, &count) in steps.iter().zip(counts).filter(|(spec, _)| spec.fills) {
                *best_effort = add(best_effort, &multiply(&amounts(&spec.request), count));
            }
        };
        let mut counts = Vec::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(workspace) = job.record.workspace.as_deref() else {
                continue;
            };
            for occurrence in job.occurrences.values() {
                counts.clear();
                counts.extend(occurrence.steps.iter().map(|step| {
                    self.work.add_tasks(step.tasks.len());
                    let unaccounted =
                        (step.tasks.iter()).filter(|task| task.phase == TaskPhase::Unaccounted);
                    unaccounted.count() as u64
                }));
                add_tasks(workspace, &job.record.spec.steps, &counts);
            }
        }
        for id in &self.caps.ended_at_takeover {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let Some(workspace) = job.record.workspace.as_deref() else {
                continue;
            };
            let steps = &job.record.spec.steps;
            counts.clear();
            counts.extend(steps.iter().map(|spec| u64::from(spec.count)));
            add_tasks(workspace, steps, &counts);
        }
        for (workspace, (reserving, best_effort)) in possible {
            let reserving = match capacity {
                Some(capacity) => smaller(&reserving, &capacity),
                None => reserving,
            };
            let used = usage.entry(workspace).or_default();
            *used = add(used, &add(&reserving, &best_effort));
        }
    }

    /// Sets the capacities of the workers on which the former owner may have runs.
    pub fn set_former_capacities(&mut self, capacities: FormerCapacities) {
        self.caps.former_capacities = capacities;
    }

    /// Returns the capacity of a worker for the ledger: that of its entry, or what the former owner's
    /// ledger has if the worker is not listed; `None` if neither is known.
    pub fn ledger_capacity(&self, entry: &WorkerEntry) -> Option<ResourceAmount> {
        let stored = self.caps.former_capacities.by_worker.get(&entry.worker);
        let is_known = |capacity: &ResourceAmount| *capacity != ResourceAmount::default();
        (Some(entry.capacity).filter(is_known)).or_else(|| stored.copied().filter(is_known))
    }

    /// Returns the capacity of the workers that have not reported after a takeover; `None` if the
    /// capacity of one of them is not known.
    fn unconfirmed_capacity(&self) -> Option<Amounts> {
        let capacities = &self.caps.former_capacities;
        sum_bounds(self.unconfirmed_workers.keys().map(|id| {
            let listed = (self.workers_by_id.get(id))
                .and_then(|key| self.workers.get(*key))
                .map(|worker| &worker.entry.capacity);
            capacities.bound(id, listed)
        }))
    }

    /// Begins a round of placement.
    pub(crate) fn begin_cap_round(&mut self, now: Duration) {
        if !self.has_caps() {
            return;
        }
        self.caps.allowances.begin_round();
        if self.unconfirmed_workers.is_empty() {
            self.caps.ended_at_takeover.clear();
        }
        self.refresh_cap_usage(now);
    }

    /// Returns how many of `count` tasks of a step may start under the cap of their workspace.
    /// What may not start is remembered as wanted.
    pub(crate) fn count_allowed_starts(
        &mut self,
        key: StepKey,
        count: usize,
        now: Duration,
    ) -> usize {
        self.work.add_cap_check();
        let Some(job) = self.jobs.get(&key.0) else {
            return 0;
        };
        let Some(workspace) = job.record.workspace.as_ref() else {
            return count;
        };
        // A deployment without workspaces has no caps, also for jobs that it accepted before.
        let Some(policies) = &self.workspaces else {
            return count;
        };
        let policy = policies.get(workspace);
        if policy.is_some_and(|policy| policy.cap == ResourceAmount::default()) {
            return count;
        }
        let policy = policy.copied();
        let record = std::sync::Arc::clone(&job.record);
        let Some(workspace) = record.workspace.as_deref() else {
            return count;
        };
        let spec = &record.spec.steps[usize::from(key.2)];
        let request = StartRequest {
            step: key.0.0 ^ (u64::from(key.1) << 16) ^ u64::from(key.2),
            amount: amounts(&spec.request),
            count: count as u64,
            is_gang: spec.gang,
        };
        let allowances = &mut self.caps.allowances;
        let allowed = allowances.count_allowed(workspace, policy.as_ref(), &request, now);
        if allowed < request.count {
            allowances.record_waiting(workspace, policy.as_ref(), &request, allowed, now);
        }
        allowed as usize
    }

    /// Records a start in the limits of its workspace.
    pub(crate) fn record_cap_start(&mut self, task: TaskKey) {
        let workspace = (self.jobs.get(&task.job)).and_then(|job| job.record.workspace.as_deref());
        if let Some(workspace) = workspace {
            self.caps.allowances.end_excess(workspace);
        }
    }

    /// Returns the time at which the cell next reports to the allocator; `None` if no workspace
    /// has a cap.
    pub fn allowance_report_due(&mut self, now: Duration) -> Option<Duration> {
        self.has_caps()
            .then(|| self.caps.allowances.report_due(now))
    }

    /// Creates a report to the allocator. The reply must be passed to `apply_allowance_reply`
    /// before the next report.
    pub fn create_allowance_report(
        &mut self,
        cell: &CellName,
        token: FencingToken,
        now: Duration,
    ) -> AllowanceReport {
        self.refresh_cap_usage(now);
        if self.ready.is_empty() {
            self.caps.allowances.begin_round();
        }
        let none = BTreeMap::new();
        let policies = self.workspaces.as_ref().unwrap_or(&none);
        (self.caps.allowances).create_report(cell, token, policies, now)
    }

    /// Returns the workspaces whose tasks wait because the cell has no valid limit, for the log.
    pub fn missing_allowances(&self, now: Duration) -> Vec<MissingLimit> {
        let policies = self.workspaces.as_ref();
        policies.map_or_else(Vec::new, |policies| {
            self.caps.allowances.missing_limits(policies, now)
        })
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&mut self, version: u64) {
        self.caps.allowances.set_version(version);
    }

    /// Gives up the reply to the last report.
    pub fn abandon_allowance_report(&mut self) {
        self.caps.allowances.abandon_report();
    }

    /// Returns whether tasks wait for the limit of their workspace.
    pub fn awaits_allowance(&self) -> bool {
        self.caps.allowances.is_waiting()
    }

    /// Applies the allocator's reply; returns `None` if it has no effect.
    pub fn apply_allowance_reply(
        &mut self,
        reply: &AllowanceReply,
        now: Duration,
    ) -> Option<ReplyEffect> {
        let effect = self.caps.allowances.apply_reply(reply, now);
        self.placement_needed |= effect.is_some();
        effect
    }

    /// Returns the cell's part of the rate of a workspace in jobs per second: before the first
    /// reply of the allocator the whole rate. `None` if no configuration has the workspace.
    pub fn workspace_rate(&self, workspace: &str) -> Option<f64> {
        let policy = self.workspaces.as_ref()?.get(workspace)?;
        let rate = self.caps.allowances.rate(workspace);
        Some(rate.unwrap_or(policy.weight))
    }

    /// Returns a policy of a workspace; `None` if no configuration has it.
    pub(crate) fn workspace_policy(&self, workspace: &str) -> Option<&WorkspacePolicy> {
        self.workspaces.as_ref()?.get(workspace)
    }

    /// Returns whether a gang of the job is wider than the cap of the job's workspace.
    pub(crate) fn exceeds_cap(&self, workspace: Option<&str>, spec: &JobSpec) -> bool {
        let Some(policy) = workspace.and_then(|workspace| self.workspace_policy(workspace)) else {
            return false;
        };
        let cap = amounts(&policy.cap);
        spec.steps.iter().filter(|step| step.gang).any(|step| {
            let gang = multiply(&amounts(&step.request), u64::from(step.count));
            !is_within(&gang, &cap, &cap)
        })
    }

    /// Returns what limits the number of tasks of a step that run at the same time; `None` for jobs
    /// without a workspace.
    pub(crate) fn round_limits(&self, workspace: Option<&str>) -> Option<RoundLimits> {
        let workspace = workspace?;
        let cap = (self.workspace_policy(workspace))
            .map_or_else(Amounts::default, |policy| amounts(&policy.cap));
        let cell_cpu = (self.caps.cell_cpu.get()).unwrap_or_else(|| {
            self.work.add_workers(self.workers.len());
            let cpu = (self.workers.values())
                .filter(|worker| !worker.entry.draining)
                .map(|worker| worker.entry.capacity.cpu)
                .sum();
            self.caps.cell_cpu.set(Some(cpu));
            cpu
        });
        Some(RoundLimits { cap, cell_cpu })
    }

    /// Returns the limit, usage and waiting amount of each workspace, for the state dump.
    pub fn describe_allowances(&self, now: Duration) -> BTreeMap<WorkspaceName, String> {
        match self.has_caps() {
            true => self.caps.allowances.describe(now),
            false => BTreeMap::new(),
        }
    }
}
