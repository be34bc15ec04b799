//! Runs the transactions of a cell's ledger.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_protocol::error::TanagerError;
use tanager_site::store::ChangeResult;
use tanager_site::store::RowVersion;
use tanager_site::store::TableRow;
use tokio::time;

use crate::batch_limits::BatchLimits;
use crate::cell::CellHandle;
use crate::commit_outcome::AttemptAnswer;
use crate::commit_outcome::AttemptOutcome;
use crate::commit_outcome::EarlierAttempts;
use crate::commit_outcome::attempt_outcome;
use crate::cpu_time;
use crate::cpu_time::Duty;
use crate::ledger::LedgerVersions;
use crate::ledger::MAX_TIMEOUT;
use crate::ledger::StoreResult;
use crate::ledger::TransactionEnd;
use crate::ledger::applied_version;
use crate::ledger_batch::LedgerBatch;
use crate::ledger_batch::LedgerWriter;
use crate::ledger_batch::PendingRows;
use crate::ledger_batch::StoredRows;
use crate::ledger_batch::WriteLimits;
use crate::ledger_batch::build_batch;
use crate::queue_pools::QueuePoolRecord;
use crate::records::CELL_TABLE;
use crate::records::LEDGER_TABLE;
use crate::transfer_time::transfer_time;
use crate::unstorable_rows::RejectionResult;
use crate::unstorable_rows::RowSelection;
use crate::unstorable_rows::RowUnit;

/// Pause before a failed transaction is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Maximum pause after a probe that was not applied. It doubles with each, from [`RETRY_PAUSE`].
const MAX_PROBE_PAUSE: Duration = Duration::from_secs(2);
/// A row is set aside only if another transaction was applied in this time, or one without it is.
const PROBE_AGE: Duration = Duration::from_secs(1);
/// Minimum interval between two transactions, so that changes are batched.
const TRANSACTION_PERIOD: Duration = Duration::from_millis(20);

/// State of the transactions of a cell.
struct LedgerState {
    writer: LedgerWriter,
    limits: BatchLimits,
    stored: StoredRows,
    /// Time at which the last transaction was applied.
    applied_at: Option<Duration>,
    /// Number of probes in a row that were not applied.
    failed_probes: u32,
}

/// Outcome of a transaction.
#[derive(Debug)]
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

/// Runs the transactions of a cell until it is closed.
pub(crate) async fn run(cell: Arc<CellHandle>, versions: LedgerVersions, stored: StoredRows) {
    let mut state = LedgerState {
        writer: LedgerWriter {
            cell: cell.name.clone(),
            incarnation: cell.context.incarnation,
            versions,
            sequence: 0,
        },
        limits: BatchLimits::for_link(cell.context.settings.link_rate),
        stored,
        applied_at: None,
        failed_probes: 0,
    };
    let mut closed = cell.closed();
    loop {
        tokio::select! {
            () = cell.ledger.wake.notified() => {}
            () = until_retry(&cell, &state.stored) => {}
            _ = closed.wait_for(|closed| *closed) => break,
        }
        while let Some(batch) = next_batch(&cell, &mut state) {
            if !store_batch(&cell, &mut state, batch).await {
                return;
            }
        }
        cell.ledger.end_failures();
    }
    cell.ledger.refuse_queued();
}

/// Completes when a row that was set aside is due to be tried again.
async fn until_retry(cell: &CellHandle, stored: &StoredRows) {
    match stored.unstorable.next_retry() {
        Some(at) => time::sleep(at.saturating_sub(cell.context.clock.now())).await,
        None => std::future::pending().await,
    }
}

/// Builds the next transaction; `None` if there is nothing to store.
fn next_batch(cell: &CellHandle, state: &mut LedgerState) -> Option<LedgerBatch> {
    let clock = &cell.context.clock;
    let now = clock.now();
    refuse_set_aside_jobs(cell, &state.stored, now);
    // Groups whose rows need not be stored any more are left out.
    loop {
        let selection = state.stored.unstorable.select(now);
        let is_last =
            selection == RowSelection::Unsuspected && !state.stored.unstorable.has_suspects();
        let batch = cpu_time::measured(Duty::Ledger, || {
            let mut core = cell.core();
            let mut queue = cell.ledger.lock();
            let mut absorption = cell.absorption();
            let pending = PendingRows {
                core: &mut core,
                inserts: &mut queue.inserts,
                absorption: &mut absorption,
            };
            let times = (now, clock.wall_ms());
            let LedgerState {
                writer,
                limits,
                stored,
                ..
            } = state;
            let limits = WriteLimits {
                batch: *limits,
                row_bytes: cell.context.settings.store.row_bytes,
            };
            build_batch(writer, limits, stored, selection, pending, times)
        });
        if batch.is_some() || is_last {
            return batch;
        }
    }
}

