//! Client of the platform: table service, object store and VM list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::MIN_LINK_RATE;
use tanager_http::TransferLimits;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::ids::VmId;

/// Characters of a key that are not percent-encoded in a path or query.
const KEY_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'/');

/// Version of a row; 0 means that the row is absent.
pub type RowVersion = u64;

/// One row of the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version, which increases with every write of the row.
    pub version: RowVersion,
    /// Value of the row.
    pub value: Value,
}

/// A condition of a transaction: the row has the given version.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowCondition {
    /// Key of the row.
    pub key: String,
    /// Required version; 0 requires that the row is absent.
    pub version: RowVersion,
}

/// A write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// Key of the row.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
}

/// An atomic change of several rows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableTransaction {
    /// Conditions, which must all hold; otherwise nothing is written.
    pub conditions: Vec<RowCondition>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
}

/// Result of a transaction to which the service responded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactionResult {
    /// The writes took effect; the new versions in the order of the writes, 0 for a deletion.
    Committed(Vec<RowVersion>),
    /// Nothing was written; the indices of the conditions that failed.
    Conflict(Vec<usize>),
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The VM runs.
    Live,
    /// The platform announced that the VM will shut down.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedVm {
    /// Name of an endpoint VM or of an entry VM.
    pub vm: VmId,
    /// State of the VM.
    pub state: ListedState,
}

/// VMs whose state changed after a version of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmListing {
    /// Version of the list; pass it as `since` of the next call.
    pub version: u64,
    /// Changed VMs.
    pub vms: Vec<ListedVm>,
}

#[derive(Serialize, Deserialize)]
struct CommittedBody {
    versions: Vec<RowVersion>,
}

#[derive(Serialize, Deserialize)]
struct ConflictBody {
    failed: Vec<usize>,
}

#[derive(Serialize, Deserialize)]
struct RowsBody {
    rows: Vec<TableRow>,
}

/// Client of the platform's HTTP interface.
///
/// Errors of kind [`ErrorKind::Unknown`] and [`ErrorKind::Timeout`] mean that a write may have
/// taken effect; [`ErrorKind::NotSent`] and [`ErrorKind::Refused`] mean that it did not.
#[derive(Debug)]
pub struct PlatformClient {
    pool: ClientPool,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client; it connects when it is first used.
    ///
    /// `timeout` limits each call, and a larger object may take longer by its size.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let limits = PoolLimits {
            connect_timeout: timeout,
            max_body: 64 << 20,
            max_connections: 16,
            min_rate: Some(MIN_LINK_RATE),
            ..PoolLimits::default()
        };
        Self {
            pool: ClientPool::new(address, limits),
            timeout,
        }
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn transact(
        &self,
        transaction: &TableTransaction,
    ) -> TanagerResult<TransactionResult> {
        let body = serde_json::to_vec(transaction).map_err(|error| self.internal(error))?;
        let response = self
            .call("transact", Method::POST, "/table/transact", body)
            .await?;
        match response.status {
            StatusCode::OK => {
                let body: CommittedBody = self.decode("transact", &response)?;
                Ok(TransactionResult::Committed(body.versions))
            }
            StatusCode::CONFLICT => {
                let body: ConflictBody = self.decode("transact", &response)?;
                Ok(TransactionResult::Conflict(body.failed))
            }
            _ => Err(self.status_error("transact", &response)),
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn read(&self, key: &str) -> TanagerResult<Option<TableRow>> {
        let path = format!("/table/rows/{}", encode_key(key));
        let response = self.call("read", Method::GET, &path, Vec::new()).await?;
        match response.status {
            StatusCode::OK => self.decode("read", &response).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error("read", &response)),
        }
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> TanagerResult<Vec<TableRow>> {
        let path = format!(
            "/table/scan?prefix={}&after={}&limit={limit}",
            encode_key(prefix),
            encode_key(after)
        );
        let response = self.call("scan", Method::GET, &path, Vec::new()).await?;
        if response.status != StatusCode::OK {
            return Err(self.status_error("scan", &response));
        }
        let body: RowsBody = self.decode("scan", &response)?;
        Ok(body.rows)
    }

    /// Writes an object.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn put_object(&self, key: &str, content: Vec<u8>) -> TanagerResult<()> {
        let path = format!("/objects/{}", encode_key(key));
        let response = self.call("put_object", Method::PUT, &path, content).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(self.status_error("put_object", &response))
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn get_object(&self, key: &str) -> TanagerResult<Option<Bytes>> {
        let path = format!("/objects/{}", encode_key(key));
        let response = self
            .call("get_object", Method::GET, &path, Vec::new())
            .await?;
        match response.status {
            StatusCode::OK => Ok(Some(response.body)),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(self.status_error("get_object", &response)),
        }
    }

    /// Reads the VMs whose state changed after version `since` of the list; 0 reads all.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn list_vms(&self, since: u64) -> TanagerResult<VmListing> {
        let path = format!("/vms?since={since}");
        let response = self
            .call("list_vms", Method::GET, &path, Vec::new())
            .await?;
        if response.status != StatusCode::OK {
            return Err(self.status_error("list_vms", &response));
        }
        self.decode("list_vms", &response)
    }

    /// Asks the platform to reboot a VM.
    ///
    /// # Errors
    ///
    /// See [`PlatformClient`].
    pub async fn reboot(&self, vm: &str) -> TanagerResult<()> {
        let path = format!("/vms/{}/reboot", encode_key(vm));
        let response = self.call("reboot", Method::POST, &path, Vec::new()).await?;
        if response.status.is_success() {
            return Ok(());
        }
        Err(self.status_error("reboot", &response))
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> TanagerResult<HttpResponse> {
        let timeout = self.timeout + TransferLimits::slowest_transfer(body.len());
        let request = HttpRequest::new(method, path, body);
        let result = self.pool.exchange(&request, timeout).await;
        result.map_err(|error| TanagerError { step, ..error })
    }

    fn decode<T: DeserializeOwned>(
        &self,
        step: &'static str,
        response: &HttpResponse,
    ) -> TanagerResult<T> {
        serde_json::from_slice(&response.body)
            .map_err(|error| TanagerError::new(ErrorKind::Unknown, step, self.peer(), error))
    }

    fn status_error(&self, step: &'static str, response: &HttpResponse) -> TanagerError {
        // A 5xx response may come from an intermediary after the write took effect.
        let kind = if response.status.is_client_error() {
            ErrorKind::Refused
        } else {
            ErrorKind::Unknown
        };
        TanagerError::new(
            kind,
            step,
            self.peer(),
            format!("status {}", response.status),
        )
    }

    fn internal(&self, error: serde_json::Error) -> TanagerError {
        TanagerError::new(ErrorKind::Internal, "encode", self.peer(), error)
    }

    fn peer(&self) -> String {
        self.pool.address().to_string()
    }
}

fn encode_key(key: &str) -> String {
    utf8_percent_encode(key, KEY_CHARACTERS).to_string()
}
