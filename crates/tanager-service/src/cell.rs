//! A cell that this node owns: executes the decisions of `CellCore`.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tanager_http::MIN_LINK_RATE;
use tanager_http::pool::PoolLimits;
use tanager_jobs::WorkspaceTable;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::FencingToken;
use tanager_jobs::ids::WorkerId;
use tanager_schedule::CellCore;
use tanager_schedule::CellEvent;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::call_intake::CallIntake;
use tanager_schedule::worker_health::StartLimit;
use tanager_site::worker::WorkerLink;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::absorbed_rows::Absorption;
use crate::access::RefusalCounts;
use crate::allowance_exchange;
use crate::allowance_exchange::Allocator;
use crate::cell_load;
use crate::cell_load::CellLoad;
use crate::context::NodeContext;
use crate::cpu_time;
use crate::cpu_time::Duty;
use crate::decision_loop;
use crate::lease_renewal;
use crate::ledger::Ledger;
use crate::ledger::LedgerVersions;
use crate::ledger_batch::StoredRows;
use crate::ledger_loop;
use crate::order_gate::OrderGate;
use crate::queue_statistics::statistics_rows;
use crate::records::ALLOCATOR_CELL;
use crate::records::COORDINATOR_CELL;
use crate::records::QueueStatistics;
use crate::records::pool_of;
use crate::run_log;
use crate::sibling_loads::SiblingLoads;
use crate::statistics_loop;
use crate::statistics_loop::StatisticsTarget;
use crate::transfer_time::max_transaction_bytes;
use crate::worker_orders::SharedOrders;

/// Maximum number of concurrent starts and stops to one worker. Each needs a connection, and a worker
/// accepts 64 connections in total.
const MAX_PARALLEL_ORDERS: usize = 6;
/// Maximum number of concurrent changes of pace to one worker. They do not wait behind starts.
const MAX_PARALLEL_PACES: usize = 2;
/// Idle time after which a connection to a worker is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A cell that this node owns.
pub struct CellHandle {
    /// Name of the cell.
    pub name: CellName,
    /// Cells that were merged into this one and whose rows were loaded with it.
    pub(crate) absorbed: Vec<CellName>,
    absorption: Mutex<Absorption>,
    /// Fencing token of this ownership: the version of the owner row.
    pub token: FencingToken,
    /// State shared by the parts of the node.
    pub context: Arc<NodeContext>,
    /// Jobs and progress to be stored.
    pub ledger: Ledger,
    /// Counts of what this owner does.
    pub(crate) load: CellLoad,
    /// Refused submissions by workspace.
    pub(crate) refusals: RefusalCounts,
    /// State of the allocator, if this is its cell.
    pub(crate) allocator: Option<Allocator>,
    /// Submissions that wait for the store.
    pub(crate) intake: Mutex<CallIntake>,
    /// Permission to send orders to VMs, if this is the coordinator's cell.
    pub(crate) order_gate: Option<Arc<OrderGate>>,
    /// Wakes the exchange with the allocator when tasks wait for a limit.
    pub(crate) allowance_awaited: Notify,
    /// Notified when decisions are wanted soon.
    pub(crate) decisions_requested: Notify,
    /// Whether the exchange with the allocator was started.
    exchanges_allowances: AtomicBool,
    /// Loads of the other cells of the pool.
    pub(crate) siblings: SiblingLoads,
    core: Mutex<CellCore>,
    /// Number of owners in a row before this one that ended early.
    early_ends: u32,
    /// Memory in bytes that the jobs of the cell took at the last round of decisions.
    memory_used: AtomicU64,
    links: Mutex<HashMap<WorkerKey, WorkerConnection>>,
    closed: watch::Sender<bool>,
    /// Set when a handover begins: no task is started and no job is accepted any more.
    paused: watch::Sender<bool>,
}

/// Stored state of a cell.
pub struct LoadedCell {
    /// Jobs, workers and what is known of the former owner.
    pub core: CellCore,
    /// Versions that the first transaction expects.
    pub versions: LedgerVersions,
    /// Cells that were merged into this one.
    pub(crate) absorbed: Vec<CellName>,
    /// Rows of these cells.
    pub(crate) absorption: Absorption,
    /// What the rows of the cell have.
    pub(crate) stored: StoredRows,
    /// Permission to send orders to VMs, if this is the coordinator's cell.
    pub(crate) order_gate: Option<Arc<OrderGate>>,
    /// Number of owners in a row that ended early.
    pub(crate) early_ends: u32,
}

