//! Nodes whose platform kills processes that exceed their memory, with jobs that need much of it.

use http::Method;
use serde_json::Value;
use serde_json::json;
use tanager_standin::site::SiteStandin;

use super::CELL;
use super::POOL;
use super::harness::JobSite;
use super::harness::MemoryLimit;
use super::harness::NodeProcess;
use super::harness::assert_single_runs;
use super::harness::eventually;
use super::harness::job_of_steps;
use super::harness::new_job_id;
use super::harness::pool;

/// Memory of a node of the first deployments, in megabytes.
const MEMORY_MB: u64 = 260;
const WORKERS: usize = 6;

async fn site_with_memory(nodes: usize, megabytes: u64) -> JobSite {
    let pools = [pool(POOL, WORKERS)];
    let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
    standin.put_config(1, &pools);
    let nodes = (0..nodes)
        .map(|number| {
            NodeProcess::spawn_with_memory(&standin, &format!("node-{number}"), megabytes)
        })
        .collect();
    let site = JobSite { standin, nodes };
    site.wait_until_owned(&pools).await;
    site
}

/// Returns a job of small tasks: a thousandth of a core and 1 MB each.
fn job_of_small_tasks(count: u32, specification: &str) -> Value {
    let step = json!({"count": count, "cpu": 1, "memory_request_mb": 1, "estimated_ms": 500});
    json!({"specification": format!("{specification} cpu=1"), "steps": [step]})
}

async fn all_completed(site: &JobSite, ids: &[String]) -> bool {
    for id in ids {
        if site.job_state(0, POOL, id).await.as_deref() != Some("completed") {
            return false;
        }
    }
    true
}

/// Guards against a call in flight for each of thousands of tasks that start at once, whose memory kills the owner.
#[tokio::test(flavor = "multi_thread")]
async fn thousands_of_tasks_that_start_at_once_fit_into_the_memory() {
    let mut site = site_with_memory(1, MEMORY_MB).await;
    let mut limit = MemoryLimit::new(MEMORY_MB);
    let ids: Vec<String> = (0..3).map(|_| new_job_id()).collect();
    for (number, id) in ids.iter().enumerate() {
        let job = match number {
            1 => job_of_small_tasks(19_000, "ms=500"),
            _ => job_of_steps(&[2, 2], "ms=250"),
        };
        assert!(site.submit(0, POOL, id, &job).await);
    }
    site.eventually_within(&mut limit, "the jobs are done", async |site| {
        all_completed(site, &ids).await
    })
    .await;
    assert_eq!(limit.kills, 0, "peak {} MB", limit.peak);
    assert_single_runs(&site.standin.runs());
}

/// Guards against a schedule whose first run lies a year in the past: its owner opened all occurrences at once and was
/// killed, again and again.
#[tokio::test(flavor = "multi_thread")]
async fn overdue_schedule_does_not_kill_its_owner() {
    let mut site = site_with_memory(3, MEMORY_MB).await;
    let mut limit = MemoryLimit::new(MEMORY_MB);
    let before = new_job_id();
    let job = job_of_steps(&[2, 2], "ms=250");
    assert!(site.submit(0, POOL, &before, &job).await);
    let overdue = new_job_id();
    let mut schedule = job_of_steps(&[2], "ms=250");
    schedule["repetitions"] = json!(525_600);
    schedule["interval_ms"] = json!(60_000);
    schedule["first_run_ms"] = json!(0);
    assert!(site.submit(0, POOL, &overdue, &schedule).await);
    site.eventually_within(&mut limit, "the earlier job is done", async |site| {
        all_completed(site, std::slice::from_ref(&before)).await
    })
    .await;
    // Another node takes the cell, and the job is cancelled there.
    let owner = site.owner(CELL).await.expect("an owner");
    site.nodes[owner].kill();
    site.nodes[owner].restart();
    let path = format!("/{POOL}/{overdue}");
    let started = site.standin.runs().len();
    site.eventually_within(&mut limit, "further occurrences run", async |site| {
        site.standin.runs().len() > started
    })
    .await;
    site.eventually_within(&mut limit, "the schedule is cancelled", async |site| {
        let response = site.request(0, Method::DELETE, &path, "").await;
        response.is_some_and(|response| response.status.is_success())
    })
    .await;
    assert_eq!(limit.kills, 0, "peak {} MB", limit.peak);
    assert_single_runs(&site.standin.runs());
}

