//! Cancellations and questions about jobs that are being stored, beside changes of the owner and a
//! store that does not respond.

use std::time::Duration;

use http::HeaderValue;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_standin::site::HOST;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::JobSite;
use crate::harness::eventually;
use crate::harness::exchange;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;
use crate::harness::send_request;
use crate::small_site;

/// Returns the status of the response to a DELETE of a job; `None` without a response.
pub(crate) async fn cancel(site: &JobSite, node: usize, id: &str) -> Option<u16> {
    let path = format!("/{POOL}/{id}");
    let response = site.request(node, Method::DELETE, &path, "").await?;
    Some(response.status.as_u16())
}

/// Waits until a DELETE of a job is acknowledged.
async fn cancel_until_acknowledged(site: &JobSite, node: usize, id: &str) {
    eventually("the cancellation is acknowledged", async || {
        matches!(cancel(site, node, id).await, Some(200 | 410))
    })
    .await;
}

/// Checks that no task of the jobs runs, now or within the next seconds.
async fn assert_never_run_again(site: &JobSite, ids: &[String]) {
    let runs_of_jobs = || {
        let mut runs = site.standin.runs();
        runs.retain(|run| ids.iter().any(|id| run.task.starts_with(id.as_str())));
        runs
    };
    eventually("the runs of the cancelled jobs end", async || {
        runs_of_jobs().iter().all(|run| run.ended.is_some())
    })
    .await;
    let before = runs_of_jobs().len();
    time::sleep(Duration::from_secs(3)).await;
    assert_eq!(runs_of_jobs().len(), before, "{:?}", runs_of_jobs());
}

/// Guards against a former owner that resumes and answers "no such job" for a job that its successor
/// has accepted, so that the job runs on after an acknowledged cancellation (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn resumed_owner_acknowledges_no_cancellation_for_its_successor() {
    let site = small_site(3).await;
    let former = site.owner(CELL).await.expect("owner");
    site.nodes[former].signal(Signal::SIGSTOP);
    let others = [(former + 1) % 3, (former + 2) % 3];
    eventually("another node owns the cell", async || {
        for other in others {
            let dump = site.nodes[other].dump().await.unwrap_or_default();
            let cells = dump["cells"].as_array().cloned().unwrap_or_default();
            if cells.iter().any(|cell| cell["cell"] == CELL) {
                return true;
            }
        }
        false
    })
    .await;
    let body = job_of_steps(&[1], "ms=60000");
    let mut requests = Vec::new();
    let mut ids = Vec::new();
    for _ in 0..10 {
        let id = new_job_id();
        assert!(site.submit(others[0], POOL, &id, &body).await);
        let address = site.nodes[former].ports.client_address();
        let path = format!("/{POOL}/{id}");
        requests.push(tokio::spawn(async move {
            send_request(address, Method::DELETE, &path, "").await
        }));
        ids.push(id);
    }
    // The requests wait in the listen queue of the frozen process.
    time::sleep(Duration::from_millis(300)).await;
    site.nodes[former].signal(Signal::SIGCONT);
    for (request, id) in requests.into_iter().zip(&ids) {
        let response = request.await.expect("a task that ends");
        let status = response.map(|response| response.status.as_u16());
        assert_ne!(status, Some(410), "job {id} was accepted and is running");
        if status != Some(200) {
            cancel_until_acknowledged(&site, others[0], id).await;
        }
    }
    assert_never_run_again(&site, &ids).await;
}

/// Guards against a cancellation that is acknowledged while the transaction that accepts its job is
/// still in progress and commits later (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn job_cancelled_while_it_is_being_stored_never_runs() {
    let site = small_site(2).await;
    let owner = site.owner(CELL).await.expect("owner");
    // The store commits the job, but the owner does not learn of it for some seconds.
    site.standin
        .set_faults(|faults| faults.change_response_loss_rate = 1.0);
    let id = new_job_id();
    let path = format!("/{POOL}/{id}");
    let body = job_of_steps(&[1], "ms=60000").to_string();
    let address = site.nodes[owner].ports.client_address();
    let submit_path = path.clone();
    let submission =
        tokio::spawn(async move { send_request(address, Method::POST, &submit_path, &body).await });
    time::sleep(Duration::from_millis(100)).await;
    let mut status = cancel(&site, owner, &id).await;
    site.standin
        .set_faults(|faults| faults.change_response_loss_rate = 0.0);
    // The outcome of the submission may be unknown to its client.
    let _ = submission.await.expect("a task that ends");
    if !matches!(status, Some(200 | 410)) {
        status = None;
        cancel_until_acknowledged(&site, owner, &id).await;
    }
    time::sleep(Duration::from_secs(2)).await;
    let state = site.job_state(owner, POOL, &id).await;
    assert_ne!(state.as_deref(), Some("running"), "DELETE got {status:?}");
    assert_never_run_again(&site, &[id]).await;
}

