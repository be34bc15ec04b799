//! Sizes of the rows of a cell at the size to design for, against the store's limit.

use tanager_service::queue_statistics::read_statistics;
use tanager_service::queue_statistics::statistics_rows;
use tanager_service::records::QueueStatistics;
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
