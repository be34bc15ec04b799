//! Tests with node processes that export a snapshot from one site and restore it into another.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;

const TOKEN: &str = "0123456789abcdef";
/// Polls, one each 50 ms, until a condition counts as not met.
const MAX_POLLS: u32 = 600;

/// A node process with its own platform stand-in.
struct RestoreSite {
    caller: SocketAddr,
    admin: SocketAddr,
    child: Child,
    _platform: PlatformStandin,
}

impl RestoreSite {
    fn start(name: &str) -> Self {
        let platform = PlatformStandin::bind(PlatformOptions::default()).unwrap();
        let local = "127.0.0.1:0";
        let settings = format!(
            "[node]\nname = {name}\nregion = region-1\nzone = zone-1\ncaller_address = {local}\n\
             peer_address = {local}\nadmin_address = {local}\n\
             [platform]\naddress = {}\n[admin]\nroot_token = {TOKEN}\n",
            platform.address()
        );
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("restore-{name}-{}.ini", std::process::id()));
        fs::write(&file, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_tanagerladderd"))
            .arg("--config")
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let output = child.stdout.take().unwrap();
        BufReader::new(output).read_line(&mut line).unwrap();
        let address = |prefix: &str| {
            let mut parts = line.split_whitespace();
            let part = parts.find_map(|part| part.strip_prefix(prefix));
            part.unwrap().parse().unwrap()
        };
        let site = Self {
            caller: address("caller="),
            admin: address("admin="),
            child,
            _platform: platform,
        };
        site.wait_for("ready", || site.get("/ready").0 == 200);
        site
    }

    fn get(&self, path: &str) -> (u16, Value) {
        exchange(self.admin, "GET", path, "")
    }

    fn change(&self, method: &str, path: &str, body: &Value) -> (u16, Value) {
        exchange(self.admin, method, path, &body.to_string())
    }

    fn wait_for(&self, state: &str, condition: impl Fn() -> bool) {
        for _ in 0..MAX_POLLS {
            if condition() {
                return;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        panic!("timed out: {state}");
    }

    /// Returns name, pool and activity of each VM, without the versions, which a restore changes.
    fn vms(&self) -> Vec<(Value, Value, Value)> {
        let (_, reply) = self.get("/v1/vms");
        let vms = reply["vms"].as_array().unwrap();
        let rows = vms.iter().map(|vm| {
            let mut activity = vm["activity"].clone();
            if let Some(draining) = activity.get_mut("draining").and_then(Value::as_object_mut) {
                draining.remove("since");
            }
            (vm["vm"].clone(), vm["pool"].clone(), activity)
        });
        rows.collect()
    }
}

impl Drop for RestoreSite {
    fn drop(&mut self) {
        // Both fail when the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request; returns the status and the body, which is null unless it is JSON.
fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, Value) {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {TOKEN}\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, serde_json::from_str(body).unwrap_or_default())
}

fn document(endpoint: &EndpointStandin) -> Value {
    let pools = ["intake", "intake", "files", "files", "spare", "spare"];
    let vms = endpoint.endpoints().into_iter().zip(pools);
    let vms: serde_json::Map<String, Value> = vms
        .map(|((vm, address), pool)| {
            let config = json!({
                "address": address, "pool": pool, "zone": "zone-1", "rack": "rack-1", "slots": 8,
            });
            (vm, config)
        })
        .collect();
    json!({
        "site": "example",
        "pools": {"intake": {"floor": 1}, "files": {"floor": 2}, "spare": {}},
        "vms": vms,
        "teams": {},
    })
}

/// Guards against a restore that returns a drained VM to service, moves a VM back, resumes a
/// paused wave, or overwrites a store in use.
#[tokio::test(flavor = "multi_thread")]
async fn restored_site_keeps_drains_moves_and_pauses() {
    let options = EndpointOptions {
        count: 6,
        ..EndpointOptions::default()
    };
    let endpoint = EndpointStandin::bind(&options).unwrap();
    let document = document(&endpoint);
    let first = RestoreSite::start("first");
    let configure = json!({"expected": 0, "document": document});
    assert_eq!(first.change("PUT", "/v1/config", &configure).0, 200);
    let names: Vec<String> = endpoint.endpoints().into_iter().map(|row| row.0).collect();
    let version = || first.get("/v1/config").1["version"].clone();
    let vm_path = |vm: &str, action: &str| format!("/v1/vms/{vm}/{action}");
    let body = json!({"to": "intake", "expected": version()});
    assert_eq!(
        first.change("POST", &vm_path(&names[4], "move"), &body).0,
        200
    );
    first.wait_for("moved", || first.vms()[4].1 == "intake");
    let body = json!({"reason": "disk", "expected": version()});
    assert_eq!(
        first.change("POST", &vm_path(&names[0], "drain"), &body).0,
        200
    );
    // The pool is at its floor, so the wave starts no VM before it is paused.
    let (status, wave) = first.change("POST", "/v1/waves", &json!({"pool": "files"}));
    assert_eq!(status, 200, "{wave}");
    let wave = format!("files-{}", wave["version"]);
    let pause = format!("/v1/waves/{wave}/pause");
    let body = json!({"reason": "night", "expected": version()});
    assert_eq!(first.change("POST", &pause, &body).0, 200);
    let (status, snapshot) = first.get("/v1/snapshot");
    assert_eq!(status, 200);

    let second = RestoreSite::start("second");
    let (status, reply) = second.change("PUT", "/v1/snapshot", &snapshot);
    assert_eq!(status, 200, "{reply}");
    let assert_restored = |path: &str, field: &str| {
        let expected = first.get(path).1[field].clone();
        assert!(!expected.is_null());
        assert_eq!(second.get(path).1[field], expected);
    };
    assert_restored("/v1/config", "document");
    assert_eq!(second.vms(), first.vms());
    assert_eq!(second.vms()[0].2, json!({"draining": {"reason": "disk"}}));
    let status = second.get("/v1/waves").1["waves"][&wave]["status"].clone();
    assert_eq!(status, json!({"paused": {"reason": "night"}}));
    for pool in ["intake", "files", "spare"] {
        second.wait_for("answered", || {
            exchange(second.caller, "GET", &format!("/{pool}/x"), "").0 == 200
        });
    }
    assert!(endpoint.runs().iter().all(|run| run.endpoint != names[0]));

    for site in [&first, &second] {
        let before = site.get("/v1/config");
        assert_eq!(site.change("PUT", "/v1/snapshot", &snapshot).0, 409);
        assert_eq!(site.get("/v1/config"), before);
    }
}
