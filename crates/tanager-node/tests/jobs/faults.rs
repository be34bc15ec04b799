//! Nodes that are killed, frozen or stopped; a store that is unavailable or loses responses; lost
//! workers; rows of other writers.

use std::time::Duration;

use http::Method;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time;

use crate::CELL;
use crate::POOL;
use crate::harness::NodeProcess;
use crate::harness::assert_single_runs;
use crate::harness::count_done;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;
use crate::harness::send_request;
use crate::small_site;

/// Guards against jobs that are lost, or tasks that run twice, when the owner is killed.
#[tokio::test(flavor = "multi_thread")]
async fn killed_owner_is_replaced() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let mut ids = Vec::new();
    for _ in 0..6 {
        let id = new_job_id();
        let body = job_of_steps(&[3, 2], "ms=800");
        assert!(site.submit((owner + 1) % 3, POOL, &id, &body).await);
        ids.push(id);
    }
    time::sleep(Duration::from_millis(400)).await;
    site.nodes[owner].kill();
    for id in &ids {
        let other = (owner + 1) % 3;
        eventually("the job is completed", async || {
            site.job_state(other, POOL, id).await.as_deref() == Some("completed")
        })
        .await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 6 * 5);
}

/// Guards against the loss of jobs when all nodes are killed at once, and against a task that runs
/// twice because the restarted node does not know which tasks run.
#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_killed_and_restarted() {
    let mut site = small_site(2).await;
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_job_id();
        assert!(
            site.submit(number % 2, POOL, &id, &job_of_steps(&[2, 2], "ms=700"))
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
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 6 * 4);
}

/// Guards against a frozen owner that resumes after it was replaced, and starts tasks again.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_resumes_after_its_replacement() {
    let site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let mut ids = Vec::new();
    for _ in 0..8 {
        let id = new_job_id();
        assert!(
            site.submit(other, POOL, &id, &job_of_steps(&[8, 4], "ms=900"))
                .await
        );
        ids.push(id);
    }
    site.nodes[owner].signal(Signal::SIGSTOP);
    eventually("another node owns the cell", async || {
        let dump = site.nodes[other].dump().await;
        let third_dump = site.nodes[(owner + 2) % 3].dump().await;
        [dump, third_dump].into_iter().flatten().any(|dump| {
            let cells = dump["cells"].as_array().cloned().unwrap_or_default();
            cells.iter().any(|cell| cell["cell"] == CELL)
        })
    })
    .await;
    site.nodes[owner].signal(Signal::SIGCONT);
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    assert_single_runs(&site.standin.runs());
}

/// Guards against the loss of requests, jobs or runs when the owner is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_owner_transfers_its_cell() {
    let mut site = small_site(3).await;
    let owner = site.owner(CELL).await.expect("owner");
    let other = (owner + 1) % 3;
    let mut ids = Vec::new();
    for _ in 0..4 {
        let id = new_job_id();
        assert!(
            site.submit(other, POOL, &id, &job_of_steps(&[3, 2], "ms=600"))
                .await
        );
        ids.push(id);
    }
    site.nodes[owner].signal(Signal::SIGTERM);
    let late = new_job_id();
    assert!(
        site.submit(other, POOL, &late, &job_of_steps(&[1], "ms=100"))
            .await
    );
    assert_eq!(site.nodes[owner].wait_for_exit().await, Some(0));
    ids.push(late);
    for id in &ids {
        eventually("the job is completed", async || {
            site.job_state(other, POOL, id).await.as_deref() == Some("completed")
        })
        .await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    // No run was stopped, lost or repeated.
    assert_eq!(
        (runs.len(), count_done(&runs)),
        (4 * 5 + 1, 4 * 5 + 1),
        "{runs:?}"
    );
}

