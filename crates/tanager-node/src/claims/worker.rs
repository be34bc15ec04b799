//! Task that writes claims to the store, one transaction at a time.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time;

use tanager_platform::PlatformClient;
use tanager_platform::RowVersion;
use tanager_platform::TableRow;
use tanager_platform::TableTransaction;
use tanager_platform::TransactionResult;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;

use crate::claims::ClaimCommand;
use crate::claims::ClaimDelivery;
use crate::claims::ClaimResult;
use crate::claims::ClaimStats;
use crate::claims::ClaimTicket;
use crate::claims::queue::WriteQueue;
use crate::claims::record::ClaimRow;
use crate::claims::record::ClaimState;
use crate::claims::unsent::FULL_CHECKS;
use crate::claims::write::PendingWrite;
use crate::claims::write::RowView;
use crate::claims::write::WriteAction;

const MAX_BATCH: usize = 64;
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
    /// Row of a new claim, without its token.
    owner: ClaimRow,
    sender: mpsc::WeakUnboundedSender<ClaimCommand>,
    commands: mpsc::UnboundedReceiver<ClaimCommand>,
    stats: Arc<ClaimStats>,
    queue: WriteQueue,
    flushes: Vec<oneshot::Sender<()>>,
    tokens: u64,
    max_batch: usize,
    backoff: Duration,
}

