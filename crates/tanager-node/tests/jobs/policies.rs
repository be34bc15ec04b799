//! Queues with advice and jobs with times.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::json;
use tanager_standin::site::SitePool;
use tokio::time;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::check_once;
use crate::harness::done;
use crate::harness::new_id;
use crate::harness::pool;
use crate::harness::steps;

/// An occurrence may start this much before its time (`early_ms` of the platform's pages).
const EARLY: Duration = Duration::from_millis(250);

async fn advised_site() -> JobSite {
    let pools = [SitePool {
        requires_ticket: true,
        ..pool(POOL, 4)
    }];
    JobSite::start(2, &pools).await
}

/// Guards against tasks on workers that their queue's policy does not allow, and against jobs that
/// wait for ever for a ticket. Tickets live for 0.7 s here, so some end before they are used.
#[tokio::test(flavor = "multi_thread")]
async fn advised_jobs_run_only_where_they_may() {
    let site = advised_site().await;
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_id();
        let body = steps(&[20, 4], "ms=400");
        assert!(site.submit(number % 2, POOL, &id, &body).await);
        ids.push(id);
    }
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 6 * 24);
    assert!(runs.iter().all(|run| run.worker % 2 == 0), "{runs:?}");
}

/// Guards against tickets of an earlier life of a worker that are sent to the next one for ever.
#[tokio::test(flavor = "multi_thread")]
async fn advised_job_goes_on_after_a_crash() {
    let site = advised_site().await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[8, 8], "ms=600")).await);
    time::sleep(Duration::from_millis(300)).await;
    site.site.crash_worker(0, Duration::from_millis(800));
    site.site.crash_worker(2, Duration::from_millis(800));
    site.wait_for(POOL, &id, "completed").await;
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 16);
}

/// Guards against occurrences that start before their time, late, not at all or twice, also when
/// all nodes are killed between two of them (ORDER, LOST).
#[tokio::test(flavor = "multi_thread")]
async fn repeated_job_runs_at_its_times() {
    let mut site = JobSite::start(2, &[pool(POOL, 3)]).await;
    let begin = SystemTime::now() + Duration::from_millis(1_500);
    let wall_ms = begin
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("a time after 1970")
        .as_millis();
    let interval = Duration::from_millis(900);
    let mut body = steps(&[2], "ms=100");
    body["repetitions"] = json!(8);
    body["first_run_ms"] = json!(u64::try_from(wall_ms).expect("milliseconds"));
    body["interval_ms"] = json!(900);
    let id = new_id();
    let offset = site.site.elapsed()
        + begin
            .duration_since(SystemTime::now())
            .expect("a time to come");
    assert!(site.submit(0, POOL, &id, &body).await);
    time::sleep(Duration::from_millis(4_000)).await;
    for node in &mut site.nodes {
        node.kill();
    }
    for node in &mut site.nodes {
        node.restart();
    }
    site.wait_for(POOL, &id, "completed").await;
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 8 * 2);
    let mut starts: BTreeMap<u32, Vec<Duration>> = BTreeMap::new();
    for run in &runs {
        let occurrence = run.task.split('.').nth(1).expect("an occurrence");
        let number: u32 = occurrence.parse().expect("a number");
        starts.entry(number).or_default().push(run.started_at);
    }
    assert_eq!(starts.len(), 8);
    for (number, began) in &starts {
        let due = offset + interval * *number;
        assert!(began.iter().all(|began| *began + EARLY >= due), "{number}");
    }
    // Before the kill nothing delays them.
    for number in 0..2 {
        let due = offset + interval * number;
        let latest = starts[&number].iter().max().expect("two tasks");
        assert!(
            *latest < due + Duration::from_secs(1),
            "{number}: {latest:?} for {due:?}"
        );
    }
}
