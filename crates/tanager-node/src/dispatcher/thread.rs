//! Event loop of the dispatch thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;

use tanager_control::NodeProgress;
use tanager_dispatch::ClaimReport;
use tanager_dispatch::DispatchAction;
use tanager_dispatch::DispatchCore;
use tanager_dispatch::ProbeReport;
use tanager_dispatch::RequestKey;
use tanager_dispatch::SendReport;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::request::RequestPriority;
use tanager_protocol::request::RequestSummary;
use tanager_protocol::request::is_idempotent_method;

use crate::claims::ClaimResult;
use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::fingerprint::key_reused_outcome;
use crate::dispatcher::DispatchBackend;
use crate::dispatcher::DispatchReport;
use crate::dispatcher::event::DispatchEvent;
use crate::dispatcher::event::OutcomeSender;
use crate::dispatcher::event::ReplyId;
use crate::dispatcher::execute::unknown_outcome;
use crate::dispatcher::pending::PendingRequest;
use crate::dispatcher::pending::PendingTable;
use crate::endpoint::CloseSignal;
use crate::endpoint::ProbeOutcome;

/// Longest wait for an event.
const MAX_EVENT_WAIT: Duration = Duration::from_secs(1);
/// Interval between reports while events arrive. Publishing after each event would iterate over all
/// workers for each request. A late report only delays moves: once a fleet state is applied, the
/// number of requests in flight on a draining VM can only decrease.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between measurements of the load of the pools, the same as between the reports in
/// docs/POLICY.md.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of events handled before the report is published again.
const MAX_EVENT_BATCH: usize = 256;

/// State of the dispatch thread.
pub(crate) struct DispatchThread {
    pub(super) core: DispatchCore,
    pub(super) backend: DispatchBackend,
    receiver: Receiver<DispatchEvent>,
    pub(super) events: Sender<DispatchEvent>,
    report: Arc<Mutex<DispatchReport>>,
    pub(super) pending: PendingTable,
    fleet: Arc<FleetState>,
    vms_by_address: BTreeMap<SocketAddr, VmId>,
    pub(super) probe_timeout: Duration,
    start: Instant,
    /// Time of the last report; `None` if a new one must be published immediately.
    last_published: Option<Duration>,
    /// Time of the last usage measurement.
    last_measured: Duration,
}

impl DispatchThread {
    pub(crate) fn new(
        core: DispatchCore,
        backend: DispatchBackend,
        receiver: Receiver<DispatchEvent>,
        events: Sender<DispatchEvent>,
        report: Arc<Mutex<DispatchReport>>,
    ) -> Self {
        Self {
            core,
            backend,
            receiver,
            events,
            report,
            pending: PendingTable::default(),
            fleet: Arc::default(),
            vms_by_address: BTreeMap::new(),
            probe_timeout: tanager_dispatch::DispatchSettings::default().probe_timeout,
            start: Instant::now(),
            last_published: None,
            last_measured: Duration::ZERO,
        }
    }

