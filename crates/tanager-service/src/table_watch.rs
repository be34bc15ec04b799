//! Keeps the view up to date: reads changes of the operator's, worker, node and cell tables, writes
//! this node's heartbeats and acquires orphaned cells.

use std::collections::BTreeSet;
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::try_join_all;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::TanagerResult;
use tanager_site::fleet::WORKER_TABLE;
use tanager_site::store::ChangeResult;
use tanager_site::store::FeedPage;
use tanager_site::store::RowVersion;
use tanager_site::store::TableChange;
use tanager_site::store::TableRow;
use tokio::time;

use crate::context::NodeContext;
use crate::membership;
use crate::membership::HEARTBEAT_PERIOD;
use crate::merging;
use crate::operator_watch::watch_operator;
use crate::owner_rows::apply_owner_row;
use crate::queue_pool_rows::watch_queues;
use crate::read_health::HealthReport;
use crate::read_health::Outage;
use crate::read_health::ReadHealth;
use crate::records::CELL_TABLE;
use crate::records::NODE_TABLE;
use crate::records::NodeRecord;
use crate::records::OWNER_KEY;
use crate::records::POOL_TABLE;
use crate::records::PoolRecord;
use crate::records::node_row;
use crate::records::unpartitioned_row;
use crate::relocation;
use crate::supervision::spawn_loop;
use crate::takeover;
use crate::view::assign_racks;
use crate::worker_rows::apply_worker_rows;

/// Interval between reads of a table: a quarter of the two seconds within which a new configuration
/// must be in force, so that one or two failed reads are tolerated.
pub(crate) const READ_PERIOD: Duration = Duration::from_millis(500);
/// Time after the start for which workers are read at the full rate, because pools are being
/// partitioned.
const START_PERIOD: Duration = Duration::from_secs(6);
/// Interval between reads of the workers' entries on a node without cells.
const IDLE_WORKER_PERIOD: Duration = Duration::from_millis(2_000);
/// Interval between reads of the workers' entries while tasks wait for room: VMs that were moved here
/// show as new entries, and a surge lasts only a few seconds.
const BACKLOG_WORKER_PERIOD: Duration = Duration::from_millis(150);
/// Interval between reads of the workers' entries while a peer relays them: its link may be slow.
const RELAYED_WORKER_PERIOD: Duration = Duration::from_millis(1_000);
/// Time limit of a call to the store.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum interval between decisions which orphaned cells to acquire.
const ACQUISITION_PERIOD: Duration = Duration::from_millis(150);
/// Pools are partitioned only this long after the start: workers register within this time.
const PARTITION_DELAY: Duration = Duration::from_millis(1_500);
/// Cells of other nodes are acquired only this long after the start: nodes start within 0.3 s of
/// each other.
const ACQUISITION_DELAY: Duration = Duration::from_millis(1_200);

/// A table whose changes are read regularly.
pub(crate) struct WatchedTable {
    name: &'static str,
    /// Whether all rows are in the unnamed part.
    is_unpartitioned: bool,
    /// Version to continue from; `None` requires a full read.
    after: Option<RowVersion>,
    health: ReadHealth,
}

/// Result of reading a table.
pub(crate) enum TableRead {
    /// All rows of the table.
    Full(Vec<TableRow>),
    /// Rows that changed since the last read.
    Changed(Vec<TableRow>),
}

impl WatchedTable {
    pub(crate) fn new(name: &'static str, is_unpartitioned: bool) -> Self {
        Self {
            name,
            is_unpartitioned,
            after: None,
            health: ReadHealth::default(),
        }
    }

    /// Returns the version of the store as of which the rows read so far are complete.
    pub(crate) fn version(&self) -> RowVersion {
        self.after.unwrap_or(0)
    }

    /// Reads the changes since the last read, or all rows. Returns `None` if that fails, which is
    /// logged.
    pub(crate) async fn read(&mut self, context: &NodeContext) -> Option<TableRead> {
        let started = context.clock.now();
        let result = self.try_read(context).await;
        let now = context.clock.now();
        let report = self.health.record(started, now, result.is_ok());
        if let Some(HealthReport::Current(outage)) = report {
            self.log_current(&outage);
        }
        let error = match result {
            Ok(read) => return Some(read),
            Err(error) => error,
        };
        context.metrics.reads_failed.increment();
        let (table, after) = (self.name, self.version());
        match report {
            Some(HealthReport::Stale(outage)) => log::warn!(
                "event=table_stale table={table} age={:?} failures={} row={after} error={error:?}",
                outage.age,
                outage.failures
            ),
            _ => {
                let took = now.saturating_sub(started);
                log::debug!(
                    "event=read_failed table={table} after={after} took={took:?} error={error:?}"
                );
            }
        }
        None
    }

