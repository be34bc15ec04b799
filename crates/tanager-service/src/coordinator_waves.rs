//! A maintenance wave in progress: drains and orders its VMs and stores its progress.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use tanager_jobs::WaveRecord;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::capacity::PoolLoad;
use tanager_schedule::wave::MaintenanceStep;
use tanager_schedule::wave::VmStatus;
use tanager_schedule::wave::WaveTracker;
use tanager_schedule::wave_record::WaveTerms;
use tanager_site::fleet::WaveOrder;
use tanager_site::machines::MachineEntry;
use tanager_site::machines::MachineResponse;
use tanager_site::machines::MachineState;

use crate::cell::CellHandle;
use crate::coordinator::MAX_PARALLEL_VMS;
use crate::coordinator::OWNER_TIMEOUT;
use crate::coordinator_cells::drain_vm;
use crate::coordinator_records;
use crate::coordinator_records::read_wave;
use crate::coordinator_records::report_running;
use crate::coordinator_records::write_wave;
use crate::peers::DrainResponse;
use crate::vm_orders::VmOrder;
use crate::vm_orders::may_order;
use crate::vm_orders::send_order;

/// A wave in progress.
pub(crate) struct WaveProgress {
    tracker: WaveTracker,
    /// Progress as of the last decision.
    record: WaveRecord,
    /// Progress that is stored.
    stored: Option<WaveRecord>,
    /// Number of drains whose interruption has been counted.
    interrupted_drains: u64,
}

/// Result of a drain request, and of the order if one was sent.
struct DrainResult {
    drain: Option<DrainResponse>,
    response: Option<TanagerResult<MachineResponse>>,
}

impl WaveProgress {
    /// Loads or starts the progress of a wave; `None` if the wave is completed.
    ///
    /// # Errors
    ///
    /// As [`read_wave`] and [`report_running`]; the wave can be begun again.
    pub(crate) async fn begin(
        cell: &Arc<CellHandle>,
        order: &WaveOrder,
    ) -> TanagerResult<Option<Self>> {
        let clock = cell.context.clock;
        let stored = read_wave(cell, order.wave).await?;
        if stored.completed {
            return Ok(None);
        }
        report_running(cell, order.wave).await?;
        let wall_ms = clock.wall_ms();
        let seen_ms = (cell.context.view().waves_seen_ms.get(&order.wave)).copied();
        let terms = WaveTerms {
            wave: order.wave,
            max_down: order.cap,
            duration: Duration::try_from_secs_f64(order.duration_s).unwrap_or_default(),
            maintenance: cell.context.settings.durations.maintenance_time,
            seen_ms: seen_ms.unwrap_or(wall_ms),
        };
        let names = order.machines.iter().cloned();
        let mut record = stored.clone();
        let tracker = WaveTracker::resume(terms, names, &mut record, clock.now(), wall_ms);
        log::info!(
            "event=wave_started wave={} vms={} begun={} accepted={} ordered={} cap={} duration_s={} \
             end_ms={:?} time_left={:.3?}",
            order.wave,
            order.machines.len(),
            record.begun.len(),
            record.accepted_ms.len(),
            record.ordered.len(),
            order.cap,
            order.duration_s,
            record.end_ms,
            tracker.time_left(clock.now())
        );
        Ok(Some(Self {
            tracker,
            stored: (record == stored).then_some(stored),
            record,
            interrupted_drains: 0,
        }))
    }

    /// Returns whether every VM was maintained or is no longer listed.
    pub(crate) fn is_complete(&self) -> bool {
        self.tracker.is_complete()
    }

    /// Returns the VMs that must not be moved.
    pub(crate) fn reserved_vms(&self) -> impl Iterator<Item = VmName> {
        let preparing = self.tracker.preparing();
        (self.tracker.active().into_iter().chain(preparing)).map(|(vm, _)| vm)
    }

