//! The content of a ledger transaction: which rows it writes, within the limits of the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::CellCore;
use tanager_schedule::WorkerKey;
use tanager_schedule::delegation_table::DelegationChange;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::persistence::EndWatermarks;
use tanager_site::store::RowName;
use tanager_site::store::RowVersion;
use tanager_site::store::TableChange;

use crate::absorbed_rows::Absorption;
use crate::absorbed_rows::CopiedRow;
use crate::batch_limits::BatchLimits;
use crate::batch_limits::BatchRoom;
use crate::ledger::LedgerVersions;
use crate::progress_rows::ProgressRow;
use crate::progress_rows::ProgressTable;
use crate::progress_rows::ProgressWrite;
use crate::records::CELL_TABLE;
use crate::records::Incarnation;
use crate::records::JOB_TABLE;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LEDGER_WORKER_TABLE;
use crate::records::LedgerRecord;
use crate::records::LedgerWorker;
use crate::records::OWNER_KEY;
use crate::records::PROGRESS_TABLE;
use crate::records::WORKERS_KEY;
use crate::records::cell_row;
use crate::stored_workers::StoredWorkers;
use crate::stored_workers::WorkerChanges;
use crate::unstorable_rows::RejectedRows;
use crate::unstorable_rows::RowSelection;
use crate::unstorable_rows::RowUnit;
use crate::unstorable_rows::UnstorableRows;

/// Maximum number of expired jobs removed in one transaction; each has two rows.
const MAX_EXPIRED_JOBS: usize = 20;
/// Maximum number of rows removed in one transaction that are not needed any more.
const MAX_OBSOLETE_ROWS: usize = 20;
/// Maximum number of jobs that the ledger row marks. The ends of further ones are not acknowledged.
const MAX_MARKS: usize = 64;
/// Size of a mark in the ledger row, which every transaction writes.
const MARK_BYTES: usize = 40;
/// Number of rejections after which a job is marked. One alone may be a passing fault of the store.
const REJECTIONS_BEFORE_MARK: u32 = 2;

/// What identifies the transactions of an owner.
#[derive(Clone, Debug)]
pub(crate) struct LedgerWriter {
    /// Name of the cell.
    pub(crate) cell: String,
    /// Process of the owner.
    pub(crate) incarnation: Incarnation,
    pub(crate) versions: LedgerVersions,
    /// Number of the last transaction.
    pub(crate) sequence: u64,
}

/// What the rows of a cell have, as far as it decides what is to be written.
#[derive(Debug, Default)]
pub(crate) struct StoredRows {
    pub(crate) workers: StoredWorkers,
    /// Marks in the ledger row.
    pub(crate) marks: BTreeMap<JobId, JobState>,
    /// Rows of jobs whose progress is divided.
    pub(crate) progress: ProgressTable,
    /// Keys of rows of progress that are not needed any more.
    pub(crate) obsolete: VecDeque<String>,
    /// Rows that the store rejects.
    pub(crate) unstorable: UnstorableRows,
}

/// What waits to be stored.
pub(crate) struct PendingRows<'a> {
    pub(crate) core: &'a mut CellCore,
    /// New jobs.
    pub(crate) inserts: &'a mut VecDeque<JobRecord>,
    pub(crate) absorption: &'a mut Absorption,
}

/// One transaction, with the state changes that it stores.
#[derive(Debug)]
pub(crate) struct LedgerBatch {
    pub(crate) change: TableChange,
    pub(crate) sequence: u64,
    pub(crate) selection: RowSelection,
    pub(crate) inserts: Vec<JobRecord>,
    /// Rows of jobs copied from cells that were merged into this one.
    pub(crate) copies: Vec<CopiedRow>,
    /// Jobs whose progress is stored completely.
    pub(crate) dirty: Vec<DirtyJob>,
    /// Rows of progress, also of jobs of which other rows are still to be stored.
    pub(crate) progress: Vec<ProgressWrite>,
    /// Number of rows that it removes of those not needed any more.
    pub(crate) obsolete: usize,
    pub(crate) delegations: Vec<DelegationChange>,
    pub(crate) watermarks: EndWatermarks,
    pub(crate) registered: Vec<WorkerKey>,
    pub(crate) workers: WorkerChanges,
    /// Whether no other changes of workers wait.
    pub(crate) stores_all_workers: bool,
    pub(crate) marks: BTreeMap<JobId, JobState>,
    /// Whether it removes rows that belong to none of its units.
    has_other_removals: bool,
}