/// Refuses waiting jobs that the store rejected a short time ago.
fn refuse_set_aside_jobs(cell: &CellHandle, stored: &StoredRows, now: Duration) {
    let is_set_aside = |id: &JobId| stored.unstorable.is_set_aside(&RowUnit::Job(*id), now);
    let refused: Vec<JobId> = {
        let mut queue = cell.ledger.lock();
        let ids: Vec<JobId> = (queue.inserts.iter())
            .map(|record| record.id)
            .filter(is_set_aside)
            .collect();
        queue.inserts.retain(|record| !ids.contains(&record.id));
        ids
    };
    for id in refused {
        cell.ledger.refuse(id);
    }
}

/// Sends a transaction and applies its outcome; returns false if no others follow.
async fn store_batch(
    cell: &Arc<CellHandle>,
    state: &mut LedgerState,
    mut batch: LedgerBatch,
) -> bool {
    state.writer.sequence = batch.sequence;
    let started = cell.context.clock.now();
    cell.ledger.begin_transaction(started);
    store_queue_pools(cell, &mut batch).await;
    let outcome = commit(cell, &batch, state.writer.versions).await;
    record_end(cell, &outcome, &batch);
    match outcome {
        BatchOutcome::Committed(version) => {
            state.writer.versions.ledger = version;
            state.limits.grow();
            state.applied_at = Some(cell.context.clock.now());
            state.failed_probes = 0;
            record_stored(cell, &mut state.stored, &batch);
            apply_committed(cell, &batch, started);
        }
        BatchOutcome::NotApplied => {
            restore_batch(cell, &batch);
            state.stored.unstorable.restore(batch.selection);
            cell.ledger.refuse_queued();
            if cell.is_closed() {
                return false;
            }
            time::sleep(RETRY_PAUSE).await;
        }
        BatchOutcome::Rejected(earlier) if stores_others(cell, state, &batch).await => {
            apply_rejection(cell, state, batch, earlier);
        }
        BatchOutcome::Rejected(earlier) => {
            let selection = batch.selection.clone();
            return_batch(cell, batch, earlier);
            state.stored.unstorable.restore(selection);
            if cell.is_closed() {
                cell.ledger.refuse_queued();
                return false;
            }
            time::sleep(state.probe_pause()).await;
        }
        BatchOutcome::OwnershipLost => {
            resolve_uncertain(cell, &batch);
            cell.close("ledger conflict");
            return false;
        }
        BatchOutcome::Closed => {
            resolve_uncertain(cell, &batch);
            cell.ledger.refuse_queued();
            return false;
        }
    }
    let elapsed = cell.context.clock.now().saturating_sub(started);
    time::sleep(TRANSACTION_PERIOD.saturating_sub(elapsed)).await;
    true
}

/// Returns whether the store takes transactions of the cell at all, after it rejected one of which only one
/// row could be left out: if it takes none, the row is not the cause.
async fn stores_others(cell: &CellHandle, state: &mut LedgerState, rejected: &LedgerBatch) -> bool {
    let started = cell.context.clock.now();
    let is_recent = |at: Duration| started.saturating_sub(at) < PROBE_AGE;
    if !rejected.is_single() || state.applied_at.is_some_and(is_recent) {
        return true;
    }
    let Some(probe) = LedgerBatch::probe(&state.writer, &state.stored) else {
        return false;
    };
    state.writer.sequence = probe.sequence;
    cell.ledger.begin_transaction(started);
    let outcome = commit(cell, &probe, state.writer.versions).await;
    record_end(cell, &outcome, &probe);
    match outcome {
        BatchOutcome::Committed(version) => {
            state.writer.versions.ledger = version;
            state.applied_at = Some(cell.context.clock.now());
            state.failed_probes = 0;
            return true;
        }
        BatchOutcome::OwnershipLost => cell.close("ledger conflict"),
        BatchOutcome::NotApplied | BatchOutcome::Rejected(_) | BatchOutcome::Closed => {}
    }
    state.failed_probes = state.failed_probes.saturating_add(1);
    false
}

