//! Delegation of jobs between the cells of a pool, with node processes. All jobs that the tests submit
//! belong to the first of two cells, and their work is far more than its workers can do in time.

use std::collections::BTreeSet;
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use nix::sys::signal::Signal;
use serde_json::Value;
use tanager_jobs::JobId;
use tanager_service::records::PoolRecord;
use tanager_service::view::FleetView;
use tokio::time;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::assert_single_runs;
use crate::harness::count_done;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;

/// Enough workers for two cells, each with half of them.
const WORKERS: usize = 16;
const FIRST: &str = "entry/0";
const SIBLING: &str = "entry/1";
/// Tasks of each job; the workers of a cell run 128 at the same time.
const TASKS: u32 = 32;

async fn site_of_two_cells(features: &'static str) -> JobSite {
    JobSite::start_with_features(3, &[pool(POOL, WORKERS)], features).await
}

/// Returns new ids of jobs whose own cell is [`FIRST`].
fn ids_of_first_cell(number: usize) -> Vec<String> {
    let mut view = FleetView::default();
    let record = PoolRecord {
        cells: 2,
        ..PoolRecord::default()
    };
    view.pools.insert(POOL.to_owned(), (record, 1));
    let is_in_first = |id: &String| {
        let id: JobId = id.parse().expect("an id");
        view.cell_of_job(POOL, id).as_deref() == Some(FIRST)
    };
    let ids = std::iter::repeat_with(new_job_id).filter(is_in_first);
    ids.take(number).collect()
}

/// Submits jobs, a few at a time, so that loads are exchanged meanwhile.
async fn submit_surge(site: &JobSite, number: usize, specification: &str) -> Vec<String> {
    let ids = ids_of_first_cell(number);
    let body = job_of_steps(&[TASKS], specification);
    for group in ids.chunks(4) {
        let submit = async |(number, id): (usize, &String)| {
            assert!(
                site.submit(number % site.nodes.len(), POOL, id, &body)
                    .await
            );
        };
        join_all(group.iter().enumerate().map(submit)).await;
        time::sleep(Duration::from_millis(80)).await;
    }
    ids
}

/// Returns the ids in the nodes' log lines of an event.
fn logged_ids(site: &JobSite, event: &str) -> BTreeSet<String> {
    let mut ids = BTreeSet::new();
    for node in &site.nodes {
        let log = std::fs::read_to_string(&node.log).expect("log");
        let marker = format!("event={event} job=");
        for line in log.lines() {
            if let Some((_, rest)) = line.split_once(&marker) {
                ids.extend(rest.split(' ').next().map(str::to_owned));
            }
        }
    }
    ids
}

/// Returns the number of waiting jobs of the queue.
async fn waiting(site: &JobSite, node: usize) -> Option<u64> {
    let response = (site.request(node, Method::GET, &format!("/{POOL}/"), "")).await?;
    let body: Value = serde_json::from_slice(&response.body).ok()?;
    body["waiting"].as_u64()
}

async fn wait_until_completed(site: &JobSite, ids: &[String]) {
    for id in ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), ids.len() * TASKS as usize);
}

