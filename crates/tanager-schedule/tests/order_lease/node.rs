//! The state of a node's process.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_schedule::order_lease::OrderLease;

use super::store::Heartbeat;
use super::store::OwnerRecord;
use super::store::OwnerRow;
use super::store::Process;
use super::world::Event;

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    Heartbeat,
    View,
    ExtendLease,
    Note,
    Acquire(Candidacy),
    /// Reads the row after the response to its write was lost.
    VerifyAcquired(Candidacy),
    Release,
}

/// An attempt to acquire the coordinator's cell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Candidacy {
    pub(crate) expected: u64,
    pub(crate) record: OwnerRecord,
    /// What takes the place of the former owner: `None` if the cell never had one.
    pub(crate) is_former_inactive: Option<bool>,
}

/// A call that waits for its response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    pub(crate) purpose: Purpose,
    /// Local time.
    pub(crate) sent_at: Duration,
    pub(crate) token: u64,
}

/// Ownership of the coordinator's cell, with the lease for orders.
#[derive(Debug)]
pub(crate) struct Ownership {
    pub(crate) token: u64,
    pub(crate) awaits_predecessor: bool,
    pub(crate) lease: OrderLease,
    pub(crate) is_closed: bool,
    pub(crate) is_handing_over: bool,
    pub(crate) release_is_sent: bool,
    /// Local time.
    pub(crate) opens_at: Duration,
    /// Orders that wait for the read of the owner row; the first one's read is in progress.
    pub(crate) confirming: VecDeque<u64>,
    pub(crate) orders: Vec<u64>,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) process: Process,
    pub(crate) is_running: bool,
    pub(crate) paused_until: Duration,
    /// What reaches the process when it resumes.
    pub(crate) deferred: Vec<Event>,
    pub(crate) clock_rate: f64,
    pub(crate) clock_offset: Duration,
    pub(crate) store_cut_until: Duration,
    pub(crate) platform_cut_until: Duration,
    pub(crate) writes_refused_until: Duration,
    pub(crate) calls: BTreeMap<u64, PendingCall>,
    pub(crate) row: OwnerRow,
    /// Last heartbeat of each node, and the local time at which it was first seen.
    pub(crate) heartbeats: BTreeMap<usize, (Heartbeat, Duration)>,
    pub(crate) is_acquiring: bool,
    pub(crate) ownership: Option<Ownership>,
    /// Local time at which the last confirmed heartbeat was sent.
    pub(crate) heartbeat_at: Option<Duration>,
    /// Local time until which the cell that this node released is left to others.
    pub(crate) abstains_until: Duration,
}

impl Node {
    pub(crate) fn new(node: usize, clock_rate: f64, clock_offset: Duration) -> Self {
        Self {
            process: Process {
                node,
                incarnation: 1,
            },
            is_running: true,
            paused_until: Duration::ZERO,
            deferred: Vec::new(),
            clock_rate,
            clock_offset,
            store_cut_until: Duration::ZERO,
            platform_cut_until: Duration::ZERO,
            writes_refused_until: Duration::ZERO,
            calls: BTreeMap::new(),
            row: OwnerRow::default(),
            heartbeats: BTreeMap::new(),
            is_acquiring: false,
            ownership: None,
            heartbeat_at: None,
            abstains_until: Duration::ZERO,
        }
    }

    /// Forgets what the process that has ended knew.
    pub(crate) fn restart(&mut self) {
        let mut fresh = Self::new(self.process.node, self.clock_rate, self.clock_offset);
        fresh.process.incarnation = self.process.incarnation + 1;
        fresh.store_cut_until = self.store_cut_until;
        fresh.platform_cut_until = self.platform_cut_until;
        fresh.writes_refused_until = self.writes_refused_until;
        *self = fresh;
    }

    /// Returns the time on the node's clock, which counts pauses.
    pub(crate) fn local(&self, now: Duration) -> Duration {
        self.clock_offset + now.mul_f64(self.clock_rate)
    }

    /// Returns the real time that passes while the node's clock advances by `time`.
    pub(crate) fn real_time(&self, time: Duration) -> Duration {
        time.div_f64(self.clock_rate)
    }
}
