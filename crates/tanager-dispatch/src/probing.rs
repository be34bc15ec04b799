//! Probes of workers.
//!
//! Busy workers are probed too: a leaving endpoint may answer every request as before. They come
//! after the idle ones, so that a short budget goes to workers of which nothing else is known.

use std::collections::BTreeSet;
use std::time::Duration;

use tanager_protocol::ids::PoolId;

use crate::action::DispatchAction;
use crate::core::DispatchCore;
use crate::worker::WorkerKey;

/// Bytes of one probe and its answer on an open connection, with the headers of TCP and IP.
const PROBE_BYTES: u32 = 300;
/// Bytes of a probe that opens a connection. scripts/capacity.py measured 570 at 1,100 VMs, where
/// each probe opens one.
const CONNECT_PROBE_BYTES: u32 = 600;
/// The endpoint client closes a connection that was idle for this long.
const CONNECTION_IDLE: Duration = Duration::from_secs(5);

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

    fn take(&mut self, now: Duration, bytes_per_second: u32, bytes: u32) -> bool {
        let rate = f64::from(bytes_per_second);
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.bytes = (self.bytes + passed * rate).min(rate);
        self.updated = self.updated.max(now);
        if self.bytes < f64::from(bytes) {
            return false;
        }
        self.bytes -= f64::from(bytes);
        true
    }
}

impl DispatchCore {
    /// Starts the probes that are due, those of the workers longest unassessed first. Counts
    /// unreported probes as failed.
    pub(crate) fn start_probes(&mut self, now: Duration, actions: &mut Vec<DispatchAction>) {
        let timeout = self.settings.probe_timeout;
        let late: Vec<WorkerKey> = self
            .workers
            .entries
            .iter()
            .filter(|(_, worker)| worker.probing.is_some_and(|since| since + timeout <= now))
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.record_probe_failure(now, key);
        }
        let mut due: Vec<(Duration, WorkerKey)> = Vec::new();
        let mut wake = now + self.settings.probe_interval;
        for (key, worker) in &self.workers.entries {
            if !worker.probed || worker.gone || !self.is_home(&worker.pool) {
                continue;
            }
            if let Some(since) = worker.probing {
                wake = wake.min(since + timeout);
                continue;
            }
            let when = worker.last_probe + self.settings.probe_interval;
            if when <= now {
                due.push((worker.assessed, key));
            } else {
                wake = wake.min(when);
            }
        }
        due.sort_unstable();
        for (_, key) in due {
            let bytes = self.probe_bytes(now, key);
            let limit = self.settings.probe_bytes_per_second;
            if !self.probe_budget.take(now, limit, bytes) {
                wake = wake.min(now + Duration::from_millis(100));
                break;
            }
            let Some(worker) = self.workers.entries.get_mut(key) else {
                continue;
            };
            let Some(pool) = self.pools.get(&worker.pool) else {
                continue;
            };
            worker.probing = Some(now);
            wake = wake.min(now + timeout);
            actions.push(DispatchAction::Probe {
                vm: worker.vm.clone(),
                address: worker.address,
                path: pool.config.probe_path.clone(),
            });
        }
        self.wake = wake.min(self.next_trial(now).unwrap_or(wake));
    }

    fn probe_bytes(&self, now: Duration, key: WorkerKey) -> u32 {
        let worker = self.workers.entries.get(key);
        let last = worker.map_or(Duration::ZERO, |worker| worker.last_probe);
        if now < last + CONNECTION_IDLE {
            PROBE_BYTES
        } else {
            CONNECT_PROBE_BYTES
        }
    }

    pub(crate) fn record_probe_failure(&mut self, now: Duration, key: WorkerKey) {
        let Some(worker) = self.workers.entries.get_mut(key) else {
            return;
        };
        worker.probing = None;
        worker.assessed = now;
        worker.last_probe = now;
        worker.failed_probes = worker.failed_probes.saturating_add(1);
        if worker.unreachable() && !worker.suspended {
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
            .filter_map(|worker| worker.ejection.until())
            .filter(|until| *until > now)
            .min()
    }

    pub(crate) fn is_home(&self, pool: &PoolId) -> bool {
        let homes: Option<&BTreeSet<PoolId>> = self.homes.as_ref();
        homes.is_none_or(|homes| homes.contains(pool))
    }
}
