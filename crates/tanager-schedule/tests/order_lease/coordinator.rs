//! A node's process: heartbeats, the acquisition of the coordinator's cell, and its release.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_schedule::order_lease::OrderLease;
use tanager_schedule::order_lease::takeover_wait;
use tanager_schedule::ownership::NODE_DEATH_TIMEOUT;
use tanager_schedule::ownership::former_owner;
use tanager_schedule::recovery::FormerOwner;

use super::faults::OrderRule;
use super::node::Candidacy;
use super::node::Node;
use super::node::Ownership;
use super::node::PendingCall;
use super::node::Purpose;
use super::platform::COORDINATOR_LEASE;
use super::store::Heartbeat;
use super::store::OwnerRecord;
use super::store::OwnerRow;
use super::store::Request;
use super::store::Response;
use super::world::Action;
use super::world::World;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
const VIEW_INTERVAL: Duration = Duration::from_millis(500);
const NOTE_INTERVAL: Duration = Duration::from_millis(700);
/// Time limit of calls that write or read the owner row on a takeover and a release.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time limit of the coordinator's own writes.
const NOTE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Maximum time to wait, before a release, for orders in progress.
const HANDOVER_LIMIT: Duration = Duration::from_millis(600);
/// Time for which a node leaves a cell that it has released to others.
const ABSTENTION: Duration = Duration::from_millis(3_000);
/// The wait of the rule before `takeover_wait`, in addition to `coordinator_lease`.
const FORMER_MARGIN: Duration = Duration::from_millis(600);

impl Ownership {
    fn is_active(&self) -> bool {
        !self.is_closed
    }
}

impl Node {
    fn has_active_ownership(&self) -> bool {
        self.ownership.as_ref().is_some_and(Ownership::is_active)
    }

    /// Decides whether to acquire the cell, from the last read.
    fn candidacy(&self, local_now: Duration) -> Option<Candidacy> {
        let own_node = self.process.node;
        if self.is_acquiring || self.has_active_ownership() || local_now < self.abstains_until {
            return None;
        }
        let record = self.row.record;
        let (may_acquire, has_ended) = match record.owner {
            None => (true, true),
            Some(owner) if owner.node == own_node => (true, true),
            Some(owner) => match self.heartbeats.get(&owner.node) {
                None => (false, false),
                Some((heartbeat, seen_at)) => {
                    let has_ended = heartbeat.incarnation > owner.incarnation;
                    let silence = local_now.saturating_sub(*seen_at);
                    (has_ended || silence >= NODE_DEATH_TIMEOUT, has_ended)
                }
            },
        };
        let former = former_owner(has_ended, record.awaits_predecessor);
        may_acquire.then(|| Candidacy {
            expected: self.row.version,
            record: OwnerRecord {
                owner: Some(self.process),
                released_by: None,
                awaits_predecessor: former == FormerOwner::Unresponsive,
            },
            is_former_inactive: (self.row.version != 0).then_some(former == FormerOwner::Inactive),
        })
    }
}

impl World {
    pub(crate) fn act(&mut self, node: usize, action: Action) {
        let process = self.nodes[node].process;
        match action {
            Action::HeartbeatDue => {
                self.schedule_timer(process, HEARTBEAT_INTERVAL, Action::HeartbeatDue);
                let request = Request::Heartbeat(process);
                self.call_store(node, Purpose::Heartbeat, request, HEARTBEAT_INTERVAL);
            }
            Action::ViewDue => {
                self.schedule_timer(process, VIEW_INTERVAL, Action::ViewDue);
                self.call_store(node, Purpose::View, Request::Read, CALL_TIMEOUT);
            }
            Action::NoteDue => {
                self.schedule_timer(process, NOTE_INTERVAL, Action::NoteDue);
                let ownership = self.nodes[node].ownership.as_ref();
                if let Some(token) = ownership.filter(|own| own.is_active()).map(|own| own.token) {
                    self.call_store(node, Purpose::Note, Request::WriteNote(token), NOTE_TIMEOUT);
                }
            }
            Action::Response(number, response) => {
                if let Some(call) = self.nodes[node].calls.remove(&number) {
                    self.handle_response(node, call, Some(response));
                }
            }
            Action::CallTimeout(number) => {
                if let Some(call) = self.nodes[node].calls.remove(&number) {
                    self.handle_response(node, call, None);
                }
            }
            Action::ReleaseDeadline => self.release(node),
            action => self.act_on_order(node, action),
        }
    }

