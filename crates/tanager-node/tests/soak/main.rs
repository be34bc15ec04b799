//! Fault soak: node processes of the job service under random faults from outside. Signals stop,
//! pause, kill and restart them, proxies delay, cut, silence and reset their connections to the
//! store, the store and workers misbehave. Clients go on meanwhile. Checked at the end: what was
//! accepted ends as it should, runs once, and what was only refused never runs.
//!
//! CI plays the seeds in `SEEDS`: one new kind of day and every seed that ever failed.
//! `SOAK_SEEDS=50 cargo test -p tanager-node --test soak` plays seeds 0 to 49 instead.
//! `SOAK_NODES` and `SOAK_WORKERS` set the size of each site: `SOAK_SEEDS=1 SOAK_NODES=200` goes to
//! a few hundred processes.

#[allow(dead_code, reason = "the harness serves the job tests too")]
#[path = "../jobs/harness.rs"]
mod harness;
mod plan;
mod proxy;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
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

use harness::JobProcess;
use harness::JobSite;
use harness::pool;
use harness::steps;
use plan::FaultStep;
use plan::SiteFault;
use plan::draw_steps;
use proxy::FaultProxy;

/// Seeds played in CI. A seed that failed stays here with a line on its cause.
const SEEDS: [u64; 1] = [1];
const POOL: &str = "entry";
const NODES: usize = 3;
const WORKERS: usize = 4;
/// Plays at a time; each has some ten processes and threads of its own.
const PARALLEL: usize = 5;
/// Time in which faults and jobs come.
const BUSY: Duration = Duration::from_secs(12);
/// Time for everything to end after that; covers leases, detection and late answers.
const QUIET: Duration = Duration::from_secs(60);
/// Tasks of the two steps of each job.
const COUNTS: [u32; 2] = [3, 2];

/// What a client was told of a job.
#[derive(Clone, Copy, Debug, Default)]
struct JobFate {
    accepted: bool,
    /// An attempt had no answer, or one that leaves it open.
    open: bool,
    cancelled: bool,
}

fn from_environment(name: &str, default: usize) -> usize {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn node_count() -> usize {
    from_environment("SOAK_NODES", NODES)
}

fn worker_count() -> usize {
    from_environment("SOAK_WORKERS", WORKERS)
}

type FateTable = Arc<Mutex<BTreeMap<String, JobFate>>>;

fn set_fate(fates: &FateTable, id: &str, change: impl FnOnce(&mut JobFate)) {
    let mut fates = fates.lock().expect("fates");
    change(fates.entry(id.to_owned()).or_default());
}

/// Carries out the steps of a play.
struct FaultDriver<'a> {
    site: &'a mut JobSite,
    proxies: &'a [FaultProxy],
    /// Nodes that were asked to end and are started again.
    ending: BTreeSet<usize>,
    version: u64,
    wave: u64,
}

