//! Application of the change log to the fleet state.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::config::ConfigDocument;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::NodeRecord;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::fleet::WaveRecord;
use tanager_protocol::fleet::WaveStatus;
use tanager_protocol::fleet::WaveStep;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::VmId;

use crate::check::CheckContext;
use crate::check::check_change;
use crate::configure::apply_patch;
use crate::configure::check_configure;

/// Maximum number of finished and aborted waves in the state, which bounds its size. Older waves
/// are only in the log.
pub const MAX_FINISHED_WAVES: usize = 20;

/// Applies the next entry of the log.
///
/// An entry whose change is not allowed in `state` only advances the version. Every replica makes
/// the same decision, because it depends only on the entry and the state.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] when the entry's version does not follow the state's; the state is then
/// unchanged.
pub fn apply_entry(state: &mut FleetState, entry: &ChangeEntry) -> TanagerResult<()> {
    if state.version.checked_add(1) != Some(entry.version) {
        return Err(TanagerError::new(
            ErrorKind::Invalid,
            "apply",
            entry.author.clone(),
            format!(
                "entry {} does not follow version {}",
                entry.version, state.version
            ),
        ));
    }
    let checked = match &entry.change {
        // The amended document is large, so it is computed once for the check and the application.
        FleetChange::Amend { patch } => apply_patch(state, patch).and_then(|document| {
            check_configure(state, &document, &BTreeSet::new())?;
            Ok(Some(document))
        }),
        change => check_change(state, change, &CheckContext::default()).map(|()| None),
    };
    state.version = entry.version;
    match checked {
        Ok(Some(document)) => apply_configure(state, document, entry),
        Ok(None) => apply_change(state, entry),
        Err(_) => {}
    }
    Ok(())
}

fn apply_change(state: &mut FleetState, entry: &ChangeEntry) {
    let version = entry.version;
    match &entry.change {
        FleetChange::Configure { document } => {
            apply_configure(state, document.clone(), entry);
        }
        // `apply_entry` applies the amended document.
        FleetChange::Amend { .. } => {}
        FleetChange::JoinNode { node, record } => {
            let record = NodeRecord {
                since: version,
                ..record.clone()
            };
            state.nodes.insert(node.clone(), record);
        }
        FleetChange::LeaveNode { node, .. } => {
            state.nodes.remove(node);
        }
        FleetChange::ReportVm { vm, health } => {
            update_vm(state, vm, version, |record| record.health = *health);
        }
        FleetChange::StartMove { vm, to } => set_activity(
            state,
            vm,
            version,
            VmActivity::Moving {
                to: to.clone(),
                since: version,
            },
        ),
        FleetChange::CommitMove { vm } => commit_move(state, vm, version),
        FleetChange::AbortMove { vm } | FleetChange::EndDrain { vm } => {
            set_activity(state, vm, version, VmActivity::Active);
        }
        FleetChange::StartDrain { vm, reason } => {
            start_drain(state, vm, version, reason.clone());
        }
        FleetChange::StartWave { wave, pool } => {
            let record = new_wave(state, pool, version);
            state.waves.insert(wave.clone(), record);
        }
        FleetChange::PauseWave { wave, reason } => {
            let reason = reason.clone();
            set_status(state, wave, version, WaveStatus::Paused { reason });
        }
        FleetChange::ResumeWave { wave } => {
            set_status(state, wave, version, WaveStatus::Running);
        }
        FleetChange::StepWave { wave, vm, step } => step_wave(state, wave, vm, *step, version),
        FleetChange::AbortWave { wave } => abort_wave(state, wave, version),
        FleetChange::FinishWave { wave } => {
            set_status(state, wave, version, WaveStatus::Finished);
            remove_old_waves(state);
        }
    }
}

fn apply_configure(state: &mut FleetState, document: ConfigDocument, entry: &ChangeEntry) {
    let version = entry.version;
    let mut previous = std::mem::take(&mut state.vms);
    let vms: BTreeMap<VmId, VmRecord> = document
        .vms
        .iter()
        .map(|(vm, config)| {
            let record = previous.remove(vm).unwrap_or_else(|| VmRecord {
                pool: config.pool.clone(),
                activity: VmActivity::Active,
                health: VmHealth::Up,
                version,
            });
            (vm.clone(), record)
        })
        .collect();
    state.vms = vms;
    state.document = document;
    state.configured_version = version;
    state.configured_author.clone_from(&entry.author);
}

