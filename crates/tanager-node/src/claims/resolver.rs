//! Decides what the rows and results of the store mean for each write; does no I/O.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;

use tanager_platform::RowVersion;
use tanager_platform::TableRow;

use crate::claims::ClaimCommand;
use crate::claims::ClaimDelivery;
use crate::claims::ClaimGrant;
use crate::claims::ClaimOwner;
use crate::claims::ClaimResult;
use crate::claims::ClaimStats;
use crate::claims::add;
use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::queue::WriteQueue;
use crate::claims::record::ClaimRow;
use crate::claims::record::ClaimState;
use crate::claims::unsent::FULL_CHECKS;
use crate::claims::write::PendingWrite;
use crate::claims::write::RowView;
use crate::claims::write::WriteAction;

/// Turns commands into writes, and the rows and results of the store into results of claims.
pub(super) struct ClaimResolver {
    pub(super) owner: ClaimOwner,
    pub(super) queue: WriteQueue,
    pub(super) stats: Arc<ClaimStats>,
    sender: mpsc::WeakUnboundedSender<ClaimCommand>,
    send_within: Duration,
    tokens: u64,
}

impl ClaimResolver {
    pub(super) fn new(
        owner: ClaimOwner,
        stats: Arc<ClaimStats>,
        sender: mpsc::WeakUnboundedSender<ClaimCommand>,
        send_within: Duration,
    ) -> Self {
        Self {
            owner,
            queue: WriteQueue::default(),
            stats,
            sender,
            send_within,
            tokens: 0,
        }
    }

