//! Pacing of best-effort tasks that share a worker with serving tasks.
//!
//! Best-effort tasks use free capacity and slow down the serving tasks on the same worker, by
//! amounts that change within seconds. They are slowed down before a serving task has exceeded its
//! target for long, and are sped up gradually.

use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;

use crate::action::CellAction;
use crate::core::CellCore;
use crate::orders::OrderResult;
use crate::worker::RunStage;
use crate::worker::WorkerKey;

/// Response time tail of a serving task, relative to its target, above which best-effort tasks are
/// slowed down.
const SLOW_DOWN_RATIO: f64 = 0.85;
/// If the response time tail of every serving task, relative to its target, is below this,
/// best-effort tasks are sped up.
const SPEED_UP_RATIO: f64 = 0.6;
/// Minimum time between two changes of a task's pace; the reported usage covers half a second.
const PACE_PERIOD: Duration = Duration::from_millis(600);
/// Increase of the pace per change, in percent of full speed.
const PACE_RISE: u32 = 10;

impl CellCore {
    /// Adjusts the pace of a worker's best-effort tasks to the response times that it reported.
    pub(crate) fn pace_best_effort_tasks(&mut self, key: WorkerKey, now: Duration) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let mut worst_ratio = 0.0f64;
        let mut best_effort: Vec<TaskKey> = Vec::new();
        for (task, run) in &worker.runs {
            let Some(spec) = self.spec(*task) else {
                continue;
            };
            if run.stage != RunStage::Running {
                continue;
            }
            if spec.fills {
                best_effort.push(*task);
            } else if spec.target_ms > 0 {
                worst_ratio = worst_ratio.max(run.usage as f64 / spec.target_ms as f64);
            }
        }
        for task in best_effort {
            let Some(worker) = self.workers.get_mut(key) else {
                return;
            };
            let Some(run) = worker.runs.get_mut(&task) else {
                continue;
            };
            if now.saturating_sub(run.paced_at) < PACE_PERIOD {
                continue;
            }
            let pace = if worst_ratio > 1.0 {
                0
            } else if worst_ratio > SLOW_DOWN_RATIO {
                run.pace / 2
            } else if worst_ratio < SPEED_UP_RATIO {
                (run.pace + PACE_RISE).min(100)
            } else {
                run.pace
            };
            if pace != run.pace || !run.pace_confirmed {
                run.pace = pace;
                // Unknown until the worker responds.
                run.pace_confirmed = false;
                run.paced_at = now;
                self.actions.push(CellAction::Pace {
                    worker: key,
                    task,
                    run: run.run,
                    percent: pace,
                });
            }
        }
    }

    /// Applies the result of a change of pace. A change that was not carried out is sent again.
    pub fn apply_pace_result(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        (run, percent): (RunNumber, u32),
        result: OrderResult,
    ) {
        let slot = (self.workers.get_mut(key))
            .and_then(|worker| worker.runs.get_mut(&task))
            .filter(|slot| slot.run == run && slot.pace == percent);
        if let Some(slot) = slot {
            slot.pace_confirmed = result == OrderResult::Answered(OrderAnswer::Accepted);
        }
    }
}
