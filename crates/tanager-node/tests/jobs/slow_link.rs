//! Nodes whose link to the store is slow, with rows that take long to read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde_json::json;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::server::RequestHandler;
use tanager_standin::site::SiteStandin;
use tokio::time;

use crate::POOL;
use crate::harness::JobSite;
use crate::harness::NodeProcess;
use crate::harness::eventually;
use crate::harness::job_of_steps;
use crate::harness::new_job_id;
use crate::harness::pool;
use crate::link::LinkMode;
use crate::link::NetworkLink;

/// Slowest link of an entry VM, in bits per second.
const SLOW_LINK: f64 = 10e6;
/// Fastest link of an entry VM with slow ones beside it, in bits per second.
const FAST_LINK: f64 = 200e6;
/// Slowest link of an entry VM in a small deployment, in bits per second.
const SLOWEST_LINK: f64 = 2e6;
/// Time within which a new configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time after its start from which a node must be ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Number of jobs of 4 KB, which take 3.5 s to store over the slowest link.
const JOBS: usize = 150;
/// Time within which these jobs must be accepted. Clients wait up to 3 s and ask again.
const STORE_LIMIT: Duration = Duration::from_secs(15);

/// Starts nodes whose links to the store have these rates in bits per second.
async fn slow_site(rates: &[f64]) -> (JobSite, Vec<NetworkLink>) {
    let pools = [pool(POOL, 2)];
    let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
    standin.put_config(1, &pools);
    let mut links = Vec::new();
    let mut nodes = Vec::new();
    for (number, rate) in rates.iter().enumerate() {
        let link = NetworkLink::bind_with_rate(standin.store_address(), *rate).await;
        let name = format!("node-{number}");
        let node = NodeProcess::spawn_with_link(&standin, &name, link.address, *rate);
        links.push(link);
        nodes.push(node);
    }
    let site = JobSite { standin, nodes };
    site.wait_until_owned(&pools).await;
    (site, links)
}

async fn config_version(site: &JobSite) -> Option<u64> {
    site.nodes[0].dump().await?["config_version"].as_u64()
}

