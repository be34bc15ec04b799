//! The two sites and their load.

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
const MEAN_LOAD: f64 = 0.28;
/// Shares of urgent, normal and batch work in the load of a pool.
const MIX: [f64; 3] = [0.15, 0.70, 0.15];
/// Mean run time of a job before errors, in seconds.
const RUN_TIME: f64 = 0.3;
/// Slot-seconds of a mean job, with the errors of [`Job::new`].
const MEAN_COST: f64 = RUN_TIME * 1.405 * 1.162;
/// A flood offers this multiple of the slots of its pool.
const FLOOD_LOAD: f64 = 3.0;

/// A site: zones, and pools with workers and floor. The last pool is the spare pool without load.
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

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) arrival: Duration,
    pub(crate) pool: usize,
    pub(crate) priority: RequestPriority,
    pub(crate) flood: bool,
    /// Declared need in slots.
    pub(crate) slots: u32,
    /// Slots that it really uses while it runs.
    pub(crate) real: f64,
    /// Seconds that it runs on a worker that is not overloaded.
    pub(crate) run: f64,
}

impl Job {
    /// Draws a job. Run times are exponential; one in twenty is ten times too long and one in twenty
    /// ten times too short, one in fifty each uses ten times or a tenth of its declared slots, and
    /// one in five hundred declares more slots than any worker has.
    fn new(
        arrival: Duration,
        pool: usize,
        priority: RequestPriority,
        flood: bool,
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
        let run = -(1.0 - random.random::<f64>()).ln() * RUN_TIME * error(random, 0.05);
        let real = error(random, 0.02);
        let never = random.random::<f64>() < 0.002;
        Self {
            arrival,
            pool,
            priority,
            flood,
            slots: if never { 80 } else { 1 },
            real,
            run: run.max(0.002),
        }
    }

    /// Slot-seconds.
    pub(crate) fn work(&self) -> f64 {
        self.run * self.real
    }
}

/// Times of one run, in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Timeline {
    pub(crate) end: f64,
    /// End of the arrivals.
    pub(crate) load_end: f64,
    /// Batch flood, then urgent flood, on the first pool: start and length.
    pub(crate) floods: [(f64, f64); 2],
    /// Surge of one pool, in turn; the cycle is four times this.
    pub(crate) turn: f64,
    pub(crate) surge: f64,
    /// Two workers of the second pool fail everything: start and end.
    pub(crate) failing: (f64, f64),
    pub(crate) cancels: Vec<f64>,
    /// Waves over the third and the fourth pool.
    pub(crate) waves: [f64; 2],
    /// A rack of the fourth pool is lost: start and end.
    pub(crate) rack_lost: (f64, f64),
    /// Lasting load of the second pool as a multiple of its mean: start and factor.
    pub(crate) lasting: Option<(f64, f64)>,
}

impl Timeline {
    /// Factor on the mean load of a pool at a time.
    fn factor(&self, pool: usize, time: f64) -> f64 {
        if let Some((start, factor)) = self.lasting
            && pool == 1
            && time >= start
        {
            return factor;
        }
        #[allow(clippy::cast_precision_loss)]
        let phase = (time - pool as f64 * self.turn).rem_euclid(4.0 * self.turn);
        if phase < self.surge {
            5.0
        } else if phase < 2.0 * self.surge {
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

/// Draws the arrivals of a run. The other work is the same with and without floods.
pub(crate) fn draw_jobs(site: &Site, timeline: &Timeline, seed: u64, floods: bool) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (pool, (_, workers, _)) in site.pools.iter().enumerate().take(4) {
        let slots = f64::from(workers * SLOTS);
        for (index, priority) in RequestPriority::ALL.into_iter().enumerate() {
            let mut random = StdRng::seed_from_u64(seed * 100 + (pool * 3 + index) as u64);
            let mut time = 0.0;
            while time < timeline.load_end {
                let rate = timeline.factor(pool, time) * slots * MEAN_LOAD * MIX[index] / MEAN_COST;
                // Short steps keep the change of the rate at the edges of a surge exact enough.
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
            let rate = FLOOD_LOAD * f64::from(site.pools[0].1 * SLOTS) / MEAN_COST;
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
