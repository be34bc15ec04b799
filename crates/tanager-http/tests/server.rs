//! Complete bodies, limits, shutdown and client disconnects of the server.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

use tanager_http::ClientConnection;
use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::pool::PoolLimits;
use tanager_http::server::RequestHandler;
use tanager_protocol::error::ErrorKind;

use common::HANG_TIMEOUT;
use common::SHORT_TIMEOUT;
use common::local_address;

/// Largest request body that the servers accept in these tests, in bytes.
const MAX_BODY: usize = 100_000;

/// Connections opened at once; a node of the site tests gets about as many in a flood.
const BURST_CONNECTIONS: usize = 600;

fn limits() -> ServerLimits {
    ServerLimits {
        max_body: MAX_BODY,
        read_timeout: HANG_TIMEOUT,
        ..ServerLimits::default()
    }
}

/// Responds with the method, the path and the body of the request.
fn echo_handler() -> RequestHandler {
    Arc::new(|request| {
        Box::pin(async move {
            let line = format!("{} {}\n", request.method, request.path);
            let body = [line.as_bytes(), &request.body].concat();
            HttpResponse::new(StatusCode::OK, body)
        })
    })
}

/// Guards against clients whose first packet is dropped because many connect while the process gets
/// no processor time; they would retry only after a second (KNOWN-RED: floods, seed 85).
#[tokio::test]
async fn burst_of_connections_is_queued() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler());
    let server = server.await.unwrap();
    // The server runs on this thread, so it accepts none of them meanwhile.
    let connections: Vec<TcpStream> = (0..BURST_CONNECTIONS)
        .map(|number| {
            TcpStream::connect_timeout(&server.address(), SHORT_TIMEOUT)
                .unwrap_or_else(|error| panic!("connection {number}: {error}"))
        })
        .collect();
    drop(connections);
}

/// Panics for the path `/panic`, and echoes other requests.
fn panicking_handler() -> RequestHandler {
    let echo = echo_handler();
    Arc::new(move |request| {
        assert!(request.path != "/panic", "no such path");
        echo(request)
    })
}

/// Guards against a connection that closes without a response when a handler panics, and against
/// a panic that ends the server.
#[tokio::test]
async fn panic_of_a_handler_is_answered() {
    let server = HttpServer::bind(local_address(), limits(), panicking_handler());
    let server = server.await.unwrap();
    let mut connection = ClientConnection::open(server.address(), HANG_TIMEOUT)
        .await
        .unwrap();
    for (path, status) in [("/panic", 500), ("/work", 200), ("/panic", 500)] {
        let request = HttpRequest::new(Method::GET, path, "");
        let response = connection.exchange(request, HANG_TIMEOUT, MAX_BODY).await;
        assert_eq!(response.unwrap().status, status, "{path}");
    }
}

/// Reports that the future of a handler was dropped.
struct DropReporter(mpsc::UnboundedSender<&'static str>);

impl Drop for DropReporter {
    fn drop(&mut self) {
        let _ = self.0.send("dropped");
    }
}

/// Returns a handler that waits for a permit before it responds, and its events.
fn waiting_handler(
    permits: &Arc<Semaphore>,
) -> (RequestHandler, mpsc::UnboundedReceiver<&'static str>) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let permits = Arc::clone(permits);
    let handler: RequestHandler = Arc::new(move |_| {
        let permits = Arc::clone(&permits);
        let sender = sender.clone();
        Box::pin(async move {
            sender.send("started").unwrap();
            let _guard = DropReporter(sender);
            let _permit = permits.acquire().await;
            HttpResponse::new(StatusCode::OK, "done")
        })
    });
    (handler, receiver)
}

macro_rules! echo_cases {
    ($($case:ident: $body:expr;)*) => {
        $(
            /// Guards against an altered or truncated body.
            #[tokio::test]
            async fn $case() {
                let body: Vec<u8> = $body;
                let server = HttpServer::bind(local_address(), limits(), echo_handler())
                    .await
                    .unwrap();
                let pool = ClientPool::new(server.address(), PoolLimits::default());
                for method in [Method::POST, Method::PUT] {
                    let request = HttpRequest::new(method.clone(), "/a%20b?c=d&e", body.clone());
                    let response = pool.exchange(&request, HANG_TIMEOUT).await.unwrap();
                    let line = format!("{method} /a%20b?c=d&e\n");
                    assert_eq!(response.body, [line.as_bytes(), &body].concat());
                }
                server.stop().await;
            }
        )*
    };
}

echo_cases! {
    empty_body: Vec::new();
    one_byte: vec![0];
    all_bytes: (0..=255).collect();
    header_like_body: b"HTTP/1.1 200 OK\r\n\r\n".to_vec();
    body_at_the_limit: vec![0xff; MAX_BODY];
}

/// Guards against a response to HEAD whose body a client reads as the start of the next response.
#[tokio::test]
async fn response_to_head_has_no_body() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler())
        .await
        .unwrap();
    let mut connection = ClientConnection::open(server.address(), HANG_TIMEOUT)
        .await
        .unwrap();
    for method in [Method::HEAD, Method::GET] {
        let request = HttpRequest::new(method.clone(), "/", "");
        let response = connection
            .exchange(request, HANG_TIMEOUT, MAX_BODY)
            .await
            .unwrap();
        assert_eq!(response.body.is_empty(), method == Method::HEAD);
        assert_eq!(response.status, StatusCode::OK);
    }
}

