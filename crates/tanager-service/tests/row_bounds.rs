//! Sizes of the rows of a cell at the size to design for, against the store's limit.

use std::net::SocketAddr;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::ResourceAmount;
use tanager_jobs::WaveRecord;
use tanager_jobs::record::encode_record;
use tanager_service::queue_statistics::read_statistics;
use tanager_service::queue_statistics::statistics_rows;
use tanager_service::records::LedgerRecord;
use tanager_service::records::LedgerWorker;
use tanager_service::records::PoolRecord;
use tanager_service::records::QueueStatistics;
use tanager_service::stored_workers::StoredWorkers;
use tanager_site::store::MAX_BYTES;
use tanager_site::store::TableRow;

/// Limit of the platform's documentation, and a lower one that a site may set.
const ROW_LIMITS: [usize; 2] = [65_536, 8_192];

fn statistics(number: usize) -> QueueStatistics {
    QueueStatistics {
        mean: 1.0 / (number as f64 + 3.0),
        ratio: 1.0 / 3.0,
        work: 123_456.789_012_345,
    }
}

fn learned(count: usize) -> Vec<(String, QueueStatistics)> {
    (0..count)
        .map(|number| {
            let queue = format!("host-{}.example/queue-{number:05}/", number % 7);
            (queue, statistics(number))
        })
        .collect()
}

fn stored(rows: &[(tanager_site::store::RowName, Vec<u8>)]) -> Vec<TableRow> {
    (rows.iter())
        .map(|(name, value)| TableRow {
            name: name.clone(),
            value: value.clone(),
            version: 1,
            deleted: false,
        })
        .collect()
}

/// Guards against a row of statistics that the store rejects, whatever the number of queues.
#[test]
fn statistics_fit_into_rows() {
    for limit in ROW_LIMITS {
        for count in [0, 1, 2_000, 4_096, 20_000] {
            let rows = statistics_rows("pool/0", learned(count), limit);
            let sizes: Vec<usize> = rows.iter().map(|(_, value)| value.len()).collect();
            assert!(sizes.iter().all(|size| *size <= limit), "{sizes:?}");
            assert!(sizes.iter().sum::<usize>() <= MAX_BYTES);
        }
    }
}

/// Guards against statistics that are lost although there is room, and against keeping old queues
/// instead of those in use.
#[test]
fn statistics_of_the_queues_in_use_are_kept() {
    let queues = learned(4_096);
    let rows = statistics_rows("pool/0", queues.clone(), ROW_LIMITS[0]);
    let kept = read_statistics(&stored(&rows));
    assert_eq!(kept.len(), queues.len());
    // The decimal text of a number may differ in its last digit.
    let is_kept = |(queue, statistics): &(String, QueueStatistics)| {
        (kept.get(queue)).is_some_and(|kept| (kept.mean - statistics.mean).abs() < 1e-12)
    };
    assert!(queues.iter().all(is_kept));
    let queues = learned(20_000);
    let rows = statistics_rows("pool/0", queues.clone(), ROW_LIMITS[1]);
    let kept = read_statistics(&stored(&rows));
    assert!(kept.len() > 500, "{}", kept.len());
    assert!(
        queues[..400]
            .iter()
            .all(|(queue, _)| kept.contains_key(queue))
    );
}

/// Guards against one row that cannot be read and hides the statistics of all queues.
#[test]
fn unreadable_statistics_hide_no_others() {
    let mut rows = stored(&statistics_rows("pool/0", learned(200), ROW_LIMITS[0]));
    rows[0].value = b"{".to_vec();
    assert!(read_statistics(&rows).len() > 150);
}

fn worker(number: usize) -> LedgerWorker {
    LedgerWorker {
        worker: format!("{number:0200}"),
        address: SocketAddr::from(([255, 255, 255, 255], 65_535)),
        started_ms: 1_800_000_000_000,
        capacity: Some(ResourceAmount {
            cpu: 1_000_000,
            memory_mb: 10_000_000,
            gpu: 64,
        }),
    }
}

/// Guards against a row of workers that grows with the cell.
#[test]
fn each_worker_has_a_small_row() {
    let size = encode_record(&worker(0)).expect("a row").len();
    assert!(size < 400, "{size}");
}

/// Guards against workers that the next owner does not wait for, and against rows that are written again
/// without a change.
#[test]
fn only_changed_workers_are_written() {
    let workers: Vec<LedgerWorker> = (0..1_100).map(worker).collect();
    let mut stored = StoredWorkers::default();
    let changes = stored.changes(&workers);
    assert_eq!(changes.written.len(), 1_100);
    stored.record(&changes, true);
    assert_eq!(stored.changes(&workers), Default::default());
    let mut restarted = workers[1..].to_vec();
    restarted[7].started_ms += 1;
    let changes = stored.changes(&restarted);
    assert_eq!(changes.written, [restarted[7].clone()]);
    assert_eq!(changes.removed, [workers[0].worker.clone()]);
}

/// Guards against losing the workers of an earlier version's row before all have rows of their own.
#[test]
fn rows_of_earlier_versions_are_kept_until_they_are_replaced() {
    let workers = vec![worker(0), worker(1)];
    let mut stored = StoredWorkers::new([], workers.clone(), true);
    let mut changes = stored.changes(&workers);
    changes.written.pop();
    stored.record(&changes, false);
    assert!(stored.has_legacy_row());
    assert_eq!(stored.legacy(), workers);
    let changes = stored.changes(&workers);
    assert_eq!(changes.written, [worker(1)]);
    stored.record(&changes, true);
    assert!(!stored.has_legacy_row() && stored.legacy().is_empty());
}

/// Number of VMs of the largest fleet to design for.
const FLEET: usize = 1_100;

fn vm(number: usize) -> String {
    format!("vm-{number:017}")
}

/// Guards against the row of a wave over the whole fleet that the store rejects, at the worst moment: all
/// VMs are in maintenance.
#[test]
fn wave_over_the_fleet_fits_into_a_row() {
    let record = WaveRecord {
        accepted_ms: (0..FLEET)
            .map(|number| (vm(number), 1_800_000_000_000))
            .collect(),
        end_ms: Some(1_800_000_000_000),
        ..WaveRecord::default()
    };
    let size = encode_record(&record).expect("a row").len();
    assert!(size <= ROW_LIMITS[0], "{size}");
}

/// Guards against the row of a pool that the store rejects, if it has a rack for each VM of the fleet.
#[test]
fn racks_of_a_pool_fit_into_a_row() {
    let record = PoolRecord {
        cells: 50,
        racks: (0..FLEET)
            .map(|number| (vm(number), number as u32 % 50))
            .collect(),
        later_racks: (0..FLEET).map(vm).collect(),
    };
    let size = encode_record(&record).expect("a row").len();
    assert!(size <= ROW_LIMITS[0], "{size}");
}

/// Guards against marks that let the ledger row grow without a limit.
#[test]
fn marks_take_little_room() {
    let record = LedgerRecord {
        withheld: (0..64)
            .map(|id| (JobId(u64::MAX - id), JobState::Completed))
            .collect(),
        ..LedgerRecord::default()
    };
    let size = encode_record(&record).expect("a row").len();
    assert!(size < 2_800, "{size}");
}
