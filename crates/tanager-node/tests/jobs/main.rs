//! Tests of the job service with node processes and a stand-in of the platform, also under faults.
//! They compare the responses that clients got with the runs that the workers recorded.

mod balance;
mod cancellation;
mod changed_routes;
mod config;
mod coordinator;
mod faults;
mod frozen_owner;
mod harness;
mod identity;
mod late_calls;
mod link;
mod logs;
mod memory;
mod merging;
mod moved_queues;
mod odd_rows;
mod panics;
#[allow(dead_code, reason = "the soak test uses the rest")]
#[path = "../soak/proxy.rs"]
mod proxy;
mod rejected_rows;
mod relocation;
mod run_lines;
mod scheduling;
mod slow_link;
mod version;

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tanager_standin::site::SitePool;
use tokio::time;

use harness::JobSite;
use harness::assert_single_runs;
use harness::count_done;
use harness::eventually;
use harness::job_of_steps;
use harness::new_job_id;
use harness::pool;

const POOL: &str = "entry";
const CELL: &str = "entry/0";

async fn small_site(nodes: usize) -> JobSite {
    JobSite::start(nodes, &[pool(POOL, 3)]).await
}

/// Guards against a job that does not run completely, in order and once, depending on the node that
/// receives it.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_run_completely_at_any_node() {
    let site = small_site(3).await;
    let mut ids = Vec::new();
    for number in 0..9 {
        let id = new_job_id();
        assert!(
            site.submit(number % 3, POOL, &id, &job_of_steps(&[3, 2], "ms=100"))
                .await
        );
        ids.push(id);
    }
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 9 * 5);
}

/// Guards against wrong status codes for queues and jobs that do not exist.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_queue_and_job() {
    let site = small_site(2).await;
    let response = site.request(0, Method::GET, "/nothing/", "").await;
    assert_eq!(response.expect("a response").status.as_u16(), 404);
    let path = format!("/{POOL}/{}", new_job_id());
    for method in [Method::GET, Method::DELETE] {
        let response = site.request(1, method, &path, "").await;
        assert_eq!(response.expect("a response").status.as_u16(), 410);
    }
    let response = site.request(0, Method::GET, &format!("/{POOL}/"), "").await;
    assert_eq!(
        response.expect("a response").body.as_ref(),
        b"{\"waiting\":0}"
    );
}

/// Guards against malformed jobs that are accepted or crash the process.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_jobs_are_rejected() {
    let mut site = small_site(1).await;
    let bodies = [
        "",
        "{",
        "[]",
        "{\"specification\":\"x\"}",
        "{\"specification\":\"x\",\"steps\":[]}",
        "{\"specification\":\"x\",\"steps\":[{\"count\":0}]}",
        "{\"specification\":\"x\",\"steps\":[{\"count\":1,\"after\":[0]}]}",
        "{\"specification\":7,\"steps\":[{\"count\":1}]}",
        "{\"specification\":\"x\",\"steps\":[{\"count\":4000000000}]}",
    ];
    for body in bodies {
        let path = format!("/{POOL}/{}", new_job_id());
        let response = site.request(0, Method::POST, &path, body).await;
        assert_eq!(response.expect("a response").status.as_u16(), 400, "{body}");
    }
    for path in ["/entry/xyz", "/entry/0123", "/entry/0123456789ABCDEF"] {
        let body = job_of_steps(&[1], "ms=10").to_string();
        let response = site.request(0, Method::POST, path, &body).await;
        assert_eq!(response.expect("a response").status.as_u16(), 400, "{path}");
    }
    assert!(site.nodes[0].is_running());
}

