//! Stand-ins of endpoints: several in one process, each on its own port.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;
use tokio::time;

use crate::port::ConnectionHandler;
use crate::port::WirePort;
use crate::port::wait_for_stop;
use crate::record::EndpointRun;
use crate::record::RunRecord;
use crate::wire::WireConnection;
use crate::wire::WireRequest;
use crate::wire::WireResponse;
use crate::worker::EndpointWorker;

/// Header that marks the response to a request rejected because all slots were in use.
pub const REJECTED_HEADER: &str = "x-endpoint-rejected";

/// Options of an [`EndpointStandin`].
#[derive(Clone, Debug)]
pub struct EndpointOptions {
    /// Number of endpoints.
    pub count: usize,
    /// Address of the endpoints and of the control listener. Port 0 selects free ports; any other
    /// is the port of the control listener, and the endpoints use the ports that follow it.
    pub address: SocketAddr,
    /// File to which each finished run is written as a JSON line.
    pub record: Option<PathBuf>,
    /// Prefix of the endpoint names; a number from 1 follows it.
    pub prefix: String,
    /// Requests that each endpoint runs at once; it rejects any further request.
    pub slots: usize,
}

impl Default for EndpointOptions {
    fn default() -> Self {
        Self {
            count: 1,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            record: None,
            prefix: "vm-".to_owned(),
            slots: 8,
        }
    }
}

/// Faults of one endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// `/health` returns 503, and every response closes its connection.
    pub leaving: bool,
    /// The endpoint does not listen. Requests in progress finish.
    pub refuse: bool,
    /// Requests are read, but neither run nor answered.
    pub silent: bool,
    /// Every request gets status 500 without service time. It counts as run.
    pub fail_all: bool,
    /// Factor of the service time.
    pub slow_factor: f64,
    /// Responses are sent one byte at a time with pauses.
    pub trickle: bool,
    /// The connection is closed before the response is complete.
    pub truncate: bool,
    /// Responses have no length; closing the connection ends them.
    pub close_delimited: bool,
    /// Each response is replaced by the endpoint's previous one, including its request id.
    pub crossed: bool,
    /// Milliseconds until a closed connection is detected; its request keeps its slot until then.
    pub late_close_ms: u64,
}

impl Default for EndpointFaults {
    fn default() -> Self {
        Self {
            leaving: false,
            refuse: false,
            silent: false,
            fail_all: false,
            slow_factor: 1.0,
            trickle: false,
            truncate: false,
            close_delimited: false,
            crossed: false,
            late_close_ms: 0,
        }
    }
}

/// Running endpoints. Dropping it stops them.
pub struct EndpointStandin {
    shared: Arc<EndpointShared>,
    control: WirePort,
}

struct EndpointShared {
    record: Arc<RunRecord>,
    endpoints: Vec<EndpointEntry>,
}

struct EndpointEntry {
    worker: Arc<EndpointWorker>,
    port: WirePort,
}

impl EndpointStandin {
    /// Binds the endpoints. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or the record file cannot be created.
    pub fn bind(options: &EndpointOptions) -> io::Result<Self> {
        let record = Arc::new(RunRecord::open(options.record.as_deref())?);
        let mut endpoints = Vec::new();
        for number in 1..=options.count {
            let name = format!("{}{number}", options.prefix);
            let worker = EndpointWorker::new(name, options.slots, Arc::clone(&record));
            let worker = Arc::new(worker);
            let port = match options.address.port() {
                0 => 0,
                control_port => {
                    u16::try_from(usize::from(control_port) + number).map_err(io::Error::other)?
                }
            };
            let address = SocketAddr::new(options.address.ip(), port);
            let port = WirePort::bind(address, worker_handler(Arc::clone(&worker)))?;
            endpoints.push(EndpointEntry { worker, port });
        }
        let shared = Arc::new(EndpointShared { record, endpoints });
        let control = WirePort::bind(options.address, control_handler(Arc::downgrade(&shared)))?;
        Ok(Self { shared, control })
    }

    /// Names and addresses of the endpoints.
    pub fn endpoints(&self) -> Vec<(String, SocketAddr)> {
        self.shared.list()
    }

    /// Address of the control listener.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Returns a copy of the record, including runs in progress.
    pub fn runs(&self) -> Vec<EndpointRun> {
        self.shared.record.runs()
    }

    /// Draws the next order number of the record, which orders another event among the runs.
    pub fn next_order(&self) -> u64 {
        self.shared.record.next_order()
    }