impl ClaimWorker {
    pub(super) fn new(
        platform: Arc<PlatformClient>,
        owner: ClaimRow,
        sender: mpsc::WeakUnboundedSender<ClaimCommand>,
        commands: mpsc::UnboundedReceiver<ClaimCommand>,
        stats: Arc<ClaimStats>,
    ) -> Self {
        Self {
            platform,
            owner,
            sender,
            commands,
            stats,
            queue: WriteQueue::default(),
            flushes: Vec::new(),
            tokens: 0,
            max_batch: MAX_BATCH,
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
                row_key,
                reply,
                permit,
            } => {
                let action = WriteAction::Insert {
                    reply,
                    _permit: permit,
                };
                self.accept_claim(row_key, action);
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
                let mut write = PendingWrite::new(ticket.row_key, ticket.token, action);
                write.version = ticket.version;
                self.queue.writes.push_back(write);
            }
            ClaimCommand::Release(ticket) => {
                let action = WriteAction::Delete {
                    checks_left: FULL_CHECKS,
                };
                let mut write = PendingWrite::new(ticket.row_key, ticket.token, action);
                write.version = ticket.version;
                write.maybe_written = ticket.maybe_written;
                self.queue.push_delete(write);
            }
            ClaimCommand::Flush(reply) => self.flushes.push(reply),
        }
    }

    fn accept_claim(&mut self, row_key: String, action: WriteAction) {
        if let Some(delete) = self.queue.deletes.remove(&row_key) {
            if delete.maybe_deleted {
                // The removal may still take effect, so its token must not be used again.
                self.queue.deletes.insert(row_key.clone(), delete);
            } else if delete.check_row {
                let mut write = PendingWrite::new(row_key, delete.token, action);
                write.check_row = true;
                write.maybe_written = true;
                self.queue.writes.push_back(write);
                return;
            } else {
                let version = delete.version;
                self.grant(PendingWrite { action, ..delete }, version);
                return;
            }
        }
        let unsent = self.queue.unsent.take(&row_key);
        let maybe_written = unsent.is_some();
        let token = unsent.map_or_else(|| self.new_token(), |claim| claim.token);
        let mut write = PendingWrite::new(row_key, token, action);
        write.maybe_written = maybe_written;
        self.queue.writes.push_back(write);
    }

    fn new_token(&mut self) -> String {
        self.tokens += 1;
        let owner = &self.owner;
        format!("{}-{}-{}", owner.node, owner.incarnation, self.tokens)
    }

    async fn process(&mut self, batch: Vec<PendingWrite>) -> Result<(), BackOff> {
        let (unchecked, mut ready): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|write| write.check_row);
        let rows = self.read_rows(&unchecked).await;
        let mut unread = Vec::new();
        for (mut write, row) in unchecked.into_iter().zip(rows) {
            match row {
                Ok(row) => ready.extend(self.resolve(write, row)),
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
        self.transact(ready).await
    }

    async fn transact(&mut self, mut ready: Vec<PendingWrite>) -> Result<(), BackOff> {
        let mut conflicting = Vec::new();
        let result = loop {
            if ready.is_empty() {
                break Ok(());
            }
            let writes = ready.iter().map(|write| write.row_write(&self.owner));
            let Ok(writes) = writes.collect() else {
                // Rows consist of strings and numbers, which always have a JSON form.
                ready.into_iter().for_each(|write| self.give_up(write));
                break Ok(());
            };
            let conditions = ready.iter().map(PendingWrite::condition).collect();
            let transaction = TableTransaction { conditions, writes };
            add(&self.stats.batches, 1);
            match self.platform.transact(&transaction).await {
                Ok(TransactionResult::Committed(versions)) if versions.len() == ready.len() => {
                    add(&self.stats.writes, ready.len());
                    self.backoff = MIN_BACKOFF;
                    self.max_batch = (self.max_batch * 2).min(MAX_BATCH);
                    for (write, version) in ready.into_iter().zip(versions) {
                        self.committed(write, version);
                    }
                    break Ok(());
                }
                Ok(TransactionResult::Conflict(failed))
                    if failed.iter().any(|index| *index < ready.len()) =>
                {
                    let failed: HashSet<usize> = failed.into_iter().collect();
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
                self.queue
                    .unsent
                    .remember(write.row_key.clone(), write.token.clone(), FULL_CHECKS);
                self.deliver(write, ClaimResult::Unavailable);
            }
            WriteAction::Insert { .. } => self.deliver(write, ClaimResult::Unavailable),
            WriteAction::Record { .. } => add(&self.stats.dropped_records, 1),
            WriteAction::Delete { .. } => {}
        }
    }

    fn committed(&mut self, write: PendingWrite, version: RowVersion) {
        match write.action {
            WriteAction::Insert { .. } => self.grant(write, version),
            WriteAction::Record { .. } => {}
            WriteAction::Delete { checks_left } => self.deleted(write, checks_left),
        }
    }

    fn deleted(&mut self, write: PendingWrite, checks_left: usize) {
        if write.maybe_written {
            self.queue
                .unsent
                .remember(write.row_key, write.token, checks_left);
        }
    }

    /// Decides a write by the row as it is; returns the write if it is still to be done.
    fn resolve(&mut self, mut write: PendingWrite, row: Option<TableRow>) -> Option<PendingWrite> {
        let view = write.view(row);
        write.check_row = false;
        match (&write.action, view) {
            (WriteAction::Insert { .. }, RowView::Absent) => {
                write.version = 0;
                return Some(write);
            }
            (WriteAction::Insert { .. }, RowView::Own(version, ClaimState::Started)) => {
                self.grant(write, version);
            }
            (WriteAction::Insert { .. }, RowView::Own(_, ClaimState::Done)) => {
                self.deliver(write, ClaimResult::Held);
            }
            (WriteAction::Insert { .. }, RowView::Other(claim)) => {
                if write.maybe_written {
                    self.queue.unsent.remember(
                        write.row_key.clone(),
                        write.token.clone(),
                        FULL_CHECKS,
                    );
                }
                let answer = claim.and_then(|claim| claim.answer());
                let result = answer.map_or(ClaimResult::Held, ClaimResult::Recorded);
                self.deliver(write, result);
            }
            (
                WriteAction::Record { .. } | WriteAction::Delete { .. },
                RowView::Own(version, ClaimState::Started),
            ) => {
                write.version = version;
                return Some(write);
            }
            (WriteAction::Record { .. }, RowView::Own(_, ClaimState::Done)) => {}
            (WriteAction::Record { .. }, RowView::Absent | RowView::Other(_)) => {
                add(&self.stats.dropped_records, 1);
            }
            (WriteAction::Delete { checks_left }, _) => {
                let checks_left = *checks_left;
                self.deleted(write, checks_left);
            }
        }
        None
    }

    fn grant(&self, write: PendingWrite, version: RowVersion) {
        let ticket = ClaimTicket {
            row_key: write.row_key.clone(),
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

    async fn read_rows(&self, writes: &[PendingWrite]) -> Vec<TanagerResult<Option<TableRow>>> {
        let mut rows = Vec::with_capacity(writes.len());
        for chunk in writes.chunks(MAX_READS) {
            let mut reads = JoinSet::new();
            for (index, write) in chunk.iter().enumerate() {
                let platform = Arc::clone(&self.platform);
                let row_key = write.row_key.clone();
                reads.spawn(async move { (index, platform.read(&row_key).await) });
            }
            let mut results = reads.join_all().await;
            results.sort_by_key(|(index, _)| *index);
            rows.extend(results.into_iter().map(|(_, row)| row));
        }
        rows
    }
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}
