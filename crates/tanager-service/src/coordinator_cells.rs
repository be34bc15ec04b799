//! Requests of the coordinator to the owners of cells: to drain workers and to report loads.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::WorkerId;
use tanager_schedule::capacity::PoolLoad;
use tanager_site::machines::MachineEntry;
use tokio::task::JoinSet;

use crate::cell::CellHandle;
use crate::coordinator::OWNER_TIMEOUT;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::peers::DrainRequest;
use crate::peers::DrainResponse;
use crate::peers::LoadReport;
use crate::view::cell_of_worker;

/// Maximum number of concurrent load requests.
const MAX_PARALLEL_LOAD_REQUESTS: usize = 16;

/// Asks the owner of the VM's worker to drain it. A worker may run for a while without an entry in
/// the view; in this case the owners of all cells of its pool are asked.
pub(crate) async fn drain_vm(
    cell: &Arc<CellHandle>,
    entry: &MachineEntry,
    evicts: bool,
) -> DrainResponse {
    let Some(worker) = &entry.worker else {
        return DrainResponse::EMPTY;
    };
    let names = {
        let view = cell.context.view();
        match cell_of_worker(&view, worker) {
            Some(name) => vec![name],
            None => view.cells_of(&entry.pool),
        }
    };
    let mut combined = DrainResponse::EMPTY;
    for name in names {
        let response = drain_worker(cell, name, worker, evicts).await;
        combined.is_empty &= response.is_empty;
        combined.has_long_running |= response.has_long_running;
    }
    combined
}

async fn drain_worker(
    cell: &Arc<CellHandle>,
    name: CellName,
    worker: &WorkerId,
    evicts: bool,
) -> DrainResponse {
    let (target, owner) = {
        let view = cell.context.view();
        let target = view.merged_cell(&name);
        let owner = view.owner_of(&target);
        (target, owner)
    };
    if let Some(local_cell) = cell.context.cell(&target) {
        return match local_cell.is_home(&name) {
            true => local_cell.drain_worker(worker, evicts),
            false => DrainResponse::UNKNOWN,
        };
    }
    let Some((_, address)) = owner else {
        return DrainResponse::UNKNOWN;
    };
    let request = DrainRequest {
        home: (target != name).then_some(name),
        cell: target,
        worker: worker.clone(),
        evicts,
    };
    let response = cell
        .context
        .peers
        .drain_worker(address, &request, OWNER_TIMEOUT);
    match response.await {
        Ok(response) => response,
        Err(error) => {
            log::info!("event=worker_not_emptied worker={worker} error={error:?}");
            DrainResponse::UNKNOWN
        }
    }
}

/// Requests the loads of all pools from the owners of their cells. A pool is left out if one of its
/// cells does not respond, so that no decision is made about it.
pub(crate) async fn pool_loads(cell: &Arc<CellHandle>) -> BTreeMap<PoolName, PoolLoad> {
    let pools: Vec<PoolName> = {
        let view = cell.context.view();
        let Some(config) = &view.config else {
            return BTreeMap::new();
        };
        (config.pools.values())
            .filter(|pool| !pool.spare)
            .map(|pool| pool.name.clone())
            .collect()
    };
    let mut loads = BTreeMap::new();
    let mut cells_to_query: Vec<(PoolName, CellName)> = Vec::new();
    {
        let view = cell.context.view();
        for pool in pools {
            let cells = view.cells_of(&pool);
            if !cells.is_empty() {
                loads.insert(pool.clone(), PoolLoad::default());
            }
            cells_to_query.extend(cells.into_iter().map(|name| (pool.clone(), name)));
        }
    }
    for group in cells_to_query.chunks(MAX_PARALLEL_LOAD_REQUESTS) {
        let mut requests = JoinSet::new();
        for (pool, name) in group.iter().cloned() {
            let cell = Arc::clone(cell);
            requests.spawn(async move { (pool, cell_load(&cell, name).await) });
        }
        for (pool, report) in requests.join_all().await {
            match (report, loads.get_mut(&pool)) {
                (Some(report), Some(load)) => report.add_to(load),
                _ => {
                    loads.remove(&pool);
                }
            }
        }
    }
    loads
}

async fn cell_load(cell: &Arc<CellHandle>, name: CellName) -> Option<LoadReport> {
    let request = CellRequest {
        cell: name.clone(),
        home: None,
        queue: String::new(),
        workspace: None,
        is_operator: false,
        operation: CellOperation::Load,
    };
    let response = match cell.context.cell(&name) {
        Some(local_cell) => local_cell.handle(request, Duration::ZERO).await,
        None => {
            let (_, address) = cell.context.view().owner_of(&name)?;
            let response = cell
                .context
                .peers
                .call_cell(address, &request, OWNER_TIMEOUT);
            response.await.ok()?
        }
    };
    match response {
        CellResponse::Load(load) => Some(load),
        _ => None,
    }
}
