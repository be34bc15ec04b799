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
    /// Identifies a worker in the table.
    pub(crate) struct WorkerKey;
}

/// State of one worker, from the fleet state, its probes and its requests.
#[derive(Clone, Debug)]
pub(crate) struct WorkerEntry {
    pub(crate) vm: VmId,
    pub(crate) pool: PoolId,
    pub(crate) address: SocketAddr,
    pub(crate) rack: RackId,
    pub(crate) zone: ZoneId,
    /// Whether the fleet state allows new work.
    pub(crate) accepts_work: bool,
    /// Whether its last reported health is up.
    pub(crate) healthy: bool,
    /// Whether it is probed; false once its VM no longer exists.
    pub(crate) is_probed: bool,
    /// Whether the endpoint announced its shutdown, in response to a probe or a request.
    pub(crate) shutting_down: bool,
    /// Consecutive failed probes.
    pub(crate) failed_probes: u32,
    /// Whether it gets no new work because of failed probes.
    pub(crate) suspended: bool,
    /// Whether it was removed from the fleet; it is kept until its requests have ended.
    pub(crate) removed: bool,
    pub(crate) limit: AdaptiveLimit,
    pub(crate) ejection: EjectionState,
    /// Slots in use, including those held for claims.
    pub(crate) used_slots: u32,
    /// Number of requests that use these slots.
    pub(crate) request_count: u32,
    /// Request that waits until this worker has enough free slots.
    pub(crate) reserved_for: Option<RequestKey>,
    /// Time of the last success of a request or the last probe.
    pub(crate) last_assessed: Duration,
    /// End of the last probe.
    pub(crate) last_probe: Duration,
    /// Start of the probe in progress.
    pub(crate) probe_started: Option<Duration>,
}

/// Consecutive failed probes after which a worker gets no new work.
const MAX_FAILED_PROBES: u32 = 2;

impl WorkerEntry {
    pub(crate) fn is_unreachable(&self) -> bool {
        self.failed_probes >= MAX_FAILED_PROBES
    }

    /// Whether the fleet state and the endpoint's announcements allow new work.
    pub(crate) fn is_assignable(&self) -> bool {
        self.accepts_work && !self.shutting_down
    }

    /// Whether it is out of service because of observed failures. At most half of a pool may be.
    pub(crate) fn is_failing(&self) -> bool {
        self.ejection.is_out_of_service() || self.suspended
    }

    /// Whether it has room for `slots` more. A request larger than the adapted limit runs alone.
    pub(crate) fn has_room_for(&self, slots: u32, now: Duration) -> bool {
        if self.ejection.is_out_of_service() {
            return self.ejection.trial_due(now)
                && self.request_count == 0
                && slots <= self.limit.declared();
        }
        self.used_slots + slots <= self.limit.current()
            || (self.used_slots == 0 && slots <= self.limit.declared())
    }

    /// Whether a request that already holds `slots` of this worker may still be sent to it.
    pub(crate) fn can_send_claimed(&self, slots: u32) -> bool {
        self.is_assignable()
            && !self.suspended
            && self.ejection.ejected_until().is_none()
            && (self.used_slots <= self.limit.current() || self.used_slots == slots)
    }

    pub(crate) fn relative_load(&self) -> f64 {
        f64::from(self.used_slots) / f64::from(self.limit.current())
    }
}

/// All workers, by key and by VM name.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    pub(crate) entries: SlotMap<WorkerKey, WorkerEntry>,
    pub(crate) keys_by_name: BTreeMap<VmId, WorkerKey>,
}

impl WorkerTable {
    pub(crate) fn by_name(&self, vm: &str) -> Option<&WorkerEntry> {
        self.keys_by_name
            .get(vm)
            .and_then(|key| self.entries.get(*key))
    }

    pub(crate) fn insert(&mut self, entry: WorkerEntry) -> WorkerKey {
        let vm = entry.vm.clone();
        let key = self.entries.insert(entry);
        self.keys_by_name.insert(vm, key);
        key
    }

    /// Removes a worker whose VM has left the fleet, once its last request has ended.
    pub(crate) fn remove_if_idle(&mut self, key: WorkerKey) {
        if self
            .entries
            .get(key)
            .is_some_and(|entry| entry.request_count == 0)
            && let Some(entry) = self.entries.remove(key)
            && self.keys_by_name.get(&entry.vm) == Some(&key)
        {
            self.keys_by_name.remove(&entry.vm);
        }
    }
}
