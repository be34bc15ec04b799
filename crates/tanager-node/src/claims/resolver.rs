//! Decides from rows and results of the store how each write continues. Performs no I/O.

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
use crate::claims::abandoned::CHECK_COUNT;
use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::increment;
use crate::claims::queue::WriteQueue;
use crate::claims::record::ClaimRow;
use crate::claims::record::ClaimState;
use crate::claims::write::PendingWrite;
use crate::claims::write::RowMatch;
use crate::claims::write::WriteAction;

/// Converts commands to writes, and rows and results of the store to claim results.
pub(super) struct ClaimResolver {
    pub(super) owner: ClaimOwner,
    pub(super) queue: WriteQueue,
    pub(super) stats: Arc<ClaimStats>,
    sender: mpsc::WeakUnboundedSender<ClaimCommand>,
    send_within: Duration,
    token_count: u64,
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
            token_count: 0,
        }
    }

    /// Adds a claim, record or release to the queue.
    pub(super) fn enqueue(&mut self, command: ClaimCommand) {
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
                self.enqueue_claim(name, action);
            }
            ClaimCommand::Complete { grant, row, permit } => {
                let action = WriteAction::Record {
                    row,
                    _permit: permit,
                };
                let generation = grant.generation;
                let mut write = PendingWrite::new(grant.name, generation, grant.token, action);
                write.version = grant.version;
                self.queue.writes.push_back(write);
            }
            ClaimCommand::Release(grant) => {
                let action = WriteAction::Delete {
                    checks_left: CHECK_COUNT,
                };
                let generation = grant.generation;
                let mut write = PendingWrite::new(grant.name, generation, grant.token, action);
                write.version = grant.version;
                write.maybe_written = grant.maybe_written;
                write.granted = Some((grant.send_before, grant.fingerprint));
                self.queue.push_delete(write);
            }
            // The worker replies once the queue is empty.
            ClaimCommand::Flush(_) => {}
        }
    }

    fn enqueue_claim(&mut self, name: String, action: WriteAction) {
        if let Some(delete) = self.queue.deletes.remove(&name) {
            if delete.maybe_deleted {
                // The removal may still take effect, so the new claim must not reuse its token.
                self.queue.deletes.insert(name.clone(), delete);
            } else if let Some((send_before, fingerprint)) = &delete.granted
                && !delete.must_read_row
                && action.has_fingerprint(fingerprint)
                && Instant::now() + self.send_within / 2 < *send_before
            {
                // The claim is granted again without the store while at least half of
                // `send_within` is left.
                let (version, send_before) = (delete.version, *send_before);
                self.send_grant(PendingWrite { action, ..delete }, version, send_before);
                return;
            } else {
                let mut write = PendingWrite::new(name, delete.generation, delete.token, action);
                write.must_read_row = true;
                write.maybe_written = true;
                self.queue.writes.push_back(write);
                return;
            }
        }
        let abandoned = self.queue.abandoned.remove(&name);
        let maybe_written = abandoned.is_some();
        let (generation, token) = abandoned.map_or_else(
            || (0, self.new_token()),
            |claim| (claim.generation, claim.token),
        );
        let mut write = PendingWrite::new(name, generation, token, action);
        write.maybe_written = maybe_written;
        self.queue.writes.push_back(write);
    }

    fn new_token(&mut self) -> String {
        self.token_count += 1;
        let (node, incarnation) = &self.owner;
        format!("{node}-{incarnation}-{}", self.token_count)
    }

    /// Ends a write that the store keeps refusing.
    pub(super) fn abandon(&mut self, write: PendingWrite) {
        match write.action {
            WriteAction::Insert { .. } if write.maybe_written => {
                self.queue.abandoned.track(&write, CHECK_COUNT);
                self.deliver(write, ClaimResult::Unavailable);
            }
            WriteAction::Insert { .. } => self.deliver(write, ClaimResult::Unavailable),
            WriteAction::Record { .. } => increment(&self.stats.dropped_records, 1),
            WriteAction::Delete { .. } => {}
        }
    }

    /// Ends a committed write whose transaction was sent at `start`.
    pub(super) fn finish_commit(
        &mut self,
        write: PendingWrite,
        version: RowVersion,
        start: Instant,
    ) {
        match write.action {
            WriteAction::Insert { .. } => self.send_grant(write, version, start + self.send_within),
            WriteAction::Record { .. } => {}
            WriteAction::Delete { checks_left } => self.finish_delete(&write, checks_left),
        }
    }

    fn finish_delete(&mut self, write: &PendingWrite, checks_left: usize) {
        if write.maybe_written {
            self.queue.abandoned.track(write, checks_left);
        }
    }

    /// Resolves a write by its rows, which were read before `confirmed_at`, a time at which the
    /// generation was still current. Returns the write if it must still be executed.
    pub(super) fn resolve(
        &mut self,
        mut write: PendingWrite,
        rows: Vec<Option<TableRow>>,
        confirmed_at: Instant,
    ) -> Option<PendingWrite> {
        let mut rows = rows.into_iter();
        let current = write.match_row(rows.next().flatten());
        let previous = write.match_row(rows.next().flatten());
        write.must_read_row = false;
        if let WriteAction::Insert { fingerprint, .. } = &write.action {
            let fingerprint = fingerprint.clone();
            return self.resolve_insert(write, (current, previous), &fingerprint, confirmed_at);
        }
        match (&write.action, current) {
            (
                WriteAction::Record { .. } | WriteAction::Delete { .. },
                RowMatch::Own(version, claim),
            ) if claim.state == ClaimState::Started => {
                write.version = version;
                return Some(write);
            }
            (WriteAction::Record { .. }, RowMatch::Own(..)) => {}
            (WriteAction::Record { .. }, RowMatch::Absent | RowMatch::Other(_)) => {
                increment(&self.stats.dropped_records, 1);
            }
            (WriteAction::Insert { .. }, _) => {}
            (WriteAction::Delete { checks_left }, _) => {
                let checks_left = *checks_left;
                self.finish_delete(&write, checks_left);
            }
        }
        None
    }

    fn resolve_insert(
        &mut self,
        mut write: PendingWrite,
        rows: (RowMatch, RowMatch),
        fingerprint: &RequestFingerprint,
        confirmed_at: Instant,
    ) -> Option<PendingWrite> {
        let result = match rows {
            (RowMatch::Other(claim), _) | (_, RowMatch::Other(claim)) => {
                if write.maybe_written {
                    self.queue.abandoned.track(&write, CHECK_COUNT);
                }
                conflict_result(claim, fingerprint)
            }
            (RowMatch::Own(_, claim), _) | (_, RowMatch::Own(_, claim))
                if claim.state == ClaimState::Done =>
            {
                ClaimResult::MayHaveRun
            }
            (RowMatch::Own(version, claim), RowMatch::Absent)
                if claim.fingerprint == *fingerprint =>
            {
                self.send_grant(write, version, confirmed_at + self.send_within);
                return None;
            }
            // Replaces a row of this claim from the previous generation, or of a request that was
            // not sent.
            (current, previous) => {
                write.version = current.version();
                write.previous_version = previous.version();
                return Some(write);
            }
        };
        self.deliver(write, result);
        None
    }

    fn send_grant(&self, write: PendingWrite, version: RowVersion, send_before: Instant) {
        let WriteAction::Insert { fingerprint, .. } = &write.action else {
            return;
        };
        let grant = ClaimGrant {
            fingerprint: fingerprint.clone(),
            send_before,
            generation: write.generation,
            name: write.name.clone(),
            token: write.token.clone(),
            version,
            maybe_written: write.maybe_written,
        };
        self.deliver(write, ClaimResult::Granted(grant));
    }

    fn deliver(&self, write: PendingWrite, result: ClaimResult) {
        if let WriteAction::Insert { reply, .. } = write.action {
            // If the receiver is gone, dropping the delivery releases a grant.
            let _ = reply.send(ClaimDelivery {
                result: Some(result),
                commands: self.sender.clone(),
            });
        }
    }
}

/// Returns the result of a claim whose key has the row of another claim, which is `None` if it
/// cannot be decoded.
fn conflict_result(claim: Option<Box<ClaimRow>>, fingerprint: &RequestFingerprint) -> ClaimResult {
    match claim {
        Some(claim) if claim.fingerprint != *fingerprint => ClaimResult::KeyReused,
        Some(claim) => claim
            .response()
            .map_or(ClaimResult::MayHaveRun, ClaimResult::Recorded),
        None => ClaimResult::MayHaveRun,
    }
}
