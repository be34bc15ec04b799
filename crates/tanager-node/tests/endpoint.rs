//! Tests of how the endpoint client classifies failures (R3, R4).

mod common;

use std::collections::BTreeSet;
use std::future::pending;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Barrier;

use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::pool::PoolLimits;
use tanager_node::endpoint::CloseSignal;
use tanager_node::endpoint::EndpointClient;
use tanager_node::endpoint::ProbeOutcome;
use tanager_node::endpoint::SendFailureKind;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::Header;

use common::HANG_TIMEOUT;
use common::LOCALHOST;
use common::closed_address;
use common::raw_server;
use common::read_head;
use common::request;

/// Attempts to cancel a request just as its connection closes. Each meets the race with some
/// probability only.
const CLOSE_RACES: usize = 500;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn client() -> EndpointClient {
    EndpointClient::new(PoolLimits::default(), Arc::new(|_, _| {}))
}

async fn send_failure(
    client: &EndpointClient,
    address: SocketAddr,
    timeout: Duration,
) -> SendFailureKind {
    let result = client.send(address, &request("GET", ""), timeout).await;
    result.expect_err("a failure").kind
}

async fn response_body(client: &EndpointClient, address: SocketAddr) -> Vec<u8> {
    let result = client
        .send(address, &request("GET", ""), HANG_TIMEOUT)
        .await;
    result.expect("a response").body
}

/// Starts a server that responds to the first request of the first connection with `first`, then
/// closes that connection if `close` is set. All other responses are 200.
async fn first_response(
    first: &'static str,
    close: bool,
) -> (SocketAddr, Arc<std::sync::atomic::AtomicUsize>) {
    raw_server(move |number, mut stream: TcpStream| async move {
        let mut response = if number == 0 { first } else { OK };
        while !read_head(&mut stream).await.is_empty() {
            let _ = stream.write_all(response.as_bytes()).await;
            if number == 0 && close {
                return;
            }
            response = OK;
        }
    })
    .await
}

macro_rules! failure_cases {
    ($($(#[doc = $guard:literal])+ $case:ident: $response:expr, close $close:expr
        => $reason:ident;)*) => {
        async_cases! {
            $($(#[doc = $guard])+
            $case => {
                let (address, accepted) = first_response($response, $close).await;
                let client = client();
                let kind = send_failure(&client, address, HANG_TIMEOUT).await;
                assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::$reason));
                // The failed connection must not carry another request.
                assert_eq!(response_body(&client, address).await, b"ok");
                assert_eq!(accepted.load(Ordering::SeqCst), 2);
            })*
        }
    };
}

failure_cases! {
    /// Guards against accepting the response to another request (R3).
    response_to_another_request:
        "HTTP/1.1 200 OK\r\ntanager-request-id: request-2\r\ncontent-length: 2\r\n\r\nno",
        close false => BadAnswer;
    /// Guards against accepting a response with two different request ids.
    conflicting_request_ids:
        "HTTP/1.1 200 OK\r\ntanager-request-id: request-1\r\ntanager-request-id: x\r\ncontent-length: 2\r\n\r\nno",
        close false => BadAnswer;
    /// Guards against a truncated body that is passed on as complete.
    truncated_body: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart", close true => BadAnswer;
    /// Guards against a truncated chunked body that is passed on as complete.
    truncated_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n", close true
        => BadAnswer;
    /// Guards against a body that ends with the connection: its end looks like a lost connection.
    body_delimited_by_close: "HTTP/1.1 200 OK\r\n\r\npart", close true => BadAnswer;
    /// Guards against "not run" for a request that was sent.
    closed_without_response: "", close true => ConnectionLost;
    /// Guards against accepting a response that cannot be parsed.
    malformed_response: "HTTP/1.1 abc\r\n\r\n", close false => ConnectionLost;
    /// Guards against a protocol upgrade, after which the connection carries no more HTTP.
    switching_protocols: "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        close false => BadAnswer;
}

