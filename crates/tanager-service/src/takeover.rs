//! Acquires a cell and loads its state; releases a cell.

use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::ids::CellName;
use tanager_jobs::record::decode_record;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::CellCore;
use tanager_schedule::CellSettings;
use tanager_schedule::durations::QueueDuration;
use tanager_schedule::early_ends::FormerOwnership;
use tanager_schedule::order_lease;
use tanager_schedule::ownership;
use tanager_schedule::recovery::FormerOwner;
use tanager_site::store::ChangeResult;
use tanager_site::store::RowVersion;
use tanager_site::store::TableChange;
use tokio::time;

use crate::cell::CellHandle;
use crate::cell::LoadedCell;
use crate::cell_rows::load_jobs;
use crate::cell_rows::plan_absorption;
use crate::cell_rows::read_cell;
use crate::cell_rows::take_stored;
use crate::context::NodeContext;
use crate::coordinator;
use crate::ledger::LedgerVersions;
use crate::membership::UNCONFIRMED_LEASE_LIMIT;
use crate::order_gate::OrderGate;
use crate::owner_rows::apply_owner_row;
use crate::records::CELL_TABLE;
use crate::records::COORDINATOR_CELL;
use crate::records::OWNER_KEY;
use crate::records::OwnerRecord;
use crate::records::cell_row;
use crate::records::entries_at_takeover;
use crate::records::former_capacities;
use crate::records::pool_of;
use crate::records::start_of;
use crate::table_watch;

/// Time limit of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum duration of a lease. Leases outlast the detection of a dead owner and the takeover.
const MAX_LEASE: Duration = Duration::from_millis(6_000);
/// Share of the platform's maximum lease that is used.
const LEASE_SHARE: f64 = 0.95;
/// Maximum time to wait, before a cell is released, for jobs that are being stored.
const HANDOVER_LIMIT: Duration = Duration::from_millis(600);
/// Interval between checks of whether they are stored.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Acquires a cell, registers it and notifies the other nodes.
pub(crate) async fn take_cell(context: &Arc<NodeContext>, name: &CellName) {
    let is_owned = context.cell(name).is_some();
    if is_owned || context.is_stopping() {
        return;
    }
    match acquire_cell(context, name).await {
        Ok(cell) => {
            context.insert_cell(Arc::clone(&cell));
            context.record_acquisition(name);
            // Until now, reads of the owner rows did not close the cell, and closing did not
            // remove it.
            cell.close_if_replaced();
            if cell.is_closed() {
                context.remove_cell(name, cell.token);
                return;
            }
            context.notify_peers().await;
        }
        Err(error) => log::info!("event=cell_not_taken cell={name} error={error:?}"),
    }
}

/// Acquires a cell: writes the owner row, loads the jobs and starts the cell.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if another node acquired it; other kinds if a call to the store fails or
/// a row cannot be decoded.
pub async fn acquire_cell(
    context: &Arc<NodeContext>,
    name: &CellName,
) -> TanagerResult<Arc<CellHandle>> {
    let (previous, absorbed) = {
        let view = context.view();
        let previous = view.owners.get(name).cloned().unwrap_or_default();
        (previous, view.absorbed_cells(name))
    };
    let former_owner = former_owner_of_all(context, &previous.record, &absorbed);
    let early_ends = former_ownership(context, name, &previous.record).early_ends();
    let record = own_owner_record(context, former_owner, early_ends);
    let version = write_owner(context, name, &record, previous.version).await?;
    let started = context.clock.now();
    let order_gate = (name == COORDINATOR_CELL).then(|| {
        let former_owner = (previous.version != 0).then_some(former_owner);
        let lease = context.settings.durations.coordinator_lease;
        let opens_at = started + order_lease::takeover_wait(former_owner, lease);
        OrderGate::new(context.clock, opens_at)
    });
    log::info!(
        "event=cell_taken cell={name} token={version} before={:?} before_version={} \
         early_ends={early_ends}",
        previous.record,
        previous.version
    );
    context.metrics.cells_taken.increment();
    context.view().apply_owner(name, record, version);
    let (rows, ()) = tokio::join!(
        read_cell(&context.store, name, &absorbed),
        table_watch::refresh_workers(context)
    );
    let mut rows = rows?;
    let now = context.clock.now();
    let wall_ms = context.clock.wall_ms();
    let mut core = CellCore::new(cell_settings(context));
    core.set_memory_budget(context.cell_memory_budget(name, early_ends));
    rows.jobs.rotate(early_ends);
    let (jobs, skipped) = load_jobs(&mut core, &mut rows, &absorbed, now, wall_ms);
    let absorption = plan_absorption(&mut core, &rows);
    for (queue, statistics) in &rows.learned {
        let duration = QueueDuration {
            mean: statistics.mean,
            ratio: statistics.ratio,
        };
        core.restore_queue_statistics(queue, duration, statistics.work);
    }
    let pool = pool_of(name).to_owned();
    let ledger_workers: Vec<_> = (rows.workers.iter())
        .map(|worker| worker.placeholder_entry(&pool))
        .collect();
    core.await_former_workers(&ledger_workers, former_owner, now);
    let mut homes = vec![name.clone()];
    homes.extend(absorbed.iter().cloned());
    let (listed, capacities) = {
        let view = context.view();
        let fleet = view.workers.values().map(|entry| entry.capacity);
        let capacities = former_capacities(&rows.workers, fleet);
        (view.workers_in(&homes), capacities)
    };
    core.set_former_capacities(capacities);
    let workers = entries_at_takeover(listed, &rows.workers, &pool);
    core.sync_workers(&workers, now);
    log::info!(
        "event=cell_loaded cell={name} token={version} absorbed={absorbed:?} jobs={jobs} skipped={skipped} \
         former_workers={} former_owner={former_owner:?} after={:?}",
        ledger_workers.len(),
        now.saturating_sub(started)
    );
    let versions = LedgerVersions {
        owner: version,
        ledger: rows.ledger_version,
    };
    let loaded = LoadedCell {
        core,
        versions,
        absorbed,
        absorption,
        stored: take_stored(&mut rows, now),
        order_gate,
        early_ends,
    };
    let cell = CellHandle::spawn(Arc::clone(context), name.clone(), version, loaded);
    cell.sync_queues();
    if name == COORDINATOR_CELL {
        cell.spawn_task("coordinator", coordinator::run(Arc::clone(&cell)));
    }
    Ok(cell)
}