impl LedgerState {
    /// Returns the pause after a probe that was not applied.
    fn probe_pause(&self) -> Duration {
        RETRY_PAUSE
            .saturating_mul(2u32.saturating_pow(self.failed_probes))
            .min(MAX_PROBE_PAUSE)
    }
}

/// Records the end of a transaction, and logs when the cell begins and ends to refuse jobs because it
/// stores nothing.
fn record_end(cell: &CellHandle, outcome: &BatchOutcome, batch: &LedgerBatch) {
    let now = cell.context.clock.now();
    let was_blocked = cell.ledger.is_blocked(now);
    let end = match outcome {
        BatchOutcome::Committed(_) => TransactionEnd::Applied,
        BatchOutcome::Rejected(_) if !batch.units().is_empty() => TransactionEnd::Rejected,
        _ => TransactionEnd::Failed,
    };
    let failing_for = cell.ledger.end_transaction(now, end);
    match (was_blocked, cell.ledger.is_blocked(now)) {
        (true, false) => log::info!(
            "event=cell_unblocked cell={} token={} after={failing_for:.3?}",
            cell.name,
            cell.token
        ),
        (_, true) if cell.ledger.note_blocked() => {
            cell.context.metrics.cells_blocked.increment();
            log::error!(
                "event=cell_blocked cell={} token={} failing_for={failing_for:.3?} outcome={outcome:?}",
                cell.name,
                cell.token
            );
        }
        _ => {}
    }
}

/// Stores which queues the new jobs of a transaction belong to, before the jobs themselves. Refuses the
/// jobs for whose queues that fails.
async fn store_queue_pools(cell: &CellHandle, batch: &mut LedgerBatch) {
    let record_of = |job: &JobRecord| QueuePoolRecord {
        queue: job.queue.clone(),
        pool: job.pool.clone(),
    };
    let records = batch.inserts.iter().map(record_of);
    let unstored = cell.context.record_queue_pools(records).await;
    if unstored.is_empty() {
        return;
    }
    for job in batch.take_inserts(|job| unstored.contains(&record_of(job))) {
        cell.ledger.refuse(job.id);
    }
}

