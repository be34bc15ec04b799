//! Actions and log events that a cell returns to its owner.

use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;
use tanager_jobs::ids::WorkerId;

use crate::cap_usage::UsageDifference;
use crate::worker::WorkerKey;
use crate::worker_health::Observation;
use crate::worker_health::StartLimit;

/// Why a run is certain not to run now or later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseCause {
    /// The start was refused or not sent.
    NotStarted,
    /// A later incarnation of the worker responds.
    WorkerRestarted,
    /// The worker is unresponsive, and its leases have expired.
    LeaseExpired,
    /// The worker no longer lists the run.
    Unlisted,
}

/// How an owner learned that an incarnation of a worker has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplacementSource {
    /// The worker's entry in the store names a later start.
    Entry,
    /// A later incarnation reported.
    Report,
    /// The worker refused an order meant for the known incarnation.
    Refusal,
}

/// An event that explains the end of a job, for the owner's log.
#[derive(Clone, Debug, PartialEq)]
pub enum CellEvent {
    /// The kept usage of workspaces differed from a count of their runs, and was corrected.
    CapUsageCorrected {
        /// Workspaces with another usage.
        differences: Vec<UsageDifference>,
    },
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
    /// A run was abandoned because its worker was lost or no longer lists it.
    RunLost {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Cause.
        cause: ReleaseCause,
        /// Time for which the worker is known to have had the run.
        observed: Duration,
    },
    /// A run that was not confirmed, or was being stopped, is certain not to run any more.
    RunReleased {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Cause; never `NotStarted`.
        cause: ReleaseCause,
    },
    /// A worker crashed under a young run of a task.
    WorkerCrashed {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Crashes under the task so far.
        crashes: u32,
        /// Whether the run was isolated.
        is_isolated: bool,
        /// Whether the job fails because of this crash.
        is_given_up: bool,
    },
    /// A run made no progress; the task starts on another worker.
    RunStalled {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Progress in percent at which the run stalled.
        percent: u32,
    },
    /// A run that this owner did not order was found in a report and continues.
    RunAdopted {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Start of the worker's incarnation, in milliseconds since 1970; 0 if unknown.
        started_ms: u64,
    },
    /// A run that must not continue was found in a report; it is being stopped.
    UnknownRunStopped {
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Worker.
        worker: WorkerId,
        /// Start of the worker's incarnation, in milliseconds since 1970; 0 if unknown.
        started_ms: u64,
    },
    /// An incarnation of a worker has ended; its runs are released.
    IncarnationReplaced {
        /// Worker.
        worker: WorkerId,
        /// Start of the ended incarnation, in milliseconds since 1970; 0 if unknown.
        started_ms_before: u64,
        /// Start of the new incarnation, in milliseconds since 1970; 0 if unknown.
        started_ms: u64,
        /// How the owner learned of it.
        source: ReplacementSource,
        /// Number of runs of the ended incarnation.
        released: usize,
        /// Number of runs that orders may have started on the new incarnation.
        carried_over: usize,
    },
    /// The number of runs that may be on a worker changed.
    WorkerWeighed {
        /// Worker.
        worker: WorkerId,
        /// New limit.
        limit: StartLimit,
        /// Evidence against the worker.
        score: f64,
        /// Last observation against it, with the rate of such observations on other workers.
        observation: Option<(Observation, f64)>,
    },
    /// A job ended.
    JobEnded {
        /// Job.
        job: JobId,
        /// State.
        state: JobState,
        /// Time since the job was accepted.
        age: Duration,
        /// Time from acceptance to the first start; `None` if no task started.
        waited: Option<Duration>,
        /// Target completion time, based on learned durations.
        objective: Duration,
    },
    /// After a takeover, the runs of the former owner are known or have certainly ended. Tasks that
    /// no worker listed may start from now on.
    RecoveryEnded {
        /// Workers of the former owner that did not report; their leases have expired.
        unreached_workers: Vec<WorkerId>,
    },
}

/// An action for the owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum CellAction {
    /// Order a start; the result is passed to `CellCore::apply_start_result`.
    Start {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Lease expiry on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Checkpoint to resume from; empty for none.
        checkpoint: String,
        /// Ticket from the advice service.
        ticket: Option<String>,
    },
    /// Order a stop; the result is passed to `CellCore::apply_stop_result`.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
    },
    /// Order a change of pace; the result is passed to `CellCore::apply_pace_result`.
    Pace {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskKey,
        /// Run.
        run: RunNumber,
        /// Share of full speed in percent.
        percent: u32,
    },
    /// Request the workers that may run a step; the result is passed to
    /// `CellCore::apply_advice_result`.
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
    /// A worker has seen a higher fencing token: another node owns the cell.
    CellLost,
}
