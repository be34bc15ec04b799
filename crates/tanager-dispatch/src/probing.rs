//! Probes of workers.
//!
//! Busy workers are probed too, because an endpoint that is shutting down may still respond to
//! every request. Idle workers are probed first, so that a small budget is spent on workers without
//! other observations.

use std::collections::BTreeSet;
use std::time::Duration;

use tanager_protocol::ids::PoolId;

use crate::action::DispatchAction;
use crate::core::DispatchCore;
use crate::worker::WorkerKey;

/// Bytes of a probe and its response on an open connection, including TCP and IP headers.
const PROBE_BYTES: u32 = 300;
/// Bytes of a probe that opens a connection. scripts/capacity.py reports 570 at 1,100 VMs, where
/// each probe opens one.
const CONNECT_PROBE_BYTES: u32 = 600;
/// Idle time after which the endpoint client closes a connection.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Token bucket of probe bytes that holds one second of the rate.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbeBudget {
    bytes: f64,
    updated: Duration,
}

impl ProbeBudget {
    pub(crate) fn new(bytes_per_second: u32) -> Self {
        Self {
            bytes: f64::from(bytes_per_second),
            updated: Duration::ZERO,
        }
    }

    fn try_take(&mut self, now: Duration, bytes_per_second: u32, bytes: u32) -> bool {
        let rate = f64::from(bytes_per_second);
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.bytes = (self.bytes + elapsed * rate).min(rate);
        self.updated = self.updated.max(now);
        if self.bytes < f64::from(bytes) {
            return false;
        }
        self.bytes -= f64::from(bytes);
        true
    }
}

impl DispatchCore {
    /// Starts the probes that are due, those of the least recently assessed workers first. Counts
    /// probes without a report within the timeout as failed.
    pub(crate) fn start_probes(&mut self, now: Duration, actions: &mut Vec<DispatchAction>) {
        let timeout = self.settings.probe_timeout;
        let timed_out: Vec<WorkerKey> = self
            .workers
            .entries
            .iter()
            .filter(|(_, worker)| {
                worker
                    .probe_started
                    .is_some_and(|since| since + timeout <= now)
            })
            .map(|(key, _)| key)
            .collect();
        for key in timed_out {
            self.record_probe_failure(now, key);
        }
        let mut due: Vec<(Duration, WorkerKey)> = Vec::new();
        let mut next_wakeup = now + self.settings.probe_interval;
        for (key, worker) in &self.workers.entries {
            if !worker.is_probed || worker.removed || !self.is_home(&worker.pool) {
                continue;
            }
            if let Some(since) = worker.probe_started {
                next_wakeup = next_wakeup.min(since + timeout);
                continue;
            }
            let when = worker.last_probe + self.settings.probe_interval;
            if when <= now {
                due.push((worker.last_assessed, key));
            } else {
                next_wakeup = next_wakeup.min(when);
            }
        }
        due.sort_unstable();
        for (_, key) in due {
            let bytes = self.probe_bytes(now, key);
            let limit = self.settings.probe_bytes_per_second;
            if !self.probe_budget.try_take(now, limit, bytes) {
                next_wakeup = next_wakeup.min(now + Duration::from_millis(100));
                break;
            }
            let Some(worker) = self.workers.entries.get_mut(key) else {
                continue;
            };
            let Some(pool) = self.pools.get(&worker.pool) else {
                continue;
            };
            worker.probe_started = Some(now);
            next_wakeup = next_wakeup.min(now + timeout);
            actions.push(DispatchAction::Probe {
                vm: worker.vm.clone(),
                address: worker.address,
                path: pool.config.probe_path.clone(),
            });
        }
        self.next_wakeup = next_wakeup.min(self.next_trial(now).unwrap_or(next_wakeup));
    }

    fn probe_bytes(&self, now: Duration, key: WorkerKey) -> u32 {
        let worker = self.workers.entries.get(key);
        let last = worker.map_or(Duration::ZERO, |worker| worker.last_probe);
        if now < last + CONNECTION_IDLE_TIMEOUT {
            PROBE_BYTES
        } else {
            CONNECT_PROBE_BYTES
        }
    }

    pub(crate) fn record_probe_failure(&mut self, now: Duration, key: WorkerKey) {
        let Some(worker) = self.workers.entries.get_mut(key) else {
            return;
        };
        worker.probe_started = None;
        worker.last_assessed = now;
        worker.last_probe = now;
        worker.failed_probes = worker.failed_probes.saturating_add(1);
        if worker.is_unreachable() && !worker.suspended {
            let pool = worker.pool.clone();
            if self.may_exclude_one_more(&pool)
                && let Some(worker) = self.workers.entries.get_mut(key)
            {
                worker.suspended = true;
            }
        }
    }

    /// Time of the earliest trial request of an ejected worker.
    fn next_trial(&self, now: Duration) -> Option<Duration> {
        self.workers
            .entries
            .values()
            .filter_map(|worker| worker.ejection.ejected_until())
            .filter(|until| *until > now)
            .min()
    }

    pub(crate) fn is_home(&self, pool: &PoolId) -> bool {
        let homes: Option<&BTreeSet<PoolId>> = self.home_pools.as_ref();
        homes.is_none_or(|homes| homes.contains(pool))
    }
}
