//! The steps of an order to a VM at the coordinator, and its way to the platform.

use std::time::Duration;

use rand::RngExt;
use tanager_schedule::order_lease::ORDER_LEASE;

use super::faults::OrderRule;
use super::node::Purpose;
use super::store::Process;
use super::store::Request;
use super::world::Action;
use super::world::Event;
use super::world::ORDER_INTERVAL;
use super::world::World;

/// Maximum time for an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time limit of a read of the owner row.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);
/// Age of the last confirmed heartbeat up to which the rule before permits orders.
const HEARTBEAT_LIMIT: Duration = Duration::from_millis(1_500);
/// Longest time in the network, in seconds, on a link that is not cut.
const MAX_TRANSIT: f64 = 0.15;

#[derive(Debug)]
pub(crate) struct Order {
    pub(crate) vm: usize,
    pub(crate) holder: Process,
    pub(crate) token: u64,
    /// Whether its connection has not been closed.
    pub(crate) is_open: bool,
    is_in_progress: bool,
    /// Whether its bytes wait behind a cut link.
    is_held: bool,
    checked_at: Duration,
    written_at: Duration,
}

impl World {
    pub(crate) fn act_on_order(&mut self, node: usize, action: Action) {
        let step_pauses = match action {
            Action::Extend(_) | Action::Check(_) | Action::Connect(_) | Action::Write(_) => {
                self.plan.step_pauses
            }
            Action::WriteUnchecked(_) => self.plan.write_pauses,
            _ => 0.0,
        };
        if self.occurs(step_pauses) {
            let duration = self.fault_duration();
            let event = Event::Process(self.nodes[node].process, action);
            self.pause(node, duration);
            self.nodes[node].deferred.push(event);
            return;
        }
        match action {
            Action::OrderDue(vm) => self.begin_order(node, vm),
            Action::Extend(order) => self.extend_lease(node, order),
            Action::Check(order) => self.check_order(node, order),
            Action::Connect(order) => self.connect(order),
            Action::Write(order) => self.check_before_write(node, order),
            Action::WriteUnchecked(order) => self.write(order),
            Action::OrderResponse(order) | Action::OrderDeadline(order) => {
                if self
                    .orders
                    .get(&order)
                    .is_some_and(|order| order.is_in_progress)
                {
                    self.finish_order(order);
                }
            }
            other => unreachable!("{other:?} is no step of an order"),
        }
    }

    /// Returns the time for which orders may still be sent; zero if they may not.
    fn remaining(&self, node: usize, token: u64) -> Duration {
        let state = &self.nodes[node];
        let local_now = state.local(self.now);
        match &state.ownership {
            Some(own) if own.token == token && local_now >= own.opens_at => {
                own.lease.remaining(local_now)
            }
            _ => Duration::ZERO,
        }
    }

    /// Returns for how long the rule of the plan permits the order.
    fn permitted_time(&self, node: usize, token: u64) -> Duration {
        if self.plan.rule == OrderRule::Lease {
            return self.remaining(node, token);
        }
        let state = &self.nodes[node];
        let local_now = state.local(self.now);
        let is_confirmed = (state.heartbeat_at)
            .is_some_and(|sent_at| local_now.saturating_sub(sent_at) <= HEARTBEAT_LIMIT);
        let is_owner = (state.ownership.as_ref())
            .is_some_and(|own| own.token == token && !own.is_closed && local_now >= own.opens_at);
        match is_confirmed && is_owner {
            true => ORDER_TIMEOUT,
            false => Duration::ZERO,
        }
    }

    fn begin_order(&mut self, node: usize, vm: usize) {
        let process = self.nodes[node].process;
        let local_now = self.nodes[node].local(self.now);
        let jitter = self.random_time(0.0, 0.1);
        self.schedule_timer(process, ORDER_INTERVAL + jitter, Action::OrderDue(vm));
        let Some(own) = &self.nodes[node].ownership else {
            return;
        };
        let is_permitted = !own.is_closed && !own.is_handing_over && local_now >= own.opens_at;
        let token = own.token;
        let is_busy = (own.orders.iter()).any(|order| self.orders[order].vm == vm);
        if !is_permitted || is_busy {
            return;
        }
        let number = self.next_number();
        let order = Order {
            vm,
            holder: process,
            token,
            is_open: true,
            is_in_progress: true,
            is_held: false,
            checked_at: self.now,
            written_at: self.now,
        };
        self.orders.insert(number, order);
        if let Some(own) = &mut self.nodes[node].ownership {
            own.orders.push(number);
        }
        match self.plan.rule {
            OrderRule::Lease => self.schedule_step(number, Action::Extend(number)),
            OrderRule::Heartbeat => self.schedule_step(number, Action::Check(number)),
        }
    }

    /// Schedules the next step of an order after the time that a process needs for it.
    fn schedule_step(&mut self, number: u64, action: Action) {
        let holder = self.orders[&number].holder;
        let delay = self.random_time(0.0, 0.002);
        self.schedule_action(holder, delay, action);
    }

    fn is_in_progress(&self, number: u64) -> bool {
        self.orders[&number].is_in_progress
    }

