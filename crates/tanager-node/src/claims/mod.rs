//! Claims of keyed non-idempotent requests, so that each runs at most once across the site.

pub mod fingerprint;
pub mod generation;
mod queue;
pub mod record;
mod resolver;
mod retention;
mod transaction;
mod unsent;
mod worker;
mod write;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use tokio::time;

use tanager_platform::PlatformClient;
use tanager_platform::RowVersion;
use tanager_platform::TableRow;
use tanager_protocol::error::TanagerResult;
use tanager_protocol::ids::Incarnation;
use tanager_protocol::ids::NodeId;
use tanager_protocol::outcome::EndpointResponse;

use crate::claims::fingerprint::RequestFingerprint;
use crate::claims::generation::ClaimGeneration;
use crate::claims::generation::row_key;
use crate::claims::record::ClaimRow;
use crate::claims::resolver::ClaimResolver;
use crate::claims::retention::RetentionTask;
use crate::claims::worker::ClaimWorker;

/// Claims that wait for the store; further ones are unavailable at once.
const MAX_WAITING_CLAIMS: usize = 4_096;
/// Bytes of completion records that wait for the store; further records are dropped, and a retry
/// of their requests is answered unknown.
const MAX_RECORD_BYTES: u32 = 16 << 20;
/// Reads of key histories at a time, so that a flood of refusals leaves the store to claims.
const MAX_HISTORY_READS: usize = 4;
/// Time without reads of key histories after one that failed.
const HISTORY_PAUSE: Duration = Duration::from_secs(1);
/// Bytes of a completion record besides headers and body.
const RECORD_OVERHEAD: usize = 512;

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// The request may be sent; pass the ticket to [`ClaimService::complete`] or
    /// [`ClaimService::release`]. A ticket that is dropped leaves the claim started, which is
    /// right for a request whose outcome is unknown.
    Granted(ClaimGrant),
    /// The request ran; this is its response.
    Recorded(EndpointResponse),
    /// The request may have run: another claim holds the key, or no response is recorded.
    MayHaveRun,
    /// The key belongs to a different request; this one did not run.
    KeyReused,
    /// The store did not answer in time.
    Unavailable,
}

/// What the store knows of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyHistory {
    /// No request with this key was sent.
    Absent,
    /// The request ran; this is its response.
    Recorded(EndpointResponse),
    /// The request may have run.
    MayHaveRun,
    /// The key belongs to a different request; this one did not run.
    KeyReused,
    /// The store did not answer.
    Unavailable,
}

/// The right to send one request.
#[derive(Debug)]
pub struct ClaimGrant {
    name: String,
    generation: u64,
    token: String,
    fingerprint: RequestFingerprint,
    version: RowVersion,
    /// Latest time at which the request may be sent.
    send_before: Instant,
    /// A write of the claim has an unknown outcome and may take effect again later.
    maybe_written: bool,
}

impl ClaimGrant {
    /// Latest time at which the request may be sent. A node that was paused for long after the
    /// grant must not send: the claim may have been removed and the key used again.
    pub fn send_before(&self) -> Instant {
        self.send_before
    }
}

/// Settings of a [`ClaimService`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Claims that share a transaction.
    pub max_batch: usize,
    /// Least time for which a claim is kept. It must be far longer than `send_within` and the time
    /// within which callers retry.
    pub retention: Duration,
    /// Longest time between a grant and the sending of its request.
    pub send_within: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            max_batch: 64,
            retention: Duration::from_secs(12 * 3_600),
            send_within: Duration::from_secs(60),
        }
    }
}