/// Sends a transaction until its outcome is known.
async fn commit(cell: &CellHandle, batch: &LedgerBatch, versions: LedgerVersions) -> BatchOutcome {
    let mut earlier = EarlierAttempts::NotApplied;
    let mut attempts = 0u32;
    let mut unclear_answers = 0u32;
    let mut timeout = cell.ledger.timeout();
    let puts = &batch.change.puts;
    let bytes = puts.iter().map(|(_, value)| value.len()).sum();
    let send_time = transfer_time(bytes, cell.context.settings.link_rate);
    loop {
        if *cell.closed().borrow() {
            return match earlier {
                EarlierAttempts::Uncertain => BatchOutcome::Closed,
                EarlierAttempts::NotApplied => BatchOutcome::NotApplied,
            };
        }
        let store = &cell.context.store;
        let result = store.change(&batch.change, timeout + send_time).await;
        timeout = (timeout * 2).min(MAX_TIMEOUT);
        attempts += 1;
        let answer = match &result {
            Ok(ChangeResult::Committed(_)) => AttemptAnswer::Applied,
            Ok(ChangeResult::Conflict(_)) => AttemptAnswer::Conflict,
            Err(error) => AttemptAnswer::from_failure(error),
        };
        unclear_answers = match answer {
            AttemptAnswer::Unclear => unclear_answers + 1,
            _ => 0,
        };
        match (attempt_outcome(earlier, answer, unclear_answers), result) {
            (AttemptOutcome::Applied, Ok(ChangeResult::Committed(version))) => {
                return BatchOutcome::Committed(version);
            }
            (AttemptOutcome::ReadConflict, Ok(ChangeResult::Conflict(rows))) => {
                return resolve_conflict(cell, batch, versions, &rows);
            }
            (AttemptOutcome::NotApplied, _) => return BatchOutcome::NotApplied,
            (AttemptOutcome::Rejected, result) => {
                log_rejection(cell, batch, earlier, attempts, result.err().as_ref());
                return BatchOutcome::Rejected(match answer {
                    AttemptAnswer::Unclear => EarlierAttempts::Uncertain,
                    _ => earlier,
                });
            }
            (_, result) if matches!(answer, AttemptAnswer::Missing | AttemptAnswer::Unclear) => {
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
                // clients are waiting. A store that answers is about to store them, unless it has
                // stored nothing for a while.
                let is_silent = answer == AttemptAnswer::Missing;
                if attempts > 1 && (is_silent || cell.ledger.is_blocked(cell.context.clock.now())) {
                    cell.ledger.refuse_queued();
                }
            }
            _ => {}
        }
        time::sleep(RETRY_PAUSE).await;
    }
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
        core.mark_withheld_stored(&batch.marks);
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

/// Records what the rows have after a transaction.
fn record_stored(cell: &CellHandle, stored: &mut StoredRows, batch: &LedgerBatch) {
    stored
        .workers
        .record(&batch.workers, batch.stores_all_workers);
    stored.marks.clone_from(&batch.marks);
    stored.obsolete.drain(..batch.obsolete);
    (stored.obsolete).extend(stored.progress.record_stored(&batch.progress));
    let incomplete = (batch.progress.iter().map(|write| write.id))
        .filter(|id| !batch.dirty.iter().any(|job| job.id == *id));
    let incomplete: BTreeSet<RowUnit> = incomplete.map(RowUnit::Progress).collect();
    let units = batch.units();
    (stored.unstorable).record_stored(units.difference(&incomplete));
    if batch.stores_all_workers {
        cell.absorption().record_workers_stored();
    }
}

/// Applies a rejection: rows that may be stored without others are tried again; the one that is rejected
/// alone is set aside.
fn apply_rejection(
    cell: &CellHandle,
    state: &mut LedgerState,
    batch: LedgerBatch,
    earlier: EarlierAttempts,
) {
    let now = cell.context.clock.now();
    let bytes: usize = (batch.change.puts.iter().skip(1))
        .map(|(_, value)| value.len())
        .sum();
    let is_unrestricted = batch.selection == RowSelection::Unsuspected;
    // Rows that are not needed any more are removed once only: one may be the cause.
    state.stored.obsolete.drain(..batch.obsolete);
    let result = state
        .stored
        .unstorable
        .record_rejected(batch.rejected(), now);
    return_batch(cell, batch, earlier);
    match result {
        RejectionResult::SetAside { unit, rejections } => {
            state.limits = BatchLimits::for_link(cell.context.settings.link_rate);
            cell.context.metrics.rows_set_aside.increment();
            log::error!(
                "event=row_set_aside cell={} token={} unit={unit} bytes={bytes} rejections={rejections}",
                cell.name,
                cell.token
            );
            match unit {
                RowUnit::Job(id) => cell.ledger.refuse_waiting(id),
                RowUnit::Progress(id) => cell.core().withhold_progress(id),
                RowUnit::Delegation(id) if earlier == EarlierAttempts::NotApplied => {
                    cell.core().drop_new_delegation(id);
                    cell.ledger.notify();
                }
                RowUnit::Delegation(_) | RowUnit::Copy(_) | RowUnit::Worker(_) => {}
            }
        }
        RejectionResult::Divided if is_unrestricted => state.limits.shrink(),
        RejectionResult::Divided | RejectionResult::Indivisible => {}
    }
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
        cell.ledger.refuse(record.id);
    }
    cell.ledger.notify();
    cell.ledger.wake();
}

/// Returns the rows of a transaction to where they wait for the next one, also its new jobs.
fn return_batch(cell: &CellHandle, batch: LedgerBatch, earlier: EarlierAttempts) {
    {
        let mut core = cell.core();
        core.restore_dirty(&batch.dirty);
        core.restore_delegations(&batch.delegations, false);
    }
    cell.absorption().restore_copies(&batch.copies);
    cell.ledger.return_inserts(batch.inserts, earlier);
    cell.ledger.wake();
}

/// Completes the requests of a transaction whose outcome remains uncertain.
fn resolve_uncertain(cell: &CellHandle, batch: &LedgerBatch) {
    for record in &batch.inserts {
        cell.ledger.resolve(record.id, StoreResult::Uncertain);
    }
    cell.ledger.refuse_queued();
}
