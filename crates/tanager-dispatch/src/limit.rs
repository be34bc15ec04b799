//! Concurrency limit of a worker, adapted to observed latency.

/// Ratio of a worker's latency to the flow's mean over the pool above which its limit is reduced.
const SLOW_RATIO: f64 = 2.0;
/// Ratio below which the limit grows again.
const NORMAL_RATIO: f64 = 1.4;
/// Weight of a new sample. The average over about twenty samples tolerates single run times that
/// are ten times as long as usual.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Factor that each reduction applies to the limit.
const REDUCTION_FACTOR: f64 = 0.8;

/// Slot limit between 1 and the declared slots.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveLimit {
    declared: u32,
    limit: f64,
    /// Moving average of the latency as a multiple of the flow's mean.
    latency_ratio: f64,
    samples: u32,
}

impl AdaptiveLimit {
    pub(crate) fn new(declared: u32) -> Self {
        Self {
            declared: declared.max(1),
            limit: f64::from(declared.max(1)),
            latency_ratio: 1.0,
            samples: 0,
        }
    }

    pub(crate) fn declared(&self) -> u32 {
        self.declared
    }

    pub(crate) fn set_declared(&mut self, declared: u32) {
        if declared.max(1) != self.declared {
            *self = Self::new(declared);
        }
    }

    /// Slots that may be in use at once.
    pub(crate) fn current(&self) -> u32 {
        // The limit lies between 1 and the declared slots, so the conversion drops only the
        // fraction.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = self.limit as u32;
        limit.clamp(1, self.declared)
    }

    /// Records a latency as a multiple of the flow's mean. Changes the limit once per as many
    /// samples as may run at once, because earlier samples show the effect of the previous limit.
    pub(crate) fn record(&mut self, ratio: f64) {
        self.latency_ratio += SAMPLE_WEIGHT * (ratio.clamp(0.01, 20.0) - self.latency_ratio);
        self.samples += 1;
        if self.samples < self.current() {
            return;
        }
        self.samples = 0;
        if self.latency_ratio > SLOW_RATIO {
            self.limit = (self.limit * REDUCTION_FACTOR).max(1.0);
        } else if self.latency_ratio < NORMAL_RATIO {
            self.limit = (self.limit + 1.0).min(f64::from(self.declared));
        }
    }

    /// Resets the limit to one slot, for a worker that returns from ejection.
    pub(crate) fn restart(&mut self) {
        self.limit = 1.0;
        self.latency_ratio = 1.0;
        self.samples = 0;
    }
}