/// Returns whether this node is the home of a name.
pub type HomeCheck = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Counters of a [`ClaimService`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimCounters {
    /// Rows written.
    pub writes: u64,
    /// Transactions sent.
    pub batches: u64,
    /// Conditions that failed.
    pub conflicts: u64,
    /// Transactions whose outcome was unknown.
    pub lost_responses: u64,
    /// Completion records that were dropped.
    pub dropped_records: u64,
    /// Rows of old generations that were removed.
    pub removed_rows: u64,
}

#[derive(Debug, Default)]
struct ClaimStats {
    writes: AtomicU64,
    batches: AtomicU64,
    conflicts: AtomicU64,
    lost_responses: AtomicU64,
    dropped_records: AtomicU64,
    removed_rows: AtomicU64,
}

/// Node and incarnation that write claims.
pub type ClaimOwner = (NodeId, Incarnation);

enum ClaimCommand {
    Claim {
        name: String,
        fingerprint: RequestFingerprint,
        reply: oneshot::Sender<ClaimDelivery>,
        permit: OwnedSemaphorePermit,
    },
    Complete {
        ticket: ClaimGrant,
        row: Box<ClaimRow>,
        permit: OwnedSemaphorePermit,
    },
    Release(ClaimGrant),
    Flush(oneshot::Sender<()>),
}

/// A result on its way to the claimer. A grant that nobody takes is released, because its request
/// is not sent.
struct ClaimDelivery {
    result: Option<ClaimResult>,
    commands: mpsc::WeakUnboundedSender<ClaimCommand>,
}

impl Drop for ClaimDelivery {
    fn drop(&mut self) {
        if let Some(ClaimResult::Granted(ticket)) = self.result.take()
            && let Some(commands) = self.commands.upgrade()
        {
            // Fails only when the worker has ended.
            let _ = commands.send(ClaimCommand::Release(ticket));
        }
    }
}

/// Writes claims in batches. The writer ends when the service is dropped; call
/// [`ClaimService::flush`] first.
pub struct ClaimService {
    owner: ClaimOwner,
    commands: mpsc::UnboundedSender<ClaimCommand>,
    waiting: Arc<Semaphore>,
    record_bytes: Arc<Semaphore>,
    stats: Arc<ClaimStats>,
    platform: Arc<PlatformClient>,
    history_reads: Semaphore,
    history_failed: Mutex<Option<Instant>>,
    /// Aborted when the service is dropped.
    _retention: JoinSet<()>,
}

impl ClaimService {
    /// Starts the writer of claims; needs a tokio runtime.
    pub fn spawn(
        platform: Arc<PlatformClient>,
        owner: ClaimOwner,
        settings: ClaimSettings,
        is_home: HomeCheck,
    ) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let stats = Arc::new(ClaimStats::default());
        let resolver = ClaimResolver::new(
            owner.clone(),
            Arc::clone(&stats),
            commands.downgrade(),
            settings.send_within,
        );
        let worker = ClaimWorker::new(Arc::clone(&platform), resolver, receiver, settings);
        tokio::spawn(worker.run());
        let retention = RetentionTask {
            platform: Arc::clone(&platform),
            retention: settings.retention,
            is_home,
            stats: Arc::clone(&stats),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(retention.run());
        Self {
            owner,
            commands,
            waiting: Arc::new(Semaphore::new(MAX_WAITING_CLAIMS)),
            record_bytes: Arc::new(Semaphore::new(MAX_RECORD_BYTES as usize)),
            stats,
            platform,
            history_reads: Semaphore::new(MAX_HISTORY_READS),
            history_failed: Mutex::default(),
            _retention: tasks,
        }
    }

    /// Claims a key before its request is sent. Returns at the deadline at the latest.
    pub async fn claim(
        &self,
        pool: &str,
        key: &str,
        fingerprint: RequestFingerprint,
        deadline: Instant,
    ) -> ClaimResult {
        let Ok(permit) = Arc::clone(&self.waiting).try_acquire_owned() else {
            return ClaimResult::Unavailable;
        };
        let (reply, result) = oneshot::channel();
        let command = ClaimCommand::Claim {
            name: claim_name(pool, key),
            fingerprint,
            reply,
            permit,
        };
        if self.commands.send(command).is_err() {
            return ClaimResult::Unavailable;
        }
        match time::timeout_at(deadline.into(), result).await {
            Ok(Ok(mut delivery)) => delivery.result.take().unwrap_or(ClaimResult::Unavailable),
            _ => ClaimResult::Unavailable,
        }
    }

    /// Reads the history of a key. Answers [`KeyHistory::Unavailable`] at once while other reads
    /// fill the share of the store, and shortly after a read that failed, so that a refusal is
    /// never held back by an outage.
    pub async fn history(
        &self,
        pool: &str,
        key: &str,
        fingerprint: &RequestFingerprint,
    ) -> KeyHistory {
        let Ok(_permit) = self.history_reads.try_acquire() else {
            return KeyHistory::Unavailable;
        };
        let failed = lock(&self.history_failed).is_some_and(|time| time.elapsed() < HISTORY_PAUSE);
        if failed {
            return KeyHistory::Unavailable;
        }
        let row = match self.read_claim(&claim_name(pool, key)).await {
            Ok(row) => row,
            Err(_) => {
                *lock(&self.history_failed) = Some(Instant::now());
                return KeyHistory::Unavailable;
            }
        };
        let Some(row) = row else {
            return KeyHistory::Absent;
        };
        let claim = serde_json::from_value::<ClaimRow>(row.value).ok();
        if claim
            .as_ref()
            .is_some_and(|claim| claim.fingerprint != *fingerprint)
        {
            return KeyHistory::KeyReused;
        }
        let answer = claim.and_then(|claim| claim.answer());
        answer.map_or(KeyHistory::MayHaveRun, KeyHistory::Recorded)
    }

    /// Reads the row of a claim in the current generation, else in the previous one.
    async fn read_claim(&self, name: &str) -> TanagerResult<Option<TableRow>> {
        let generation = ClaimGeneration::read(&self.platform).await?.number;
        // An insert can move an unsent claim from the previous generation to the current one
        // between two reads, so the previous one is read first.
        let previous = match generation.checked_sub(1) {
            Some(previous) => self.platform.read(&row_key(previous, name)).await?,
            None => None,
        };
        match self.platform.read(&row_key(generation, name)).await? {
            Some(row) => Ok(Some(row)),
            None => Ok(previous),
        }
    }

    /// Records the response of a claimed request in a later batch. A record that does not fit into
    /// the waiting queue is dropped; a retry is then answered unknown.
    pub fn complete(&self, ticket: ClaimGrant, answer: &EndpointResponse) {
        let (token, fingerprint) = (ticket.token.clone(), ticket.fingerprint.clone());
        let row = ClaimRow::started(token, self.owner.clone(), fingerprint);
        let row = Box::new(row.done(answer));
        let bytes = u32::try_from(row.bytes() + RECORD_OVERHEAD).unwrap_or(MAX_RECORD_BYTES);
        let Ok(permit) = Arc::clone(&self.record_bytes).try_acquire_many_owned(bytes) else {
            self.stats.dropped_records.fetch_add(1, Ordering::Relaxed);
            return;
        };
        // Fails only when the worker has ended.
        let _ = self.commands.send(ClaimCommand::Complete {
            ticket,
            row,
            permit,
        });
    }

    /// Removes the claim of a request of which no byte was sent.
    pub fn release(&self, ticket: ClaimGrant) {
        // Fails only when the worker has ended.
        let _ = self.commands.send(ClaimCommand::Release(ticket));
    }

    /// Waits until no claim, record or release waits to be written. An outage prolongs it, so
    /// callers bound it with a timeout.
    pub async fn flush(&self) {
        let (reply, done) = oneshot::channel();
        if self.commands.send(ClaimCommand::Flush(reply)).is_ok() {
            // Fails only when the worker has ended.
            let _ = done.await;
        }
    }

    /// Returns the counters.
    pub fn counters(&self) -> ClaimCounters {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        ClaimCounters {
            writes: read(&self.stats.writes),
            batches: read(&self.stats.batches),
            conflicts: read(&self.stats.conflicts),
            lost_responses: read(&self.stats.lost_responses),
            dropped_records: read(&self.stats.dropped_records),
            removed_rows: read(&self.stats.removed_rows),
        }
    }
}

fn claim_name(pool: &str, key: &str) -> String {
    format!("{pool}/{key}")
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
