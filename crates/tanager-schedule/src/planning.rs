//! Use of the plan of `overload` by a cell: its inputs and the order of steps.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ResourceAmount;
use tanager_jobs::ids::WorkspaceName;
use tanager_protocol::token_bucket::TokenBucket;

use crate::core::CellCore;
use crate::core::StepKey;
use crate::fair_share::WorkspaceDemand;
use crate::fair_share::divide_capacity;
use crate::job::JobEntry;
use crate::job::OccurrenceEntry;
use crate::overload::JobPlan;
use crate::overload::PlanCapacity;
use crate::overload::PlanGroup;
use crate::overload::PlanOutcome;
use crate::overload::WaitingJob;
use crate::overload::plan_jobs;
use crate::overload::planned_value;
use crate::ranking::MAX_LATENESS_FACTOR;
use crate::ranking::RankClass;
use crate::ranking::objective;

/// Time after which an admitted job that was not added is forgotten. A request to the store has
/// failed by then.
const PENDING_LIMIT: Duration = Duration::from_secs(3);
/// Jobs' places in the plan, and what is kept from one plan to the next.
#[derive(Debug, Default)]
pub(crate) struct PlanState {
    places: HashMap<(JobId, u32), PlannedPlace>,
    /// The jobs of the last plan; admissions between two plans add theirs.
    pub(crate) jobs: Vec<WaitingJob>,
    pub(crate) capacity: Option<CellCapacity>,
    /// Workspaces that were below their share. Jobs without a workspace share as one.
    pub(crate) below: BTreeMap<Option<WorkspaceName>, bool>,
    /// Admitted jobs that are not added yet.
    pub(crate) pending: BTreeMap<JobId, PendingJob>,
    pub(crate) rates: BTreeMap<WorkspaceName, f64>,
    pub(crate) buckets: BTreeMap<WorkspaceName, TokenBucket>,
    /// Number of cells of the pool, by which weights are divided while no rate is known.
    pub(crate) cell_count: usize,
    /// Steps of jobs that have waited too long, oldest job first, as of the last plan.
    pub(crate) by_age: Vec<StepKey>,
    /// Starts due to the oldest waiting job.
    pub(crate) oldest_credit: f64,
}

/// Place of a job in the plan.
#[derive(Clone, Copy, Debug)]
struct PlannedPlace {
    group: PlanGroup,
    outcome: PlanOutcome,
    position: u32,
    end: Duration,
}

#[derive(Clone, Debug)]
pub(crate) struct PendingJob {
    pub(crate) workspace: Option<WorkspaceName>,
    /// Resources that a task of each first step reserves.
    pub(crate) first_tasks: Vec<ResourceAmount>,
    pub(crate) job: WaitingJob,
}

/// Capacity of the cell's usable workers for jobs that end.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CellCapacity {
    total: ResourceAmount,
    pub(crate) cores: f64,
    free_work: f64,
}

impl CellCore {
    pub(crate) fn value_of(&self, queue: &str, work: f64) -> f64 {
        planned_value(work / self.mean_work(queue).max(0.001))
    }

    pub(crate) fn plan_capacity(&self) -> PlanCapacity {
        let capacity = self.plan.capacity.unwrap_or_default();
        PlanCapacity {
            cores: capacity.cores,
            free_work: capacity.free_work,
        }
    }

