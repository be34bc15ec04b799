//! Nodes that are killed, frozen, shut down gracefully or all replaced at once.

use std::time::Duration;

use nix::sys::signal::Signal;
use tokio::time;

use tanager_standin::load::run_load;
use tanager_standin::report::LoadReport;
use tanager_standin::verification::verify_runs;

use crate::harness::TestSite;
use crate::harness::eventually;

/// Waits until no endpoint runs a request, then compares the runs with the outcomes that the
/// callers received.
pub async fn assert_verdict(site: &TestSite, report: &LoadReport) {
    eventually("all runs end", async || {
        site.endpoints.runs().iter().all(|run| run.finish.is_some())
    })
    .await;
    let verdict = verify_runs(&report.records, &site.endpoints.runs());
    assert!(verdict.passed(), "{verdict}\n{report}");
    println!("{report}\n{verdict}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_node_neither_loses_nor_duplicates_requests() {
    let mut site = TestSite::start(4, 12, 1).await;
    let options = site.load_options(11, 150.0, Duration::from_secs(6));
    let load = tokio::spawn(async move { run_load(&options).await });
    time::sleep(Duration::from_secs(2)).await;
    site.nodes[1].kill();
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    // The killed node gets a quarter of the load and is dead for two thirds of the time.
    let answered = report.count("answered");
    assert!(
        answered * 2 > report.records.len() as u64,
        "fewer than half of the requests were answered: {report}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_node_duplicates_no_request() {
    let site = TestSite::start(4, 12, 1).await;
    let options = site.load_options(12, 150.0, Duration::from_secs(14));
    let load = tokio::spawn(async move { run_load(&options).await });
    time::sleep(Duration::from_secs(1)).await;
    site.nodes[0].signal(Signal::SIGSTOP);
    // Longer than the contact timeout of the peers and the timeout of every request sent before.
    time::sleep(Duration::from_secs(11)).await;
    site.nodes[0].signal(Signal::SIGCONT);
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    let answered = report.count("answered");
    assert!(
        answered * 2 > report.records.len() as u64,
        "fewer than half of the requests were answered: {report}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_shutdown_interrupts_no_request() {
    let mut site = TestSite::start(3, 12, 1).await;
    let mut options = site.load_options(13, 150.0, Duration::from_secs(4));
    // Load balancers no longer send requests to the node that shuts down. Requests to other nodes
    // still pass through its queues because it is the home of pools.
    options.targets.remove(0);
    let load = tokio::spawn(async move { run_load(&options).await });
    time::sleep(Duration::from_secs(1)).await;
    site.nodes[0].signal(Signal::SIGTERM);
    assert_eq!(site.nodes[0].wait().await, Some(0));
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    let lost = report.records.len() as u64 - report.count("answered") - report.count("cancelled");
    assert_eq!(lost, 0, "{report}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replacing_all_nodes_keeps_the_configuration() {
    let mut site = TestSite::start(3, 12, 1).await;
    let before = site
        .get_admin(0, "/v1/config")
        .await
        .expect("configuration");
    for node in &mut site.nodes {
        node.kill();
    }
    site.nodes.clear();
    for _ in 0..3 {
        site.add_node();
    }
    site.wait_until_ready().await;
    for node in 0..3 {
        let after = site
            .get_admin(node, "/v1/config")
            .await
            .expect("configuration");
        assert_eq!(after["document"], before["document"]);
    }
    let options = site.load_options(14, 100.0, Duration::from_secs(3));
    let report = run_load(&options).await;
    assert_verdict(&site, &report).await;
    assert!(
        report.count("answered") * 10 > report.records.len() as u64 * 9,
        "{report}"
    );
}

/// Guards against a drain request to the administration API that takes a pool below its floor.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_below_the_floor_is_refused() {
    let site = TestSite::start(2, 6, 2).await;
    let path = "/v1/vms/vm-1/drain";
    let body = serde_json::json!({ "reason": "test" });
    let response = site.post_admin(1, path, &body).await.expect("response");
    assert_eq!(response.status, 409, "{:?}", response.body);
    let vms = site.get_admin(0, "/v1/vms").await.expect("VMs");
    assert!(!vms.to_string().contains("draining"), "{vms}");
}