/// Guards against accepted jobs that stop, and against submissions that wait instead of being
/// refused, while the store is unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn store_unavailable() {
    let site = small_site(2).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[2, 2], "ms=500"))
            .await
    );
    site.standin
        .set_faults(|faults| faults.store_refuses = true);
    eventually("the second step runs during the outage", async || {
        count_done(&site.standin.runs()) >= 4
    })
    .await;
    let body = job_of_steps(&[1], "ms=100").to_string();
    let refused = new_job_id();
    let path = format!("/{POOL}/{refused}");
    let sent_at = std::time::Instant::now();
    let response = site.request(1, Method::POST, &path, &body).await;
    let response = response.expect("a response");
    assert_eq!(response.status.as_u16(), 503);
    assert!(response.header("retry-after").is_some());
    assert!(sent_at.elapsed() < Duration::from_millis(1_500));
    site.standin
        .set_faults(|faults| faults.store_refuses = false);
    site.wait_for_state(POOL, &id, "completed").await;
    // A refused job never runs.
    time::sleep(Duration::from_millis(500)).await;
    let runs = site.standin.runs();
    assert!(runs.iter().all(|run| !run.task.starts_with(&refused)));
    assert_single_runs(&runs);
}

/// Guards against a job that is lost or runs twice when responses of the store are lost.
#[tokio::test(flavor = "multi_thread")]
async fn store_responses_are_lost() {
    let site = small_site(2).await;
    site.standin
        .set_faults(|faults| faults.change_response_loss_rate = 0.4);
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_job_id();
        assert!(
            site.submit(number % 2, POOL, &id, &job_of_steps(&[2], "ms=100"))
                .await
        );
        ids.push(id);
    }
    site.standin
        .set_faults(|faults| faults.change_response_loss_rate = 0.0);
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 12);
}

/// Guards against a second run when the response to a start order is lost.
#[tokio::test(flavor = "multi_thread")]
async fn worker_responses_are_lost() {
    let site = small_site(2).await;
    site.standin
        .set_faults(|faults| faults.order_response_loss_rate = 0.3);
    let mut ids = Vec::new();
    for number in 0..6 {
        let id = new_job_id();
        assert!(
            site.submit(number % 2, POOL, &id, &job_of_steps(&[3], "ms=300"))
                .await
        );
        ids.push(id);
    }
    for id in &ids {
        site.wait_for_state(POOL, id, "completed").await;
    }
    assert_single_runs(&site.standin.runs());
}

/// Guards against a task that is never started again after its worker crashed.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_crashed_worker_run_again() {
    let site = small_site(2).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[6], "ms=1500"))
            .await
    );
    eventually("all tasks run", async || site.standin.runs().len() == 6).await;
    site.standin.crash_worker(0, Duration::from_secs(1));
    site.wait_for_state(POOL, &id, "completed").await;
    let runs = site.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 6);
}

/// Guards against a stale view of the store after it dropped the history of its feeds.
#[tokio::test(flavor = "multi_thread")]
async fn store_drops_the_history_of_its_feeds() {
    let site = small_site(2).await;
    site.standin
        .set_faults(|faults| faults.history_dropped = true);
    let pools = [pool(POOL, 3), pool("other", 0)];
    site.standin.put_config(2, &pools);
    eventually("the new configuration is applied", async || {
        let response = site.request(0, Method::GET, "/other/", "").await;
        response.is_some_and(|response| response.status.as_u16() != 404)
    })
    .await;
}

/// Guards against invalid rows of other writers that crash the process or hide valid rows.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_rows_of_other_writers() {
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
        site.standin.put_row(table, key, value.as_bytes());
    }
    site.standin.put_row("node", "someone-else", &[0xff, 0xfe]);
    time::sleep(Duration::from_millis(1_500)).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[2], "ms=100"))
            .await
    );
    site.wait_for_state(POOL, &id, "completed").await;
    assert!(site.nodes.iter_mut().all(NodeProcess::is_running));
}

/// Guards against nodes that take the cells of live owners after the store refused the heartbeats
/// of all nodes for longer than it takes to consider a node dead.
#[tokio::test(flavor = "multi_thread")]
async fn refused_heartbeats_move_no_cell() {
    let site = small_site(4).await;
    let count_acquired = || -> usize {
        (site.nodes.iter())
            .map(|node| std::fs::read_to_string(&node.log).expect("log"))
            .map(|log| log.matches("event=cell_taken").count())
            .sum()
    };
    site.standin
        .set_faults(|faults| faults.changes_refused = true);
    time::sleep(Duration::from_secs(5)).await;
    site.standin
        .set_faults(|faults| faults.changes_refused = false);
    time::sleep(Duration::from_secs(3)).await;
    let id = new_job_id();
    assert!(
        site.submit(0, POOL, &id, &job_of_steps(&[2], "ms=100"))
            .await
    );
    site.wait_for_state(POOL, &id, "completed").await;
    assert_eq!(count_acquired(), 2);
}

