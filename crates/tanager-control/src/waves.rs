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

/// Pause between two reboot requests of one VM while the platform does not accept them.
const REBOOT_RETRY: Duration = Duration::from_secs(2);

/// What the coordinator of a wave does next.
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

/// Coordinates the waves of which this node is the home.
///
/// Whatever must survive this node is in the log. The rest is observed again by the next
/// coordinator, which may ask for a second reboot of a VM that receives no work.
#[derive(Debug)]
pub struct WaveCoordinator {
    settle: Duration,
    timeout: Duration,
    failures: BTreeMap<WaveId, BTreeSet<VmId>>,
    reboots: BTreeMap<VmId, RebootProgress>,
}

#[derive(Clone, Copy, Debug)]
struct RebootProgress {
    started: Instant,
    asked: Option<(Instant, RebootResult)>,
    seen_down: bool,
    overdue: bool,
}

impl WaveCoordinator {
    /// Creates a coordinator that counts a VM never seen to be down as back after `settle`, and
    /// pauses the wave when a VM is not back after `timeout`.
    pub fn new(settle: Duration, timeout: Duration) -> Self {
        Self {
            settle,
            timeout,
            failures: BTreeMap::new(),
            reboots: BTreeMap::new(),
        }
    }

    /// Decides the next actions. At most one VM of each wave starts per call, so that the floor
    /// is checked against the state in which the previous one has started.
    pub fn plan(&mut self, view: &FleetView<'_>) -> Vec<WaveAction> {
        let mut actions = Vec::new();
        let mut rebooting = BTreeSet::new();
        let mut homes = BTreeSet::new();
        for (wave, record) in &view.state.waves {
            if record.is_over() || !(view.is_home)(&record.pool) {
                continue;
            }
            homes.insert(wave);
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
            if let Some(reason) = self.new_failure(view, wave, record) {
                actions.push(pause(wave, reason));
            } else if let Some(change) = next_change(view, wave, record) {
                actions.push(WaveAction::Propose(change));
            }
        }
        self.reboots.retain(|vm, _| rebooting.contains(vm));
        self.failures.retain(|wave, _| homes.contains(wave));
        actions
    }

    /// Records the result of a [`WaveAction::Reboot`].
    pub fn record_reboot(&mut self, vm: &str, result: RebootResult, now: Instant) {
        if let Some(progress) = self.reboots.get_mut(vm) {
            progress.asked = Some((now, result));
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
                started: now,
                asked: None,
                seen_down: false,
                overdue: false,
            });
        let returned = WaveAction::Propose(step_change(wave, vm, WaveStep::Return));
        if health == VmHealth::Gone {
            // The VM will not come back; it must not hold the wave open.
            return Some(returned);
        }
        let up = health == VmHealth::Up && !view.suspects.contains(vm);
        if record.status == WaveStatus::Aborted {
            // No reboot is asked for any more, but an earlier one may still be under way.
            progress.seen_down |= !up;
            let since = progress.asked.map_or(progress.started, |(asked, _)| asked);
            let settled = now.saturating_duration_since(since) >= self.settle;
            return (up && (progress.seen_down || settled)).then_some(returned);
        }
        if !progress.overdue
            && record.status == WaveStatus::Running
            && now.saturating_duration_since(progress.started) >= self.timeout
        {
            progress.overdue = true;
            return Some(pause(wave, format!("vm {vm} is not back after its reboot")));
        }
        let Some((asked, result)) = progress.asked else {
            return Some(WaveAction::Reboot(vm.to_owned()));
        };
        let waited = now.saturating_duration_since(asked);
        if result == RebootResult::Failed {
            return (waited >= REBOOT_RETRY).then(|| WaveAction::Reboot(vm.to_owned()));
        }
        progress.seen_down |= !up;
        if up && progress.seen_down {
            return Some(returned);
        }
        if up && waited >= self.settle {
            // Repeated only after the settling time: a second reboot that the platform runs late
            // would hit the VM when it serves again.
            return match result {
                RebootResult::Accepted => Some(returned),
                _ => Some(WaveAction::Reboot(vm.to_owned())),
            };
        }
        None
    }

    /// Returns the reason to pause when a VM of the pool failed since the previous call.
    fn new_failure(
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
        // On first sight a failure counts as new if it was reported after the wave's newest step.
        let known = self.failures.remove(wave).unwrap_or_else(|| {
            let is_old = |vm: &&VmId| {
                let vm_record = view.state.vms.get(*vm);
                vm_record.is_none_or(|vm_record| {
                    vm_record.health == VmHealth::Up || vm_record.version < record.version
                })
            };
            failed.iter().filter(is_old).cloned().collect()
        });
        let fresh = failed.difference(&known).next().cloned();
        self.failures.insert(wave.to_owned(), failed);
        match record.status {
            WaveStatus::Running => fresh.map(|vm| format!("vm {vm} failed")),
            _ => None,
        }
    }
}

/// The next VM to drain, or the end of the wave.
fn next_change(view: &FleetView<'_>, wave: &str, record: &WaveRecord) -> Option<FleetChange> {
    let context = CheckContext {
        expected_version: None,
        suspects: view.suspects.clone(),
    };
    let is_legal = |change: &FleetChange| check_change(view.state, change, &context).is_ok();
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
        .find(is_legal)
        .or_else(|| Some(finish).filter(is_legal))
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
