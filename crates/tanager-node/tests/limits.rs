//! Tests of content lengths on the way from an endpoint to a caller.

mod common;

use std::sync::Arc;

use http::Method;
use tokio::io::AsyncWriteExt;

use tanager_http::ClientPool;
use tanager_http::HttpRequest;
use tanager_http::pool::PoolLimits;
use tanager_node::caller::CallerHandlers;
use tanager_node::caller::CallerLimits;
use tanager_node::caller::CallerServer;
use tanager_node::endpoint::EndpointClient;
use tanager_protocol::outcome::RequestOutcome;

use common::HANG_TIMEOUT;
use common::LOCALHOST;
use common::raw_server;
use common::read_head;

async_cases! {
    /// Guards against a response to HEAD without the length of the object, and against a connection
    /// that waits for a body after such a response.
    head_keeps_the_content_length => {
        let (address, _) = raw_server(|_, mut stream| async move {
            while !read_head(&mut stream).await.is_empty() {
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 5000000\r\n\r\n";
                let _ = stream.write_all(response).await;
            }
        }).await;
        let endpoint = Arc::new(EndpointClient::new(PoolLimits::default(), Arc::new(|_, _| {})));
        let handlers = CallerHandlers {
            submit: Arc::new(move |request| {
                let endpoint = Arc::clone(&endpoint);
                Box::pin(async move {
                    let response = endpoint.send(address, &request, HANG_TIMEOUT).await.unwrap();
                    RequestOutcome::Answered(response)
                })
            }),
            issue_ticket: Arc::new(|| None),
            request_id: Arc::new(|| "request-1".to_owned()),
        };
        let limits = CallerLimits::default();
        let server = CallerServer::bind(LOCALHOST, limits, handlers).await.unwrap();
        let client = ClientPool::new(server.address(), PoolLimits::default());
        for _ in 0..2 {
            let request = HttpRequest::new(Method::HEAD, "/intake/a", "");
            let response = client.exchange(&request, HANG_TIMEOUT).await.unwrap();
            assert_eq!(response.header("content-length"), Some("5000000"));
        }
    }
}
