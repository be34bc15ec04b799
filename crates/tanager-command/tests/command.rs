//! Output and exit codes of the command, run as a process against a node.

#[path = "../../tanager-node/tests/support/mod.rs"]
mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::fleet::VmActivity;

use support::CLINIC_TOKEN;
use support::ProposeMode;
use support::ROOT_TOKEN;
use support::TestServer;
use support::example_document;

/// Address on which nothing listens (tcpmux).
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

fn command(nodes: &[String], token: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tanagerladder"));
    command
        .args(arguments)
        .env_clear()
        .env("TANAGERLADDER_NODES", nodes.join(","))
        .env("TANAGERLADDER_TOKEN", token)
        .env("USER", "ana")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn start(server: &TestServer, arguments: &[&str], input: &str) -> Child {
    let nodes = [server.address.to_string()];
    let mut child = command(&nodes, ROOT_TOKEN, arguments).spawn().unwrap();
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child
}

fn run(server: &TestServer, arguments: &[&str], input: &str) -> (i32, String) {
    finish(start(server, arguments, input))
}

/// Waits until the process exits. Returns its exit code and the text of both output streams.
fn finish(child: Child) -> (i32, String) {
    let Output {
        status,
        stdout,
        stderr,
    } = child.wait_with_output().unwrap();
    let text = String::from_utf8(stdout).unwrap() + &String::from_utf8(stderr).unwrap();
    (status.code().unwrap(), text)
}

/// Returns the example document with the given floor of the pool `intake`.
fn document_with_floor(floor: i64) -> String {
    let mut document = example_document();
    document["pools"]["intake"]["floor"] = json!(floor);
    document.to_string()
}

macro_rules! exit_code_cases {
    ($($case:ident: $arguments:expr, $input:expr => $code:literal, $text:literal;)*) => {
        $(#[test]
        fn $case() {
            let server = TestServer::start();
            let (code, text) = run(&server, &$arguments, $input);
            assert_eq!(code, $code, "{text}");
            assert!(text.contains($text), "{text}");
            server.stop();
        })*
    };
}

// Guards against changes of the exit codes that scripts rely on.
exit_code_cases! {
    help_lists_exit_codes: ["--help"], "" => 0, "5  outcome unknown";
    command_help_has_examples: ["move", "--help"], "" => 0, "tanagerladder move vm-17";
    show_prints_the_site: ["show"], "" => 0, "configured by  node-1";
    document_can_be_applied: ["show", "--document"], "" => 0, "\"probe_path\": \"/health\"";
    pools_prints_owners: ["pools"], "" => 0, "intake  clinic  1";
    vms_of_one_pool: ["vms", "--pool", "spare"], "" => 0, "vm-4";
    quotas_prints_rates: ["quotas"], "" => 0, "clinic  10    20     1";
    history_names_the_author: ["history"], "" => 0, "node-1  configure";
    dump_prints_services: ["dump"], "" => 0, "\"queued\": 3";
    diff_names_the_field: ["diff", "-"], &document_with_floor(2)
        => 0, "~ pools/intake/floor: 1 -> 2";
    apply_reports_the_version: ["apply", "-"], &document_with_floor(2) => 0, "at version 2";
    apply_of_the_same_document: ["apply", "-"], &document_with_floor(1) => 0, "already in force";
    drain_reports_the_version: ["drain", "vm-0", "--reason", "disk"], "" => 0, "at version 2";
    move_reports_the_version: ["move", "vm-0", "files", "--json"], "" => 0, "\"version\": 2";
    unknown_vm: ["drain", "vm-9"], "" => 1, "does not exist";
    unknown_pool: ["move", "vm-0", "nowhere"], "" => 1, "does not exist";
    restore_into_a_full_store: ["snapshot", "restore", "-"], "{}" => 2, "missing field";
    no_command: [], "" => 2, "a command is needed";
    unknown_command: ["aply"], "" => 2, "unknown command aply";
    unknown_option: ["show", "--wait"], "" => 2, "show has no option --wait";
    missing_argument: ["move", "vm-0"], "" => 2, "wrong number of arguments";
    bad_duration: ["show", "--timeout", "10"], "" => 2, "a time is 500ms, 10s or 2m";
    bad_node: ["show", "--node", "localhost"], "" => 2, "an address is IP:PORT";
    missing_token_file: ["show", "--token-file", "/nonexistent"], "" => 2, "read /nonexistent";
    missing_file: ["apply", "/nonexistent"], "" => 2, "read /nonexistent";
    truncated_document: ["apply", "-"], "{\"site\":" => 2, "parse -";
    invalid_document: ["apply", "-"], &document_with_floor(-1) => 2, "parse -";
    equal_keys: ["apply", "-"], &document_with_floor(2).replace("\"spare\":{}", "\"spare\":{},\"spare\":{}")
        => 2, "\"spare\" is given twice";
    bad_limit: ["history", "--limit", "0"], "" => 2, "limit=N";
    stale_version: ["apply", "-", "--expected", "0"], &document_with_floor(2)
        => 3, "changed at version 1";
    all_nodes_down: ["show", "--node", CLOSED_ADDRESS], "" => 4, "no node reachable";
    next_node_is_tried: ["show", "--node", CLOSED_ADDRESS, "--node", "127.0.0.1:2"], ""
        => 4, "127.0.0.1:2";
}

/// Guards against exit codes that do not distinguish a missing permission from a conflict.
#[test]
fn server_errors_map_to_exit_codes() {
    let server = TestServer::start();
    let nodes = [CLOSED_ADDRESS.to_owned(), server.address.to_string()];
    let arguments = ["drain", "vm-4", "--json"];
    let (code, text) = finish(command(&nodes, CLINIC_TOKEN, &arguments).spawn().unwrap());
    assert_eq!(code, 1, "{text}");
    let failure: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(failure["error"]["exit_code"], 1);
    let (code, text) = finish(command(&nodes, "wrong", &["show"]).spawn().unwrap());
    assert_eq!((code, text.contains("unknown token")), (1, true), "{text}");
    let arguments = ["drain", "vm-0", "--timeout", "2s"];
    for (kind, expected) in [
        (ErrorKind::Refused, 1),
        (ErrorKind::NotReady, 1),
        (ErrorKind::Invalid, 2),
        (ErrorKind::Conflict, 3),
        (ErrorKind::Timeout, 5),
        (ErrorKind::Internal, 5),
    ] {
        server.set_mode(ProposeMode::Fail(kind));
        let (code, text) = finish(command(&nodes, ROOT_TOKEN, &arguments).spawn().unwrap());
        assert_eq!(code, expected, "{kind:?}: {text}");
    }
    server.stop();
}

/// Guards against reporting success to two operators whose documents conflict.
#[test]
fn only_one_of_several_operators_succeeds() {
    let server = TestServer::start();
    for round in 0..5_u64 {
        let expected = (round + 1).to_string();
        let children: Vec<Child> = (0..4)
            .map(|operator| {
                let floor = 10 * i64::try_from(round).unwrap() + operator + 2;
                let arguments = ["apply", "-", "--expected", &expected];
                start(&server, &arguments, &document_with_floor(floor))
            })
            .collect();
        let mut codes: Vec<i32> = children.into_iter().map(|child| finish(child).0).collect();
        codes.sort_unstable();
        assert_eq!(codes, [0, 3, 3, 3]);
    }
    assert_eq!(server.fleet.current().configured_version, 6);
    server.stop();
}

/// Guards against a change that is reported as failed although it took effect, or is sent twice.
#[test]
fn lost_responses_are_resolved_from_the_history() {
    let server = TestServer::start();
    let document = document_with_floor(2);
    let changes: [(Vec<&str>, &str); 3] = [
        (vec!["apply", "-"], &document),
        (vec!["drain", "vm-0"], ""),
        (vec!["wave", "start", "files"], ""),
    ];
    for mode in [ProposeMode::LoseProposal, ProposeMode::LoseResponse] {
        server.set_mode(mode);
        let before = server.proposals();
        for (mut arguments, input) in changes.clone() {
            let found = mode == ProposeMode::LoseResponse;
            if !found {
                // Limits the time of the search for the change, which cannot succeed.
                arguments.extend(["--timeout", "2s"]);
            }
            let (code, text) = run(&server, &arguments, input);
            assert_eq!(code, if found { 0 } else { 5 }, "{mode:?}: {text}");
            assert_eq!(text.contains("took effect at version"), found, "{text}");
        }
        assert_eq!(server.proposals(), before + 3);
    }
    server.set_mode(ProposeMode::NeverRespond);
    let (code, text) = run(&server, &["undrain", "vm-0", "--timeout", "2s"], "");
    assert_eq!(code, 0, "{text}");
    // Another operator made a change after the version on which this change is based.
    server.set_mode(ProposeMode::LoseProposal);
    let arguments = ["apply", "-", "--expected", "1", "--timeout", "2s"];
    let (code, text) = run(&server, &arguments, &document_with_floor(3));
    assert_eq!(
        (code, text.contains("did not take effect")),
        (3, true),
        "{text}"
    );
    server.stop();
}

/// Guards against a connection that breaks after the request was forwarded.
#[test]
fn broken_connection_is_resolved_from_the_history() {
    let server = TestServer::start();
    let relay = start_relay_that_drops_change_responses(server.address);
    let nodes = [relay.to_string()];
    let (code, text) = finish(
        command(&nodes, ROOT_TOKEN, &["drain", "vm-0"])
            .spawn()
            .unwrap(),
    );
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("took effect at version 2"), "{text}");
    assert_eq!(server.proposals(), 1);
    server.stop();
}

