//! State shared by the handle and the tasks of the control service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::watch;

use tanager_platform::RowVersion;
use tanager_protocol::change::ChangeEntry;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::NodeId;
use tanager_protocol::ids::VmId;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::VmLoad;

use crate::backend::ControlBackend;
use crate::home::select_home_node;
use crate::peers::PeerTable;
use crate::rebalance::REBALANCE_NAME;
use crate::rebalance::UsageTable;
use crate::replica::ReplicaLog;
use crate::replica::decode;
use crate::settings::ControlSettings;

#[derive(Debug)]
pub(crate) struct ControlCore {
    pub(crate) settings: ControlSettings,
    pub(crate) backend: ControlBackend,
    pub(crate) log: Mutex<ReplicaLog>,
    pub(crate) state_sender: watch::Sender<Arc<FleetState>>,
    pub(crate) peers: Mutex<PeerTable>,
    pub(crate) usage: Mutex<UsageTable>,
    pub(crate) status: Mutex<CoreStatus>,
    /// For each VM that is moving or draining: the version at which that began, and when this node
    /// first applied it.
    pub(crate) drain_starts: Mutex<BTreeMap<VmId, (LogVersion, Instant)>>,
    /// Serialises proposals, because proposals of one node would only conflict with each other.
    pub(crate) proposal_lock: tokio::sync::Mutex<()>,
    /// Prevents a registration after the node has begun to remove itself from the register.
    pub(crate) registration_lock: tokio::sync::Mutex<()>,
    /// Starts a round of gossip at once.
    pub(crate) gossip_trigger: Notify,
}

#[derive(Debug, Default)]
pub(crate) struct CoreStatus {
    /// Whether the newest store call failed; `None` until the first one ends.
    pub(crate) store_failed: Option<bool>,
    pub(crate) store_contact: Option<Instant>,
    pub(crate) peer_contact: Option<Instant>,
    /// Whether the local state is recent enough to serve from.
    pub(crate) synced: bool,
    /// Why the newest content of the store could not be applied; `None` when it was.
    pub(crate) fault: Option<String>,
    pub(crate) head: HeadRow,
    /// Newest version known to have a snapshot in the store.
    pub(crate) snapshot_version: LogVersion,
    /// Version of the newest snapshot that was read back, and the version up to which the snapshots
    /// replace the entries.
    pub(crate) verified_snapshot: (LogVersion, LogVersion),
    /// Entries up to this version are known to be deleted.
    pub(crate) trimmed_version: LogVersion,
    /// Whether this incarnation was ever registered.
    pub(crate) joined: bool,
    /// Whether another incarnation of this node is registered.
    pub(crate) superseded: bool,
    pub(crate) leaving: bool,
    /// Whether the node has begun to remove itself from the register.
    pub(crate) deregistered: bool,
    pub(crate) counters: ControlCounters,
}

/// Newest known value of the row `head` and the version of the row itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadRow {
    pub(crate) version: LogVersion,
    pub(crate) row_version: RowVersion,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ControlCounters {
    pub(crate) proposals: u64,
    pub(crate) conflicts: u64,
    pub(crate) lost_responses: u64,
    pub(crate) store_failures: u64,
    pub(crate) peer_fetches: u64,
    pub(crate) snapshots: u64,
    pub(crate) deletions: u64,
    pub(crate) moves_proposed: u64,
    pub(crate) moves_refused: u64,
    pub(crate) reports_missing: u64,
}

impl ControlCore {
    pub(crate) fn new(settings: ControlSettings, backend: ControlBackend) -> Self {
        let (state_sender, _) = watch::channel(Arc::default());
        Self {
            settings,
            backend,
            log: Mutex::default(),
            state_sender,
            peers: Mutex::default(),
            usage: Mutex::default(),
            status: Mutex::default(),
            drain_starts: Mutex::default(),
            proposal_lock: tokio::sync::Mutex::default(),
            registration_lock: tokio::sync::Mutex::default(),
            gossip_trigger: Notify::new(),
        }
    }

    pub(crate) fn state(&self) -> Arc<FleetState> {
        Arc::clone(lock(&self.log).state())
    }

