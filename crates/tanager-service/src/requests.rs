//! Requests that the owner of a cell handles: clients' jobs and the draining of workers.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::JobState;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::WorkerId;
use tanager_jobs::ids::WorkspaceName;
use tanager_jobs::record::encode_record;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::CancelResult;
use tanager_schedule::call_intake;
use tanager_schedule::cell_memory::MemoryDecision;
use tanager_schedule::core::JobPhase;
use tanager_site::job_api::JobStatus;
use tokio::sync::oneshot;
use tokio::sync::watch::error::RecvError;
use tokio::time;

use crate::authentication::Caller;
use crate::cell::CellHandle;
use crate::ledger::StoreResult;
use crate::peers::CancelledJob;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::peers::DrainResponse;
use crate::peers::LoadReport;
use crate::peers::SubmittedJob;
use crate::queue_pools::QueuePoolRecord;
use crate::records::pool_of;
use crate::refusals::STORE_RETRY_S;
use crate::refusals::overload_refusal;
use crate::refusals::store_refusal;

/// Time for which a request waits for the store; after that, its outcome is reported as uncertain.
pub(crate) const STORE_TIMEOUT: Duration = call_intake::MAX_WAIT;
/// Time for which a worker gets no new tasks after a request to drain it. The coordinator repeats
/// the request more often.
const DRAIN_PERIOD: Duration = Duration::from_millis(2_500);

fn decode_job(job: SubmittedJob) -> Result<JobSpec, String> {
    match job {
        SubmittedJob::Body(body) => tanager_site::job_api::decode_job(body.as_bytes()),
        SubmittedJob::Spec(spec) => spec.validate().map(|()| spec),
    }
}

/// A job that a node submits to the owner of its cell.
struct Submission {
    id: JobId,
    queue: String,
    workspace: Option<WorkspaceName>,
    job: SubmittedJob,
    /// Failed runs of a task after which the job has failed; `None` if the node does not say.
    max_attempts: Option<u32>,
    /// Time since the job was sent, at most.
    age: Duration,
}

impl CellHandle {
    /// Handles a request to the owner of this cell, which was sent up to `age` ago.
    pub async fn handle(self: &Arc<Self>, request: CellRequest, age: Duration) -> CellResponse {
        let call = self.load.begin_call();
        let response = self.answer(request, age).await;
        call.end(&response);
        response
    }

    async fn answer(self: &Arc<Self>, request: CellRequest, age: Duration) -> CellResponse {
        // This cell does not know yet what the other one has that was merged into it.
        let is_unloaded = match &request.home {
            Some(home) => !self.is_home(home),
            None => request.operation.concerns_all_jobs() && self.has_unloaded_cells(),
        };
        if is_unloaded {
            return CellResponse::NotOwner;
        }
        if let Some(rejection) = self.check_access(&request) {
            return rejection;
        }
        let response = self.perform(request, age).await;
        // A successor may have accepted jobs that this node does not know.
        match response {
            CellResponse::NotFound if self.may_have_successor(self.context.clock.now()) => {
                CellResponse::NotOwner
            }
            response => response,
        }
    }

    /// Returns whether another node may have acquired the cell.
    fn may_have_successor(&self, now: Duration) -> bool {
        self.is_paused() || self.is_closed() || !self.context.owns_its_cells(now)
    }

    async fn perform(self: &Arc<Self>, request: CellRequest, age: Duration) -> CellResponse {
        if let Some(response) = self.forward_read(&request) {
            return response.await;
        }
        match request.operation {
            CellOperation::Submit {
                id,
                job,
                max_attempts,
            } => {
                let submission = Submission {
                    id,
                    queue: request.queue,
                    workspace: request.workspace,
                    job,
                    max_attempts,
                    age,
                };
                self.submit(submission).await
            }
            CellOperation::Known(id) => match self.job_status(id) {
                CellResponse::State(_) => CellResponse::Done,
                CellResponse::NotFound if self.core().is_cancelled_early(id) => {
                    CellResponse::Cancelled
                }
                response => response,
            },
            CellOperation::Show(id) => self.job_status(id),
            CellOperation::Cancel(id) => {
                let caller = request.caller();
                self.cancel(&request.queue, id, &caller).await
            }
            CellOperation::CancelMany(jobs) => {
                let cancellations =
                    (jobs.iter()).map(|job| self.cancel_one(request.home.as_ref(), job));
                CellResponse::Many(join_all(cancellations).await)
            }
            CellOperation::Describe(id) => self.describe_job(id),
            CellOperation::Workspaces => CellResponse::Workspaces(self.workspace_loads()),
            CellOperation::Delegate(record) => self.accept_delegated(*record).await,
            CellOperation::Withdraw { id, accepted_ms } => self.withdraw(id, accepted_ms).await,
            CellOperation::Locate(id) => CellResponse::Located(self.cell_that_runs(id)),
            CellOperation::Merge { with, step } => self.answer_merge(&with, &step).await,
            CellOperation::Load => {
                let load = self.core().load_report(self.context.clock.now());
                CellResponse::Load(LoadReport::from_load(&load))
            }
            CellOperation::Waiting => CellResponse::Waiting(self.core().waiting(&request.queue)),
        }
    }

