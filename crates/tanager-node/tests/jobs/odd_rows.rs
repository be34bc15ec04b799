//! Rows, VMs and reports of other writers that cannot be used, with node processes.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_standin::site::SiteStandin;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::JobSite;
use crate::harness::NodeProcess;
use crate::harness::assert_single_runs;
use crate::harness::count_done;
use crate::harness::eventually;
use crate::harness::exchange;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;

/// Tasks of a job that together need all three workers, of 16 cores each.
const TASKS_FOR_ALL: u32 = 44;

/// Returns an array nested this deeply, far beyond what a recursive decoder can read.
fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Entries that name no worker, each odd in one field only.
fn odd_entries(prefix: &str) -> Vec<(String, String)> {
    let entry = |address: &str, capacity: &str, more: &str| {
        format!(
            r#"{{"service":"{POOL}","address":"{address}","zone":"zone-1","version":"v1","slots":8,
            "state":"ready","cold_remaining_ms":0,"labels":["a","r-{POOL}-0"],"clock_ms":1,
            "sequence":1,"capacity":{capacity}{more}}}"#
        )
    };
    let usual = r#"{"cpu":16000,"memory_request_mb":65536,"gpu":0}"#;
    let near_limit = r#"{"cpu":18446744073709551615,"memory_request_mb":18446744073709551615,
        "gpu":18446744073709551615}"#;
    let address = "127.0.0.1:9";
    let entries = [
        ("nested", nested(50_000 / 2)),
        (
            "nested-field",
            entry(
                address,
                usual,
                &format!(r#","drain_remaining_ms":{}"#, nested(20_000)),
            ),
        ),
        ("capacity", entry(address, near_limit, "")),
        ("capacity-again", entry(address, near_limit, "")),
        ("capacity-float", entry(address, r#"{"cpu":1e400}"#, "")),
        ("port", entry("127.0.0.1:70000", usual, "")),
        ("port-zero", entry("127.0.0.1:0", usual, "")),
        (
            "born",
            entry(address, usual, r#","born":18446744073709551615"#),
        ),
        ("born-float", entry(address, usual, r#","born":1e30"#)),
        (
            "drain",
            entry(address, usual, r#","drain_remaining_ms":1e21"#),
        ),
        ("address", entry("0.0.0.0:9", usual, "")),
    ];
    entries
        .into_iter()
        .map(|(key, value)| (format!("{prefix}-{key}"), value))
        .collect()
}

fn put_odd_rows(standin: &SiteStandin, prefix: &str) -> Vec<String> {
    let mut keys = Vec::new();
    for (key, value) in odd_entries(prefix) {
        standin.put_row("servers", &key, value.as_bytes());
        keys.push(key);
    }
    for (name, bytes) in [("no-text", &b"\xff\xfe\x00"[..]), ("empty", b"")] {
        let key = format!("{prefix}-{name}");
        standin.put_row("servers", &key, bytes);
        keys.push(key);
    }
    for (name, json) in [
        ("no-base64", r#""%%%""#),
        ("raw-number", "1e400"),
        ("raw-nested", &nested(20_000)),
    ] {
        let key = format!("{prefix}-{name}");
        standin.put_raw_row("servers", &key, json);
        keys.push(key);
    }
    keys
}

async fn skipped_rows(node: &NodeProcess) -> u64 {
    let request = HttpRequest::new(Method::GET, "/metrics", "");
    let response = exchange(node.ports.admin_address(), request).await;
    let body = response.expect("metrics").body;
    let text = String::from_utf8_lossy(&body).into_owned();
    (text.lines())
        .find_map(|line| line.strip_prefix("tanager_rows_skipped_total "))
        .and_then(|value| value.parse().ok())
        .expect("the metric")
}

async fn complete_job(site: &JobSite, node: usize, tasks: u32, specification: &str) {
    let id = new_job_id();
    let body = job_of_steps(&[tasks], specification);
    assert!(site.submit(node, POOL, &id, &body).await);
    site.wait_for_state(POOL, &id, "completed").await;
}

/// Guards against nodes that end, stop following the list of workers or count workers that do not
/// exist because of entries that another writer left, before or after the start of the nodes, and
/// against a log line for each read of such an entry.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_leave_the_workers_usable() {
    let pools = [pool(POOL, 3)];
    let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
    standin.put_config(1, &pools);
    let mut keys = put_odd_rows(&standin, "early");
    let nodes = (0..2)
        .map(|number| NodeProcess::spawn(&standin, &format!("node-{number}"), ""))
        .collect();
    let mut site = JobSite { standin, nodes };
    site.wait_until_owned(&pools).await;
    complete_job(&site, 0, 6, "ms=100").await;
    keys.extend(put_odd_rows(&site.standin, "late"));
    // A job that is accepted while the rows are read.
    complete_job(&site, 1, 6, "ms=100").await;
    // Full reads, and new versions of the same rows.
    site.standin
        .set_faults(|faults| faults.history_dropped = true);
    time::sleep(Duration::from_millis(1_500)).await;
    site.standin
        .set_faults(|faults| faults.history_dropped = false);
    put_odd_rows(&site.standin, "late");
    let restarted_at = site.standin.elapsed();
    site.standin.crash_worker(0, Duration::from_millis(300));
    eventually("the worker added later is used", async || {
        complete_job(&site, 0, TASKS_FOR_ALL, "ms=700").await;
        (site.standin.runs().iter()).any(|run| run.worker == 0 && run.started_at > restarted_at)
    })
    .await;
    assert_single_runs(&site.standin.runs());
    // Log lines are written with a delay.
    time::sleep(Duration::from_millis(700)).await;
    assert!(site.nodes.iter_mut().all(NodeProcess::is_running));
    for node in &site.nodes {
        let log = std::fs::read_to_string(&node.log).expect("log");
        assert_eq!(log.matches("event=task_panicked").count(), 0, "{log}");
        for key in &keys {
            let text = format!("event=row_skipped table=servers key=\"{key}\" ");
            assert_eq!(log.matches(&text).count(), 1, "{key}");
        }
        let longest = log.lines().map(str::len).max().unwrap_or(0);
        assert!(longest < 4_000, "a line of {longest} bytes");
        assert!(skipped_rows(node).await >= keys.len() as u64);
        let dump = node.dump().await.expect("a dump").to_string();
        assert!(
            !dump.contains("early-") && !dump.contains("late-"),
            "{dump}"
        );
    }
}

/// Guards against an owner that loses the runs of its workers because of odd entries in their
/// reports, and against clocks and counts that overflow.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_in_reports_hide_no_runs() {
    let site = JobSite::start(1, &[pool(POOL, 3)]).await;
    site.standin
        .set_faults(|faults| faults.lists_odd_entries = true);
    let before = site.standin.runs().len();
    complete_job(&site, 0, 20, "ms=300").await;
    complete_job(&site, 0, 20, "ms=300").await;
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs[before..]), 40);
    time::sleep(Duration::from_millis(700)).await;
    let log = std::fs::read_to_string(&site.nodes[0].log).expect("log");
    assert_eq!(log.matches("event=task_panicked").count(), 0, "{log}");
    assert_eq!(log.matches("event=row_skipped table=report").count(), 3);
}

/// Guards against a coordinator that carries out no wave because it cannot read what is stored of another VM
/// or of the wave.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_rows_of_the_coordinator_hold_up_no_wave() {
    let pools = [pool(POOL, 3)];
    let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
    standin.put_config(1, &pools);
    standin.put_part_row("home", "duty", "m-000", b"{");
    standin.put_part_row("wave", "duty", "2", b"[]");
    let nodes = vec![NodeProcess::spawn(&standin, "node-0", "")];
    let site = JobSite { standin, nodes };
    site.wait_until_owned(&pools).await;
    let vms = site.standin.vms(POOL);
    let wave = json!({"wave": 2, "machines": vms, "duration_s": 60, "cap": 1});
    site.standin
        .put_row("op", "wave/2", wave.to_string().as_bytes());
    eventually("the wave is completed", async || {
        let status = site.standin.row("status", "wave/2").unwrap_or_default();
        String::from_utf8_lossy(&status).contains("completed")
    })
    .await;
    assert_eq!(site.standin.machine_orders().len(), vms.len());
}

/// Guards against a coordinator that carries out no wave because of odd waves, or odd VMs in the
/// platform's list, and against an odd row that replaces a wave.
#[tokio::test(flavor = "multi_thread")]
async fn odd_waves_and_vms_hold_up_no_wave() {
    let site = JobSite::start(2, &[pool(POOL, 3)]).await;
    site.standin
        .set_faults(|faults| faults.lists_odd_entries = true);
    let vms = site.standin.vms(POOL);
    let wave = json!({"wave": 2, "machines": vms, "duration_s": 60, "cap": 1});
    let odd = [
        ("wave/1", nested(20_000)),
        (
            "wave/3",
            json!({"wave": 3, "machines": vms, "duration_s": 1e300, "cap": 1}).to_string(),
        ),
        (
            "wave/4",
            json!({"wave": 4, "machines": vms, "duration_s": -1, "cap": 3}).to_string(),
        ),
        (
            "wave/5",
            r#"{"wave":5,"machines":["m-000"],"duration_s":1e400,"cap":1}"#.to_owned(),
        ),
        (
            "wave/x",
            json!({"wave": 2, "machines": [], "duration_s": 60, "cap": 1}).to_string(),
        ),
    ];
    for (key, value) in &odd {
        site.standin.put_row("op", key, value.as_bytes());
    }
    site.standin.put_raw_row("op", "wave/6", "[[1e400]]");
    time::sleep(Duration::from_millis(1_200)).await;
    site.standin
        .put_row("op", "wave/2", wave.to_string().as_bytes());
    // A later version that cannot be read keeps the wave that is in force.
    time::sleep(Duration::from_millis(1_200)).await;
    site.standin.put_row("op", "wave/2", b"[]");
    eventually("the wave is completed", async || {
        let status = site.standin.row("status", "wave/2").unwrap_or_default();
        String::from_utf8_lossy(&status).contains("completed")
    })
    .await;
    let mut orders = site.standin.machine_orders();
    orders.sort();
    let expected: Vec<String> = vms.iter().map(|vm| format!("upkeep {vm}")).collect();
    assert_eq!(orders, expected);
    for number in [1, 3, 4, 5, 6] {
        let status = site.standin.row("status", &format!("wave/{number}"));
        assert_eq!(status, None, "wave {number}");
    }
    assert!(site.owner(CELL).await.is_some());
}

/// Guards against a node that gives up the configuration in force because a later version cannot be
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn unreadable_configuration_keeps_the_one_in_force() {
    let pools = [pool(POOL, 3)];
    let site = JobSite::start(1, &pools).await;
    for json in [r#""%%%""#, "1e400", &nested(20_000)] {
        site.standin.put_raw_row("op", "config", json);
        time::sleep(Duration::from_millis(700)).await;
        complete_job(&site, 0, 2, "ms=50").await;
    }
    site.standin
        .put_row("op", "config", nested(20_000).as_bytes());
    time::sleep(Duration::from_millis(700)).await;
    complete_job(&site, 0, 2, "ms=50").await;
    // The next readable version is in force.
    site.standin
        .put_config(9, &[pool(POOL, 3), pool("other", 0)]);
    eventually("the next version is in force", async || {
        let response = site.request(0, Method::GET, "/other/", "").await;
        // A pool without workers has no owner, but its queue exists.
        response.is_some_and(|response| response.status.as_u16() != 404)
    })
    .await;
}

/// Guards against an owner that goes on for as long as it stores nothing after a newer program, whose
/// owner rows it cannot decode, has acquired its cell (two owners of one cell).
#[tokio::test(flavor = "multi_thread")]
async fn owner_row_of_a_newer_program_ends_the_ownership() {
    let site = JobSite::start(2, &[pool(POOL, 3)]).await;
    assert!(site.owner(CELL).await.is_some());
    let newer = json!({"node": "elsewhere", "incarnation": 1, "unheard_of": true}).to_string();
    (site.standin).put_part_row("cell", CELL, "owner", newer.as_bytes());
    eventually("the cell is closed", async || {
        site.owner(CELL).await.is_none()
    })
    .await;
    time::sleep(Duration::from_millis(1_000)).await;
    assert!(site.owner(CELL).await.is_none());
    let readable = json!({"node": "elsewhere", "incarnation": 1}).to_string();
    (site.standin).put_part_row("cell", CELL, "owner", readable.as_bytes());
    eventually("the cell is acquired again", async || {
        site.owner(CELL).await.is_some()
    })
    .await;
    complete_job(&site, 0, 2, "ms=100").await;
}
