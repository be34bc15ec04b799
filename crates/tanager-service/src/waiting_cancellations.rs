//! Repeated cancellations of a node that wait for a call to the owner of their cell.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tanager_jobs::ids::CellName;
use tokio::sync::oneshot;

use crate::peers::CancelledJob;
use crate::peers::CellResponse;

/// Maximum number of cancellations in a call; the ledger stores them in one transaction.
const MAX_BATCH: usize = 64;

/// Cancellations that wait for a call, by cell. A cell has an entry while a task sends its calls.
#[derive(Debug, Default)]
pub(crate) struct CancellationBatches {
    waiting: Mutex<BTreeMap<CellName, VecDeque<WaitingCancellation>>>,
}

/// A cancellation that waits for a call.
#[derive(Debug)]
pub(crate) struct WaitingCancellation {
    pub(crate) job: CancelledJob,
    pub(crate) response: oneshot::Sender<CellResponse>,
}

impl CancellationBatches {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<CellName, VecDeque<WaitingCancellation>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a cancellation; returns whether the cell has no task that sends it.
    pub(crate) fn add(&self, cell: &CellName, cancellation: WaitingCancellation) -> bool {
        let mut waiting = self.lock();
        let is_first = !waiting.contains_key(cell);
        waiting
            .entry(cell.clone())
            .or_default()
            .push_back(cancellation);
        is_first
    }

    /// Takes the next batch of a cell. If there is none, the cell's entry is removed.
    pub(crate) fn take(&self, cell: &CellName) -> Vec<WaitingCancellation> {
        let mut waiting = self.lock();
        let Some(queue) = waiting.get_mut(cell) else {
            return Vec::new();
        };
        let count = queue.len().min(MAX_BATCH);
        let batch: Vec<WaitingCancellation> = queue.drain(..count).collect();
        if batch.is_empty() {
            waiting.remove(cell);
        }
        batch
    }
}