/// Connections to a worker, with the orders that wait for one.
#[derive(Clone, Debug)]
pub struct WorkerConnection {
    /// Connections to the worker.
    pub link: Arc<WorkerLink>,
    /// Starts and stops.
    pub(crate) orders: SharedOrders,
    /// Changes of pace.
    pub(crate) paces: SharedOrders,
    /// Id of the worker, for the log; the worker may have been removed when a call returns.
    pub(crate) worker: Arc<str>,
}

impl CellHandle {
    /// Starts the tasks of a cell that was acquired and loaded.
    pub fn spawn(
        context: Arc<NodeContext>,
        name: CellName,
        token: FencingToken,
        loaded: LoadedCell,
    ) -> Arc<Self> {
        let LoadedCell {
            core,
            versions,
            absorbed,
            absorption,
            stored,
            order_gate,
            early_ends,
        } = loaded;
        let allocator = (name == ALLOCATOR_CELL).then(|| Allocator::new(&context, token));
        let cell = Arc::new(Self {
            allocator,
            order_gate,
            allowance_awaited: Notify::new(),
            decisions_requested: Notify::new(),
            exchanges_allowances: AtomicBool::new(false),
            name,
            absorbed,
            absorption: Mutex::new(absorption),
            token,
            context,
            ledger: Ledger::new(),
            load: CellLoad::default(),
            intake: Mutex::default(),
            refusals: RefusalCounts::default(),
            siblings: SiblingLoads::default(),
            early_ends,
            memory_used: AtomicU64::new(core.memory().0),
            core: Mutex::new(core),
            links: Mutex::default(),
            closed: watch::Sender::new(false),
            paused: watch::Sender::new(false),
        });
        // Another node may have acquired the cell while its rows were read.
        if cell.close_if_replaced() {
            return cell;
        }
        let ledger = ledger_loop::run(Arc::clone(&cell), versions, stored);
        cell.spawn_task("ledger", ledger);
        cell.spawn_statistics();
        cell.spawn_task("load", cell_load::run(Arc::clone(&cell)));
        cell.spawn_task("tick", decision_loop::run(Arc::clone(&cell)));
        cell.connect_workers();
        cell.spawn_balancing();
        cell.spawn_merging();
        cell.ledger.wake();
        cell.remove_absorbed_rows();
        cell
    }

    /// Starts to store the statistics of the cell's queues.
    fn spawn_statistics(self: &Arc<Self>) {
        let target = StatisticsTarget {
            store: self.context.store.clone(),
            cell: self.name.clone(),
            owner_version: self.token,
            max_bytes: max_transaction_bytes(self.context.settings.link_rate),
        };
        let cell = Arc::clone(self);
        let read_rows = move || {
            let row_bytes = cell.context.settings.store.row_bytes;
            let learned = cell.core().queue_statistics();
            let learned = (learned.into_iter()).map(|(queue, duration, work)| {
                let statistics = QueueStatistics {
                    mean: duration.mean,
                    ratio: duration.ratio,
                    work,
                };
                (queue, statistics)
            });
            statistics_rows(&cell.name, learned, row_bytes)
        };
        let statistics = statistics_loop::run(target, self.closed(), read_rows);
        self.spawn_task("statistics", statistics);
    }

