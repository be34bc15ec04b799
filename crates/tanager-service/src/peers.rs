//! Calls between nodes, as HTTP requests with JSON bodies on the peer address.
//!
//! `tonic` serves the request path of `tanagerladderd --config`. Here its HTTP/2 framing would
//! cost an entry VM with a quarter of a core more than the calls themselves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::pool::ClientPool;
use tanager_http::pool::PoolLimits;
use tanager_jobs::JobId;
use tanager_jobs::JobSpec;
use tanager_jobs::ids::CellName;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_schedule::capacity::PoolLoad;
use tanager_site::job_api::JobStatus;

/// Path of calls to the owner of a cell.
pub const CELL_PATH: &str = "/cell";
/// Path of calls to the store through a peer.
pub const RELAY_PATH: &str = "/relay";
/// Path that asks a node to read the owners of cells now.
pub const NOTIFY_PATH: &str = "/poke";
/// Path of requests to empty a worker.
pub const DRAIN_PATH: &str = "/empty";

/// A request to the owner of a cell.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CellRequest {
    /// Cell.
    pub cell: CellName,
    /// Key of the queue.
    pub queue: String,
    /// What is asked.
    #[serde(rename = "ask")]
    pub operation: CellOperation,
}

/// What is asked of the owner of a cell.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CellOperation {
    /// Accept a job.
    Submit {
        /// Id.
        id: JobId,
        /// Job.
        job: SubmittedJob,
    },
    /// Return whether the id is known.
    Known(JobId),
    /// Return the state of a job.
    Show(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Return the number of waiting jobs.
    Waiting,
    /// Return the load of the cell.
    Load,
}

/// A job as it was handed in. The owner decodes it, because it knows most ids that come again.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SubmittedJob {
    /// Body of a client's request.
    Body(String),
    /// From an operator.
    Spec(JobSpec),
}

/// Answer of the owner of a cell.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CellResponse {
    /// The job is stored, or its cancellation is.
    Done,
    /// Not accepted; it never runs under this attempt. Come back after this many seconds.
    Refused {
        /// Seconds.
        retry_after: u64,
        /// Whether too much work waits, in contrast to a lost dependency.
        overload: bool,
        /// Reason for the log and the client.
        reason: String,
    },
    /// Whether it is stored is not known yet.
    Uncertain,
    /// The body is not a job.
    Invalid(String),
    /// State of the job.
    State(JobStatus),
    /// No such job.
    NotFound,
    /// Number of waiting jobs.
    Waiting(u64),
    /// Load of the cell.
    Load(LoadReport),
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
}

impl LoadReport {
    /// Describes a load.
    pub fn of(load: &PoolLoad) -> Self {
        Self {
            cores: load.cores,
            lasting: load.lasting,
            arrival: load.arrival,
            backlog: load.backlog,
        }
    }

    /// Adds this load to that of a pool.
    pub fn add_to(&self, load: &mut PoolLoad) {
        load.cores += self.cores;
        load.lasting += self.lasting;
        load.arrival += self.arrival;
        load.backlog += self.backlog;
    }
}

/// A request to empty a worker before its VM goes down.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Cell.
    pub cell: CellName,
    /// Worker.
    pub worker: String,
    /// Whether runs that lose nothing by a stop are stopped.
    pub evicts: bool,
}

/// Answer to an [`DrainRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DrainResponse {
    /// Whether nothing runs there and nothing will be started for a while.
    #[serde(rename = "empty")]
    pub is_empty: bool,
    /// Whether a task that lasts may still run there.
    #[serde(rename = "lasting")]
    pub has_long_running: bool,
}

impl DrainResponse {
    /// No owner knows a run on the worker.
    pub const EMPTY: Self = Self {
        is_empty: true,
        has_long_running: false,
    };
    /// What runs there is not known.
    pub const UNKNOWN: Self = Self {
        is_empty: false,
        has_long_running: true,
    };
}

#[derive(Deserialize, Serialize)]
struct RelayRequest {
    method: String,
    path: String,
    body: String,
    timeout_ms: u64,
}

#[derive(Deserialize, Serialize)]
struct RelayResponse {
    status: u16,
    body: String,
}

/// Client of other nodes.
#[derive(Debug, Default)]
pub struct PeerClient {
    pools: Mutex<HashMap<SocketAddr, Arc<ClientPool>>>,
}

