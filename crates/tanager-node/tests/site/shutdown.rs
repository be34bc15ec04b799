//! Endpoints that shut down (R6) and VMs that are drained (R7).

use std::time::Duration;

use tokio::time;

use tanager_platform::ListedState;
use tanager_standin::PlatformFaults;
use tanager_standin::endpoint::EndpointFaults;

use crate::caller::spawn_load;
use crate::fleet::assert_one_pool_at_a_time;
use crate::harness::TestSite;
use crate::harness::eventually;
use crate::harness::version_of;
use crate::nodes::assert_verdict;

/// Long enough that requests are in progress whenever the endpoint starts to shut down.
const SERVICE_TIME: Duration = Duration::from_millis(200);
/// The endpoint must get its last new request within 3 s. One more second is allowed for the
/// report of the shutdown.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

struct ShutdownScenario {
    /// The endpoint answers probes with status 503 and closes its connections.
    announced_by_endpoint: bool,
    /// The platform's list of VMs reports the VM as leaving.
    reported_by_list: bool,
    /// The list has stopped changing before the shutdown.
    list_is_stale: bool,
    /// Requests per second to all three pools.
    rate: f64,
}

/// Guards against new requests to an endpoint that shuts down, and against the loss of requests
/// that it runs.
async fn endpoint_shuts_down(seed: u64, scenario: ShutdownScenario) {
    let site = TestSite::start(3, 12, 1).await;
    let mut options = site.load_with_pool_paths(seed, scenario.rate, 12, SERVICE_TIME);
    options.mix.cancelled_share = 0.0;
    let load = spawn_load(options);
    site.wait_for_traffic("vm-1").await;
    time::sleep(Duration::from_secs(1)).await;
    site.set_platform_faults(PlatformFaults {
        freeze_list: Some(scenario.list_is_stale),
        ..PlatformFaults::default()
    })
    .await;
    let before = site.endpoints.next_order();
    if scenario.reported_by_list {
        site.platform.set_vm("vm-1", ListedState::Leaving);
    }
    if scenario.announced_by_endpoint {
        let leaving = EndpointFaults {
            leaving: true,
            ..EndpointFaults::default()
        };
        site.set_endpoint_faults("vm-1", leaving).await;
    }
    time::sleep(LAST_REQUEST_TIMEOUT).await;
    let after = site.endpoints.next_order();
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    // No request is lost, including those in progress at the endpoint.
    assert_eq!(
        report.count("answered"),
        report.records.len() as u64,
        "{report}"
    );
    let runs = site.endpoints.runs();
    let of_vm = |run: &&tanager_standin::EndpointRun| run.endpoint == "vm-1";
    let used_before = runs.iter().filter(of_vm).any(|run| run.start < before);
    assert!(used_before, "the endpoint was not in use");
    let late = runs.iter().filter(of_vm).filter(|run| run.start > after);
    assert_eq!(
        late.count(),
        0,
        "new requests at the endpoint that shuts down"
    );
    let served = runs.iter().filter(|run| run.start > after).count();
    assert!(served > 20, "only {served} requests were served afterwards");
}

macro_rules! endpoint_shutdowns {
    ($($name:ident: $seed:literal, $scenario:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            endpoint_shuts_down($seed, $scenario).await;
        }
    )*};
}

endpoint_shutdowns! {
    endpoint_shutdown_with_a_current_list: 61, ShutdownScenario {
        announced_by_endpoint: true, reported_by_list: true, list_is_stale: false, rate: 60.0,
    };
    endpoint_shutdown_with_a_stale_list: 62, ShutdownScenario {
        announced_by_endpoint: true, reported_by_list: true, list_is_stale: true, rate: 60.0,
    };
    busy_endpoint_shutdown_with_a_stale_list: 63, ShutdownScenario {
        announced_by_endpoint: true, reported_by_list: true, list_is_stale: true, rate: 150.0,
    };
    idle_endpoint_shutdown_with_a_stale_list: 64, ShutdownScenario {
        announced_by_endpoint: true, reported_by_list: true, list_is_stale: true, rate: 12.0,
    };
    endpoint_shutdown_reported_only_by_the_list: 65, ShutdownScenario {
        announced_by_endpoint: false, reported_by_list: true, list_is_stale: false, rate: 60.0,
    };
}

/// Guards against requests that are lost in a drain or reach a drained VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_load_loses_no_request() {
    let site = TestSite::start(3, 12, 1).await;
    let mut options = site.load_with_pool_paths(66, 80.0, 10, SERVICE_TIME);
    options.mix.cancelled_share = 0.0;
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    let body = serde_json::json!({ "reason": "test" });
    let response = site.post_admin(0, "/v1/vms/vm-1/drain", &body).await;
    let response = response.expect("response");
    assert!(response.status.is_success(), "{response:?}");
    site.wait_for_version(version_of(&response)).await;
    // Requests that a node sent before it applied the drain may still reach the endpoint.
    time::sleep(Duration::from_secs(1)).await;
    let drained = site.endpoints.next_order();
    time::sleep(Duration::from_secs(2)).await;
    let ended = site.endpoints.next_order();
    let body = serde_json::json!({});
    let response = site.post_admin(1, "/v1/vms/vm-1/undrain", &body).await;
    let response = response.expect("response");
    assert!(response.status.is_success(), "{response:?}");
    site.wait_for_version(version_of(&response)).await;
    eventually("the VM serves requests again", async || {
        let runs = site.endpoints.runs();
        runs.iter()
            .any(|run| run.endpoint == "vm-1" && run.start > ended)
    })
    .await;
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    assert_eq!(
        report.count("answered"),
        report.records.len() as u64,
        "{report}"
    );
    let runs = site.endpoints.runs();
    let at_drained = runs
        .iter()
        .filter(|run| run.endpoint == "vm-1" && run.start > drained && run.start < ended);
    assert_eq!(at_drained.count(), 0, "requests at the drained VM");
    assert_one_pool_at_a_time(&runs, "vm-1");
    site.assert_floor_kept(0, 1).await;
}
