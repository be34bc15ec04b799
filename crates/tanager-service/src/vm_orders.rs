//! Orders to VMs: sends them as the coordinator and logs what each was based on.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use tanager_protocol::error::TanagerResult;
use tanager_site::machines::MachineResponse;

use crate::cell::CellHandle;
use crate::coordinator::MACHINE_TIMEOUT;
use crate::coordinator::may_order;

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
    let machines = context.machines.as_ref()?;
    let now = context.clock.now();
    let evidence = context.ownership_evidence(now);
    if !may_order(cell) {
        context.metrics.vm_orders_withheld.increment();
        log::info!(
            "event=vm_order_withheld vm={vm} order={order} holder={} incarnation={} token={} \
             closed={} heartbeat_age={} owner_read_age={}",
            context.settings.node,
            context.incarnation,
            cell.token,
            cell.is_closed(),
            Age(evidence.heartbeat_age),
            Age(evidence.owner_read_age)
        );
        return None;
    }
    let checked_ms = context.clock.wall_ms();
    let (holder, token) = (&context.settings.node, cell.token);
    let response = match order {
        VmOrder::Move { target } => {
            let call = machines.move_to(vm, target, holder, token, MACHINE_TIMEOUT);
            call.await
        }
        VmOrder::Maintenance { wave } => {
            let call = machines.maintain(vm, wave, holder, token, MACHINE_TIMEOUT);
            call.await
        }
    };
    context.metrics.vm_orders_sent.increment();
    log::info!(
        "event=vm_ordered vm={vm} order={order} holder={holder} incarnation={} token={token} \
         heartbeat_age={} owner_read_age={} checked_ms={checked_ms} answered_ms={} closed={} \
         answer={response:?}",
        context.incarnation,
        Age(evidence.heartbeat_age),
        Age(evidence.owner_read_age),
        context.clock.wall_ms(),
        cell.is_closed()
    );
    Some(response)
}

/// Age of some evidence in the log: seconds, or `none`.
struct Age(Option<Duration>);

impl Display for Age {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => write!(formatter, "{:.3}s", age.as_secs_f64()),
            None => formatter.write_str("none"),
        }
    }
}
