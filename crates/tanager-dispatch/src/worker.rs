//! Workers and their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::RackId;
use tanager_protocol::ids::VmId;
use tanager_protocol::ids::ZoneId;

use crate::action::RequestKey;
use crate::ejection::EjectionState;
use crate::limit::AdaptiveLimit;

new_key_type! {
    /// Names a worker of the table.
    pub(crate) struct WorkerKey;
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) vm: VmId,
    pub(crate) pool: PoolId,
    pub(crate) address: SocketAddr,
    pub(crate) rack: RackId,
    pub(crate) zone: ZoneId,
    /// The fleet state lets it receive new work.
    pub(crate) receives: bool,
    /// Its newest reported health is up.
    pub(crate) healthy: bool,
    /// It exists and is probed.
    pub(crate) probed: bool,
    /// It announced that it leaves, by a probe or in-band.
    pub(crate) leaving: bool,
    /// Consecutive failed probes.
    pub(crate) failed_probes: u32,
    /// Gets no new work because of failed probes.
    pub(crate) suspended: bool,
    /// No longer part of the fleet; kept until its requests have ended.
    pub(crate) gone: bool,
    pub(crate) limit: AdaptiveLimit,
    pub(crate) ejection: EjectionState,
    /// Slots in use, including those held for claims.
    pub(crate) used: u32,
    /// Requests that use them.
    pub(crate) requests: u32,
    /// Request that waits for this worker to become free enough.
    pub(crate) reserved: Option<RequestKey>,
    /// Last time the endpoint was seen to serve or was probed.
    pub(crate) assessed: Duration,
    /// End of the newest probe.
    pub(crate) last_probe: Duration,
    /// Start of the probe in progress.
    pub(crate) probing: Option<Duration>,
}

/// Consecutive failed probes after which a worker gets no new work.
const FAILED_PROBES: u32 = 2;

impl WorkerEntry {
    pub(crate) fn unreachable(&self) -> bool {
        self.failed_probes >= FAILED_PROBES
    }

    /// May receive work as far as the fleet state and its own announcements go.
    pub(crate) fn is_member(&self) -> bool {
        self.receives && !self.leaving
    }

    /// Is out of service because of observed failures, which are limited to half of a pool.
    pub(crate) fn is_failing(&self) -> bool {
        self.ejection.is_out() || self.suspended
    }

    /// Whether it can take `slots` more. A request larger than the adapted limit runs alone.
    pub(crate) fn fits(&self, slots: u32, now: Duration) -> bool {
        if self.ejection.is_out() {
            return self.ejection.trial_due(now)
                && self.requests == 0
                && slots <= self.limit.declared();
        }
        self.used + slots <= self.limit.current()
            || (self.used == 0 && slots <= self.limit.declared())
    }

    /// Whether a request that already holds `slots` of this worker may still be sent to it.
    pub(crate) fn may_send_held(&self, slots: u32) -> bool {
        self.is_member()
            && !self.suspended
            && self.ejection.until().is_none()
            && (self.used <= self.limit.current() || self.used == slots)
    }

    pub(crate) fn relative_load(&self) -> f64 {
        f64::from(self.used) / f64::from(self.limit.current())
    }
}

/// All workers, by key and by VM name.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    pub(crate) entries: SlotMap<WorkerKey, WorkerEntry>,
    pub(crate) names: BTreeMap<VmId, WorkerKey>,
}

impl WorkerTable {
    pub(crate) fn by_name(&self, vm: &str) -> Option<&WorkerEntry> {
        self.names.get(vm).and_then(|key| self.entries.get(*key))
    }

    pub(crate) fn insert(&mut self, entry: WorkerEntry) -> WorkerKey {
        let vm = entry.vm.clone();
        let key = self.entries.insert(entry);
        self.names.insert(vm, key);
        key
    }

    /// Removes a VM that has left the fleet once its last request has ended.
    pub(crate) fn remove_if_idle(&mut self, key: WorkerKey) {
        if self
            .entries
            .get(key)
            .is_some_and(|entry| entry.requests == 0)
            && let Some(entry) = self.entries.remove(key)
            && self.names.get(&entry.vm) == Some(&key)
        {
            self.names.remove(&entry.vm);
        }
    }
}