impl PeerClient {
    fn pool(&self, address: SocketAddr) -> Arc<ClientPool> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let pool = pools.entry(address).or_insert_with(|| {
            let limits = PoolLimits {
                connect_timeout: Duration::from_millis(400),
                max_idle: Duration::from_secs(8),
                max_connections: 16,
                ..PoolLimits::default()
            };
            Arc::new(ClientPool::new(address, limits))
        });
        Arc::clone(pool)
    }

    /// Asks the owner of a cell.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] when the owner did not get the request.
    pub async fn call_cell(
        &self,
        address: SocketAddr,
        request: &CellRequest,
        timeout: Duration,
    ) -> TanagerResult<CellResponse> {
        self.call(address, CELL_PATH, request, timeout).await
    }

    /// Asks the owner of a cell to empty a worker.
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

    /// Asks a node to read the owners of cells now. The answer does not matter: the node reads
    /// them soon anyway.
    pub async fn notify(&self, address: SocketAddr, timeout: Duration) {
        if let Err(error) = self
            .call::<(), ()>(address, NOTIFY_PATH, &(), timeout)
            .await
        {
            log::debug!("event=poke_failed peer={address} error={error:?}");
        }
    }

    /// Sends a call to the store through a node.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::NotSent`] when the store surely did not get the call.
    pub async fn relay(
        &self,
        address: SocketAddr,
        request: &HttpRequest,
        timeout: Duration,
    ) -> TanagerResult<HttpResponse> {
        let wire = RelayRequest {
            method: request.method.to_string(),
            path: request.path.clone(),
            body: STANDARD.encode(&request.body),
            timeout_ms: timeout.as_millis() as u64,
        };
        let answer: RelayResponse = self.call(address, RELAY_PATH, &wire, timeout).await?;
        let unknown = |error: String| {
            TanagerError::new(ErrorKind::Unknown, "relay", address.to_string(), error)
        };
        let status = StatusCode::from_u16(answer.status).map_err(|e| unknown(e.to_string()))?;
        let body = STANDARD
            .decode(answer.body)
            .map_err(|error| unknown(error.to_string()))?;
        Ok(HttpResponse::new(status, body))
    }

    async fn call<Q: Serialize, A: for<'a> Deserialize<'a>>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Q,
        timeout: Duration,
    ) -> TanagerResult<A> {
        let failure =
            |kind, error: String| TanagerError::new(kind, "call peer", address.to_string(), error);
        let body = serde_json::to_vec(body)
            .map_err(|error| failure(ErrorKind::NotSent, error.to_string()))?;
        let request = HttpRequest::new(Method::POST, path, body);
        let pool = self.pool(address);
        let response = match pool.exchange(&request, timeout).await {
            Ok(response) => response,
            Err(error) => {
                // Other idle connections may be silent as well.
                pool.clear();
                return Err(error);
            }
        };
        match response.status {
            StatusCode::OK => serde_json::from_slice(&response.body)
                .map_err(|error| failure(ErrorKind::Unknown, error.to_string())),
            // The peer did nothing with the call.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::NOT_FOUND => {
                Err(failure(ErrorKind::NotSent, response.status.to_string()))
            }
            status => Err(failure(ErrorKind::Unknown, status.to_string())),
        }
    }
}

/// Decodes the body of a call between nodes.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] when the body is malformed.
pub fn decode<T: for<'a> Deserialize<'a>>(body: &[u8]) -> TanagerResult<T> {
    serde_json::from_slice(body)
        .map_err(|error| TanagerError::new(ErrorKind::Invalid, "decode call", "peer", error))
}

/// Encodes the answer to a call between nodes.
pub fn reply<T: Serialize>(answer: &T) -> HttpResponse {
    match serde_json::to_vec(answer) {
        Ok(body) => HttpResponse::new(StatusCode::OK, body),
        Err(error) => HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Decodes a relayed call.
///
/// # Errors
///
/// [`ErrorKind::Invalid`] when it is malformed.
pub fn decode_relay(body: &[u8]) -> TanagerResult<(HttpRequest, Duration)> {
    let invalid =
        |error: String| TanagerError::new(ErrorKind::Invalid, "decode relayed call", "peer", error);
    let wire: RelayRequest = decode(body)?;
    let method = Method::from_bytes(wire.method.as_bytes()).map_err(|e| invalid(e.to_string()))?;
    let body = STANDARD
        .decode(wire.body)
        .map_err(|e| invalid(e.to_string()))?;
    let mut request = HttpRequest::new(method, wire.path, Bytes::from(body));
    tanager_site::job_api::set_json_content_type(&mut request.headers);
    Ok((request, Duration::from_millis(wire.timeout_ms)))
}

/// Encodes the answer to a relayed call.
pub fn encode_relayed(response: &HttpResponse) -> HttpResponse {
    reply(&RelayResponse {
        status: response.status.as_u16(),
        body: STANDARD.encode(&response.body),
    })
}
