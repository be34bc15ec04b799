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
    statuses: BTreeMap<VmName, VmStatus>,
    loads: BTreeMap<PoolName, f64>,
    down_until: BTreeMap<VmName, Duration>,
    now: Duration,
}

impl TestWave {
    fn new(vms: usize, cap: usize, duration: Duration, load: f64) -> Self {
        let status = |number: usize| VmStatus {
            pool: format!("pool-{}", number % 2),
            is_up: true,
            is_off: false,
        };
        let statuses: BTreeMap<VmName, VmStatus> = (0..vms * 2)
            .map(|number| (format!("vm-{number:03}"), status(number)))
            .collect();
        let chosen: Vec<VmName> = statuses.keys().take(vms).cloned().collect();
        Self {
            tracker: WaveTracker::new(1, chosen, cap, duration, MAINTENANCE, Duration::ZERO),
            statuses,
            loads: (0..2)
                .map(|number| (format!("pool-{number}"), load))
                .collect(),
            down_until: BTreeMap::new(),
            now: Duration::ZERO,
        }
    }

    fn down(&self) -> usize {
        self.statuses
            .values()
            .filter(|status| !status.is_up)
            .count()
    }

    /// Advances time; VMs whose maintenance has ended are up again.
    fn advance_time(&mut self) {
        self.now += STEP;
        let now = self.now;
        for (vm, until) in &self.down_until {
            if *until <= now
                && let Some(status) = self.statuses.get_mut(vm)
            {
                status.is_up = true;
            }
        }
        self.down_until.retain(|_, until| *until > now);
    }

    /// Starts the maintenance of a VM.
    fn maintain(&mut self, vm: &str) {
        self.tracker
            .set_step(vm, MaintenanceStep::Accepted(self.now));
        if let Some(status) = self.statuses.get_mut(vm) {
            status.is_up = false;
        }
        self.down_until
            .insert(vm.to_owned(), self.now + MAINTENANCE);
    }

    /// Runs until the wave is complete; a VM takes `drain_steps` steps on average to drain.
    fn run_to_end(&mut self, random: &mut StdRng, drain_steps: u32, cap: usize) -> Duration {
        while !self.tracker.is_complete() {
            self.tracker.advance(&self.statuses, &self.loads, self.now);
            let active = self.tracker.active();
            assert!(active.len() <= cap, "{} VMs are active", active.len());
            for (vm, step) in active {
                if matches!(step, MaintenanceStep::Draining(_))
                    && random.random_ratio(1, drain_steps)
                {
                    self.maintain(&vm);
                }
            }
            assert!(self.down() <= cap, "{} VMs are down", self.down());
            self.advance_time();
            assert!(self.now < Duration::from_secs(300), "the wave does not end");
        }
        assert_eq!(self.down(), 0);
        self.now
    }
}

/// Guards against more VMs in maintenance than the wave allows (LIMIT), against a wave reported as
/// completed while a VM is down (MIXED), and against a wave that ends late, at any load.
#[test]
fn waves_keep_their_limit_and_deadline() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let vms: usize = random.random_range(2..30);
        let cap = random.random_range(1..=vms);
        // Each VM takes some four seconds, at most `cap` at the same time.
        let rounds = vms.div_ceil(cap) as u32;
        let duration = Duration::from_secs(6) * rounds + Duration::from_secs(4);
        let load = random.random_range(0.0..2.0);
        let mut wave = TestWave::new(vms, cap, duration, load);
        let took = wave.run_to_end(&mut random, 3, cap);
        assert!(took <= duration, "seed {seed}: {took:?} of {duration:?}");
    }
}

/// Guards against a VM that crashes while it is drained and blocks the wave or is skipped.
#[test]
fn vm_that_crashes_while_draining_is_chosen_again() {
    let mut wave = TestWave::new(1, 1, Duration::from_secs(20), 0.0);
    let chosen = wave.tracker.advance(&wave.statuses, &wave.loads, wave.now);
    assert_eq!(chosen, vec!["vm-000".to_owned()]);
    if let Some(status) = wave.statuses.get_mut("vm-000") {
        status.is_up = false;
    }
    wave.advance_time();
    wave.tracker.advance(&wave.statuses, &wave.loads, wave.now);
    assert!(
        wave.tracker.active().is_empty(),
        "{:?}",
        wave.tracker.active()
    );
    assert!(!wave.tracker.is_complete());
    if let Some(status) = wave.statuses.get_mut("vm-000") {
        status.is_up = true;
    }
    wave.advance_time();
    let chosen = wave.tracker.advance(&wave.statuses, &wave.loads, wave.now);
    assert_eq!(chosen, vec!["vm-000".to_owned()]);
}

/// Guards against a wave that never ends because one of its VMs was removed.
#[test]
fn removed_vms_do_not_block_the_wave() {
    let mut wave = TestWave::new(2, 2, Duration::from_secs(20), 0.0);
    wave.statuses.remove("vm-000");
    let mut random = StdRng::seed_from_u64(1);
    wave.run_to_end(&mut random, 1, 2);
    assert_eq!(wave.tracker.step("vm-000"), Some(MaintenanceStep::Gone));
}
