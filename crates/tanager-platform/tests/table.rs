//! Tests of the client's table calls with the platform stand-in.

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use tanager_platform::PlatformClient;
use tanager_platform::RowCondition;
use tanager_platform::RowWrite;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;

fn start() -> (PlatformStandin, PlatformClient) {
    let platform = PlatformStandin::bind(PlatformOptions::default()).unwrap();
    let client = PlatformClient::new(platform.address(), Duration::from_secs(60));
    (platform, client)
}

fn transaction(conditions: &[(&str, u64)], writes: &[(&str, Option<Value>)]) -> TableTransaction {
    let conditions = conditions.iter().map(|(key, version)| RowCondition {
        key: (*key).to_owned(),
        version: *version,
    });
    let writes = writes.iter().map(|(key, value)| RowWrite {
        key: (*key).to_owned(),
        value: value.clone(),
    });
    TableTransaction {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

/// Guards against a transaction that writes although one of its conditions fails.
#[tokio::test]
async fn failed_condition_writes_nothing() {
    let (_platform, client) = start();
    let first = transaction(&[("head", 0)], &[("head", Some(json!(1)))]);
    let committed = TransactionResult::Committed(vec![1]);
    assert_eq!(client.transact(&first).await.unwrap(), committed);
    let second = transaction(
        &[("log/1", 0), ("head", 0), ("head", 1), ("log/2", 7)],
        &[("head", Some(json!(2))), ("log/1", Some(json!("entry")))],
    );
    let conflict = TransactionResult::Conflict(vec![1, 3]);
    assert_eq!(client.transact(&second).await.unwrap(), conflict);
    assert_eq!(client.read("log/1").await.unwrap(), None);
    let head = client.read("head").await.unwrap().unwrap();
    assert_eq!((head.version, head.value), (1, json!(1)));
}

/// Guards against a row version that is reused, by which an outdated condition would hold.
#[tokio::test]
async fn versions_never_repeat_after_a_deletion() {
    let (_platform, client) = start();
    let put = transaction(&[("k", 0)], &[("k", Some(json!("a")))]);
    assert_eq!(
        client.transact(&put).await.unwrap(),
        TransactionResult::Committed(vec![1])
    );
    let delete = transaction(&[("k", 1)], &[("k", None)]);
    assert_eq!(
        client.transact(&delete).await.unwrap(),
        TransactionResult::Committed(vec![0])
    );
    assert_eq!(client.read("k").await.unwrap(), None);
    assert_eq!(
        client.transact(&put).await.unwrap(),
        TransactionResult::Committed(vec![3])
    );
    assert_eq!(
        client.transact(&delete).await.unwrap(),
        TransactionResult::Conflict(vec![0])
    );
}

/// Guards against two concurrent proposals that are both committed for the same version.
#[tokio::test]
async fn one_of_many_concurrent_writers_wins() {
    let (platform, _client) = start();
    let mut writers = Vec::new();
    for writer in 0..16 {
        let client = PlatformClient::new(platform.address(), Duration::from_secs(60));
        writers.push(tokio::spawn(async move {
            let change = transaction(&[("head", 0)], &[("head", Some(json!(writer)))]);
            client.transact(&change).await.unwrap()
        }));
    }
    let mut winners = 0;
    for writer in writers {
        match writer.await.unwrap() {
            TransactionResult::Committed(versions) => {
                assert_eq!(versions, [1]);
                winners += 1;
            }
            TransactionResult::Conflict(failed) => assert_eq!(failed, [0]),
        }
    }
    assert_eq!(winners, 1);
    assert_eq!(platform.stats().conflicts, 15);
}

/// Guards against pages that skip rows, repeat rows or contain rows of other prefixes.
#[tokio::test]
async fn scan_pages_cover_each_row_once() {
    let (_platform, client) = start();
    let keys: Vec<String> = (1..=25)
        .map(|version| format!("log/{version:012}"))
        .collect();
    let mut writes: Vec<(&str, Option<Value>)> = keys
        .iter()
        .map(|key| (key.as_str(), Some(json!(key))))
        .collect();
    writes.extend([("lo", Some(json!(0))), ("log0", Some(json!(0)))]);
    client.transact(&transaction(&[], &writes)).await.unwrap();
    let deletion = transaction(&[], &[(keys[3].as_str(), None)]);
    client.transact(&deletion).await.unwrap();
    let mut found: Vec<String> = Vec::new();
    loop {
        let after = found.last().cloned().unwrap_or_default();
        let rows = client.scan("log/", &after, 10).await.unwrap();
        assert!(rows.len() <= 10);
        if rows.is_empty() {
            break;
        }
        found.extend(rows.into_iter().map(|row| row.key));
    }
    let expected: Vec<String> = keys
        .iter()
        .filter(|key| *key != &keys[3])
        .cloned()
        .collect();
    assert_eq!(found, expected);
    assert_eq!(client.scan("log/", "log0", 10).await.unwrap(), []);
}

macro_rules! key_cases {
    ($($case:ident: $key:expr;)*) => {
        $(
            /// Guards against a key that reaches another row, or none, because of its characters.
            #[tokio::test]
            async fn $case() {
                check_key($key).await;
            }
        )*
    };
}

async fn check_key(key: &str) {
    let (_platform, client) = start();
    let writes = [
        (key, Some(json!({ "key": key }))),
        ("other", Some(json!(1))),
    ];
    client.transact(&transaction(&[], &writes)).await.unwrap();
    let row = client.read(key).await.unwrap().unwrap();
    assert_eq!((row.key.as_str(), row.value), (key, json!({ "key": key })));
    let rows = client.scan(key, "", 10).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].key, key);
    assert_eq!(client.scan(key, key, 10).await.unwrap(), []);
    client.put_object(key, key.into()).await.unwrap();
    let content = client.get_object(key).await.unwrap().unwrap();
    assert_eq!(content, key.as_bytes());
    assert_eq!(client.get_object("other").await.unwrap(), None);
}

key_cases! {
    key_with_slashes: "claim/pool-1/a/b";
    key_with_dot_segments: "claim/../x/./y";
    key_with_empty_segments: "claim//x/";
    key_with_query_characters: "claim/p/a?b=c&d#e";
    key_with_percent: "claim/p/100%25 %";
    key_with_plus_and_space: "claim/p/a+b c";
    key_with_quotes_and_line_break: "claim/p/\"a\"\r\nb";
    key_with_non_ascii: "claim/p/größe-日本-🦀";
    key_with_nul: "claim/p/\0";
}
