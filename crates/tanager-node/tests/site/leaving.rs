//! Endpoints that start to leave (R6) and drains (R7).

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

/// Some requests are in progress whenever the endpoint starts to leave.
const WORK: Duration = Duration::from_millis(200);
/// The endpoint gets its last new request within 3 s; one more second for the report.
const LAST_REQUEST: Duration = Duration::from_secs(4);

struct LeavingSigns {
    /// The endpoint answers probes with 503 and closes its connections.
    endpoint: bool,
    /// The platform's list reports the VM as leaving.
    list: bool,
    /// The list no longer changes.
    frozen: bool,
    /// Requests per second, to all three pools.
    rate: f64,
}

/// Guards against new work for an endpoint that is leaving, and against broken requests there.
async fn endpoint_leaves(seed: u64, signs: LeavingSigns) {
    let site = TestSite::open(3, 12, 1).await;
    let mut options = site.named_load(seed, signs.rate, 12, WORK);
    options.mix.cancelled = 0.0;
    let load = spawn_load(options);
    site.wait_used("vm-1").await;
    time::sleep(Duration::from_secs(1)).await;
    site.set_platform(PlatformFaults {
        freeze_list: Some(signs.frozen),
        ..PlatformFaults::default()
    })
    .await;
    let before = site.endpoints.next_order();
    if signs.list {
        site.platform.set_vm("vm-1", ListedState::Leaving);
    }
    if signs.endpoint {
        let leaving = EndpointFaults {
            leaving: true,
            ..EndpointFaults::default()
        };
        site.set_endpoint("vm-1", leaving).await;
    }
    time::sleep(LAST_REQUEST).await;
    let after = site.endpoints.next_order();
    let report = load.await.expect("load");
    assert_verdict(&site, &report).await;
    // No request is lost, those in progress at the endpoint included.
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
    assert_eq!(late.count(), 0, "new requests at the leaving endpoint");
    let served = runs.iter().filter(|run| run.start > after).count();
    assert!(served > 20, "only {served} requests were served afterwards");
}

macro_rules! leaving_endpoints {
    ($($name:ident: $seed:literal, $signs:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            endpoint_leaves($seed, $signs).await;
        }
    )*};
}

leaving_endpoints! {
    leaving_endpoint_with_a_live_list: 61, LeavingSigns {
        endpoint: true, list: true, frozen: false, rate: 60.0,
    };
    leaving_endpoint_with_a_frozen_list: 62, LeavingSigns {
        endpoint: true, list: true, frozen: true, rate: 60.0,
    };
    busy_leaving_endpoint_with_a_frozen_list: 63, LeavingSigns {
        endpoint: true, list: true, frozen: true, rate: 150.0,
    };
    idle_leaving_endpoint_with_a_frozen_list: 64, LeavingSigns {
        endpoint: true, list: true, frozen: true, rate: 12.0,
    };
    vm_that_the_list_reports_leaving: 65, LeavingSigns {
        endpoint: false, list: true, frozen: false, rate: 60.0,
    };
}

/// Guards against requests that a drain loses or that reach a drained VM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drain_under_load_loses_no_request() {
    let site = TestSite::open(3, 12, 1).await;
    let mut options = site.named_load(66, 80.0, 10, WORK);
    options.mix.cancelled = 0.0;
    let load = spawn_load(options);
    time::sleep(Duration::from_secs(1)).await;
    let body = serde_json::json!({ "reason": "test" });
    let response = site.post_admin(0, "/v1/vms/vm-1/drain", &body).await;
    let response = response.expect("answer");
    assert!(response.status.is_success(), "{response:?}");
    site.wait_version(version_of(&response)).await;
    // Requests that a node sent before it applied the drain reach the endpoint.
    time::sleep(Duration::from_secs(1)).await;
    let drained = site.endpoints.next_order();
    time::sleep(Duration::from_secs(2)).await;
    let ended = site.endpoints.next_order();
    let body = serde_json::json!({});
    let response = site.post_admin(1, "/v1/vms/vm-1/undrain", &body).await;
    let response = response.expect("answer");
    assert!(response.status.is_success(), "{response:?}");
    site.wait_version(version_of(&response)).await;
    eventually("the VM serves again", async || {
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
