//! The ledger of a cell: serial transactions that store accepted jobs and progress.
//!
//! Every transaction requires the owner row and the ledger row to be as this owner last wrote them,
//! and writes the ledger row. If the store carries a transaction out late, after a newer one or
//! after a takeover, its conditions fail. A transaction without a response can therefore be sent
//! again: the ledger row returned with a conflict shows whether it was applied before.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::record::decode_record;
use tanager_protocol::error::TanagerError;
use tanager_site::store::ChangeResult;
use tanager_site::store::RowVersion;
use tanager_site::store::TableRow;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time;

use crate::authentication::JobOwnership;
use crate::batch_limits::BatchLimits;
use crate::cell::CellHandle;
use crate::commit_outcome::AttemptAnswer;
use crate::commit_outcome::AttemptOutcome;
use crate::commit_outcome::EarlierAttempts;
use crate::commit_outcome::attempt_outcome;
use crate::commit_outcome::is_silence_suspicious;
use crate::cpu_time;
use crate::cpu_time::Duty;
use crate::ledger_batch::LedgerBatch;
use crate::ledger_batch::StoredWorkers;
use crate::ledger_batch::build_batch;
use crate::queue_pools::QueuePoolRecord;
use crate::records::CELL_TABLE;
use crate::records::Incarnation;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LedgerRecord;

/// Bounds of the time limit of a transaction, which is `TIMEOUT_FACTOR` times the duration of the
/// last one. A transaction takes about 15 ms, and 60 times as long if the store is slow.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);
const TIMEOUT_FACTOR: u32 = 4;
/// Pause before a failed transaction is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Minimum interval between two transactions, so that changes are batched.
const TRANSACTION_PERIOD: Duration = Duration::from_millis(20);
/// New jobs are refused if the transaction in progress has taken longer than this, which is enough
/// for a lost response and a second attempt.
const BLOCKED_LIMIT: Duration = Duration::from_millis(900);

/// Result of storing a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreResult {
    /// The job is stored.
    Stored,
    /// The job is not stored, and this attempt will never store it.
    NotStored,
    /// The job is not stored and never will be by this attempt: the capacity that it needs goes to a
    /// job of higher value. It would end in time if it were sent again after this time.
    Displaced(Duration),
    /// The job may be stored, now or later.
    Uncertain,
}

/// Versions of the two rows that every transaction of a cell expects.
#[derive(Clone, Copy, Debug)]
pub struct LedgerVersions {
    /// Version of the owner row that this owner wrote.
    pub owner: RowVersion,
    /// Version of the ledger row.
    pub ledger: RowVersion,
}