/// Waits until a version is in force, and returns the time that it took, at most `limit`.
async fn time_to_force(site: &JobSite, version: u64, limit: Duration) -> Option<Duration> {
    let start = Instant::now();
    while start.elapsed() <= limit {
        if config_version(site).await == Some(version) {
            return Some(start.elapsed());
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    None
}

macro_rules! growing_configurations {
    ($($case:ident: $rate:expr, $counts:expr;)*) => {
        $(
            /// Guards against a configuration that never comes into force because its transfer is
            /// broken off and begun anew (CONFIG).
            #[tokio::test(flavor = "multi_thread")]
            async fn $case() {
                let pools = [pool(POOL, 2)];
                let (site, _links) = slow_site(&[$rate]).await;
                for (number, count) in $counts.into_iter().enumerate() {
                    let version = 2 + number as u64;
                    site.standin.put_config_with_routes(version, &pools, count);
                    let time = time_to_force(&site, version, APPLY_LIMIT).await;
                    assert!(time.is_some(), "{count} routes are not in force after {APPLY_LIMIT:?}");
                }
            }
        )*
    };
}

growing_configurations! {
    growing_configurations_come_into_force_at_10_mbit: SLOW_LINK, [1_400, 2_800, 4_200, 5_600];
    growing_configurations_come_into_force_at_2_mbit: SLOWEST_LINK, [400, 800, 1_400];
}

/// Guards against a node that has no configuration for good after its start, because it reads the whole
/// table under the limit of a small call.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_node_reads_a_large_configuration() {
    let pools = [pool(POOL, 2)];
    let (mut site, _links) = slow_site(&[SLOW_LINK]).await;
    site.standin.put_config_with_routes(2, &pools, 5_600);
    site.nodes[0].kill();
    site.nodes[0].restart();
    let time = time_to_force(&site, 2, START_LIMIT).await;
    assert!(time.is_some(), "no configuration after {START_LIMIT:?}");
}

/// Guards against a wave that is not seen because the table's other rows are never read completely.
#[tokio::test(flavor = "multi_thread")]
async fn wave_beside_a_large_configuration_is_seen() {
    let pools = [pool(POOL, 2)];
    let (site, _links) = slow_site(&[SLOW_LINK]).await;
    site.standin.put_config_with_routes(2, &pools, 5_600);
    let vms = site.standin.vms(POOL);
    let wave = json!({"wave": 1, "machines": vms, "duration_s": 60.0, "cap": 1});
    (site.standin).put_row("op", "wave/1", wave.to_string().as_bytes());
    let start = Instant::now();
    while site.standin.machine_orders().is_empty() {
        assert!(
            start.elapsed() < START_LIMIT,
            "no VM of the wave after {START_LIMIT:?}"
        );
        time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against a configuration that is late wherever a link to the store is slow, although a node nearby
/// has it.
#[tokio::test(flavor = "multi_thread")]
async fn large_configuration_comes_from_a_peer() {
    let pools = [pool(POOL, 2)];
    let (site, _links) = slow_site(&[SLOWEST_LINK, FAST_LINK, FAST_LINK]).await;
    // At 2 Mbit/s the first takes 1.4 s from the store and the others 5.7 s.
    for (version, count) in [(2, 1_400), (3, 5_600), (4, 5_601)] {
        site.standin.put_config_with_routes(version, &pools, count);
        let time = time_to_force(&site, version, APPLY_LIMIT).await;
        assert!(
            time.is_some(),
            "{count} routes are not in force after {APPLY_LIMIT:?}"
        );
    }
}

/// Guards against a node without the store that has an old configuration because its relays need longer to
/// read the new one than it waits for them.
#[tokio::test(flavor = "multi_thread")]
async fn node_without_the_store_follows_the_configuration() {
    let pools = [pool(POOL, 2)];
    let (site, links) = slow_site(&[SLOW_LINK; 3]).await;
    links[0].set_mode(LinkMode::HoldResponses);
    for (version, count) in [(2, 1_400), (3, 4_200), (4, 5_600)] {
        site.standin.put_config_with_routes(version, &pools, count);
        let time = time_to_force(&site, version, APPLY_LIMIT).await;
        assert!(
            time.is_some(),
            "{count} routes are not in force after {APPLY_LIMIT:?}"
        );
    }
}

/// Guards against a cell that stores nothing any more because a transaction takes longer to send than its
/// call may take, and is sent again and again (LOST).
#[tokio::test(flavor = "multi_thread")]
async fn many_large_jobs_are_stored_over_a_slow_link() {
    let (site, _links) = slow_site(&[SLOWEST_LINK]).await;
    let site = Arc::new(site);
    let specification = format!("ms=20 {}", "x".repeat(3_900));
    let submissions: Vec<_> = (0..JOBS)
        .map(|_| {
            let (site, body) = (Arc::clone(&site), job_of_steps(&[1], &specification));
            tokio::spawn(async move { site.submit(0, POOL, &new_job_id(), &body).await })
        })
        .collect();
    let start = Instant::now();
    for submission in submissions {
        assert!(submission.await.expect("no panic"), "a job is not accepted");
        assert!(
            start.elapsed() < STORE_LIMIT,
            "jobs are accepted too slowly"
        );
    }
}

/// Guards against a transfer from the store that goes on for seconds although a peer has the rows, at a node
/// that does not know the rate of its link.
#[tokio::test(flavor = "multi_thread")]
async fn slow_transfer_is_overtaken_by_a_peer() {
    let pools = [pool(POOL, 2)];
    let standin = SiteStandin::spawn(&pools).await.expect("stand-in");
    standin.put_config(1, &pools);
    let link = NetworkLink::bind_with_rate(standin.store_address(), SLOWEST_LINK).await;
    let nodes = vec![
        NodeProcess::spawn_with_store(&standin, "node-0", link.address, ""),
        NodeProcess::spawn(&standin, "node-1", ""),
    ];
    let site = JobSite { standin, nodes };
    site.wait_until_owned(&pools).await;
    for (version, count) in [(2, 5_600), (3, 11_200)] {
        site.standin.put_config_with_routes(version, &pools, count);
        let time = time_to_force(&site, version, APPLY_LIMIT).await;
        assert!(
            time.is_some(),
            "{count} routes are not in force after {APPLY_LIMIT:?}"
        );
    }
}

/// Responds to another node like one that has had a version in force for a minute, and gives it nothing.
async fn bind_peer_with_version(version: u64) -> HttpServer {
    let handler: RequestHandler = Arc::new(move |_| {
        let value = HeaderValue::try_from(format!("{version} 60000")).expect("a header");
        let response = HttpResponse::new(StatusCode::NOT_FOUND, "");
        let response = response.with_header(HeaderName::from_static("x-config"), value);
        Box::pin(async move { response })
    });
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, ServerLimits::default(), handler).await;
    server.expect("a peer")
}

/// Guards against requests that are handled by an old configuration for as long as the new one cannot be read,
/// although other nodes have it (CONFIG).
#[tokio::test(flavor = "multi_thread")]
async fn node_that_is_behind_refuses_requests() {
    let pools = [pool(POOL, 2)];
    let (site, links) = slow_site(&[FAST_LINK]).await;
    let peer = bind_peer_with_version(7).await;
    let row = json!({"incarnation": 1, "peer": peer.address(), "beat": 1, "leaving": false, "cores": 1.0});
    (site.standin).put_part_row("node", "n0", "peer", row.to_string().as_bytes());
    let path = format!("/{POOL}/");
    let status = async || {
        let response = site.request(0, Method::GET, &path, "").await;
        response.expect("a response").status.as_u16()
    };
    eventually("the peer is known", async || {
        let dump = site.nodes[0].dump().await.unwrap_or_default();
        dump["nodes"].to_string().contains("peer ")
    })
    .await;
    assert_eq!(status().await, 200);
    // The node hears of the version when it asks the peer for the rows that the store does not send.
    links[0].set_mode(LinkMode::HoldResponses);
    eventually("requests are refused", async || status().await == 503).await;
    for _ in 0..10 {
        assert_eq!(status().await, 503);
        time::sleep(Duration::from_millis(50)).await;
    }
    assert!(!site.nodes[0].is_ready().await, "it takes new connections");
    site.standin.put_config(7, &pools);
    links[0].set_mode(LinkMode::Forward);
    eventually("requests are handled", async || status().await == 200).await;
    assert_eq!(config_version(&site).await, Some(7));
    assert!(site.nodes[0].is_ready().await);
}