    /// Plans all jobs that need capacity.
    pub(crate) fn plan_overload(&mut self, now: Duration) {
        (self.plan.pending).retain(|id, pending| {
            !self.jobs.contains_key(id) && now.saturating_sub(pending.job.since) < PENDING_LIMIT
        });
        let (mut jobs, mut workspaces) = (Vec::new(), Vec::new());
        let mut waiting: BTreeMap<Option<&WorkspaceName>, ResourceAmount> = BTreeMap::new();
        let mut smallest_cpu = u64::MAX;
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if job.state != JobState::Open || job.record.spec.is_long_running() {
                continue;
            }
            for (&number, occurrence) in &job.occurrences {
                let Some(entry) = self.waiting_job(job, number, occurrence, now) else {
                    continue;
                };
                let amount = waiting.entry(job.record.workspace.as_ref()).or_default();
                for (spec, step) in job.record.spec.steps.iter().zip(&occurrence.steps) {
                    if step.open && step.idle > 0 {
                        let reserved = spec.reserved();
                        smallest_cpu = smallest_cpu.min(reserved.cpu);
                        *amount = amount.plus(&times(&reserved, step.idle));
                    }
                }
                jobs.push(entry);
                workspaces.push(job.record.workspace.as_ref());
            }
        }
        let capacity = self.capacity_for_jobs(smallest_cpu, &jobs, now);
        let below = match &self.workspaces {
            Some(_) => self.divide_shares(&capacity.total, &waiting),
            None => BTreeMap::new(),
        };
        for (job, workspace) in jobs.iter_mut().zip(workspaces) {
            job.is_below_share = below.get(&workspace.cloned()).copied().unwrap_or(true);
        }
        for (id, pending) in &self.plan.pending {
            let mut job = pending.job.clone();
            job.is_below_share = below.get(&pending.workspace).copied().unwrap_or(true);
            job.was_planned = self.was_planned((*id, 0));
            jobs.push(job);
        }
        self.plan.below = below;
        self.plan.capacity = Some(capacity);
        let plans = plan_jobs(&jobs, &self.plan_capacity(), now);
        self.set_places(&jobs, &plans);
        self.plan.jobs = jobs;
        self.sort_by_age(now);
    }

    fn waiting_job(
        &self,
        job: &JobEntry,
        number: u32,
        occurrence: &OccurrenceEntry,
        now: Duration,
    ) -> Option<WaitingJob> {
        if self.is_missed(job, number, now) {
            return None;
        }
        let work = self.remaining_work(job, occurrence);
        if work.unplaced <= 0.0 {
            return None;
        }
        let default = crate::settings::QueuePolicy::default();
        let policy = self.queues.get(&job.record.queue).unwrap_or(&default);
        let target = objective(policy, work.total_critical_path);
        let key = (job.record.id, number);
        Some(WaitingJob {
            key,
            work: work.unplaced,
            critical_path: work.critical_path,
            since: occurrence.due,
            deadline: occurrence.due + target,
            latest: occurrence.due + target.mul_f64(MAX_LATENESS_FACTOR),
            priority: policy.priority,
            is_below_share: true,
            exceeds_rate: job.record.exceeds_rate,
            value: self.value_of(&job.record.queue, work.total),
            is_accepted: true,
            has_room: false,
            was_planned: self.was_planned(key),
        })
    }

    fn was_planned(&self, key: (JobId, u32)) -> bool {
        let place = self.plan.places.get(&key);
        place.is_some_and(|place| place.outcome == PlanOutcome::Planned)
    }

    /// Sums up the workers that run jobs. Long-running tasks hold their cores.
    fn capacity_for_jobs(
        &self,
        smallest_cpu: u64,
        jobs: &[WaitingJob],
        now: Duration,
    ) -> CellCapacity {
        let mut capacity = CellCapacity::default();
        let (mut cpu, mut free) = (0, 0);
        for worker in self.workers.values() {
            if worker.entry.draining || !worker.responded_recently(now) {
                continue;
            }
            capacity.total = capacity.total.plus(&worker.entry.capacity);
            let long_running: u64 = (worker.runs.iter())
                .filter(|(task, _)| self.spec(**task).is_some_and(|spec| spec.long_running))
                .map(|(_, run)| run.amount.cpu)
                .sum();
            cpu += worker.entry.capacity.cpu.saturating_sub(long_running);
            // Room that no waiting task fits into cannot be used.
            let room = worker.free().cpu;
            free += if room >= smallest_cpu { room } else { 0 };
        }
        capacity.cores = cpu as f64 / 1e3;
        // Free cores take work for about as long as a task of the waiting jobs lasts: a share of
        // their critical paths, of which most have two steps.
        let paths: f64 = jobs.iter().map(|job| job.critical_path.as_secs_f64()).sum();
        let task_time = paths / (2 * jobs.len()).max(1) as f64;
        capacity.free_work = free as f64 / 1e3 * task_time;
        capacity
    }

    /// Returns which workspaces are below their share.
    fn divide_shares(
        &self,
        capacity: &ResourceAmount,
        waiting: &BTreeMap<Option<&WorkspaceName>, ResourceAmount>,
    ) -> BTreeMap<Option<WorkspaceName>, bool> {
        let mut demands: BTreeMap<Option<WorkspaceName>, WorkspaceDemand> = BTreeMap::new();
        for (workspace, used) in self.usage_by_workspace() {
            demands.entry(Some(workspace)).or_default().used = used;
        }
        for (workspace, amount) in waiting {
            demands.entry(workspace.cloned()).or_default().waiting = *amount;
        }
        let policies = self.workspaces.as_ref();
        let total: f64 = (policies.into_iter().flatten())
            .map(|(_, policy)| policy.weight)
            .sum();
        let mean = total / policies.map_or(1, BTreeMap::len).max(1) as f64;
        for (workspace, demand) in &mut demands {
            let policy = (workspace.as_ref()).and_then(|name| policies?.get(name));
            // Jobs of public routes have no workspace; together they count as an average one.
            demand.weight = policy.map_or(mean, |policy| policy.weight);
            demand.was_below = self.plan.below.get(workspace).copied().unwrap_or(true);
        }
        let values: Vec<WorkspaceDemand> = demands.values().copied().collect();
        let shares = divide_capacity(capacity, &values);
        (demands.into_keys().zip(shares))
            .map(|(workspace, share)| (workspace, share.is_below))
            .collect()
    }

    pub(crate) fn set_places(&mut self, jobs: &[WaitingJob], plans: &[JobPlan]) {
        self.plan.places.clear();
        for (position, plan) in plans.iter().enumerate() {
            let place = PlannedPlace {
                group: plan.group,
                outcome: plan.outcome,
                position: position as u32,
                end: plan.end,
            };
            self.plan.places.insert(jobs[plan.index].key, place);
        }
    }

    /// Returns the rank class of a job and the time by which jobs of the class are ordered.
    pub(crate) fn planned_rank(
        &self,
        key: (JobId, u32),
        latest_start: Duration,
        exceeds_rate: bool,
    ) -> (RankClass, Duration) {
        let place = self.plan.places.get(&key);
        let position = place.map_or(u32::MAX, |place| place.position);
        let order = Duration::from_nanos(u64::from(position));
        match place.map(|place| place.group) {
            // One that was admitted without a plan can end in time behind all others.
            None if exceeds_rate => (RankClass::Excess, order),
            None | Some(PlanGroup::Planned) => (RankClass::OnTime, latest_start),
            Some(PlanGroup::Late) => (RankClass::Late, order),
            Some(PlanGroup::Excess) => (RankClass::Excess, order),
            Some(PlanGroup::Overdue) => (RankClass::Overdue, order),
        }
    }

    /// Describes what is planned for a job, for operators; `None` if the cell does not plan or the
    /// job needs no more capacity.
    pub fn describe_plan(&self, id: JobId, now: Duration) -> Option<String> {
        let place = self.plan.places.get(&(id, 0))?;
        let job = self.plan.jobs.iter().find(|job| job.key == (id, 0))?;
        let outcome = match place.outcome {
            PlanOutcome::Planned => "planned",
            PlanOutcome::Delayed => "delayed",
            PlanOutcome::Rejected(_) => "rejected",
        };
        Some(format!(
            "{outcome} as {:?}, position {} of {}; needs {:.1} core-seconds of {:.0} cores, should \
             end in {:.1} s, expected in {:.1} s; priority {}, {} its share{}",
            place.group,
            place.position + 1,
            self.plan.places.len(),
            job.work,
            self.plan.capacity.unwrap_or_default().cores,
            job.deadline.as_secs_f64() - now.as_secs_f64(),
            place.end.as_secs_f64() - now.as_secs_f64(),
            job.priority,
            if job.is_below_share { "below" } else { "above" },
            if job.exceeds_rate {
                ", exceeds the rate of its workspace"
            } else {
                ""
            },
        ))
    }
}

fn times(amount: &ResourceAmount, count: u32) -> ResourceAmount {
    let count = u64::from(count);
    ResourceAmount {
        cpu: amount.cpu.saturating_mul(count),
        memory_mb: amount.memory_mb.saturating_mul(count),
        gpu: amount.gpu.saturating_mul(count),
    }
}