/// Determines what is known about the former owner of a cell.
///
/// A node runs one process at a time, so the former owner has ended if the row of its node names a
/// later incarnation, or if the node is this one.
fn former_owner(context: &NodeContext, record: &OwnerRecord) -> FormerOwner {
    let has_ended = record.node.is_empty()
        || record.node == context.settings.node
        || (context.view().nodes.get(&record.node))
            .is_some_and(|observed| observed.record.incarnation > record.incarnation);
    ownership::former_owner(has_ended, record.awaits_predecessor)
}

/// Determines what is known about the former owners of a cell and of the cells merged into it.
fn former_owner_of_all(
    context: &NodeContext,
    record: &OwnerRecord,
    absorbed: &[CellName],
) -> FormerOwner {
    let absorbed_records: Vec<OwnerRecord> = {
        let view = context.view();
        (absorbed.iter())
            .filter_map(|cell| view.owners.get(cell))
            .map(|observed| observed.record.clone())
            .collect()
    };
    let mut records = absorbed_records.iter().chain([record]);
    match records.all(|record| former_owner(context, record) == FormerOwner::Inactive) {
        true => FormerOwner::Inactive,
        false => FormerOwner::Unresponsive,
    }
}

/// Derives the settings of a cell from the settings of the site.
fn cell_settings(context: &NodeContext) -> CellSettings {
    let durations = &context.settings.durations;
    CellSettings {
        lease: durations.max_lease.mul_f64(LEASE_SHARE).min(MAX_LEASE),
        max_lease: durations.max_lease,
        stale_owner_limit: UNCONFIRMED_LEASE_LIMIT,
        max_stop_time: durations.max_stop_time,
        retention: durations.job_retention.mul_f64(1.5),
        forecasts_demand: context.settings.features.forecasts_demand,
        plans_overload: context.settings.features.plans_overload,
        weighs_workers: context.settings.features.weighs_workers,
    }
}

/// Describes the ownership that ends with this acquisition. The owner row has no time of its own, but the
/// incarnation of a process contains its start.
fn former_ownership(
    context: &NodeContext,
    name: &CellName,
    record: &OwnerRecord,
) -> FormerOwnership {
    let is_own_process = record.incarnation == context.incarnation;
    let age = match context.last_acquisition(name).filter(|_| is_own_process) {
        Some(acquired_at) => context.clock.now().saturating_sub(acquired_at),
        None => {
            let started_ms = start_of(record.incarnation);
            Duration::from_millis(context.clock.wall_ms().saturating_sub(started_ms))
        }
    };
    FormerOwnership {
        early_ends: record.early_ends,
        is_released: record.node.is_empty(),
        age,
    }
}

