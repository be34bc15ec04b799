//! Operator calls, and checks of the log and of the runs: the floors of the pools (R1) and one pool
//! at a time for each VM (R2).

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
    /// Options of a load whose paths start with the name of the pool also at the endpoints.
    pub fn load_with_pool_paths(
        &self,
        seed: u64,
        rate: f64,
        seconds: u64,
        service_time: Duration,
    ) -> LoadOptions {
        let mut options = self.load_options(seed, rate, Duration::from_secs(seconds));
        options.mix.pools = POOLS.map(|pool| format!("{pool}/{pool}")).to_vec();
        options.mix.service_time = service_time;
        options
    }

    /// Returns the record of a VM as a node reports it.
    pub async fn vm_record(&self, node: usize, vm: &str) -> Value {
        let page = self.get_admin(node, "/v1/vms").await.expect("VMs");
        let records = page["vms"].as_array().expect("VMs").iter();
        let mut records = records.filter(|record| record["vm"] == vm);
        records.next().expect("VM").clone()
    }

    pub async fn start_move(&self, node: usize, vm: &str, to: &str) -> HttpResponse {
        let page = self.get_admin(node, "/v1/vms").await.expect("VMs");
        let body = json!({ "to": to, "expected": page["version"] });
        let path = format!("/v1/vms/{vm}/move");
        self.post_admin(node, &path, &body).await.expect("response")
    }

    /// Waits until a VM is active in the pool to which it moves.
    pub async fn wait_for_move(&self, node: usize, vm: &str, pool: &str) {
        eventually("the move is committed", async || {
            let record = self.vm_record(node, vm).await;
            record["pool"] == pool && record["activity"] == "active"
        })
        .await;
    }

    /// Waits until a VM has run a request of the load.
    pub async fn wait_for_traffic(&self, vm: &str) {
        eventually("the VM runs requests", async || {
            let runs = self.endpoints.runs();
            let mut runs = runs.iter().filter(|run| run.endpoint == vm);
            runs.any(|run| !run.path.ends_with("/warm-up"))
        })
        .await;
    }

    /// Asserts for the given number of seconds that a VM is still moving out of its pool.
    pub async fn assert_still_moving(&self, node: usize, vm: &str, pool: &str, seconds: u64) {
        for _ in 0..seconds * 4 {
            let record = self.vm_record(node, vm).await;
            assert_eq!(record["pool"], pool, "{record}");
            assert!(record["activity"]["moving"].is_object(), "{record}");
            time::sleep(Duration::from_millis(250)).await;
        }
    }

    /// Returns the entries of the log, oldest first.
    pub async fn history(&self, node: usize) -> Vec<Value> {
        let page = self.get_admin(node, "/v1/history?limit=1000").await;
        let page = page.expect("history");
        let mut entries = page["entries"].as_array().expect("entries").clone();
        entries.reverse();
        assert_eq!(
            entries[0]["version"], 1,
            "the history does not start at the first entry"
        );
        entries
    }

    /// Asserts on the log of a node that no planned change took a pool below its floor. Returns the
    /// number of entries by kind.
    pub async fn assert_floor_kept(&self, node: usize, floor: u32) -> BTreeMap<String, usize> {
        let entries = self.history(node).await;
        replay_log(&entries, &self.document(floor), floor)
    }
}

struct ReplayedVm {
    pool: String,
    active: bool,
    up: bool,
}

/// Replays the log. Asserts that no planned change takes a pool below its floor. Returns the number
/// of entries by kind.
fn replay_log(entries: &[Value], document: &Value, floor: u32) -> BTreeMap<String, usize> {
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
        assert!(
            record.active,
            "{entry} takes out a VM that is already out of service"
        );
        record.active = false;
        let pool = record.pool.clone();
        let pool_vms = vms.values().filter(|record| record.pool == pool);
        let available = pool_vms.filter(|record| record.active && record.up).count();
        assert!(
            available >= floor as usize,
            "{entry} leaves {available} available VMs"
        );
    }
    kinds
}

/// Asserts that a response refuses a change and contains an error message.
pub fn assert_refused(response: &HttpResponse) {
    assert_eq!(response.status, StatusCode::CONFLICT, "{response:?}");
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    let message = body["error"]["message"].as_str().unwrap_or_default();
    assert!(!message.is_empty(), "{body}");
}

/// Asserts that at a VM all runs of one pool end before the first run of the next pool starts.
/// Returns the pools in the order in which the VM served them.
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
