//! A small site of node processes. Stand-ins of the platform and of the endpoints run in the
//! process of the test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Method;
use serde_json::Value;
use serde_json::json;
use tokio::time;

use tanager_dispatch::home::select_home;
use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::pool::PoolLimits;
use tanager_platform::ListedState;
use tanager_standin::EndpointOptions;
use tanager_standin::EndpointStandin;
use tanager_standin::PlatformFaults;
use tanager_standin::PlatformOptions;
use tanager_standin::PlatformStandin;
use tanager_standin::endpoint::EndpointFaults;
use tanager_standin::load::LoadOptions;
use tanager_standin::plan::MixOptions;
use tanager_standin::platform::OutageMode;
use tanager_standin::port::ConnectionHandler;
use tanager_standin::port::WirePort;
use tanager_standin::wire::WireResponse;

use crate::process::NodeProcess;
use crate::proxy::StallingProxy;

pub const ROOT_TOKEN: &str = "0123456789abcdef";
/// Longest wait for a condition, so that a failing test ends.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Time for which a rebooted VM is down. With 1.5 s a coordinator sometimes received the reports of
/// the start and of the end of a reboot together. It then never observed the VM as down and waited
/// 30 s for that.
const REBOOT_DURATION: Duration = Duration::from_millis(2_500);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls a condition until it holds.
pub async fn eventually(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = time::Instant::now();
    while !condition().await {
        assert!(start.elapsed() < WAIT_LIMIT, "still waiting: {description}");
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Options of a [`TestSite`].
pub struct SiteOptions {
    pub nodes: usize,
    pub endpoints: usize,
    pub floor: u32,
    /// Timeout of the nodes' calls to the platform.
    pub platform_timeout: Duration,
    /// Lines of the `[control]` section of the nodes' settings.
    pub control_settings: &'static str,
    /// Puts a proxy between the nodes and the platform.
    pub proxied_platform: bool,
    /// Edits the first configuration document before it is submitted.
    pub edit_document: fn(&mut Value),
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            nodes: 3,
            endpoints: 12,
            floor: 1,
            platform_timeout: Duration::from_millis(500),
            control_settings: "",
            proxied_platform: false,
            edit_document: |_| {},
        }
    }
}

/// A site with the pools `alpha`, `beta` and `gamma`.
pub struct TestSite {
    pub platform: PlatformStandin,
    pub platform_proxy: Option<StallingProxy>,
    pub endpoints: EndpointStandin,
    pub nodes: Vec<NodeProcess>,
    _reboot_listener: WirePort,
    platform_timeout: Duration,
    control_settings: &'static str,
    next_node_number: usize,
}

pub const POOLS: [&str; 3] = ["alpha", "beta", "gamma"];

impl TestSite {
    /// Starts a site whose pools share the endpoints evenly and have the given floor.
    pub async fn start(nodes: usize, endpoints: usize, floor: u32) -> Self {
        Self::start_with(SiteOptions {
            nodes,
            endpoints,
            floor,
            ..SiteOptions::default()
        })
        .await
    }

