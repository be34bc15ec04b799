//! The two simulated sites and their load.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use tanager_protocol::config::PoolConfig;
use tanager_protocol::config::VmConfig;
use tanager_protocol::fleet::FleetState;
use tanager_protocol::fleet::VmActivity;
use tanager_protocol::fleet::VmHealth;
use tanager_protocol::fleet::VmRecord;
use tanager_protocol::request::RequestPriority;

/// Slots of every worker.
pub(crate) const SLOTS: u32 = 8;
/// Mean load of a pool as a share of its slots. A surge of five times the mean exceeds the pool.
const MEAN_LOAD_SHARE: f64 = 0.28;
/// Shares of urgent, normal and batch work in the load of a pool.
const PRIORITY_SHARES: [f64; 3] = [0.15, 0.70, 0.15];
/// Mean run time of a job before errors, in seconds.
const MEAN_RUN_SECONDS: f64 = 0.3;
/// Slot-seconds of a mean job, with the errors of [`Job::new`].
const MEAN_SLOT_SECONDS: f64 = MEAN_RUN_SECONDS * 1.405 * 1.162;
/// Offered load of a flood as a multiple of the slots of its pool.
const FLOOD_LOAD_FACTOR: f64 = 3.0;

/// A site: its number of zones, and its pools with the number of workers and the floor. The last
/// pool is a spare pool without load.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) zones: u32,
    pub(crate) pools: [(&'static str, u32, u32); 5],
}

pub(crate) const SITES: [Site; 2] = [
    Site {
        name: "Hallein",
        zones: 3,
        pools: [
            ("diary-intake", 12, 9),
            ("case-files", 10, 7),
            ("evidence-media", 10, 7),
            ("hearing-preparation", 8, 6),
            ("spare", 10, 6),
        ],
    },
    Site {
        name: "Nilebite",
        zones: 4,
        pools: [
            ("counter-requests", 9, 7),
            ("grind-planning", 12, 9),
            ("photo-inspection", 11, 8),
            ("rescue-intake", 8, 6),
            ("spare", 10, 6),
        ],
    },
];

impl Site {
    /// Fleet state in which all VMs are up. Four consecutive workers of a pool share a rack.
    pub(crate) fn fleet(&self) -> FleetState {
        let mut state = FleetState {
            version: 1,
            ..FleetState::default()
        };
        let mut port = 1_000;
        for (pool, workers, floor) in self.pools {
            let config = PoolConfig {
                floor,
                ..PoolConfig::default()
            };
            state.document.pools.insert(pool.to_owned(), config);
            for index in 0..workers {
                port += 1;
                let rack = index / 4;
                let vm = VmConfig {
                    address: ([10, 0, 0, 1], port).into(),
                    pool: pool.to_owned(),
                    zone: format!("zone-{}", rack % self.zones),
                    rack: format!("{pool}-rack-{rack}"),
                    slots: SLOTS,
                };
                let name = format!("{pool}-{index:02}");
                state.document.vms.insert(name.clone(), vm);
                let record = VmRecord {
                    pool: pool.to_owned(),
                    activity: VmActivity::Active,
                    health: VmHealth::Up,
                    version: 1,
                };
                state.vms.insert(name, record);
            }
        }
        state
    }
}

/// One simulated request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) arrival: Duration,
    pub(crate) pool: usize,
    pub(crate) priority: RequestPriority,
    pub(crate) is_flood: bool,
    /// Declared number of slots.
    pub(crate) slots: u32,
    /// Slots that it actually uses while it runs.
    pub(crate) actual_slots: f64,
    /// Run time in seconds on a worker that is not overloaded.
    pub(crate) run_seconds: f64,
}

impl Job {
    /// Draws a random job. Run times are exponential; one in twenty is ten times too long and one
    /// in twenty ten times too short. One job in fifty uses ten times its declared slots and one in
    /// fifty a tenth of them. One in five hundred declares more slots than any worker has.
    fn new(
        arrival: Duration,
        pool: usize,
        priority: RequestPriority,
        is_flood: bool,
        random: &mut StdRng,
    ) -> Self {
        let error = |random: &mut StdRng, share: f64| {
            let draw: f64 = random.random();
            if draw < share {
                10.0
            } else if draw < 2.0 * share {
                0.1
            } else {
                1.0
            }
        };
        let run_seconds =
            -(1.0 - random.random::<f64>()).ln() * MEAN_RUN_SECONDS * error(random, 0.05);
        let actual_slots = error(random, 0.02);
        let is_too_large = random.random::<f64>() < 0.002;
        Self {
            arrival,
            pool,
            priority,
            is_flood,
            slots: if is_too_large { 80 } else { 1 },
            actual_slots,
            run_seconds: run_seconds.max(0.002),
        }
    }

