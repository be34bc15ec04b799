//! Machine API of the stand-in.

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tokio::time;

use super::MACHINE_OPERATION_TIME;
use super::ObservedOrder;
use super::SharedSite;
use super::SiteState;
use super::json_response;
use super::lock;
use super::parse_body;

/// Serves a request to the machine API.
pub(crate) async fn handle(state: SharedSite, request: HttpRequest) -> HttpResponse {
    let body = parse_body(&request);
    let header = |name: &str| request.headers.get(name)?.to_str().ok();
    let holder = header("X-Duty-Holder").unwrap_or_default().to_owned();
    let token = header("X-Fencing-Token")
        .and_then(|token| token.parse().ok())
        .unwrap_or(0);
    let new_state = match request.path.as_str() {
        "/machines" => return list_machines(&lock(&state)),
        "/machine-move" => "moving",
        "/machine-upkeep" => "upkeep",
        _ => return HttpResponse::new(StatusCode::NOT_FOUND, ""),
    };
    let delay = {
        let mut state = lock(&state);
        let received_at = state.start.elapsed();
        state.received_orders.push(ObservedOrder {
            vm: body["machine"].as_str().unwrap_or_default().to_owned(),
            holder,
            token,
            received_at,
        });
        state.orders_in_progress.0 += 1;
        state.orders_in_progress.1 = state.orders_in_progress.1.max(state.orders_in_progress.0);
        state.faults.machine_order_delay
    };
    time::sleep(delay).await;
    let mut state = lock(&state);
    state.orders_in_progress.0 -= 1;
    apply_order(&mut state, &body, new_state)
}

fn list_machines(state: &SiteState) -> HttpResponse {
    let now = state.start.elapsed();
    let mut machines: Vec<Value> = (state.workers.iter())
        .map(|worker| {
            let is_up = worker.is_up(now);
            let listed = if is_up { "up" } else { worker.state };
            json!({"machine": worker.vm, "pool": worker.pool, "state": listed, "zone": "zone-1",
                   "labels": [], "capacity": {"cpu": 16_000, "memory_request_mb": 65_536, "gpu": 0},
                   "identifier": is_up.then(|| worker.id())})
        })
        .collect();
    if state.faults.lists_odd_entries {
        let huge = json!({"cpu": u64::MAX, "memory_request_mb": u64::MAX, "gpu": u64::MAX});
        let odd = json!({"machine": "m-odd", "pool": "entry", "state": "up", "capacity": huge});
        machines.insert(0, odd);
        machines.push(json!({"machine": 7, "pool": [], "state": null}));
        machines.push(json!([[[[{}]]]]));
    }
    json_response(200, &json!({"machines": machines, "next_page_token": null}))
}

fn apply_order(state: &mut SiteState, body: &Value, new_state: &'static str) -> HttpResponse {
    let now = state.start.elapsed();
    let machine_name = body["machine"].as_str().unwrap_or_default().to_owned();
    let SiteState {
        workers,
        log,
        table,
        orders,
        ..
    } = state;
    let Some(worker) = workers.iter_mut().find(|worker| worker.vm == machine_name) else {
        return json_response(400, &json!({"reason": "unknown"}));
    };
    let is_down = worker.state == "down";
    if !worker.is_up(now) && !is_down {
        return json_response(409, &json!({"reason": "busy"}));
    }
    worker.remove_entry(table);
    worker.crash(now, now + MACHINE_OPERATION_TIME, log);
    worker.state = new_state;
    if let Some(pool) = body["pool"].as_str() {
        pool.clone_into(&mut worker.pool);
    }
    orders.push(format!("{new_state} {machine_name}"));
    json_response(200, &json!({}))
}
