//! Executes the actions of the dispatch core: claims, attempts, probes and final outcomes.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::oneshot;

use tanager_dispatch::DispatchAction;
use tanager_dispatch::RequestKey;
use tanager_dispatch::SendReport;
use tanager_kernel::panics::catch_panic;
use tanager_protocol::ids::VmId;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;

use crate::claims::ClaimGrant;
use crate::dispatcher::event::DispatchEvent;
use crate::dispatcher::pending::PendingRequest;
use crate::dispatcher::pending::RequestAttempt;
use crate::dispatcher::thread::DispatchThread;
use crate::endpoint::SendFailure;
use crate::endpoint::SendFailureKind;

/// `Retry-After` time of requests that were not run or are safe to retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl DispatchThread {
    pub(super) fn execute(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Claim { key, .. } => self.start_claim(key),
                DispatchAction::Send {
                    key,
                    address,
                    time_left,
                    ..
                } => {
                    self.start_send(key, address, time_left);
                }
                DispatchAction::Refuse {
                    key,
                    reason,
                    message,
                    retry_after,
                } => {
                    self.refuse(key, reason, message, retry_after);
                }
                DispatchAction::Finish { key } => self.finish(key),
                DispatchAction::Probe { vm, address, path } => {
                    self.start_probe(vm, address, path);
                }
            }
        }
    }

    fn start_claim(&mut self, key: RequestKey) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        let Some(fingerprint) = pending.fingerprint.clone() else {
            return;
        };
        let request = Arc::clone(&pending.request);
        let claims = Arc::clone(&self.backend.claims);
        let events = self.events.clone();
        let deadline = Instant::now() + Duration::from_millis(request.timeout_ms);
        self.backend.runtime.spawn(async move {
            let result = claims
                .claim(
                    &request.pool,
                    &request.idempotency_key,
                    fingerprint,
                    deadline,
                )
                .await;
            // Fails only after the dispatch thread has ended.
            let _ = events.send(DispatchEvent::ClaimEnded { key, result });
        });
    }

    fn start_send(&mut self, key: RequestKey, address: SocketAddr, time_left: Duration) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        let send_before = pending.grant.as_ref().map(ClaimGrant::send_before);
        if send_before.is_some_and(|time| Instant::now() > time) {
            let message = "the claim of the request expired before it was sent".to_owned();
            self.refuse(key, NotRunReason::QueueTimeout, message, Some(RETRY_AFTER));
            let now = self.now();
            let actions = self.core.cancel(now, key);
            self.execute(actions);
            return;
        }
        pending.sent = true;
        let request = Arc::clone(&pending.request);
        let retry_is_safe = pending.idempotent || pending.join_key.is_some();
        let endpoint = Arc::clone(&self.backend.endpoint);
        let events = self.events.clone();
        let (cancel, cancelled) = oneshot::channel::<()>();
        let task = self.backend.runtime.spawn(async move {
            let start = Instant::now();
            let cancelled = async {
                if cancelled.await.is_err() {
                    future::pending::<()>().await;
                }
            };
            let sending =
                endpoint.send_before(address, &request, time_left, (send_before, cancelled));
            let result = catch_panic(sending).await;
            let latency = start.elapsed();
            let (report, outcome) = match result {
                Ok(Ok(response)) if response.status < 500 => (
                    SendReport::Answered { latency },
                    RequestOutcome::Answered(response),
                ),
                Ok(Ok(response)) => (
                    SendReport::Failed {
                        latency,
                        shutting_down: false,
                    },
                    RequestOutcome::Answered(response),
                ),
                Ok(Err(failure)) => failed_attempt(failure, retry_is_safe),
                // Without a report the request would occupy its slot until its deadline.
                Err(message) => {
                    let id = &request.request_id;
                    log::error!("request {id}: the attempt at {address} panicked: {message}");
                    let failure = SendFailure {
                        kind: SendFailureKind::Unknown(UnknownReason::ConnectionLost),
                        message: format!("internal error while sending to {address}"),
                    };
                    failed_attempt(failure, retry_is_safe)
                }
            };
            let _ = events.send(DispatchEvent::AttemptEnded {
                key,
                report,
                outcome,
            });
        });
        pending.attempt = Some(RequestAttempt {
            task: task.abort_handle(),
            cancel: Some(cancel),
        });
    }

    fn start_probe(&self, vm: VmId, address: SocketAddr, path: String) {
        let endpoint = Arc::clone(&self.backend.endpoint);
        let events = self.events.clone();
        let timeout = self.probe_timeout;
        self.backend.runtime.spawn(async move {
            let outcome = endpoint.probe(address, &path, timeout).await;
            let _ = events.send(DispatchEvent::ProbeEnded { vm, outcome });
        });
    }

    pub(super) fn refuse(
        &mut self,
        key: RequestKey,
        reason: NotRunReason,
        message: String,
        retry_after: Option<Duration>,
    ) {
        let Some(mut pending) = self.pending.remove(key) else {
            return;
        };
        if let Some(grant) = pending.grant.take() {
            self.backend.claims.release(grant);
        }
        let outcome = NotRunOutcome {
            reason,
            message,
            retry_after,
        };
        reply_to_waiters(pending, &RequestOutcome::NotRun(outcome));
    }

    fn finish(&mut self, key: RequestKey) {
        let Some(mut pending) = self.pending.remove(key) else {
            return;
        };
        if let Some(attempt) = pending.attempt.take() {
            attempt.task.abort();
        }
        let retry_is_safe = pending.idempotent || pending.join_key.is_some();
        let outcome = pending.outcome.take().unwrap_or_else(|| {
            if pending.sent {
                unknown_outcome(UnknownReason::Timeout, "no response in time", retry_is_safe)
            } else {
                let message = "the history of this key could not be read in time";
                unknown_outcome(UnknownReason::KeyHistory, message, retry_is_safe)
            }
        });
        if let (Some(grant), RequestOutcome::Answered(response)) = (pending.grant.take(), &outcome)
        {
            self.backend.claims.complete(grant, response);
        }
        reply_to_waiters(pending, &outcome);
    }

    /// Ends every open request: one that was not sent as not run, any other with its last known
    /// outcome.
    pub(super) fn finish_all(&mut self) {
        for key in self.pending.keys() {
            let unsent = self
                .pending
                .get_mut(key)
                .is_some_and(|pending| !pending.sent);
            if unsent {
                let message = "the node is stopping".to_owned();
                self.refuse(key, NotRunReason::NotReady, message, Some(RETRY_AFTER));
            } else {
                self.finish(key);
            }
        }
    }
}

fn reply_to_waiters(pending: PendingRequest, outcome: &RequestOutcome) {
    for (_, reply) in pending.waiters {
        // The caller may have disconnected.
        let _ = reply.send(outcome.clone());
    }
}

fn failed_attempt(failure: SendFailure, retry_is_safe: bool) -> (SendReport, RequestOutcome) {
    match failure.kind {
        SendFailureKind::NotSent => {
            let outcome = NotRunOutcome {
                reason: NotRunReason::NoWorker,
                message: failure.message,
                retry_after: Some(RETRY_AFTER),
            };
            (SendReport::NotSent, RequestOutcome::NotRun(outcome))
        }
        SendFailureKind::Unknown(reason) => (
            SendReport::Unknown,
            unknown_outcome(reason, &failure.message, retry_is_safe),
        ),
    }
}

pub(super) fn unknown_outcome(
    reason: UnknownReason,
    message: &str,
    retry_is_safe: bool,
) -> RequestOutcome {
    RequestOutcome::Unknown(UnknownOutcome {
        reason,
        message: message.to_owned(),
        retry_after: retry_is_safe.then_some(RETRY_AFTER),
    })
}
