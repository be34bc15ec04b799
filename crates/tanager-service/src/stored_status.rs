//! Status of a job as its stored rows give it, for questions that no owner answers.
//!
//! The rows say what the last transactions of the cell stored. A job whose end they have has ended for good;
//! one that has not ended may have got further.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ProgressRecord;
use tanager_jobs::ids::CellName;
use tanager_jobs::record::decode_record;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::read_budget::ReadBudget;
use tanager_site::job_api::JobStatus;
use tanager_site::store::TableRow;
use tanager_site::store::TableStore;

use crate::authentication::JobOwnership;
use crate::records::JOB_TABLE;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LedgerRecord;
use crate::records::PROGRESS_TABLE;
use crate::records::cell_row;

/// Reads for the status of a job in one cell.
const READS: u32 = 3;

/// Rows of a job in the part of one cell.
#[derive(Clone, Debug, Default)]
pub struct StoredJob {
    /// The job.
    pub job: Option<TableRow>,
    /// Its progress, without the rows of tasks.
    pub progress: Option<TableRow>,
    /// The ledger row of the cell, which marks jobs whose progress the store rejects.
    pub ledger: Option<TableRow>,
}

/// Reads of jobs from the store.
#[derive(Debug)]
pub(crate) struct StoredReads(Mutex<ReadBudget>);

impl StoredReads {
    pub(crate) fn new(now: Duration) -> Self {
        Self(Mutex::new(ReadBudget::new(now)))
    }

    /// Returns whether the rows of a job may be read now.
    pub(crate) fn take(&self, rate: f64, nodes: usize, now: Duration) -> bool {
        let mut budget = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(READS, rate, nodes, now)
    }
}

/// Reads the rows of a job in the part of a cell.
pub(crate) async fn read_job(
    store: &TableStore,
    cell: &CellName,
    id: JobId,
    timeout: Duration,
) -> TanagerResult<StoredJob> {
    let key = id.to_string();
    let names = [
        cell_row(JOB_TABLE, cell, &key),
        cell_row(PROGRESS_TABLE, cell, &key),
        cell_row(LEDGER_TABLE, cell, LEDGER_KEY),
    ];
    let (job, progress, ledger) = tokio::join!(
        store.row(&names[0], timeout),
        store.row(&names[1], timeout),
        store.row(&names[2], timeout)
    );
    Ok(StoredJob {
        job: job?,
        progress: progress?,
        ledger: ledger?,
    })
}

/// Determines the status of a job from its rows, and to whom it belongs; `None` if they do not tell: the
/// cell does not have the job, has delegated it, or a row cannot be decoded.
pub fn status_of_rows(id: JobId, rows: &StoredJob) -> Option<(JobOwnership, JobStatus)> {
    let row = rows.job.as_ref()?;
    let record: JobRecord = match decode_record(&row.name.key, &row.value) {
        Ok(record) => record,
        Err(error) => {
            if decode_record::<DelegationRecord>(&row.name.key, &row.value).is_err() {
                log::warn!("event=row_not_read table={JOB_TABLE} error={error:?}");
            }
            return None;
        }
    };
    let progress: Option<ProgressRecord> = decode(rows.progress.as_ref())?;
    let ledger: Option<LedgerRecord> = decode(rows.ledger.as_ref())?;
    let mark = ledger.and_then(|ledger| ledger.withheld.get(&id).copied());
    let ends = [mark, progress.as_ref().map(|progress| progress.state)];
    let end = (ends.into_iter().flatten()).find(|state| *state != JobState::Open);
    let status = match end {
        Some(JobState::Completed) => JobStatus::Completed,
        Some(JobState::Failed) => JobStatus::Failed,
        Some(JobState::Cancelled) => JobStatus::Cancelled,
        Some(JobState::Open) | None if progress.is_some() || mark.is_some() => JobStatus::Running,
        Some(JobState::Open) | None => JobStatus::Queued,
    };
    let ownership = JobOwnership {
        queue: record.queue,
        workspace: record.workspace,
    };
    Some((ownership, status))
}

/// Decodes a row if there is one; `None` if that fails.
fn decode<T: for<'a> serde::Deserialize<'a>>(row: Option<&TableRow>) -> Option<Option<T>> {
    let Some(row) = row else {
        return Some(None);
    };
    match decode_record(&row.name.key, &row.value) {
        Ok(record) => Some(Some(record)),
        Err(error) => {
            log::warn!(
                "event=row_not_read table={} error={error:?}",
                row.name.table
            );
            None
        }
    }
}
