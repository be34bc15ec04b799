//! One endpoint: runs requests in a limited number of slots, with injected faults.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::sync::watch;
use tokio::time;

use crate::endpoint::EndpointFaults;
use crate::endpoint::REJECTED_HEADER;
use crate::port::wait_for_stop;
use crate::record::EndpointRun;
use crate::record::RunRecord;
use crate::record::body_digest;
use crate::record::caller_id;
use crate::record::response_bytes;
use crate::wire::WireConnection;
use crate::wire::WireRequest;
use crate::wire::WireResponse;

/// Service time of a request without the header `x-work-ms`.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(5);
/// Largest binary response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Pause after each byte of a trickled response, so that it takes longer than usual deadlines.
const TRICKLE_PAUSE: Duration = Duration::from_millis(100);

/// State of one endpoint.
pub(crate) struct EndpointWorker {
    name: String,
    slots: usize,
    in_use: AtomicUsize,
    record: Arc<RunRecord>,
    faults: Mutex<EndpointFaults>,
    last_response: Mutex<Option<WireResponse>>,
}

/// A slot in use; dropping it frees the slot.
struct WorkerSlot<'a> {
    in_use: &'a AtomicUsize,
}

impl Drop for WorkerSlot<'_> {
    fn drop(&mut self) {
        self.in_use.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Records the end of a run when dropped, also together with the future of the request: as
/// interrupted, unless `completed` was set.
struct RunGuard<'a> {
    record: &'a RunRecord,
    index: usize,
    completed: bool,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.record.finish(self.index, self.completed);
    }
}

impl EndpointWorker {
    pub(crate) fn new(name: String, slots: usize, record: Arc<RunRecord>) -> Self {
        Self {
            name,
            slots,
            in_use: AtomicUsize::new(0),
            record,
            faults: Mutex::new(EndpointFaults::default()),
            last_response: Mutex::new(None),
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn faults(&self) -> MutexGuard<'_, EndpointFaults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn serve(
        &self,
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
            let response = match self.handle_request(&request, &mut connection).await {
                Some(response) => response,
                None => return,
            };
            let faults = self.faults().clone();
            if faults.silent {
                tokio::select! {
                    () = connection.closed() => {}
                    () = wait_for_stop(&mut stopped) => {}
                }
                return;
            }
            let close = faults.leaving
                || faults.close_delimited
                || faults.truncate
                || request.wants_close()
                || *stopped.borrow();
            let response = if close {
                response.with_header("connection", "close")
            } else {
                response
            };
            let written = send_response(&faults, &request, &response, &mut connection).await;
            if written.is_err() || close {
                return;
            }
        }
    }

    /// Runs a request; `None` when the client disconnected before the end of the run.
    async fn handle_request(
        &self,
        request: &WireRequest,
        connection: &mut WireConnection,
    ) -> Option<WireResponse> {
        let faults = self.faults().clone();
        if faults.silent {
            return Some(WireResponse::new(500, ""));
        }
        if request.path() == "/health" {
            let status = if faults.leaving { 503 } else { 200 };
            return Some(WireResponse::new(status, ""));
        }
        let Some(slot) = self.acquire_slot() else {
            return Some(WireResponse::new(503, "no free slot").with_header(REJECTED_HEADER, "1"));
        };
        let header_text = |name| request.header(name).unwrap_or_default().to_owned();
        let mut guard = RunGuard {
            record: &self.record,
            index: self.record.start(EndpointRun {
                endpoint: self.name.clone(),
                request_id: header_text("tanager-request-id"),
                key: header_text("idempotency-key"),
                method: request.method.clone(),
                path: request.target.clone(),
                ..EndpointRun::default()
            }),
            completed: false,
        };
        if !faults.fail_all {
            let service_time = header_text("x-work-ms")
                .parse()
                .map_or(DEFAULT_SERVICE_TIME, Duration::from_millis);
            tokio::select! {
                biased;
                () = time::sleep(service_time.mul_f64(faults.slow_factor.clamp(0.0, 1e6))) => {}
                () = connection.closed() => {
                    time::sleep(Duration::from_millis(faults.late_close_ms)).await;
                    return None;
                }
            }
        }
        guard.completed = true;
        drop(guard);
        drop(slot);
        let response = self.build_response(request, faults.fail_all);
        let mut last = self
            .last_response
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let previous = last.replace(response.clone());
        match previous {
            Some(previous) if faults.crossed => Some(previous),
            _ => Some(response),
        }
    }

    fn acquire_slot(&self) -> Option<WorkerSlot<'_>> {
        let slot = WorkerSlot {
            in_use: &self.in_use,
        };
        let used_slots = self.in_use.fetch_add(1, Ordering::SeqCst);
        (used_slots < self.slots).then_some(slot)
    }

    fn build_response(&self, request: &WireRequest, failed: bool) -> WireResponse {
        let digest = body_digest(&request.body);
        let request_id = request.header("tanager-request-id").unwrap_or_default();
        let size = request.header("x-answer-bytes");
        let response = if failed {
            WireResponse::new(500, "")
        } else if let Some(size) = size.and_then(|size| size.parse::<usize>().ok()) {
            let id = caller_id(&request.target);
            WireResponse::new(200, response_bytes(id, size.min(MAX_RESPONSE_BYTES)))
                .with_header("content-type", "application/octet-stream")
        } else {
            let echo = json!({
                "endpoint": self.name,
                "method": request.method,
                "path": request.target,
                "digest": digest,
                "request_id": request_id,
            });
            WireResponse::json(200, &echo)
        };
        // The headers repeat the echo, because binary and empty bodies cannot contain it.
        response
            .with_header("tanager-request-id", request_id)
            .with_header("x-echo-method", request.method.as_str())
            .with_header("x-echo-path", request.target.as_str())
            .with_header("x-echo-digest", digest)
    }
}

async fn send_response(
    faults: &EndpointFaults,
    request: &WireRequest,
    response: &WireResponse,
    connection: &mut WireConnection,
) -> std::io::Result<()> {
    let mut encoded = response.encode(!faults.close_delimited, request.method != "HEAD");
    if faults.truncate {
        // Without a body the end of the head is removed.
        let removed_bytes = (response.body.len() / 2).max(1).min(encoded.len());
        encoded.truncate(encoded.len() - removed_bytes);
    }
    if faults.trickle {
        connection.trickle(&encoded, 1, TRICKLE_PAUSE).await
    } else {
        connection.write(&encoded).await
    }
}
