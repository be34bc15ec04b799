//! Measures the processor time of a cell's decisions in a surge.
//!
//! Usage: `decision_cost [WORKERS] [plan]`. With `plan`, the cell plans for overload, and the time of a
//! plan of 800 jobs is printed as well. A queue asks the cell's workers for one and a half times their
//! cores for four and a half seconds. Every worker reports each 25 ms, as in a real surge, and each
//! report is followed by decisions. Prints the mean time per report and the share of a core.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

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
use tanager_schedule::admission::AdmissionDecision;
use tanager_schedule::orders::OrderResult;
use tanager_schedule::overload::PlanCapacity;
use tanager_schedule::overload::PlanOutcome;
use tanager_schedule::overload::WaitingJob;
use tanager_schedule::overload::plan_jobs;
use tanager_schedule::overload::planned_value;

const QUEUE: &str = "queue";
const WALL_MS: u64 = 1_000_000;
/// Cores of a worker and of a task, in thousandths, and duration of a task: the shortest kind of
/// job on the large site.
const WORKER_CPU: u64 = 16_000;
const TASK_CPU: u64 = 2_200;
const TASK_TIME: Duration = Duration::from_millis(1_000);
const TASKS_PER_STEP: u32 = 8;
const REPORT_PERIOD: Duration = Duration::from_millis(25);
const SURGE_TIME: Duration = Duration::from_millis(4_500);
const OVERLOAD: f64 = 1.5;
/// Number of plans measured.
const PLANS: u32 = 200;

/// Runs on a worker, with the time of their end, and the ends that the worker reports.
#[derive(Default)]
struct SimulatedWorker {
    runs: BTreeMap<TaskKey, (u64, Duration)>,
    ends: u64,
}

fn main() {
    let count = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let count: usize = count.unwrap_or(134);
    let plans_overload = std::env::args().nth(2).is_some_and(|text| text == "plan");
    if plans_overload {
        measure_plan();
    }
    let mut core = CellCore::new(CellSettings {
        lease: Duration::from_millis(5_700),
        max_lease: Duration::from_millis(6_000),
        stale_owner_limit: Duration::from_millis(4_000),
        max_stop_time: Duration::from_millis(400),
        retention: Duration::from_secs(180),
        forecasts_demand: false,
        plans_overload,
        weighs_workers: false,
    });
    core.set_queues([(QUEUE.to_owned(), QueuePolicy::default())]);
    let entries: Vec<_> = (0..count).map(worker_entry).collect();
    core.sync_workers(&entries, Duration::ZERO);
    let keys = core.worker_keys();
    core.mark_registered(&keys);
    let mut workers: BTreeMap<WorkerKey, SimulatedWorker> = BTreeMap::new();
    let job_work = 2.0 * f64::from(TASKS_PER_STEP) * TASK_TIME.as_secs_f64() * TASK_CPU as f64;
    let jobs_per_s = count as f64 * WORKER_CPU as f64 * OVERLOAD / job_work;
    let report_gap = REPORT_PERIOD / keys.len() as u32;
    let (mut now, mut submitted, mut refused) = (Duration::ZERO, 0u64, 0u64);
    let (mut reports, mut starts) = (0u64, 0u64);
    let mut busy = Duration::ZERO;
    while now < SURGE_TIME {
        let key = keys[reports as usize % keys.len()];
        let report = report(workers.entry(key).or_default(), now);
        let started = Instant::now();
        while (submitted as f64) < now.as_secs_f64() * jobs_per_s {
            submitted += 1;
            let mut record = job(submitted);
            match core.admit_record(&mut record, &[], now).decision {
                AdmissionDecision::Accept => core.add_job(record, now, WALL_MS),
                _ => refused += 1,
            }
        }
        core.apply_report(key, &report, now, now, WALL_MS);
        core.tick(now, WALL_MS, true);
        let actions = core.take_actions();
        busy += started.elapsed();
        for action in actions {
            if let CellAction::Start {
                worker, task, run, ..
            } = action
            {
                starts += 1;
                let worker_runs = &mut workers.entry(worker).or_default().runs;
                worker_runs.insert(task, (run, now + TASK_TIME));
                let accepted = OrderResult::Answered(OrderAnswer::Accepted);
                let started = Instant::now();
                core.apply_start_result(worker, task, run, accepted, now);
                core.tick(now, WALL_MS, true);
                busy += started.elapsed();
            }
        }
        core.take_events();
        core.take_dirty(usize::MAX);
        reports += 1;
        now += report_gap;
    }
    println!(
        "workers {count} jobs {submitted} refused {refused} starts {starts} reports {reports} \
         mean_us {:.1} core_share {:.3}",
        busy.as_secs_f64() * 1e6 / reports as f64,
        busy.as_secs_f64() / SURGE_TIME.as_secs_f64()
    );
}

