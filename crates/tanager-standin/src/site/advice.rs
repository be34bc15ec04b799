//! The advice service of the stand-in: every second worker may run a step.

use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tokio::time;

use super::SharedSite;
use super::answer;
use super::body_of;
use super::lock;

/// Time of a question, and for each worker named.
pub(crate) const DECISION_MS: u64 = 5;
pub(crate) const EACH_MS: u64 = 1;
/// Life of a ticket.
pub(crate) const VALIDITY_MS: u64 = 700;

/// Returns whether a worker may run the steps of advised queues.
pub(crate) fn is_good(index: usize) -> bool {
    index.is_multiple_of(2)
}

fn ticket(worker: &str, step: &str, until_ms: u64) -> String {
    format!("{until_ms}/{worker}/{step}")
}

/// Returns whether a ticket lets a task start at a worker now.
pub(crate) fn admits(text: &str, worker: &str, task: &str, now: Duration) -> bool {
    let Some((step, _)) = task.rsplit_once('.') else {
        return false;
    };
    let until_ms = text.split('/').next().and_then(|text| text.parse().ok());
    until_ms.is_some_and(|until_ms| {
        u128::from(until_ms) >= now.as_millis() && text == ticket(worker, step, until_ms)
    })
}

/// Answers a question.
pub(crate) async fn handle(state: SharedSite, request: HttpRequest) -> HttpResponse {
    if request.path != "/advise" {
        return HttpResponse::new(StatusCode::NOT_FOUND, "");
    }
    let body = body_of(&request);
    let workers: Vec<String> = (body["workers"].as_array().into_iter().flatten())
        .filter_map(|worker| worker.as_str().map(str::to_owned))
        .collect();
    let step = body["step"].as_str().unwrap_or_default();
    time::sleep(Duration::from_millis(
        DECISION_MS + EACH_MS * workers.len() as u64,
    ))
    .await;
    let state = lock(&state);
    let until_ms = state.start.elapsed().as_millis() as u64 + VALIDITY_MS;
    let good: Vec<Value> = (state.workers.iter().enumerate())
        .filter(|(index, worker)| is_good(*index) && workers.contains(&worker.id()))
        .map(|(_, worker)| json!([worker.id(), ticket(&worker.id(), step, until_ms)]))
        .collect();
    answer(200, &json!({"good": good, "validity_ms": VALIDITY_MS}))
}