    /// Reports the wave as completed.
    ///
    /// # Errors
    ///
    /// Any [`ErrorKind`]; the report can be repeated.
    pub(crate) async fn report_completed(&mut self, cell: &Arc<CellHandle>) -> TanagerResult<()> {
        let wave = self.tracker.wave;
        // The row must not say so before the operator has been told.
        let record = WaveRecord {
            completed: true,
            ..self.record.clone()
        };
        coordinator_records::report_completed(cell, wave, &record).await?;
        let now = cell.context.clock.now();
        log::info!(
            "event=wave_completed wave={wave} vms={} time_left={:.3?} late={} drain={:.3?} \
             outage={:.3?} interrupted_drains={}",
            self.record.begun.len() + self.record.accepted_ms.len(),
            self.tracker.time_left(now),
            self.tracker.time_left(now).is_zero(),
            self.tracker.times().drain(),
            self.tracker.times().outage(),
            self.tracker.interrupted_drains()
        );
        Ok(())
    }

    /// Applies the platform's list, and drains and orders the VMs that are next.
    pub(crate) async fn step(
        &mut self,
        cell: &Arc<CellHandle>,
        entries: &BTreeMap<VmName, &MachineEntry>,
        statuses: &BTreeMap<VmName, VmStatus>,
        loads: &BTreeMap<PoolName, PoolLoad>,
    ) {
        let clock = cell.context.clock;
        let shares: BTreeMap<PoolName, f64> = (loads.iter())
            .map(|(pool, load)| (pool.clone(), load.required_cores() / load.cores.max(1.0)))
            .collect();
        let listed: BTreeSet<VmName> = (entries.values())
            .filter(|entry| entry.state == MachineState::Maintenance)
            .map(|entry| entry.vm.clone())
            .collect();
        let tracker = &mut self.tracker;
        let wave = tracker.wave;
        tracker.set_in_maintenance(listed, clock.now());
        let chosen = tracker.advance(statuses, &shares, clock.now());
        if let Some(plan) = tracker.last_plan().filter(|_| !chosen.is_empty()) {
            let counts = tracker.counts();
            log::info!(
                "event=wave_plan wave={wave} chosen={} waiting={} draining={} down={} done={} \
                 time_left={:.3?} rounds={:.2} slack={:.3?} reserve={:.3?} max_in_progress={} \
                 drain={:.3?} outage={:.3?} shares={shares:?}",
                chosen.len(),
                counts.waiting,
                counts.draining,
                counts.down,
                counts.done,
                tracker.time_left(clock.now()),
                plan.rounds,
                plan.slack,
                plan.reserve,
                plan.max_in_progress,
                tracker.times().drain(),
                tracker.times().outage()
            );
        }
        for vm in chosen {
            log::info!("event=vm_emptying wave={wave} vm={vm}");
        }
        let interrupted = tracker.interrupted_drains() - self.interrupted_drains;
        self.interrupted_drains += interrupted;
        cell.context
            .metrics
            .wave_drains_interrupted
            .add(interrupted);
        // The orders that may be sent now are stored before, so that the next coordinator knows of
        // each VM that may go down.
        self.store(cell).await;
        let is_near_deadline = self.tracker.is_near_deadline(clock.now());
        let steps: Vec<_> = (self.tracker.active().into_iter())
            .chain(self.tracker.preparing())
            .filter_map(|(vm, step)| Some(((*entries.get(&vm)?).clone(), step)))
            .collect();
        let results: Vec<_> = stream::iter(steps)
            .map(|(entry, step)| {
                let cell = Arc::clone(cell);
                async move {
                    let result = maintain_vm(&cell, wave, &entry, step, is_near_deadline).await;
                    (entry.vm, step, result)
                }
            })
            .buffer_unordered(MAX_PARALLEL_VMS)
            .collect()
            .await;
        for (vm, step, result) in results {
            if let Some(drain) = result.drain {
                let now = clock.now();
                (self.tracker).record_drain(&vm, drain.is_empty, drain.has_long_running, now);
            }
            let Some(response) = result.response else {
                continue;
            };
            if matches!(step, MaintenanceStep::Draining(_)) {
                (self.tracker).set_step(&vm, MaintenanceStep::Ordered(clock.now()));
            }
            apply_maintenance_response(cell, &mut self.tracker, &vm, response);
        }
        self.store(cell).await;
    }

