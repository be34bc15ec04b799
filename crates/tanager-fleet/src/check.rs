//! Validation of a proposed change against the fleet state.

use std::collections::BTreeSet;

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
use tanager_protocol::fleet::WaveStep;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::VmId;
use tanager_protocol::ids::is_valid_name;

use crate::configure::apply_patch;
use crate::configure::check_configure;
use crate::floor::check_floor;

/// Context of a proposal that is not part of the change log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CheckContext {
    /// Log version on which the change is based. The change conflicts if a later entry changed the
    /// same record; see [`record_version`].
    pub expected_version: Option<LogVersion>,
    /// VMs that the proposer believes to be unavailable.
    pub suspects: BTreeSet<VmId>,
}

/// Checks whether a change may be appended to the log that ends in `state`.
///
/// A change that passes with suspects also passes without them, so that every replica accepts an
/// entry that its proposer accepted.
///
/// # Errors
///
/// [`ErrorKind::Conflict`] if the record has changed since `expected_version` or the log has not
/// reached that version; [`ErrorKind::Invalid`] if the change is malformed; [`ErrorKind::NotFound`]
/// if it names an object that does not exist; [`ErrorKind::Refused`] if the change is not allowed
/// in this state.
pub fn check_change(
    state: &FleetState,
    change: &FleetChange,
    context: &CheckContext,
) -> TanagerResult<()> {
    check_expected_version(state, change, context.expected_version)?;
    let suspects = &context.suspects;
    match change {
        FleetChange::Configure { document } => check_configure(state, document, suspects),
        FleetChange::Amend { patch } => {
            check_configure(state, &apply_patch(state, patch)?, suspects)
        }
        FleetChange::JoinNode { node, record } => {
            if !is_valid_name(node) {
                return Err(invalid(node, "not a valid node name"));
            }
            match state.nodes.get(node) {
                Some(current) if current.incarnation == record.incarnation => {
                    Err(refused(node, "this incarnation is already registered"))
                }
                _ => Ok(()),
            }
        }
        FleetChange::LeaveNode { node, incarnation } => match state.nodes.get(node) {
            Some(current) if current.incarnation == *incarnation => Ok(()),
            Some(_) => Err(refused(node, "another incarnation is registered")),
            None => Err(not_found(node, "not a registered node")),
        },
        FleetChange::ReportVm { vm, health } => {
            if find_vm(state, vm)?.health == *health {
                return Err(refused(vm, "this health is already recorded"));
            }
            Ok(())
        }
        FleetChange::StartMove { vm, to } => {
            let record = find_active_vm(state, vm)?;
            if !state.document.pools.contains_key(to) {
                return Err(not_found(to, "not a configured pool"));
            }
            if record.pool == *to {
                return Err(refused(vm, format!("already in pool {to}")));
            }
            check_floor(state, vm, &record.pool, suspects)
        }
        FleetChange::CommitMove { vm } | FleetChange::AbortMove { vm } => {
            match find_vm(state, vm)?.activity {
                VmActivity::Moving { .. } => Ok(()),
                _ => Err(refused(vm, "not moving")),
            }
        }
        FleetChange::StartDrain { vm, .. } => {
            let record = find_active_vm(state, vm)?;
            check_floor(state, vm, &record.pool, suspects)
        }
        FleetChange::EndDrain { vm } => check_end_drain(state, vm),
        FleetChange::StartWave { wave, pool } => check_start_wave(state, wave, pool),
        FleetChange::PauseWave { wave, .. } => match find_wave(state, wave)?.status {
            WaveStatus::Running => Ok(()),
            _ => Err(refused(wave, "not running")),
        },
        FleetChange::ResumeWave { wave } => match find_wave(state, wave)?.status {
            WaveStatus::Paused { .. } => Ok(()),
            _ => Err(refused(wave, "not paused")),
        },
        FleetChange::StepWave { wave, vm, step } => {
            check_step_wave(state, wave, vm, *step, suspects)
        }
        FleetChange::AbortWave { wave } => match find_wave(state, wave)?.status {
            WaveStatus::Running | WaveStatus::Paused { .. } => Ok(()),
            _ => Err(refused(wave, "already finished or aborted")),
        },
        FleetChange::FinishWave { wave } => check_finish_wave(state, wave),
    }
}

