//! Backend of the administration API and the services' parts of the state dump.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use serde_json::json;

use tanager_control::ControlService;
use tanager_kernel::ServiceHooks;
use tanager_kernel::ServiceKernel;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;

use crate::admin::AdminBackend;
use crate::caller::CallerServer;
use crate::claims::ClaimService;
use crate::dispatcher::DispatchService;
use crate::metrics::MetricsPage;
use crate::node::ClaimName;
use crate::node::ControlName;
use crate::node::DispatchName;
use crate::node::handlers::ControlHandle;
use crate::node_metrics;

/// Connects the administration API to the services of the node.
pub(crate) fn admin_backend(
    kernel: &Arc<ServiceKernel>,
    stopping: &Arc<AtomicBool>,
    control: &ControlHandle,
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
            let control = started_control(&propose);
            Box::pin(async move {
                let control = control?;
                control
                    .propose(&proposal.author, proposal.change, proposal.expected_version)
                    .await
            })
        }),
        history: Arc::new(move |limit| {
            let control = started_control(&history);
            Box::pin(async move {
                let control = control?;
                let mut entries = control.history(limit).await?;
                entries.sort_by_key(|entry| std::cmp::Reverse(entry.version));
                Ok(entries)
            })
        }),
        snapshot: Arc::new(move |()| {
            let control = started_control(&snapshot);
            Box::pin(async move {
                let control = control?;
                Ok(control.snapshot())
            })
        }),
        restore: Arc::new(move |state| {
            let control = started_control(&restore);
            Box::pin(async move {
                let control = control?;
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

/// Returns the control service, or an error while the node is starting.
fn started_control(control: &ControlHandle) -> TanagerResult<Arc<ControlService>> {
    control.get().cloned().ok_or_else(|| {
        TanagerError::new(ErrorKind::NotReady, "control", "", "the node is starting")
    })
}

/// Registers the services with their hooks for the stop and the state dump.
pub(crate) fn register_services(
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
