//! Applies changes to the fleet state; covers only the changes that operator requests need.

use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::fleet::WaveRecord;
use tanager_protocol::fleet::WaveStatus;

/// Returns the version of the newest entry that changed the object of `change`.
pub fn object_version(state: &FleetState, change: &FleetChange) -> u64 {
    match change {
        FleetChange::Configure { .. } => state.configured_version,
        FleetChange::StartMove { vm, .. }
        | FleetChange::StartDrain { vm, .. }
        | FleetChange::EndDrain { vm } => state.vms[vm].version,
        FleetChange::PauseWave { wave, .. }
        | FleetChange::ResumeWave { wave }
        | FleetChange::AbortWave { wave } => state.waves[wave].version,
        _ => 0,
    }
}

/// Applies `change` to the state as the entry with number `version`.
pub fn apply(
    state: &mut FleetState,
    version: u64,
    author: &str,
    change: &FleetChange,
) -> TanagerResult<()> {
    let refused = |message: &str| TanagerError::new(ErrorKind::Refused, "validate", "", message);
    state.version = version;
    let set_vm = |state: &mut FleetState, vm: &str, activity: VmActivity| {
        let record = state.vms.get_mut(vm).unwrap();
        record.activity = activity;
        record.version = version;
    };
    match change {
        FleetChange::Configure { document } => {
            let records = document.vms.iter().map(|(vm, config)| {
                let new = VmRecord {
                    pool: config.pool.clone(),
                    activity: VmActivity::Active,
                    health: VmHealth::Up,
                    version,
                };
                (vm.clone(), state.vms.get(vm).cloned().unwrap_or(new))
            });
            state.vms = records.collect();
            state.document = document.clone();
            state.configured_version = version;
            state.configured_author = author.to_owned();
        }
        FleetChange::StartMove { vm, to } => {
            if state.vms[vm].activity != VmActivity::Active {
                return Err(refused("the VM is not active"));
            }
            let (to, since) = (to.clone(), version);
            set_vm(state, vm, VmActivity::Moving { to, since });
        }
        FleetChange::CommitMove { vm } => {
            if let VmActivity::Moving { to, .. } = state.vms[vm].activity.clone() {
                state.vms.get_mut(vm).unwrap().pool = to;
            }
            set_vm(state, vm, VmActivity::Active);
        }
        FleetChange::StartDrain { vm, reason } => {
            let (reason, since) = (reason.clone(), version);
            set_vm(state, vm, VmActivity::Draining { reason, since });
        }
        FleetChange::EndDrain { vm } => set_vm(state, vm, VmActivity::Active),
        FleetChange::StartWave { wave, pool } => {
            if state.waves.values().any(|wave| wave.pool == *pool) {
                return Err(refused("a wave of this pool is running"));
            }
            let waiting = state.vms.iter().filter(|(_, record)| record.pool == *pool);
            let record = WaveRecord {
                pool: pool.clone(),
                status: WaveStatus::Running,
                waiting: waiting.map(|(vm, _)| vm.clone()).collect(),
                running: Vec::new(),
                finished: Vec::new(),
                version,
            };
            state.waves.insert(wave.clone(), record);
        }
        FleetChange::PauseWave { wave, reason } => {
            let reason = reason.clone();
            let record = state.waves.get_mut(wave).unwrap();
            record.status = WaveStatus::Paused { reason };
            record.version = version;
        }
        FleetChange::ResumeWave { wave } => {
            state.waves.get_mut(wave).unwrap().status = WaveStatus::Running;
        }
        FleetChange::AbortWave { wave } => {
            let record = state.waves.get_mut(wave).unwrap();
            record.status = WaveStatus::Aborted;
            record.version = version;
        }
        FleetChange::FinishWave { wave } => {
            let record = state.waves.get_mut(wave).unwrap();
            record.status = WaveStatus::Finished;
            record.finished = std::mem::take(&mut record.waiting);
        }
        FleetChange::JoinNode { node, record } => {
            state.nodes.insert(node.clone(), record.clone());
        }
        _ => return Err(refused("not supported by the fake fleet")),
    }
    Ok(())
}