/// Queue of jobs to be stored, with the requests that wait for them.
#[derive(Debug)]
pub struct Ledger {
    state: Mutex<LedgerState>,
    wake: Notify,
    /// Number of transactions that were committed and of responses about delegated jobs.
    committed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct LedgerState {
    /// Jobs that wait for a transaction.
    pub(crate) inserts: VecDeque<JobRecord>,
    /// Jobs among `inserts` that a transaction contained before.
    sent: HashSet<JobId>,
    waiters: HashMap<JobId, Vec<oneshot::Sender<StoreResult>>>,
    /// Queue and workspace of the jobs in `waiters`.
    ownerships: HashMap<JobId, JobOwnership>,
    /// Start of the transaction in progress.
    started: Option<Duration>,
    /// Duration of the last transaction.
    last_duration: Duration,
}

/// Outcome of a transaction.
enum BatchOutcome {
    /// Applied; the new version of the ledger row.
    Committed(RowVersion),
    /// Not applied.
    NotApplied,
    /// Not applied, and never will be as it is: the store rejects it, for instance for its size.
    Rejected(EarlierAttempts),
    /// Another node owns the cell.
    OwnershipLost,
    /// The cell was closed while the outcome was uncertain.
    Closed,
}

impl Ledger {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            wake: Notify::new(),
            committed: watch::Sender::new(0),
        }
    }

    /// Requests a transaction soon.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Returns a receiver of the number of committed transactions.
    pub fn committed(&self) -> watch::Receiver<u64> {
        self.committed.subscribe()
    }

    /// Wakes what waits for [`Self::committed`] after another change that may concern it.
    pub(crate) fn notify(&self) {
        self.committed.send_modify(|count| *count += 1);
    }

    /// Returns the time limit of the next transaction.
    fn timeout(&self) -> Duration {
        (self.lock().last_duration * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Returns whether a transaction is in progress or a job waits for one.
    pub fn is_busy(&self) -> bool {
        let state = self.lock();
        state.started.is_some() || !state.inserts.is_empty()
    }

    /// Returns whether the transaction in progress takes too long to accept new jobs.
    pub fn is_blocked(&self, now: Duration) -> bool {
        let started = self.lock().started;
        started.is_some_and(|started| now.saturating_sub(started) > BLOCKED_LIMIT)
    }

    /// Queues a job, or joins the attempt in progress for the same id. The receiver yields the
    /// result.
    pub fn insert(&self, record: JobRecord) -> oneshot::Receiver<StoreResult> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let waiters = state.waiters.entry(record.id).or_default();
        let is_first = waiters.is_empty();
        waiters.push(sender);
        if is_first {
            let ownership = JobOwnership {
                queue: record.queue.clone(),
                workspace: record.workspace.clone(),
            };
            state.ownerships.insert(record.id, ownership);
            state.inserts.push_back(record);
        }
        drop(state);
        self.wake();
        receiver
    }

    /// Joins the attempt in progress for an id, if there is one.
    pub fn join(&self, id: JobId) -> Option<oneshot::Receiver<StoreResult>> {
        let mut state = self.lock();
        let waiters = state.waiters.get_mut(&id)?;
        let (sender, receiver) = oneshot::channel();
        waiters.push(sender);
        Some(receiver)
    }

    /// Returns whether an attempt to store a job is in progress.
    pub fn is_storing(&self, id: JobId) -> bool {
        self.lock().waiters.contains_key(&id)
    }

    /// Returns the queue and the workspace of a job that is being stored.
    pub fn ownership(&self, id: JobId) -> Option<JobOwnership> {
        self.lock().ownerships.get(&id).cloned()
    }

    /// Returns the jobs that were never passed to a transaction.
    pub fn unsent_jobs(&self) -> Vec<JobId> {
        let state = self.lock();
        (state.inserts.iter().map(|record| record.id))
            .filter(|id| !state.sent.contains(id))
            .collect()
    }

    /// Refuses a job in favour of one of higher value; `after` is the time after which it would end
    /// in time. Returns false, and does nothing, if the job was passed to a transaction: it may be
    /// stored then.
    pub fn displace(&self, id: JobId, after: Duration) -> bool {
        let mut state = self.lock();
        if state.sent.contains(&id) {
            return false;
        }
        let Some(position) = state.inserts.iter().position(|record| record.id == id) else {
            return false;
        };
        state.inserts.remove(position);
        drop(state);
        self.resolve(id, StoreResult::Displaced(after));
        true
    }

    fn resolve(&self, id: JobId, result: StoreResult) {
        let waiters = {
            let mut state = self.lock();
            state.sent.remove(&id);
            state.ownerships.remove(&id);
            state.waiters.remove(&id).unwrap_or_default()
        };
        for waiter in waiters {
            // The client may have disconnected.
            let _ = waiter.send(result);
        }
    }

    /// Refuses jobs that were not sent to the store yet.
    fn refuse_queued(&self) {
        let queued: Vec<JobRecord> = self.lock().inserts.drain(..).collect();
        for record in queued {
            self.resolve(record.id, StoreResult::NotStored);
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new()
    }
}

/// Runs the transactions of a cell until it is closed.
pub async fn run(cell: Arc<CellHandle>, mut versions: LedgerVersions) {
    let mut sequence = 0;
    let mut limits = BatchLimits::DOCUMENTED;
    let mut stored_workers = StoredWorkers::default();
    let mut closed = cell.closed();
    loop {
        tokio::select! {
            () = cell.ledger.wake.notified() => {}
            _ = closed.wait_for(|closed| *closed) => break,
        }
        while let Some(batch) = cpu_time::measured(Duty::Ledger, || {
            build_batch(&cell, versions, limits, &stored_workers, sequence + 1)
        }) {
            sequence = batch.sequence;
            let started = cell.context.clock.now();
            cell.ledger.lock().started = Some(started);
            let outcome = match store_queue_pools(&cell, &batch).await {
                true => commit(&cell, &batch, versions).await,
                false => BatchOutcome::NotApplied,
            };
            {
                let mut state = cell.ledger.lock();
                state.started = None;
                state.last_duration = cell.context.clock.now().saturating_sub(started);
            }
            match outcome {
                BatchOutcome::Committed(version) => {
                    versions.ledger = version;
                    limits.grow();
                    if let Some(workers) = batch.workers.clone() {
                        stored_workers.record(workers);
                    }
                    apply_committed(&cell, &batch, started);
                }
                BatchOutcome::NotApplied => {
                    restore_batch(&cell, &batch);
                    cell.ledger.refuse_queued();
                    if cell.is_closed() {
                        return;
                    }
                    time::sleep(RETRY_PAUSE).await;
                }
                BatchOutcome::Rejected(earlier) => {
                    limits.shrink();
                    cut_batch(&cell, batch, earlier);
                    time::sleep(RETRY_PAUSE).await;
                }
                BatchOutcome::OwnershipLost => {
                    resolve_uncertain(&cell, &batch);
                    cell.close("ledger conflict");
                    return;
                }
                BatchOutcome::Closed => {
                    resolve_uncertain(&cell, &batch);
                    cell.ledger.refuse_queued();
                    return;
                }
            }
            let elapsed = cell.context.clock.now().saturating_sub(started);
            time::sleep(TRANSACTION_PERIOD.saturating_sub(elapsed)).await;
        }
    }
    cell.ledger.refuse_queued();
}

/// Stores which queues the new jobs of a transaction belong to, before the jobs themselves.
async fn store_queue_pools(cell: &CellHandle, batch: &LedgerBatch) -> bool {
    let records = (batch.inserts.iter()).map(|job| QueuePoolRecord {
        queue: job.queue.clone(),
        pool: job.pool.clone(),
    });
    cell.context.record_queue_pools(records).await
}

/// Sends a transaction until its outcome is known.
async fn commit(cell: &CellHandle, batch: &LedgerBatch, versions: LedgerVersions) -> BatchOutcome {
    let mut earlier = EarlierAttempts::NotApplied;
    let first_sent_at = cell.context.clock.now();
    let mut attempts = 0u32;
    let mut timeout = cell.ledger.timeout();
    loop {
        if *cell.closed().borrow() {
            return match earlier {
                EarlierAttempts::Uncertain => BatchOutcome::Closed,
                EarlierAttempts::NotApplied => BatchOutcome::NotApplied,
            };
        }
        let result = cell.context.store.change(&batch.change, timeout).await;
        timeout = (timeout * 2).min(MAX_TIMEOUT);
        attempts += 1;
        let answer = match &result {
            Ok(ChangeResult::Committed(_)) => AttemptAnswer::Applied,
            Ok(ChangeResult::Conflict(_)) => AttemptAnswer::Conflict,
            Err(error) => AttemptAnswer::from_failure(error.kind),
        };
        match (attempt_outcome(earlier, answer), result) {
            (AttemptOutcome::Applied, Ok(ChangeResult::Committed(version))) => {
                return BatchOutcome::Committed(version);
            }
            (AttemptOutcome::ReadConflict, Ok(ChangeResult::Conflict(rows))) => {
                return resolve_conflict(cell, batch, versions, &rows);
            }
            (AttemptOutcome::NotApplied, _) => return BatchOutcome::NotApplied,
            (AttemptOutcome::Rejected, result) => {
                log_rejection(cell, batch, earlier, attempts, result.err().as_ref());
                return BatchOutcome::Rejected(earlier);
            }
            (_, result) if answer == AttemptAnswer::Missing => {
                if earlier == EarlierAttempts::NotApplied {
                    log::warn!(
                        "event=commit_uncertain cell={} sequence={} jobs={} error={:?}",
                        cell.name,
                        batch.sequence,
                        batch.inserts.len(),
                        result.err()
                    );
                }
                earlier = EarlierAttempts::Uncertain;
                // If only the response was lost, the second attempt reveals the outcome. After
                // that, jobs that were not sent to the store yet are refused at once, because their
                // clients are waiting.
                if attempts > 1 {
                    cell.ledger.refuse_queued();
                }
            }
            _ => {}
        }
        let silent_for = cell.context.clock.now().saturating_sub(first_sent_at);
        if is_silence_suspicious(silent_for)
            && let Some(outcome) = read_outcome(cell, batch, versions, attempts).await
        {
            return outcome;
        }
        time::sleep(RETRY_PAUSE).await;
    }
}

/// Reads whether a transaction without an answer was applied; `None` if that is still unknown.
async fn read_outcome(
    cell: &CellHandle,
    batch: &LedgerBatch,
    versions: LedgerVersions,
    attempts: u32,
) -> Option<BatchOutcome> {
    let store = &cell.context.store;
    let read = store.rows(LEDGER_TABLE, &cell.name, Some(LEDGER_KEY), MAX_TIMEOUT);
    let page = (read.await)
        .inspect_err(|error| log::debug!("event=read_failed table={LEDGER_TABLE} error={error:?}"))
        .ok()?;
    let rows: Vec<TableRow> = (page.rows.into_iter())
        .filter(|row| row.name.key == LEDGER_KEY)
        .collect();
    let writer = cell.context.incarnation;
    if let Some(version) = applied_version(&rows, versions, writer, batch.sequence) {
        return Some(BatchOutcome::Committed(version));
    }
    let current = rows.first().map_or(0, |row| row.version);
    if current != versions.ledger {
        // The next attempt conflicts.
        return None;
    }
    let earlier = EarlierAttempts::Uncertain;
    log_rejection(cell, batch, earlier, attempts, None);
    Some(BatchOutcome::Rejected(earlier))
}

/// Logs a transaction that the store does not apply as it is, with its largest row: a row that exceeds
/// the store's limit is the most likely cause.
fn log_rejection(
    cell: &CellHandle,
    batch: &LedgerBatch,
    earlier: EarlierAttempts,
    attempts: u32,
    error: Option<&TanagerError>,
) {
    let puts = &batch.change.puts;
    let bytes: usize = puts.iter().map(|(_, value)| value.len()).sum();
    let largest = (puts.iter()).max_by_key(|(_, value)| value.len());
    let (largest_row, largest_bytes) = largest.map_or_else(
        || (String::new(), 0),
        |(name, value)| (format!("{}/{}", name.table, name.key), value.len()),
    );
    cell.context.metrics.transactions_rejected.increment();
    log::error!(
        "event=commit_rejected cell={} token={} sequence={} earlier={earlier:?} attempts={attempts} rows={} \
         bytes={bytes} largest={largest_row} largest_bytes={largest_bytes} error={error:?}",
        cell.name,
        cell.token,
        batch.sequence,
        puts.len()
    );
}

/// Determines from the rows of a conflict whether the transaction was applied before.
fn resolve_conflict(
    cell: &CellHandle,
    batch: &LedgerBatch,
    versions: LedgerVersions,
    rows: &[TableRow],
) -> BatchOutcome {
    let writer = cell.context.incarnation;
    if let Some(version) = applied_version(rows, versions, writer, batch.sequence) {
        return BatchOutcome::Committed(version);
    }
    let version_in =
        |table: &str| (rows.iter().find(|row| row.name.table == table)).map(|row| row.version);
    log::warn!(
        "event=ledger_conflict cell={} expected={versions:?} owner={:?} ledger={:?}",
        cell.name,
        version_in(CELL_TABLE),
        version_in(LEDGER_TABLE)
    );
    BatchOutcome::OwnershipLost
}

/// Returns the version that the ledger row got from a transaction of `writer` that expected
/// `versions`; `None` if `rows`, the conditions' current rows, show that it was not applied.
///
/// A process that loses a cell and acquires it again counts its transactions anew, so the row as it
/// was before the transaction may name the same writer and sequence.
pub fn applied_version(
    rows: &[TableRow],
    versions: LedgerVersions,
    writer: Incarnation,
    sequence: u64,
) -> Option<RowVersion> {
    let row = rows.iter().find(|row| row.name.table == LEDGER_TABLE)?;
    let record: LedgerRecord = decode_record(LEDGER_KEY, &row.value).ok()?;
    let is_from_transaction = record.sequence == sequence && record.writer == writer;
    (is_from_transaction && row.version > versions.ledger).then_some(row.version)
}

/// Applies the effects of a committed transaction and completes the requests that wait for it.
fn apply_committed(cell: &Arc<CellHandle>, batch: &LedgerBatch, started: Duration) {
    let clock = &cell.context.clock;
    let now = clock.now();
    cell.context
        .metrics
        .store_seconds
        .observe(now.saturating_sub(started));
    cpu_time::measured(Duty::Ledger, || {
        let mut core = cell.core();
        let wall_ms = clock.wall_ms();
        core.mark_delegations_stored(&batch.delegations);
        for record in &batch.inserts {
            core.add_job(record.clone(), now, wall_ms);
        }
        core.mark_stored(&batch.dirty, &batch.watermarks);
        core.mark_registered(&batch.registered);
    });
    for record in &batch.inserts {
        cell.ledger.resolve(record.id, StoreResult::Stored);
    }
    (cell.absorption()).record_stored(batch.dirty.iter().map(|job| job.id));
    cell.remove_absorbed_rows();
    for job in &batch.dirty {
        if job.progress.state != tanager_jobs::JobState::Open {
            cell.context.metrics.jobs_ended.increment();
        }
    }
    cell.ledger.notify();
    cell.run_decisions();
}

/// Restores the pending changes of a transaction that was not applied and refuses its new jobs.
fn restore_batch(cell: &CellHandle, batch: &LedgerBatch) {
    {
        let mut core = cell.core();
        core.restore_dirty(&batch.dirty);
        core.restore_delegations(&batch.delegations, true);
    }
    cell.absorption().restore_copies(&batch.copies);
    for record in &batch.inserts {
        cell.ledger.resolve(record.id, StoreResult::NotStored);
    }
    cell.ledger.notify();
    cell.ledger.wake();
}

/// Restores a transaction that the store rejects, so that the next ones store its rows in smaller
/// numbers. New jobs keep waiting; one that is rejected alone is refused, unless an earlier attempt
/// had no answer: only the next transaction makes certain that it is not stored.
fn cut_batch(cell: &CellHandle, batch: LedgerBatch, earlier: EarlierAttempts) {
    let rows = batch.inserts.len() + batch.dirty.len() + batch.delegations.len();
    if rows + batch.copies.len() <= 1 {
        if earlier == EarlierAttempts::Uncertain {
            for record in &batch.inserts {
                cell.ledger.resolve(record.id, StoreResult::Uncertain);
            }
        }
        restore_batch(cell, &batch);
        return;
    }
    {
        let mut core = cell.core();
        core.restore_dirty(&batch.dirty);
        core.restore_delegations(&batch.delegations, false);
    }
    cell.absorption().restore_copies(&batch.copies);
    let mut state = cell.ledger.lock();
    for record in batch.inserts.into_iter().rev() {
        state.sent.insert(record.id);
        state.inserts.push_front(record);
    }
    drop(state);
    cell.ledger.wake();
}

/// Completes the requests of a transaction whose outcome remains uncertain.
fn resolve_uncertain(cell: &CellHandle, batch: &LedgerBatch) {
    for record in &batch.inserts {
        cell.ledger.resolve(record.id, StoreResult::Uncertain);
    }
    cell.ledger.refuse_queued();
}