impl LedgerBatch {
    /// Builds a transaction that writes only the ledger row, to find out whether the store takes any.
    pub(crate) fn probe(writer: &LedgerWriter, stored: &StoredRows) -> Option<Self> {
        let record = LedgerRecord {
            sequence: writer.sequence + 1,
            writer: writer.incarnation,
            withheld: stored.marks.clone(),
            workers: stored.workers.legacy().to_vec(),
            ..LedgerRecord::default()
        };
        let row = cell_row(LEDGER_TABLE, &writer.cell, LEDGER_KEY);
        let change = TableChange {
            expect: expectations(writer),
            puts: vec![(row, encode_or_log(&record)?)],
            removals: Vec::new(),
        };
        Some(Self {
            change,
            sequence: record.sequence,
            selection: RowSelection::Unsuspected,
            inserts: Vec::new(),
            copies: Vec::new(),
            dirty: Vec::new(),
            progress: Vec::new(),
            obsolete: 0,
            delegations: Vec::new(),
            watermarks: EndWatermarks::new(),
            registered: Vec::new(),
            workers: WorkerChanges::default(),
            stores_all_workers: false,
            marks: record.withheld,
            has_other_removals: false,
        })
    }

    /// Returns whether the transaction has nothing that could be left out but one row.
    pub(crate) fn is_single(&self) -> bool {
        let rejected = self.rejected();
        rejected.units.len() <= 1 && rejected.rows <= 1 && !rejected.has_others
    }

    /// Returns the units that the transaction stores.
    pub(crate) fn units(&self) -> BTreeSet<RowUnit> {
        let written = self.workers.written.iter().map(|worker| &worker.worker);
        let copies = self.copies.iter();
        (written.chain(&self.workers.removed))
            .map(|id| RowUnit::Worker(id.clone()))
            .chain(self.inserts.iter().map(|record| RowUnit::Job(record.id)))
            .chain(copies.map(|(key, _)| RowUnit::Copy(key.clone())))
            .chain((self.delegations.iter()).map(|change| RowUnit::Delegation(change.id)))
            .chain((self.progress.iter()).map(|write| RowUnit::Progress(write.id)))
            .collect()
    }

    /// Takes new jobs out of the transaction.
    pub(crate) fn take_inserts(&mut self, is_taken: impl Fn(&JobRecord) -> bool) -> Vec<JobRecord> {
        let taken: Vec<JobRecord> = self.inserts.extract_if(.., |job| is_taken(job)).collect();
        let keys: BTreeSet<String> = taken.iter().map(|record| record.id.to_string()).collect();
        let is_kept = |name: &RowName| name.table != JOB_TABLE || !keys.contains(&name.key);
        self.change.puts.retain(|(name, _)| is_kept(name));
        taken
    }

    /// Describes the transaction after its rejection.
    pub(crate) fn rejected(&self) -> RejectedRows {
        let units = self.units();
        let other_units = units.len() - self.progress.len();
        let progress_rows: usize = self.progress.iter().map(ProgressWrite::len).sum();
        RejectedRows {
            selection: self.selection.clone(),
            rows: other_units + progress_rows,
            units,
            has_others: self.has_other_removals,
        }
    }
}

/// Limits of the next transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WriteLimits {
    pub(crate) batch: BatchLimits,
    /// Maximum size of a row in bytes.
    pub(crate) row_bytes: usize,
}

