//! A fake worker: jobs share its slots, and all slow down when they really use more.

use std::time::Duration;

use tanager_dispatch::lending::LentTask;
use tanager_dispatch::lending::PreemptionAction;
use tanager_dispatch::lending::plan_preemption;

use crate::site::SLOTS;

/// What the worker does with new requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkerMode {
    Serves,
    /// Answers every request with an error at once.
    FailsFast,
    /// Accepts no connection.
    Lost,
}

/// Work of a leased task of another pool, in seconds.
const TASK_RUN: f64 = 3.0;

struct Running {
    job: usize,
    left: f64,
    real: f64,
}

struct Leased {
    lease: u64,
    left: f64,
    paused: bool,
}

/// One fake worker.
pub(crate) struct FakeWorker {
    pub(crate) mode: WorkerMode,
    /// Distinguishes completions that were planned before a later change.
    pub(crate) generation: u64,
    running: Vec<Running>,
    leased: Vec<Leased>,
    next_lease: u64,
    updated: Duration,
    /// Slot-seconds of leased tasks that were finished or saved.
    pub(crate) leased_work: f64,
    /// Slot-seconds of leased tasks lost by stops.
    pub(crate) lost_work: f64,
}

impl FakeWorker {
    pub(crate) fn new() -> Self {
        Self {
            mode: WorkerMode::Serves,
            generation: 0,
            running: Vec::new(),
            leased: Vec::new(),
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
        u32::try_from(self.leased.iter().filter(|task| !task.paused).count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn idle(&self) -> u32 {
        SLOTS.saturating_sub(self.used() + self.lent())
    }

    fn speed(&self) -> f64 {
        let real: f64 = self.running.iter().map(|job| job.real).sum();
        (f64::from(SLOTS) / (real + f64::from(self.lent())).max(0.001)).min(1.0)
    }

    /// Lets the work progress up to `now`.
    pub(crate) fn advance(&mut self, now: Duration) {
        let done = now.saturating_sub(self.updated).as_secs_f64() * self.speed();
        self.updated = now;
        for job in &mut self.running {
            job.left -= done;
        }
        for task in self.leased.iter_mut().filter(|task| !task.paused) {
            task.left -= done;
        }
    }

    /// Adds a request of the owner and preempts leased tasks that are in its way.
    pub(crate) fn start(&mut self, now: Duration, job: usize, run: f64, real: f64) {
        self.advance(now);
        self.running.push(Running {
            job,
            left: run,
            real,
        });
        let over = (self.used() + self.lent()).saturating_sub(SLOTS);
        let tasks: Vec<LentTask> = self
            .leased
            .iter()
            .filter(|task| !task.paused)
            .map(|task| LentTask {
                lease: task.lease,
                slots: 1,
                unsaved_work: Duration::from_secs_f64((TASK_RUN - task.left).max(0.0)),
                checkpoint_time: (task.lease % 10 >= 3 && task.lease % 10 < 7)
                    .then_some(Duration::from_millis(100)),
                can_throttle: task.lease % 10 < 3,
            })
            .collect();
        for (lease, step) in plan_preemption(&tasks, over, Duration::from_secs(1)) {
            let Some(index) = self.leased.iter().position(|task| task.lease == lease) else {
                continue;
            };
            let done = (TASK_RUN - self.leased[index].left).max(0.0);
            match step {
                PreemptionAction::Throttle => self.leased[index].paused = true,
                PreemptionAction::Checkpoint => {
                    self.leased.swap_remove(index);
                    self.leased_work += done;
                }
                PreemptionAction::Stop => {
                    self.leased.swap_remove(index);
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
            if let Some(task) = self.leased.iter_mut().find(|task| task.paused) {
                task.paused = false;
                continue;
            }
            self.leased.push(Leased {
                lease: self.next_lease,
                left: TASK_RUN,
                paused: false,
            });
            self.next_lease += 1;
        }
        count
    }

    /// Removes a request, for a cancellation.
    pub(crate) fn remove(&mut self, now: Duration, job: usize) {
        self.advance(now);
        self.running.retain(|running| running.job != job);
    }

    /// Ends everything, for a lost rack or a reboot. Returns the requests that ran.
    pub(crate) fn clear(&mut self, now: Duration) -> Vec<usize> {
        self.advance(now);
        self.lost_work += self
            .leased
            .drain(..)
            .map(|task| (TASK_RUN - task.left).max(0.0))
            .sum::<f64>();
        self.running.drain(..).map(|running| running.job).collect()
    }

    /// Takes the requests that are complete and ends complete leased tasks.
    pub(crate) fn take_done(&mut self, now: Duration) -> Vec<usize> {
        self.advance(now);
        let leased = self.leased.len();
        self.leased.retain(|task| task.left > 1e-6);
        #[allow(clippy::cast_precision_loss)]
        let ended = (leased - self.leased.len()) as f64;
        self.leased_work += ended * TASK_RUN;
        let mut done = Vec::new();
        self.running.retain(|running| {
            if running.left <= 1e-6 {
                done.push(running.job);
            }
            running.left > 1e-6
        });
        done
    }

    /// Time of the next completion; starts a new generation.
    pub(crate) fn plan(&mut self) -> Option<Duration> {
        self.generation += 1;
        let jobs = self.running.iter().map(|job| job.left);
        let tasks = self
            .leased
            .iter()
            .filter(|task| !task.paused)
            .map(|task| task.left);
        let least = jobs.chain(tasks).reduce(f64::min)?;
        let wait = (least.max(0.0) / self.speed()).max(1e-6);
        // Rounded up, so that the work is complete at that time.
        Some(self.updated + Duration::from_secs_f64(wait) + Duration::from_nanos(2_000))
    }
}