/// Prints the mean time of a plan of 800 jobs of which a third end in time.
fn measure_plan() {
    let waiting = |index: u64| {
        let work = 5.0 + (index * 37 % 100) as f64;
        WaitingJob {
            key: (JobId(index), 0),
            work,
            critical_path: Duration::from_millis(1_500),
            since: Duration::from_millis(index * 53 % 2_000),
            deadline: Duration::from_millis(4_000 + index * 53 % 2_000),
            latest: Duration::from_millis(12_000 + index * 53 % 2_000),
            priority: 1,
            is_below_share: !index.is_multiple_of(3),
            exceeds_rate: index.is_multiple_of(5),
            value: planned_value(work / 55.0),
            is_accepted: true,
            has_room: false,
            was_planned: index.is_multiple_of(2),
        }
    };
    let jobs: Vec<WaitingJob> = (0..800).map(waiting).collect();
    let capacity = PlanCapacity {
        cores: 8_000.0,
        free_work: 0.0,
    };
    let started = processor_time();
    let mut planned = 0;
    for _ in 0..PLANS {
        let plans = plan_jobs(&jobs, &capacity, Duration::from_millis(2_000));
        planned = (plans.iter())
            .filter(|plan| plan.outcome == PlanOutcome::Planned)
            .count();
    }
    let mean_us = (processor_time() - started) * 1e6 / f64::from(PLANS);
    println!(
        "plan of {} jobs, {planned} in time: {mean_us:.0} us",
        jobs.len()
    );
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
    let is_ended = |end: &Duration| *end <= now;
    let ended = (worker.runs.iter())
        .filter(|(_, (_, end))| is_ended(end))
        .enumerate()
        .map(|(index, (task, (run, _)))| EndedRun {
            number: worker.ends + 1 + index as u64,
            task: *task,
            run: *run,
            cause: EndCause::Done,
            checkpoint: String::new(),
        });
    let ended: Vec<_> = ended.collect();
    worker.ends += ended.len() as u64;
    worker.runs.retain(|_, (_, end)| !is_ended(end));
    let running = worker.runs.iter().map(|(task, (run, end))| RunningRun {
        task: *task,
        run: *run,
        checkpoint: String::new(),
        percent: 100 - end.saturating_sub(now).as_millis() as u32 / 10,
        usage: 0,
    });
    WorkerReport {
        clock_ms: now.as_millis() as u64,
        started_ms: None,
        running: running.collect(),
        ended,
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

fn job(id: u64) -> JobRecord {
    let step = StepSpec {
        count: TASKS_PER_STEP,
        request: ResourceAmount {
            cpu: TASK_CPU,
            memory_mb: 100,
            gpu: 0,
        },
        estimated_ms: TASK_TIME.as_millis() as u64,
        ..StepSpec::default()
    };
    let second = StepSpec {
        after: vec![0],
        ..step.clone()
    };
    JobRecord {
        id: JobId(id.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        queue: QUEUE.to_owned(),
        pool: "pool".to_owned(),
        accepted_ms: WALL_MS,
        max_attempts: 3,
        spec: JobSpec {
            specification: "work".to_owned(),
            steps: vec![step, second],
            ..JobSpec::default()
        },
        workspace: None,
        exceeds_rate: false,
    }
}
