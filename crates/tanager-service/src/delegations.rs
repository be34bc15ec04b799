//! Jobs that a cell delegates to another cell of its pool: the decision, the calls to the owner of
//! that cell, and requests about such jobs.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::ids::CellName;
use tanager_jobs::record::encode_record;
use tanager_schedule::delegation::CellChoice;
use tanager_schedule::delegation::CellLoad;
use tanager_schedule::delegation::MAX_LOAD_AGE;
use tanager_schedule::delegation::SiblingLoad;
use tanager_schedule::delegation::choose_cell;
use tanager_schedule::delegation::holds_widest_step;
use tanager_schedule::delegation_table::DelegationAnswer;
use tanager_schedule::delegation_table::DelegationCall;
use tanager_schedule::delegation_table::DelegationPhase;
use tanager_schedule::delegation_table::DelegationRequest;
use tanager_schedule::delegation_table::DelegationResponse;
use tokio::sync::oneshot;
use tokio::time;

use crate::authentication::Caller;
use crate::cell::CellHandle;
use crate::cell_calls::send_cell_request;
use crate::context::NodeContext;
use crate::ledger::StoreResult;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::refusals::store_refusal;
use crate::requests::STORE_TIMEOUT;
use crate::sibling_loads;

/// Time limit of a call to the owner of a sibling. It is below the time for which a client's request
/// waits, so that the client learns the outcome of a second attempt.
const SIBLING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval between checks of whether a call to a sibling is due.
const STEP_PERIOD: Duration = Duration::from_millis(100);
/// Upper bound for the size that a delegation adds to the row of a job.
const DELEGATION_BYTES: usize = 256;
/// Maximum number of calls started at once; after a takeover, hundreds may be due.
const MAX_NEW_CALLS: usize = 16;

/// Response of the cell that has a delegated job.
type ForwardedRead<'a> = Pin<Box<dyn Future<Output = CellResponse> + Send + 'a>>;

impl CellHandle {
    /// Starts the tasks that balance the load of the pool's cells, where that is enabled. Stored
    /// delegations are completed in any case.
    pub(crate) fn spawn_balancing(self: &Arc<Self>) {
        let is_enabled = self.context.settings.features.balances_cells;
        if is_enabled {
            self.spawn_task("sibling_loads", sibling_loads::run(Arc::clone(self)));
        }
        if is_enabled || !self.core().delegations.is_empty() {
            self.spawn_task("delegations", run(Arc::clone(self)));
        }
    }

    /// Delegates a job if a sibling would finish it sooner; returns the response to the client, or
    /// `None` if the job stays in this cell.
    pub(crate) async fn try_delegate(self: &Arc<Self>, record: &JobRecord) -> Option<CellResponse> {
        if !self.context.settings.features.balances_cells {
            return None;
        }
        let siblings = self.sibling_cells();
        if siblings.is_empty() {
            return None;
        }
        let id = record.id;
        let row_bytes = encode_record(record).ok()?.len() + DELEGATION_BYTES;
        if row_bytes > self.context.settings.store.row_bytes || !self.may_delegate() {
            return None;
        }
        let delegated_to = self.choose_sibling(record, &siblings).await?;
        // The cell may have been closed while the loads were requested.
        if !self.may_delegate() {
            return None;
        }
        let delegation = DelegationRecord {
            delegated_to: delegated_to.clone(),
            job: record.clone(),
        };
        let now = self.context.clock.now();
        {
            let mut core = self.core();
            let is_being_stored = self.ledger.is_storing(id);
            if is_being_stored || !core.delegate(delegation) {
                return None;
            }
            let work = core.job_demand(record).work;
            let mut table = self.siblings.table();
            table.record_sent(&delegated_to, id, work, now);
        }
        self.context.metrics.jobs_delegated.increment();
        self.ledger.wake();
        Some(self.await_delegation(id).await)
    }

    /// Returns whether a delegation could be stored and completed now.
    fn may_delegate(&self) -> bool {
        let now = self.context.clock.now();
        let is_unable = self.is_paused() || self.is_closed() || self.ledger.is_blocked(now);
        !is_unable && self.core().delegations.has_room()
    }

