//! Measures the time of an owner's decisions by the items that they look at.
//!
//! Usage: `duty_cost`, in release. Plays the flood and the takeover of the test `starved_owner`
//! with half a core and prints the least squares fit of the time of each duty, in nanoseconds: a
//! constant, and a coefficient for each kind of item.

// The test uses what this program does not.
#[allow(dead_code)]
#[path = "../tests/starved_owner"]
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

use tanager_schedule::decision_work::DecisionWork;

use starved_owner::plan::Plan;
use starved_owner::world::World;

const NAMES: [&str; 6] = ["constant", "step", "cap check", "worker", "run", "task"];
/// Duties that took longer were interrupted by other processes.
const LONGEST_DUTY: Duration = Duration::from_millis(20);

fn main() {
    let mut samples = Vec::new();
    for kills in [Vec::new(), vec![Duration::from_secs(5)]] {
        let plan = Plan {
            share: 0.5,
            flood: (Duration::from_secs(2), Duration::from_secs(7)),
            kills,
            cancels: None,
            held_jobs: None,
            end: Duration::from_secs(13),
        };
        let mut world = World::new(1, plan);
        world.measured = Some(Vec::new());
        world.play();
        samples.extend(world.measured.unwrap_or_default());
    }
    samples.retain(|(time, _)| *time < LONGEST_DUTY);
    let total: Duration = samples.iter().map(|(time, _)| *time).sum();
    println!("{} duties, {total:?}", samples.len());
    let sums = samples.iter().fold([0.0; 6], |sums, (_, work)| {
        let row = row(work);
        std::array::from_fn(|index| sums[index] + row[index])
    });
    for ((name, coefficient), sum) in NAMES.iter().zip(fit(&samples)).zip(sums) {
        println!("{name}: {coefficient:.1} ns, {sum:.0} items");
    }
}

fn row(work: &DecisionWork) -> [f64; 6] {
    let DecisionWork {
        steps,
        cap_checks,
        workers,
        runs,
        tasks,
    } = *work;
    [1, steps, cap_checks, workers, runs, tasks].map(|count| count as f64)
}

/// Solves the normal equations by elimination; items that do not occur get no coefficient.
fn fit(samples: &[(Duration, DecisionWork)]) -> [f64; 6] {
    let mut matrix = [[0.0; 7]; 6];
    for (time, work) in samples {
        let row = row(work);
        for left in 0..6 {
            for right in 0..6 {
                matrix[left][right] += row[left] * row[right];
            }
            matrix[left][6] += row[left] * time.as_nanos() as f64;
        }
    }
    for pivot in 0..6 {
        if matrix[pivot][pivot].abs() < 1e-9 {
            matrix[pivot] = [0.0; 7];
            matrix[pivot][pivot] = 1.0;
        }
        let pivot_row = matrix[pivot];
        for (index, other) in matrix.iter_mut().enumerate() {
            if index != pivot {
                let factor = other[pivot] / pivot_row[pivot];
                for column in 0..7 {
                    other[column] -= factor * pivot_row[column];
                }
            }
        }
    }
    std::array::from_fn(|index| matrix[index][6] / matrix[index][index])
}