    /// Locks the state of the cell. The guard must not be held across an await.
    ///
    /// After a panic that held the lock, whichever task it was in, the state may be inconsistent.
    /// The cell is then closed, so that its state is loaded again from the store.
    pub fn core(&self) -> MutexGuard<'_, CellCore> {
        self.core.lock().unwrap_or_else(|poisoned| {
            self.close("a panic left the state of the cell inconsistent");
            poisoned.into_inner()
        })
    }

    /// Locks the state of the rows of absorbed cells. The guard must not be held across an await.
    pub(crate) fn absorption(&self) -> MutexGuard<'_, Absorption> {
        (self.absorption.lock()).unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the cells whose jobs and workers this one has: itself and those merged into it.
    pub(crate) fn homes(&self) -> Vec<CellName> {
        let mut homes = vec![self.name.clone()];
        homes.extend(self.absorbed.iter().cloned());
        homes
    }

    /// Returns whether this cell has the jobs and workers of the cell `home`.
    pub(crate) fn is_home(&self, home: &str) -> bool {
        self.name == home || self.absorbed.iter().any(|cell| cell == home)
    }

    /// Returns whether a cell was merged into this one after it was loaded.
    pub(crate) fn has_unloaded_cells(&self) -> bool {
        self.context.view().absorbed_cells(&self.name) != self.absorbed
    }

    /// Returns a receiver whose value becomes `true` when the cell is closed.
    pub fn closed(&self) -> watch::Receiver<bool> {
        self.closed.subscribe()
    }

    /// Returns whether the cell is closed.
    pub fn is_closed(&self) -> bool {
        *self.closed.borrow()
    }

    /// Closes the cell because this node no longer owns it.
    pub fn close(&self, reason: &str) {
        if let Some(gate) = &self.order_gate {
            gate.end();
        }
        if !self.closed.send_replace(true) {
            log::warn!(
                "event=cell_lost cell={} token={} reason={reason:?}",
                self.name,
                self.token
            );
            self.context.metrics.cells_lost.increment();
            self.context.remove_cell(&self.name, self.token);
        }
    }

    /// Closes the cell if its owner row is newer than the one that this node wrote; returns whether it
    /// is.
    pub(crate) fn close_if_replaced(&self) -> bool {
        let is_replaced = (self.context.view()).has_newer_owner(&self.name, self.token);
        if is_replaced {
            self.close("the owner row names another node");
        }
        is_replaced
    }

    /// Returns the memory in bytes that the jobs of the cell took at the last round of decisions.
    pub(crate) fn memory_used(&self) -> u64 {
        self.memory_used.load(Ordering::Relaxed)
    }

    /// Returns whether tasks wait for room on a worker.
    pub fn has_waiting_tasks(&self) -> bool {
        let (_, waiting_steps, _) = self.core().sizes();
        waiting_steps > 0
    }

    /// Stops starting tasks and accepting jobs before the cell is handed over.
    pub fn pause(&self) {
        if let Some(gate) = &self.order_gate {
            gate.pause();
        }
        self.paused.send_replace(true);
    }

    /// Returns whether the cell is being handed over.
    pub(crate) fn is_paused(&self) -> bool {
        *self.paused.borrow()
    }

    /// Updates the cell's workers from the view.
    pub fn sync_workers(self: &Arc<Self>) {
        let entries = self.context.view().workers_in(&self.homes());
        let now = self.context.clock.now();
        let has_new = {
            let mut core = self.core();
            core.sync_workers(&entries, now);
            !core.unregistered_workers(now).is_empty()
        };
        self.connect_workers();
        if has_new {
            self.ledger.wake();
        }
        self.run_decisions();
    }

    /// Updates the policies of queues and workspaces from the configuration.
    pub fn sync_queues(self: &Arc<Self>) {
        let pool = pool_of(&self.name);
        let (config, cell_count) = {
            let view = self.context.view();
            (view.config.clone(), view.cells_of(pool).len())
        };
        let Some(config) = config else {
            return;
        };
        let policies: Vec<(String, QueuePolicy)> = (config.queues.iter())
            .filter(|queue| queue.pool == pool)
            .map(|queue| {
                let policy = QueuePolicy {
                    priority: queue.priority,
                    max_attempts: queue.max_attempts,
                    stretch: queue.stretch,
                    target_latency: queue.target_latency,
                    advice: queue.advice,
                };
                (queue.key.clone(), policy)
            })
            .collect();
        let has_caps = (config.workspaces.as_ref()).is_some_and(WorkspaceTable::has_caps);
        let has_jobs = self.name != COORDINATOR_CELL && self.name != ALLOCATOR_CELL;
        if has_caps && has_jobs && !self.exchanges_allowances.swap(true, Ordering::Relaxed) {
            let exchange = allowance_exchange::run(Arc::clone(self));
            self.spawn_task("allowance_exchange", exchange);
        }
        let mut core = self.core();
        core.set_queues(policies);
        core.set_cell_count(cell_count);
        core.set_config_version(config.version);
        if let Some(workspaces) = &config.workspaces {
            core.set_workspaces(workspaces.iter().map(|(name, workspace)| {
                let policy = WorkspacePolicy {
                    weight: workspace.weight,
                    cap: workspace.cap,
                };
                (name.clone(), policy)
            }));
        }
    }

    /// Connects to workers that have no link yet and starts to renew their leases.
    pub fn connect_workers(self: &Arc<Self>) {
        let mut added = Vec::new();
        {
            let core = self.core();
            let mut links = self.links();
            links.retain(|key, _| core.worker(*key).is_some());
            for key in core.worker_keys() {
                if links.contains_key(&key) {
                    continue;
                }
                let Some(worker) = core.worker(key) else {
                    continue;
                };
                let limits = PoolLimits {
                    connect_timeout: Duration::from_millis(300),
                    max_idle: LINK_IDLE_TIMEOUT,
                    max_connections: MAX_PARALLEL_ORDERS + MAX_PARALLEL_PACES,
                    min_rate: Some(MIN_LINK_RATE),
                    ..PoolLimits::default()
                };
                match WorkerLink::new(&worker.entry.worker, worker.entry.address, limits) {
                    Ok(link) => {
                        let connection = WorkerConnection {
                            link: Arc::new(link),
                            orders: SharedOrders::new(MAX_PARALLEL_ORDERS),
                            paces: SharedOrders::new(MAX_PARALLEL_PACES),
                            worker: Arc::from(worker.entry.worker.as_str()),
                        };
                        links.insert(key, connection);
                        added.push(key);
                    }
                    Err(error) => log::warn!(
                        "event=worker_unusable worker={} error={error:?}",
                        worker.entry.worker
                    ),
                }
            }
        }
        for key in added {
            log::info!(
                "event=worker_linked cell={} worker={} born={} token={}",
                self.name,
                self.worker_name(key),
                self.started_ms(key),
                self.token
            );
            self.spawn_task("lease_renewal", lease_renewal::run(Arc::clone(self), key));
        }
    }

    /// Returns the connections to a worker.
    pub fn connection(&self, key: WorkerKey) -> Option<WorkerConnection> {
        self.links().get(&key).cloned()
    }

    fn links(&self) -> MutexGuard<'_, HashMap<WorkerKey, WorkerConnection>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs the decisions of the cell and executes the resulting actions.
    pub fn run_decisions(self: &Arc<Self>) {
        if self.is_closed() {
            return;
        }
        let clock = &self.context.clock;
        // Reads what the other cells take, so this one must not be locked.
        let memory_budget = (self.context).cell_memory_budget(&self.name, self.early_ends);
        let (actions, events, has_work, awaits_allowance, has_more_starts) = {
            let mut core = self.core();
            let now = clock.now();
            core.set_memory_budget(memory_budget);
            let may_start = !self.is_paused() && self.context.may_start_runs(now);
            let tick = || core.tick(now, clock.wall_ms(), may_start);
            let ((), spent) = cpu_time::measure(Duty::Decisions, tick);
            self.load.add_decisions(spent);
            self.memory_used.store(core.memory().0, Ordering::Relaxed);
            let has_work = core.has_dirty() || core.has_unstored_ends();
            let awaits_allowance = core.awaits_allowance();
            let (actions, events) = (core.take_actions(), core.take_events());
            let has_more_starts = core.has_more_starts();
            (actions, events, has_work, awaits_allowance, has_more_starts)
        };
        if has_more_starts {
            self.request_decisions();
        }
        if awaits_allowance {
            self.allowance_awaited.notify_one();
        }
        for event in events {
            self.log_event(&event);
        }
        if has_work {
            self.ledger.wake();
        }
        for action in actions {
            self.execute(action);
        }
    }

    /// Logs an event that explains how a run or a job ended.
    fn log_event(&self, event: &CellEvent) {
        let cell = &self.name;
        match event {
            CellEvent::RunFailed {
                task,
                run,
                worker,
                failures,
                max_attempts,
            } => log::info!(
                "event=run_failed job={} task={task} run={run} worker={worker} failures={failures} max_attempts={max_attempts} cell={cell}",
                task.job
            ),
            CellEvent::RunLost {
                task,
                run,
                worker,
                cause,
                observed,
            } => log::info!(
                "event=run_lost job={} task={task} run={run} worker={worker} cause={cause:?} observed={observed:.3?} cell={cell} token={}",
                task.job,
                self.token
            ),
            CellEvent::RunReleased {
                task,
                run,
                worker,
                cause,
            } => log::debug!(
                target: run_log::TARGET,
                "event=run_released job={} task={task} run={run} worker={worker} cause={cause:?} cell={cell} token={}",
                task.job,
                self.token
            ),
            CellEvent::WorkerCrashed {
                task,
                run,
                worker,
                crashes,
                is_isolated,
                is_given_up,
            } => log::info!(
                "event=worker_crashed job={} task={task} run={run} worker={worker} crashes={crashes} isolated={is_isolated} given_up={is_given_up} cell={cell}",
                task.job
            ),
            CellEvent::RunStalled {
                task,
                run,
                worker,
                percent,
            } => log::info!(
                "event=run_stalled job={} task={task} run={run} worker={worker} percent={percent} cell={cell}",
                task.job
            ),
            CellEvent::RunAdopted {
                task,
                run,
                worker,
                started_ms,
            } => {
                self.context.metrics.runs_adopted.increment();
                log::info!(
                    "event=run_adopted job={} task={task} run={run} worker={worker} born={started_ms} cell={cell} token={}",
                    task.job,
                    self.token
                );
            }
            CellEvent::UnknownRunStopped {
                task,
                run,
                worker,
                started_ms,
            } => {
                self.context.metrics.unknown_runs_stopped.increment();
                log::info!(
                    "event=unknown_run_stopped job={} task={task} run={run} worker={worker} born={started_ms} cell={cell} token={}",
                    task.job,
                    self.token
                );
            }
            CellEvent::IncarnationReplaced {
                worker,
                started_ms_before,
                started_ms,
                source,
                released,
                carried_over,
            } => {
                self.context.metrics.incarnations_replaced.increment();
                log::info!(
                    "event=incarnation_replaced worker={worker} born_before={started_ms_before} born={started_ms} source={source:?} released={released} carried_over={carried_over} cell={cell} token={}",
                    self.token
                );
            }
            CellEvent::WorkerWeighed {
                worker,
                limit,
                score,
                observation,
            } => {
                if matches!(limit, StartLimit::Ejected(_)) {
                    self.context.metrics.workers_ejected.increment();
                }
                log::info!(
                    "event=worker_weighed worker={worker} limit={limit:?} score={score:.2} observation={observation:?} cell={cell}"
                );
            }
            CellEvent::JobEnded {
                job,
                state,
                age,
                waited,
                objective,
            } => log::info!(
                "event=job_ended job={job} state={state:?} age={age:.3?} waited={waited:.3?} objective={objective:.3?} late={} cell={cell} token={}",
                age > objective,
                self.token
            ),
            CellEvent::CapUsageCorrected { differences } => log::warn!(
                "event=cap_usage_corrected differences={differences:?} cell={cell} token={}",
                self.token
            ),
            CellEvent::RecoveryEnded { unreached_workers } => log::info!(
                "event=recovery_ended cell={cell} token={} unreached={} workers={}",
                self.token,
                unreached_workers.len(),
                unreached_workers.join(",")
            ),
        }
    }

    /// Returns the start of a worker's incarnation in milliseconds since 1970; 0 if it is unknown
    /// or the worker was removed.
    pub(crate) fn started_ms(&self, key: WorkerKey) -> u64 {
        let core = self.core();
        core.worker(key).map_or(0, |worker| worker.entry.started_ms)
    }

    /// Returns the id of a worker; empty if the worker was removed.
    pub fn worker_name(&self, key: WorkerKey) -> WorkerId {
        let core = self.core();
        core.worker(key)
            .map_or_else(String::new, |worker| worker.entry.worker.clone())
    }
}
