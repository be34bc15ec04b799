//! VM list of the platform stand-in, which shows each change after a lag.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tanager_platform::ListedState;
use tanager_platform::ListedVm;
use tanager_platform::VmListing;
use tanager_protocol::ids::VmId;

/// Changes of VM states in order. The version of the list is the number of visible changes.
#[derive(Debug)]
pub struct VmHistory {
    lag: Duration,
    frozen_at: Option<Instant>,
    changes: Vec<VmChange>,
    controls: BTreeMap<VmId, SocketAddr>,
    reboots: Vec<VmId>,
}

#[derive(Debug)]
struct VmChange {
    changed_at: Instant,
    vm: VmId,
    state: ListedState,
}

impl VmHistory {
    /// Creates a history without VMs.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            frozen_at: None,
            changes: Vec::new(),
            controls: BTreeMap::new(),
            reboots: Vec::new(),
        }
    }

    /// Sets the time after which a change becomes visible, also for earlier changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Suspends or resumes the updates of the list.
    pub fn set_frozen(&mut self, frozen: bool, now: Instant) {
        self.frozen_at = frozen.then(|| self.frozen_at.unwrap_or(now));
    }

    /// Sets the actual state of a VM.
    pub fn set_state(&mut self, vm: &str, state: ListedState, now: Instant) {
        self.changes.push(VmChange {
            changed_at: now,
            vm: vm.to_owned(),
            state,
        });
    }

    /// Registers the control address of the endpoint stand-in for a VM.
    pub fn set_control(&mut self, vm: &str, control: SocketAddr) {
        self.controls.insert(vm.to_owned(), control);
    }

    /// Records a reboot and returns the registered control address.
    pub fn reboot(&mut self, vm: &str) -> Option<SocketAddr> {
        self.reboots.push(vm.to_owned());
        self.controls.get(vm).copied()
    }

    /// Rebooted VMs, in order of their reboots.
    pub fn reboots(&self) -> &[VmId] {
        &self.reboots
    }

    /// Whether a state of the VM was ever set.
    pub fn contains(&self, vm: &str) -> bool {
        self.changes.iter().any(|change| change.vm == vm)
    }

    /// Lists the VMs with visible changes after version `since`.
    pub fn list(&self, since: u64, now: Instant) -> VmListing {
        let list_time = self.frozen_at.unwrap_or(now);
        let changes = self.changes.iter();
        let visible_count = changes
            .take_while(|change| list_time.saturating_duration_since(change.changed_at) >= self.lag)
            .take_while(|change| change.changed_at <= list_time)
            .count();
        let start = usize::try_from(since)
            .unwrap_or(usize::MAX)
            .min(visible_count);
        let latest_states: BTreeMap<&VmId, ListedState> = self.changes[start..visible_count]
            .iter()
            .map(|change| (&change.vm, change.state))
            .collect();
        let vms = latest_states.into_iter().map(|(vm, state)| ListedVm {
            vm: vm.clone(),
            state,
        });
        VmListing {
            version: visible_count as u64,
            vms: vms.collect(),
        }
    }
}
