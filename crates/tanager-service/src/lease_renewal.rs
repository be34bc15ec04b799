//! Renews a worker's leases and receives its reports of ended runs.

use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_protocol::error::ErrorKind;
use tanager_schedule::WorkerKey;
use tanager_schedule::missed_response::MissedResponse;
use tanager_schedule::order_token::order_token;
use tanager_schedule::renewal_timing::RenewalTiming;
use tanager_site::lenient_list::SkippedParts;
use tanager_site::worker::LeaseRenewal;
use tanager_site::worker::RenewalReply;
use tokio::time;

use crate::cell::CellHandle;
use crate::cpu_time;
use crate::cpu_time::Duty;

/// Minimum interval between two renewals, so that one reply reports many ends during a surge.
const RENEWAL_PERIOD: Duration = Duration::from_millis(25);
/// Maximum delay of the next renewal until ends are stored: a worker reports unacknowledged ends
/// again, and then replies at once.
const MAX_STORE_WAIT: Duration = Duration::from_millis(120);
/// Pause after a refused renewal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);
/// Source of skipped entries of workers' reports, in the log; the key is the worker.
const REPORT_SOURCE: &str = "report";

/// Renews a worker's leases until its incarnation ends or the cell is closed.
pub async fn run(cell: Arc<CellHandle>, key: WorkerKey) {
    let clock = cell.context.clock;
    let Some(connection) = cell.connection(key) else {
        return;
    };
    let worker = cell.worker_name(key);
    let mut committed = cell.ledger.committed();
    let mut timing = RenewalTiming::default();
    let mut acknowledged = 0;
    // Whether `worker_lost` was logged since the last report: several renewals a second fail while a
    // worker is down.
    let mut is_lost = false;
    while !cell.is_closed() {
        let sent_at = clock.now();
        let plan_renewal = || cell.core().plan_renewal(key, sent_at);
        let Some(plan) = cpu_time::measured(Duty::Renewals, plan_renewal) else {
            return;
        };
        let lease_until_ms = match cell.context.may_extend_leases(sent_at) {
            true => plan.lease_until_ms,
            false => None,
        };
        let wait = match lease_until_ms {
            Some(_) => RenewalTiming::wait(plan.activity),
            None => Duration::ZERO,
        };
        committed.mark_unchanged();
        if plan.acknowledged > acknowledged {
            acknowledged = plan.acknowledged;
            cell.log_acknowledged(&worker, cell.started_ms(key), acknowledged);
        }
        let renewal = LeaseRenewal {
            lease_until_ms,
            token: order_token(cell.token, plan.incarnation),
            acknowledged: plan.acknowledged,
            wait,
        };
        let timeout = timing.timeout(wait);
        let limit = timeout.saturating_sub(wait);
        let result = connection.link.renew_leases(&renewal, timeout).await;
        let now = clock.now();
        match result {
            Ok(RenewalReply::Report(report, skipped)) => {
                note_skipped(&cell, &worker, &skipped);
                if std::mem::take(&mut is_lost) {
                    log::info!(
                        "event=worker_regained cell={} worker={worker} failures={}",
                        cell.name,
                        timing.failures()
                    );
                }
                timing.record_reply(wait, now.saturating_sub(sent_at));
                let wall_ms = clock.wall_ms();
                let (is_known, has_ends) = {
                    let mut core = cell.core();
                    let read_before = core.worker(key).map_or(0, |slot| slot.processed_end);
                    let is_known = cpu_time::measured(Duty::Reports, || {
                        core.apply_report(key, &report, sent_at, now, wall_ms)
                    });
                    let slot = core.worker(key).filter(|_| is_known);
                    if let Some(slot) = slot {
                        cell.log_ends(slot, &report.ended, read_before);
                    }
                    let has_ends = slot.is_some_and(|slot| slot.processed_end > slot.stored_end);
                    (is_known, has_ends)
                };
                cell.context
                    .metrics
                    .runs_ended
                    .add(report.ended.len() as u64);
                cell.load.add_ends(report.ended.len() as u64);
                cell.request_decisions();
                if !is_known {
                    cell.connect_workers();
                    return;
                }
                if has_ends {
                    // Continue as soon as a transaction is committed.
                    let _ = time::timeout(MAX_STORE_WAIT, committed.changed()).await;
                }
                // A renewal that extends no lease is followed at once by one that does.
                if lease_until_ms.is_some() {
                    let elapsed = clock.now().saturating_sub(sent_at);
                    let period = RenewalTiming::period(
                        RENEWAL_PERIOD,
                        report.running.len(),
                        report.omits_ends,
                    );
                    time::sleep(period.saturating_sub(elapsed)).await;
                }
            }
            // The owner itself has contacted a later incarnation of the worker.
            Ok(RenewalReply::Refused(OrderAnswer::Fenced)) if cell.core().worker(key).is_none() => {
                return;
            }
            Ok(RenewalReply::Refused(OrderAnswer::Fenced)) => {
                cell.close("a worker knows a higher token");
                return;
            }
            Ok(RenewalReply::Refused(OrderAnswer::OtherLife)) => {
                log::info!("event=worker_ended cell={} worker={worker}", cell.name);
                cell.core().end_refused_incarnation(key);
                cell.run_decisions();
                return;
            }
            Ok(RenewalReply::Refused(answer)) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let name = &cell.name;
                    log::info!("event=worker_lost cell={name} worker={worker} answer={answer:?}");
                }
                timing.record_failure();
                cell.core().record_missed_renewal(key);
                time::sleep(REFUSAL_PAUSE).await;
            }
            Err(error) if error.kind != ErrorKind::NotSent && is_unread(&cell, sent_at, limit) => {
                cell.context.metrics.renewals_unread.increment();
                cell.core().record_unread_renewal(key);
                time::sleep(timing.record_failure()).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let name = &cell.name;
                    log::info!("event=worker_lost cell={name} worker={worker} error={error:?}");
                }
                let pause = timing.record_failure();
                cell.core().record_missed_renewal(key);
                if error.kind != ErrorKind::NotSent {
                    // The worker may no longer respond on the other idle connections, either.
                    connection.link.close_idle();
                }
                time::sleep(pause).await;
            }
        }
    }
}

/// Returns whether the response to a renewal may have been missed because this node ran late.
fn is_unread(cell: &CellHandle, sent_at: Duration, limit: Duration) -> bool {
    let lag = cell.context.lag_since(sent_at);
    MissedResponse::from_lag(lag, limit) == MissedResponse::Unread
}

/// Counts and logs the entries of a report that cannot be used.
fn note_skipped(cell: &CellHandle, worker: &str, skipped: &SkippedParts) {
    match skipped.count {
        0 => cell.context.skipped_rows.forget(REPORT_SOURCE, worker),
        _ => (cell.context).skip_row(REPORT_SOURCE, worker, 0, &skipped.first),
    }
}
