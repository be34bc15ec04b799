//! Runs the stand-in of the users' platform for the job service, submits jobs to nodes that another
//! process starts, and compares what clients were told with what the workers ran.
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

/// Time for nodes to serve, and for jobs to end.
const PATIENCE: Duration = Duration::from_secs(30);
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
        let own = NodePorts::find();
        let file = directory.join(format!("node-{number}.json"));
        fs::write(file, site.settings(&format!("node-{number}"), own))?;
        ports.push(own);
    }
    println!("ready");
    for own in &ports {
        let end = Instant::now() + PATIENCE;
        while !is_ready(*own).await {
            if Instant::now() > end {
                return Err("a node never became ready".into());
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }
    let accepted = submit_all(&ports, jobs).await;
    let completed = wait_for_all(&ports, &accepted).await;
    let runs = site.runs();
    let mut done: BTreeMap<&str, u32> = BTreeMap::new();
    for run in &runs {
        let is_done = matches!(run.ended, Some((_, "done")));
        *done.entry(&run.task).or_default() += u32::from(is_done);
    }
    let once = done.values().filter(|count| **count == 1).count();
    println!(
        "jobs submitted {jobs}, accepted {}, completed {completed}; tasks done once {once} of {}",
        accepted.len(),
        done.len()
    );
    let is_right = accepted.len() as u64 == jobs
        && completed == accepted.len()
        && once == done.len()
        && once == accepted.len() * 5;
    println!("verdict {}", if is_right { "passed" } else { "failed" });
    match is_right {
        true => Ok(()),
        false => Err("the jobs did not end as they should".into()),
    }
}

async fn submit_all(ports: &[NodePorts], jobs: u64) -> Vec<(String, String)> {
    let step = json!({"count": 3, "cpu": 1_000, "memory_request_mb": 100, "estimated_ms": 300});
    let last = json!({"count": 2, "cpu": 1_000, "memory_request_mb": 100, "estimated_ms": 300,
                      "after": [0]});
    let body = json!({"specification": "ms=200", "steps": [step, last]}).to_string();
    let mut accepted = Vec::new();
    for number in 0..jobs {
        let pool = POOLS[number as usize % POOLS.len()].to_owned();
        let id = format!("{:016x}", number + 1);
        let path = format!("/{pool}/{id}");
        let end = Instant::now() + PATIENCE;
        let mut node = number as usize;
        while Instant::now() < end {
            node += 1;
            let own = ports[node % ports.len()];
            let response = send(own, Method::POST, &path, &body).await;
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

async fn wait_for_all(ports: &[NodePorts], jobs: &[(String, String)]) -> usize {
    let end = Instant::now() + PATIENCE;
    let mut completed = 0;
    for (number, (pool, id)) in jobs.iter().enumerate() {
        let path = format!("/{pool}/{id}");
        while Instant::now() < end {
            let own = ports[number % ports.len()];
            let response = send(own, Method::GET, &path, "").await;
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

async fn send(ports: NodePorts, method: Method, path: &str, body: &str) -> Option<HttpResponse> {
    let request = HttpRequest::new(method, path.to_owned(), body.to_owned());
    exchange(ports.client_address(), request).await
}

async fn exchange(address: std::net::SocketAddr, request: HttpRequest) -> Option<HttpResponse> {
    let limit = Duration::from_secs(3);
    let mut connection = ClientConnection::open(address, limit).await.ok()?;
    connection.exchange(request, limit, 1 << 20).await.ok()
}
