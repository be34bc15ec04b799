//! Rows that the store never writes: what they delay beside themselves.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tanager_service::queue_pools::QueuePoolRecord;
use tanager_standin::site::HOST;
use tanager_standin::site::RowRejection;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::JobSite;
use crate::harness::assert_single_runs;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;

/// Time within which the jobs beside a rejected row end, and cancellations are acknowledged.
const OTHERS_LIMIT: Duration = Duration::from_secs(12);

async fn small_site(nodes: usize) -> JobSite {
    JobSite::start(nodes, &[pool(POOL, 3)]).await
}

/// Starts a site whose store rejects the progress of a job, and submits that job; returns its id.
async fn site_beside_rejected_job(
    job: &Value,
    rejection: impl FnOnce(RowRejection) -> RowRejection,
) -> (JobSite, String) {
    let site = small_site(1).await;
    let id = new_job_id();
    let rejected = rejection(RowRejection::new("progress", &id));
    site.standin.reject_rows(vec![rejected]);
    assert!(site.submit(0, POOL, &id, job).await);
    (site, id)
}

/// Submits jobs once each; returns the ids of those that were accepted.
async fn submit_each(site: &JobSite, count: usize, specification: &str) -> Vec<String> {
    let body = job_of_steps(&[2], specification).to_string();
    let mut accepted = Vec::new();
    for _ in 0..count {
        let id = new_job_id();
        let path = format!("/{POOL}/{id}");
        let response = site.request(0, Method::POST, &path, &body).await;
        if response.is_some_and(|response| response.status.is_success()) {
            accepted.push(id);
        }
    }
    accepted
}

/// Checks that jobs are accepted, end and are cancelled in time beside a rejected row.
async fn assert_others_are_served(site: &JobSite) {
    let start = Instant::now();
    let others = submit_each(site, 20, "ms=100").await;
    assert_eq!(others.len(), 20, "jobs were refused");
    let cancelled = submit_each(site, 1, "ms=60000").await;
    for id in &others {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let path = format!("/{POOL}/{}", cancelled[0]);
    let response = site.request(0, Method::DELETE, &path, "").await;
    assert_eq!(response.map(|response| response.status.as_u16()), Some(200));
    assert!(start.elapsed() < OTHERS_LIMIT, "{:?}", start.elapsed());
}

/// Returns the state of a job that the store's rows give after a takeover.
async fn state_after_takeover(site: &mut JobSite, id: &str) -> Option<String> {
    site.nodes[0].kill();
    site.nodes[0].restart();
    site.wait_until_owned(&[pool(POOL, 3)]).await;
    site.job_state(0, POOL, id).await
}

/// Writes a configuration with many queues of long keys, and returns their prefixes.
fn put_queues(site: &JobSite, count: usize) -> Vec<String> {
    let prefixes: Vec<String> = (0..count)
        .map(|number| format!("/{POOL}-{}-{number:04}/", "q".repeat(120)))
        .collect();
    let routes: Vec<Value> = (prefixes.iter().enumerate())
        .map(|(number, prefix)| {
            json!({"name": format!("route-{number}"), "host": HOST, "path_prefix": prefix,
                   "service": POOL, "priority": 0, "max_attempts": 3, "stretch": 2.0,
                   "target_latency_ms": 600})
        })
        .chain([
            json!({"name": POOL, "host": HOST, "path_prefix": format!("/{POOL}/"),
                   "service": POOL, "priority": 0, "max_attempts": 3, "stretch": 2.0,
                   "target_latency_ms": 600}),
        ])
        .collect();
    let config = json!({"version": 2, "routes": routes, "limits": {"body_bytes": 262_144},
                        "services": [{"name": POOL, "enforces_capacity": true, "spare": false}]});
    site.standin
        .put_row("op", "config", config.to_string().as_bytes());
    prefixes
}

/// Submits a job on a route until it is accepted.
async fn submit_on(site: &JobSite, prefix: &str) {
    let path = format!("{prefix}{}", new_job_id());
    let body = job_of_steps(&[1], "ms=10").to_string();
    eventually("the job is accepted", async || {
        let response = site.request(0, Method::POST, &path, &body).await;
        response.is_some_and(|response| response.status.is_success())
    })
    .await;
}

/// Guards against a cell that stores nothing any more after jobs on many queues, because the
/// statistics of all of them are one row (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn statistics_of_many_queues_stop_no_jobs() {
    let site = small_site(1).await;
    for prefix in put_queues(&site, 400) {
        submit_on(&site, &prefix).await;
    }
    // The statistics are stored every few seconds.
    time::sleep(Duration::from_secs(7)).await;
    assert_eq!(site.standin.rejected_changes(), 0);
    assert_others_are_served(&site).await;
}