    /// Takes the version as of which rows that a peer has read are complete. `read_at` is the time of a
    /// read that replaces one of the store.
    pub(crate) fn advance(&mut self, version: RowVersion, read_at: Option<Duration>) {
        self.after = Some(version.max(self.version()));
        let report = read_at.and_then(|now| self.health.record(now, now, true));
        if let Some(HealthReport::Current(outage)) = report {
            self.log_current(&outage);
        }
    }

    fn log_current(&self, outage: &Outage) {
        log::info!(
            "event=table_current table={} after={:?} failures={} row={}",
            self.name,
            outage.age,
            outage.failures,
            self.version()
        );
    }

    async fn try_read(&mut self, context: &NodeContext) -> TanagerResult<TableRead> {
        if let Some(after) = self.after {
            match context.store.feed(self.name, after, READ_TIMEOUT).await? {
                FeedPage::Changes(rows, version) => {
                    self.after = Some(version.max(after));
                    return Ok(TableRead::Changed(rows));
                }
                FeedPage::Compacted => {
                    log::info!("event=history_lost table={} after={after}", self.name);
                    self.after = None;
                }
            }
        }
        let mut parts = vec![String::new()];
        if !self.is_unpartitioned {
            parts = context.store.parts(self.name, READ_TIMEOUT).await?;
        }
        // Concurrently, because one after another they would take seconds while the store is slow.
        let reads =
            (parts.iter()).map(|part| context.store.all_rows(self.name, part, READ_TIMEOUT));
        let reads = try_join_all(reads).await?;
        // Changes since the earliest read are read again. A table without parts has no rows, so its
        // feed is read from the beginning.
        let versions = reads.iter().map(|(_, version)| *version);
        self.after = Some(versions.min().unwrap_or(0));
        Ok(TableRead::Full(
            reads.into_iter().flat_map(|(rows, _)| rows).collect(),
        ))
    }
}

/// Starts the tasks that read the tables, write heartbeats and acquire cells.
pub fn spawn(context: &Arc<NodeContext>) {
    spawn_context_loop(context, "watch_operator", watch_operator);
    spawn_context_loop(context, "watch_queues", watch_queues);
    spawn_context_loop(context, "watch_workers", watch_workers);
    spawn_context_loop(context, "watch_nodes", watch_nodes);
    spawn_context_loop(context, "watch_cells", watch_cells);
    spawn_context_loop(context, "heartbeat", heartbeat_loop);
    spawn_context_loop(context, "acquisition", acquisition_loop);
    spawn_context_loop(context, "relocation", relocation::run);
}

fn spawn_context_loop<L: Future<Output = Infallible> + Send + 'static>(
    context: &Arc<NodeContext>,
    name: &'static str,
    run: impl Fn(Arc<NodeContext>) -> L + Send + 'static,
) {
    let context = Arc::clone(context);
    spawn_loop(name, move || run(Arc::clone(&context)));
}

async fn watch_workers(context: Arc<NodeContext>) -> Infallible {
    let mut table = WatchedTable::new(WORKER_TABLE, true);
    loop {
        if let Some(read) = table.read(&context).await {
            apply_worker_rows(&context, read, table.version());
        }
        for cell in context.cells() {
            cell.sync_workers();
        }
        let has_no_pools = context.view().pools.is_empty();
        if has_no_pools && let Err(error) = read_pools(&context).await {
            log::debug!("event=read_failed table={POOL_TABLE} error={error:?}");
        }
        if context.clock.now() >= PARTITION_DELAY {
            partition_pools(&context).await;
        }
        let cells = context.cells();
        let period = worker_period(ReadSituation {
            is_starting: context.clock.now() < START_PERIOD,
            owns_cells: !cells.is_empty(),
            is_store_failing: context.store_access.is_failing(),
            has_waiting_tasks: cells.iter().any(|cell| cell.has_waiting_tasks()),
        });
        time::sleep(period).await;
    }
}

/// Reads all workers' entries now, because a node that is acquiring a cell may have read them
/// seconds ago. If the read fails, the entries stay unchanged.
pub async fn refresh_workers(context: &NodeContext) {
    let read = context.store.all_rows(WORKER_TABLE, "", READ_TIMEOUT).await;
    match read {
        Ok((rows, version)) => apply_worker_rows(context, TableRead::Full(rows), version),
        Err(error) => log::info!("event=read_failed table={WORKER_TABLE} error={error:?}"),
    }
}

