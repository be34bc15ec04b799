//! Figures of a policy and the aims.

use std::time::Duration;

use tanager_protocol::request::RequestPriority;

use crate::control::REBOOT;
use crate::dispatcher::Policy;
use crate::dispatcher::priority_index;
use crate::run::RunResult;
use crate::run::run;
use crate::site::Job;
use crate::site::SLOTS;
use crate::site::Site;
use crate::site::Timeline;
use crate::site::draw_jobs;

/// Aims of the project; never adjusted to a result.
pub(crate) const KEPT_AIM: f64 = 0.95;
pub(crate) const WAVE_AIM: f64 = 1.5;
pub(crate) const URGENT_AIM: Duration = Duration::from_millis(9_900);
/// Idle reserve that prints as 0.0%.
pub(crate) const IDLE_AIM: f64 = 0.000_5;

/// Figures of one policy on one site.
pub(crate) struct PolicyFigures {
    pub(crate) policy: Policy,
    /// Least share of its no-flood service that any kind of other work kept in the batch and in the
    /// urgent flood, and the kind.
    pub(crate) kept: [(f64, String); 2],
    /// The same with floods that coincide with the surge of the flooded pool.
    pub(crate) kept_surge: [(f64, String); 2],
    /// Start delay by priority: 99th percentile without the flood, and greatest with it.
    pub(crate) delay: [(Duration, Duration); 3],
    /// Urgent requests outside the floods that did not start within 9.9 s, although a worker could
    /// hold them and their callers did not cancel them.
    pub(crate) urgent_late: usize,
    /// Useful slot-seconds per slot-second: requests, and leased tasks.
    pub(crate) useful: (f64, f64),
    pub(crate) idle: f64,
    pub(crate) limited: f64,
    /// Moves with short surges only, and with lasting load.
    pub(crate) moves: (u32, u32),
    /// Times of the wave without and with a lost rack, as multiples of the shortest.
    pub(crate) waves: [Option<f64>; 2],
    pub(crate) floor_violations: u32,
    pub(crate) failed: u32,
}

/// The runs of one policy on one site.
pub(crate) fn measure(
    site: &Site,
    timeline: &Timeline,
    coincident: &Timeline,
    lasting: &Timeline,
    policy: Policy,
    seed: u64,
) -> PolicyFigures {
    let execute = |timeline: &Timeline, floods: bool| {
        let jobs = draw_jobs(site, timeline, seed, floods);
        let result = run(site, timeline, policy, &jobs, seed);
        (jobs, result)
    };
    let quiet = execute(timeline, false);
    let (jobs, result) = execute(timeline, true);
    let surge = execute(coincident, true);
    let moved = execute(lasting, false).1;
    let shortest = |index: usize| {
        let (_, workers, floor) = site.pools[index + 2];
        REBOOT.as_secs_f64() * f64::from(workers.div_ceil(workers - floor))
    };
    let kept = |other: &(Vec<Job>, RunResult), timeline: &Timeline| {
        [0, 1].map(|flood| least_kept(site, timeline, flood, &quiet, other))
    };
    let delay = RequestPriority::ALL.map(|priority| start_delay(&jobs, &result, priority));
    let urgent_late = late_urgent(&jobs, &result, timeline);
    let waves = [0, 1].map(|index| result.waves[index].map(|time| time / shortest(index)));
    let flooded = (jobs, result);
    let kept_flood = kept(&flooded, timeline);
    let kept_surge = kept(&surge, coincident);
    let result = flooded.1;
    PolicyFigures {
        policy,
        kept: kept_flood,
        kept_surge,
        delay,
        urgent_late,
        useful: (result.useful / result.total, result.leased / result.total),
        idle: result.idle / result.total,
        limited: result.limited / result.total,
        moves: (result.moves, moved.moves),
        waves,
        floor_violations: result.floor_violations
            + surge.1.floor_violations
            + moved.floor_violations,
        failed: result.failed,
    }
}

