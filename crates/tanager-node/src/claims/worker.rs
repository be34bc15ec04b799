//! Task that writes claims to the store, one transaction at a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time;

use tanager_platform::PlatformClient;
use tanager_platform::RowVersion;
use tanager_platform::TableRow;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;

use crate::claims::ClaimCommand;
use crate::claims::ClaimDelivery;
use crate::claims::ClaimOwner;
use crate::claims::ClaimResult;
use crate::claims::ClaimSettings;
use crate::claims::ClaimStats;
use crate::claims::ClaimTicket;
use crate::claims::add;
use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::generation::ClaimGeneration;
use crate::claims::queue::WriteQueue;
use crate::claims::record::ClaimRow;
use crate::claims::record::ClaimState;
use crate::claims::transaction::BatchResult;
use crate::claims::transaction::BatchTransaction;
use crate::claims::unsent::FULL_CHECKS;
use crate::claims::write::PendingWrite;
use crate::claims::write::RowView;
use crate::claims::write::WriteAction;

/// Rows read at a time; the platform's client keeps as many connections.
const MAX_READS: usize = 16;
/// A write that conflicts or is refused more often waits, and a refused one is given up.
const MAX_FAILURES: u32 = 4;
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The store makes no progress: wait before the next attempt.
struct BackOff;

/// Task that writes claims.
pub(super) struct ClaimWorker {
    platform: Arc<PlatformClient>,
    owner: ClaimOwner,
    sender: mpsc::WeakUnboundedSender<ClaimCommand>,
    commands: mpsc::UnboundedReceiver<ClaimCommand>,
    stats: Arc<ClaimStats>,
    queue: WriteQueue,
    flushes: Vec<oneshot::Sender<()>>,
    tokens: u64,
    /// The generation as last read; `None` when it must be read before the next insert.
    generation: Option<ClaimGeneration>,
    send_within: Duration,
    /// Largest batch of the settings.
    batch_limit: usize,
    /// Largest batch that the store is expected to accept.
    max_batch: usize,
    backoff: Duration,
}

impl ClaimWorker {
    pub(super) fn new(
        platform: Arc<PlatformClient>,
        owner: ClaimOwner,
        sender: mpsc::WeakUnboundedSender<ClaimCommand>,
        commands: mpsc::UnboundedReceiver<ClaimCommand>,
        stats: Arc<ClaimStats>,
        settings: ClaimSettings,
    ) -> Self {
        let batch_limit = settings.max_batch.max(1);
        Self {
            platform,
            owner,
            sender,
            commands,
            stats,
            queue: WriteQueue::default(),
            flushes: Vec::new(),
            tokens: 0,
            generation: None,
            send_within: settings.send_within,
            batch_limit,
            max_batch: batch_limit,
            backoff: MIN_BACKOFF,
        }
    }

