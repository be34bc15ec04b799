//! Queues whose policy allows only some workers for a step. Each test names the failure that it
//! guards against.

#[allow(dead_code, reason = "the cell tests use the rest")]
mod support;

use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::AdviceCost;
use tanager_jobs::EndCause;
use tanager_jobs::OrderAnswer;
use tanager_jobs::StepSpec;
use tanager_jobs::ids::WorkerId;
use tanager_schedule::CellAction;
use tanager_schedule::QueuePolicy;
use tanager_schedule::orders::OrderResult;

use support::QUEUE;
use support::TestCell;
use support::entry;
use support::job;
use support::millis;
use support::starts;
use support::step;

const VALIDITY: Duration = Duration::from_millis(3_000);

fn cell_with_advice(workers: usize) -> TestCell {
    let entries = (0..workers).map(|number| entry(&format!("w{number:02}")));
    let mut cell = TestCell::new(entries.collect());
    let policy = QueuePolicy {
        advice: Some(AdviceCost {
            decision: millis(5),
            per_worker: millis(1),
            validity: VALIDITY,
        }),
        ..QueuePolicy::default()
    };
    cell.core.set_queues([(QUEUE.to_owned(), policy)]);
    cell
}

/// Returns the step and the workers of each advice request.
fn advice_requests(actions: &[CellAction]) -> Vec<(u16, Vec<WorkerId>)> {
    (actions.iter())
        .filter_map(|action| match action {
            CellAction::RequestAdvice { step, workers, .. } => Some((*step, workers.clone())),
            _ => None,
        })
        .collect()
}

fn tickets(actions: &[CellAction]) -> Vec<Option<String>> {
    (actions.iter())
        .filter_map(|action| match action {
            CellAction::Start { ticket, .. } => Some(ticket.clone()),
            _ => None,
        })
        .collect()
}

fn apply_advice(cell: &mut TestCell, step: u16, good: &[&str]) {
    let tickets: HashMap<WorkerId, String> = (good.iter())
        .map(|worker| ((*worker).to_owned(), format!("ticket-{worker}")))
        .collect();
    let key = (tanager_jobs::JobId(1), 0, step);
    let now = cell.now;
    cell.core
        .apply_advice_result(key, Some((tickets, VALIDITY)), now, now);
}

/// Guards against a start without a ticket, or on a worker that may not run the step.
#[test]
fn tasks_start_only_with_tickets() {
    let mut cell = cell_with_advice(3);
    cell.accept(job(1, vec![step(4)]));
    let actions = cell.tick();
    assert!(starts(&actions).is_empty());
    assert_eq!(advice_requests(&actions).len(), 1);
    // Only one request is in progress at a time.
    cell.advance_time(millis(200));
    assert!(advice_requests(&cell.tick()).is_empty());
    apply_advice(&mut cell, 0, &["w01"]);
    let actions = cell.tick();
    assert_eq!(tickets(&actions), vec![Some("ticket-w01".to_owned()); 4]);
}

/// Guards against a step that requests advice on the same workers forever although none of them may
/// run it, while others could.
#[test]
fn advice_covers_other_workers_when_none_is_allowed() {
    let mut cell = cell_with_advice(40);
    cell.accept(job(1, vec![step(1)]));
    let first = advice_requests(&cell.tick());
    assert_eq!(first[0].1.len(), 30);
    apply_advice(&mut cell, 0, &[]);
    let second = advice_requests(&cell.tick());
    assert_eq!(second[0].1.len(), 10);
    assert!(
        second[0]
            .1
            .iter()
            .all(|worker| !first[0].1.contains(worker))
    );
    apply_advice(&mut cell, 0, &[]);
    for _ in 0..50 {
        cell.advance_time(millis(100));
        assert!(advice_requests(&cell.tick()).is_empty());
    }
}

/// Guards against a flood of requests while the advice service does not respond.
#[test]
fn failed_advice_requests_are_retried_after_a_delay() {
    let mut cell = cell_with_advice(2);
    cell.accept(job(1, vec![step(1)]));
    let mut request_count = 0;
    for _ in 0..40 {
        if !advice_requests(&cell.tick()).is_empty() {
            request_count += 1;
            let now = cell.now;
            cell.core
                .apply_advice_result((tanager_jobs::JobId(1), 0, 0), None, now, now);
        }
        cell.advance_time(millis(50));
        cell.report_all();
    }
    assert!(
        (3..=6).contains(&request_count),
        "{request_count} requests in 2 s"
    );
}

/// Guards against the use of expired tickets, and against new requests for workers that may not run
/// the step.
#[test]
fn expired_tickets_are_renewed() {
    let mut cell = cell_with_advice(3);
    let short = StepSpec {
        anti_affinity: 1,
        ..step(2)
    };
    cell.accept(job(1, vec![short]));
    cell.tick();
    apply_advice(&mut cell, 0, &["w02"]);
    let started = starts(&cell.tick());
    assert_eq!(started.len(), 1);
    for _ in 0..40 {
        cell.advance_time(millis(100));
        cell.report_all();
    }
    let (worker, key, run) = started[0];
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    let actions = cell.tick();
    assert!(starts(&actions).is_empty());
    assert_eq!(advice_requests(&actions), vec![(0, vec!["w02".to_owned()])]);
}

/// Guards against a refused ticket that is sent again forever.
#[test]
fn refused_ticket_is_requested_again() {
    let mut cell = cell_with_advice(1);
    cell.accept(job(1, vec![step(1)]));
    cell.tick();
    apply_advice(&mut cell, 0, &["w00"]);
    // Bypasses the test cell's workers, which accept every order.
    let now = cell.now;
    cell.core.tick(now, cell.wall_ms(), true);
    let actions = cell.core.take_actions();
    let (worker, key, run) = starts(&actions)[0];
    let refused = OrderResult::Answered(OrderAnswer::BadTicket);
    cell.core.apply_start_result(worker, key, run, refused, now);
    cell.advance_time(millis(100));
    let actions = cell.tick();
    assert!(starts(&actions).is_empty());
    assert_eq!(advice_requests(&actions).len(), 1);
}

/// Guards against a second step that requests its advice only once it could start.
#[test]
fn next_step_requests_advice_while_the_first_runs() {
    let mut cell = cell_with_advice(2);
    let second = StepSpec {
        after: vec![0],
        ..step(1)
    };
    cell.accept(job(1, vec![step(1), second]));
    cell.tick();
    apply_advice(&mut cell, 0, &["w00"]);
    let actions = cell.tick();
    let (worker, key, run) = starts(&actions)[0];
    assert_eq!(advice_requests(&actions)[0].0, 1);
    apply_advice(&mut cell, 1, &["w01"]);
    cell.advance_time(millis(200));
    cell.end(worker, key, run, EndCause::Done);
    cell.report_all();
    assert_eq!(tickets(&cell.tick()), vec![Some("ticket-w01".to_owned())]);
}
