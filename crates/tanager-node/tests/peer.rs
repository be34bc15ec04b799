//! Tests of the calls between nodes.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use tanager_node::peer::ForwardFailure;
use tanager_node::peer::PeerClient;
use tanager_node::peer::PeerHandlers;
use tanager_node::peer::PeerServer;
use tanager_node::peer::convert::outcome_from_reply;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::outcome::EndpointResponse;
use tanager_protocol::outcome::NotRunOutcome;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::outcome::UnknownOutcome;
use tanager_protocol::outcome::UnknownReason;
use tanager_protocol::peer::Answered;
use tanager_protocol::peer::FetchReply;
use tanager_protocol::peer::FetchRequest;
use tanager_protocol::peer::ForwardReply;
use tanager_protocol::peer::ForwardRequest;
use tanager_protocol::peer::Header;
use tanager_protocol::peer::NodeStatus;
use tanager_protocol::peer::NotRun;
use tanager_protocol::peer::forward_reply::Outcome;

use common::HANG_TIMEOUT;
use common::LOCALHOST;
use common::closed_address;
use common::raw_server;
use common::request;
use common::wait_until;

const MAX_BODY: usize = 4 << 20;

/// Returns the outcome that the path of the request selects; by default a response with its body.
fn outcome(request: ForwardRequest) -> RequestOutcome {
    let retry_after = Some(Duration::from_millis(1_500));
    match request.path.as_str() {
        "/full" => RequestOutcome::NotRun(NotRunOutcome {
            reason: NotRunReason::QueueFull,
            message: "full".to_owned(),
            retry_after,
        }),
        "/lost" => RequestOutcome::Unknown(UnknownOutcome {
            reason: UnknownReason::ConnectionLost,
            message: "lost".to_owned(),
            retry_after: None,
        }),
        _ => RequestOutcome::Answered(EndpointResponse {
            status: 207,
            headers: vec![
                ("x-raw".to_owned(), vec![0xff]),
                ("x-raw".to_owned(), vec![]),
            ],
            body: request.body,
        }),
    }
}

fn handlers() -> PeerHandlers {
    PeerHandlers {
        forward: Arc::new(|request| Box::pin(async move { outcome(request) })),
        gossip: Arc::new(|status| {
            let version = status.version + 1;
            Box::pin(async move { NodeStatus { version, ..status } })
        }),
        fetch: Arc::new(|request| {
            let entry = request.after_version.to_string().into_bytes();
            let reply = FetchReply {
                entries: vec![entry],
                ..FetchReply::default()
            };
            Box::pin(async move { reply })
        }),
    }
}

async fn bind(address: SocketAddr) -> PeerServer {
    PeerServer::bind(address, MAX_BODY, handlers())
        .await
        .unwrap()
}

/// Starts a proxy to a server; it accepts its first `stalled` connections but carries no data on
/// them.
async fn stalling_proxy(server: &PeerServer, stalled: usize) -> (SocketAddr, Arc<AtomicUsize>) {
    let address = server.address();
    raw_server(move |number, mut stream| async move {
        if number < stalled {
            let _open = stream;
            return std::future::pending().await;
        }
        let mut upstream = TcpStream::connect(address).await.unwrap();
        let _ = copy_bidirectional(&mut stream, &mut upstream).await;
    })
    .await
}

async fn forward(
    client: &PeerClient,
    address: SocketAddr,
) -> Result<RequestOutcome, ForwardFailure> {
    client
        .forward(address, request("GET", ""), HANG_TIMEOUT)
        .await
}

