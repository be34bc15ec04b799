//! The operator's rows that nodes read from each other.

use std::time::Duration;

use tanager_service::operator_copy::CopiedRead;
use tanager_service::operator_copy::OperatorCopy;
use tanager_service::operator_copy::prefers_copies;
use tanager_site::store::RowName;
use tanager_site::store::TableRow;

const TABLE: &str = "op";
const MAX_BYTES: usize = 1 << 20;

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn row(key: &str, version: u64, value: &[u8]) -> TableRow {
    TableRow {
        name: RowName {
            table: TABLE.to_owned(),
            part: String::new(),
            key: key.to_owned(),
        },
        value: value.to_vec(),
        version,
        deleted: false,
    }
}

/// Returns a value like that of a configuration with this number of routes.
fn routes(count: usize) -> Vec<u8> {
    let routes: Vec<String> = (0..count)
        .map(|number| format!(r#"{{"host":"a.example","path_prefix":"/r{number}/","priority":0}}"#))
        .collect();
    routes.join(",").into_bytes()
}

fn read(copy: &mut OperatorCopy, after: u64, now: Duration) -> Option<CopiedRead> {
    let body = copy.encode_since(after, now).expect("compressible")?;
    Some(CopiedRead::decode(&body, TABLE, MAX_BYTES).expect("a copy"))
}

/// Guards against rows that a reader of copies misses or gets changed, and against unchanged ones that are
/// sent again.
#[test]
fn readers_get_the_rows_that_are_new_to_them() {
    let mut copy = OperatorCopy::default();
    let rows = [row("config", 5, &routes(1_000)), row("wave/1", 7, b"{}")];
    copy.record(rows.clone(), 9, seconds(1.0));
    for _ in 0..2 {
        let all = read(&mut copy, 0, seconds(1.2)).expect("a copy");
        assert_eq!((all.version, all.age), (9, seconds(0.2)));
        assert_eq!(all.rows, rows);
    }
    let newer = read(&mut copy, 6, seconds(1.2)).expect("a copy");
    assert_eq!(newer.rows, rows[1..]);
    copy.record([row("config", 12, b"new")], 14, seconds(1.5));
    let newer = read(&mut copy, 9, seconds(1.5)).expect("a copy");
    assert_eq!(newer.version, 14);
    assert_eq!(newer.rows, [row("config", 12, b"new")]);
    assert_eq!(read(&mut copy, 14, seconds(1.5)).expect("a copy").rows, []);
}

/// Guards against a copy that is as large as the row that it replaces.
#[test]
fn copies_are_compressed() {
    let mut copy = OperatorCopy::default();
    let value = routes(5_000);
    copy.record([row("config", 5, &value)], 9, seconds(1.0));
    let body = copy.encode_since(0, seconds(1.0)).expect("compressible");
    let bytes = body.expect("a copy").len();
    assert!(bytes * 5 < value.len(), "{bytes} of {}", value.len());
}

/// Guards against an old configuration that nodes take from each other as verified while none of them reads
/// the store.
#[test]
fn age_of_a_copy_counts_from_the_read_of_the_store() {
    let mut copy = OperatorCopy::default();
    assert_eq!(read(&mut copy, 0, seconds(1.0)), None);
    copy.record([row("config", 5, b"x")], 9, seconds(1.0));
    // The reader has it from a peer, which had read the store half a second before.
    let mut second = OperatorCopy::default();
    let first = read(&mut copy, 0, seconds(1.5)).expect("a copy");
    second.record(first.rows, first.version, seconds(1.5) - first.age);
    let after_two = read(&mut second, 0, seconds(3.0)).expect("a copy");
    assert_eq!(after_two.age, seconds(2.0));
    // An older read of the same version does not make it older.
    second.record([], 9, seconds(0.5));
    let again = read(&mut second, 0, seconds(3.0)).expect("a copy");
    assert_eq!(again.age, seconds(2.0));
}

/// Guards against deleted rows that live on in copies.
#[test]
fn deleted_rows_are_not_given() {
    let mut copy = OperatorCopy::default();
    copy.record([row("wave/1", 5, b"{}")], 9, seconds(1.0));
    let deletion = TableRow {
        deleted: true,
        ..row("wave/1", 11, b"")
    };
    copy.record([deletion], 12, seconds(1.0));
    assert_eq!(read(&mut copy, 0, seconds(1.0)).expect("a copy").rows, []);
}

/// Guards against a process that ends, or takes too much memory, because of a malformed copy.
#[test]
fn malformed_copies_are_rejected() {
    let mut copy = OperatorCopy::default();
    copy.record([row("config", 5, &routes(50))], 9, seconds(1.0));
    let body = copy.encode_since(0, seconds(1.0)).expect("compressible");
    let body = body.expect("a copy");
    let decode = |body: &[u8], limit| CopiedRead::decode(body, TABLE, limit);
    assert!(decode(&body, MAX_BYTES).is_ok());
    assert!(decode(&body, 100).is_err(), "above the limit");
    for length in [0, 1, 20, body.len() - 1] {
        assert!(
            decode(&body[..length], MAX_BYTES).is_err(),
            "{length} bytes"
        );
    }
    let mut damaged = body.clone();
    *damaged.last_mut().expect("bytes") ^= 0xff;
    let end = body.iter().position(|byte| *byte == b'\n').expect("an end");
    damaged[end + 1] ^= 0xff;
    assert!(decode(&damaged, MAX_BYTES).is_err());
    // The header promises less than the value has.
    let short =
        r#"{"version":9,"age_ms":0,"rows":[{"key":"k","version":5,"bytes":3,"compressed":C}]}"#;
    let values = &body[end + 1..];
    let mut lying = short.replace('C', &values.len().to_string()).into_bytes();
    lying.push(b'\n');
    lying.extend_from_slice(values);
    assert!(decode(&lying, MAX_BYTES).is_err());
}

/// Guards against peers that are asked by nodes which read the store fast enough themselves, and against
/// slow transfers that are preferred to peers.
#[test]
fn copies_are_preferred_for_slow_transfers() {
    let megabits = |rate: f64| Some(rate * 1e6 / 8.0);
    let cases = [
        (false, megabits(200.0), 1_600_000, false),
        (false, megabits(10.0), 200_000, false),
        (false, megabits(10.0), 300_000, true),
        (false, megabits(2.0), 60_000, true),
        (false, None, 10_000_000, false),
        (true, None, 0, true),
    ];
    for (is_relaying, rate, bytes, expected) in cases {
        let prefers = prefers_copies(is_relaying, rate, bytes);
        assert_eq!(prefers, expected, "{is_relaying} {rate:?} {bytes}");
    }
}
