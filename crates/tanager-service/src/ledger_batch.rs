//! The content of a ledger transaction: which rows it writes, within the limits of the store.

use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::CellCore;
use tanager_schedule::WorkerKey;
use tanager_schedule::delegation_table::DelegationChange;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::persistence::EndWatermarks;
use tanager_site::store::TableChange;

use crate::absorption::CopiedRow;
use crate::batch_limits::BatchLimits;
use crate::batch_limits::BatchRoom;
use crate::cell::CellHandle;
use crate::ledger::LedgerVersions;
use crate::records::CELL_TABLE;
use crate::records::CellWorkersRecord;
use crate::records::JOB_TABLE;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LedgerRecord;
use crate::records::LedgerWorker;
use crate::records::OWNER_KEY;
use crate::records::PROGRESS_TABLE;
use crate::records::WORKERS_KEY;
use crate::records::cell_row;

/// Maximum number of expired jobs removed in one transaction; each has two rows.
const MAX_EXPIRED_JOBS: usize = 20;
/// One transaction, with the state changes that it stores.
pub(crate) struct LedgerBatch {
    pub(crate) change: TableChange,
    pub(crate) sequence: u64,
    pub(crate) inserts: Vec<JobRecord>,
    /// Rows of jobs copied from cells that were merged into this one.
    pub(crate) copies: Vec<CopiedRow>,
    pub(crate) dirty: Vec<DirtyJob>,
    pub(crate) delegations: Vec<DelegationChange>,
    pub(crate) watermarks: EndWatermarks,
    pub(crate) registered: Vec<WorkerKey>,
    /// Row with the workers, if the transaction writes it.
    pub(crate) workers: Option<CellWorkersRecord>,
}

/// Row with the workers as this owner last stored it.
#[derive(Debug, Default)]
pub(crate) struct StoredWorkers {
    record: Option<CellWorkersRecord>,
}

impl StoredWorkers {
    /// Returns whether the row must be written.
    fn must_write(&self, record: &CellWorkersRecord) -> bool {
        self.record.as_ref() != Some(record)
    }

    pub(crate) fn record(&mut self, record: CellWorkersRecord) {
        self.record = Some(record);
    }
}

