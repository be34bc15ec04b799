//! Measures the resident memory that a cell takes for each job, occurrence, task and run.
//!
//! Usage: `memory_cost`. Prints bytes per item, from the slope between two sizes, each measured in a process
//! of its own: memory that was freed is not returned to the system.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::CellSettings;
use tanager_schedule::QueuePolicy;
use tanager_schedule::orders::OrderResult;

const WALL_MS: u64 = 1_000_000_000;
/// Two sizes, and their difference.
const SIZES: [u64; 2] = [20_000, 60_000];

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = (status.lines()).find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

fn job(id: u64, tasks: u32, specification: &str) -> JobRecord {
    JobRecord {
        id: JobId(id),
        queue: "queue".to_owned(),
        pool: "pool".to_owned(),
        accepted_ms: WALL_MS,
        max_attempts: 3,
        spec: JobSpec {
            specification: specification.to_owned(),
            steps: vec![StepSpec {
                count: tasks,
                request: ResourceAmount {
                    cpu: 1,
                    memory_mb: 1,
                    gpu: 0,
                },
                estimated_ms: 500,
                ..StepSpec::default()
            }],
            ..JobSpec::default()
        },
        workspace: None,
        exceeds_rate: false,
    }
}

fn cell_with_worker(capacity: u64) -> CellCore {
    let mut core = CellCore::new(CellSettings {
        lease: Duration::from_millis(5_700),
        max_lease: Duration::from_millis(6_000),
        stale_owner_limit: Duration::from_millis(4_000),
        max_stop_time: Duration::from_millis(900),
        retention: Duration::from_secs(180),
        forecasts_demand: false,
        plans_overload: false,
        weighs_workers: false,
    });
    core.set_queues([("queue".to_owned(), QueuePolicy::default())]);
    let entry = WorkerEntry {
        worker: "worker".to_owned(),
        pool: "pool".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "zone".to_owned(),
        draining: false,
        drain_remaining: None,
        started_ms: 1,
        capacity: ResourceAmount {
            cpu: capacity,
            memory_mb: capacity,
            gpu: 0,
        },
        labels: Vec::new(),
        rack: None,
        borrowed: false,
    };
    core.sync_workers(&[entry], Duration::ZERO);
    let keys = core.unregistered_workers(Duration::ZERO);
    core.mark_registered(&keys);
    let report = WorkerReport {
        clock_ms: 1,
        started_ms: None,
        running: Vec::new(),
        ended: Vec::new(),
        omits_ends: false,
    };
    for key in core.worker_keys() {
        core.apply_report(key, &report, Duration::ZERO, Duration::ZERO, WALL_MS);
    }
    core
}

/// Starts all waiting tasks; returns the number of starts.
fn start_all(core: &mut CellCore) -> u64 {
    let mut started = 0;
    loop {
        core.tick(Duration::from_millis(1), WALL_MS, true);
        let actions = core.take_actions();
        if actions.is_empty() {
            return started;
        }
        for action in actions {
            if let CellAction::Start {
                worker, task, run, ..
            } = action
            {
                started += 1;
                let accepted = OrderResult::Answered(OrderAnswer::Accepted);
                core.apply_start_result(worker, task, run, accepted, Duration::from_millis(1));
            }
        }
    }
}

/// Fills a cell with `size` items of a kind; returns it, so that it is kept until the memory is read.
fn fill(kind: &str, size: u64) -> CellCore {
    let mut core = cell_with_worker(1 << 40);
    let now = Duration::ZERO;
    match kind {
        "job of one task" => {
            for id in 0..size {
                core.add_job(job(id, 1, "work"), now, WALL_MS);
            }
        }
        "ended job" => {
            for id in 0..size {
                core.add_job(job(id, 1, "work"), now, WALL_MS);
                core.cancel(JobId(id), now, WALL_MS);
                core.take_events();
                let (jobs, watermarks) = core.take_dirty(100);
                core.mark_stored(&jobs, &watermarks);
            }
        }
        "occurrence of one task" => {
            for id in 0..size / 1_000 {
                let mut record = job(id, 1, "work");
                record.spec.repetitions = 1_000;
                core.add_job(record, now, WALL_MS);
            }
        }
        "waiting task" => {
            for id in 0..size / 20_000 {
                core.add_job(job(id, 20_000, "work"), now, WALL_MS);
            }
        }
        "running task" => {
            for id in 0..size / 20_000 {
                core.add_job(job(id, 20_000, "work"), now, WALL_MS);
            }
            start_all(&mut core);
        }
        "task with progress" => {
            for id in 0..size / 20_000 {
                core.add_job(job(id, 20_000, "work"), now, WALL_MS);
            }
            let ended = (0..size).map(|number| EndedRun {
                number: number + 1,
                task: tanager_jobs::TaskKey {
                    job: JobId(number / 20_000),
                    occurrence: 0,
                    step: 0,
                    index: (number % 20_000) as u32,
                },
                run: 1,
                cause: EndCause::Stopped,
                checkpoint: "0123456789abcdef".to_owned(),
            });
            let report = WorkerReport {
                clock_ms: 2,
                started_ms: None,
                running: Vec::new(),
                ended: ended.collect(),
                omits_ends: false,
            };
            let key = core.worker_keys()[0];
            core.apply_report(key, &report, now, now, WALL_MS);
            drop(core.take_dirty(100));
        }
        _ => {}
    }
    core
}

const KINDS: [&str; 6] = [
    "job of one task",
    "ended job",
    "occurrence of one task",
    "waiting task",
    "running task",
    "task with progress",
];

#[allow(clippy::print_stdout, reason = "prints its result")]
fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    if let [kind, size] = &arguments[..] {
        let before = resident_bytes();
        let core = fill(kind, size.parse().unwrap_or(0));
        println!("{}", resident_bytes().saturating_sub(before));
        drop(core);
        return;
    }
    let measure = |kind: &str, size: u64| -> u64 {
        let program = env::current_exe().expect("the path of this program");
        let output = (Command::new(program)
            .args([kind, &size.to_string()])
            .output())
        .expect("this program runs");
        let text = String::from_utf8_lossy(&output.stdout);
        text.trim().parse().unwrap_or(0)
    };
    for kind in KINDS {
        let [small, large] = SIZES.map(|size| measure(kind, size));
        let bytes = large.saturating_sub(small) / (SIZES[1] - SIZES[0]);
        println!("{bytes:6} bytes per {kind}");
    }
}