/// Version of the newest entry that changed the record to which `change` applies: the
/// configuration, a VM, a wave or a node. 0 if there is no such record.
pub fn record_version(state: &FleetState, change: &FleetChange) -> LogVersion {
    match change {
        FleetChange::Configure { .. } | FleetChange::Amend { .. } => state.configured_version,
        FleetChange::JoinNode { node, .. } | FleetChange::LeaveNode { node, .. } => {
            state.nodes.get(node).map_or(0, |record| record.since)
        }
        FleetChange::ReportVm { vm, .. }
        | FleetChange::StartMove { vm, .. }
        | FleetChange::CommitMove { vm }
        | FleetChange::AbortMove { vm }
        | FleetChange::StartDrain { vm, .. }
        | FleetChange::EndDrain { vm } => state.vms.get(vm).map_or(0, |record| record.version),
        FleetChange::StartWave { wave, .. }
        | FleetChange::PauseWave { wave, .. }
        | FleetChange::ResumeWave { wave }
        | FleetChange::StepWave { wave, .. }
        | FleetChange::AbortWave { wave }
        | FleetChange::FinishWave { wave } => {
            state.waves.get(wave).map_or(0, |record| record.version)
        }
    }
}

fn check_expected_version(
    state: &FleetState,
    change: &FleetChange,
    expected_version: Option<LogVersion>,
) -> TanagerResult<()> {
    let current = record_version(state, change);
    match expected_version {
        Some(expected_version) if expected_version > state.version => Err(TanagerError::new(
            ErrorKind::Conflict,
            "check",
            change.kind(),
            format!(
                "based on version {expected_version}, but the newest is version {}",
                state.version
            ),
        )),
        Some(expected_version) if expected_version < current => {
            let author = match change {
                FleetChange::Configure { .. } | FleetChange::Amend { .. }
                    if !state.configured_author.is_empty() =>
                {
                    format!(" by {}", state.configured_author)
                }
                _ => String::new(),
            };
            Err(TanagerError::new(
                ErrorKind::Conflict,
                "check",
                change.kind(),
                format!(
                    "based on version {expected_version}, but changed in version {current}{author}"
                ),
            ))
        }
        _ => Ok(()),
    }
}

fn check_end_drain(state: &FleetState, vm: &str) -> TanagerResult<()> {
    let record = find_vm(state, vm)?;
    if !matches!(record.activity, VmActivity::Draining { .. }) {
        return Err(refused(vm, "not draining"));
    }
    let wave = unfinished_waves(state)
        .find(|(_, wave)| wave.running.iter().any(|(running, _)| running == vm));
    match wave {
        Some((wave, _)) => Err(refused(vm, format!("drained by wave {wave}"))),
        None => Ok(()),
    }
}

fn check_start_wave(state: &FleetState, wave: &str, pool: &str) -> TanagerResult<()> {
    if !is_valid_name(wave) {
        return Err(invalid(wave, "not a valid wave name"));
    }
    if state.waves.contains_key(wave) {
        return Err(refused(wave, "a wave with this name already exists"));
    }
    if !state.document.pools.contains_key(pool) {
        return Err(not_found(pool, "not a configured pool"));
    }
    if let Some((other, _)) = unfinished_waves(state).find(|(_, record)| record.pool == pool) {
        return Err(refused(
            wave,
            format!("wave {other} of pool {pool} is not finished"),
        ));
    }
    if !state.vms.values().any(|record| record.pool == pool) {
        return Err(refused(wave, format!("pool {pool} has no VM")));
    }
    Ok(())
}

