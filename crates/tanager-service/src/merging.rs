//! Merges a cell with another one of its pool when a step finds no worker in it.
//!
//! The decisions are in `tanager_schedule::merging`. Of two cells the one with the higher index is
//! released into the other, so that two owners that need each other's workers agree. Its owner row
//! then names the other cell; from that moment no transaction of it can commit and no node acquires
//! it. The owner of the other cell loads itself again, with the rows of both: a takeover, whose token
//! is higher than those of both former owners.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::StepSpec;
use tanager_jobs::ids::CellName;
use tanager_schedule::merging;
use tanager_schedule::merging::MERGE_DELAY;
use tanager_schedule::merging::UnheldStep;
use tanager_schedule::merging::WorkerRoom;
use tokio::time;

use crate::cell::CellHandle;
use crate::cell_calls;
use crate::context::NodeContext;
use crate::peers::CellOperation;
use crate::peers::CellRequest;
use crate::peers::CellResponse;
use crate::records::cell_index;
use crate::supervision::spawn_task;
use crate::takeover;
use crate::takeover::Successor;

/// Interval between checks whether a step has no room.
const CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a cell that declined is not asked again: it had no room, which changes with the
/// long-running tasks there.
const DECLINED_PAUSE: Duration = Duration::from_secs(5);
/// Time limit of a request; it contains the release of a cell.
const MERGE_TIMEOUT: Duration = Duration::from_millis(2_500);

impl CellHandle {
    /// Starts to check whether the cell needs the workers of another one.
    pub(crate) fn spawn_merging(self: &Arc<Self>) {
        if cell_index(&self.name).is_some() {
            self.spawn_task("merging", run(Arc::clone(self)));
        }
    }

    /// Answers the owner of another cell, one of whose steps has no room there.
    pub(crate) async fn answer_merge(
        self: &Arc<Self>,
        with: &CellName,
        step: &StepSpec,
    ) -> CellResponse {
        if self.is_paused() || self.is_closed() {
            return CellResponse::NotOwner;
        }
        let room = {
            let core = self.core();
            if core.is_recovering() {
                return CellResponse::Uncertain;
            }
            core.room_for_step(step, self.context.clock.now())
        };
        log::info!(
            "event=merge_requested cell={} with={with} room={room} token={}",
            self.name,
            self.token
        );
        if room == 0 {
            return CellResponse::NotFound;
        }
        match cell_index(with) < cell_index(&self.name) {
            // The other cell is released into this one.
            false => CellResponse::Done,
            true => match merge_into(self, with).await {
                true => CellResponse::Done,
                false => CellResponse::Uncertain,
            },
        }
    }

    /// Requests a merge for a step that has waited long enough; returns the cell that declined.
    async fn request_merge(
        self: &Arc<Self>,
        unheld: &UnheldStep,
        declined: &BTreeMap<CellName, Duration>,
    ) -> Option<CellName> {
        let mut siblings = self.sibling_cells();
        siblings.retain(|cell| !declined.contains_key(cell));
        let rooms: Vec<u32> = {
            let view = self.context.view();
            (siblings.iter())
                .map(|cell| listed_room(&view.workers_of(cell), &unheld.step))
                .collect()
        };
        let sibling = siblings[merging::choose_sibling(unheld.missing, &rooms)?].clone();
        let request = CellRequest {
            cell: sibling.clone(),
            home: None,
            queue: String::new(),
            workspace: None,
            is_operator: false,
            operation: CellOperation::Merge {
                with: self.name.clone(),
                step: Box::new(unheld.step.clone()),
            },
        };
        let answer =
            cell_calls::send_cell_request_once(&self.context, &request, MERGE_TIMEOUT).await;
        log::info!(
            "event=merge_answered cell={} with={sibling} missing={} waited={:?} answer={answer:?} token={}",
            self.name,
            unheld.missing,
            unheld.waited,
            self.token
        );
        match answer {
            CellResponse::Done if cell_index(&sibling) < cell_index(&self.name) => {
                merge_into(self, &sibling).await;
                None
            }
            CellResponse::Done => {
                self.context.owner_read_requested.notify_one();
                None
            }
            CellResponse::NotFound => Some(sibling),
            _ => None,
        }
    }
}

/// Returns how many tasks of a step listed workers could hold if nothing else ran there.
fn listed_room(workers: &[tanager_jobs::WorkerEntry], step: &StepSpec) -> u32 {
    let rooms = (workers.iter().filter(|worker| !worker.draining)).map(|worker| WorkerRoom {
        labels: &worker.labels,
        free: worker.capacity,
        tasks_of_step: 0,
    });
    merging::room_for(step, rooms)
}

/// Releases a cell into another one; returns whether that is certain.
async fn merge_into(cell: &Arc<CellHandle>, target: &CellName) -> bool {
    let successor = Successor::Cell(target.clone());
    let is_merged = takeover::release_cell(cell, &successor).await;
    if is_merged {
        cell.context.metrics.cells_merged.increment();
    }
    reload_cells(&cell.context);
    cell.context.notify_peers().await;
    is_merged
}

/// Loads the cells of this node again into which others were merged.
pub(crate) fn reload_cells(context: &Arc<NodeContext>) {
    for cell in context.cells() {
        if cell.has_unloaded_cells() && !cell.is_paused() && !cell.is_closed() {
            cell.pause();
            spawn_task("reload", async move {
                takeover::release_cell(&cell, &Successor::Own).await;
            });
        }
    }
}

/// Checks whether a step has had no room for [`MERGE_DELAY`], until the cell is closed.
async fn run(cell: Arc<CellHandle>) {
    let mut closed = cell.closed();
    let mut declined: BTreeMap<CellName, Duration> = BTreeMap::new();
    loop {
        tokio::select! {
            () = time::sleep(CHECK_PERIOD) => {}
            _ = closed.wait_for(|closed| *closed) => return,
        }
        if cell.is_paused() || cell.sibling_cells().is_empty() {
            continue;
        }
        let now = cell.context.clock.now();
        declined.retain(|_, until| *until > now);
        let unheld = {
            let mut core = cell.core();
            let steps = core.unheld_steps(now);
            let is_certain = !core.is_recovering() && cell.context.owns_its_cells(now);
            steps
                .into_iter()
                .find(|step| is_certain && step.waited >= MERGE_DELAY)
        };
        let Some(unheld) = unheld else {
            continue;
        };
        if let Some(sibling) = cell.request_merge(&unheld, &declined).await {
            declined.insert(sibling, cell.context.clock.now() + DECLINED_PAUSE);
        }
    }
}
