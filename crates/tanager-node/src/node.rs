//! Wiring of the node: opens every service, connects them through the kernel, and stops them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;
use tokio::time;

use tanager_control::ControlBackend;
use tanager_control::ControlService;
use tanager_control::ControlSettings;
use tanager_control::ControlTiming;
use tanager_control::RebalanceSettings;
use tanager_dispatch::DispatchSettings;
use tanager_http::ServerLimits;
use tanager_http::pool::PoolLimits;
use tanager_kernel::ServiceHooks;
use tanager_kernel::ServiceKernel;
use tanager_kernel::ServiceName;
use tanager_platform::PlatformClient;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::fleet::NodeRecord;
use tanager_protocol::ids::PoolId;
use tanager_protocol::peer::FetchRequest;
use tanager_settings::NodeSettings;

use crate::admin::AdminBackend;
use crate::admin::AdminServer;
use crate::admin::AdminSettings;
use crate::caller::CallerHandlers;
use crate::caller::CallerLimits;
use crate::caller::CallerServer;
use crate::claims::ClaimService;
use crate::claims::ClaimSettings;
use crate::claims::HomeCheck;
use crate::dispatcher::DispatchBackend;
use crate::dispatcher::DispatchService;
use crate::endpoint::EndpointClient;
use crate::metrics::MetricsPage;
use crate::node_metrics;
use crate::peer::PeerClient;
use crate::peer::PeerHandlers;
use crate::peer::PeerServer;
use crate::serving::RequestService;
use crate::tickets::TicketLimits;
use crate::tickets::TicketTable;

/// Period at which the pools that this node is home to are determined anew.
const HOME_INTERVAL: Duration = Duration::from_millis(250);
/// Period of checks for open requests during a stop.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for completion records and for leaving the register during a stop. A store outage
/// must not keep a node that has finished its work.
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
    /// Callers.
    pub caller: SocketAddr,
    /// Other nodes.
    pub peer: SocketAddr,
    /// Operators.
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
    views: JoinHandle<()>,
}

/// The control service is created after the listeners, whose ports it announces.
type ControlCell = Arc<OnceLock<Arc<ControlService>>>;

impl NodeHandle {
    /// Starts a node on the current tokio runtime.
    ///
    /// # Errors
    ///
    /// An address that cannot be bound.
    pub async fn spawn(settings: NodeSettings) -> TanagerResult<Self> {
        let kernel = Arc::new(ServiceKernel::new());
        let stopping = Arc::new(AtomicBool::new(false));
        let control_cell: ControlCell = Arc::default();
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
            home_check(&control_cell),
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
            Arc::clone(&control_cell),
            Arc::clone(&dispatch),
            Arc::clone(&peers),
            Arc::clone(&tickets),
            Arc::clone(&claims),
        );
        let peer = PeerServer::bind(
            settings.peer_address,
            settings.max_body,
            peer_handlers(&requests, &control_cell),
        )
        .await?;
        let caller =
            bind_caller(&settings, &requests, &tickets, &control_cell, incarnation).await?;
        let admin_backend = admin_backend(
            &kernel,
            &stopping,
            &control_cell,
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
        // Set only here, so it cannot fail.
        let _ = control_cell.set(Arc::clone(&control));
        register(&kernel, &control, &dispatch, &claims)?;
        let views = tokio::spawn(follow_views(Arc::clone(&control), dispatch, peers));
        Ok(Self {
            addresses,
            settings,
            kernel,
            caller,
            peer,
            admin,
            stopping,
            views,
        })
    }

    /// Bound addresses.
    pub fn addresses(&self) -> NodeAddresses {
        self.addresses
    }

    /// Stops gracefully: not ready, no longer a home, waits for the balancer, finishes every
    /// request, leaves the register.
    pub async fn stop(self) {
        self.stopping.store(true, Ordering::SeqCst);
        let control = self.kernel.find::<ControlName>().ok();
        let dispatch = self.kernel.find::<DispatchName>().ok();
        if let Some(control) = &control {
            control.set_leaving();
        }
        log::info!(
            "stopping: waiting {:?} for the balancer",
            self.settings.stop_delay
        );
        time::sleep(self.settings.stop_delay).await;
        self.caller.stop().await;
        if let Some(dispatch) = &dispatch {
            while dispatch.open_requests() > 0 {
                time::sleep(DRAIN_INTERVAL).await;
            }
        }
        if let Ok(claims) = self.kernel.find::<ClaimName>()
            && time::timeout(STOP_STORE_TIMEOUT, claims.flush())
                .await
                .is_err()
        {
            log::warn!("stopping: completion records could not be written; the store is out");
        }
        if let Some(control) = &control {
            match time::timeout(STOP_STORE_TIMEOUT, control.leave()).await {
                Ok(Ok(())) => log::info!("stopping: left the register"),
                Ok(Err(error)) => log::warn!("stopping: could not leave the register: {error}"),
                Err(_) => log::warn!("stopping: could not leave the register: the store is out"),
            }
        }
        self.peer.stop().await;
        self.views.abort();
        self.kernel.stop().await;
        self.admin.stop().await;
    }
}

fn home_check(control: &ControlCell) -> HomeCheck {
    let control = Arc::clone(control);
    Arc::new(move |name| control.get().is_some_and(|control| control.is_home(name)))
}

