//! Draining of workers that shut down or whose VMs are maintained or moved, and restarts of stalled
//! tasks.

use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::TaskKey;
use tanager_jobs::ids::WorkerId;

use crate::action::CellEvent;
use crate::core::CellCore;
use crate::core::StepKey;
use crate::job::AvoidedWorker;
use crate::job::TaskPhase;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;

/// A task whose progress does not increase for this long is stalled. Workers report at least every
/// half second.
const STALL_LIMIT: Duration = Duration::from_millis(1_600);

/// A run is evicted only if it would last this much longer than a stop takes.
const EVICT_MARGIN: Duration = Duration::from_millis(200);

impl CellCore {
    /// Drains a worker: it gets no new tasks until `until`. Long-running tasks are stopped as far
    /// as their step's `may_miss` allows; other tasks are left to finish, except that `evicts`
    /// stops those that can resume from a checkpoint. Returns whether the worker is empty, and
    /// whether it may have a long-running task. After a takeover both are unknown until the
    /// worker's first report.
    pub fn drain_worker(
        &mut self,
        worker: &WorkerId,
        until: Duration,
        evicts: bool,
    ) -> (bool, bool) {
        self.scan_needed = true;
        let is_unconfirmed = self.unconfirmed_workers.contains_key(worker);
        let Some(&key) = self.workers_by_id.get(worker) else {
            return (!is_unconfirmed, is_unconfirmed);
        };
        let Some(slot) = self.workers.get_mut(key) else {
            return (true, false);
        };
        slot.draining_until = slot.draining_until.max(until);
        slot.evicts = evicts;
        let tasks: Vec<TaskKey> = slot.runs.keys().copied().collect();
        let has_long_running =
            (tasks.iter()).any(|task| self.spec(*task).is_none_or(|spec| spec.long_running));
        (
            tasks.is_empty() && !is_unconfirmed,
            has_long_running || is_unconfirmed,
        )
    }

    /// Stops long-running tasks on workers that shut down or are being drained.
    pub(crate) fn drain_leaving_workers(&mut self, now: Duration) {
        let mut stops = Vec::new();
        let mut evictions = Vec::new();
        for (key, worker) in &self.workers {
            let is_drain_requested = now < worker.draining_until;
            if !worker.entry.draining && !is_drain_requested {
                continue;
            }
            for (task, run) in &worker.runs {
                let is_long_running = self.spec(*task).is_some_and(|spec| spec.long_running);
                if is_long_running && run.stage == RunStage::Running {
                    stops.push((key, *task, worker.entry.draining));
                }
                if is_drain_requested && worker.evicts && self.should_evict(*task, run, now) {
                    evictions.push((key, *task));
                }
            }
        }
        for (key, task) in evictions {
            self.order_stop(key, task);
        }
        // The members of a step are counted once, not for each of those that are to be stopped.
        let mut unavailable: HashMap<StepKey, usize> = HashMap::new();
        for (key, task, draining) in stops {
            let step = (task.job, task.occurrence, task.step);
            let phase = self.task(task).map_or(TaskPhase::Done, |entry| entry.phase);
            let was_available = self.is_member_available(task, phase, now);
            let are_stops_visible = now >= self.stops_visible_from;
            if !draining && !are_stops_visible {
                continue;
            }
            let count = match unavailable.get(&step) {
                Some(count) => *count,
                None => self.count_unavailable_members(step, now),
            };
            let others = count.saturating_sub(usize::from(!was_available));
            let is_stopped = draining || others < self.may_miss(task);
            unavailable.insert(step, count + usize::from(is_stopped && was_available));
            if is_stopped {
                self.order_stop(key, task);
            }
        }
    }

    /// Returns whether a run can resume from a checkpoint and is expected to last longer than a
    /// stop takes.
    fn should_evict(&self, task: TaskKey, run: &RunSlot, now: Duration) -> bool {
        let Some(spec) = self.spec(task) else {
            return false;
        };
        if !spec.checkpointing || spec.long_running || spec.gang || run.stage != RunStage::Running {
            return false;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let expected = self.durations.expected(&job.record.queue, spec.estimate());
        let started_at = run.confirmed_at.unwrap_or(run.ordered_at);
        let left = expected.saturating_sub(now.saturating_sub(started_at));
        left > self.settings.max_stop_time + EVICT_MARGIN
    }

    /// Returns how many long-running tasks of the step of a task may be unavailable, this one included, for it to be
    /// stopped.
    fn may_miss(&self, task: TaskKey) -> usize {
        (self.spec(task)).map_or(usize::MAX, |spec| spec.may_miss.max(1) as usize)
    }

    /// Returns how many tasks of a step are not known to be available.
    fn count_unavailable_members(&self, key: StepKey, now: Duration) -> usize {
        let Some(step) = self.step(key) else {
            return 0;
        };
        self.work.add_tasks(step.tasks.len());
        let (job, occurrence, step_number) = key;
        let members = step.tasks.iter().enumerate();
        members
            .filter(|(index, entry)| {
                let task = TaskKey {
                    job,
                    occurrence,
                    step: step_number,
                    index: *index as u32,
                };
                !self.is_member_available(task, entry.phase, now)
            })
            .count()
    }

    /// Returns whether a long-running task is known to be available. A task on an unresponsive
    /// worker may already have ended, and so may one on a worker that has responded only to orders,
    /// because that may be a new incarnation.
    fn is_member_available(&self, task: TaskKey, phase: TaskPhase, now: Duration) -> bool {
        let TaskPhase::Placed(worker) = phase else {
            return false;
        };
        (self.workers.get(worker))
            .filter(|worker| worker.reported_recently(now) && !worker.misses_renewal())
            .and_then(|worker| worker.runs.get(&task))
            .is_some_and(|run| run.stage == RunStage::Running && run.percent >= 100)
    }

    /// Stops stalled tasks, so that they start again on other workers.
    pub(crate) fn move_stalled_runs(&mut self, now: Duration) {
        let mut stalled: Vec<(WorkerKey, TaskKey)> = Vec::new();
        for (key, worker) in &self.workers {
            if !worker.responded_recently(now) || worker.misses_renewal() {
                continue;
            }
            let last_report = worker
                .clock
                .map_or(Duration::ZERO, |(_, received)| received);
            self.work.add_runs(worker.runs.len());
            for (task, run) in &worker.runs {
                // A run whose pace was reduced may be idle by order.
                let is_stalled = run.stage == RunStage::Running
                    && run.pace_confirmed
                    && run.pace == 100
                    && last_report.saturating_sub(run.progressed_at) > STALL_LIMIT;
                if is_stalled && !self.spec(*task).is_some_and(|spec| spec.long_running) {
                    stalled.push((key, *task));
                }
            }
        }
        for (key, task) in stalled {
            self.record_stalled_run(key, task, now);
            if let Some(worker) = self.workers.get_mut(key) {
                let run = worker.runs.get(&task).map(|slot| (slot.run, slot.percent));
                let (run, percent) = run.unwrap_or_default();
                self.events.push(CellEvent::RunStalled {
                    task,
                    run,
                    worker: worker.entry.worker.clone(),
                    percent,
                });
            }
            if let Some(step) = self.step_mut(task) {
                step.tasks[task.index as usize].avoided = Some(AvoidedWorker {
                    worker: key,
                    since: now,
                });
            }
            self.order_stop(key, task);
        }
    }

    pub(crate) fn spec(&self, task: TaskKey) -> Option<&tanager_jobs::StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.record.spec.steps.get(usize::from(task.step))
    }
}
