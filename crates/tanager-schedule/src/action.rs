//! What a cell asks its owner to do.

use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;
use tanager_jobs::ids::WorkerId;

use crate::worker::WorkerKey;

/// Something that happened to a job and that explains its end, for the owner's log.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// A run ended as failed.
    RunFailed {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Failed runs of the task so far.
        failures: usize,
        /// Failed runs after which the job has failed.
        max_attempts: u32,
    },
    /// A run was given up: its worker is lost, or it never started.
    RunLost {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
    },
    /// A run stood still and is started elsewhere.
    RunStalled {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Progress in percent at which it stood.
        percent: u32,
    },
    /// A job ended.
    JobEnded {
        /// Job.
        job: JobId,
        /// State.
        state: JobState,
        /// Time from its acceptance.
        age: Duration,
        /// Time from its acceptance to the first start, if there was one.
        waited: Option<Duration>,
        /// Time in which it should have ended, by the durations learned.
        objective: Duration,
    },
}

/// An action that the owner carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum CellAction {
    /// Order a start; the answer goes to `CellCore::apply_start_result`.
    Start {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Lease on the worker's clock.
        lease_until_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket of the advice service.
        ticket: Option<String>,
    },
    /// Order a stop; the answer goes to `CellCore::apply_stop_result`.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
    },
    /// Order a change of pace; the answer goes to `CellCore::apply_pace_result`.
    Pace {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Share of its speed in percent.
        percent: u32,
    },
    /// Ask which workers may run a step; the answer goes to `CellCore::apply_advice_result`.
    RequestAdvice {
        /// Job.
        job: JobId,
        /// Occurrence.
        occurrence: u32,
        /// Step.
        step: u16,
        /// Workers to ask about.
        workers: Vec<WorkerId>,
    },
    /// The token is fenced: another node owns the cell.
    OwnershipLost,
}
