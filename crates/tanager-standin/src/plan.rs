//! Seeded plan of a load run: the requests and their start times.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use tanager_http::HttpRequest;
use tanager_protocol::request::RequestPriority;

/// Methods with their weights. POST is the most frequent, because it must run at most once.
const METHODS: [(Method, u32); 7] = [
    (Method::GET, 20),
    (Method::HEAD, 5),
    (Method::PUT, 15),
    (Method::DELETE, 5),
    (Method::OPTIONS, 5),
    (Method::POST, 40),
    (Method::PATCH, 10),
];

/// Body sizes in bytes with their weights: empty, small, more than one read, and large.
const BODY_SIZES: [(usize, u32); 5] = [(0, 20), (100, 50), (5_000, 20), (70_000, 9), (500_000, 1)];

/// Mix of requests of a load run.
#[derive(Clone, Debug)]
pub struct MixOptions {
    /// Seed of all random choices.
    pub seed: u64,
    /// Pools; each request names a random one.
    pub pools: Vec<String>,
    /// Teams; each request names a random one.
    pub teams: Vec<String>,
    /// Priorities with their weights.
    pub priorities: Vec<(RequestPriority, u32)>,
    /// Mean number of requests per second.
    pub rate: f64,
    /// Period in which requests start.
    pub duration: Duration,
    /// Mean service time.
    pub service_time: Duration,
    /// Timeout of each request.
    pub timeout: Duration,
    /// Share of POST and PATCH requests that have an idempotency key, from 0 to 1.
    pub keyed_share: f64,
    /// Share of requests that the caller cancels, from 0 to 1.
    pub cancelled_share: f64,
}

impl Default for MixOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            pools: Vec::new(),
            teams: ["team-1", "team-2", "team-3"].map(str::to_owned).to_vec(),
            priorities: vec![
                (RequestPriority::Urgent, 20),
                (RequestPriority::Normal, 50),
                (RequestPriority::Batch, 30),
            ],
            rate: 200.0,
            duration: Duration::from_secs(10),
            service_time: Duration::from_millis(5),
            timeout: Duration::from_secs(30),
            keyed_share: 0.5,
            cancelled_share: 0.03,
        }
    }
}

/// One planned request.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Start time, relative to the start of the load run.
    pub start_offset: Duration,
    /// Id, unique among the requests of all seeds.
    pub id: String,
    /// Pool.
    pub pool: String,
    /// HTTP method.
    pub method: Method,
    /// Priority.
    pub priority: RequestPriority,
    /// Team.
    pub team: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Body, which starts with the id unless it is empty.
    pub body: Bytes,
    /// Size in bytes of the binary response body; `None` requests the JSON echo.
    pub response_size: Option<usize>,
    /// Service time.
    pub service_time: Duration,
    /// Timeout.
    pub timeout: Duration,
    /// Time after which the caller disconnects, if it cancels.
    pub cancel_after: Option<Duration>,
    /// Random number that selects the node or endpoint.
    pub target: usize,
}

impl PlannedRequest {
    /// Builds the HTTP request. `direct` omits the pool from the path.
    pub fn build(&self, direct: bool) -> HttpRequest {
        let path = match direct {
            true => format!("/load/{}", self.id),
            false => format!("/{}/load/{}", self.pool, self.id),
        };
        let mut request = HttpRequest::new(self.method.clone(), path, self.body.clone());
        let mut insert = |name: &'static str, text: &str| {
            if let Ok(value) = HeaderValue::from_str(text) {
                request.headers.insert(name, value);
            }
        };
        insert("tanager-priority", self.priority.as_str());
        insert("tanager-team", &self.team);
        insert("tanager-timeout-ms", &self.timeout.as_millis().to_string());
        insert("x-work-ms", &self.service_time.as_millis().to_string());
        if let Some(size) = self.response_size {
            insert("x-answer-bytes", &size.to_string());
        }
        if !self.key.is_empty() {
            insert("idempotency-key", &self.key);
        }
        request
    }
}

/// Plans the requests of a run in order of their start. The same options give the same plan.
pub fn plan_requests(options: &MixOptions) -> Vec<PlannedRequest> {
    let mut random = StdRng::seed_from_u64(options.seed);
    let mut requests = Vec::new();
    let mut start_seconds = 0.0;
    loop {
        // Exponentially distributed gaps make the arrivals a Poisson process.
        start_seconds += -(1.0 - random.random::<f64>()).ln() / options.rate;
        if !start_seconds.is_finite() || start_seconds >= options.duration.as_secs_f64() {
            return requests;
        }
        let number = requests.len();
        let start_offset = Duration::from_secs_f64(start_seconds);
        requests.push(plan_request(options, &mut random, number, start_offset));
    }
}

fn plan_request(
    options: &MixOptions,
    random: &mut StdRng,
    number: usize,
    start_offset: Duration,
) -> PlannedRequest {
    let id = format!("load{}-{number}", options.seed);
    let method = choose_weighted(random, &METHODS);
    let has_key =
        matches!(method, Method::POST | Method::PATCH) && random.random_bool(options.keyed_share);
    let key = match has_key {
        true => format!("key-{id}"),
        false => String::new(),
    };
    let has_body = matches!(method, Method::PUT | Method::POST | Method::PATCH);
    let size = choose_weighted(random, &BODY_SIZES);
    let mut body = Vec::new();
    if has_body && size > 0 {
        body.extend_from_slice(id.as_bytes());
        body.push(0);
        let prefix_length = body.len().min(size);
        body.resize(size, 0);
        random.fill(&mut body[prefix_length..]);
    }
    let has_binary_response = random.random_bool(0.5);
    let response_size = choose_weighted(random, &BODY_SIZES);
    let service_time = options.service_time.mul_f64(random.random_range(0.2..1.8));
    let is_cancelled = random.random_bool(options.cancelled_share);
    let cancel_after = options.service_time.mul_f64(random.random_range(0.0..4.0));
    PlannedRequest {
        start_offset,
        pool: choose_name(random, &options.pools),
        method,
        priority: choose_weighted(random, &options.priorities),
        team: choose_name(random, &options.teams),
        key,
        body: body.into(),
        response_size: has_binary_response.then_some(response_size),
        service_time,
        timeout: options.timeout,
        cancel_after: is_cancelled.then_some(cancel_after),
        target: random.random_range(0..1 << 30),
        id,
    }
}

fn choose_weighted<T: Clone>(random: &mut StdRng, weighted: &[(T, u32)]) -> T {
    let total: u32 = weighted.iter().map(|(_, weight)| weight).sum();
    let mut remaining = random.random_range(0..total);
    for (value, weight) in weighted {
        if remaining < *weight {
            return value.clone();
        }
        remaining -= weight;
    }
    weighted[0].0.clone()
}

fn choose_name(random: &mut StdRng, names: &[String]) -> String {
    match names.len() {
        0 => String::new(),
        count => names[random.random_range(0..count)].clone(),
    }
}
