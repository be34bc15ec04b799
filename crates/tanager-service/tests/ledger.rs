//! Transactions of a cell whose outcome is read from the rows of a conflict.

use tanager_jobs::record::encode_record;
use tanager_service::ledger::LedgerVersions;
use tanager_service::ledger::applied_version;
use tanager_service::records::LEDGER_KEY;
use tanager_service::records::LEDGER_TABLE;
use tanager_service::records::LedgerRecord;
use tanager_service::records::cell_row;
use tanager_site::store::RowVersion;
use tanager_site::store::TableRow;

const WRITER: u64 = 77;
/// The transaction expects these versions and has number 1.
const EXPECTED: LedgerVersions = LedgerVersions {
    owner: 20,
    ledger: 10,
};

fn applied(writer: u64, sequence: u64, version: RowVersion) -> Option<RowVersion> {
    let record = LedgerRecord {
        sequence,
        writer,
        ..LedgerRecord::default()
    };
    let row = TableRow {
        name: cell_row(LEDGER_TABLE, "alpha/0", LEDGER_KEY),
        value: encode_record(&record).expect("a row"),
        version,
        deleted: false,
    };
    applied_version(&[row], EXPECTED, WRITER, 1)
}

/// Guards against a transaction that is repeated after only its response was lost.
#[test]
fn applied_transaction_is_recognised() {
    assert_eq!(applied(WRITER, 1, 21), Some(21));
}

/// Guards against jobs and cancellations that are acknowledged but not stored, because the row of
/// the same process's earlier ownership has the same sequence.
#[test]
fn row_of_an_earlier_ownership_is_not_taken_for_the_transaction() {
    assert_eq!(applied(WRITER, 1, EXPECTED.ledger), None);
}

/// Guards against taking another owner's transaction for one's own.
#[test]
fn transaction_of_another_owner_is_not_recognised() {
    assert_eq!(applied(WRITER + 1, 1, 21), None);
    assert_eq!(applied(WRITER, 2, 21), None);
}
