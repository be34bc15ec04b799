//! Admission control.
//!
//! Handles bursts far above the capacity of a pool. A job is refused at once if it would be too
//! late for its client by the time capacity is free; the refusal contains the expected time until
//! then. A job with a task that fits on no worker is refused as well.

use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;

use crate::backlog::WorkspaceBacklog;
use crate::backlog::expected_wait;
use crate::capacity::PoolLoad;
use crate::core::CellCore;
use crate::durations::MAX_QUEUES;
use crate::long_running_room::SuitableWorker;
use crate::long_running_room::is_taken;
use crate::long_running_room::long_running_demand;
use crate::long_running_room::may_want;
use crate::ranking::LONGEST_TASK_FACTOR;
use crate::ranking::MAX_LATENESS_FACTOR;
use crate::ranking::objective;

/// Weight of a new sample in the mean work of a queue's jobs.
const WORK_SAMPLE_WEIGHT: f64 = 0.05;
/// Window for the arrival rate: long enough for some tens of jobs of a surge, short compared with
/// the seconds that a surge lasts.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_000);
/// Window for the beginning of a surge: some tens of jobs at the rate of a surge.
const RISING_WINDOW: Duration = Duration::from_millis(400);
/// Retry time of a job for which the pool has no suitable worker at present.
const NO_WORKER_RETRY: Duration = Duration::from_secs(5);

/// Factor by which an occurrence has more work than a job that goes before it for certain: estimates are off by a lot.
const LARGER_FACTOR: f64 = 4.0;
/// Retry time of a job for which long-running tasks leave no room; they end only when their jobs are cancelled.
const NO_ROOM_RETRY: Duration = Duration::from_secs(5);

/// Decision on a job that requests admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The job may be stored.
    Accept,
    /// The backlog is too large; capacity is expected to be free after this time.
    Overloaded(Duration),
    /// A gang of the job is wider than the cap of its workspace.
    ExceedsCap,
    /// One of its tasks fits on no worker of the pool; retry after this time.
    NoWorker(Duration),
    /// Long-running tasks leave no room for it; retry after this time.
    NoRoom(Duration),
}

impl CellCore {
    /// Decides whether a job without a workspace is admitted.
    pub fn admit(&mut self, queue: &str, spec: &JobSpec, now: Duration) -> AdmissionDecision {
        self.admit_for(None, queue, spec, now)
    }

    /// Decides whether a job of a workspace is admitted.
    pub fn admit_for(
        &mut self,
        workspace: Option<&str>,
        queue: &str,
        spec: &JobSpec,
        now: Duration,
    ) -> AdmissionDecision {
        if let Some(decision) = self.admit_without_load(workspace, spec, now) {
            return decision;
        }
        self.refresh_ranking(now);
        let policy = self.policy(queue);
        let (critical_path, work) = self.record_arrival(workspace, queue, spec, now);
        self.work.add_workers(self.workers.len());
        let cores: f64 = (self.workers.values())
            .filter(|worker| worker.responded_recently(now) && !worker.entry.draining)
            .map(|worker| worker.entry.capacity.cpu as f64 / 1e3)
            .sum();
        if cores <= 0.0 {
            // Workers may return within a moment; the stored job waits until then.
            return AdmissionDecision::Accept;
        }
        let latest = objective(&policy, critical_path).mul_f64(MAX_LATENESS_FACTOR);
        let wait = self.wait_behind_backlog(workspace, cores, (work, latest));
        match wait + critical_path > latest {
            true => AdmissionDecision::Overloaded(wait),
            false => AdmissionDecision::Accept,
        }
    }

