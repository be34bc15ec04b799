//! Runs the real lease for orders and the real wait of a new coordinator against a model of the
//! store, the links, the clocks and the processes of three nodes, under seeded faults. The platform
//! checks no tokens. Guards against an order with a lower token after one with a higher token,
//! orders of two holders within `coordinator_lease`, two holders of one token, and orders that do
//! not go on after the faults.
//!
//! `MODEL_SEEDS=5000 cargo test --release -p tanager-schedule --test order_lease -- --nocapture`
//! runs more seeds; `MODEL_TRACE=7` runs only seed 7 of each case and prints a trace.

mod order_lease {
    pub(crate) mod coordinator;
    pub(crate) mod faults;
    pub(crate) mod node;
    pub(crate) mod orders;
    pub(crate) mod platform;
    pub(crate) mod store;
    pub(crate) mod world;
}

use std::thread;
use std::time::Duration;

use tanager_schedule::order_lease::ORDER_LEASE;
use tanager_schedule::order_lease::OrderLease;
use tanager_schedule::order_lease::takeover_wait;
use tanager_schedule::recovery::FormerOwner;

use order_lease::faults::FaultPlan;
use order_lease::faults::OrderRule;
use order_lease::platform::COORDINATOR_LEASE;
use order_lease::platform::Platform;
use order_lease::platform::shorten;
use order_lease::world::World;

/// Seeds per case, unless `MODEL_SEEDS` is set.
const SEEDS: u64 = 40;

const NO_FAULTS: FaultPlan = FaultPlan {
    rule: OrderRule::Lease,
    lost: 0.0,
    late: 0.0,
    refused_reads: false,
    refused_writes: false,
    pauses: false,
    step_pauses: 0.0,
    write_pauses: 0.0,
    restarts: false,
    handovers: false,
    store_cuts: false,
    platform_cuts: false,
    pauses_in_cuts: false,
    slow_platform: false,
    clock_errors: false,
    kernel_discards: false,
};

const PAUSES: FaultPlan = FaultPlan {
    lost: 0.02,
    late: 0.02,
    pauses: true,
    step_pauses: 0.002,
    ..NO_FAULTS
};

const HELD_ORDERS: FaultPlan = FaultPlan {
    pauses_in_cuts: true,
    ..NO_FAULTS
};

const EVERYTHING: FaultPlan = FaultPlan {
    refused_reads: true,
    refused_writes: true,
    restarts: true,
    handovers: true,
    store_cuts: true,
    platform_cuts: true,
    slow_platform: true,
    clock_errors: true,
    ..PAUSES
};