    /// Handles the response to a call to the store; `None` after a timeout.
    fn handle_response(&mut self, node: usize, call: PendingCall, response: Option<Response>) {
        match (call.purpose, response) {
            (Purpose::Heartbeat, Some(Response::Written(_))) => {
                let state = &mut self.nodes[node];
                state.heartbeat_at = state.heartbeat_at.max(Some(call.sent_at));
            }
            (Purpose::View, Some(Response::Rows(row, heartbeats))) => {
                self.apply_heartbeats(node, &heartbeats);
                self.apply_row(node, row);
                let local_now = self.nodes[node].local(self.now);
                if let Some(candidacy) = self.nodes[node].candidacy(local_now) {
                    self.nodes[node].is_acquiring = true;
                    let request = Request::WriteOwner(candidacy.expected, candidacy.record);
                    self.call_store(node, Purpose::Acquire(candidacy), request, CALL_TIMEOUT);
                }
            }
            (Purpose::Note, Some(Response::Written(_))) => self.confirm(node, call),
            (Purpose::Note | Purpose::Release, Some(Response::Conflict(row))) => {
                self.close(node, call.token);
                self.apply_row(node, row);
            }
            (Purpose::ExtendLease, response) => {
                if let Some(Response::Rows(row, _)) = response {
                    match row.version == call.token {
                        true => self.confirm(node, call),
                        false => {
                            self.close(node, call.token);
                            self.apply_row(node, row);
                        }
                    }
                }
                self.continue_after_confirmation(node, call.token);
            }
            (Purpose::Acquire(candidacy), Some(Response::Written(version))) => {
                self.acquired(node, version, candidacy);
            }
            (Purpose::Acquire(_), Some(Response::Conflict(row))) => {
                self.nodes[node].is_acquiring = false;
                self.apply_row(node, row);
            }
            (Purpose::Acquire(candidacy), _) => {
                let purpose = Purpose::VerifyAcquired(candidacy);
                self.call_store(node, purpose, Request::Read, CALL_TIMEOUT);
            }
            (Purpose::VerifyAcquired(candidacy), Some(Response::Rows(row, _)))
                if row.record == candidacy.record && row.version > candidacy.expected =>
            {
                self.acquired(node, row.version, candidacy);
            }
            (Purpose::VerifyAcquired(_), response) => {
                self.nodes[node].is_acquiring = false;
                if let Some(Response::Rows(row, _)) = response {
                    self.apply_row(node, row);
                }
            }
            (Purpose::Release, _) => self.close(node, call.token),
            (Purpose::Heartbeat | Purpose::View | Purpose::Note, _) => {}
        }
    }

    fn apply_heartbeats(&mut self, node: usize, heartbeats: &BTreeMap<usize, Heartbeat>) {
        let state = &mut self.nodes[node];
        let local_now = state.local(self.now);
        for (&other, &heartbeat) in heartbeats {
            let is_new = (state.heartbeats.get(&other))
                .is_none_or(|(known, _)| known.version < heartbeat.version);
            if is_new {
                state.heartbeats.insert(other, (heartbeat, local_now));
            }
        }
    }

    /// Applies an owner row that was read, unless a later one is known.
    fn apply_row(&mut self, node: usize, row: OwnerRow) {
        let state = &mut self.nodes[node];
        if row.version <= state.row.version {
            return;
        }
        state.row = row;
        if let Some(token) = state.ownership.as_ref().map(|own| own.token)
            && token < row.version
        {
            self.close(node, token);
        }
    }

