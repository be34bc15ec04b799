//! Soak test of the job service: node processes run under random external faults while clients
//! submit jobs. Nodes get signals and are killed and restarted, proxies delay, block, stall and
//! reset their connections to the store, and the store and the workers fail. At the end the test
//! verifies that accepted jobs ended as expected, that no task ran twice at a time or again after it
//! was done, that jobs of which every attempt was refused never ran, and that all nodes have the last
//! configuration, which grows.
//!
//! CI runs the seeds in `SEEDS`: one arbitrary seed and every seed that has ever failed.
//! `SOAK_SEEDS=50 cargo test -p tanager-node --test soak` runs seeds 0 to 49 instead.
//! Like the platform, the test kills processes that exceed the memory limit of their settings and starts them again. Some
//! clients submit jobs that need much of it: schedules with a first run long ago, and thousands of small tasks.
//! They are cancelled in the end.
//!
//! `SOAK_NODES` and `SOAK_WORKERS` set the size of each site: `SOAK_SEEDS=1 SOAK_NODES=200` starts
//! a few hundred processes. `SOAK_FEATURES=balance` enables features; a pool needs more than 13 workers for
//! two cells.

#[allow(dead_code, reason = "the job tests use the rest of the harness")]
#[path = "../jobs/harness.rs"]
mod harness;
mod plan;
mod proxy;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::json;
use tanager_standin::site::ObservedRun;
use tanager_standin::site::SiteFaults;
use tanager_standin::site::SiteStandin;
use tokio::runtime::Runtime;
use tokio::time;

use harness::JobSite;
use harness::MemoryLimit;
use harness::NodeProcess;
use harness::job_of_steps;
use harness::pool;
use plan::FaultStep;
use plan::SiteFault;
use plan::generate_steps;
use proxy::FaultProxy;

/// Seeds that CI runs. A seed that failed stays here with a comment on its cause.
const SEEDS: [u64; 1] = [1];
const POOL: &str = "entry";
const NODES: usize = 3;
const WORKERS: usize = 4;
/// Number of seeds that run in parallel. Each starts about ten processes and its own threads.
const MAX_PARALLEL_SEEDS: usize = 5;
/// Time during which faults are injected and jobs submitted.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Longest time after the load until all jobs have ended. Covers the expiry of leases, failure
/// detection and late responses.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time after all jobs have ended until the last configuration is in force.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of queues that each configuration has more than the one before.
const ADDED_QUEUES: usize = 500;
/// Memory of a node, in megabytes.
const MEMORY_MB: u64 = 160;
/// One in how many jobs is heavy.
const HEAVY_PERIOD: u64 = 25;
/// Numbers of tasks of the two steps of each job.
const TASK_COUNTS: [u32; 2] = [3, 2];

/// Responses that a client received for a job.
#[derive(Clone, Copy, Debug, Default)]
struct SubmissionRecord {
    accepted: bool,
    /// An attempt got no response, or one that does not say whether the job was accepted.
    unconfirmed: bool,
    cancelled: bool,
    /// The job needs much memory and does not end by itself before the test does.
    is_heavy: bool,
}

fn environment_value(name: &str, default: usize) -> usize {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn node_count() -> usize {
    environment_value("SOAK_NODES", NODES)
}

fn worker_count() -> usize {
    environment_value("SOAK_WORKERS", WORKERS)
}

type RecordTable = Arc<Mutex<BTreeMap<String, SubmissionRecord>>>;

fn update_record(records: &RecordTable, id: &str, change: impl FnOnce(&mut SubmissionRecord)) {
    let mut records = records.lock().expect("submission records");
    change(records.entry(id.to_owned()).or_default());
}

/// Applies the steps of a scenario to a site.
struct FaultDriver<'a> {
    site: &'a mut JobSite,
    proxies: &'a [FaultProxy],
    /// Nodes that got SIGTERM and are restarted once they have ended.
    terminating: BTreeSet<usize>,
    version: u64,
    wave: u64,
    memory: &'a mut MemoryLimit,
}

