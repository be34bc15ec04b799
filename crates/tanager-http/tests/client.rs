//! Classification of failures by the client. With a wrong error kind, a caller is told that a
//! request did not run although it did (R4), or a request runs twice (R5).

mod common;

use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use http::Method;

use tanager_http::ClientConnection;
use tanager_http::HttpRequest;
use tanager_protocol::error::ErrorKind;

use common::HANG_TIMEOUT;
use common::SHORT_TIMEOUT;
use common::read_request;
use common::serve;
use common::serve_response_bytes;

/// Largest response body that the client accepts in these tests, in bytes.
const MAX_BODY: usize = 1_000;

async fn exchange(
    address: SocketAddr,
    method: Method,
    timeout: Duration,
) -> Result<Vec<u8>, ErrorKind> {
    let mut connection = ClientConnection::open(address, HANG_TIMEOUT).await.unwrap();
    let request = HttpRequest::new(method, "/path?query", "body");
    let result = connection.exchange(request, timeout, MAX_BODY).await;
    if result.is_err() {
        assert!(!connection.is_reusable(HANG_TIMEOUT));
    }
    result
        .map(|response| response.body.to_vec())
        .map_err(|error| error.kind)
}

macro_rules! response_cases {
    ($($case:ident: $method:ident, $response:expr, $end:ident => $expected:expr;)*) => {
        $(
            /// Guards against a wrong error kind for this response, and against a connection that is
            /// reused after a failure.
            #[tokio::test]
            async fn $case() {
                let keep_open = stringify!($end) == "keep_open";
                let expected: Result<&[u8], ErrorKind> = $expected;
                // Only responses that never end may time out.
                let timeout = if expected == Err(ErrorKind::Timeout) { SHORT_TIMEOUT } else { HANG_TIMEOUT };
                let address = serve_response_bytes($response, keep_open);
                let result = exchange(address, Method::$method, timeout).await;
                assert_eq!(result.as_deref().map_err(|kind| *kind), expected);
            }
        )*
    };
}

response_cases! {
    closed_without_response: POST, b"", close => Err(ErrorKind::Unknown);
    stalled_server: POST, b"", keep_open => Err(ErrorKind::Timeout);
    truncated_head: POST, b"HTTP/1.1 200 OK\r\ncontent-le", close => Err(ErrorKind::Unknown);
    stalled_head: POST, b"HTTP/1.1 200 OK\r\ncontent-le", keep_open => Err(ErrorKind::Timeout);
    truncated_body: POST, b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabcde", close => Err(ErrorKind::Unknown);
    stalled_body: POST, b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabcde", keep_open => Err(ErrorKind::Timeout);
    truncated_chunk: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\na\r\nabcde", close => Err(ErrorKind::Unknown);
    missing_last_chunk: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", close => Err(ErrorKind::Unknown);
    stalled_chunk: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n", keep_open => Err(ErrorKind::Timeout);
    body_ended_by_close: POST, b"HTTP/1.1 200 OK\r\n\r\nabc", close => Err(ErrorKind::Unknown);
    empty_body_ended_by_close: POST, b"HTTP/1.1 200 OK\r\n\r\n", close => Err(ErrorKind::Unknown);
    coded_body_ended_by_close: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nabc", close => Err(ErrorKind::Unknown);
    chunked_is_not_the_last_coding: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, gzip\r\n\r\nabc", close => Err(ErrorKind::Unknown);
    body_above_the_limit: POST, &OVERSIZED, close => Err(ErrorKind::Unknown);
    not_http: POST, b"+OK ready\r\n\r\n", close => Err(ErrorKind::Unknown);
    empty_body: POST, b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", keep_open => Ok(b"");
    binary_body: POST, b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n\0\xff\r\n\r\n", keep_open => Ok(b"\0\xff\r\n\r\n");
    chunked_body: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", keep_open => Ok(b"abc");
    empty_chunked_body: POST, b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", keep_open => Ok(b"");
    whole_body_then_close: POST, b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 3\r\n\r\nabc", close => Ok(b"abc");
    no_content: DELETE, b"HTTP/1.1 204 No Content\r\n\r\n", keep_open => Ok(b"");
    not_modified: GET, b"HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n", keep_open => Ok(b"");
    response_to_head: HEAD, b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n", keep_open => Ok(b"");
    informational_response_first: POST, b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc", keep_open => Ok(b"abc");
}

/// A response whose body exceeds [`MAX_BODY`].
static OVERSIZED: [u8; 2_042] = {
    let mut bytes = [b'x'; 2_042];
    let head = b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n";
    let mut index = 0;
    while index < head.len() {
        bytes[index] = head[index];
        index += 1;
    }
    bytes
};

/// Guards against a refused connection that is reported as a request that may have run.
#[tokio::test]
async fn refused_connection_is_not_sent() {
    let address = TcpListener::bind(common::local_address())
        .and_then(|listener| listener.local_addr())
        .unwrap();
    let error = ClientConnection::open(address, HANG_TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!((error.kind, error.step), (ErrorKind::NotSent, "connect"));
    assert_eq!(error.peer, address.to_string());
}

/// Guards against a timeout that restarts with each byte of a slow response.
#[tokio::test]
async fn trickled_response_times_out() {
    let (address, _events) = serve(|mut stream, _| {
        use std::io::Write;
        read_request(&mut stream);
        let head = b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n";
        let mut written = stream.write_all(head);
        while written.is_ok() {
            thread::sleep(Duration::from_millis(10));
            written = stream.write_all(b"x");
        }
    });
    let result = exchange(address, Method::GET, SHORT_TIMEOUT).await;
    assert_eq!(result, Err(ErrorKind::Timeout));
}

/// Guards against an invalid request that is reported as one that may have run.
#[tokio::test]
async fn invalid_request_is_not_sent() {
    let address = serve_response_bytes(b"", true);
    let mut connection = ClientConnection::open(address, HANG_TIMEOUT).await.unwrap();
    let request = HttpRequest::new(Method::GET, "/a b", "");
    let error = connection
        .exchange(request, HANG_TIMEOUT, MAX_BODY)
        .await
        .unwrap_err();
    assert_eq!((error.kind, error.step), (ErrorKind::NotSent, "encode"));
}
