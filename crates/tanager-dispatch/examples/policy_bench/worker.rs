//! A simulated worker: jobs share its slots, and all slow down when they actually use more slots
//! than it has.

use std::time::Duration;

use tanager_dispatch::lending::LentTask;
use tanager_dispatch::lending::PreemptionAction;
use tanager_dispatch::lending::plan_preemption;

use crate::site::SLOTS;

/// How the worker handles new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkerMode {
    Serving,
    /// Responds to every request immediately with an error.
    FailingFast,
    /// Accepts no connection.
    Unreachable,
}

/// Run time of a leased task of another pool, in seconds.
const TASK_RUN_SECONDS: f64 = 3.0;

struct RunningJob {
    job: usize,
    remaining_seconds: f64,
    actual_slots: f64,
}

struct LeasedTask {
    lease: u64,
    remaining_seconds: f64,
    paused: bool,
}

/// One simulated worker.
pub(crate) struct SimulatedWorker {
    pub(crate) mode: WorkerMode,
    /// Number of the latest planned completion; earlier ones are outdated.
    pub(crate) generation: u64,
    running: Vec<RunningJob>,
    leased_tasks: Vec<LeasedTask>,
    next_lease: u64,
    updated: Duration,
    /// Slot-seconds of leased tasks that finished or were saved by a checkpoint.
    pub(crate) leased_work: f64,
    /// Slot-seconds of leased tasks lost by stops.
    pub(crate) lost_work: f64,
}

impl SimulatedWorker {
    pub(crate) fn new() -> Self {
        Self {
            mode: WorkerMode::Serving,
            generation: 0,
            running: Vec::new(),
            leased_tasks: Vec::new(),
            next_lease: 0,
            updated: Duration::ZERO,
            leased_work: 0.0,
            lost_work: 0.0,
        }
    }

    pub(crate) fn used(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn lent(&self) -> u32 {
        u32::try_from(self.leased_tasks.iter().filter(|task| !task.paused).count())
            .unwrap_or(u32::MAX)
    }

    pub(crate) fn idle(&self) -> u32 {
        SLOTS.saturating_sub(self.used() + self.lent())
    }

    fn speed(&self) -> f64 {
        let actual_slots: f64 = self.running.iter().map(|job| job.actual_slots).sum();
        (f64::from(SLOTS) / (actual_slots + f64::from(self.lent())).max(0.001)).min(1.0)
    }

    /// Advances all running work to `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let done = now.saturating_sub(self.updated).as_secs_f64() * self.speed();
        self.updated = now;
        for job in &mut self.running {
            job.remaining_seconds -= done;
        }
        for task in self.leased_tasks.iter_mut().filter(|task| !task.paused) {
            task.remaining_seconds -= done;
        }
    }

    /// Starts a request of the owner and preempts leased tasks that use its slots.
    pub(crate) fn start(&mut self, now: Duration, job: usize, run_seconds: f64, actual_slots: f64) {
        self.advance(now);
        self.running.push(RunningJob {
            job,
            remaining_seconds: run_seconds,
            actual_slots,
        });
        let excess = (self.used() + self.lent()).saturating_sub(SLOTS);
        let tasks: Vec<LentTask> = self
            .leased_tasks
            .iter()
            .filter(|task| !task.paused)
            .map(|task| LentTask {
                lease: task.lease,
                slots: 1,
                unsaved_work: Duration::from_secs_f64(
                    (TASK_RUN_SECONDS - task.remaining_seconds).max(0.0),
                ),
                checkpoint_time: (task.lease % 10 >= 3 && task.lease % 10 < 7)
                    .then_some(Duration::from_millis(100)),
                can_throttle: task.lease % 10 < 3,
            })
            .collect();
        for (lease, action) in plan_preemption(&tasks, excess, Duration::from_secs(1)) {
            let Some(index) = self
                .leased_tasks
                .iter()
                .position(|task| task.lease == lease)
            else {
                continue;
            };
            let done = (TASK_RUN_SECONDS - self.leased_tasks[index].remaining_seconds).max(0.0);
            match action {
                PreemptionAction::Throttle => self.leased_tasks[index].paused = true,
                PreemptionAction::Checkpoint => {
                    self.leased_tasks.swap_remove(index);
                    self.leased_work += done;
                }
                PreemptionAction::Stop => {
                    self.leased_tasks.swap_remove(index);
                    self.lost_work += done;
                }
            }
        }
    }

    /// Starts or resumes leased tasks on up to `slots` idle slots.
    pub(crate) fn lend(&mut self, now: Duration, slots: u32) -> u32 {
        self.advance(now);
        let count = slots.min(self.idle());
        for _ in 0..count {
            if let Some(task) = self.leased_tasks.iter_mut().find(|task| task.paused) {
                task.paused = false;
                continue;
            }
            self.leased_tasks.push(LeasedTask {
                lease: self.next_lease,
                remaining_seconds: TASK_RUN_SECONDS,
                paused: false,
            });
            self.next_lease += 1;
        }
        count
    }

    /// Removes a cancelled request.
    pub(crate) fn remove(&mut self, now: Duration, job: usize) {
        self.advance(now);
        self.running.retain(|running| running.job != job);
    }

    /// Stops all work when the rack is lost or the VM reboots. Returns the requests that were
    /// running.
    pub(crate) fn stop_all(&mut self, now: Duration) -> Vec<usize> {
        self.advance(now);
        self.lost_work += self
            .leased_tasks
            .drain(..)
            .map(|task| (TASK_RUN_SECONDS - task.remaining_seconds).max(0.0))
            .sum::<f64>();
        self.running.drain(..).map(|running| running.job).collect()
    }

    /// Removes and returns the completed requests, and removes completed leased tasks.
    pub(crate) fn remove_completed(&mut self, now: Duration) -> Vec<usize> {
        self.advance(now);
        let leased = self.leased_tasks.len();
        self.leased_tasks
            .retain(|task| task.remaining_seconds > 1e-6);
        #[allow(clippy::cast_precision_loss)]
        let ended = (leased - self.leased_tasks.len()) as f64;
        self.leased_work += ended * TASK_RUN_SECONDS;
        let mut done = Vec::new();
        self.running.retain(|running| {
            if running.remaining_seconds <= 1e-6 {
                done.push(running.job);
            }
            running.remaining_seconds > 1e-6
        });
        done
    }

    /// Returns the time of the next completion and starts a new generation.
    pub(crate) fn plan_completion(&mut self) -> Option<Duration> {
        self.generation += 1;
        let jobs = self.running.iter().map(|job| job.remaining_seconds);
        let tasks = self
            .leased_tasks
            .iter()
            .filter(|task| !task.paused)
            .map(|task| task.remaining_seconds);
        let least = jobs.chain(tasks).reduce(f64::min)?;
        let wait = (least.max(0.0) / self.speed()).max(1e-6);
        // Rounded up, so that the work is complete at that time.
        Some(self.updated + Duration::from_secs_f64(wait) + Duration::from_nanos(2_000))
    }
}
