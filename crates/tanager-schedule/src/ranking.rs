//! Order in which steps get resources.
//!
//! In a surge, for some seconds, a queue requests half as much again as the capacity of its pool.
//! If steps got resources in the order of arrival, most jobs would be late, and late jobs are of
//! little value to their clients. So jobs that can still meet their target go first, ordered by
//! value per remaining processor time. Jobs that can no longer meet it use the capacity left after
//! the surge.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::collections::HashSet;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobState;
use tanager_jobs::StepSpec;
use tanager_jobs::ids::WorkspaceName;

use crate::allowance::amounts;
use crate::core::CellCore;
use crate::core::StepKey;
use crate::job::JobEntry;
use crate::job::OccurrenceEntry;
use crate::job::TaskPhase;
use crate::placement_round::StepNeed;
use crate::placement_round::WorkspaceIndex;
use crate::settings::QueuePolicy;

/// Maximum age of the ranking; slack shrinks with time.
const RANK_PERIOD: Duration = Duration::from_millis(100);
/// Expected longest task of a step relative to its mean: a step ends with its longest task.
pub(crate) const LONGEST_TASK_FACTOR: f64 = 1.25;
/// A job that takes longer than this multiple of its target has no value to its client.
pub(crate) const MAX_LATENESS_FACTOR: f64 = 3.0;
/// Number of occurrences of a job from its first one that is not done which are ranked by their due times. When
/// more of them wait, they come one after the other in any case, and behind the jobs of others.
const MAX_TIMELY_OCCURRENCES: u32 = 32;
/// Unplaced processor time of an occurrence from which it may be no backlog for smaller jobs, in core-seconds.
const LARGE_WORK: f64 = 50.0;
/// Share of a job's value that does not depend on its size, as documented by the platform.
const FIXED_VALUE: f64 = 0.3;

/// Rank class of a step; lower classes go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RankClass {
    /// Long-running tasks, which others use all the time.
    LongRunning,
    /// The job can meet its target.
    OnTime,
    /// The job cannot meet its target but still has some value.
    Late,
    /// The job exceeds the rate of its workspace; used only where overload is planned.
    Excess,
    /// The job no longer has value to its client, but was accepted and must end.
    Overdue,
    /// An occurrence of a repeated job that was due so long ago that its end has no value, or that many others of
    /// its job come before. These take turns among the jobs, use only a part of the cell, and new jobs do not
    /// wait behind them.
    Missed,
}

/// Rank of a step.
#[derive(Clone, Copy, Debug)]
pub struct StepRank {
    class: RankClass,
    priority: u32,
    value_density: f64,
    due: Duration,
}

/// A step with its rank.
#[derive(Clone, Copy, Debug)]
pub struct RankedStep {
    rank: StepRank,
    /// Step.
    pub key: StepKey,
    /// What its tasks need.
    pub need: StepNeed,
}

/// Ranked steps and the backlog.
#[derive(Debug, Default)]
pub struct StepRanking {
    /// Steps in the order of their rank.
    pub steps: Vec<RankedStep>,
    /// Workspaces of the steps, by their index.
    pub workspaces: Vec<WorkspaceName>,
    /// Steps that became ready and are not ranked yet.
    pub added: Vec<StepKey>,
    /// Unplaced processor time of open jobs, in core-seconds.
    pub backlog: f64,
    /// The part of each workspace, without jobs that have none.
    pub(crate) backlog_by_workspace: BTreeMap<WorkspaceName, f64>,
    /// Parts of single large occurrences, with the workspaces of their jobs.
    pub(crate) large: Vec<(Option<WorkspaceName>, f64)>,
    /// Occurrences whose unplaced processor time is included in `backlog`.
    counted: HashSet<(JobId, u32)>,
    /// Time at which all steps were ranked.
    pub computed_at: Duration,
}

