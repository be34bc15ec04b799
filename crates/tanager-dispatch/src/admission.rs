//! Admission of requests: each one is queued or refused immediately.

use std::time::Duration;

use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::request::RequestSummary;

use crate::action::DispatchAction;
use crate::action::RequestKey;
use crate::core::DispatchCore;
use crate::request::RequestEntry;
use crate::select;
use crate::settings::class_index;

/// Retry-after while no worker accepts work: probes detect a recovered worker within this time.
pub(crate) const NO_WORKER_RETRY_AFTER: Duration = Duration::from_secs(2);

impl DispatchCore {
    /// Queues a request or refuses it immediately.
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
            .filter(|pool| pool.configured)
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
        pool.open_requests += 1;
        pool.counters[class_index(priority)].submitted += 1;
        let weight = pool.weight(&entry.team);
        let (name, team) = (entry.pool.clone(), entry.team.clone());
        let key = self.requests.insert(entry);
        if matches!(refusal, None | Some((NotRunReason::QueueFull, ..))) {
            let run_time = pool.queue.mean_run_time(priority, &team).as_secs_f64();
            pool.arrived_work += f64::from(slots) * run_time;
        }
        pool.queue
            .push(now, (priority, &team), weight, key, slots, false);
        if let Some((reason, message, retry_after)) = refusal {
            self.refuse(now, key, reason, message, retry_after, actions);
            return key;
        }
        pool.retry_budget.record_request(now);
        if let Some(bucket) = pool.quotas.get_mut(&team) {
            bucket.take_token();
        }
        self.timers.push(expiry, key);
        self.dirty_pools.insert(name);
        key
    }

    fn check_admission(
        &mut self,
        now: Duration,
        request: &RequestSummary,
    ) -> Option<(NotRunReason, String, Option<Duration>)> {
        let pool = self.pools.get_mut(&request.pool)?;
        if request.slots > pool.max_worker_slots && pool.max_worker_slots > 0 {
            let message = format!(
                "the request needs {} slots, but the largest worker of pool {} has {}",
                request.slots, request.pool, pool.max_worker_slots
            );
            return Some((NotRunReason::TooLarge, message, None));
        }
        if let Some(bucket) = pool.quotas.get_mut(&request.team) {
            let wait = bucket.time_until_token(now);
            if wait != Some(Duration::ZERO) {
                let message = format!("team {} has exceeded its quota", request.team);
                return Some((NotRunReason::QuotaExceeded, message, wait));
            }
        }
        let pool = self.pools.get(&request.pool)?;
        if !select::has_candidate(pool, &self.workers, request.slots.max(1), &[]) {
            let message = format!("no worker of pool {} accepts work", request.pool);
            return Some((NotRunReason::NoWorker, message, Some(NO_WORKER_RETRY_AFTER)));
        }
        let queue = &pool.queue;
        let capacity = select::capacity(pool, &self.workers);
        let wait = queue.estimated_wait(request.priority, &request.team, capacity);
        let limit = pool.config.queue_limits.limit(request.priority);
        let full = queue.flow_queued(request.priority, &request.team) >= self.settings.max_queued;
        if full || wait > limit.min(request.timeout) {
            let message = format!(
                "the queue is full: estimated wait {:.1} s",
                wait.as_secs_f64()
            );
            return Some((NotRunReason::QueueFull, message, Some(wait)));
        }
        None
    }
}
