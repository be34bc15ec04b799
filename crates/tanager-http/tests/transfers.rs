//! Responses that take longer than the time limit of a small one.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use http::Method;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::TransferLimits;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;

use common::HANG_TIMEOUT;
use common::SHORT_TIMEOUT;
use common::read_request;
use common::serve;

/// Size of the body that the servers announce, in bytes.
const BODY: usize = 300_000;
/// Time limit of the exchanges that must succeed, a third of what the body takes.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between the parts of the body.
const PAUSE: Duration = Duration::from_millis(100);

/// Sends the head of a response with a body of `BODY` bytes.
fn send_head(stream: &mut TcpStream) {
    read_request(stream);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
}

/// Sends parts of the body, each after a pause, until the client has gone or the body is complete.
fn send_parts(stream: &mut TcpStream, part: usize, pause: Duration) {
    let mut sent = 0;
    while sent < BODY {
        thread::sleep(pause);
        let length = part.min(BODY - sent);
        if stream.write_all(&vec![b'x'; length]).is_err() {
            return;
        }
        sent += length;
    }
}

async fn exchange(
    address: SocketAddr,
    timeout: Duration,
    min_rate: Option<u32>,
) -> TanagerResult<usize> {
    let limits = PoolLimits {
        connect_timeout: HANG_TIMEOUT,
        min_rate,
        ..PoolLimits::default()
    };
    let pool = ClientPool::new(address, limits);
    let request = HttpRequest::new(Method::GET, "/", "");
    let response = pool.exchange(&request, timeout).await?;
    Ok(response.body.len())
}

/// Guards against a response that is abandoned while it arrives, because it takes longer than a
/// small one may take.
#[tokio::test]
async fn slow_transfer_is_completed() {
    let (address, _events) = serve(|mut stream, _| {
        send_head(&mut stream);
        send_parts(&mut stream, BODY / 30, PAUSE);
    });
    let result = exchange(address, TIMEOUT, Some(50_000)).await;
    assert_eq!(result, Ok(BODY));
}

/// Guards against a transfer that is waited for without end after its server fell silent.
#[tokio::test]
async fn transfer_that_stops_times_out() {
    let (address, _events) = serve(|mut stream, _| {
        send_head(&mut stream);
        stream.write_all(&vec![b'x'; BODY / 2]).unwrap();
        thread::sleep(HANG_TIMEOUT);
    });
    // At this rate the half that has arrived alone allows for minutes.
    let start = Instant::now();
    let error = exchange(address, SHORT_TIMEOUT, Some(1_000))
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
    assert!(error.message.contains("150000 of 300000 bytes"), "{error}");
    assert!(start.elapsed() < HANG_TIMEOUT / 10);
}

/// Guards against a transfer whose limit begins anew with each byte.
#[tokio::test]
async fn trickled_transfer_times_out() {
    let (address, _events) = serve(|mut stream, _| {
        send_head(&mut stream);
        send_parts(&mut stream, 1, Duration::from_millis(10));
    });
    let error = exchange(address, SHORT_TIMEOUT, Some(10_000))
        .await
        .unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
}

/// Guards against a limit of the whole exchange that large responses exceed without being asked for.
#[tokio::test]
async fn transfer_without_a_rate_is_limited_as_a_whole() {
    let (address, _events) = serve(|mut stream, _| {
        send_head(&mut stream);
        send_parts(&mut stream, BODY / 30, PAUSE);
    });
    let error = exchange(address, TIMEOUT, None).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Timeout);
}

/// Guards against a response that is transferred, perhaps again and again, although it is larger than what
/// the client accepts.
#[tokio::test]
async fn response_above_the_limit_is_not_transferred() {
    let (address, _events) = serve(|mut stream, _| {
        read_request(&mut stream);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", 5 << 20);
        stream.write_all(head.as_bytes()).unwrap();
        thread::sleep(HANG_TIMEOUT);
    });
    let error = exchange(address, TIMEOUT, None).await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::Unknown);
    assert!(error.message.contains("0 of 5242880 bytes"), "{error}");
}

/// Guards against limits that do not follow the size of the transfer, or that outlast a dead server.
#[test]
fn limits_follow_the_bytes_received() {
    let seconds = Duration::from_secs_f64;
    let limits = TransferLimits {
        timeout: seconds(0.8),
        min_rate: Some(100_000),
    };
    let cases = [
        // Nothing has arrived.
        (0, 0.0, 0.8),
        // At 1.25 MB/s the pause is the limit.
        (1_000_000, 0.8, 1.6),
        // 50 KB/s are half of the rate.
        (40_000, 0.8, 1.2),
        (60_000, 1.2, 1.4),
        // At the rate itself both are the same.
        (100_000, 1.0, 1.8),
    ];
    for (received, at, expected) in cases {
        let deadline = limits.deadline(received, seconds(at));
        assert_eq!(deadline, seconds(expected), "{received} bytes after {at} s");
    }
    let whole = TransferLimits::whole(seconds(0.8));
    assert_eq!(whole.deadline(1_000_000, seconds(0.7)), seconds(0.8));
}
