//! Moves and maintenance in the model: a worker is emptied through the current owner, then its VM
//! goes down. Checks that no more of a step is away by such orders than its client allows.

use std::time::Duration;

use rand::RngExt;
use tanager_jobs::TaskKey;

use super::world::World;

/// Mean time between moves.
const MOVE_EVERY: Duration = Duration::from_millis(2_500);
/// Period in which the holder of the duty asks the owner.
const ASK_PERIOD: Duration = Duration::from_millis(250);
/// The owner keeps the worker closed for this long after each question.
const CLOSED: Duration = Duration::from_millis(1_000);
/// A move that takes longer is given up.
const PATIENCE: Duration = Duration::from_secs(10);
/// Time for which the VM is away.
const MOVE_TIME: Duration = Duration::from_millis(1_500);
/// A task that is not at work for this long counts as away for any cause (the platform's
/// `notice_ms`).
const NOTICE: Duration = Duration::from_millis(4_500);

/// A worker that is being emptied.
pub(crate) struct Emptying {
    worker: usize,
    begun: Duration,
    asks_at: Duration,
    evicts: bool,
    /// Life that was asked about.
    started_ms: u64,
}

impl World {
    /// Goes on with the moves.
    pub(crate) fn step_moves(&mut self) {
        if self.emptying.is_none() && self.plan.moves && self.chance_every(MOVE_EVERY) {
            let worker = self.rng.random_range(0..self.workers.len());
            let evicts = self.rng.random_bool(0.5);
            if self.workers[worker].up {
                self.emptying = Some(Emptying {
                    worker,
                    begun: self.now,
                    asks_at: self.now,
                    evicts,
                    started_ms: self.workers[worker].started_ms,
                });
            }
        }
        let Some(entry) = &mut self.emptying else {
            return;
        };
        if self.now < entry.asks_at {
            return;
        }
        entry.asks_at = self.now + ASK_PERIOD;
        let (number, evicts) = (entry.worker, entry.evicts);
        let worker = &self.workers[number];
        let is_over = self.now.saturating_sub(entry.begun) > PATIENCE
            || !worker.up
            || worker.started_ms != entry.started_ms;
        if is_over {
            self.emptying = None;
            return;
        }
        let id = worker.id.clone();
        let (now, until) = (self.now, self.now + CLOSED);
        let Some(owner) = self.current() else { return };
        if !owner.alive || now < owner.frozen_until {
            return;
        }
        let (is_empty, _) = owner.core.drain_worker(&id, until, evicts);
        if is_empty {
            self.trace(|| format!("worker {number} goes down on order"));
            self.emptying = None;
            self.take_down(number, true);
            self.comes_up.insert(number, self.now + MOVE_TIME);
        }
    }

    /// Ends the life of a worker, on order or by a crash.
    pub(crate) fn take_down(&mut self, number: usize, on_order: bool) {
        let tasks: Vec<TaskKey> = self.workers[number].running.keys().copied().collect();
        for task in tasks {
            self.note_away(task, on_order);
        }
        self.workers[number].crash();
    }

    pub(crate) fn is_lasting(&self, task: TaskKey) -> bool {
        let record = self.jobs.get(&task.job).map(|(record, _)| record);
        record.is_some_and(|record| record.spec.steps[usize::from(task.step)].long_running)
    }

    /// Returns the size of a task's gang; 0 for a task of its own.
    pub(crate) fn members(&self, task: TaskKey) -> u32 {
        let record = self.jobs.get(&task.job).map(|(record, _)| record);
        let spec = record.map(|record| &record.spec.steps[usize::from(task.step)]);
        spec.filter(|spec| spec.gang).map_or(0, |spec| spec.count)
    }

    /// Notes that a task that lasts is no longer at work.
    pub(crate) fn note_away(&mut self, task: TaskKey, on_order: bool) {
        let Some((record, _)) = self.jobs.get(&task.job) else {
            return;
        };
        let spec = &record.spec.steps[usize::from(task.step)];
        if !spec.long_running {
            return;
        }
        let now = self.now;
        let (count, may_miss) = (spec.count, spec.may_miss);
        if on_order && !self.cancelled.contains_key(&task.job) {
            let away = (0..count)
                .filter(|index| *index != task.index)
                .filter_map(|index| self.away.get(&TaskKey { index, ..task }))
                .filter(|(since, ordered)| *ordered || now.saturating_sub(*since) >= NOTICE)
                .count();
            if away >= may_miss as usize {
                self.record.violations.push(format!(
                    "AVAIL: {task} ends on order at {now:?} while {away} others are away"
                ));
            }
        }
        self.away.insert(task, (now, on_order));
    }
}