impl FaultDriver<'_> {
    async fn play(&mut self, steps: &[(Duration, FaultStep)]) {
        let begin = Instant::now();
        for (at, step) in steps {
            while begin.elapsed() < *at {
                time::sleep(Duration::from_millis(20)).await;
                self.restart_ended();
            }
            self.carry_out(*step);
        }
        self.site
            .site
            .set_faults(|faults| *faults = SiteFaults::default());
        for &node in &self.ending {
            self.site.nodes[node].wait().await;
            self.site.nodes[node].restart();
        }
    }

    fn restart_ended(&mut self) {
        let nodes = &mut self.site.nodes;
        self.ending.retain(|&node| {
            let is_running = nodes[node].is_running();
            if !is_running {
                nodes[node].restart();
            }
            is_running
        });
    }

    fn carry_out(&mut self, step: FaultStep) {
        let nodes = &mut self.site.nodes;
        match step {
            FaultStep::Kill(node) => nodes[node].kill(),
            FaultStep::Restart(node) => {
                if !self.ending.contains(&node) && !nodes[node].is_running() {
                    nodes[node].restart();
                }
            }
            FaultStep::Freeze(node) => signal(&mut nodes[node], Signal::SIGSTOP),
            FaultStep::Thaw(node) => signal(&mut nodes[node], Signal::SIGCONT),
            FaultStep::Reload(node) => signal(&mut nodes[node], Signal::SIGHUP),
            FaultStep::Terminate(node) => {
                signal(&mut nodes[node], Signal::SIGTERM);
                self.ending.insert(node);
            }
            FaultStep::Begin(fault) => self.site.site.set_faults(|faults| set(faults, fault, true)),
            FaultStep::End(fault) => self
                .site
                .site
                .set_faults(|faults| set(faults, fault, false)),
            FaultStep::Proxy(node, mode) => self.proxies[node].set(mode),
            FaultStep::Silence(node) => self.proxies[node].silence_open(),
            FaultStep::CrashWorker(worker, pause) => self.site.site.crash_worker(worker, pause),
            FaultStep::Configure => {
                self.version += 1;
                let pools = [pool(POOL, worker_count())];
                self.site.site.put_config(self.version, &pools);
            }
            FaultStep::Wave => {
                self.wave += 1;
                let vms = self.site.site.vms(POOL);
                let wave = json!({"wave": self.wave, "machines": vms, "duration_s": 10, "cap": 1});
                let key = format!("wave/{}", self.wave);
                let text = wave.to_string();
                self.site.site.put_row("op", &key, text.as_bytes());
            }
        }
    }
}

/// Sends a signal unless the process has ended: its id may belong to another one by now.
fn signal(node: &mut JobProcess, signal: Signal) {
    if node.is_running() {
        node.signal(signal);
    }
}

fn set(faults: &mut SiteFaults, fault: SiteFault, is_on: bool) {
    let share = |share| if is_on { share } else { 0.0 };
    match fault {
        SiteFault::StoreRefuses => faults.store_refuses = is_on,
        SiteFault::StoreSilent => faults.store_unresponsive = is_on,
        SiteFault::ChangesLost => faults.change_response_loss_rate = share(0.3),
        SiteFault::OrdersLost => faults.order_response_loss_rate = share(0.2),
    }
}

/// One attempt of a client.
async fn attempt(addresses: &[std::net::SocketAddr], fates: &FateTable, seed: u64, number: u64) {
    let mut rng = SmallRng::seed_from_u64(seed * 1_000 + number);
    let id = format!("{:016x}", (seed << 32) + number);
    let body = steps(&COUNTS, "ms=250").to_string();
    for _ in 0..4 {
        let address = addresses[rng.random_range(0..addresses.len())];
        let path = format!("/{POOL}/{id}");
        let response = harness::send(address, Method::POST, &path, &body).await;
        match response.map(|response| response.status.as_u16()) {
            Some(200) => {
                set_fate(fates, &id, |fate| fate.accepted = true);
                break;
            }
            // A refusal says that this attempt was not accepted.
            Some(429 | 503) => set_fate(fates, &id, |_| {}),
            _ => set_fate(fates, &id, |fate| fate.open = true),
        }
        time::sleep(Duration::from_millis(300)).await;
    }
    if rng.random_bool(0.1) {
        let address = addresses[rng.random_range(0..addresses.len())];
        let path = format!("/{POOL}/{id}");
        let response = harness::send(address, Method::DELETE, &path, "").await;
        // A cancel without an answer may take effect.
        let status = response.map(|response| response.status.as_u16());
        if status != Some(410) {
            set_fate(fates, &id, |fate| fate.cancelled = true);
        }
    }
}