async_cases! {
    /// Guards against reporting that a request may have run although its connection was refused.
    refused_connection_is_not_sent => {
        let kind = send_failure(&client(), closed_address().await, HANG_TIMEOUT).await;
        assert_eq!(kind, SendFailureKind::NotSent);
    }

    /// Guards against sending a part of a request that cannot be encoded.
    invalid_header_is_not_sent => {
        let (address, accepted) = first_response(OK, false).await;
        let mut request = request("GET", "");
        request.headers.push(Header { name: "a b".to_owned(), value: Vec::new() });
        let failure = client().send(address, &request, HANG_TIMEOUT).await.unwrap_err();
        assert_eq!(failure.kind, SendFailureKind::NotSent);
        assert_eq!(accepted.load(Ordering::SeqCst), 0);
    }

    /// Guards against sending a request whose send deadline passed while its connection was opened.
    request_past_its_send_deadline_is_not_sent => {
        let (heads, mut received) = tokio::sync::mpsc::unbounded_channel();
        let (address, _) = raw_server(move |_, mut stream| {
            let heads = heads.clone();
            async move {
                let _ = heads.send(read_head(&mut stream).await);
            }
        }).await;
        let send_deadline = Some(std::time::Instant::now());
        let client = client();
        let result = client
            .send_before(address, &request("POST", "k"), HANG_TIMEOUT, (send_deadline, pending()))
            .await;
        assert_eq!(result.unwrap_err().kind, SendFailureKind::NotSent);
        // The connection was opened, and closed without a byte.
        assert_eq!(received.recv().await.as_deref(), Some(""));
    }

    /// Guards against an endpoint that occupies a slot by sending its response byte by byte.
    trickled_response_times_out => {
        let (address, _) = raw_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n").await;
            while stream.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }).await;
        let kind = send_failure(&client(), address, Duration::from_millis(200)).await;
        assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::Timeout));
    }

    /// Guards against a response that arrives after its timeout and is used as the response to the
    /// next request.
    late_response_is_not_matched => {
        let (address, accepted) = raw_server(|number, mut stream| async move {
            while !read_head(&mut stream).await.is_empty() {
                if number == 0 {
                    tokio::time::sleep(Duration::from_millis(400)).await;
                }
                let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }).await;
        let client = client();
        let kind = send_failure(&client, address, Duration::from_millis(100)).await;
        assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::Timeout));
        for _ in 0..3 {
            assert_eq!(response_body(&client, address).await, b"1");
        }
        assert_eq!(accepted.load(Ordering::SeqCst), 2);
    }

    /// Guards against reusing the idle connections to an endpoint after one of them was lost: each
    /// that is lost too gives one more request an unknown outcome.
    lost_connection_closes_idle_connections => {
        let barrier = Arc::new(Barrier::new(3));
        let (address, accepted) = raw_server(move |number, mut stream| {
            let barrier = Arc::clone(&barrier);
            async move {
                read_head(&mut stream).await;
                if number < 3 {
                    barrier.wait().await;
                }
                let _ = stream.write_all(OK.as_bytes()).await;
                // The first three connections are closed without a response to a second request.
                if read_head(&mut stream).await.is_empty() || number < 3 {
                    return;
                }
                let _ = stream.write_all(OK.as_bytes()).await;
            }
        }).await;
        let client = client();
        tokio::join!(
            response_body(&client, address),
            response_body(&client, address),
            response_body(&client, address)
        );
        assert_eq!(accepted.load(Ordering::SeqCst), 3);
        let kind = send_failure(&client, address, HANG_TIMEOUT).await;
        assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::ConnectionLost));
        assert_eq!(response_body(&client, address).await, b"ok");
        assert_eq!(accepted.load(Ordering::SeqCst), 4);
    }

    /// Guards against polling a completed cancellation again, which panics: a request that is
    /// cancelled while its reused connection closes must not be sent on a second one.
    cancelled_request_is_not_sent_again => {
        let (address, accepted) = raw_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let _ = stream.write_all(OK.as_bytes()).await;
            // The connection closes while the client decides to reuse it.
        }).await;
        let client = client();
        for round in 0..CLOSE_RACES {
            assert_eq!(response_body(&client, address).await, b"ok");
            let before = accepted.load(Ordering::SeqCst);
            let result = client
                .send_before(address, &request("GET", ""), HANG_TIMEOUT, (None, ready(())))
                .await;
            assert!(result.is_err(), "round {round}: {result:?}");
            assert_eq!(accepted.load(Ordering::SeqCst), before, "round {round}: a second connection");
        }
    }

    /// Guards against forwarding hop-by-hop headers, and against losing the idempotency key or
    /// repeated headers.
    only_end_to_end_headers_are_forwarded => {
        let received_head = Arc::new(Mutex::new(String::new()));
        let head_writer = Arc::clone(&received_head);
        let (address, _) = raw_server(move |_, mut stream| {
            let head_writer = Arc::clone(&head_writer);
            async move {
                let head = read_head(&mut stream).await;
                *head_writer.lock().unwrap() = head;
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nconnection: x-private\r\nx-private: 1\r\n\
                    keep-alive: timeout=5\r\nset-cookie: a\r\nset-cookie: b\r\ncontent-length: 0\r\n\r\n").await;
                read_head(&mut stream).await;
            }
        }).await;
        let mut request = request("POST", "k1");
        let headers = [("connection", "X-Hop, te"), ("x-hop", "1"), ("te", "trailers"), ("upgrade", "x"),
            ("tanager-request-id", "forged"), ("idempotency-key", "k1"), ("x-kept", "1"), ("x-kept", "2")];
        request.headers = headers
            .map(|(name, value)| Header { name: name.to_owned(), value: value.into() })
            .to_vec();
        let response = client().send(address, &request, HANG_TIMEOUT).await.unwrap();
        let names: Vec<_> = response.headers.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names, ["set-cookie", "set-cookie"]);
        let head = received_head.lock().unwrap().clone();
        let kept = ["idempotency-key: k1", "x-kept: 1", "x-kept: 2", "tanager-request-id: request-1"];
        assert!(kept.iter().all(|line| head.contains(line)), "{head}");
        let removed = ["x-hop", "te:", "upgrade", "forged", "connection"];
        assert!(!removed.iter().any(|text| head.contains(text)), "{head}");
    }

    /// Guards against new requests to an endpoint that announces its shutdown (R6).
    shutdown_is_reported => {
        let response =
            "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
        let (address, _) = first_response(response, false).await;
        let signals = Arc::new(Mutex::new(Vec::new()));
        let listener = Arc::clone(&signals);
        let client = EndpointClient::new(PoolLimits::default(), Arc::new(move |address, signal| {
            listener.lock().unwrap().push((address, signal));
        }));
        let first = client.send(address, &request("GET", ""), HANG_TIMEOUT).await.unwrap();
        assert_eq!((first.status, response_body(&client, address).await), (503, b"ok".to_vec()));
        assert_eq!(*signals.lock().unwrap(), [(address, CloseSignal::Shutdown)]);
    }

    /// Guards against a probe that takes a live endpoint for a dead one, or the reverse.
    probe_outcomes => {
        let responses = [("200 OK", ProbeOutcome::Up), ("404 Not Found", ProbeOutcome::Up),
            ("503 Service Unavailable", ProbeOutcome::ShuttingDown), ("500 Error", ProbeOutcome::Down)];
        for (status, outcome) in responses {
            let (address, _) = raw_server(move |_, mut stream| async move {
                let head = read_head(&mut stream).await;
                assert!(head.starts_with("GET /health "), "{head}");
                let text = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                let _ = stream.write_all(text.as_bytes()).await;
            }).await;
            assert_eq!(client().probe(address, "/health", HANG_TIMEOUT).await, outcome, "{status}");
        }
        let closed = closed_address().await;
        assert_eq!(client().probe(closed, "/health", HANG_TIMEOUT).await, ProbeOutcome::Down);
    }

    /// Guards against memory and connections that are kept for removed VMs.
    connection_pools_of_removed_vms_are_dropped => {
        let (first, _) = first_response(OK, false).await;
        let (second, accepted) = first_response(OK, false).await;
        let client = client();
        response_body(&client, first).await;
        response_body(&client, second).await;
        client.retain(&BTreeSet::from([second]));
        assert_eq!(client.pool_count(), 1);
        response_body(&client, second).await;
        assert_eq!(accepted.load(Ordering::SeqCst), 1);
    }

    /// Guards against bodies that are truncated at the size of a buffer.
    bodies_of_4_mib_are_complete => {
        let echo = Arc::new(|request: tanager_http::HttpRequest| {
            Box::pin(async move { HttpResponse::new(StatusCode::OK, request.body) })
                as tanager_http::server::ResponseFuture
        });
        let server = HttpServer::bind(LOCALHOST, ServerLimits::default(), echo).await.unwrap();
        let mut request = request("PUT", "");
        request.body = (0..4_u32 << 20).map(|byte| (byte % 251) as u8).collect();
        let response = client().send(server.address(), &request, HANG_TIMEOUT).await.unwrap();
        assert!(response.body == request.body, "{} bytes", response.body.len());
    }
}
