//! What callers get of an owner whose processor time is scarce: in a flood of one workspace, and in
//! takeovers amid it. Guards against an owner that leaves calls without an answer, workers that
//! idle, and tasks that stand still, because decisions cost too much.
//!
//! `STARVED_SEED=7` plays another seed. A failed case prints its figures.

mod starved_owner {
    pub(crate) mod callers;
    pub(crate) mod costs;
    pub(crate) mod exchange;
    pub(crate) mod fleet;
    pub(crate) mod load;
    pub(crate) mod owner;
    pub(crate) mod plan;
    pub(crate) mod truth;
    pub(crate) mod world;
}

use std::time::Duration;

use starved_owner::callers::CALL_LIMIT;
use starved_owner::callers::CallEnd;
use starved_owner::costs;
use starved_owner::fleet::WORKER_CPU;
use starved_owner::load::FLOODING;
use starved_owner::load::work;
use starved_owner::plan::HeldJobs;
use starved_owner::plan::Plan;
use starved_owner::world::TAKEOVER_TIME;
use starved_owner::world::WORKERS;
use starved_owner::world::World;

/// Part of what the workers could do that must be done, and of the other workspaces' jobs that
/// must end in time.
const MIN_PART: f64 = 0.8;
/// Longest time without an answer, from this time after the beginning of the flood on.
const MAX_SILENCE: Duration = Duration::from_secs(1);
const FLOOD_WARNING: Duration = Duration::from_secs(2);
/// Time after the flood in which calls are answered within their limit again.
const RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Longest time for which a task stands still beside free workers.
const MAX_STALL: Duration = Duration::from_secs(3);
/// Begin and end of the flood, in seconds.
const FLOOD: (u64, u64) = (2, 7);

const fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

fn flood(share: f64) -> Plan {
    Plan {
        share,
        flood: (seconds(FLOOD.0), seconds(FLOOD.1)),
        kills: Vec::new(),
        cancels: None,
        held_jobs: None,
        end: seconds(13),
    }
}

fn takeover(share: f64) -> Plan {
    Plan {
        kills: vec![seconds(5)],
        cancels: Some((seconds(9), 900)),
        end: seconds(18),
        ..flood(share)
    }
}

fn two_takeovers(share: f64) -> Plan {
    Plan {
        kills: vec![seconds(4), seconds(9)],
        end: seconds(20),
        ..flood(share)
    }
}

/// Returns whether a time is outside the takeovers, including calls that a kill cuts off.
fn is_outside_takeovers(plan: &Plan, at: Duration) -> bool {
    (plan.kills.iter())
        .all(|kill| at + CALL_LIMIT < *kill || at >= *kill + TAKEOVER_TIME + CALL_LIMIT)
}

/// Plays a case and returns what was violated.
fn violations(name: &str, plan: &Plan) -> Vec<String> {
    let seed = std::env::var("STARVED_SEED").ok();
    let seed: u64 = seed.and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut world = World::new(seed, plan.clone());
    world.play();
    let (begin, end) = plan.flood;
    let mut failures = Vec::new();
    let mut check = |is_kept: bool, text: String| {
        println!("{name}: {text}");
        if !is_kept {
            failures.push(text);
        }
    };
    let cores = WORKERS as f64 * WORKER_CPU as f64 / 1e3;
    let late_begin = begin + FLOOD_WARNING;
    if plan.kills.is_empty() {
        let is_counted = |at: Duration| at >= late_begin && at < end;
        let done: f64 = (world.truth.jobs.values())
            .filter(|job| job.is_done() && job.ended_at.is_some_and(is_counted))
            .map(|job| work(&job.steps))
            .sum();
        let part = done / (end - late_begin).as_secs_f64() / cores;
        let text = format!("jobs of {part:.2} of the capacity end in the flood");
        check(part >= MIN_PART, text);
        let horizon = plan.end - seconds(4);
        let others: Vec<_> = (world.truth.jobs.values())
            .filter(|job| job.workspace != FLOODING && job.asked_at < horizon)
            .collect();
        let in_time = others.iter().filter(|job| job.is_in_time()).count();
        let part = in_time as f64 / others.len() as f64;
        let text = format!("{part:.2} of the other workspaces' jobs end in time");
        check(part >= MIN_PART, text);
    }
    let unanswered = (world.callers.calls.iter())
        .filter(|call| {
            call.end == Some(CallEnd::Unanswered)
                && (call.sent_at).is_some_and(|at| is_outside_takeovers(plan, at))
        })
        .count();
    let sent = world.callers.sent(Duration::ZERO, plan.end);
    let text = format!("{unanswered} of {sent} calls have no answer within {CALL_LIMIT:?}");
    check(unanswered == 0, text);
    let silence = (world.callers.silences.iter())
        .filter(|(since, _)| *since >= late_begin && is_outside_takeovers(plan, *since))
        .max_by_key(|(_, length)| *length);
    let (since, length) = silence.copied().unwrap_or_default();
    let text = format!("longest silence {length:.2?} from {since:.2?}");
    check(length < MAX_SILENCE, text);
    let last = plan.kills.iter().map(|kill| *kill + TAKEOVER_TIME).max();
    let calm = last.unwrap_or_default().max(end) + RECOVERY_TIME;
    let unanswered = world.callers.unanswered(calm, plan.end);
    let sent = world.callers.sent(calm, plan.end);
    let text = format!("{unanswered} of {sent} calls from {calm:?} on have no answer");
    check(unanswered == 0, text);
    let (stall, job, at) = world.truth.longest_stall;
    let text = format!("longest stall beside free workers {stall:.1?} ({job:?} at {at:.1?})");
    check(stall < MAX_STALL, text);
    let used = world.used_time.as_secs_f64() / plan.end.as_secs_f64();
    println!("{name}: {used:.3} of a core, {} starts", world.truth.starts);
    failures
}