impl FaultDriver<'_> {
    async fn apply_steps(&mut self, steps: &[(Duration, FaultStep)]) {
        let started_at = Instant::now();
        for (at, step) in steps {
            while started_at.elapsed() < *at {
                time::sleep(Duration::from_millis(20)).await;
                self.restart_terminated();
                self.memory.enforce(&mut self.site.nodes);
            }
            self.apply_step(*step);
        }
        self.site
            .standin
            .set_faults(|faults| *faults = SiteFaults::default());
        for &node in &self.terminating {
            self.site.nodes[node].wait_for_exit().await;
            self.site.nodes[node].restart();
        }
    }

    fn restart_terminated(&mut self) {
        let nodes = &mut self.site.nodes;
        self.terminating.retain(|&node| {
            let is_running = nodes[node].is_running();
            if !is_running {
                nodes[node].restart();
            }
            is_running
        });
    }

    fn apply_step(&mut self, step: FaultStep) {
        let nodes = &mut self.site.nodes;
        match step {
            FaultStep::Kill(node) => nodes[node].kill(),
            FaultStep::Restart(node) => {
                if !self.terminating.contains(&node) && !nodes[node].is_running() {
                    nodes[node].restart();
                }
            }
            FaultStep::Freeze(node) => signal(&mut nodes[node], Signal::SIGSTOP),
            FaultStep::Resume(node) => signal(&mut nodes[node], Signal::SIGCONT),
            FaultStep::Reload(node) => signal(&mut nodes[node], Signal::SIGHUP),
            FaultStep::Terminate(node) => {
                signal(&mut nodes[node], Signal::SIGTERM);
                self.terminating.insert(node);
            }
            FaultStep::StartFault(fault) => self
                .site
                .standin
                .set_faults(|faults| set_site_fault(faults, fault, true)),
            FaultStep::EndFault(fault) => self
                .site
                .standin
                .set_faults(|faults| set_site_fault(faults, fault, false)),
            FaultStep::SetProxyMode(node, mode) => self.proxies[node].set_mode(mode),
            FaultStep::StallConnections(node) => self.proxies[node].stall_open_connections(),
            FaultStep::CrashWorker(worker, pause) => self.site.standin.crash_worker(worker, pause),
            FaultStep::Configure => {
                self.version += 1;
                let pools = [pool(POOL, worker_count())];
                let queues = self.version as usize * ADDED_QUEUES;
                let standin = &self.site.standin;
                standin.put_config_with_routes(self.version, &pools, queues);
            }
            FaultStep::Wave => {
                self.wave += 1;
                let vms = self.site.standin.vms(POOL);
                let wave = json!({"wave": self.wave, "machines": vms, "duration_s": 10, "cap": 1});
                let key = format!("wave/{}", self.wave);
                let text = wave.to_string();
                self.site.standin.put_row("op", &key, text.as_bytes());
            }
        }
    }
}

/// Sends a signal unless the process has ended. The id of an ended process may have been reused.
fn signal(node: &mut NodeProcess, signal: Signal) {
    if node.is_running() {
        node.signal(signal);
    }
}

fn set_site_fault(faults: &mut SiteFaults, fault: SiteFault, is_on: bool) {
    let rate = |rate| if is_on { rate } else { 0.0 };
    match fault {
        SiteFault::StoreRefusal => faults.store_refuses = is_on,
        SiteFault::StoreUnresponsive => faults.store_unresponsive = is_on,
        SiteFault::ChangeResponsesLost => faults.change_response_loss_rate = rate(0.3),
        SiteFault::OrderResponsesLost => faults.order_response_loss_rate = rate(0.2),
    }
}