/// Guards against a connection that is reset while the client still sends the body: the client
/// would not receive the 413 and would have to report an unknown outcome.
#[tokio::test]
async fn too_large_body_gets_413() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler())
        .await
        .unwrap();
    let body = Bytes::from(vec![1; 8 << 20]);
    for _ in 0..10 {
        let mut connection = ClientConnection::open(server.address(), HANG_TIMEOUT)
            .await
            .unwrap();
        let request = HttpRequest::new(Method::POST, "/", body.clone());
        let response = connection
            .exchange(request, HANG_TIMEOUT, MAX_BODY)
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    }
    let pool = ClientPool::new(server.address(), PoolLimits::default());
    let request = HttpRequest::new(Method::POST, "/", vec![1; MAX_BODY + 1]);
    let response = pool.exchange(&request, HANG_TIMEOUT).await.unwrap();
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    let request = HttpRequest::new(Method::POST, "/", "small");
    assert_eq!(
        pool.exchange(&request, HANG_TIMEOUT).await.unwrap().status,
        StatusCode::OK
    );
}

/// Sends bytes and reads until the server closes the connection.
async fn send_raw(server: &HttpServer, bytes: &'static [u8], close: bool) -> String {
    let address = server.address();
    let task = tokio::task::spawn_blocking(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(bytes).unwrap();
        if close {
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response);
        String::from_utf8(response).unwrap()
    });
    task.await.unwrap()
}

/// Guards against a connection that is reset before a client that first sends its complete body can
/// read the response.
#[tokio::test]
async fn too_large_body_may_be_sent_before_the_response_is_read() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler())
        .await
        .unwrap();
    let head = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 8000000\r\n\r\n";
    let request = [head.as_bytes(), &[b'x'; 8_000_000]].concat();
    let response = send_raw(&server, request.leak(), false).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// Guards against a chunked body that bypasses the limit.
#[tokio::test]
async fn too_large_chunked_body_gets_413() {
    let limits = ServerLimits {
        max_body: 4,
        ..limits()
    };
    let server = HttpServer::bind(local_address(), limits, echo_handler())
        .await
        .unwrap();
    let request = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    let response = send_raw(&server, request, false).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// Guards against a server that requests a body which it will reject (RFC 9110, section 10.1.1).
#[tokio::test]
async fn too_large_body_after_expect_is_rejected_unread() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler())
        .await
        .unwrap();
    let request =
        b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 1000000\r\n\r\n";
    let response = send_raw(&server, request, false).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
}

/// Guards against running an incomplete request.
#[tokio::test]
async fn truncated_request_does_not_reach_the_handler() {
    let permits = Arc::new(Semaphore::new(0));
    let (handler, mut events) = waiting_handler(&permits);
    let server = HttpServer::bind(local_address(), limits(), handler)
        .await
        .unwrap();
    send_raw(
        &server,
        b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
        true,
    )
    .await;
    server.stop().await;
    assert_eq!(events.recv().await, None);
}

/// Guards against a client that occupies a connection by never completing its body.
#[tokio::test]
async fn stalled_request_body_gets_408() {
    let limits = ServerLimits {
        read_timeout: SHORT_TIMEOUT,
        ..limits()
    };
    let server = HttpServer::bind(local_address(), limits, echo_handler())
        .await
        .unwrap();
    let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc";
    let response = send_raw(&server, request, false).await;
    assert!(response.starts_with("HTTP/1.1 408 "), "{response}");
}