    /// Returns the sibling that would finish a job sooner, if there is one.
    async fn choose_sibling(
        self: &Arc<Self>,
        record: &JobRecord,
        siblings: &[CellName],
    ) -> Option<CellName> {
        let widths: Vec<bool> = {
            let view = self.context.view();
            let holds = |cell: &CellName| holds_widest_step(&view.workers_of(cell), &record.spec);
            siblings.iter().map(holds).collect()
        };
        let own_workers = self.context.view().workers_of(&self.name);
        let holds_own = holds_widest_step(&own_workers, &record.spec);
        if !holds_own && widths.contains(&true) {
            // The loads are requested regularly only while tasks wait.
            let loads = self.sibling_loads(siblings, &widths);
            let is_fresh = |load: &SiblingLoad| load.age.is_some_and(|age| age <= MAX_LOAD_AGE);
            if !loads.iter().all(is_fresh) {
                self.request_sibling_loads().await;
            }
        }
        let loads = self.sibling_loads(siblings, &widths);
        let (own, demand) = {
            let mut core = self.core();
            let load = core.load_report(self.context.clock.now());
            let own = CellLoad {
                backlog: load.backlog,
                cores: load.cores,
                holds_widest_step: holds_own,
            };
            let demand = core.job_demand(record);
            (own, demand)
        };
        let CellChoice::Delegate {
            sibling,
            own_wait,
            sibling_wait,
        } = choose_cell(&own, &loads, &demand)
        else {
            return None;
        };
        log::info!(
            "event=job_delegated job={} from={} to={} own_wait={own_wait:.3?} sibling_wait={sibling_wait:.3?} work={:.2} own_holds={holds_own} load_age={:.3?} token={}",
            record.id,
            self.name,
            siblings[sibling],
            demand.work,
            loads[sibling].age.unwrap_or_default(),
            self.token
        );
        Some(siblings[sibling].clone())
    }

    fn sibling_loads(&self, siblings: &[CellName], widths: &[bool]) -> Vec<SiblingLoad> {
        let now = self.context.clock.now();
        let mut table = self.siblings.table();
        (siblings.iter().zip(widths))
            .map(|(sibling, &holds_widest_step)| table.load(sibling, holds_widest_step, now))
            .collect()
    }

    /// Returns whether a job is delegated, or about to be.
    pub(crate) fn is_delegated(&self, id: JobId) -> bool {
        self.core().delegations.record(id).is_some()
    }

    /// Queues a job of this cell for storing; `None` if the job was delegated meanwhile.
    pub(crate) fn insert_own(&self, record: JobRecord) -> Option<oneshot::Receiver<StoreResult>> {
        let core = self.core();
        let is_delegated = core.delegations.record(record.id).is_some();
        (!is_delegated).then(|| self.ledger.insert(record))
    }

    /// Waits until the outcome of a delegated job is known.
    pub(crate) async fn await_delegation(&self, id: JobId) -> CellResponse {
        let mut committed = self.ledger.committed();
        let mut closed = self.closed();
        let end = self.context.clock.now() + STORE_TIMEOUT;
        let mut was_stored = false;
        loop {
            if let Some(response) = self.delegation_outcome(id, &mut was_stored) {
                return response;
            }
            let left = end.saturating_sub(self.context.clock.now());
            tokio::select! {
                changed = committed.changed() => if changed.is_err() {
                    break;
                },
                _ = closed.wait_for(|closed| *closed) => break,
                () = time::sleep(left) => break,
            }
        }
        self.context.metrics.jobs_uncertain.increment();
        CellResponse::Uncertain
    }

