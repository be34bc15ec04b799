//! Node processes of the job service on the stand-in of the platform, and a client.

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

/// Longest time that a test waits for something that must happen; far above what it takes.
const PATIENCE: Duration = Duration::from_secs(40);

/// A node process. It is killed when dropped.
pub(crate) struct JobProcess {
    pub(crate) ports: NodePorts,
    settings: PathBuf,
    pub(crate) log: PathBuf,
    child: Child,
}

impl JobProcess {
    pub(crate) fn spawn(site: &SiteStandin, name: &str) -> Self {
        Self::spawn_through(site, name, site.store_address())
    }

    /// Starts a node that reaches the store at `store`, for instance through a proxy.
    pub(crate) fn spawn_through(site: &SiteStandin, name: &str, store: SocketAddr) -> Self {
        let ports = NodePorts::find();
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file =
            |ending: &str| directory.join(format!("jobs-{}-{number}.{ending}", std::process::id()));
        let settings = file("json");
        fs::write(&settings, site.settings_with_store(name, ports, store)).expect("settings file");
        let log = file("log");
        let child = Self::start(&settings, &log);
        Self {
            ports,
            settings,
            log,
            child,
        }
    }

    fn start(settings: &PathBuf, log: &PathBuf) -> Child {
        let output = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log file");
        Self::start_with(settings, "info", Stdio::from(output))
    }

    fn start_with(settings: &PathBuf, level: &str, output: Stdio) -> Child {
        Command::new(env!("CARGO_BIN_EXE_tanagerladderd"))
            .arg("jobs")
            .env("TANAGERLADDER_CONFIG", settings)
            .env("RUST_LOG", level)
            .stdout(output)
            .spawn()
            .expect("node process")
    }

    /// Starts the process again with all log lines in a pipe, which is returned.
    pub(crate) fn restart_piped(&mut self) -> ChildStdout {
        self.kill();
        self.child = Self::start_with(&self.settings, "debug", Stdio::piped());
        self.child.stdout.take().expect("a pipe")
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("process id");
        nix::sys::signal::kill(Pid::from_raw(id), signal).expect("signal");
    }

    pub(crate) fn kill(&mut self) {
        self.child.kill().expect("kill");
        self.child.wait().expect("wait");
    }

    /// Starts the process again with the same settings.
    pub(crate) fn restart(&mut self) {
        self.child = Self::start(&self.settings, &self.log);
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("wait").is_none()
    }

    /// Waits for the end of a process that was asked to stop; returns its exit code.
    pub(crate) async fn wait(&mut self) -> Option<i32> {
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

impl Drop for JobProcess {
    fn drop(&mut self) {
        // Both fail when the process has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a client's request to a node.
pub(crate) async fn send(
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

async fn exchange(address: SocketAddr, request: HttpRequest) -> Option<HttpResponse> {
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

/// A stand-in with nodes that serve.
pub(crate) struct JobSite {
    pub(crate) site: SiteStandin,
    pub(crate) nodes: Vec<JobProcess>,
}

impl JobSite {
    pub(crate) async fn start(nodes: usize, pools: &[SitePool]) -> Self {
        let site = SiteStandin::spawn(pools).await.expect("stand-in");
        site.put_config(1, pools);
        let nodes = (0..nodes)
            .map(|number| JobProcess::spawn(&site, &format!("node-{number}")))
            .collect();
        let own = Self { site, nodes };
        own.wait_until_owned(pools).await;
        own
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

    /// Returns the number of usable workers in all cells of a pool.
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
            if cells.iter().any(|found| found["cell"] == cell) {
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
        send(self.nodes[node].ports.client_address(), method, path, body).await
    }

    /// Asks the operator's address of a node; a malformed answer is a null.
    pub(crate) async fn operator(&self, node: usize, method: Method, path: &str) -> Value {
        self.operator_send(node, method, path, &Value::Null).await
    }

    /// Like [`Self::operator`], with a body.
    pub(crate) async fn operator_send(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Value {
        let request = HttpRequest::new(method, path.to_owned(), body.to_string());
        let address = self.nodes[node].ports.admin_address();
        let response = exchange(address, request).await.expect("an answer");
        serde_json::from_slice(&response.body).unwrap_or_default()
    }

    /// Submits until a node answers 200; returns false when that never happens.
    pub(crate) async fn submit(&self, node: usize, pool: &str, id: &str, body: &Value) -> bool {
        let path = format!("/{pool}/{id}");
        let end = Instant::now() + PATIENCE;
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

    /// Returns the state of a job as a node shows it.
    pub(crate) async fn state(&self, node: usize, pool: &str, id: &str) -> Option<String> {
        let path = format!("/{pool}/{id}");
        let response = self.request(node, Method::GET, &path, "").await?;
        if response.status.as_u16() == 410 {
            return Some("unknown".to_owned());
        }
        let body: Value = serde_json::from_slice(&response.body).ok()?;
        body["state"].as_str().map(str::to_owned)
    }

    /// Waits until a job is shown in a state.
    pub(crate) async fn wait_for(&self, pool: &str, id: &str, wanted: &str) {
        let mut number = 0;
        eventually(&format!("job {id} is {wanted}"), async || {
            number = (number + 1) % self.nodes.len();
            self.state(number, pool, id).await.as_deref() == Some(wanted)
        })
        .await;
    }
}

/// Returns a new id of a job.
pub(crate) fn new_id() -> String {
    format!("{:016x}", NEXT_JOB.fetch_add(1, Ordering::Relaxed))
}

/// Returns a job of steps that follow each other; each task runs for `ms`.
pub(crate) fn steps(counts: &[u32], specification: &str) -> Value {
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

/// Waits until a condition holds.
///
/// # Panics
///
/// When it does not hold in time.
pub(crate) async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("never: {what}");
}

/// Checks that no task ran twice at the same time, or again after it was done.
pub(crate) fn check_once(runs: &[ObservedRun]) {
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
                    "{task}: run {} began while run {} was {cause}: {runs:?}",
                    run.run,
                    earlier.run
                );
                assert_ne!(cause, "done", "{task} ran again: {runs:?}");
            }
        }
    }
}

/// Returns the number of tasks that are done.
pub(crate) fn done(runs: &[ObservedRun]) -> usize {
    (runs.iter())
        .filter(|run| matches!(run.ended, Some((_, "done"))))
        .count()
}
