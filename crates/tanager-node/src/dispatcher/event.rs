//! Events of the dispatch thread.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crossbeam::channel::Sender;
use tokio::sync::oneshot;

use tanager_dispatch::RequestKey;
use tanager_dispatch::SendReport;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::ForwardRequest;

use crate::claims::ClaimResult;
use crate::claims::fingerprint::RequestFingerprint;
use crate::dispatcher::CounterRow;
use crate::endpoint::CloseSignal;
use crate::endpoint::ProbeOutcome;

/// Identifies a waiting caller within the process.
pub(crate) type ReplyId = u64;
/// Channel for the outcome of a request.
pub(crate) type OutcomeSender = oneshot::Sender<RequestOutcome>;

/// An event of the dispatch thread.
pub(crate) enum DispatchEvent {
    /// A request arrived.
    Submit {
        id: ReplyId,
        request: Arc<ForwardRequest>,
        /// Set for keyed non-idempotent requests.
        fingerprint: Option<RequestFingerprint>,
        reply: OutcomeSender,
    },
    /// The caller no longer waits.
    Cancel(ReplyId),
    /// A claim was granted, resolved by the history of its key, or failed.
    ClaimEnded {
        key: RequestKey,
        result: ClaimResult,
    },
    /// An attempt ended; `outcome` applies if it is the last attempt.
    AttemptEnded {
        key: RequestKey,
        report: SendReport,
        outcome: RequestOutcome,
    },
    /// A probe ended.
    ProbeEnded { vm: VmId, outcome: ProbeOutcome },
    /// A response of the endpoint at an address closed its connection.
    Disconnect(SocketAddr, CloseSignal),
    /// A newer fleet state.
    FleetUpdate(Arc<FleetState>),
    /// New set of the pools whose workers this node probes.
    HomePoolsUpdate(BTreeSet<PoolId>),
    /// Requests the counters.
    Counters(Sender<Vec<CounterRow>>),
    /// Requests a dump of the state.
    Dump(Sender<serde_json::Value>),
    /// Ends the thread.
    Stop,
}
