//! Operators' calls, and the history of a pool's availability (R1) and of a VM's pools (R2).

use std::collections::BTreeMap;
use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use tanager_http::HttpResponse;
use tanager_protocol::fleet::VmHealth;
use tanager_standin::EndpointRun;
use tanager_standin::load::LoadOptions;

use crate::harness::POOLS;
use crate::harness::TestSite;
use crate::harness::eventually;

impl TestSite {
    /// Load whose paths at the endpoints start with the pool's name.
    pub fn named_load(&self, seed: u64, rate: f64, seconds: u64, work: Duration) -> LoadOptions {
        let mut options = self.load(seed, rate, Duration::from_secs(seconds));
        options.mix.pools = POOLS.map(|pool| format!("{pool}/{pool}")).to_vec();
        options.mix.work = work;
        options
    }

    /// The record of a VM as a node shows it.
    pub async fn vm(&self, node: usize, vm: &str) -> Value {
        let page = self.get_admin(node, "/v1/vms").await.expect("VMs");
        let records = page["vms"].as_array().expect("VMs").iter();
        let mut records = records.filter(|record| record["vm"] == vm);
        records.next().expect("VM").clone()
    }

    pub async fn start_move(&self, node: usize, vm: &str, to: &str) -> HttpResponse {
        let page = self.get_admin(node, "/v1/vms").await.expect("VMs");
        let body = json!({ "to": to, "expected": page["version"] });
        let path = format!("/v1/vms/{vm}/move");
        self.post_admin(node, &path, &body).await.expect("answer")
    }

    pub async fn wait_pool(&self, node: usize, vm: &str, pool: &str) {
        eventually("the move is committed", async || {
            let record = self.vm(node, vm).await;
            record["pool"] == pool && record["activity"] == "active"
        })
        .await;
    }

    /// Waits until the load has reached a VM.
    pub async fn wait_used(&self, vm: &str) {
        eventually("the VM is in use", async || {
            let runs = self.endpoints.runs();
            let mut runs = runs.iter().filter(|run| run.endpoint == vm);
            runs.any(|run| !run.path.ends_with("/warm-up"))
        })
        .await;
    }

    /// Asserts for some seconds that a VM is still moving out of its pool.
    pub async fn assert_still_moving(&self, node: usize, vm: &str, pool: &str, seconds: u64) {
        for _ in 0..seconds * 4 {
            let record = self.vm(node, vm).await;
            assert_eq!(record["pool"], pool, "{record}");
            assert!(record["activity"]["moving"].is_object(), "{record}");
            time::sleep(Duration::from_millis(250)).await;
        }
    }

    /// Entries of the log, oldest first.
    pub async fn history(&self, node: usize) -> Vec<Value> {
        let page = self.get_admin(node, "/v1/history?limit=1000").await;
        let page = page.expect("history");
        let mut entries = page["entries"].as_array().expect("entries").clone();
        entries.reverse();
        assert_eq!(entries[0]["version"], 1, "the whole log is needed");
        entries
    }

    /// Replays the log and asserts that no planned change took a pool below its floor.
    pub async fn assert_floor_kept(&self, node: usize, floor: u32) -> BTreeMap<String, usize> {
        let entries = self.history(node).await;
        assert_floor(&entries, &self.document(floor), floor)
    }
}

struct ReplayedVm {
    pool: String,
    active: bool,
    up: bool,
}

/// Returns the number of entries by kind.
fn assert_floor(entries: &[Value], document: &Value, floor: u32) -> BTreeMap<String, usize> {
    let mut vms: BTreeMap<String, ReplayedVm> = BTreeMap::new();
    let mut targets: BTreeMap<String, String> = BTreeMap::new();
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for entry in entries {
        let kind = entry["kind"].as_str().expect("kind").to_owned();
        let detail = &entry["detail"];
        let text = |name: &str| detail[name].as_str().unwrap_or_default().to_owned();
        let name = text("vm");
        *kinds.entry(kind.clone()).or_default() += 1;
        let planned = match kind.as_str() {
            "configure" if vms.is_empty() => {
                for (vm, config) in document["vms"].as_object().expect("VMs") {
                    let pool = config["pool"].as_str().expect("pool").to_owned();
                    let record = ReplayedVm {
                        pool,
                        active: true,
                        up: true,
                    };
                    vms.insert(vm.clone(), record);
                }
                false
            }
            "report_vm" => {
                let health: VmHealth =
                    serde_json::from_value(detail["health"].clone()).expect("health");
                vms.get_mut(&name).expect("VM").up = health == VmHealth::Up;
                false
            }
            "start_move" => {
                targets.insert(name.clone(), text("to"));
                true
            }
            "commit_move" => {
                let record = vms.get_mut(&name).expect("VM");
                record.pool = targets[&name].clone();
                record.active = true;
                false
            }
            "start_drain" => true,
            "step_wave" if text("step") == "drain" => true,
            "step_wave" if text("step") == "return" => {
                vms.get_mut(&name).expect("VM").active = true;
                false
            }
            "abort_move" | "end_drain" => {
                vms.get_mut(&name).expect("VM").active = true;
                false
            }
            _ => false,
        };
        if !planned {
            continue;
        }
        let record = vms.get_mut(&name).expect("VM");
        assert!(record.active, "{entry} takes a VM that is out of service");
        record.active = false;
        let pool = record.pool.clone();
        let pool_vms = vms.values().filter(|record| record.pool == pool);
        let available = pool_vms.filter(|record| record.active && record.up).count();
        assert!(available >= floor as usize, "{entry} leaves {available}");
    }
    kinds
}

/// Asserts that a response refuses a change with a message.
pub fn assert_refused(response: &HttpResponse) {
    assert_eq!(response.status, StatusCode::CONFLICT, "{response:?}");
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    let message = body["error"]["message"].as_str().unwrap_or_default();
    assert!(!message.is_empty(), "{body}");
}

/// Asserts that the runs of each pool at a VM end before the first run of its next pool starts.
/// Returns the pools in order.
pub fn assert_one_pool_at_a_time(runs: &[EndpointRun], vm: &str) -> Vec<String> {
    let mut pools: Vec<String> = Vec::new();
    let mut newest_finish = 0;
    let mut finish_before = 0;
    let runs = runs.iter().filter(|run| run.endpoint == vm);
    for run in runs {
        let pool = run.path.split('/').nth(1).unwrap_or_default();
        if !POOLS.contains(&pool) {
            continue;
        }
        let known = pools.iter().position(|known| known == pool);
        match known {
            Some(index) => assert_eq!(index + 1, pools.len(), "{vm} serves {pool} again: {run:?}"),
            None => {
                pools.push(pool.to_owned());
                finish_before = newest_finish;
            }
        }
        assert!(
            run.start > finish_before,
            "{vm}: {run:?} before {finish_before}"
        );
        let finish = run.finish.expect("all runs have ended");
        newest_finish = newest_finish.max(finish);
    }
    pools
}