fn own_owner_record(
    context: &NodeContext,
    former_owner: FormerOwner,
    early_ends: u32,
) -> OwnerRecord {
    OwnerRecord {
        early_ends,
        node: context.settings.node.clone(),
        incarnation: context.incarnation,
        awaits_predecessor: former_owner == FormerOwner::Unresponsive,
        ..OwnerRecord::default()
    }
}

/// Writes the owner row. After a lost response it reads the row to find out whether the write was
/// carried out.
async fn write_owner(
    context: &NodeContext,
    name: &CellName,
    record: &OwnerRecord,
    expected_version: RowVersion,
) -> TanagerResult<RowVersion> {
    let row = cell_row(CELL_TABLE, name, OWNER_KEY);
    let change = TableChange {
        expect: vec![(row.clone(), expected_version)],
        puts: vec![(row, encode_record(record)?)],
        removals: Vec::new(),
    };
    match context.store.change(&change, CALL_TIMEOUT).await {
        Ok(ChangeResult::Committed(version)) => Ok(version),
        Ok(ChangeResult::Conflict(rows)) => {
            for row in &rows {
                apply_owner_row(context, name, &row.value, row.version);
            }
            let error = "another node acquired the cell";
            Err(TanagerError::new(
                ErrorKind::Conflict,
                "acquire cell",
                name.clone(),
                error,
            ))
        }
        Err(error) if matches!(error.kind, ErrorKind::Unknown | ErrorKind::Timeout) => {
            let page = context
                .store
                .rows(CELL_TABLE, name, None, CALL_TIMEOUT)
                .await?;
            let found = page.rows.iter().find(|row| row.name.key == OWNER_KEY);
            let found = found.ok_or_else(|| error.clone())?;
            apply_owner_row(context, name, &found.value, found.version);
            match decode_record::<OwnerRecord>(name, &found.value)? == *record {
                true if found.version > expected_version => Ok(found.version),
                _ => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}

/// Who has a cell after its owner released it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Successor {
    /// The node that acquires it next, not this one.
    Any,
    /// This node, which loads it again.
    Own,
    /// The owner of the cell into which it is merged.
    Cell(CellName),
}

/// Releases a cell: starts no tasks, accepts no jobs and writes the owner row. Returns whether the row
/// is known to be written.
pub async fn release_cell(cell: &Arc<CellHandle>, successor: &Successor) -> bool {
    let context = &cell.context;
    cell.pause();
    // Requests whose jobs are being stored are answered first. Ends that are not stored yet remain
    // in the workers' reports, and the new owner's token fences off orders in transit.
    let limit = context.clock.now() + HANDOVER_LIMIT;
    while cell.ledger.is_busy() && context.clock.now() < limit && !cell.is_closed() {
        time::sleep(HANDOVER_POLL_INTERVAL).await;
    }
    if let Some(gate) = &cell.order_gate {
        gate.finish(HANDOVER_LIMIT).await;
    }
    if cell.is_closed() {
        return false;
    }
    let row = cell_row(CELL_TABLE, &cell.name, OWNER_KEY);
    let is_recovering = cell.core().is_recovering()
        || (cell.order_gate.as_ref()).is_some_and(|gate| !gate.time_until_open().is_zero());
    let awaits_predecessor = (context.view().owners.get(&cell.name))
        .is_some_and(|observed| observed.record.awaits_predecessor);
    let released = OwnerRecord {
        awaits_predecessor: awaits_predecessor && is_recovering,
        ..OwnerRecord::default()
    };
    let record = match successor {
        Successor::Any => OwnerRecord {
            released_by: context.settings.node.clone(),
            ..released
        },
        Successor::Own => OwnerRecord {
            node: context.settings.node.clone(),
            incarnation: context.incarnation,
            ..released
        },
        Successor::Cell(target) => OwnerRecord {
            merged_into: target.clone(),
            ..released
        },
    };
    let value = match encode_record(&record) {
        Ok(value) => value,
        Err(error) => {
            log::error!("event=record_not_encoded error={error:?}");
            cell.close("the release cannot be encoded");
            return false;
        }
    };
    let change = TableChange {
        expect: vec![(row.clone(), cell.token)],
        puts: vec![(row, value)],
        removals: Vec::new(),
    };
    let result = context.store.change(&change, CALL_TIMEOUT).await;
    log::info!(
        "event=cell_released cell={} successor={successor:?} result={result:?}",
        cell.name
    );
    let is_written = match result {
        Ok(ChangeResult::Committed(version)) => {
            context.view().apply_owner(&cell.name, record, version);
            true
        }
        // The owner row tells which, when it is read next.
        Ok(ChangeResult::Conflict(_)) | Err(_) => false,
    };
    cell.close("handed over");
    context.owners_changed.notify_one();
    is_written
}
