//! Cells that were merged into others, as a node sees them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use tanager_jobs::JobId;
use tanager_jobs::ResourceAmount;
use tanager_jobs::WorkerEntry;
use tanager_service::records::CellWorkersRecord;
use tanager_service::records::LedgerWorker;
use tanager_service::records::OwnerRecord;
use tanager_service::records::PoolRecord;
use tanager_service::records::QueueStatistics;
use tanager_service::view::FleetView;

const POOL: &str = "pool";

/// Returns a view of a pool of four cells with one rack and worker each.
fn view() -> FleetView {
    let mut view = FleetView::default();
    let racks: BTreeMap<String, u32> = (0..4).map(|index| (format!("r-{index}"), index)).collect();
    let record = PoolRecord {
        cells: 4,
        racks,
        later_racks: BTreeSet::new(),
    };
    view.pools.insert(POOL.to_owned(), (record, 1));
    for index in 0..4 {
        let entry = WorkerEntry {
            worker: format!("i-{index}"),
            pool: POOL.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: "zone".to_owned(),
            draining: false,
            drain_remaining: None,
            started_ms: 1_000,
            capacity: ResourceAmount::default(),
            labels: Vec::new(),
            rack: Some(format!("r-{index}")),
            borrowed: false,
        };
        view.workers.insert(entry.worker.clone(), entry);
    }
    view
}

fn merge(view: &mut FleetView, cell: &str, target: &str, version: u64) {
    let record = OwnerRecord {
        merged_into: target.to_owned(),
        ..OwnerRecord::default()
    };
    view.apply_owner(cell, record, version);
}

fn worker_names(view: &FleetView, cell: &str) -> Vec<String> {
    let workers = view.workers_of(cell).into_iter();
    workers.map(|entry| entry.worker).collect()
}

/// Guards against jobs and workers of a merged cell that no cell has, or that two cells have.
#[test]
fn merged_cells_have_one_successor() {
    let mut view = view();
    merge(&mut view, "pool/2", "pool/1", 5);
    merge(&mut view, "pool/1", "pool/0", 6);
    assert_eq!(view.cells_of(POOL), ["pool/0", "pool/3"]);
    assert_eq!(view.absorbed_cells("pool/0"), ["pool/1", "pool/2"]);
    assert_eq!(view.merged_cell("pool/2"), "pool/0");
    assert_eq!(view.merged_cell("pool/3"), "pool/3");
    assert_eq!(worker_names(&view, "pool/0"), ["i-0", "i-1", "i-2"]);
    assert_eq!(worker_names(&view, "pool/3"), ["i-3"]);
    // An owner that has not loaded the merged cells yet must not use their workers.
    let own = view.workers_in(&["pool/0".to_owned()]);
    assert_eq!(own.len(), 1);
    let successors: BTreeSet<String> = (0..100)
        .filter_map(|id| view.cell_of_job(POOL, JobId(id)))
        .map(|cell| view.merged_cell(&cell))
        .collect();
    assert_eq!(successors.len(), 2, "{successors:?}");
}

/// Guards against a damaged row that sends requests for a cell in a circle, or to another pool.
#[test]
fn invalid_successors_are_ignored() {
    let mut view = view();
    merge(&mut view, "pool/0", "pool/1", 5);
    merge(&mut view, "pool/1", "pool/1", 6);
    merge(&mut view, "pool/2", "other/0", 7);
    merge(&mut view, "pool/3", "garbage", 8);
    assert_eq!(view.cells_of(POOL).len(), 4);
    for cell in view.cells_of(POOL) {
        assert_eq!(view.merged_cell(&cell), cell);
    }
}

/// Guards against workers of a merged cell that the next owner does not wait for, and against newer
/// records that older ones replace.
#[test]
fn workers_of_merged_cells_are_added() {
    let worker = |name: &str, started_ms| LedgerWorker {
        worker: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        started_ms,
        capacity: None,
    };
    let statistics = |mean| QueueStatistics {
        mean,
        ..QueueStatistics::default()
    };
    let mut own = CellWorkersRecord {
        workers: vec![worker("a", 2)],
        learned: BTreeMap::from([("q".to_owned(), statistics(2.0))]),
    };
    own.add_absorbed(CellWorkersRecord {
        workers: vec![worker("a", 1), worker("b", 1)],
        learned: BTreeMap::from([
            ("q".to_owned(), statistics(1.0)),
            ("r".to_owned(), statistics(1.0)),
        ]),
    });
    assert_eq!(own.workers, [worker("a", 2), worker("b", 1)]);
    assert_eq!(own.learned["q"], statistics(2.0));
    assert_eq!(own.learned["r"], statistics(1.0));
}

/// Guards against owners' rows of former versions that cannot be read, and against unmerged cells whose
/// rows change their format.
#[test]
fn rows_of_unmerged_cells_keep_their_format() {
    let text = r#"{"node":"n","incarnation":3}"#;
    let record: OwnerRecord = serde_json::from_str(text).expect("a record");
    assert_eq!(record.merged_into, "");
    assert_eq!(serde_json::to_string(&record).expect("a text"), text);
}
