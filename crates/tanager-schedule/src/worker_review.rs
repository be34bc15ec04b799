//! Collects the evidence about the workers of a cell, and ejects and reinstates workers.
//!
//! Without `CellSettings::weighs_workers` only failures in a row are counted; see
//! `ejection`.

use std::mem::discriminant;
use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;

use crate::action::CellEvent;
use crate::core::CellCore;
use crate::health_rates::ObservationKind;
use crate::orders::OrderResult;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;
use crate::worker::WorkerSlot;
use crate::worker_health::CallKind;
use crate::worker_health::Observation;
use crate::worker_health::SLOW_RATIO;
use crate::worker_health::StartLimit;
use crate::worker_health::WorkerEvidence;
use crate::worker_health::has_common_cause;
use crate::worker_health::select_ejections;

/// Time beyond the multiple of the expected duration before a run counts as slow: reports arrive at
/// least every half second.
const SLOW_MARGIN: Duration = Duration::from_millis(500);

impl CellCore {
    /// Returns the number of runs that may be on a worker.
    pub(crate) fn max_runs(&self, worker: &WorkerSlot, now: Duration) -> usize {
        let evidence = &worker.health.evidence;
        if !self.settings.weighs_workers || evidence.start_limit(now) == StartLimit::Unlimited {
            return usize::MAX;
        }
        self.work.add_runs(worker.runs.len());
        let others = worker.runs.values().filter(|run| !run.has_lasted);
        let limit = evidence.max_runs(others.map(|run| run.ordered_at), now);
        // Runs that last would take the place of trials for as long as they do.
        let lasting = worker.runs.values().filter(|run| run.has_lasted).count();
        limit.saturating_add(lasting)
    }

    /// Records a run that succeeded.
    pub(crate) fn record_successful_run(
        &mut self,
        key: WorkerKey,
        queue: &str,
        slot: Option<&RunSlot>,
        now: Duration,
    ) {
        let Some(slot) = slot.filter(|_| self.settings.weighs_workers) else {
            return;
        };
        // A slow run was observed while it took too long.
        if slot.is_overdue {
            return;
        }
        if self.workers.contains_key(key) {
            (self.health_rates).record(ObservationKind::Duration, queue, key, false, now);
        }
        self.record_observation(key, queue, Observation::Succeeded, slot.ordered_at, now);
    }

