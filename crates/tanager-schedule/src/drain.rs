//! Emptying workers that leave or go into maintenance, and moving tasks that stand still.

use std::time::Duration;

use tanager_jobs::TaskKey;
use tanager_jobs::ids::WorkerId;

use crate::action::CellEvent;
use crate::core::CellCore;
use crate::job::TaskPhase;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;

/// A task whose progress does not rise for this long stands still. Reports come at least every
/// half second.
const STALL_LIMIT: Duration = Duration::from_millis(1_600);

/// A stop is ordered only if the run would last this much longer than a stop takes.
const EVICT_MARGIN: Duration = Duration::from_millis(200);

impl CellCore {
    /// Closes a worker for new tasks until `until`. Tasks that last are stopped as far as their
    /// step may miss them; others end by themselves. Returns whether nothing is on it, and whether
    /// a task that lasts may be. After a takeover nothing is known of a worker until it is heard.
    pub fn drain_worker(
        &mut self,
        worker: &WorkerId,
        until: Duration,
        evicts: bool,
    ) -> (bool, bool) {
        let is_unheard = self.unsettled.contains_key(worker);
        let Some(&key) = self.workers_by_id.get(worker) else {
            return (!is_unheard, is_unheard);
        };
        let Some(slot) = self.workers.get_mut(key) else {
            return (true, false);
        };
        slot.closed_until = slot.closed_until.max(until);
        slot.evicts = evicts;
        let tasks: Vec<TaskKey> = slot.runs.keys().copied().collect();
        let lasting =
            (tasks.iter()).any(|task| self.spec(*task).is_none_or(|spec| spec.long_running));
        (tasks.is_empty() && !is_unheard, lasting || is_unheard)
    }

    /// Stops tasks that last on workers that leave or are closed.
    pub(crate) fn empty_leaving(&mut self, now: Duration) {
        let mut stops = Vec::new();
        let mut evicted = Vec::new();
        for (key, worker) in &self.workers {
            let is_closed = now < worker.closed_until;
            if !worker.entry.draining && !is_closed {
                continue;
            }
            for (task, run) in &worker.runs {
                let is_lasting = self.spec(*task).is_some_and(|spec| spec.long_running);
                if is_lasting && run.stage == RunStage::Running {
                    stops.push((key, *task, worker.entry.draining));
                }
                if is_closed && worker.evicts && self.is_worth_stopping(*task, run, now) {
                    evicted.push((key, *task));
                }
            }
        }
        for (key, task) in evicted {
            self.order_stop(key, task);
        }
        for (key, task, draining) in stops {
            let is_settled = now >= self.stops_settled;
            if draining || (is_settled && self.may_miss(task, now)) {
                self.order_stop(key, task);
            }
        }
    }

    /// Returns whether a run keeps its work when it is stopped and is expected to last longer than
    /// the stop takes.
    fn is_worth_stopping(&self, task: TaskKey, run: &RunSlot, now: Duration) -> bool {
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
        let begun = run.confirmed.unwrap_or(run.ordered);
        let left = expected.saturating_sub(now.saturating_sub(begun));
        left > self.settings.max_stop + EVICT_MARGIN
    }

    /// Returns whether a task that lasts may be stopped without more of its step being away than
    /// its client allows.
    fn may_miss(&self, task: TaskKey, now: Duration) -> bool {
        let Some(spec) = self.spec(task) else {
            return true;
        };
        let step = (self.jobs.get(&task.job))
            .and_then(|job| job.occurrences.get(&task.occurrence))
            .and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        let Some(step) = step else { return true };
        let away = (step.tasks.iter().enumerate())
            .filter(|(index, _)| *index != task.index as usize)
            .filter(|(index, entry)| {
                let index = *index as u32;
                !self.is_at_work(TaskKey { index, ..task }, entry.phase, now)
            })
            .count();
        away < spec.may_miss.max(1) as usize
    }

    /// Returns whether a task that lasts is known to be at work. One at a worker that does not
    /// answer may be away already, and so may one at a worker that answers orders in a new life.
    fn is_at_work(&self, task: TaskKey, phase: TaskPhase, now: Duration) -> bool {
        let TaskPhase::Placed(worker) = phase else {
            return false;
        };
        (self.workers.get(worker))
            .filter(|worker| worker.is_heard(now) && !worker.failing)
            .and_then(|worker| worker.runs.get(&task))
            .is_some_and(|run| run.stage == RunStage::Running && run.percent >= 100)
    }

    /// Stops tasks that stand still, so that they start again elsewhere.
    pub(crate) fn move_stuck_runs(&mut self, now: Duration) {
        let mut stuck: Vec<(WorkerKey, TaskKey)> = Vec::new();
        for (key, worker) in &self.workers {
            if !worker.is_in_contact(now) || worker.failing {
                continue;
            }
            let heard = worker
                .clock
                .map_or(Duration::ZERO, |(_, received)| received);
            for (task, run) in &worker.runs {
                // A run that was paced down may stand still on order.
                let is_stalled = run.stage == RunStage::Running
                    && run.pace_known
                    && run.pace == 100
                    && heard.saturating_sub(run.progressed) > STALL_LIMIT;
                if is_stalled && !self.spec(*task).is_some_and(|spec| spec.long_running) {
                    stuck.push((key, *task));
                }
            }
        }
        for (key, task) in stuck {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.note_failure(now);
                let run = worker.runs.get(&task).map(|slot| (slot.run, slot.percent));
                let (run, percent) = run.unwrap_or_default();
                self.notes.push(CellEvent::RunStalled {
                    task,
                    run,
                    worker: worker.entry.worker.clone(),
                    percent,
                });
            }
            if let Some(step) = self.step_mut(task) {
                step.tasks[task.index as usize].avoid = Some(key);
            }
            self.order_stop(key, task);
        }
    }

    pub(crate) fn spec(&self, task: TaskKey) -> Option<&tanager_jobs::StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.record.spec.steps.get(usize::from(task.step))
    }
}
