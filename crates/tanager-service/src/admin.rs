//! Interface for operators: readiness, metrics, the state dump and requests about queues, cells and
//! jobs.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_jobs::JobId;
use tanager_jobs::JobSpec;
use tanager_jobs::ids::WorkspaceName;

use crate::authentication::Caller;
use crate::cell_calls;
use crate::config_report;
use crate::context::NodeContext;
use crate::delegations;
use crate::descriptions::JobDescription;
use crate::job_api;
use crate::peers::CellOperation;
use crate::peers::CellResponse;
use crate::peers::SubmittedJob;
use crate::questions;
use crate::workspace_list;

/// Time limit of the request to each owner.
pub(crate) const OPERATOR_TIMEOUT: Duration = Duration::from_millis(1_700);

#[derive(Serialize)]
struct StateDump {
    node: String,
    incarnation: u64,
    stopping: bool,
    config_version: Option<u64>,
    nodes: Vec<String>,
    cells: Vec<CellDump>,
}

#[derive(Serialize)]
struct CellDump {
    cell: String,
    token: u64,
    open_jobs: usize,
    ready_steps: usize,
    runs: usize,
    recovering: bool,
    #[serde(skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    allowances: std::collections::BTreeMap<String, String>,
    workers: std::collections::BTreeMap<String, String>,
    /// Number of delegated jobs by phase.
    #[serde(skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    delegations: std::collections::BTreeMap<String, usize>,
    /// Loads of the other cells of the pool, as far as they were requested.
    #[serde(skip_serializing_if = "std::collections::BTreeMap::is_empty")]
    siblings: std::collections::BTreeMap<String, String>,
}

/// Handles the load balancer's check: 200 if the node can serve clients, else 503.
pub fn readiness(context: &NodeContext) -> HttpResponse {
    match context.is_ready() {
        true => HttpResponse::new(StatusCode::OK, ""),
        false => HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, ""),
    }
}

/// Handles a request on the node's admin address.
pub async fn handle(context: Arc<NodeContext>, request: HttpRequest) -> HttpResponse {
    let context = &context;
    let job = (request.path.strip_prefix("/v1/jobs/")).map(str::parse::<JobId>);
    match (&request.method, job) {
        (&Method::GET, Some(Ok(id))) => return job_status(context, id).await,
        (&Method::DELETE, Some(Ok(id))) => return cancel_job(context, id).await,
        (&Method::POST, Some(Ok(id))) => return submit_job(context, id, &request.body).await,
        (_, Some(Err(error))) => {
            return error_response(StatusCode::BAD_REQUEST, &error.to_string());
        }
        _ => {}
    }
    match request.path.as_str() {
        "/v1/config" => config_report::handle(context),
        "/v1/queues" => list_queues(context).await,
        "/v1/workspaces" => workspace_list::handle(context).await,
        "/v1/cells" => json_response(&list_cells(context)),
        "/metrics" => HttpResponse::with_content_type(
            StatusCode::OK,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
            context.metrics.render(),
        ),
        "/dump" => json_response(&state_dump(context)),
        "/ready" => readiness(context),
        _ => error_response(
            StatusCode::NOT_FOUND,
            "known paths: /metrics, /dump, /ready, /v1/config, /v1/queues, /v1/cells, \
             /v1/workspaces, /v1/jobs/ID",
        ),
    }
}

/// A queue as listed for operators.
#[derive(Serialize)]
struct QueueRow {
    queue: String,
    pool: String,
    priority: u32,
    /// Number of waiting jobs; absent if a cell of the pool does not respond.
    waiting: Option<u64>,
}

/// A cell as listed for operators.
#[derive(Serialize)]
struct CellRow {
    cell: String,
    owner: String,
    token: u64,
    workers: usize,
}

async fn list_queues(context: &Arc<NodeContext>) -> HttpResponse {
    let Some(config) = context.view().config.clone() else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let mut rows = Vec::with_capacity(config.queues.len());
    for queue in &config.queues {
        rows.push(QueueRow {
            queue: queue.key.clone(),
            pool: queue.pool.clone(),
            priority: queue.priority,
            waiting: questions::count_waiting(
                context,
                &Caller::Operator(None),
                queue,
                OPERATOR_TIMEOUT,
            )
            .await,
        });
    }
    json_response(&serde_json::json!({ "queues": rows }))
}

fn list_cells(context: &NodeContext) -> serde_json::Value {
    let view = context.view();
    let rows: Vec<CellRow> = (view.owners.iter())
        .map(|(cell, observed)| CellRow {
            cell: cell.clone(),
            owner: observed.record.node.clone(),
            token: observed.version,
            workers: view.workers_of(cell).len(),
        })
        .collect();
    serde_json::json!({ "cells": rows })
}

/// A job as described for operators.
#[derive(Serialize)]
struct JobRow {
    job: JobId,
    cell: String,
    #[serde(flatten)]
    description: JobDescription,
}