    /// Stores the progress if it has changed.
    async fn store(&mut self, cell: &Arc<CellHandle>) {
        let clock = cell.context.clock;
        self.record = self
            .tracker
            .record(&self.record, clock.now(), clock.wall_ms());
        if self.stored.as_ref() == Some(&self.record) {
            return;
        }
        // After a failure the orders are sent all the same: the next coordinator counts listed VMs
        // in maintenance as down, and the platform accepts repeated orders.
        let is_stored = write_wave(cell, self.tracker.wave, &self.record).await;
        self.stored = is_stored.then(|| self.record.clone());
    }
}

/// Drains a VM for its maintenance and, if it holds a place, orders it right after the response,
/// while the owner of its worker starts nothing there.
async fn maintain_vm(
    cell: &Arc<CellHandle>,
    wave: u64,
    entry: &MachineEntry,
    step: MaintenanceStep,
    is_near_deadline: bool,
) -> DrainResult {
    let mut result = DrainResult {
        drain: None,
        response: None,
    };
    let needs_drain = matches!(
        step,
        MaintenanceStep::Preparing(_) | MaintenanceStep::Draining(_) | MaintenanceStep::Ordered(_)
    );
    if !needs_drain || !may_order(cell).await {
        return result;
    }
    let is_ready = match step {
        MaintenanceStep::Preparing(_) => {
            result.drain = Some(drain_vm(cell, entry, is_near_deadline).await);
            false
        }
        MaintenanceStep::Draining(since) => {
            let drain = drain_vm(cell, entry, is_near_deadline).await;
            let waited = cell.context.clock.now().saturating_sub(since);
            let is_drain_overdue = is_near_deadline && waited > OWNER_TIMEOUT * 2;
            let is_ready = drain.is_empty || (is_drain_overdue && !drain.has_long_running);
            result.drain = Some(drain);
            is_ready
        }
        MaintenanceStep::Ordered(_) => {
            // Keep the worker drained until the order has a response.
            drain_vm(cell, entry, is_near_deadline).await;
            true
        }
        _ => false,
    };
    if is_ready {
        result.response = send_order(cell, &entry.vm, VmOrder::Maintenance { wave }).await;
    }
    result
}

fn apply_maintenance_response(
    cell: &CellHandle,
    tracker: &mut WaveTracker,
    vm: &str,
    response: TanagerResult<MachineResponse>,
) {
    let now = cell.context.clock.now();
    match response {
        Ok(MachineResponse::Accepted) => {
            cell.context.metrics.wave_vms_maintained.increment();
            if tracker.time_left(now).is_zero() {
                cell.context.metrics.wave_vms_late.increment();
            }
            tracker.set_step(vm, MaintenanceStep::Accepted(now));
        }
        Ok(MachineResponse::Fenced) => cell.close("the machine API knows a higher token"),
        Ok(MachineResponse::NotInWave | MachineResponse::Malformed) => {
            tracker.set_step(vm, MaintenanceStep::Gone);
        }
        // The VM may become available again, for example after a crash.
        Ok(MachineResponse::Busy | MachineResponse::Refused) => {
            tracker.set_step(vm, MaintenanceStep::Waiting);
        }
        Err(error) if error.kind == ErrorKind::NotSent => {
            tracker.set_step(vm, MaintenanceStep::Waiting);
        }
        // The order may have been carried out; repeating it reveals whether it was.
        Err(_) => {}
    }
}
