//! Record of the requests that the endpoints ran.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One run of a request at an endpoint.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointRun {
    /// Name of the endpoint.
    pub endpoint: String,
    /// Value of the `tanager-request-id` header; empty without one.
    pub request_id: String,
    /// Value of the `idempotency-key` header; empty without one.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Order number of the start, from the counter that all events of the record share.
    pub start: u64,
    /// Order number of the end; `None` while the request runs.
    pub finish: Option<u64>,
    /// Whether the run completed; false when the client disconnected first.
    pub completed: bool,
}

/// Append-only record in memory, and optionally in a file with one JSON line per finished run.
#[derive(Debug)]
pub struct RunRecord {
    state_mutex: Mutex<RecordState>,
}

#[derive(Debug)]
struct RecordState {
    order: u64,
    runs: Vec<EndpointRun>,
    file: Option<File>,
}

impl RunRecord {
    /// Creates an empty record.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be created.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(File::create).transpose()?;
        Ok(Self {
            state_mutex: Mutex::new(RecordState {
                order: 0,
                runs: Vec::new(),
                file,
            }),
        })
    }

    /// Records the start of a run; returns its index.
    pub fn start(&self, run: EndpointRun) -> usize {
        let mut state = self
            .state_mutex
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.order += 1;
        let start = state.order;
        state.runs.push(EndpointRun { start, ..run });
        state.runs.len() - 1
    }

    /// Records the end of a run.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written, because verification needs a complete record.
    pub fn finish(&self, index: usize, completed: bool) {
        let mut state = self
            .state_mutex
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.order += 1;
        let order = state.order;
        let run = &mut state.runs[index];
        run.finish = Some(order);
        run.completed = completed;
        let mut line = serde_json::to_vec(run).expect("a run is valid JSON");
        line.push(b'\n');
        if let Some(file) = &mut state.file {
            file.write_all(&line).expect("the record file is writable");
        }
    }

    /// Draws the next order number, which orders another event among the runs.
    pub fn next_order(&self) -> u64 {
        let mut state = self
            .state_mutex
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.order += 1;
        state.order
    }

    /// Returns a copy of all runs, including those in progress.
    pub fn runs(&self) -> Vec<EndpointRun> {
        let state = self
            .state_mutex
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.runs.clone()
    }
}

/// Returns the id that the caller chose for a request: the last path segment, without the query.
pub fn caller_id(path: &str) -> &str {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default()
}

/// Builds the binary response body of `size` bytes, which is determined by the caller's id.
pub fn response_bytes(id: &str, size: usize) -> Vec<u8> {
    let seed = xxh3_64(id.as_bytes());
    let mut bytes = Vec::with_capacity(size + 8);
    let mut counter = 0u64;
    while bytes.len() < size {
        counter += 1;
        bytes.extend(xxh3_64_with_seed(&counter.to_le_bytes(), seed).to_le_bytes());
    }
    bytes.truncate(size);
    bytes
}

/// Returns the XXH3 digest of a body in hexadecimal.
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
