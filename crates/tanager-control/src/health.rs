//! Decisions about the reported health of VMs: the reader of the platform's list, and the
//! reports of the homes of pools, which probe their VMs.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use tanager_platform::ListedState;
use tanager_platform::VmListing;
use tanager_protocol::change::FleetChange;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::NodeRecord;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::ids::VmId;

use crate::moves::FleetView;

/// A VM is reported down after it was suspected for this long without a break.
const DOWN_AFTER: Duration = Duration::from_secs(3);
/// A VM is reported up again after it was not suspected for this long. Longer than
/// [`DOWN_AFTER`], because a new home suspects nobody until it has probed.
const UP_AFTER: Duration = Duration::from_secs(10);

/// Follows the platform's list of VMs.
#[derive(Debug, Default)]
pub struct VmListReader {
    since: u64,
    listed: BTreeMap<VmId, ListedState>,
}

impl VmListReader {
    /// Version to pass to the next read of the list.
    pub fn since(&self) -> u64 {
        self.since
    }

    /// Records an answer of the platform.
    pub fn record(&mut self, listing: VmListing) {
        if listing.version < self.since {
            // The list started anew; the next read takes the whole of it.
            *self = Self::default();
            return;
        }
        self.since = listing.version;
        for listed in listing.vms {
            self.listed.insert(listed.vm, listed.state);
        }
    }

    /// Changes that bring the state in line with the list.
    ///
    /// `is_silent` tells whether a node was not in contact recently: the list lags, and a node
    /// that talks exists whatever the list says about an earlier VM of its name.
    pub fn plan(
        &self,
        state: &FleetState,
        is_silent: &dyn Fn(&str, &NodeRecord) -> bool,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for (vm, listed) in &self.listed {
            if let Some(record) = state.vms.get(vm) {
                let health = match listed {
                    // Being listed does not show that the VM responds.
                    ListedState::Live if record.health == VmHealth::Down => VmHealth::Down,
                    ListedState::Live => VmHealth::Up,
                    ListedState::Leaving => VmHealth::Leaving,
                    ListedState::Gone => VmHealth::Gone,
                };
                if health != record.health {
                    let vm = vm.clone();
                    changes.push(FleetChange::ReportVm { vm, health });
                }
            }
            let node = state.nodes.get(vm);
            if let Some(record) =
                node.filter(|record| *listed == ListedState::Gone && is_silent(vm, record))
            {
                changes.push(FleetChange::LeaveNode {
                    node: vm.clone(),
                    incarnation: record.incarnation,
                });
            }
        }
        changes
    }
}

/// Turns the suspicions of this node's probes into reports about the pools it is home to, so
/// that every proposer counts a failed VM against the floor.
#[derive(Debug, Default)]
pub struct HealthReporter {
    /// Whether each VM of an own pool is suspected, and since when.
    observed: BTreeMap<VmId, (bool, Instant)>,
}

impl HealthReporter {
    /// Decides which VMs to report.
    pub fn plan(&mut self, view: &FleetView<'_>) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let mut previous = std::mem::take(&mut self.observed);
        let mut homes = BTreeMap::new();
        for (vm, record) in &view.state.vms {
            let pool = record.pool.as_str();
            if !*homes.entry(pool).or_insert_with(|| (view.is_home)(pool)) {
                continue;
            }
            let suspected = view.suspects.contains(vm);
            let observed = previous.remove(vm).filter(|(known, _)| *known == suspected);
            let (_, since) = observed.unwrap_or((suspected, view.now));
            self.observed.insert(vm.clone(), (suspected, since));
            let lasted = view.now.saturating_duration_since(since);
            // A VM out of service does not count as available; its reboot is not a failure.
            let active = record.activity == VmActivity::Active;
            let health = match (record.health, suspected) {
                (VmHealth::Up, true) if active && lasted >= DOWN_AFTER => VmHealth::Down,
                (VmHealth::Down, false) if lasted >= UP_AFTER => VmHealth::Up,
                _ => continue,
            };
            let vm = vm.clone();
            changes.push(FleetChange::ReportVm { vm, health });
        }
        changes
    }
}
