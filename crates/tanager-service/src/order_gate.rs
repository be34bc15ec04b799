//! Holds the lease for orders to VMs at the coordinator, extends it and abandons orders when it ends.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tanager_protocol::error::TanagerResult;
use tanager_schedule::order_lease::MIN_ORDER_TIME;
use tanager_schedule::order_lease::OrderLease;
use tanager_site::store::ChangeResult;
use tanager_site::store::TableChange;
use tanager_site::store::TableRow;
use tokio::sync::Mutex as AsyncMutex;
use tokio::sync::watch;
use tokio::time;

use crate::cell::CellHandle;
use crate::clock::NodeClock;
use crate::owner_rows::apply_owner_row;
use crate::records::CELL_TABLE;
use crate::records::COORDINATOR_CELL;
use crate::records::OWNER_KEY;
use crate::records::cell_row;

/// Time limit of calls to the machine API.
pub(crate) const MACHINE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit of a read of the owner row, over all attempts and relays.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks of whether the lease has expired under an order in progress.
const EXPIRY_CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Decides whether this node may send orders to VMs under one fencing token.
#[derive(Debug)]
pub(crate) struct OrderGate {
    clock: NodeClock,
    lease: Mutex<OrderLease>,
    /// Time at which the last read of the owner row ended. Locked while the row is read, so that
    /// parallel orders share a read.
    last_read: AsyncMutex<Option<Duration>>,
    /// Set when orders in progress are to be abandoned.
    ended: watch::Sender<bool>,
    orders_in_progress: watch::Sender<usize>,
    /// Set when a handover begins: no order is begun any more.
    paused: AtomicBool,
    /// Time from which no order of the former coordinator can arrive any more.
    opens_at: Duration,
}

/// An order in progress; dropped when it has a response or was abandoned.
pub(crate) struct OrderInProgress(Arc<OrderGate>);

impl OrderGate {
    /// Creates the gate of an ownership that may send its first order at `opens_at`.
    pub(crate) fn new(clock: NodeClock, opens_at: Duration) -> Arc<Self> {
        Arc::new(Self {
            clock,
            lease: Mutex::default(),
            last_read: AsyncMutex::new(None),
            ended: watch::Sender::new(false),
            orders_in_progress: watch::Sender::new(0),
            paused: AtomicBool::new(false),
            opens_at,
        })
    }

    /// Returns the time until the first order may be sent.
    pub(crate) fn time_until_open(&self) -> Duration {
        self.opens_at.saturating_sub(self.clock.now())
    }

    /// Returns the time since the call that confirmed the lease was sent.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.lease().age(self.clock.now())
    }

    /// Returns the time for which orders may still be sent; zero if they may not.
    pub(crate) fn remaining(&self) -> Duration {
        let now = self.clock.now();
        match now >= self.opens_at {
            true => self.lease().remaining(now),
            false => Duration::ZERO,
        }
    }

    /// Ends the lease for good and abandons the orders in progress.
    pub(crate) fn end(&self) {
        self.lease().end();
        self.ended.send_replace(true);
    }

    /// Begins an order, unless the cell is being handed over.
    pub(crate) fn begin_order(self: &Arc<Self>) -> Option<OrderInProgress> {
        self.orders_in_progress.send_modify(|count| *count += 1);
        let order = OrderInProgress(Arc::clone(self));
        (!self.paused.load(Ordering::SeqCst)).then_some(order)
    }

    /// Begins no more orders.
    pub(crate) fn pause(&self) {
        self.paused.store(true, Ordering::SeqCst);
    }

    /// Waits up to `limit` for the orders in progress, of which no more begin, and ends the lease.
    pub(crate) async fn finish(&self, limit: Duration) {
        self.pause();
        let mut in_progress = self.orders_in_progress.subscribe();
        // The orders that are still in progress after the limit are abandoned.
        let _ = time::timeout(limit, in_progress.wait_for(|count| *count == 0)).await;
        self.end();
    }

    /// Completes when an order that was begun with the lease lasting until `lease_end` is to be
    /// abandoned: at that time, or when the lease ends before.
    pub(crate) async fn abandoned(&self, lease_end: Duration) {
        let mut ended = self.ended.subscribe();
        // The clock is asked again and again, because timers stand still while the VM is suspended.
        while self.clock.now() < lease_end {
            let end = ended.wait_for(|ended| *ended);
            if time::timeout(EXPIRY_CHECK_PERIOD, end).await.is_ok() {
                return;
            }
        }
    }

    fn lease(&self) -> MutexGuard<'_, OrderLease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OrderInProgress {
    fn drop(&mut self) {
        self.0.orders_in_progress.send_modify(|count| *count -= 1);
    }
}

