//! Calls to owners of cells that answer late or answer less than they are asked.

use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::Value;
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
use crate::small_site;

/// Time within which a cancellation takes effect in calm, the least of the deployments.
const CANCELLATION_LIMIT: Duration = Duration::from_secs(4);

/// Returns a counter of a node.
pub(crate) async fn counter(site: &JobSite, node: usize, name: &str) -> u64 {
    let address = site.nodes[node].ports.admin_address();
    let request = HttpRequest::new(Method::GET, "/metrics", "");
    let response = exchange(address, request).await.expect("metrics");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|line| line.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no counter {name} in {text}"))
}

/// Guards against an owner that stores and runs a job after its caller has given up, where it does not
/// see that the connection was closed, and so spends the time in which it could answer others.
#[tokio::test(flavor = "multi_thread")]
async fn submission_whose_caller_gave_up_is_dropped() {
    let site = small_site(2).await;
    let owner = site.owner(CELL).await.expect("owner");
    let id = new_job_id();
    let body = job_of_steps(&[1], "ms=10").to_string();
    let queue = format!("{HOST}/{POOL}/");
    let call = json!({
        "cell": CELL,
        "queue": queue,
        "ask": {"submit": {"id": id, "job": {"body": body}}},
    });
    let mut request = HttpRequest::new(Method::POST, "/cell", call.to_string());
    let remaining = HeaderValue::from_static("400");
    request
        .headers
        .insert("x-remaining-milliseconds", remaining);
    site.nodes[owner].signal(Signal::SIGSTOP);
    let address = site.nodes[owner].ports.peer_address();
    let response = tokio::spawn(exchange(address, request));
    time::sleep(Duration::from_millis(1_000)).await;
    site.nodes[owner].signal(Signal::SIGCONT);
    let response = response.await.expect("a task that ends");
    let response = response.expect("a response").body;
    let response: Value = serde_json::from_slice(&response).expect("a response");
    assert!(response["refused"].is_object(), "{response}");
    assert_eq!(
        counter(&site, owner, "tanager_calls_dropped_total").await,
        1
    );
    let path = format!("/{POOL}/{id}");
    let response = site.request(owner, Method::GET, &path, "").await;
    assert_eq!(response.expect("a response").status.as_u16(), 410);
}

/// Guards against an owner that lets submissions wait until all callers have given up, in place of a
/// refusal, and against a refused job that runs.
#[tokio::test(flavor = "multi_thread")]
async fn flood_beside_a_silent_store_is_refused_at_once() {
    let site = small_site(1).await;
    let body = job_of_steps(&[1], "ms=10").to_string();
    let accepted = format!("/{POOL}/{}", new_job_id());
    let response = site.request(0, Method::POST, &accepted, &body).await;
    assert_eq!(response.expect("a response").status.as_u16(), 200);
    site.standin
        .set_faults(|faults| faults.store_unresponsive = true);
    let paths: Vec<String> = (0..400)
        .map(|_| format!("/{POOL}/{}", new_job_id()))
        .collect();
    let submit = async |path: &String| {
        let started = Instant::now();
        let response = site.request(0, Method::POST, path, &body).await;
        (response.expect("a response"), started.elapsed())
    };
    let (responses, repeated) = tokio::join!(
        futures_util::future::join_all(paths.iter().map(submit)),
        // An accepted job is not refused.
        submit(&accepted)
    );
    assert_eq!(repeated.0.status.as_u16(), 200);
    let refused: Vec<&String> = (paths.iter().zip(&responses))
        .filter(|(_, (response, wait))| {
            response.status.as_u16() == 429
                && response.header("retry-after").is_some()
                && *wait < Duration::from_millis(1_400)
        })
        .map(|(path, _)| path)
        .collect();
    assert!(refused.len() >= 100, "{} refused", refused.len());
    assert!(counter(&site, 0, "tanager_refused_intake_total").await >= 100);
    eventually("a line tells of the refusals", async || {
        let text = std::fs::read_to_string(&site.nodes[0].log).expect("a log");
        text.contains("event=calls_refused dropped=0 not_admitted=")
    })
    .await;
    site.standin
        .set_faults(|faults| faults.store_unresponsive = false);
    eventually("the owner accepts again", async || {
        let path = format!("/{POOL}/{}", new_job_id());
        let response = site.request(0, Method::POST, &path, &body).await;
        response.is_some_and(|response| response.status.as_u16() == 200)
    })
    .await;
    for path in refused {
        let response = site.request(0, Method::GET, path, "").await;
        assert_eq!(response.expect("a response").status.as_u16(), 410, "{path}");
    }
}

