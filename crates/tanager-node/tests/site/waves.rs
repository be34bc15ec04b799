//! Maintenance waves under load and faults.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time;

use tanager_platform::ListedState;
use tanager_standin::endpoint::EndpointFaults;

use crate::caller::assert_answered_percent;
use crate::caller::spawn_load;
use crate::harness::SiteOptions;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::harness::version_of;
use crate::nodes::assert_verdict;

const SERVICE_TIME: Duration = Duration::from_millis(20);

impl TestSite {
    async fn start_wave(&self, node: usize) {
        let body = json!({ "pool": "alpha", "wave": "wave" });
        let response = self.post_admin(node, "/v1/waves", &body).await;
        let response = response.expect("response");
        assert!(response.status.is_success(), "{response:?}");
        self.wait_for_version(version_of(&response)).await;
    }

    async fn wave(&self, node: usize) -> Value {
        let page = self.get_admin(node, "/v1/waves").await.expect("waves");
        page["waves"]["wave"].clone()
    }

    async fn wait_until_wave_finished(&self, node: usize) {
        eventually("the wave finishes", async || {
            let wave = self.wave(node).await;
            assert!(wave["status"]["paused"].is_null(), "{wave}");
            wave["status"] == "finished"
        })
        .await;
    }

    /// Number of reboots of each VM.
    fn reboots(&self) -> BTreeMap<String, usize> {
        let mut reboots = BTreeMap::new();
        for vm in self.platform.reboots() {
            *reboots.entry(vm).or_default() += 1;
        }
        reboots
    }

    fn assert_each_rebooted_once(&self) {
        let expected = self.vms_of("alpha").into_iter().map(|vm| (vm, 1));
        assert_eq!(self.reboots(), expected.collect());
    }
}

/// Assigns two VMs of each pool to each rack, so that a wave may maintain two at a time.
fn set_two_vms_per_pool_and_rack(document: &mut Value) {
    set_rack_size(document, 6);
}

/// Assigns three VMs of each pool to each rack, so that the floor limits how many VMs a wave
/// maintains at a time.
fn set_three_vms_per_pool_and_rack(document: &mut Value) {
    set_rack_size(document, 9);
}

fn set_rack_size(document: &mut Value, size: usize) {
    let vms = document["vms"].as_object_mut().expect("VMs");
    for (vm, config) in vms {
        let number: usize = vm.trim_start_matches("vm-").parse().expect("number");
        config["zone"] = json!("zone-1");
        config["rack"] = json!(format!("rack-{}", (number - 1) / size));
    }
}

/// Guards against a wave that does not finish, skips or repeats a VM, takes the pool below its
/// floor, or loses requests.
async fn wave_finishes(seed: u64, endpoints: usize, floor: u32, parallel: usize) {
    let site = TestSite::start_with(SiteOptions {
        endpoints,
        floor,
        edit_document: set_three_vms_per_pool_and_rack,
        ..SiteOptions::default()
    })
    .await;
    let mut options = site.load_with_pool_paths(seed, 40.0, 10, SERVICE_TIME);
    options.mix.cancelled_share = 0.0;
    let load = spawn_load(options);
    site.start_wave(0).await;
    site.wait_until_wave_finished(1).await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_eq!(
        report.count("answered"),
        report.records.len() as u64,
        "{report}"
    );
    site.assert_each_rebooted_once();
    let kinds = site.assert_floor_kept(2, floor).await;
    assert_eq!(kinds["step_wave"], endpoints, "{kinds:?}");
    assert_eq!(max_vms_out_of_service(&site.history(2).await), parallel);
}

/// Largest number of VMs that the wave had out of service at the same time.
fn max_vms_out_of_service(entries: &[Value]) -> usize {
    let mut running = 0;
    let mut most = 0;
    for entry in entries.iter().filter(|entry| entry["kind"] == "step_wave") {
        match entry["detail"]["step"].as_str() {
            Some("drain") => running += 1,
            Some("return") => running -= 1,
            _ => {}
        }
        most = most.max(running);
    }
    most
}

