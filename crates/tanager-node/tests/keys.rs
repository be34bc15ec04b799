//! Tests that a request never gets the response to another request with the same idempotency key
//! (R3).

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::runtime::Handle;

use tanager_dispatch::DispatchSettings;
use tanager_http::HttpRequest;
use tanager_http::HttpResponse;
use tanager_http::HttpServer;
use tanager_http::ServerLimits;
use tanager_http::pool::PoolLimits;
use tanager_http::server::ResponseFuture;
use tanager_node::claims::ClaimService;
use tanager_node::claims::ClaimSettings;
use tanager_node::claims::KeyHistory;
use tanager_node::claims::fingerprint::RequestFingerprint;
use tanager_node::dispatcher::DispatchBackend;
use tanager_node::dispatcher::DispatchService;
use tanager_node::endpoint::EndpointClient;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::outcome::NotRunReason;
use tanager_protocol::outcome::RequestOutcome;
use tanager_protocol::peer::ForwardRequest;

use common::FakeStore;
use common::LOCALHOST;
use common::platform;
use common::request;
use common::wait_until;

/// An endpoint that responds with the body of the request. POST requests wait while `blocked` is
/// set.
#[derive(Default)]
struct EchoEndpoint {
    received: AtomicUsize,
    blocked: AtomicBool,
}

impl EchoEndpoint {
    async fn bind() -> (Arc<Self>, HttpServer) {
        let endpoint = Arc::new(Self::default());
        let shared = Arc::clone(&endpoint);
        let handler = Arc::new(move |request: HttpRequest| {
            let endpoint = Arc::clone(&shared);
            Box::pin(async move {
                if request.method == http::Method::POST {
                    endpoint.received.fetch_add(1, Ordering::SeqCst);
                    wait_until(|| !endpoint.blocked.load(Ordering::SeqCst)).await;
                }
                HttpResponse::new(StatusCode::OK, request.body)
            }) as ResponseFuture
        });
        let server = HttpServer::bind(LOCALHOST, ServerLimits::default(), handler);
        (endpoint, server.await.unwrap())
    }
}

fn fleet(endpoint: SocketAddr) -> FleetState {
    let vm = json!({"address": endpoint, "pool": "intake", "zone": "z", "rack": "r", "slots": 8});
    let document =
        json!({"site": "test", "pools": {"intake": {}}, "vms": {"vm-1": vm}, "teams": {}});
    let record = VmRecord {
        pool: "intake".to_owned(),
        activity: VmActivity::Active,
        health: VmHealth::Up,
        version: 1,
    };
    FleetState {
        version: 1,
        document: serde_json::from_value(document).unwrap(),
        vms: [("vm-1".to_owned(), record)].into(),
        ..FleetState::default()
    }
}

/// A dispatch service over a store and one endpoint.
struct DispatchFixture {
    dispatch: DispatchService,
    claims: Arc<ClaimService>,
    endpoint: Arc<EchoEndpoint>,
    _servers: [HttpServer; 2],
}

impl DispatchFixture {
    async fn spawn(settings: ClaimSettings) -> Self {
        let (_, store) = FakeStore::bind().await;
        let (endpoint, server) = EchoEndpoint::bind().await;
        let claims = ClaimService::spawn(
            platform(&store),
            ("n1".to_owned(), 7),
            settings,
            Arc::new(|_| false),
        );
        let claims = Arc::new(claims);
        let client = EndpointClient::new(PoolLimits::default(), Arc::new(|_, _| {}));
        let backend = DispatchBackend {
            claims: Arc::clone(&claims),
            endpoint: Arc::new(client),
            runtime: Handle::current(),
        };
        let dispatch = DispatchService::spawn(DispatchSettings::default(), 1, backend).unwrap();
        dispatch.update_fleet_state(Arc::new(fleet(server.address())));
        dispatch.set_home_pools(BTreeSet::from(["intake".to_owned()]));
        Self {
            dispatch,
            claims,
            endpoint,
            _servers: [store, server],
        }
    }
}

fn keyed(body: &str) -> ForwardRequest {
    ForwardRequest {
        body: body.as_bytes().to_vec(),
        ..request("POST", "k1")
    }
}

fn assert_answered(outcome: &RequestOutcome, body: &str) {
    match outcome {
        RequestOutcome::Answered(response) => assert_eq!(response.body, body.as_bytes()),
        other => panic!("not answered: {other:?}"),
    }
}

fn assert_refused(outcome: &RequestOutcome) {
    match outcome {
        RequestOutcome::NotRun(refusal) => assert_eq!(refusal.reason, NotRunReason::BadRequest),
        other => panic!("not refused: {other:?}"),
    }
}

async_cases! {
    /// Guards against a request that gets the response to a different request in progress with the
    /// same key.
    different_request_does_not_join => {
        let fixture = DispatchFixture::spawn(ClaimSettings::default()).await;
        fixture.endpoint.blocked.store(true, Ordering::SeqCst);
        let release = async {
            wait_until(|| fixture.endpoint.received.load(Ordering::SeqCst) == 1).await;
            let release = async { fixture.endpoint.blocked.store(false, Ordering::SeqCst) };
            tokio::join!(fixture.dispatch.submit(keyed("other")), release).0
        };
        let (first, other) = tokio::join!(fixture.dispatch.submit(keyed("first")), release);
        assert_answered(&first, "first");
        assert_refused(&other);
        assert_eq!(fixture.endpoint.received.load(Ordering::SeqCst), 1);
    }

    /// Guards against returning the recorded response to a different request, and against a refusal
    /// that removes the response from its own request.
    recorded_response_belongs_to_its_request => {
        let fixture = DispatchFixture::spawn(ClaimSettings::default()).await;
        assert_answered(&fixture.dispatch.submit(keyed("first")).await, "first");
        fixture.claims.flush().await;
        assert_refused(&fixture.dispatch.submit(keyed("other")).await);
        let patch_request = ForwardRequest { method: "PATCH".to_owned(), ..keyed("first") };
        assert_refused(&fixture.dispatch.submit(patch_request).await);
        assert_answered(&fixture.dispatch.submit(keyed("first")).await, "first");
        assert_eq!(fixture.endpoint.received.load(Ordering::SeqCst), 1);
    }

    /// Guards against sending a request long after its grant, for instance after a pause of the
    /// process: its claim may have been removed and its key used again.
    request_with_an_expired_grant_is_not_sent => {
        let settings = ClaimSettings { send_within: Duration::ZERO, ..ClaimSettings::default() };
        let fixture = DispatchFixture::spawn(settings).await;
        match fixture.dispatch.submit(keyed("first")).await {
            RequestOutcome::NotRun(refusal) => assert!(refusal.retry_after.is_some()),
            other => panic!("not refused: {other:?}"),
        }
        assert_eq!(fixture.endpoint.received.load(Ordering::SeqCst), 0);
        fixture.claims.flush().await;
        // The claim was released, so another request may use the key.
        let other = RequestFingerprint::new(&keyed("other"));
        let history = fixture.claims.history("intake", "k1", &other).await;
        assert_eq!(history, KeyHistory::Absent);
    }
}
