//! Measures what the decisions of a cell cost while jobs wait for the cap of their workspace.
//!
//! Usage: `waiting_cost [waiting | recovery]`. Workers have free room, but one workspace uses all that its cap allows and
//! its jobs wait, while a second workspace is below its cap. Each worker reports every 25 ms, and each report
//! and each answer to a start is followed by decisions. A second case is a cell in recovery, a part of whose
//! workers has not reported. Prints the processor time per report, start and round, its share of
//! a core, and the counted work per round.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ProgressRecord;
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
use tanager_schedule::WorkspacePolicy;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::report::WorkspaceAllowance;
use tanager_schedule::orders::OrderResult;
use tanager_schedule::recovery::FormerOwner;

const QUEUE: &str = "queue";
const WALL_MS: u64 = 1_000_000;
/// Cores of a worker, in thousandths.
const WORKER_CPU: u64 = 16_000;
/// Cores of the kinds of tasks, in thousandths.
const TASK_CPU: [u64; 4] = [2_200, 1_000, 4_000, 2_200];
const TASK_TIME: Duration = Duration::from_millis(1_000);
const TASKS_PER_STEP: u32 = 4;
/// Parts of the cell's cores that the workspaces may use; the first one's jobs wait.
const CAP_PARTS: [(&str, f64); 2] = [("capped", 0.4), ("free", 0.5)];
/// Part of the cell's cores that the second workspace asks for.
const FREE_LOAD: f64 = 0.2;
const REPORT_PERIOD: Duration = Duration::from_millis(25);
/// Time in which reports are handled between two readings of the processor time.
const BATCH_TIME: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_millis(1_500);
const MEASURED_TIME: Duration = Duration::from_millis(2_000);
/// Jobs of the cell in recovery, and one in how many workers has not reported.
const RECOVERED_JOBS: usize = 1_300;
const SILENT_PART: usize = 8;
/// Time before the measurement, and jobs that are kept open meanwhile, the recovered ones included.
const RECOVERY_WARM_UP: Duration = Duration::from_millis(500);
const RECOVERY_OPEN: usize = RECOVERED_JOBS + 100;

/// Runs on a worker, with the time of their end, and the ends that the worker reports.
#[derive(Default)]
struct SimulatedWorker {
    runs: BTreeMap<TaskKey, (u64, Duration)>,
    ends: u64,
}

/// What was measured.
#[derive(Default)]
struct DecisionCost {
    seconds: f64,
    reports: u64,
    starts: u64,
    rounds: u64,
}

struct Simulation {
    core: CellCore,
    keys: Vec<WorkerKey>,
    workers: BTreeMap<WorkerKey, SimulatedWorker>,
    accepted: Vec<(WorkerKey, TaskKey, u64)>,
    limits: Vec<WorkspaceAllowance>,
    submitted: u64,
    cost: DecisionCost,
    now: Duration,
}

fn main() {
    let case = std::env::args().nth(1);
    let is_selected = |name: &str| case.as_deref().is_none_or(|case| case == name);
    if is_selected("waiting") {
        measure_waiting();
    }
    if is_selected("recovery") {
        measure_recovery();
    }
}

fn measure_waiting() {
    for workers in [80, 160, 320] {
        for open in [100, 400, 1_600] {
            let mut simulation = Simulation::new(workers);
            simulation.run(WARM_UP, open);
            simulation.measure(&format!("workers {workers} open {open}"), open);
        }
    }
}

fn measure_recovery() {
    for workers in [80, 160, 320] {
        let mut simulation = Simulation::in_recovery(workers);
        simulation.run(RECOVERY_WARM_UP, RECOVERY_OPEN);
        simulation.measure(&format!("workers {workers} in recovery"), RECOVERY_OPEN);
    }
}