/// Builds the next transaction of a cell; `None` if there is nothing to store.
pub(crate) fn build_batch(
    writer: &LedgerWriter,
    limits: WriteLimits,
    stored: &mut StoredRows,
    selection: RowSelection,
    pending: PendingRows<'_>,
    (now, wall_ms): (Duration, u64),
) -> Option<LedgerBatch> {
    let name = &writer.cell;
    let PendingRows {
        core,
        inserts: queue,
        absorption,
    } = pending;
    let is_unrestricted = selection == RowSelection::Unsuspected;
    let expired = match is_unrestricted && absorption.is_complete() {
        true => core.remove_expired(wall_ms, MAX_EXPIRED_JOBS),
        false => Vec::new(),
    };
    let has_work = !queue.is_empty()
        || !expired.is_empty()
        || absorption.has_copies()
        || has_unstored_state(core, stored, now);
    if is_unrestricted && !has_work {
        return None;
    }
    let mut change = TableChange {
        expect: expectations(writer),
        ..TableChange::default()
    };
    let obsolete = add_removals(name, expired, is_unrestricted, stored, &mut change);
    let mut has_other_removals = !change.removals.is_empty();
    let stored: &StoredRows = stored;
    let is_selected = |unit: RowUnit| stored.unstorable.is_selected(&selection, &unit);
    // One more for the ledger row, whose marks take a part of the bytes.
    let fixed_entries = change.expect.len() + change.removals.len() + 1;
    let mut room = limits.batch.room(fixed_entries, MAX_MARKS * MARK_BYTES);
    let is_worker_selected = |id: &str| is_selected(RowUnit::Worker(id.to_owned()));
    let current = current_workers(core, now);
    let wanted = stored.workers.changes(&current);
    let workers = add_workers(name, &wanted, is_worker_selected, &mut change, &mut room);
    let stores_all_workers = workers == wanted;
    if is_unrestricted && stores_all_workers && stored.workers.has_legacy_row() {
        let row = cell_row(LEDGER_TABLE, name, WORKERS_KEY);
        change.removals.push(row);
        has_other_removals = true;
    }
    let inserts = add_inserts(
        name,
        queue,
        |id| is_selected(RowUnit::Job(id)),
        &mut change,
        &mut room,
    );
    let is_copy_selected = |key: &str| is_selected(RowUnit::Copy(key.to_owned()));
    let copies = absorption.take_copies(is_copy_selected, |size| room.add(size));
    for (key, value) in &copies {
        let row = cell_row(JOB_TABLE, name, key);
        change.puts.push((row, value.clone()));
    }
    let is_delegation_selected = |id| is_selected(RowUnit::Delegation(id));
    let delegations = add_delegations(name, core, is_delegation_selected, &mut change, &mut room);
    let mut progress = Vec::new();
    let mut rows_left = selection.max_rows();
    let (limit, puts) = (room.entries(), &mut change.puts);
    let (dirty, watermarks) = core.take_dirty_of(
        limit,
        |id| is_selected(RowUnit::Progress(id)),
        |job| {
            let Some(rows) = plan_or_log(&stored.progress, job, limits.row_bytes) else {
                return false;
            };
            let mut count = 0;
            for row in &rows {
                if rows_left == 0 || !room.add(row.value.len()) {
                    break;
                }
                rows_left -= 1;
                count += 1;
                puts.push((cell_row(PROGRESS_TABLE, name, &row.key), row.value.clone()));
            }
            if count > 0 {
                progress.push(ProgressWrite::new(job.id, &job.progress, &rows, count));
            }
            count == rows.len()
        },
    );
    let marks = marks(core, stored, &dirty);
    let registered = registered_workers(core, stored, &workers, now);
    let is_empty = change.puts.is_empty()
        && change.removals.is_empty()
        && watermarks.is_empty()
        && registered.is_empty()
        && marks == stored.marks;
    if is_empty {
        return None;
    }
    let record = LedgerRecord {
        sequence: writer.sequence + 1,
        writer: writer.incarnation,
        withheld: marks.clone(),
        workers: match stores_all_workers {
            true => Vec::new(),
            false => stored.workers.legacy().to_vec(),
        },
        ..LedgerRecord::default()
    };
    let row = cell_row(LEDGER_TABLE, name, LEDGER_KEY);
    change.puts.insert(0, (row, encode_or_log(&record)?));
    Some(LedgerBatch {
        change,
        sequence: record.sequence,
        selection,
        inserts,
        copies,
        dirty,
        progress,
        obsolete,
        delegations,
        watermarks,
        registered,
        workers,
        stores_all_workers,
        marks,
        has_other_removals,
    })
}

/// Returns the conditions of each transaction.
fn expectations(writer: &LedgerWriter) -> Vec<(RowName, RowVersion)> {
    let owner = cell_row(CELL_TABLE, &writer.cell, OWNER_KEY);
    let ledger = cell_row(LEDGER_TABLE, &writer.cell, LEDGER_KEY);
    vec![
        (owner, writer.versions.owner),
        (ledger, writer.versions.ledger),
    ]
}

/// Returns whether a transaction may be needed for what the cell has learned. Cheaper than to build one.
fn has_unstored_state(core: &CellCore, stored: &StoredRows, now: Duration) -> bool {
    core.has_dirty()
        || core.has_unstored_ends()
        || !core.unregistered_workers(now).is_empty()
        || !stored.obsolete.is_empty()
        || marks(core, stored, &[]) != stored.marks
}

/// Removes the rows of expired jobs, and rows that are not needed any more; returns the number of the
/// latter.
fn add_removals(
    name: &str,
    expired: Vec<JobId>,
    is_unrestricted: bool,
    stored: &mut StoredRows,
    change: &mut TableChange,
) -> usize {
    for id in expired {
        let key = id.to_string();
        stored.obsolete.extend(stored.progress.remove(id));
        change.removals.push(cell_row(JOB_TABLE, name, &key));
        change.removals.push(cell_row(PROGRESS_TABLE, name, &key));
    }
    let limit = if is_unrestricted {
        MAX_OBSOLETE_ROWS
    } else {
        0
    };
    let obsolete = stored.obsolete.iter().take(limit);
    let rows: Vec<RowName> = obsolete
        .map(|key| cell_row(PROGRESS_TABLE, name, key))
        .collect();
    let count = rows.len();
    change.removals.extend(rows);
    count
}

