//! What the holder of the duty asks owners of cells: to empty workers, and how loaded they are.

use std::collections::BTreeMap;
use std::sync::Arc;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::WorkerId;
use tanager_schedule::capacity::PoolLoad;
use tanager_site::machines::MachineEntry;
use tokio::task::JoinSet;

use crate::cell::CellHandle;
use crate::duty::OWNER_TIMEOUT;
use crate::peers::CellAnswer;
use crate::peers::CellAsk;
use crate::peers::CellRequest;
use crate::peers::EmptyAnswer;
use crate::peers::EmptyRequest;
use crate::peers::LoadReport;
use crate::view::cell_of_worker;

/// Owners that are asked for the load of a cell at the same time.
const PARALLEL_QUESTIONS: usize = 16;

/// Asks the owner of the VM's worker to empty it. If the view does not list the worker, which may
/// live without an entry for a while, the owners of all cells of its pool are asked.
pub(crate) async fn empty_vm(
    cell: &Arc<CellHandle>,
    entry: &MachineEntry,
    evicts: bool,
) -> EmptyAnswer {
    let Some(worker) = &entry.worker else {
        return EmptyAnswer::EMPTY;
    };
    let names = {
        let view = cell.context.view();
        match cell_of_worker(&view, worker) {
            Some(name) => vec![name],
            None => view.cells_of(&entry.pool),
        }
    };
    let mut sum = EmptyAnswer::EMPTY;
    for name in names {
        let answer = empty_worker(cell, name, worker, evicts).await;
        sum.empty &= answer.empty;
        sum.lasting |= answer.lasting;
    }
    sum
}

async fn empty_worker(
    cell: &Arc<CellHandle>,
    name: CellName,
    worker: &WorkerId,
    evicts: bool,
) -> EmptyAnswer {
    if let Some(own) = cell.context.cell(&name) {
        return own.empty_worker(worker, evicts);
    }
    let Some((_, address)) = cell.context.view().owner_of(&name) else {
        return EmptyAnswer::UNKNOWN;
    };
    let request = EmptyRequest {
        cell: name,
        worker: worker.clone(),
        evicts,
    };
    let asked = cell.context.peers.empty(address, &request, OWNER_TIMEOUT);
    match asked.await {
        Ok(answer) => answer,
        Err(error) => {
            log::info!("event=worker_not_emptied worker={worker} error={error:?}");
            EmptyAnswer::UNKNOWN
        }
    }
}

/// Asks the owners of cells how loaded the pools are. A pool of which a cell does not answer is
/// left out, so that nothing is decided about it.
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
    let mut asked: Vec<(PoolName, CellName)> = Vec::new();
    {
        let view = cell.context.view();
        for pool in pools {
            let cells = view.cells_of(&pool);
            if !cells.is_empty() {
                loads.insert(pool.clone(), PoolLoad::default());
            }
            asked.extend(cells.into_iter().map(|name| (pool.clone(), name)));
        }
    }
    for group in asked.chunks(PARALLEL_QUESTIONS) {
        let mut questions = JoinSet::new();
        for (pool, name) in group.iter().cloned() {
            let cell = Arc::clone(cell);
            questions.spawn(async move { (pool, cell_load(&cell, name).await) });
        }
        for (pool, report) in questions.join_all().await {
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
        queue: String::new(),
        ask: CellAsk::Load,
    };
    let answer = match cell.context.cell(&name) {
        Some(own) => own.handle(request).await,
        None => {
            let (_, address) = cell.context.view().owner_of(&name)?;
            let asked = cell.context.peers.ask(address, &request, OWNER_TIMEOUT);
            asked.await.ok()?
        }
    };
    match answer {
        CellAnswer::Load(load) => Some(load),
        _ => None,
    }
}
