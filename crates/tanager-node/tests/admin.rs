//! Tests of the routes, roles and status codes of the administration API.

#[path = "support/mod.rs"]
mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;

use support::CLINIC_TOKEN;
use support::ProposeMode;
use support::ROOT_TOKEN;
use support::TestServer;
use support::example_document;

fn config_body(expected: u64, edit: impl FnOnce(&mut Value)) -> Vec<u8> {
    let mut document = example_document();
    edit(&mut document);
    json!({"expected": expected, "document": document})
        .to_string()
        .into_bytes()
}

/// Guards against a route that no longer responds, and against a team that is refused a read.
#[test]
fn root_and_team_tokens_read_all_resources() {
    let server = TestServer::start();
    for token in [ROOT_TOKEN, CLINIC_TOKEN] {
        for path in [
            "/v1/config",
            "/v1/history",
            "/v1/history?limit=1",
            "/v1/pools",
            "/v1/vms",
            "/v1/waves",
            "/v1/quotas",
            "/v1/nodes",
            "/v1/snapshot",
            "/dump",
        ] {
            let (status, body) = server.call(token, "GET", path, b"");
            assert_eq!(status, 200, "{path}: {body}");
        }
    }
    let (_, pools) = server.call(ROOT_TOKEN, "GET", "/v1/pools", b"");
    assert_eq!(pools["pools"][1]["available"], 2, "{pools}");
    server.stop();
}

/// Guards against refusing load balancers and metric scrapers, which have no token, and against
/// other requests without a valid token.
#[test]
fn only_probes_and_metrics_need_no_token() {
    let server = TestServer::start();
    for path in ["/live", "/ready", "/metrics"] {
        assert_eq!(server.call("", "GET", path, b"").0, 200, "{path}");
    }
    *server.fleet.ready.lock().unwrap() = Err("no store and no peers for 4 s".to_owned());
    let (status, body) = server.call("", "GET", "/ready", b"");
    assert_eq!(status, 503);
    assert_eq!(body["error"]["message"], "no store and no peers for 4 s");
    for token in ["", "wrong", "root-toke", "root-token2"] {
        let (status, body) = server.call(token, "GET", "/v1/config", b"");
        assert_eq!(status, 401, "{token}");
        assert_eq!(body["error"]["code"], "unauthorized");
    }
    let basic = "Authorization: Basic root-token\r\n";
    assert_eq!(server.call_with_headers(basic, "GET", "/dump", b"").0, 401);
    server.stop();
}

macro_rules! team_cases {
    ($($case:ident: $method:literal $path:literal $body:expr => $status:literal;)*) => {
        $(#[test]
        fn $case() {
            let server = TestServer::start();
            let body: Vec<u8> = $body;
            let (status, reply) = server.call(CLINIC_TOKEN, $method, $path, &body);
            assert_eq!(status, $status, "{reply}");
            assert_eq!(server.proposals(), usize::from($status == 200), "{reply}");
            assert_eq!(server.fleet.restores.load(Ordering::SeqCst), 0);
            // The refused request is valid with the root token.
            if $status == 403 && $path != "/v1/snapshot" {
                assert_eq!(server.call(ROOT_TOKEN, $method, $path, &body).0, 200);
            }
            server.stop();
        })*
    };
}