macro_rules! outcome_cases {
    ($($(#[doc = $guard:literal])+ $case:ident: $path:literal;)*) => {
        async_cases! {
            $($(#[doc = $guard])+
            $case => {
                let server = bind(LOCALHOST).await;
                let mut request = request("POST", "k1");
                request.path = $path.to_owned();
                request.body = vec![0, 255];
                let result = PeerClient::new(MAX_BODY)
                    .forward(server.address(), request.clone(), HANG_TIMEOUT)
                    .await;
                assert_eq!(result, Ok(outcome(request)));
            })*
        }
    };
}

outcome_cases! {
    /// Guards against a changed response of an endpoint.
    answered: "/ok";
    /// Guards against a lost reason or retry time.
    not_run: "/full";
    /// Guards against "not run" for a request that may have run.
    unknown: "/lost";
}

async_cases! {
    /// Guards against a message limit below the largest body and headers, in both directions.
    body_of_4_mib => {
        let server = bind(LOCALHOST).await;
        let mut request = request("PUT", "");
        request.body = (0..4_u32 << 20).map(|byte| (byte % 251) as u8).collect();
        let value = vec![b'h'; 400 << 10];
        request.headers = vec![Header { name: "x-large".to_owned(), value }];
        let result = PeerClient::new(MAX_BODY)
            .forward(server.address(), request.clone(), HANG_TIMEOUT)
            .await;
        assert!(result == Ok(outcome(request)));
    }

    /// Guards against a `max_body` that callers may use but that no node can forward.
    body_above_the_default => {
        let max_body = 8 << 20;
        let server = PeerServer::bind(LOCALHOST, max_body, handlers()).await.unwrap();
        let mut request = request("PUT", "");
        request.body = vec![7; max_body];
        let client = PeerClient::new(max_body);
        let result = client.forward(server.address(), request.clone(), HANG_TIMEOUT).await;
        assert!(result == Ok(outcome(request)));
    }

    /// Guards against gossip and fetch calls that reach the wrong handler.
    gossip_and_fetch => {
        let server = bind(LOCALHOST).await;
        let client = PeerClient::new(MAX_BODY);
        let status = NodeStatus { node: "n1".to_owned(), version: 4, ..NodeStatus::default() };
        let reply = client.gossip(server.address(), status, HANG_TIMEOUT).await.unwrap();
        assert_eq!((reply.node.as_str(), reply.version), ("n1", 5));
        let reply = client
            .fetch(server.address(), FetchRequest { after_version: 9 }, HANG_TIMEOUT)
            .await;
        assert_eq!(reply.unwrap().entries, [b"9"]);
        let status = NodeStatus::default();
        let error = client.gossip(closed_address().await, status, HANG_TIMEOUT).await.unwrap_err();
        assert_eq!((error.kind, error.step), (ErrorKind::NotSent, "gossip"));
    }

    /// Guards against "unknown" for a request that was never sent, which prevents its failover.
    refused_connection_is_not_sent => {
        let result = forward(&PeerClient::new(MAX_BODY), closed_address().await).await;
        assert!(matches!(result, Err(ForwardFailure::NotSent(_))), "{result:?}");
    }

    /// Guards against reusing a connection on which a call timed out.
    stalled_connection_is_replaced_after_a_timeout => {
        let server = bind(LOCALHOST).await;
        let (address, accepted) = stalling_proxy(&server, 1).await;
        let client = PeerClient::new(MAX_BODY);
        let timeout = Duration::from_millis(200);
        let result = client.forward(address, request("GET", ""), timeout).await;
        assert!(matches!(result, Err(ForwardFailure::Unknown(_))), "{result:?}");
        for _ in 0..3 {
            assert!(forward(&client, address).await.is_ok());
        }
        assert_eq!((accepted.load(Ordering::SeqCst), client.opened_connections()), (2, 2));
    }

    /// Guards against calls that wait for their deadline on a stalled connection: the
    /// keepalive must end them.
    keepalive_ends_calls_on_a_stalled_connection => {
        let server = bind(LOCALHOST).await;
        let (address, _) = stalling_proxy(&server, 1).await;
        let client = PeerClient::new(MAX_BODY);
        let Err(ForwardFailure::Unknown(message)) = forward(&client, address).await else {
            panic!("the stalled connection responded");
        };
        assert!(!message.contains("no reply within"), "{message}");
        assert!(forward(&client, address).await.is_ok());
    }

    /// Guards against a peer that stays unreachable after its restart, and against "unknown" for
    /// calls while it is down.
    restarted_peer_is_reachable => {
        let server = bind(LOCALHOST).await;
        let address = server.address();
        let client = PeerClient::new(MAX_BODY);
        assert!(forward(&client, address).await.is_ok());
        server.stop().await;
        let result = forward(&client, address).await;
        assert!(matches!(result, Err(ForwardFailure::NotSent(_))), "{result:?}");
        let _server = bind(address).await;
        assert!(forward(&client, address).await.is_ok());
    }

    /// Guards against a call that fails because its idle connection was closed: it was not sent and
    /// must use a new connection.
    closed_idle_connection_is_replaced => {
        let server = bind(LOCALHOST).await;
        let address = server.address();
        let client = PeerClient::new(MAX_BODY);
        assert!(forward(&client, address).await.is_ok());
        server.stop().await;
        let _server = bind(address).await;
        let result = forward(&client, address).await;
        assert!(result.is_ok(), "{result:?}");
        assert_eq!(client.opened_connections(), 2);
    }

    /// Guards against a call that is reported as not sent, or sent again, although the peer
    /// received it before the connection was closed (R4, R5).
    interrupted_connections => {
        let received_ids: Arc<Mutex<Vec<String>>> = Arc::default();
        let handler_ids = Arc::clone(&received_ids);
        let recording_handlers = PeerHandlers {
            forward: Arc::new(move |request| {
                handler_ids.lock().unwrap().push(request.request_id.clone());
                Box::pin(async move { outcome(request) })
            }),
            ..handlers()
        };
        let server = PeerServer::bind(LOCALHOST, MAX_BODY, recording_handlers).await.unwrap();
        let target = server.address();
        let (address, accepted) = raw_server(move |number, mut stream| async move {
            let mut upstream = TcpStream::connect(target).await.unwrap();
            let lifetime = Duration::from_millis(number as u64 % 7);
            let copy = copy_bidirectional(&mut stream, &mut upstream);
            let _ = tokio::time::timeout(lifetime, copy).await;
        })
        .await;
        let client = Arc::new(PeerClient::new(MAX_BODY));
        let mut results = Vec::new();
        let end = Instant::now() + Duration::from_secs(20);
        // A slow machine makes fewer connections in the same time.
        for round in 0.. {
            let mut calls = tokio::task::JoinSet::new();
            for number in 0..2_000 {
                let client = Arc::clone(&client);
                calls.spawn(async move {
                    tokio::time::sleep(Duration::from_micros(number * 100)).await;
                    let mut request = request("POST", "");
                    request.request_id = format!("{round}-{number}");
                    request.body = vec![1; 2_000];
                    let id = request.request_id.clone();
                    (id, client.forward(address, request, HANG_TIMEOUT).await)
                });
            }
            results.extend(calls.join_all().await);
            if accepted.load(Ordering::SeqCst) > 10 {
                break;
            }
            assert!(Instant::now() < end, "too few connections");
        }
        let received_ids = received_ids.lock().unwrap().clone();
        let unique_ids: BTreeSet<&String> = received_ids.iter().collect();
        assert_eq!(unique_ids.len(), received_ids.len(), "a call was sent twice");
        for (id, result) in &results {
            if matches!(result, Err(ForwardFailure::NotSent(_))) {
                assert!(!unique_ids.contains(id), "{id} was received: {result:?}");
            }
        }
    }

    /// Guards against a stop that interrupts calls in progress (R7).
    stop_waits_for_calls => {
        let (started, resume) = (Arc::new(AtomicBool::new(false)), Arc::new(Notify::new()));
        let (handler_started, handler_resume) = (Arc::clone(&started), Arc::clone(&resume));
        let blocked_handlers = PeerHandlers {
            forward: Arc::new(move |request| {
                handler_started.store(true, Ordering::SeqCst);
                let handler_resume = Arc::clone(&handler_resume);
                Box::pin(async move {
                    handler_resume.notified().await;
                    outcome(request)
                })
            }),
            ..handlers()
        };
        let server = PeerServer::bind(LOCALHOST, MAX_BODY, blocked_handlers).await.unwrap();
        let address = server.address();
        let call = tokio::spawn(async move { forward(&PeerClient::new(MAX_BODY), address).await });
        wait_until(|| started.load(Ordering::SeqCst)).await;
        let stop = tokio::spawn(server.stop());
        // The stop closes the listener first.
        while TcpStream::connect(address).await.is_ok() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        resume.notify_one();
        assert!(call.await.unwrap().is_ok());
        stop.await.unwrap();
    }

    /// Guards against requests that stay queued at the home although their callers disconnected.
    dropped_call_is_cancelled => {
        struct SetOnDrop(Arc<AtomicBool>);
        impl Drop for SetOnDrop {
            fn drop(&mut self) {
                self.0.store(true, Ordering::SeqCst);
            }
        }
        let flags = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
        let [started, dropped] = flags.clone();
        let pending_handlers = PeerHandlers {
            forward: Arc::new(move |_| {
                started.store(true, Ordering::SeqCst);
                let guard = SetOnDrop(Arc::clone(&dropped));
                Box::pin(async move {
                    let _guard = guard;
                    std::future::pending().await
                })
            }),
            ..handlers()
        };
        let server = PeerServer::bind(LOCALHOST, MAX_BODY, pending_handlers).await.unwrap();
        let client = PeerClient::new(MAX_BODY);
        tokio::select! {
            result = forward(&client, server.address()) => panic!("{result:?}"),
            () = wait_until(|| flags[0].load(Ordering::SeqCst)) => {}
        }
        wait_until(|| flags[1].load(Ordering::SeqCst)).await;
    }

    /// Guards against a stream limit that keeps requests at the sender, where the home cannot count
    /// them.
    concurrent_calls_are_not_limited_by_streams => {
        let waiting = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&waiting);
        let pending_handlers = PeerHandlers {
            forward: Arc::new(move |_| {
                count.fetch_add(1, Ordering::SeqCst);
                Box::pin(std::future::pending())
            }),
            ..handlers()
        };
        let server = PeerServer::bind(LOCALHOST, MAX_BODY, pending_handlers).await.unwrap();
        let client = Arc::new(PeerClient::new(MAX_BODY));
        let mut calls = tokio::task::JoinSet::new();
        for _ in 0..1_000 {
            let (client, address) = (Arc::clone(&client), server.address());
            calls.spawn(async move { forward(&client, address).await });
        }
        wait_until(|| waiting.load(Ordering::SeqCst) == 1_000).await;
        assert_eq!(client.opened_connections(), 1);
    }
}

/// Guards against unknown reasons of a newer peer that change the kind of an outcome, and against
/// accepting replies without a valid outcome.
#[test]
fn unknown_reasons_and_invalid_replies() {
    let reply = |outcome| ForwardReply { outcome };
    assert_eq!(outcome_from_reply(reply(None)), None);
    let answered = Answered {
        status: 70_000,
        ..Answered::default()
    };
    assert_eq!(
        outcome_from_reply(reply(Some(Outcome::Answered(answered)))),
        None
    );
    let not_run = NotRun {
        reason: "newer".to_owned(),
        ..NotRun::default()
    };
    let converted = outcome_from_reply(reply(Some(Outcome::NotRun(not_run))));
    assert!(
        matches!(converted, Some(RequestOutcome::NotRun(_))),
        "{converted:?}"
    );
}
