//! Calls between nodes: HTTP requests with JSON bodies, sent to the peer address.
//!
//! The request path of `tanagerladderd --config` uses `tonic`. Here its HTTP/2 framing would cost
//! an entry VM with a quarter of a core more CPU time than the calls themselves.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::MIN_LINK_RATE;
use tanager_http::pool::ClientPool;
use tanager_http::pool::PoolLimits;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::StepSpec;
use tanager_jobs::ids::CellName;
use tanager_jobs::ids::WorkspaceName;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::allowance::report::AllowanceResponse;
use tanager_schedule::call_age::NodeTime;
use tanager_schedule::call_age::PeerTime;
use tanager_schedule::call_limits::CallKind;
use tanager_schedule::capacity::PoolLoad;
use tanager_site::job_api::JobStatus;

use crate::authentication::Caller;
use crate::clock::NodeClock;
use crate::config_reads::ConfigReads;
use crate::cpu_time;
use crate::cpu_time::Duty;
use crate::descriptions::JobDescription;
use crate::descriptions::WorkspaceLoad;
use crate::peer_versions::VersionInForce;

/// Largest response of the store or of another node, in bytes. Rows of the operator are not limited; this
/// is a tenth of the memory of the smallest entry VM, and decoding takes several times as much.
pub(crate) const MAX_RESPONSE: usize = 16 << 20;
/// Path of calls to the owner of a cell.
pub const CELL_PATH: &str = "/cell";
/// Path of notifications that owners of cells changed.
pub const NOTIFY_PATH: &str = "/poke";
/// Header with the time for which the caller still waits, in milliseconds. Nodes of former versions
/// ignore it; they reject unknown fields of [`CellRequest`].
const REMAINING_HEADER: HeaderName = HeaderName::from_static("x-remaining-milliseconds");
/// Header of a call with the time that the clock of its receiver had reached when it was sent, and of a
/// response with the time on the clock of its sender; see [`NodeTime`].
const CLOCK_HEADER: HeaderName = HeaderName::from_static("x-node-time");
/// Header of a response with the version of the configuration in force at its sender; see
/// [`VersionInForce`].
const CONFIG_HEADER: HeaderName = HeaderName::from_static("x-config");
/// Path of requests to drain a worker.
pub const DRAIN_PATH: &str = "/empty";
/// Path of reports to the allocator.
pub const ALLOWANCE_PATH: &str = "/allowance";

/// A request to the owner of a cell.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellRequest {
    /// Cell that the request is for.
    pub cell: CellName,
    /// Cell that the job's id or the worker maps to, if it was merged into `cell`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<CellName>,
    /// Key of the queue; empty where the operation needs none.
    pub queue: String,
    /// Workspace of the client, or of the job that an operator submits.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Whether an operator sent the request. Set only where there are workspaces.
    #[serde(default, rename = "operator", skip_serializing_if = "is_false")]
    pub is_operator: bool,
    /// Operation to perform.
    #[serde(rename = "ask")]
    pub operation: CellOperation,
}

impl CellRequest {
    /// Returns the sender of the request.
    pub fn caller(&self) -> Caller {
        match (self.is_operator, &self.workspace) {
            (true, workspace) => Caller::Operator(workspace.clone()),
            (false, Some(workspace)) => Caller::Workspace(workspace.clone()),
            (false, None) => Caller::Open,
        }
    }
}

fn is_false(value: &bool) -> bool {
    !*value
}

/// Operation that the owner of a cell performs.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CellOperation {
    /// Accept a job.
    Submit {
        /// Id of the job.
        id: JobId,
        /// The job itself.
        job: SubmittedJob,
        /// Failed runs of a task after which the job has failed, in the configuration of the node that
        /// took the job. Nodes of former versions do not send it, and ignore it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        max_attempts: Option<u32>,
    },
    /// Return whether a job with this id is known.
    Known(JobId),
    /// Return the status of a job.
    Show(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Cancel jobs, each for its own caller. Owners of former versions do not know the operation.
    CancelMany(Vec<CancelledJob>),
    /// Accept a job that another cell of the pool delegates.
    Delegate(Box<JobRecord>),
    /// Make certain that a delegated job never runs here, unless it is stored here already.
    Withdraw {
        /// Id of the job.
        id: JobId,
        /// Time at which the first cell accepted the job, in milliseconds since 1970.
        accepted_ms: u64,
    },
    /// Return the cell that runs a job.
    Locate(JobId),
    /// Merge the cell with another one if its workers have room for a step: the cell with the higher
    /// index is released into the other one, by its owner.
    Merge {
        /// Cell that needs the room.
        with: CellName,
        /// Step.
        step: Box<StepSpec>,
    },
    /// Return the number of waiting jobs.
    Waiting,
    /// Return the load of the cell.
    Load,
    /// Return the status of a job with what operators want to know about it.
    Describe(JobId),
    /// Return what each workspace has in the cell.
    Workspaces,
}