/// Guards against a job that is too large for the store and blocks the writes of its cell.
#[tokio::test(flavor = "multi_thread")]
async fn large_jobs_do_not_block_their_cell() {
    let site = small_site(1).await;
    let large = new_job_id();
    assert!(
        site.submit(0, POOL, &large, &job_of_steps(&[4_000], "ms=1"))
            .await
    );
    let too_large = job_of_steps(&[1; 1_500], "ms=1").to_string();
    let path = format!("/{POOL}/{}", new_job_id());
    let response = site.request(0, Method::POST, &path, &too_large).await;
    assert_eq!(response.expect("a response").status.as_u16(), 400);
    site.wait_for_state(POOL, &large, "completed").await;
    let small = new_job_id();
    assert!(
        site.submit(0, POOL, &small, &job_of_steps(&[1], "ms=1"))
            .await
    );
    site.wait_for_state(POOL, &small, "completed").await;
}

/// Guards against a cell that stores nothing any more because the store rejects a transaction for
/// its size, and against jobs that are lost when it is cut.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_transaction_is_cut() {
    let site = small_site(1).await;
    // The progress rows of these jobs change at the same time, after the limit is in force.
    let slow = submit_at_once(&site, 40, "ms=1500").await;
    // Enough for some rows beside the ledger row, not for those of all jobs.
    site.standin
        .set_faults(|faults| faults.max_change_bytes = 4_000);
    let fast = submit_at_once(&site, 20, "ms=100").await;
    for id in slow.iter().chain(&fast) {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 60 * 3);
}

/// Submits jobs at once, each with one request that must be accepted. Returns their ids.
async fn submit_at_once(site: &JobSite, count: usize, specification: &str) -> Vec<String> {
    let body = job_of_steps(&[2, 1], specification).to_string();
    let ids: Vec<String> = (0..count).map(|_| new_job_id()).collect();
    let submit = async |id: &String| {
        let path = format!("/{POOL}/{id}");
        let response = site.request(0, Method::POST, &path, &body).await;
        response.expect("a response").status.as_u16()
    };
    let statuses = futures_util::future::join_all(ids.iter().map(submit)).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    ids
}

/// Guards against a job that runs twice because the same id arrives at several nodes at once.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_submissions_of_one_id_run_once() {
    let site = small_site(3).await;
    let id = new_job_id();
    let body = job_of_steps(&[2], "ms=200");
    let (first, second, third) = tokio::join!(
        site.submit(0, POOL, &id, &body),
        site.submit(1, POOL, &id, &body),
        site.submit(2, POOL, &id, &body),
    );
    assert!(first && second && third);
    site.wait_for_state(POOL, &id, "completed").await;
    assert!(site.submit(1, POOL, &id, &body).await);
    time::sleep(Duration::from_millis(500)).await;
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(runs.len(), 2);
}

/// Guards against runs that continue after their job was cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_stops_its_runs() {
    let site = small_site(2).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[3], "ms=60000"))
            .await
    );
    eventually("the job runs", async || site.standin.runs().len() == 3).await;
    let path = format!("/{POOL}/{id}");
    let response = site.request(1, Method::DELETE, &path, "").await;
    assert!(response.expect("a response").status.is_success());
    assert_eq!(
        site.job_state(0, POOL, &id).await.as_deref(),
        Some("cancelled")
    );
    eventually("all runs end", async || {
        site.standin.runs().iter().all(|run| run.ended.is_some())
    })
    .await;
    assert_eq!(site.standin.runs().len(), 3);
}

/// Guards against a job that is reported as failed too early, or never.
#[tokio::test(flavor = "multi_thread")]
async fn failing_job_fails_after_its_attempts() {
    let site = small_site(2).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[1], "ms=50 fail"))
            .await
    );
    site.wait_for_state(POOL, &id, "failed").await;
    assert_eq!(site.standin.runs().len(), 3);
}