    /// Runs until the service is dropped; then no longer waits for the end of an outage.
    pub(super) async fn run(mut self) {
        loop {
            if self.queue.is_empty() {
                for flush in self.flushes.drain(..) {
                    // Fails when the caller no longer waits.
                    let _ = flush.send(());
                }
                let check = self.queue.unsent.next_check();
                tokio::select! {
                    command = self.commands.recv() => match command {
                        Some(command) => self.accept(command),
                        None => return,
                    },
                    () = sleep_until(check) => {}
                }
            }
            while let Ok(command) = self.commands.try_recv() {
                self.accept(command);
            }
            self.queue.check_unsent();
            self.queue.drop_abandoned();
            let batch = self.queue.take_batch(self.max_batch);
            if batch.is_empty() {
                continue;
            }
            if self.process(batch).await.is_err() {
                if self.commands.is_closed() {
                    return;
                }
                time::sleep(self.backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    fn accept(&mut self, command: ClaimCommand) {
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
            ClaimCommand::Flush(reply) => self.flushes.push(reply),
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

    async fn process(&mut self, mut batch: Vec<PendingWrite>) -> Result<(), BackOff> {
        let generation = match self.generation {
            Some(generation) => generation,
            None if batch.iter().any(PendingWrite::is_insert) => {
                let Ok(generation) = ClaimGeneration::read(&self.platform).await else {
                    self.queue.put_back(batch);
                    return Err(BackOff);
                };
                *self.generation.insert(generation)
            }
            None => ClaimGeneration::default(),
        };
        for write in &mut batch {
            write.enter(generation.number);
        }
        let (unchecked, mut ready): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|write| write.check_row);
        let rows = self.read_rows(&unchecked).await;
        // A claim is granted by its row only if the generation is still current after the row was
        // read.
        let confirmed = Instant::now();
        if unchecked.iter().any(PendingWrite::is_insert) {
            let current = ClaimGeneration::read(&self.platform).await;
            self.generation = current.as_ref().ok().copied();
            if self.generation != Some(generation) {
                self.queue.put_back(unchecked);
                self.queue.put_back(ready);
                return current.map(|_| ()).map_err(|_| BackOff);
            }
        }
        let mut unread = Vec::new();
        for (mut write, rows) in unchecked.into_iter().zip(rows) {
            match rows {
                Ok(rows) => ready.extend(self.resolve(write, rows, confirmed)),
                Err(error) if error.kind == ErrorKind::Refused && write.failures > MAX_FAILURES => {
                    self.give_up(write);
                }
                Err(error) => {
                    write.failures += u32::from(error.kind == ErrorKind::Refused);
                    unread.push(write);
                }
            }
        }
        let failed = !unread.is_empty();
        self.queue.put_back(unread);
        if ready.is_empty() {
            return if failed { Err(BackOff) } else { Ok(()) };
        }
        self.transact(ready, generation).await
    }

    async fn transact(
        &mut self,
        mut ready: Vec<PendingWrite>,
        generation: ClaimGeneration,
    ) -> Result<(), BackOff> {
        let mut conflicting = Vec::new();
        let result = loop {
            if ready.is_empty() {
                break Ok(());
            }
            let Ok(built) = BatchTransaction::build(&ready, generation, &self.owner) else {
                // Rows consist of strings and numbers, which always have a JSON form.
                ready.into_iter().for_each(|write| self.give_up(write));
                break Ok(());
            };
            add(&self.stats.batches, 1);
            let start = Instant::now();
            let result = self.platform.transact(&built.transaction).await;
            match result.map(|result| built.view(result)) {
                Ok(Some(BatchResult::Committed(versions))) => {
                    add(&self.stats.writes, ready.len());
                    self.backoff = MIN_BACKOFF;
                    self.max_batch = (self.max_batch * 2).min(self.batch_limit);
                    for (write, version) in ready.into_iter().zip(versions) {
                        self.committed(write, version, start);
                    }
                    break Ok(());
                }
                Ok(Some(BatchResult::GenerationEnded)) => {
                    self.generation = None;
                    add(&self.stats.conflicts, 1);
                    self.queue.put_back(ready);
                    break Ok(());
                }
                Ok(Some(BatchResult::Conflict(failed))) => {
                    let writes = ready.into_iter().enumerate();
                    let (out, left): (Vec<_>, Vec<_>) =
                        writes.partition(|(index, _)| failed.contains(index));
                    add(&self.stats.conflicts, out.len());
                    ready = left.into_iter().map(|(_, write)| write).collect();
                    conflicting.extend(out.into_iter().map(|(_, mut write)| {
                        write.check_row = true;
                        write.failures += 1;
                        write
                    }));
                }
                Err(error) if error.kind == ErrorKind::Refused => {
                    self.refused(ready);
                    break Err(BackOff);
                }
                Err(error) if error.kind == ErrorKind::NotSent => {
                    self.queue.put_back(ready);
                    break Err(BackOff);
                }
                _ => {
                    add(&self.stats.lost_responses, 1);
                    ready.iter_mut().for_each(PendingWrite::mark_unknown);
                    self.queue.put_back(ready);
                    break Err(BackOff);
                }
            }
        };
        // Rows that keep conflicting although they were read are not retried without a pause.
        let stuck = conflicting
            .iter()
            .any(|write| write.failures > MAX_FAILURES);
        self.queue.put_back(conflicting);
        if stuck { Err(BackOff) } else { result }
    }

    /// The store may refuse a transaction because of its size or because of one of its rows, so it
    /// is retried in smaller batches.
    fn refused(&mut self, mut ready: Vec<PendingWrite>) {
        self.max_batch = (ready.len() / 2).max(1);
        if let [write] = ready.as_mut_slice() {
            write.failures += 1;
            if write.failures > MAX_FAILURES {
                ready.into_iter().for_each(|write| self.give_up(write));
                return;
            }
        }
        self.queue.put_back(ready);
    }

    fn give_up(&mut self, write: PendingWrite) {
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

    fn committed(&mut self, write: PendingWrite, version: RowVersion, start: Instant) {
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
    fn resolve(
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
                ClaimResult::Held
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
        let ticket = ClaimTicket {
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

    /// Reads the rows of each write.
    async fn read_rows(
        &self,
        writes: &[PendingWrite],
    ) -> Vec<TanagerResult<Vec<Option<TableRow>>>> {
        let mut rows = Vec::with_capacity(writes.len());
        for chunk in writes.chunks(MAX_READS) {
            let mut reads = JoinSet::new();
            for (index, write) in chunk.iter().enumerate() {
                let platform = Arc::clone(&self.platform);
                let row_keys = write.row_keys();
                reads.spawn(async move {
                    let mut rows = Vec::with_capacity(row_keys.len());
                    for row_key in row_keys {
                        match platform.read(&row_key).await {
                            Ok(row) => rows.push(row),
                            Err(error) => return (index, Err(error)),
                        }
                    }
                    (index, Ok(rows))
                });
            }
            let mut results = reads.join_all().await;
            results.sort_by_key(|(index, _)| *index);
            rows.extend(results.into_iter().map(|(_, rows)| rows));
        }
        rows
    }
}

/// Result of a claim whose key has the row of another claim; `None` when it cannot be decoded.
fn refusal(claim: Option<Box<ClaimRow>>, fingerprint: &RequestFingerprint) -> ClaimResult {
    match claim {
        Some(claim) if claim.fingerprint != *fingerprint => ClaimResult::KeyReused,
        Some(claim) => claim
            .answer()
            .map_or(ClaimResult::Held, ClaimResult::Recorded),
        None => ClaimResult::Held,
    }
}

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}