    /// Returns for how long a job of a workspace with `work` core-seconds waits behind the backlog of the cell. A
    /// larger occurrence that would take all cores until after `latest`, the time from now at which the job has no
    /// value any more, is no backlog for it: the ranking lets the smaller one go first.
    fn wait_behind_backlog(
        &self,
        workspace: Option<&str>,
        cores: f64,
        (work, latest): (f64, Duration),
    ) -> Duration {
        let ranking = &self.ranking;
        let limit = (cores * latest.as_secs_f64()).max(work * LARGER_FACTOR);
        let passed = |name: Option<&str>| -> f64 {
            let large = ranking.large.iter().filter(|(_, work)| *work > limit);
            large
                .filter(|(owner, _)| name.is_none() || owner.as_deref() == name)
                .map(|(_, work)| work)
                .sum()
        };
        // The limit of the workspace in this cell may be lower than its cap, but changes all the time.
        let usable = |workspace: &str| match self.workspace_policy(workspace) {
            Some(policy) if policy.cap.cpu > 0 => cores.min(policy.cap.cpu as f64 / 1e3),
            _ => cores,
        };
        let mut all: Vec<_> = (ranking.backlog_by_workspace.iter())
            .map(|(name, &work)| WorkspaceBacklog {
                work: (work - passed(Some(name))).max(0.0),
                cores: usable(name),
            })
            .collect();
        let without_workspace = WorkspaceBacklog {
            work: (ranking.backlog
                - passed(None)
                - all.iter().map(|backlog| backlog.work).sum::<f64>())
            .max(0.0),
            cores,
        };
        all.push(without_workspace);
        let own = workspace.map_or(without_workspace, |name| WorkspaceBacklog {
            work: (ranking.backlog_by_workspace.get(name))
                .map_or(0.0, |work| (work - passed(Some(name))).max(0.0)),
            cores: usable(name),
        });
        expected_wait(&own, &all, cores)
    }

    /// Decides on a job for which the load of the cell does not matter; `None` for others.
    pub(crate) fn admit_without_load(
        &mut self,
        workspace: Option<&str>,
        spec: &JobSpec,
        now: Duration,
    ) -> Option<AdmissionDecision> {
        if self.exceeds_cap(workspace, spec) {
            return Some(AdmissionDecision::ExceedsCap);
        }
        if let Some(workspace) = workspace {
            self.caps.allowances.record_arrival(workspace, now);
        }
        let unsuited = (spec.steps.iter()).find(|step| !self.has_worker_for(step));
        if let Some(step) = unsuited.filter(|_| !self.workers.is_empty()) {
            self.record_refused_step(step, now);
            return Some(AdmissionDecision::NoWorker(NO_WORKER_RETRY));
        }
        if self.wants_too_much_room(spec) {
            return Some(AdmissionDecision::NoRoom(NO_ROOM_RETRY));
        }
        if spec.repetitions > 0 {
            return Some(AdmissionDecision::Accept);
        }
        let is_taken = (spec.steps.iter()).any(|step| self.is_taken_by_long_running(step, now));
        match is_taken {
            true => Some(AdmissionDecision::NoRoom(NO_ROOM_RETRY)),
            false => spec.is_long_running().then_some(AdmissionDecision::Accept),
        }
    }

    /// Returns whether a job has long-running tasks which, with those of the open jobs, would want too much of the cell.
    fn wants_too_much_room(&self, spec: &JobSpec) -> bool {
        if !spec.is_long_running() {
            return false;
        }
        let jobs = (self.open_jobs.iter()).filter_map(|id| self.jobs.get(id));
        let demand = jobs.fold(long_running_demand(spec), |sum, job| {
            sum.plus(&long_running_demand(&job.record.spec))
        });
        let capacity = (self.workers.values())
            .filter(|worker| !worker.entry.draining)
            .fold(ResourceAmount::default(), |sum, worker| {
                sum.plus(&worker.entry.capacity)
            });
        // Workers may register within a moment.
        capacity != ResourceAmount::default() && !may_want(&demand, &capacity)
    }

    /// Returns whether long-running tasks take the room of a step on each worker that could hold one of its tasks.
    fn is_taken_by_long_running(&self, step: &StepSpec, now: Duration) -> bool {
        let reserved = step.reserved();
        let suitable = (self.workers.values()).filter(|worker| {
            let is_labelled =
                (step.requirement.as_ref()).is_none_or(|label| worker.entry.labels.contains(label));
            is_labelled && !worker.entry.draining && worker.entry.capacity.can_fit(&reserved)
        });
        let workers = suitable.map(|worker| SuitableWorker {
            left: worker.entry.capacity.minus(&self.long_running_use(worker)),
            responds: worker.responded_recently(now),
        });
        is_taken(workers, &reserved)
    }

