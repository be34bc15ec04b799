//! Loads of the other cells of a pool, requested from their owners while tasks wait.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_schedule::capacity::PoolLoad;
use tanager_schedule::delegation::SiblingTable;
use tokio::task::JoinSet;
use tokio::time;

use crate::cell::CellHandle;
use crate::cell_calls;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::records::pool_of;

/// Interval between two requests to a sibling while tasks wait.
const LOAD_PERIOD: Duration = Duration::from_millis(200);
/// Interval between checks of whether tasks wait; a surge lasts only some seconds.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time limit of a request. A response that takes longer is of little use.
const LOAD_TIMEOUT: Duration = Duration::from_millis(250);

/// What the owner of a cell knows of the cell's siblings.
#[derive(Debug, Default)]
pub(crate) struct SiblingLoads {
    table: Mutex<SiblingTable>,
}

impl SiblingLoads {
    /// Locks the table. The guard must not be held across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, SiblingTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CellHandle {
    /// Returns the other cells of the pool.
    pub(crate) fn sibling_cells(&self) -> Vec<CellName> {
        let mut cells = self.context.view().cells_of(pool_of(&self.name));
        cells.retain(|cell| *cell != self.name);
        cells
    }

    /// Requests the loads of all siblings.
    pub(crate) async fn request_sibling_loads(self: &Arc<Self>) {
        let mut requests = JoinSet::new();
        for sibling in self.sibling_cells() {
            self.spawn_load_request(&mut requests, sibling);
        }
        while requests.join_next().await.is_some() {}
    }

    fn spawn_load_request(self: &Arc<Self>, requests: &mut JoinSet<()>, sibling: CellName) {
        let cell = Arc::clone(self);
        requests.spawn(async move { cell.request_sibling_load(sibling).await });
    }

    async fn request_sibling_load(self: Arc<Self>, sibling: CellName) {
        let request = CellRequest {
            cell: sibling.clone(),
            home: None,
            queue: String::new(),
            workspace: None,
            is_operator: false,
            operation: CellOperation::Load,
        };
        let requested_at = self.context.clock.now();
        let response =
            cell_calls::send_cell_request_once(&self.context, &request, LOAD_TIMEOUT).await;
        let mut table = self.siblings.table();
        match response {
            CellResponse::Load(report) => {
                let mut load = PoolLoad::default();
                report.add_to(&mut load);
                table.record_load(&sibling, &load, requested_at);
            }
            _ => table.record_unreachable(&sibling),
        }
    }
}

/// Requests the loads of the siblings of a cell while tasks wait there, until the cell is closed.
pub(crate) async fn run(cell: Arc<CellHandle>) {
    let mut closed = cell.closed();
    let mut last_request: Option<Duration> = None;
    loop {
        tokio::select! {
            () = time::sleep(CHECK_PERIOD) => {}
            _ = closed.wait_for(|closed| *closed) => return,
        }
        let now = cell.context.clock.now();
        let is_due = last_request.is_none_or(|at| now.saturating_sub(at) >= LOAD_PERIOD);
        if is_due && cell.has_waiting_tasks() {
            last_request = Some(now);
            cell.request_sibling_loads().await;
        }
    }
}
