//! Nodes that are killed, frozen or stopped, a store that is away or loses answers, lost workers, and
//! rows of other writers.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::JobProcess;
use crate::harness::check_once;
use crate::harness::done;
use crate::harness::eventually;
use crate::harness::new_id;
use crate::harness::pool;
use crate::harness::steps;
use crate::small_site;

/// Guards against jobs that are lost, or tasks that run twice, when the owner is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_is_replaced() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let mut ids = Vec::new();
    for _ in 0..6 {
        let id = new_id();
        let body = steps(&[3, 2], "ms=800");
        assert!(site.submit((owner + 1) % 3, POOL, &id, &body).await);
        ids.push(id);
    }
    time::sleep(Duration::from_millis(400)).await;
    site.nodes[owner].kill();
    for id in &ids {
        let other = (owner + 1) % 3;
        eventually("the job is completed", async || {
            site.state(other, POOL, id).await.as_deref() == Some("completed")
        })
        .await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 6 * 5);
}

/// Guards against the loss of jobs when all nodes are killed at once, and against a task that runs
/// twice because the restarted node does not know what runs.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_killed_and_restarted() {
    let mut site = small_site(2).await;
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_id();
        assert!(
            site.submit(number % 2, POOL, &id, &steps(&[2, 2], "ms=700"))
                .await
        );
        ids.push(id);
    }
    for node in &mut site.nodes {
        node.kill();
    }
    for node in &mut site.nodes {
        node.restart();
    }
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 6 * 4);
}

/// Guards against a frozen owner that wakes after it was replaced and starts tasks again.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_wakes_after_its_replacement() {
    let site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let mut ids = Vec::new();
    for _ in 0..8 {
        let id = new_id();
        assert!(
            site.submit(other, POOL, &id, &steps(&[8, 4], "ms=900"))
                .await
        );
        ids.push(id);
    }
    site.nodes[owner].signal(Signal::SIGSTOP);
    eventually("another node owns the cell", async || {
        let dump = site.nodes[other].dump().await;
        let last = site.nodes[(owner + 2) % 3].dump().await;
        [dump, last].into_iter().flatten().any(|dump| {
            let cells = dump["cells"].as_array().cloned().unwrap_or_default();
            cells.iter().any(|cell| cell["cell"] == CELL)
        })
    })
    .await;
    site.nodes[owner].signal(Signal::SIGCONT);
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    check_once(&site.site.runs());
}

/// Guards against a stop that loses requests, jobs or runs.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_owner_hands_over() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let mut ids = Vec::new();
    for _ in 0..4 {
        let id = new_id();
        assert!(
            site.submit(other, POOL, &id, &steps(&[3, 2], "ms=600"))
                .await
        );
        ids.push(id);
    }
    site.nodes[owner].signal(Signal::SIGTERM);
    let late = new_id();
    assert!(
        site.submit(other, POOL, &late, &steps(&[1], "ms=100"))
            .await
    );
    assert_eq!(site.nodes[owner].wait().await, Some(0));
    ids.push(late);
    for id in &ids {
        eventually("the job is completed", async || {
            site.state(other, POOL, id).await.as_deref() == Some("completed")
        })
        .await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    // Nothing was stopped, lost or started again.
    assert_eq!(
        (runs.len(), done(&runs)),
        (4 * 5 + 1, 4 * 5 + 1),
        "{runs:?}"
    );
}