/// Submits a job in up to 4 attempts, then cancels it with a probability of 10 %.
async fn run_client(
    addresses: &[std::net::SocketAddr],
    records: &RecordTable,
    seed: u64,
    number: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + number);
    let id = format!("{:016x}", (seed << 32) + number);
    let is_heavy = number % HEAVY_PERIOD == 3;
    let body = match is_heavy {
        true => heavy_job(number / HEAVY_PERIOD),
        false => job_of_steps(&TASK_COUNTS, "ms=250"),
    };
    let body = body.to_string();
    update_record(records, &id, |record| record.is_heavy = is_heavy);
    for _ in 0..4 {
        let address = addresses[rng.random_range(0..addresses.len())];
        let path = format!("/{POOL}/{id}");
        let response = harness::send_request(address, Method::POST, &path, &body).await;
        match response.map(|response| response.status.as_u16()) {
            Some(200) => {
                update_record(records, &id, |record| record.accepted = true);
                break;
            }
            // A refusal means that this attempt was not accepted.
            Some(429 | 503) => update_record(records, &id, |_| {}),
            _ => update_record(records, &id, |record| record.unconfirmed = true),
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    if rng.random_bool(0.1) && !is_heavy {
        let address = addresses[rng.random_range(0..addresses.len())];
        let path = format!("/{POOL}/{id}");
        let response = harness::send_request(address, Method::DELETE, &path, "").await;
        // A cancellation without a response may take effect.
        let status = response.map(|response| response.status.as_u16());
        if status != Some(410) {
            update_record(records, &id, |record| record.cancelled = true);
        }
    }
}

/// Returns a job that needs much memory: a schedule of which a year was missed, or thousands of small tasks.
fn heavy_job(number: u64) -> serde_json::Value {
    match number % 2 {
        0 => {
            let mut job = job_of_steps(&[2], "ms=250");
            job["repetitions"] = json!(525_600);
            job["interval_ms"] = json!(60_000);
            job
        }
        _ => {
            let mut job = job_of_steps(&[6_000], "ms=2000 cpu=1");
            job["steps"][0]["cpu"] = json!(1);
            job["steps"][0]["memory_request_mb"] = json!(1);
            job
        }
    }
}

/// Cancels all heavy jobs that may have been accepted.
async fn cancel_heavy_jobs(site: &JobSite, records: &BTreeMap<String, SubmissionRecord>) {
    for (id, _) in records.iter().filter(|(_, record)| record.is_heavy) {
        let path = format!("/{POOL}/{id}");
        harness::eventually("a heavy job is cancelled", async || {
            let response = site.request(0, Method::DELETE, &path, "").await;
            // 410 if it was never accepted.
            response.is_some_and(|response| matches!(response.status.as_u16(), 200 | 410))
        })
        .await;
    }
}

/// Returns the features that `SOAK_FEATURES` names, for `--enable`.
fn features() -> &'static str {
    static FEATURES: OnceLock<String> = OnceLock::new();
    FEATURES.get_or_init(|| std::env::var("SOAK_FEATURES").unwrap_or_default())
}

async fn run_scenario(seed: u64) -> Result<(), String> {
    let standin = SiteStandin::spawn(&[pool(POOL, worker_count())])
        .await
        .expect("stand-in");
    standin.put_config(1, &[pool(POOL, worker_count())]);
    let mut proxies = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..node_count() {
        let proxy = FaultProxy::bind(standin.store_address()).await;
        let name = format!("node-{number}");
        nodes.push(NodeProcess::spawn_with_store_and_memory(
            &standin,
            &name,
            proxy.address,
            MEMORY_MB,
            features(),
        ));
        proxies.push(proxy);
    }
    let mut site = JobSite { standin, nodes };
    site.wait_until_owned(&[pool(POOL, worker_count())]).await;
    let addresses: Vec<_> = (site.nodes.iter())
        .map(|node| node.ports.client_address())
        .collect();
    let records = RecordTable::default();
    let shared = Arc::clone(&records);
    let load = tokio::spawn(async move {
        let started_at = Instant::now();
        let mut clients = tokio::task::JoinSet::new();
        let mut number = 0;
        while started_at.elapsed() < LOAD_DURATION {
            number += 1;
            let (addresses, records) = (addresses.clone(), Arc::clone(&shared));
            clients.spawn(async move { run_client(&addresses, &records, seed, number).await });
            time::sleep(Duration::from_millis(100)).await;
        }
        while clients.join_next().await.is_some() {}
    });
    let steps = generate_steps(seed, LOAD_DURATION, node_count(), worker_count());
    let mut memory = MemoryLimit::new(MEMORY_MB);
    let mut driver = FaultDriver {
        memory: &mut memory,
        site: &mut site,
        proxies: &proxies,
        terminating: BTreeSet::new(),
        version: 1,
        wave: 0,
    };
    driver.apply_steps(&steps).await;
    load.await.expect("the load ends");
    let version = driver.version;
    let records = records.lock().expect("submission records").clone();
    cancel_heavy_jobs(&site, &records).await;
    memory.enforce(&mut site.nodes);
    let result = match verify_jobs(&site, &records).await {
        Ok(()) => verify_configuration(&site, version).await,
        error => error,
    };
    let result = result.and_then(|()| match memory.kills {
        0 => Ok(()),
        kills => Err(format!(
            "MEMORY: {kills} processes above {MEMORY_MB} MB were killed, the largest had {}",
            memory.peak
        )),
    });
    result.map_err(|error| {
        let logs: Vec<_> = site.nodes.iter().map(|node| node.log.clone()).collect();
        format!("seed {seed}: {error}\nsteps: {steps:?}\nlogs: {logs:?}")
    })
}