macro_rules! whole_waves {
    ($($name:ident: ($seed:literal, $endpoints:literal, $floor:literal, $parallel:literal);)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            wave_finishes($seed, $endpoints, $floor, $parallel).await;
        }
    )*};
}

whole_waves! {
    wave_over_a_pool_with_one_spare_vm: (71, 9, 2, 1);
    wave_over_a_pool_with_two_spare_vms: (72, 9, 1, 2);
}

/// Guards against a wave that stops if its coordinator is killed, and against VMs that the next
/// coordinator skips or maintains again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn next_coordinator_completes_a_wave() {
    let mut site = TestSite::start_with(SiteOptions {
        nodes: 4,
        floor: 2,
        edit_document: set_two_vms_per_pool_and_rack,
        ..SiteOptions::default()
    })
    .await;
    let coordinator = site.home_of("alpha");
    let operator = (coordinator + 1) % 4;
    let mut options = site.load_with_pool_paths(73, 40.0, 10, SERVICE_TIME);
    options.mix.timeout = Duration::from_secs(2);
    let load = spawn_load(options);
    site.start_wave(operator).await;
    eventually("the first VM reboots", async || !site.reboots().is_empty()).await;
    let name = site.nodes[coordinator].name.clone();
    site.nodes[coordinator].kill();
    site.platform.set_vm(&name, ListedState::Gone);
    site.wait_until_wave_finished(operator).await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 50);
    site.assert_floor_kept(operator, 2).await;
    let reboots = site.reboots();
    for vm in site.vms_of("alpha") {
        // For a VM that is out of service, the next coordinator cannot know whether the platform
        // accepted the reboot.
        let times = reboots.get(&vm).copied().unwrap_or(0);
        assert!((1..=2).contains(&times), "{reboots:?}");
    }
    let repeated = reboots.values().filter(|times| **times > 1).count();
    assert!(
        repeated <= 2,
        "more VMs rebooted twice than one rack contains: {reboots:?}"
    );
}

/// Guards against a wave that continues while VMs fail, and against a paused wave that cannot be
/// resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wave_pauses_when_a_rack_is_lost_and_resumes() {
    let site = TestSite::start_with(SiteOptions {
        edit_document: set_two_vms_per_pool_and_rack,
        ..SiteOptions::default()
    })
    .await;
    let load = spawn_load(site.load_with_pool_paths(74, 40.0, 10, SERVICE_TIME));
    site.start_wave(0).await;
    eventually("the first VM reboots", async || !site.reboots().is_empty()).await;
    let refuse = EndpointFaults {
        refuse: true,
        ..EndpointFaults::default()
    };
    let lost: Vec<String> = (7..=12).map(|number| format!("vm-{number}")).collect();
    for vm in &lost {
        site.set_endpoint_faults(vm, refuse.clone()).await;
    }
    eventually("the wave pauses", async || {
        let wave = site.wave(1).await;
        let reason = wave["status"]["paused"]["reason"].as_str();
        reason.is_some_and(|reason| !reason.is_empty())
    })
    .await;
    time::sleep(Duration::from_secs(2)).await;
    let drained = |entries: &[Value]| {
        let entries = entries.iter();
        let drained = entries.filter(|entry| {
            let vm = entry["detail"]["vm"].as_str().unwrap_or_default();
            entry["detail"]["step"] == "drain" && lost.iter().any(|lost| lost == vm)
        });
        drained.count()
    };
    assert_eq!(
        drained(&site.history(1).await),
        0,
        "drains while the rack is lost"
    );
    for vm in &lost {
        site.set_endpoint_faults(vm, EndpointFaults::default())
            .await;
    }
    let path = "/v1/waves/wave/resume";
    let response = site
        .post_admin(1, path, &json!({}))
        .await
        .expect("response");
    assert!(response.status.is_success(), "{response:?}");
    site.wait_for_version(version_of(&response)).await;
    eventually("the wave finishes", async || {
        site.wave(1).await["status"] == "finished"
    })
    .await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_answered_percent(&report, 80);
    site.assert_each_rebooted_once();
    site.assert_floor_kept(2, 1).await;
}
