//! Figures of a policy, and the targets for them.

use std::time::Duration;

use tanager_protocol::request::RequestPriority;

use crate::control::REBOOT_TIME;
use crate::dispatcher::Policy;
use crate::dispatcher::priority_index;
use crate::run::RunResult;
use crate::run::run;
use crate::site::Job;
use crate::site::SLOTS;
use crate::site::Site;
use crate::site::Timeline;
use crate::site::draw_jobs;

/// Targets of the project; they are not adjusted to results.
pub(crate) const KEPT_SHARE_TARGET: f64 = 0.95;
pub(crate) const WAVE_TIME_TARGET: f64 = 1.5;
pub(crate) const URGENT_DELAY_TARGET: Duration = Duration::from_millis(9_900);
/// Idle reserve that prints as 0.0%.
pub(crate) const IDLE_SHARE_TARGET: f64 = 0.000_5;

/// Figures of one policy on one site.
pub(crate) struct PolicyFigures {
    pub(crate) policy: Policy,
    /// Lowest share of its service without a flood that any kind of other work kept in the batch
    /// flood and in the urgent flood, with that kind.
    pub(crate) kept: [(f64, String); 2],
    /// The same for floods that coincide with the surge of the flooded pool.
    pub(crate) kept_in_own_surge: [(f64, String); 2],
    /// Start delay by priority: 99th percentile without flood requests, and maximum with them.
    pub(crate) start_delays: [(Duration, Duration); 3],
    /// Number of urgent requests outside the floods that did not start within 9.9 s, although they
    /// fit on a worker and their callers did not cancel them.
    pub(crate) late_urgent_count: usize,
    /// Useful slot-seconds per slot-second: requests, and leased tasks.
    pub(crate) useful_share: (f64, f64),
    pub(crate) idle_share: f64,
    pub(crate) limited_share: f64,
    /// Number of moves with short surges only, and with a lasting load.
    pub(crate) moves: (u32, u32),
    /// Duration of the wave without and with a lost rack, as a multiple of the shortest.
    pub(crate) wave_ratios: [Option<f64>; 2],
    pub(crate) floor_violations: u32,
    pub(crate) failed_requests: u32,
}

/// Runs one policy on one site and returns its figures.
pub(crate) fn measure_policy(
    site: &Site,
    timeline: &Timeline,
    coinciding_floods: &Timeline,
    lasting_load: &Timeline,
    policy: Policy,
    seed: u64,
) -> PolicyFigures {
    let execute = |timeline: &Timeline, floods: bool| {
        let jobs = draw_jobs(site, timeline, seed, floods);
        let result = run(site, timeline, policy, &jobs, seed);
        (jobs, result)
    };
    let without_flood = execute(timeline, false);
    let (jobs, result) = execute(timeline, true);
    let with_own_surge = execute(coinciding_floods, true);
    let lasting_result = execute(lasting_load, false).1;
    let shortest = |index: usize| {
        let (_, workers, floor) = site.pools[index + 2];
        REBOOT_TIME.as_secs_f64() * f64::from(workers.div_ceil(workers - floor))
    };
    let kept = |other: &(Vec<Job>, RunResult), timeline: &Timeline| {
        [0, 1].map(|flood| lowest_kept_share(site, timeline, flood, &without_flood, other))
    };
    let start_delays = RequestPriority::ALL.map(|priority| start_delay(&jobs, &result, priority));
    let late_urgent_count = count_late_urgent(&jobs, &result, timeline);
    let wave_ratios =
        [0, 1].map(|index| result.wave_seconds[index].map(|time| time / shortest(index)));
    let flooded = (jobs, result);
    let kept_flood = kept(&flooded, timeline);
    let kept_in_own_surge = kept(&with_own_surge, coinciding_floods);
    let result = flooded.1;
    PolicyFigures {
        policy,
        kept: kept_flood,
        kept_in_own_surge,
        start_delays,
        late_urgent_count,
        useful_share: (
            result.useful_slot_seconds / result.total_slot_seconds,
            result.leased_slot_seconds / result.total_slot_seconds,
        ),
        idle_share: result.idle_slot_seconds / result.total_slot_seconds,
        limited_share: result.limited_slot_seconds / result.total_slot_seconds,
        moves: (result.moves, lasting_result.moves),
        wave_ratios,
        floor_violations: result.floor_violations
            + with_own_surge.1.floor_violations
            + lasting_result.floor_violations,
        failed_requests: result.failed_requests,
    }
}

/// Lowest share of its service without a flood that any kind of work kept during the flood.
/// Requests that were cancelled in either run are excluded from both.
fn lowest_kept_share(
    site: &Site,
    timeline: &Timeline,
    flood: usize,
    without_flood: &(Vec<Job>, RunResult),
    flooded: &(Vec<Job>, RunResult),
) -> (f64, String) {
    let (jobs, result) = flooded;
    let others = jobs
        .iter()
        .zip(&result.jobs)
        .filter(|(job, _)| !job.is_flood);
    // Both runs contain the same other work in the same order.
    let pairs: Vec<(&Job, bool, bool)> = others
        .zip(&without_flood.1.jobs)
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
            // Fewer requests give no meaningful share.
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

fn count_late_urgent(jobs: &[Job], result: &RunResult, timeline: &Timeline) -> usize {
    // Requests of the last 10 s may still be waiting when the run ends.
    let end = Duration::from_secs_f64(timeline.end - 10.0);
    let late = jobs.iter().zip(&result.jobs).filter(|(job, outcome)| {
        job.priority == RequestPriority::Urgent
            && !job.is_flood
            && job.slots <= SLOTS
            && job.arrival < end
            && !outcome.cancelled
            && outcome
                .started
                .is_none_or(|start| start - job.arrival > URGENT_DELAY_TARGET)
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
            .filter(|(job, _)| job.priority == priority && (floods || !job.is_flood))
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
    /// Returns each target and whether it is met.
    pub(crate) fn check_targets(&self) -> [(&'static str, bool); 7] {
        let kept = |shares: &[(f64, String); 2]| {
            shares.iter().all(|(share, _)| *share >= KEPT_SHARE_TARGET)
        };
        [
            ("other work keeps 95% in a flood", kept(&self.kept)),
            (
                "other work keeps 95% in a flood during its own surge",
                kept(&self.kept_in_own_surge),
            ),
            ("no idle reserve", self.idle_share <= IDLE_SHARE_TARGET),
            ("no move for a short surge", self.moves.0 == 0),
            (
                "wave within 1.5 times the shortest",
                self.wave_ratios[0].is_some_and(|time| time <= WAVE_TIME_TARGET),
            ),
            (
                "urgent work starts within 9.9 s",
                self.late_urgent_count == 0
                    && self.start_delays[priority_index(RequestPriority::Urgent)].1
                        <= URGENT_DELAY_TARGET,
            ),
            ("no floor violation", self.floor_violations == 0),
        ]
    }
}