fn update_vm(
    state: &mut FleetState,
    vm: &str,
    version: LogVersion,
    change: impl FnOnce(&mut VmRecord),
) {
    if let Some(record) = state.vms.get_mut(vm) {
        change(record);
        record.version = version;
    }
}

fn set_activity(state: &mut FleetState, vm: &str, version: LogVersion, activity: VmActivity) {
    update_vm(state, vm, version, |record| record.activity = activity);
}

fn start_drain(state: &mut FleetState, vm: &str, version: LogVersion, reason: String) {
    let since = version;
    set_activity(state, vm, version, VmActivity::Draining { reason, since });
}

fn commit_move(state: &mut FleetState, vm: &str, version: LogVersion) {
    update_vm(state, vm, version, |record| {
        let activity = std::mem::replace(&mut record.activity, VmActivity::Active);
        if let VmActivity::Moving { to, .. } = activity {
            record.pool = to;
        }
    });
    // A wave maintains only the VMs of its pool, which this VM has left.
    for wave in state.waves.values_mut() {
        wave.waiting.retain(|waiting| waiting != vm);
    }
}

fn new_wave(state: &FleetState, pool: &str, version: LogVersion) -> WaveRecord {
    let mut waiting: Vec<VmId> = state
        .vms
        .iter()
        .filter(|(_, record)| record.pool == pool)
        .map(|(vm, _)| vm.clone())
        .collect();
    waiting.sort_by_cached_key(|vm| {
        let config = state.document.vms.get(vm);
        config.map(|config| (config.zone.clone(), config.rack.clone()))
    });
    WaveRecord {
        pool: pool.to_owned(),
        status: WaveStatus::Running,
        waiting,
        running: Vec::new(),
        finished: Vec::new(),
        version,
    }
}

fn set_status(state: &mut FleetState, wave: &str, version: LogVersion, status: WaveStatus) {
    if let Some(record) = state.waves.get_mut(wave) {
        record.status = status;
        record.version = version;
    }
}

fn step_wave(state: &mut FleetState, wave: &str, vm: &str, step: WaveStep, version: LogVersion) {
    let Some(record) = state.waves.get_mut(wave) else {
        return;
    };
    record.version = version;
    match step {
        WaveStep::Drain => {
            record.waiting.retain(|waiting| waiting != vm);
            record.running.push((vm.to_owned(), step));
            start_drain(state, vm, version, format!("wave {wave}"));
        }
        WaveStep::Reboot => {
            for (running, current) in &mut record.running {
                if running == vm {
                    *current = step;
                }
            }
        }
        WaveStep::Return => {
            record.running.retain(|(running, _)| running != vm);
            record.finished.push(vm.to_owned());
            set_activity(state, vm, version, VmActivity::Active);
            remove_old_waves(state);
        }
    }
}

/// Aborts a wave: draining VMs return to service and count as not maintained; VMs that are being
/// rebooted stay out of service until their return.
fn abort_wave(state: &mut FleetState, wave: &str, version: LogVersion) {
    let Some(record) = state.waves.get_mut(wave) else {
        return;
    };
    record.status = WaveStatus::Aborted;
    record.version = version;
    let running = std::mem::take(&mut record.running);
    let (draining, rebooting): (Vec<_>, Vec<_>) = running
        .into_iter()
        .partition(|(_, step)| *step == WaveStep::Drain);
    record.running = rebooting;
    let draining: Vec<VmId> = draining.into_iter().map(|(vm, _)| vm).collect();
    record.waiting.splice(0..0, draining.iter().cloned());
    for vm in &draining {
        set_activity(state, vm, version, VmActivity::Active);
    }
    remove_old_waves(state);
}

fn remove_old_waves(state: &mut FleetState) {
    let mut finished: Vec<(LogVersion, String)> = state
        .waves
        .iter()
        .filter(|(_, record)| record.is_over())
        .map(|(wave, record)| (record.version, wave.clone()))
        .collect();
    finished.sort();
    let excess = finished.len().saturating_sub(MAX_FINISHED_WAVES);
    for (_, wave) in finished.drain(..excess) {
        state.waves.remove(&wave);
    }
}
