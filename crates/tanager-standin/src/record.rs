//! The endpoints' record of the requests they ran.

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
    /// Value of the `tanager-request-id` header; empty when there was none.
    pub request_id: String,
    /// Value of the `idempotency-key` header; empty when there was none.
    pub key: String,
    /// Method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Order number of the start, from one counter of the process.
    pub start: u64,
    /// Order number of the finish; `None` while the request runs.
    pub finish: Option<u64>,
    /// Whether the run completed; false when the client disconnected before.
    pub completed: bool,
}

/// Append-only record in memory and, when asked, in a file with one JSON line per finished run.
#[derive(Debug)]
pub struct RunRecord {
    inner: Mutex<RecordState>,
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
    /// Errors of creating the file.
    pub fn open(path: Option<&Path>) -> io::Result<Self> {
        let file = path.map(File::create).transpose()?;
        Ok(Self {
            inner: Mutex::new(RecordState {
                order: 0,
                runs: Vec::new(),
                file,
            }),
        })
    }

    /// Records the start of a run; returns its index.
    pub fn start(&self, run: EndpointRun) -> usize {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.order += 1;
        let start = state.order;
        state.runs.push(EndpointRun { start, ..run });
        state.runs.len() - 1
    }

    /// Records the end of a run.
    ///
    /// # Panics
    ///
    /// When the file cannot be written: a verdict on an incomplete record would be wrong.
    pub fn finish(&self, index: usize, completed: bool) {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
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

    /// Takes an order number, to relate another event to the runs.
    pub fn next_order(&self) -> u64 {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.order += 1;
        state.order
    }

    /// Copies all runs, those in progress included.
    pub fn runs(&self) -> Vec<EndpointRun> {
        let state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.runs.clone()
    }
}

/// Returns the caller's own id of a request: the last segment of its path, without the query.
pub fn caller_id(path: &str) -> &str {
    let path = path.split('?').next().unwrap_or_default();
    path.rsplit('/').next().unwrap_or_default()
}

/// Builds the binary body of an answer, which depends on the caller's id and the size only.
pub fn response_bytes(id: &str, size: usize) -> Vec<u8> {
    let seed = xxh3_64(id.as_bytes());
    let mut bytes = Vec::with_capacity(size + 8);
    let mut word = 0u64;
    while bytes.len() < size {
        word += 1;
        bytes.extend(xxh3_64_with_seed(&word.to_le_bytes(), seed).to_le_bytes());
    }
    bytes.truncate(size);
    bytes
}

/// Digest of a body in hexadecimal.
pub fn body_digest(body: &[u8]) -> String {
    format!("{:016x}", xxh3_64(body))
}
