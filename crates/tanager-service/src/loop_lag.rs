//! How far the loop of the node's single-threaded runtime lags.
//!
//! A task sleeps for a short period again and again. By as much as it wakes late, every other task that
//! was due waited as well: answers that had arrived were not read, and timers that had expired did
//! not run. While the loop lags, a missing answer says nothing about the other side.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time;

use crate::clock::NodeClock;
use crate::metrics::LatencyMetric;

/// Period of the samples at a node that owns cells: short enough that a lag of 100 ms is seen.
pub const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// Period of the samples at other nodes, whose lag decides nothing. Samples every 50 ms took 1.5 ms of
/// processor time a second.
pub const IDLE_SAMPLE_PERIOD: Duration = Duration::from_millis(500);
/// Time for which samples are kept, which is longer than any time limit of a call.
const KEPT_TIME: Duration = Duration::from_secs(5);

/// Time after a stall for which calls that were read are still taken for late ones: twice the period
/// of the samples, as calls are read in the order in which their sockets are polled.
const STALL_MEMORY: Duration = Duration::from_millis(100);

/// Recent lags. Times are on the clock of the node.
#[derive(Clone, Debug, Default)]
pub struct LagHistory {
    /// End of each sample and its lag, oldest first.
    samples: VecDeque<(Duration, Duration)>,
    /// When the sample in progress is due.
    due: Option<Duration>,
}

impl LagHistory {
    /// Begins a sample that is due at `due`.
    pub fn begin(&mut self, due: Duration) {
        self.due = Some(due);
    }

    /// Ends the sample in progress and returns its lag.
    pub fn end(&mut self, now: Duration) -> Duration {
        let lag = (self.due.take()).map_or(Duration::ZERO, |due| now.saturating_sub(due));
        let oldest = now.saturating_sub(KEPT_TIME);
        while self.samples.front().is_some_and(|(end, _)| *end < oldest) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, lag));
        lag
    }

    /// Returns for how long what is read now may have waited: the largest lag of the samples that
    /// ended just now, and of the one in progress.
    pub fn recent(&self, now: Duration) -> Duration {
        let in_progress = (self.due).map_or(Duration::ZERO, |due| now.saturating_sub(due));
        (self.samples.iter().rev())
            .take_while(|(end, _)| now.saturating_sub(*end) <= STALL_MEMORY)
            .fold(in_progress, |largest, (_, lag)| largest.max(*lag))
    }

    /// Returns the largest lag of the samples that ended after `started`, and of the one in
    /// progress. A lag that began before `started` counts only from then on.
    pub fn largest_since(&self, started: Duration, now: Duration) -> Duration {
        let within = |end: Duration, lag: Duration| lag.min(end.saturating_sub(started));
        let in_progress = self
            .due
            .map_or(Duration::ZERO, |due| within(now, now.saturating_sub(due)));
        let ended = (self.samples.iter().rev())
            .take_while(|(end, _)| *end > started)
            .map(|(end, lag)| within(*end, *lag));
        ended.fold(in_progress, Duration::max)
    }
}

/// Lag of the loop of a node.
#[derive(Debug, Default)]
pub struct LoopLag {
    history: Mutex<LagHistory>,
}

impl LoopLag {
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut LagHistory) -> R) -> R {
        change(&mut self.history.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Samples the lag of the loop without end; `is_owner` says whether the node owns cells.
pub(crate) async fn sample(
    lag: &LoopLag,
    clock: NodeClock,
    observed: &LatencyMetric,
    is_owner: impl Fn() -> bool,
) -> Infallible {
    loop {
        let period = match is_owner() {
            true => SAMPLE_PERIOD,
            false => IDLE_SAMPLE_PERIOD,
        };
        let due = clock.now() + period;
        lag.update(|history| history.begin(due));
        time::sleep(period).await;
        let now = clock.now();
        observed.observe(lag.update(|history| history.end(now)));
    }
}
