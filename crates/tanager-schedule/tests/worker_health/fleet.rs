//! A cell whose workers are unreliable in given ways, under a steady load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
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
use tanager_schedule::CellEvent;
use tanager_schedule::CellSettings;
use tanager_schedule::QueuePolicy;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(25);
/// Interval of a worker's reports.
const REPORT_PERIOD: Duration = Duration::from_millis(250);
/// Tasks of a job.
const TASKS: u32 = 4;
/// Duration of a task on a healthy worker, in milliseconds.
const TASK_MS: std::ops::Range<u64> = 700..800;
/// Time after which a run fails.
const FAILURE_TIME: Duration = Duration::from_millis(300);
/// Target of a job: 1.6 times its critical path and 600 ms.
const TARGET: Duration = Duration::from_millis(1_800);
const WALL_MS: u64 = 1_000_000;

/// How a worker behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    Healthy,
    /// Fails this share of its runs.
    Fails(f64),
    /// Accepts starts and does nothing.
    Hangs,
    /// Does not respond in one half of this period.
    Flaps(Duration),
    /// Takes this many times as long.
    Slow(f64),
    /// Carries out orders but does not answer this share of them.
    DropsAnswers(f64),
    /// Cannot be reached between these times, as when the owner's network is cut.
    Unreachable(Duration, Duration),
    /// Refuses all starts because it is unwell.
    RefusesStarts,
    /// Fails all runs until this time.
    Recovers(Duration),
}

/// A queue of the cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestQueue {
    pub(crate) name: &'static str,
    pub(crate) jobs_per_second: f64,
    /// Share of runs that fail on any worker.
    pub(crate) failure_rate: f64,
    /// Share of jobs whose tasks fail on every worker.
    pub(crate) impossible_share: f64,
}

struct SimulatedRun {
    worker: WorkerKey,
    task: TaskKey,
    run: u64,
    started_at: Duration,
    /// End and its cause; `None` if it does not end.
    end: Option<(Duration, EndCause)>,
}

pub(crate) struct TestFleet {
    core: CellCore,
    random: StdRng,
    /// Determines the jobs, which so do not depend on the rule that is played.
    arrivals: StdRng,
    now: Duration,
    queues: Vec<TestQueue>,
    keys: Vec<WorkerKey>,
    behaviours: Vec<Behaviour>,
    running: Vec<SimulatedRun>,
    ended: Vec<(WorkerKey, EndedRun, Duration)>,
    end_numbers: BTreeMap<WorkerKey, u64>,
    impossible: Vec<JobId>,
    are_ejected: Vec<bool>,
    next_job: u64,
    /// Runs started on each worker.
    pub(crate) runs: Vec<usize>,
    /// Times at which runs were started on each worker.
    pub(crate) starts: Vec<Vec<Duration>>,
    pub(crate) jobs: usize,
    pub(crate) jobs_in_time: usize,
    pub(crate) jobs_failed: usize,
    pub(crate) max_ejected: usize,
    pub(crate) ejections: usize,
}

impl TestFleet {
    pub(crate) fn new(
        behaviours: &[Behaviour],
        queues: &[TestQueue],
        weighs_workers: bool,
        seed: u64,
    ) -> Self {
        let mut core = CellCore::new(CellSettings {
            lease: Duration::from_millis(5_700),
            max_lease: Duration::from_millis(6_000),
            stale_owner_limit: Duration::from_millis(4_000),
            max_stop_time: Duration::from_millis(900),
            retention: Duration::from_secs(10),
            forecasts_demand: false,
            plans_overload: false,
            weighs_workers,
        });
        core.set_queues(
            (queues.iter()).map(|queue| (queue.name.to_owned(), QueuePolicy::default())),
        );
        let entries: Vec<WorkerEntry> = (0..behaviours.len()).map(worker_entry).collect();
        core.sync_workers(&entries, Duration::ZERO);
        let new_keys = core.unregistered_workers(Duration::ZERO);
        core.mark_registered(&new_keys);
        let keys: Vec<WorkerKey> = (entries.iter())
            .map(|entry| {
                (core.worker_keys().into_iter())
                    .find(|key| {
                        core.worker(*key)
                            .is_some_and(|worker| worker.entry.worker == entry.worker)
                    })
                    .expect("a known worker")
            })
            .collect();
        Self {
            core,
            random: StdRng::seed_from_u64(seed),
            arrivals: StdRng::seed_from_u64(seed + 1_000),
            now: Duration::ZERO,
            queues: queues.to_vec(),
            are_ejected: vec![false; keys.len()],
            runs: vec![0; keys.len()],
            starts: vec![Vec::new(); keys.len()],
            keys,
            behaviours: behaviours.to_vec(),
            running: Vec::new(),
            ended: Vec::new(),
            end_numbers: BTreeMap::new(),
            impossible: Vec::new(),
            next_job: 1,
            jobs: 0,
            jobs_in_time: 0,
            jobs_failed: 0,
            max_ejected: 0,
            ejections: 0,
        }
    }

