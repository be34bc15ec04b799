//! Job description as submitted by a client.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::worker::ResourceAmount;

/// Maximum number of tasks of a job, over all its steps.
pub const MAX_TASKS: usize = 20_000;

/// A job as its client described it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Text that is sent to the worker with each start.
    pub specification: String,
    /// Steps; a step's number is its index.
    pub steps: Vec<StepSpec>,
    /// Number of occurrences of a repeated job; 0 for a job that runs once, immediately.
    pub repetitions: u32,
    /// Due time of occurrence 0, in milliseconds since 1970.
    pub first_run_ms: u64,
    /// Time between occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// One step of a job: `count` tasks of the same kind.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources of each task.
    pub request: ResourceAmount,
    /// Client's rough estimate of the duration of a task, in milliseconds.
    pub estimated_ms: u64,
    /// Numbers of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks save checkpoints.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which makes progress only while all its members run.
    pub gang: bool,
    /// Whether the tasks run more slowly when placed on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub requirement: Option<String>,
    /// Rack close to the data.
    pub affinity: Option<String>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub anti_affinity: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Name of the image that the tasks run.
    pub image: Option<String>,
    /// Response time that serving tasks must keep for their own users, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks are best-effort: they use only capacity that other tasks leave unused.
    pub fills: bool,
    /// Number of tasks of the step that the system may make unavailable at the same time.
    pub may_miss: u32,
}

impl JobSpec {
    /// Validates the invariants that the rest of the system relies on.
    ///
    /// # Errors
    ///
    /// A message that describes the first problem.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job needs at least one step".to_owned());
        }
        if self.steps.len() > usize::from(u16::MAX) {
            return Err("a job has too many steps".to_owned());
        }
        let mut tasks = 0usize;
        for (number, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(format!("step {number} has no tasks"));
            }
            tasks = tasks.saturating_add(step.count as usize);
            if step.after.iter().any(|&after| usize::from(after) >= number) {
                return Err(format!(
                    "step {number} depends on a step that is not earlier"
                ));
            }
        }
        if tasks > MAX_TASKS {
            return Err(format!(
                "the job has {tasks} tasks; the maximum is {MAX_TASKS}"
            ));
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// Returns the due time of an occurrence in milliseconds since 1970; `None` for one that is due
    /// immediately.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        (self.repetitions > 0).then(|| {
            self.first_run_ms
                .saturating_add(u64::from(occurrence).saturating_mul(self.interval_ms))
        })
    }

    /// Returns the number of occurrences that are due at a time in milliseconds since 1970.
    pub fn due_occurrences(&self, wall_ms: u64) -> u32 {
        if self.repetitions == 0 {
            return 1;
        }
        let Some(elapsed) = wall_ms.checked_sub(self.first_run_ms) else {
            return 0;
        };
        let due = (elapsed.checked_div(self.interval_ms))
            .map_or(u64::MAX, |later| later.saturating_add(1));
        u32::try_from(due).map_or(self.repetitions, |due| due.min(self.repetitions))
    }

    /// Returns the number of tasks of an occurrence.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| step.count as usize).sum()
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

impl StepSpec {
    /// Returns the client's estimate of the duration of a task.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimated_ms)
    }

    /// Returns the resources that a task reserves on its worker. A best-effort task reserves no
    /// processor time.
    pub fn reserved(&self) -> ResourceAmount {
        match self.fills {
            true => ResourceAmount {
                cpu: 0,
                ..self.request
            },
            false => self.request,
        }
    }
}