impl Simulation {
    fn new(count: usize) -> Self {
        let mut core = CellCore::new(CellSettings {
            lease: Duration::from_millis(5_700),
            max_lease: Duration::from_millis(6_000),
            stale_owner_limit: Duration::from_millis(4_000),
            max_stop_time: Duration::from_millis(400),
            retention: Duration::from_secs(180),
            forecasts_demand: false,
            plans_overload: false,
            weighs_workers: true,
        });
        core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
        let cell_cpu = count as f64 * WORKER_CPU as f64;
        let caps = CAP_PARTS.map(|(name, part)| (name.to_owned(), (cell_cpu * part) as u64));
        core.set_workspaces(caps.iter().map(|(name, cpu)| {
            let cap = ResourceAmount {
                cpu: *cpu,
                ..ResourceAmount::default()
            };
            (name.clone(), WorkspacePolicy { weight: 10.0, cap })
        }));
        let limits = caps.map(|(name, cpu)| WorkspaceAllowance {
            name,
            cap: [cpu, 0, 0],
            limit: [cpu, 0, 0],
            excess: [0; 3],
            rate: 10.0,
        });
        let entries: Vec<_> = (0..count).map(worker_entry).collect();
        core.sync_workers(&entries, Duration::ZERO);
        let keys = core.worker_keys();
        core.mark_registered(&keys);
        Self {
            core,
            keys,
            workers: BTreeMap::new(),
            accepted: Vec::new(),
            limits: limits.to_vec(),
            submitted: 0,
            cost: DecisionCost::default(),
            now: Duration::ZERO,
        }
    }

    /// Returns a cell that was taken over, with the workers that never report.
    fn in_recovery(count: usize) -> Self {
        let mut simulation = Self::new(count);
        for _ in 0..RECOVERED_JOBS {
            simulation.submitted += 1;
            let record = job(simulation.submitted, CAP_PARTS[0].0);
            let progress = ProgressRecord::default();
            (simulation.core).load_job(record, &progress, Duration::ZERO, WALL_MS);
        }
        let entries: Vec<_> = (0..count).map(worker_entry).collect();
        let core = &mut simulation.core;
        core.await_former_workers(&entries, FormerOwner::Inactive, Duration::ZERO);
        simulation.keys.truncate(count - count / SILENT_PART);
        simulation
    }

    fn measure(&mut self, name: &str, open: usize) {
        let before = self.core.decision_work();
        self.cost = DecisionCost::default();
        self.run(MEASURED_TIME, open);
        let (cost, work) = (&self.cost, self.core.decision_work());
        let us = |count: u64| cost.seconds * 1e6 / count.max(1) as f64;
        let per_round = |before: u64, after: u64| (after - before) / cost.rounds.max(1);
        println!(
            "{name}: core_share {:.3} us per report {:.1} start {:.1} round {:.1} | reports {} starts {} \
             rounds {} | per round: steps {} cap_checks {} workers {} runs {} tasks {}",
            cost.seconds / MEASURED_TIME.as_secs_f64(),
            us(cost.reports),
            us(cost.starts),
            us(cost.rounds),
            cost.reports,
            cost.starts,
            cost.rounds,
            per_round(before.steps, work.steps),
            per_round(before.cap_checks, work.cap_checks),
            per_round(before.workers, work.workers),
            per_round(before.runs, work.runs),
            per_round(before.tasks, work.tasks),
        );
    }

    /// Runs the cell for some time and keeps `open` jobs of the first workspace open.
    fn run(&mut self, time: Duration, open: usize) {
        let begin = self.now;
        let report_gap = REPORT_PERIOD / self.keys.len() as u32;
        let cell_cpu = self.keys.len() as f64 * WORKER_CPU as f64;
        let mean_cpu = TASK_CPU.iter().sum::<u64>() as f64 / TASK_CPU.len() as f64;
        let job_work = f64::from(TASKS_PER_STEP) * TASK_TIME.as_secs_f64() * mean_cpu;
        let free_jobs_per_s = cell_cpu * FREE_LOAD / job_work;
        let (mut now, mut free_jobs, mut reports) = (begin, 0u64, 0usize);
        while now < begin + time {
            let batch_end = now + BATCH_TIME;
            while (free_jobs as f64) < (now - begin).as_secs_f64() * free_jobs_per_s && open > 0 {
                free_jobs += 1;
                self.add_job(CAP_PARTS[1].0, now);
            }
            let waiting = self.core.waiting_by_workspace();
            let known = (waiting.get(CAP_PARTS[0].0)).map_or(0, |count| *count as usize);
            for _ in known..open {
                self.add_job(CAP_PARTS[0].0, now);
            }
            let mut batch = Vec::new();
            while now < batch_end {
                let key = self.keys[reports % self.keys.len()];
                batch.push((now, key, report(self.workers.entry(key).or_default(), now)));
                reports += 1;
                now += report_gap;
            }
            let accepted = std::mem::take(&mut self.accepted);
            let started = processor_time();
            for (worker, task, run) in accepted {
                let answer = OrderResult::Answered(OrderAnswer::Accepted);
                (self.core).apply_start_result(worker, task, run, answer, batch[0].0);
                self.tick(batch[0].0);
            }
            for (at, key, report) in &batch {
                self.core.apply_report(*key, report, *at, *at, WALL_MS);
                self.tick(*at);
            }
            self.renew_limits(now);
            self.cost.seconds += processor_time() - started;
            self.cost.reports += batch.len() as u64;
            for action in self.core.take_actions() {
                if let CellAction::Start {
                    worker, task, run, ..
                } = action
                {
                    self.cost.starts += 1;
                    let runs = &mut self.workers.entry(worker).or_default().runs;
                    runs.insert(task, (run, now + TASK_TIME));
                    self.accepted.push((worker, task, run));
                }
            }
            self.core.take_events();
            self.core.take_dirty(usize::MAX);
        }
        self.now = now;
    }