/// Work that an occurrence still needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemainingWork {
    /// Duration of the critical path over unfinished steps.
    pub critical_path: Duration,
    /// Duration of the critical path over all steps.
    pub total_critical_path: Duration,
    /// Processor time of unplaced tasks, in core-seconds.
    pub unplaced: f64,
    /// Processor time of all tasks, in core-seconds.
    pub total: f64,
}

impl RankedStep {
    /// Returns whether the step is of an occurrence that was missed.
    pub(crate) fn is_missed(&self) -> bool {
        self.rank.class == RankClass::Missed
    }
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

impl StepRanking {
    /// Adds the unplaced processor time of a step's occurrence to the backlog, once.
    fn count(&mut self, key: StepKey, workspace: Option<&WorkspaceName>, unplaced: f64) {
        if !self.counted.insert((key.0, key.1)) {
            return;
        }
        self.backlog += unplaced;
        if unplaced > LARGE_WORK {
            self.large.push((workspace.cloned(), unplaced));
        }
        let Some(workspace) = workspace else {
            return;
        };
        match self.backlog_by_workspace.get_mut(workspace) {
            Some(backlog) => *backlog += unplaced,
            None => {
                (self.backlog_by_workspace).insert(workspace.clone(), unplaced);
            }
        }
    }

    /// Returns the index of a workspace.
    fn workspace_index(&mut self, name: &str) -> WorkspaceIndex {
        let known = self.workspaces.iter().position(|other| other == name);
        known.unwrap_or_else(|| {
            self.workspaces.push(name.to_owned());
            self.workspaces.len() - 1
        })
    }

    fn insert(&mut self, entry: RankedStep) {
        let position =
            (self.steps).partition_point(|other| compare_entries(other, &entry) == Ordering::Less);
        // A step that was placed since the ranking was computed may be ready again.
        if self
            .steps
            .get(position)
            .is_none_or(|other| other.key != entry.key)
        {
            self.steps.insert(position, entry);
        }
    }
}

fn compare_entries(left: &RankedStep, right: &RankedStep) -> Ordering {
    (left.rank.compare(&right.rank)).then(left.key.cmp(&right.key))
}

/// Returns the target completion time of a job with this critical path.
pub fn objective(policy: &QueuePolicy, critical_path: Duration) -> Duration {
    critical_path.mul_f64(policy.stretch.max(0.0)) + policy.target_latency
}

impl CellCore {
    /// Ranks the steps that became ready, and all steps again if the ranking is outdated.
    ///
    /// Load: in a surge some hundred steps a second become ready while hundreds wait. To rank all of
    /// them for each one would cost a small node its processor.
    pub(crate) fn refresh_ranking(&mut self, now: Duration) {
        let is_outdated = now.saturating_sub(self.ranking.computed_at) >= RANK_PERIOD;
        let mut ranking = std::mem::take(&mut self.ranking);
        if is_outdated && self.settings.plans_overload {
            self.plan_overload(now);
        }
        if is_outdated {
            ranking.steps.clear();
            ranking.added.clear();
            ranking.counted.clear();
            ranking.backlog = 0.0;
            ranking.backlog_by_workspace.clear();
            ranking.large.clear();
            ranking.computed_at = now;
            self.work.add_steps(self.ready.len());
            for &key in &self.ready {
                let Some((rank, unplaced)) = self.rank(key, now) else {
                    continue;
                };
                let Some(need) = self.step_need(key, &mut ranking) else {
                    continue;
                };
                ranking.count(key, self.workspace_of(key.0), unplaced);
                ranking.steps.push(RankedStep { rank, key, need });
            }
            ranking.steps.sort_by(compare_entries);
        }
        for key in std::mem::take(&mut ranking.added) {
            if let Some((rank, unplaced)) = self.rank(key, now)
                && let Some(need) = self.step_need(key, &mut ranking)
            {
                ranking.count(key, self.workspace_of(key.0), unplaced);
                ranking.insert(RankedStep { rank, key, need });
            }
        }
        self.ranking = ranking;
    }