/// Guards against a cell that keeps its backlog while a sibling is idle, and against delegated jobs
/// that run twice, are counted twice, or cannot be seen or submitted again at any node.
#[tokio::test(flavor = "multi_thread")]
async fn surge_on_one_cell_uses_the_other() {
    let site = site_of_two_cells("balance").await;
    let ids = submit_surge(&site, 32, "ms=600").await;
    let total = waiting(&site, 1).await.expect("a count");
    assert!(total <= ids.len() as u64, "{total} jobs wait");
    let delegated = logged_ids(&site, "job_delegated");
    assert!(!delegated.is_empty(), "no job was delegated");
    let body = job_of_steps(&[TASKS], "ms=600").to_string();
    for id in &delegated {
        let shown = (site.admin_request(1, Method::GET, &format!("/v1/jobs/{id}"))).await;
        let cell = shown["cell"].as_str().unwrap_or_default();
        assert!(
            cell == SIBLING || logged_ids(&site, "job_taken_back").contains(id),
            "{shown}"
        );
        let response = site
            .request(2, Method::POST, &format!("/{POOL}/{id}"), &body)
            .await;
        assert_eq!(response.expect("a response").status.as_u16(), 200);
    }
    wait_until_completed(&site, &ids).await;
    assert_eq!(waiting(&site, 0).await, Some(0));
    let owner = site.owner(FIRST).await.expect("an owner");
    let dump = site.nodes[owner].dump().await.expect("a dump");
    let cells = dump["cells"].as_array().cloned().unwrap_or_default();
    let first = cells
        .iter()
        .find(|cell| cell["cell"] == FIRST)
        .expect("a cell");
    assert!(
        first["delegations"]["accepted"].as_u64() > Some(0),
        "{first}"
    );
    assert!(first["siblings"][SIBLING].is_string(), "{first}");
}

/// Guards against a deployment that does not ask for it and gets delegations.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_stay_in_their_cell_by_default() {
    let site = site_of_two_cells("").await;
    let ids = submit_surge(&site, 16, "ms=600").await;
    wait_until_completed(&site, &ids).await;
    assert!(logged_ids(&site, "job_delegated").is_empty());
    for id in &ids {
        let shown = (site.admin_request(0, Method::GET, &format!("/v1/jobs/{id}"))).await;
        assert_eq!(shown["cell"], FIRST);
    }
}

/// Guards against a delegated job that runs on after its cancellation was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn delegated_jobs_are_cancelled() {
    let site = site_of_two_cells("balance").await;
    let ids = submit_surge(&site, 24, "ms=30000").await;
    let delegated = logged_ids(&site, "job_delegated");
    assert!(!delegated.is_empty(), "no job was delegated");
    for (number, id) in ids.iter().enumerate() {
        let path = format!("/{POOL}/{id}");
        let response = site.request(number % 3, Method::DELETE, &path, "").await;
        assert_eq!(response.expect("a response").status.as_u16(), 200);
        let state = site.job_state((number + 1) % 3, POOL, id).await;
        assert_eq!(state.as_deref(), Some("cancelled"), "{id}");
    }
    eventually("all runs end", async || {
        site.standin.runs().iter().all(|run| run.ended.is_some())
    })
    .await;
    let number = site.standin.runs().len();
    time::sleep(Duration::from_secs(2)).await;
    assert_eq!(site.standin.runs().len(), number);
}

/// Guards against jobs that are lost or run twice because the owner of their first cell or of the
/// sibling dies while jobs are being delegated.
#[tokio::test(flavor = "multi_thread")]
async fn owners_die_while_jobs_are_delegated() {
    for cell in [FIRST, SIBLING] {
        let mut site = site_of_two_cells("balance").await;
        let mut ids = submit_surge(&site, 28, "ms=500").await;
        let owner = site.owner(cell).await.expect("an owner");
        let before = logged_ids(&site, "job_delegated");
        assert!(!before.is_empty(), "no job was delegated");
        // Submissions are in progress when the owner dies.
        let late = ids_of_first_cell(8);
        let body = job_of_steps(&[TASKS], "ms=500");
        let address = site.nodes[(owner + 1) % 3].ports.client_address();
        let requests: Vec<_> = (late.iter())
            .map(|id| {
                let (path, body) = (format!("/{POOL}/{id}"), body.to_string());
                tokio::spawn(async move {
                    crate::harness::send_request(address, Method::POST, &path, &body).await
                })
            })
            .collect();
        time::sleep(Duration::from_millis(25)).await;
        site.nodes[owner].kill();
        for request in requests {
            // Their outcomes may be unknown.
            let _ = request.await.expect("a task that ends");
        }
        site.nodes[owner].restart();
        for id in &late {
            assert!(site.submit((owner + 1) % 3, POOL, id, &body).await);
        }
        ids.extend(late);
        wait_until_completed(&site, &ids).await;
    }
}

