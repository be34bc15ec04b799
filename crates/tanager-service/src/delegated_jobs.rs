//! Jobs that a cell gets from another cell of its pool.

use std::sync::Arc;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_schedule::delegated_jobs::DelegatedJob;
use tanager_schedule::delegated_jobs::Withdrawal;
use tokio::sync::watch::error::RecvError;
use tokio::time;

use crate::authentication::Caller;
use crate::cell::CellHandle;
use crate::ledger::StoreResult;
use crate::peers::CellResponse;
use crate::records::pool_of;
use crate::refusals::store_refusal;
use crate::requests::STORE_TIMEOUT;

impl CellHandle {
    /// Accepts a job that a sibling delegates. It is not delegated again.
    pub(crate) async fn accept_delegated(self: &Arc<Self>, mut record: JobRecord) -> CellResponse {
        let started = self.context.clock.now();
        let id = record.id;
        let known = (self.core()).receive_delegated(&record, self.context.clock.wall_ms());
        match known {
            DelegatedJob::Known => return CellResponse::Done,
            DelegatedJob::Cancelled => return CellResponse::Cancelled,
            DelegatedJob::Expired => return CellResponse::Expired,
            DelegatedJob::New => {}
        }
        let receiver = match self.ledger.join(id) {
            Some(receiver) => receiver,
            None => {
                if let Some(refusal) = self.check_admission(&mut record, started) {
                    self.record_refusal(record.workspace.as_ref());
                    log::info!(
                        "event=job_refused job={id} cell={} delegated=true answer={refusal:?}",
                        self.name
                    );
                    return refusal;
                }
                self.ledger.insert(record.clone())
            }
        };
        let sender = (record.workspace.clone()).map_or(Caller::Open, Caller::Workspace);
        let response = self.await_stored(id, &sender, receiver, started).await;
        if response != CellResponse::Done {
            return response;
        }
        self.context.metrics.jobs_received.increment();
        let first_cell = self.context.view().cell_of_job(pool_of(&self.name), id);
        if let Some(first_cell) = first_cell {
            let mut table = self.siblings.table();
            table.record_received(&first_cell, self.context.clock.now());
        }
        // It may have been cancelled or withdrawn while it was being stored.
        match (self.core()).receive_delegated(&record, self.context.clock.wall_ms()) {
            DelegatedJob::Cancelled => CellResponse::Cancelled,
            _ => CellResponse::Done,
        }
    }

    /// Makes certain that a delegated job never runs here, unless it is stored here.
    pub(crate) async fn withdraw(self: &Arc<Self>, id: JobId, accepted_ms: u64) -> CellResponse {
        if let Some(receiver) = self.ledger.join(id) {
            match time::timeout(STORE_TIMEOUT, receiver).await {
                Ok(Ok(StoreResult::Stored | StoreResult::NotStored)) => {}
                _ => return CellResponse::Uncertain,
            }
        }
        let mut committed = self.ledger.committed();
        let now = self.context.clock.now();
        let wall_ms = self.context.clock.wall_ms();
        let result = self.core().withdraw(id, accepted_ms, now, wall_ms);
        log::info!(
            "event=job_withdrawn job={id} cell={} token={} result={result:?}",
            self.name,
            self.token
        );
        match result {
            Withdrawal::Known => return CellResponse::Done,
            Withdrawal::Expired => return CellResponse::Expired,
            Withdrawal::Refused => return store_refusal(),
            Withdrawal::Pending => {}
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
            Ok(()) = stored => CellResponse::NotFound,
            _ = closed.wait_for(|closed| *closed) => CellResponse::NotOwner,
            () = time::sleep(STORE_TIMEOUT) => store_refusal(),
        }
    }
}
