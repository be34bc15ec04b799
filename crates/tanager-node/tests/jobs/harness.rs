//! Node processes of the job service with a stand-in of the platform, and a client of them.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Method;
use nix::sys::signal::Signal;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use tanager_http::ClientConnection;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_standin::site::NodePorts;
use tanager_standin::site::ObservedRun;
use tanager_standin::site::SitePool;
use tanager_standin::site::SiteStandin;
use tokio::time;

static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);
static NEXT_JOB: AtomicUsize = AtomicUsize::new(1);

/// Time limit of a wait in a test; far above the time that any condition takes to
/// become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// A node process. It is killed when dropped.
pub(crate) struct NodeProcess {
    pub(crate) ports: NodePorts,
    settings: PathBuf,
    /// Features for `--enable`.
    features: &'static str,
    pub(crate) log: PathBuf,
    child: Child,
}

impl NodeProcess {
    /// Starts a node with features that the settings do not ask for.
    pub(crate) fn spawn(standin: &SiteStandin, name: &str, features: &'static str) -> Self {
        Self::spawn_with_store(standin, name, standin.store_address(), features)
    }

    /// Like [`Self::spawn`], but the node accesses the store at the address `store`, for instance of
    /// a proxy.
    pub(crate) fn spawn_with_store(
        standin: &SiteStandin,
        name: &str,
        store: SocketAddr,
        features: &'static str,
    ) -> Self {
        Self::spawn_with_addresses(standin, name, store, standin.machines_address(), features)
    }

    /// Starts a node on a VM with a share of a core.
    pub(crate) fn spawn_with_share(standin: &SiteStandin, name: &str, share: f64) -> Self {
        let ports = NodePorts::find();
        let (store, machines) = (standin.store_address(), standin.machines_address());
        let text = standin.settings_with_addresses(name, ports, store, machines);
        let mut settings: Value = serde_json::from_str(&text).expect("settings");
        settings["limits"] = json!({"cpu_share": share, "cores": 1});
        Self::spawn_with_settings(ports, &settings.to_string(), "")
    }

    /// Starts a node on a VM whose platform kills processes above `megabytes` of resident memory. The test does that
    /// with a [`MemoryLimit`].
    pub(crate) fn spawn_with_memory(standin: &SiteStandin, name: &str, megabytes: u64) -> Self {
        let store = standin.store_address();
        Self::spawn_with_store_and_memory(standin, name, store, megabytes, "")
    }

    /// Like [`Self::spawn_with_memory`], but the node accesses the store at the address `store`.
    pub(crate) fn spawn_with_store_and_memory(
        standin: &SiteStandin,
        name: &str,
        store: SocketAddr,
        megabytes: u64,
        features: &'static str,
    ) -> Self {
        let ports = NodePorts::find();
        let text = standin.settings_with_store(name, ports, store);
        let mut settings: Value = serde_json::from_str(&text).expect("settings");
        settings["limits"] = json!({"memory_mb": megabytes});
        Self::spawn_with_settings(ports, &settings.to_string(), features)
    }

    /// Starts a node on a VM whose link has a rate in bits per second, which the settings name; `store` is the
    /// address of such a link to the store.
    pub(crate) fn spawn_with_link(
        standin: &SiteStandin,
        name: &str,
        store: SocketAddr,
        rate: f64,
    ) -> Self {
        let ports = NodePorts::find();
        let text = standin.settings_with_store(name, ports, store);
        let mut settings: Value = serde_json::from_str(&text).expect("settings");
        settings["limits"] = json!({"link_mbps": rate / 1e6});
        Self::spawn_with_settings(ports, &settings.to_string(), "")
    }

    /// Like [`Self::spawn_with_store`], but the node also accesses the machine API at an address.
    pub(crate) fn spawn_with_addresses(
        standin: &SiteStandin,
        name: &str,
        store: SocketAddr,
        machines: SocketAddr,
        features: &'static str,
    ) -> Self {
        let ports = NodePorts::find();
        let text = standin.settings_with_addresses(name, ports, store, machines);
        Self::spawn_with_settings(ports, &text, features)
    }

