//! Task that writes claims to the store, one transaction at a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time;

use tanager_platform::PlatformClient;
use tanager_platform::TableRow;
use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerResult;

use crate::claims::ClaimCommand;
use crate::claims::ClaimSettings;
use crate::claims::generation::ClaimGeneration;
use crate::claims::increment;
use crate::claims::resolver::ClaimResolver;
use crate::claims::transaction::BatchResult;
use crate::claims::transaction::BatchTransaction;
use crate::claims::write::PendingWrite;

/// Concurrent row reads, as many as the connections that the platform client keeps open.
const MAX_READS: usize = 16;
/// Failures of a write after which a conflict backs off and a refusal abandons the write.
const MAX_FAILURES: u32 = 4;
const MIN_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// The store makes no progress; the worker waits before the next attempt.
struct BackoffRequired;

/// Writes claims to the store, one transaction at a time.
pub(super) struct ClaimWorker {
    platform: Arc<PlatformClient>,
    commands: mpsc::UnboundedReceiver<ClaimCommand>,
    resolver: ClaimResolver,
    flushes: Vec<oneshot::Sender<()>>,
    /// Last read generation; `None` if it must be read before the next insert.
    generation: Option<ClaimGeneration>,
    /// Largest batch that the settings allow.
    batch_limit: usize,
    /// Largest batch that the store is expected to accept.
    max_batch: usize,
    backoff: Duration,
}

impl ClaimWorker {
    pub(super) fn new(
        platform: Arc<PlatformClient>,
        resolver: ClaimResolver,
        commands: mpsc::UnboundedReceiver<ClaimCommand>,
        settings: ClaimSettings,
    ) -> Self {
        let batch_limit = settings.max_batch.max(1);
        Self {
            platform,
            commands,
            resolver,
            flushes: Vec::new(),
            generation: None,
            batch_limit,
            max_batch: batch_limit,
            backoff: MIN_BACKOFF,
        }
    }

    /// Runs until the service is dropped. Pending writes are then completed unless one fails.
    pub(super) async fn run(mut self) {
        loop {
            if self.resolver.queue.is_empty() {
                for flush in self.flushes.drain(..) {
                    // Fails if the caller no longer waits.
                    let _ = flush.send(());
                }
                let check = self.resolver.queue.abandoned.next_check();
                tokio::select! {
                    command = self.commands.recv() => match command {
                        Some(command) => self.enqueue(command),
                        None => return,
                    },
                    () = sleep_until(check) => {}
                }
            }
            while let Ok(command) = self.commands.try_recv() {
                self.enqueue(command);
            }
            self.resolver.queue.check_abandoned();
            self.resolver.queue.remove_abandoned();
            let batch = self.resolver.queue.take_batch(self.max_batch);
            if batch.is_empty() {
                continue;
            }
            if self.write_batch(batch).await.is_err() {
                if self.commands.is_closed() {
                    return;
                }
                time::sleep(self.backoff.mul_f64(rand::random_range(0.5..1.0))).await;
                self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            }
        }
    }

    fn enqueue(&mut self, command: ClaimCommand) {
        match command {
            ClaimCommand::Flush(reply) => self.flushes.push(reply),
            command => self.resolver.enqueue(command),
        }
    }

    async fn write_batch(&mut self, mut batch: Vec<PendingWrite>) -> Result<(), BackoffRequired> {
        let generation = match self.generation {
            Some(generation) => generation,
            None if batch.iter().any(PendingWrite::is_insert) => {
                let Ok(generation) = ClaimGeneration::read(&self.platform).await else {
                    self.resolver.queue.requeue(batch);
                    return Err(BackoffRequired);
                };
                *self.generation.insert(generation)
            }
            None => ClaimGeneration::default(),
        };
        for write in &mut batch {
            write.move_to_generation(generation.number);
        }
        let (unchecked, mut ready): (Vec<_>, Vec<_>) =
            batch.into_iter().partition(|write| write.must_read_row);
        let rows = self.read_rows(&unchecked).await;
        // A row grants its claim only if the generation is still current after the row was read.
        let confirmed_at = Instant::now();
        if unchecked.iter().any(PendingWrite::is_insert) {
            let current = ClaimGeneration::read(&self.platform).await;
            self.generation = current.as_ref().ok().copied();
            if self.generation != Some(generation) {
                self.resolver.queue.requeue(unchecked);
                self.resolver.queue.requeue(ready);
                return current.map(|_| ()).map_err(|_| BackoffRequired);
            }
        }
        let mut unread = Vec::new();
        for (mut write, rows) in unchecked.into_iter().zip(rows) {
            match rows {
                Ok(rows) => ready.extend(self.resolver.resolve(write, rows, confirmed_at)),
                Err(error) if error.kind == ErrorKind::Refused && write.failures > MAX_FAILURES => {
                    self.resolver.abandon(write);
                }
                Err(error) => {
                    write.failures += u32::from(error.kind == ErrorKind::Refused);
                    unread.push(write);
                }
            }
        }
        let failed = !unread.is_empty();
        self.resolver.queue.requeue(unread);
        if ready.is_empty() {
            return if failed { Err(BackoffRequired) } else { Ok(()) };
        }
        self.transact(ready, generation).await
    }

