//! Rows of a cell and of those that it absorbed, as a new owner reads them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::time::Duration;

use futures_util::future::try_join_all;
use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_jobs::ids::CellName;
use tanager_jobs::record::decode_record;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::CellCore;
use tanager_schedule::withheld_progress::progress_of_marked_job;
use tanager_site::store::RowName;
use tanager_site::store::RowVersion;
use tanager_site::store::TableRow;
use tanager_site::store::TableStore;
use tokio::time;

use crate::absorbed_rows::AbsorbedRows;
use crate::absorbed_rows::Absorption;
use crate::absorbed_rows::combine_rows;
use crate::ledger_batch::StoredRows;
use crate::progress_rows::LoadedProgress;
use crate::progress_rows::load_progress;
use crate::queue_statistics::STATISTICS_TABLE;
use crate::queue_statistics::read_statistics;
use crate::records::CellWorkersRecord;
use crate::records::JOB_TABLE;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LEDGER_WORKER_TABLE;
use crate::records::LedgerRecord;
use crate::records::LedgerWorker;
use crate::records::PROGRESS_TABLE;
use crate::records::QueueStatistics;
use crate::records::WORKERS_KEY;
use crate::stored_workers::StoredWorkers;
use crate::unstorable_rows::RowUnit;

/// Time limit of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of attempts to read the cell's rows after it was acquired.
const MAX_READ_ATTEMPTS: u32 = 20;
/// Pause between two attempts.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Stored rows of a cell and of those that were merged into it.
pub(crate) struct CellRows {
    /// Workers on which former owners may have runs.
    pub(crate) workers: Vec<LedgerWorker>,
    /// Rows of workers in the part of the cell itself.
    pub(crate) stored_workers: StoredWorkers,
    /// Marks of jobs whose progress the store rejected.
    pub(crate) marks: BTreeMap<JobId, JobState>,
    /// Marks in the ledger row of the cell itself.
    pub(crate) own_marks: BTreeMap<JobId, JobState>,
    pub(crate) learned: BTreeMap<String, QueueStatistics>,
    pub(crate) ledger_version: RowVersion,
    /// Names of the rows of absorbed cells beside those of jobs.
    pub(crate) obsolete: Vec<RowName>,
    pub(crate) jobs: AbsorbedRows,
    pub(crate) progress: LoadedProgress,
}

/// Stored rows in the part of one cell.
struct PartRows {
    ledger: Vec<TableRow>,
    workers: Vec<TableRow>,
    statistics: Vec<TableRow>,
    jobs: Vec<TableRow>,
    progress: Vec<TableRow>,
}

/// Returns what the rows of a cell have, for its ledger.
pub(crate) fn take_stored(rows: &mut CellRows, now: Duration) -> StoredRows {
    let mut stored = StoredRows {
        workers: std::mem::take(&mut rows.stored_workers),
        marks: std::mem::take(&mut rows.own_marks),
        progress: std::mem::take(&mut rows.progress.table),
        obsolete: std::mem::take(&mut rows.progress.obsolete).into(),
        ..StoredRows::default()
    };
    for id in rows.marks.keys() {
        let unit = RowUnit::Progress(*id);
        stored.unstorable.add_set_aside(unit, now);
    }
    stored
}

/// Reads the rows of a cell and of those that were merged into it, which the previous owners can no
/// longer change.
pub(crate) async fn read_cell(
    store: &TableStore,
    name: &CellName,
    absorbed: &[CellName],
) -> TanagerResult<CellRows> {
    let mut attempts = 0;
    loop {
        let parts = [name].into_iter().chain(absorbed);
        let parts = try_join_all(parts.map(|part| read_part(store, part))).await;
        let result = parts.and_then(|parts| combine_parts(name, parts));
        attempts += 1;
        match result {
            Err(error) if attempts < MAX_READ_ATTEMPTS => {
                log::warn!("event=cell_read_failed cell={name} tries={attempts} error={error:?}");
                time::sleep(READ_RETRY_PAUSE).await;
            }
            result => return result,
        }
    }
}