    /// Starts a site with the given options.
    pub async fn start_with(options: SiteOptions) -> Self {
        let list_lag = Duration::from_millis(500);
        let platform = PlatformStandin::bind(PlatformOptions {
            list_lag,
            ..PlatformOptions::default()
        });
        let platform = platform.expect("platform");
        let endpoints = EndpointStandin::bind(&EndpointOptions {
            count: options.endpoints,
            ..EndpointOptions::default()
        });
        let endpoints = endpoints.expect("endpoints");
        let reboots = WirePort::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            reboot_handler(endpoints.control()),
        )
        .expect("reboot listener");
        let reboot_address = reboots.address();
        let platform_proxy = match options.proxied_platform {
            true => Some(StallingProxy::bind(platform.address()).await),
            false => None,
        };
        let mut site = Self {
            platform,
            platform_proxy,
            endpoints,
            nodes: Vec::new(),
            _reboot_listener: reboots,
            platform_timeout: options.platform_timeout,
            control_settings: options.control_settings,
            next_node_number: 1,
        };
        for _ in 0..options.nodes {
            site.add_node();
        }
        for (vm, _) in site.endpoints.endpoints() {
            site.platform.set_vm(&vm, ListedState::Live);
            site.platform.register_control(&vm, reboot_address);
        }
        site.wait_until_ready().await;
        let mut document = site.document(options.floor);
        (options.edit_document)(&mut document);
        let response = site.put_config(0, 0, &document).await;
        assert!(response.status.is_success(), "{:?}", response.body);
        let version = version_of(&response);
        site.wait_for_version(version).await;
        for pool in POOLS {
            eventually("each pool serves requests", async || {
                let response = site.get(0, &format!("/{pool}/warm-up")).await;
                response.is_some_and(|response| response.status.is_success())
            })
            .await;
        }
        site
    }

    /// Returns the initial configuration document of the site, with the given floor for each pool.
    pub fn document(&self, floor: u32) -> Value {
        let pools: BTreeMap<&str, Value> = POOLS
            .iter()
            .map(|pool| (*pool, json!({ "floor": floor })))
            .collect();
        let endpoints = self.endpoints.endpoints();
        let vms: BTreeMap<String, Value> = endpoints
            .iter()
            .enumerate()
            .map(|(index, (name, address))| {
                let vm = json!({
                    "address": address,
                    "pool": POOLS[index % POOLS.len()],
                    "zone": format!("zone-{}", index / 3 % 3),
                    "rack": format!("rack-{}", index / 3),
                    "slots": 8,
                });
                (name.clone(), vm)
            })
            .collect();
        json!({ "site": "test", "pools": pools, "vms": vms, "teams": {} })
    }

    /// Starts another node without seeds. It needs the store to become ready.
    pub fn add_node(&mut self) -> &mut NodeProcess {
        self.add_seeded_node(&[])
    }

    /// Starts another node with the given seed peers.
    pub fn add_seeded_node(&mut self, seeds: &[SocketAddr]) -> &mut NodeProcess {
        let name = format!("entry-{}", self.next_node_number);
        self.next_node_number += 1;
        let proxy = self.platform_proxy.as_ref();
        let platform = proxy.map_or_else(|| self.platform.address(), StallingProxy::address);
        let node = NodeProcess::spawn(
            &name,
            platform,
            self.platform_timeout,
            seeds,
            self.control_settings,
        );
        self.nodes.push(node);
        self.nodes.last_mut().expect("just added")
    }

    /// Index of the node that is the home of a pool, VM or other name while all nodes are live.
    pub fn home_of(&self, subject: &str) -> usize {
        let names = self.nodes.iter().map(|node| node.name.as_str());
        let home = select_home(subject, names).expect("a node");
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.name == home).expect("a home")
    }

    /// Names of the VMs that the initial document assigns to a pool.
    pub fn vms_of(&self, pool: &str) -> Vec<String> {
        let offset = POOLS.iter().position(|name| *name == pool).expect("pool");
        let endpoints = self.endpoints.endpoints().into_iter();
        let names = endpoints.skip(offset).step_by(POOLS.len());
        names.map(|(name, _)| name).collect()
    }

    pub async fn wait_until_ready(&self) {
        for node in &self.nodes {
            eventually("the node is ready", async || is_ready(node).await).await;
        }
    }

    /// Waits until every node has applied the given version of the log.
    pub async fn wait_for_version(&self, version: u64) {
        for node in &self.nodes {
            eventually("the node has applied the version", async || {
                log_version(node)
                    .await
                    .is_some_and(|applied| applied >= version)
            })
            .await;
        }
    }

    /// Addresses of all nodes' caller ports.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller_address).collect()
    }

    /// Options of a load on all nodes and pools, in which keyed requests are retried.
    pub fn load_options(&self, seed: u64, rate: f64, duration: Duration) -> LoadOptions {
        LoadOptions {
            targets: self.caller_addresses(),
            direct: false,
            retry: true,
            mix: MixOptions {
                seed,
                pools: POOLS.map(str::to_owned).to_vec(),
                rate,
                duration,
                timeout: Duration::from_secs(10),
                ..MixOptions::default()
            },
        }
    }

    pub async fn get(&self, node: usize, path: &str) -> Option<HttpResponse> {
        call(
            self.nodes[node].caller_address,
            HttpRequest::new(Method::GET, path, ""),
        )
        .await
    }

    pub async fn put_config(
        &self,
        node: usize,
        expected_version: u64,
        document: &Value,
    ) -> HttpResponse {
        let body = json!({ "expected": expected_version, "document": document }).to_string();
        let request = HttpRequest::new(Method::PUT, "/v1/config", body);
        self.admin(node, request).await.expect("response")
    }

    pub async fn post_admin(&self, node: usize, path: &str, body: &Value) -> Option<HttpResponse> {
        self.admin(node, HttpRequest::new(Method::POST, path, body.to_string()))
            .await
    }

    pub async fn get_admin(&self, node: usize, path: &str) -> Option<Value> {
        get_json(self.nodes[node].admin_address, path).await
    }

    pub async fn set_platform_faults(&self, faults: PlatformFaults) {
        self.platform.set_faults(faults).await.expect("faults");
    }

    pub async fn set_outage(&self, outage: OutageMode) {
        self.set_platform_faults(PlatformFaults {
            outage: Some(outage),
            ..PlatformFaults::default()
        })
        .await;
    }

    pub async fn set_endpoint_faults(&self, vm: &str, faults: EndpointFaults) {
        let result = self.endpoints.set_faults(vm, faults).await;
        result.expect("faults");
    }

    async fn admin(&self, node: usize, request: HttpRequest) -> Option<HttpResponse> {
        admin_call(self.nodes[node].admin_address, request).await
    }
}