/// Guards against a former owner that resumes and reports a worker as drained on which its successor
/// runs tasks, so that the coordinator takes the VM down (AVAIL).
#[tokio::test(flavor = "multi_thread")]
async fn resumed_owner_reports_no_worker_as_drained() {
    let site = small_site(3).await;
    let former = site.owner(CELL).await.expect("owner");
    let other = (former + 1) % 3;
    site.nodes[former].signal(Signal::SIGSTOP);
    let id = new_job_id();
    let body = job_of_steps(&[9], "ms=60000");
    assert!(site.submit(other, POOL, &id, &body).await);
    eventually("the successor runs the tasks", async || {
        site.standin.runs().len() == 9
    })
    .await;
    let address = site.nodes[former].ports.peer_address();
    let requests: Vec<_> = (0..3)
        .map(|worker| {
            let body = json!({"cell": CELL, "worker": format!("i-{worker}-0"), "evicts": false});
            tokio::spawn(async move {
                send_request(address, Method::POST, "/empty", &body.to_string()).await
            })
        })
        .collect();
    // The requests wait in the listen queue of the frozen process.
    time::sleep(Duration::from_millis(300)).await;
    site.nodes[former].signal(Signal::SIGCONT);
    for request in requests {
        let response = request.await.expect("a task that ends");
        let body = response.map(|response| response.body);
        let text = String::from_utf8_lossy(body.as_deref().unwrap_or_default()).into_owned();
        assert!(!text.contains("\"empty\":true"), "{text}");
    }
}

/// Guards against a cell that opens although another node acquired it while its rows were read, and
/// that starts runs and answers clients until the owner rows are read again (TWICE, LOST).
#[tokio::test(flavor = "multi_thread")]
async fn cell_lost_while_it_is_loaded_does_not_open() {
    let mut site = small_site(1).await;
    let ledger = site.standin.part_row("ledger", CELL, "ledger");
    let ledger = ledger.expect("the ledger's row");
    site.nodes[0].kill();
    let log = site.nodes[0].log.clone();
    let length = std::fs::metadata(&log).expect("log").len() as usize;
    let new_lines = || std::fs::read_to_string(&log).expect("log")[length..].to_owned();
    // A row that cannot be decoded is read again for three seconds.
    (site.standin).put_part_row("ledger", CELL, "ledger", b"{");
    site.nodes[0].restart();
    eventually("the cell is being loaded", async || {
        new_lines().contains(&format!("event=cell_read_failed cell={CELL}"))
    })
    .await;
    let successor = json!({"node": "elsewhere", "incarnation": 1}).to_string();
    (site.standin).put_part_row("cell", CELL, "owner", successor.as_bytes());
    // Long enough for a read of the owner rows.
    time::sleep(Duration::from_millis(1_000)).await;
    (site.standin).put_part_row("ledger", CELL, "ledger", &ledger);
    let taken = format!("event=cell_taken cell={CELL} token=");
    let text = new_lines();
    let rest = text.split(&taken).nth(1).expect("the lost acquisition");
    let token = rest.split(' ').next().expect("its token").to_owned();
    eventually("the cell is loaded", async || {
        new_lines().contains(&format!("event=cell_loaded cell={CELL}"))
    })
    .await;
    time::sleep(Duration::from_millis(300)).await;
    let text = new_lines();
    let linked = format!("event=worker_linked cell={CELL} ");
    let end = format!(" token={token}");
    let linked: Vec<&str> = (text.lines())
        .filter(|line| line.contains(&linked) && line.trim_end().ends_with(&end))
        .collect();
    assert!(linked.is_empty(), "{linked:#?}");
    // The successor is no known node, so the cell is acquired again.
    let id = new_job_id();
    let body = job_of_steps(&[2], "ms=100");
    assert!(site.submit(0, POOL, &id, &body).await);
    site.wait_for_state(POOL, &id, "completed").await;
}
