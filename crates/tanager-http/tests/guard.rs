//! Requests that need a permission at the moment in which they are written.

mod common;

use std::io::ErrorKind as IoErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::Method;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::UnsentBytes;
use tanager_http::WriteGuard;
use tanager_http::pool::PoolLimits;
use tanager_protocol::error::ErrorKind;

use common::FIRST_RESPONSE;
use common::HANG_TIMEOUT;
use common::SHORT_TIMEOUT;
use common::local_address;
use common::read_request;
use common::serve;

/// What a server saw at the end of a connection.
const EVENT_END_OF_FILE: usize = 1;
const EVENT_RESET: usize = 2;
const EVENT_BYTES: usize = 3;

fn request() -> HttpRequest {
    HttpRequest::new(Method::POST, "/order", "body")
}

fn limits(unsent_bytes: UnsentBytes) -> PoolLimits {
    PoolLimits {
        connect_timeout: HANG_TIMEOUT,
        max_idle: HANG_TIMEOUT,
        unsent_bytes,
        ..PoolLimits::default()
    }
}

/// Guards against a request that is written although its permission has ended, on a new or on an
/// idle connection.
#[tokio::test]
async fn refused_request_reaches_the_server_on_no_connection() {
    let (address, events) = serve(|mut stream, events| {
        while read_request(&mut stream) {
            events.send(EVENT_BYTES).unwrap();
            stream.write_all(FIRST_RESPONSE).unwrap();
        }
    });
    let pool = ClientPool::new(address, limits(UnsentBytes::Deliver));
    let is_permitted = Arc::new(AtomicBool::new(true));
    let shared = Arc::clone(&is_permitted);
    let guard: WriteGuard = Arc::new(move || shared.load(Ordering::SeqCst));
    let request = request();
    let response = pool.exchange_guarded(&request, HANG_TIMEOUT, &guard);
    assert_eq!(response.await.unwrap().body, "first");
    is_permitted.store(false, Ordering::SeqCst);
    let refused = pool.exchange_guarded(&request, HANG_TIMEOUT, &guard);
    assert_eq!(refused.await.unwrap_err().kind, ErrorKind::NotSent);
    // Without a guard, requests are written as before.
    let response = pool.exchange(&request, HANG_TIMEOUT);
    assert_eq!(response.await.unwrap().body, "first");
    assert_eq!(events.try_iter().collect::<Vec<_>>(), [EVENT_BYTES; 2]);
}

/// Guards against a permission that is asked for before the connection is open: connecting can take
/// a second.
#[tokio::test]
async fn permission_is_asked_for_once_the_connection_is_open() {
    let listener = TcpListener::bind(local_address()).unwrap();
    listener.set_nonblocking(true).unwrap();
    let pool = ClientPool::new(listener.local_addr().unwrap(), limits(UnsentBytes::Deliver));
    let is_connected = Arc::new(AtomicBool::new(false));
    let shared = Arc::clone(&is_connected);
    let guard: WriteGuard = Arc::new(move || {
        shared.fetch_or(listener.accept().is_ok(), Ordering::SeqCst);
        false
    });
    let request = request();
    let result = pool.exchange_guarded(&request, HANG_TIMEOUT, &guard);
    assert_eq!(result.await.unwrap_err().kind, ErrorKind::NotSent);
    assert!(is_connected.load(Ordering::SeqCst));
}

/// Guards against an order without a response whose bytes are delivered after it was given up.
#[tokio::test]
async fn abandoned_request_ends_with_a_reset_if_unsent_bytes_are_discarded() {
    let discard = UnsentBytes::Discard {
        limit: HANG_TIMEOUT,
    };
    for (unsent_bytes, expected) in [
        (discard, EVENT_RESET),
        (UnsentBytes::Deliver, EVENT_END_OF_FILE),
    ] {
        let (address, events) = serve(|mut stream, events| {
            read_request(&mut stream);
            let event = match stream.read(&mut [0]) {
                Ok(0) => EVENT_END_OF_FILE,
                Err(error) if error.kind() == IoErrorKind::ConnectionReset => EVENT_RESET,
                _ => EVENT_BYTES,
            };
            events.send(event).unwrap();
        });
        let pool = ClientPool::new(address, limits(unsent_bytes));
        let result = pool.exchange(&request(), SHORT_TIMEOUT).await;
        assert_eq!(result.unwrap_err().kind, ErrorKind::Timeout);
        let event = tokio::task::spawn_blocking(move || events.recv_timeout(HANG_TIMEOUT));
        assert_eq!(event.await.unwrap(), Ok(expected), "{unsent_bytes:?}");
    }
}