    fn acquired(&mut self, node: usize, version: u64, candidacy: Candidacy) {
        let state = &mut self.nodes[node];
        state.is_acquiring = false;
        if version < state.row.version {
            return;
        }
        let started = state.local(self.now);
        let former = candidacy
            .is_former_inactive
            .map(|is_inactive| match is_inactive {
                true => FormerOwner::Inactive,
                false => FormerOwner::Unresponsive,
            });
        let wait = match (self.plan.rule, former) {
            (OrderRule::Lease, former) => takeover_wait(former, COORDINATOR_LEASE),
            (OrderRule::Heartbeat, None) => Duration::ZERO,
            (OrderRule::Heartbeat, Some(_)) => COORDINATOR_LEASE + FORMER_MARGIN,
        };
        state.row = OwnerRow {
            record: candidacy.record,
            version,
        };
        state.ownership = Some(Ownership {
            token: version,
            awaits_predecessor: candidacy.record.awaits_predecessor,
            lease: OrderLease::default(),
            is_closed: false,
            is_handing_over: false,
            release_is_sent: false,
            opens_at: started + wait,
            confirming: VecDeque::new(),
            orders: Vec::new(),
        });
        self.trace(|| {
            format!("node {node}: acquired, token {version}, after {former:?}, opens in {wait:?}")
        });
    }

    fn confirm(&mut self, node: usize, call: PendingCall) {
        if let Some(ownership) = &mut self.nodes[node].ownership
            && ownership.token == call.token
        {
            ownership.lease.confirm(call.sent_at);
        }
    }

    /// Ends the right to send orders under `token`.
    pub(crate) fn close(&mut self, node: usize, token: u64) {
        let Some(ownership) = &mut self.nodes[node].ownership else {
            return;
        };
        if ownership.token != token || ownership.is_closed {
            return;
        }
        ownership.is_closed = true;
        ownership.lease.end();
        let orders = std::mem::take(&mut ownership.orders);
        self.trace(|| format!("node {node}: closes, token {token}"));
        if self.plan.rule == OrderRule::Lease {
            for order in orders {
                self.finish_order(order);
            }
        }
    }

    /// Begins to release the cell: begins no more orders and waits for those in progress.
    pub(crate) fn begin_handover(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if !state.is_running || self.now < state.paused_until {
            return;
        }
        let process = state.process;
        if let Some(ownership) = &mut state.ownership
            && !ownership.is_closed
            && !ownership.is_handing_over
        {
            ownership.is_handing_over = true;
            // The rule before did not wait for orders.
            let limit = match (self.plan.rule, ownership.orders.is_empty()) {
                (OrderRule::Lease, false) => HANDOVER_LIMIT,
                _ => Duration::ZERO,
            };
            self.schedule_timer(process, limit, Action::ReleaseDeadline);
        }
    }

    /// Ends the lease and writes the owner row.
    pub(crate) fn release(&mut self, node: usize) {
        let local_now = self.nodes[node].local(self.now);
        let Some(ownership) = &mut self.nodes[node].ownership else {
            return;
        };
        if !ownership.is_handing_over || ownership.release_is_sent || ownership.is_closed {
            return;
        }
        ownership.release_is_sent = true;
        ownership.lease.end();
        let token = ownership.token;
        let orders = match self.plan.rule {
            OrderRule::Lease => std::mem::take(&mut ownership.orders),
            OrderRule::Heartbeat => Vec::new(),
        };
        let record = OwnerRecord {
            owner: None,
            released_by: Some(node),
            awaits_predecessor: ownership.awaits_predecessor && ownership.opens_at > local_now,
        };
        for order in orders {
            self.finish_order(order);
        }
        self.trace(|| format!("node {node}: releases, token {token}"));
        self.nodes[node].abstains_until = local_now + ABSTENTION;
        let request = Request::WriteOwner(token, record);
        self.call_store(node, Purpose::Release, request, CALL_TIMEOUT);
    }
}
