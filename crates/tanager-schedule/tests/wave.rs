//! Maintenance waves. Each test names the failure that it guards against.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tanager_jobs::ids::PoolName;
use tanager_jobs::ids::VmName;
use tanager_schedule::wave::MaintenanceStep;
use tanager_schedule::wave::VmStatus;
use tanager_schedule::wave::WaveTracker;

const MAINTENANCE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(250);

/// VMs of two pools, half of which are in the wave.
struct TestWave {
    tracker: WaveTracker,
    facts: BTreeMap<VmName, VmStatus>,
    loads: BTreeMap<PoolName, f64>,
    down_until: BTreeMap<VmName, Duration>,
    now: Duration,
}

impl TestWave {
    fn new(vms: usize, cap: usize, duration: Duration, load: f64) -> Self {
        let fact = |number: usize| VmStatus {
            pool: format!("pool-{}", number % 2),
            is_up: true,
            is_off: false,
        };
        let facts: BTreeMap<VmName, VmStatus> = (0..vms * 2)
            .map(|number| (format!("vm-{number:03}"), fact(number)))
            .collect();
        let chosen: Vec<VmName> = facts.keys().take(vms).cloned().collect();
        Self {
            tracker: WaveTracker::new(1, chosen, cap, duration, MAINTENANCE, Duration::ZERO),
            facts,
            loads: (0..2)
                .map(|number| (format!("pool-{number}"), load))
                .collect(),
            down_until: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn down(&self) -> usize {
        self.facts.values().filter(|fact| !fact.is_up).count()
    }

    /// Passes time; VMs whose maintenance has ended are up again.
    fn pass(&mut self) {
        self.now += STEP;
        let now = self.now;
        for (vm, until) in &self.down_until {
            if *until <= now
                && let Some(fact) = self.facts.get_mut(vm)
            {
                fact.is_up = true;
            }
        }
        self.down_until.retain(|_, until| *until > now);
    }

    /// Begins the maintenance of a VM.
    fn maintain(&mut self, vm: &str) {
        self.tracker
            .set_step(vm, MaintenanceStep::Accepted(self.now));
        if let Some(fact) = self.facts.get_mut(vm) {
            fact.is_up = false;
        }
        self.down_until
            .insert(vm.to_owned(), self.now + MAINTENANCE);
    }

    /// Plays until the wave is complete; a VM takes `empty` steps on average to be emptied.
    fn play(&mut self, random: &mut StdRng, empty: u32, cap: usize) -> Duration {
        while !self.tracker.is_complete() {
            self.tracker.advance(&self.facts, &self.loads, self.now);
            let active = self.tracker.active();
            assert!(active.len() <= cap, "{} are active", active.len());
            for (vm, step) in active {
                if matches!(step, MaintenanceStep::Draining(_)) && random.random_ratio(1, empty) {
                    self.maintain(&vm);
                }
            }
            assert!(self.down() <= cap, "{} are down", self.down());
            self.pass();
            assert!(self.now < Duration::from_secs(300), "the wave does not end");
        }
        assert_eq!(self.down(), 0);
        self.now
    }
}

/// Guards against more VMs in maintenance than the wave allows (LIMIT), and against a wave that is
/// said to be completed while one is down (MIXED) or that ends late, at any load.
#[test]
fn waves_keep_their_limit_and_their_time() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let vms: usize = random.random_range(2..30);
        let cap = random.random_range(1..=vms);
        // Each VM takes some four seconds, at most `cap` at once.
        let rounds = vms.div_ceil(cap) as u32;
        let duration = Duration::from_secs(6) * rounds + Duration::from_secs(4);
        let load = random.random_range(0.0..2.0);
        let mut wave = TestWave::new(vms, cap, duration, load);
        let took = wave.play(&mut random, 3, cap);
        assert!(took <= duration, "seed {seed}: {took:?} of {duration:?}");
    }
}

/// Guards against a VM that crashes while it is emptied and holds up the wave or is forgotten.
#[test]
fn vm_that_crashes_while_it_is_emptied_comes_again() {
    let mut wave = TestWave::new(1, 1, Duration::from_secs(20), 0.0);
    let chosen = wave.tracker.advance(&wave.facts, &wave.loads, wave.now);
    assert_eq!(chosen, vec!["vm-000".to_owned()]);
    if let Some(fact) = wave.facts.get_mut("vm-000") {
        fact.is_up = false;
    }
    wave.pass();
    wave.tracker.advance(&wave.facts, &wave.loads, wave.now);
    assert!(
        wave.tracker.active().is_empty(),
        "{:?}",
        wave.tracker.active()
    );
    assert!(!wave.tracker.is_complete());
    if let Some(fact) = wave.facts.get_mut("vm-000") {
        fact.is_up = true;
    }
    wave.pass();
    let chosen = wave.tracker.advance(&wave.facts, &wave.loads, wave.now);
    assert_eq!(chosen, vec!["vm-000".to_owned()]);
}

/// Guards against a wave that never ends because one of its VMs was removed for good.
#[test]
fn removed_vms_do_not_hold_the_wave_up() {
    let mut wave = TestWave::new(2, 2, Duration::from_secs(20), 0.0);
    wave.facts.remove("vm-000");
    let mut random = StdRng::seed_from_u64(1);
    wave.play(&mut random, 1, 2);
    assert_eq!(wave.tracker.step("vm-000"), Some(MaintenanceStep::Gone));
}