/// Guards against a configuration that is not applied in time, and against an older version that
/// replaces a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn newest_configuration_is_applied() {
    let site = small_site(2).await;
    site.standin
        .put_config(5, &[pool(POOL, 3), pool("more", 0)]);
    for node in 0..2 {
        eventually("the queue exists", async || {
            let response = site.request(node, Method::GET, "/more/", "").await;
            response.is_some_and(|response| response.status.as_u16() != 404)
        })
        .await;
    }
    site.standin.put_config(4, &[pool(POOL, 3)]);
    time::sleep(Duration::from_millis(1_500)).await;
    let response = site.request(0, Method::GET, "/more/", "").await;
    assert_ne!(response.expect("a response").status.as_u16(), 404);
}

/// Guards against a wave that ends runs, exceeds its limit, or is reported as completed too early.
#[tokio::test(flavor = "multi_thread")]
async fn maintenance_wave_keeps_jobs_running() {
    let site = small_site(2).await;
    let mut ids = Vec::new();
    for number in 0..4 {
        let id = new_job_id();
        assert!(
            site.submit(number % 2, POOL, &id, &job_of_steps(&[3, 3], "ms=400"))
                .await
        );
        ids.push(id);
    }
    let vms = site.standin.vms(POOL);
    let wave = json!({"wave": 1, "machines": vms, "duration_s": 20, "cap": 1});
    site.standin
        .put_row("op", "wave/1", wave.to_string().as_bytes());
    eventually("the wave is completed", async || {
        let status = site.standin.row("status", "wave/1").unwrap_or_default();
        String::from_utf8_lossy(&status).contains("completed")
    })
    .await;
    let mut orders = site.standin.machine_orders();
    orders.sort();
    orders.dedup();
    assert_eq!(orders.len(), 3);
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert!(
        runs.iter()
            .all(|run| !matches!(run.ended, Some((_, "lost")))),
        "{runs:?}"
    );
}

/// Guards against a wave whose orders are sent one after another: while the machine API is slow, they
/// would hold up moves to a pool in a surge.
#[tokio::test(flavor = "multi_thread")]
async fn orders_to_several_vms_are_sent_together() {
    let site = JobSite::start(2, &[pool(POOL, 6)]).await;
    (site.standin).set_faults(|faults| faults.machine_order_delay = Duration::from_millis(300));
    let vms = site.standin.vms(POOL);
    let wave = json!({"wave": 1, "machines": vms, "duration_s": 30, "cap": 6});
    (site.standin).put_row("op", "wave/1", wave.to_string().as_bytes());
    eventually("the wave is completed", async || {
        let status = site.standin.row("status", "wave/1").unwrap_or_default();
        String::from_utf8_lossy(&status).contains("completed")
    })
    .await;
    assert!(site.standin.max_parallel_orders() > 1);
}

/// Guards against an overloaded pool that waits although VMs of the spare pool are off.
#[tokio::test(flavor = "multi_thread")]
async fn spare_vms_move_to_an_overloaded_pool() {
    let spare = SitePool {
        name: "spare".to_owned(),
        workers: 2,
        spare: true,
        requires_ticket: false,
    };
    let pools = [pool(POOL, 1), spare];
    let site = JobSite::start(2, &pools).await;
    for number in 0..12 {
        let body = job_of_steps(&[12], "ms=1500");
        assert!(site.submit(number % 2, POOL, &new_job_id(), &body).await);
    }
    eventually("a VM was moved", async || {
        site.standin
            .machine_orders()
            .iter()
            .any(|order| order.starts_with("moving"))
    })
    .await;
    eventually("moved VMs run tasks", async || {
        site.standin.runs().iter().any(|run| run.worker > 0)
    })
    .await;
    assert_single_runs(&site.standin.runs());
}