    /// Drains a worker; no task is started there for `DRAIN_PERIOD`.
    pub fn drain_worker(self: &Arc<Self>, worker: &WorkerId, evicts: bool) -> DrainResponse {
        let now = self.context.clock.now();
        // The next owner may start tasks on the worker.
        if self.may_have_successor(now) {
            return DrainResponse::UNKNOWN;
        }
        let until = now + DRAIN_PERIOD;
        let (is_empty, has_long_running) = self.core().drain_worker(worker, until, evicts);
        self.run_decisions();
        DrainResponse {
            is_empty,
            has_long_running,
        }
    }

    pub(crate) fn job_status(&self, id: JobId) -> CellResponse {
        match self.core().job_phase(id) {
            None if self.ledger.is_storing(id) => CellResponse::Uncertain,
            None => CellResponse::NotFound,
            Some(JobPhase::Queued) => CellResponse::State(JobStatus::Queued),
            Some(JobPhase::Running) => CellResponse::State(JobStatus::Running),
            Some(JobPhase::Ended(state)) => CellResponse::State(match state {
                JobState::Failed => JobStatus::Failed,
                JobState::Cancelled => JobStatus::Cancelled,
                JobState::Open | JobState::Completed => JobStatus::Completed,
            }),
        }
    }

    async fn submit(self: &Arc<Self>, submission: Submission) -> CellResponse {
        let Submission {
            id,
            queue,
            workspace,
            job,
            max_attempts,
            age,
        } = submission;
        let sender = workspace.clone().map_or(Caller::Open, Caller::Workspace);
        let started = self.context.clock.now();
        if self.is_delegated(id) {
            return self.await_delegation(id).await;
        }
        if self.core().record(id).is_some() {
            return CellResponse::Done;
        }
        let _place;
        let receiver = match self.ledger.join(id) {
            Some(receiver) => receiver,
            None if self.core().is_cancelled_early(id) => return CellResponse::Cancelled,
            None => {
                _place = match self.take_place(&queue, workspace.as_ref(), age, started) {
                    Ok(place) => place,
                    Err(refusal) => return refusal,
                };
                let spec = match decode_job(job) {
                    Ok(spec) => spec,
                    Err(error) => return CellResponse::Invalid(error),
                };
                let mut record = JobRecord {
                    id,
                    max_attempts: max_attempts
                        .unwrap_or_else(|| self.core().policy(&queue).max_attempts)
                        .max(1),
                    queue,
                    pool: pool_of(&self.name).to_owned(),
                    accepted_ms: self.context.clock.wall_ms(),
                    spec,
                    workspace,
                    exceeds_rate: false,
                };
                // What can never be stored is rejected whatever the load is.
                if let Some(refusal) = self.check_size(&record) {
                    return refusal;
                }
                if let Some(response) = self.try_delegate(&record).await {
                    return response;
                }
                if let Some(refusal) = self.check_admission(&mut record, started) {
                    self.record_refusal(sender.workspace());
                    log::info!(
                        "event=job_refused job={id} cell={} answer={refusal:?}{sender}",
                        self.name
                    );
                    return refusal;
                }
                match self.insert_own(record) {
                    Some(receiver) => receiver,
                    None => return self.await_delegation(id).await,
                }
            }
        };
        self.await_stored(id, &sender, receiver, started).await
    }

    /// Waits until the store has responded to the transaction of a job.
    pub(crate) async fn await_stored(
        &self,
        id: JobId,
        sender: &Caller,
        receiver: oneshot::Receiver<StoreResult>,
        started: Duration,
    ) -> CellResponse {
        let result = time::timeout(STORE_TIMEOUT, receiver).await;
        let result = match result {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => StoreResult::Uncertain,
        };
        let elapsed = self.context.clock.now().saturating_sub(started);
        self.context.metrics.accept_seconds.observe(elapsed);
        log::info!(
            "event=job_submitted job={id} cell={} token={} result={result:?} after={elapsed:?}{sender}",
            self.name,
            self.token
        );
        if result == StoreResult::NotStored {
            self.core().forget_pending(id);
        }
        match result {
            StoreResult::Stored => {
                self.context.metrics.jobs_accepted.increment();
                if let Some(workspace) = sender.workspace() {
                    self.context.metrics.workspaces.record_accepted(workspace);
                }
                CellResponse::Done
            }
            StoreResult::NotStored => {
                self.record_refusal(sender.workspace());
                store_refusal()
            }
            StoreResult::Displaced(after) => {
                self.record_refusal(sender.workspace());
                overload_refusal(after, "jobs of higher value need the capacity")
            }
            StoreResult::Uncertain => {
                self.context.metrics.jobs_uncertain.increment();
                CellResponse::Uncertain
            }
        }
    }