    /// Plays the given time.
    pub(crate) fn play(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.submit_jobs();
            self.end_runs();
            if self
                .now
                .as_millis()
                .is_multiple_of(REPORT_PERIOD.as_millis())
            {
                self.report_all();
            }
            self.core.tick(self.now, self.wall_ms(), true);
            for action in self.core.take_actions() {
                self.execute(&action);
            }
            self.count_events();
            self.count_ejections();
            self.now += STEP;
        }
    }

    /// Returns the number of runs that were started on workers of this kind, and of the others.
    pub(crate) fn runs_by_kind(&self) -> (usize, usize) {
        (self.behaviours.iter().zip(&self.runs)).fold((0, 0), |(bad, good), (behaviour, runs)| {
            match behaviour {
                Behaviour::Healthy => (bad, good + runs),
                _ => (bad + runs, good),
            }
        })
    }

    /// Returns the least number of runs on a healthy worker.
    pub(crate) fn least_runs_of_healthy(&self) -> usize {
        (self.behaviours.iter().zip(&self.runs))
            .filter(|(behaviour, _)| **behaviour == Behaviour::Healthy)
            .map(|(_, runs)| *runs)
            .min()
            .unwrap_or(0)
    }

    fn wall_ms(&self) -> u64 {
        WALL_MS + self.now.as_millis() as u64
    }

    fn submit_jobs(&mut self) {
        for queue in self.queues.clone() {
            if !self
                .arrivals
                .random_bool(queue.jobs_per_second * STEP.as_secs_f64())
            {
                continue;
            }
            let id = JobId(self.next_job);
            self.next_job += 1;
            if queue.impossible_share > 0.0 && self.arrivals.random_bool(queue.impossible_share) {
                self.impossible.push(id);
            }
            let record = JobRecord {
                id,
                queue: queue.name.to_owned(),
                pool: "pool".to_owned(),
                accepted_ms: self.wall_ms(),
                max_attempts: 3,
                spec: JobSpec {
                    specification: "work".to_owned(),
                    steps: vec![StepSpec {
                        count: TASKS,
                        request: ResourceAmount {
                            cpu: 1_000,
                            memory_mb: 100,
                            gpu: 0,
                        },
                        estimated_ms: 750,
                        ..StepSpec::default()
                    }],
                    ..JobSpec::default()
                },
                workspace: None,
                exceeds_rate: false,
            };
            let wall_ms = self.wall_ms();
            self.core.add_job(record, self.now, wall_ms);
            self.jobs += 1;
        }
    }

    fn position(&self, key: WorkerKey) -> usize {
        (self.keys.iter().position(|other| *other == key)).expect("a known worker")
    }

    fn is_responding(&self, key: WorkerKey) -> bool {
        match self.behaviours[self.position(key)] {
            Behaviour::Flaps(period) => {
                let phase = self.now.as_millis() % period.as_millis();
                phase < period.as_millis() / 2
            }
            Behaviour::Unreachable(from, until) => self.now < from || self.now >= until,
            _ => true,
        }
    }

    fn execute(&mut self, action: &CellAction) {
        match action {
            CellAction::Start {
                worker, task, run, ..
            } => {
                let result = self.start(*worker, *task, *run);
                self.core
                    .apply_start_result(*worker, *task, *run, result, self.now);
            }
            CellAction::Stop { worker, task, run } => {
                let result = self.stop(*worker, *task, *run);
                self.core
                    .apply_stop_result(*worker, *task, *run, result, self.now);
            }
            _ => {}
        }
    }

    fn start(&mut self, worker: WorkerKey, task: TaskKey, run: u64) -> OrderResult {
        if !self.is_responding(worker) {
            return OrderResult::Unknown;
        }
        if self.behaviours[self.position(worker)] == Behaviour::RefusesStarts {
            let position = self.position(worker);
            self.runs[position] += 1;
            return OrderResult::Answered(OrderAnswer::Unwell);
        }
        let is_known = (self.running.iter())
            .any(|other| other.worker == worker && other.task == task && other.run == run);
        if !is_known {
            let position = self.position(worker);
            self.runs[position] += 1;
            self.starts[position].push(self.now);
            let end = self.planned_end(position, task);
            self.running.push(SimulatedRun {
                worker,
                task,
                run,
                started_at: self.now,
                end,
            });
        }
        match self.behaviours[self.position(worker)] {
            Behaviour::DropsAnswers(share) if self.random.random_bool(share) => {
                OrderResult::Unknown
            }
            _ => OrderResult::Answered(OrderAnswer::Accepted),
        }
    }

    fn planned_end(&mut self, position: usize, task: TaskKey) -> Option<(Duration, EndCause)> {
        let mut duration = Duration::from_millis(self.random.random_range(TASK_MS));
        let queue = self
            .core
            .record(task.job)
            .map(|record| record.queue.clone());
        let mut failure_rate = (self.queues.iter())
            .find(|other| Some(other.name) == queue.as_deref())
            .map_or(0.0, |queue| queue.failure_rate);
        if self.impossible.contains(&task.job) {
            failure_rate = 1.0;
        }
        match self.behaviours[position] {
            Behaviour::Hangs => return None,
            Behaviour::Fails(share) => failure_rate = share.max(failure_rate),
            Behaviour::Recovers(at) if self.now < at => failure_rate = 1.0,
            Behaviour::Slow(factor) => duration = duration.mul_f64(factor),
            _ => {}
        }
        Some(match self.random.random_bool(failure_rate) {
            true => (self.now + FAILURE_TIME, EndCause::Failed),
            false => (self.now + duration, EndCause::Done),
        })
    }

    fn stop(&mut self, worker: WorkerKey, task: TaskKey, run: u64) -> OrderResult {
        if !self.is_responding(worker) {
            return OrderResult::Unknown;
        }
        let is_stopped =
            |other: &SimulatedRun| other.worker == worker && other.task == task && other.run == run;
        if self.running.iter().any(is_stopped) {
            self.running.retain(|other| !is_stopped(other));
            self.add_end(worker, task, run, EndCause::Stopped);
        }
        OrderResult::Answered(OrderAnswer::Accepted)
    }

    fn add_end(&mut self, worker: WorkerKey, task: TaskKey, run: u64, cause: EndCause) {
        let number = self.end_numbers.entry(worker).or_default();
        *number += 1;
        let ended = EndedRun {
            number: *number,
            task,
            run,
            cause,
            checkpoint: String::new(),
        };
        self.ended.push((worker, ended, self.now));
    }

    fn end_runs(&mut self) {
        let now = self.now;
        let (over, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|run| run.end.is_some_and(|(at, _)| at <= now));
        self.running = running;
        for run in over {
            if let Some((_, cause)) = run.end {
                self.add_end(run.worker, run.task, run.run, cause);
            }
        }
        self.ended
            .retain(|(_, _, at)| now.saturating_sub(*at) < Duration::from_secs(5));
    }

    fn report_all(&mut self) {
        for key in self.keys.clone() {
            if !self.is_responding(key) {
                self.core.record_missed_renewal(key);
                continue;
            }
            let report = WorkerReport {
                clock_ms: self.now.as_millis() as u64,
                started_ms: None,
                running: (self.running.iter())
                    .filter(|run| run.worker == key)
                    .map(|run| RunningRun {
                        task: run.task,
                        run: run.run,
                        checkpoint: String::new(),
                        percent: run.end.map_or(0, |(end, _)| {
                            let whole = (end - run.started_at).as_secs_f64();
                            let done = (self.now - run.started_at).as_secs_f64();
                            (done / whole * 99.0) as u32
                        }),
                        usage: 0,
                    })
                    .collect(),
                ended: (self.ended.iter())
                    .filter(|(worker, _, _)| *worker == key)
                    .map(|(_, ended, _)| ended.clone())
                    .collect(),
                omits_ends: false,
            };
            let wall_ms = self.wall_ms();
            self.core
                .apply_report(key, &report, self.now, self.now, wall_ms);
        }
    }

    fn count_ejections(&mut self) {
        let mut count = 0;
        for (position, key) in self.keys.iter().enumerate() {
            let is_ejected =
                (self.core.worker(*key)).is_some_and(|worker| worker.health.evidence.is_ejected());
            count += usize::from(is_ejected);
            self.ejections += usize::from(is_ejected && !self.are_ejected[position]);
            self.are_ejected[position] = is_ejected;
        }
        self.max_ejected = self.max_ejected.max(count);
    }

    fn count_events(&mut self) {
        for event in self.core.take_events() {
            if let CellEvent::JobEnded { state, age, .. } = event {
                let is_completed = state == tanager_jobs::JobState::Completed;
                self.jobs_failed += usize::from(!is_completed);
                self.jobs_in_time += usize::from(is_completed && age <= TARGET);
            }
        }
    }
}

fn worker_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        worker: format!("worker-{number:02}"),
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
