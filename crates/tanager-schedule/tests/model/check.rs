//! Checks what the workers did against the rules.

use std::collections::BTreeMap;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::JobId;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;

use super::worker::WorkerEvent;

/// A run as seen at a worker.
#[derive(Debug)]
struct SeenRun {
    worker: usize,
    run: u64,
    began: Duration,
    ended: Option<(Duration, EndCause, u64)>,
    /// Whether the end was acknowledged, then or later.
    noted: bool,
    /// Whether the worker's lease ended between the end and its acknowledgement.
    lapsed: bool,
    /// Life of the worker.
    life: u32,
}

/// Everything that happened at the workers.
#[derive(Default)]
pub(crate) struct RunRecord {
    runs: BTreeMap<TaskKey, Vec<SeenRun>>,
    lives: BTreeMap<usize, u32>,
    pub(crate) violations: Vec<String>,
}

impl RunRecord {
    pub(crate) fn take(&mut self, worker: usize, event: &WorkerEvent, now: Duration) {
        let life = *self.lives.entry(worker).or_default();
        match event {
            WorkerEvent::Began(task, run) => {
                let runs = self.runs.entry(*task).or_default();
                if let Some(other) = runs.iter().find(|other| other.ended.is_none()) {
                    self.violations.push(format!(
                        "TWICE: {task} run {run} began at worker {worker} at {now:?} while run {} \
                         runs at worker {}",
                        other.run, other.worker
                    ));
                }
                runs.push(SeenRun {
                    worker,
                    run: *run,
                    began: now,
                    ended: None,
                    noted: false,
                    lapsed: false,
                    life,
                });
            }
            WorkerEvent::Ended(task, run, cause, number) => {
                let runs = self.runs.entry(*task).or_default();
                let found = (runs.iter_mut())
                    .find(|seen| seen.worker == worker && seen.run == *run && seen.ended.is_none());
                if let Some(seen) = found {
                    seen.ended = Some((now, *cause, *number));
                }
            }
            WorkerEvent::Strange(task) => {
                let text = format!("UNASKED: {task} began with another checkpoint at {now:?}");
                self.violations.push(text);
            }
            WorkerEvent::Noted(cursor) => {
                for seen in self.runs.values_mut().flatten() {
                    let is_noted = seen.worker == worker
                        && seen.life == life
                        && seen.ended.is_some_and(|(_, _, number)| number <= *cursor);
                    seen.noted |= is_noted && !seen.lapsed;
                }
            }
            WorkerEvent::LeaseLapsed => {
                for seen in self.runs.values_mut().flatten() {
                    if seen.worker == worker && seen.life == life && seen.ended.is_some() {
                        seen.lapsed |= !seen.noted;
                    }
                }
            }
            WorkerEvent::Died => {
                *self.lives.entry(worker).or_default() += 1;
                for seen in self.runs.values_mut().flatten() {
                    if seen.worker == worker && seen.ended.is_none() {
                        seen.ended = Some((now, EndCause::Expired, u64::MAX));
                    }
                }
            }
        }
    }

    /// Returns whether a step is done at the workers: every task has an end `done`. One such end
    /// of a gang stands for all.
    pub(crate) fn is_step_done(&self, job: JobId, step: u16, spec: &StepSpec) -> bool {
        let mut ends = (0..spec.count).map(|index| {
            let task = TaskKey {
                job,
                occurrence: 0,
                step,
                index,
            };
            self.runs.get(&task).is_some_and(|runs| {
                (runs.iter()).any(|seen| matches!(seen.ended, Some((_, EndCause::Done, _))))
            })
        });
        match spec.gang {
            true => ends.any(|is_done| is_done),
            false => ends.all(|is_done| is_done),
        }
    }

    /// Checks the rules that depend on which ends were acknowledged later.
    pub(crate) fn check_ends(&mut self, max_attempts: usize) {
        for (task, runs) in &self.runs {
            for seen in runs {
                let before = |cause: EndCause| {
                    (runs.iter())
                        .filter(|other| other.noted)
                        .filter_map(|other| other.ended)
                        .filter(|(at, ended, _)| *ended == cause && *at < seen.began)
                        .count()
                };
                if before(EndCause::Done) > 0 {
                    self.violations.push(format!(
                        "TWICE: {task} run {} began at {:?} after a run that is done",
                        seen.run, seen.began
                    ));
                }
                if before(EndCause::Failed) >= max_attempts {
                    self.violations.push(format!(
                        "BUDGET: {task} run {} began at {:?} after {max_attempts} failed runs",
                        seen.run, seen.began
                    ));
                }
            }
        }
    }

    /// Returns the number of runs that began.
    pub(crate) fn began(&self) -> usize {
        self.runs.values().map(Vec::len).sum()
    }

    /// Returns the number of failed ends of a job's task with the most.
    pub(crate) fn most_failures(&self, job: JobId) -> usize {
        (self.runs.iter())
            .filter(|(task, _)| task.job == job)
            .map(|(_, runs)| {
                (runs.iter())
                    .filter(|seen| matches!(seen.ended, Some((_, EndCause::Failed, _))))
                    .count()
            })
            .max()
            .unwrap_or(0)
    }
}
