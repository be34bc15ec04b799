//! Which steps get resources first.
//!
//! Load answered: a queue that asks for half as much again as its pool holds for some seconds.
//! Whoever is served in order of arrival is then late, and late jobs are worth little to their
//! clients. So jobs that can still meet their objective go first, those that give the most for the
//! processor time that they still need before others; jobs that cannot meet it any more follow,
//! and find the room that the pool has after the surge.

use std::cmp::Ordering;
use std::time::Duration;

use tanager_jobs::JobState;
use tanager_jobs::StepSpec;

use crate::core::CellCore;
use crate::core::StepKey;
use crate::job::JobEntry;
use crate::job::OccurrenceEntry;
use crate::job::TaskPhase;
use crate::settings::QueuePolicy;

/// The order is computed again after this time, because slack passes.
const RANK_PERIOD: Duration = Duration::from_millis(100);
/// Longest task of a step relative to the expected one: a step ends with its longest task.
pub(crate) const LONGEST_TASK_FACTOR: f64 = 1.25;
/// Up to this multiple of the objective a job is still worth something to its client.
pub(crate) const MAX_LATENESS_FACTOR: f64 = 3.0;
/// Share of a job's worth that does not depend on its size (the platform's pages).
const FIXED_VALUE: f64 = 0.3;

/// Group of a step; lower goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RankClass {
    /// Tasks that last: they serve others all the time.
    LongRunning,
    /// The job can meet its objective.
    OnTime,
    /// The job cannot meet its objective, and is worth a little.
    Late,
    /// The job was accepted and must end, but no one waits for it.
    Overdue,
}

/// Rank of a step.
#[derive(Clone, Copy, Debug)]
pub struct StepRank {
    class: RankClass,
    priority: u32,
    value_density: f64,
    due: Duration,
}

/// Steps in order, and the work that waits.
#[derive(Debug, Default)]
pub struct StepRanking {
    /// Steps in order.
    pub steps: Vec<StepKey>,
    /// Processor time that open jobs still need, in core-seconds.
    pub backlog: f64,
    /// When the order was computed.
    pub computed: Duration,
    /// Whether steps were added since.
    pub stale: bool,
}

/// What the remaining tasks of an occurrence need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingWork {
    /// Time of the longest chain of steps that are not done.
    pub critical_path: Duration,
    /// Time of the longest chain of all steps.
    pub total_critical_path: Duration,
    /// Processor time of tasks that are not placed, in core-seconds.
    pub unplaced: f64,
    /// Processor time of all tasks, in core-seconds.
    pub total: f64,
}

impl StepRank {
    fn compare(&self, other: &Self) -> Ordering {
        self.class
            .cmp(&other.class)
            .then(self.priority.cmp(&other.priority))
            .then_with(|| match self.class {
                RankClass::OnTime => other.value_density.total_cmp(&self.value_density),
                _ => Ordering::Equal,
            })
            .then(self.due.cmp(&other.due))
    }
}

/// Returns the objective of a job with this chain.
pub fn objective(policy: &QueuePolicy, critical_path: Duration) -> Duration {
    critical_path.mul_f64(policy.stretch.max(0.0)) + policy.target_latency
}

impl CellCore {
    /// Brings the order up to date.
    pub(crate) fn refresh_ranking(&mut self, now: Duration) {
        let age = now.saturating_sub(self.ranking.computed);
        if !self.ranking.stale && age < RANK_PERIOD {
            return;
        }
        let mut ranked: Vec<(StepRank, StepKey)> = Vec::with_capacity(self.ready.len());
        let mut backlog = 0.0;
        let mut last = None;
        for &key in &self.ready {
            let Some((rank, unplaced)) = self.rank(key, now) else {
                continue;
            };
            if last != Some((key.0, key.1)) {
                backlog += unplaced;
                last = Some((key.0, key.1));
            }
            ranked.push((rank, key));
        }
        ranked.sort_by(|(left, left_key), (right, right_key)| {
            left.compare(right).then(left_key.cmp(right_key))
        });
        self.ranking.steps.clear();
        self.ranking
            .steps
            .extend(ranked.into_iter().map(|(_, key)| key));
        self.ranking.backlog = backlog;
        self.ranking.computed = now;
        self.ranking.stale = false;
    }

