//! Status of a job from its stored rows. Each test names the failure that it guards against.

use serde_json::Value;
use serde_json::json;
use tanager_jobs::JobId;
use tanager_service::stored_status::StoredJob;
use tanager_service::stored_status::status_of_rows;
use tanager_site::job_api::JobStatus;
use tanager_site::store::RowName;
use tanager_site::store::TableRow;

const ID: JobId = JobId(0x2a);

fn row(table: &str, value: &Value) -> Option<TableRow> {
    Some(TableRow {
        name: RowName {
            table: table.to_owned(),
            part: "entry/0".to_owned(),
            key: ID.to_string(),
        },
        value: value.to_string().into_bytes(),
        version: 7,
        deleted: false,
    })
}

fn job() -> Value {
    let step = json!({"count": 1, "request": {"cpu": 1_000, "memory_mb": 100}});
    json!({"id": ID, "queue": "host/entry/", "pool": "entry", "accepted_ms": 1, "max_attempts": 3,
           "spec": {"specification": "x", "steps": [step]}, "workspace": "records"})
}

fn stored(progress: Option<Value>, marks: Option<Value>) -> StoredJob {
    StoredJob {
        job: row("job", &job()),
        progress: progress.and_then(|value| row("progress", &value)),
        ledger: marks.and_then(|marks| row("ledger", &json!({"sequence": 3, "withheld": marks}))),
    }
}

fn status(rows: &StoredJob) -> Option<JobStatus> {
    status_of_rows(ID, rows).map(|(_, status)| status)
}

macro_rules! status_cases {
    ($($(#[$note:meta])* $case:ident: $progress:expr, $marks:expr => $status:expr;)*) => {
        $($(#[$note])*
        #[test]
        fn $case() {
            assert_eq!(status(&stored($progress, $marks)), $status);
        })*
    };
}

status_cases! {
    /// Guards against an accepted job without progress that is taken for unknown.
    accepted_job_is_queued: None, None => Some(JobStatus::Queued);
    /// Guards against a job that is reported as completed before it is.
    open_job_is_running: Some(json!({"state": "open"})), Some(json!({})) => Some(JobStatus::Running);
    /// Guards against an end that is not reported.
    end_is_reported: Some(json!({"state": "completed"})), None => Some(JobStatus::Completed);
    /// Guards against an end that only a mark has because the store rejects the progress of the job.
    marked_end_is_reported: Some(json!({"state": "open"})), Some(json!({ID.to_string(): "failed"}))
        => Some(JobStatus::Failed);
    /// Guards against a mark of an open job that is taken for its end.
    marked_open_job_is_running: None, Some(json!({ID.to_string(): "open"})) => Some(JobStatus::Running);
    /// Guards against marks of other jobs.
    marks_of_other_jobs_do_not_count: None, Some(json!({"00000000000000ff": "failed"}))
        => Some(JobStatus::Queued);
    /// Guards against a guess about a job whose progress cannot be decoded.
    unreadable_progress_tells_nothing: Some(json!({"state": "new"})), None => None;
}

/// Guards against a status without the workspace that may read it.
#[test]
fn status_names_the_owner_of_the_job() {
    let (job, _) = status_of_rows(ID, &stored(None, None)).expect("a status");
    assert_eq!(job.queue, "host/entry/");
    assert_eq!(job.workspace.as_deref(), Some("records"));
}

/// Guards against a job that was cancelled before it was accepted, of which only the progress is stored, and
/// against a job that another cell runs.
#[test]
fn job_of_no_cell_has_no_status() {
    let mut rows = stored(Some(json!({"state": "cancelled"})), None);
    rows.job = None;
    assert_eq!(status(&rows), None);
    rows.job = row(
        "job",
        &json!({"delegated_to": "entry/1", "job": job(), "sent_ms": 1}),
    );
    assert_eq!(status(&rows), None);
}