    fn delegation_outcome(&self, id: JobId, was_stored: &mut bool) -> Option<CellResponse> {
        let mut core = self.core();
        match core.delegations.phase(id) {
            Some(phase) => {
                *was_stored |= phase != DelegationPhase::Storing;
                return match core.delegations.answer(id)? {
                    DelegationAnswer::Accepted => Some(CellResponse::Done),
                    DelegationAnswer::Cancelled => Some(CellResponse::Cancelled),
                };
            }
            None if core.record(id).is_some() => return Some(CellResponse::Done),
            None if core.is_cancelled_early(id) => return Some(CellResponse::Cancelled),
            None => {}
        }
        // The row was not stored, or the sibling and this cell refused the job.
        if !*was_stored {
            return Some(store_refusal());
        }
        let load = core.load_report(self.context.clock.now());
        let wait = load.backlog / load.cores.max(0.001);
        Some(CellResponse::Refused {
            retry_after: wait.ceil().clamp(1.0, 60.0) as u64,
            overload: true,
            reason: "too much work waits".to_owned(),
            sender_wide: false,
        })
    }

    /// Forwards a question about a delegated job to the cell that has it; `None` for other requests.
    /// The future is boxed, because that cell may be one of this node.
    pub(crate) fn forward_read<'a>(
        &'a self,
        request: &'a CellRequest,
    ) -> Option<ForwardedRead<'a>> {
        let (CellOperation::Show(id) | CellOperation::Known(id) | CellOperation::Describe(id)) =
            request.operation
        else {
            return None;
        };
        let core = self.core();
        let sibling = core.delegations.record(id)?.delegated_to.clone();
        Some(Box::pin(async move {
            let (context, queue) = (&self.context, &request.queue);
            let operation = request.operation.clone();
            let caller = request.caller();
            let answer = send_cell_request(
                context,
                &caller,
                &sibling,
                queue,
                operation,
                SIBLING_TIMEOUT,
            );
            self.forwarded_response(id, &sibling, answer.await)
        }))
    }

    fn forwarded_response(
        &self,
        id: JobId,
        sibling: &CellName,
        answer: CellResponse,
    ) -> CellResponse {
        let core = self.core();
        match answer {
            CellResponse::NotOwner => CellResponse::Refused {
                retry_after: 1,
                overload: false,
                reason: format!("the job was delegated to {sibling}, which has no owner"),
                sender_wide: false,
            },
            CellResponse::NotFound => match core.delegations.answer(id) {
                Some(DelegationAnswer::Accepted) => CellResponse::NotFound,
                Some(DelegationAnswer::Cancelled) => CellResponse::Cancelled,
                None => CellResponse::Uncertain,
            },
            response => response,
        }
    }

    /// Returns the cell that runs a job of this cell.
    pub(crate) fn cell_that_runs(&self, id: JobId) -> CellName {
        let core = self.core();
        match (core.delegations.phase(id), core.delegations.record(id)) {
            (Some(DelegationPhase::Accepted), Some(record)) => record.delegated_to.clone(),
            _ => self.name.clone(),
        }
    }

    /// Starts the calls that are due, and takes jobs back that the sibling will not run.
    fn step_delegations(self: &Arc<Self>) {
        let now = self.context.clock.now();
        let (requests, returned) = {
            let mut core = self.core();
            if core.delegations.is_empty() {
                return;
            }
            let wall_ms = self.context.clock.wall_ms();
            let requests = core.delegations.take_requests(now, wall_ms, MAX_NEW_CALLS);
            (requests, core.delegations.take_returned(now))
        };
        for request in requests {
            let cell = Arc::clone(self);
            self.spawn_task(
                "delegation",
                async move { cell.call_sibling(request).await },
            );
        }
        for (record, may_refuse) in returned {
            let cell = Arc::clone(self);
            self.spawn_task("delegation", async move {
                cell.take_back(record, may_refuse).await;
            });
        }
        if self.core().delegations.has_changes() {
            self.ledger.wake();
        }
    }

    async fn call_sibling(self: &Arc<Self>, request: DelegationRequest) {
        let DelegationRequest { record, call } = request;
        let id = record.job.id;
        let sibling = &record.delegated_to;
        let operation = match call {
            DelegationCall::Submit => CellOperation::Delegate(Box::new(record.job.clone())),
            DelegationCall::Withdraw => CellOperation::Withdraw {
                id,
                accepted_ms: record.job.accepted_ms,
            },
            DelegationCall::Cancel => CellOperation::Cancel(id),
            DelegationCall::Check => CellOperation::Known(id),
        };
        let (context, queue) = (&self.context, &record.job.queue);
        // This cell has checked that the client may use the job.
        let caller = Caller::Operator(record.job.workspace.clone());
        let answer =
            send_cell_request(context, &caller, sibling, queue, operation, SIBLING_TIMEOUT).await;
        let response = sibling_response(call, &answer);
        let now = context.clock.now();
        if call == DelegationCall::Submit {
            let mut table = self.siblings.table();
            match response {
                DelegationResponse::Stored => table.record_stored(sibling, id, now),
                DelegationResponse::Refused => table.record_refusal(sibling, id, now),
                _ => {}
            }
        }
        if call != DelegationCall::Check {
            log::info!(
                "event=delegation_answered job={id} from={} to={sibling} call={call:?} answer={answer:?} token={}",
                self.name,
                self.token
            );
        }
        let wall_ms = context.clock.wall_ms();
        (self.core().delegations).apply_response(id, call, response, now, wall_ms);
        self.ledger.notify();
    }

    /// Stores a job that the sibling will not run as this cell's own, or refuses it.
    async fn take_back(self: &Arc<Self>, mut record: JobRecord, may_refuse: bool) {
        let id = record.id;
        let clock = &self.context.clock;
        if self.is_paused() {
            self.core().delegations.retry_return(id, clock.now());
            return;
        }
        let refusal = match may_refuse {
            true => self.check_admission(&mut record, clock.now()),
            false => None,
        };
        if let Some(refusal) = refusal {
            self.record_refusal(record.workspace.as_ref());
            log::info!(
                "event=job_refused job={id} cell={} delegated=true answer={refusal:?}",
                self.name
            );
            self.core().delegations.refuse_returned(id);
            self.ledger.wake();
            return;
        }
        let result = self.ledger.insert(record).await;
        log::info!(
            "event=job_taken_back job={id} cell={} token={} result={result:?}",
            self.name,
            self.token
        );
        match result {
            Ok(StoreResult::Stored) => self.context.metrics.jobs_taken_back.increment(),
            _ => self.core().delegations.retry_return(id, clock.now()),
        }
    }
}

