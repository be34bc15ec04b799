//! Node processes of the job service against a stand-in of the platform, under faults. The judge
//! compares what clients were told with what the workers ran.

mod faults;
mod harness;
mod logs;
mod policies;

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tanager_standin::site::SitePool;
use tokio::time;

use harness::JobSite;
use harness::check_once;
use harness::done;
use harness::eventually;
use harness::new_id;
use harness::pool;
use harness::steps;

const POOL: &str = "entry";
const CELL: &str = "entry/0";

async fn small_site(nodes: usize) -> JobSite {
    JobSite::start(nodes, &[pool(POOL, 3)]).await
}

/// Guards against a job that is not run whole, in order and once, at whichever node it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn job_runs_whole() {
    let site = small_site(3).await;
    let mut ids = Vec::new();
    for number in 0..9 {
        let id = new_id();
        assert!(
            site.submit(number % 3, POOL, &id, &steps(&[3, 2], "ms=100"))
                .await
        );
        ids.push(id);
    }
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 9 * 5);
}

/// Guards against wrong answers to what does not exist.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_queue_and_job() {
    let site = small_site(2).await;
    let response = site.request(0, Method::GET, "/nothing/", "").await;
    assert_eq!(response.expect("answer").status.as_u16(), 404);
    let path = format!("/{POOL}/{}", new_id());
    for method in [Method::GET, Method::DELETE] {
        let response = site.request(1, method, &path, "").await;
        assert_eq!(response.expect("answer").status.as_u16(), 410);
    }
    let response = site.request(0, Method::GET, &format!("/{POOL}/"), "").await;
    assert_eq!(response.expect("answer").body.as_ref(), b"{\"waiting\":0}");
}

/// Guards against malformed jobs that are accepted, or that end the process.
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
        let path = format!("/{POOL}/{}", new_id());
        let response = site.request(0, Method::POST, &path, body).await;
        assert_eq!(response.expect("answer").status.as_u16(), 400, "{body}");
    }
    for path in ["/entry/xyz", "/entry/0123", "/entry/0123456789ABCDEF"] {
        let body = steps(&[1], "ms=10").to_string();
        let response = site.request(0, Method::POST, path, &body).await;
        assert_eq!(response.expect("answer").status.as_u16(), 400, "{path}");
    }
    assert!(site.nodes[0].is_running());
}

/// Guards against a job too large for the store that blocks the writes of its cell.
#[tokio::test(flavor = "multi_thread")]
async fn large_jobs_do_not_block_their_cell() {
    let site = small_site(1).await;
    let large = new_id();
    assert!(site.submit(0, POOL, &large, &steps(&[4_000], "ms=1")).await);
    let too_large = steps(&[1; 1_500], "ms=1").to_string();
    let path = format!("/{POOL}/{}", new_id());
    let response = site.request(0, Method::POST, &path, &too_large).await;
    assert_eq!(response.expect("answer").status.as_u16(), 400);
    site.wait_for(POOL, &large, "completed").await;
    let small = new_id();
    assert!(site.submit(0, POOL, &small, &steps(&[1], "ms=1")).await);
    site.wait_for(POOL, &small, "completed").await;
}

/// Guards against a job that runs twice because the same id arrives at several nodes at once.
#[tokio::test(flavor = "multi_thread")]
async fn same_id_is_one_job() {
    let site = small_site(3).await;
    let id = new_id();
    let body = steps(&[2], "ms=200");
    let (first, second, third) = tokio::join!(
        site.submit(0, POOL, &id, &body),
        site.submit(1, POOL, &id, &body),
        site.submit(2, POOL, &id, &body),
    );
    assert!(first && second && third);
    site.wait_for(POOL, &id, "completed").await;
    assert!(site.submit(1, POOL, &id, &body).await);
    time::sleep(Duration::from_millis(500)).await;
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(runs.len(), 2);
}

/// Guards against runs of a cancelled job that go on.
#[tokio::test(flavor = "multi_thread")]
async fn cancelled_job_stops() {
    let site = small_site(2).await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[3], "ms=60000")).await);
    eventually("the job runs", async || site.site.runs().len() == 3).await;
    let path = format!("/{POOL}/{id}");
    let response = site.request(1, Method::DELETE, &path, "").await;
    assert!(response.expect("answer").status.is_success());
    assert_eq!(site.state(0, POOL, &id).await.as_deref(), Some("cancelled"));
    eventually("all runs end", async || {
        site.site.runs().iter().all(|run| run.ended.is_some())
    })
    .await;
    assert_eq!(site.site.runs().len(), 3);
}

/// Guards against a job shown as failed too early, or never.
#[tokio::test(flavor = "multi_thread")]
async fn hopeless_job_fails_after_its_attempts() {
    let site = small_site(2).await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[1], "ms=50 fail")).await);
    site.wait_for(POOL, &id, "failed").await;
    assert_eq!(site.site.runs().len(), 3);
}

/// Guards against a configuration that is not in force soon, or that goes back.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_changes() {
    let site = small_site(2).await;
    site.site.put_config(5, &[pool(POOL, 3), pool("more", 0)]);
    for node in 0..2 {
        eventually("the queue exists", async || {
            let response = site.request(node, Method::GET, "/more/", "").await;
            response.is_some_and(|response| response.status.as_u16() != 404)
        })
        .await;
    }
    site.site.put_config(4, &[pool(POOL, 3)]);
    time::sleep(Duration::from_millis(1_500)).await;
    let response = site.request(0, Method::GET, "/more/", "").await;
    assert_ne!(response.expect("answer").status.as_u16(), 404);
}

