//! Transitions of single requests: admission, start, reports, expiry and the final action.

use std::time::Duration;

use tanager_protocol::ids::PoolId;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::request::RequestSummary;

use crate::action::ClaimVerdict;
use crate::action::DispatchAction;
use crate::action::RequestKey;
use crate::action::SendReport;
use crate::core::DispatchCore;
use crate::counters::DispatchCounters;
use crate::request::RequestEntry;
use crate::request::RequestState;
use crate::select;
use crate::settings::class_index;
use crate::worker::WorkerKey;

/// Retry-after when no worker receives work: the time in which probes find one that is back.
const NO_WORKER_RETRY: Duration = Duration::from_secs(2);

impl DispatchCore {
    /// Queues a request or refuses it at once.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        request: RequestSummary,
        actions: &mut Vec<DispatchAction>,
    ) -> RequestKey {
        let refusal = self.check_admission(now, &request);
        let Some(pool) = self
            .pools
            .get_mut(&request.pool)
            .filter(|pool| pool.present)
        else {
            let message = format!("pool {} is not configured", request.pool);
            let key = self
                .requests
                .insert(RequestEntry::new(request, now, Duration::ZERO));
            self.requests.remove(key);
            actions.push(DispatchAction::Refuse {
                key,
                reason: NotRunReason::UnknownPool,
                message,
                retry_after: None,
            });
            return key;
        };
        let limit = pool.config.queue_limits.limit(request.priority);
        let entry = RequestEntry::new(request, now, limit);
        let (slots, priority, expiry) = (entry.slots, entry.priority, entry.expiry());
        pool.open += 1;
        pool.counters[class_index(priority)].submitted += 1;
        let weight = pool.weight(&entry.team);
        let (name, team) = (entry.pool.clone(), entry.team.clone());
        let key = self.requests.insert(entry);
        pool.queue
            .push(now, (priority, &team), weight, key, slots, false);
        if let Some((reason, message, retry_after)) = refusal {
            self.refuse(now, key, reason, message, retry_after, actions);
            return key;
        }
        pool.budget.record_request(now);
        if let Some(bucket) = pool.quotas.get_mut(&team) {
            bucket.take();
        }
        self.timers.push(expiry, key);
        self.touched.insert(name);
        key
    }

    fn check_admission(
        &mut self,
        now: Duration,
        request: &RequestSummary,
    ) -> Option<(NotRunReason, String, Option<Duration>)> {
        let pool = self.pools.get_mut(&request.pool)?;
        if request.slots > pool.largest && pool.largest > 0 {
            let message = format!(
                "the request needs {} slots, the largest worker of pool {} has {}",
                request.slots, request.pool, pool.largest
            );
            return Some((NotRunReason::TooLarge, message, None));
        }
        if let Some(bucket) = pool.quotas.get_mut(&request.team) {
            let wait = bucket.wait(now);
            if wait != Some(Duration::ZERO) {
                let message = format!("team {} is over its quota", request.team);
                return Some((NotRunReason::QuotaExceeded, message, wait));
            }
        }
        let pool = self.pools.get(&request.pool)?;
        if !select::has_candidate(pool, &self.workers, request.slots.max(1), &[]) {
            let message = format!("no worker of pool {} receives work", request.pool);
            return Some((NotRunReason::NoWorker, message, Some(NO_WORKER_RETRY)));
        }
        let queue = &pool.queue;
        let capacity = select::capacity(pool, &self.workers);
        let wait = queue.estimated_wait(request.priority, &request.team, capacity);
        let limit = pool.config.queue_limits.limit(request.priority);
        let full = queue.flow_live(request.priority, &request.team) >= self.settings.max_queued;
        if full || wait > limit.min(request.timeout) {
            let message = format!("estimated wait {:.1} s", wait.as_secs_f64());
            return Some((NotRunReason::QueueFull, message, Some(wait)));
        }
        None
    }

    /// Starts requests of a pool while a worker has room for one.
    pub(crate) fn dispatch_pool(
        &mut self,
        now: Duration,
        name: &PoolId,
        actions: &mut Vec<DispatchAction>,
    ) {
        loop {
            let Some(pool) = self.pools.get_mut(name) else {
                return;
            };
            let choice = select::choose(
                pool,
                &mut self.workers,
                &self.requests,
                &mut self.random,
                now,
            );
            let Some(choice) = choice else {
                return;
            };
            self.start(now, choice.key, choice.worker, actions);
        }
    }

    /// Takes a queued request from its queue and claims or sends it.
    fn start(
        &mut self,
        now: Duration,
        key: RequestKey,
        worker: WorkerKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return;
        };
        let Some(entry) = self.workers.entries.get_mut(worker) else {
            return;
        };
        let flow = (request.priority, request.team.as_str());
        pool.queue.take(flow.0, flow.1, request.slots);
        pool.queue.start_use(now, flow, request.slots);
        entry.used += request.slots;
        entry.requests += 1;
        entry.reserved = entry.reserved.filter(|reserved| *reserved != key);
        if entry.ejection.trial_due(now) {
            entry.ejection.start_trial();
        }
        if !request.needs_claim {
            self.send(now, key, worker, actions);
            return;
        }
        let hold_until = now + self.settings.claim_hold;
        request.state = RequestState::Claiming {
            worker: Some(worker),
            hold_until,
        };
        actions.push(DispatchAction::Claim {
            key,
            vm: entry.vm.clone(),
        });
        if pool.parked > 0 {
            self.park_claim(now, key);
        } else {
            self.timers.push(hold_until, key);
        }
    }

    /// Gives back the slot of a claim that is still being written.
    fn park_claim(&mut self, now: Duration, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let RequestState::Claiming {
            worker: Some(worker),
            ..
        } = request.state
        else {
            return;
        };
        request.state = RequestState::Claiming {
            worker: None,
            hold_until: request.queue_deadline,
        };
        self.timers.push(request.queue_deadline, key);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            pool.parked += 1;
        }
        self.release(now, key, worker);
    }

    fn send(
        &mut self,
        now: Duration,
        key: RequestKey,
        worker: WorkerKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Some(entry) = self.workers.entries.get(worker) else {
            return;
        };
        request.attempts += 1;
        request.tried.push(worker);
        request.state = RequestState::Sent { worker, since: now };
        self.timers.push(request.deadline, key);
        let priority = class_index(request.priority);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            pool.counters[priority].sent += 1;
            pool.counters[priority].retried += u64::from(request.attempts > 1);
        }
        actions.push(DispatchAction::Send {
            key,
            vm: entry.vm.clone(),
            address: entry.address,
            attempt: request.attempts,
            time_left: request.deadline.saturating_sub(now),
        });
    }

    pub(crate) fn apply_claim(
        &mut self,
        now: Duration,
        key: RequestKey,
        verdict: ClaimVerdict,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let RequestState::Claiming { worker, .. } = request.state else {
            return;
        };
        if verdict == ClaimVerdict::Resolved {
            self.finish(now, key, actions);
            return;
        }
        request.needs_claim = false;
        let slots = request.slots;
        // The worker may have left, failed or become slower while the claim was written.
        let ready = worker.filter(|worker| {
            self.workers
                .entries
                .get(*worker)
                .is_some_and(|entry| entry.may_send_held(slots))
        });
        if let Some(worker) = ready {
            self.send(now, key, worker, actions);
        } else {
            if let Some(worker) = worker {
                self.release(now, key, worker);
            } else if let Some(pool) = self.pools.get_mut(&request.pool) {
                pool.parked -= 1;
            }
            self.requeue(now, key);
        }
    }

    /// Puts a request back at the front of its flow.
    fn requeue(&mut self, now: Duration, key: RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.state = RequestState::Queued;
        self.timers.push(request.expiry(), key);
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let weight = pool.weight(&request.team);
            let flow = (request.priority, request.team.as_str());
            pool.queue.push(now, flow, weight, key, request.slots, true);
        }
        self.touched.insert(request.pool.clone());
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
                self.record_answer(now, worker, ratio);
                self.finish(now, key, actions);
            }
            SendReport::Failed { leaving, .. } => {
                counters.failed += 1;
                if leaving {
                    if let Some(entry) = self.workers.entries.get_mut(worker) {
                        entry.leaving = true;
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

    /// Sends a request that never left to another worker. Needs no retry budget, because the
    /// endpoint did no work; the attempts bound the connections tried.
    fn retry_not_sent(
        &mut self,
        now: Duration,
        key: RequestKey,
        worker: WorkerKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        let other = self.has_other_worker(key);
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let may_have_run = request.may_have_run;
        if other {
            self.release(now, key, worker);
            self.requeue(now, key);
        } else if may_have_run {
            self.finish(now, key, actions);
        } else {
            let message = format!("no connection to a worker in {} attempts", request.attempts);
            let retry = Some(NO_WORKER_RETRY);
            self.refuse(now, key, NotRunReason::NoWorker, message, retry, actions);
        }
    }

    fn may_retry_unknown(&mut self, now: Duration, key: RequestKey) -> bool {
        let other = self.has_other_worker(key);
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let budget = self.settings.requests_per_retry;
        other
            && request.idempotent
            && now < request.deadline
            && self
                .pools
                .get_mut(&request.pool)
                .is_some_and(|pool| pool.budget.try_retry(now, budget))
    }

    fn has_other_worker(&self, key: RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        request.attempts < self.settings.max_attempts
            && self.pools.get(&request.pool).is_some_and(|pool| {
                pool.present
                    && select::has_candidate(pool, &self.workers, request.slots, &request.tried)
            })
    }

    fn record_answer(&mut self, now: Duration, worker: WorkerKey, ratio: f64) {
        let (base, limit) = (self.settings.ejection_base, self.settings.ejection_limit);
        if let Some(entry) = self.workers.entries.get_mut(worker) {
            entry.assessed = now;
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
            if let Some(until) = entry.ejection.until() {
                self.wake = self.wake.min(until);
            }
        }
    }

    /// Gives back the slots of a request.
    fn release(&mut self, now: Duration, key: RequestKey, worker: WorkerKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if let Some(entry) = self.workers.entries.get_mut(worker) {
            entry.used -= request.slots;
            entry.requests -= 1;
            if entry.requests == 0 {
                // A trial that ended without an answer is repeated.
                entry.ejection.abandon_trial(now);
            }
            self.touched.insert(entry.pool.clone());
            if entry.gone {
                self.workers.remove_if_idle(worker);
            }
        }
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let flow = (request.priority, request.team.as_str());
            pool.queue.end_use(now, flow, request.slots);
        }
    }

    /// Ends the requests whose time is over.
    pub(crate) fn expire(&mut self, now: Duration, actions: &mut Vec<DispatchAction>) {
        while let Some(key) = self.timers.pop_due(now) {
            let Some(request) = self.requests.get(key) else {
                continue;
            };
            let expired = request.expiry() <= now;
            match request.state {
                RequestState::Claiming {
                    worker: Some(_),
                    hold_until,
                } if !expired && hold_until <= now => self.park_claim(now, key),
                RequestState::Queued if expired && !request.may_have_run => {
                    self.refuse_expired(now, key, actions);
                }
                RequestState::Sent { worker, since } if expired => {
                    self.record_timeout(now, key, worker, since);
                    self.finish(now, key, actions);
                }
                _ if expired => self.finish(now, key, actions),
                _ => {}
            }
        }
    }

    fn refuse_expired(
        &mut self,
        now: Duration,
        key: RequestKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let Some(pool) = self.pools.get(&request.pool) else {
            return;
        };
        let capacity = select::capacity(pool, &self.workers);
        let wait = pool
            .queue
            .estimated_wait(request.priority, &request.team, capacity);
        let message = "not started within the time limit of the queue".to_owned();
        let retry = Some(wait);
        self.refuse(
            now,
            key,
            NotRunReason::QueueTimeout,
            message,
            retry,
            actions,
        );
    }

    /// A request that reached its deadline at a worker counts against it only if the worker had
    /// twice the usual time: callers with short timeouts must not eject healthy workers.
    fn record_timeout(
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
        let usual = pool.queue.mean(request.priority, &request.team);
        if now.saturating_sub(since) >= usual * 2 {
            self.record_failure(now, worker);
        }
    }

    /// Final action of a request that was sent or claimed.
    pub(crate) fn finish(
        &mut self,
        now: Duration,
        key: RequestKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.end(now, key, |counters| counters.finished += 1);
        actions.push(DispatchAction::Finish { key });
    }

    /// Final action of a request of which no byte was sent.
    pub(crate) fn refuse(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: NotRunReason,
        message: String,
        retry_after: Option<Duration>,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.end(now, key, |counters| match reason {
            NotRunReason::QuotaExceeded => counters.refused_quota += 1,
            NotRunReason::QueueFull => counters.refused_full += 1,
            NotRunReason::QueueTimeout => counters.refused_timeout += 1,
            NotRunReason::Cancelled => counters.refused_cancelled += 1,
            _ => counters.refused_other += 1,
        });
        actions.push(DispatchAction::Refuse {
            key,
            reason,
            message,
            retry_after,
        });
    }

    /// Removes a request and everything it holds.
    fn end(&mut self, now: Duration, key: RequestKey, count: impl Fn(&mut DispatchCounters)) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        match request.state {
            RequestState::Sent { worker, .. } => self.release(now, key, worker),
            RequestState::Claiming {
                worker: Some(worker),
                ..
            } => self.release(now, key, worker),
            RequestState::Claiming { worker: None, .. } => {
                if let Some(pool) = self.pools.get_mut(&request.pool) {
                    pool.parked -= 1;
                }
            }
            RequestState::Queued => {}
        }
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        let requests = &self.requests;
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return;
        };
        if request.state == RequestState::Queued {
            let flow = (request.priority, request.team.as_str());
            pool.queue.forget(flow, request.slots, |other| {
                requests
                    .get(other)
                    .is_some_and(|entry| entry.state == RequestState::Queued)
            });
        }
        count(&mut pool.counters[class_index(request.priority)]);
        pool.open -= 1;
        if pool.open == 0 && !pool.present {
            self.pools.remove(&request.pool);
        }
    }
}
