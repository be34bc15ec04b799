//! Exchange between the owners of cells and the allocator, which divides the caps of workspaces
//! among the cells. The decisions are made in `tanager_schedule::allowance`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::ids::WorkspaceName;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::allowance::report::AllowanceResponse;
use tanager_schedule::allowance::table::AllowanceTable;
use tokio::time;

use crate::allowance_log::HolderLog;
use crate::allowance_log::TableLog;
use crate::cell::CellHandle;
use crate::context::NodeContext;
use crate::membership::NODE_DEATH_TIMEOUT;
use crate::records::ALLOCATOR_CELL;
use crate::records::COORDINATOR_CELL;
use crate::view::FleetView;

/// Time limit of a report. A report without a response is followed by another one.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause after a report without a response.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
/// Interval between checks whether a workspace has a cap, after all caps were removed.
const UNCAPPED_PERIOD: Duration = Duration::from_millis(1_000);
/// Interval between updates of the allocator's cells and caps from the view. Each cell reports up to
/// 25 times a second.
const SYNC_PERIOD: Duration = Duration::from_millis(100);

/// State of the allocator.
#[derive(Debug)]
pub struct Allocator {
    state: Mutex<AllocatorState>,
}

#[derive(Debug)]
struct AllocatorState {
    table: AllowanceTable,
    synced_at: Option<Duration>,
    is_rebuilt: bool,
    log: TableLog,
}

