//! The handle of the control service.

use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::NodeId;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::NodeStatus;

use crate::backend::ControlBackend;
use crate::core::ControlCore;
use crate::core::lock;
use crate::settings::ControlSettings;
use crate::tasks;

/// Counters of moves by load. They increase only on the node that coordinates these moves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RebalanceCounters {
    /// Moves proposed.
    pub moves_proposed: u64,
    /// Proposals that the log did not accept.
    pub moves_refused: u64,
    /// Homes without a recent report, summed over the rounds of the coordinator.
    pub reports_missing: u64,
}

/// A running control service. Dropping it stops its tasks.
#[derive(Debug)]
pub struct ControlService {
    core: Arc<ControlCore>,
    tasks: Vec<JoinHandle<()>>,
}

impl ControlService {
    /// Starts the service on the current tokio runtime.
    pub fn spawn(settings: ControlSettings, backend: ControlBackend) -> Self {
        let core = Arc::new(ControlCore::new(settings, backend));
        let tasks = vec![
            tokio::spawn(tasks::poll_store(Arc::clone(&core))),
            tokio::spawn(tasks::trim_log(Arc::clone(&core))),
            tokio::spawn(tasks::gossip(Arc::clone(&core))),
            tokio::spawn(tasks::coordinate(Arc::clone(&core))),
            tokio::spawn(tasks::rebalance(Arc::clone(&core))),
            tokio::spawn(tasks::read_vm_list(Arc::clone(&core))),
        ];
        Self { core, tasks }
    }

    /// Newest applied state.
    pub fn state(&self) -> Arc<FleetState> {
        self.core.state()
    }