/// Guards against jobs that are lost or run twice because the store refuses changes, or its responses
/// are lost, while jobs are being delegated.
#[tokio::test(flavor = "multi_thread")]
async fn store_fails_while_jobs_are_delegated() {
    let site = site_of_two_cells("balance").await;
    let mut ids = submit_surge(&site, 12, "ms=500").await;
    (site.standin).set_faults(|faults| faults.change_response_loss_rate = 0.3);
    ids.extend(submit_surge(&site, 8, "ms=500").await);
    (site.standin).set_faults(|faults| {
        faults.change_response_loss_rate = 0.0;
        faults.changes_refused = true;
    });
    let late = ids_of_first_cell(4);
    let body = job_of_steps(&[TASKS], "ms=500");
    for id in &late {
        let path = format!("/{POOL}/{id}");
        let response = site
            .request(0, Method::POST, &path, &body.to_string())
            .await;
        let status = response.map(|response| response.status.as_u16());
        assert_ne!(status, Some(200), "nothing can be stored");
    }
    site.standin
        .set_faults(|faults| faults.changes_refused = false);
    for id in &late {
        assert!(site.submit(1, POOL, id, &body).await);
    }
    ids.extend(late);
    wait_until_completed(&site, &ids).await;
    assert!(!logged_ids(&site, "job_delegated").is_empty());
}

/// Freezes the owner of a cell at several times while jobs are being delegated, until another node
/// has acquired the cell, and lets it resume.
async fn freeze_owners(cell: &'static str) {
    let site = site_of_two_cells("balance").await;
    let mut ids = submit_surge(&site, 16, "ms=400").await;
    let body = job_of_steps(&[TASKS], "ms=400");
    for delay in [5, 20, 45, 90, 200] {
        let owner = site.owner(cell).await.expect("an owner");
        let started = ids_of_first_cell(10);
        let addresses = [1, 2].map(|other| site.nodes[(owner + other) % 3].ports.client_address());
        let requests: Vec<_> = (started.iter().enumerate())
            .map(|(number, id)| {
                let (path, body) = (format!("/{POOL}/{id}"), body.to_string());
                let address = addresses[number % 2];
                tokio::spawn(async move {
                    time::sleep(Duration::from_millis(8 * number as u64)).await;
                    crate::harness::send_request(address, Method::POST, &path, &body).await
                })
            })
            .collect();
        time::sleep(Duration::from_millis(delay)).await;
        site.nodes[owner].signal(Signal::SIGSTOP);
        eventually("another node owns the cell", async || {
            let others = [1, 2].map(|other| &site.nodes[(owner + other) % 3]);
            for node in others {
                let dump = node.dump().await.unwrap_or_default();
                let cells = dump["cells"].as_array().cloned().unwrap_or_default();
                if cells.iter().any(|entry| entry["cell"] == cell) {
                    return true;
                }
            }
            false
        })
        .await;
        site.nodes[owner].signal(Signal::SIGCONT);
        for request in requests {
            // Their outcomes may be unknown.
            let _ = request.await.expect("a task that ends");
        }
        for (number, id) in started.iter().enumerate() {
            assert!(site.submit((owner + number) % 3, POOL, id, &body).await);
        }
        ids.extend(started);
    }
    wait_until_completed(&site, &ids).await;
    assert!(!logged_ids(&site, "job_delegated").is_empty());
}

/// Guards against a job that runs in both cells because the owner of its first cell is frozen while
/// it delegates jobs, and resumes after another node has submitted them to the sibling again.
#[tokio::test(flavor = "multi_thread")]
async fn first_owner_is_frozen_while_jobs_are_delegated() {
    freeze_owners(FIRST).await;
}

/// Guards against a job that runs in both cells because the owner of the sibling is frozen while it
/// stores jobs, and resumes after they were submitted to its successor or taken back.
#[tokio::test(flavor = "multi_thread")]
async fn sibling_owner_is_frozen_while_jobs_are_delegated() {
    freeze_owners(SIBLING).await;
}