impl Allocator {
    /// Creates the allocator that belongs to an ownership of its cell.
    pub fn new(context: &NodeContext, token: u64) -> Self {
        let longest_lease = context.settings.durations.max_lease;
        let table = AllowanceTable::new(token, longest_lease, context.clock.now());
        Self {
            state: Mutex::new(AllocatorState {
                table,
                synced_at: None,
                is_rebuilt: false,
                log: TableLog::default(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, AllocatorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what is reserved for each cell by workspace, for the state dump.
    pub fn describe(&self) -> BTreeMap<WorkspaceName, String> {
        let state = self.lock();
        let names = state.table.workspaces().into_iter();
        names
            .map(|name| {
                let reserved = format!("reserved {:?}", state.table.reserved(&name));
                (name, reserved)
            })
            .collect()
    }
}

impl AllocatorState {
    /// Updates caps and cells from the view.
    fn sync(&mut self, view: &FleetView, now: Duration) {
        let is_due =
            (self.synced_at).is_none_or(|synced| now.saturating_sub(synced) >= SYNC_PERIOD);
        let Some(config) = view.config.as_ref().filter(|_| is_due) else {
            return;
        };
        self.synced_at = Some(now);
        if let Some(workspaces) = &config.workspaces {
            let policies = workspaces.iter().map(|(name, workspace)| {
                let policy = WorkspacePolicy {
                    weight: workspace.weight,
                    cap: workspace.cap,
                };
                (name.clone(), policy)
            });
            self.table.set_policies(config.version, policies);
        }
        // Until all pools are partitioned and all owners read, cells may be missing from the view.
        let has_all_pools = (config.pools.values())
            .filter(|pool| !pool.spare)
            .all(|pool| view.pools.contains_key(&pool.name));
        if has_all_pools && view.has_read_owners {
            self.table.set_cells(&job_cells(view), now);
        }
        self.log.record_held_cells(&self.table.held_cells(now));
    }
}

/// Returns the cells with jobs, and whether each has a live owner. A cell whose pool was removed
/// from the configuration is included while it has an owner.
pub fn job_cells(view: &FleetView) -> BTreeMap<CellName, bool> {
    let has_owner = |cell: &str| {
        view.owner_of(cell)
            .and_then(|(node, _)| view.nodes.get(&node))
            .is_some_and(|observed| observed.unresponsive_time < NODE_DEATH_TIMEOUT)
    };
    let configured = view.configured_cells().into_iter().map(|cell| {
        let has_owner = has_owner(&cell);
        (cell, has_owner)
    });
    let owned = (view.owners.keys())
        .filter(|cell| has_owner(cell))
        .map(|cell| (cell.clone(), true));
    (configured.chain(owned))
        .filter(|(cell, _)| has_jobs(cell))
        .collect()
}

/// Returns whether a cell has jobs.
fn has_jobs(cell: &str) -> bool {
    cell != COORDINATOR_CELL && cell != ALLOCATOR_CELL
}

/// Answers a report of a cell if this node is the allocator.
///
/// Another node may be the allocator once this one has no confirmed heartbeat, or has begun to hand
/// the cell over.
pub fn answer(context: &NodeContext, report: &AllowanceReport) -> AllowanceResponse {
    let Some(cell) = context.cell(ALLOCATOR_CELL) else {
        return AllowanceResponse::NotAllocator;
    };
    let Some(allocator) = cell.allocator.as_ref() else {
        return AllowanceResponse::NotAllocator;
    };
    let now = context.clock.now();
    if cell.is_closed() || cell.is_paused() || !context.owns_its_cells(now) {
        return AllowanceResponse::NotAllocator;
    }
    let mut state = allocator.lock();
    state.sync(&context.view(), now);
    let reply = state.table.answer(report, now);
    if !state.is_rebuilt && state.table.is_rebuilt() {
        state.is_rebuilt = true;
        log::info!(
            "event=allowances_rebuilt token={} workspaces={}",
            cell.token,
            state.table.workspaces().len()
        );
    }
    let state = &mut *state;
    if let Some(reply) = &reply {
        (state.log).record_refusals(&state.table, report, reply, now);
    }
    match reply {
        Some(reply) => AllowanceResponse::Granted(reply),
        None => AllowanceResponse::Outdated,
    }
}

/// Reports the usage of a cell to the allocator and applies the limits that it replies, until the
/// cell is closed.
pub async fn run(cell: Arc<CellHandle>) {
    let clock = cell.context.clock;
    let mut closed = cell.closed();
    let mut log = HolderLog::default();
    while !cell.is_closed() {
        let now = clock.now();
        let due = cell.core().allowance_report_due(now);
        let pause = match due {
            Some(due) if due <= now => exchange(&cell, &mut log).await,
            Some(due) => due - now,
            None => UNCAPPED_PERIOD,
        };
        tokio::select! {
            () = time::sleep(pause) => {}
            () = cell.allowance_awaited.notified(), if pause > FAILURE_PAUSE => {}
            _ = closed.wait_for(|closed| *closed) => return,
        }
    }
}

/// Sends one report; returns the pause before the next one.
async fn exchange(cell: &Arc<CellHandle>, log: &mut HolderLog) -> Duration {
    let context = &cell.context;
    let sent_at = context.clock.now();
    let (missing, report) = {
        let mut core = cell.core();
        let missing = core.missing_allowances(sent_at);
        let report = core.create_allowance_report(&cell.name, cell.token, sent_at);
        (missing, report)
    };
    log.record_missing(&cell.name, &missing, sent_at);
    let response = match context.cell(ALLOCATOR_CELL) {
        Some(_) => Ok(answer(context, &report)),
        None => send(context, &report).await,
    };
    let now = context.clock.now();
    let effect = match response {
        Ok(AllowanceResponse::Granted(reply)) => cell.core().apply_allowance_reply(&reply, now),
        response => {
            cell.core().abandon_allowance_report();
            log.unanswered += 1;
            log::debug!(
                "event=allowance_not_reported cell={} number={} response={response:?}",
                cell.name,
                report.number
            );
            return FAILURE_PAUSE;
        }
    };
    if let Some(effect) = effect {
        if let Some(token) = effect.new_allocator {
            log::info!(
                "event=allocator_changed cell={} token={token} after={:?}",
                cell.name,
                now.saturating_sub(sent_at)
            );
        }
        log.unanswered = 0;
        log.record_refusals(&cell.name, &effect.refusals, now);
        cell.run_decisions();
    }
    Duration::ZERO
}

/// Sends a report to the owner of the allocator's cell.
async fn send(context: &NodeContext, report: &AllowanceReport) -> TanagerResult<AllowanceResponse> {
    let owner = context.view().owner_of(ALLOCATOR_CELL);
    let Some((_, address)) = owner else {
        let error = "the allocator is not known";
        let cell = report.cell.clone();
        return Err(TanagerError::new(
            ErrorKind::NotSent,
            "report usage",
            cell,
            error,
        ));
    };
    context
        .peers
        .report_allowance(address, report, REPORT_TIMEOUT)
        .await
}
