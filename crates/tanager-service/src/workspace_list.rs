//! List of the workspaces for operators, collected from the owners of all cells.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::future::join_all;
use http::StatusCode;
use serde::Serialize;
use tanager_http::HttpResponse;
use tanager_jobs::ResourceAmount;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::WorkspaceName;

use crate::admin::OPERATOR_TIMEOUT;
use crate::admin::error_response;
use crate::admin::json_response;
use crate::authentication::Caller;
use crate::cell_calls;
use crate::context::NodeContext;
use crate::descriptions::WorkspaceLoad;
use crate::peers::CellOperation;
use crate::peers::CellResponse;
use crate::records::pool_of;

/// Loads of the workspaces in a pool, by workspace.
type PoolLoads = BTreeMap<WorkspaceName, WorkspaceLoad>;

#[derive(Serialize)]
struct WorkspaceList {
    workspaces: Vec<WorkspaceRow>,
    /// Cells whose owner did not respond, so that their part is missing.
    missing_cells: Vec<CellName>,
}

/// A workspace as listed for operators.
#[derive(Debug, PartialEq, Serialize)]
pub(crate) struct WorkspaceRow {
    workspace: WorkspaceName,
    /// `None` if the workspace is no longer configured and only its jobs remain.
    weight: Option<f64>,
    priority: Option<u32>,
    /// 0 means no limit.
    cap: Option<ResourceAmount>,
    pools: Vec<PoolRow>,
}

#[derive(Debug, PartialEq, Serialize)]
struct PoolRow {
    pool: PoolName,
    #[serde(flatten)]
    load: WorkspaceLoad,
}

/// Handles the request for the list.
pub(crate) async fn handle(context: &Arc<NodeContext>) -> HttpResponse {
    let Some(config) = context.view().config.clone() else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
    };
    let Some(configured) = &config.workspaces else {
        return json_response(&WorkspaceList {
            workspaces: Vec::new(),
            missing_cells: Vec::new(),
        });
    };
    let cells: Vec<CellName> = {
        let view = context.view();
        (config.pools.values())
            .filter(|pool| !pool.spare)
            .flat_map(|pool| view.cells_of(&pool.name))
            .collect()
    };
    let operator = Caller::Operator(None);
    let requests = cells.iter().map(|cell| {
        let operation = CellOperation::Workspaces;
        cell_calls::send_cell_request(context, &operator, cell, "", operation, OPERATOR_TIMEOUT)
    });
    let responses = join_all(requests).await;
    let mut missing_cells = Vec::new();
    let mut loads: BTreeMap<PoolName, PoolLoads> = BTreeMap::new();
    for (cell, response) in cells.into_iter().zip(responses) {
        match response {
            CellResponse::Workspaces(cell_loads) => {
                let pool = loads.entry(pool_of(&cell).to_owned()).or_default();
                for (name, load) in cell_loads {
                    pool.entry(name).or_default().add(&load);
                }
            }
            _ => missing_cells.push(cell),
        }
    }
    let mut rows: BTreeMap<WorkspaceName, WorkspaceRow> = (configured.iter())
        .map(|(name, workspace)| {
            let row = WorkspaceRow {
                workspace: name.clone(),
                weight: Some(workspace.weight),
                priority: Some(workspace.priority),
                cap: Some(workspace.cap),
                pools: Vec::new(),
            };
            (name.clone(), row)
        })
        .collect();
    for (pool, pool_loads) in loads {
        for (name, load) in pool_loads {
            let row = rows.entry(name.clone()).or_insert_with(|| WorkspaceRow {
                workspace: name,
                weight: None,
                priority: None,
                cap: None,
                pools: Vec::new(),
            });
            let pool = pool.clone();
            row.pools.push(PoolRow { pool, load });
        }
    }
    json_response(&WorkspaceList {
        workspaces: rows.into_values().collect(),
        missing_cells,
    })
}
