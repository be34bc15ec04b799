//! Jobs on routes that were added or changed a moment ago.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tanager_standin::site::HOST;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::cancellation::assign_queue;
use crate::harness::JobSite;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;
use crate::harness::send_request;
use crate::small_site;

/// Adds a route to the pool whose tasks have this number of attempts.
fn add_route(site: &JobSite, version: u64, prefix: &str, max_attempts: u32) {
    let route = |prefix: &str, max_attempts: u32| {
        json!({"name": prefix, "host": HOST, "path_prefix": prefix, "service": POOL, "priority": 0,
               "max_attempts": max_attempts, "stretch": 2.0, "target_latency_ms": 600})
    };
    let routes = [route(&format!("/{POOL}/"), 3), route(prefix, max_attempts)];
    let config = json!({"version": version, "routes": routes, "limits": {"body_bytes": 262_144},
                        "services": [{"name": POOL, "enforces_capacity": true, "spare": false}]});
    (site.standin).put_row("op", "config", config.to_string().as_bytes());
}

/// Guards against a job that gets the default number of attempts for good, because the owner of its cell
/// had not read the route when it accepted the job (LOST, or BUDGET if the route allows fewer).
#[tokio::test(flavor = "multi_thread")]
async fn attempts_follow_the_route_that_the_accepting_node_knows() {
    let site = small_site(2).await;
    let owner = site.owner(CELL).await.expect("owner");
    let entry = 1 - owner;
    let address = site.nodes[entry].ports.client_address();
    for (version, max_attempts) in [(2, 5), (3, 2)] {
        let prefix = format!("/new-{version}/");
        let id = new_job_id();
        let path = format!("{prefix}{id}");
        site.nodes[owner].signal(Signal::SIGSTOP);
        add_route(&site, version, &prefix, max_attempts);
        eventually("the other node knows the route", async || {
            let response = site.request(entry, Method::POST, &prefix, "").await;
            response.is_some_and(|response| response.status.as_u16() != 404)
        })
        .await;
        let body = job_of_steps(&[1], "ms=20 fail").to_string();
        let submission =
            tokio::spawn(async move { send_request(address, Method::POST, &path, &body).await });
        time::sleep(Duration::from_millis(200)).await;
        site.nodes[owner].signal(Signal::SIGCONT);
        let response = submission.await.expect("a task that ends");
        let status = response.map(|response| response.status.as_u16());
        assert_eq!(status, Some(200));
        let path = format!("{prefix}{id}");
        eventually("the job has failed", async || {
            let response = site.request(entry, Method::GET, &path, "").await;
            response
                .is_some_and(|response| String::from_utf8_lossy(&response.body).contains("failed"))
        })
        .await;
        let runs = site.standin.runs();
        let count = runs.iter().filter(|run| run.task.starts_with(&id)).count();
        assert_eq!(count, max_attempts as usize, "configuration {version}");
    }
}

/// Guards against a count that leaves out the jobs which wait in the pool that their queue had before (MIXED).
#[tokio::test(flavor = "multi_thread")]
async fn waiting_jobs_of_a_moved_queue_are_counted() {
    let site = JobSite::start(2, &[pool(POOL, 1), pool("other", 1)]).await;
    let first = job_of_steps(&[16], "ms=8000");
    assert!(site.submit(0, POOL, &new_job_id(), &first).await);
    eventually("its tasks run", async || site.standin.runs().len() == 16).await;
    for _ in 0..4 {
        let job = job_of_steps(&[1], "ms=100");
        assert!(site.submit(0, POOL, &new_job_id(), &job).await);
    }
    assign_queue(&site, 2, "other").await;
    for node in 0..2 {
        let response = site
            .request(node, Method::GET, &format!("/{POOL}/"), "")
            .await;
        let body = response.expect("a response").body;
        assert_eq!(
            String::from_utf8_lossy(&body),
            "{\"waiting\":4}",
            "node {node}"
        );
    }
}
