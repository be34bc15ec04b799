//! Rows of workers, and rows that cannot be used. Each test names the failure that it guards against.

use std::net::SocketAddr;

use tanager_jobs::WorkerEntry;
use tanager_service::records::LedgerWorker;
use tanager_service::records::entries_at_takeover;
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

/// Guards against a slow read of all workers, as before a takeover, that brings back the entry of an
/// earlier incarnation, brings back a removed worker or drops a new one: the next report of the
/// worker would then count as that of a new incarnation, and its runs as ended.
#[test]
fn overtaken_full_read_is_ignored() {
    let mut view = FleetView::default();
    view.apply_worker_rows(vec![row("w1", 5, 1_000), row("w2", 6, 1_000)], true, 6);
    let changes = vec![
        row("w1", 8, 2_000),
        ("w2".to_owned(), 9, None),
        row("w3", 10, 1),
    ];
    view.apply_worker_rows(changes, false, 10);
    view.apply_worker_rows(vec![row("w1", 5, 1_000), row("w2", 6, 1_000)], true, 7);
    assert_eq!(starts(&view), [("w1", 2_000), ("w3", 1)]);
}

/// Guards against changes that were read before all workers were, and arrive after them.
#[test]
fn overtaken_changes_are_ignored() {
    let mut view = FleetView::default();
    view.apply_worker_rows(vec![row("w1", 8, 2_000)], true, 9);
    view.apply_worker_rows(vec![row("w1", 5, 1_000), row("w2", 6, 1)], false, 6);
    assert_eq!(starts(&view), [("w1", 2_000)]);
    // A read as of the same version holds the same rows.
    view.apply_worker_rows(vec![row("w1", 8, 2_000), row("w4", 9, 7)], true, 9);
    assert_eq!(starts(&view), [("w1", 2_000), ("w4", 7)]);
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

/// Guards against a takeover that asks for a worker at the address of an earlier incarnation, where another worker
/// refuses, although the ledger has the address of the later one: the task that runs there started again (TWICE).
#[test]
fn takeover_uses_the_later_address_of_a_worker() {
    let ledger_row = |worker: &str, born: u64, port: u16| LedgerWorker {
        address: SocketAddr::from(([10, 0, 0, 2], port)),
        ..LedgerWorker::from_entry(&entry(worker, born), None)
    };
    let listed = vec![
        entry("restarted", 1_000),
        entry("same", 1_000),
        entry("newer", 5_000),
    ];
    let old = listed[0].address;
    let ledger = [
        ledger_row("restarted", 2_000, 1),
        ledger_row("same", 1_000, 2),
        ledger_row("newer", 4_000, 3),
        ledger_row("gone", 1_000, 4),
    ];
    let entries = entries_at_takeover(listed, &ledger, &"entry".to_owned());
    let found: Vec<_> = (entries.iter())
        .map(|entry| (entry.worker.as_str(), entry.started_ms, entry.address))
        .collect();
    let expected = [
        ("restarted", 2_000, ledger[0].address),
        ("same", 1_000, old),
        ("newer", 5_000, old),
        ("gone", 1_000, ledger[3].address),
    ];
    assert_eq!(found, expected);
    // Its capacity is that of its entry.
    assert_ne!(entries[0].capacity, entries[3].capacity);
}