    /// Reads the owner row unless the lease outlasts the order; one read at a time.
    fn extend_lease(&mut self, node: usize, number: u64) {
        if !self.is_in_progress(number) {
            return;
        }
        let token = self.orders[&number].token;
        if self.remaining(node, token) >= ORDER_TIMEOUT {
            self.schedule_step(number, Action::Check(number));
            return;
        }
        let Some(own) = &mut self.nodes[node].ownership else {
            return;
        };
        own.confirming.push_back(number);
        if own.confirming.len() == 1 {
            self.call_store(
                node,
                Purpose::ExtendLease,
                Request::Read,
                CONFIRMATION_TIMEOUT,
            );
        }
    }

    /// Goes on with the order whose read has ended, and with those that waited for it.
    pub(crate) fn continue_after_confirmation(&mut self, node: usize, token: u64) {
        let waiting = match &mut self.nodes[node].ownership {
            Some(own) if own.token == token => std::mem::take(&mut own.confirming),
            _ => return,
        };
        for (position, number) in waiting.into_iter().enumerate() {
            match position {
                0 => self.schedule_step(number, Action::Check(number)),
                _ => self.schedule_step(number, Action::Extend(number)),
            }
        }
    }

    fn check_order(&mut self, node: usize, number: u64) {
        if !self.is_in_progress(number) {
            return;
        }
        let (holder, token) = (self.orders[&number].holder, self.orders[&number].token);
        let permitted = self.permitted_time(node, token);
        if permitted.is_zero() {
            self.finish_order(number);
            return;
        }
        let limit = permitted.min(ORDER_TIMEOUT);
        if let Some(order) = self.orders.get_mut(&number) {
            order.checked_at = self.now;
        }
        self.schedule_timer(holder, limit, Action::OrderDeadline(number));
        let delay = self.random_time(0.0, 0.002);
        self.schedule_action(holder, delay, Action::Connect(number));
    }

    fn connect(&mut self, number: u64) {
        let holder = self.orders[&number].holder;
        let heals_in = (self.nodes[holder.node].platform_cut_until).saturating_sub(self.now);
        // A connection that is kept open is written to at once, behind a cut link too.
        let delay = match self.rng.random_bool(0.5) {
            true => Duration::ZERO,
            false => heals_in + self.random_time(0.001, 0.05),
        };
        self.schedule_action(holder, delay, Action::Write(number));
    }

    fn check_before_write(&mut self, node: usize, number: u64) {
        if !self.is_in_progress(number) {
            return;
        }
        if self.plan.rule == OrderRule::Lease {
            if self.remaining(node, self.orders[&number].token).is_zero() {
                self.finish_order(number);
                return;
            }
            if let Some(order) = self.orders.get_mut(&number) {
                order.checked_at = self.now;
            }
        }
        if self.plan.write_pauses > 0.0 {
            self.act_on_order(node, Action::WriteUnchecked(number));
        } else {
            self.write(number);
        }
    }

    fn write(&mut self, number: u64) {
        // Not asked whether it is in progress: the task that writes was between the check and the
        // system call when the process paused.
        let delay = self.random_time(0.001, MAX_TRANSIT);
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        order.written_at = self.now;
        let (holder, vm, token) = (order.holder, order.vm, order.token);
        let unchecked = self.now - order.checked_at;
        self.trace(|| {
            format!("{holder:?}: writes order {number} to VM {vm}, token {token}, {unchecked:?} after its check")
        });
        self.schedule(delay, Event::Bytes(number));
    }

    /// Abandons an order or ends it after its response; its connection is reset.
    pub(crate) fn finish_order(&mut self, number: u64) {
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        order.is_in_progress = false;
        order.is_open = false;
        let node = order.holder.node;
        if let Some(own) = &mut self.nodes[node].ownership {
            own.orders.retain(|other| *other != number);
            // The release begins when the last order has ended.
            if own.is_handing_over && own.orders.is_empty() && self.plan.rule == OrderRule::Lease {
                self.release(node);
            }
        }
    }

    pub(crate) fn bytes_arrive(&mut self, number: u64) {
        let transit = self.random_time(0.001, MAX_TRANSIT);
        let answer_delay = self.platform_time() + self.random_time(0.001, MAX_TRANSIT);
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        let heals_in = (self.nodes[order.holder.node].platform_cut_until).saturating_sub(self.now);
        let is_discarded =
            self.plan.kernel_discards && self.now + heals_in >= order.written_at + ORDER_LEASE;
        if order.is_held && !order.is_open || !heals_in.is_zero() && is_discarded {
            self.trace(|| format!("order {number}: lost at the reset of its connection"));
            return;
        }
        if !heals_in.is_zero() {
            order.is_held = true;
            self.trace(|| format!("order {number}: held for {heals_in:?}"));
            self.schedule(heals_in, Event::Bytes(number));
            return;
        }
        if std::mem::take(&mut order.is_held) {
            self.schedule(transit, Event::Bytes(number));
            return;
        }
        let (vm, holder, token) = (order.vm, order.holder, order.token);
        let unchecked = order.written_at - order.checked_at;
        self.trace(|| format!("platform: order {number} to VM {vm} of {holder:?}, token {token}"));
        self.platform
            .receive(self.now, vm, holder, token, unchecked);
        self.schedule_action(holder, answer_delay, Action::OrderResponse(number));
    }
}
