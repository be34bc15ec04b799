//! A cell whose workers respond as the test specifies.

use std::net::SocketAddr;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ResourceAmount;
use tanager_jobs::RunningRun;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::CellSettings;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;

pub(crate) const QUEUE: &str = "queue";
/// Wall clock time at the start of a test, in milliseconds.
pub(crate) const WALL_MS: u64 = 1_000_000;

pub(crate) fn settings() -> CellSettings {
    CellSettings {
        lease: Duration::from_millis(5_700),
        max_lease: Duration::from_millis(6_000),
        stale_owner_limit: Duration::from_millis(4_000),
        max_stop_time: Duration::from_millis(900),
        retention: Duration::from_secs(180),
        forecasts_demand: false,
        plans_overload: false,
        weighs_workers: false,
    }
}

pub(crate) fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

pub(crate) fn entry(name: &str) -> WorkerEntry {
    WorkerEntry {
        worker: name.to_owned(),
        pool: "pool".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone".to_owned(),
        draining: false,
        drain_remaining: None,
        started_ms: 1_000,
        capacity: ResourceAmount {
            cpu: 8_000,
            memory_mb: 32_000,
            gpu: 0,
        },
        labels: vec!["a".to_owned(), "r-1".to_owned()],
        rack: Some("r-1".to_owned()),
        borrowed: false,
    }
}

pub(crate) fn step(count: u32) -> StepSpec {
    StepSpec {
        count,
        request: ResourceAmount {
            cpu: 1_000,
            memory_mb: 100,
            gpu: 0,
        },
        estimated_ms: 500,
        ..StepSpec::default()
    }
}

/// Returns a step of long-running tasks, each on a worker of its own.
pub(crate) fn long_running_step(count: u32, may_miss: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        anti_affinity: 1,
        may_miss,
        ..step(count)
    }
}

pub(crate) fn job(id: u64, steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        id: JobId(id),
        queue: QUEUE.to_owned(),
        pool: "pool".to_owned(),
        accepted_ms: WALL_MS,
        max_attempts: 3,
        spec: JobSpec {
            specification: "work".to_owned(),
            steps,
            ..JobSpec::default()
        },
        workspace: None,
        exceeds_rate: false,
    }
}

pub(crate) fn task(job: u64, step: u16, index: u32) -> TaskKey {
    TaskKey {
        job: JobId(job),
        occurrence: 0,
        step,
        index,
    }
}

/// A cell whose workers accept every order, with the runs on them.
pub(crate) struct TestCell {
    pub(crate) core: CellCore,
    pub(crate) now: Duration,
    pub(crate) entries: Vec<WorkerEntry>,
    pub(crate) running: Vec<(WorkerKey, TaskKey, u64)>,
    ended: Vec<(WorkerKey, EndedRun)>,
    restarts: u32,
}

impl TestCell {
    pub(crate) fn new(entries: Vec<WorkerEntry>) -> Self {
        Self::with_settings(settings(), entries)
    }

    pub(crate) fn with_settings(settings: CellSettings, entries: Vec<WorkerEntry>) -> Self {
        let mut core = CellCore::new(settings);
        core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
        core.sync_workers(&entries, Duration::ZERO);
        let keys = core.unregistered_workers(Duration::ZERO);
        core.mark_registered(&keys);
        let mut cell = Self {
            core,
            now: Duration::ZERO,
            entries,
            running: Vec::new(),
            ended: Vec::new(),
            restarts: 0,
        };
        cell.report_all();
        cell
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now.as_millis() as u64
    }

    pub(crate) fn accept(&mut self, record: JobRecord) {
        let wall_ms = self.wall_ms();
        self.core.add_job(record, self.now, wall_ms);
    }

    /// Every worker responds to a lease renewal.
    pub(crate) fn report_all(&mut self) {
        for key in self.core.worker_keys() {
            self.report(key);
        }
    }

