//! Admission where overload is planned: the arriving job competes with those that were not passed to
//! the store yet, and is marked if it exceeds the rate of its workspace.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::ids::WorkspaceName;
use tanager_protocol::token_bucket::TokenBucket;

use crate::admission::AdmissionDecision;
use crate::core::CellCore;
use crate::overload::PlanOutcome;
use crate::overload::WaitingJob;
use crate::overload::plan_jobs;
use crate::planning::PendingJob;
use crate::ranking::MAX_LATENESS_FACTOR;
use crate::ranking::objective;

/// Decision on an arriving job, with the inputs that explain it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionReport {
    /// Decision.
    pub decision: AdmissionDecision,
    /// Outcome of the plan; `None` if the cell does not plan or the plan was not needed.
    pub outcome: Option<PlanOutcome>,
    /// Jobs that are not passed to the store yet and should be refused in favour of this one, with
    /// the time after which each would be in time.
    pub displaced: Vec<(JobId, Duration)>,
    /// Whether the job exceeds the rate of its workspace.
    pub exceeds_rate: bool,
    /// Work of the job, in core-seconds.
    pub work: f64,
    /// Time until all work that waits now is placed.
    pub wait: Duration,
    /// Time within which the job should end.
    pub target: Duration,
    /// Number of jobs that wait for capacity.
    pub waiting: usize,
    /// Cores of the cell that run jobs.
    pub cores: f64,
}

impl AdmissionReport {
    fn new(decision: AdmissionDecision) -> Self {
        Self {
            decision,
            outcome: None,
            displaced: Vec::new(),
            exceeds_rate: false,
            work: 0.0,
            wait: Duration::ZERO,
            target: Duration::ZERO,
            waiting: 0,
            cores: 0.0,
        }
    }
}

impl CellCore {
    /// Sets the rates in jobs per second to which workspaces are entitled in this cell until the
    /// allocator grants theirs. Other workspaces are entitled to their weight divided by the number
    /// of cells.
    pub fn set_workspace_rates(&mut self, rates: BTreeMap<WorkspaceName, f64>) {
        self.plan.rates = rates;
    }

    /// Sets the number of cells of the pool.
    pub fn set_cell_count(&mut self, count: usize) {
        self.plan.cell_count = count;
    }

    /// Decides whether a job is admitted, and marks it if it exceeds the rate of its workspace.
    /// `refusable` are admitted jobs that were not passed to the store yet.
    pub fn admit_record(
        &mut self,
        record: &mut JobRecord,
        refusable: &[JobId],
        now: Duration,
    ) -> AdmissionReport {
        if !self.settings.plans_overload {
            let workspace = record.workspace.as_deref();
            let decision = self.admit_for(workspace, &record.queue, &record.spec, now);
            return AdmissionReport::new(decision);
        }
        record.exceeds_rate = self.exceeds_rate(record, now);
        let mut report = self.plan_admission(record, refusable, now);
        report.exceeds_rate = record.exceeds_rate;
        if report.decision == AdmissionDecision::Accept {
            self.take_token(record);
        }
        report
    }

    fn plan_admission(
        &mut self,
        record: &JobRecord,
        refusable: &[JobId],
        now: Duration,
    ) -> AdmissionReport {
        let workspace = record.workspace.as_deref();
        if let Some(decision) = self.admit_without_load(workspace, &record.spec, now) {
            return AdmissionReport::new(decision);
        }
        self.refresh_ranking(now);
        if self.plan.capacity.is_none() {
            self.plan_overload(now);
        }
        let (critical_path, work) =
            self.record_arrival(workspace, &record.queue, &record.spec, now);
        let capacity = self.plan.capacity.unwrap_or_default();
        if capacity.cores <= 0.0 {
            // Workers may return within a moment; the stored job waits until then.
            return AdmissionReport::new(AdmissionDecision::Accept);
        }
        let first_tasks = first_tasks(record);
        let job = WaitingJob {
            has_room: self.has_room(&first_tasks),
            ..self.arriving_job(record, critical_path, work, now)
        };
        let backlog: f64 = self.plan.jobs.iter().map(|job| job.work).sum();
        let mut report = AdmissionReport {
            work,
            wait: Duration::from_secs_f64(backlog / capacity.cores),
            target: job.deadline.saturating_sub(now),
            waiting: self.plan.jobs.len(),
            cores: capacity.cores,
            ..AdmissionReport::new(AdmissionDecision::Accept)
        };
        let own = Duration::from_secs_f64(work / capacity.cores) + critical_path;
        // Behind all others and still in time: nothing has to be decided.
        let is_needed = report.wait + own > report.target;
        if is_needed {
            self.plan_arrival(&job, refusable, &mut report, now);
        }
        if report.decision == AdmissionDecision::Accept {
            self.plan.jobs.push(job.clone());
            let pending = PendingJob {
                workspace: record.workspace.clone(),
                first_tasks,
                job: WaitingJob {
                    is_accepted: true,
                    ..job
                },
            };
            self.plan.pending.insert(record.id, pending);
        }
        report
    }