/// Guards against a submission that arrives after its job was cancelled, for instance because a
/// node was slow to forward it, and runs (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn job_submitted_after_its_cancellation_never_runs() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let id = new_job_id();
    assert_eq!(cancel(&site, other, &id).await, Some(410));
    let path = format!("/{POOL}/{id}");
    let body = job_of_steps(&[1], "ms=60000").to_string();
    let response = site.request(other, Method::POST, &path, &body).await;
    assert_eq!(response.expect("a response").status.as_u16(), 410);
    // The next owner knows of the cancellation as well.
    site.nodes[owner].kill();
    eventually("the next owner refuses the job", async || {
        let response = site.request(other, Method::POST, &path, &body).await;
        response.is_some_and(|response| response.status.as_u16() == 410)
    })
    .await;
    assert_never_run_again(&site, &[id]).await;
    assert!(site.standin.runs().is_empty());
}

/// Guards against a cancellation that waits for a former owner until its client gives up, although
/// the cell is handed over at once.
#[tokio::test(flavor = "multi_thread")]
async fn cancellations_during_handovers_are_acknowledged() {
    let mut site = small_site(3).await;
    let body = job_of_steps(&[1], "ms=60000");
    let mut ids = Vec::new();
    for _ in 0..20 {
        let id = new_job_id();
        assert!(site.submit(0, POOL, &id, &body).await);
        ids.push(id);
    }
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    site.nodes[owner].signal(Signal::SIGTERM);
    let address = site.nodes[other].ports.client_address();
    let mut requests = Vec::new();
    for id in &ids {
        let path = format!("/{POOL}/{id}");
        requests.push(tokio::spawn(async move {
            send_request(address, Method::DELETE, &path, "").await
        }));
        time::sleep(Duration::from_millis(10)).await;
    }
    for request in requests {
        let response = request.await.expect("a task that ends");
        let status = response.map(|response| response.status.as_u16());
        assert_eq!(status, Some(200));
    }
    assert_eq!(site.nodes[owner].wait_for_exit().await, Some(0));
}

/// Guards against a job that is reported as unknown while it is being stored, and then runs.
#[tokio::test(flavor = "multi_thread")]
async fn job_that_is_being_stored_is_not_reported_as_unknown() {
    let site = small_site(2).await;
    let owner = site.owner(CELL).await.expect("owner");
    site.standin
        .set_faults(|faults| faults.change_response_loss_rate = 1.0);
    let id = new_job_id();
    let path = format!("/{POOL}/{id}");
    let body = job_of_steps(&[1], "ms=100").to_string();
    let address = site.nodes[owner].ports.client_address();
    let submission =
        tokio::spawn(async move { send_request(address, Method::POST, &path, &body).await });
    time::sleep(Duration::from_millis(300)).await;
    for node in 0..2 {
        let state = site.job_state(node, POOL, &id).await;
        assert_ne!(state.as_deref(), Some("unknown"));
    }
    site.standin
        .set_faults(|faults| faults.change_response_loss_rate = 0.0);
    // The outcome of the submission may be unknown to its client.
    let _ = submission.await.expect("a task that ends");
    site.wait_for_state(POOL, &id, "completed").await;
}

/// Guards against a cancellation that is forgotten because the client gives up before the cell has a
/// new owner (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_cancellation_takes_effect_after_the_takeover() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let id = new_job_id();
    let body = job_of_steps(&[2], "ms=60000");
    assert!(site.submit(other, POOL, &id, &body).await);
    site.nodes[owner].kill();
    let mut request = HttpRequest::new(Method::DELETE, format!("/{POOL}/{id}"), "");
    let deadline = HeaderValue::from_static("1500");
    request.headers.insert("x-deadline-milliseconds", deadline);
    let response = exchange(site.nodes[other].ports.client_address(), request).await;
    let status = response.map(|response| response.status.as_u16());
    assert_eq!(status, Some(503), "the takeover takes longer");
    eventually("the job is cancelled", async || {
        site.job_state(other, POOL, &id).await.as_deref() == Some("cancelled")
    })
    .await;
    assert_never_run_again(&site, &[id]).await;
}