    /// Returns what the tasks of a step need.
    fn step_need(&self, key: StepKey, ranking: &mut StepRanking) -> Option<StepNeed> {
        let record = &self.jobs.get(&key.0)?.record;
        let spec = record.spec.steps.get(usize::from(key.2))?;
        let policy = self.queues.get(&record.queue);
        Some(StepNeed {
            workspace: (record.workspace.as_deref()).map(|name| ranking.workspace_index(name)),
            request: amounts(&spec.request),
            reserved: spec.reserved(),
            idle: self.step(key)?.idle,
            is_gang: spec.gang,
            needs_advice: policy.is_some_and(|policy| policy.advice.is_some()),
        })
    }

    fn workspace_of(&self, id: JobId) -> Option<&WorkspaceName> {
        self.jobs.get(&id)?.record.workspace.as_ref()
    }

    /// Returns the rank of a step and the unplaced processor time of its occurrence in
    /// core-seconds.
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
        if self.is_missed(job, number, now) {
            let rank = StepRank {
                class: RankClass::Missed,
                priority: policy.priority,
                value_density: 0.0,
                due: Duration::from_millis(u64::from(number - job.done.first_missing())),
            };
            return Some((rank, 0.0));
        }
        let work = self.remaining_work(job, occurrence);
        let objective = objective(policy, work.total_critical_path);
        if self.settings.plans_overload {
            let deadline = occurrence.due + objective;
            let latest_start = deadline.saturating_sub(work.critical_path);
            let exceeds_rate = job.record.exceeds_rate;
            let (class, due) = self.planned_rank((id, number), latest_start, exceeds_rate);
            let rank = StepRank {
                class,
                priority: 0,
                value_density: 0.0,
                due,
            };
            return Some((rank, work.unplaced));
        }
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

    /// Returns whether an open occurrence of a repeated job can only end when it has no value any more, or waits for
    /// many others of its job.
    pub(crate) fn is_missed(&self, job: &JobEntry, number: u32, now: Duration) -> bool {
        let Some(occurrence) = job.occurrences.get(&number) else {
            return false;
        };
        if job.record.spec.repetitions == 0 || job.record.spec.is_long_running() {
            return false;
        }
        if number - job.done.first_missing() >= MAX_TIMELY_OCCURRENCES {
            return true;
        }
        let critical_path = self.total_critical_path(&job.record);
        let objective = objective(&self.policy(&job.record.queue), critical_path);
        let end = now + occurrence.due_before_clock + critical_path;
        end > occurrence.due + objective.mul_f64(MAX_LATENESS_FACTOR)
    }

    /// Returns the work that an occurrence still needs.
    pub(crate) fn remaining_work(
        &self,
        job: &JobEntry,
        occurrence: &OccurrenceEntry,
    ) -> RemainingWork {
        let queue = &job.record.queue;
        let specs = &job.record.spec.steps;
        let limits = self.round_limits(job.record.workspace.as_deref());
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
            let rounds = |count| limits.map_or(1.0, |limits| f64::from(limits.rounds(spec, count)));
            let round_time = expected * longest_factor(spec);
            let step_time = round_time * rounds(spec.count);
            let unplaced = (step.tasks.iter())
                .filter(|task| matches!(task.phase, TaskPhase::Idle | TaskPhase::Unaccounted))
                .count();
            work.unplaced += unplaced as f64 * expected * cores;
            work.total += f64::from(spec.count) * expected * cores;
            let before = (spec.after.iter())
                .filter_map(|&after| ends.get(usize::from(after)))
                .fold((0.0f64, 0.0f64), |latest, end| {
                    (latest.0.max(end.0), latest.1.max(end.1))
                });
            let left = match step.unfinished {
                0 => 0.0,
                unfinished => round_time * rounds(unfinished),
            };
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

/// Returns the expected ratio of a step's longest task to its mean.
fn longest_factor(spec: &StepSpec) -> f64 {
    match spec.count {
        0 | 1 => 1.0,
        _ => LONGEST_TASK_FACTOR,
    }
}
