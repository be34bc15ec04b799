//! The dispatch service: one thread that owns the queues of all pools and executes the actions of
//! [`DispatchCore`].

mod event;
mod execute;
mod pending;
mod thread;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Sender;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

use tanager_control::NodeProgress;
use tanager_control::rebalance::UsageReport;
use tanager_dispatch::DispatchCore;
use tanager_dispatch::DispatchSettings;
use tanager_dispatch::counters::DispatchCounters;
use tanager_dispatch::usage::PoolUsage;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::is_idempotent_method;

use crate::claims::ClaimService;
use crate::claims::fingerprint::RequestFingerprint;
use crate::dispatcher::event::DispatchEvent;
use crate::dispatcher::event::ReplyId;
use crate::dispatcher::thread::DispatchThread;
use crate::endpoint::CloseSignal;
use crate::endpoint::EndpointClient;

/// Services of the node that the dispatch thread uses.
#[derive(Clone)]
pub struct DispatchBackend {
    /// Writes the claims of keyed requests.
    pub claims: Arc<ClaimService>,
    /// Sends requests and probes.
    pub endpoint: Arc<EndpointClient>,
    /// Runtime on which claims, requests and probes run.
    pub runtime: Handle,
}

/// Counters of one pool and priority.
pub type CounterRow = (PoolId, RequestPriority, DispatchCounters);

/// State that the dispatch thread publishes regularly. It has a single lock, so that the version
/// and the requests in flight are consistent.
#[derive(Debug, Default)]
struct DispatchReport {
    progress: NodeProgress,
    suspects: BTreeSet<VmId>,
    open_requests: usize,
    usage: MeasuredUsage,
}

/// Last measurement of the load of this node's pools.
#[derive(Debug, Default)]
struct MeasuredUsage {
    /// Number of the measurement, starting at 1; 0 before the first one.
    window: u64,
    /// Time of the measurement; `None` before the first one.
    measured_at: Option<Instant>,
    pools: Vec<PoolUsage>,
}

/// Handle of the running dispatch thread.
pub struct DispatchService {
    events: Sender<DispatchEvent>,
    report: Arc<Mutex<DispatchReport>>,
    thread: Mutex<Option<JoinHandle<()>>>,
    next_reply: AtomicU64,
}

impl DispatchService {
    /// Starts the dispatch thread. `seed` breaks ties between equally loaded workers.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if the thread cannot be started.
    pub fn spawn(
        settings: DispatchSettings,
        seed: u64,
        backend: DispatchBackend,
    ) -> TanagerResult<Self> {
        let (events, receiver) = channel::unbounded();
        let report = Arc::new(Mutex::new(DispatchReport::default()));
        let core = DispatchCore::new(settings, seed);
        let thread =
            DispatchThread::new(core, backend, receiver, events.clone(), Arc::clone(&report));
        let thread = std::thread::Builder::new()
            .name("dispatch".to_owned())
            .spawn(move || run_or_exit(thread))
            .map_err(|error| TanagerError::new(ErrorKind::Internal, "spawn", "dispatch", error))?;
        Ok(Self {
            events,
            report,
            thread: Mutex::new(Some(thread)),
            next_reply: AtomicU64::new(0),
        })
    }

    /// Queues a request and returns its outcome. Dropping the future cancels the request unless it
    /// is not idempotent and was already sent.
    pub async fn submit(&self, request: ForwardRequest) -> RequestOutcome {
        let id = self.next_reply.fetch_add(1, Ordering::Relaxed);
        let (reply, outcome) = oneshot::channel();
        let keyed = !is_idempotent_method(&request.method) && !request.idempotency_key.is_empty();
        // Computed here because a large body would block the dispatch thread for milliseconds.
        let fingerprint = keyed.then(|| RequestFingerprint::new(&request));
        let request = Arc::new(request);
        let mut guard = CancelGuard {
            id,
            events: Some(&self.events),
        };
        let event = DispatchEvent::Submit {
            id,
            request,
            fingerprint,
            reply,
        };
        if self.events.send(event).is_err() {
            return node_stopped_outcome();
        }
        let result = outcome.await;
        guard.events = None;
        // The thread normally ends only after it has replied to every request. Without a reply it
        // is unknown whether the request ran.
        result.unwrap_or_else(|_| thread_ended_outcome())
    }