/// Extends the lease so that it outlasts an order, by a read of the owner row unless a recent call
/// has confirmed it. Closes the cell if the row has changed. Returns the time for which orders may be
/// sent; zero if they may not, or only for less than [`MIN_ORDER_TIME`].
pub(crate) async fn extend_lease(cell: &CellHandle, gate: &OrderGate) -> Duration {
    let asked_at = gate.clock.now();
    let mut last_read = gate.last_read.lock().await;
    let was_read_meanwhile = last_read.is_some_and(|ended_at| ended_at >= asked_at);
    if !was_read_meanwhile && gate.remaining() < MACHINE_TIMEOUT && !cell.is_closed() {
        confirm_lease(cell, gate).await;
        *last_read = Some(gate.clock.now());
    }
    match gate.remaining() {
        remaining if remaining >= MIN_ORDER_TIME => remaining,
        _ => Duration::ZERO,
    }
}

async fn confirm_lease(cell: &CellHandle, gate: &OrderGate) {
    let sent_at = gate.clock.now();
    let store = &cell.context.store;
    let read = store.rows(CELL_TABLE, COORDINATOR_CELL, None, CONFIRMATION_TIMEOUT);
    match time::timeout(CONFIRMATION_TIMEOUT, read).await {
        Ok(Ok(page)) => match page.rows.iter().find(|row| row.name.key == OWNER_KEY) {
            Some(row) if row.version == cell.token => gate.lease().confirm(sent_at),
            row => close_lost_cell(cell, row),
        },
        Ok(Err(error)) => log::info!("event=order_lease_not_confirmed error={error:?}"),
        Err(_) => log::info!("event=order_lease_not_confirmed error=timeout"),
    }
}

/// Applies a change on the condition that this node is still the coordinator. Extends the lease for
/// orders if it was applied, and closes the cell if the condition did not hold.
///
/// # Errors
///
/// As [`tanager_site::store::TableStore::change`].
pub(crate) async fn change_as_coordinator(
    cell: &CellHandle,
    mut change: TableChange,
) -> TanagerResult<ChangeResult> {
    let owner_row = cell_row(CELL_TABLE, COORDINATOR_CELL, OWNER_KEY);
    change.expect.push((owner_row, cell.token));
    let sent_at = cell.context.clock.now();
    let result = cell.context.store.change(&change, MACHINE_TIMEOUT).await;
    match &result {
        Ok(ChangeResult::Committed(_)) => {
            if let Some(gate) = &cell.order_gate {
                gate.lease().confirm(sent_at);
            }
        }
        Ok(ChangeResult::Conflict(rows)) => {
            let row = rows.iter().find(|row| row.name.key == OWNER_KEY);
            close_lost_cell(cell, row);
        }
        Err(_) => {}
    }
    result
}

/// Closes the coordinator's cell, whose owner row the store holds as `row`.
fn close_lost_cell(cell: &CellHandle, row: Option<&TableRow>) {
    if let Some(row) = row {
        apply_owner_row(&cell.context, &cell.name, &row.value, row.version);
    }
    cell.close("the owner row has changed");
}
