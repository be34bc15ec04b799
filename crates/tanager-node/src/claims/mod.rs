//! Claims of keyed non-idempotent requests, which make each run at most once in the whole site.
//!
//! A claim is a row that a node writes for a pool and key before it sends the request. Its
//! completion record adds the response, which later requests with the same key receive.

mod abandoned;
pub mod fingerprint;
pub mod generation;
mod queue;
pub mod record;
mod resolver;
mod retention;
mod transaction;
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

/// Largest number of claims waiting for the store; further claims are unavailable immediately.
const MAX_WAITING_CLAIMS: usize = 4_096;
/// Largest total size of completion records waiting for the store. Further records are dropped,
/// and retries of their requests get an unknown outcome.
const MAX_RECORD_BYTES: u32 = 16 << 20;
/// Largest number of concurrent key history reads, so that many refusals do not slow down claims.
const MAX_HISTORY_READS: usize = 4;
/// Time after a failed key history read during which no other is attempted.
const HISTORY_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Size of a completion record without headers and body.
const RECORD_OVERHEAD_BYTES: usize = 512;

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimResult {
    /// The request may be sent; pass the grant to [`ClaimService::complete`] or
    /// [`ClaimService::release`]. Dropping the grant leaves the claim in state `started`, which is
    /// correct for a request whose outcome is unknown.
    Granted(ClaimGrant),
    /// The request ran with this response.
    Recorded(EndpointResponse),
    /// The request may have run: another claim owns the key, or no response was recorded.
    MayHaveRun,
    /// The key was used for a different request; this one did not run.
    KeyReused,
    /// The store did not respond in time.
    Unavailable,
}

/// History of an idempotency key in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyHistory {
    /// No request with this key was sent.
    Absent,
    /// The request ran with this response.
    Recorded(EndpointResponse),
    /// The request may have run.
    MayHaveRun,
    /// The key was used for a different request; this one did not run.
    KeyReused,
    /// The store did not respond.
    Unavailable,
}

/// Permission to send one claimed request.
#[derive(Debug)]
pub struct ClaimGrant {
    name: String,
    generation: u64,
    token: String,
    fingerprint: RequestFingerprint,
    version: RowVersion,
    /// Latest time at which the request may be sent.
    send_before: Instant,
    /// Whether a write of the claim has an unknown outcome and may take effect again later.
    maybe_written: bool,
}

impl ClaimGrant {
    /// Returns the latest time at which the request may be sent. A node that was paused past this
    /// time must not send it: the claim may have been removed and the key used again.
    pub fn send_before(&self) -> Instant {
        self.send_before
    }
}

/// Settings of a [`ClaimService`].
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// Largest number of claims in one transaction.
    pub max_batch: usize,
    /// Shortest time for which a claim is retained. It must be much longer than `send_within` and
    /// than the time within which callers retry.
    pub retention: Duration,
    /// Longest time between granting a claim and sending its request.
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

/// Function that returns whether this node is the home of a name.
pub type HomeCheck = Arc<dyn Fn(&str) -> bool + Send + Sync>;

/// Counters of a [`ClaimService`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClaimCounters {
    /// Written rows.
    pub writes: u64,
    /// Sent transactions.
    pub batches: u64,
    /// Failed conditions.
    pub conflicts: u64,
    /// Transactions with an unknown outcome.
    pub lost_responses: u64,
    /// Dropped completion records.
    pub dropped_records: u64,
    /// Removed rows of old generations.
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

/// Node and incarnation that write a claim.
pub type ClaimOwner = (NodeId, Incarnation);

enum ClaimCommand {
    Claim {
        name: String,
        fingerprint: RequestFingerprint,
        reply: oneshot::Sender<ClaimDelivery>,
        permit: OwnedSemaphorePermit,
    },
    Complete {
        grant: ClaimGrant,
        row: Box<ClaimRow>,
        permit: OwnedSemaphorePermit,
    },
    Release(ClaimGrant),
    Flush(oneshot::Sender<()>),
}

/// A claim result in transit to its caller. Dropping an unreceived grant releases its claim, since
/// the request is not sent.
struct ClaimDelivery {
    result: Option<ClaimResult>,
    commands: mpsc::WeakUnboundedSender<ClaimCommand>,
}

impl Drop for ClaimDelivery {
    fn drop(&mut self) {
        if let Some(ClaimResult::Granted(grant)) = self.result.take()
            && let Some(commands) = self.commands.upgrade()
        {
            // Fails only after the worker has ended.
            let _ = commands.send(ClaimCommand::Release(grant));
        }
    }
}

