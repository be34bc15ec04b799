//! Measures the processor time of an HTTP call on a connection that is kept open, for the server and
//! for the client.
//!
//! Usage: `call_cost`, in release. Each side runs on a thread of its own, so the time of a thread is
//! that of its side.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tanager_http::ClientConnection;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::server::RequestHandler;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

const CONNECTIONS: usize = 16;
const CALLS_PER_CONNECTION: usize = 4_000;
/// Size of a body in bytes: about that of a job or of a worker's report.
const BODY_SIZE: usize = 600;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_BODY: usize = 10_000;

fn main() {
    let (address_sender, address) = mpsc::channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let server = thread::spawn(move || {
        runtime().block_on(async move {
            let handler: RequestHandler = Arc::new(|_| {
                Box::pin(async move { HttpResponse::new(StatusCode::OK, vec![b'x'; BODY_SIZE]) })
            });
            let bind_address = SocketAddr::from(([127, 0, 0, 1], 0));
            let server = HttpServer::bind(bind_address, ServerLimits::default(), handler).await;
            let server = server.expect("the server binds a free port");
            let _ = address_sender.send(server.address());
            let _ = stopped.await;
        });
        processor_time()
    });
    let address = address.recv().expect("the server has started");
    runtime().block_on(async move {
        let clients: Vec<_> = (0..CONNECTIONS)
            .map(|_| tokio::spawn(call_repeatedly(address)))
            .collect();
        for client in clients {
            client.await.expect("a client ends without a panic");
        }
    });
    let client_time = processor_time();
    let _ = stop.send(());
    let server_time = server.join().expect("the server ends without a panic");
    let calls = (CONNECTIONS * CALLS_PER_CONNECTION) as f64;
    println!(
        "server {:.1} us a call, client {:.1} us",
        server_time * 1e6 / calls,
        client_time * 1e6 / calls
    );
}

async fn call_repeatedly(address: SocketAddr) {
    let mut connection = ClientConnection::open(address, CALL_TIMEOUT)
        .await
        .expect("the server accepts connections");
    for _ in 0..CALLS_PER_CONNECTION {
        let request = HttpRequest::new(Method::POST, "/call", vec![b'x'; BODY_SIZE]);
        let result = connection.exchange(request, CALL_TIMEOUT, MAX_BODY).await;
        result.expect("the server answers");
    }
}

fn runtime() -> Runtime {
    (Builder::new_current_thread().enable_all().build()).expect("a runtime can be built")
}

/// Returns the processor time of this thread in seconds.
fn processor_time() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let spent = text
        .split(' ')
        .next()
        .and_then(|word| word.parse::<f64>().ok());
    spent.unwrap_or(f64::NAN) / 1e9
}