    /// Returns a receiver of the newest applied state, whose version only increases.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetState>> {
        self.core.state_sender.subscribe()
    }

    /// Appends a change to the log and returns its entry.
    ///
    /// `expected_version` is the log version on which the author based the change; see
    /// [`tanager_fleet::record_version`].
    ///
    /// # Errors
    ///
    /// Those of [`tanager_fleet::check_change`]; [`ErrorKind::Conflict`] also when every attempt
    /// lost to a concurrent proposal; [`ErrorKind::Unknown`] or [`ErrorKind::Timeout`] when the
    /// change may have been accepted; other kinds from the platform when it was not.
    pub async fn propose(
        &self,
        author: &str,
        change: FleetChange,
        expected_version: Option<LogVersion>,
    ) -> TanagerResult<ChangeEntry> {
        self.core.propose(author, change, expected_version).await
    }

    /// Returns the newest entries of the log, at most `limit` and 1,000, in version order.
    ///
    /// Fewer are returned when older entries were deleted, and in a store outage, when only the
    /// entries retained by this node are available.
    ///
    /// # Errors
    ///
    /// Those of the platform, when this node retains no entry.
    pub async fn history(&self, limit: usize) -> TanagerResult<Vec<ChangeEntry>> {
        self.core.history(limit).await
    }

    /// Returns the reply to a peer's `Fetch`: the entries after a version, or the state.
    pub fn fetch_reply(&self, after: LogVersion) -> FetchReply {
        let reply = lock(&self.core.log).reply(after);
        reply.unwrap_or_else(|error| {
            log::error!("no reply to a fetch after version {after}: {error}");
            FetchReply::default()
        })
    }

    /// Records a peer's status and returns the status of this node.
    pub fn receive_status(&self, status: NodeStatus) -> NodeStatus {
        self.core.record_status(status);
        self.core.own_status()
    }

    /// Registered nodes with recent contact that are not leaving, including this node.
    pub fn live_nodes(&self) -> Vec<NodeId> {
        self.core.live_nodes()
    }

    /// Returns whether this node is the home of `name`.
    pub fn is_home(&self, name: &str) -> bool {
        self.core.is_home(name)
    }

    /// Returns the home of `name` among the live nodes.
    pub fn home_of(&self, name: &str) -> Option<NodeId> {
        self.core.home_of(name)
    }

    /// Peer address of a registered node.
    pub fn peer_address(&self, node: &str) -> Option<SocketAddr> {
        let state = self.core.state();
        state.nodes.get(node).map(|record| record.peer_address)
    }

    /// Returns whether a VM is moving or draining and no registered node has work left on it.
    pub fn is_drained(&self, vm: &str) -> bool {
        self.core.is_drained(vm)
    }

    /// Checks whether the node may serve callers.
    ///
    /// # Errors
    ///
    /// The reason why the node is not ready, as one line of text.
    pub fn ready(&self) -> Result<(), String> {
        self.core.ready()
    }

    /// Returns whether the node may send requests to endpoints: it is registered, so that moves
    /// wait for its acknowledgement (rule R2 of `tanager_fleet`).
    pub fn may_dispatch(&self) -> bool {
        self.core.may_dispatch()
    }

    /// Announces to the peers that the node is stopping; it is no longer a home.
    pub fn set_leaving(&self) {
        self.core.status().leaving = true;
        self.core.gossip_trigger.notify_one();
    }

    /// Removes the node from the register. The node must have finished its work: moves no longer
    /// wait for it, and [`Self::may_dispatch`] is false from the start of this call.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`]; the call may be repeated.
    pub async fn leave(&self) -> TanagerResult<()> {
        self.set_leaving();
        let _guard = self.core.registration_lock.lock().await;
        self.core.status().deregistered = true;
        let node = self.core.settings.node.clone();
        let change = FleetChange::LeaveNode {
            node: node.clone(),
            incarnation: self.core.settings.record.incarnation,
        };
        match self.core.propose(&node, change, None).await {
            Err(error) if matches!(error.kind, ErrorKind::NotFound | ErrorKind::Refused) => Ok(()),
            result => result.map(|_| ()),
        }
    }

    /// Counters of moves by load since the start of this process.
    pub fn rebalance_counters(&self) -> RebalanceCounters {
        let counters = self.core.status().counters;
        RebalanceCounters {
            moves_proposed: counters.moves_proposed,
            moves_refused: counters.moves_refused,
            reports_missing: counters.reports_missing,
        }
    }

    /// State of the service for diagnosis.
    pub fn dump(&self) -> Value {
        let state = self.core.state();
        let live_nodes = self.core.live_nodes();
        let peers: Vec<Value> = lock(&self.core.peers)
            .contacts()
            .map(|contact| {
                json!({
                    "node": contact.status.node,
                    "incarnation": contact.status.incarnation,
                    "version": contact.status.version,
                    "leaving": contact.status.leaving,
                    "age_ms": millis(contact.received_at.elapsed()),
                })
            })
            .collect();
        let status = self.core.status();
        let counters = status.counters;
        json!({
            "node": self.core.settings.node,
            "incarnation": self.core.settings.record.incarnation,
            "version": state.version,
            "head": status.head.version,
            "snapshot": status.snapshot_version,
            "synced": status.synced,
            "fault": status.fault,
            "joined": status.joined,
            "superseded": status.superseded,
            "leaving": status.leaving,
            "store_failed": status.store_failed,
            "store_age_ms": status.store_contact.map(|contact| millis(contact.elapsed())),
            "peer_age_ms": status.peer_contact.map(|contact| millis(contact.elapsed())),
            "live_nodes": live_nodes,
            "peers": peers,
            "counters": {
                "proposals": counters.proposals,
                "conflicts": counters.conflicts,
                "lost_responses": counters.lost_responses,
                "store_failures": counters.store_failures,
                "peer_fetches": counters.peer_fetches,
                "snapshots": counters.snapshots,
                "deletions": counters.deletions,
                "moves_proposed": counters.moves_proposed,
                "moves_refused": counters.moves_refused,
                "reports_missing": counters.reports_missing,
            },
        })
    }

    /// Exports the whole state.
    pub fn snapshot(&self) -> FleetState {
        FleetState::clone(&self.core.state())
    }

    /// Replaces the state of a store without a configuration, and returns the version of the
    /// restored state. Nodes that are registered in the store stay registered; the nodes of the
    /// exported state are dropped.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Refused`] when the store is not empty; [`ErrorKind::Invalid`] when the state
    /// is malformed; otherwise those of the platform.
    pub async fn restore(&self, state: FleetState) -> TanagerResult<LogVersion> {
        self.core.restore(state).await
    }
}

impl Drop for ControlService {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
