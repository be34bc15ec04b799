//! Cells that move from weak nodes to strong ones.

use std::time::Duration;
use std::time::Instant;

use tanager_standin::site::SiteStandin;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::JobSite;
use crate::harness::NodeProcess;
use crate::harness::assert_single_runs;
use crate::harness::count_done;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;

/// Guards against a cell that stays on the weak node that acquired it, and against runs that are stopped or
/// repeated and jobs that are lost when it moves.
#[tokio::test(flavor = "multi_thread")]
async fn cell_moves_to_a_strong_node_beside_its_jobs() {
    let pools = [pool(POOL, 3)];
    let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
    standin.put_config(1, &pools);
    let weak = NodeProcess::spawn_with_share(&standin, "weak", 0.12);
    let mut site = JobSite {
        standin,
        nodes: vec![weak],
    };
    site.wait_until_owned(&pools).await;
    assert_eq!(site.owner(CELL).await, Some(0));
    let strong = NodeProcess::spawn_with_share(&site.standin, "strong", 0.5);
    site.nodes.push(strong);
    let mut ids = Vec::new();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(9) {
        let id = new_job_id();
        let specification = if ids.is_empty() { "ms=8000" } else { "ms=300" };
        let job = job_of_steps(&[2], specification);
        assert!(site.submit(0, POOL, &id, &job).await);
        ids.push(id);
        time::sleep(Duration::from_millis(100)).await;
    }
    eventually("the strong node owns the cell", async || {
        site.owner(CELL).await == Some(1)
    })
    .await;
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(
        (runs.len(), count_done(&runs)),
        (2 * ids.len(), 2 * ids.len())
    );
    let text = std::fs::read_to_string(&site.nodes[0].log).expect("log");
    assert_eq!(text.matches("event=cell_relocated").count(), 1, "{text}");
}