// Guards against a team that changes pools, VMs or settings that it does not own.
team_cases! {
    team_moves_between_own_pools: "POST" "/v1/vms/vm-0/move"
        br#"{"to":"files","expected":1}"#.to_vec() => 200;
    team_moves_to_another_pool: "POST" "/v1/vms/vm-0/move"
        br#"{"to":"spare","expected":1}"#.to_vec() => 403;
    team_moves_from_another_pool: "POST" "/v1/vms/vm-4/move"
        br#"{"to":"files","expected":1}"#.to_vec() => 403;
    team_drains_own_vm: "POST" "/v1/vms/vm-0/drain" Vec::new() => 200;
    team_drains_other_vm: "POST" "/v1/vms/vm-4/drain" Vec::new() => 403;
    team_undrains_other_vm: "POST" "/v1/vms/vm-4/undrain" Vec::new() => 403;
    team_starts_own_wave: "POST" "/v1/waves" br#"{"pool":"intake"}"#.to_vec() => 200;
    team_starts_other_wave: "POST" "/v1/waves" br#"{"pool":"spare"}"#.to_vec() => 403;
    team_configures_own_floor: "PUT" "/v1/config"
        config_body(1, |document| document["pools"]["intake"]["floor"] = json!(2)) => 200;
    team_configures_other_floor: "PUT" "/v1/config"
        config_body(1, |document| document["pools"]["spare"]["floor"] = json!(1)) => 403;
    team_acquires_a_pool: "PUT" "/v1/config"
        config_body(1, |document| document["pools"]["spare"]["owner"] = json!("clinic")) => 403;
    team_transfers_own_pool: "PUT" "/v1/config"
        config_body(1, |document| document["pools"]["files"]["owner"] = json!("other")) => 403;
    team_adds_a_pool: "PUT" "/v1/config"
        config_body(1, |document| document["pools"]["new"] = json!({"owner": "clinic"})) => 403;
    team_changes_the_site: "PUT" "/v1/config"
        config_body(1, |document| document["site"] = json!("elsewhere")) => 403;
    team_changes_a_token: "PUT" "/v1/config"
        config_body(1, |document| document["teams"]["other"] =
            json!({"token_sha256": "a".repeat(64)})) => 403;
    team_changes_own_vm: "PUT" "/v1/config"
        config_body(1, |document| document["vms"]["vm-0"]["slots"] = json!(4)) => 200;
    team_changes_other_vm: "PUT" "/v1/config"
        config_body(1, |document| document["vms"]["vm-4"]["slots"] = json!(4)) => 403;
    team_acquires_other_vm: "PUT" "/v1/config"
        config_body(1, |document| document["vms"]["vm-4"]["pool"] = json!("files")) => 403;
    team_removes_other_vm: "PUT" "/v1/config"
        config_body(1, |document| {
            document["vms"].as_object_mut().unwrap().remove("vm-4");
        }) => 403;
    team_restores_a_snapshot: "PUT" "/v1/snapshot" b"{}".to_vec() => 403;
}

/// Guards against a team that stops the maintenance of a pool it does not own, and against an
/// abort of a wave that changed after the expected version.
#[test]
fn team_aborts_only_waves_of_own_pools() {
    let server = TestServer::start();
    for (pool, status) in [("intake", 200), ("spare", 403)] {
        let change = FleetChange::StartWave {
            wave: format!("{pool}-wave"),
            pool: pool.to_owned(),
        };
        let entry = server.fleet.change(change);
        let path = format!("/v1/waves/{pool}-wave/abort");
        let stale = json!({"expected": entry.version - 1}).to_string();
        let (actual, body) = server.call(ROOT_TOKEN, "POST", &path, stale.as_bytes());
        assert_eq!(actual, 409, "{body}");
        let (actual, body) = server.call(CLINIC_TOKEN, "POST", &path, b"");
        assert_eq!(actual, status, "{body}");
        assert_eq!(server.call(ROOT_TOKEN, "GET", &path, b"").0, 405);
        assert_eq!(server.call(ROOT_TOKEN, "POST", &path, b"").0, 200);
        let waves = server.call(ROOT_TOKEN, "GET", "/v1/waves", b"").1;
        assert_eq!(waves["waves"][format!("{pool}-wave")]["status"], "aborted");
    }
    assert_eq!(
        server
            .call(ROOT_TOKEN, "POST", "/v1/waves/none/abort", b"")
            .0,
        404
    );
    server.stop();
}

/// Guards against deciding ownership by a VM's pool in the document instead of its current pool.
#[test]
fn moved_vm_belongs_to_its_new_pool() {
    let server = TestServer::start();
    let (vm, to) = ("vm-0".to_owned(), "spare".to_owned());
    server
        .fleet
        .change(FleetChange::StartMove { vm: vm.clone(), to });
    server.fleet.change(FleetChange::CommitMove { vm });
    let (status, _) = server.call(CLINIC_TOKEN, "POST", "/v1/vms/vm-0/drain", b"");
    assert_eq!(status, 403);
    let body = config_body(1, |document| document["vms"]["vm-0"]["slots"] = json!(4));
    assert_eq!(server.call(CLINIC_TOKEN, "PUT", "/v1/config", &body).0, 403);
    server.stop();
}

/// Guards against errors whose kind, step or peer does not reach the operator.
#[test]
fn error_kinds_map_to_status_codes() {
    let server = TestServer::start();
    let cases = [
        (ErrorKind::Invalid, 400),
        (ErrorKind::Forbidden, 403),
        (ErrorKind::NotFound, 404),
        (ErrorKind::Conflict, 409),
        (ErrorKind::Refused, 409),
        (ErrorKind::NotReady, 503),
        (ErrorKind::NotSent, 503),
        (ErrorKind::Timeout, 504),
        (ErrorKind::Unknown, 504),
        (ErrorKind::Internal, 500),
    ];
    for (kind, expected) in cases {
        server.set_mode(ProposeMode::Fail(kind));
        let (status, body) = server.call(ROOT_TOKEN, "POST", "/v1/vms/vm-0/drain", b"");
        assert_eq!(status, expected, "{kind:?}");
        assert_eq!(body["error"]["code"], kind.as_str());
        assert_eq!(body["error"]["step"], "commit");
        assert_eq!(body["error"]["peer"], "store");
        let message = body["error"]["message"].as_str().unwrap();
        assert_eq!(message.contains("may have taken effect"), expected == 504);
    }
    server.stop();
}