/// Starts a relay that forwards requests and responses, except responses to changes. It runs until
/// the test process ends.
fn start_relay_that_drops_change_responses(target: SocketAddr) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut reader = BufReader::new(stream.unwrap());
            let mut request = String::new();
            let mut length = 0;
            while reader.read_line(&mut request).unwrap_or(0) > 2 {
                let lower = request.to_lowercase();
                let value = lower.rsplit("content-length: ").next().unwrap();
                length = value.trim().parse().unwrap_or(length);
            }
            let mut body = vec![0; length];
            if request.is_empty() || std::io::Read::read_exact(&mut reader, &mut body).is_err() {
                continue;
            }
            // The command does not send this header; with it, the response ends when the connection
            // closes.
            request.truncate(request.len() - 2);
            request.push_str("Connection: close\r\n\r\n");
            let response = support::exchange(target, &[request.as_bytes(), &body].concat());
            if request.starts_with("GET") {
                let _ = reader.into_inner().write_all(&response);
            }
        }
    });
    address
}

/// Reads standard error until a line contains the text.
fn wait_for_note(child: &mut Child, text: &str) {
    let mut reader = BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    while !line.contains(text) {
        line.clear();
        assert!(
            reader.read_line(&mut line).unwrap() > 0,
            "no line with {text}"
        );
    }
    // Keeps the pipe open, so that the command can continue to print.
    std::thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
}

