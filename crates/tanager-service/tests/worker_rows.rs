//! Rows of workers, and rows that cannot be used. Each test names the failure that it guards against.

use tanager_jobs::WorkerEntry;
use tanager_service::skipped_rows::SkipReport;
use tanager_service::skipped_rows::SkippedRows;
use tanager_service::view::FleetView;
use tanager_service::worker_rows::WorkerRow;
use tanager_site::fleet::decode_worker;

fn entry(worker: &str, born: u64) -> WorkerEntry {
    let text = format!(
        r#"{{"service":"entry","address":"10.0.0.1:80","zone":"z","state":"ready","born":{born},
        "capacity":{{"cpu":16000,"memory_request_mb":65536}},"labels":["a","r1"]}}"#
    );
    decode_worker(worker, text.as_bytes()).expect("a worker")
}

fn row(worker: &str, version: u64, born: u64) -> WorkerRow {
    (worker.to_owned(), version, Some(entry(worker, born)))
}

fn starts(view: &FleetView) -> Vec<(&str, u64)> {
    (view.workers.iter())
        .map(|(worker, entry)| (worker.as_str(), entry.started_ms))
        .collect()
}

/// Guards against an entry that cannot be used any more and still names a worker.
#[test]
fn unusable_row_removes_its_worker() {
    let mut view = FleetView::default();
    view.apply_worker_rows(vec![row("w1", 1, 1), row("w2", 2, 1)], true, 2);
    view.apply_worker_rows(vec![("w1".to_owned(), 3, None)], false, 3);
    assert_eq!(starts(&view), [("w2", 1)]);
}

/// Guards against a log line for each read of a row, and against problems that are never logged.
#[test]
fn skipped_row_is_logged_once_for_each_problem() {
    let rows = SkippedRows::default();
    assert_eq!(rows.record("t", "k", 1, "a"), SkipReport::CountAndLog);
    assert_eq!(rows.record("t", "k", 1, "a"), SkipReport::None);
    assert_eq!(rows.record("t", "k", 2, "a"), SkipReport::Count);
    assert_eq!(rows.record("t", "k", 3, "b"), SkipReport::CountAndLog);
    assert_eq!(rows.record("u", "k", 3, "b"), SkipReport::CountAndLog);
    rows.forget("t", "k");
    assert_eq!(rows.record("t", "k", 4, "b"), SkipReport::CountAndLog);
}

/// Guards against a writer of very many rows that fills the memory or the log.
#[test]
fn number_of_remembered_rows_is_limited() {
    let rows = SkippedRows::default();
    let logged = (0..5_000)
        .filter(|number| rows.record("t", &number.to_string(), 1, "a") == SkipReport::CountAndLog)
        .count();
    assert_eq!(logged, 1_000);
    assert_eq!(rows.record("t", "4999", 1, "a"), SkipReport::Count);
}
