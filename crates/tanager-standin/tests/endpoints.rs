//! The endpoint stand-in: slots, record and faults.

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

/// Far longer than any test runs, so that no verdict depends on the speed of the machine.
const LONG: Duration = Duration::from_secs(600);

fn start(count: usize) -> EndpointStandin {
    let options = EndpointOptions {
        count,
        ..EndpointOptions::default()
    };
    EndpointStandin::bind(&options).unwrap()
}

fn pool(address: SocketAddr) -> ClientPool {
    ClientPool::new(address, PoolLimits::default())
}

fn request(id: &str, headers: &[(&'static str, &str)]) -> HttpRequest {
    let path = format!("/load/{id}?q=1");
    let mut request = HttpRequest::new(Method::POST, path, id.to_owned());
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).unwrap();
        request.headers.insert(*name, value);
    }
    request
}

async fn run(pool: &ClientPool, id: &str) -> TanagerResult<HttpResponse> {
    pool.exchange(&request(id, &[("tanager-request-id", id)]), LONG)
        .await
}

async fn set(endpoint: &EndpointStandin, name: &str, faults: EndpointFaults) {
    endpoint.set_faults(name, faults).await.unwrap();
}

/// Guards against an answer that cannot be told from the answer to another request.
#[tokio::test]
async fn answers_echo_the_request() {
    let endpoint = start(2);
    let pool = pool(endpoint.endpoints()[1].1);
    let headers = [("tanager-request-id", "r-1"), ("idempotency-key", "k-1")];
    let response = pool.exchange(&request("a", &headers), LONG).await.unwrap();
    assert_eq!(response.header("tanager-request-id"), Some("r-1"));
    assert_eq!(response.header("x-echo-path"), Some("/load/a?q=1"));
    assert_eq!(response.header("x-echo-digest"), Some(&*body_digest(b"a")));
    let echo: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(echo["method"], "POST");
    assert_eq!(echo["endpoint"], "vm-2");
    for size in [0, 1, 100_001] {
        let headers = [("x-answer-bytes", &*size.to_string())];
        let response = pool.exchange(&request("b", &headers), LONG).await.unwrap();
        assert_eq!(response.body, response_bytes("b", size));
    }
    let runs = endpoint.runs();
    assert_eq!(runs.len(), 4);
    assert_eq!(runs[0].endpoint, "vm-2");
    assert_eq!((&*runs[0].request_id, &*runs[0].key), ("r-1", "k-1"));
    assert_eq!((runs[0].start, runs[0].finish), (1, Some(2)));
    assert!(runs.iter().all(|run| run.completed));
}

