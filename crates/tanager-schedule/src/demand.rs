//! Forecast of the demand of pools for the coming seconds.
//!
//! Load: queues surge in turn for some seconds to one and a half times the capacity of their pool. A
//! VM of the spare pool needs 1.5 s to move, so VMs that are ordered when the measured demand
//! exceeds the capacity arrive when half of the surge is over. The forecast recognizes the beginning
//! of a surge from a short window, expects it to become as high as the last one, and, where surges
//! return at regular intervals, expects the next one before it begins. It only adds demand: a pool
//! never looks less loaded than it is measured.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_jobs::ids::PoolName;

use crate::capacity::PoolLoad;

/// A surge begins when the demand exceeds this share of the pool's cores.
const SURGE_BEGIN_SHARE: f64 = 0.6;
/// A surge ends when the demand is below this share of the pool's cores.
const SURGE_END_SHARE: f64 = 0.3;
/// Time before an expected surge at which its demand counts: a move takes 1.5 s, and its worker is
/// used about half a second after that.
const LEAD_TIME: Duration = Duration::from_millis(2_200);
/// Time after which an expected surge that did not begin is given up.
const TOLERANCE: Duration = Duration::from_millis(1_000);
/// Maximum deviation of intervals that count as regular, as a share of the interval.
const MAX_DEVIATION: f64 = 0.15;
/// Shortest interval that counts as a rhythm; shorter ones are fluctuations of one surge.
const MIN_PERIOD: Duration = Duration::from_secs(4);
/// Number of past surges that are kept.
const MAX_PAST_SURGES: usize = 4;

/// A surge that has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PastSurge {
    began: Duration,
    duration: Duration,
    /// Highest measured demand in cores.
    peak: f64,
}

/// Demand of one pool over time.
#[derive(Clone, Debug, Default)]
struct PoolDemand {
    /// Beginning and highest demand of the surge in progress.
    surge: Option<(Duration, f64)>,
    past: VecDeque<PastSurge>,
    /// Beginning of the last surge that was expected and did not come.
    missed: Option<Duration>,
}

/// Forecast of the demand of all pools.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    pools: BTreeMap<PoolName, PoolDemand>,
}

impl PoolDemand {
    fn record(&mut self, load: &PoolLoad, now: Duration) {
        let demand = load.arrival.max(load.rising);
        let share = (load.lasting + demand) / load.cores.max(1.0);
        match self.surge {
            None if share >= SURGE_BEGIN_SHARE => self.surge = Some((now, demand)),
            None => {}
            Some((began, peak)) if share < SURGE_END_SHARE => {
                self.past.push_back(PastSurge {
                    began,
                    duration: now.saturating_sub(began),
                    peak,
                });
                if self.past.len() > MAX_PAST_SURGES {
                    self.past.pop_front();
                }
                self.surge = None;
            }
            Some((began, peak)) => self.surge = Some((began, peak.max(demand))),
        }
        if let Some(next) = self.next_surge()
            && self.surge.is_none()
            && now > next + TOLERANCE
        {
            self.missed = Some(next);
        }
    }

    /// Returns the interval between surges if it is regular.
    fn period(&self) -> Option<Duration> {
        let intervals: Vec<f64> = (self.past.iter().zip(self.past.iter().skip(1)))
            .map(|(before, after)| after.began.saturating_sub(before.began).as_secs_f64())
            .collect();
        let last = *intervals.last()?;
        let is_regular =
            (intervals.iter()).all(|interval| (interval - last).abs() <= last * MAX_DEVIATION);
        let period = Duration::from_secs_f64(last);
        (is_regular && period >= MIN_PERIOD).then_some(period)
    }

    /// Returns the time at which the next surge is expected, unless the last expected one did not
    /// come.
    fn next_surge(&self) -> Option<Duration> {
        let last = self.past.back()?;
        let next = last.began + self.period()?;
        (self.missed != Some(next)).then_some(next)
    }

    /// Returns the demand in cores that is expected within [`LEAD_TIME`].
    fn expected(&self, now: Duration) -> f64 {
        let Some(last) = self.past.back() else {
            return 0.0;
        };
        let is_expected = match self.surge {
            Some((began, _)) => now + LEAD_TIME < began + last.duration,
            None => (self.next_surge())
                .is_some_and(|next| now + LEAD_TIME >= next && now <= next + TOLERANCE),
        };
        match is_expected {
            true => last.peak,
            false => 0.0,
        }
    }
}

impl DemandForecast {
    /// Records the measured loads and returns them with the demand that is expected.
    pub fn apply(
        &mut self,
        loads: &BTreeMap<PoolName, PoolLoad>,
        now: Duration,
    ) -> BTreeMap<PoolName, PoolLoad> {
        (loads.iter())
            .map(|(pool, load)| {
                let demand = self.pools.entry(pool.clone()).or_default();
                demand.record(load, now);
                let arrival = load.arrival.max(load.rising).max(demand.expected(now));
                (pool.clone(), PoolLoad { arrival, ..*load })
            })
            .collect()
    }
}
