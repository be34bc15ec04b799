//! Prints the size of log entries of configuration changes, and the time to decode and apply one,
//! for whole documents, JSON merge patches and typed patches.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use tanager_fleet::apply_entry;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::config::ConfigDocument;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::patch::ConfigPatch;

/// VMs, pools and teams of each document.
const SIZES: [(usize, usize, usize); 4] =
    [(50, 5, 9), (275, 55, 48), (550, 110, 95), (1_100, 218, 190)];
/// Repetitions of each measurement; the median is printed.
const ROUNDS: usize = 31;

type DocumentEdit = fn(&mut ConfigDocument);

fn document(vms: usize, pools: usize, teams: usize, quotas: usize) -> ConfigDocument {
    let team = |index: usize| format!("team-{:03}", index % teams);
    let pool = |index: usize| format!("pool-{:03}", index % pools);
    let teams: serde_json::Map<String, Value> = (0..teams)
        .map(|index| {
            (
                team(index),
                json!({"token_sha256": format!("{index:064x}")}),
            )
        })
        .collect();
    let pools: serde_json::Map<String, Value> = (0..pools)
        .map(|index| {
            let quotas: serde_json::Map<String, Value> = (0..quotas)
                .map(|other| {
                    (
                        team(index + other),
                        json!({"rate": 100, "burst": 20, "weight": 1}),
                    )
                })
                .collect();
            let config = json!({"owner": team(index), "floor": 1, "quotas": quotas});
            (pool(index), config)
        })
        .collect();
    let vms: serde_json::Map<String, Value> = (0..vms)
        .map(|index| {
            let address = format!("10.0.{}.{}:8080", index / 250, index % 250);
            let config = json!({"address": address, "pool": pool(index), "slots": 8,
                "zone": format!("zone-{}", index % 8), "rack": format!("rack-{}", index / 4)});
            (format!("vm-{index:04}"), config)
        })
        .collect();
    let value = json!({"site": "design", "pools": pools, "vms": vms, "teams": teams});
    serde_json::from_value(value).expect("a valid document")
}

/// Returns the JSON merge patch (RFC 7396) that turns one value into another.
fn merge_patch(before: &Value, after: &Value) -> Value {
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        return after.clone();
    };
    let mut patch = serde_json::Map::new();
    for (key, value) in new {
        match old.get(key) {
            Some(known) if known == value => {}
            Some(known) => drop(patch.insert(key.clone(), merge_patch(known, value))),
            None => drop(patch.insert(key.clone(), value.clone())),
        }
    }
    for key in old.keys().filter(|key| !new.contains_key(*key)) {
        patch.insert(key.clone(), Value::Null);
    }
    Value::Object(patch)
}

fn apply_merge_patch(target: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *target = patch.clone();
        return;
    };
    if !target.is_object() {
        *target = json!({});
    }
    for (key, change) in changes {
        if change.is_null() {
            target.as_object_mut().map(|object| object.remove(key));
        } else {
            apply_merge_patch(&mut target[key.as_str()], change);
        }
    }
}

fn median(mut run: impl FnMut() -> Duration) -> u128 {
    let mut times: Vec<Duration> = (0..ROUNDS).map(|_| run()).collect();
    times.sort();
    times[ROUNDS / 2].as_micros()
}

fn entry(version: u64, change: FleetChange) -> ChangeEntry {
    let (author, token) = ("root/operator".to_owned(), "0".repeat(32));
    ChangeEntry {
        version,
        author,
        token,
        change,
    }
}

/// Returns the size of an entry in bytes, and the microseconds to decode and to apply it.
fn measure(state: &FleetState, change: FleetChange) -> (usize, u128, u128) {
    let content = serde_json::to_vec(&entry(2, change)).expect("encodable");
    let decode = || serde_json::from_slice::<ChangeEntry>(&content).expect("decodable");
    let decoding = median(|| {
        let start = Instant::now();
        let decoded = decode();
        let time = start.elapsed();
        drop(decoded);
        time
    });
    let decoded = decode();
    let applying = median(|| {
        let mut state = state.clone();
        let start = Instant::now();
        apply_entry(&mut state, &decoded).expect("consecutive");
        let time = start.elapsed();
        assert_eq!(state.configured_version, 2, "the change was refused");
        time
    });
    (content.len(), decoding, applying)
}

fn main() {
    println!("vms pools teams quotas/pool change form bytes decode_us fold_us");
    for (vms, pools, teams) in SIZES {
        for quotas in [teams.min(10), teams] {
            let before = document(vms, pools, teams, quotas);
            let mut state = FleetState::default();
            let document = before.clone();
            let first = entry(1, FleetChange::Configure { document });
            apply_entry(&mut state, &first).expect("consecutive");
            let edits: [(&str, DocumentEdit); 3] = [
                ("floor", |document| {
                    document.pools.get_mut("pool-001").expect("a pool").floor = 2;
                }),
                ("quota", |document| {
                    let pool = document.pools.get_mut("pool-001").expect("a pool");
                    pool.quotas.get_mut("team-001").expect("a quota").rate = 7;
                }),
                ("add-vm", |document| {
                    let mut config = document.vms["vm-0001"].clone();
                    config.address = ([10, 9, 9, 9], 8080).into();
                    document.vms.insert("vm-new".to_owned(), config);
                }),
            ];
            for (name, edit) in edits {
                let mut after = before.clone();
                edit(&mut after);
                let patch = ConfigPatch::between(&before, &after);
                let old = serde_json::to_value(&before).expect("encodable");
                let new = serde_json::to_value(&after).expect("encodable");
                let merge = merge_patch(&old, &new);
                // The result of a merge patch is a document, which is validated and applied as
                // such.
                let merging = median(|| {
                    let start = Instant::now();
                    let mut value = serde_json::to_value(&state.document).expect("encodable");
                    apply_merge_patch(&mut value, &merge);
                    let merged: ConfigDocument = serde_json::from_value(value).expect("valid");
                    let time = start.elapsed();
                    assert_eq!(merged, after);
                    time
                });
                let prefix = format!("{vms} {pools} {teams} {quotas} {name}");
                let document = after;
                let (bytes, decode, fold) = measure(&state, FleetChange::Configure { document });
                println!("{prefix} document {bytes} {decode} {fold}");
                let bytes = merge.to_string().len();
                println!("{prefix} merge-patch {bytes} - {}", merging + fold);
                let (bytes, decode, fold) = measure(&state, FleetChange::Amend { patch });
                println!("{prefix} typed-patch {bytes} {decode} {fold}");
            }
        }
    }
}
