//! Assembly of a node: starts the services, registers them in the kernel, and stops them.

mod administration;
mod fleet_updates;
mod handlers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time;

use tanager_control::ControlService;
use tanager_control::ControlSettings;
use tanager_control::ControlTiming;
use tanager_control::RebalanceSettings;
use tanager_dispatch::DispatchSettings;
use tanager_http::pool::PoolLimits;
use tanager_kernel::ServiceKernel;
use tanager_kernel::ServiceName;
use tanager_platform::PlatformClient;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::NodeRecord;
use tanager_settings::NodeSettings;

use crate::admin::AdminServer;
use crate::admin::AdminSettings;
use crate::caller::CallerServer;
use crate::claims::ClaimService;
use crate::claims::ClaimSettings;
use crate::dispatcher::DispatchBackend;
use crate::dispatcher::DispatchService;
use crate::endpoint::EndpointClient;
use crate::node::administration::admin_backend;
use crate::node::administration::register_services;
use crate::node::fleet_updates::forward_fleet_updates;
use crate::node::handlers::ControlHandle;
use crate::node::handlers::bind_caller;
use crate::node::handlers::control_backend;
use crate::node::handlers::home_check;
use crate::node::handlers::peer_handlers;
use crate::peer::PeerClient;
use crate::peer::PeerServer;
use crate::request_service::RequestService;
use crate::tickets::TicketLimits;
use crate::tickets::TicketTable;

/// Interval between checks for open requests during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait during a stop for writing the completion records, and for leaving the node
/// register. An outage of the store must not block the stop of a node that has finished its
/// requests.
const STOP_STORE_TIMEOUT: Duration = Duration::from_secs(10);

/// Name of the control service.
pub struct ControlName;

impl ServiceName for ControlName {
    type Handle = ControlService;
    const NAME: &'static str = "control";
}

/// Name of the dispatch service.
pub struct DispatchName;

impl ServiceName for DispatchName {
    type Handle = DispatchService;
    const NAME: &'static str = "dispatch";
}

/// Name of the claim service.
pub struct ClaimName;