/// Guards against a rollout that is reported as complete while a node runs the old version.
#[test]
fn apply_waits_for_every_node() {
    let server = TestServer::start();
    let outdated_server = TestServer::start();
    server.register("node-1");
    let record = server.fleet.current().nodes["node-1"].clone();
    let (node, mut record) = ("node-2".to_owned(), record);
    record.admin_address = outdated_server.address;
    server.fleet.change(FleetChange::JoinNode { node, record });
    let (_, nodes) = run(&server, &["show", "--nodes", "--json"], "");
    let nodes: Value = serde_json::from_str(&nodes).unwrap();
    assert_eq!(nodes["nodes"][0]["version"], 3);
    assert_eq!(nodes["nodes"][1]["version"], 1);
    let mut child = start(&server, &["apply", "-", "--wait"], &document_with_floor(2));
    wait_for_note(
        &mut child,
        "1 of 2 nodes run version 4; waiting for node-2 (version 1)",
    );
    *outdated_server.fleet.state.lock().unwrap() = Arc::new(server.fleet.current());
    assert_eq!(finish(child).0, 0);
    *outdated_server.fleet.state.lock().unwrap() = Arc::default();
    let arguments = ["apply", "-", "--wait", "--wait-timeout", "1s"];
    let (code, text) = run(&server, &arguments, &document_with_floor(2));
    assert_eq!(code, 5, "{text}");
    server.stop();
    outdated_server.stop();
}

/// Guards against a move that is reported as complete although it only started or was aborted.
#[test]
fn move_waits_for_the_new_pool() {
    let server = TestServer::start();
    let mut child = start(&server, &["move", "vm-0", "files", "--wait"], "");
    wait_for_note(&mut child, "vm-0 (up) leaves intake for files");
    let vm = "vm-0".to_owned();
    server.fleet.change(FleetChange::CommitMove { vm });
    assert_eq!(finish(child).0, 0);
    let mut child = start(&server, &["move", "vm-1", "files", "--wait"], "");
    wait_for_note(&mut child, "vm-1 (up) leaves intake for files");
    let vm = "vm-1".to_owned();
    server.fleet.change(FleetChange::EndDrain { vm });
    assert_eq!(finish(child).0, 1);
    assert_eq!(
        server.fleet.current().vms["vm-1"].activity,
        VmActivity::Active
    );
    server.stop();
}

