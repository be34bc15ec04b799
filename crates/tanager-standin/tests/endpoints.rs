//! Tests of the endpoint stand-in: slots, record and faults.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderValue;
use http::Method;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::pool::PoolLimits;
use tanager_platform::ListedState;
use tanager_platform::PlatformClient;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::endpoint::REJECTED_HEADER;
use tanager_standin::record::body_digest;
use tanager_standin::record::response_bytes;

/// Longer than any test runs, so that no result depends on the speed of the machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

fn start_endpoints(count: usize) -> EndpointStandin {
    let options = EndpointOptions {
        count,
        ..EndpointOptions::default()
    };
    EndpointStandin::bind(&options).unwrap()
}

fn client_pool(address: SocketAddr) -> ClientPool {
    ClientPool::new(address, PoolLimits::default())
}

fn build_request(id: &str, headers: &[(&'static str, &str)]) -> HttpRequest {
    let path = format!("/load/{id}?q=1");
    let mut request = HttpRequest::new(Method::POST, path, id.to_owned());
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).unwrap();
        request.headers.insert(*name, value);
    }
    request
}

async fn send_request(pool: &ClientPool, id: &str) -> TanagerResult<HttpResponse> {
    pool.exchange(
        &build_request(id, &[("tanager-request-id", id)]),
        LONG_TIMEOUT,
    )
    .await
}

async fn set_faults(endpoint: &EndpointStandin, name: &str, faults: EndpointFaults) {
    endpoint.set_faults(name, faults).await.unwrap();
}