/// Writes claims in batches. Dropping the service ends its worker, so call
/// [`ClaimService::flush`] first.
pub struct ClaimService {
    owner: ClaimOwner,
    commands: mpsc::UnboundedSender<ClaimCommand>,
    claim_permits: Arc<Semaphore>,
    record_permits: Arc<Semaphore>,
    stats: Arc<ClaimStats>,
    platform: Arc<PlatformClient>,
    history_reads: Semaphore,
    last_history_failure: Mutex<Option<Instant>>,
    /// Aborted when the service is dropped.
    _retention: JoinSet<()>,
}

impl ClaimService {
    /// Starts the service on the current tokio runtime.
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
            claim_permits: Arc::new(Semaphore::new(MAX_WAITING_CLAIMS)),
            record_permits: Arc::new(Semaphore::new(MAX_RECORD_BYTES as usize)),
            stats,
            platform,
            history_reads: Semaphore::new(MAX_HISTORY_READS),
            last_history_failure: Mutex::default(),
            _retention: tasks,
        }
    }

    /// Claims a key before its request is sent. Returns [`ClaimResult::Unavailable`] if there is no
    /// result by the deadline.
    pub async fn claim(
        &self,
        pool: &str,
        key: &str,
        fingerprint: RequestFingerprint,
        deadline: Instant,
    ) -> ClaimResult {
        let Ok(permit) = Arc::clone(&self.claim_permits).try_acquire_owned() else {
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

    /// Reads the history of a key. Returns [`KeyHistory::Unavailable`] immediately while too many
    /// reads are in progress or shortly after a failed read, so that an outage of the store does
    /// not delay refusals.
    pub async fn history(
        &self,
        pool: &str,
        key: &str,
        fingerprint: &RequestFingerprint,
    ) -> KeyHistory {
        let Ok(_permit) = self.history_reads.try_acquire() else {
            return KeyHistory::Unavailable;
        };
        let failed = lock(&self.last_history_failure)
            .is_some_and(|time| time.elapsed() < HISTORY_RETRY_DELAY);
        if failed {
            return KeyHistory::Unavailable;
        }
        let row = match self.read_claim(&claim_name(pool, key)).await {
            Ok(row) => row,
            Err(_) => {
                *lock(&self.last_history_failure) = Some(Instant::now());
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
        let response = claim.and_then(|claim| claim.response());
        response.map_or(KeyHistory::MayHaveRun, KeyHistory::Recorded)
    }

    /// Reads the row of a claim from the current generation, or else from the previous one.
    async fn read_claim(&self, name: &str) -> TanagerResult<Option<TableRow>> {
        let generation = ClaimGeneration::read(&self.platform).await?.number;
        // The previous generation is read first: between the reads, an insert can move the claim
        // of a request that was not sent from it to the current generation.
        let previous = match generation.checked_sub(1) {
            Some(previous) => self.platform.read(&row_key(previous, name)).await?,
            None => None,
        };
        match self.platform.read(&row_key(generation, name)).await? {
            Some(row) => Ok(Some(row)),
            None => Ok(previous),
        }
    }

    /// Queues the response of a claimed request for a later batch. A record that exceeds the
    /// queue's size limit is dropped; a retry of the request then gets an unknown outcome.
    pub fn complete(&self, grant: ClaimGrant, response: &EndpointResponse) {
        let (token, fingerprint) = (grant.token.clone(), grant.fingerprint.clone());
        let row = ClaimRow::started(token, self.owner.clone(), fingerprint);
        let row = Box::new(row.completed(response));
        let bytes =
            u32::try_from(row.recorded_bytes() + RECORD_OVERHEAD_BYTES).unwrap_or(MAX_RECORD_BYTES);
        let Ok(permit) = Arc::clone(&self.record_permits).try_acquire_many_owned(bytes) else {
            self.stats.dropped_records.fetch_add(1, Ordering::Relaxed);
            return;
        };
        // Fails only after the worker has ended.
        let _ = self
            .commands
            .send(ClaimCommand::Complete { grant, row, permit });
    }

    /// Queues the removal of a claim of whose request no byte was sent.
    pub fn release(&self, grant: ClaimGrant) {
        // Fails only after the worker has ended.
        let _ = self.commands.send(ClaimCommand::Release(grant));
    }

    /// Waits until all claims, records and releases are written. Callers must set a timeout, as an
    /// outage of the store delays this indefinitely.
    pub async fn flush(&self) {
        let (reply, done) = oneshot::channel();
        if self.commands.send(ClaimCommand::Flush(reply)).is_ok() {
            // Fails only after the worker has ended.
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

fn increment(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