/// Builds the next transaction; `None` if there is nothing to store.
pub(crate) fn build_batch(
    cell: &CellHandle,
    versions: LedgerVersions,
    limits: BatchLimits,
    stored_workers: &StoredWorkers,
    sequence: u64,
) -> Option<LedgerBatch> {
    let name = &cell.name;
    let mut core = cell.core();
    let mut state = cell.ledger.lock();
    let now = cell.context.clock.now();
    let registered = core.unregistered_workers(now);
    let wall_ms = cell.context.clock.wall_ms();
    let expired = match cell.absorption().is_complete() {
        true => core.remove_expired(wall_ms, MAX_EXPIRED_JOBS),
        false => Vec::new(),
    };
    let mut absorption = cell.absorption();
    let has_work = !state.inserts.is_empty()
        || absorption.has_copies()
        || core.has_dirty()
        || core.has_unstored_ends()
        || !registered.is_empty()
        || !expired.is_empty();
    if !has_work {
        return None;
    }
    let mut change = TableChange {
        expect: vec![
            (cell_row(CELL_TABLE, name, OWNER_KEY), versions.owner),
            (cell_row(LEDGER_TABLE, name, LEDGER_KEY), versions.ledger),
        ],
        ..TableChange::default()
    };
    for id in &expired {
        let key = id.to_string();
        change.removals.push(cell_row(JOB_TABLE, name, &key));
        change.removals.push(cell_row(PROGRESS_TABLE, name, &key));
    }
    let record = LedgerRecord {
        sequence,
        writer: cell.context.incarnation,
        ..LedgerRecord::default()
    };
    let mut rows = vec![(LEDGER_KEY, encode_or_log(&record)?)];
    let workers = workers_record(&mut core, now);
    let writes_workers = stored_workers.must_write(&workers);
    if writes_workers {
        rows.push((WORKERS_KEY, encode_or_log(&workers)?));
    }
    let fixed_entries = change.expect.len() + change.removals.len() + rows.len();
    let fixed_bytes = rows.iter().map(|(_, value)| value.len()).sum();
    let mut room = limits.room(fixed_entries, fixed_bytes);
    for (key, value) in rows {
        change.puts.push((cell_row(LEDGER_TABLE, name, key), value));
    }
    let mut inserts = Vec::new();
    while let Some(record) = state.inserts.pop_front() {
        let Some(value) = encode_or_log(&record) else {
            continue;
        };
        if !room.add(value.len()) {
            state.inserts.push_front(record);
            break;
        }
        let row = cell_row(JOB_TABLE, name, &record.id.to_string());
        change.puts.push((row, value));
        inserts.push(record);
    }
    let copies = absorption.take_copies(|size| room.add(size));
    for (key, value) in &copies {
        change
            .puts
            .push((cell_row(JOB_TABLE, name, key), value.clone()));
    }
    let delegations = add_delegations(name, &mut core, &mut change, &mut room);
    let (limit, mut rows) = (room.entries(), Vec::new());
    let add = |job: &DirtyJob| {
        let value = encode_or_log(&job.progress).filter(|value| room.add(value.len()));
        let row = cell_row(PROGRESS_TABLE, name, &job.id.to_string());
        let is_added = value.is_some();
        rows.extend(value.map(|value| (row, value)));
        is_added
    };
    let (dirty, watermarks) = core.take_dirty_of(limit, |_| true, add);
    change.puts.append(&mut rows);
    Some(LedgerBatch {
        change,
        sequence,
        inserts,
        copies,
        dirty,
        delegations,
        watermarks,
        registered,
        workers: writes_workers.then_some(workers),
    })
}

/// Adds the changes of delegations to a transaction, as far as there is room.
fn add_delegations(
    name: &str,
    core: &mut CellCore,
    change: &mut TableChange,
    room: &mut BatchRoom,
) -> Vec<DelegationChange> {
    let mut added = Vec::new();
    let mut deferred = Vec::new();
    for delegation in core.delegations.take_changes(room.entries() / 2) {
        let key = delegation.id.to_string();
        let job_row = cell_row(JOB_TABLE, name, &key);
        let progress_row = cell_row(PROGRESS_TABLE, name, &key);
        let record = delegation.record.as_ref().and_then(encode_or_log);
        let progress = delegation.progress.as_ref().and_then(encode_or_log);
        let size = record.as_ref().map_or(0, Vec::len) + progress.as_ref().map_or(0, Vec::len);
        if !(room.add(size) && room.add(0)) {
            deferred.push(delegation);
            continue;
        }
        change
            .puts
            .extend(record.map(|value| (job_row.clone(), value)));
        if delegation.is_removed {
            change.removals.push(job_row);
            if progress.is_none() {
                change.removals.push(progress_row.clone());
            }
        }
        (change.puts).extend(progress.map(|value| (progress_row, value)));
        added.push(delegation);
    }
    core.restore_delegations(&deferred, false);
    added
}

/// Builds the row with the workers of a cell.
fn workers_record(core: &mut CellCore, now: Duration) -> CellWorkersRecord {
    let mut workers: Vec<LedgerWorker> = (core.ledger_workers(now).iter())
        .map(|entry| LedgerWorker::from_entry(entry, core.ledger_capacity(entry)))
        .collect();
    workers.sort_by(|left, right| left.worker.cmp(&right.worker));
    CellWorkersRecord {
        workers,
        ..CellWorkersRecord::default()
    }
}

fn encode_or_log<T: serde::Serialize>(record: &T) -> Option<Vec<u8>> {
    let result: TanagerResult<Vec<u8>> = encode_record(record);
    result
        .inspect_err(|error| log::error!("event=record_not_encoded error={error:?}"))
        .ok()
}
