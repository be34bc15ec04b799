//! Guards the classification of endpoint failures (R3, R4).

mod common;

use std::collections::BTreeSet;
use std::future::pending;
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

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn client() -> EndpointClient {
    EndpointClient::new(PoolLimits::default(), Arc::new(|_, _| {}))
}

async fn failure(
    client: &EndpointClient,
    address: SocketAddr,
    timeout: Duration,
) -> SendFailureKind {
    let result = client.send(address, &request("GET", ""), timeout).await;
    result.expect_err("a failure").kind
}

async fn body(client: &EndpointClient, address: SocketAddr) -> Vec<u8> {
    let result = client
        .send(address, &request("GET", ""), HANG_TIMEOUT)
        .await;
    result.expect("an answer").body
}

/// Answers the first connection's first request with `first`, and all else with 200.
async fn first_answer(
    first: &'static str,
    close: bool,
) -> (SocketAddr, Arc<std::sync::atomic::AtomicUsize>) {
    raw_server(move |number, mut stream: TcpStream| async move {
        let mut answer = if number == 0 { first } else { OK };
        while !read_head(&mut stream).await.is_empty() {
            let _ = stream.write_all(answer.as_bytes()).await;
            if number == 0 && close {
                return;
            }
            answer = OK;
        }
    })
    .await
}

