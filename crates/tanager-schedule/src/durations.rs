//! Durations learned from ends. Clients' estimates are off by half to nine tenths of their value,
//! and in the same direction for the tasks of a queue, so the cell learns a factor per queue.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Duration assumed where a client gives no estimate.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(700);
/// Share of the learned mean in an expectation; the rest is the client's estimate times the
/// learned factor.
const MEAN_SHARE: f64 = 0.5;

/// Learned durations of the tasks of one queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueDuration {
    /// Mean duration in seconds.
    pub mean: f64,
    /// Mean ratio of the duration to the estimate.
    pub ratio: f64,
}

/// Learned durations by queue.
#[derive(Debug, Default)]
pub struct DurationTable {
    queues: HashMap<String, QueueDuration>,
}

impl DurationTable {
    /// Returns the expected duration of a task.
    pub fn expected(&self, queue: &str, estimate: Duration) -> Duration {
        let estimate = match estimate.is_zero() {
            true => DEFAULT_ESTIMATE,
            false => estimate,
        };
        let Some(learned) = self.queues.get(queue) else {
            return estimate;
        };
        let scaled = estimate.as_secs_f64() * learned.ratio;
        let seconds = learned.mean * MEAN_SHARE + scaled * (1.0 - MEAN_SHARE);
        Duration::from_secs_f64(seconds.max(0.001))
    }

    /// Returns what was learned.
    pub fn learned(&self) -> &HashMap<String, QueueDuration> {
        &self.queues
    }

    /// Takes what an earlier owner learned.
    pub fn restore(&mut self, queue: &str, duration: QueueDuration) {
        let is_valid = duration.mean > 0.0 && duration.ratio > 0.0;
        if is_valid && duration.mean.is_finite() && duration.ratio.is_finite() {
            self.queues.insert(queue.to_owned(), duration);
        }
    }

    /// Notes a measured duration.
    pub fn record(&mut self, queue: &str, estimate: Duration, measured: Duration) {
        let estimate = match estimate.is_zero() {
            true => DEFAULT_ESTIMATE,
            false => estimate,
        };
        let mean = measured.as_secs_f64();
        let ratio = mean / estimate.as_secs_f64().max(0.001);
        match self.queues.get_mut(queue) {
            None => {
                let learned = QueueDuration { mean, ratio };
                self.queues.insert(queue.to_owned(), learned);
            }
            Some(learned) => {
                learned.mean += (mean - learned.mean) * SAMPLE_WEIGHT;
                learned.ratio += (ratio - learned.ratio) * SAMPLE_WEIGHT;
            }
        }
    }
}
