//! Calls whose responses an owner may have missed because it ran late itself. Each test names the
//! failure that it guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_schedule::CellEvent;
use tanager_schedule::CellSettings;
use tanager_schedule::missed_response::MissedResponse;
use tanager_schedule::orders::OrderResult;

use support::TestCell;
use support::entry;
use support::job;
use support::millis;
use support::settings;
use support::starts;
use support::step;

/// A cell of two workers that are weighed.
fn weighed_cell() -> TestCell {
    let settings = CellSettings {
        weighs_workers: true,
        ..settings()
    };
    TestCell::with_settings(settings, vec![entry("a"), entry("b")])
}

/// Ticks and gives all starts the same result; returns their number.
fn start_all(cell: &mut TestCell, result: OrderResult) -> usize {
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    let started = starts(&cell.core.take_actions());
    for &(worker, task, run) in &started {
        (cell.core).apply_start_result(worker, task, run, result, cell.now);
    }
    started.len()
}

macro_rules! lag_cases {
    ($($(#[$note:meta])* $case:ident: lag $lag:expr, limit $limit:expr => $expected:ident;)*) => {
        $($(#[$note])*
        #[test]
        fn $case() {
            let missed = MissedResponse::from_lag(millis($lag), millis($limit));
            assert_eq!(missed, MissedResponse::$expected);
        })*
    };
}

lag_cases! {
    /// Guards against workers that are blamed for the lag of a starved owner.
    long_lag_says_nothing_about_the_worker: lag 100, limit 400 => Unread;
    /// Guards against an owner that excuses each dead worker because its loop is never quite idle.
    short_lag_excuses_no_worker: lag 99, limit 400 => Unanswered;
    /// Guards against a limit that grew after failures and excuses the worker for the same lag.
    longer_limit_bears_a_longer_lag: lag 200, limit 1_000 => Unanswered;
}

/// Guards against a starved owner that limits healthy workers, so that room stays free beside tasks
/// that wait (LOST, fmra-atlas-grown trouble-3).
#[test]
fn unread_starts_do_not_limit_workers() {
    let settings = CellSettings {
        weighs_workers: true,
        ..settings()
    };
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut cell = TestCell::with_settings(settings, names.map(entry).to_vec());
    let unlucky = cell.core.worker_keys()[0];
    let mut unread = 0;
    for id in 1..=40 {
        cell.accept(job(id, vec![step(1)]));
        let wall_ms = cell.wall_ms();
        cell.core.tick(cell.now, wall_ms, true);
        for (worker, task, run) in starts(&cell.core.take_actions()) {
            let result = match worker == unlucky {
                true => OrderResult::Unread,
                false => OrderResult::Answered(OrderAnswer::Accepted),
            };
            unread += usize::from(worker == unlucky);
            (cell.core).apply_start_result(worker, task, run, result, cell.now);
        }
        cell.advance_time(millis(50));
        cell.report_all();
    }
    assert!(unread >= 6, "{unread} starts");
    let weighed: Vec<CellEvent> = (cell.core.take_events().into_iter())
        .filter(|event| matches!(event, CellEvent::WorkerWeighed { .. }))
        .collect();
    assert!(weighed.is_empty(), "{weighed:?}");
}

/// Guards against a starved owner whose workers all get no tasks because it missed the responses to
/// three starts in a row.
#[test]
fn unread_starts_leave_workers_available() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(4)]));
    assert_eq!(start_all(&mut cell, OrderResult::Unread), 4);
    cell.advance_time(millis(50));
    cell.accept(job(2, vec![step(1)]));
    assert_eq!(start_all(&mut cell, OrderResult::Unread), 1);
}