    /// Queues a claim, record or release.
    pub(super) fn accept(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Claim {
                name,
                fingerprint,
                reply,
                permit,
            } => {
                let action = WriteAction::Insert {
                    fingerprint,
                    reply,
                    _permit: permit,
                };
                self.accept_claim(name, action);
            }
            ClaimCommand::Complete {
                ticket,
                row,
                permit,
            } => {
                let action = WriteAction::Record {
                    row,
                    _permit: permit,
                };
                let generation = ticket.generation;
                let mut write = PendingWrite::new(ticket.name, generation, ticket.token, action);
                write.version = ticket.version;
                self.queue.writes.push_back(write);
            }
            ClaimCommand::Release(ticket) => {
                let action = WriteAction::Delete {
                    checks_left: FULL_CHECKS,
                };
                let generation = ticket.generation;
                let mut write = PendingWrite::new(ticket.name, generation, ticket.token, action);
                write.version = ticket.version;
                write.maybe_written = ticket.maybe_written;
                write.granted = Some((ticket.send_before, ticket.fingerprint));
                self.queue.push_delete(write);
            }
            // The worker answers it once the queue is empty.
            ClaimCommand::Flush(_) => {}
        }
    }

    fn accept_claim(&mut self, name: String, action: WriteAction) {
        if let Some(delete) = self.queue.deletes.remove(&name) {
            if delete.maybe_deleted {
                // The removal may still take effect, so its token must not be used again.
                self.queue.deletes.insert(name.clone(), delete);
            } else if let Some((send_before, fingerprint)) = &delete.granted
                && !delete.check_row
                && action.has_fingerprint(fingerprint)
                && Instant::now() + self.send_within / 2 < *send_before
            {
                // Needs no access to the store while half of the time to send is left.
                let (version, send_before) = (delete.version, *send_before);
                self.grant(PendingWrite { action, ..delete }, version, send_before);
                return;
            } else {
                let mut write = PendingWrite::new(name, delete.generation, delete.token, action);
                write.check_row = true;
                write.maybe_written = true;
                self.queue.writes.push_back(write);
                return;
            }
        }
        let unsent = self.queue.unsent.take(&name);
        let maybe_written = unsent.is_some();
        let (generation, token) = unsent.map_or_else(
            || (0, self.new_token()),
            |claim| (claim.generation, claim.token),
        );
        let mut write = PendingWrite::new(name, generation, token, action);
        write.maybe_written = maybe_written;
        self.queue.writes.push_back(write);
    }

    fn new_token(&mut self) -> String {
        self.tokens += 1;
        let (node, incarnation) = &self.owner;
        format!("{node}-{incarnation}-{}", self.tokens)
    }

    /// Ends a write that the store refuses.
    pub(super) fn give_up(&mut self, write: PendingWrite) {
        match write.action {
            WriteAction::Insert { .. } if write.maybe_written => {
                self.queue.unsent.remember(&write, FULL_CHECKS);
                self.deliver(write, ClaimResult::Unavailable);
            }
            WriteAction::Insert { .. } => self.deliver(write, ClaimResult::Unavailable),
            WriteAction::Record { .. } => add(&self.stats.dropped_records, 1),
            WriteAction::Delete { .. } => {}
        }
    }

    /// Ends a write that was committed; `start` is the time at which its transaction was sent.
    pub(super) fn committed(&mut self, write: PendingWrite, version: RowVersion, start: Instant) {
        match write.action {
            WriteAction::Insert { .. } => self.grant(write, version, start + self.send_within),
            WriteAction::Record { .. } => {}
            WriteAction::Delete { checks_left } => self.deleted(&write, checks_left),
        }
    }

    fn deleted(&mut self, write: &PendingWrite, checks_left: usize) {
        if write.maybe_written {
            self.queue.unsent.remember(write, checks_left);
        }
    }

    /// Decides a write by its rows as they are; returns the write if it is still to be done.
    pub(super) fn resolve(
        &mut self,
        mut write: PendingWrite,
        rows: Vec<Option<TableRow>>,
        confirmed: Instant,
    ) -> Option<PendingWrite> {
        let mut rows = rows.into_iter();
        let view = write.view(rows.next().flatten());
        let previous = write.view(rows.next().flatten());
        write.check_row = false;
        if let WriteAction::Insert { fingerprint, .. } = &write.action {
            let fingerprint = fingerprint.clone();
            return self.resolve_insert(write, (view, previous), &fingerprint, confirmed);
        }
        match (&write.action, view) {
            (
                WriteAction::Record { .. } | WriteAction::Delete { .. },
                RowView::Own(version, claim),
            ) if claim.state == ClaimState::Started => {
                write.version = version;
                return Some(write);
            }
            (WriteAction::Record { .. }, RowView::Own(..)) => {}
            (WriteAction::Record { .. }, RowView::Absent | RowView::Other(_)) => {
                add(&self.stats.dropped_records, 1);
            }
            (WriteAction::Insert { .. }, _) => {}
            (WriteAction::Delete { checks_left }, _) => {
                let checks_left = *checks_left;
                self.deleted(&write, checks_left);
            }
        }
        None
    }

    fn resolve_insert(
        &mut self,
        mut write: PendingWrite,
        views: (RowView, RowView),
        fingerprint: &RequestFingerprint,
        confirmed: Instant,
    ) -> Option<PendingWrite> {
        let result = match views {
            (RowView::Other(claim), _) | (_, RowView::Other(claim)) => {
                if write.maybe_written {
                    self.queue.unsent.remember(&write, FULL_CHECKS);
                }
                refusal(claim, fingerprint)
            }
            (RowView::Own(_, claim), _) | (_, RowView::Own(_, claim))
                if claim.state == ClaimState::Done =>
            {
                ClaimResult::MayHaveRun
            }
            (RowView::Own(version, claim), RowView::Absent)
                if claim.fingerprint == *fingerprint =>
            {
                self.grant(write, version, confirmed + self.send_within);
                return None;
            }
            // A row of this claim from the previous generation, or of another request that was
            // not sent, is replaced.
            (view, previous) => {
                write.version = view.version();
                write.previous_version = previous.version();
                return Some(write);
            }
        };
        self.deliver(write, result);
        None
    }

    fn grant(&self, write: PendingWrite, version: RowVersion, send_before: Instant) {
        let WriteAction::Insert { fingerprint, .. } = &write.action else {
            return;
        };
        let ticket = ClaimGrant {
            fingerprint: fingerprint.clone(),
            send_before,
            generation: write.generation,
            name: write.name.clone(),
            token: write.token.clone(),
            version,
            maybe_written: write.maybe_written,
        };
        self.deliver(write, ClaimResult::Granted(ticket));
    }

    fn deliver(&self, write: PendingWrite, result: ClaimResult) {
        if let WriteAction::Insert { reply, .. } = write.action {
            // When the claimer no longer waits, the dropped delivery releases a grant.
            let _ = reply.send(ClaimDelivery {
                result: Some(result),
                commands: self.sender.clone(),
            });
        }
    }
}

/// Result of a claim whose key has the row of another claim; `None` when it cannot be decoded.
fn refusal(claim: Option<Box<ClaimRow>>, fingerprint: &RequestFingerprint) -> ClaimResult {
    match claim {
        Some(claim) if claim.fingerprint != *fingerprint => ClaimResult::KeyReused,
        Some(claim) => claim
            .answer()
            .map_or(ClaimResult::MayHaveRun, ClaimResult::Recorded),
        None => ClaimResult::MayHaveRun,
    }
}