    pub(crate) fn status(&self) -> MutexGuard<'_, CoreStatus> {
        lock(&self.status)
    }

    /// Applies entries that the store accepted.
    pub(crate) fn apply(&self, entries: &[ChangeEntry]) -> TanagerResult<()> {
        let mut log = lock(&self.log);
        let before = log.state().version;
        let result = log.apply(entries);
        if log.state().version > before {
            self.publish(&log);
        }
        result
    }

    /// Installs a state that is newer than the local one; an older one is ignored.
    pub(crate) fn install(&self, state: FleetState) {
        let mut log = lock(&self.log);
        if log.install(state) {
            self.publish(&log);
        }
    }

    /// Applies a peer's reply to `Fetch`.
    pub(crate) fn apply_reply(&self, reply: &FetchReply) -> TanagerResult<()> {
        if !reply.snapshot.is_empty() {
            self.install(decode(&reply.snapshot)?);
        }
        let entries: TanagerResult<Vec<ChangeEntry>> =
            reply.entries.iter().map(|entry| decode(entry)).collect();
        self.apply(&entries?)
    }

    /// Called with the log locked, so that observers see versions in order.
    fn publish(&self, log: &ReplicaLog) {
        let state = Arc::clone(log.state());
        self.update_drain_starts(&state);
        self.state_sender.send_replace(state);
    }

    fn update_drain_starts(&self, state: &FleetState) {
        let now = Instant::now();
        let mut drain_starts = lock(&self.drain_starts);
        drain_starts.retain(|vm, (since, _)| out_of_service_since(state, vm) == Some(*since));
        for vm in state.vms.keys() {
            if let Some(since) = out_of_service_since(state, vm) {
                drain_starts.entry(vm.clone()).or_insert((since, now));
            }
        }
    }

    /// Returns whether a VM is moving or draining and no registered node has work left on it.
    pub(crate) fn is_drained(&self, vm: &str) -> bool {
        let state = self.state();
        let Some((since, observed_at)) = lock(&self.drain_starts).get(vm).copied() else {
            return false;
        };
        let progress = (self.backend.progress)();
        let peers = lock(&self.peers);
        state.nodes.iter().all(|(node, record)| {
            if *node == self.settings.node && record.incarnation == self.settings.record.incarnation
            {
                let requests = progress.in_flight.get(vm).copied().unwrap_or(0);
                return progress.version >= since && requests == 0;
            }
            peers.has_drained(node, record, vm, since, observed_at)
        })
    }

    pub(crate) fn is_registered(&self, state: &FleetState) -> bool {
        let record = state.nodes.get(&self.settings.node);
        record.is_some_and(|record| record.incarnation == self.settings.record.incarnation)
    }

    pub(crate) fn may_dispatch(&self) -> bool {
        let state = self.state();
        let status = self.status();
        status.synced && !status.deregistered && self.is_registered(&state)
    }

    pub(crate) fn live_nodes(&self) -> Vec<NodeId> {
        let state = self.state();
        let leaving = self.status().leaving;
        let now = Instant::now();
        let timeout = self.settings.timing.contact_timeout;
        let peers = lock(&self.peers);
        let live = state.nodes.iter().filter(|(node, record)| {
            if **node == self.settings.node {
                return !leaving && record.incarnation == self.settings.record.incarnation;
            }
            peers.is_live(node, record, now, timeout)
        });
        live.map(|(node, _)| node.clone()).collect()
    }

    pub(crate) fn home_of(&self, name: &str) -> Option<NodeId> {
        select_home_node(name, &self.live_nodes()).cloned()
    }

    pub(crate) fn is_home(&self, name: &str) -> bool {
        self.home_of(name).as_ref() == Some(&self.settings.node)
    }

    /// Status of this node for gossip.
    pub(crate) fn own_status(&self) -> NodeStatus {
        let progress = (self.backend.progress)();
        let loads = progress.in_flight.into_iter();
        NodeStatus {
            node: self.settings.node.clone(),
            incarnation: self.settings.record.incarnation,
            version: progress.version,
            leaving: self.status().leaving,
            in_flight: loads
                .filter(|(_, requests)| *requests > 0)
                .map(|(vm, requests)| VmLoad { vm, requests })
                .collect(),
            peer_address: self.settings.record.peer_address.to_string(),
            ..NodeStatus::default()
        }
    }

    /// Status of this node for a call to a peer. Only the coordinator of moves by load receives the
    /// usage, because at the design size it is several times as large as the rest.
    pub(crate) fn status_for(&self, address: SocketAddr) -> NodeStatus {
        let mut status = self.own_status();
        if self.settings.rebalance.enabled {
            let state = self.state();
            let home = self.home_of(REBALANCE_NAME);
            let record = home.and_then(|home| state.nodes.get(&home));
            if record.is_some_and(|record| record.peer_address == address) {
                self.attach_usage(&state, &mut status);
            }
        }
        status
    }

    pub(crate) fn attach_usage(&self, state: &FleetState, status: &mut NodeStatus) {
        let suspects = (self.backend.suspects)();
        (self.backend.usage)().attach(state, &suspects, status);
    }

    pub(crate) fn record_status(&self, status: NodeStatus) {
        if status.node == self.settings.node
            && status.incarnation == self.settings.record.incarnation
        {
            return;
        }
        let now = Instant::now();
        lock(&self.usage).record(&status, now);
        lock(&self.peers).record(status, now);
        self.status().peer_contact = Some(now);
    }

    /// Records whether a store call succeeded.
    pub(crate) fn record_store_result(&self, failed: bool) {
        let mut status = self.status();
        if failed {
            status.counters.store_failures += 1;
        } else {
            status.store_contact = Some(Instant::now());
        }
        if status.store_failed.replace(failed) != Some(failed) {
            let verb = if failed { "cannot reach" } else { "reaches" };
            log::info!("{} {verb} the store", self.settings.node);
        }
    }

    pub(crate) fn ready(&self) -> Result<(), String> {
        let state = self.state();
        let status = self.status();
        if status.leaving {
            return Err("the node is stopping".to_owned());
        }
        if status.superseded {
            return Err("another incarnation of this node is registered".to_owned());
        }
        if !status.synced {
            return Err("no state from the store or from peers yet".to_owned());
        }
        let newest = status.store_contact.max(status.peer_contact);
        let contact_age = newest.map_or(Duration::MAX, |contact| contact.elapsed());
        if contact_age >= self.settings.timing.isolation_timeout {
            return Err(format!(
                "no contact with the store or peers for {contact_age:.1?}"
            ));
        }
        if self.is_registered(&state) || status.store_failed == Some(true) {
            return Ok(());
        }
        Err("the node is not registered yet".to_owned())
    }
}

/// Version at which a move or drain took a VM out of service; `None` when the VM is active.
fn out_of_service_since(state: &FleetState, vm: &str) -> Option<LogVersion> {
    match state.vms.get(vm)?.activity {
        VmActivity::Active => None,
        VmActivity::Moving { since, .. } | VmActivity::Draining { since, .. } => Some(since),
    }
}

/// Locks a mutex and ignores poisoning: its content is consistent after every statement, so a panic
/// of another thread that held it does not invalidate it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