    /// Adds a job to the statistics of arrivals; returns its expected critical path and its
    /// processor time in core-seconds.
    pub(crate) fn record_arrival(
        &mut self,
        workspace: Option<&str>,
        queue: &str,
        spec: &JobSpec,
        now: Duration,
    ) -> (Duration, f64) {
        let (critical_path, work) = self.expected_demand(workspace, queue, spec);
        let is_new = !self.mean_work_by_queue.contains_key(queue);
        if is_new && self.mean_work_by_queue.len() >= MAX_QUEUES {
            let durations = &self.durations;
            (self.mean_work_by_queue).retain(|known, _| durations.contains(known));
        }
        let mean = self
            .mean_work_by_queue
            .entry(queue.to_owned())
            .or_insert(work);
        *mean += (work - *mean) * WORK_SAMPLE_WEIGHT;
        self.recent_arrivals.push_back((now, work));
        self.drop_old_arrivals(now);
        (critical_path, work)
    }

    fn drop_old_arrivals(&mut self, now: Duration) {
        while (self.recent_arrivals.front())
            .is_some_and(|(at, _)| now.saturating_sub(*at) > ARRIVAL_WINDOW)
        {
            self.recent_arrivals.pop_front();
        }
    }

    /// Returns the load of the cell, for decisions on the size of its pool.
    pub fn load_report(&mut self, now: Duration) -> PoolLoad {
        self.refresh_ranking(now);
        self.drop_old_arrivals(now);
        let rising: f64 = (self.recent_arrivals.iter())
            .filter(|(at, _)| now.saturating_sub(*at) <= RISING_WINDOW)
            .map(|(_, work)| work)
            .sum();
        let mut load = PoolLoad {
            rising: match self.settings.forecasts_demand {
                true => rising / RISING_WINDOW.as_secs_f64(),
                false => 0.0,
            },
            backlog: self.ranking.backlog,
            arrival: self
                .recent_arrivals
                .iter()
                .map(|(_, work)| work)
                .sum::<f64>()
                / ARRIVAL_WINDOW.as_secs_f64(),
            ..PoolLoad::default()
        };
        for worker in self.workers.values() {
            if worker.entry.draining || !worker.responded_recently(now) {
                continue;
            }
            load.cores += worker.entry.capacity.cpu as f64 / 1e3;
            for (task, run) in &worker.runs {
                if self.spec(*task).is_some_and(|spec| spec.long_running) {
                    load.lasting += run.amount.cpu as f64 / 1e3;
                }
            }
        }
        load
    }

    /// Returns the expected critical path of a job and its processor time in core-seconds.
    pub(crate) fn expected_demand(
        &self,
        workspace: Option<&str>,
        queue: &str,
        spec: &JobSpec,
    ) -> (Duration, f64) {
        let limits = self.round_limits(workspace);
        let mut ends: Vec<f64> = Vec::with_capacity(spec.steps.len());
        let mut work = 0.0;
        for step in &spec.steps {
            let expected = self
                .durations
                .expected(queue, step.estimate())
                .as_secs_f64();
            work += f64::from(step.count) * expected * step.request.cpu as f64 / 1e3;
            let before = (step.after.iter())
                .filter_map(|&after| ends.get(usize::from(after)))
                .fold(0.0f64, |longest, &end| longest.max(end));
            let rounds = limits.map_or(1, |limits| limits.rounds(step, step.count));
            ends.push(before + expected * LONGEST_TASK_FACTOR * f64::from(rounds));
        }
        let critical_path = ends.into_iter().fold(0.0f64, f64::max);
        (Duration::from_secs_f64(critical_path), work)
    }

    /// Returns the expected duration of the critical path of a job.
    pub(crate) fn total_critical_path(&self, record: &JobRecord) -> Duration {
        let workspace = record.workspace.as_deref();
        self.expected_demand(workspace, &record.queue, &record.spec)
            .0
    }

    fn has_worker_for(&self, step: &StepSpec) -> bool {
        self.workers.values().any(|worker| {
            let labelled =
                (step.requirement.as_ref()).is_none_or(|label| worker.entry.labels.contains(label));
            labelled && worker.entry.capacity.can_fit(&step.reserved())
        })
    }
}
