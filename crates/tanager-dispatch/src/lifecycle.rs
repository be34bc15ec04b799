//! Start, expiry and final action of a request.

use std::time::Duration;

use tanager_protocol::ids::PoolId;
use tanager_protocol::outcome::NotRunReason;

use crate::action::DispatchAction;
use crate::action::RequestKey;
use crate::core::DispatchCore;
use crate::counters::DispatchCounters;
use crate::request::RequestState;
use crate::select;
use crate::settings::class_index;
use crate::worker::WorkerKey;

impl DispatchCore {
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
            let choice = select::choose_request(
                pool,
                &mut self.workers,
                &self.requests,
                &mut self.random,
                now,
            );
            let Some(choice) = choice else {
                return;
            };
            self.start_request(now, choice.key, choice.worker, actions);
        }
    }

    /// Removes a request from its queue and claims or sends it.
    fn start_request(
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
        pool.queue.remove_front(flow.0, flow.1, request.slots);
        pool.queue.occupy_slots(now, flow, request.slots);
        entry.used_slots += request.slots;
        entry.request_count += 1;
        entry.reserved_for = entry.reserved_for.filter(|reserved| *reserved != key);
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
        if pool.parked_claims > 0 {
            self.park_claim(now, key);
        } else {
            self.timers.push(hold_until, key);
        }
    }

    /// Releases the slots held for a claim that is still being written.
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
            pool.parked_claims += 1;
        }
        self.release(now, key, worker);
    }

    pub(crate) fn send(
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
        request.tried_workers.push(worker);
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

    /// Returns a request to the front of its flow's queue.
    pub(crate) fn requeue(&mut self, now: Duration, key: RequestKey) {
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
        self.dirty_pools.insert(request.pool.clone());
    }

    /// Releases the slots of a request.
    pub(crate) fn release(&mut self, now: Duration, key: RequestKey, worker: WorkerKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if let Some(entry) = self.workers.entries.get_mut(worker) {
            entry.used_slots -= request.slots;
            entry.request_count -= 1;
            if entry.request_count == 0 {
                // A trial that ended without a response is repeated.
                entry.ejection.abandon_trial(now);
            }
            self.dirty_pools.insert(entry.pool.clone());
            if entry.removed {
                self.workers.remove_if_idle(worker);
            }
        }
        if let Some(pool) = self.pools.get_mut(&request.pool) {
            let flow = (request.priority, request.team.as_str());
            pool.queue.free_slots(now, flow, request.slots);
        }
    }

    /// Ends the expired requests.
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
        let message = "not started within the time limit of its queue".to_owned();
        let retry_after = Some(wait);
        self.refuse(
            now,
            key,
            NotRunReason::QueueTimeout,
            message,
            retry_after,
            actions,
        );
    }

    /// Ends a request that was sent or claimed.
    pub(crate) fn finish(
        &mut self,
        now: Duration,
        key: RequestKey,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.remove_request(now, key, |counters| counters.finished += 1);
        actions.push(DispatchAction::Finish { key });
    }

    /// Ends a request of which no byte was sent.
    pub(crate) fn refuse(
        &mut self,
        now: Duration,
        key: RequestKey,
        reason: NotRunReason,
        message: String,
        retry_after: Option<Duration>,
        actions: &mut Vec<DispatchAction>,
    ) {
        self.remove_request(now, key, |counters| match reason {
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

    /// Removes a request and releases its slots and its place in the queue.
    fn remove_request(
        &mut self,
        now: Duration,
        key: RequestKey,
        count: impl Fn(&mut DispatchCounters),
    ) {
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
                    pool.parked_claims -= 1;
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
            pool.queue.remove_ended(flow, request.slots, |other| {
                requests
                    .get(other)
                    .is_some_and(|entry| entry.state == RequestState::Queued)
            });
        }
        count(&mut pool.counters[class_index(request.priority)]);
        pool.open_requests -= 1;
        if pool.open_requests == 0 && !pool.configured {
            self.pools.remove(&request.pool);
        }
    }
}