/// What decides how often a node reads the workers' entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadSituation {
    /// Pools are being partitioned.
    pub is_starting: bool,
    /// The node owns a cell.
    pub owns_cells: bool,
    /// Calls to the store go through peers.
    pub is_store_failing: bool,
    /// Tasks of an owned cell wait for room on a worker.
    pub has_waiting_tasks: bool,
}

/// Returns the time until the next read of the workers' entries, which is by far the largest read.
pub fn worker_period(situation: ReadSituation) -> Duration {
    if situation.is_starting {
        READ_PERIOD
    } else if !situation.owns_cells {
        IDLE_WORKER_PERIOD
    } else if situation.is_store_failing {
        RELAYED_WORKER_PERIOD
    } else if situation.has_waiting_tasks {
        BACKLOG_WORKER_PERIOD
    } else {
        READ_PERIOD
    }
}

/// Partitions pools that have no cells yet, and assigns new racks to cells.
async fn partition_pools(context: &Arc<NodeContext>) {
    let pools: Vec<String> = {
        let view = context.view();
        let Some(config) = &view.config else { return };
        (config.pools.values())
            .filter(|pool| !view.new_racks(&pool.name).is_empty())
            .map(|pool| pool.name.clone())
            .collect()
    };
    if pools.is_empty() {
        return;
    }
    if let Err(error) = read_pools(context).await {
        log::debug!("event=read_failed table={POOL_TABLE} error={error:?}");
        return;
    }
    for pool in pools {
        let (change, record) = {
            let view = context.view();
            let racks = view.new_racks(&pool);
            if racks.is_empty() {
                continue;
            }
            let (record, version) = view.pools.get(&pool).cloned().unwrap_or_default();
            let workers = view
                .workers
                .values()
                .filter(|entry| entry.pool == pool)
                .count();
            let record = assign_racks(&record, workers, &racks);
            let row = unpartitioned_row(POOL_TABLE, &pool);
            let Ok(value) = encode_record(&record) else {
                continue;
            };
            let change = TableChange {
                expect: vec![(row.clone(), version)],
                puts: vec![(row, value)],
                removals: Vec::new(),
            };
            (change, record)
        };
        match context.store.change(&change, READ_TIMEOUT).await {
            Ok(ChangeResult::Committed(version)) => {
                log::info!("event=pool_divided pool={pool} cells={}", record.cells);
                context.view().pools.insert(pool, (record, version));
            }
            Ok(ChangeResult::Conflict(rows)) => {
                for row in rows {
                    apply_pool_row(context, &row);
                }
            }
            Err(error) => log::debug!("event=pool_not_divided pool={pool} error={error:?}"),
        }
    }
}

pub(crate) async fn read_pools(context: &NodeContext) -> TanagerResult<()> {
    let (rows, _) = context.store.all_rows(POOL_TABLE, "", READ_TIMEOUT).await?;
    for row in rows {
        apply_pool_row(context, &row);
    }
    context.view().has_read_pools = true;
    Ok(())
}

fn apply_pool_row(context: &NodeContext, row: &TableRow) {
    if row.version == 0 {
        return;
    }
    match decode_record::<PoolRecord>(&row.name.key, &row.value) {
        Ok(record) => {
            context.skipped_rows.forget(POOL_TABLE, &row.name.key);
            let mut view = context.view();
            let known_version = view
                .pools
                .get(&row.name.key)
                .map_or(0, |(_, version)| *version);
            if row.version > known_version {
                view.pools
                    .insert(row.name.key.clone(), (record, row.version));
            }
        }
        Err(error) => {
            context.skip_row(POOL_TABLE, &row.name.key, row.version, &error.to_string());
        }
    }
}

async fn watch_nodes(context: Arc<NodeContext>) -> Infallible {
    let mut table = WatchedTable::new(NODE_TABLE, false);
    loop {
        if let Some(read) = table.read(&context).await {
            apply_node_rows(&context, read);
        }
        time::sleep(READ_PERIOD).await;
    }
}

fn apply_node_rows(context: &NodeContext, read: TableRead) {
    let (rows, is_full) = match read {
        TableRead::Full(rows) => (rows, true),
        TableRead::Changed(rows) => (rows, false),
    };
    let records = rows.into_iter().map(|row| {
        let record = match row.deleted {
            true => None,
            false => decode_record::<NodeRecord>(&row.name.key, &row.value)
                .inspect_err(|error| {
                    let problem = error.to_string();
                    context.skip_row(NODE_TABLE, &row.name.key, row.version, &problem);
                })
                .ok(),
        };
        if row.deleted || record.is_some() {
            context.skipped_rows.forget(NODE_TABLE, &row.name.key);
        }
        (row.name.key, record, row.version)
    });
    let records = records.collect();
    let now = context.clock.now();
    let can_write = context.can_write_heartbeats(now);
    (context.view()).apply_node_rows(records, is_full, can_write, now);
    context.update_relays();
}