    /// Work in slot-seconds.
    pub(crate) fn work(&self) -> f64 {
        self.run_seconds * self.actual_slots
    }
}

/// Schedule of one run, in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Timeline {
    pub(crate) end: f64,
    /// End of the arrivals.
    pub(crate) arrivals_end: f64,
    /// Batch flood and urgent flood on the first pool: start and length of each.
    pub(crate) floods: [(f64, f64); 2],
    /// Time between the surges of successive pools; the cycle over the four pools is four times
    /// this.
    pub(crate) surge_interval: f64,
    pub(crate) surge_length: f64,
    /// Period in which two workers of the second pool fail every request: start and end.
    pub(crate) failing_period: (f64, f64),
    pub(crate) cancel_times: Vec<f64>,
    /// Start times of the waves over the third and the fourth pool.
    pub(crate) waves: [f64; 2],
    /// Period in which a rack of the fourth pool is lost: start and end.
    pub(crate) rack_outage: (f64, f64),
    /// Lasting load of the second pool as a multiple of its mean: start and factor.
    pub(crate) lasting_load: Option<(f64, f64)>,
}

impl Timeline {
    /// Factor by which the load of a pool at a time differs from its mean.
    fn factor(&self, pool: usize, time: f64) -> f64 {
        if let Some((start, factor)) = self.lasting_load
            && pool == 1
            && time >= start
        {
            return factor;
        }
        #[allow(clippy::cast_precision_loss)]
        let phase =
            (time - pool as f64 * self.surge_interval).rem_euclid(4.0 * self.surge_interval);
        if phase < self.surge_length {
            5.0
        } else if phase < 2.0 * self.surge_length {
            0.05
        } else {
            1.0
        }
    }

    pub(crate) fn flood_at(&self, time: Duration) -> Option<usize> {
        let time = time.as_secs_f64();
        self.floods
            .iter()
            .position(|(start, length)| time >= *start && time < start + length)
    }
}

/// Draws the arrivals of a run. Apart from the floods, they are the same with and without floods.
pub(crate) fn draw_jobs(site: &Site, timeline: &Timeline, seed: u64, floods: bool) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (pool, (_, workers, _)) in site.pools.iter().enumerate().take(4) {
        let slots = f64::from(workers * SLOTS);
        for (index, priority) in RequestPriority::ALL.into_iter().enumerate() {
            let mut random = StdRng::seed_from_u64(seed * 100 + (pool * 3 + index) as u64);
            let mut time = 0.0;
            while time < timeline.arrivals_end {
                let rate =
                    timeline.factor(pool, time) * slots * MEAN_LOAD_SHARE * PRIORITY_SHARES[index]
                        / MEAN_SLOT_SECONDS;
                // Short steps limit the error of the rate at the edges of a surge.
                let step = -(1.0 - random.random::<f64>()).ln() / rate;
                if step > 0.1 {
                    time += 0.1;
                    continue;
                }
                time += step;
                let arrival = Duration::from_secs_f64(time);
                jobs.push(Job::new(arrival, pool, priority, false, &mut random));
            }
        }
    }
    if floods {
        let kinds = [RequestPriority::Batch, RequestPriority::Urgent];
        for (index, ((start, length), priority)) in
            timeline.floods.into_iter().zip(kinds).enumerate()
        {
            let mut random = StdRng::seed_from_u64(seed * 100 + 50 + index as u64);
            let rate = FLOOD_LOAD_FACTOR * f64::from(site.pools[0].1 * SLOTS) / MEAN_SLOT_SECONDS;
            let mut time = start;
            while time < start + length {
                time -= (1.0 - random.random::<f64>()).ln() / rate;
                jobs.push(Job::new(
                    Duration::from_secs_f64(time),
                    0,
                    priority,
                    true,
                    &mut random,
                ));
            }
        }
    }
    jobs.sort_by_key(|job| (job.arrival, job.pool, job.priority));
    jobs
}