/// Guards against a worker without room because a starved owner missed one renewal, and against a
/// lease or an acknowledgement for another incarnation that may respond then (TWICE).
#[test]
fn unread_renewal_leaves_the_worker_available_but_extends_no_lease() {
    let mut cell = TestCell::new(vec![entry("a")]);
    let key = cell.core.worker_keys()[0];
    cell.core.record_unread_renewal(key);
    cell.accept(job(1, vec![step(1)]));
    assert_eq!(
        cell.core
            .plan_renewal(key, cell.now)
            .expect("a plan")
            .lease_until_ms,
        None
    );
    assert_eq!(
        start_all(&mut cell, OrderResult::Answered(OrderAnswer::Accepted)),
        1
    );
    cell.report_all();
    let plan = cell.core.plan_renewal(key, cell.now).expect("a plan");
    assert!(plan.lease_until_ms.is_some());
}

/// Guards against a task that starts elsewhere although the start whose response was missed may have
/// been carried out (TWICE).
#[test]
fn unread_start_is_repeated_at_the_same_worker() {
    let mut cell = weighed_cell();
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    let first = starts(&cell.core.take_actions())[0];
    let (worker, task, run) = first;
    (cell.core).apply_start_result(worker, task, run, OrderResult::Unread, cell.now);
    let mut repeats = 0;
    for _ in 0..5 {
        cell.advance_time(millis(500));
        cell.report_all();
        let wall_ms = cell.wall_ms();
        cell.core.tick(cell.now, wall_ms, true);
        for repeated in starts(&cell.core.take_actions()) {
            assert_eq!(repeated, first);
            repeats += 1;
            (cell.core).apply_start_result(worker, task, run, OrderResult::Unread, cell.now);
        }
    }
    assert_eq!(repeats, 5);
    // A refusal of a repeated start settles nothing about the first.
    let refused = OrderResult::Answered(OrderAnswer::NoRoom);
    (cell.core).apply_start_result(worker, task, run, refused, cell.now);
    cell.advance_time(millis(10));
    assert_eq!(start_all(&mut cell, OrderResult::Unread), 0);
}

/// Guards against an acknowledgement of ends to an incarnation that numbers them anew (TWICE).
#[test]
fn unread_start_acknowledges_no_ends_until_the_next_report() {
    let mut cell = TestCell::new(vec![entry("a")]);
    cell.accept(job(1, vec![step(1)]));
    let (worker, task, run) = starts(&cell.tick())[0];
    cell.end(worker, task, run, tanager_jobs::EndCause::Done);
    cell.report_all();
    let (jobs, watermarks) = cell.core.take_dirty(10);
    cell.core.mark_stored(&jobs, &watermarks);
    let acknowledged = |cell: &mut TestCell| {
        let plan = cell.core.plan_renewal(worker, cell.now);
        plan.expect("a plan").acknowledged
    };
    assert_eq!(acknowledged(&mut cell), 1);
    cell.accept(job(2, vec![step(1)]));
    assert_eq!(start_all(&mut cell, OrderResult::Unread), 1);
    assert_eq!(acknowledged(&mut cell), 0);
    cell.report_all();
    assert_eq!(acknowledged(&mut cell), 1);
}

/// Guards against a dead worker that keeps its tasks for ever because its owner runs late.
#[test]
fn unread_calls_do_not_extend_a_lease() {
    let mut cell = weighed_cell();
    cell.accept(job(1, vec![step(1)]));
    let wall_ms = cell.wall_ms();
    cell.core.tick(cell.now, wall_ms, true);
    let (lost, task, run) = starts(&cell.core.take_actions())[0];
    let limit = cell.now + settings().lease + Duration::from_secs(1);
    let mut elsewhere = None;
    while elsewhere.is_none() && cell.now < limit {
        (cell.core).apply_start_result(lost, task, run, OrderResult::Unread, cell.now);
        cell.core.record_unread_renewal(lost);
        cell.advance_time(millis(100));
        cell.report_others(lost);
        let wall_ms = cell.wall_ms();
        cell.core.tick(cell.now, wall_ms, true);
        let started = starts(&cell.core.take_actions());
        elsewhere = started.into_iter().find(|(worker, _, _)| *worker != lost);
    }
    assert!(elsewhere.is_some(), "no start within {limit:?}");
}
