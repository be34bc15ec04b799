//! Task durations learned from finished runs. Clients' estimates are off by half to nine tenths of
//! their value, in the same direction for all tasks of a queue, so a factor is learned per queue.

use std::collections::HashMap;
use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Duration assumed when the client gives no estimate.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(700);
/// Weight of the learned mean in an expected duration; the rest is the client's estimate times the
/// learned ratio.
const MEAN_SHARE: f64 = 0.5;

/// Learned durations of the tasks of one queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueDuration {
    /// Mean duration in seconds.
    pub mean: f64,
    /// Mean ratio of duration to estimate.
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

    /// Returns the learned durations by queue.
    pub fn learned(&self) -> &HashMap<String, QueueDuration> {
        &self.queues
    }

    /// Restores durations learned by a former owner; ignores invalid values.
    pub fn restore(&mut self, queue: &str, duration: QueueDuration) {
        let is_valid = duration.mean > 0.0 && duration.ratio > 0.0;
        if is_valid && duration.mean.is_finite() && duration.ratio.is_finite() {
            self.queues.insert(queue.to_owned(), duration);
        }
    }

    /// Adds a measured duration to the averages.
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