/// Least share of its service without flood that any kind of work kept during a flood. Requests
/// that their callers cancelled in either run are left out of both.
fn least_kept(
    site: &Site,
    timeline: &Timeline,
    flood: usize,
    quiet: &(Vec<Job>, RunResult),
    flooded: &(Vec<Job>, RunResult),
) -> (f64, String) {
    let (jobs, result) = flooded;
    let others = jobs.iter().zip(&result.jobs).filter(|(job, _)| !job.flood);
    // Both runs have the same other work in the same order.
    let pairs: Vec<(&Job, bool, bool)> = others
        .zip(&quiet.1.jobs)
        .filter(|((job, with), without)| {
            timeline.flood_at(job.arrival) == Some(flood) && !with.cancelled && !without.cancelled
        })
        .map(|((job, with), without)| (job, with.useful, without.useful))
        .collect();
    let mut least = (f64::INFINITY, String::new());
    for pool in 0..4 {
        for priority in RequestPriority::ALL {
            let (mut kept, mut before) = (0_u32, 0_u32);
            for (job, with, without) in &pairs {
                if job.pool == pool && job.priority == priority {
                    kept += u32::from(*with);
                    before += u32::from(*without);
                }
            }
            // A share of fewer requests would say little.
            if before < 20 {
                continue;
            }
            let share = f64::from(kept) / f64::from(before);
            if share < least.0 {
                least = (
                    share,
                    format!("{} {}", site.pools[pool].0, priority.as_str()),
                );
            }
        }
    }
    least
}

fn late_urgent(jobs: &[Job], result: &RunResult, timeline: &Timeline) -> usize {
    // Requests of the last 10 s may still wait when the run ends.
    let end = Duration::from_secs_f64(timeline.end - 10.0);
    let late = jobs.iter().zip(&result.jobs).filter(|(job, outcome)| {
        job.priority == RequestPriority::Urgent
            && !job.flood
            && job.slots <= SLOTS
            && job.arrival < end
            && !outcome.cancelled
            && outcome
                .started
                .is_none_or(|start| start - job.arrival > URGENT_AIM)
    });
    late.count()
}

fn start_delay(
    jobs: &[Job],
    result: &RunResult,
    priority: RequestPriority,
) -> (Duration, Duration) {
    let delays = |floods: bool| {
        let mut delays: Vec<Duration> = jobs
            .iter()
            .zip(&result.jobs)
            .filter(|(job, _)| job.priority == priority && (floods || !job.flood))
            .filter_map(|(job, outcome)| outcome.started.map(|start| start - job.arrival))
            .collect();
        delays.sort_unstable();
        delays
    };
    let regular = delays(false);
    let percentile = regular.get(regular.len() * 99 / 100).copied();
    let greatest = delays(true).last().copied();
    (percentile.unwrap_or_default(), greatest.unwrap_or_default())
}

impl PolicyFigures {
    /// Each aim with whether it is met.
    pub(crate) fn aims(&self) -> [(&'static str, bool); 7] {
        let kept = |shares: &[(f64, String); 2]| shares.iter().all(|(share, _)| *share >= KEPT_AIM);
        [
            ("other work keeps 95% in a flood", kept(&self.kept)),
            (
                "other work keeps 95% in a flood during its own surge",
                kept(&self.kept_surge),
            ),
            ("no idle reserve", self.idle <= IDLE_AIM),
            ("no move for a short surge", self.moves.0 == 0),
            (
                "wave within 1.5 times the shortest",
                self.waves[0].is_some_and(|time| time <= WAVE_AIM),
            ),
            (
                "urgent work starts within 9.9 s",
                self.urgent_late == 0
                    && self.delay[priority_index(RequestPriority::Urgent)].1 <= URGENT_AIM,
            ),
            ("no floor violation", self.floor_violations == 0),
        ]
    }
}
