//! Coordination of maintenance waves and of moves of VMs between pools.
//!
//! A single node, the owner of the coordinator's cell, sends orders to VMs. It first drains a VM
//! through the owner of the cell that the VM's worker belongs to, and only then orders the
//! maintenance or the move. The decisions are made in `tanager_schedule::wave` and
//! `tanager_schedule::capacity`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;
use tanager_jobs::record::encode_record;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::capacity::CapacityPlanner;
use tanager_schedule::capacity::MoveStep;
use tanager_schedule::capacity::PoolLoad;
use tanager_schedule::capacity::VmMove;
use tanager_schedule::capacity::VmPlacement;
use tanager_schedule::demand::DemandForecast;
use tanager_schedule::wave::VmStatus;
use tanager_site::fleet::WaveOrder;
use tanager_site::machines::MachineEntry;
use tanager_site::machines::MachineResponse;
use tanager_site::machines::MachineState;
use tanager_site::store::ChangeResult;
use tanager_site::store::MAX_ENTRIES;
use tanager_site::store::TableChange;
use tokio::time;

use crate::cell::CellHandle;
use crate::coordinator_cells::drain_vm;
use crate::coordinator_cells::pool_loads;
use crate::coordinator_records::HOME_TABLE;
use crate::coordinator_records::HomeRecord;
use crate::coordinator_records::read_homes;
use crate::coordinator_waves::WaveProgress;
use crate::order_gate::MACHINE_TIMEOUT;
use crate::order_gate::change_as_coordinator;
use crate::records::COORDINATOR_CELL;
use crate::records::cell_row;
use crate::vm_orders::VmOrder;
use crate::vm_orders::may_order;
use crate::vm_orders::send_order;

/// Minimum interval between two decisions, used in small fleets.
const MIN_DECISION_PERIOD: Duration = Duration::from_millis(250);
/// Minimum interval per VM of the fleet: a list has about 250 bytes per VM and may use 6 Mbit/s of
/// the link of an entry VM, which has at least 10 Mbit/s.
const DECISION_PERIOD_PER_VM: Duration = Duration::from_micros(330);
/// Minimum interval per cell, because the owner of each cell is asked for its load.
const DECISION_PERIOD_PER_CELL: Duration = Duration::from_millis(4);
/// Time limit of calls to owners of cells.
pub(crate) const OWNER_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of VMs that are drained or get orders at the same time.
///
/// Load: a wave over tens of VMs beside a surge, whose owners respond slowly. One after another,
/// they would hold up the moves to the pool that surges for seconds.
pub(crate) const MAX_PARALLEL_VMS: usize = 16;

/// Maximum number of home pools stored in one change, beside its condition.
const MAX_HOMES_PER_CHANGE: usize = MAX_ENTRIES - 1;
/// Source of skipped entries of the list of VMs, in the log.
const MACHINE_SOURCE: &str = "machines";

/// State of the coordinator.
struct CoordinatorState {
    cell: Arc<CellHandle>,
    waves: BTreeMap<u64, WaveProgress>,
    ended: BTreeSet<u64>,
    planner: CapacityPlanner,
    forecast: DemandForecast,
    /// Home pools of the VMs that have been moved or are about to be.
    homes: BTreeMap<VmName, PoolName>,
}

/// Carries out waves and moves until this node loses the coordinator's cell.
pub async fn run(cell: Arc<CellHandle>) {
    let context = Arc::clone(&cell.context);
    let (Some(machines), Some(gate)) = (context.machines.as_ref(), &cell.order_gate) else {
        return;
    };
    time::sleep(gate.time_until_open()).await;
    let homes = loop {
        if cell.is_closed() {
            return;
        }
        match read_homes(&cell).await {
            Ok(homes) => break homes,
            Err(error) => log::info!("event=homes_not_read error={error:?}"),
        }
        time::sleep(MIN_DECISION_PERIOD).await;
    };
    let mut state = CoordinatorState {
        cell,
        waves: BTreeMap::new(),
        ended: BTreeSet::new(),
        planner: CapacityPlanner::default(),
        forecast: DemandForecast::default(),
        homes,
    };
    let mut vms = 0;
    while !state.cell.is_closed() {
        state.begin_waves().await;
        match machines.list(MACHINE_TIMEOUT).await {
            Ok((listed, skipped)) => {
                let context = &state.cell.context;
                match skipped.count {
                    0 => context.skipped_rows.forget(MACHINE_SOURCE, ""),
                    _ => context.skip_row(MACHINE_SOURCE, "", 0, &skipped.first),
                }
                vms = listed.len();
                if !state.cell.is_closed() {
                    state.step(&listed).await;
                }
            }
            Err(error) => log::info!("event=machines_not_listed error={error:?}"),
        }
        let cells = state.cell.context.view().owners.len();
        time::sleep(decision_period(vms, cells)).await;
    }
}

