//! Refusals of requests whose idempotency key was used before.

use std::time::Duration;

use http::HeaderValue;
use http::Method;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_standin::endpoint::EndpointFaults;

use crate::harness::TestSite;
use crate::harness::call;
use crate::harness::version_of;

async fn post(site: &TestSite, node: usize, key: &str, timeout: Duration) -> HttpResponse {
    let mut request = HttpRequest::new(Method::POST, "/alpha/fine", "body");
    let mut insert = |name: &'static str, text: &str| {
        let value = HeaderValue::from_str(text).expect("header value");
        request.headers.insert(name, value);
    };
    insert("idempotency-key", key);
    insert("tanager-timeout-ms", &timeout.as_millis().to_string());
    call(site.nodes[node].caller_address, request)
        .await
        .expect("response")
}

/// Guards against the outcome *not run* for a retry that is refused for lack of a worker, although
/// the first request with its key ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_retry_of_a_request_that_ran_is_unknown() {
    let site = TestSite::start(2, 3, 0).await;
    let truncate = EndpointFaults {
        truncate: true,
        ..EndpointFaults::default()
    };
    site.endpoints
        .set_faults("vm-1", truncate)
        .await
        .expect("faults");
    let first = post(&site, 0, "key-1", Duration::from_secs(5)).await;
    assert_eq!(first.header("tanager-outcome"), Some("unknown"));
    // Without an active VM the pool refuses requests before it writes a claim.
    let body = serde_json::json!({ "reason": "test" });
    let drain = site
        .post_admin(0, "/v1/vms/vm-1/drain", &body)
        .await
        .expect("response");
    assert!(drain.status.is_success(), "{:?}", drain.body);
    site.wait_for_version(version_of(&drain)).await;
    let refuse = EndpointFaults {
        refuse: true,
        ..EndpointFaults::default()
    };
    site.endpoints
        .set_faults("vm-1", refuse)
        .await
        .expect("faults");
    for node in 0..2 {
        let retry = post(&site, node, "key-1", Duration::from_secs(2)).await;
        assert_eq!(
            retry.header("tanager-outcome"),
            Some("unknown"),
            "{:?}",
            retry.body
        );
        assert!(
            retry.header("retry-after").is_some(),
            "no retry-after although a retry with a key is safe"
        );
    }
    let fresh = post(&site, 0, "key-2", Duration::from_secs(2)).await;
    assert_eq!(
        fresh.header("tanager-outcome"),
        Some("not-run"),
        "{:?}",
        fresh.body
    );
    let runs = site.endpoints.runs();
    let count = |key: &str| runs.iter().filter(|run| run.key == key).count();
    assert_eq!((count("key-1"), count("key-2")), (1, 0));
}