async fn watch_cells(context: Arc<NodeContext>) -> Infallible {
    let mut table = WatchedTable::new(CELL_TABLE, false);
    loop {
        let sent_at = context.clock.now();
        if let Some(TableRead::Full(rows) | TableRead::Changed(rows)) = table.read(&context).await {
            let has_changes = !rows.is_empty();
            for row in rows {
                if row.name.key == OWNER_KEY && !row.deleted {
                    apply_owner_row(&context, &row.name.part, &row.value, row.version);
                }
            }
            context.view().has_read_owners = true;
            close_lost_cells(&context);
            merging::reload_cells(&context);
            context.record_owner_read(sent_at);
            if has_changes {
                context.owners_changed.notify_one();
            }
        }
        // Read at once when a peer notifies this node that an owner changed.
        let _ = time::timeout(READ_PERIOD, context.owner_read_requested.notified()).await;
    }
}

/// Closes cells that another node has acquired.
fn close_lost_cells(context: &NodeContext) {
    for cell in context.cells() {
        cell.close_if_replaced();
    }
}

async fn heartbeat_loop(context: Arc<NodeContext>) -> Infallible {
    let row = node_row(&context.settings.node);
    let mut version = 0;
    let mut heartbeat = 0;
    loop {
        heartbeat += 1;
        let record = NodeRecord {
            incarnation: context.incarnation,
            peer: context.settings.peer_address,
            heartbeat,
            leaving: context.is_stopping(),
            cores: context.settings.cores,
        };
        let value = match encode_record(&record) {
            Ok(value) => value,
            Err(error) => {
                log::error!("event=record_not_encoded table={NODE_TABLE} error={error:?}");
                time::sleep(HEARTBEAT_PERIOD).await;
                continue;
            }
        };
        let change = TableChange {
            expect: vec![(row.clone(), version)],
            puts: vec![(row.clone(), value)],
            removals: Vec::new(),
        };
        let sent_at = context.clock.now();
        let mut pause = HEARTBEAT_PERIOD;
        match context.store.change(&change, READ_TIMEOUT).await {
            Ok(ChangeResult::Committed(new)) => {
                version = new;
                let latency = context.clock.now().saturating_sub(sent_at);
                context.record_heartbeat(sent_at, latency);
                context.view().record_own_node(row.key.clone(), record, new);
            }
            Ok(ChangeResult::Conflict(rows)) => {
                // An earlier process of this node wrote the row, or an earlier heartbeat whose
                // response was lost.
                version = rows.first().map_or(0, |row| row.version);
                pause = Duration::ZERO;
            }
            Err(error) => {
                log::debug!("event=beat_failed error={error:?}");
                // The jitter keeps many nodes from retrying at the same moment.
                pause = HEARTBEAT_PERIOD.mul_f64(rand::random_range(0.2..0.4));
            }
        }
        let elapsed = context.clock.now().saturating_sub(sent_at);
        time::sleep(pause.saturating_sub(elapsed).max(Duration::from_millis(20))).await;
    }
}

async fn acquisition_loop(context: Arc<NodeContext>) -> Infallible {
    loop {
        // Decide at once when an owner changed.
        let _ = time::timeout(ACQUISITION_PERIOD, context.owners_changed.notified()).await;
        // Each acquisition takes up to seconds, in which a silent owner may come back, so the next
        // cell is chosen anew.
        let mut tried = BTreeSet::new();
        while let Some(name) =
            (choose_cells(&context).into_iter()).find(|name| !tried.contains(name))
        {
            takeover::take_cell(&context, &name).await;
            tried.insert(name);
        }
    }
}

/// Returns the cells that this node should acquire now.
fn choose_cells(context: &NodeContext) -> Vec<String> {
    let now = context.clock.now();
    let may_acquire = !context.is_stopping()
        && context.is_heartbeat_confirmed(now, HEARTBEAT_PERIOD * 2)
        && context.view().has_read_owners;
    if !may_acquire {
        return Vec::new();
    }
    let owned_cells: BTreeSet<String> = (context.cells().iter())
        .map(|cell| cell.name.clone())
        .collect();
    membership::choose_cells_to_acquire(
        &mut context.view(),
        &context.settings.node,
        &owned_cells,
        now >= ACQUISITION_DELAY,
        now,
    )
}