    fn spawn_with_settings(ports: NodePorts, text: &str, features: &'static str) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file =
            |ending: &str| directory.join(format!("jobs-{}-{number}.{ending}", std::process::id()));
        let settings = file("json");
        fs::write(&settings, text).expect("settings file");
        let log = file("log");
        let child = Self::start(&settings, features, &log);
        Self {
            ports,
            settings,
            features,
            log,
            child,
        }
    }

    fn start(settings: &PathBuf, features: &str, log: &PathBuf) -> Child {
        let output = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log file");
        Self::start_with(settings, features, "info", Stdio::from(output))
    }

    fn start_with(settings: &PathBuf, features: &str, level: &str, output: Stdio) -> Child {
        Command::new(env!("CARGO_BIN_EXE_tanagerladderd"))
            .args(["jobs", "--enable", features])
            .env("TANAGERLADDER_CONFIG", settings)
            .env("RUST_LOG", level)
            .stdout(output)
            .spawn()
            .expect("node process")
    }

    /// Restarts the process with all log lines written to a pipe, and returns the pipe.
    pub(crate) fn restart_piped(&mut self) -> ChildStdout {
        self.kill();
        self.child = Self::start_with(&self.settings, self.features, "debug", Stdio::piped());
        self.child.stdout.take().expect("a pipe")
    }

    /// Restarts the process with the given filter of log lines.
    pub(crate) fn restart_filtered(&mut self, filter: &str) {
        self.kill();
        let output = File::options().append(true).open(&self.log);
        let output = Stdio::from(output.expect("log file"));
        self.child = Self::start_with(&self.settings, self.features, filter, output);
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process id");
        nix::sys::signal::kill(Pid::from_raw(id), signal).expect("signal");
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    /// Starts a killed process again with the same settings.
    pub(crate) fn restart(&mut self) {
        self.child = Self::start(&self.settings, self.features, &self.log);
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_none()
    }

    /// Returns the resident memory; 0 if the process has ended.
    pub(crate) fn resident_megabytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let kilobytes = status.ok().and_then(|status| {
            let line = status
                .lines()
                .find_map(|line| line.strip_prefix("VmRSS:"))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        });
        kilobytes.unwrap_or(0) / 1_024
    }

    /// Waits until the process has ended and returns its exit code.
    pub(crate) async fn wait_for_exit(&mut self) -> Option<i32> {
        let mut code = None;
        eventually("the process ends", async || {
            code = self
                .child
                .try_wait()
                .expect("wait")
                .map(|status| status.code());
            code.is_some()
        })
        .await;
        code.flatten()
    }

    pub(crate) async fn dump(&self) -> Option<Value> {
        let request = HttpRequest::new(Method::GET, "/dump", "");
        let address = self.ports.admin_address();
        let response = exchange(address, request).await?;
        serde_json::from_slice(&response.body).ok()
    }

    pub(crate) async fn is_ready(&self) -> bool {
        let request = HttpRequest::new(Method::GET, "/readiness", "");
        let response = exchange(self.ports.readiness_address(), request).await;
        response.is_some_and(|response| response.status.is_success())
    }
}

/// Kills processes whose resident memory exceeds a limit and starts them again after a short delay, as the
/// platform does.
pub(crate) struct MemoryLimit {
    megabytes: u64,
    /// Times at which killed nodes are started again.
    restarts: BTreeMap<usize, Instant>,
    /// Number of processes that were killed.
    pub(crate) kills: usize,
    /// Largest memory seen, in megabytes.
    pub(crate) peak: u64,
}

impl MemoryLimit {
    /// Delay after which a killed process is started again.
    const RESTART_DELAY: Duration = Duration::from_millis(500);

    pub(crate) fn new(megabytes: u64) -> Self {
        Self {
            megabytes,
            restarts: BTreeMap::new(),
            kills: 0,
            peak: 0,
        }
    }

