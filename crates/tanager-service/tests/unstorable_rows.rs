//! Search for the rows that the store rejects.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tanager_jobs::JobId;
use tanager_service::unstorable_rows::RejectedRows;
use tanager_service::unstorable_rows::RejectionResult;
use tanager_service::unstorable_rows::RowSelection;
use tanager_service::unstorable_rows::RowUnit;
use tanager_service::unstorable_rows::UnstorableRows;

/// Rows of a full transaction.
const FULL: usize = 97;
const PERIOD: Duration = Duration::from_millis(20);

fn unit(number: u64) -> RowUnit {
    RowUnit::Progress(JobId(number))
}

/// Sends transactions of waiting units to a store that rejects some of them.
struct Sender {
    rows: UnstorableRows,
    waiting: BTreeSet<RowUnit>,
    rejected: BTreeSet<RowUnit>,
    now: Duration,
    transactions: usize,
    rejections: usize,
}

impl Sender {
    fn new(waiting: u64, rejected: impl IntoIterator<Item = u64>) -> Self {
        Self {
            rows: UnstorableRows::default(),
            waiting: (0..waiting).map(unit).collect(),
            rejected: rejected.into_iter().map(unit).collect(),
            now: Duration::ZERO,
            transactions: 0,
            rejections: 0,
        }
    }

    /// Sends a transaction; returns its units, none if there is nothing to send.
    fn step(&mut self) -> BTreeSet<RowUnit> {
        self.now += PERIOD;
        for _ in 0..2 {
            let selection = self.rows.select(self.now);
            let units: BTreeSet<RowUnit> = (self.waiting.iter())
                .filter(|unit| self.rows.is_selected(&selection, unit))
                .take(FULL)
                .cloned()
                .collect();
            if units.is_empty() {
                continue;
            }
            self.transactions += 1;
            if units.is_disjoint(&self.rejected) {
                self.rows.record_stored(&units);
                self.waiting.retain(|unit| !units.contains(unit));
            } else {
                self.rejections += 1;
                let rejected = RejectedRows {
                    selection,
                    rows: units.len(),
                    units: units.clone(),
                    has_others: false,
                };
                self.rows.record_rejected(rejected, self.now);
            }
            return units;
        }
        BTreeSet::new()
    }
}

/// Guards against rows that are never stored, or only after many transactions, beside rejected ones.
#[test]
fn all_others_are_stored() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let waiting = random.random_range(1..400);
        let count = random.random_range(0..6);
        let rejected: Vec<u64> = (0..count)
            .map(|_| random.random_range(0..waiting))
            .collect();
        let mut sender = Sender::new(waiting, rejected);
        let limit = 10 + sender.rejected.len() * 24;
        for _ in 0..limit {
            sender.step();
        }
        assert_eq!(sender.waiting, sender.rejected, "seed {seed}");
    }
}

/// Guards against new rows that wait for the search, and against small transactions as long as a row is
/// rejected.
#[test]
fn new_rows_are_stored_during_and_after_the_search() {
    let mut sender = Sender::new(FULL as u64, [40]);
    let mut next = 1_000;
    for step in 0..200 {
        sender.waiting.extend((next..next + 30).map(unit));
        next += 30;
        sender.step();
        let oldest = (sender.waiting.iter()).find(|waiting| **waiting >= unit(1_000));
        let oldest_step = oldest.map_or(step, |oldest| match oldest {
            RowUnit::Progress(id) => (id.0 as usize - 1_000) / 30,
            _ => unreachable!("only progress waits"),
        });
        assert!(step - oldest_step <= 3, "step {step}: {oldest:?}");
    }
    assert_eq!(sender.rejected.len(), 1);
}

/// Guards against a rejected row that is sent many times a second for ever, or never again.
#[test]
fn retries_are_rare_and_go_on() {
    let mut sender = Sender::new(FULL as u64, [7]);
    for _ in 0..50 {
        sender.step();
    }
    let searched = sender.rejections;
    assert!(searched < 10, "{searched}");
    for _ in 0..50 * 120 {
        sender.step();
    }
    let retries = sender.rejections - searched;
    assert!((5..12).contains(&retries), "{retries} in 120 s");
    sender.rejected.clear();
    for _ in 0..50 * 40 {
        sender.step();
    }
    assert!(sender.waiting.is_empty());
    assert_eq!(sender.rows.rejections(&unit(7)), 0);
}

fn rejected(units: &[RowUnit], rows: usize, has_others: bool) -> RejectedRows {
    RejectedRows {
        selection: RowSelection::Unsuspected,
        units: units.iter().cloned().collect(),
        rows,
        has_others,
    }
}

/// Guards against setting aside what a removal in the same transaction may have caused.
#[test]
fn unit_beside_removals_is_tried_without_them() {
    let mut rows = UnstorableRows::default();
    let result = rows.record_rejected(rejected(&[unit(1)], 1, true), PERIOD);
    assert_eq!(result, RejectionResult::Divided);
    assert!(matches!(rows.select(PERIOD), RowSelection::Suspects(_)));
}

/// Guards against a job with several rows that is set aside because they exceed a transaction together.
#[test]
fn rows_of_one_unit_are_divided_before_it_is_set_aside() {
    let mut rows = UnstorableRows::default();
    let mut size = 16;
    while size > 1 {
        let result = rows.record_rejected(rejected(&[unit(1)], size, false), PERIOD);
        assert_eq!(result, RejectionResult::Divided);
        let selection = rows.select(PERIOD);
        let selection = match selection {
            RowSelection::Unsuspected => rows.select(PERIOD),
            selection => selection,
        };
        assert_eq!(selection.max_rows(), size / 2);
        size = selection.max_rows();
    }
    let result = rows.record_rejected(rejected(&[unit(1)], 1, false), PERIOD);
    let expected = RejectionResult::SetAside {
        unit: unit(1),
        rejections: 1,
    };
    assert_eq!(result, expected);
}

/// Guards against a transaction without rows that could be left out and that is taken for a row's fault.
#[test]
fn transaction_without_units_is_indivisible() {
    let mut rows = UnstorableRows::default();
    let result = rows.record_rejected(rejected(&[], 0, false), PERIOD);
    assert_eq!(result, RejectionResult::Indivisible);
}
