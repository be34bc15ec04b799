//! Guards size limits and lengths on the way from an endpoint to a caller.

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
use tanager_node::peer::PeerClient;
use tanager_node::peer::PeerHandlers;
use tanager_node::peer::PeerServer;
use tanager_protocol::outcome::EndpointAnswer;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::FetchReply;

use common::LOCALHOST;
use common::LONG;
use common::raw_server;
use common::read_head;
use common::request;

const MAX_BODY: usize = 8 << 20;

fn handlers() -> PeerHandlers {
    PeerHandlers {
        forward: Arc::new(|request| {
            Box::pin(async move {
                RequestOutcome::Answered(EndpointAnswer {
                    status: 200,
                    headers: Vec::new(),
                    body: request.body,
                })
            })
        }),
        gossip: Arc::new(|status| Box::pin(async move { status })),
        fetch: Arc::new(|_| Box::pin(async move { FetchReply::default() })),
    }
}

async_cases! {
    /// Guards against a `max_body` that callers may use but that no node can forward.
    body_above_the_default_is_forwarded => {
        let server = PeerServer::bind(LOCALHOST, MAX_BODY, handlers()).await.unwrap();
        let mut request = request("PUT", "");
        request.body = vec![7; MAX_BODY];
        let client = PeerClient::new(MAX_BODY);
        match client.forward(server.address(), request, LONG).await {
            Ok(RequestOutcome::Answered(answer)) => assert_eq!(answer.body.len(), MAX_BODY),
            other => panic!("not answered: {other:?}"),
        }
    }

    /// Guards against a response to HEAD that hides the length of the object, and against one
    /// after which the connection is out of step.
    head_keeps_the_content_length => {
        let (address, _) = raw_server(|_, mut stream| async move {
            while !read_head(&mut stream).await.is_empty() {
                let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 5000000\r\n\r\n";
                let _ = stream.write_all(answer).await;
            }
        }).await;
        let endpoint = Arc::new(EndpointClient::new(PoolLimits::default(), Arc::new(|_| {})));
        let handlers = CallerHandlers {
            submit: Arc::new(move |request| {
                let endpoint = Arc::clone(&endpoint);
                Box::pin(async move {
                    let answer = endpoint.send(address, &request, LONG).await.unwrap();
                    RequestOutcome::Answered(answer)
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
            let response = client.exchange(&request, LONG).await.unwrap();
            assert_eq!(response.header("content-length"), Some("5000000"));
        }
    }
}