macro_rules! starved_owner_tests {
    ($($(#[doc = $guards:literal])* $name:ident $plan:expr;)*) => {
        $(
            $(#[doc = $guards])*
            #[test]
            fn $name() {
                let failures = violations(stringify!($name), &$plan);
                assert!(failures.is_empty(), "{failures:#?}");
            }
        )*
    };
}

starved_owner_tests! {
    /// Guards against admission and placement that fail in a flood even if decisions take no time.
    flood_without_processor_time flood(f64::INFINITY);
    /// Guards against decisions that leave calls without an answer in a flood.
    flood_at_half_a_core flood(0.5);
    /// Guards against the same with less processor time.
    flood_at_a_quarter_of_a_core flood(0.25);
    /// Guards against the same with the smallest share of a node.
    flood_at_an_eighth_of_a_core flood(0.12);
    /// Guards against takeovers that fail even if decisions take no time.
    takeover_in_overload_without_processor_time takeover(f64::INFINITY);
    /// Guards against an owner that takes over amid a flood and stays silent.
    takeover_in_overload_at_half_a_core takeover(0.5);
    /// Guards against the same with less processor time.
    takeover_in_overload_at_a_quarter_of_a_core takeover(0.25);
    /// Guards against the same with the smallest share of a node.
    takeover_in_overload_at_an_eighth_of_a_core takeover(0.12);
    /// Guards against two takeovers that fail even if decisions take no time.
    two_takeovers_without_processor_time two_takeovers(f64::INFINITY);
    /// Guards against a second takeover that begins the wait for former workers again.
    two_takeovers_at_half_a_core two_takeovers(0.5);
    /// Guards against the same with less processor time.
    two_takeovers_at_a_quarter_of_a_core two_takeovers(0.25);
    /// Guards against the same with the smallest share of a node.
    two_takeovers_at_an_eighth_of_a_core two_takeovers(0.12);
}

/// Jobs that run at the same time, about; others of the held ones wait.
const RUNNING_JOBS: usize = 80;
const FEW_JOBS: usize = 100;
const MANY_JOBS: usize = 1_600;
/// Factor by which the decisions of a start may cost more with many waiting jobs than with few.
const MAX_GROWTH: f64 = 2.0;

/// Returns the items that decisions look at for each start, with this number of waiting jobs.
fn items_per_start(waiting: usize, is_one_workspace: bool) -> f64 {
    let held = HeldJobs {
        count: RUNNING_JOBS + waiting,
        is_one_workspace,
    };
    let plan = Plan {
        held_jobs: Some(held),
        ..flood(f64::INFINITY)
    };
    let mut world = World::new(1, plan);
    let count = |world: &World| {
        let owner = world.owner.as_ref().expect("an owner without kills");
        let items = costs::items(&owner.core.decision_work());
        (items as f64, world.truth.starts as f64)
    };
    world.play_until(seconds(1));
    let (items_before, starts_before) = count(&world);
    world.play_until(seconds(3));
    let (items, starts) = count(&world);
    (items - items_before) / (starts - starts_before).max(1.0)
}

fn check_growth(is_one_workspace: bool) {
    let few = items_per_start(FEW_JOBS, is_one_workspace);
    let many = items_per_start(MANY_JOBS, is_one_workspace);
    println!("items per start: {few:.0} with {FEW_JOBS} waiting jobs, {many:.0} with {MANY_JOBS}");
    assert!(
        many <= few * MAX_GROWTH,
        "items per start grow from {few:.0} to {many:.0}"
    );
}

/// Guards against decisions whose cost grows with the jobs that wait for room on a worker.
#[test]
fn decisions_do_not_grow_with_jobs_that_wait_for_room() {
    check_growth(false);
}

/// Guards against decisions whose cost grows with the jobs that wait for the cap of their workspace.
#[test]
fn decisions_do_not_grow_with_jobs_that_wait_for_their_cap() {
    check_growth(true);
}
