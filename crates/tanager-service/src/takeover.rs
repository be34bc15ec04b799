//! Takes a cell and loads it; gives it up.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::ProgressRecord;
use tanager_jobs::ids::CellName;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::CellCore;
use tanager_schedule::CellSettings;
use tanager_schedule::durations::QueueDuration;
use tanager_site::store::ChangeResult;
use tanager_site::store::RowVersion;
use tanager_site::store::TableChange;
use tokio::time;

use crate::cell::CellHandle;
use crate::coordinator;
use crate::ledger::LedgerVersions;
use crate::node::NodeContext;
use crate::records::CELL_TABLE;
use crate::records::COORDINATOR_CELL;
use crate::records::JOB_TABLE;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LedgerRecord;
use crate::records::OWNER_KEY;
use crate::records::OwnerRecord;
use crate::records::PROGRESS_TABLE;
use crate::records::cell_row;
use crate::records::pool_of;
use crate::table_watch;

/// Time limit of the calls of a takeover.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Tries of the reads after the cell was taken.
const READ_TRIES: u32 = 20;
/// Pause between them.
const READ_PAUSE: Duration = Duration::from_millis(150);
/// Longest lease. Leases outlast the detection of a dead owner and the takeover.
const LONGEST_LEASE: Duration = Duration::from_millis(6_000);
/// Share of the platform's longest lease that is used.
const LEASE_SHARE: f64 = 0.95;
/// An owner without a confirmed beat extends leases for at most this long. A node is taken for
/// dead after less.
pub const UNCONFIRMED_LIMIT: Duration = Duration::from_millis(4_000);
/// Longest time for jobs that are being stored before a cell is given up.
const HANDOVER_LIMIT: Duration = Duration::from_millis(600);
/// Pause between two looks whether they are stored.
const HANDOVER_PAUSE: Duration = Duration::from_millis(10);

/// Takes a cell: writes the owner row, loads the jobs and starts the cell.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] when another node took it; other kinds when the store does not answer.
pub async fn acquire_cell(
    context: &Arc<NodeContext>,
    name: &CellName,
) -> TanagerResult<Arc<CellHandle>> {
    let before = context.view().owners.get(name).cloned().unwrap_or_default();
    let was_released = before.record.node.is_empty();
    let version = write_owner(context, name, before.version).await?;
    let began = context.clock.now();
    log::info!(
        "event=cell_taken cell={name} token={version} before={:?} before_version={}",
        before.record,
        before.version
    );
    context.metrics.cells_taken.increment();
    let record = own_owner_record(context);
    context.view().apply_owner(name, record, version);
    let (loaded, ()) = tokio::join!(
        read_cell(context, name),
        table_watch::refresh_workers(context)
    );
    let loaded = loaded?;
    let now = context.clock.now();
    let wall_ms = context.clock.wall_ms();
    let mut core = CellCore::new(cell_settings(context));
    let (jobs, skipped) = load_jobs(&mut core, &loaded, now, wall_ms);
    for (queue, learned) in &loaded.ledger.learned {
        let duration = QueueDuration {
            mean: learned.mean,
            ratio: learned.ratio,
        };
        core.restore_queue_statistics(queue, duration, learned.work);
    }
    let pool = pool_of(name).to_owned();
    let former: Vec<_> = (loaded.ledger.workers.iter())
        .map(|worker| worker.placeholder_entry(&pool))
        .collect();
    core.await_former_workers(&former, was_released, now);
    let listed = context.view().workers_of(name);
    let missing: Vec<_> = (former.iter())
        .filter(|entry| !listed.iter().any(|other| other.worker == entry.worker))
        .cloned()
        .collect();
    // Former workers that are not listed are held too, so that their runs are known.
    let mut all = listed;
    all.extend(missing);
    core.sync_workers(&all, now);
    log::info!(
        "event=cell_loaded cell={name} token={version} jobs={jobs} skipped={skipped} \
         former_workers={} released={was_released} after={:?}",
        former.len(),
        now.saturating_sub(began)
    );
    let versions = LedgerVersions {
        owner: version,
        ledger: loaded.ledger_version,
    };
    let cell = CellHandle::spawn(Arc::clone(context), name.clone(), version, core, versions);
    cell.sync_queues();
    if name == COORDINATOR_CELL {
        tokio::spawn(coordinator::run(Arc::clone(&cell), before.version == 0));
    }
    Ok(cell)
}

/// Returns the figures of a cell.
fn cell_settings(context: &NodeContext) -> CellSettings {
    let bounds = &context.settings.bounds;
    CellSettings {
        lease: bounds.max_lease.mul_f64(LEASE_SHARE).min(LONGEST_LEASE),
        max_lease: bounds.max_lease,
        stale_owner_limit: UNCONFIRMED_LIMIT,
        max_stop: bounds.stop,
        retention: bounds.job_retention.mul_f64(1.5),
    }
}

fn own_owner_record(context: &NodeContext) -> OwnerRecord {
    OwnerRecord {
        node: context.settings.node.clone(),
        incarnation: context.incarnation,
        released_by: String::new(),
    }
}