    /// Returns the rank of a step and the processor time that its occurrence still needs.
    fn rank(&self, key: StepKey, now: Duration) -> Option<(StepRank, f64)> {
        let (id, number, step) = key;
        let job = self.jobs.get(&id)?;
        if job.state != JobState::Open {
            return None;
        }
        let occurrence = job.occurrences.get(&number)?;
        let policy = self.queues.get(&job.record.queue);
        let default = QueuePolicy::default();
        let policy = policy.unwrap_or(&default);
        let spec = job.record.spec.steps.get(usize::from(step))?;
        if spec.long_running {
            let rank = StepRank {
                class: RankClass::LongRunning,
                priority: policy.priority,
                value_density: 0.0,
                due: occurrence.due,
            };
            return Some((rank, 0.0));
        }
        let work = self.remaining_work(job, occurrence);
        let objective = objective(policy, work.total_critical_path);
        let end = now + work.critical_path;
        let class = if end <= occurrence.due + objective {
            RankClass::OnTime
        } else if end <= occurrence.due + objective.mul_f64(MAX_LATENESS_FACTOR) {
            RankClass::Late
        } else {
            RankClass::Overdue
        };
        let mean = self.mean_work(&job.record.queue).max(0.001);
        let value = FIXED_VALUE + (1.0 - FIXED_VALUE) * work.total / mean;
        let rank = StepRank {
            class,
            priority: policy.priority,
            value_density: value / work.unplaced.max(0.01),
            due: occurrence.due,
        };
        Some((rank, work.unplaced))
    }

    /// Returns what the tasks of an occurrence that are not done still need.
    pub(crate) fn remaining_work(
        &self,
        job: &JobEntry,
        occurrence: &OccurrenceEntry,
    ) -> RemainingWork {
        let queue = &job.record.queue;
        let specs = &job.record.spec.steps;
        let mut ends: Vec<(f64, f64)> = Vec::with_capacity(specs.len());
        let mut work = RemainingWork {
            critical_path: Duration::ZERO,
            total_critical_path: Duration::ZERO,
            unplaced: 0.0,
            total: 0.0,
        };
        for (spec, step) in specs.iter().zip(&occurrence.steps) {
            let expected = self
                .durations
                .expected(queue, spec.estimate())
                .as_secs_f64();
            let cores = spec.request.cpu as f64 / 1e3;
            let step_time = expected * longest_factor(spec);
            let unplaced = (step.tasks.iter())
                .filter(|task| matches!(task.phase, TaskPhase::Idle | TaskPhase::Unaccounted))
                .count();
            work.unplaced += unplaced as f64 * expected * cores;
            work.total += f64::from(spec.count) * expected * cores;
            let before = (spec.after.iter())
                .filter_map(|&after| ends.get(usize::from(after)))
                .fold((0.0f64, 0.0f64), |sum, end| {
                    (sum.0.max(end.0), sum.1.max(end.1))
                });
            let left = if step.unfinished > 0 { step_time } else { 0.0 };
            ends.push((before.0 + left, before.1 + step_time));
        }
        for (left, whole) in ends {
            work.critical_path = work.critical_path.max(Duration::from_secs_f64(left));
            work.total_critical_path = work.total_critical_path.max(Duration::from_secs_f64(whole));
        }
        work
    }

    /// Returns the mean processor time of the queue's jobs, in core-seconds.
    pub(crate) fn mean_work(&self, queue: &str) -> f64 {
        self.mean_work_by_queue.get(queue).copied().unwrap_or(1.0)
    }
}

/// Returns how much longer than the expected task the longest one of a step is.
fn longest_factor(spec: &StepSpec) -> f64 {
    match spec.count {
        0 | 1 => 1.0,
        _ => LONGEST_TASK_FACTOR,
    }
}
