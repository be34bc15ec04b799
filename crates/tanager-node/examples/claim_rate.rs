//! Prints the rate and latency of claims against the platform stand-in, with and without batching.
//!
//! The store responds after 3 ms, as from another availability zone. Keys are fixed. The figures
//! depend on the machine and serve for comparison only.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::task::JoinSet;

use tanager_node::claims::ClaimResult;
use tanager_node::claims::ClaimService;
use tanager_node::claims::ClaimSettings;
use tanager_node::claims::fingerprint::RequestFingerprint;
use tanager_platform::PlatformClient;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::peer::ForwardRequest;
use tanager_standin::platform::PlatformFaults;
use tanager_standin::platform::PlatformOptions;
use tanager_standin::platform::PlatformStandin;

const STORE_DELAY_MS: u64 = 3;
const CLAIMER_COUNTS: [usize; 5] = [1, 16, 64, 256, 1_024];
/// Smallest number of consecutive claims of each claimer.
const MIN_ROUNDS: usize = 4;
/// Smallest total number of claims in a run.
const MIN_CLAIMS: usize = 256;
const BATCH_SIZES: [usize; 2] = [64, 1];

/// Operations of a claimer for each key.
#[derive(Clone, Copy)]
enum Workload {
    /// Claims the key.
    Claim,
    /// Also writes the completion record, as for every answered request.
    ClaimAndRecord,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!(
        "| workload | batch | claimers | claims/s | transactions/s | rows/transaction | p50 ms | p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (workload, name) in [
        (Workload::Claim, "claim"),
        (Workload::ClaimAndRecord, "claim and record"),
    ] {
        for batch in BATCH_SIZES {
            for claimers in CLAIMER_COUNTS {
                let row = run(workload, batch, claimers).await?;
                println!("| {name} | {batch} | {claimers} | {row} |");
            }
        }
    }
    Ok(())
}

/// Runs one configuration and returns its figures as table columns.
async fn run(
    workload: Workload,
    max_batch: usize,
    claimers: usize,
) -> Result<String, Box<dyn Error>> {
    let standin = PlatformStandin::bind(PlatformOptions::default())?;
    let faults = PlatformFaults {
        delay_ms: Some(STORE_DELAY_MS),
        ..PlatformFaults::default()
    };
    standin.set_faults(faults).await?;
    let platform = PlatformClient::new(standin.address(), Duration::from_secs(5));
    let settings = ClaimSettings {
        max_batch,
        ..ClaimSettings::default()
    };
    let owner = ("node-1".to_owned(), 1);
    let service = ClaimService::spawn(Arc::new(platform), owner, settings, Arc::new(|_| false));
    let service = Arc::new(service);
    let rounds = MIN_ROUNDS.max(MIN_CLAIMS / claimers);
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for claimer in 0..claimers {
        let service = Arc::clone(&service);
        tasks.spawn(async move { claim_all(&service, claimer, rounds, workload).await });
    }
    let mut latencies: Vec<Duration> = tasks.join_all().await.into_iter().flatten().collect();
    service.flush().await;
    let elapsed = start.elapsed().as_secs_f64();
    latencies.sort();
    if latencies.len() != claimers * rounds {
        return Err("a claim was not granted".into());
    }
    let counters = service.counters();
    let percentile = |percent: usize| {
        let index = (latencies.len() * percent / 100).min(latencies.len() - 1);
        latencies.get(index).map_or(0.0, Duration::as_secs_f64) * 1e3
    };
    Ok(format!(
        "{:.0} | {:.0} | {:.1} | {:.1} | {:.1}",
        latencies.len() as f64 / elapsed,
        counters.batches as f64 / elapsed,
        counters.writes as f64 / counters.batches as f64,
        percentile(50),
        percentile(99),
    ))
}

/// Claims keys consecutively and returns the latency of each granted claim.
async fn claim_all(
    service: &ClaimService,
    claimer: usize,
    rounds: usize,
    workload: Workload,
) -> Vec<Duration> {
    let fingerprint = RequestFingerprint::new(&ForwardRequest::default());
    let response = EndpointResponse {
        status: 200,
        headers: Vec::new(),
        body: vec![b'a'; 1_024],
    };
    let mut latencies = Vec::with_capacity(rounds);
    for round in 0..rounds {
        let key = format!("key-{claimer}-{round}");
        let start = Instant::now();
        let deadline = start + Duration::from_secs(600);
        let result = service.claim("intake", &key, fingerprint.clone(), deadline);
        if let ClaimResult::Granted(grant) = result.await {
            latencies.push(start.elapsed());
            if matches!(workload, Workload::ClaimAndRecord) {
                service.complete(grant, &response);
            }
        }
    }
    latencies
}
