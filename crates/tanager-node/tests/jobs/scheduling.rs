//! Queues whose tasks need tickets of the advice service, and jobs that repeat at given times.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::SystemTime;

use serde_json::json;
use tanager_standin::site::SitePool;
use tokio::time;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::assert_single_runs;
use crate::harness::count_done;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;

/// An occurrence may start this much before its time (`early_ms` of the platform's pages).
const MAX_EARLY_START: Duration = Duration::from_millis(250);

async fn site_with_tickets() -> JobSite {
    let pools = [SitePool {
        requires_ticket: true,
        ..pool(POOL, 4)
    }];
    JobSite::start(2, &pools).await
}

/// Guards against tasks on workers that the policy of their queue does not allow, and against jobs
/// that wait for ever for a ticket. Tickets are valid for 0.7 s here, so some expire before they
/// are used.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_run_only_on_allowed_workers() {
    let site = site_with_tickets().await;
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_job_id();
        let body = job_of_steps(&[20, 4], "ms=400");
        assert!(site.submit(number % 2, POOL, &id, &body).await);
        ids.push(id);
    }
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 6 * 24);
    assert!(runs.iter().all(|run| run.worker % 2 == 0), "{runs:?}");
}

/// Guards against tickets of an earlier incarnation of a worker that are sent to the next
/// incarnation for ever.
#[tokio::test(flavor = "multi_thread")]
async fn job_with_tickets_continues_after_a_crash() {
    let site = site_with_tickets().await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[8, 8], "ms=600"))
            .await
    );
    time::sleep(Duration::from_millis(300)).await;
    site.standin.crash_worker(0, Duration::from_millis(800));
    site.standin.crash_worker(2, Duration::from_millis(800));
    site.wait_for_state(POOL, &id, "completed").await;
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 16);
}

/// Guards against occurrences that start too early, late, twice or not at all, also when all nodes
/// are killed between two occurrences (ORDER, LOST).
#[tokio::test(flavor = "multi_thread")]
async fn repeated_job_runs_on_schedule() {
    let mut site = JobSite::start(2, &[pool(POOL, 3)]).await;
    let first_start = SystemTime::now() + Duration::from_millis(1_500);
    let wall_ms = first_start
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("a time after 1970")
        .as_millis();
    let interval = Duration::from_millis(900);
    let mut body = job_of_steps(&[2], "ms=100");
    body["repetitions"] = json!(8);
    body["first_run_ms"] = json!(u64::try_from(wall_ms).expect("milliseconds"));
    body["interval_ms"] = json!(900);
    let id = new_job_id();
    let first_start_offset = site.standin.elapsed()
        + first_start
            .duration_since(SystemTime::now())
            .expect("a time in the future");
    assert!(site.submit(0, POOL, &id, &body).await);
    time::sleep(Duration::from_millis(4_000)).await;
    for node in &mut site.nodes {
        node.kill();
    }
    for node in &mut site.nodes {
        node.restart();
    }
    site.wait_for_state(POOL, &id, "completed").await;
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 8 * 2);
    let mut starts: BTreeMap<u32, Vec<Duration>> = BTreeMap::new();
    for run in &runs {
        let occurrence = run.task.split('.').nth(1).expect("an occurrence");
        let number: u32 = occurrence.parse().expect("a number");
        starts.entry(number).or_default().push(run.started_at);
    }
    assert_eq!(starts.len(), 8);
    for (number, started_at) in &starts {
        let due = first_start_offset + interval * *number;
        assert!(
            started_at
                .iter()
                .all(|started_at| *started_at + MAX_EARLY_START >= due),
            "{number}"
        );
    }
    // No fault delays the occurrences before the kill.
    for number in 0..2 {
        let due = first_start_offset + interval * number;
        let latest = starts[&number].iter().max().expect("two tasks");
        assert!(
            *latest < due + Duration::from_secs(1),
            "{number}: {latest:?} for {due:?}"
        );
    }
}