async fn read_part(store: &TableStore, name: &str) -> TanagerResult<PartRows> {
    let (ledger, workers, statistics, jobs, progress) = tokio::join!(
        store.all_rows(LEDGER_TABLE, name, CALL_TIMEOUT),
        store.all_rows(LEDGER_WORKER_TABLE, name, CALL_TIMEOUT),
        store.all_rows(STATISTICS_TABLE, name, CALL_TIMEOUT),
        store.all_rows(JOB_TABLE, name, CALL_TIMEOUT),
        store.all_rows(PROGRESS_TABLE, name, CALL_TIMEOUT),
    );
    Ok(PartRows {
        ledger: ledger?.0,
        workers: workers?.0,
        statistics: statistics?.0,
        jobs: jobs?.0,
        progress: progress?.0,
    })
}

/// Combines the rows of a cell, which come first, with those of the cells that it absorbed. What a cell
/// before knows of a worker, a queue or a job is newer.
fn combine_parts(name: &str, parts: Vec<PartRows>) -> TanagerResult<CellRows> {
    let mut combined = CellRows {
        workers: Vec::new(),
        stored_workers: StoredWorkers::default(),
        marks: BTreeMap::new(),
        own_marks: BTreeMap::new(),
        learned: BTreeMap::new(),
        ledger_version: 0,
        obsolete: Vec::new(),
        jobs: combine_rows(Vec::new()),
        progress: LoadedProgress::default(),
    };
    let (mut jobs, mut progress) = (Vec::new(), Vec::new());
    for (position, part) in parts.into_iter().enumerate() {
        let find = |key: &str| part.ledger.iter().find(|row| row.name.key == key);
        let (record, version) = match find(LEDGER_KEY) {
            None => (LedgerRecord::default(), 0),
            Some(row) => (decode_record(name, &row.value)?, row.version),
        };
        let legacy_row: Option<CellWorkersRecord> = (find(WORKERS_KEY))
            .map(|row| decode_record(name, &row.value))
            .transpose()?;
        let rows: Vec<LedgerWorker> = (part.workers.iter())
            .map(|row| decode_record(&row.name.key, &row.value))
            .collect::<TanagerResult<_>>()?;
        let mut of_part = CellWorkersRecord {
            workers: rows.clone(),
            learned: read_statistics(&part.statistics),
        };
        let has_legacy_row = legacy_row.is_some();
        of_part.add_absorbed(legacy_row.unwrap_or_default());
        of_part.add_absorbed(CellWorkersRecord {
            workers: record.workers.clone(),
            learned: record.learned,
        });
        if position == 0 {
            combined.ledger_version = version;
            combined.own_marks.clone_from(&record.withheld);
            combined.stored_workers = StoredWorkers::new(rows, record.workers, has_legacy_row);
        } else {
            let tables = [part.ledger, part.workers, part.statistics];
            (combined.obsolete).extend(tables.into_iter().flatten().map(|row| row.name));
        }
        let mut workers = CellWorkersRecord {
            workers: std::mem::take(&mut combined.workers),
            learned: std::mem::take(&mut combined.learned),
        };
        workers.add_absorbed(of_part);
        (combined.workers, combined.learned) = (workers.workers, workers.learned);
        for (id, state) in record.withheld {
            combined.marks.entry(id).or_insert(state);
        }
        jobs.push(part.jobs);
        progress.push(part.progress);
    }
    combined.jobs = combine_rows(jobs);
    combined.progress = load_progress(progress);
    Ok(combined)
}

