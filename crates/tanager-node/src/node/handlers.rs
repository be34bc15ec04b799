//! Closures that connect the interfaces of the node to its services.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tanager_control::ControlBackend;
use tanager_control::ControlService;
use tanager_control::ControlTiming;
use tanager_http::ServerLimits;
use tanager_platform::PlatformClient;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::peer::FetchRequest;
use tanager_protocol::peer::NodeStatus;
use tanager_settings::NodeSettings;

use crate::caller::CallerHandlers;
use crate::caller::CallerLimits;
use crate::caller::CallerServer;
use crate::claims::HomeCheck;
use crate::dispatcher::DispatchService;
use crate::peer::PeerClient;
use crate::peer::PeerHandlers;
use crate::request_service::RequestService;
use crate::tickets::TicketTable;

/// Handle of the control service. It is empty until the service is created, after the listeners
/// whose ports the service announces.
pub(crate) type ControlHandle = Arc<OnceLock<Arc<ControlService>>>;

pub(crate) fn home_check(control: &ControlHandle) -> HomeCheck {
    let control = Arc::clone(control);
    Arc::new(move |name| control.get().is_some_and(|control| control.is_home(name)))
}

pub(crate) fn peer_handlers(
    requests: &Arc<RequestService>,
    control: &ControlHandle,
) -> PeerHandlers {
    let forward = Arc::clone(requests);
    let gossip = Arc::clone(control);
    let fetch = Arc::clone(control);
    PeerHandlers {
        forward: Arc::new(move |request| {
            let requests = Arc::clone(&forward);
            Box::pin(async move { requests.handle_local(request).await })
        }),
        gossip: Arc::new(move |status| {
            let control = gossip.get().cloned();
            Box::pin(async move {
                match control {
                    Some(control) => control.receive_status(status),
                    None => NodeStatus::default(),
                }
            })
        }),
        fetch: Arc::new(move |request| {
            let control = fetch.get().cloned();
            Box::pin(async move {
                control
                    .map(|control| control.fetch_reply(request.after_version))
                    .unwrap_or_default()
            })
        }),
    }
}

pub(crate) async fn bind_caller(
    settings: &NodeSettings,
    requests: &Arc<RequestService>,
    tickets: &Arc<TicketTable>,
    control: &ControlHandle,
    incarnation: u64,
) -> TanagerResult<CallerServer> {
    let limits = CallerLimits {
        server: ServerLimits {
            max_body: settings.max_body,
            ..ServerLimits::default()
        },
        default_timeout: settings.default_timeout,
        ..CallerLimits::default()
    };
    let submit = Arc::clone(requests);
    let tickets = Arc::clone(tickets);
    let control = Arc::clone(control);
    let node = settings.name.clone();
    let next_id = AtomicU64::new(0);
    let handlers = CallerHandlers {
        submit: Arc::new(move |request| {
            let requests = Arc::clone(&submit);
            Box::pin(async move { requests.route(request).await })
        }),
        issue_ticket: Arc::new(move || {
            let ready = control.get().is_some_and(|control| control.may_dispatch());
            ready.then(|| tickets.issue())
        }),
        request_id: Arc::new(move || {
            let number = next_id.fetch_add(1, Ordering::Relaxed);
            format!("{node}-{incarnation:016x}-{number}")
        }),
    };
    CallerServer::bind(settings.caller_address, limits, handlers).await
}

pub(crate) fn control_backend(
    platform: &Arc<PlatformClient>,
    dispatch: &Arc<DispatchService>,
    peers: &Arc<PeerClient>,
) -> ControlBackend {
    let peer_timeout = ControlTiming::default().peer_timeout;
    let progress = Arc::clone(dispatch);
    let suspects = Arc::clone(dispatch);
    let usage = Arc::clone(dispatch);
    let fetch = Arc::clone(peers);
    let gossip = Arc::clone(peers);
    ControlBackend {
        platform: Arc::clone(platform),
        progress: Arc::new(move || progress.progress()),
        usage: Arc::new(move || usage.usage()),
        suspects: Arc::new(move || suspects.suspects()),
        fetch: Arc::new(move |address, after_version| {
            let peers = Arc::clone(&fetch);
            Box::pin(async move {
                peers
                    .fetch(address, FetchRequest { after_version }, peer_timeout)
                    .await
            })
        }),
        gossip: Arc::new(move |address, status| {
            let peers = Arc::clone(&gossip);
            Box::pin(async move { peers.gossip(address, status, peer_timeout).await })
        }),
    }
}
