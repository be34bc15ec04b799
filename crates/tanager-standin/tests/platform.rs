//! Tests of the HTTP interface of the platform stand-in, which other processes use.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::pool::PoolLimits;
use tanager_platform::PlatformClient;
use tanager_protocol::error::ErrorKind;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;
use tanager_standin::PlatformStats;

/// Longer than any test runs, so that no result depends on the speed of the machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
/// Timeout of calls that must time out.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn start_platform() -> (PlatformStandin, PlatformClient) {
    let options = PlatformOptions {
        control: Some(SocketAddr::from(([127, 0, 0, 1], 0))),
        ..PlatformOptions::default()
    };
    let platform = PlatformStandin::bind(options).unwrap();
    let client = PlatformClient::new(platform.address(), LONG_TIMEOUT);
    (platform, client)
}

async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &'static str,
) -> (u16, Vec<u8>) {
    let pool = ClientPool::new(address, PoolLimits::default());
    let request = HttpRequest::new(method, path, body);
    let response = pool.exchange(&request, LONG_TIMEOUT).await.unwrap();
    (response.status.as_u16(), response.body.to_vec())
}

async fn set_faults(address: SocketAddr, body: &'static str) -> u16 {
    send_request(address, Method::POST, "/faults", body).await.0
}

macro_rules! fault_cases {
    ($($case:ident: $body:expr => $status:expr;)*) => {
        $(
            /// Guards against a misspelled fault that is ignored, and a valid one that is rejected.
            #[tokio::test]
            async fn $case() {
                let (platform, _client) = start_platform();
                assert_eq!(set_faults(platform.address(), $body).await, $status);
            }
        )*
    };
}

fault_cases! {
    no_fault: "{}" => 200;
    every_fault: r#"{"delay_ms":1,"outage":"none","lose_answers":1,"freeze_list":true,"list_lag_ms":1}"# => 200;
    outage_flag: r#"{"outage":true}"# => 200;
    seeded_losses: r#"{"lose_answers":{"probability":0.5,"seed":1}}"# => 200;
    unknown_fault: r#"{"delay":1}"# => 400;
    unknown_mode: r#"{"outage":"slow"}"# => 400;
    refuse_needs_the_control_address: r#"{"outage":"refuse"}"# => 400;
    not_json: "delay" => 400;
}

/// Guards against an outage that cannot be ended, because it also affects the fault interface.
#[tokio::test]
async fn outages_end_through_the_interface_that_started_them() {
    let (platform, client) = start_platform();
    let short_timeout_client = PlatformClient::new(platform.address(), SHORT_TIMEOUT);
    assert_eq!(
        set_faults(platform.address(), r#"{"outage":true}"#).await,
        200
    );
    let error = short_timeout_client.read("a").await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert_eq!(
        set_faults(platform.address(), r#"{"outage":false}"#).await,
        200
    );
    assert_eq!(client.read("a").await.unwrap(), None);

    let control = platform.control().unwrap();
    assert_eq!(set_faults(control, r#"{"outage":"refuse"}"#).await, 200);
    let error = client.read("a").await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::NotSent);
    assert_eq!(set_faults(control, r#"{"outage":false}"#).await, 200);
    assert_eq!(client.read("a").await.unwrap(), None);
}

/// Guards against wrong counts of requests and bytes, on which measurements are based.
#[tokio::test]
async fn stats_count_requests_and_bytes_by_kind() {
    let (platform, client) = start_platform();
    let state_response = send_request(
        platform.address(),
        Method::POST,
        "/vms/vm-1/state",
        r#"{"state":"live"}"#,
    );
    assert_eq!(state_response.await.0, 200);
    client.put_object("o", vec![0; 1_000]).await.unwrap();
    client.get_object("o").await.unwrap();
    client.read("head").await.unwrap();
    assert_eq!(client.list_vms(0).await.unwrap().vms.len(), 1);
    client.reboot("vm-1").await.unwrap();
    let (status, body) = send_request(platform.address(), Method::GET, "/stats", "").await;
    let stats: PlatformStats = serde_json::from_slice(&body).unwrap();
    assert_eq!((status, &stats), (200, &platform.stats()));
    assert_eq!((stats.reads, stats.writes, stats.transactions), (3, 2, 0));
    let put = stats.kinds["put_object"];
    assert_eq!(put.count, 1);
    assert!((1_000..1_200).contains(&put.bytes_in), "{put:?}");
    let get = stats.kinds["get_object"];
    assert!((1_000..1_200).contains(&get.bytes_out), "{get:?}");
}