/// Guards against a wave that ends runs, exceeds its limit, or is reported too early.
#[tokio::test(flavor = "multi_thread")]
async fn maintenance_wave() {
    let site = small_site(2).await;
    let mut ids = Vec::new();
    for number in 0..4 {
        let id = new_id();
        assert!(
            site.submit(number % 2, POOL, &id, &steps(&[3, 3], "ms=400"))
                .await
        );
        ids.push(id);
    }
    let vms = site.site.vms(POOL);
    let wave = json!({"wave": 1, "machines": vms, "duration_s": 20, "cap": 1});
    site.site
        .put_row("op", "wave/1", wave.to_string().as_bytes());
    eventually("the wave is completed", async || {
        let status = site.site.row("status", "wave/1").unwrap_or_default();
        String::from_utf8_lossy(&status).contains("completed")
    })
    .await;
    let mut orders = site.site.machine_orders();
    orders.sort();
    orders.dedup();
    assert_eq!(orders.len(), 3);
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    assert!(
        runs.iter()
            .all(|run| !matches!(run.ended, Some((_, "lost")))),
        "{runs:?}"
    );
}

/// Guards against a surge that waits while VMs of the spare pool are off.
#[tokio::test(flavor = "multi_thread")]
async fn spare_vms_help_in_a_surge() {
    let spare = SitePool {
        name: "spare".to_owned(),
        workers: 2,
        spare: true,
        requires_ticket: false,
    };
    let pools = [pool(POOL, 1), spare];
    let site = JobSite::start(2, &pools).await;
    for number in 0..12 {
        let body = steps(&[12], "ms=1500");
        assert!(site.submit(number % 2, POOL, &new_id(), &body).await);
    }
    eventually("a VM was moved", async || {
        site.site
            .machine_orders()
            .iter()
            .any(|order| order.starts_with("moving"))
    })
    .await;
    eventually("moved VMs run tasks", async || {
        site.site.runs().iter().any(|run| run.worker > 0)
    })
    .await;
    check_once(&site.site.runs());
}

/// Guards against operators who cannot see queues, owners and jobs, or cancel a job.
#[tokio::test(flavor = "multi_thread")]
async fn operators_see_queues_cells_and_jobs() {
    let site = small_site(2).await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[1], "ms=60000")).await);
    let queues = site.operator(1, Method::GET, "/v1/queues").await;
    assert_eq!(queues["queues"][0]["pool"], POOL);
    let cells = site.operator(1, Method::GET, "/v1/cells").await;
    let cells = cells["cells"].as_array().cloned().unwrap_or_default();
    assert!(
        cells
            .iter()
            .any(|cell| cell["cell"] == CELL && cell["workers"] == 3)
    );
    let path = format!("/v1/jobs/{id}");
    for node in 0..2 {
        assert_eq!(site.operator(node, Method::GET, &path).await["cell"], CELL);
    }
    site.operator(0, Method::DELETE, &path).await;
    assert_eq!(
        site.operator(1, Method::GET, &path).await["state"],
        "cancelled"
    );
    let unknown = site
        .operator(0, Method::GET, "/v1/jobs/ffffffffffffffff")
        .await;
    assert!(unknown["error"]["message"].is_string());
    let malformed = site.operator(0, Method::GET, "/v1/jobs/7").await;
    assert!(malformed["error"]["message"].is_string());
}

/// Guards against operators who cannot hand a job in, and against bad input that is accepted.
#[tokio::test(flavor = "multi_thread")]
async fn operators_hand_jobs_in() {
    let site = small_site(2).await;
    let queues = site.operator(0, Method::GET, "/v1/queues").await;
    let queue = queues["queues"][0]["queue"].clone();
    let id = new_id();
    let step = json!({"count": 2, "request": {"cpu": 1_000, "memory_mb": 100}});
    let job = json!({"specification": "ms=100", "steps": [step]});
    let path = format!("/v1/jobs/{id}");
    let body = json!({"queue": queue, "job": job});
    for node in [1, 0] {
        let reply = site.operator_send(node, Method::POST, &path, &body).await;
        assert_eq!(reply["job"], id, "{reply}");
    }
    site.wait_for(POOL, &id, "completed").await;
    assert_eq!(site.site.runs().len(), 2);
    let bad = [
        json!({"queue": "nothing", "job": job}),
        json!({"queue": queue, "job": {"specification": "x", "steps": []}}),
        json!({"queue": queue, "job": {"specification": "x", "stepps": []}}),
        json!([]),
    ];
    for body in bad {
        let path = format!("/v1/jobs/{}", new_id());
        let reply = site.operator_send(0, Method::POST, &path, &body).await;
        assert!(reply["error"]["message"].is_string(), "{body}: {reply}");
    }
}

/// Guards against a reload signal that ends the process.
#[tokio::test(flavor = "multi_thread")]
async fn reload_keeps_the_node_running() {
    let mut site = small_site(1).await;
    site.nodes[0].signal(Signal::SIGHUP);
    time::sleep(Duration::from_millis(300)).await;
    assert!(site.nodes[0].is_running());
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[1], "ms=50")).await);
    site.wait_for(POOL, &id, "completed").await;
}
