//! Advice service of the stand-in, which admits every second worker to the steps.

use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tokio::time;

use super::SharedSite;
use super::json_response;
use super::lock;
use super::parse_body;

/// Time in which a request is decided, and the extra time for each worker that it names.
pub(crate) const DECISION_MS: u64 = 5;
pub(crate) const PER_WORKER_MS: u64 = 1;
/// Time for which a ticket is valid.
pub(crate) const TICKET_VALIDITY_MS: u64 = 700;

/// Whether a worker may run steps of the queues that require a ticket.
pub(crate) fn is_admitted(index: usize) -> bool {
    index.is_multiple_of(2)
}

fn build_ticket(worker: &str, step: &str, expires_ms: u64) -> String {
    format!("{expires_ms}/{worker}/{step}")
}

/// Whether a ticket permits the start of a task at a worker now.
pub(crate) fn is_ticket_valid(ticket: &str, worker: &str, task: &str, now: Duration) -> bool {
    let Some((step, _)) = task.rsplit_once('.') else {
        return false;
    };
    let expires_ms = ticket.split('/').next().and_then(|text| text.parse().ok());
    expires_ms.is_some_and(|expires_ms| {
        u128::from(expires_ms) >= now.as_millis()
            && ticket == build_ticket(worker, step, expires_ms)
    })
}

/// Serves a request to the advice service.
pub(crate) async fn handle(state: SharedSite, request: HttpRequest) -> HttpResponse {
    if request.path != "/advise" {
        return HttpResponse::new(StatusCode::NOT_FOUND, "");
    }
    let body = parse_body(&request);
    let workers: Vec<String> = (body["workers"].as_array().into_iter().flatten())
        .filter_map(|worker| worker.as_str().map(str::to_owned))
        .collect();
    let step = body["step"].as_str().unwrap_or_default();
    time::sleep(Duration::from_millis(
        DECISION_MS + PER_WORKER_MS * workers.len() as u64,
    ))
    .await;
    let state = lock(&state);
    let expires_ms = state.start.elapsed().as_millis() as u64 + TICKET_VALIDITY_MS;
    let tickets: Vec<Value> = (state.workers.iter().enumerate())
        .filter(|(index, worker)| is_admitted(*index) && workers.contains(&worker.id()))
        .map(|(_, worker)| json!([worker.id(), build_ticket(&worker.id(), step, expires_ms)]))
        .collect();
    json_response(
        200,
        &json!({"good": tickets, "validity_ms": TICKET_VALIDITY_MS}),
    )
}