/// Guards against a cancellation that is dropped because its client closes the connection (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_of_a_client_that_left_takes_effect() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let id = new_job_id();
    let body = job_of_steps(&[2], "ms=60000");
    assert!(site.submit(other, POOL, &id, &body).await);
    site.nodes[owner].kill();
    let request = cancel(&site, other, &id);
    let response = time::timeout(Duration::from_millis(300), request).await;
    assert!(response.is_err(), "the takeover takes longer: {response:?}");
    eventually("the job is cancelled", async || {
        site.job_state(other, POOL, &id).await.as_deref() == Some("cancelled")
    })
    .await;
    assert_never_run_again(&site, &[id]).await;
}

/// Guards against starts that wait for a connection to their worker and are sent after their job's
/// cancellation was acknowledged (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn waiting_starts_are_not_sent_after_the_cancellation() {
    let site = JobSite::start(1, &[pool(POOL, 1)]).await;
    // Each order takes as long as its time limit; the worker carries it out.
    site.standin
        .set_faults(|faults| faults.order_response_loss_rate = 1.0);
    let id = new_job_id();
    let body = job_of_steps(&[16], "ms=60000");
    assert!(site.submit(0, POOL, &id, &body).await);
    eventually("the first starts are sent", async || {
        !site.standin.runs().is_empty()
    })
    .await;
    assert_eq!(cancel(&site, 0, &id).await, Some(200));
    let acknowledged_at = site.standin.elapsed();
    time::sleep(Duration::from_secs(2)).await;
    site.standin
        .set_faults(|faults| faults.order_response_loss_rate = 0.0);
    let late: Vec<_> = (site.standin.runs().into_iter())
        .filter(|run| run.started_at > acknowledged_at)
        .collect();
    assert!(
        late.is_empty(),
        "acknowledged at {acknowledged_at:?}: {late:?}"
    );
    assert_never_run_again(&site, &[id]).await;
}

/// Assigns the queue of [`POOL`] to a pool by a new version of the configuration, and waits until the
/// nodes have applied it.
pub(crate) async fn assign_queue(site: &JobSite, version: u64, pool: &str) {
    let route = json!({"name": POOL, "host": HOST, "path_prefix": format!("/{POOL}/"),
                       "service": pool, "priority": 0, "max_attempts": 3, "stretch": 2.0,
                       "target_latency_ms": 600});
    // A node is not ready while a configured pool has never had workers.
    let services: Vec<_> = ([POOL, "other", "empty"].iter())
        .filter(|name| **name != "empty" || pool == "empty")
        .map(|name| json!({"name": name, "enforces_capacity": true, "spare": false}))
        .collect();
    let config = json!({"version": version, "routes": [route], "services": services,
                        "limits": {"body_bytes": 262_144}});
    (site.standin).put_row("op", "config", config.to_string().as_bytes());
    for node in &site.nodes {
        eventually("the configuration is applied", async || {
            let log = std::fs::read_to_string(&node.log).expect("log");
            log.contains(&format!("event=config_taken version={version}"))
        })
        .await;
    }
}

/// Guards against a job that is accepted in the new pool of its queue after it was cancelled in the
/// former one (UNASKED).
#[tokio::test(flavor = "multi_thread")]
async fn cancellation_holds_after_the_queue_moves_to_another_pool() {
    let site = JobSite::start(2, &[pool(POOL, 2), pool("other", 2)]).await;
    let id = new_job_id();
    assert_eq!(cancel(&site, 0, &id).await, Some(410));
    assign_queue(&site, 2, "other").await;
    let path = format!("/{POOL}/{id}");
    let body = job_of_steps(&[1], "ms=60000").to_string();
    let response = site.request(1, Method::POST, &path, &body).await;
    assert_eq!(response.expect("a response").status.as_u16(), 410);
    assert_never_run_again(&site, &[id]).await;
}

/// Guards against jobs that can neither be seen nor cancelled because their queue was assigned to a
/// pool without workers.
#[tokio::test(flavor = "multi_thread")]
async fn job_is_cancelled_after_its_queue_moves_to_an_empty_pool() {
    let site = JobSite::start(2, &[pool(POOL, 2), pool("other", 2)]).await;
    let id = new_job_id();
    let body = job_of_steps(&[2], "ms=60000");
    assert!(site.submit(0, POOL, &id, &body).await);
    eventually("the job runs", async || site.standin.runs().len() == 2).await;
    assign_queue(&site, 2, "empty").await;
    let state = site.job_state(1, POOL, &id).await;
    assert_eq!(state.as_deref(), Some("running"));
    assert_eq!(cancel(&site, 1, &id).await, Some(200));
    assert_never_run_again(&site, &[id]).await;
}
