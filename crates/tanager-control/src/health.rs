//! Health reports of VMs, from the platform's list of VMs and from the probes of the pools' homes.

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

/// A VM is reported down after it was suspected continuously for this time.
const DOWN_REPORT_DELAY: Duration = Duration::from_secs(3);
/// A VM is reported up again after it was not suspected for this time. Longer than
/// [`DOWN_REPORT_DELAY`], because a new home suspects no VM until it has probed.
const UP_REPORT_DELAY: Duration = Duration::from_secs(10);

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

    /// Records a response of the platform.
    pub fn record(&mut self, listing: VmListing) {
        if listing.version < self.since {
            // The versions of the list were reset; the next read returns the whole list.
            *self = Self::default();
            return;
        }
        self.since = listing.version;
        for listed in listing.vms {
            self.listed.insert(listed.vm, listed.state);
        }
    }

    /// Returns the changes that make the state agree with the list.
    ///
    /// `is_unresponsive` returns whether a node had no recent contact. The list lags, and it may
    /// show an earlier VM of the same name as gone while the node exists.
    pub fn plan(
        &self,
        state: &FleetState,
        is_unresponsive: &dyn Fn(&str, &NodeRecord) -> bool,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        for (vm, listed) in &self.listed {
            if let Some(record) = state.vms.get(vm) {
                let health = match listed {
                    // The platform lists a VM as live even if its endpoint does not respond.
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
                node.filter(|record| *listed == ListedState::Gone && is_unresponsive(vm, record))
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

/// Reports VMs that this node's probes suspect, for the pools of which this node is the home, so
/// that every proposer counts a failed VM against the floor.
#[derive(Debug, Default)]
pub struct HealthReporter {
    /// For each VM of these pools: whether it is suspected, and since when.
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
            let duration = view.now.saturating_duration_since(since);
            // A VM out of service does not count as available; its reboot is not a failure.
            let active = record.activity == VmActivity::Active;
            let health = match (record.health, suspected) {
                (VmHealth::Up, true) if active && duration >= DOWN_REPORT_DELAY => VmHealth::Down,
                (VmHealth::Down, false) if duration >= UP_REPORT_DELAY => VmHealth::Up,
                _ => continue,
            };
            let vm = vm.clone();
            changes.push(FleetChange::ReportVm { vm, health });
        }
        changes
    }
}
