//! Decisions of the coordinators of maintenance waves.
//!
//! The coordinator of a wave is the home of its pool, because the home probes the pool's VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use tanager_fleet::CheckContext;
use tanager_fleet::check_change;
use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::WaveRecord;
use tanager_protocol::fleet::WaveStatus;
use tanager_protocol::fleet::WaveStep;
use tanager_protocol::ids::VmId;
use tanager_protocol::ids::WaveId;

use crate::moves::FleetView;

/// Pause between two reboot requests for one VM while the platform does not accept them.
const REBOOT_RETRY: Duration = Duration::from_secs(2);

/// Next action of the coordinator of a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WaveAction {
    /// Propose a change.
    Propose(FleetChange),
    /// Ask the platform to reboot a VM, and report the result to the coordinator.
    Reboot(VmId),
}

/// Result of a reboot request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RebootResult {
    /// The platform accepted the request.
    Accepted,
    /// The response was lost; the platform may have accepted the request.
    Unknown,
    /// The platform did not accept the request.
    Failed,
}

/// Coordinates the waves of the pools of which this node is the home.
///
/// The durable state of a wave is in the log. The next coordinator observes everything else again,
/// and may therefore request a second reboot of a VM that receives no work.
#[derive(Debug)]
pub struct WaveCoordinator {
    grace_period: Duration,
    timeout: Duration,
    known_failures: BTreeMap<WaveId, BTreeSet<VmId>>,
    reboots: BTreeMap<VmId, RebootProgress>,
}

#[derive(Clone, Copy, Debug)]
struct RebootProgress {
    started_at: Instant,
    /// Time and result of the newest reboot request.
    last_request: Option<(Instant, RebootResult)>,
    observed_down: bool,
    /// Whether the wave was paused because the VM did not come up in time.
    overdue: bool,
}

impl WaveCoordinator {
    /// Creates a coordinator that counts a VM never observed to be down as rebooted after
    /// `grace_period`, and pauses the wave when a VM is not up again after `timeout`.
    pub fn new(grace_period: Duration, timeout: Duration) -> Self {
        Self {
            grace_period,
            timeout,
            known_failures: BTreeMap::new(),
            reboots: BTreeMap::new(),
        }
    }

    /// Decides on the next actions. At most one VM of each wave starts per call, so that the floor
    /// is checked against a state that contains the start of the previous one.
    pub fn plan(&mut self, view: &FleetView<'_>) -> Vec<WaveAction> {
        let mut actions = Vec::new();
        let mut rebooting = BTreeSet::new();
        let mut coordinated = BTreeSet::new();
        for (wave, record) in &view.state.waves {
            if record.is_over() || !(view.is_home)(&record.pool) {
                continue;
            }
            coordinated.insert(wave);
            for (vm, step) in &record.running {
                if *step == WaveStep::Reboot {
                    rebooting.insert(vm);
                }
                let action = match step {
                    WaveStep::Drain if (view.is_drained)(vm) => {
                        Some(WaveAction::Propose(step_change(wave, vm, WaveStep::Reboot)))
                    }
                    WaveStep::Reboot => self.plan_reboot(view, wave, record, vm),
                    _ => None,
                };
                actions.extend(action);
            }
            if let Some(reason) = self.find_new_failure(view, wave, record) {
                actions.push(pause(wave, reason));
            } else if let Some(change) = next_change(view, wave, record) {
                actions.push(WaveAction::Propose(change));
            }
        }
        self.reboots.retain(|vm, _| rebooting.contains(vm));
        self.known_failures
            .retain(|wave, _| coordinated.contains(wave));
        actions
    }

    /// Records the result of a [`WaveAction::Reboot`].
    pub fn record_reboot(&mut self, vm: &str, result: RebootResult, now: Instant) {
        if let Some(progress) = self.reboots.get_mut(vm) {
            progress.last_request = Some((now, result));
        }
    }