fn spawn_dispatch(
    settings: &NodeSettings,
    claims: &Arc<ClaimService>,
) -> TanagerResult<Arc<DispatchService>> {
    let limits = PoolLimits {
        max_body: settings.max_body,
        ..PoolLimits::default()
    };
    let leaving: Arc<OnceLock<Arc<DispatchService>>> = Arc::default();
    let listener = Arc::clone(&leaving);
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
    let _ = leaving.set(Arc::clone(&dispatch));
    Ok(dispatch)
}

fn peer_handlers(requests: &Arc<RequestService>, control: &ControlCell) -> PeerHandlers {
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
                    None => tanager_protocol::peer::NodeStatus::default(),
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

async fn bind_caller(
    settings: &NodeSettings,
    requests: &Arc<RequestService>,
    tickets: &Arc<TicketTable>,
    control: &ControlCell,
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

fn admin_backend(
    kernel: &Arc<ServiceKernel>,
    stopping: &Arc<AtomicBool>,
    control: &ControlCell,
    caller: &CallerServer,
    dispatch: &Arc<DispatchService>,
    claims: &Arc<ClaimService>,
) -> AdminBackend {
    let metrics = Arc::new(MetricsPage::new(node_metrics::sources(
        control,
        &caller.counters(),
        dispatch,
        claims,
    )));
    let kernel = Arc::clone(kernel);
    let stopping = Arc::clone(stopping);
    let state = Arc::clone(control);
    let propose = Arc::clone(control);
    let history = Arc::clone(control);
    let snapshot = Arc::clone(control);
    let restore = Arc::clone(control);
    let ready = Arc::clone(control);
    AdminBackend {
        state: Arc::new(move || {
            state
                .get()
                .map(|control| control.state())
                .unwrap_or_default()
        }),
        propose: Arc::new(move |proposal| {
            let control = propose.get().cloned();
            Box::pin(async move {
                let control = control.ok_or_else(node_metrics::starting)?;
                control
                    .propose(&proposal.author, proposal.change, proposal.expected)
                    .await
            })
        }),
        history: Arc::new(move |limit| {
            let control = history.get().cloned();
            Box::pin(async move {
                let control = control.ok_or_else(node_metrics::starting)?;
                let mut entries = control.history(limit).await?;
                entries.sort_by_key(|entry| std::cmp::Reverse(entry.version));
                Ok(entries)
            })
        }),
        snapshot: Arc::new(move |()| {
            let control = snapshot.get().cloned();
            Box::pin(async move {
                let control = control.ok_or_else(node_metrics::starting)?;
                Ok(control.snapshot())
            })
        }),
        restore: Arc::new(move |state| {
            let control = restore.get().cloned();
            Box::pin(async move {
                let control = control.ok_or_else(node_metrics::starting)?;
                control.restore(state).await.map(|_| ())
            })
        }),
        dump: Arc::new(move || kernel.dump()),
        ready: Arc::new(move || {
            if stopping.load(Ordering::SeqCst) {
                return Err("the node is stopping".to_owned());
            }
            ready
                .get()
                .map_or_else(|| Err("starting".to_owned()), |control| control.ready())
        }),
        metrics: Arc::new(move || metrics.render()),
    }
}

fn control_backend(
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

fn register(
    kernel: &ServiceKernel,
    control: &Arc<ControlService>,
    dispatch: &Arc<DispatchService>,
    claims: &Arc<ClaimService>,
) -> TanagerResult<()> {
    let counters = Arc::clone(claims);
    let claim_hooks = ServiceHooks::dump_only(move || {
        let counters = counters.counters();
        json!({
            "writes": counters.writes,
            "batches": counters.batches,
            "conflicts": counters.conflicts,
            "lost_responses": counters.lost_responses,
            "dropped_records": counters.dropped_records,
            "removed_rows": counters.removed_rows,
        })
    });
    kernel.register::<ClaimName>(Arc::clone(claims), claim_hooks)?;
    let stop = Arc::clone(dispatch);
    let dump = Arc::clone(dispatch);
    let dispatch_hooks = ServiceHooks {
        stop: Box::new(move || Box::pin(async move { stop.stop() })),
        dump: Box::new(move || dump.dump()),
    };
    kernel.register::<DispatchName>(Arc::clone(dispatch), dispatch_hooks)?;
    let dump = Arc::clone(control);
    let control_hooks = ServiceHooks::dump_only(move || dump.dump());
    kernel.register::<ControlName>(Arc::clone(control), control_hooks)
}

/// Passes new fleet states and homes to the dispatch thread.
async fn follow_views(
    control: Arc<ControlService>,
    dispatch: Arc<DispatchService>,
    peers: Arc<PeerClient>,
) {
    let mut views = control.subscribe();
    let mut homes: Option<BTreeSet<PoolId>> = None;
    let mut interval = time::interval(HOME_INTERVAL);
    loop {
        tokio::select! {
            changed = views.changed() => {
                if changed.is_err() {
                    return;
                }
                let state = Arc::clone(&views.borrow_and_update());
                let addresses = state.nodes.values().map(|node| node.peer_address);
                peers.retain(&addresses.collect());
                dispatch.update_view(state);
            }
            _ = interval.tick() => {}
        }
        let state = control.state();
        let pools = state
            .document
            .pools
            .keys()
            .filter(|pool| control.is_home(pool));
        let current: BTreeSet<PoolId> = pools.cloned().collect();
        if homes.as_ref() != Some(&current) {
            dispatch.set_homes(current.clone());
            homes = Some(current);
        }
    }
}