    /// Sets the faults of an endpoint; returns when they are in effect.
    ///
    /// # Errors
    ///
    /// Returns an error when the name is unknown, or the port cannot be closed or opened.
    pub async fn set_faults(&self, name: &str, faults: EndpointFaults) -> io::Result<()> {
        let entry = self.shared.find(name).ok_or(io::ErrorKind::NotFound)?;
        entry.set_faults(faults).await
    }

    /// Restarts an endpoint: requests in progress finish, connections close, and after `downtime`
    /// the endpoint listens again without faults.
    ///
    /// # Errors
    ///
    /// Returns an error when the name is unknown, or the port cannot be closed or opened.
    pub async fn restart(&self, name: &str, downtime: Duration) -> io::Result<()> {
        let entry = self.shared.find(name).ok_or(io::ErrorKind::NotFound)?;
        entry.restart(downtime).await
    }
}

impl EndpointEntry {
    async fn set_faults(&self, faults: EndpointFaults) -> io::Result<()> {
        let refuse = faults.refuse;
        *self.worker.faults() = faults;
        if refuse {
            self.port.close().await
        } else {
            self.port.open().await
        }
    }

    async fn restart(&self, downtime: Duration) -> io::Result<()> {
        self.worker.faults().leaving = true;
        self.port.close().await?;
        time::sleep(downtime).await;
        self.set_faults(EndpointFaults::default()).await
    }
}

impl EndpointShared {
    fn list(&self) -> Vec<(String, SocketAddr)> {
        let entries = self.endpoints.iter();
        entries
            .map(|entry| (entry.worker.name().to_owned(), entry.port.address()))
            .collect()
    }

    fn find(&self, name: &str) -> Option<&EndpointEntry> {
        let mut entries = self.endpoints.iter();
        entries.find(|entry| entry.worker.name() == name)
    }

    async fn handle_control(&self, request: &WireRequest) -> WireResponse {
        let segments: Vec<&str> = request.path().split('/').skip(1).collect();
        let result = match (request.method.as_str(), segments.as_slice()) {
            ("GET", ["record"]) => Ok(json!(self.record.runs())),
            ("GET", ["endpoints"]) => Ok(json!(self.list())),
            ("POST", ["faults"]) => self.update_faults(self.endpoints.iter(), request).await,
            ("POST", ["endpoints", name, action]) => match (self.find(name), *action) {
                (Some(entry), "faults") => self.update_faults([entry].into_iter(), request).await,
                (Some(entry), "restart") => self.handle_restart(entry, request).await,
                _ => return WireResponse::new(404, ""),
            },
            _ => return WireResponse::new(404, ""),
        };
        match result {
            Ok(value) => WireResponse::json(200, &value),
            Err(error) => WireResponse::new(400, error.to_string()),
        }
    }

    /// Sets the named faults and keeps the others. Returns an order number of the record that is
    /// later than the start of every earlier run.
    async fn update_faults(
        &self,
        entries: impl Iterator<Item = &EndpointEntry>,
        request: &WireRequest,
    ) -> io::Result<Value> {
        let changes: serde_json::Map<String, Value> = serde_json::from_slice(&request.body)?;
        for entry in entries {
            let mut faults = serde_json::to_value(&*entry.worker.faults())?;
            for (name, value) in &changes {
                faults[name] = value.clone();
            }
            entry.set_faults(serde_json::from_value(faults)?).await?;
        }
        Ok(json!({ "order": self.record.next_order() }))
    }

    async fn handle_restart(
        &self,
        entry: &EndpointEntry,
        request: &WireRequest,
    ) -> io::Result<Value> {
        let options: RestartOptions = serde_json::from_slice(&request.body)?;
        let downtime = Duration::from_millis(options.down_ms);
        entry.restart(downtime).await?;
        Ok(json!({ "order": self.record.next_order() }))
    }
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RestartOptions {
    down_ms: u64,
}

fn worker_handler(worker: Arc<EndpointWorker>) -> ConnectionHandler {
    Arc::new(move |connection, stopped| {
        let worker = Arc::clone(&worker);
        Box::pin(async move { worker.serve(connection, stopped).await })
    })
}

fn control_handler(shared: Weak<EndpointShared>) -> ConnectionHandler {
    Arc::new(move |connection, stopped| {
        let shared = Weak::clone(&shared);
        Box::pin(serve_control(shared, connection, stopped))
    })
}

async fn serve_control(
    shared: Weak<EndpointShared>,
    mut connection: WireConnection,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let request = tokio::select! {
            biased;
            request = connection.read_request() => request,
            () = wait_for_stop(&mut stopped) => return,
        };
        let Ok(Some(request)) = request else { return };
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let response = shared.handle_control(&request).await;
        let encoded = response.encode(true, request.method != "HEAD");
        if connection.write(&encoded).await.is_err() || request.wants_close() {
            return;
        }
    }
}