impl ServiceName for ClaimName {
    type Handle = ClaimService;
    const NAME: &'static str = "claims";
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NodeAddresses {
    /// Address of the caller interface.
    pub caller: SocketAddr,
    /// Address of the peer interface.
    pub peer: SocketAddr,
    /// Address of the administration API.
    pub admin: SocketAddr,
}

/// A running node.
pub struct NodeHandle {
    addresses: NodeAddresses,
    settings: NodeSettings,
    kernel: Arc<ServiceKernel>,
    caller: CallerServer,
    peer: PeerServer,
    admin: AdminServer,
    stopping: Arc<AtomicBool>,
    fleet_updates: JoinHandle<()>,
}

impl NodeHandle {
    /// Starts a node on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// `Invalid` if an address cannot be bound, `Internal` if the dispatch thread cannot be
    /// started.
    pub async fn spawn(settings: NodeSettings) -> TanagerResult<Self> {
        let kernel = Arc::new(ServiceKernel::new());
        let stopping = Arc::new(AtomicBool::new(false));
        let control_handle: ControlHandle = Arc::default();
        let incarnation: u64 = rand::random();
        let platform = Arc::new(PlatformClient::new(
            settings.platform_address,
            settings.platform_timeout,
        ));
        let claims = Arc::new(ClaimService::spawn(
            Arc::clone(&platform),
            (settings.name.clone(), incarnation),
            ClaimSettings {
                retention: settings.claim_retention,
                ..ClaimSettings::default()
            },
            home_check(&control_handle),
        ));
        let dispatch = spawn_dispatch(&settings, &claims)?;
        let peers = Arc::new(PeerClient::new(settings.max_body));
        let tickets = Arc::new(TicketTable::new(
            settings.name.clone(),
            incarnation,
            TicketLimits::default(),
        ));
        let requests = RequestService::new(
            settings.name.clone(),
            Arc::clone(&control_handle),
            Arc::clone(&dispatch),
            Arc::clone(&peers),
            Arc::clone(&tickets),
            Arc::clone(&claims),
        );
        let peer = PeerServer::bind(
            settings.peer_address,
            settings.max_body,
            peer_handlers(&requests, &control_handle),
        )
        .await?;
        let caller =
            bind_caller(&settings, &requests, &tickets, &control_handle, incarnation).await?;
        let admin_backend = admin_backend(
            &kernel,
            &stopping,
            &control_handle,
            &caller,
            &dispatch,
            &claims,
        );
        let admin_settings = AdminSettings {
            root_token: settings.root_token.clone(),
        };
        let admin =
            AdminServer::bind(settings.admin_address, admin_settings, admin_backend).await?;
        let addresses = NodeAddresses {
            caller: caller.address(),
            peer: peer.address(),
            admin: admin.address(),
        };
        let record = NodeRecord {
            incarnation,
            zone: settings.zone.clone(),
            caller_address: addresses.caller,
            peer_address: addresses.peer,
            admin_address: addresses.admin,
            since: 0,
        };
        let control_settings = ControlSettings {
            node: settings.name.clone(),
            record,
            seeds: settings.seeds.clone(),
            rebalance: RebalanceSettings {
                enabled: settings.rebalance,
                move_cost: settings.move_cost,
            },
            timing: ControlTiming::default(),
        };
        let backend = control_backend(&platform, &dispatch, &peers);
        let control = Arc::new(ControlService::spawn(control_settings, backend));
        // Cannot fail, because it is set only here.
        let _ = control_handle.set(Arc::clone(&control));
        register_services(&kernel, &control, &dispatch, &claims)?;
        let fleet_updates =
            tokio::spawn(forward_fleet_updates(Arc::clone(&control), dispatch, peers));
        Ok(Self {
            addresses,
            settings,
            kernel,
            caller,
            peer,
            admin,
            stopping,
            fleet_updates,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Stops gracefully: the node reports that it is not ready and no longer a home, waits for the
    /// load balancer, finishes all requests and leaves the node register.
    pub async fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        let control = self.kernel.find::<ControlName>().ok();
        let dispatch = self.kernel.find::<DispatchName>().ok();
        if let Some(control) = &control {
            control.set_leaving();
        }
        log::info!(
            "stopping: waiting {:?} for the load balancer",
            self.settings.stop_delay
        );
        time::sleep(self.settings.stop_delay).await;
        self.caller.stop().await;
        // Peers that do not know of the stop yet may still forward requests; when their connections
        // are refused, they try the next home. Accepted requests are finished before the node
        // leaves the register, because VM moves do not wait for it afterwards.
        self.peer.stop().await;
        if let Some(dispatch) = &dispatch {
            while dispatch.open_requests() > 0 {
                time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        }
        if let Ok(claims) = self.kernel.find::<ClaimName>()
            && time::timeout(STOP_STORE_TIMEOUT, claims.flush())
                .await
                .is_err()
        {
            log::warn!("stopping: completion records could not be written: store unavailable");
        }
        if let Some(control) = &control {
            match time::timeout(STOP_STORE_TIMEOUT, control.leave()).await {
                Ok(Ok(())) => log::info!("stopping: left the register"),
                Ok(Err(error)) => log::warn!("stopping: could not leave the register: {error}"),
                Err(_) => log::warn!("stopping: could not leave the register: store unavailable"),
            }
        }
        self.fleet_updates.abort();
        self.kernel.stop().await;
        self.admin.stop().await;
    }
}

fn spawn_dispatch(
    settings: &NodeSettings,
    claims: &Arc<ClaimService>,
) -> TanagerResult<Arc<DispatchService>> {
    let limits = PoolLimits {
        max_body: settings.max_body,
        ..PoolLimits::default()
    };
    let dispatch_handle: Arc<OnceLock<Arc<DispatchService>>> = Arc::default();
    let listener = Arc::clone(&dispatch_handle);
    let endpoint = EndpointClient::new(
        limits,
        Arc::new(move |address, signal| {
            if let Some(dispatch) = listener.get() {
                dispatch.report_close(address, signal);
            }
        }),
    );
    let backend = DispatchBackend {
        claims: Arc::clone(claims),
        endpoint: Arc::new(endpoint),
        runtime: Handle::current(),
    };
    let dispatch_settings = DispatchSettings {
        probe_interval: settings.probe_interval,
        ..DispatchSettings::default()
    };
    let dispatch = Arc::new(DispatchService::spawn(
        dispatch_settings,
        rand::random(),
        backend,
    )?);
    let _ = dispatch_handle.set(Arc::clone(&dispatch));
    Ok(dispatch)
}