/// Returns what the response of a sibling's owner means for a delegated job.
fn sibling_response(call: DelegationCall, answer: &CellResponse) -> DelegationResponse {
    match (call, answer) {
        (_, CellResponse::Done) => DelegationResponse::Stored,
        (_, CellResponse::Cancelled) => DelegationResponse::Cancelled,
        (_, CellResponse::Expired) => DelegationResponse::Expired,
        // The owner answers so only before it passes the job to its ledger, or if the store did not
        // apply the transaction.
        (
            DelegationCall::Submit,
            CellResponse::Refused { .. } | CellResponse::NotOwner | CellResponse::Invalid(_),
        ) => DelegationResponse::Refused,
        (DelegationCall::Submit, _) => DelegationResponse::Uncertain,
        (_, CellResponse::NotFound) => DelegationResponse::Unknown,
        _ => DelegationResponse::Uncertain,
    }
}

/// Completes the delegations of a cell until it is closed.
async fn run(cell: Arc<CellHandle>) {
    let mut committed = cell.ledger.committed();
    let mut closed = cell.closed();
    loop {
        tokio::select! {
            _ = committed.changed() => {}
            () = time::sleep(STEP_PERIOD) => {}
            _ = closed.wait_for(|closed| *closed) => return,
        }
        cell.step_delegations();
    }
}

/// Returns the cell that runs a job whose own cell is `cell`.
pub(crate) async fn locate(
    context: &Arc<NodeContext>,
    cell: CellName,
    id: JobId,
    timeout: Duration,
) -> CellName {
    if !context.settings.features.balances_cells {
        return cell;
    }
    let operation = CellOperation::Locate(id);
    let operator = Caller::Operator(None);
    match send_cell_request(context, &operator, &cell, "", operation, timeout).await {
        CellResponse::Located(found) => found,
        _ => cell,
    }
}