impl CellOperation {
    /// Returns how an entry node limits the operation; `None` if it does not.
    pub(crate) fn call_kind(&self) -> Option<CallKind> {
        match self {
            Self::Submit { .. } => Some(CallKind::Submission),
            Self::Cancel(_) | Self::CancelMany(_) => Some(CallKind::Cancellation),
            Self::Known(_) | Self::Show(_) | Self::Waiting => Some(CallKind::Question),
            _ => None,
        }
    }

    /// Returns whether the operation is pointless once its caller has given up, and costs more than a
    /// refusal. A cancellation is wanted also when it is late, and a question is answered from memory.
    fn expires(&self) -> bool {
        matches!(self, Self::Submit { .. })
    }

    /// Returns whether the response depends on all jobs of the cell.
    pub(crate) fn concerns_all_jobs(&self) -> bool {
        matches!(self, Self::Waiting | Self::Load | Self::Workspaces)
    }
}

/// A job to cancel, with the fields of [`CellRequest`] that depend on the client.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CancelledJob {
    /// Id of the job.
    pub id: JobId,
    /// Key of the queue.
    pub queue: String,
    /// Workspace of the client.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Whether an operator sent the request.
    #[serde(default, rename = "operator", skip_serializing_if = "is_false")]
    pub is_operator: bool,
}

/// A job as it was submitted. The owner decodes it, which it can skip for a repeated id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmittedJob {
    /// Undecoded body of a client's request.
    Body(String),
    /// Job submitted by an operator.
    Spec(JobSpec),
}

/// Response of the owner of a cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CellResponse {
    /// The job, or its cancellation, is stored.
    Done,
    /// Not accepted: this attempt will never run the job.
    Refused {
        /// Time after which to retry, in seconds.
        retry_after: u64,
        /// Whether the cause is too much queued work rather than an unavailable dependency.
        overload: bool,
        /// Reason for the log and the client.
        reason: String,
        /// Whether the owner refuses every submission of the sender, whatever the job is.
        #[serde(default, skip_serializing_if = "is_false")]
        sender_wide: bool,
    },
    /// The job was cancelled before it was accepted, and will never run.
    Cancelled,
    /// It is not known yet whether the job is stored.
    Uncertain,
    /// The body is not a valid job; the message names the problem.
    Invalid(String),
    /// Status of the job.
    State(JobStatus),
    /// The cell does not know the job.
    NotFound,
    /// Number of waiting jobs.
    Waiting(u64),
    /// Load of the cell.
    Load(LoadReport),
    /// Status of a job for operators.
    Description(JobDescription),
    /// What each workspace has in the cell.
    Workspaces(BTreeMap<WorkspaceName, WorkspaceLoad>),
    /// The job belongs to another workspace than the caller.
    Forbidden,
    /// The delegated job is so old that the cell may have run and removed it.
    Expired,
    /// Cell that runs the job.
    Located(CellName),
    /// Responses to the parts of a request, in its order.
    Many(Vec<CellResponse>),
    /// The node does not own the cell.
    NotOwner,
}

/// Load of a cell; see [`PoolLoad`].
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    cores: f64,
    lasting: f64,
    arrival: f64,
    backlog: f64,
    #[serde(default, skip_serializing_if = "is_zero")]
    rising: f64,
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

impl LoadReport {
    /// Creates the report of a load.
    pub fn from_load(load: &PoolLoad) -> Self {
        Self {
            cores: load.cores,
            lasting: load.lasting,
            arrival: load.arrival,
            backlog: load.backlog,
            rising: load.rising,
        }
    }

    /// Adds this load to the load of a pool.
    pub fn add_to(&self, load: &mut PoolLoad) {
        load.cores += self.cores;
        load.lasting += self.lasting;
        load.arrival += self.arrival;
        load.backlog += self.backlog;
        load.rising += self.rising;
    }
}