/// Plans to copy the rows of absorbed cells into the part of this one. A row that cannot be decoded is
/// kept where it is.
pub(crate) fn plan_absorption(core: &mut CellCore, rows: &CellRows) -> Absorption {
    let (jobs, progress) = (&rows.jobs, &rows.progress);
    let mut kept = HashSet::new();
    let mut copies = Vec::new();
    for row in &jobs.current[jobs.own..] {
        match row
            .name
            .key
            .parse()
            .is_ok_and(|id| core.record(id).is_some())
        {
            true => copies.push((row.name.key.clone(), row.value.clone())),
            false => _ = kept.insert(row.name.clone()),
        }
    }
    let mut unsaved = BTreeSet::new();
    for (job, names) in &progress.absorbed {
        let is_readable = progress.readable.contains(job);
        match job.parse() {
            Ok(id) if is_readable && core.mark_unsaved(id) => _ = unsaved.insert(id),
            _ => kept.extend(names.iter().cloned()),
        }
    }
    let obsolete = (jobs.obsolete.iter().chain(&progress.absorbed_rows))
        .filter(|row| !kept.contains(*row))
        .chain(&rows.obsolete)
        .cloned()
        .collect();
    Absorption::new(copies, unsaved, obsolete)
}

/// Loads the jobs; returns the number of loaded jobs and of rows that could not be decoded. Rows and progress that
/// are not needed any more are dropped on the way, since they take as much memory as the jobs.
pub(crate) fn load_jobs(
    core: &mut CellCore,
    rows: &mut CellRows,
    absorbed: &[CellName],
    now: Duration,
    wall_ms: u64,
) -> (usize, usize) {
    let mut skipped = 0;
    let mut progress = rows.progress.take_jobs();
    for (job, problem) in &rows.progress.unreadable {
        skipped += 1;
        log::error!("event=row_skipped table={PROGRESS_TABLE} key={job:?} error={problem:?}");
        // Tasks that are done must not run again, and nothing tells which they are.
        let failed = ProgressRecord {
            state: JobState::Failed,
            ended_ms: wall_ms,
            ..ProgressRecord::default()
        };
        progress.insert(job.clone(), failed);
    }
    let marked = rows.marks.keys().map(JobId::to_string);
    let keys: BTreeSet<String> = progress.keys().cloned().chain(marked).collect();
    let mut take_progress = |key: &str, spec: Option<&JobSpec>| {
        let stored = progress.remove(key).unwrap_or_default();
        let mark = (key.parse().ok()).and_then(|id: JobId| rows.marks.get(&id).copied());
        let Some(mark) = mark else {
            return stored;
        };
        let progress = progress_of_marked_job(spec, stored, mark, wall_ms);
        let state = progress.state;
        log::warn!("event=marked_job_loaded job={key} mark={mark:?} state={state:?}");
        progress
    };
    let mut loaded = 0;
    let own = rows.jobs.own;
    for (position, row) in rows.jobs.current.iter_mut().enumerate() {
        let record = decode_record::<JobRecord>(&row.name.key, &row.value);
        if position < own && record.is_ok() {
            row.value = Vec::new();
        }
        match record {
            Ok(record) => {
                let progress = take_progress(&row.name.key, Some(&record.spec));
                core.load_job(record, &progress, now, wall_ms);
                loaded += 1;
            }
            Err(error) => match decode_record::<DelegationRecord>(&row.name.key, &row.value) {
                Ok(record) => {
                    let progress = take_progress(&row.name.key, Some(&record.job.spec));
                    match absorbed.contains(&record.delegated_to) {
                        // The row of the job itself would be in the same part, or in one that no
                        // owner changes any more.
                        true => core.load_job(record.job, &progress, now, wall_ms),
                        false => core.load_delegation(record, &progress, wall_ms),
                    }
                    loaded += 1;
                }
                Err(_) => {
                    skipped += 1;
                    log::error!("event=row_skipped table={JOB_TABLE} error={error:?}");
                }
            },
        }
    }
    // What remains is of jobs that were never accepted.
    for key in keys {
        if let Ok(id) = key.parse::<JobId>()
            && core.record(id).is_none()
        {
            core.load_early_cancellation(id, &take_progress(&key, None));
        }
    }
    for (id, mark) in &rows.marks {
        core.load_mark(*id, *mark);
    }
    (loaded, skipped)
}
