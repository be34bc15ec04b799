//! Rates that workers are compared with. Each test names the failure that it guards against.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use tanager_schedule::WorkerKey;
use tanager_schedule::health_rates::HealthRates;
use tanager_schedule::health_rates::ObservationKind;
use tanager_schedule::worker_health::ObservedRate;

const QUEUES: [&str; 2] = ["a", "b"];

/// Compares with sums over all workers.
fn check_seed(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut slots: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let keys: Vec<WorkerKey> = (0..12).map(|_| slots.insert(())).collect();
    let mut rates = HealthRates::default();
    let mut known: BTreeMap<(WorkerKey, usize), ObservedRate> = BTreeMap::new();
    let mut ejected = BTreeSet::new();
    let mut now = Duration::ZERO;
    for _ in 0..3_000 {
        now += Duration::from_millis(rng.random_range(0..100));
        let key = keys[rng.random_range(0..keys.len())];
        let queue = rng.random_range(0..QUEUES.len());
        match rng.random_range(0..20) {
            0 => {
                rates.remove(key);
                known.retain(|(other, _), _| *other != key);
                ejected.remove(&key);
            }
            1 => {
                rates.set_ejected(key, true);
                ejected.insert(key);
            }
            2 => {
                rates.set_ejected(key, false);
                ejected.remove(&key);
            }
            3 => rates.sum_up(),
            _ => {
                let is_bad = rng.random_bool(0.3);
                rates.record(ObservationKind::Failure, QUEUES[queue], key, is_bad, now);
                known.entry((key, queue)).or_default().record(is_bad, now);
            }
        }
        let others = (known.iter())
            .filter(|((other, of_queue), _)| {
                *of_queue == queue && *other != key && !ejected.contains(other)
            })
            .map(|(_, rate)| *rate);
        let expected = ObservedRate::baseline(others);
        let kept = rates.baseline(ObservationKind::Failure, QUEUES[queue], key);
        assert!(
            (kept - expected).abs() < 1e-9,
            "seed {seed}: {kept} {expected}"
        );
    }
}

#[test]
fn kept_sums_do_not_differ_from_a_sum_over_the_workers() {
    (0..20).for_each(check_seed);
}