    /// Looks at all nodes once.
    pub(crate) fn enforce(&mut self, nodes: &mut [NodeProcess]) {
        for (number, node) in nodes.iter_mut().enumerate() {
            match self.restarts.get(&number) {
                Some(at) if Instant::now() < *at => continue,
                Some(_) => {
                    self.restarts.remove(&number);
                    // The test may have started it meanwhile.
                    if !node.is_running() {
                        node.restart();
                    }
                }
                None => {}
            }
            if !node.is_running() {
                continue;
            }
            let resident = node.resident_megabytes();
            self.peak = self.peak.max(resident);
            if resident > self.megabytes {
                node.kill();
                self.kills += 1;
                let restart_at = Instant::now() + Self::RESTART_DELAY;
                self.restarts.insert(number, restart_at);
            }
        }
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // Both fail when the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a client's request to a node; returns `None` if it gets no response.
pub(crate) async fn send_request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<HttpResponse> {
    let mut request = HttpRequest::new(method, path, body.to_owned());
    request
        .headers
        .insert("x-deadline-milliseconds", HeaderValue::from_static("3000"));
    exchange(address, request).await
}

pub(crate) async fn exchange(address: SocketAddr, request: HttpRequest) -> Option<HttpResponse> {
    let limit = Duration::from_secs(3);
    let mut connection = ClientConnection::open(address, limit).await.ok()?;
    connection.exchange(request, limit, 1 << 20).await.ok()
}

pub(crate) fn pool(name: &str, workers: usize) -> SitePool {
    SitePool {
        name: name.to_owned(),
        workers,
        spare: false,
        requires_ticket: false,
    }
}

/// A stand-in of the platform with node processes.
pub(crate) struct JobSite {
    pub(crate) standin: SiteStandin,
    pub(crate) nodes: Vec<NodeProcess>,
}

impl JobSite {
    pub(crate) async fn start(nodes: usize, pools: &[SitePool]) -> Self {
        Self::start_with_features(nodes, pools, "").await
    }

    /// Like [`Self::start`], with features that the settings do not ask for.
    pub(crate) async fn start_with_features(
        nodes: usize,
        pools: &[SitePool],
        features: &'static str,
    ) -> Self {
        let standin = SiteStandin::spawn(pools).await.expect("stand-in");
        standin.put_config(1, pools);
        let nodes = (0..nodes)
            .map(|number| {
                let name = format!("node-{number}");
                NodeProcess::spawn(&standin, &name, features)
            })
            .collect();
        let site = Self { standin, nodes };
        site.wait_until_owned(pools).await;
        site
    }

    /// Waits until every node is ready and every pool has an owner with workers.
    pub(crate) async fn wait_until_owned(&self, pools: &[SitePool]) {
        for node in &self.nodes {
            eventually("the node is ready", async || node.is_ready().await).await;
        }
        for pool in pools.iter().filter(|pool| !pool.spare) {
            eventually("the cells have owners with workers", async || {
                self.usable_workers(&pool.name).await == pool.workers
            })
            .await;
        }
    }

    /// Waits until a condition is true, and enforces a memory limit meanwhile.
    ///
    /// # Panics
    ///
    /// If the condition is not true within [`WAIT_TIMEOUT`].
    pub(crate) async fn eventually_within(
        &mut self,
        limit: &mut MemoryLimit,
        description: &str,
        mut condition: impl AsyncFnMut(&Self) -> bool,
    ) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            limit.enforce(&mut self.nodes);
            if condition(self).await {
                return;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        panic!(
            "timed out: {description}; {} processes above {} MB were killed",
            limit.kills, limit.megabytes
        );
    }

    /// Returns the number of usable workers of a pool, over all its cells.
    async fn usable_workers(&self, pool: &str) -> usize {
        let prefix = format!("{pool}/");
        let mut usable = 0;
        for node in &self.nodes {
            let Some(dump) = node.dump().await else {
                continue;
            };
            let cells = dump["cells"].as_array().cloned().unwrap_or_default();
            usable += (cells.iter())
                .filter(|cell| {
                    (cell["cell"].as_str()).is_some_and(|name| name.starts_with(&prefix))
                })
                .filter_map(|cell| cell["workers"].as_object())
                .flat_map(|workers| workers.values())
                .filter_map(|text| text.as_str())
                .filter(|text| text.contains("usable true"))
                .count();
        }
        usable
    }

    /// Returns the node that owns a cell.
    pub(crate) async fn owner(&self, cell: &str) -> Option<usize> {
        for (number, node) in self.nodes.iter().enumerate() {
            let Some(dump) = node.dump().await else {
                continue;
            };
            let cells = dump["cells"].as_array().cloned().unwrap_or_default();
            if cells.iter().any(|entry| entry["cell"] == cell) {
                return Some(number);
            }
        }
        None
    }

    pub(crate) async fn request(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<HttpResponse> {
        send_request(self.nodes[node].ports.client_address(), method, path, body).await
    }

    /// Sends a request to the administration API of a node. Returns null if the response is not
    /// JSON.
    pub(crate) async fn admin_request(&self, node: usize, method: Method, path: &str) -> Value {
        self.admin_request_with_body(node, method, path, &Value::Null)
            .await
    }

    /// Like [`Self::admin_request`], with a body.
    pub(crate) async fn admin_request_with_body(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Value {
        let request = HttpRequest::new(method, path.to_owned(), body.to_string());
        let address = self.nodes[node].ports.admin_address();
        let response = exchange(address, request).await.expect("a response");
        serde_json::from_slice(&response.body).unwrap_or_default()
    }

    /// Submits a job, trying one node after the other until one responds with success (200). Returns
    /// false if none does within [`WAIT_TIMEOUT`].
    pub(crate) async fn submit(&self, node: usize, pool: &str, id: &str, body: &Value) -> bool {
        let path = format!("/{pool}/{id}");
        let end = Instant::now() + WAIT_TIMEOUT;
        let mut number = node;
        while Instant::now() < end {
            let response = self
                .request(number, Method::POST, &path, &body.to_string())
                .await;
            if response.is_some_and(|response| response.status.is_success()) {
                return true;
            }
            number = (number + 1) % self.nodes.len();
            time::sleep(Duration::from_millis(200)).await;
        }
        false
    }

    /// Returns the state of a job as a node reports it.
    pub(crate) async fn job_state(&self, node: usize, pool: &str, id: &str) -> Option<String> {
        let path = format!("/{pool}/{id}");
        let response = self.request(node, Method::GET, &path, "").await?;
        if response.status.as_u16() == 410 {
            return Some("unknown".to_owned());
        }
        let body: Value = serde_json::from_slice(&response.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Waits until a node reports a job in the given state.
    pub(crate) async fn wait_for_state(&self, pool: &str, id: &str, state: &str) {
        let mut number = 0;
        eventually(&format!("job {id} is {state}"), async || {
            number = (number + 1) % self.nodes.len();
            self.job_state(number, pool, id).await.as_deref() == Some(state)
        })
        .await;
    }
}

/// Returns a job id that is unique in this test process.
pub(crate) fn new_job_id() -> String {
    format!("{:016x}", NEXT_JOB.fetch_add(1, Ordering::Relaxed))
}

/// Returns a job whose steps run one after the other, with the given numbers of tasks. All tasks
/// have the same `specification`, in which `ms` is the run time.
pub(crate) fn job_of_steps(counts: &[u32], specification: &str) -> Value {
    let steps: Vec<Value> = (counts.iter().enumerate())
        .map(|(number, count)| {
            let mut step = json!({"count": count, "cpu": 1_000, "memory_request_mb": 100,
                                  "estimated_ms": 300});
            if number > 0 {
                step["after"] = json!([number - 1]);
            }
            step
        })
        .collect();
    json!({"specification": specification, "steps": steps})
}

/// Waits until a condition is true.
///
/// # Panics
///
/// If the condition is not true within [`WAIT_TIMEOUT`].
pub(crate) async fn eventually(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("timed out: {description}");
}

/// Checks that no task ran twice at the same time, and that none ran again after it was done.
pub(crate) fn assert_single_runs(runs: &[ObservedRun]) {
    let mut by_task: BTreeMap<&str, Vec<&ObservedRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    for (task, runs) in by_task {
        for (number, run) in runs.iter().enumerate() {
            for earlier in &runs[..number] {
                let (end, cause) = earlier.ended.unwrap_or((Duration::MAX, "running"));
                assert!(
                    end <= run.started_at,
                    "{task}: run {} started while run {} was {cause}: {runs:?}",
                    run.run,
                    earlier.run
                );
                assert_ne!(cause, "done", "{task} ran again: {runs:?}");
            }
        }
    }
}

/// Returns the number of runs that completed their task.
pub(crate) fn count_done(runs: &[ObservedRun]) -> usize {
    (runs.iter())
        .filter(|run| matches!(run.ended, Some((_, "done"))))
        .count()
}