/// Guards against a history without the author of a change.
#[test]
fn author_names_role_and_operator() {
    let server = TestServer::start();
    for (token, operator, author) in [
        (ROOT_TOKEN, "", "root"),
        (CLINIC_TOKEN, "", "clinic"),
        (
            CLINIC_TOKEN,
            "Tanager-Operator: ana#1f\r\n",
            "clinic/ana#1f",
        ),
    ] {
        let headers = format!("Authorization: Bearer {token}\r\n{operator}");
        let (status, body) =
            server.call_with_headers(&headers, "POST", "/v1/vms/vm-0/undrain", b"");
        assert_eq!((status, &body["author"]), (200, &json!(author)));
    }
    let headers = format!("Authorization: Bearer {ROOT_TOKEN}\r\nTanager-Operator: a b\r\n");
    let (status, _) = server.call_with_headers(&headers, "POST", "/v1/vms/vm-0/undrain", b"");
    assert_eq!((status, server.proposals()), (400, 3));
    let (_, body) = server.call(ROOT_TOKEN, "GET", "/v1/history?limit=1", b"");
    assert_eq!(body["entries"][0]["author"], "clinic/ana#1f");
    server.stop();
}

/// Guards against a history that omits the objects which an amendment changed.
#[test]
fn history_lists_the_objects_of_an_amendment() {
    let server = TestServer::start();
    let patch = json!({"set_pools": {"intake": {"removed_quotas": ["clinic"]}},
        "removed_vms": ["vm-4"], "set_teams": {"new": {}}});
    let entry = json!({"version": 2, "author": "root", "token": "t",
        "change": {"amend": {"patch": patch}}});
    let entry = serde_json::from_value(entry).unwrap();
    server.fleet.log.lock().unwrap().push(entry);
    let (_, body) = server.call(ROOT_TOKEN, "GET", "/v1/history?limit=1", b"");
    let expected = json!({"version": 2, "author": "root", "kind": "amend", "detail":
        {"set_pools": ["intake"], "removed_vms": ["vm-4"], "set_teams": ["new"]}});
    assert_eq!(body["entries"], json!([expected]));
    server.stop();
}

/// Guards against a history that seems complete although its older entries were removed.
#[test]
fn history_reports_missing_older_entries() {
    let server = TestServer::start();
    server.register("node-1");
    let missing = |path| server.call(ROOT_TOKEN, "GET", path, b"").1["missing_before"].clone();
    assert_eq!(missing("/v1/history"), Value::Null);
    server.fleet.log.lock().unwrap().remove(0);
    assert_eq!(missing("/v1/history"), json!(2));
    assert_eq!(missing("/v1/history?limit=1"), Value::Null);
    server.stop();
}

/// Guards against a restore that overwrites an existing fleet or loses state.
#[test]
fn snapshot_restores_only_into_an_empty_store() {
    let server = TestServer::start();
    let (_, snapshot) = server.call(ROOT_TOKEN, "GET", "/v1/snapshot", b"");
    let body = snapshot.to_string().into_bytes();
    assert_eq!(server.call(ROOT_TOKEN, "PUT", "/v1/snapshot", &body).0, 409);
    *server.fleet.state.lock().unwrap() = std::sync::Arc::default();
    assert_eq!(server.call(ROOT_TOKEN, "PUT", "/v1/snapshot", &body).0, 200);
    assert_eq!(
        server.call(ROOT_TOKEN, "GET", "/v1/snapshot", b"").1,
        snapshot
    );
    server.stop();
}

/// Guards against a proposal that is cancelled because the client disconnects.
#[test]
fn proposal_completes_after_client_disconnects() {
    let server = TestServer::start();
    server.set_mode(ProposeMode::AcceptDelayed);
    let mut stream = TcpStream::connect(server.address).unwrap();
    let request = format!(
        "POST /v1/vms/vm-0/drain HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {ROOT_TOKEN}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    // The handler must have started: otherwise it may see the closed connection first.
    thread::sleep(Duration::from_millis(100));
    drop(stream);
    let mut polls = 0;
    while server.fleet.current().version == 1 {
        polls += 1;
        assert!(polls < 300, "the change was not committed");
        thread::sleep(Duration::from_millis(100));
    }
    server.stop();
}
