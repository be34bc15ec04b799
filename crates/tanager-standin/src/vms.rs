//! The VM list of the platform stand-in, which shows each change after a lag.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use tanager_platform::ListedState;
use tanager_platform::ListedVm;
use tanager_platform::VmListing;
use tanager_protocol::ids::VmId;

/// Changes of VM states in order; the version of the list is the number of visible changes.
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
    at: Instant,
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

    /// Changes the time after which a change becomes visible, also for earlier changes.
    pub fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Stops or restarts the updates of the list.
    pub fn freeze(&mut self, frozen: bool, now: Instant) {
        self.frozen_at = frozen.then(|| self.frozen_at.unwrap_or(now));
    }

    /// Sets the true state of a VM.
    pub fn set_state(&mut self, vm: &str, state: ListedState, now: Instant) {
        self.changes.push(VmChange {
            at: now,
            vm: vm.to_owned(),
            state,
        });
    }

    /// Registers the control address of the endpoint stand-in that serves a VM.
    pub fn set_control(&mut self, vm: &str, control: SocketAddr) {
        self.controls.insert(vm.to_owned(), control);
    }

    /// Records a reboot; returns the registered control address.
    pub fn reboot(&mut self, vm: &str) -> Option<SocketAddr> {
        self.reboots.push(vm.to_owned());
        self.controls.get(vm).copied()
    }

    /// Rebooted VMs in order.
    pub fn reboots(&self) -> &[VmId] {
        &self.reboots
    }

    /// Returns whether the VM was ever named.
    pub fn contains(&self, vm: &str) -> bool {
        self.changes.iter().any(|change| change.vm == vm)
    }

    /// Lists the VMs whose state changed visibly after version `since`.
    pub fn list(&self, since: u64, now: Instant) -> VmListing {
        let horizon = self.frozen_at.unwrap_or(now);
        let visible = self.changes.iter();
        let visible = visible
            .take_while(|change| horizon.saturating_duration_since(change.at) >= self.lag)
            .take_while(|change| change.at <= horizon)
            .count();
        let start = usize::try_from(since).unwrap_or(usize::MAX).min(visible);
        let newest: BTreeMap<&VmId, ListedState> = self.changes[start..visible]
            .iter()
            .map(|change| (&change.vm, change.state))
            .collect();
        let vms = newest.into_iter().map(|(vm, state)| ListedVm {
            vm: vm.clone(),
            state,
        });
        VmListing {
            version: visible as u64,
            vms: vms.collect(),
        }
    }
}