macro_rules! failure_cases {
    ($($(#[doc = $guard:literal])+ $case:ident: $answer:expr, close $close:expr => $reason:ident;)*) => {
        async_cases! {
            $($(#[doc = $guard])+
            $case => {
                let (address, accepted) = first_answer($answer, $close).await;
                let client = client();
                let kind = failure(&client, address, HANG_TIMEOUT).await;
                assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::$reason));
                // The failed connection must not carry another request.
                assert_eq!(body(&client, address).await, b"ok");
                assert_eq!(accepted.load(Ordering::SeqCst), 2);
            })*
        }
    };
}

failure_cases! {
    /// Guards against the response to another request (R3).
    crossed: "HTTP/1.1 200 OK\r\ntanager-request-id: request-2\r\ncontent-length: 2\r\n\r\nno", close false
        => BadAnswer;
    /// Guards against a second id that contradicts the first.
    two_ids: "HTTP/1.1 200 OK\r\ntanager-request-id: request-1\r\ntanager-request-id: x\r\ncontent-length: 2\r\n\r\nno",
        close false => BadAnswer;
    /// Guards against a part of a response that is passed on as complete.
    truncated: "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart", close true => BadAnswer;
    /// Guards against a truncated chunked body.
    truncated_chunks: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n", close true
        => BadAnswer;
    /// Guards against a body whose end cannot be told from a lost connection.
    delimited_by_close: "HTTP/1.1 200 OK\r\n\r\npart", close true => BadAnswer;
    /// Guards against "not run" for a request that was sent.
    closed_without_answer: "", close true => ConnectionLost;
    /// Guards against a response that cannot be parsed.
    malformed: "HTTP/1.1 abc\r\n\r\n", close false => ConnectionLost;
    /// Guards against a change of protocol that would leave the connection with the endpoint.
    switching_protocols: "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        close false => BadAnswer;
}

async_cases! {
    /// Guards against a refused connection that is reported as a request that may have run.
    refused_connection_is_not_sent => {
        let kind = failure(&client(), closed_address().await, HANG_TIMEOUT).await;
        assert_eq!(kind, SendFailureKind::NotSent);
    }

    /// Guards against a request that cannot be encoded, and against its partial sending.
    invalid_header_is_not_sent => {
        let (address, accepted) = first_answer(OK, false).await;
        let mut request = request("GET", "");
        request.headers.push(Header { name: "a b".to_owned(), value: Vec::new() });
        let failure = client().send(address, &request, HANG_TIMEOUT).await.unwrap_err();
        assert_eq!(failure.kind, SendFailureKind::NotSent);
        assert_eq!(accepted.load(Ordering::SeqCst), 0);
    }

    /// Guards against sending a request whose time to send passed while its connection was opened.
    passed_latest_time_is_not_sent => {
        let (heads, mut received) = tokio::sync::mpsc::unbounded_channel();
        let (address, _) = raw_server(move |_, mut stream| {
            let heads = heads.clone();
            async move {
                let _ = heads.send(read_head(&mut stream).await);
            }
        }).await;
        let latest = Some(std::time::Instant::now());
        let client = client();
        let result = client.send_before(address, &request("POST", "k"), HANG_TIMEOUT, (latest, pending())).await;
        assert_eq!(result.unwrap_err().kind, SendFailureKind::NotSent);
        // The connection was opened, and closed without a byte.
        assert_eq!(received.recv().await.as_deref(), Some(""));
    }

    /// Guards against an endpoint that holds a slot by sending its response byte by byte.
    trickled_answer_times_out => {
        let (address, _) = raw_server(|_, mut stream| async move {
            read_head(&mut stream).await;
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n").await;
            while stream.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }).await;
        let kind = failure(&client(), address, Duration::from_millis(200)).await;
        assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::Timeout));
    }

    /// Guards against a response that arrives after its timeout and is taken for the response to
    /// the next request.
    late_answer_is_not_matched => {
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
        let kind = failure(&client, address, Duration::from_millis(100)).await;
        assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::Timeout));
        for _ in 0..3 {
            assert_eq!(body(&client, address).await, b"1");
        }
        assert_eq!(accepted.load(Ordering::SeqCst), 2);
    }

    /// Guards against the reuse of connections on a path that was just lost: each would cost one
    /// more request an unknown outcome.
    lost_connection_closes_the_idle_ones => {
        let barrier = Arc::new(Barrier::new(3));
        let (address, accepted) = raw_server(move |number, mut stream| {
            let barrier = Arc::clone(&barrier);
            async move {
                read_head(&mut stream).await;
                if number < 3 {
                    barrier.wait().await;
                }
                let _ = stream.write_all(OK.as_bytes()).await;
                // The second request on one of the first connections loses its connection.
                if read_head(&mut stream).await.is_empty() || number < 3 {
                    return;
                }
                let _ = stream.write_all(OK.as_bytes()).await;
            }
        }).await;
        let client = client();
        tokio::join!(body(&client, address), body(&client, address), body(&client, address));
        assert_eq!(accepted.load(Ordering::SeqCst), 3);
        let kind = failure(&client, address, HANG_TIMEOUT).await;
        assert_eq!(kind, SendFailureKind::Unknown(UnknownReason::ConnectionLost));
        assert_eq!(body(&client, address).await, b"ok");
        assert_eq!(accepted.load(Ordering::SeqCst), 4);
    }

    /// Guards against headers of one connection that reach the other side, and against the loss
    /// of the key or of repeated headers.
    headers_are_end_to_end => {
        let heads = Arc::new(Mutex::new(String::new()));
        let seen = Arc::clone(&heads);
        let (address, _) = raw_server(move |_, mut stream| {
            let seen = Arc::clone(&seen);
            async move {
                let head = read_head(&mut stream).await;
                *seen.lock().unwrap() = head;
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
        let answer = client().send(address, &request, HANG_TIMEOUT).await.unwrap();
        let names: Vec<_> = answer.headers.iter().map(|(name, _)| name.as_str()).collect();
        assert_eq!(names, ["set-cookie", "set-cookie"]);
        let head = heads.lock().unwrap().clone();
        let kept = ["idempotency-key: k1", "x-kept: 1", "x-kept: 2", "tanager-request-id: request-1"];
        assert!(kept.iter().all(|line| head.contains(line)), "{head}");
        let removed = ["x-hop", "te:", "upgrade", "forged", "connection"];
        assert!(!removed.iter().any(|text| head.contains(text)), "{head}");
    }

    /// Guards against new work for an endpoint that says it is leaving (R6).
    leaving_is_reported => {
        let answer = "HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
        let (address, _) = first_answer(answer, false).await;
        let leaving = Arc::new(Mutex::new(Vec::new()));
        let listener = Arc::clone(&leaving);
        let client = EndpointClient::new(PoolLimits::default(), Arc::new(move |address, signal| {
            listener.lock().unwrap().push((address, signal));
        }));
        let first = client.send(address, &request("GET", ""), HANG_TIMEOUT).await.unwrap();
        assert_eq!((first.status, body(&client, address).await), (503, b"ok".to_vec()));
        assert_eq!(*leaving.lock().unwrap(), [(address, CloseSignal::Shutdown)]);
    }

    /// Guards against wrong probe results.
    probe_outcomes => {
        let answers = [("200 OK", ProbeOutcome::Up), ("404 Not Found", ProbeOutcome::Up),
            ("503 Service Unavailable", ProbeOutcome::ShuttingDown), ("500 Error", ProbeOutcome::Down)];
        for (status, outcome) in answers {
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

    /// Guards against memory and connections kept for VMs that were replaced.
    pools_of_gone_vms_are_forgotten => {
        let (first, _) = first_answer(OK, false).await;
        let (second, accepted) = first_answer(OK, false).await;
        let client = client();
        body(&client, first).await;
        body(&client, second).await;
        client.retain(&BTreeSet::from([second]));
        assert_eq!(client.pool_count(), 1);
        body(&client, second).await;
        assert_eq!(accepted.load(Ordering::SeqCst), 1);
    }

    /// Guards against bodies that are cut at a buffer size.
    bodies_of_4_mib => {
        let echo = Arc::new(|request: tanager_http::HttpRequest| {
            Box::pin(async move { HttpResponse::new(StatusCode::OK, request.body) })
                as tanager_http::server::ResponseFuture
        });
        let server = HttpServer::bind(LOCALHOST, ServerLimits::default(), echo).await.unwrap();
        let mut request = request("PUT", "");
        request.body = (0..4_u32 << 20).map(|byte| (byte % 251) as u8).collect();
        let answer = client().send(server.address(), &request, HANG_TIMEOUT).await.unwrap();
        assert!(answer.body == request.body, "{} bytes", answer.body.len());
    }
}
