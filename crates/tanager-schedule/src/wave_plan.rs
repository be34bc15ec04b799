//! Rate of a maintenance wave, planned backwards from its end.

use std::time::Duration;

/// Time until a drained VM is empty, until it has been measured.
const INITIAL_DRAIN: Duration = Duration::from_millis(1_500);
/// Time from the order until the VM is back in service, until it has been measured.
const INITIAL_OUTAGE: Duration = Duration::from_millis(3_000);
/// Weight of a new measurement.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Bounds of the measured times relative to the initial values, so that a few unusual VMs cannot
/// make the plan far too early or too late.
const MIN_TIME_RATIO: f64 = 0.25;
/// See [`MIN_TIME_RATIO`].
const MAX_TIME_RATIO: f64 = 3.0;
/// Time that is kept free at the end of a wave for one takeover of the coordinator: detection 2.6 s
/// and the wait before the first order.
const TAKEOVER_RESERVE: Duration = Duration::from_secs(4);
/// Maximum share of a wave's duration that is kept free.
const MAX_RESERVE_SHARE: f64 = 1.0 / 6.0;

/// Measured duration of the parts of a VM's maintenance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MaintenanceTimes {
    /// Mean time from the start of a drain until the VM is empty, in seconds.
    drain: f64,
    /// Mean time from the order until the VM is back in service, in seconds.
    outage: f64,
    /// Outage that is assumed before the first measurement, in seconds.
    initial_outage: f64,
}

impl MaintenanceTimes {
    /// Creates the assumed times for a maintenance of the given duration.
    pub fn new(maintenance: Duration) -> Self {
        let outage = INITIAL_OUTAGE.max(maintenance).as_secs_f64();
        Self {
            drain: INITIAL_DRAIN.as_secs_f64(),
            outage,
            initial_outage: outage,
        }
    }

    /// Adds a measured time from the start of a drain until the VM was empty.
    pub fn record_drain(&mut self, measured: Duration) {
        self.drain = smoothed(self.drain, measured, INITIAL_DRAIN.as_secs_f64());
    }

    /// Adds a measured time from the order until the VM was back in service.
    pub fn record_outage(&mut self, measured: Duration) {
        self.outage = smoothed(self.outage, measured, self.initial_outage);
    }

    /// Returns the mean time from the start of a drain until the VM is empty.
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain)
    }

    /// Returns the mean time from the order until the VM is back in service.
    pub fn outage(&self) -> Duration {
        Duration::from_secs_f64(self.outage)
    }

    /// Returns the mean time of a drain and an outage.
    pub fn cycle(&self) -> Duration {
        self.drain() + self.outage()
    }
}

fn smoothed(mean: f64, measured: Duration, initial: f64) -> f64 {
    let bounded = measured
        .as_secs_f64()
        .clamp(initial * MIN_TIME_RATIO, initial * MAX_TIME_RATIO);
    mean + (bounded - mean) * SAMPLE_WEIGHT
}

/// State of a wave from which its plan is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaveState {
    /// VMs whose maintenance has not ended.
    pub left: usize,
    /// Maximum number of VMs that are down at the same time.
    pub max_down: usize,
    /// Time until the end of the wave.
    pub time_left: Duration,
    /// Whole duration of the wave.
    pub duration: Duration,
}

/// Rate at which a wave must proceed now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WavePlan {
    /// Time kept free at the end for failures.
    pub reserve: Duration,
    /// Number of maintenance cycles until the end, without the reserve.
    pub rounds: f64,
    /// Time for which VMs in loaded pools can still wait; zero if the remaining time is needed.
    pub slack: Duration,
    /// Maximum number of VMs that are drained or down. It exceeds the number that may be down by
    /// those that are drained while they wait for a place.
    pub max_in_progress: usize,
}

impl WavePlan {
    /// Plans backwards from the end: the remaining VMs, in rounds of as many as may be down, must
    /// be done when the reserve begins. One more drain is allowed for, because the slowest drain of a
    /// round takes longer than the mean.
    pub fn new(state: WaveState, times: &MaintenanceTimes) -> Self {
        let reserve = TAKEOVER_RESERVE.min(state.duration.mul_f64(MAX_RESERVE_SHARE));
        let usable = state.time_left.saturating_sub(reserve);
        let cycle = times.cycle();
        let needed_rounds = state.left.div_ceil(state.max_down.max(1)) as u32;
        let drained_ahead = state.max_down as f64 * times.drain / times.outage;
        let drained_ahead = (drained_ahead.ceil() as usize).min(state.max_down);
        Self {
            reserve,
            rounds: usable.as_secs_f64() / cycle.as_secs_f64(),
            slack: usable.saturating_sub(cycle * needed_rounds + times.drain()),
            max_in_progress: state.max_down + drained_ahead,
        }
    }

    /// Returns whether the wave must proceed as fast as it may, also in loaded pools.
    pub fn needs_all_pools(&self) -> bool {
        self.slack.is_zero()
    }
}