/// Guards against accepted work that stops, and new work that is held, while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn store_away() {
    let site = small_site(2).await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[2, 2], "ms=500")).await);
    site.site.set_faults(|faults| faults.store_refuses = true);
    eventually("the second step runs meanwhile", async || {
        done(&site.site.runs()) >= 4
    })
    .await;
    let body = steps(&[1], "ms=100").to_string();
    let refused = new_id();
    let path = format!("/{POOL}/{refused}");
    let began = std::time::Instant::now();
    let response = site.request(1, Method::POST, &path, &body).await;
    let response = response.expect("answer");
    assert_eq!(response.status.as_u16(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(began.elapsed() < Duration::from_millis(1_500));
    site.site.set_faults(|faults| faults.store_refuses = false);
    site.wait_for(POOL, &id, "completed").await;
    // A refused job never runs.
    time::sleep(Duration::from_millis(500)).await;
    let runs = site.site.runs();
    assert!(runs.iter().all(|run| !run.task.starts_with(&refused)));
    check_once(&runs);
}

/// Guards against a job that is lost or doubled when answers of the store are lost.
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_the_store_are_lost() {
    let site = small_site(2).await;
    site.site
        .set_faults(|faults| faults.change_response_loss_rate = 0.4);
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_id();
        assert!(
            site.submit(number % 2, POOL, &id, &steps(&[2], "ms=100"))
                .await
        );
        ids.push(id);
    }
    site.site
        .set_faults(|faults| faults.change_response_loss_rate = 0.0);
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 12);
}

/// Guards against a second run when the answer to a start is lost.
#[tokio::test(flavor = "multi_thread")]
async fn answers_of_workers_are_lost() {
    let site = small_site(2).await;
    site.site
        .set_faults(|faults| faults.order_response_loss_rate = 0.3);
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_id();
        assert!(
            site.submit(number % 2, POOL, &id, &steps(&[3], "ms=300"))
                .await
        );
        ids.push(id);
    }
    for id in &ids {
        site.wait_for(POOL, id, "completed").await;
    }
    check_once(&site.site.runs());
}

/// Guards against a task that is never started again after its worker was lost.
#[tokio::test(flavor = "multi_thread")]
async fn crashed_worker() {
    let site = small_site(2).await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[6], "ms=1500")).await);
    eventually("all tasks run", async || site.site.runs().len() == 6).await;
    site.site.crash_worker(0, Duration::from_secs(1));
    site.wait_for(POOL, &id, "completed").await;
    let runs = site.site.runs();
    check_once(&runs);
    assert_eq!(done(&runs), 6);
}

/// Guards against a view that goes stale when the store drops the history of its feeds.
#[tokio::test(flavor = "multi_thread")]
async fn history_of_the_store_is_dropped() {
    let site = small_site(2).await;
    site.site.set_faults(|faults| faults.history_dropped = true);
    let pools = [pool(POOL, 3), pool("other", 0)];
    site.site.put_config(2, &pools);
    eventually("the new configuration is in force", async || {
        let response = site.request(0, Method::GET, "/other/", "").await;
        response.is_some_and(|response| response.status.as_u16() != 404)
    })
    .await;
}

/// Guards against rows of other writers that end the process or hide the good ones.
#[tokio::test(flavor = "multi_thread")]
async fn rows_of_other_writers() {
    let mut site = small_site(2).await;
    let entries = [
        ("servers", "i-strange-1", "not json"),
        ("servers", "i-strange-2", "{}"),
        ("servers", "i-strange-3", "{\"service\":7,\"address\":[]}"),
        (
            "servers",
            "i-strange-4",
            "{\"service\":\"entry\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"odd\",\
             \"capacity\":{\"cpu\":1}}",
        ),
        ("op", "config", "{\"version\":9}"),
        ("op", "wave/7", "[]"),
        ("op", "unheard-of", "x"),
        ("node", "someone", "{\"incarnation\":\"x\"}"),
    ];
    for (table, key, value) in entries {
        site.site.put_row(table, key, value.as_bytes());
    }
    site.site.put_row("node", "someone-else", &[0xff, 0xfe]);
    time::sleep(Duration::from_millis(1_500)).await;
    let id = new_id();
    assert!(site.submit(0, POOL, &id, &steps(&[2], "ms=100")).await);
    site.wait_for(POOL, &id, "completed").await;
    assert!(site.nodes.iter_mut().all(JobProcess::is_running));
}