    /// Records a run of a task that failed. `elsewhere` is the number of earlier failures of the task,
    /// the last of them on the worker `failed_on`.
    pub(crate) fn record_failed_run(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        started_at: Option<Duration>,
        elsewhere: usize,
        failed_on: Option<WorkerKey>,
        now: Duration,
    ) {
        if !self.settings.weighs_workers {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.health.streak.record_failure(now);
            }
            return;
        }
        // A run of a former owner started before this owner could eject the worker.
        let started_at = started_at.unwrap_or(Duration::ZERO);
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let queue = job.record.queue.clone();
        let failed_on = failed_on.filter(|other| *other != key);
        // That a task failed on a bad worker too does not mean that the task is at fault.
        let elsewhere = match failed_on.is_some_and(|other| self.is_suspect(other)) {
            true => elsewhere.saturating_sub(1),
            false => elsewhere,
        };
        let others = self.failures_of_other_tasks(task);
        let observation = Observation::Failed { elsewhere, others };
        self.record_observation(key, &queue, observation, started_at, now);
        if elsewhere == 1
            && !self.is_suspect(key)
            && let Some(other) = failed_on
        {
            let baseline = self.baseline(ObservationKind::Failure, &queue, other);
            if let Some(worker) = self.workers.get_mut(other) {
                worker.health.evidence.withdraw_failure(baseline, now);
            }
            self.update_ejected(other);
        }
    }

    /// Records the long-running runs that have lasted for long enough to count as a success.
    pub(crate) fn review_lasting_runs(&mut self, now: Duration) {
        let jobs = &self.jobs;
        let is_long_running = |task: &TaskKey| {
            let steps = jobs.get(&task.job).map(|job| &job.record.spec.steps);
            (steps.and_then(|steps| steps.get(usize::from(task.step))))
                .is_some_and(|spec| spec.long_running)
        };
        let mut lasting = Vec::new();
        for (key, worker) in &mut self.workers {
            for task in worker.record_lasting_runs(is_long_running) {
                lasting.push((key, task));
            }
        }
        for (key, task) in lasting {
            self.placement_needed = true;
            let queue = (self.jobs.get(&task.job)).map(|job| job.record.queue.clone());
            let slot = (self.workers.get(key)).and_then(|worker| worker.runs.get(&task));
            if let (Some(queue), Some(slot)) = (queue, slot.cloned()) {
                self.record_successful_run(key, &queue, Some(&slot), now);
            }
        }
    }

    /// Records a run that stalled.
    pub(crate) fn record_stalled_run(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        let elsewhere = self.task(task).map_or(0, |entry| entry.failed_runs.len());
        let queue = (self.jobs.get(&task.job)).map(|job| job.record.queue.clone());
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if !self.settings.weighs_workers {
            worker.health.streak.record_failure(now);
            return;
        }
        let Some(slot) = worker.runs.get_mut(&task) else {
            return;
        };
        let was_observed = std::mem::replace(&mut slot.is_overdue, true);
        let started_at = slot.ordered_at;
        if let Some(queue) = queue.filter(|_| !was_observed) {
            let others = self.failures_of_other_tasks(task);
            let observation = Observation::Failed { elsewhere, others };
            self.record_observation(key, &queue, observation, started_at, now);
        }
    }

    /// Records whether a start was answered. A worker that refuses starts because it is unwell
    /// delays tasks as one that does not answer.
    pub(crate) fn record_start_observation(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        result: OrderResult,
        now: Duration,
    ) {
        if !self.settings.weighs_workers {
            return;
        }
        let slot = (self.workers.get(key)).and_then(|worker| worker.runs.get(&task));
        let Some(started_at) = slot.map(|slot| slot.ordered_at) else {
            return;
        };
        let observation = match result {
            OrderResult::Unread => return,
            OrderResult::Unknown
            | OrderResult::NotSent
            | OrderResult::Answered(OrderAnswer::Unwell) => {
                Observation::Unanswered(CallKind::Start)
            }
            OrderResult::Answered(_) => Observation::Answered(CallKind::Start),
        };
        self.record_observation(key, "", observation, started_at, now);
    }

    /// Records whether a lease renewal was answered.
    pub(crate) fn record_renewal_observation(
        &mut self,
        key: WorkerKey,
        is_answered: bool,
        now: Duration,
    ) {
        let observation = match is_answered {
            true => Observation::Answered(CallKind::Renewal),
            false => Observation::Unanswered(CallKind::Renewal),
        };
        if self.settings.weighs_workers {
            self.record_observation(key, "", observation, now, now);
        }
    }

    fn is_suspect(&self, key: WorkerKey) -> bool {
        (self.workers.get(key)).is_some_and(|worker| worker.health.evidence.is_suspect())
    }

    /// Returns the number of failed runs of the other tasks of a job's occurrence.
    fn failures_of_other_tasks(&self, task: TaskKey) -> usize {
        let occurrence =
            (self.jobs.get(&task.job)).and_then(|job| job.occurrences.get(&task.occurrence));
        let steps = (occurrence.into_iter()).flat_map(|occurrence| &occurrence.steps);
        let all: usize = steps
            .flat_map(|step| &step.tasks)
            .map(|entry| entry.failed_runs.len())
            .sum();
        all - self.task(task).map_or(0, |entry| entry.failed_runs.len())
    }

    fn record_observation(
        &mut self,
        key: WorkerKey,
        queue: &str,
        observation: Observation,
        started_at: Duration,
        now: Duration,
    ) {
        let kind = ObservationKind::of(observation);
        let baseline = self.baseline(kind, queue, key);
        if let Some(worker) = self.workers.get_mut(key) {
            (self.health_rates).record(kind, queue, key, observation.is_bad(), now);
            (worker.health.evidence).record(observation, baseline, started_at, now);
            if observation.is_bad() {
                worker.health.last_bad = Some((observation, baseline));
            }
        }
        self.update_ejected(key);
    }

    /// Returns the rate of bad observations on the other workers that are not ejected.
    fn baseline(&self, kind: ObservationKind, queue: &str, key: WorkerKey) -> f64 {
        self.work.add_workers(1 + self.health_rates.ejected_count());
        self.health_rates.baseline(kind, queue, key)
    }

    fn update_ejected(&mut self, key: WorkerKey) {
        let is_ejected =
            (self.workers.get(key)).is_some_and(|worker| worker.health.evidence.is_ejected());
        self.health_rates.set_ejected(key, is_ejected);
    }

    /// Observes runs that take too long, and ejects the workers with the clearest evidence.
    pub(crate) fn review_workers(&mut self, now: Duration) {
        if !self.settings.weighs_workers {
            return;
        }
        for (key, task, queue, started_at) in self.overdue_runs(now) {
            if let Some(slot) =
                (self.workers.get_mut(key)).and_then(|worker| worker.runs.get_mut(&task))
            {
                slot.is_overdue = true;
            }
            self.record_observation(key, &queue, Observation::Slow, started_at, now);
        }
        self.work.add_workers(self.workers.len());
        self.health_rates.sum_up();
        let keys: Vec<WorkerKey> = self.workers.keys().collect();
        let evidence: Vec<WorkerEvidence> = (self.workers.values())
            .map(|worker| worker.health.evidence)
            .collect();
        let selected = select_ejections(&evidence);
        let has_common_cause = has_common_cause(&evidence, now);
        for (key, is_selected) in keys.into_iter().zip(selected) {
            let Some(worker) = self.workers.get_mut(key) else {
                continue;
            };
            let evidence = &mut worker.health.evidence;
            evidence.set_common_cause(has_common_cause);
            match (evidence.is_ejected(), is_selected) {
                (false, true) => evidence.eject(now),
                (true, false) => evidence.release(now),
                _ => {}
            }
            self.update_ejected(key);
            self.log_limit(key, now);
        }
    }

    /// Adds a log event if the kind of a worker's limit changed.
    fn log_limit(&mut self, key: WorkerKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let limit = worker.health.evidence.start_limit(now);
        let logged = worker.health.logged_limit.unwrap_or(StartLimit::Unlimited);
        if discriminant(&limit) == discriminant(&logged) {
            return;
        }
        worker.health.logged_limit = Some(limit);
        self.placement_needed = true;
        self.events.push(CellEvent::WorkerWeighed {
            worker: worker.entry.worker.clone(),
            limit,
            score: worker.health.evidence.score(),
            observation: worker.health.last_bad,
        });
    }

    /// Returns the runs that take several times as long as expected and were not observed yet.
    fn overdue_runs(&self, now: Duration) -> Vec<(WorkerKey, TaskKey, String, Duration)> {
        let mut overdue = Vec::new();
        for (key, worker) in &self.workers {
            if !worker.reported_recently(now) {
                continue;
            }
            self.work.add_runs(worker.runs.len());
            for (task, run) in &worker.runs {
                // A run whose pace was reduced takes long by order.
                let is_at_full_speed = run.pace_confirmed && run.pace == 100;
                if run.is_overdue || run.stage != RunStage::Running || !is_at_full_speed {
                    continue;
                }
                let Some(started_at) = run.confirmed_at else {
                    continue;
                };
                let Some(spec) = self.spec(*task).filter(|spec| !spec.long_running) else {
                    continue;
                };
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let expected = self.durations.expected(&job.record.queue, spec.estimate());
                let limit = expected.mul_f64(SLOW_RATIO) + SLOW_MARGIN;
                if now.saturating_sub(started_at) > limit {
                    overdue.push((key, *task, job.record.queue.clone(), run.ordered_at));
                }
            }
        }
        overdue
    }
}