/// Guards against more simultaneous requests than slots, and against a rejected request that is
/// recorded as run.
#[tokio::test]
async fn requests_over_the_slots_are_rejected() {
    let endpoint = start(1);
    let address = endpoint.endpoints()[0].1;
    let mut busy = Vec::new();
    for number in 0..8 {
        busy.push(tokio::spawn(async move {
            let id = format!("busy-{number}");
            let request = request(&id, &[("x-work-ms", "600000")]);
            pool(address).exchange(&request, LONG).await
        }));
    }
    while endpoint.runs().len() < 8 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let pool = pool(address);
    let response = run(&pool, "ninth").await.unwrap();
    assert_eq!(response.status, 503);
    assert!(response.header(REJECTED_HEADER).is_some());
    let health = HttpRequest::new(Method::GET, "/health", "");
    assert_eq!(pool.exchange(&health, LONG).await.unwrap().status, 200);
    for task in &busy {
        task.abort();
    }
    while endpoint.runs().iter().any(|run| run.finish.is_none()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(endpoint.runs().iter().all(|run| !run.completed));
    assert_eq!(run(&pool, "tenth").await.unwrap().status, 200);
    assert_eq!(endpoint.runs().len(), 9);
}

/// Guards against faults that the client does not see as what they are.
#[tokio::test]
async fn faults_are_seen_by_the_client() {
    let endpoint = start(1);
    let pool = pool(endpoint.endpoints()[0].1);
    let healthy = EndpointFaults::default();
    assert_eq!(run(&pool, "first").await.unwrap().status, 200);

    let crossed = EndpointFaults {
        crossed: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", crossed).await;
    let response = run(&pool, "second").await.unwrap();
    assert_eq!(response.header("tanager-request-id"), Some("first"));

    let truncate = EndpointFaults {
        truncate: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", truncate).await;
    assert_eq!(
        run(&pool, "third").await.unwrap_err().kind,
        ErrorKind::Unknown
    );

    let close_delimited = EndpointFaults {
        close_delimited: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", close_delimited).await;
    assert_eq!(
        run(&pool, "fourth").await.unwrap_err().kind,
        ErrorKind::Unknown
    );

    let fail_all = EndpointFaults {
        fail_all: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", fail_all).await;
    assert_eq!(run(&pool, "fifth").await.unwrap().status, 500);
    assert_eq!(endpoint.runs().len(), 5);

    let silent = EndpointFaults {
        silent: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", silent).await;
    let short = Duration::from_millis(100);
    let error = pool
        .exchange(&request("sixth", &[]), short)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert_eq!(endpoint.runs().len(), 5);

    let trickle = EndpointFaults {
        trickle: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", trickle).await;
    let error = pool
        .exchange(&request("seventh", &[]), short)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert_eq!(endpoint.runs().len(), 6);

    let refuse = EndpointFaults {
        refuse: true,
        ..healthy.clone()
    };
    set(&endpoint, "vm-1", refuse).await;
    assert_eq!(
        run(&pool, "eighth").await.unwrap_err().kind,
        ErrorKind::NotSent
    );

    set(&endpoint, "vm-1", healthy).await;
    assert_eq!(run(&pool, "ninth").await.unwrap().status, 200);
    assert_eq!(endpoint.runs().len(), 7);
}

/// Guards against a control interface that changes other faults than the named ones.
#[tokio::test]
async fn control_changes_the_named_faults() {
    let endpoint = start(2);
    let control = pool(endpoint.control());
    let post = |path: &str, body: &'static str| HttpRequest::new(Method::POST, path, body);
    for (path, body) in [
        ("/faults", r#"{"leaving":true}"#),
        ("/endpoints/vm-2/faults", r#"{"slow_factor":2.0}"#),
    ] {
        let response = control.exchange(&post(path, body), LONG).await.unwrap();
        assert_eq!(response.status, 200);
    }
    for (_, address) in endpoint.endpoints() {
        let health = HttpRequest::new(Method::GET, "/health", "");
        let response = pool(address).exchange(&health, LONG).await.unwrap();
        assert_eq!(response.status, 503);
        assert_eq!(response.header("connection"), Some("close"));
    }
    let unknown = post("/faults", r#"{"unknown":true}"#);
    assert_eq!(control.exchange(&unknown, LONG).await.unwrap().status, 400);
    run(&pool(endpoint.endpoints()[0].1), "a").await.unwrap();
    let record = HttpRequest::new(Method::GET, "/record", "");
    let response = control.exchange(&record, LONG).await.unwrap();
    let runs: Vec<tanager_standin::EndpointRun> = serde_json::from_slice(&response.body).unwrap();
    assert_eq!(runs, endpoint.runs());
    assert_eq!(runs.len(), 1);
}

/// Guards against a reboot that interrupts a request in progress, and against a VM that is not
/// listed as leaving and live again.
#[tokio::test]
async fn platform_reboot_restarts_the_endpoint_gracefully() {
    let endpoint = start(1);
    let address = endpoint.endpoints()[0].1;
    let platform = PlatformStandin::bind(PlatformOptions::default()).unwrap();
    platform.set_vm("vm-1", ListedState::Live);
    platform.register_control("vm-1", endpoint.control());
    let busy = tokio::spawn(async move {
        let request = request("busy", &[("x-work-ms", "300")]);
        pool(address).exchange(&request, LONG).await
    });
    while endpoint.runs().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let client = PlatformClient::new(platform.address(), LONG);
    client.reboot("vm-1").await.unwrap();
    assert_eq!(busy.await.unwrap().unwrap().status, 200);
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
    assert_eq!(run(&pool(address), "after").await.unwrap().status, 200);
    assert!(endpoint.runs().iter().all(|run| run.completed));
}