/// Guards against wave commands with a wrong effect, exit code or progress message.
#[test]
fn waves_are_started_paused_resumed_and_waited_for() {
    let server = TestServer::start();
    for (arguments, code, expected) in [
        (vec!["wave", "start", "files"], 0, "wave files-2 started"),
        (
            vec!["wave", "start", "files"],
            1,
            "a wave of this pool is running",
        ),
        (
            vec!["wave", "pause", "files-2", "--reason", "faulty"],
            0,
            "at version 3",
        ),
        (vec!["wave", "status"], 0, "paused (faulty)  2"),
        (vec!["wave", "resume", "files-2"], 0, "at version 4"),
        (vec!["wave", "status", "files-3"], 1, "does not exist"),
        (vec!["wave", "stop", "files-2"], 2, "status is needed"),
    ] {
        let (actual, text) = run(&server, &arguments, "");
        assert_eq!(actual, code, "{arguments:?}: {text}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
    let mut child = start(&server, &["wave", "status", "files-2", "--wait"], "");
    wait_for_note(
        &mut child,
        "files-2 running: 0 finished, 0 running, 2 waiting",
    );
    // Steps of the wave change its version, which must not prevent an operator from pausing it.
    server.set_mode(ProposeMode::StepWavesFirst);
    let (code, text) = run(&server, &["wave", "pause", "files-2"], "");
    assert_eq!((code, text.contains("at version 6")), (0, true), "{text}");
    let arguments = ["wave", "resume", "files-2", "--expected", "4"];
    assert_eq!(run(&server, &arguments, "").0, 3);
    let wave = "files-2".to_owned();
    server.fleet.change(FleetChange::FinishWave { wave });
    assert_eq!(finish(child).0, 0);
    server.stop();
}

/// Guards against an abort without effect, and against an aborted wave that a script cannot
/// distinguish from a finished one.
#[test]
fn aborted_wave_is_not_reported_as_success() {
    let server = TestServer::start();
    assert_eq!(run(&server, &["wave", "start", "files"], "").0, 0);
    let mut child = start(&server, &["wave", "status", "files-2", "--wait"], "");
    wait_for_note(&mut child, "files-2 running");
    let arguments = ["wave", "abort", "files-2", "--expected", "1"];
    assert_eq!(run(&server, &arguments, "").0, 3);
    for (arguments, code) in [
        (vec!["wave", "abort", "files-3"], 1),
        (vec!["wave", "abort", "files-2", "--wait"], 2),
        (vec!["wave", "abort", "files-2"], 0),
    ] {
        let (actual, text) = run(&server, &arguments, "");
        assert_eq!(actual, code, "{arguments:?}: {text}");
    }
    assert_eq!(finish(child).0, 5);
    let (_, text) = run(&server, &["wave", "status", "files-2"], "");
    assert!(text.contains("aborted"), "{text}");
    server.stop();
}

/// Guards against an export that cannot be restored, and against a watch that misses a change.
#[test]
fn snapshot_and_watch() {
    let server = TestServer::start();
    let (code, snapshot) = run(&server, &["snapshot", "export", "-"], "");
    assert_eq!(code, 0);
    let (code, text) = run(&server, &["snapshot", "restore", "-"], &snapshot);
    assert_eq!((code, text.contains("not empty")), (1, true), "{text}");
    *server.fleet.state.lock().unwrap() = Arc::default();
    let (code, text) = run(&server, &["snapshot", "restore", "-"], &snapshot);
    assert_eq!(code, 0, "{text}");
    let arguments = ["watch", "--count", "1", "--interval", "100ms"];
    let mut child = start(&server, &arguments, "");
    wait_for_note(&mut child, "watching from version 1");
    let (vm, reason) = ("vm-3".to_owned(), "test".to_owned());
    server.fleet.change(FleetChange::StartDrain { vm, reason });
    let (code, text) = finish(child);
    assert_eq!(code, 0);
    assert!(text.contains("2 start_drain by node-1"), "{text}");
    server.stop();
}
