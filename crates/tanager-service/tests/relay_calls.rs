//! Calls to the store that another node relays.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_service::clock::NodeClock;
use tanager_service::peers::PeerClient;
use tanager_service::relay_calls::RelayReply;
use tanager_service::relay_calls::RelayedCall;

const STORE_BODY: &[u8] = br#"{"rows":[],"row_version":7}"#;
/// Size of a large response in bytes.
const LARGE_BODY: usize = 400_000;
/// Time limit of the calls, a third of what the large response takes.
const TIMEOUT: Duration = Duration::from_secs(1);

fn store_call() -> RelayedCall {
    let request = HttpRequest::new(Method::GET, "/rows-feed?table=op&after=6", "");
    RelayedCall::new(request, TIMEOUT)
}

async fn relay(peer: SocketAddr) -> HttpResponse {
    let peers = PeerClient::new(NodeClock::start(), Arc::default());
    let reply = store_call().send(&peers, peer).await;
    match reply.expect("a reply") {
        RelayReply::Response(response) => response,
        RelayReply::Unserved(time) => panic!("not served for {time:?}"),
    }
}

/// Starts a peer that replies to relayed calls as `reply` says.
async fn serve(reply: fn(&HttpRequest) -> HttpResponse) -> HttpServer {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let handler = Arc::new(move |request: HttpRequest| {
        let response = reply(&request);
        let future: tanager_http::server::ResponseFuture = Box::pin(async move { response });
        future
    });
    let server = HttpServer::bind(address, ServerLimits::default(), handler).await;
    server.expect("a server")
}

/// Guards against a reply that is larger than the store's response, which a slow link carries twice.
#[tokio::test]
async fn reply_has_the_size_of_the_stores_response() {
    let server = serve(|request| {
        let call = RelayedCall::decode(&request.body).expect("a call");
        assert_eq!(call.request.path, "/rows-feed?table=op&after=6");
        assert_eq!(call.timeout, TIMEOUT);
        let response = HttpResponse::new(StatusCode::PRECONDITION_FAILED, STORE_BODY);
        let reply = call.encode_reply(response);
        assert_eq!(reply.body.len(), STORE_BODY.len());
        reply
    });
    let response = relay(server.await.address()).await;
    assert_eq!(response.status, StatusCode::PRECONDITION_FAILED);
    assert_eq!(response.body, STORE_BODY);
}

/// Guards against nodes that cannot relay calls for each other while one has a former version.
#[tokio::test]
async fn former_versions_are_understood() {
    let server = serve(|_| {
        let body = r#"{"status":200,"body":"eyJyb3dzIjpbXSwicm93X3ZlcnNpb24iOjd9"}"#;
        HttpResponse::new(StatusCode::OK, body)
    });
    let response = relay(server.await.address()).await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.body, STORE_BODY);
    let former = br#"{"method":"GET","path":"/rows-parts?table=node","body":"","timeout_ms":800}"#;
    let call = RelayedCall::decode(former).expect("a call");
    let reply = call.encode_reply(HttpResponse::new(StatusCode::OK, STORE_BODY));
    assert_eq!(
        reply.body.as_ref(),
        br#"{"status":200,"body":"eyJyb3dzIjpbXSwicm93X3ZlcnNpb24iOjd9"}"#
    );
}

fn send_slowly(mut stream: TcpStream) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request);
    let head =
        format!("HTTP/1.1 200 OK\r\nx-store-status: 200\r\ncontent-length: {LARGE_BODY}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("a head");
    for _ in 0..30 {
        thread::sleep(TIMEOUT / 10);
        if stream.write_all(&[b'x'; LARGE_BODY / 30]).is_err() {
            return;
        }
    }
    let _ = stream.write_all(&[b'x'; LARGE_BODY % 30]);
    let _ = stream.read(&mut request);
}

/// Guards against a reply that is abandoned while it arrives, so that a node without the store reads no
/// large row at all.
#[tokio::test]
async fn large_reply_over_a_slow_link_is_completed() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let peer = listener.local_addr().expect("an address");
    thread::spawn(move || send_slowly(listener.accept().expect("a connection").0));
    let response = relay(peer).await;
    assert_eq!(response.body.len(), LARGE_BODY);
}