/// Guards against a transaction that is repeated for ever, because the answer to it is final but
/// those to its first attempts were lost (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn rejection_after_lost_answers_stops_no_other_jobs() {
    let job = job_of_steps(&[1, 1], "ms=300");
    let (site, _) = site_beside_rejected_job(&job, |rejection| RowRejection {
        unanswered: 3,
        ..rejection
    })
    .await;
    time::sleep(Duration::from_secs(4)).await;
    assert_others_are_served(&site).await;
    assert_single_runs(&site.standin.runs());
}

/// Guards against a transaction that is repeated for ever, because the store answers it with a status that
/// the platform does not document (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn rejection_with_an_undocumented_status_stops_no_other_jobs() {
    let job = job_of_steps(&[1, 1], "ms=300");
    let (site, _) = site_beside_rejected_job(&job, |rejection| RowRejection {
        status: 500,
        ..rejection
    })
    .await;
    time::sleep(Duration::from_secs(4)).await;
    assert_others_are_served(&site).await;
    assert_single_runs(&site.standin.runs());
}

/// Guards against jobs that are refused each time a rejected row is tried again, because the store answers that
/// with a status that the platform does not document.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_rejections_with_an_undocumented_status_refuse_no_other_jobs() {
    let job = job_of_steps(&[1, 1], "ms=300");
    let (site, _) = site_beside_rejected_job(&job, |rejection| RowRejection {
        status: 500,
        ..rejection
    })
    .await;
    let start = Instant::now();
    let mut submitted = 0;
    while start.elapsed() < Duration::from_secs(8) {
        let accepted = submit_each(&site, 1, "ms=20").await;
        submitted += 1;
        assert_eq!(accepted.len(), 1, "refused after {:?}", start.elapsed());
        time::sleep(Duration::from_millis(30)).await;
    }
    let rejected = site.standin.rejected_changes();
    assert!(rejected >= 3 && submitted >= 50, "{rejected} {submitted}");
}

/// Guards against ends of other jobs that are not acknowledged, and therefore no longer listed,
/// beside a job whose progress cannot be stored (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn ends_are_acknowledged_beside_a_job_that_cannot_be_stored() {
    let job = job_of_steps(&[3_600], "ms=20");
    let (site, id) = site_beside_rejected_job(&job, |rejection| rejection).await;
    let done = async || {
        let runs = site.standin.runs();
        runs.iter()
            .filter(|run| run.task.starts_with(&id) && run.ended.is_some())
            .count()
    };
    eventually("its tasks are done", async || done().await == 3_600).await;
    assert_others_are_served(&site).await;
    assert_single_runs(&site.standin.runs());
}

/// Guards against a cell whose transactions remain small, or are rejected many times a second, as
/// long as one row is rejected.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_row_is_set_aside() {
    let job = job_of_steps(&[1, 1], "ms=100");
    let (site, _) = site_beside_rejected_job(&job, |rejection| rejection).await;
    time::sleep(Duration::from_secs(3)).await;
    let rejected_before = site.standin.rejected_changes();
    assert_others_are_served(&site).await;
    time::sleep(Duration::from_secs(5)).await;
    let rejected = site.standin.rejected_changes() - rejected_before;
    assert!(rejected < 10, "{rejected} rejections in 5 s");
}

/// Guards against a job without a state for its client, or one that runs again after a takeover,
/// because its progress cannot be stored (TWICE).
#[tokio::test(flavor = "multi_thread")]
async fn job_whose_progress_is_rejected_ends_once() {
    let mut site = small_site(1).await;
    let [ended, open] = std::array::from_fn(|_| new_job_id());
    site.standin.reject_rows(vec![
        RowRejection::new("progress", &ended),
        RowRejection::new("progress", &open),
    ]);
    let short = job_of_steps(&[2, 1], "ms=200");
    assert!(site.submit(0, POOL, &ended, &short).await);
    let long = job_of_steps(&[2, 1], "ms=9000");
    assert!(site.submit(0, POOL, &open, &long).await);
    site.wait_for_state(POOL, &ended, "completed").await;
    // The ends of the first step are acknowledged when this returns.
    eventually("the second step runs", async || {
        let runs = site.standin.runs();
        runs.iter()
            .filter(|run| run.task.starts_with(&open) && run.acknowledged)
            .count()
            == 2
    })
    .await;
    let state = state_after_takeover(&mut site, &ended).await;
    assert_eq!(state.as_deref(), Some("completed"));
    // Its first step must not run again, and the second has no stored predecessor.
    site.wait_for_state(POOL, &open, "failed").await;
    assert_single_runs(&site.standin.runs());
}

