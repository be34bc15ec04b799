//! The handle of the control service.

use std::sync::Arc;

use serde_json::Value;
use tokio::sync::watch;

use tanager_protocol::change::ChangeEntry;
use tanager_protocol::change::FleetChange;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::NodeId;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::NodeStatus;

use crate::backend::ControlBackend;
use crate::settings::ControlSettings;

/// A running control service. Dropping it stops its tasks.
#[derive(Debug)]
pub struct ControlService {
    settings: ControlSettings,
    backend: ControlBackend,
    sender: watch::Sender<Arc<FleetState>>,
}

impl ControlService {
    /// Starts the service on the current tokio runtime.
    pub fn spawn(settings: ControlSettings, backend: ControlBackend) -> Self {
        let (sender, _) = watch::channel(Arc::default());
        Self {
            settings,
            backend,
            sender,
        }
    }

    /// Newest applied state.
    pub fn state(&self) -> Arc<FleetState> {
        Arc::clone(&self.sender.borrow())
    }

    /// Observes the newest applied state, whose version only grows.
    pub fn subscribe(&self) -> watch::Receiver<Arc<FleetState>> {
        self.sender.subscribe()
    }

    /// Appends a change to the log and returns its entry.
    ///
    /// `expected` is the version of the record on which the author based the change.
    ///
    /// # Errors
    ///
    /// Those of [`tanager_fleet::check_change`]; [`ErrorKind::Conflict`] also when other proposers
    /// won every attempt; [`ErrorKind::Unknown`] or [`ErrorKind::Timeout`] when the change may
    /// have been accepted; other kinds from the platform when it was not.
    pub async fn propose(
        &self,
        author: &str,
        change: FleetChange,
        expected: Option<LogVersion>,
    ) -> TanagerResult<ChangeEntry> {
        let _ = (change, expected, &self.backend);
        Err(not_ready(author))
    }

    /// Newest entries of the log, at most `limit`, in version order.
    ///
    /// # Errors
    ///
    /// Those of the platform, when the entries are not held locally either.
    pub async fn history(&self, limit: usize) -> TanagerResult<Vec<ChangeEntry>> {
        Err(not_ready(&limit.to_string()))
    }

    /// Answers a peer's `Fetch`: the entries after a version, or the state.
    pub fn fetch_reply(&self, after: LogVersion) -> FetchReply {
        let _ = after;
        FetchReply::default()
    }

    /// Records a peer's status and returns this node's.
    pub fn receive_status(&self, status: NodeStatus) -> NodeStatus {
        status
    }

    /// Registered nodes with recent contact that are not leaving, including this node.
    pub fn live_nodes(&self) -> Vec<NodeId> {
        Vec::new()
    }

    /// Returns whether this node is the home of `name`.
    pub fn is_home(&self, name: &str) -> bool {
        self.home_of(name).as_ref() == Some(&self.settings.node)
    }

    /// Returns the home of `name` among the live nodes.
    pub fn home_of(&self, name: &str) -> Option<NodeId> {
        let _ = name;
        None
    }

    /// Returns whether the node may serve callers, or why it may not.
    ///
    /// # Errors
    ///
    /// The reason, as one line of text.
    pub fn ready(&self) -> Result<(), String> {
        Err("not started".to_owned())
    }

    /// Returns whether the node may send requests to endpoints: it is registered, so that moves
    /// wait for its acknowledgement.
    pub fn may_dispatch(&self) -> bool {
        false
    }

    /// Announces that the node is stopping; it is no longer a home.
    pub fn set_leaving(&self) {}

    /// Removes the node from the register. The node must have finished its work.
    ///
    /// # Errors
    ///
    /// As [`Self::propose`].
    pub async fn leave(&self) -> TanagerResult<()> {
        Err(not_ready("leave"))
    }

    /// State of the service for diagnosis.
    pub fn dump(&self) -> Value {
        Value::Null
    }

    /// Exports the whole state.
    pub fn snapshot(&self) -> FleetState {
        FleetState::clone(&self.sender.borrow())
    }

    /// Replaces the state of a store that holds no configuration yet.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Refused`] when the store is not empty; otherwise those of the platform.
    pub async fn restore(&self, state: FleetState) -> TanagerResult<LogVersion> {
        Err(not_ready(&state.version.to_string()))
    }
}

fn not_ready(peer: &str) -> TanagerError {
    TanagerError::new(ErrorKind::NotReady, "control", peer, "not started")
}