    fn tick(&mut self, now: Duration) {
        let before = self.core.decision_work().workers;
        self.core.tick(now, WALL_MS, true);
        self.cost.rounds += u64::from(self.core.decision_work().workers > before);
    }

    /// Reports to the allocator if that is due, and gets the same limits again.
    fn renew_limits(&mut self, now: Duration) {
        if (self.core.allowance_report_due(now)).is_none_or(|due| now < due) {
            return;
        }
        let report = self
            .core
            .create_allowance_report(&"cell".to_owned(), 1, now);
        let reply = AllowanceReply {
            number: report.number,
            allocator: 1,
            valid_ms: 5_700,
            version: 1,
            workspaces: self.limits.clone(),
        };
        self.core.apply_allowance_reply(&reply, now);
    }

    fn add_job(&mut self, workspace: &str, now: Duration) {
        self.submitted += 1;
        self.core
            .add_job(job(self.submitted, workspace), now, WALL_MS);
    }
}

/// Returns the processor time of this thread in seconds, which other processes do not distort.
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let spent = text
        .split(' ')
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    spent.unwrap_or(f64::NAN) / 1e9
}

fn report(worker: &mut SimulatedWorker, now: Duration) -> WorkerReport {
    let ended: Vec<(TaskKey, u64)> = (worker.runs.iter())
        .filter(|(_, (_, end))| *end <= now)
        .map(|(task, (run, _))| (*task, *run))
        .collect();
    worker.runs.retain(|_, (_, end)| *end > now);
    let first = worker.ends + 1;
    worker.ends += ended.len() as u64;
    let ended = (ended.into_iter().zip(first..)).map(|((task, run), number)| EndedRun {
        number,
        task,
        run,
        cause: EndCause::Done,
        checkpoint: String::new(),
    });
    let running = worker.runs.iter().map(|(task, (run, end))| RunningRun {
        task: *task,
        run: *run,
        checkpoint: String::new(),
        percent: 100 - end.saturating_sub(now).as_millis().min(1_000) as u32 / 10,
        usage: 0,
    });
    WorkerReport {
        clock_ms: now.as_millis() as u64,
        started_ms: None,
        running: running.collect(),
        ended: ended.collect(),
        omits_ends: false,
    }
}

fn worker_entry(number: usize) -> WorkerEntry {
    WorkerEntry {
        worker: format!("w{number:04}"),
        pool: "pool".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone".to_owned(),
        draining: false,
        drain_remaining: None,
        started_ms: 1_000,
        capacity: ResourceAmount {
            cpu: WORKER_CPU,
            memory_mb: 32_000,
            gpu: 0,
        },
        labels: Vec::new(),
        rack: Some(format!("r-{}", number / 20)),
        borrowed: false,
    }
}

fn job(id: u64, workspace: &str) -> JobRecord {
    let step = StepSpec {
        count: TASKS_PER_STEP,
        request: ResourceAmount {
            cpu: TASK_CPU[id as usize % TASK_CPU.len()],
            memory_mb: 100,
            gpu: 0,
        },
        estimated_ms: TASK_TIME.as_millis() as u64,
        ..StepSpec::default()
    };
    JobRecord {
        id: JobId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        queue: QUEUE.to_owned(),
        pool: "pool".to_owned(),
        accepted_ms: WALL_MS,
        max_attempts: 3,
        spec: JobSpec {
            specification: "work".to_owned(),
            steps: vec![step],
            ..JobSpec::default()
        },
        workspace: Some(workspace.to_owned()),
        exceeds_rate: false,
    }
}
