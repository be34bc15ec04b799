//! Stand-in of the platform: table service, object store and VM list.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use tanager_platform::ListedState;

use crate::platform_state::PlatformState;
use crate::platform_state::PlatformStats;
use crate::platform_state::ServiceAction;
use crate::port::ConnectionHandler;
use crate::port::WirePort;
use crate::port::wait_for_stop;
use crate::wire::WireConnection;
use crate::wire::WireRequest;
use crate::wire::WireResponse;

/// Options of a [`PlatformStandin`].
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Address of the service; port 0 selects a free port.
    pub address: SocketAddr,
    /// Address of a second listener for faults, statistics and VM states. It stays open while the
    /// service refuses connections.
    pub control: Option<SocketAddr>,
    /// Time after which the VM list shows a change.
    pub list_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: None,
            list_lag: Duration::ZERO,
        }
    }
}

/// Behaviour of the service during an outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// No outage.
    #[default]
    None,
    /// Requests are read, have no effect and get no response.
    Hang,
    /// Connections are refused.
    Refuse,
}

/// Responses to writes that are lost: the write takes effect, then the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum LostResponses {
    /// The responses to this many of the next writes.
    Count(u64),
    /// Each response with this probability.
    Chance {
        /// Probability from 0 to 1.
        probability: f64,
        /// Seed of the random choices.
        seed: u64,
    },
}

/// Faults to set; a field that is `None` keeps its setting.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Delay of each request in milliseconds, half before and half after its effect. A new value
    /// ends the delays in progress.
    pub delay_ms: Option<u64>,
    /// Outage; in JSON also `true` for `"hang"` and `false` for `"none"`.
    #[serde(deserialize_with = "read_outage")]
    pub outage: Option<OutageMode>,
    /// Lost responses; `Count(0)` ends the fault.
    pub lose_answers: Option<LostResponses>,
    /// Whether the VM list is frozen.
    pub freeze_list: Option<bool>,
    /// Time in milliseconds after which the VM list shows a change.
    pub list_lag_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum OutageSetting {
    Flag(bool),
    Mode(OutageMode),
}

