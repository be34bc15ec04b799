//! Orders to VMs: sends them as the coordinator and logs what each was based on.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tanager_http::WriteGuard;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_protocol::error::TanagerResult;
use tanager_site::machines::MachineCaller;
use tanager_site::machines::MachineResponse;

use crate::cell::CellHandle;
use crate::clock::NodeClock;
use crate::order_gate::MACHINE_TIMEOUT;
use crate::order_gate::OrderGate;
use crate::order_gate::extend_lease;

/// What a VM is ordered to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum VmOrder<'a> {
    /// To move to a pool.
    Move { target: &'a str },
    /// Its maintenance in a wave.
    Maintenance { wave: u64 },
}

impl Display for VmOrder<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Move { target } => write!(formatter, "move to={target}"),
            Self::Maintenance { wave } => write!(formatter, "maintenance wave={wave}"),
        }
    }
}

/// Sends an order to a VM; `None` if this node may send no orders.
pub(crate) async fn send_order(
    cell: &CellHandle,
    vm: &str,
    order: VmOrder<'_>,
) -> Option<TanagerResult<MachineResponse>> {
    let context = &cell.context;
    let (machines, gate) = (context.machines.as_ref()?, cell.order_gate.as_ref()?);
    let in_progress = gate.begin_order();
    let remaining = match in_progress {
        Some(_) => extend_lease(cell, gate).await,
        None => Duration::ZERO,
    };
    let (holder, incarnation, token) = (&context.settings.node, context.incarnation, cell.token);
    if remaining.is_zero() {
        context.metrics.vm_orders_withheld.increment();
        log::info!(
            "event=vm_order_withheld vm={vm} order={order} holder={holder} \
             incarnation={incarnation} token={token} lease_age={} closed={} handover={}",
            Age(gate.age()),
            cell.is_closed(),
            in_progress.is_none()
        );
        return None;
    }
    let lease_age = gate.age();
    let checked_ms = context.clock.wall_ms();
    let (guard, sent_ms) = write_guard(gate, context.clock);
    let caller = MachineCaller {
        coordinator: holder,
        token,
        timeout: MACHINE_TIMEOUT.min(remaining),
        guard: &guard,
    };
    let call = async {
        match order {
            VmOrder::Move { target } => machines.move_to(vm, target, &caller).await,
            VmOrder::Maintenance { wave } => machines.maintain(vm, wave, &caller).await,
        }
    };
    let lease_end = context.clock.now() + remaining;
    let response = tokio::select! {
        biased;
        response = call => response,
        () = gate.abandoned(lease_end) => {
            let message = "the lease ended before the response";
            Err(TanagerError::new(ErrorKind::Unknown, "order machine", vm.to_owned(), message))
        }
    };
    let sent_ms = sent_ms.load(Ordering::Relaxed);
    if sent_ms != 0 {
        context.metrics.vm_orders_sent.increment();
    }
    log::info!(
        "event=vm_ordered vm={vm} order={order} holder={holder} incarnation={incarnation} \
         token={token} lease_age={} checked_ms={checked_ms} sent_ms={sent_ms} answered_ms={} closed={} \
         answer={response:?}",
        Age(lease_age),
        context.clock.wall_ms(),
        cell.is_closed()
    );
    Some(response)
}

/// Returns whether this node may send orders to VMs, which is asked before a worker is drained for
/// one: a drain without an order only keeps tasks from a worker.
pub(crate) async fn may_order(cell: &CellHandle) -> bool {
    match &cell.order_gate {
        Some(gate) => !extend_lease(cell, gate).await.is_zero(),
        None => false,
    }
}

/// Returns a guard that permits writes while the lease lasts, and the time of the last write that it
/// permitted, in milliseconds since 1970; 0 before the first.
fn write_guard(gate: &Arc<OrderGate>, clock: NodeClock) -> (WriteGuard, Arc<AtomicU64>) {
    let sent_ms = Arc::new(AtomicU64::new(0));
    let (gate, sent_by_guard) = (Arc::clone(gate), Arc::clone(&sent_ms));
    let guard = move || {
        let may_write = !gate.remaining().is_zero();
        if may_write {
            sent_by_guard.store(clock.wall_ms(), Ordering::Relaxed);
        }
        may_write
    };
    (Arc::new(guard), sent_ms)
}

/// Age of a lease in the log: seconds, or `none`.
struct Age(Option<Duration>);

impl Display for Age {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => write!(formatter, "{:.3}s", age.as_secs_f64()),
            None => formatter.write_str("none"),
        }
    }
}
