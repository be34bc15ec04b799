//! Runs the stand-in of the users' platform for the job service, submits jobs to nodes that another
//! process starts, and compares the states reported to clients with the runs of the workers.
//!
//! `site --directory DIR [--nodes N] [--workers N] [--jobs N]` writes a settings file for each
//! node, DIR/node-K.json, prints `ready`, waits until the nodes serve, and prints a verdict.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use serde_json::Value;
use serde_json::json;
use tanager_http::ClientConnection;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_standin::site::NodePorts;
use tanager_standin::site::SitePool;
use tanager_standin::site::SiteStandin;
use tokio::time;

const HELP: &str = "\
Runs the stand-in of the users' platform for the job service, with a load.

Usage: site --directory DIR [--nodes N] [--workers N] [--jobs N]

  --directory DIR  where the settings files node-K.json of the nodes are written
  --nodes N        nodes; default 3
  --workers N      workers of each of the two pools; default 4
  --jobs N         jobs to submit, 20 a second; default 100
  --help           print this help

Prints `ready` when the settings files are written. Exit codes: 0 every job ended as it should,
1 otherwise, 2 bad usage.
";

/// Time limit until a node is ready, a job is accepted, and all jobs have ended.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POOLS: [&str; 2] = ["entry-check", "case-build"];

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut directory: Option<PathBuf> = None;
    let (mut nodes, mut workers, mut jobs) = (3usize, 4usize, 100u64);
    let mut parser = Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("directory") => directory = Some(parser.value()?.into()),
            Arg::Long("nodes") => nodes = parser.value()?.parse()?,
            Arg::Long("workers") => workers = parser.value()?.parse()?,
            Arg::Long("jobs") => jobs = parser.value()?.parse()?,
            Arg::Long("help") => {
                print!("{HELP}");
                return Ok(());
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let directory = directory.ok_or("--directory is required")?;
    let pools = POOLS.map(|name| SitePool {
        name: name.to_owned(),
        workers,
        spare: false,
        requires_ticket: false,
    });
    let site = SiteStandin::spawn(&pools).await?;
    site.put_config(1, &pools);
    let mut ports = Vec::new();
    for number in 0..nodes {
        let node_ports = NodePorts::find();
        let file = directory.join(format!("node-{number}.json"));
        fs::write(file, site.settings(&format!("node-{number}"), node_ports))?;
        ports.push(node_ports);
    }
    println!("ready");
    for node_ports in &ports {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_ready(*node_ports).await {
            if Instant::now() > deadline {
                return Err("a node never became ready".into());
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }
    let accepted = submit_jobs(&ports, jobs).await;
    let completed = wait_for_jobs(&ports, &accepted).await;
    let runs = site.runs();
    let mut done_counts: BTreeMap<&str, u32> = BTreeMap::new();
    for run in &runs {
        let is_done = matches!(run.ended, Some((_, "done")));
        *done_counts.entry(&run.task).or_default() += u32::from(is_done);
    }
    let once = done_counts.values().filter(|count| **count == 1).count();
    println!(
        "jobs submitted {jobs}, accepted {}, completed {completed}; tasks done once {once} of {}",
        accepted.len(),
        done_counts.len()
    );
    let is_passed = accepted.len() as u64 == jobs
        && completed == accepted.len()
        && once == done_counts.len()
        && once == accepted.len() * 5;
    println!("verdict {}", if is_passed { "passed" } else { "failed" });
    match is_passed {
        true => Ok(()),
        false => Err("the jobs did not end as they should".into()),
    }
}

async fn submit_jobs(ports: &[NodePorts], jobs: u64) -> Vec<(String, String)> {
    let first_step =
        json!({"count": 3, "cpu": 1_000, "memory_request_mb": 100, "estimated_ms": 300});
    let last_step = json!({"count": 2, "cpu": 1_000, "memory_request_mb": 100, "estimated_ms": 300,
                      "after": [0]});
    let body = json!({"specification": "ms=200", "steps": [first_step, last_step]}).to_string();
    let mut accepted = Vec::new();
    for number in 0..jobs {
        let pool = POOLS[number as usize % POOLS.len()].to_owned();
        let id = format!("{:016x}", number + 1);
        let path = format!("/{pool}/{id}");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut node = number as usize;
        while Instant::now() < deadline {
            node += 1;
            let node_ports = ports[node % ports.len()];
            let response = send_request(node_ports, Method::POST, &path, &body).await;
            if response.is_some_and(|response| response.status.is_success()) {
                accepted.push((pool, id));
                break;
            }
            time::sleep(Duration::from_millis(200)).await;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    accepted
}

async fn wait_for_jobs(ports: &[NodePorts], jobs: &[(String, String)]) -> usize {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let mut completed = 0;
    for (number, (pool, id)) in jobs.iter().enumerate() {
        let path = format!("/{pool}/{id}");
        while Instant::now() < deadline {
            let node_ports = ports[number % ports.len()];
            let response = send_request(node_ports, Method::GET, &path, "").await;
            let body: Value = response
                .and_then(|response| serde_json::from_slice(&response.body).ok())
                .unwrap_or_default();
            if body["state"] == "completed" {
                completed += 1;
                break;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }
    completed
}

async fn is_ready(ports: NodePorts) -> bool {
    let request = HttpRequest::new(Method::GET, "/readiness", "");
    let response = exchange(ports.readiness_address(), request).await;
    response.is_some_and(|response| response.status.is_success())
}

async fn send_request(
    ports: NodePorts,
    method: Method,
    path: &str,
    body: &str,
) -> Option<HttpResponse> {
    let request = HttpRequest::new(method, path.to_owned(), body.to_owned());
    exchange(ports.client_address(), request).await
}

async fn exchange(address: std::net::SocketAddr, request: HttpRequest) -> Option<HttpResponse> {
    let timeout = Duration::from_secs(3);
    let mut connection = ClientConnection::open(address, timeout).await.ok()?;
    connection.exchange(request, timeout, 1 << 20).await.ok()
}