    async fn transact(
        &mut self,
        mut ready: Vec<PendingWrite>,
        generation: ClaimGeneration,
    ) -> Result<(), BackoffRequired> {
        let mut conflicting = Vec::new();
        let result = loop {
            if ready.is_empty() {
                break Ok(());
            }
            let Ok(built) = BatchTransaction::build(&ready, generation, &self.resolver.owner)
            else {
                // Unreachable: strings and numbers can always be serialized as JSON.
                ready
                    .into_iter()
                    .for_each(|write| self.resolver.abandon(write));
                break Ok(());
            };
            increment(&self.resolver.stats.batches, 1);
            let start = Instant::now();
            let result = self.platform.transact(&built.transaction).await;
            match result.map(|result| built.interpret(result)) {
                Ok(Some(BatchResult::Committed(versions))) => {
                    increment(&self.resolver.stats.writes, ready.len());
                    self.backoff = MIN_BACKOFF;
                    self.max_batch = (self.max_batch * 2).min(self.batch_limit);
                    for (write, version) in ready.into_iter().zip(versions) {
                        self.resolver.finish_commit(write, version, start);
                    }
                    break Ok(());
                }
                Ok(Some(BatchResult::GenerationEnded)) => {
                    self.generation = None;
                    increment(&self.resolver.stats.conflicts, 1);
                    self.resolver.queue.requeue(ready);
                    break Ok(());
                }
                Ok(Some(BatchResult::Conflict(failed))) => {
                    let writes = ready.into_iter().enumerate();
                    let (failed_writes, remaining): (Vec<_>, Vec<_>) =
                        writes.partition(|(index, _)| failed.contains(index));
                    increment(&self.resolver.stats.conflicts, failed_writes.len());
                    ready = remaining.into_iter().map(|(_, write)| write).collect();
                    conflicting.extend(failed_writes.into_iter().map(|(_, mut write)| {
                        write.must_read_row = true;
                        write.failures += 1;
                        write
                    }));
                }
                Err(error) if error.kind == ErrorKind::Refused => {
                    self.handle_refusal(ready);
                    break Err(BackoffRequired);
                }
                Err(error) if error.kind == ErrorKind::NotSent => {
                    self.resolver.queue.requeue(ready);
                    break Err(BackoffRequired);
                }
                _ => {
                    increment(&self.resolver.stats.lost_responses, 1);
                    ready.iter_mut().for_each(PendingWrite::mark_unknown);
                    self.resolver.queue.requeue(ready);
                    break Err(BackoffRequired);
                }
            }
        };
        // Backs off if a row keeps conflicting although it was read before each attempt.
        let keeps_conflicting = conflicting
            .iter()
            .any(|write| write.failures > MAX_FAILURES);
        self.resolver.queue.requeue(conflicting);
        if keeps_conflicting {
            Err(BackoffRequired)
        } else {
            result
        }
    }

    /// Retries a refused transaction in smaller batches: the store may have refused it because of
    /// its size or because of one of its rows.
    fn handle_refusal(&mut self, mut ready: Vec<PendingWrite>) {
        self.max_batch = (ready.len() / 2).max(1);
        if let [write] = ready.as_mut_slice() {
            write.failures += 1;
            if write.failures > MAX_FAILURES {
                ready
                    .into_iter()
                    .for_each(|write| self.resolver.abandon(write));
                return;
            }
        }
        self.resolver.queue.requeue(ready);
    }

    /// Reads the rows that decide each write.
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

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}
