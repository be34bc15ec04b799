//! Reuse of connections: a response is never matched to another request (R3).

mod common;

use std::io::Read;
use std::io::Write;
use std::time::Duration;

use http::Method;

use tanager_http::ClientConnection;
use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;

use common::FIRST_RESPONSE;
use common::HANG_TIMEOUT;
use common::SHORT_TIMEOUT;
use common::STRAY_RESPONSE;
use common::read_request;
use common::serve;

fn request(path: &str) -> HttpRequest {
    HttpRequest::new(Method::POST, path, "body")
}

fn limits() -> PoolLimits {
    PoolLimits {
        connect_timeout: HANG_TIMEOUT,
        max_idle: HANG_TIMEOUT,
        ..PoolLimits::default()
    }
}

/// Guards against matching a second response, received in the same segment, to the next request.
#[tokio::test]
async fn stray_response_with_the_first_is_not_matched() {
    let (address, _events) = serve(|mut stream, _| {
        read_request(&mut stream);
        stream
            .write_all(&[FIRST_RESPONSE, STRAY_RESPONSE].concat())
            .unwrap();
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let mut connection = ClientConnection::open(address, HANG_TIMEOUT).await.unwrap();
    let response = connection
        .exchange(request("/1"), HANG_TIMEOUT, 100)
        .await
        .unwrap();
    assert_eq!(response.body, "first");
    let error = connection
        .exchange(request("/2"), HANG_TIMEOUT, 100)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::NotSent);
}

/// Guards against matching a late second response to the next request. The only thread of the
/// runtime waits in `recv`, so it cannot poll the socket before the next request.
#[tokio::test]
async fn stray_response_on_an_idle_connection_is_not_matched() {
    let (address, events) = serve(|mut stream, events| {
        read_request(&mut stream);
        stream.write_all(FIRST_RESPONSE).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        stream.write_all(STRAY_RESPONSE).unwrap();
        events.send(0).unwrap();
        let _ = stream.read_to_end(&mut Vec::new());
    });
    let mut connection = ClientConnection::open(address, HANG_TIMEOUT).await.unwrap();
    let response = connection
        .exchange(request("/1"), HANG_TIMEOUT, 100)
        .await
        .unwrap();
    assert_eq!(response.body, "first");
    tokio::task::yield_now().await;
    events.recv().unwrap();
    let error = connection
        .exchange(request("/2"), HANG_TIMEOUT, 100)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::NotSent);
}

/// Guards against sending a request on a connection that the server has already closed: its outcome
/// would be unknown, and a non-idempotent request could not be retried.
#[tokio::test]
async fn request_on_a_closed_connection_is_not_sent() {
    let (address, events) = serve(|mut stream, events| {
        read_request(&mut stream);
        stream.write_all(FIRST_RESPONSE).unwrap();
        std::thread::sleep(Duration::from_millis(50));
        drop(stream);
        events.send(0).unwrap();
    });
    let mut connection = ClientConnection::open(address, HANG_TIMEOUT).await.unwrap();
    connection
        .exchange(request("/1"), HANG_TIMEOUT, 100)
        .await
        .unwrap();
    tokio::task::yield_now().await;
    events.recv().unwrap();
    let error = connection
        .exchange(request("/2"), HANG_TIMEOUT, 100)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::NotSent);
}

/// Guards against a pool that fails a request because its idle connection was closed.
#[tokio::test]
async fn pool_replaces_a_closed_connection() {
    let (address, events) = serve(|mut stream, events| {
        if read_request(&mut stream) {
            stream.write_all(FIRST_RESPONSE).unwrap();
            std::thread::sleep(Duration::from_millis(50));
            drop(stream);
            events.send(0).unwrap();
        }
    });
    let pool = ClientPool::new(address, limits());
    for _ in 0..3 {
        let response = pool.exchange(&request("/"), HANG_TIMEOUT).await.unwrap();
        assert_eq!(response.body, "first");
        tokio::task::yield_now().await;
        events.recv().unwrap();
    }
}

/// Responds with the path of the request. The response to `/late` is delayed until the client sends
/// another request on the connection or closes it.
fn echo_path(mut stream: std::net::TcpStream, events: &std::sync::mpsc::Sender<usize>) {
    let mut served = 0;
    loop {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let text = String::from_utf8(head).unwrap();
        let path = text.split(' ').nth(1).unwrap();
        stream.read_exact(&mut [0; 4]).unwrap();
        if path == "/late" {
            let _ = stream.peek(&mut byte);
        }
        served += 1;
        events.send(served).unwrap();
        let response = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Guards against matching a response that arrives after a timeout or a cancellation to the next
/// request.
#[tokio::test]
async fn late_response_is_not_matched() {
    let (address, events) = serve(echo_path);
    let pool = ClientPool::new(address, limits());
    let response = pool.exchange(&request("/1"), HANG_TIMEOUT).await.unwrap();
    assert_eq!(response.body, "/1");
    let error = pool
        .exchange(&request("/late"), SHORT_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    let response = pool.exchange(&request("/2"), HANG_TIMEOUT).await.unwrap();
    assert_eq!(response.body, "/2");
    let late = request("/late");
    let cancelled = tokio::time::timeout(SHORT_TIMEOUT, pool.exchange(&late, HANG_TIMEOUT));
    assert!(cancelled.await.is_err());
    let response = pool.exchange(&request("/3"), HANG_TIMEOUT).await.unwrap();
    assert_eq!(response.body, "/3");
    drop(pool);
    // The first connection served `/1` and `/late`; the request after `/late` used another one.
    assert_eq!(
        events.iter().take(5).filter(|served| *served == 1).count(),
        3
    );
}

/// Guards against a pool that opens a connection for each request or confuses responses.
#[tokio::test]
async fn concurrent_requests_get_their_own_responses() {
    let (address, events) = serve(echo_path);
    let pool = std::sync::Arc::new(ClientPool::new(address, limits()));
    let mut tasks = Vec::new();
    for task in 0..8 {
        let pool = std::sync::Arc::clone(&pool);
        tasks.push(tokio::spawn(async move {
            for number in 0..50 {
                let path = format!("/{task}/{number}");
                let response = pool.exchange(&request(&path), HANG_TIMEOUT).await.unwrap();
                assert_eq!(response.body, path);
            }
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
    let connections = events.try_iter().filter(|served| *served == 1).count();
    assert!(connections <= 8, "{connections} connections for 8 tasks");
}

/// Guards against connections that stay open after their pool was last used: an endpoint accepts
/// only a limited number of connections.
#[tokio::test]
async fn idle_connections_are_closed() {
    let (address, events) = serve(|mut stream, events| {
        while read_request(&mut stream) {
            stream.write_all(FIRST_RESPONSE).unwrap();
        }
        events.send(0).unwrap();
    });
    let limits = PoolLimits {
        max_idle: Duration::from_millis(50),
        ..limits()
    };
    let pool = ClientPool::new(address, limits);
    pool.exchange(&request("/"), HANG_TIMEOUT).await.unwrap();
    let closed = tokio::task::spawn_blocking(move || events.recv());
    closed.await.unwrap().unwrap();
    assert_eq!(pool.address(), address);
}
