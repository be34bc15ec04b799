//! Handling of the results of claims and attempts: retries, worker limits and ejection.

use std::time::Duration;

use tanager_protocol::outcome::NotRunReason;

use crate::action::ClaimReport;
use crate::action::DispatchAction;
use crate::action::RequestKey;
use crate::action::SendReport;
use crate::admission::NO_WORKER_RETRY_AFTER;
use crate::core::DispatchCore;
use crate::request::RequestState;
use crate::select;
use crate::settings::class_index;
use crate::worker::WorkerKey;

impl DispatchCore {
    pub(crate) fn apply_claim(
        &mut self,
        now: Duration,
        key: RequestKey,
        report: ClaimReport,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let RequestState::Claiming { worker, .. } = request.state else {
            return;
        };
        if report == ClaimReport::Resolved {
            self.finish(now, key, actions);
            return;
        }
        request.needs_claim = false;
        let slots = request.slots;
        // The worker may have begun to drain or shut down, failed or become slower while the claim
        // was written.
        let ready = worker.filter(|worker| {
            self.workers
                .entries
                .get(*worker)
                .is_some_and(|entry| entry.can_send_claimed(slots))
        });
        if let Some(worker) = ready {
            self.send(now, key, worker, actions);
        } else {
            if let Some(worker) = worker {
                self.release(now, key, worker);
            } else if let Some(pool) = self.pools.get_mut(&request.pool) {
                pool.parked_claims -= 1;
            }
            self.requeue(now, key);
        }
    }

    pub(crate) fn apply_send(
        &mut self,
        now: Duration,
        key: RequestKey,
        report: SendReport,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let RequestState::Sent { worker, .. } = request.state else {
            return;
        };
        let (priority, team) = (request.priority, request.team.clone());
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return;
        };
        let counters = &mut pool.counters[class_index(priority)];
        match report {
            SendReport::Answered { latency } => {
                counters.answered += 1;
                let ratio = pool.queue.record_latency(priority, &team, latency);
                self.record_response(now, worker, ratio);
                self.finish(now, key, actions);
            }
            SendReport::Failed { shutting_down, .. } => {
                counters.failed += 1;
                if shutting_down {
                    if let Some(entry) = self.workers.entries.get_mut(worker) {
                        entry.shutting_down = true;
                        entry.ejection.abandon_trial(now);
                    }
                } else {
                    self.record_failure(now, worker);
                }
                self.finish(now, key, actions);
            }
            SendReport::NotSent => {
                counters.not_sent += 1;
                self.record_failure(now, worker);
                self.retry_not_sent(now, key, worker, actions);
            }
            SendReport::Unknown => {
                counters.unknown += 1;
                self.record_failure(now, worker);
                if let Some(request) = self.requests.get_mut(key) {
                    request.may_have_run = true;
                }
                if self.may_retry_unknown(now, key) {
                    self.release(now, key, worker);
                    self.requeue(now, key);
                } else {
                    self.finish(now, key, actions);
                }
            }
        }
    }

    /// Sends a request of which no byte was sent to another worker. Needs no retry budget, because
    /// the endpoint did no work; the maximum number of attempts bounds the connections tried.
    fn retry_not_sent(
        &mut self,
        now: Duration,
        key: RequestKey,
        worker: WorkerKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        let has_other = self.has_other_worker(key);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let may_have_run = request.may_have_run;
        if has_other {
            self.release(now, key, worker);
            self.requeue(now, key);
        } else if may_have_run {
            self.finish(now, key, actions);
        } else {
            let message = format!(
                "could not connect to a worker in {} attempts",
                request.attempts
            );
            let retry_after = Some(NO_WORKER_RETRY_AFTER);
            self.refuse(
                now,
                key,
                NotRunReason::NoWorker,
                message,
                retry_after,
                actions,
            );
        }
    }

    fn may_retry_unknown(&mut self, now: Duration, key: RequestKey) -> bool {
        let has_other = self.has_other_worker(key);
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let requests_per_retry = self.settings.requests_per_retry;
        has_other
            && request.idempotent
            && now < request.deadline
            && self
                .pools
                .get_mut(&request.pool)
                .is_some_and(|pool| pool.retry_budget.try_retry(now, requests_per_retry))
    }

    fn has_other_worker(&self, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        request.attempts < self.settings.max_attempts
            && self.pools.get(&request.pool).is_some_and(|pool| {
                pool.configured
                    && select::has_candidate(
                        pool,
                        &self.workers,
                        request.slots,
                        &request.tried_workers,
                    )
            })
    }

    fn record_response(&mut self, now: Duration, worker: WorkerKey, ratio: f64) {
        let (base, limit) = (self.settings.ejection_base, self.settings.ejection_limit);
        if let Some(entry) = self.workers.entries.get_mut(worker) {
            entry.last_assessed = now;
            entry.failed_probes = 0;
            entry.limit.record(ratio);
            if entry.ejection.record(true, now, base, limit) {
                entry.limit.restart();
            }
        }
    }

    fn record_failure(&mut self, now: Duration, worker: WorkerKey) {
        let (base, limit) = (self.settings.ejection_base, self.settings.ejection_limit);
        let Some(entry) = self.workers.entries.get_mut(worker) else {
            return;
        };
        entry.ejection.record(false, now, base, limit);
        let pool = entry.pool.clone();
        let Some(state) = self.pools.get(&pool) else {
            return;
        };
        let rates: Vec<f64> = state
            .workers
            .iter()
            .filter_map(|key| self.workers.entries.get(*key))
            .map(|entry| entry.ejection.failure_rate())
            .collect();
        let may_exclude = self.may_exclude_one_more(&pool);
        if let Some(entry) = self.workers.entries.get_mut(worker) {
            if may_exclude && entry.ejection.should_eject(rates) {
                entry.ejection.eject(now, base, limit);
            }
            if let Some(until) = entry.ejection.ejected_until() {
                self.next_wakeup = self.next_wakeup.min(until);
            }
        }
    }

    /// Records that a request reached its deadline at a worker. Counts as a failure only after
    /// twice the mean run time, so that callers with short timeouts do not eject healthy workers.
    pub(crate) fn record_timeout(
        &mut self,
        now: Duration,
        key: RequestKey,
        worker: WorkerKey,
        since: Duration,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return;
        };
        pool.counters[class_index(request.priority)].unknown += 1;
        let mean = pool.queue.mean_run_time(request.priority, &request.team);
        if now.saturating_sub(since) >= mean * 2 {
            self.record_failure(now, worker);
        }
    }
}
