//! Log lines about single runs, which have a target of their own.

use std::fs;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;

/// Returns the lines of the first node that name an event.
fn lines(site: &JobSite, event: &str) -> Vec<String> {
    let text = fs::read_to_string(&site.nodes[0].log).expect("log file");
    let word = format!(" event={event} ");
    (text.lines())
        .filter(|line| line.contains(&word))
        .map(str::to_owned)
        .collect()
}

async fn run_job(site: &JobSite) -> String {
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[2], "ms=50"))
            .await
    );
    site.wait_for_state(POOL, &id, "completed").await;
    eventually("the end is logged", async || {
        (lines(site, "job_ended").iter()).any(|line| line.contains(&id))
    })
    .await;
    id
}

/// Guards against lines of single runs in the default log, which a surge would fill, and against
/// runs whose worker, incarnation, end or acknowledgement cannot be found when they are enabled.
#[tokio::test(flavor = "multi_thread")]
async fn lines_of_runs_are_enabled_alone() {
    let pools = [pool(POOL, 4)];
    let mut site = JobSite::start(1, &pools).await;
    run_job(&site).await;
    for event in ["run_started", "run_ended", "ends_acknowledged"] {
        assert!(lines(&site, event).is_empty(), "{event}");
    }

    site.nodes[0].restart_filtered("info,tanager::runs=debug");
    site.wait_until_owned(&pools).await;
    let id = run_job(&site).await;
    eventually("the ends are acknowledged", async || {
        !lines(&site, "ends_acknowledged").is_empty()
    })
    .await;
    let started = lines(&site, "run_started");
    let ended = lines(&site, "run_ended");
    let of_job = |lines: &[String]| lines.iter().filter(|line| line.contains(&id)).count();
    assert_eq!(
        (of_job(&started), of_job(&ended)),
        (2, 2),
        "{started:?} {ended:?}"
    );
    let names = [" worker=", " born=", " cell=", " token="];
    for line in started.iter().chain(&ended) {
        assert!(names.iter().all(|name| line.contains(name)), "{line}");
        assert!(!line.contains(" born=0 "), "{line}");
    }
    // Other lines of level `debug` remain off.
    let text = fs::read_to_string(&site.nodes[0].log).expect("log file");
    let others = (text.lines())
        .filter(|line| line.contains(" level=debug "))
        .filter(|line| !line.contains(" event=run_") && !line.contains(" event=ends_"));
    assert_eq!(others.count(), 0);
}