/// Guards against a surge that no VM helps with because the homes of all VMs that it needs do not fit
/// into one transaction (lt-hallein-large, which has 177 spare VMs).
#[tokio::test(flavor = "multi_thread")]
async fn over_a_hundred_vms_move_at_once() {
    let spare = SitePool {
        name: "spare".to_owned(),
        workers: 120,
        spare: true,
        requires_ticket: false,
    };
    let site = JobSite::start(1, &[pool(POOL, 1), spare]).await;
    let body = job_of_steps(&[4_000], "ms=1500");
    assert!(site.submit(0, POOL, &new_job_id(), &body).await);
    eventually("VMs were moved", async || {
        let orders = site.standin.machine_orders();
        orders.iter().any(|order| order.starts_with("moving"))
    })
    .await;
    // Log lines are written with a delay.
    time::sleep(Duration::from_millis(500)).await;
    let log = std::fs::read_to_string(&site.nodes[0].log).expect("log");
    let rejected = log.matches("event=homes_not_noted").count();
    assert_eq!(rejected, 0, "moves that were given up");
}

/// Guards against an administration API that does not show queues, cells and jobs, or cannot cancel
/// a job.
#[tokio::test(flavor = "multi_thread")]
async fn operators_see_queues_cells_and_jobs() {
    let site = small_site(2).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[1], "ms=60000"))
            .await
    );
    let queues = site.admin_request(1, Method::GET, "/v1/queues").await;
    assert_eq!(queues["queues"][0]["pool"], POOL);
    let cells = site.admin_request(1, Method::GET, "/v1/cells").await;
    let cells = cells["cells"].as_array().cloned().unwrap_or_default();
    assert!(
        cells
            .iter()
            .any(|cell| cell["cell"] == CELL && cell["workers"] == 3)
    );
    let path = format!("/v1/jobs/{id}");
    for node in 0..2 {
        assert_eq!(
            site.admin_request(node, Method::GET, &path).await["cell"],
            CELL
        );
    }
    site.admin_request(0, Method::DELETE, &path).await;
    assert_eq!(
        site.admin_request(1, Method::GET, &path).await["state"],
        "cancelled"
    );
    let unknown = site
        .admin_request(0, Method::GET, "/v1/jobs/ffffffffffffffff")
        .await;
    assert!(unknown["error"]["message"].is_string());
    let malformed = site.admin_request(0, Method::GET, "/v1/jobs/7").await;
    assert!(malformed["error"]["message"].is_string());
}

/// Guards against an administration API that cannot submit a job, or accepts an invalid one.
#[tokio::test(flavor = "multi_thread")]
async fn operators_submit_jobs() {
    let site = small_site(2).await;
    let queues = site.admin_request(0, Method::GET, "/v1/queues").await;
    let queue = queues["queues"][0]["queue"].clone();
    let id = new_job_id();
    let step = json!({"count": 2, "request": {"cpu": 1_000, "memory_mb": 100}});
    let job = json!({"specification": "ms=100", "steps": [step]});
    let path = format!("/v1/jobs/{id}");
    let body = json!({"queue": queue, "job": job});
    for node in [1, 0] {
        let reply = site
            .admin_request_with_body(node, Method::POST, &path, &body)
            .await;
        assert_eq!(reply["job"], id, "{reply}");
    }
    site.wait_for_state(POOL, &id, "completed").await;
    assert_eq!(site.standin.runs().len(), 2);
    let bad = [
        json!({"queue": "nothing", "job": job}),
        json!({"queue": queue, "job": {"specification": "x", "steps": []}}),
        json!({"queue": queue, "job": {"specification": "x", "stepps": []}}),
        json!([]),
    ];
    for body in bad {
        let path = format!("/v1/jobs/{}", new_job_id());
        let reply = site
            .admin_request_with_body(0, Method::POST, &path, &body)
            .await;
        assert!(reply["error"]["message"].is_string(), "{body}: {reply}");
    }
}

/// Guards against a reload signal that ends the process.
#[tokio::test(flavor = "multi_thread")]
async fn reload_signal_keeps_the_node_running() {
    let mut site = small_site(1).await;
    site.nodes[0].signal(Signal::SIGHUP);
    time::sleep(Duration::from_millis(300)).await;
    assert!(site.nodes[0].is_running());
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[1], "ms=50"))
            .await
    );
    site.wait_for_state(POOL, &id, "completed").await;
}
