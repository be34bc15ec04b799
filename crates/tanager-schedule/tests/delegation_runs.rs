//! Runs two cells of a pool with their workers, one of which delegates jobs to the other: the real
//! placement, recovery and delegation code of both, against a model of the store, the owners, their
//! calls to each other, the workers and the clients, under seeded faults. Guards against a job whose
//! tasks run in both cells, two runs of a task at the same time or after a run that is done, an
//! accepted job that does not end or ends twice, a refused job that runs, and a start after an
//! acknowledged cancellation. The model of `delegation_model.rs` has no workers and no transaction
//! that is carried out late, and that of `model.rs` has no delegation.
//!
//! `MODEL_SEEDS=5000 cargo test --release -p tanager-schedule --test delegation_runs` runs more
//! seeds; `MODEL_TRACE=7` runs only seed 7 and prints a trace.

mod delegation_runs {
    #[path = "../delegation_records/calls.rs"]
    pub(crate) mod calls;
    #[allow(dead_code, reason = "crashing tasks are not part of this model")]
    #[path = "../model/check.rs"]
    pub(crate) mod check;
    #[path = "../delegation_records/clients.rs"]
    pub(crate) mod clients;
    pub(crate) mod ledger;
    pub(crate) mod orders;
    pub(crate) mod owner;
    pub(crate) mod results;
    #[allow(dead_code, reason = "gangs are not part of this model")]
    #[path = "../model/worker.rs"]
    pub(crate) mod worker;
    pub(crate) mod world;
}

use std::thread;

use delegation_runs::results::Totals;
use delegation_runs::world::FaultPlan;
use delegation_runs::world::World;

/// Seeds per case, unless `MODEL_SEEDS` is set.
const SEEDS: u64 = 40;
const THREADS: u64 = 3;

const NO_FAULTS: FaultPlan = FaultPlan {
    calls: false,
    repeats: false,
    owners: false,
    handovers: false,
    late_writes: false,
    worker_calls: 0.0,
    worker_crashes: false,
};

fn run_seeds(plan: FaultPlan) {
    let variable = |name: &str| std::env::var(name).ok()?.parse::<u64>().ok();
    if let Some(seed) = variable("MODEL_TRACE") {
        World::new(seed, plan, true).run().expect("no violation");
        return;
    }
    let count = variable("MODEL_SEEDS").unwrap_or(SEEDS);
    let results: Vec<Result<Totals, String>> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|number| {
                let seeds = (number..count).step_by(THREADS as usize);
                let run = move |seed| World::new(seed, plan, false).run();
                scope.spawn(move || seeds.map(run).collect::<Vec<_>>())
            })
            .collect();
        (threads.into_iter())
            .flat_map(|thread| thread.join().expect("a seed panicked"))
            .collect()
    });
    let mut totals = Totals::default();
    let mut failures = Vec::new();
    for result in results {
        match result {
            Ok(numbers) => totals.add(&numbers),
            Err(failure) => failures.push(failure),
        }
    }
    println!("{totals:?}");
    assert!(
        failures.is_empty(),
        "{} of {count} seeds failed:\n{}",
        failures.len(),
        failures[..failures.len().min(10)].join("\n")
    );
    // Otherwise the case does not exercise what it guards against.
    assert!(totals.covers_delegation(), "{totals:?}");
}

macro_rules! model_cases {
    ($($name:ident: $plan:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run_seeds($plan);
            }
        )*
    };
}

model_cases! {
    calm: NO_FAULTS;
    lost_late_and_repeated_calls: FaultPlan { calls: true, repeats: true, ..NO_FAULTS };
    handovers: FaultPlan { calls: true, handovers: true, ..NO_FAULTS };
    lost_owners_and_late_writes: FaultPlan { calls: true, owners: true, late_writes: true, ..NO_FAULTS };
    everything: FaultPlan {
        calls: true,
        repeats: true,
        owners: true,
        handovers: true,
        late_writes: true,
        worker_calls: 0.03,
        worker_crashes: true,
    };
}