/// Returns the interval between two decisions, for a fleet with this many VMs and cells. It grows
/// with the fleet as VM lists and load requests do, because the coordinator also serves jobs.
pub fn decision_period(vms: usize, cells: usize) -> Duration {
    (DECISION_PERIOD_PER_VM * vms as u32)
        .max(DECISION_PERIOD_PER_CELL * cells as u32)
        .max(MIN_DECISION_PERIOD)
}

impl CoordinatorState {
    /// Begins the waves that the operator requested.
    async fn begin_waves(&mut self) {
        let orders: Vec<WaveOrder> = (self.cell.context.view().waves.values())
            .filter(|order| {
                !self.ended.contains(&order.wave) && !self.waves.contains_key(&order.wave)
            })
            .cloned()
            .collect();
        for order in orders {
            match WaveProgress::begin(&self.cell, &order).await {
                Ok(Some(progress)) => {
                    self.waves.insert(order.wave, progress);
                }
                Ok(None) => {
                    self.ended.insert(order.wave);
                }
                Err(error) => {
                    log::warn!("event=wave_not_begun wave={} error={error:?}", order.wave);
                }
            }
        }
    }

    async fn step(&mut self, listed: &[MachineEntry]) {
        let now = self.cell.context.clock.now();
        let loads = pool_loads(&self.cell).await;
        let entries: BTreeMap<VmName, &MachineEntry> = (listed.iter())
            .map(|entry| (entry.vm.clone(), entry))
            .collect();
        let mut reserved = BTreeSet::new();
        let mut waves = std::mem::take(&mut self.waves);
        for (number, progress) in &mut waves {
            let statuses: BTreeMap<VmName, VmStatus> = (entries.iter())
                .map(|(vm, entry)| (vm.clone(), self.vm_status(entry)))
                .collect();
            progress.step(&self.cell, &entries, &statuses, &loads).await;
            reserved.extend(progress.reserved_vms());
            if progress.is_complete() {
                match progress.report_completed(&self.cell).await {
                    Ok(()) => {
                        self.ended.insert(*number);
                    }
                    Err(error) => {
                        log::info!("event=wave_not_reported wave={number} error={error:?}");
                    }
                }
            }
        }
        waves.retain(|number, _| !self.ended.contains(number));
        self.waves = waves;
        if self.cell.is_closed() {
            return;
        }
        self.step_moves(&entries, &loads, &reserved, now).await;
    }

    fn vm_status(&self, entry: &MachineEntry) -> VmStatus {
        let is_moving = self.planner.moves().contains_key(&entry.vm);
        VmStatus {
            pool: entry.pool.clone(),
            is_up: entry.state == MachineState::Up && !is_moving,
            is_off: self.is_off(entry) && !is_moving,
        }
    }

    /// Returns whether a VM is switched off, which is the normal state of VMs in a spare pool.
    fn is_off(&self, entry: &MachineEntry) -> bool {
        self.is_spare(&entry.pool) && entry.state == MachineState::Down
    }

    fn is_spare(&self, pool: &str) -> bool {
        let view = self.cell.context.view();
        (view.config.as_ref())
            .and_then(|config| config.pools.get(pool))
            .is_some_and(|pool| pool.spare)
    }