    fn plan_reboot(
        &mut self,
        view: &FleetView<'_>,
        wave: &str,
        record: &WaveRecord,
        vm: &str,
    ) -> Option<WaveAction> {
        let now = view.now;
        let health = view.state.vms.get(vm)?.health;
        let progress = self
            .reboots
            .entry(vm.to_owned())
            .or_insert_with(|| RebootProgress {
                started_at: now,
                last_request: None,
                observed_down: false,
                overdue: false,
            });
        let return_action = WaveAction::Propose(step_change(wave, vm, WaveStep::Return));
        if health == VmHealth::Gone {
            // The VM will not come up again; it must not keep the wave from finishing.
            return Some(return_action);
        }
        let is_up = health == VmHealth::Up && !view.suspects.contains(vm);
        if record.status == WaveStatus::Aborted {
            // No further reboot is requested, but an earlier one may still be in progress.
            progress.observed_down |= !is_up;
            let since = progress
                .last_request
                .map_or(progress.started_at, |(requested_at, _)| requested_at);
            let grace_elapsed = now.saturating_duration_since(since) >= self.grace_period;
            return (is_up && (progress.observed_down || grace_elapsed)).then_some(return_action);
        }
        if !progress.overdue
            && record.status == WaveStatus::Running
            && now.saturating_duration_since(progress.started_at) >= self.timeout
        {
            progress.overdue = true;
            return Some(pause(wave, format!("vm {vm} is not back after its reboot")));
        }
        let Some((requested_at, result)) = progress.last_request else {
            return Some(WaveAction::Reboot(vm.to_owned()));
        };
        let waited = now.saturating_duration_since(requested_at);
        if result == RebootResult::Failed {
            return (waited >= REBOOT_RETRY).then(|| WaveAction::Reboot(vm.to_owned()));
        }
        progress.observed_down |= !is_up;
        if is_up && progress.observed_down {
            return Some(return_action);
        }
        if is_up && waited >= self.grace_period {
            // A reboot whose result is unknown is repeated only after the grace period: a second
            // reboot that the platform runs late would hit the VM after its return to service.
            return match result {
                RebootResult::Accepted => Some(return_action),
                _ => Some(WaveAction::Reboot(vm.to_owned())),
            };
        }
        None
    }

    /// Returns the reason to pause when a VM of the pool has failed since the previous call.
    fn find_new_failure(
        &mut self,
        view: &FleetView<'_>,
        wave: &str,
        record: &WaveRecord,
    ) -> Option<String> {
        let failed: BTreeSet<VmId> = view
            .state
            .vms
            .iter()
            .filter(|(vm, vm_record)| {
                let rebooting = record
                    .running
                    .iter()
                    .any(|(running, step)| running == *vm && *step == WaveStep::Reboot);
                let down = vm_record.health == VmHealth::Down || view.suspects.contains(*vm);
                vm_record.pool == record.pool
                    && (vm_record.health == VmHealth::Gone || down && !rebooting)
            })
            .map(|(vm, _)| vm.clone())
            .collect();
        // On the first call a failure counts as new if it was reported after the wave's newest
        // step.
        let previous = self.known_failures.remove(wave).unwrap_or_else(|| {
            let is_old = |vm: &&VmId| {
                let vm_record = view.state.vms.get(*vm);
                vm_record.is_none_or(|vm_record| {
                    vm_record.health == VmHealth::Up || vm_record.version < record.version
                })
            };
            failed.iter().filter(is_old).cloned().collect()
        });
        let newly_failed = failed.difference(&previous).next().cloned();
        self.known_failures.insert(wave.to_owned(), failed);
        match record.status {
            WaveStatus::Running => newly_failed.map(|vm| format!("vm {vm} failed")),
            _ => None,
        }
    }
}

/// Returns the drain of the next VM, or the end of the wave.
fn next_change(view: &FleetView<'_>, wave: &str, record: &WaveRecord) -> Option<FleetChange> {
    let context = CheckContext {
        expected_version: None,
        suspects: view.suspects.clone(),
    };
    let is_allowed = |change: &FleetChange| check_change(view.state, change, &context).is_ok();
    let exists = |vm: &&VmId| {
        let record = view.state.vms.get(*vm);
        record.is_some_and(|record| record.health != VmHealth::Gone)
    };
    let mut drains = record
        .waiting
        .iter()
        .filter(exists)
        .map(|vm| step_change(wave, vm, WaveStep::Drain));
    let finish = FleetChange::FinishWave {
        wave: wave.to_owned(),
    };
    drains
        .find(is_allowed)
        .or_else(|| Some(finish).filter(is_allowed))
}

fn step_change(wave: &str, vm: &str, step: WaveStep) -> FleetChange {
    FleetChange::StepWave {
        wave: wave.to_owned(),
        vm: vm.to_owned(),
        step,
    }
}

fn pause(wave: &str, reason: String) -> WaveAction {
    WaveAction::Propose(FleetChange::PauseWave {
        wave: wave.to_owned(),
        reason,
    })
}