    /// Handles events until the thread is stopped.
    pub(crate) fn run(mut self) {
        loop {
            let deadline = self.core.next_deadline().unwrap_or(Duration::MAX);
            let publish_time = self
                .last_published
                .map_or(Duration::ZERO, |time| time + PUBLISH_INTERVAL);
            let limit = if self.pending.len() > 0 {
                publish_time
            } else {
                Duration::MAX
            };
            let measure_time = self.last_measured + USAGE_INTERVAL;
            let wait = deadline
                .min(limit)
                .min(measure_time)
                .saturating_sub(self.now())
                .min(MAX_EVENT_WAIT);
            match self.receiver.recv_timeout(wait) {
                Ok(event) => {
                    if !self.handle_event_batch(event) {
                        break;
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            let actions = self.core.tick(self.now());
            self.execute(actions);
            if self.now() >= self.last_measured + USAGE_INTERVAL {
                self.measure_usage();
            }
            if self
                .last_published
                .is_none_or(|time| self.now() >= time + PUBLISH_INTERVAL)
            {
                self.publish_report();
            }
        }
        self.finish_all();
    }

    /// Handles an event and those queued after it; returns false on [`DispatchEvent::Stop`].
    fn handle_event_batch(&mut self, first: DispatchEvent) -> bool {
        let mut next = Some(first);
        for _ in 0..MAX_EVENT_BATCH {
            match next {
                Some(DispatchEvent::Stop) => return false,
                Some(event) => self.handle_event(event),
                None => return true,
            }
            next = self.receiver.try_recv().ok();
        }
        match next {
            Some(DispatchEvent::Stop) => false,
            Some(event) => {
                self.handle_event(event);
                true
            }
            None => true,
        }
    }

    fn handle_event(&mut self, event: DispatchEvent) {
        let now = self.now();
        let actions = match event {
            DispatchEvent::Submit {
                id,
                request,
                fingerprint,
                reply,
            } => {
                self.submit(now, (id, reply), request, fingerprint);
                return;
            }
            DispatchEvent::Cancel(id) => self.cancel(now, id),
            DispatchEvent::ClaimEnded { key, result } => self.apply_claim(now, key, result),
            DispatchEvent::AttemptEnded {
                key,
                report,
                outcome,
            } => {
                let mut cancelled = false;
                if let Some(pending) = self.pending.get_mut(key) {
                    pending.attempt = None;
                    if report != SendReport::NotSent {
                        pending.outcome = Some(outcome);
                    }
                    cancelled = pending.cancelled;
                }
                if cancelled {
                    self.core.cancel(now, key)
                } else {
                    self.core.send_finished(now, key, report)
                }
            }
            DispatchEvent::ProbeEnded { vm, outcome } => {
                let report = match outcome {
                    ProbeOutcome::Up => ProbeReport::Up,
                    ProbeOutcome::ShuttingDown => ProbeReport::ShuttingDown,
                    ProbeOutcome::Down => ProbeReport::Failed,
                };
                self.core.probe_finished(now, &vm, report)
            }
            DispatchEvent::Disconnect(address, signal) => match self.vms_by_address.get(&address) {
                Some(vm) if signal == CloseSignal::Shutdown => {
                    self.core.probe_finished(now, vm, ProbeReport::ShuttingDown)
                }
                Some(vm) => self.core.connection_closed(now, vm),
                None => Vec::new(),
            },
            DispatchEvent::FleetUpdate(state) => self.apply_fleet_state(now, state),
            DispatchEvent::HomePoolsUpdate(home_pools) => {
                self.core.set_home_pools(now, Some(home_pools));
                Vec::new()
            }
            DispatchEvent::Counters(reply) => {
                let rows = self.core.counters();
                let rows = rows.map(|(pool, priority, row)| (pool.clone(), priority, *row));
                // The requesting thread may no longer wait.
                let _ = reply.send(rows.collect());
                Vec::new()
            }
            DispatchEvent::Dump(reply) => {
                let dump = serde_json::to_value(self.core.dump()).unwrap_or_default();
                let _ = reply.send(dump);
                Vec::new()
            }
            DispatchEvent::Stop => Vec::new(),
        };
        self.execute(actions);
    }

    fn submit(
        &mut self,
        now: Duration,
        (id, reply): (ReplyId, OutcomeSender),
        request: Arc<ForwardRequest>,
        fingerprint: Option<RequestFingerprint>,
    ) {
        let idempotent = is_idempotent_method(&request.method);
        let needs_claim = fingerprint.is_some();
        let join_key = needs_claim.then(|| (request.pool.clone(), request.idempotency_key.clone()));
        if let Some(join_key) = &join_key
            && let Some((key, pending)) = self.pending.find_by_join_key(join_key)
        {
            if pending.fingerprint == fingerprint {
                self.pending.add_waiter(key, id, reply);
            } else {
                // The caller may have disconnected.
                let _ = reply.send(RequestOutcome::NotRun(key_reused_outcome()));
            }
            return;
        }
        let summary = RequestSummary {
            pool: request.pool.clone(),
            team: request.team.clone(),
            priority: RequestPriority::parse(&request.priority).unwrap_or_default(),
            timeout: Duration::from_millis(request.timeout_ms),
            idempotent,
            needs_claim,
            slots: request.slots.max(1),
        };
        let pending = PendingRequest {
            request,
            idempotent,
            join_key,
            fingerprint,
            waiters: vec![(id, reply)],
            grant: None,
            sent: false,
            attempt: None,
            cancelled: false,
            outcome: None,
        };
        let (key, actions) = self.core.submit(now, summary);
        self.pending.insert(key, pending);
        self.execute(actions);
    }

    /// Cancels a request once no caller waits for it. A non-idempotent request that was sent
    /// continues, so that its result is recorded for a retry with the same key. Any other request
    /// that is at an endpoint keeps its slot until the endpoint has noticed the cancellation;
    /// otherwise the endpoint would reject the next request.
    fn cancel(&mut self, now: Duration, id: ReplyId) -> Vec<DispatchAction> {
        let Some((key, pending)) = self.pending.remove_waiter(id) else {
            return Vec::new();
        };
        if pending.sent && !pending.idempotent {
            return Vec::new();
        }
        if let Some(attempt) = &mut pending.attempt {
            pending.cancelled = true;
            if let Some(cancel) = attempt.cancel.take() {
                // Fails only if the attempt has just ended; its event follows.
                let _ = cancel.send(());
            }
            return Vec::new();
        }
        self.core.cancel(now, key)
    }

    fn apply_claim(
        &mut self,
        now: Duration,
        key: RequestKey,
        result: ClaimResult,
    ) -> Vec<DispatchAction> {
        let Some(pending) = self.pending.get_mut(key) else {
            // The request ended while its claim was being written.
            if let ClaimResult::Granted(grant) = result {
                self.backend.claims.release(grant);
            }
            return Vec::new();
        };
        let report = match result {
            ClaimResult::Granted(grant) => {
                pending.grant = Some(grant);
                ClaimReport::Granted
            }
            ClaimResult::Recorded(response) => {
                pending.outcome = Some(RequestOutcome::Answered(response));
                ClaimReport::Resolved
            }
            ClaimResult::MayHaveRun => {
                let message = "an earlier request with this key may have run";
                pending.outcome = Some(unknown_outcome(UnknownReason::KeyHistory, message, true));
                ClaimReport::Resolved
            }
            ClaimResult::KeyReused => {
                pending.outcome = Some(RequestOutcome::NotRun(key_reused_outcome()));
                ClaimReport::Resolved
            }
            ClaimResult::Unavailable => {
                let message = "the history of this key cannot be read now";
                pending.outcome = Some(unknown_outcome(UnknownReason::KeyHistory, message, true));
                ClaimReport::Resolved
            }
        };
        self.core.claim_finished(now, key, report)
    }

    fn apply_fleet_state(&mut self, now: Duration, state: Arc<FleetState>) -> Vec<DispatchAction> {
        let actions = self.core.update_fleet_state(now, &state);
        let vms = state.document.vms.iter();
        self.vms_by_address = vms
            .map(|(vm, config)| (config.address, vm.clone()))
            .collect();
        let addresses: BTreeSet<SocketAddr> = self.vms_by_address.keys().copied().collect();
        self.backend.endpoint.retain(&addresses);
        self.fleet = state;
        self.last_published = None;
        actions
    }

    fn measure_usage(&mut self) {
        self.last_measured = self.now();
        let pools = self.core.measure_usage(self.last_measured);
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.usage.window += 1;
        report.usage.measured_at = Some(Instant::now());
        report.usage.pools = pools;
    }

    fn publish_report(&mut self) {
        self.last_published = Some(self.now());
        let draining = self
            .fleet
            .vms
            .iter()
            .filter(|(_, record)| record.activity != VmActivity::Active)
            .map(|(vm, _)| (vm.clone(), self.core.in_flight(vm)))
            .filter(|(_, requests)| *requests > 0);
        let progress = NodeProgress {
            version: self.core.applied_version(),
            in_flight: draining.collect(),
        };
        let suspects = self.core.suspects();
        let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
        report.progress = progress;
        report.suspects = suspects;
        report.open_requests = self.pending.len();
    }

    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
