//! Newest status of each peer.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use tanager_protocol::fleet::NodeRecord;
use tanager_protocol::ids::Incarnation;
use tanager_protocol::ids::LogVersion;
use tanager_protocol::ids::NodeId;
use tanager_protocol::peer::NodeStatus;

/// The status of an incarnation is dropped after this time without contact. Bounds the table when
/// nodes are replaced under new names.
const CONTACT_RETENTION: Duration = Duration::from_secs(60);

/// Newest status of each incarnation of each node.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    contacts: BTreeMap<(NodeId, Incarnation), PeerContact>,
}

/// A status and the time at which it was received.
#[derive(Clone, Debug)]
pub(crate) struct PeerContact {
    pub(crate) status: NodeStatus,
    pub(crate) received_at: Instant,
}

impl PeerTable {
    /// Records a status.
    ///
    /// Statuses may arrive out of order: one with an older version is dropped, and `leaving` is
    /// never reset. The order of statuses of the same version does not matter to moves, because the
    /// work on a draining VM only decreases at that version.
    pub(crate) fn record(&mut self, mut status: NodeStatus, now: Instant) {
        let key = (status.node.clone(), status.incarnation);
        if let Some(known) = self.contacts.get_mut(&key) {
            if status.version < known.status.version {
                known.status.leaving |= status.leaving;
                return;
            }
            status.leaving |= known.status.leaving;
        }
        let received_at = now;
        self.contacts.insert(
            key,
            PeerContact {
                status,
                received_at,
            },
        );
        self.contacts.retain(|_, contact| {
            now.saturating_duration_since(contact.received_at) < CONTACT_RETENTION
        });
    }

    /// Newest status of the registered incarnation of a node.
    pub(crate) fn find(&self, node: &str, record: &NodeRecord) -> Option<&PeerContact> {
        self.contacts.get(&(node.to_owned(), record.incarnation))
    }

    /// Returns whether the registered incarnation of a node had no contact within `timeout`.
    pub(crate) fn is_unresponsive(
        &self,
        node: &str,
        record: &NodeRecord,
        now: Instant,
        timeout: Duration,
    ) -> bool {
        self.find(node, record)
            .is_none_or(|contact| now.saturating_duration_since(contact.received_at) >= timeout)
    }

    /// Returns whether the registered incarnation of a node had contact within `timeout` and is not
    /// leaving.
    pub(crate) fn is_live(
        &self,
        node: &str,
        record: &NodeRecord,
        now: Instant,
        timeout: Duration,
    ) -> bool {
        !self.is_unresponsive(node, record, now, timeout)
            && self
                .find(node, record)
                .is_some_and(|contact| !contact.status.leaving)
    }

    /// Returns whether the registered incarnation of a node has no work left on a VM that was taken
    /// out of service at version `since`, which this node first applied at `observed_at`.
    pub(crate) fn has_drained(
        &self,
        node: &str,
        record: &NodeRecord,
        vm: &str,
        since: LogVersion,
        observed_at: Instant,
    ) -> bool {
        self.find(node, record).is_some_and(|contact| {
            let status = &contact.status;
            let mut loads = status.in_flight.iter();
            contact.received_at >= observed_at
                && status.version >= since
                && !loads.any(|load| load.vm == vm && load.requests > 0)
        })
    }

    /// All contacts, for diagnosis.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = &PeerContact> {
        self.contacts.values()
    }
}