fn read_outage<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<OutageMode>, D::Error> {
    let setting = Option::<OutageSetting>::deserialize(deserializer)?;
    Ok(setting.map(|setting| match setting {
        OutageSetting::Flag(true) => OutageMode::Hang,
        OutageSetting::Flag(false) => OutageMode::None,
        OutageSetting::Mode(mode) => mode,
    }))
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VmSetting {
    state: Option<ListedState>,
    control: Option<SocketAddr>,
}

/// A running stand-in of the platform. Dropping it stops the servers.
pub struct PlatformStandin {
    shared: Arc<PlatformShared>,
    service: Arc<WirePort>,
    control: Option<WirePort>,
}

struct PlatformShared {
    state: Mutex<PlatformState>,
    delay_changed: Notify,
}

impl PlatformShared {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_faults(&self, faults: PlatformFaults) {
        self.lock().set_faults(faults, Instant::now());
        if faults.delay_ms.is_some() {
            self.delay_changed.notify_waiters();
        }
    }

    /// Waits for half of the current delay.
    async fn wait_half_delay(&self) {
        let mut changed = std::pin::pin!(self.delay_changed.notified());
        changed.as_mut().enable();
        let delay = self.lock().delay();
        if delay.is_zero() {
            // A sleep of 0 lasts up to 1 ms, the timer's resolution.
            return;
        }
        tokio::select! {
            () = time::sleep(delay / 2) => {}
            () = changed => {}
        }
    }
}

impl PlatformStandin {
    /// Binds the stand-in. Must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound.
    pub fn bind(options: PlatformOptions) -> io::Result<Self> {
        let shared = Arc::new(PlatformShared {
            state: Mutex::new(PlatformState::new(options.list_lag)),
            delay_changed: Notify::new(),
        });
        let service = WirePort::bind(options.address, service_handler(Arc::clone(&shared)))?;
        let service = Arc::new(service);
        let control = options.control.map(|address| {
            let handler = control_handler(Arc::clone(&shared), Arc::downgrade(&service));
            WirePort::bind(address, handler)
        });
        Ok(Self {
            control: control.transpose()?,
            shared,
            service,
        })
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.service.address()
    }

    /// Address of the control listener, if the options have one.
    pub fn control(&self) -> Option<SocketAddr> {
        self.control.as_ref().map(WirePort::address)
    }

    /// Sets faults; returns when they are in effect.
    ///
    /// # Errors
    ///
    /// Returns an error when the port cannot be closed or opened.
    pub async fn set_faults(&self, faults: PlatformFaults) -> io::Result<()> {
        apply_faults(&self.shared, &self.service, faults).await
    }

    /// Sets the actual state of a VM, which the list shows after the lag.
    pub fn set_vm(&self, vm: &str, state: ListedState) {
        self.shared.lock().vms.set_state(vm, state, Instant::now());
    }

    /// Registers the control address of the endpoint stand-in that a reboot of the VM restarts.
    pub fn register_control(&self, vm: &str, control: SocketAddr) {
        self.shared.lock().vms.set_control(vm, control);
    }

    /// Rebooted VMs, in order of their reboots.
    pub fn reboots(&self) -> Vec<String> {
        self.shared.lock().vms.reboots().to_vec()
    }

    /// Request counts since the start.
    pub fn stats(&self) -> PlatformStats {
        self.shared.lock().stats.clone()
    }
}

async fn apply_faults(
    shared: &PlatformShared,
    service: &WirePort,
    faults: PlatformFaults,
) -> io::Result<()> {
    shared.set_faults(faults);
    match faults.outage {
        Some(OutageMode::Refuse) => service.close().await,
        Some(OutageMode::None | OutageMode::Hang) => service.open().await,
        None => Ok(()),
    }
}

fn service_handler(shared: Arc<PlatformShared>) -> ConnectionHandler {
    Arc::new(move |connection, stopped| {
        let shared = Arc::clone(&shared);
        Box::pin(serve_connection(shared, None, connection, stopped))
    })
}

fn control_handler(shared: Arc<PlatformShared>, service: Weak<WirePort>) -> ConnectionHandler {
    Arc::new(move |connection, stopped| {
        let shared = Arc::clone(&shared);
        Box::pin(serve_connection(
            shared,
            Some(service.clone()),
            connection,
            stopped,
        ))
    })
}

/// Serves one connection of the service, or of the control listener when `control` is given.
async fn serve_connection(
    shared: Arc<PlatformShared>,
    control: Option<Weak<WirePort>>,
    mut connection: WireConnection,
    mut stopped: watch::Receiver<bool>,
) {
    loop {
        let request = tokio::select! {
            biased;
            request = connection.read_request() => request,
            () = wait_for_stop(&mut stopped) => return,
        };
        let Ok(Some(request)) = request else { return };
        let response = match handle_admin(&shared, control.as_ref(), &request).await {
            Some(response) => Some(response),
            None if control.is_some() => Some(WireResponse::new(404, "")),
            None if shared.lock().outage() != OutageMode::None => {
                tokio::select! {
                    () = connection.closed() => {}
                    () = wait_for_stop(&mut stopped) => {}
                }
                return;
            }
            // A delayed write takes effect even when the client has disconnected.
            None => handle_service_request(&shared, &request).await,
        };
        let Some(response) = response else { return };
        let encoded = response.encode(true, request.method != "HEAD");
        if connection.write(&encoded).await.is_err() || request.wants_close() {
            return;
        }
    }
}

/// Handles the requests that faults do not affect; `None` for any other request.
async fn handle_admin(
    shared: &PlatformShared,
    control: Option<&Weak<WirePort>>,
    request: &WireRequest,
) -> Option<WireResponse> {
    let segments: Vec<&str> = request.path().split('/').skip(1).collect();
    let response = match (request.method.as_str(), segments.as_slice()) {
        ("GET", ["stats"]) => WireResponse::json(200, &json!(shared.lock().stats)),
        ("POST", ["faults"]) => match serde_json::from_slice(&request.body) {
            Ok(faults) => set_requested_faults(shared, control, faults).await,
            Err(error) => WireResponse::new(400, error.to_string()),
        },
        ("POST", ["vms", vm, "state"]) => {
            let setting = serde_json::from_slice::<VmSetting>(&request.body);
            match (setting, crate::wire::decode_key(vm)) {
                (Ok(setting), Some(vm)) => {
                    let mut state = shared.lock();
                    if let Some(listed) = setting.state {
                        state.vms.set_state(&vm, listed, Instant::now());
                    }
                    if let Some(control) = setting.control {
                        state.vms.set_control(&vm, control);
                    }
                    WireResponse::json(200, &json!({}))
                }
                _ => WireResponse::new(400, "expected {\"state\",\"control\"}"),
            }
        }
        _ => return None,
    };
    Some(response)
}

async fn set_requested_faults(
    shared: &PlatformShared,
    control: Option<&Weak<WirePort>>,
    faults: PlatformFaults,
) -> WireResponse {
    let result = match control.and_then(Weak::upgrade) {
        Some(service) => apply_faults(shared, &service, faults).await,
        None if faults.outage == Some(OutageMode::Refuse) => {
            // Closing the port would wait for this connection to end, and it could not be reopened.
            return WireResponse::new(400, "refuse is set through the control address");
        }
        None => {
            shared.set_faults(faults);
            Ok(())
        }
    };
    match result {
        Ok(()) => WireResponse::json(200, &json!({})),
        Err(error) => WireResponse::new(500, error.to_string()),
    }
}

/// Runs a request of the service with its delay; `None` when the response is lost.
async fn handle_service_request(
    shared: &Arc<PlatformShared>,
    request: &WireRequest,
) -> Option<WireResponse> {
    shared.wait_half_delay().await;
    let action = shared.lock().apply_request(request, Instant::now());
    let response = match action {
        ServiceAction::Respond(response) => Some(response),
        ServiceAction::Disconnect => None,
        ServiceAction::Reboot {
            vm,
            control,
            is_response_lost,
        } => {
            tokio::spawn(restart_endpoint(Arc::clone(shared), vm, control));
            (!is_response_lost).then(|| WireResponse::json(202, &json!({})))
        }
    };
    shared.wait_half_delay().await;
    response
}

/// Restarts the endpoint of a VM; the list shows the VM as leaving until the endpoint is back.
async fn restart_endpoint(shared: Arc<PlatformShared>, vm: String, control: SocketAddr) {
    shared
        .lock()
        .vms
        .set_state(&vm, ListedState::Leaving, Instant::now());
    let pool = tanager_http::ClientPool::new(control, tanager_http::pool::PoolLimits::default());
    let path = format!("/endpoints/{vm}/restart");
    let request = tanager_http::HttpRequest::new(http::Method::POST, path, "{}");
    // After a failed restart the VM stays in the state leaving.
    let restarted = pool.exchange(&request, Duration::from_secs(600)).await;
    if restarted.is_ok_and(|response| response.status.is_success()) {
        shared
            .lock()
            .vms
            .set_state(&vm, ListedState::Live, Instant::now());
    }
}
