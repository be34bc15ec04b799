//! Helpers and small fakes of the node's tests.
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

/// Names each case; its documentation says which failure it guards against.
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

/// Long enough that only a hang reaches it.
pub const LONG: Duration = Duration::from_secs(60);

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

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(LONG, wait).await;
    result.expect("the condition never held: the test hangs");
}

/// Accepts connections and serves each with `serve`, which also gets its number.
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

/// Address at which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind(LOCALHOST).await.unwrap();
    listener.local_addr().unwrap()
}

/// Reads the head of a request; empty when the connection was closed.
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

/// How the fake store treats transactions.
#[derive(Default)]
pub struct StoreFaults {
    /// Transactions that are written but answered 500.
    pub lost: AtomicUsize,
    /// Transactions that are answered 500 at once and written when `land` is notified.
    pub late: AtomicUsize,
    /// Answers everything 503 without effect.
    pub outage: AtomicBool,
    /// Holds written transactions back until `land` is notified.
    pub frozen: AtomicBool,
    /// Refuses transactions with more writes; 0 refuses none.
    pub max_writes: AtomicUsize,
    pub land: Notify,
}

/// Versions and values by key.
pub type Rows = BTreeMap<String, (u64, Value)>;

/// Table service in memory.
#[derive(Default)]
pub struct FakeStore {
    pub rows: Mutex<(u64, Rows)>,
    pub faults: StoreFaults,
    pub calls: AtomicUsize,
}

impl FakeStore {
    /// Starts a store; the server lives as long as the test.
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
        if take_one(&self.faults.late) {
            let store = Arc::clone(&self);
            tokio::spawn(async move {
                store.faults.land.notified().await;
                store.apply(transaction);
            });
            return HttpResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "");
        }
        let response = self.apply(transaction);
        if self.faults.frozen.load(Ordering::SeqCst) {
            self.faults.land.notified().await;
        }
        if take_one(&self.faults.lost) {
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

pub fn platform(server: &HttpServer) -> Arc<PlatformClient> {
    Arc::new(PlatformClient::new(
        server.address(),
        Duration::from_secs(5),
    ))
}

fn take_one(counter: &AtomicUsize) -> bool {
    let taken = counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
        count.checked_sub(1)
    });
    taken.is_ok()
}

fn json_response(status: u16, value: &Value) -> HttpResponse {
    HttpResponse::new(StatusCode::from_u16(status).unwrap(), value.to_string())
}
