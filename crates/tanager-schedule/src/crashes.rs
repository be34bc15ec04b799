//! Tasks that crash their workers.
//!
//! A worker that crashes lists no end, so its runs are started again elsewhere. A task that crashes
//! each worker that starts it would so crash one worker after another, and take along whatever runs
//! beside it. All young runs of a crashed worker are suspects. A suspect runs isolated: nothing else
//! starts on its worker until it has ended or run for a while. Its job fails once workers have
//! crashed under two isolated runs, so that a task that merely ran beside another one, or whose
//! worker crashed for another reason, is not blamed.

use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::JobState;
use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;
use tanager_jobs::ids::WorkerId;

use crate::action::CellEvent;
use crate::core::CellCore;
use crate::job::TaskEntry;
use crate::job::TaskPhase;
use crate::worker::RunStage;
use crate::worker::WorkerKey;
use crate::worker::WorkerSlot;

/// Crashes after which a task runs isolated.
const CRASHES_TO_ISOLATE: u32 = 1;
/// Crashes under isolated runs after which the job has failed. One of them may be a coincidence.
const ISOLATED_CRASHES_TO_FAIL: u32 = 2;
/// Crashes after which a job has failed even if other runs were young on the crashed workers: the
/// platform allows two starts after the third crash.
const MAX_CRASHES: u32 = 5;
/// A run that was observed for this long is no suspect when its worker crashes.
const SURVIVAL_TIME: Duration = Duration::from_secs(3);
/// Time for which an isolated run keeps its worker to itself, and after which another run is not
/// young any more.
const ISOLATION_TIME: Duration = Duration::from_secs(1);
/// Maximum time for which a worker is reserved before an isolated run starts there.
const RESERVATION_LIMIT: Duration = Duration::from_secs(3);
/// At most one worker in this many, and at least one, is reserved for isolated runs.
const WORKERS_PER_ISOLATION: usize = 3;

/// Worker in the log for a run of a former owner whose worker is not known.
const UNKNOWN_WORKER: &str = "unknown";

/// Crashes that have not been applied to the jobs yet, and tasks under which workers crashed.
#[derive(Debug, Default)]
pub(crate) struct CrashTable {
    pending: Vec<CrashedRun>,
    pub(crate) suspects: BTreeSet<TaskKey>,
}

/// A run whose worker crashed.
#[derive(Clone, Debug)]
pub struct CrashedRun {
    task: TaskKey,
    run: RunNumber,
    worker: WorkerId,
    /// Whether the run was isolated.
    is_isolated: bool,
    /// Whether the worker is known to have restarted. If it is only unresponsive, it may still
    /// report.
    is_certain: bool,
}

/// Reservation of a worker for an isolated run.
#[derive(Clone, Copy, Debug)]
pub struct WorkerIsolation {
    pub(crate) task: TaskKey,
    pub(crate) since: Duration,
}

impl TaskEntry {
    /// Returns whether the task must run isolated. Gangs occupy several workers at once and are
    /// not isolated.
    pub(crate) fn needs_isolation(&self, is_gang: bool) -> bool {
        !is_gang && self.crashes >= CRASHES_TO_ISOLATE && !self.isolation_failed
    }

    /// Returns the run of this suspect that the former owner of the cell started and that no worker
    /// lists, if there is one.
    pub(crate) fn unlisted_run(&self) -> Option<RunNumber> {
        (self.suspect_run > self.ended_run.max(self.crashed_run)).then_some(self.suspect_run)
    }
}

impl WorkerSlot {
    /// Returns whether no run on this worker has started recently.
    pub(crate) fn is_quiet(&self) -> bool {
        (self.runs.values()).all(|run| self.observed_time(run) >= ISOLATION_TIME)
    }

    /// Returns the resources that are not reserved by runs which started long ago.
    pub(crate) fn free_of_young_runs(&self) -> ResourceAmount {
        (self.runs.values())
            .filter(|run| self.observed_time(run) >= ISOLATION_TIME)
            .fold(self.entry.capacity, |free, run| free.minus(&run.amount))
    }
}

