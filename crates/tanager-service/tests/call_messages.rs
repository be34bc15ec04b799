//! Messages between nodes of different versions. Each test names the failure that it guards against.

use std::time::Duration;

use http::HeaderValue;
use http::Method;
use tanager_http::HttpRequest;
use tanager_service::peers::CellResponse;
use tanager_service::peers::remaining_time;

const REFUSAL: &str = r#"{"refused":{"retry_after":2,"overload":true,"reason":"busy"}}"#;

fn refusal(sender_wide: bool) -> CellResponse {
    CellResponse::Refused {
        retry_after: 2,
        overload: true,
        reason: "busy".to_owned(),
        sender_wide,
    }
}

/// Guards against a refusal of a job that nodes of the former version do not understand, or that is
/// taken for one of all jobs of the sender.
#[test]
fn refusal_of_a_job_is_unchanged() {
    let text = serde_json::to_string(&refusal(false)).expect("a message");
    assert_eq!(text, REFUSAL);
    let decoded: CellResponse = serde_json::from_str(REFUSAL).expect("a response");
    assert_eq!(decoded, refusal(false));
}

/// Guards against a refusal of a sender that is taken for one of a single job.
#[test]
fn refusal_of_a_sender_is_told_apart() {
    let text = serde_json::to_string(&refusal(true)).expect("a message");
    let decoded: CellResponse = serde_json::from_str(&text).expect("a response");
    assert_eq!(decoded, refusal(true));
}

/// Guards against a call without a time limit, as former versions send it, that is dropped.
#[test]
fn call_of_a_former_version_has_no_time_limit() {
    let mut request = HttpRequest::new(Method::POST, "/cell", "");
    assert_eq!(remaining_time(&request), None);
    let headers = &mut request.headers;
    headers.insert("x-remaining-milliseconds", HeaderValue::from_static("x"));
    assert_eq!(remaining_time(&request), None);
    let headers = &mut request.headers;
    headers.insert("x-remaining-milliseconds", HeaderValue::from_static("250"));
    assert_eq!(remaining_time(&request), Some(Duration::from_millis(250)));
}
