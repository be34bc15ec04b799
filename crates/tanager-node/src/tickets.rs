//! Tickets: idempotency keys that this process issues. Their histories are in memory, not in the
//! store.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tanager_protocol::ids::Incarnation;
use tanager_protocol::ids::NodeId;
use tanager_protocol::ids::PoolId;
use tanager_protocol::ids::is_valid_name;
use tanager_protocol::outcome::EndpointResponse;

use crate::claims::fingerprint::RequestFingerprint;

const KEY_PREFIX: &str = "ticket-";

/// Parts of a ticket key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TicketKey {
    /// Node that issued the ticket.
    pub node: NodeId,
    /// Incarnation of that node.
    pub incarnation: Incarnation,
    /// Number of the ticket in that incarnation.
    pub number: u64,
}

impl TicketKey {
    /// Parses `ticket-{node}-{incarnation}-{n}`; any other text is an ordinary key.
    pub fn parse(key: &str) -> Option<Self> {
        let mut parts = key.strip_prefix(KEY_PREFIX)?.rsplitn(3, '-');
        let number = parts.next()?.parse().ok()?;
        let incarnation = parts.next()?.parse().ok()?;
        let node = parts.next()?.to_owned();
        let parsed = Self {
            node,
            incarnation,
            number,
        };
        // Reformatting rejects other spellings of a number, which would be two keys of one ticket.
        (is_valid_name(&parsed.node) && parsed.format() == key).then_some(parsed)
    }

    /// Formats the key.
    pub fn format(&self) -> String {
        format!(
            "{KEY_PREFIX}{}-{}-{}",
            self.node, self.incarnation, self.number
        )
    }
}

/// Limits of a [`TicketTable`].
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Largest number of tickets.
    pub max_tickets: usize,
    /// Largest total size of responses in bytes.
    pub max_bytes: usize,
}

impl Default for TicketLimits {
    fn default() -> Self {
        Self {
            max_tickets: 16_384,
            max_bytes: 16 << 20,
        }
    }
}

/// Result of starting a request with a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketStart {
    /// The request may run; report its end with [`TicketTable::finish`].
    Started,
    /// Another request with this ticket is in progress.
    InProgress,
    /// The request ran with this response.
    Finished(EndpointResponse),
    /// The request may have run.
    Unknown,
    /// The ticket was used for a different request; this one did not run.
    KeyReused,
}

/// End of a request with a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TicketEnd {
    /// No byte was sent; the ticket can be used again.
    NotSent,
    /// The response of the request.
    Answered(EndpointResponse),
    /// The request may have run.
    Unknown,
}

#[derive(Debug)]
enum TicketState {
    Issued,
    Used {
        pool: PoolId,
        fingerprint: RequestFingerprint,
        progress: TicketProgress,
    },
}

#[derive(Debug)]
enum TicketProgress {
    Running,
    Finished(EndpointResponse),
    Unknown,
}

#[derive(Debug, Default)]
struct TicketRecords {
    next_number: u64,
    bytes: usize,
    states: BTreeMap<u64, TicketState>,
}

/// Tickets of this process.
#[derive(Debug)]
pub struct TicketTable {
    node: NodeId,
    incarnation: Incarnation,
    limits: TicketLimits,
    records: Mutex<TicketRecords>,
}

impl TicketTable {
    /// Creates an empty table.
    pub fn new(node: NodeId, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            node,
            incarnation,
            limits,
            records: Mutex::default(),
        }
    }

    /// Issues a ticket and returns its key. Evicts the oldest ticket if the table is full.
    pub fn issue(&self) -> String {
        let mut records = self.lock();
        let number = records.next_number;
        records.next_number += 1;
        records.states.insert(number, TicketState::Issued);
        records.evict(self.limits);
        drop(records);
        TicketKey {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number,
        }
        .format()
    }

    /// Returns whether this process issued the ticket.
    pub fn is_own(&self, key: &TicketKey) -> bool {
        key.node == self.node && key.incarnation == self.incarnation
    }

    /// Starts a request. A ticket that was evicted or never issued is [`TicketStart::Unknown`],
    /// because it cannot be distinguished from one whose request ran. So is a ticket that was used
    /// for another pool.
    pub fn begin(
        &self,
        key: &TicketKey,
        pool: &str,
        fingerprint: &RequestFingerprint,
    ) -> TicketStart {
        if !self.is_own(key) {
            return TicketStart::Unknown;
        }
        let mut records = self.lock();
        let Some(state) = records.states.get_mut(&key.number) else {
            return TicketStart::Unknown;
        };
        match state {
            TicketState::Issued => {
                *state = TicketState::Used {
                    pool: pool.to_owned(),
                    fingerprint: fingerprint.clone(),
                    progress: TicketProgress::Running,
                };
                TicketStart::Started
            }
            TicketState::Used { pool: own, .. } if own != pool => TicketStart::Unknown,
            TicketState::Used {
                fingerprint: own, ..
            } if own != fingerprint => TicketStart::KeyReused,
            TicketState::Used { progress, .. } => match progress {
                TicketProgress::Running => TicketStart::InProgress,
                TicketProgress::Finished(response) => TicketStart::Finished(response.clone()),
                TicketProgress::Unknown => TicketStart::Unknown,
            },
        }
    }

    /// Records the end of a request that [`Self::begin`] started.
    pub fn finish(&self, key: &TicketKey, end: TicketEnd) {
        if !self.is_own(key) {
            return;
        }
        let mut records = self.lock();
        let records = &mut *records;
        let Some(state) = records.states.get_mut(&key.number) else {
            return;
        };
        let TicketState::Used { progress, .. } = state else {
            return;
        };
        if !matches!(progress, TicketProgress::Running) {
            return;
        }
        match end {
            TicketEnd::NotSent => *state = TicketState::Issued,
            TicketEnd::Unknown => *progress = TicketProgress::Unknown,
            TicketEnd::Answered(response) => {
                records.bytes += response_bytes(&response);
                *progress = TicketProgress::Finished(response);
            }
        }
        records.evict(self.limits);
    }

    /// Returns the number of tickets in the table.
    pub fn len(&self) -> usize {
        self.lock().states.len()
    }

    /// Returns whether the table has no tickets.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, TicketRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TicketRecords {
    /// Evicts the oldest tickets until the table is within its limits.
    fn evict(&mut self, limits: TicketLimits) {
        while self.states.len() > limits.max_tickets || self.bytes > limits.max_bytes {
            let Some((_, state)) = self.states.pop_first() else {
                return;
            };
            if let TicketState::Used {
                progress: TicketProgress::Finished(response),
                ..
            } = state
            {
                self.bytes -= response_bytes(&response);
            }
        }
    }
}

fn response_bytes(response: &EndpointResponse) -> usize {
    let headers = response.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    response.body.len() + headers
}