/// Guards against any number of jobs of lasting tasks that are accepted without a look at the memory of their owner.
#[tokio::test(flavor = "multi_thread")]
async fn many_large_jobs_do_not_kill_their_owner() {
    /// Memory of the smallest node of a deployment, in megabytes.
    const SMALL_MB: u64 = 160;
    let mut site = site_with_memory(1, SMALL_MB).await;
    let mut limit = MemoryLimit::new(SMALL_MB);
    let mut job = job_of_small_tasks(19_000, "lasts");
    job["steps"][0]["long_running"] = json!(true);
    let mut accepted = Vec::new();
    let mut refused = 0;
    for _ in 0..100 {
        let id = new_job_id();
        let path = format!("/{POOL}/{id}");
        let response = site.request(0, Method::POST, &path, &job.to_string()).await;
        let status = response.as_ref().map(|response| response.status.as_u16());
        match status {
            Some(200) => accepted.push(id),
            Some(429) => {
                let response = response.expect("a response");
                assert!(response.headers.contains_key("retry-after"));
                refused += 1;
            }
            _ => {}
        }
        limit.enforce(&mut site.nodes);
    }
    assert_eq!(limit.kills, 0, "peak {} MB", limit.peak);
    assert!(!accepted.is_empty() && accepted.len() + refused == 100);
    for id in &accepted {
        let path = format!("/{POOL}/{id}");
        let response = site.request(0, Method::DELETE, &path, "").await;
        assert!(response.is_some_and(|response| response.status.is_success()));
    }
    let ordinary = new_job_id();
    let job = job_of_steps(&[2, 2], "ms=250");
    assert!(site.submit(0, POOL, &ordinary, &job).await);
    site.eventually_within(&mut limit, "the ordinary job is done", async |site| {
        all_completed(site, std::slice::from_ref(&ordinary)).await
    })
    .await;
    assert_eq!(limit.kills, 0, "peak {} MB", limit.peak);
}

/// Guards against a node that acquires a cell again at each start although each of its processes ends with it: no other
/// node, which may have more memory, gets the cell.
#[tokio::test(flavor = "multi_thread")]
async fn cell_that_ends_its_owner_again_and_again_goes_to_another_node() {
    let mut site = site_with_memory(2, MEMORY_MB).await;
    let id = new_job_id();
    let job = job_of_steps(&[2, 2], "ms=250");
    assert!(site.submit(0, POOL, &id, &job).await);
    let first = site.owner(CELL).await.expect("an owner");
    for _ in 0..6 {
        if site.owner(CELL).await != Some(first) {
            break;
        }
        site.nodes[first].kill();
        site.nodes[first].restart();
        eventually("the cell has an owner", async || {
            site.owner(CELL).await.is_some()
        })
        .await;
    }
    assert_eq!(site.owner(CELL).await, Some(1 - first));
    site.wait_for_state(POOL, &id, "completed").await;
    assert_single_runs(&site.standin.runs());
}

/// Guards against a cell that no node can load, because a page of its rows is larger than what a node accepts as a
/// response.
#[tokio::test(flavor = "multi_thread")]
async fn cell_with_many_large_rows_is_loaded() {
    let mut site = site_with_memory(1, MEMORY_MB).await;
    let mut limit = MemoryLimit::new(MEMORY_MB);
    let mut job = job_of_steps(&[1], &format!("ms=250 {}", "x".repeat(40_000)));
    job["repetitions"] = json!(1);
    job["first_run_ms"] = json!(u64::MAX >> 12);
    let mut ids = Vec::new();
    for _ in 0..450 {
        let id = new_job_id();
        assert!(site.submit(0, POOL, &id, &job).await);
        ids.push(id);
    }
    site.nodes[0].kill();
    site.nodes[0].restart();
    site.eventually_within(&mut limit, "the jobs are known", async |site| {
        let state = site.job_state(0, POOL, &ids[449]).await;
        site.owner(CELL).await.is_some() && state.as_deref() == Some("queued")
    })
    .await;
    assert_eq!(limit.kills, 0, "peak {} MB", limit.peak);
}