/// Guards against a shutdown that interrupts requests in progress (R7) or waits for idle
/// connections.
#[tokio::test]
async fn stop_finishes_requests_in_progress() {
    let permits = Arc::new(Semaphore::new(0));
    let (handler, mut events) = waiting_handler(&permits);
    let server = HttpServer::bind(local_address(), limits(), handler)
        .await
        .unwrap();
    let address = server.address();
    let unused = ClientConnection::open(address, HANG_TIMEOUT).await.unwrap();
    let busy = tokio::spawn(async move {
        let pool = ClientPool::new(address, PoolLimits::default());
        let request = HttpRequest::new(Method::POST, "/", "body");
        pool.exchange(&request, HANG_TIMEOUT).await
    });
    assert_eq!(events.recv().await, Some("started"));
    let stop = tokio::spawn(server.stop());
    // The port refuses connections before the requests in progress have finished.
    loop {
        match ClientConnection::open(address, HANG_TIMEOUT).await {
            Err(error) => break assert_eq!(error.kind, ErrorKind::NotSent),
            Ok(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
    assert!(!stop.is_finished() && !busy.is_finished());
    permits.add_permits(1);
    assert_eq!(busy.await.unwrap().unwrap().body, "done");
    stop.await.unwrap();
    drop(unused);
}

/// Guards against a server that is shutting down but still accepts connections, because it waits
/// for one of its connections to end. The requests of those connections would fail.
#[tokio::test]
async fn stop_refuses_connections_when_all_are_in_use() {
    let permits = Arc::new(Semaphore::new(0));
    let (handler, mut events) = waiting_handler(&permits);
    let limits = ServerLimits {
        max_connections: 1,
        ..limits()
    };
    let server = HttpServer::bind(local_address(), limits, handler)
        .await
        .unwrap();
    let address = server.address();
    let busy = tokio::spawn(async move {
        let pool = ClientPool::new(address, PoolLimits::default());
        let request = HttpRequest::new(Method::POST, "/", "body");
        pool.exchange(&request, HANG_TIMEOUT).await
    });
    assert_eq!(events.recv().await, Some("started"));
    let stop = tokio::spawn(server.stop());
    while ClientConnection::open(address, HANG_TIMEOUT).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(!busy.is_finished());
    permits.add_permits(1);
    assert_eq!(busy.await.unwrap().unwrap().body, "done");
    stop.await.unwrap();
}

/// Guards against a shutdown that aborts a request whose body is being received (R7).
#[tokio::test]
async fn stop_finishes_requests_being_received() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler())
        .await
        .unwrap();
    let address = server.address();
    let mut stream = TcpStream::connect(address).unwrap();
    stream
        .write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\nabc")
        .unwrap();
    // The server has received the head when it responds to a later request of another connection.
    let pool = ClientPool::new(address, PoolLimits::default());
    for _ in 0..10 {
        let request = HttpRequest::new(Method::GET, "/", "");
        pool.exchange(&request, HANG_TIMEOUT).await.unwrap();
    }
    let stop = tokio::spawn(server.stop());
    while ClientConnection::open(address, HANG_TIMEOUT).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let task = tokio::task::spawn_blocking(move || {
        stream.write_all(b"def").unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    });
    let response = task.await.unwrap();
    assert!(response.ends_with("POST /\nabcdef"), "{response}");
    stop.await.unwrap();
}

/// Guards against a shutdown that never completes because all connections are in use or some are
/// idle.
#[tokio::test]
async fn stop_closes_idle_connections() {
    let limits = ServerLimits {
        max_connections: 1,
        ..limits()
    };
    let server = HttpServer::bind(local_address(), limits, echo_handler())
        .await
        .unwrap();
    let mut connection = ClientConnection::open(server.address(), HANG_TIMEOUT)
        .await
        .unwrap();
    let request = HttpRequest::new(Method::GET, "/", "");
    connection
        .exchange(request, HANG_TIMEOUT, MAX_BODY)
        .await
        .unwrap();
    server.stop().await;
}

/// Guards against work that continues after the client disconnected.
#[tokio::test]
async fn client_disconnect_drops_the_handler_future() {
    let permits = Arc::new(Semaphore::new(0));
    let (handler, mut events) = waiting_handler(&permits);
    let server = HttpServer::bind(local_address(), limits(), handler)
        .await
        .unwrap();
    let address = server.address();
    let client = tokio::spawn(async move {
        let pool = ClientPool::new(address, PoolLimits::default());
        let request = HttpRequest::new(Method::POST, "/", "body");
        pool.exchange(&request, HANG_TIMEOUT).await
    });
    assert_eq!(events.recv().await, Some("started"));
    client.abort();
    assert_eq!(events.recv().await, Some("dropped"));
    server.stop().await;
}

/// Guards against a dropped server that does not release its port.
#[tokio::test]
async fn dropped_server_releases_its_port() {
    let server = HttpServer::bind(local_address(), limits(), echo_handler())
        .await
        .unwrap();
    let address = server.address();
    let error = HttpServer::bind(address, limits(), echo_handler())
        .await
        .unwrap_err();
    assert_eq!((error.kind, error.step), (ErrorKind::Invalid, "bind"));
    drop(server);
    while HttpServer::bind(address, limits(), echo_handler())
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