/// Waits until all accepted jobs have ended, and verifies their states and runs.
async fn verify_jobs(
    site: &JobSite,
    records: &BTreeMap<String, SubmissionRecord>,
) -> Result<(), String> {
    let mut pending: BTreeSet<&String> = (records.iter())
        .filter(|(_, record)| record.accepted && !record.is_heavy)
        .map(|(id, _)| id)
        .collect();
    let accepted = pending.len();
    let end = Instant::now() + COMPLETION_TIMEOUT;
    while !pending.is_empty() {
        if Instant::now() > end {
            return Err(format!(
                "LOST: {} of {accepted} accepted jobs did not end: {pending:?}",
                pending.len()
            ));
        }
        let mut ended = Vec::new();
        for id in &pending {
            let state = site.job_state(0, POOL, id).await;
            match state.as_deref() {
                Some("completed") => ended.push(*id),
                Some("cancelled") if records[*id].cancelled => ended.push(*id),
                Some(wrong @ ("cancelled" | "failed" | "unknown")) => {
                    return Err(format!("LOST: job {id} is reported as {wrong}"));
                }
                _ => {}
            }
        }
        for id in ended {
            pending.remove(id);
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    let runs = site.standin.runs();
    verify_runs(&runs, records)?;
    match accepted >= 20 {
        true => Ok(()),
        false => Err(format!(
            "only {accepted} of {} jobs were accepted",
            records.len()
        )),
    }
}

/// Waits until all nodes have the last configuration.
async fn verify_configuration(site: &JobSite, version: u64) -> Result<(), String> {
    let end = Instant::now() + CONFIGURATION_TIMEOUT;
    for node in &site.nodes {
        loop {
            let in_force = node.dump().await.map(|dump| dump["config_version"].clone());
            if in_force.as_ref().and_then(serde_json::Value::as_u64) == Some(version) {
                break;
            }
            if Instant::now() > end {
                return Err(format!(
                    "CONFIG: {in_force:?} instead of {version} is in force"
                ));
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }
    Ok(())
}

fn verify_runs(
    runs: &[ObservedRun],
    records: &BTreeMap<String, SubmissionRecord>,
) -> Result<(), String> {
    let mut by_task: BTreeMap<&str, Vec<&ObservedRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    for (task, runs) in by_task {
        let id = task.split('.').next().unwrap_or_default();
        let Some(record) = records.get(id) else {
            return Err(format!("UNASKED: {task} ran"));
        };
        if !record.accepted && !record.unconfirmed {
            return Err(format!(
                "REFUSED: {task} ran although every attempt was refused"
            ));
        }
        for (number, run) in runs.iter().enumerate() {
            for earlier in &runs[..number] {
                let (end, cause) = earlier.ended.unwrap_or((Duration::MAX, "running"));
                if end > run.started_at || (cause == "done" && earlier.acknowledged) {
                    return Err(format!("TWICE: {task}: {runs:?}"));
                }
            }
        }
    }
    Ok(())
}

/// Runs the scenario of a seed with its own runtime.
fn run_seed(seed: u64) -> Result<(), String> {
    let runtime = Runtime::new().expect("runtime");
    runtime.block_on(run_scenario(seed))
}

#[test]
fn accepted_jobs_complete_once_under_random_faults() {
    let requested_count = std::env::var("SOAK_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let seeds: Vec<u64> = match requested_count {
        Some(count) => (0..count).collect(),
        None => SEEDS.to_vec(),
    };
    let mut failures = Vec::new();
    // Limits the parallel sites to half of the machine.
    for group in seeds.chunks(MAX_PARALLEL_SEEDS) {
        let threads: Vec<_> = (group.iter())
            .map(|&seed| thread::spawn(move || run_seed(seed)))
            .collect();
        for thread in threads {
            failures.extend(thread.join().expect("the scenario ends").err());
        }
    }
    assert!(
        failures.is_empty(),
        "{} failed:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
