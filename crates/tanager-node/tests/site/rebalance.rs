//! Automatic moves of VMs to overloaded pools.

use std::collections::BTreeMap;
use std::time::Duration;

use http::Method;
use serde_json::Value;

use tanager_http::HttpRequest;
use tanager_standin::load::LoadOptions;

use crate::caller::assert_answered_percent;
use crate::caller::spawn_load;
use crate::harness::POOLS;
use crate::harness::SiteOptions;
use crate::harness::TestSite;
use crate::harness::call;
use crate::nodes::assert_verdict;

const FLOOR: u32 = 3;
/// Mean service time. 20 requests per second then use the 8 slots of a pool.
const SERVICE_TIME: Duration = Duration::from_millis(400);
/// Pools with the weights of their load: twice the capacity of `alpha`, and little load on the
/// other pools.
const OVERLOAD: [(&str, usize); 3] = [("alpha", 18), ("beta", 1), ("gamma", 1)];
/// Requests per second.
const REQUEST_RATE: f64 = 44.0;

/// Starts a site whose pools have 8 slots and one VM above their floor each.
async fn start_site(control_settings: &'static str) -> TestSite {
    TestSite::start_with(SiteOptions {
        floor: FLOOR,
        control_settings,
        edit_document: |document| {
            let vms = document["vms"].as_object_mut().expect("VMs");
            for vm in vms.values_mut() {
                vm["slots"] = Value::from(2);
            }
        },
        ..SiteOptions::default()
    })
    .await
}

fn overload_options(site: &TestSite, seed: u64, seconds: u64) -> LoadOptions {
    let mut options = site.load_with_pool_paths(seed, REQUEST_RATE, seconds, SERVICE_TIME);
    let pools = OVERLOAD.iter().flat_map(|(pool, weight)| {
        let path = format!("{pool}/{pool}");
        std::iter::repeat_n(path, *weight)
    });
    options.mix.pools = pools.collect();
    // Retries after the end of the load would only make the test longer.
    options.retry = false;
    options.mix.timeout = Duration::from_secs(5);
    options
}

/// Returns the moves in the log in order, each as source and target pool. Asserts that the log
/// kept the floors.
async fn read_moves(site: &TestSite) -> Vec<(String, String)> {
    let kinds = site.assert_floor_kept(0, FLOOR).await;
    let mut pools: BTreeMap<String, String> = BTreeMap::new();
    for pool in POOLS {
        for vm in site.vms_of(pool) {
            pools.insert(vm, pool.to_owned());
        }
    }
    let history = site.history(0).await;
    let starts = history.iter().filter(|entry| entry["kind"] == "start_move");
    let moves: Vec<(String, String)> = starts
        .map(|entry| {
            assert_eq!(entry["author"], "rebalance", "{entry}");
            let text = |name: &str| entry["detail"][name].as_str().expect("text").to_owned();
            let from = pools.insert(text("vm"), text("to")).expect("VM");
            (from, text("to"))
        })
        .collect();
    assert_eq!(kinds.get("start_move").copied().unwrap_or(0), moves.len());
    moves
}

/// Sums a counter over all nodes. Asserts that the state dump and the metrics page agree.
async fn sum_counter(site: &TestSite, name: &str) -> u64 {
    let mut sum = 0;
    for (index, node) in site.nodes.iter().enumerate() {
        let dump = site.get_admin(index, "/dump").await.expect("dump");
        let value = dump["control"]["counters"][name].as_u64();
        let request = HttpRequest::new(Method::GET, "/metrics", "");
        let page = call(node.admin_address, request).await.expect("metrics");
        let page = String::from_utf8_lossy(&page.body).into_owned();
        let prefix = format!("tanager_rebalance_{name}_total ");
        let line = page.lines().find_map(|line| line.strip_prefix(&prefix));
        let metric: Option<f64> = line.and_then(|line| line.parse().ok());
        assert_eq!(value.map(|value| value as f64), metric, "{name}");
        sum += value.expect("counter");
    }
    sum
}

/// Guards against a sustained overload that causes no move, and against moves that violate a floor,
/// take VMs from pools without spare VMs or violate the guarantees to callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rebalance_moves_spare_vms_to_a_sustained_overload() {
    let site = start_site("rebalance = on\nmove_cost = 3s\n").await;
    let load = spawn_load(overload_options(&site, 61, 16));
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 30);
    let moves = read_moves(&site).await;
    println!("moves {moves:?}");
    assert!((1..=2).contains(&moves.len()), "{moves:?}");
    assert!(moves.iter().all(|(_, to)| to == "alpha"), "{moves:?}");
    // Each source pool has one VM above its floor.
    assert!(moves.len() == 1 || moves[0].0 != moves[1].0, "{moves:?}");
    let accepted =
        sum_counter(&site, "moves_proposed").await - sum_counter(&site, "moves_refused").await;
    assert_eq!(accepted, moves.len() as u64);
    // A moved VM serves requests of its new pool.
    let mut vms = site.vms_of("beta");
    vms.extend(site.vms_of("gamma"));
    let runs = site.endpoints.runs();
    let mut runs = runs.iter().filter(|run| vms.contains(&run.endpoint));
    assert!(runs.any(|run| run.path.starts_with("/alpha/")));
}

/// Guards against automatic moves that the settings do not enable. They are off by default.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rebalance_off_moves_nothing() {
    let site = start_site("rebalance = off\nmove_cost = 3s\n").await;
    let report = spawn_load(overload_options(&site, 61, 16))
        .await
        .expect("load");
    assert_verdict(&site, &report).await;
    assert_eq!(read_moves(&site).await, []);
    assert_eq!(sum_counter(&site, "moves_proposed").await, 0);
}

/// Guards against a move because of a load surge that is shorter than the cost of a move.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rebalance_ignores_a_short_surge() {
    let site = start_site("rebalance = on\nmove_cost = 12s\n").await;
    let report = spawn_load(overload_options(&site, 62, 3))
        .await
        .expect("load");
    let after = spawn_load(site.load_with_pool_paths(63, 6.0, 14, SERVICE_TIME));
    let after = after.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_verdict(&site, &after).await;
    assert_eq!(read_moves(&site).await, []);
    assert_eq!(sum_counter(&site, "moves_proposed").await, 0);
}