async fn job_status(context: &Arc<NodeContext>, id: JobId) -> HttpResponse {
    let describe = CellOperation::Describe(id);
    match cell_calls::request_from_all_pools(context, id, describe, OPERATOR_TIMEOUT).await {
        (cell, CellResponse::Description(description)) => {
            let cell = delegations::locate(context, cell, id, OPERATOR_TIMEOUT).await;
            json_response(&JobRow {
                job: id,
                cell,
                description,
            })
        }
        (_, CellResponse::NotFound) => error_response(StatusCode::NOT_FOUND, "no cell has the job"),
        (cell, _) => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &format!("the owner of {cell} did not respond"),
        ),
    }
}

async fn cancel_job(context: &Arc<NodeContext>, id: JobId) -> HttpResponse {
    let known = CellOperation::Known(id);
    let found = cell_calls::request_from_all_pools(context, id, known, OPERATOR_TIMEOUT).await;
    let result = match found {
        (cell, CellResponse::Done) => {
            let cancel = CellOperation::Cancel(id);
            let operator = Caller::Operator(None);
            let response = cell_calls::send_cell_request(
                context,
                &operator,
                &cell,
                "",
                cancel,
                OPERATOR_TIMEOUT,
            )
            .await;
            (cell, response)
        }
        result => result,
    };
    match result {
        (cell, CellResponse::Done) => json_response(&serde_json::json!({"job": id, "cell": cell})),
        (_, CellResponse::NotFound) => error_response(StatusCode::NOT_FOUND, "no cell has the job"),
        (cell, _) => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &format!("the owner of {cell} did not confirm the cancellation"),
        ),
    }
}

/// A job that an operator submits.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobRequest {
    queue: String,
    /// Workspace that the job belongs to.
    #[serde(default)]
    workspace: Option<WorkspaceName>,
    job: JobSpec,
}

async fn submit_job(context: &Arc<NodeContext>, id: JobId, body: &[u8]) -> HttpResponse {
    let request: JobRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let config = context.view().config.clone();
    let queues = config.iter().flat_map(|config| &config.queues);
    let Some(queue) = queues.into_iter().find(|queue| queue.key == request.queue) else {
        let message = format!("no queue {:?}", request.queue);
        return error_response(StatusCode::NOT_FOUND, &message);
    };
    if let Some(name) = &request.workspace {
        let workspaces = config
            .as_ref()
            .and_then(|config| config.workspaces.as_ref());
        if workspaces.is_none_or(|workspaces| workspaces.get(name).is_none()) {
            let message = format!("no workspace {name:?}");
            return error_response(StatusCode::NOT_FOUND, &message);
        }
    }
    let job = SubmittedJob::Spec(request.job);
    let caller = Caller::Operator(request.workspace);
    match job_api::submit_job(context, &caller, queue, id, job, OPERATOR_TIMEOUT).await {
        CellResponse::Done => json_response(&serde_json::json!({"job": id, "queue": queue.key})),
        CellResponse::Invalid(error) => error_response(StatusCode::BAD_REQUEST, &error),
        CellResponse::Refused { reason, .. } => {
            error_response(StatusCode::SERVICE_UNAVAILABLE, &reason)
        }
        CellResponse::Uncertain => error_response(
            StatusCode::GATEWAY_TIMEOUT,
            "it is not known whether the job is stored; submit it again with the same id",
        ),
        _ => error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "the cell of the job has no owner at the moment",
        ),
    }
}

pub(crate) fn json_response(value: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(value) {
        Ok(body) => HttpResponse::with_content_type(StatusCode::OK, "application/json", body),
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

pub(crate) fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    let body = serde_json::json!({"error": {"message": message}});
    HttpResponse::with_content_type(status, "application/json", body.to_string())
}

fn state_dump(context: &NodeContext) -> StateDump {
    let now = context.clock.now();
    let cells = (context.cells().iter())
        .map(|cell| {
            let core = cell.core();
            let (open_jobs, ready_steps, runs) = core.sizes();
            CellDump {
                cell: cell.name.clone(),
                token: cell.token,
                open_jobs,
                ready_steps,
                runs,
                recovering: core.is_recovering(),
                allowances: match &cell.allocator {
                    Some(allocator) => allocator.describe(),
                    None => core.describe_allowances(now),
                },
                workers: core.summary(now),
                delegations: core.delegations.summary(),
                siblings: cell.siblings.table().summary(now),
            }
        })
        .collect();
    let view = context.view();
    StateDump {
        node: context.settings.node.clone(),
        incarnation: context.incarnation,
        stopping: context.is_stopping(),
        config_version: view.config.as_ref().map(|config| config.version),
        nodes: (view.nodes.iter())
            .map(|(name, observed)| format!("{name} silent for {:?}", observed.unresponsive_time))
            .collect(),
        cells,
    }
}