    /// Returns the refusal of a job whose row would exceed the store's limit.
    fn check_size(&self, record: &JobRecord) -> Option<CellResponse> {
        let limit = self.context.settings.store.row_bytes;
        match encode_record(record) {
            Ok(row) if row.len() <= limit => None,
            Ok(row) => {
                let size = row.len();
                let message = format!("the job takes {size} bytes; at most {limit} can be stored");
                Some(CellResponse::Invalid(message))
            }
            Err(error) => Some(CellResponse::Invalid(error.to_string())),
        }
    }

    /// Returns the refusal of a job that cannot be accepted now. Marks the job if it exceeds the
    /// rate of its workspace.
    pub(crate) fn check_admission(
        &self,
        record: &mut JobRecord,
        now: Duration,
    ) -> Option<CellResponse> {
        if self.is_paused() || self.is_closed() {
            return Some(CellResponse::NotOwner);
        }
        if self.ledger.is_blocked(now) {
            self.context.metrics.refused_store.increment();
            return Some(store_refusal());
        }
        match self.decide_admission(record, now) {
            AdmissionDecision::Accept => self.check_memory(record, now),
            AdmissionDecision::Overloaded(after) => {
                Some(overload_refusal(after, "too much work waits"))
            }
            AdmissionDecision::ExceedsCap => Some(CellResponse::Invalid(
                "a gang of the job needs more than the cap of its workspace".to_owned(),
            )),
            AdmissionDecision::NoWorker(after) => Some(overload_refusal(
                after,
                "no worker of the pool can hold a task of the job",
            )),
            AdmissionDecision::NoRoom(after) => Some(overload_refusal(
                after,
                "long-running tasks leave no room for the job",
            )),
        }
    }

    /// Returns the refusal of a job for which this node has no memory.
    fn check_memory(&self, record: &JobRecord, now: Duration) -> Option<CellResponse> {
        let mut core = self.core();
        let decision = core.reserve_memory(record, now);
        if decision == MemoryDecision::Accept {
            return None;
        }
        core.forget_pending(record.id);
        drop(core);
        self.context.metrics.refused_memory.increment();
        Some(match decision {
            MemoryDecision::Never { needed, budget } => CellResponse::Invalid(format!(
                "the job takes {needed} bytes of memory; at most {budget} are available for jobs"
            )),
            MemoryDecision::Full(after) => {
                overload_refusal(after, "the jobs of the cell take all memory")
            }
            MemoryDecision::Accept => return None,
        })
    }

    /// Handles a cancellation that came together with others. The future is boxed, because it is part
    /// of the one that handles the request for all of them.
    fn cancel_one<'a>(
        self: &'a Arc<Self>,
        home: Option<&CellName>,
        job: &CancelledJob,
    ) -> Pin<Box<dyn Future<Output = CellResponse> + Send + 'a>> {
        let request = CellRequest {
            cell: self.name.clone(),
            home: home.cloned(),
            queue: job.queue.clone(),
            workspace: job.workspace.clone(),
            is_operator: job.is_operator,
            operation: CellOperation::Cancel(job.id),
        };
        // Only submissions depend on their age.
        Box::pin(self.handle(request, Duration::ZERO))
    }

    async fn cancel(self: &Arc<Self>, queue: &str, id: JobId, caller: &Caller) -> CellResponse {
        // The cancellation of an unknown job must be found as well when the queue has another pool.
        let is_unknown = self.core().record(id).is_none();
        if is_unknown && !queue.is_empty() {
            let record = QueuePoolRecord {
                queue: queue.to_owned(),
                pool: pool_of(&self.name).to_owned(),
            };
            let unstored = self.context.record_queue_pools([record]).await;
            if !unstored.is_empty() {
                return store_refusal();
            }
        }
        let wall_ms = self.context.clock.wall_ms();
        let mut committed = self.ledger.committed();
        let now = self.context.clock.now();
        let result = self.core().cancel(id, now, wall_ms);
        log::info!(
            "event=job_cancelled job={id} cell={} token={} result={result:?} heartbeat_age={:?}{caller}",
            self.name,
            self.token,
            self.context.heartbeat_age(now)
        );
        match result {
            CancelResult::Ended => return CellResponse::Done,
            CancelResult::Refused => {
                return CellResponse::Refused {
                    retry_after: STORE_RETRY_S,
                    overload: true,
                    reason: "too many cancellations of unknown jobs".to_owned(),
                    sender_wide: false,
                };
            }
            CancelResult::Pending | CancelResult::Unknown => {}
        }
        self.run_decisions();
        let stored = async {
            while !self.core().is_stored(id) {
                committed.changed().await?;
            }
            Ok::<(), RecvError>(())
        };
        let mut closed = self.closed();
        tokio::select! {
            Ok(()) = stored => match self.core().record(id) {
                Some(_) => CellResponse::Done,
                None => CellResponse::NotFound,
            },
            // The next owner has not heard of the cancellation.
            _ = closed.wait_for(|closed| *closed) => CellResponse::NotOwner,
            () = time::sleep(STORE_TIMEOUT) => store_refusal(),
        }
    }
}
