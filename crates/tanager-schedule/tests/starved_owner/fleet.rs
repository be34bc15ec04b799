//! Workers that run tasks, with their leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ResourceAmount;
use tanager_jobs::RunningRun;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;

/// Cores of a worker, in thousandths.
pub(crate) const WORKER_CPU: u64 = 64_000;
const WORKER_MEMORY_MB: u64 = 256_000;

/// A run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) run: u64,
    pub(crate) started_at: Duration,
    pub(crate) ends_at: Duration,
    pub(crate) cpu: u64,
}

/// A worker.
#[derive(Debug, Default)]
pub(crate) struct FleetWorker {
    pub(crate) runs: BTreeMap<TaskKey, ActiveRun>,
    /// Highest run of each task that ended here.
    ended_runs: BTreeMap<TaskKey, u64>,
    /// Ends that are not acknowledged.
    ended: Vec<EndedRun>,
    ends: u64,
    /// Highest token seen.
    token: u64,
    lease_until: Duration,
}

impl FleetWorker {
    /// Ends the runs that are due; returns the tasks that are done and the runs that expired.
    pub(crate) fn advance(&mut self, now: Duration) -> (Vec<TaskKey>, Vec<TaskKey>) {
        let (mut done, mut expired) = (Vec::new(), Vec::new());
        let due: Vec<(TaskKey, EndCause)> = (self.runs.iter())
            .filter_map(
                |(task, run)| match run.ends_at <= now.min(self.lease_until) {
                    true => Some((*task, EndCause::Done)),
                    false if self.lease_until < now => Some((*task, EndCause::Expired)),
                    false => None,
                },
            )
            .collect();
        for (task, cause) in due {
            match cause {
                EndCause::Done => done.push(task),
                _ => expired.push(task),
            }
            self.end(task, cause);
        }
        (done, expired)
    }

    fn end(&mut self, task: TaskKey, cause: EndCause) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.ended_runs.insert(task, run.run);
        self.ends += 1;
        self.ended.push(EndedRun {
            number: self.ends,
            task,
            run: run.run,
            cause,
            checkpoint: String::new(),
        });
    }

    pub(crate) fn used_cpu(&self) -> u64 {
        self.runs.values().map(|run| run.cpu).sum()
    }

    pub(crate) fn free_cpu(&self) -> u64 {
        WORKER_CPU.saturating_sub(self.used_cpu())
    }

    /// Carries out a start.
    pub(crate) fn start(
        &mut self,
        task: TaskKey,
        run: ActiveRun,
        token: u64,
        lease_until: Duration,
    ) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Fenced;
        }
        self.token = token;
        if lease_until <= run.started_at {
            return OrderAnswer::Late;
        }
        if self
            .runs
            .get(&task)
            .is_some_and(|other| other.run == run.run)
        {
            return OrderAnswer::Accepted;
        }
        if self
            .ended_runs
            .get(&task)
            .is_some_and(|ended| *ended >= run.run)
        {
            return OrderAnswer::OldRun;
        }
        if run.cpu > self.free_cpu() || self.runs.contains_key(&task) {
            return OrderAnswer::NoRoom;
        }
        self.lease_until = self.lease_until.max(lease_until);
        self.runs.insert(task, run);
        OrderAnswer::Accepted
    }

    /// Carries out a stop.
    pub(crate) fn stop(&mut self, task: TaskKey, run: u64, token: u64) -> OrderAnswer {
        if token < self.token {
            return OrderAnswer::Fenced;
        }
        self.token = token;
        if self.runs.get(&task).is_some_and(|known| known.run <= run) {
            self.end(task, EndCause::Stopped);
        }
        OrderAnswer::Accepted
    }

    /// Applies a renewal: forgets acknowledged ends and extends the lease.
    pub(crate) fn renew(&mut self, token: u64, acknowledged: u64, lease_until: Option<Duration>) {
        if token >= self.token {
            self.token = token;
            self.ended.retain(|end| end.number > acknowledged);
            self.lease_until = self.lease_until.max(lease_until.unwrap_or_default());
        }
    }

    pub(crate) fn is_fenced(&self, token: u64) -> bool {
        token < self.token
    }

    /// Returns whether a report would have ends that are not acknowledged.
    pub(crate) fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    pub(crate) fn report(&self, now: Duration) -> WorkerReport {
        let running = self.runs.iter().map(|(task, run)| {
            let length = run.ends_at.saturating_sub(run.started_at);
            let elapsed = now.saturating_sub(run.started_at);
            RunningRun {
                task: *task,
                run: run.run,
                checkpoint: String::new(),
                percent: (elapsed.as_millis() * 100 / length.as_millis().max(1)) as u32,
                usage: run.cpu,
            }
        });
        WorkerReport {
            clock_ms: now.as_millis() as u64,
            started_ms: None,
            running: running.collect(),
            ended: self.ended.clone(),
            omits_ends: false,
        }
    }
}

pub(crate) fn worker_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        worker: format!("w{number:03}"),
        pool: "pool".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone".to_owned(),
        draining: false,
        drain_remaining: None,
        started_ms: 1_000,
        capacity: ResourceAmount {
            cpu: WORKER_CPU,
            memory_mb: WORKER_MEMORY_MB,
            gpu: 0,
        },
        labels: Vec::new(),
        rack: Some(format!("r-{}", number / 20)),
        borrowed: false,
    }
}

/// Returns the entry of a worker that only the ledger names: its capacity is unknown.
pub(crate) fn gone_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        capacity: ResourceAmount::default(),
        rack: None,
        ..worker_entry(number)
    }
}
