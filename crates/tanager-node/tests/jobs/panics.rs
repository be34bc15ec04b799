//! Panics in the tasks of a node that runs in this process, and the end of its cells.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use http::Method;
use tanager_service::JobNode;
use tanager_service::cell::CellHandle;
use tanager_service::supervision::spawn_loop;
use tanager_site::settings::SiteSettings;
use tanager_standin::site::NodePorts;
use tanager_standin::site::SiteStandin;

use crate::CELL;
use crate::POOL;
use crate::harness::assert_single_runs;
use crate::harness::count_done;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;
use crate::harness::send_request;

/// A node in this process, on a stand-in of the platform.
struct LocalNode {
    standin: SiteStandin,
    ports: NodePorts,
    node: JobNode,
}

impl LocalNode {
    async fn start() -> Self {
        let pools = [pool(POOL, 3)];
        let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
        standin.put_config(1, &pools);
        let ports = NodePorts::find();
        let text = standin.settings_with_store("node-0", ports, standin.store_address());
        let settings = SiteSettings::parse(&text).expect("settings");
        let node = JobNode::spawn(settings, "test").await.expect("node");
        let local = Self {
            standin,
            ports,
            node,
        };
        local.owned_cell(0).await;
        local
    }

    /// Waits until the node owns the cell under a token above `token`.
    async fn owned_cell(&self, token: u64) -> Arc<CellHandle> {
        let find = || self.node.context().cell(CELL);
        eventually("the cell is owned", async || {
            find().is_some_and(|cell| cell.token > token)
        })
        .await;
        find().expect("cell")
    }

    async fn submit(&self, id: &str) {
        let path = format!("/{POOL}/{id}");
        let body = job_of_steps(&[2, 1], "ms=300").to_string();
        eventually("the job is accepted", async || {
            let response =
                send_request(self.ports.client_address(), Method::POST, &path, &body).await;
            response.is_some_and(|response| response.status.is_success())
        })
        .await;
    }

    async fn wait_for_completion(&self, id: &str) {
        let path = format!("/{POOL}/{id}");
        eventually("the job is completed", async || {
            let response = send_request(self.ports.client_address(), Method::GET, &path, "").await;
            response.is_some_and(|response| response.body.as_ref() == b"{\"state\":\"completed\"}")
        })
        .await;
    }
}

/// Causes a panic in the cell and checks that its jobs run completely and once nevertheless.
async fn assert_cell_recovers(cause_panic: impl FnOnce(&Arc<CellHandle>)) {
    let local = LocalNode::start().await;
    let cell = local.owned_cell(0).await;
    let (before, after) = (new_job_id(), new_job_id());
    local.submit(&before).await;
    cause_panic(&cell);
    local.owned_cell(cell.token).await;
    assert!(cell.is_closed());
    local.submit(&after).await;
    local.wait_for_completion(&before).await;
    local.wait_for_completion(&after).await;
    let runs = local.standin.runs();
    assert_single_runs(&runs);
    assert_eq!(count_done(&runs), 2 * 3);
}

/// Guards against a cell that stands still because one of its tasks, for instance the one that
/// stores jobs, panicked.
#[tokio::test(flavor = "multi_thread")]
async fn panic_of_a_task_of_a_cell() {
    assert_cell_recovers(|cell| {
        cell.spawn_task("test", async { panic!("caused by the test") });
    })
    .await;
}

/// Guards against the use of a cell's state after a panic in the middle of its change.
#[tokio::test(flavor = "multi_thread")]
async fn panic_while_the_state_of_a_cell_is_locked() {
    assert_cell_recovers(|cell| {
        let cell = Arc::clone(cell);
        std::thread::spawn(move || {
            let _state = cell.core();
            panic!("caused by the test");
        })
        .join()
        .expect_err("a panic");
    })
    .await;
}

/// Guards against a duty of the node, for instance its heartbeat, that ends with a panic.
#[tokio::test(flavor = "multi_thread")]
async fn loop_that_panicked_starts_again() {
    let starts = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&starts);
    spawn_loop("test", move || {
        let counter = Arc::clone(&counter);
        async move {
            assert!(
                counter.fetch_add(1, Ordering::SeqCst) > 0,
                "caused by the test"
            );
            std::future::pending().await
        }
    });
    eventually("the loop runs again", async || {
        starts.load(Ordering::SeqCst) == 2
    })
    .await;
}

/// Guards against a closed cell whose ledger goes on for ever with progress that it cannot store.
#[tokio::test(flavor = "multi_thread")]
async fn closed_cell_with_unsaved_progress_is_dropped() {
    let local = LocalNode::start().await;
    local.submit(&new_job_id()).await;
    (local.standin).set_faults(|faults| faults.store_refuses = true);
    let cell = local.owned_cell(0).await;
    eventually("progress is unsaved", async || {
        count_done(&local.standin.runs()) == 3 && cell.core().has_dirty()
    })
    .await;
    let closed = Arc::downgrade(&cell);
    cell.close("closed by the test");
    drop(cell);
    eventually("the cell is dropped", async || closed.upgrade().is_none()).await;
}