/// Writes the owner row; resolves a lost answer by reading the row.
async fn write_owner(
    context: &NodeContext,
    name: &CellName,
    before: RowVersion,
) -> TanagerResult<RowVersion> {
    let row = cell_row(CELL_TABLE, name, OWNER_KEY);
    let record = own_owner_record(context);
    let change = TableChange {
        expect: vec![(row.clone(), before)],
        puts: vec![(row, encode_record(&record)?)],
        removals: Vec::new(),
    };
    match context.store.change(&change, CALL_TIMEOUT).await {
        Ok(ChangeResult::Committed(version)) => Ok(version),
        Ok(ChangeResult::Conflict(rows)) => {
            for row in &rows {
                apply_owner_row(context, name, &row.value, row.version);
            }
            let error = "another node took the cell";
            Err(TanagerError::new(
                ErrorKind::Conflict,
                "take cell",
                name.clone(),
                error,
            ))
        }
        Err(error) if matches!(error.kind, ErrorKind::Unknown | ErrorKind::Timeout) => {
            let page = context
                .store
                .rows(CELL_TABLE, name, None, CALL_TIMEOUT)
                .await?;
            let found = page.rows.iter().find(|row| row.name.key == OWNER_KEY);
            let found = found.ok_or_else(|| error.clone())?;
            apply_owner_row(context, name, &found.value, found.version);
            match decode_record::<OwnerRecord>(name, &found.value)? == record {
                true if found.version > before => Ok(found.version),
                _ => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}

/// Takes an owner row into the view.
pub fn apply_owner_row(context: &NodeContext, cell: &str, value: &[u8], version: RowVersion) {
    match decode_record::<OwnerRecord>(cell, value) {
        Ok(record) => context.view().apply_owner(cell, record, version),
        Err(error) => {
            context.metrics.rows_skipped.increment();
            log::warn!("event=row_skipped table={CELL_TABLE} cell={cell} error={error:?}");
        }
    }
}

/// Rows of a cell.
struct CellRows {
    ledger: LedgerRecord,
    ledger_version: RowVersion,
    jobs: Vec<tanager_site::store::TableRow>,
    progress: Vec<tanager_site::store::TableRow>,
}

/// Reads the rows of a cell. The old owner cannot change them any more.
async fn read_cell(context: &NodeContext, name: &str) -> TanagerResult<CellRows> {
    let mut tries = 0;
    loop {
        let result = read_cell_once(context, name).await;
        tries += 1;
        match result {
            Err(error) if tries < READ_TRIES => {
                log::warn!("event=cell_read_failed cell={name} tries={tries} error={error:?}");
                time::sleep(READ_PAUSE).await;
            }
            result => return result,
        }
    }
}

async fn read_cell_once(context: &NodeContext, name: &str) -> TanagerResult<CellRows> {
    let store = &context.store;
    let (ledger, jobs, progress) = tokio::join!(
        store.all_rows(LEDGER_TABLE, name, CALL_TIMEOUT),
        store.all_rows(JOB_TABLE, name, CALL_TIMEOUT),
        store.all_rows(PROGRESS_TABLE, name, CALL_TIMEOUT),
    );
    let (ledger, _) = ledger?;
    let row = ledger.into_iter().find(|row| row.name.key == LEDGER_KEY);
    let (ledger, ledger_version) = match row {
        None => (LedgerRecord::default(), 0),
        Some(row) => (decode_record(name, &row.value)?, row.version),
    };
    Ok(CellRows {
        ledger,
        ledger_version,
        jobs: jobs?.0,
        progress: progress?.0,
    })
}

/// Loads the jobs; returns how many were loaded and how many rows could not be read.
fn load_jobs(core: &mut CellCore, rows: &CellRows, now: Duration, wall_ms: u64) -> (usize, usize) {
    let mut skipped = 0;
    let mut progress: HashMap<&str, ProgressRecord> = HashMap::new();
    for row in &rows.progress {
        match decode_record(&row.name.key, &row.value) {
            Ok(record) => {
                progress.insert(&row.name.key, record);
            }
            Err(error) => {
                skipped += 1;
                log::error!("event=row_skipped table={PROGRESS_TABLE} error={error:?}");
            }
        }
    }
    let mut loaded = 0;
    for row in &rows.jobs {
        match decode_record::<JobRecord>(&row.name.key, &row.value) {
            Ok(record) => {
                let progress = progress.remove(row.name.key.as_str()).unwrap_or_default();
                core.load_job(record, &progress, now, wall_ms);
                loaded += 1;
            }
            Err(error) => {
                skipped += 1;
                log::error!("event=row_skipped table={JOB_TABLE} error={error:?}");
            }
        }
    }
    (loaded, skipped)
}

/// Hands a cell over: nothing new is started or accepted, and the owner row is emptied.
pub async fn release_cell(cell: &Arc<CellHandle>) {
    let context = &cell.context;
    cell.pause();
    // Jobs that are being stored are answered first. Ends that are not stored are still listed by
    // the workers, and the new owner's token settles orders that are under way.
    let limit = context.clock.now() + HANDOVER_LIMIT;
    while cell.ledger.is_busy() && context.clock.now() < limit && !cell.is_closed() {
        time::sleep(HANDOVER_PAUSE).await;
    }
    if cell.is_closed() {
        return;
    }
    let row = cell_row(CELL_TABLE, &cell.name, OWNER_KEY);
    let record = OwnerRecord {
        released_by: context.settings.node.clone(),
        ..OwnerRecord::default()
    };
    let value = match encode_record(&record) {
        Ok(value) => value,
        Err(error) => {
            log::error!("event=record_not_encoded error={error:?}");
            return;
        }
    };
    let change = TableChange {
        expect: vec![(row.clone(), cell.token)],
        puts: vec![(row, value)],
        removals: Vec::new(),
    };
    let result = context.store.change(&change, CALL_TIMEOUT).await;
    log::info!("event=cell_released cell={} result={result:?}", cell.name);
    cell.close("handed over");
}