/// Guards against a rejected job that keeps others from being stored.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_job_is_refused_alone() {
    let site = small_site(1).await;
    let id = new_job_id();
    site.standin
        .reject_rows(vec![RowRejection::new("job", &id)]);
    let path = format!("/{POOL}/{id}");
    let body = job_of_steps(&[1], "ms=100").to_string();
    let response = site.request(0, Method::POST, &path, &body).await;
    assert_eq!(response.map(|response| response.status.as_u16()), Some(503));
    assert_others_are_served(&site).await;
    let runs = site.standin.runs();
    assert!(runs.iter().all(|run| !run.task.starts_with(&id)));
}

/// Guards against a worker whose row is rejected and that keeps the others from being used.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_worker_is_not_used() {
    let site = small_site(1).await;
    site.standin
        .reject_rows(vec![RowRejection::new("worker", "i-1-")]);
    site.standin.crash_worker(1, Duration::from_millis(100));
    time::sleep(Duration::from_secs(3)).await;
    assert_others_are_served(&site).await;
    let runs = site.standin.runs();
    let is_used = |worker| {
        (runs.iter()).any(|run| run.worker == worker && run.started_at > Duration::from_secs(3))
    };
    assert!(is_used(0) && is_used(2));
}

/// Guards against a queue whose row is rejected and that keeps jobs on other new queues from being
/// accepted.
#[tokio::test(flavor = "multi_thread")]
async fn rejected_queue_stops_no_other_queues() {
    let site = small_site(1).await;
    let prefixes = put_queues(&site, 20);
    submit_on(&site, &prefixes[0]).await;
    let keys = site.standin.row_keys("queue", "");
    let row = site.standin.row("queue", &keys[0]).expect("a row");
    let stored: QueuePoolRecord = serde_json::from_slice(&row).expect("a record");
    let rejected = QueuePoolRecord {
        queue: stored.queue.replace(&prefixes[0], &prefixes[1]),
        ..stored
    };
    (site.standin).reject_rows(vec![RowRejection::new("queue", &rejected.row().key)]);
    let body = job_of_steps(&[1], "ms=10").to_string();
    // All at once, so that their rows are in one transaction.
    let statuses = join_all(prefixes[1..].iter().map(async |prefix| {
        let path = format!("{prefix}{}", new_job_id());
        let response = site.request(0, Method::POST, &path, &body).await;
        response.map_or(0, |response| response.status.as_u16())
    }))
    .await;
    assert_eq!(statuses[0], 503);
    assert_eq!(statuses[1..], [200; 18]);
}

/// Guards against a cell that accepts jobs which it cannot store, because the store rejects each of
/// its transactions, instead of refusing them at once.
#[tokio::test(flavor = "multi_thread")]
async fn cell_that_stores_nothing_refuses_at_once() {
    let site = small_site(1).await;
    let running = submit_each(&site, 1, "ms=60000").await;
    site.standin
        .reject_rows(vec![RowRejection::new("ledger", "ledger")]);
    let path = format!("/{POOL}/{}", running[0]);
    site.request(0, Method::DELETE, &path, "").await;
    time::sleep(Duration::from_secs(2)).await;
    let start = Instant::now();
    let path = format!("/{POOL}/{}", new_job_id());
    let body = job_of_steps(&[1], "ms=10").to_string();
    let response = site.request(0, Method::POST, &path, &body).await;
    let response = response.expect("a response");
    assert_eq!(response.status.as_u16(), 503);
    assert!(response.headers.contains_key("retry-after"));
    assert!(start.elapsed() < Duration::from_millis(300));
    site.standin.reject_rows(Vec::new());
    eventually("the cell stores again", async || {
        submit_each(&site, 1, "ms=10").await.len() == 1
    })
    .await;
    // No row was taken for the cause and set aside.
    let status = site
        .request(0, Method::DELETE, &format!("/{POOL}/{}", running[0]), "")
        .await
        .map(|response| response.status.as_u16());
    assert_eq!(status, Some(200));
    assert!(site.owner(CELL).await.is_some());
}