/// Forwards reboot requests to the endpoints, with the time for which a rebooted VM is down.
fn reboot_handler(control: SocketAddr) -> ConnectionHandler {
    Arc::new(move |mut connection, _| {
        Box::pin(async move {
            let Ok(Some(request)) = connection.read_request().await else {
                return;
            };
            let body = json!({ "down_ms": REBOOT_DURATION.as_millis() }).to_string();
            let request = HttpRequest::new(Method::POST, request.path(), body);
            let response = call(control, request).await;
            let status = response.map_or(500, |response| response.status.as_u16());
            let response = WireResponse::new(status, "").encode(true, true);
            // If the connection is broken, the platform counts the reboot as failed.
            let _ = connection.write(&response).await;
        })
    })
}

/// Reads a page of the administration API.
pub async fn get_json(admin: SocketAddr, path: &str) -> Option<Value> {
    let request = HttpRequest::new(Method::GET, path, "");
    let response = admin_call(admin, request).await?;
    serde_json::from_slice(&response.body).ok()
}

async fn admin_call(admin: SocketAddr, mut request: HttpRequest) -> Option<HttpResponse> {
    let token = format!("Bearer {ROOT_TOKEN}");
    let token = HeaderValue::from_str(&token).expect("token");
    request.headers.insert(http::header::AUTHORIZATION, token);
    call(admin, request).await
}

/// Sends a request and returns its response; `None` if it fails or takes longer than 15 s.
pub async fn call(address: SocketAddr, request: HttpRequest) -> Option<HttpResponse> {
    let pool = ClientPool::new(address, PoolLimits::default());
    let result = pool.exchange(&request, Duration::from_secs(15)).await;
    // The output is shown only if the test fails. Some tests expect errors.
    result
        .inspect_err(|error| println!("call to {address}: {error}"))
        .ok()
}

pub async fn is_ready(node: &NodeProcess) -> bool {
    let response = call(
        node.admin_address,
        HttpRequest::new(Method::GET, "/ready", ""),
    )
    .await;
    response.is_some_and(|response| response.status.is_success())
}

/// Returns the version of the log that a node has applied.
pub async fn log_version(node: &NodeProcess) -> Option<u64> {
    let response = call(
        node.admin_address,
        HttpRequest::new(Method::GET, "/metrics", ""),
    )
    .await?;
    let page = std::str::from_utf8(&response.body).ok()?.to_owned();
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix("tanager_log_version "))?;
    line.parse::<f64>().ok().map(|version| version as u64)
}

/// Returns the log version that a response of the administration API names.
pub fn version_of(response: &HttpResponse) -> u64 {
    let body: Value = serde_json::from_slice(&response.body).expect("JSON");
    body["version"].as_u64().expect("version")
}
