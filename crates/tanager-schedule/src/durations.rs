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

/// Maximum number of queues: more than the routes of the largest site (1,600), twice over.
pub const MAX_QUEUES: usize = 4_096;

/// Learned durations of the tasks of one queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueDuration {
    /// Mean duration in seconds.
    pub mean: f64,
    /// Mean ratio of duration to estimate.
    pub ratio: f64,
}

/// Learned durations by queue, of the queues that were used last.
#[derive(Debug, Default)]
pub struct DurationTable {
    queues: HashMap<String, LearnedQueue>,
    /// Number of uses so far.
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct LearnedQueue {
    duration: QueueDuration,
    /// Number of the last use.
    last_use: u64,
}

impl DurationTable {
    /// Returns the expected duration of a task.
    pub fn expected(&self, queue: &str, estimate: Duration) -> Duration {
        let estimate = match estimate.is_zero() {
            true => DEFAULT_ESTIMATE,
            false => estimate,
        };
        let Some(learned) = self.queues.get(queue).map(|learned| learned.duration) else {
            return estimate;
        };
        let scaled = estimate.as_secs_f64() * learned.ratio;
        let seconds = learned.mean * MEAN_SHARE + scaled * (1.0 - MEAN_SHARE);
        Duration::from_secs_f64(seconds.max(0.001))
    }

    /// Returns the learned durations by queue, beginning with the queue that was used last.
    pub fn learned(&self) -> Vec<(&String, QueueDuration)> {
        let mut queues: Vec<_> = self.queues.iter().collect();
        queues.sort_unstable_by_key(|(_, learned)| std::cmp::Reverse(learned.last_use));
        (queues.into_iter())
            .map(|(queue, learned)| (queue, learned.duration))
            .collect()
    }

    /// Returns whether anything is known of a queue.
    pub fn contains(&self, queue: &str) -> bool {
        self.queues.contains_key(queue)
    }

    /// Restores durations learned by a former owner; ignores invalid values.
    pub fn restore(&mut self, queue: &str, duration: QueueDuration) {
        let is_valid = duration.mean > 0.0 && duration.ratio > 0.0;
        if is_valid && duration.mean.is_finite() && duration.ratio.is_finite() {
            self.insert(queue, duration);
        }
    }

    fn insert(&mut self, queue: &str, duration: QueueDuration) {
        if self.queues.len() >= MAX_QUEUES {
            self.forget_oldest();
        }
        let last_use = self.uses;
        let learned = LearnedQueue { duration, last_use };
        self.queues.insert(queue.to_owned(), learned);
    }

    /// Forgets the eighth of the queues that were not used for longest.
    fn forget_oldest(&mut self) {
        let mut uses: Vec<u64> = (self.queues.values())
            .map(|learned| learned.last_use)
            .collect();
        let (_, &mut limit, _) = uses.select_nth_unstable(MAX_QUEUES / 8);
        let mut excess = MAX_QUEUES / 8;
        self.queues.retain(|_, learned| {
            let is_kept = learned.last_use > limit || excess == 0;
            excess -= usize::from(!is_kept);
            is_kept
        });
    }

    /// Adds a measured duration to the averages.
    pub fn record(&mut self, queue: &str, estimate: Duration, measured: Duration) {
        let estimate = match estimate.is_zero() {
            true => DEFAULT_ESTIMATE,
            false => estimate,
        };
        let mean = measured.as_secs_f64();
        let ratio = mean / estimate.as_secs_f64().max(0.001);
        self.uses += 1;
        match self.queues.get_mut(queue) {
            None => self.insert(queue, QueueDuration { mean, ratio }),
            Some(learned) => {
                learned.last_use = self.uses;
                let duration = &mut learned.duration;
                duration.mean += (mean - duration.mean) * SAMPLE_WEIGHT;
                duration.ratio += (ratio - duration.ratio) * SAMPLE_WEIGHT;
            }
        }
    }
}