/// Describes the workers of a cell on which it may have runs.
fn current_workers(core: &mut CellCore, now: Duration) -> Vec<LedgerWorker> {
    let entries = core.ledger_workers(now);
    (entries.iter())
        .map(|entry| LedgerWorker::from_entry(entry, core.ledger_capacity(entry)))
        .collect()
}

/// Returns the workers that may be used once the transaction is applied.
fn registered_workers(
    core: &CellCore,
    stored: &StoredRows,
    changes: &WorkerChanges,
    now: Duration,
) -> Vec<WorkerKey> {
    let is_stored = |key: &WorkerKey| {
        core.worker(*key).is_some_and(|worker| {
            let entry = &worker.entry;
            let row = LedgerWorker::from_entry(entry, core.ledger_capacity(entry));
            stored.workers.contains(&row) || changes.written.contains(&row)
        })
    };
    let mut registered = core.unregistered_workers(now);
    registered.retain(is_stored);
    registered
}

/// Returns the marks for the ledger row: of the jobs that keep theirs, and of those whose progress was
/// rejected repeatedly.
fn marks(core: &CellCore, stored: &StoredRows, dirty: &[DirtyJob]) -> BTreeMap<JobId, JobState> {
    let mut states = core.withheld_states();
    states.retain(|id, _| !dirty.iter().any(|job| job.id == *id));
    let (mut marks, others): (BTreeMap<_, _>, BTreeMap<_, _>) =
        (states.into_iter()).partition(|(id, _)| stored.marks.contains_key(id));
    let is_due = |id: JobId| {
        let rejections = stored.unstorable.rejections(&RowUnit::Progress(id));
        rejections >= REJECTIONS_BEFORE_MARK
    };
    let room = MAX_MARKS.saturating_sub(marks.len());
    marks.extend(
        (others.into_iter())
            .filter(|(id, _)| is_due(*id))
            .take(room),
    );
    marks
}

/// Adds the changes of workers, up to half of the entries.
fn add_workers(
    name: &str,
    wanted: &WorkerChanges,
    is_selected: impl Fn(&str) -> bool,
    change: &mut TableChange,
    room: &mut BatchRoom,
) -> WorkerChanges {
    let mut added = WorkerChanges::default();
    let limit = room.entries().div_ceil(2);
    for worker in &wanted.written {
        if added.written.len() >= limit || !is_selected(&worker.worker) {
            continue;
        }
        let value = encode_or_log(worker).filter(|value| room.add(value.len()));
        if let Some(value) = value {
            let row = cell_row(LEDGER_WORKER_TABLE, name, &worker.worker);
            change.puts.push((row, value));
            added.written.push(worker.clone());
        }
    }
    for id in &wanted.removed {
        if added.written.len() + added.removed.len() < limit && is_selected(id) && room.add(0) {
            let row = cell_row(LEDGER_WORKER_TABLE, name, id);
            change.removals.push(row);
            added.removed.push(id.clone());
        }
    }
    added
}

/// Adds new jobs, in their order, as far as there is room.
fn add_inserts(
    name: &str,
    queue: &mut VecDeque<JobRecord>,
    is_selected: impl Fn(JobId) -> bool,
    change: &mut TableChange,
    room: &mut BatchRoom,
) -> Vec<JobRecord> {
    let mut inserts = Vec::new();
    let mut left = VecDeque::new();
    while let Some(record) = queue.pop_front() {
        if !is_selected(record.id) {
            left.push_back(record);
            continue;
        }
        let value = encode_or_log(&record).filter(|value| room.add(value.len()));
        let Some(value) = value else {
            left.push_back(record);
            break;
        };
        let row = cell_row(JOB_TABLE, name, &record.id.to_string());
        change.puts.push((row, value));
        inserts.push(record);
    }
    left.append(queue);
    *queue = left;
    inserts
}

/// Adds the changes of delegations to a transaction, as far as there is room.
fn add_delegations(
    name: &str,
    core: &mut CellCore,
    is_selected: impl Fn(JobId) -> bool,
    change: &mut TableChange,
    room: &mut BatchRoom,
) -> Vec<DelegationChange> {
    let mut added = Vec::new();
    let mut deferred = Vec::new();
    let limit = room.entries().div_ceil(2);
    for delegation in core.delegations.take_changes(limit, is_selected) {
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

fn plan_or_log(
    table: &ProgressTable,
    job: &DirtyJob,
    row_bytes: usize,
) -> Option<Vec<ProgressRow>> {
    (table.plan(job.id, &job.progress, row_bytes))
        .inspect_err(|error| log::error!("event=record_not_encoded job={} error={error:?}", job.id))
        .ok()
}

fn encode_or_log<T: serde::Serialize>(record: &T) -> Option<Vec<u8>> {
    let result: TanagerResult<Vec<u8>> = encode_record(record);
    result
        .inspect_err(|error| log::error!("event=record_not_encoded error={error:?}"))
        .ok()
}
