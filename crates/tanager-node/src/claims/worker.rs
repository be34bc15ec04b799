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
use crate::claims::add;
use crate::claims::generation::ClaimGeneration;
use crate::claims::resolver::ClaimResolver;
use crate::claims::transaction::BatchResult;
use crate::claims::transaction::BatchTransaction;
use crate::claims::write::PendingWrite;

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
    commands: mpsc::UnboundedReceiver<ClaimCommand>,
    resolver: ClaimResolver,
    flushes: Vec<oneshot::Sender<()>>,
    /// The generation as last read; `None` when it must be read before the next insert.
    generation: Option<ClaimGeneration>,
    /// Largest batch of the settings.
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

    /// Runs until the service is dropped; then no longer waits for the end of an outage.
    pub(super) async fn run(mut self) {
        loop {
            if self.resolver.queue.is_empty() {
                for flush in self.flushes.drain(..) {
                    // Fails when the caller no longer waits.
                    let _ = flush.send(());
                }
                let check = self.resolver.queue.unsent.next_check();
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
            self.resolver.queue.check_unsent();
            self.resolver.queue.drop_abandoned();
            let batch = self.resolver.queue.take_batch(self.max_batch);
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
            ClaimCommand::Flush(reply) => self.flushes.push(reply),
            command => self.resolver.accept(command),
        }
    }

    async fn process(&mut self, mut batch: Vec<PendingWrite>) -> Result<(), BackOff> {
        let generation = match self.generation {
            Some(generation) => generation,
            None if batch.iter().any(PendingWrite::is_insert) => {
                let Ok(generation) = ClaimGeneration::read(&self.platform).await else {
                    self.resolver.queue.put_back(batch);
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
                self.resolver.queue.put_back(unchecked);
                self.resolver.queue.put_back(ready);
                return current.map(|_| ()).map_err(|_| BackOff);
            }
        }
        let mut unread = Vec::new();
        for (mut write, rows) in unchecked.into_iter().zip(rows) {
            match rows {
                Ok(rows) => ready.extend(self.resolver.resolve(write, rows, confirmed)),
                Err(error) if error.kind == ErrorKind::Refused && write.failures > MAX_FAILURES => {
                    self.resolver.give_up(write);
                }
                Err(error) => {
                    write.failures += u32::from(error.kind == ErrorKind::Refused);
                    unread.push(write);
                }
            }
        }
        let failed = !unread.is_empty();
        self.resolver.queue.put_back(unread);
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
            let Ok(built) = BatchTransaction::build(&ready, generation, &self.resolver.owner)
            else {
                // Rows consist of strings and numbers, which always have a JSON form.
                ready
                    .into_iter()
                    .for_each(|write| self.resolver.give_up(write));
                break Ok(());
            };
            add(&self.resolver.stats.batches, 1);
            let start = Instant::now();
            let result = self.platform.transact(&built.transaction).await;
            match result.map(|result| built.view(result)) {
                Ok(Some(BatchResult::Committed(versions))) => {
                    add(&self.resolver.stats.writes, ready.len());
                    self.backoff = MIN_BACKOFF;
                    self.max_batch = (self.max_batch * 2).min(self.batch_limit);
                    for (write, version) in ready.into_iter().zip(versions) {
                        self.resolver.committed(write, version, start);
                    }
                    break Ok(());
                }
                Ok(Some(BatchResult::GenerationEnded)) => {
                    self.generation = None;
                    add(&self.resolver.stats.conflicts, 1);
                    self.resolver.queue.put_back(ready);
                    break Ok(());
                }
                Ok(Some(BatchResult::Conflict(failed))) => {
                    let writes = ready.into_iter().enumerate();
                    let (out, left): (Vec<_>, Vec<_>) =
                        writes.partition(|(index, _)| failed.contains(index));
                    add(&self.resolver.stats.conflicts, out.len());
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
                    self.resolver.queue.put_back(ready);
                    break Err(BackOff);
                }
                _ => {
                    add(&self.resolver.stats.lost_responses, 1);
                    ready.iter_mut().for_each(PendingWrite::mark_unknown);
                    self.resolver.queue.put_back(ready);
                    break Err(BackOff);
                }
            }
        };
        // Rows that keep conflicting although they were read are not retried without a pause.
        let stuck = conflicting
            .iter()
            .any(|write| write.failures > MAX_FAILURES);
        self.resolver.queue.put_back(conflicting);
        if stuck { Err(BackOff) } else { result }
    }

    /// The store may refuse a transaction because of its size or because of one of its rows, so it
    /// is retried in smaller batches.
    fn refused(&mut self, mut ready: Vec<PendingWrite>) {
        self.max_batch = (ready.len() / 2).max(1);
        if let [write] = ready.as_mut_slice() {
            write.failures += 1;
            if write.failures > MAX_FAILURES {
                ready
                    .into_iter()
                    .for_each(|write| self.resolver.give_up(write));
                return;
            }
        }
        self.resolver.queue.put_back(ready);
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

async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}
