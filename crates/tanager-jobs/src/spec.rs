//! A job as its client described it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::worker::ResourceAmount;

/// Most tasks that all steps of a job may have.
pub const MAX_TASKS: usize = 20_000;

/// A job as its client described it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct JobSpec {
    /// Text that each start carries to the worker.
    pub specification: String,
    /// Steps in the order of their numbers.
    pub steps: Vec<StepSpec>,
    /// Times that the steps run; 0 for a job that runs once, at once.
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
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether tasks save their progress.
    pub checkpointing: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub same_rack: bool,
    /// Label that a worker must have.
    pub requirement: Option<String>,
    /// Rack near the data.
    pub affinity: Option<String>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub anti_affinity: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_running: bool,
    /// Names what the tasks run.
    pub image: Option<String>,
    /// Response time that the tasks must keep towards their own users, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only capacity that others leave unused.
    pub fills: bool,
    /// Tasks of the step that the system may make unavailable at the same time.
    pub may_miss: u32,
}

impl JobSpec {
    /// Checks what every part of the product relies on.
    ///
    /// # Errors
    ///
    /// A text that names the first problem.
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
                return Err(format!("step {number} is after a step that is not earlier"));
            }
        }
        if tasks > MAX_TASKS {
            return Err(format!("{tasks} tasks; at most {MAX_TASKS} are accepted"));
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.repetitions.max(1)
    }

    /// Returns the due time of an occurrence in milliseconds since 1970; `None` for one that is
    /// due at once.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        (self.repetitions > 0).then(|| {
            self.first_run_ms
                .saturating_add(u64::from(occurrence).saturating_mul(self.interval_ms))
        })
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }
}

impl StepSpec {
    /// Client's estimate of the duration of a task.
    pub fn estimate(&self) -> Duration {
        Duration::from_millis(self.estimated_ms)
    }

    /// Resources that a task takes from the capacity of its worker. A task that fills uses only
    /// the processor time that others leave.
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