fn check_step_wave(
    state: &FleetState,
    wave: &str,
    vm: &str,
    step: WaveStep,
    suspects: &BTreeSet<VmId>,
) -> TanagerResult<()> {
    let record = find_wave(state, wave)?;
    let current = record
        .running
        .iter()
        .find(|(running, _)| running == vm)
        .map(|(_, step)| *step);
    match (current, step) {
        (None, WaveStep::Drain) => check_wave_drain(state, wave, record, vm, suspects),
        (Some(WaveStep::Drain), WaveStep::Reboot) | (Some(WaveStep::Reboot), WaveStep::Return) => {
            Ok(())
        }
        (None, _) => Err(refused(vm, format!("not in maintenance by wave {wave}"))),
        (Some(current), _) => Err(refused(
            vm,
            format!("step {step:?} does not follow step {current:?}"),
        )),
    }
}

fn check_wave_drain(
    state: &FleetState,
    wave: &str,
    record: &WaveRecord,
    vm: &str,
    suspects: &BTreeSet<VmId>,
) -> TanagerResult<()> {
    if record.status != WaveStatus::Running {
        return Err(refused(wave, "not running"));
    }
    if !record.waiting.iter().any(|waiting| waiting == vm) {
        return Err(refused(vm, format!("not waiting in wave {wave}")));
    }
    let vm_record = find_active_vm(state, vm)?;
    if vm_record.pool != record.pool {
        return Err(refused(vm, format!("no longer in pool {}", record.pool)));
    }
    let domain = |vm: &str| {
        let config = state.document.vms.get(vm)?;
        Some((config.zone.as_str(), config.rack.as_str()))
    };
    // With one rack at a time, the loss of that rack affects only VMs that the wave has already
    // taken out of service.
    if record
        .running
        .iter()
        .any(|(running, _)| domain(running) != domain(vm))
    {
        return Err(refused(vm, "the wave is still maintaining another rack"));
    }
    check_floor(state, vm, &record.pool, suspects)
}

fn check_finish_wave(state: &FleetState, wave: &str) -> TanagerResult<()> {
    let record = find_wave(state, wave)?;
    if matches!(record.status, WaveStatus::Finished | WaveStatus::Aborted) {
        return Err(refused(wave, "already finished or aborted"));
    }
    if let Some((vm, _)) = record.running.first() {
        return Err(refused(wave, format!("vm {vm} is in maintenance")));
    }
    // A VM that no longer exists cannot be maintained and must not keep the wave from finishing.
    let unmaintained_vm = record.waiting.iter().find(|vm| {
        let health = state.vms.get(*vm).map(|record| record.health);
        health.is_some_and(|health| health != VmHealth::Gone)
    });
    match unmaintained_vm {
        Some(vm) => Err(refused(wave, format!("vm {vm} was not maintained"))),
        None => Ok(()),
    }
}

pub(crate) fn unfinished_waves(state: &FleetState) -> impl Iterator<Item = (&String, &WaveRecord)> {
    state.waves.iter().filter(|(_, record)| !record.is_over())
}

fn find_vm<'state>(state: &'state FleetState, vm: &str) -> TanagerResult<&'state VmRecord> {
    state
        .vms
        .get(vm)
        .ok_or_else(|| not_found(vm, "not a configured VM"))
}

fn find_active_vm<'state>(state: &'state FleetState, vm: &str) -> TanagerResult<&'state VmRecord> {
    let record = find_vm(state, vm)?;
    match &record.activity {
        VmActivity::Active => Ok(record),
        VmActivity::Moving { to, .. } => Err(refused(vm, format!("moving to pool {to}"))),
        VmActivity::Draining { reason, .. } => Err(refused(vm, format!("draining: {reason}"))),
    }
}

fn find_wave<'state>(state: &'state FleetState, wave: &str) -> TanagerResult<&'state WaveRecord> {
    state
        .waves
        .get(wave)
        .ok_or_else(|| not_found(wave, "wave does not exist"))
}

pub(crate) fn refused(peer: &str, message: impl std::fmt::Display) -> TanagerError {
    TanagerError::new(ErrorKind::Refused, "check", peer, message)
}

pub(crate) fn invalid(peer: &str, message: impl std::fmt::Display) -> TanagerError {
    TanagerError::new(ErrorKind::Invalid, "check", peer, message)
}

fn not_found(peer: &str, message: &str) -> TanagerError {
    TanagerError::new(ErrorKind::NotFound, "check", peer, message)
}
