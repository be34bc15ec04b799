//! Tests that invalid input changes nothing and gets a complete error response.

#[path = "support/mod.rs"]
mod support;

use std::sync::atomic::Ordering;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::sample::select;
use proptest::strategy::Strategy;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use serde_json::Value;
use serde_json::json;

use support::ROOT_TOKEN;
use support::TestServer;
use support::example_document;

const CASES_PER_PROPERTY: u32 = 300;

/// Runs a property with a fixed seed, so that a failure can be reproduced.
fn run_property<S: Strategy>(seed: u8, strategy: &S, property: impl Fn(S::Value)) {
    let config = Config {
        cases: CASES_PER_PROPERTY,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    runner
        .run(strategy, |value| {
            property(value);
            Ok(())
        })
        .unwrap();
}

/// Valid changes, from which the tests derive invalid ones.
fn valid_requests() -> Vec<(&'static str, &'static str, Value)> {
    vec![
        (
            "PUT",
            "/v1/config",
            json!({"expected": 1, "document": example_document()}),
        ),
        (
            "POST",
            "/v1/vms/vm-0/move",
            json!({"to": "files", "expected": 1}),
        ),
        (
            "POST",
            "/v1/vms/vm-0/drain",
            json!({"reason": "disk", "expected": 1}),
        ),
        ("POST", "/v1/vms/vm-0/undrain", json!({"expected": 1})),
        (
            "POST",
            "/v1/waves",
            json!({"pool": "intake", "wave": "w-1", "expected": 1}),
        ),
    ]
}

fn assert_rejected(server: &TestServer, method: &str, path: &str, body: &[u8]) {
    let (status, reply) = server.call(ROOT_TOKEN, method, path, body);
    let body_text = String::from_utf8_lossy(body);
    assert!(
        (400..500).contains(&status),
        "{method} {path} {body_text}: {status}"
    );
    for field in ["code", "message", "step", "peer"] {
        assert!(
            reply["error"][field].is_string(),
            "{path} {body_text}: {reply}"
        );
    }
    assert_eq!(server.proposals(), 0, "{method} {path} {body_text}");
    assert_eq!(server.fleet.restores.load(Ordering::SeqCst), 0, "{path}");
    assert_eq!(server.fleet.current().version, 1);
}

/// Guards against accepting a truncated body.
#[test]
fn truncated_bodies_are_rejected() {
    let server = TestServer::start();
    let requests = (select(valid_requests()), 0.0..1.0_f64);
    run_property(1, &requests, |((method, path, body), share)| {
        let bytes = body.to_string().into_bytes();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let length = ((bytes.len() as f64 * share) as usize).clamp(1, bytes.len() - 1);
        assert_rejected(&server, method, path, &bytes[..length]);
    });
    server.stop();
}

/// Guards against accepting bytes that are not UTF-8, inside and outside of strings.
#[test]
fn bad_utf8_is_rejected() {
    let server = TestServer::start();
    let requests = (select(valid_requests()), any::<u16>(), 0x80..=0xff_u8);
    run_property(2, &requests, |((method, path, body), position, byte)| {
        let mut bytes = body.to_string().into_bytes();
        let position = usize::from(position) % bytes.len();
        bytes[position] = byte;
        assert_rejected(&server, method, path, &bytes);
    });
    server.stop();
}

fn wrong_values() -> Vec<Value> {
    vec![
        Value::Null,
        json!(true),
        json!(-1),
        json!(1.5),
        json!("x y"),
        json!([]),
        json!([[]]),
        json!({"a": 1}),
        json!("\u{0}"),
        json!(u64::MAX),
        json!(""),
        json!(1e300),
    ]
}

/// Fields for which every wrong value is invalid, except an empty `token_sha256`.
const TYPED_FIELDS: [&str; 13] = [
    "/expected",
    "/document",
    "/document/site",
    "/document/pools",
    "/document/vms",
    "/document/teams",
    "/document/pools/intake/floor",
    "/document/pools/intake/quotas/clinic/rate",
    "/document/vms/vm-0/address",
    "/document/vms/vm-0/pool",
    "/document/vms/vm-0/zone",
    "/document/vms/vm-0/slots",
    "/document/teams/clinic/token_sha256",
];

/// Guards against accepting values of another type or out of range.
#[test]
fn wrong_types_are_rejected() {
    let server = TestServer::start();
    let edits = (select(TYPED_FIELDS.to_vec()), select(wrong_values()));
    run_property(3, &edits, |(field, value)| {
        let is_empty_token = field.ends_with("token_sha256") && value == json!("");
        if is_empty_token {
            return;
        }
        let mut body = json!({"expected": 1, "document": example_document()});
        *body.pointer_mut(field).unwrap() = value;
        assert_rejected(&server, "PUT", "/v1/config", body.to_string().as_bytes());
    });
    for value in wrong_values() {
        let body = json!({"to": value, "expected": 1}).to_string();
        assert_rejected(&server, "POST", "/v1/vms/vm-0/move", body.as_bytes());
        let body = json!({"to": "files", "expected": value}).to_string();
        assert_rejected(&server, "POST", "/v1/vms/vm-0/move", body.as_bytes());
        if !value.is_null() {
            let body = json!({"pool": "intake", "wave": value}).to_string();
            assert_rejected(&server, "POST", "/v1/waves", body.as_bytes());
        }
        assert_rejected(&server, "PUT", "/v1/snapshot", value.to_string().as_bytes());
    }
    server.stop();
}

/// Guards against a misspelt field that is silently ignored, at every level of the document.
#[test]
fn unknown_fields_are_rejected() {
    let server = TestServer::start();
    for (method, path, body) in valid_requests() {
        let mut levels = vec![String::new()];
        if path == "/v1/config" {
            for level in ["", "/pools/intake", "/vms/vm-0", "/teams/clinic"] {
                levels.push(format!("/document{level}"));
            }
        }
        for level in levels {
            let mut body = body.clone();
            body.pointer_mut(&level).unwrap()["flor"] = json!(1);
            assert_rejected(&server, method, path, body.to_string().as_bytes());
        }
        // Serde also reads a struct from a list of its fields in order; this must be refused.
        let fields: Vec<&Value> = body.as_object().unwrap().values().collect();
        assert_rejected(&server, method, path, json!(fields).to_string().as_bytes());
    }
    let body = json!({"expected": 1, "document": {"site": "t"}}).to_string();
    assert_rejected(&server, "PUT", "/v1/config", body.as_bytes());
    server.stop();
}

/// Guards against an empty list that is read as an object of defaults, and against duplicate keys.
#[test]
fn lists_for_objects_and_duplicate_keys_are_rejected() {
    let server = TestServer::start();
    let body = json!({"expected": 1, "document": example_document()});
    let spare = "/document/pools/spare";
    for path in ["/document/pools/intake", "/document/teams/other", spare] {
        let mut body = body.clone();
        *body.pointer_mut(path).unwrap() = json!([]);
        assert_rejected(&server, "PUT", "/v1/config", body.to_string().as_bytes());
    }
    let mut limits = body.clone();
    limits.pointer_mut(spare).unwrap()["queue_limits"] = json!([]);
    assert_rejected(&server, "PUT", "/v1/config", limits.to_string().as_bytes());
    let text = body.to_string();
    for (key, duplicate) in [
        ("\"spare\":{}", "\"spare\":{},\"spare\":{\"floor\":1}"),
        ("\"other\":{", "\"other\":{},\"other\":{"),
        ("\"expected\":1", "\"expected\":1,\"expected\":1"),
    ] {
        assert!(text.contains(key), "{key}");
        let body = text.replacen(key, duplicate, 1);
        assert_rejected(&server, "PUT", "/v1/config", body.as_bytes());
    }
    server.stop();
}

/// Guards against accepting unknown ids and paths, including ids with unusual characters.
#[test]
fn unknown_ids_and_paths_are_rejected() {
    let server = TestServer::start();
    let names = vec(select(b"abcxyz-_.~%20/".to_vec()), 0..12);
    run_property(4, &names, |name| {
        let name = String::from_utf8(name).unwrap();
        for (path, body) in [
            (
                format!("/v1/vms/{name}/move"),
                r#"{"to":"files","expected":1}"#,
            ),
            (format!("/v1/vms/{name}/drain"), ""),
            (format!("/v1/waves/{name}/pause"), ""),
            (format!("/v1/waves/{name}/abort"), ""),
            (format!("/v1/{name}"), "{}"),
        ] {
            assert_rejected(&server, "POST", &path, body.as_bytes());
        }
        let body = json!({"to": name, "expected": 1}).to_string();
        assert_rejected(&server, "POST", "/v1/vms/vm-0/move", body.as_bytes());
    });
    for method in ["DELETE", "PATCH", "PUT"] {
        assert_rejected(&server, method, "/v1/vms/vm-0/move", b"");
    }
    for query in [
        "limit=0",
        "limit=1001",
        "limit=-1",
        "limit=x",
        "limits=3",
        "limit=1&a=2",
    ] {
        assert_rejected(&server, "GET", &format!("/v1/history?{query}"), b"");
    }
    assert_rejected(&server, "POST", "/v1/vms/vm-0/drain?force=1", b"");
    server.stop();
}

/// Guards against versions that this node has not reached, and against reasons that are empty, too
/// long or contain control characters.
#[test]
fn bad_versions_and_reasons_are_rejected() {
    let server = TestServer::start();
    for expected in ["2", "-1", "1.0", "\"1\"", "18446744073709551616", "null"] {
        let body = format!(r#"{{"to":"files","expected":{expected}}}"#);
        assert_rejected(&server, "POST", "/v1/vms/vm-0/move", body.as_bytes());
    }
    for reason in [String::new(), "r".repeat(201), "a\nb".to_owned()] {
        let body = json!({"reason": reason}).to_string();
        assert_rejected(&server, "POST", "/v1/vms/vm-0/drain", body.as_bytes());
    }
    server.stop();
}

/// Guards against unbounded memory: a body above 4 MiB must be refused.
#[test]
fn oversized_bodies_are_rejected() {
    let server = TestServer::start();
    let body = vec![b' '; (4 << 20) + 1];
    let (status, reply) = server.call(ROOT_TOKEN, "PUT", "/v1/config", &body);
    assert_eq!(
        (status, &reply["error"]["code"]),
        (413, &json!("too_large"))
    );
    assert_eq!(server.proposals(), 0);
    server.stop();
}