/// Guards against a response that cannot be distinguished from the response to another request.
#[tokio::test]
async fn responses_echo_the_request() {
    let endpoint = start_endpoints(2);
    let pool = client_pool(endpoint.endpoints()[1].1);
    let headers = [("tanager-request-id", "r-1"), ("idempotency-key", "k-1")];
    let response = pool
        .exchange(&build_request("a", &headers), LONG_TIMEOUT)
        .await
        .unwrap();
    assert_eq!(response.header("tanager-request-id"), Some("r-1"));
    assert_eq!(response.header("x-echo-path"), Some("/load/a?q=1"));
    assert_eq!(response.header("x-echo-digest"), Some(&*body_digest(b"a")));
    let echo: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(echo["method"], "POST");
    assert_eq!(echo["endpoint"], "vm-2");
    for size in [0, 1, 100_001] {
        let headers = [("x-answer-bytes", &*size.to_string())];
        let response = pool
            .exchange(&build_request("b", &headers), LONG_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(response.body, response_bytes("b", size));
    }
    let runs = endpoint.runs();
    assert_eq!(runs.len(), 4);
    assert_eq!(runs[0].endpoint, "vm-2");
    assert_eq!((&*runs[0].request_id, &*runs[0].key), ("r-1", "k-1"));
    assert_eq!((runs[0].start, runs[0].finish), (1, Some(2)));
    assert!(runs.iter().all(|run| run.completed));
}

/// Guards against more concurrent runs than slots, and against a rejected request that is recorded
/// as a run.
#[tokio::test]
async fn requests_above_the_slots_are_rejected() {
    let endpoint = start_endpoints(1);
    let address = endpoint.endpoints()[0].1;
    let mut busy_tasks = Vec::new();
    for number in 0..8 {
        busy_tasks.push(tokio::spawn(async move {
            let id = format!("busy-{number}");
            let request = build_request(&id, &[("x-work-ms", "600000")]);
            client_pool(address).exchange(&request, LONG_TIMEOUT).await
        }));
    }
    while endpoint.runs().len() < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let pool = client_pool(address);
    let response = send_request(&pool, "ninth").await.unwrap();
    assert_eq!(response.status, 503);
    assert!(response.header(REJECTED_HEADER).is_some());
    let health = HttpRequest::new(Method::GET, "/health", "");
    assert_eq!(
        pool.exchange(&health, LONG_TIMEOUT).await.unwrap().status,
        200
    );
    for task in &busy_tasks {
        task.abort();
    }
    while endpoint.runs().iter().any(|run| run.finish.is_none()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(endpoint.runs().iter().all(|run| !run.completed));
    assert_eq!(send_request(&pool, "tenth").await.unwrap().status, 200);
    assert_eq!(endpoint.runs().len(), 9);
}

/// Guards against faults that reach the client as a different error, or not at all.
#[tokio::test]
async fn faults_reach_the_client() {
    let endpoint = start_endpoints(1);
    let pool = client_pool(endpoint.endpoints()[0].1);
    let healthy = EndpointFaults::default();
    assert_eq!(send_request(&pool, "first").await.unwrap().status, 200);

    let crossed = EndpointFaults {
        crossed: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", crossed).await;
    let response = send_request(&pool, "second").await.unwrap();
    assert_eq!(response.header("tanager-request-id"), Some("first"));

    let truncate = EndpointFaults {
        truncate: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", truncate).await;
    assert_eq!(
        send_request(&pool, "third").await.unwrap_err().kind,
        ErrorKind::Unknown
    );

    let close_delimited = EndpointFaults {
        close_delimited: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", close_delimited).await;
    assert_eq!(
        send_request(&pool, "fourth").await.unwrap_err().kind,
        ErrorKind::Unknown
    );

    let fail_all = EndpointFaults {
        fail_all: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", fail_all).await;
    assert_eq!(send_request(&pool, "fifth").await.unwrap().status, 500);
    assert_eq!(endpoint.runs().len(), 5);

    let silent = EndpointFaults {
        silent: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", silent).await;
    let short_timeout = Duration::from_millis(100);
    let error = pool
        .exchange(&build_request("sixth", &[]), short_timeout)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert_eq!(endpoint.runs().len(), 5);

    let trickle = EndpointFaults {
        trickle: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", trickle).await;
    let error = pool
        .exchange(&build_request("seventh", &[]), short_timeout)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert_eq!(endpoint.runs().len(), 6);

    let refuse = EndpointFaults {
        refuse: true,
        ..healthy.clone()
    };
    set_faults(&endpoint, "vm-1", refuse).await;
    assert_eq!(
        send_request(&pool, "eighth").await.unwrap_err().kind,
        ErrorKind::NotSent
    );

    set_faults(&endpoint, "vm-1", healthy).await;
    assert_eq!(send_request(&pool, "ninth").await.unwrap().status, 200);
    assert_eq!(endpoint.runs().len(), 7);
}

/// Guards against a control interface that changes faults that the request does not name.
#[tokio::test]
async fn control_changes_the_named_faults() {
    let endpoint = start_endpoints(2);
    let control = client_pool(endpoint.control());
    let post = |path: &str, body: &'static str| HttpRequest::new(Method::POST, path, body);
    for (path, body) in [
        ("/faults", r#"{"leaving":true}"#),
        ("/endpoints/vm-2/faults", r#"{"slow_factor":2.0}"#),
    ] {
        let response = control
            .exchange(&post(path, body), LONG_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(response.status, 200);
    }
    for (_, address) in endpoint.endpoints() {
        let health = HttpRequest::new(Method::GET, "/health", "");
        let response = client_pool(address)
            .exchange(&health, LONG_TIMEOUT)
            .await
            .unwrap();
        assert_eq!(response.status, 503);
        assert_eq!(response.header("connection"), Some("close"));
    }
    let unknown = post("/faults", r#"{"unknown":true}"#);
    assert_eq!(
        control
            .exchange(&unknown, LONG_TIMEOUT)
            .await
            .unwrap()
            .status,
        400
    );
    send_request(&client_pool(endpoint.endpoints()[0].1), "a")
        .await
        .unwrap();
    let record = HttpRequest::new(Method::GET, "/record", "");
    let response = control.exchange(&record, LONG_TIMEOUT).await.unwrap();
    let runs: Vec<tanager_standin::EndpointRun> = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(runs, endpoint.runs());
    assert_eq!(runs.len(), 1);
}

/// Guards against a reboot that interrupts a request in progress, and against a VM that is not
/// listed as live again after it was leaving.
#[tokio::test]
async fn platform_reboot_restarts_the_endpoint_gracefully() {
    let endpoint = start_endpoints(1);
    let address = endpoint.endpoints()[0].1;
    let platform = PlatformStandin::bind(PlatformOptions::default()).unwrap();
    platform.set_vm("vm-1", ListedState::Live);
    platform.register_control("vm-1", endpoint.control());
    let busy_task = tokio::spawn(async move {
        let request = build_request("busy", &[("x-work-ms", "300")]);
        client_pool(address).exchange(&request, LONG_TIMEOUT).await
    });
    while endpoint.runs().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let client = PlatformClient::new(platform.address(), LONG_TIMEOUT);
    client.reboot("vm-1").await.unwrap();
    assert_eq!(busy_task.await.unwrap().unwrap().status, 200);
    let mut states = Vec::new();
    let mut version = 0;
    while version < 3 {
        let listing = client.list_vms(version).await.unwrap();
        states.extend(listing.vms.iter().map(|vm| vm.state));
        version = listing.version;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(states.last(), Some(&ListedState::Live));
    assert_eq!(platform.reboots(), ["vm-1"]);
    assert_eq!(
        send_request(&client_pool(address), "after")
            .await
            .unwrap()
            .status,
        200
    );
    assert!(endpoint.runs().iter().all(|run| run.completed));
}