fn variable(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn run_seed(seed: u64, plan: FaultPlan) -> Platform {
    let mut world = World::new(seed, plan);
    world.is_tracing = variable("MODEL_TRACE").is_some();
    world.run();
    world.platform
}

/// Runs the seeds, `seeds` of them by default, prints the figures of the case, and returns what the platform of each has seen.
fn run_seeds(name: &str, plan: FaultPlan, seeds: u64) -> Vec<(u64, Platform)> {
    let seeds = match variable("MODEL_TRACE") {
        Some(seed) => seed..seed + 1,
        None => 0..variable("MODEL_SEEDS").unwrap_or(seeds),
    };
    let threads = 4.min(seeds.end - seeds.start);
    let mut results: Vec<(u64, Platform)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|number| {
                let own_seeds = (seeds.start + number..seeds.end).step_by(threads as usize);
                scope.spawn(move || {
                    own_seeds
                        .map(|seed| (seed, run_seed(seed, plan)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        (workers.into_iter())
            .flat_map(|worker| worker.join().expect("a seed panicked"))
            .collect()
    });
    results.sort_by_key(|(seed, _)| *seed);
    let (mut in_touch, mut any) = (None, None);
    for (_, platform) in &results {
        if let Some(gap) = platform.shortest_gap {
            shorten(&mut in_touch, gap);
        }
        if let Some(gap) = platform.shortest_disturbed_gap {
            shorten(&mut any, gap);
        }
    }
    let orders: usize = results.iter().map(|(_, platform)| platform.orders).sum();
    let holders: usize = (results.iter())
        .map(|(_, platform)| platform.holder_count())
        .sum();
    let failed = (results.iter())
        .filter(|(_, platform)| !platform.violations.is_empty())
        .count();
    println!(
        "{name}: {} seeds, {failed} failed, {orders} orders under {holders} tokens, shortest time \
         between two holders {in_touch:?} in touch, {any:?} in all",
        results.len()
    );
    results
}

fn run_case(name: &str, plan: FaultPlan) {
    let results = run_seeds(name, plan, SEEDS);
    let failures: Vec<String> = (results.iter())
        .filter_map(|(seed, platform)| {
            let first = platform.violations.first()?;
            let count = platform.violations.len();
            Some(format!("seed {seed}: {first} ({count} in all)"))
        })
        .collect();
    assert!(
        failures.is_empty(),
        "{} of {} seeds failed:\n{}",
        failures.len(),
        results.len(),
        failures[..failures.len().min(10)].join("\n")
    );
}

macro_rules! model_cases {
    ($($name:ident: $plan:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run_case(stringify!($name), $plan);
            }
        )*
    };
}

model_cases! {
    calm: NO_FAULTS;
    pauses: PAUSES;
    cuts: FaultPlan { lost: 0.02, store_cuts: true, platform_cuts: true, ..NO_FAULTS };
    handovers: FaultPlan { lost: 0.02, late: 0.02, handovers: true, slow_platform: true, ..NO_FAULTS };
    restarts: FaultPlan { lost: 0.02, restarts: true, platform_cuts: true, ..NO_FAULTS };
    store_refuses_reads: FaultPlan { lost: 0.02, late: 0.05, refused_reads: true, ..PAUSES };
    store_refuses_writes_of_one_node: FaultPlan { lost: 0.03, late: 0.05, refused_writes: true, ..NO_FAULTS };
    slow_platform: FaultPlan { slow_platform: true, restarts: true, ..PAUSES };
    clocks: FaultPlan { clock_errors: true, store_cuts: true, refused_writes: true, ..PAUSES };
    orders_held_by_cut_links_in_pauses: FaultPlan { kernel_discards: true, ..HELD_ORDERS };
    everything: EVERYTHING;
    everything_with_bytes_discarded_by_the_kernel: FaultPlan { kernel_discards: true, ..EVERYTHING };
}

/// Guards against checks that cannot fail: they find the fault of the rule before.
#[test]
fn heartbeat_rule_fails() {
    let plan = FaultPlan {
        rule: OrderRule::Heartbeat,
        ..PAUSES
    };
    let results = run_seeds("heartbeat_rule_fails", plan, SEEDS);
    let has_reversal = |platform: &Platform| !platform.reversals.is_empty();
    assert!(
        results.iter().any(|(_, platform)| has_reversal(platform))
            || variable("MODEL_TRACE").is_some(),
        "no order with a lower token was found"
    );
}

/// Guards against checks that cannot fail: bytes that only the process discards arrive late.
#[test]
fn orders_held_without_a_limit_of_the_kernel_arrive_late() {
    let results = run_seeds("orders_held_without_a_limit", HELD_ORDERS, 10 * SEEDS);
    let has_reversal = |platform: &Platform| !platform.reversals.is_empty();
    assert!(
        results.iter().any(|(_, platform)| has_reversal(platform))
            || variable("MODEL_TRACE").is_some(),
        "no order with a lower token was found"
    );
}

/// A pause between the last check and the system call cannot be excluded where the platform checks
/// no tokens. Only one that is longer than `coordinator_lease` leads to a lower token.
#[test]
fn pauses_between_check_and_write() {
    let plan = FaultPlan {
        write_pauses: 0.01,
        clock_errors: true,
        refused_writes: true,
        ..PAUSES
    };
    let results = run_seeds("pauses_between_check_and_write", plan, SEEDS);
    let reversals: Vec<Duration> = (results.iter())
        .flat_map(|(_, platform)| &platform.reversals)
        .map(|reversal| reversal.unchecked_time)
        .collect();
    let shortest = reversals.iter().min();
    println!(
        "{} orders with a lower token, the shortest pause {shortest:?}",
        reversals.len()
    );
    assert!(shortest.is_none_or(|pause| *pause > COORDINATOR_LEASE));
    for (seed, platform) in &results {
        let violations = &platform.violations;
        let is_expected = violations.len() == platform.reversals.len();
        assert!(is_expected, "seed {seed}: {violations:?}");
    }
}

#[test]
fn late_confirmation_does_not_restore_ended_lease() {
    let mut lease = OrderLease::default();
    lease.confirm(Duration::from_secs(1));
    lease.end();
    lease.confirm(Duration::from_secs(2));
    assert_eq!(lease.remaining(Duration::from_secs(2)), Duration::ZERO);
}

#[test]
fn older_confirmation_does_not_shorten_lease() {
    let mut lease = OrderLease::default();
    lease.confirm(Duration::from_secs(2));
    lease.confirm(Duration::from_secs(1));
    assert_eq!(lease.remaining(Duration::from_secs(2)), ORDER_LEASE);
    assert_eq!(lease.age(Duration::from_secs(2)), Some(Duration::ZERO));
}

#[test]
fn slow_response_does_not_prolong_lease() {
    let (sent_at, answered_at) = (Duration::from_secs(1), Duration::from_millis(1_900));
    let mut lease = OrderLease::default();
    assert_eq!(lease.age(answered_at), None);
    assert_eq!(lease.remaining(answered_at), Duration::ZERO);
    lease.confirm(sent_at);
    assert_eq!(lease.age(answered_at), Some(answered_at - sent_at));
    assert_eq!(
        lease.remaining(answered_at),
        ORDER_LEASE - (answered_at - sent_at)
    );
    let end = sent_at + ORDER_LEASE;
    assert!(!lease.remaining(end - Duration::from_nanos(1)).is_zero());
    assert!(lease.remaining(end).is_zero());
}

#[test]
fn takeover_wait_outlasts_former_owner_with_slow_clock() {
    let transit = Duration::from_millis(200);
    for lease in [0, 1_000, 3_000, 10_000].map(Duration::from_millis) {
        assert_eq!(takeover_wait(None, lease), Duration::ZERO);
        let cases = [
            (FormerOwner::Inactive, Duration::ZERO),
            (FormerOwner::Unresponsive, ORDER_LEASE),
        ];
        for (former_owner, last_order) in cases {
            let wait = takeover_wait(Some(former_owner), lease);
            let bounds = lease + last_order + transit;
            // The new owner's clock runs 2% faster than that of the former one.
            assert!(wait * 100 >= bounds * 102, "{former_owner:?}: {wait:?}");
        }
    }
}