/// Guards against an entry node that passes every call on to an owner that answers none, so that all
/// callers wait until their deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn silent_owner_is_not_asked_for_every_call() {
    let site = small_site(2).await;
    let owner = site.owner(CELL).await.expect("owner");
    let entry = 1 - owner;
    let address = site.nodes[entry].ports.client_address();
    let body = job_of_steps(&[1], "ms=10").to_string();
    let submit = async || {
        let path = format!("/{POOL}/{}", new_job_id());
        let mut request = HttpRequest::new(Method::POST, path.as_str(), body.clone());
        let deadline = HeaderValue::from_static("800");
        request.headers.insert("x-deadline-milliseconds", deadline);
        let started = Instant::now();
        let response = exchange(address, request).await.expect("a response");
        (path, response, started.elapsed())
    };
    site.nodes[owner].signal(Signal::SIGSTOP);
    let first = futures_util::future::join_all((0..40).map(|_| submit())).await;
    let second = futures_util::future::join_all((0..40).map(|_| submit())).await;
    site.nodes[owner].signal(Signal::SIGCONT);
    let statuses: Vec<u16> = (first.iter())
        .map(|(_, response, _)| response.status.as_u16())
        .collect();
    assert!(statuses.iter().all(|status| *status == 504), "{statuses:?}");
    let refused: Vec<&String> = (second.iter())
        .filter(|(_, response, wait)| {
            response.status.as_u16() == 503
                && response.header("retry-after").is_some()
                && *wait < Duration::from_millis(400)
        })
        .map(|(path, ..)| path)
        .collect();
    assert!(refused.len() >= 20, "{} refused at once", refused.len());
    assert!(counter(&site, entry, "tanager_calls_withheld_total").await >= 20);
    // A job that was not passed on has not run, and the node soon accepts again.
    eventually("the entry node accepts again", async || {
        site.submit(entry, POOL, &new_job_id(), &job_of_steps(&[1], "ms=10"))
            .await
    })
    .await;
    for path in refused {
        let response = site.request(owner, Method::GET, path, "").await;
        assert_eq!(response.expect("a response").status.as_u16(), 410, "{path}");
    }
}

/// Guards against unconfirmed cancellations that are each repeated with a call of their own, and against
/// one of them that is lost.
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_cancellations_are_repeated_together() {
    let site = small_site(2).await;
    let owner = site.owner(CELL).await.expect("owner");
    let entry = 1 - owner;
    let address = site.nodes[entry].ports.client_address();
    let body = job_of_steps(&[1], "ms=60000");
    let mut paths = Vec::new();
    for _ in 0..60 {
        let id = new_job_id();
        assert!(site.submit(owner, POOL, &id, &body).await);
        paths.push(format!("/{POOL}/{id}"));
    }
    let cancel = async |path: &String| {
        let mut request = HttpRequest::new(Method::DELETE, path.as_str(), "");
        let deadline = HeaderValue::from_static("400");
        request.headers.insert("x-deadline-milliseconds", deadline);
        let response = exchange(address, request).await.expect("a response");
        response.status.as_u16()
    };
    site.nodes[owner].signal(Signal::SIGSTOP);
    let statuses = futures_util::future::join_all(paths.iter().map(cancel)).await;
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
    time::sleep(Duration::from_millis(1_200)).await;
    site.nodes[owner].signal(Signal::SIGCONT);
    let resumed = Instant::now();
    for path in &paths {
        eventually("the job is cancelled", async || {
            let response = site.request(owner, Method::GET, path, "").await;
            response.is_some_and(|response| {
                String::from_utf8_lossy(&response.body).contains("cancelled")
            })
        })
        .await;
    }
    assert!(
        resumed.elapsed() < CANCELLATION_LIMIT,
        "{:?}",
        resumed.elapsed()
    );
    let calls = counter(&site, entry, "tanager_cancellation_batches_total").await;
    let cancellations = counter(&site, entry, "tanager_cancellations_batched_total").await;
    assert!(cancellations >= 60, "{cancellations}");
    assert!(
        calls <= cancellations / 4,
        "{calls} calls for {cancellations} cancellations"
    );
}