impl CellCore {
    /// Reserves a worker for an isolated run.
    pub(crate) fn reserve_worker(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.isolation = Some(WorkerIsolation { task, since: now });
        }
    }

    /// Marks a run that has just been placed as isolated.
    pub(crate) fn isolate_run(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        self.reserve_worker(key, task, now);
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(run) = worker.runs.get_mut(&task)
        {
            run.is_isolated = true;
        }
    }

    /// Records that the incarnation of a worker has crashed, or may have if it is only unresponsive
    /// and its leases have expired.
    pub(crate) fn record_crash(&mut self, key: WorkerKey, is_certain: bool) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let mut crashed = match is_certain {
            true => std::mem::take(&mut worker.lapsed_runs),
            false => Vec::new(),
        };
        let last_contact = worker.last_contact.unwrap_or_default();
        let is_planned = worker.entry.draining || worker.draining_until > last_contact;
        if !is_planned {
            crashed.extend(
                (worker.runs.iter())
                    .filter(|(_, run)| !matches!(run.stage, RunStage::Stopped(_)))
                    .filter(|(_, run)| worker.observed_time(run) < SURVIVAL_TIME)
                    .map(|(task, run)| CrashedRun {
                        task: *task,
                        run: run.run,
                        worker: worker.entry.worker.clone(),
                        is_isolated: run.is_isolated,
                        is_certain,
                    }),
            );
        }
        for run in &mut crashed {
            run.is_certain = is_certain;
        }
        if !is_certain {
            worker.lapsed_runs.extend(crashed.iter().cloned());
        }
        self.crashes.pending.extend(crashed);
    }

    /// Stores which young runs are on a worker that does not respond, so that the next owner of the
    /// cell knows of them if the worker has crashed.
    pub(crate) fn store_suspect_runs(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let young: Vec<(TaskKey, RunNumber)> = (worker.runs.iter())
            .filter(|(_, run)| !matches!(run.stage, RunStage::Stopped(_)))
            .filter(|(_, run)| worker.observed_time(run) < SURVIVAL_TIME)
            .map(|(task, run)| (*task, run.run))
            .collect();
        for (task, run) in young {
            let is_open = (self.jobs.get(&task.job)).is_some_and(|job| !job.is_ended());
            if is_open
                && let Some(entry) = self.task_mut(task)
                && entry.suspect_run < run
            {
                entry.suspect_run = run;
                self.mark_dirty(task.job);
            }
        }
    }

    /// Records a run of a suspect that no worker lists after a takeover.
    pub(crate) fn record_unlisted_run(&mut self, task: TaskKey, run: RunNumber) {
        self.crashes.pending.push(CrashedRun {
            task,
            run,
            worker: UNKNOWN_WORKER.to_owned(),
            is_isolated: false,
            is_certain: false,
        });
    }

    /// Withdraws the crashes of a worker that was only unresponsive.
    pub(crate) fn withdraw_crashes(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        for lapsed in std::mem::take(&mut worker.lapsed_runs) {
            let Some(entry) = self.task_mut(lapsed.task) else {
                continue;
            };
            if entry.crashed_run == lapsed.run && entry.crashes > 0 {
                entry.crashes -= 1;
                self.mark_dirty(lapsed.task.job);
            }
        }
    }

    /// Counts the recorded crashes, and fails the jobs of tasks that crash their workers.
    pub(crate) fn apply_crashes(&mut self, now: Duration, wall_ms: u64) {
        for crashed in std::mem::take(&mut self.crashes.pending) {
            let task = crashed.task;
            let is_open = (self.jobs.get(&task.job)).is_some_and(|job| !job.is_ended());
            let Some(entry) = self.task_mut(task).filter(|_| is_open) else {
                continue;
            };
            if entry.phase == TaskPhase::Done {
                continue;
            }
            if crashed.run > entry.crashed_run {
                entry.crashed_run = crashed.run;
                entry.crashes += 1;
                entry.isolation_failed = false;
            } else if !crashed.is_certain || !crashed.is_isolated {
                continue;
            }
            if crashed.is_certain && crashed.is_isolated {
                entry.isolated_crashes += 1;
            }
            let crashes = entry.crashes;
            let is_given_up =
                entry.isolated_crashes >= ISOLATED_CRASHES_TO_FAIL || crashes >= MAX_CRASHES;
            self.crashes.suspects.insert(task);
            self.mark_dirty(task.job);
            if crashes >= CRASHES_TO_ISOLATE {
                self.events.push(CellEvent::WorkerCrashed {
                    task,
                    run: crashed.run,
                    worker: crashed.worker,
                    crashes,
                    is_isolated: crashed.is_isolated,
                    is_given_up,
                });
            }
            if is_given_up {
                self.end_job(task.job, JobState::Failed, now, wall_ms);
            }
        }
    }

    /// Clears tasks that run on without a crash, and ends reservations that are no longer needed.
    pub(crate) fn review_suspects(&mut self, now: Duration) {
        let suspects: Vec<TaskKey> = self.crashes.suspects.iter().copied().collect();
        for task in suspects {
            let is_open = (self.jobs.get(&task.job)).is_some_and(|job| !job.is_ended());
            let entry = self.task(task).filter(|_| is_open);
            let phase = entry.map_or(TaskPhase::Done, |entry| entry.phase);
            let has_survived = match phase {
                TaskPhase::Done => true,
                TaskPhase::Placed(key) => (self.workers.get(key)).is_some_and(|worker| {
                    (worker.runs.get(&task))
                        .is_some_and(|run| worker.observed_time(run) >= SURVIVAL_TIME)
                }),
                TaskPhase::Idle | TaskPhase::Unaccounted => false,
            };
            if !has_survived {
                continue;
            }
            self.crashes.suspects.remove(&task);
            if phase != TaskPhase::Done
                && let Some(entry) = self.task_mut(task)
            {
                entry.crashes = 0;
                entry.isolated_crashes = 0;
                entry.suspect_run = 0;
                self.mark_dirty(task.job);
            }
        }
        let reserved: Vec<(WorkerKey, WorkerIsolation)> = (self.workers.iter())
            .filter_map(|(key, worker)| Some((key, worker.isolation?)))
            .collect();
        for (key, isolation) in reserved {
            self.review_isolation(key, isolation, now);
        }
    }

    fn review_isolation(&mut self, key: WorkerKey, isolation: WorkerIsolation, now: Duration) {
        let task = isolation.task;
        let is_idle = self.crashes.suspects.contains(&task)
            && (self.task(task)).is_some_and(|entry| entry.phase == TaskPhase::Idle);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let is_over = match worker.runs.get(&task) {
            Some(run) => worker.observed_time(run) >= ISOLATION_TIME,
            None => !is_idle || !worker.is_usable(now),
        };
        let is_late = !worker.runs.contains_key(&task)
            && now.saturating_sub(isolation.since) > RESERVATION_LIMIT;
        if !is_over && !is_late {
            return;
        }
        worker.isolation = None;
        if let Some(run) = worker.runs.get_mut(&task) {
            run.is_isolated = false;
        }
        self.placement_needed = true;
        // Without isolation the task would wait for ever where long-running tasks leave no room.
        if !is_over && let Some(entry) = self.task_mut(task) {
            entry.isolation_failed = true;
        }
    }

    /// Returns the idle tasks that must run isolated.
    pub(crate) fn tasks_to_isolate(&self) -> Vec<TaskKey> {
        (self.crashes.suspects.iter())
            .filter(|task| self.ready.contains(&(task.job, task.occurrence, task.step)))
            .filter(|task| {
                let is_gang = self.spec(**task).is_some_and(|spec| spec.gang);
                self.task(**task).is_some_and(|entry| {
                    entry.phase == TaskPhase::Idle && entry.needs_isolation(is_gang)
                })
            })
            .copied()
            .collect()
    }

    /// Returns whether one more worker may be reserved for an isolated run.
    pub(crate) fn may_isolate_another(&self, now: Duration) -> bool {
        let usable = (self.workers.values())
            .filter(|worker| worker.is_usable(now))
            .count();
        let isolated = (self.workers.values())
            .filter(|worker| worker.is_usable(now) && worker.isolation.is_some())
            .count();
        isolated < (usable / WORKERS_PER_ISOLATION).max(1)
    }

    /// Returns the worker that is reserved for a task.
    pub(crate) fn reserved_worker(&self, task: TaskKey) -> Option<WorkerKey> {
        (self.workers.iter())
            .find(|(_, worker)| {
                worker
                    .isolation
                    .is_some_and(|isolation| isolation.task == task)
            })
            .map(|(key, _)| key)
    }

    pub(crate) fn task_mut(&mut self, task: TaskKey) -> Option<&mut TaskEntry> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }
}
