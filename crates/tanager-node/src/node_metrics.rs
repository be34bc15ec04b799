//! The metrics of a node, each read from the service that maintains it.

use std::sync::Arc;
use std::sync::OnceLock;

use tanager_control::ControlService;
use tanager_control::RebalanceCounters;
use tanager_dispatch::counters::DispatchCounters;

use crate::caller::CallerCounters;
use crate::claims::ClaimCounters;
use crate::claims::ClaimService;
use crate::dispatcher::DispatchService;
use crate::metrics::MetricKind;
use crate::metrics::MetricSample;
use crate::metrics::MetricSource;

/// Returns all metrics of the node.
pub(crate) fn sources(
    control: &Arc<OnceLock<Arc<ControlService>>>,
    caller: &Arc<CallerCounters>,
    dispatch: &Arc<DispatchService>,
    claims: &Arc<ClaimService>,
) -> Vec<MetricSource> {
    let mut sources = vec![caller_source(caller), open_requests_source(dispatch)];
    sources.extend(dispatch_sources(dispatch));
    sources.extend(claim_sources(claims));
    sources.extend(control_sources(control));
    sources.extend(rebalance_sources(control));
    sources
}

fn caller_source(caller: &Arc<CallerCounters>) -> MetricSource {
    let counters = Arc::clone(caller);
    MetricSource {
        name: "requests",
        help: "Requests of callers at this node by outcome and reason",
        kind: MetricKind::Counter,
        read: Box::new(move || {
            let counts = counters.snapshot().into_iter();
            let samples = counts.map(|((outcome, reason), count)| MetricSample {
                labels: vec![
                    ("outcome", outcome.to_owned()),
                    ("reason", reason.to_owned()),
                ],
                value: count as f64,
            });
            samples.collect()
        }),
    }
}

fn open_requests_source(dispatch: &Arc<DispatchService>) -> MetricSource {
    let dispatch = Arc::clone(dispatch);
    MetricSource {
        name: "open_requests",
        help: "Requests that this node holds as home and that have no outcome yet",
        kind: MetricKind::Gauge,
        read: Box::new(move || MetricSample::single(dispatch.open_requests() as f64)),
    }
}

/// Name, help and value of one dispatch counter of a pool and priority.
type DispatchColumn = (&'static str, &'static str, fn(&DispatchCounters) -> u64);

const DISPATCH_COLUMNS: [DispatchColumn; 8] = [
    (
        "dispatch_submitted",
        "Requests submitted to the queues of this home",
        |row| row.submitted,
    ),
    ("dispatch_sent", "Attempts sent to workers", |row| row.sent),
    ("dispatch_retried", "Attempts after the first", |row| {
        row.retried
    }),
    (
        "dispatch_not_sent",
        "Attempts of which no byte was sent",
        |row| row.not_sent,
    ),
    (
        "dispatch_unknown",
        "Attempts that may have run without a response",
        |row| row.unknown,
    ),
    (
        "dispatch_refused_full",
        "Requests refused by estimated wait",
        |row| row.refused_full,
    ),
    (
        "dispatch_refused_timeout",
        "Requests that reached their queue limit",
        |row| row.refused_timeout,
    ),
    (
        "dispatch_refused_quota",
        "Requests refused by the quota of their team",
        |row| row.refused_quota,
    ),
];

fn dispatch_sources(dispatch: &Arc<DispatchService>) -> Vec<MetricSource> {
    let sources = DISPATCH_COLUMNS.iter().map(|(name, help, column)| {
        let dispatch = Arc::clone(dispatch);
        MetricSource {
            name,
            help,
            kind: MetricKind::Counter,
            read: Box::new(move || {
                // Omits rows that would all be 0: a node is usually the home of only a few pools.
                let rows = dispatch.counters().into_iter();
                let rows = rows.filter(|(_, _, row)| row.submitted > 0);
                let samples = rows.map(|(pool, priority, row)| MetricSample {
                    labels: vec![("pool", pool), ("priority", priority.as_str().to_owned())],
                    value: column(&row) as f64,
                });
                samples.collect()
            }),
        }
    });
    sources.collect()
}

/// Name, help and value of one counter of the claim service.
type ClaimColumn = (&'static str, &'static str, fn(&ClaimCounters) -> u64);

const CLAIM_COLUMNS: [ClaimColumn; 6] = [
    ("claim_rows", "Claim rows written", |row| row.writes),
    ("claim_batches", "Transactions of claims", |row| row.batches),
    ("claim_conflicts", "Claim conditions that failed", |row| {
        row.conflicts
    }),
    (
        "claim_lost_responses",
        "Claim transactions with unknown outcome",
        |row| row.lost_responses,
    ),
    (
        "claim_dropped_records",
        "Completion records dropped for lack of space",
        |row| row.dropped_records,
    ),
    (
        "claim_removed_rows",
        "Rows of old claim generations removed",
        |row| row.removed_rows,
    ),
];

fn claim_sources(claims: &Arc<ClaimService>) -> Vec<MetricSource> {
    let sources = CLAIM_COLUMNS.iter().map(|(name, help, column)| {
        let claims = Arc::clone(claims);
        MetricSource {
            name,
            help,
            kind: MetricKind::Counter,
            read: Box::new(move || MetricSample::single(column(&claims.counters()) as f64)),
        }
    });
    sources.collect()
}

fn control_sources(control: &Arc<OnceLock<Arc<ControlService>>>) -> Vec<MetricSource> {
    let version = Arc::clone(control);
    let live = Arc::clone(control);
    let ready = Arc::clone(control);
    vec![
        MetricSource {
            name: "log_version",
            help: "Newest applied version of the change log",
            kind: MetricKind::Gauge,
            read: Box::new(move || match version.get() {
                Some(control) => MetricSample::single(control.state().version as f64),
                None => Vec::new(),
            }),
        },
        MetricSource {
            name: "live_nodes",
            help: "Nodes with recent contact, including this one",
            kind: MetricKind::Gauge,
            read: Box::new(move || match live.get() {
                Some(control) => MetricSample::single(control.live_nodes().len() as f64),
                None => Vec::new(),
            }),
        },
        MetricSource {
            name: "ready",
            help: "1 when the node may serve callers, otherwise 0",
            kind: MetricKind::Gauge,
            read: Box::new(move || {
                let ready = ready.get().is_some_and(|control| control.ready().is_ok());
                MetricSample::single(if ready { 1.0 } else { 0.0 })
            }),
        },
    ]
}

/// Name, help and value of one counter of load-based moves.
type RebalanceColumn = (&'static str, &'static str, fn(&RebalanceCounters) -> u64);

const REBALANCE_COLUMNS: [RebalanceColumn; 3] = [
    (
        "rebalance_moves_proposed",
        "Moves by load that this node proposed",
        |row| row.moves_proposed,
    ),
    (
        "rebalance_moves_refused",
        "Moves by load that the log did not accept",
        |row| row.moves_refused,
    ),
    (
        "rebalance_reports_missing",
        "Homes without a recent usage report, added up over the rounds of the coordinator",
        |row| row.reports_missing,
    ),
];

fn rebalance_sources(control: &Arc<OnceLock<Arc<ControlService>>>) -> Vec<MetricSource> {
    let sources = REBALANCE_COLUMNS.iter().map(|(name, help, column)| {
        let control = Arc::clone(control);
        MetricSource {
            name,
            help,
            kind: MetricKind::Counter,
            read: Box::new(move || match control.get() {
                Some(control) => MetricSample::single(column(&control.rebalance_counters()) as f64),
                None => Vec::new(),
            }),
        }
    });
    sources.collect()
}
