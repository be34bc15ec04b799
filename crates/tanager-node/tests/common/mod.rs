//! Helpers and fakes that the tests of the node share.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_platform::PlatformClient;
use tanager_platform::TableTransaction;
use tanager_protocol::peer::ForwardRequest;

/// Defines async tests. The doc comment of each names the failure that it guards against.
#[macro_export]
macro_rules! async_cases {
    ($($(#[doc = $guard:literal])+ $case:ident => $body:block)*) => {
        $($(#[doc = $guard])+
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $case() $body)*
    };
}

pub const LOCALHOST: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// Time limit that only a test that hangs reaches.
pub const HANG_TIMEOUT: Duration = Duration::from_secs(60);

pub fn request(method: &str, key: &str) -> ForwardRequest {
    ForwardRequest {
        request_id: "request-1".to_owned(),
        pool: "intake".to_owned(),
        method: method.to_owned(),
        path: "/work".to_owned(),
        priority: "normal".to_owned(),
        timeout_ms: 60_000,
        idempotency_key: key.to_owned(),
        ..ForwardRequest::default()
    }
}

/// Polls a condition until it holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(HANG_TIMEOUT, wait).await;
    result.expect("the condition never held: the test hangs");
}

/// Accepts connections and passes each to `serve` with its number, counted from 0. Returns the
/// address and the number of accepted connections.
pub async fn raw_server<F>(
    serve: impl Fn(usize, TcpStream) -> F + Send + 'static,
) -> (SocketAddr, Arc<AtomicUsize>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(LOCALHOST).await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&accepted);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(count.fetch_add(1, Ordering::SeqCst), stream));
        }
    });
    (address, accepted)
}

/// Returns an address at which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind(LOCALHOST).await.unwrap();
    listener.local_addr().unwrap()
}

/// Reads a request up to the end of its headers; empty if the connection was closed.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return String::new(),
        }
    }
    String::from_utf8(head).unwrap()
}

/// Faults that the fake store injects.
#[derive(Default)]
pub struct StoreFaults {
    /// Number of next transactions that are applied but answered with status 500.
    pub lost_responses: AtomicUsize,
    /// Number of next transactions that are answered with status 500 when `answer_late_write` is
    /// notified, and applied when `release` is notified.
    pub late_writes: AtomicUsize,
    /// Sends the response to a late write. Until then the claim of the write stays undecided,
    /// however late the test looks at `late_writes`.
    pub answer_late_write: Notify,
    /// Answers every request with status 503 and applies nothing.
    pub outage: AtomicBool,
    /// Applies transactions but delays their responses until `release` is notified.
    pub frozen: AtomicBool,
    /// Refuses transactions with more writes than this; 0 means no limit.
    pub max_writes: AtomicUsize,
    /// Applies late writes and sends delayed responses.
    pub release: Notify,
}

/// Version and value of each row by key.
pub type Rows = BTreeMap<String, (u64, Value)>;

/// In-memory table service.
#[derive(Default)]
pub struct FakeStore {
    pub rows: Mutex<(u64, Rows)>,
    pub faults: StoreFaults,
    pub calls: AtomicUsize,
}

impl FakeStore {
    /// Starts a store. Its server runs until the test ends.
    pub async fn bind() -> (Arc<Self>, HttpServer) {
        let store = Arc::new(Self::default());
        let handler = Arc::clone(&store);
        let handler = Arc::new(move |request| {
            let store = Arc::clone(&handler);
            Box::pin(async move { store.handle(request).await })
                as tanager_http::server::ResponseFuture
        });
        let server = HttpServer::bind(LOCALHOST, ServerLimits::default(), handler);
        (store, server.await.unwrap())
    }

    /// Returns the `state` field of a row.
    pub fn state(&self, key: &str) -> Option<String> {
        let rows = self.rows.lock().unwrap();
        let (_, row) = rows.1.get(key)?;
        Some(row["state"].as_str()?.to_owned())
    }

    pub fn put(&self, key: &str, value: Value) {
        let mut rows = self.rows.lock().unwrap();
        rows.0 += 1;
        let version = rows.0;
        rows.1.insert(key.to_owned(), (version, value));
    }

    async fn handle(self: Arc<Self>, request: HttpRequest) -> HttpResponse {
        self.calls.fetch_add(1, Ordering::SeqCst);
        if self.faults.outage.load(Ordering::SeqCst) {
            return HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, "");
        }
        if let Some(key) = request.path.strip_prefix("/table/rows/") {
            return match self.rows.lock().unwrap().1.get(key) {
                Some((version, value)) => json_response(
                    200,
                    &json!({"key": key, "version": version, "value": value}),
                ),
                None => HttpResponse::new(StatusCode::NOT_FOUND, ""),
            };
        }
        let transaction: TableTransaction = serde_json::from_slice(&request.body).unwrap();
        let max_writes = self.faults.max_writes.load(Ordering::SeqCst);
        if max_writes > 0 && transaction.writes.len() > max_writes {
            return HttpResponse::new(StatusCode::PAYLOAD_TOO_LARGE, "");
        }
        if decrement(&self.faults.late_writes) {
            let store = Arc::clone(&self);
            tokio::spawn(async move {
                store.faults.release.notified().await;
                store.apply(transaction);
            });
            self.faults.answer_late_write.notified().await;
            return HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        let response = self.apply(transaction);
        if self.faults.frozen.load(Ordering::SeqCst) {
            self.faults.release.notified().await;
        }
        if decrement(&self.faults.lost_responses) {
            return HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        response
    }

    fn apply(&self, transaction: TableTransaction) -> HttpResponse {
        let mut rows = self.rows.lock().unwrap();
        let version = |key: &str| rows.1.get(key).map_or(0, |(version, _)| *version);
        let conditions = transaction.conditions.iter().enumerate();
        let failed: Vec<usize> = conditions
            .filter(|(_, condition)| version(&condition.key) != condition.version)
            .map(|(index, _)| index)
            .collect();
        if !failed.is_empty() {
            return json_response(409, &json!({"failed": failed}));
        }
        let mut versions = Vec::new();
        for write in transaction.writes {
            rows.0 += 1;
            let version = rows.0;
            match write.value {
                Some(value) => {
                    rows.1.insert(write.key, (version, value));
                    versions.push(version);
                }
                None => {
                    rows.1.remove(&write.key);
                    versions.push(0);
                }
            }
        }
        json_response(200, &json!({"versions": versions}))
    }
}

/// Returns a client of the fake store.
pub fn platform(server: &HttpServer) -> Arc<PlatformClient> {
    Arc::new(PlatformClient::new(
        server.address(),
        Duration::from_secs(5),
    ))
}

/// Counts down unless the counter is 0; returns whether it did.
fn decrement(counter: &AtomicUsize) -> bool {
    let result = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
        count.checked_sub(1)
    });
    result.is_ok()
}

fn json_response(status: u16, value: &Value) -> HttpResponse {
    HttpResponse::new(StatusCode::from_u16(status).unwrap(), value.to_string())
}