/// A request to drain a worker before its VM goes down.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Cell of the worker.
    pub cell: CellName,
    /// As in [`CellRequest`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<CellName>,
    /// Id of the worker.
    pub worker: String,
    /// Whether to stop runs that lose no progress by being stopped.
    pub evicts: bool,
}

/// Response to a [`DrainRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainResponse {
    /// Whether nothing runs on the worker and nothing will be started there for a while.
    #[serde(rename = "empty")]
    pub is_empty: bool,
    /// Whether a long-running task may still run on the worker.
    #[serde(rename = "lasting")]
    pub has_long_running: bool,
}

impl DrainResponse {
    /// No run on the worker is known.
    pub const EMPTY: Self = Self {
        is_empty: true,
        has_long_running: false,
    };
    /// It is not known what runs on the worker.
    pub const UNKNOWN: Self = Self {
        is_empty: false,
        has_long_running: true,
    };
}

/// Client for calls to other nodes.
#[derive(Debug)]
pub struct PeerClient {
    clock: NodeClock,
    config_reads: Arc<ConfigReads>,
    pools: Mutex<HashMap<SocketAddr, Arc<ClientPool>>>,
    /// Times that the last responses of nodes carried.
    times: Mutex<HashMap<SocketAddr, PeerTime>>,
}

impl PeerClient {
    /// Creates a client without connections.
    pub fn new(clock: NodeClock, config_reads: Arc<ConfigReads>) -> Self {
        Self {
            clock,
            config_reads,
            pools: Mutex::default(),
            times: Mutex::default(),
        }
    }

    fn pool(&self, address: SocketAddr) -> Arc<ClientPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connect_timeout: Duration::from_millis(400),
                max_idle: Duration::from_secs(8),
                max_connections: 16,
                max_body: MAX_RESPONSE,
                min_rate: Some(MIN_LINK_RATE),
                ..PoolLimits::default()
            };
            Arc::new(ClientPool::new(address, limits))
        });
        Arc::clone(pool)
    }

    /// Closes the idle connections to a node, so that the next call opens a new one.
    pub(crate) fn close_idle_connections(&self, address: SocketAddr) {
        self.pool(address).clear();
    }

    /// Sends a request to the owner of a cell.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] if the owner did not receive the request.
    pub async fn call_cell(
        &self,
        address: SocketAddr,
        request: &CellRequest,
        timeout: Duration,
    ) -> TanagerResult<CellResponse> {
        let mut call = encode_call(address, CELL_PATH, request)?;
        if request.operation.expires() {
            let remaining = HeaderValue::from(timeout.as_millis() as u64);
            call.headers.insert(REMAINING_HEADER, remaining);
            let peer_time = self.times().get(&address).copied();
            if let Some(peer_time) = peer_time {
                insert_time(&mut call.headers, peer_time.reached(self.clock.now()));
            }
        }
        let response = self.exchange(address, &call, timeout).await?;
        if let Some(sent) = node_time(&response.headers) {
            let read_at = self.clock.now();
            self.times().insert(address, PeerTime { sent, read_at });
        }
        decode_response(address, &response)
    }

    fn times(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerTime>> {
        self.times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the owner of a cell to drain a worker.
    ///
    /// # Errors
    ///
    /// As [`PeerClient::call_cell`].
    pub async fn drain_worker(
        &self,
        address: SocketAddr,
        request: &DrainRequest,
        timeout: Duration,
    ) -> TanagerResult<DrainResponse> {
        self.call(address, DRAIN_PATH, request, timeout).await
    }

    /// Reports the usage of a cell to the allocator.
    ///
    /// # Errors
    ///
    /// As [`PeerClient::call_cell`].
    pub async fn report_allowance(
        &self,
        address: SocketAddr,
        report: &AllowanceReport,
        timeout: Duration,
    ) -> TanagerResult<AllowanceResponse> {
        self.call(address, ALLOWANCE_PATH, report, timeout).await
    }

    /// Notifies a node that owners of cells changed, so that it reads them now. A failure is only
    /// logged, because the node reads them regularly anyway.
    pub async fn notify(&self, address: SocketAddr, timeout: Duration) {
        if let Err(error) = self
            .call::<(), ()>(address, NOTIFY_PATH, &(), timeout)
            .await
        {
            log::debug!("event=poke_failed peer={address} error={error:?}");
        }
    }

    async fn call<Q: Serialize, A: for<'a> Deserialize<'a>>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        timeout: Duration,
    ) -> TanagerResult<A> {
        let call = encode_call(address, path, body)?;
        let response = self.exchange(address, &call, timeout).await?;
        decode_response(address, &response)
    }

    /// Sends an encoded call to another node.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: &HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        let pool = self.pool(address);
        let result = pool.exchange(request, timeout).await;
        match &result {
            Ok(response) => {
                let text = response.header(CONFIG_HEADER.as_str());
                if let Some(peer) = text.and_then(|text| text.parse().ok()) {
                    self.config_reads.record_peer(peer, self.clock.now());
                }
            }
            // The peer may no longer respond on the other idle connections, either.
            Err(_) => pool.clear(),
        }
        result
    }
}

