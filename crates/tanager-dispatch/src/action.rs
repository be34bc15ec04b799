//! Actions that the state machine requests from its owner, and the results that the owner reports.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::new_key_type;

use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::NotRunReason;

new_key_type! {
    /// Identifies a submitted request. Never reused within a process.
    pub struct RequestKey;
}

/// One action for the owner of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DispatchAction {
    /// Write the claim of the request, then report with `claim_finished`.
    Claim {
        /// The request.
        key: RequestKey,
        /// Worker that is expected to serve the request; the later `Send` may name another one.
        vm: VmId,
    },
    /// Send the request to a worker, then report with `send_finished`.
    Send {
        /// The request.
        key: RequestKey,
        /// The worker.
        vm: VmId,
        /// Address of its endpoint.
        address: SocketAddr,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Time until the deadline of the whole request.
        time_left: Duration,
    },
    /// Final: no attempt sent any byte of the request.
    Refuse {
        /// The request.
        key: RequestKey,
        /// Why the request is not run.
        reason: NotRunReason,
        /// Explanation for the caller.
        message: String,
        /// Time until a retry may succeed; `None` if it cannot.
        retry_after: Option<Duration>,
    },
    /// Final: the last report other than `NotSent` is the outcome. Without such a report the
    /// outcome is unknown: a claim was still being written, so that the key history is unknown, or
    /// the deadline passed or the caller cancelled after the request was sent. The owner must drop
    /// the connection of a request that is still being sent.
    Finish {
        /// The request.
        key: RequestKey,
    },
    /// Send a GET to a worker, then report with `probe_finished`.
    Probe {
        /// The worker.
        vm: VmId,
        /// Address of its endpoint.
        address: SocketAddr,
        /// Path to read.
        path: String,
    },
}

/// Result of writing a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimReport {
    /// The claim was written; the request may be sent.
    Granted,
    /// The outcome is known without sending the request: a recorded response, the outcome of a
    /// joined request, or unknown.
    Resolved,
}

/// Result of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendReport {
    /// Complete response with a status below 500.
    Answered {
        /// Time from sending to the complete response.
        latency: Duration,
    },
    /// Complete response with a status of 500 or above. It is not retried.
    Failed {
        /// Time from sending to the complete response.
        latency: Duration,
        /// Whether the endpoint announced its shutdown (503 with `Connection: close`).
        shutting_down: bool,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The request may have run.
    Unknown,
}

/// Result of one probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeReport {
    /// The endpoint serves requests.
    Up,
    /// The endpoint responded with 503: it is shutting down.
    ShuttingDown,
    /// No usable response within the probe timeout.
    Failed,
}