    /// Plans an arriving job together with all others and fills in the report.
    fn plan_arrival(
        &mut self,
        job: &WaitingJob,
        refusable: &[JobId],
        report: &mut AdmissionReport,
        now: Duration,
    ) {
        let mut jobs = std::mem::take(&mut self.plan.jobs);
        for other in &mut jobs {
            other.is_accepted = !refusable.contains(&other.key.0);
            let pending = (self.plan.pending.get(&other.key.0)).filter(|_| !other.is_accepted);
            other.has_room = pending.is_some_and(|pending| self.has_room(&pending.first_tasks));
        }
        jobs.push(job.clone());
        let capacity = self.plan_capacity();
        let plans = plan_jobs(&jobs, &capacity, now);
        let arrival = jobs.len() - 1;
        let outcome = (plans.iter())
            .find(|plan| plan.index == arrival)
            .map(|plan| plan.outcome);
        report.outcome = outcome;
        if let Some(PlanOutcome::Rejected(after)) = outcome {
            report.decision = AdmissionDecision::Overloaded(after);
        } else {
            for plan in &plans {
                if let PlanOutcome::Rejected(after) = plan.outcome {
                    let id = jobs[plan.index].key.0;
                    report.displaced.push((id, after));
                    self.plan.pending.remove(&id);
                }
            }
            self.set_places(&jobs, &plans);
        }
        jobs.pop();
        jobs.retain(|job| !report.displaced.iter().any(|(id, _)| *id == job.key.0));
        self.plan.jobs = jobs;
    }

    fn arriving_job(
        &self,
        record: &JobRecord,
        critical_path: Duration,
        work: f64,
        now: Duration,
    ) -> WaitingJob {
        let policy = self.policy(&record.queue);
        let target = objective(&policy, critical_path);
        WaitingJob {
            key: (record.id, 0),
            work,
            critical_path,
            since: now,
            deadline: now + target,
            latest: now + target.mul_f64(MAX_LATENESS_FACTOR),
            priority: policy.priority,
            is_below_share: self.is_below_share(record.workspace.as_ref()),
            exceeds_rate: record.exceeds_rate,
            value: self.value_of(&record.queue, work),
            is_accepted: false,
            has_room: false,
            was_planned: false,
        }
    }

    fn is_below_share(&self, workspace: Option<&WorkspaceName>) -> bool {
        // One without runs or waiting tasks at the last plan uses nothing.
        let key = workspace.cloned();
        self.plan.below.get(&key).copied().unwrap_or(true)
    }

    /// Returns whether a worker has room for one of the tasks.
    fn has_room(&self, tasks: &[ResourceAmount]) -> bool {
        self.workers.values().any(|worker| {
            let free = worker.free();
            tasks.iter().any(|task| free.can_fit(task))
        })
    }

    fn exceeds_rate(&mut self, record: &JobRecord, now: Duration) -> bool {
        let Some(workspace) = &record.workspace else {
            return false;
        };
        let weight = (self.workspaces.as_ref())
            .and_then(|workspaces| workspaces.get(workspace))
            .map(|policy| policy.weight / self.plan.cell_count.max(1) as f64);
        let granted = self.caps.allowances.rate(workspace);
        let set = self.plan.rates.get(workspace).copied();
        let Some(rate) = granted.or(set).or(weight) else {
            return false;
        };
        // A burst of one second, but at least one job: a rate may be below one job per second.
        let burst = rate.max(1.0);
        let bucket = (self.plan.buckets)
            .entry(workspace.clone())
            .or_insert_with(|| TokenBucket::new(rate, burst, now));
        bucket.reconfigure(rate, burst, now);
        bucket.time_until_token(now) != Some(Duration::ZERO)
    }

    fn take_token(&mut self, record: &JobRecord) {
        let bucket = (record.workspace.as_ref()).and_then(|name| self.plan.buckets.get_mut(name));
        if let Some(bucket) = bucket.filter(|_| !record.exceeds_rate) {
            bucket.take_token();
        }
    }

    /// Forgets an admitted job that was not stored.
    pub fn forget_pending(&mut self, id: JobId) {
        self.release_memory(id);
        self.plan.pending.remove(&id);
    }
}

/// Returns what a task of each of the job's first steps reserves.
fn first_tasks(record: &JobRecord) -> Vec<ResourceAmount> {
    (record.spec.steps.iter())
        .filter(|step| step.after.is_empty())
        .map(StepSpec::reserved)
        .collect()
}