pub(crate) fn encode_call(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> TanagerResult<HttpRequest> {
    let body = cpu_time::measured(Duty::PeerCalls, || serde_json::to_vec(body))
        .map_err(|error| call_failure(ErrorKind::NotSent, address, error.to_string()))?;
    Ok(HttpRequest::new(Method::POST, path, body))
}

fn call_failure(kind: ErrorKind, address: SocketAddr, error: String) -> TanagerError {
    TanagerError::new(kind, "call peer", address.to_string(), error)
}

pub(crate) fn decode_response<A: for<'a> Deserialize<'a>>(
    address: SocketAddr,
    response: &HttpResponse,
) -> TanagerResult<A> {
    match response.status {
        StatusCode::OK => decode_body(&response.body)
            .map_err(|error| call_failure(ErrorKind::Unknown, address, error.to_string())),
        // The peer did not process the call.
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND => Err(call_failure(
            ErrorKind::NotSent,
            address,
            response.status.to_string(),
        )),
        status => Err(call_failure(
            ErrorKind::Unknown,
            address,
            status.to_string(),
        )),
    }
}

fn decode_body<T: for<'a> Deserialize<'a>>(body: &[u8]) -> serde_json::Result<T> {
    cpu_time::measured(Duty::PeerCalls, || serde_json::from_slice(body))
}

/// Decodes the body of a call between nodes.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] if the body is malformed.
pub fn decode_request<T: for<'a> Deserialize<'a>>(body: &[u8]) -> TanagerResult<T> {
    decode_body(body)
        .map_err(|error| TanagerError::new(ErrorKind::Invalid, "decode call", "peer", error))
}

/// Returns the time for which the caller of a request to the owner of a cell waited when it sent it;
/// `None` if it does not say, or if the operation is wanted also when it is late.
pub fn remaining_time(request: &HttpRequest) -> Option<Duration> {
    let text = request.header(REMAINING_HEADER.as_str())?;
    text.parse().ok().map(Duration::from_millis)
}

/// Returns the time that the clock of this node had reached when a call was sent; `None` if the call does
/// not say.
pub fn sent_after(request: &HttpRequest) -> Option<NodeTime> {
    node_time(&request.headers)
}

fn node_time(headers: &HeaderMap) -> Option<NodeTime> {
    headers.get(CLOCK_HEADER)?.to_str().ok()?.parse().ok()
}

fn insert_time(headers: &mut HeaderMap, time: NodeTime) {
    // Digits and a dot are valid in a header.
    if let Ok(value) = HeaderValue::try_from(time.to_string()) {
        headers.insert(CLOCK_HEADER, value);
    }
}

/// Adds the version of the configuration in force to a response to another node.
pub(crate) fn insert_version(response: &mut HttpResponse, in_force: Option<VersionInForce>) {
    // Digits and a space are valid in a header.
    let value = in_force.and_then(|version| HeaderValue::try_from(version.to_string()).ok());
    if let Some(value) = value {
        response.headers.insert(CONFIG_HEADER, value);
    }
}

/// Encodes the response to a call to the owner of a cell, at a time on the clock of this node.
pub fn encode_cell_response(response: &CellResponse, time: NodeTime) -> HttpResponse {
    let mut response = encode_response(response);
    insert_time(&mut response.headers, time);
    response
}

/// Encodes the response to a call between nodes.
pub fn encode_response<T: Serialize>(response: &T) -> HttpResponse {
    match cpu_time::measured(Duty::PeerCalls, || serde_json::to_vec(response)) {
        Ok(body) => HttpResponse::new(StatusCode::OK, body),
        Err(error) => HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
