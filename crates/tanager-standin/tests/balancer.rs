//! Tests of the balancer stand-in: only ready nodes receive connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use http::StatusCode;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::pool::PoolLimits;
use tanager_standin::balancer::BalancedNode;
use tanager_standin::balancer::BalancerOptions;
use tanager_standin::balancer::BalancerStandin;

/// Longer than any test runs, so that no result depends on the speed of the machine.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);

async fn start_node(name: &'static str) -> (HttpServer, Arc<AtomicBool>) {
    let ready = Arc::new(AtomicBool::new(true));
    let handler_ready = Arc::clone(&ready);
    let handler = move |request: HttpRequest| {
        let ready = handler_ready.load(Ordering::SeqCst);
        let response = match request.path.as_str() {
            "/ready" if !ready => HttpResponse::new(StatusCode::SERVICE_UNAVAILABLE, ""),
            _ => HttpResponse::new(StatusCode::OK, name),
        };
        Box::pin(async move { response }) as tanager_http::server::ResponseFuture
    };
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = HttpServer::bind(address, ServerLimits::default(), Arc::new(handler));
    (server.await.unwrap(), ready)
}

async fn wait_for_ready_nodes(balancer: &BalancerStandin, count: usize) {
    while balancer.ready_nodes().len() != count {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn contacted_nodes(balancer: &BalancerStandin) -> Vec<String> {
    let mut names = Vec::new();
    for _ in 0..6 {
        let pool = ClientPool::new(balancer.address(), PoolLimits::default());
        let request = HttpRequest::new(Method::GET, "/", "");
        let response = pool.exchange(&request, LONG_TIMEOUT).await.unwrap();
        names.push(String::from_utf8(response.body.to_vec()).unwrap());
    }
    names.sort();
    names.dedup();
    names
}

/// Guards against new connections to a node that is not ready, and against a node that receives
/// none after it became ready again.
#[tokio::test]
async fn only_ready_nodes_get_connections() {
    let (first, first_ready) = start_node("first").await;
    let (second, second_ready) = start_node("second").await;
    let nodes = [first.address(), second.address()].map(|address| BalancedNode {
        caller: address,
        admin: address,
    });
    let balancer = BalancerStandin::bind(BalancerOptions {
        address: SocketAddr::from(([127, 0, 0, 1], 0)),
        nodes: nodes.to_vec(),
        interval: Duration::from_millis(10),
    });
    let balancer = balancer.await.unwrap();
    wait_for_ready_nodes(&balancer, 2).await;
    assert_eq!(contacted_nodes(&balancer).await, ["first", "second"]);
    first_ready.store(false, Ordering::SeqCst);
    wait_for_ready_nodes(&balancer, 1).await;
    assert_eq!(contacted_nodes(&balancer).await, ["second"]);
    second_ready.store(false, Ordering::SeqCst);
    wait_for_ready_nodes(&balancer, 0).await;
    let pool = ClientPool::new(balancer.address(), PoolLimits::default());
    let request = HttpRequest::new(Method::GET, "/", "");
    pool.exchange(&request, LONG_TIMEOUT).await.unwrap_err();
    first_ready.store(true, Ordering::SeqCst);
    wait_for_ready_nodes(&balancer, 1).await;
    assert_eq!(contacted_nodes(&balancer).await, ["first"]);
}