    async fn step_moves(
        &mut self,
        entries: &BTreeMap<VmName, &MachineEntry>,
        loads: &BTreeMap<PoolName, PoolLoad>,
        reserved: &BTreeSet<VmName>,
        now: Duration,
    ) {
        let vms: BTreeMap<VmName, VmPlacement> = (entries.iter())
            .map(|(vm, entry)| (vm.clone(), self.vm_placement(entry)))
            .collect();
        let expected = match self.cell.context.settings.features.forecasts_demand {
            true => self.forecast.apply(loads, now),
            false => loads.clone(),
        };
        let new_moves = self.planner.plan_moves(&expected, &vms, reserved, now);
        let new_vms: Vec<VmName> = (new_moves.iter())
            .map(|(vm, _)| vm)
            .filter(|vm| !self.homes.contains_key(*vm))
            .cloned()
            .collect();
        for (vm, target) in &new_moves {
            let from = &vms[vm].pool;
            log::info!(
                "event=vm_move_begun vm={vm} from={from} to={target} from_load={:?} to_load={:?} \
                 pools={} expected={:?}",
                loads.get(from),
                loads.get(target),
                loads.len(),
                expected.get(target).map(|load| load.arrival)
            );
        }
        for chunk in new_vms.chunks(MAX_HOMES_PER_CHANGE) {
            self.record_homes(chunk, &vms).await;
        }
        // A VM whose home is not recorded would never be moved back.
        for (vm, _) in &new_moves {
            if !self.homes.contains_key(vm) {
                self.planner.abandon_move(vm);
            }
        }
        let moves = (self.planner.moves().iter())
            .filter_map(|(vm, entry)| Some(((*entries.get(vm)?).clone(), entry.clone())));
        let moves: Vec<_> = moves.collect();
        let results: Vec<_> = stream::iter(moves)
            .map(|(listed, entry)| {
                let cell = Arc::clone(&self.cell);
                async move {
                    let result = move_vm(&cell, &listed, &entry).await;
                    (listed.vm, result)
                }
            })
            .buffer_unordered(MAX_PARALLEL_VMS)
            .collect()
            .await;
        for (vm, result) in results {
            if let Some(response) = result {
                self.apply_move_response(&vm, response);
            }
        }
    }

    fn vm_placement(&self, entry: &MachineEntry) -> VmPlacement {
        let home = self.homes.get(&entry.vm).unwrap_or(&entry.pool);
        VmPlacement {
            pool: entry.pool.clone(),
            home: home.clone(),
            is_spare: self.is_spare(home),
            cores: entry.capacity.cpu as f64 / 1e3,
            is_movable: entry.state == MachineState::Up || self.is_off(entry),
        }
    }

    /// Stores the home pools of VMs before their first move.
    async fn record_homes(&mut self, new_vms: &[VmName], vms: &BTreeMap<VmName, VmPlacement>) {
        let mut change = TableChange::default();
        for vm in new_vms {
            let record = HomeRecord {
                pool: vms[vm].pool.clone(),
            };
            if let Ok(value) = encode_record(&record) {
                change
                    .puts
                    .push((cell_row(HOME_TABLE, COORDINATOR_CELL, vm), value));
            }
        }
        match change_as_coordinator(&self.cell, change).await {
            Ok(ChangeResult::Committed(_)) => {
                for vm in new_vms {
                    self.homes.insert(vm.clone(), vms[vm].pool.clone());
                }
            }
            other => {
                let count = new_vms.len();
                log::info!("event=homes_not_noted vms={count} result={other:?}");
            }
        }
    }

    fn apply_move_response(&mut self, vm: &str, response: TanagerResult<MachineResponse>) {
        match response {
            Ok(MachineResponse::Accepted) => {
                let step = MoveStep::Accepted(self.cell.context.clock.now());
                self.planner.set_step(vm, step);
            }
            Ok(MachineResponse::Fenced) => self.cell.close("the machine API knows a higher token"),
            Ok(_) => self.planner.abandon_move(vm),
            Err(error) if error.kind == ErrorKind::NotSent => self.planner.abandon_move(vm),
            // The order may have been carried out; repeating it reveals whether it was.
            Err(_) => self.planner.set_step(vm, MoveStep::Ordered),
        }
    }
}

/// Drains a VM and orders its move right after the response; see [`maintain_vm`].
async fn move_vm(
    cell: &Arc<CellHandle>,
    listed: &MachineEntry,
    entry: &VmMove,
) -> Option<TanagerResult<MachineResponse>> {
    let is_accepted = matches!(entry.step, MoveStep::Accepted(_));
    if is_accepted || !may_order(cell).await {
        return None;
    }
    let is_ready = match entry.step {
        MoveStep::Draining => drain_vm(cell, listed, true).await.is_empty,
        MoveStep::Ordered => {
            drain_vm(cell, listed, true).await;
            true
        }
        MoveStep::Accepted(_) => false,
    };
    match is_ready {
        true => {
            let target = &entry.target;
            send_order(cell, &listed.vm, VmOrder::Move { target }).await
        }
        false => None,
    }
}