async fn play(seed: u64) -> Result<(), String> {
    let site = SiteStandin::spawn(&[pool(POOL, worker_count())])
        .await
        .expect("stand-in");
    site.put_config(1, &[pool(POOL, worker_count())]);
    let mut proxies = Vec::new();
    let mut nodes = Vec::new();
    for number in 0..node_count() {
        let proxy = FaultProxy::bind(site.store_address()).await;
        let name = format!("node-{number}");
        nodes.push(JobProcess::spawn_through(&site, &name, proxy.address));
        proxies.push(proxy);
    }
    let mut site = JobSite { site, nodes };
    site.wait_until_owned(&[pool(POOL, worker_count())]).await;
    let addresses: Vec<_> = (site.nodes.iter())
        .map(|node| node.ports.client_address())
        .collect();
    let fates = FateTable::default();
    let shared = Arc::clone(&fates);
    let load = tokio::spawn(async move {
        let begin = Instant::now();
        let mut attempts = tokio::task::JoinSet::new();
        let mut number = 0;
        while begin.elapsed() < BUSY {
            number += 1;
            let (addresses, fates) = (addresses.clone(), Arc::clone(&shared));
            attempts.spawn(async move { attempt(&addresses, &fates, seed, number).await });
            time::sleep(Duration::from_millis(100)).await;
        }
        while attempts.join_next().await.is_some() {}
    });
    let steps = draw_steps(seed, BUSY, node_count(), worker_count());
    let mut driver = FaultDriver {
        site: &mut site,
        proxies: &proxies,
        ending: BTreeSet::new(),
        version: 1,
        wave: 0,
    };
    driver.play(&steps).await;
    load.await.expect("the load ends");
    let fates = fates.lock().expect("fates").clone();
    let result = judge(&site, &fates).await;
    result.map_err(|error| {
        let logs: Vec<_> = site.nodes.iter().map(|node| node.log.clone()).collect();
        format!("seed {seed}: {error}\nsteps: {steps:?}\nlogs: {logs:?}")
    })
}

/// Waits until all accepted jobs have ended, and checks the promises.
async fn judge(site: &JobSite, fates: &BTreeMap<String, JobFate>) -> Result<(), String> {
    let mut left: BTreeSet<&String> = (fates.iter())
        .filter(|(_, fate)| fate.accepted)
        .map(|(id, _)| id)
        .collect();
    let accepted = left.len();
    let end = Instant::now() + QUIET;
    while !left.is_empty() {
        if Instant::now() > end {
            return Err(format!(
                "LOST: {} of {accepted} jobs do not end: {left:?}",
                left.len()
            ));
        }
        let mut ended = Vec::new();
        for id in &left {
            let state = site.state(0, POOL, id).await;
            match state.as_deref() {
                Some("completed") => ended.push(*id),
                Some("cancelled") if fates[*id].cancelled => ended.push(*id),
                Some(wrong @ ("cancelled" | "failed" | "unknown")) => {
                    return Err(format!("LOST: job {id} is shown as {wrong}"));
                }
                _ => {}
            }
        }
        for id in ended {
            left.remove(id);
        }
        time::sleep(Duration::from_millis(200)).await;
    }
    let runs = site.site.runs();
    check_runs(&runs, fates)?;
    match accepted >= 20 {
        true => Ok(()),
        false => Err(format!(
            "only {accepted} of {} jobs were accepted",
            fates.len()
        )),
    }
}

fn check_runs(runs: &[ObservedRun], fates: &BTreeMap<String, JobFate>) -> Result<(), String> {
    let mut by_task: BTreeMap<&str, Vec<&ObservedRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    for (task, runs) in by_task {
        let id = task.split('.').next().unwrap_or_default();
        let Some(fate) = fates.get(id) else {
            return Err(format!("UNASKED: {task} ran"));
        };
        if !fate.accepted && !fate.open {
            return Err(format!(
                "REFUSED: {task} ran though every attempt was refused"
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

/// Plays a seed with a runtime of its own.
fn play_alone(seed: u64) -> Result<(), String> {
    let runtime = Runtime::new().expect("runtime");
    runtime.block_on(play(seed))
}

#[test]
fn random_faults() {
    let by_hand = std::env::var("SOAK_SEEDS")
        .ok()
        .and_then(|text| text.parse().ok());
    let seeds: Vec<u64> = match by_hand {
        Some(count) => (0..count).collect(),
        None => SEEDS.to_vec(),
    };
    let mut failures = Vec::new();
    // Several sites at a time, within half of the machine.
    for group in seeds.chunks(PARALLEL) {
        let plays: Vec<_> = (group.iter())
            .map(|&seed| thread::spawn(move || play_alone(seed)))
            .collect();
        for play in plays {
            failures.extend(play.join().expect("the play ends").err());
        }
    }
    assert!(
        failures.is_empty(),
        "{} failed:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
