//! The ledger of a cell: jobs that wait to be stored, and what is known of its serial transactions.
//!
//! Every transaction requires the owner row and the ledger row to be as this owner last wrote them,
//! and writes the ledger row. If the store carries a transaction out late, after a newer one or
//! after a takeover, its conditions fail. A transaction without a response can therefore be sent
//! again: the ledger row returned with a conflict shows whether it was applied before.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::record::decode_record;
use tanager_site::store::RowVersion;
use tanager_site::store::TableRow;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::authentication::JobOwnership;
use crate::commit_outcome::EarlierAttempts;
use crate::records::Incarnation;
use crate::records::LEDGER_KEY;
use crate::records::LEDGER_TABLE;
use crate::records::LedgerRecord;

/// Bounds of the time limit of a transaction, which is `TIMEOUT_FACTOR` times the duration of the
/// last one. A transaction takes about 15 ms, and 60 times as long if the store is slow.
const MIN_TIMEOUT: Duration = Duration::from_millis(250);
pub(crate) const MAX_TIMEOUT: Duration = Duration::from_millis(1_500);
const TIMEOUT_FACTOR: u32 = 4;
/// New jobs are refused if no transaction was applied for longer than this although one was sent, which
/// is enough for a lost response and a second attempt.
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

/// How a transaction ended, as far as it tells whether the cell can store anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TransactionEnd {
    /// Applied.
    Applied,
    /// Not applied; the store may take others.
    Rejected,
    /// Not applied, and neither would others be.
    Failed,
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
    pub(crate) wake: Notify,
    /// Number of transactions that were committed and of responses about delegated jobs.
    committed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
pub(crate) struct LedgerState {
    /// Jobs that wait for a transaction.
    pub(crate) inserts: VecDeque<JobRecord>,
    /// Jobs among `inserts` that a transaction contained before.
    sent: HashSet<JobId>,
    /// Jobs among them whose transaction may still be applied, until a later one is.
    uncertain: HashSet<JobId>,
    waiters: HashMap<JobId, Vec<oneshot::Sender<StoreResult>>>,
    /// Queue and workspace of the jobs in `waiters`.
    ownerships: HashMap<JobId, JobOwnership>,
    /// Start of the transaction in progress.
    started: Option<Duration>,
    /// Start of the first transaction that was not applied, of those since the last one that was.
    failing_since: Option<Duration>,
    /// Whether it was noted that jobs are refused since then.
    is_block_noted: bool,
    /// Duration of the last transaction.
    last_duration: Duration,
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
    pub(crate) fn timeout(&self) -> Duration {
        (self.lock().last_duration * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }

    /// Returns whether a transaction is in progress or a job waits for one.
    pub fn is_busy(&self) -> bool {
        let state = self.lock();
        state.started.is_some() || !state.inserts.is_empty()
    }

    /// Returns whether transactions take or fail too long to accept new jobs.
    pub fn is_blocked(&self, now: Duration) -> bool {
        let state = self.lock();
        (state.failing_since.or(state.started))
            .is_some_and(|since| now.saturating_sub(since) > BLOCKED_LIMIT)
    }

    /// Records that a transaction is sent.
    pub fn begin_transaction(&self, now: Duration) {
        self.lock().started = Some(now);
    }

    /// Records that the transaction in progress ended; returns the time since the first of those that
    /// failed.
    pub fn end_transaction(&self, now: Duration, end: TransactionEnd) -> Duration {
        let mut state = self.lock();
        let started = state.started.take().unwrap_or(now);
        state.last_duration = now.saturating_sub(started);
        let failing_since = state.failing_since.unwrap_or(started);
        match end {
            TransactionEnd::Applied => {
                state.uncertain.clear();
                state.failing_since = None;
                state.is_block_noted = false;
            }
            TransactionEnd::Failed => state.failing_since = Some(failing_since),
            TransactionEnd::Rejected => {}
        }
        now.saturating_sub(failing_since)
    }

    /// Records that nothing waits for a transaction, so that the next job is tried.
    pub fn end_failures(&self) {
        let mut state = self.lock();
        state.failing_since = None;
        state.is_block_noted = false;
    }

    /// Notes that the cell refuses jobs; returns whether that was not noted yet.
    pub(crate) fn note_blocked(&self) -> bool {
        !std::mem::replace(&mut self.lock().is_block_noted, true)
    }

    /// Returns jobs to the queue that a transaction contained and did not store.
    pub(crate) fn return_inserts(&self, records: Vec<JobRecord>, earlier: EarlierAttempts) {
        let mut state = self.lock();
        for record in records.into_iter().rev() {
            state.sent.insert(record.id);
            if earlier == EarlierAttempts::Uncertain {
                state.uncertain.insert(record.id);
            }
            state.inserts.push_front(record);
        }
    }

    /// Refuses a job in the queue, which will not be stored.
    pub(crate) fn refuse_waiting(&self, id: JobId) {
        self.lock().inserts.retain(|record| record.id != id);
        self.refuse(id);
    }

    /// Refuses a job that is not in the queue any more, unless an earlier transaction may store it.
    pub(crate) fn refuse(&self, id: JobId) {
        let result = match self.lock().uncertain.contains(&id) {
            true => StoreResult::Uncertain,
            false => StoreResult::NotStored,
        };
        self.resolve(id, result);
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

    pub(crate) fn resolve(&self, id: JobId, result: StoreResult) {
        let waiters = {
            let mut state = self.lock();
            state.sent.remove(&id);
            state.uncertain.remove(&id);
            state.ownerships.remove(&id);
            state.waiters.remove(&id).unwrap_or_default()
        };
        for waiter in waiters {
            // The client may have disconnected.
            let _ = waiter.send(result);
        }
    }

    /// Refuses the jobs in the queue.
    pub(crate) fn refuse_queued(&self) {
        let queued: Vec<JobRecord> = self.lock().inserts.drain(..).collect();
        for record in queued {
            self.refuse(record.id);
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