    /// Passes a new fleet state to the dispatch thread.
    pub fn update_fleet_state(&self, state: Arc<FleetState>) {
        self.send(DispatchEvent::FleetUpdate(state));
    }

    /// Sets the pools for which this node is the home; it probes their workers.
    pub fn set_home_pools(&self, home_pools: BTreeSet<PoolId>) {
        self.send(DispatchEvent::HomePoolsUpdate(home_pools));
    }

    /// Reports that a response of the endpoint at an address closed its connection.
    pub fn report_close(&self, address: SocketAddr, signal: CloseSignal) {
        self.send(DispatchEvent::Disconnect(address, signal));
    }

    /// Returns a consistent pair of the applied version and the requests in flight on VMs that are
    /// draining or moving.
    pub fn progress(&self) -> NodeProgress {
        self.report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .progress
            .clone()
    }

    /// Returns the last measurement of the load of this node's pools.
    pub fn usage(&self) -> UsageReport {
        let report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        let usage = &report.usage;
        let pools = usage.pools.iter().map(|pool| peer::PoolUsage {
            pool: pool.pool.clone(),
            // `as` saturates.
            offered_millislots: (pool.offered * 1_000.0).round() as u32,
            capacity: pool.capacity,
        });
        UsageReport {
            window: usage.window,
            age: usage
                .measured_at
                .map_or(Duration::ZERO, |time| time.elapsed()),
            pools: pools.collect(),
        }
    }

    /// Returns the VMs that the dispatch thread considers unavailable.
    pub fn suspects(&self) -> BTreeSet<VmId> {
        self.report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .suspects
            .clone()
    }

    /// Returns the number of requests without an outcome.
    pub fn open_requests(&self) -> usize {
        self.report
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .open_requests
    }

    /// Returns the counters by pool and priority.
    pub fn counters(&self) -> Vec<CounterRow> {
        let (reply, rows) = channel::bounded(1);
        self.send(DispatchEvent::Counters(reply));
        rows.recv().unwrap_or_default()
    }

    /// Returns a dump of the queues and workers.
    pub fn dump(&self) -> serde_json::Value {
        let (reply, dump) = channel::bounded(1);
        self.send(DispatchEvent::Dump(reply));
        dump.recv().unwrap_or_default()
    }

    /// Ends the thread. Open requests that were not sent end as not run, all others with their last
    /// known outcome.
    pub fn stop(&self) {
        self.send(DispatchEvent::Stop);
        let thread = self
            .thread
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(thread) = thread {
            // A panic of the thread was already printed.
            let _ = thread.join();
        }
    }

    fn send(&self, event: DispatchEvent) {
        // Fails only after the thread has ended.
        let _ = self.events.send(event);
    }
}

/// Cancels a request if its future is dropped before the outcome is known.
struct CancelGuard<'a> {
    id: ReplyId,
    /// `None` once the outcome is known.
    events: Option<&'a Sender<DispatchEvent>>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(events) = self.events {
            // Fails only after the thread has ended.
            let _ = events.send(DispatchEvent::Cancel(self.id));
        }
    }
}

/// Runs the dispatch thread and exits the process if it panics: without the thread, the node would
/// accept requests and serve none.
fn run_or_exit(thread: DispatchThread) {
    let result = std::panic::catch_unwind(AssertUnwindSafe(|| thread.run()));
    if result.is_err() {
        log::error!("dispatch thread panicked; exiting");
        std::process::exit(1);
    }
}

fn thread_ended_outcome() -> RequestOutcome {
    RequestOutcome::Unknown(UnknownOutcome {
        reason: UnknownReason::HomeLost,
        message: "the dispatch thread ended before the outcome was known".to_owned(),
        retry_after: None,
    })
}

fn node_stopped_outcome() -> RequestOutcome {
    RequestOutcome::NotRun(NotRunOutcome {
        reason: NotRunReason::NotReady,
        message: "the node has stopped".to_owned(),
        retry_after: None,
    })
}