    /// Every worker but one responds to a lease renewal.
    pub(crate) fn report_others(&mut self, silent: WorkerKey) {
        for key in self.core.worker_keys() {
            if key != silent {
                self.report(key);
            }
        }
    }

    pub(crate) fn report(&mut self, key: WorkerKey) {
        let report = WorkerReport {
            clock_ms: self.now.as_millis() as u64,
            started_ms: None,
            running: (self.running.iter())
                .filter(|(worker, _, _)| *worker == key)
                .map(|(_, task, run)| RunningRun {
                    task: *task,
                    run: *run,
                    checkpoint: String::new(),
                    percent: 100,
                    usage: 0,
                })
                .collect(),
            ended: (self.ended.iter())
                .filter(|(worker, _)| *worker == key)
                .map(|(_, ended)| ended.clone())
                .collect(),
            omits_ends: false,
        };
        let wall_ms = self.wall_ms();
        self.core
            .apply_report(key, &report, self.now, self.now, wall_ms);
    }

    /// Advances the cell and lets the workers accept all orders. Returns the actions.
    pub(crate) fn tick(&mut self) -> Vec<CellAction> {
        let wall_ms = self.wall_ms();
        self.core.tick(self.now, wall_ms, true);
        let actions = self.core.take_actions();
        for action in &actions {
            let accepted = OrderResult::Answered(OrderAnswer::Accepted);
            match action {
                CellAction::Start {
                    worker, task, run, ..
                } => {
                    self.running.push((*worker, *task, *run));
                    self.core
                        .apply_start_result(*worker, *task, *run, accepted, self.now);
                }
                CellAction::Stop { worker, task, run } => {
                    self.end(*worker, *task, *run, EndCause::Stopped);
                    self.core
                        .apply_stop_result(*worker, *task, *run, accepted, self.now);
                }
                _ => {}
            }
        }
        actions
    }

    /// Ends a run on its worker; the next report lists the end.
    pub(crate) fn end(&mut self, worker: WorkerKey, task: TaskKey, run: u64, cause: EndCause) {
        self.running.retain(|entry| *entry != (worker, task, run));
        let number = 1 + self.ended.iter().filter(|(key, _)| *key == worker).count() as u64;
        let ended = EndedRun {
            number,
            task,
            run,
            cause,
            checkpoint: String::new(),
        };
        self.ended.push((worker, ended));
    }

    /// A worker crashes and comes back under another id at once.
    pub(crate) fn crash(&mut self, worker: WorkerKey) {
        let entry = self
            .core
            .worker(worker)
            .expect("known worker")
            .entry
            .clone();
        self.running.retain(|(key, _, _)| *key != worker);
        self.ended.retain(|(key, _)| *key != worker);
        self.core.end_incarnation(worker);
        self.restarts += 1;
        let name = format!("{}-{}", entry.worker, self.restarts);
        self.entries.retain(|other| other.worker != entry.worker);
        self.entries.push(WorkerEntry {
            worker: name,
            ..entry
        });
        self.register();
    }

    /// Takes over the current entries and registers new workers.
    pub(crate) fn register(&mut self) {
        self.core.sync_workers(&self.entries, self.now);
        let keys = self.core.unregistered_workers(self.now);
        self.core.mark_registered(&keys);
        self.report_all();
    }

    pub(crate) fn advance_time(&mut self, time: Duration) {
        self.now += time;
    }
}

pub(crate) fn starts(actions: &[CellAction]) -> Vec<(WorkerKey, TaskKey, u64)> {
    (actions.iter())
        .filter_map(|action| match action {
            CellAction::Start {
                worker, task, run, ..
            } => Some((*worker, *task, *run)),
            _ => None,
        })
        .collect()
}

pub(crate) fn stops(actions: &[CellAction]) -> Vec<TaskKey> {
    (actions.iter())
        .filter_map(|action| match action {
            CellAction::Stop { task, .. } => Some(*task),
            _ => None,
        })
        .collect()
}
