//! Plan for all waiting jobs of a cell when there may be too little capacity.
//!
//! Jobs are considered in the order of priority, entitlement, share and value per core-second. A job
//! joins the planned set if every job of the set still ends in time with the set scheduled by latest
//! start, earliest first. This yields the set that Moore-Hodgson's removal by value per core-second
//! leaves, plus the smaller jobs for which there is still room. The others are delayed, or
//! rejected if they are not accepted yet and would end too late to be of value.
//!
//! The cell is modelled as one server that places `cores` core-seconds of work per second: while all
//! cores are busy, tasks end, and free their cores, at about this rate.

use std::cmp::Ordering;
use std::time::Duration;

use tanager_jobs::JobId;

/// A job in the set is displaced only by one with this multiple of its value per core-second.
pub const DISPLACEMENT_FACTOR: f64 = 1.25;
/// Share of the starts that goes to the oldest job whose end has no value any more, while there is
/// one. The set is planned for the rest of the capacity; otherwise its jobs would all be a little
/// late.
pub const OLDEST_SHARE: f64 = 0.1;
/// Exponent by which values above the mean are raised. A job of three times the mean work has a
/// fifth less value per core-second than one of the mean; without this, hardly any of the largest
/// tenth is served in time while capacity stays short (0.16 of them, 0.79 of all jobs).
const SIZE_EXPONENT: f64 = 0.4;
/// Share of a job's value that does not depend on its size, as documented by the platform.
const FIXED_VALUE: f64 = 0.3;
/// Maximum value of a job relative to the mean of its queue, as documented by the platform.
const MAX_VALUE: f64 = 4.0;
/// Least work of a job in core-seconds, to bound the value per core-second.
const MIN_WORK: f64 = 0.01;
/// Rounding error of sums of work, in core-seconds.
const WORK_TOLERANCE: f64 = 1e-6;

/// A job, or an occurrence of one, that needs capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// Job and occurrence.
    pub key: (JobId, u32),
    /// Work that is not placed yet, in core-seconds.
    pub work: f64,
    /// Critical path that remains.
    pub critical_path: Duration,
    /// Time from which the job's age and target count.
    pub since: Duration,
    /// Time at which it should end.
    pub deadline: Duration,
    /// Time after which its end has no value.
    pub latest: Duration,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Whether its workspace uses less than its share.
    pub is_below_share: bool,
    /// Whether its workspace sends more than it is entitled to.
    pub exceeds_rate: bool,
    /// Value of its end in time; see [`planned_value`].
    pub value: f64,
    /// Whether it can no longer be rejected.
    pub is_accepted: bool,
    /// Whether there is room for one of its tasks now; it is not rejected then.
    pub has_room: bool,
    /// Whether it was in the set of the last plan.
    pub was_planned: bool,
}

/// Capacity of a cell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanCapacity {
    /// Cores that run jobs.
    pub cores: f64,
    /// Work that can be placed at once, in core-seconds.
    pub free_work: f64,
}

/// What is planned for a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlanOutcome {
    /// It is in the set: it is expected to end in time.
    Planned,
    /// It runs after the set.
    Delayed,
    /// It should not be accepted; after this time it would end in time.
    Rejected(Duration),
}

/// Group of a job in the order; lower ones go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlanGroup {
    /// In the set.
    Planned,
    /// Not in the set, entitled.
    Late,
    /// Not in the set, in excess of the rate of its workspace.
    Excess,
    /// Accepted, but its end will have no value.
    Overdue,
}

/// Position of a job in the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobPlan {
    /// Index of the job in the input.
    pub index: usize,
    /// Group.
    pub group: PlanGroup,
    /// Outcome.
    pub outcome: PlanOutcome,
    /// Expected end.
    pub end: Duration,
}

/// Returns the value that the plan assumes for a job of `work` times the mean of its queue: the value
/// to its caller, raised for large jobs so that they are not the ones that always are late.
pub fn planned_value(work: f64) -> f64 {
    let value = (FIXED_VALUE + (1.0 - FIXED_VALUE) * work).min(MAX_VALUE);
    value * value.max(1.0).powf(SIZE_EXPONENT)
}

impl WaitingJob {
    /// Returns the latest start for an end in time, in seconds relative to `now`.
    fn slack(&self, now: Duration) -> f64 {
        self.deadline.as_secs_f64() - self.critical_path.as_secs_f64() - now.as_secs_f64()
    }

    /// Returns the value per core-second, raised for a job of the last set.
    fn density(&self) -> f64 {
        let density = self.value / self.work.max(MIN_WORK);
        match self.was_planned {
            true => density * DISPLACEMENT_FACTOR,
            false => density,
        }
    }

    /// Orders jobs by which of them the set should rather contain.
    fn compare_claim(&self, other: &Self) -> Ordering {
        (self.priority.cmp(&other.priority))
            .then(self.exceeds_rate.cmp(&other.exceeds_rate))
            .then(other.is_below_share.cmp(&self.is_below_share))
            .then_with(|| other.density().total_cmp(&self.density()))
            .then(self.since.cmp(&other.since))
            .then(self.key.cmp(&other.key))
    }

    /// Orders late jobs.
    fn compare_late(&self, other: &Self) -> Ordering {
        (self.exceeds_rate.cmp(&other.exceeds_rate))
            .then(self.priority.cmp(&other.priority))
            .then(other.is_below_share.cmp(&self.is_below_share))
            .then(self.since.cmp(&other.since))
            .then(self.key.cmp(&other.key))
    }
}

/// Jobs of a schedule in a fixed order, as a tree over their positions: each node has the work of
/// the set's jobs below it and the least work that could be added before all of them.
struct SlackTree {
    leaves: usize,
    nodes: Vec<(f64, f64)>,
}

impl SlackTree {
    fn new(count: usize) -> Self {
        let leaves = count.next_power_of_two();
        Self {
            leaves,
            nodes: vec![(0.0, f64::INFINITY); 2 * leaves],
        }
    }

    /// Adds a job that needs `work` and must have been placed by the time `limit` core-seconds are
    /// placed; returns whether all jobs still are in time. Otherwise the job is not added.
    fn add(&mut self, position: usize, work: f64, limit: f64) -> bool {
        self.set(position, (work, limit - work));
        let fits = self.nodes[1].1 >= -WORK_TOLERANCE;
        if !fits {
            self.set(position, (0.0, f64::INFINITY));
        }
        fits
    }

    fn set(&mut self, position: usize, node: (f64, f64)) {
        let mut index = self.leaves + position;
        self.nodes[index] = node;
        while index > 1 {
            index /= 2;
            let (left, right) = (self.nodes[2 * index], self.nodes[2 * index + 1]);
            self.nodes[index] = (left.0 + right.0, left.1.min(right.1 - left.0));
        }
    }
}

/// Plans the jobs; returns them in the order in which they should get capacity, rejected ones last.
pub fn plan_jobs(jobs: &[WaitingJob], capacity: &PlanCapacity, now: Duration) -> Vec<JobPlan> {
    let cores = capacity.cores.max(MIN_WORK);
    let mut schedule = Schedule {
        jobs,
        cores,
        now,
        placed: -capacity.free_work.max(0.0),
        plans: Vec::with_capacity(jobs.len()),
        overdue: Vec::new(),
        rejected: Vec::new(),
    };
    schedule.add_jobs((0..jobs.len()).collect());
    schedule.finish()
}

/// A plan while it is made.
struct Schedule<'a> {
    jobs: &'a [WaitingJob],
    cores: f64,
    now: Duration,
    /// Work placed before the next job, in core-seconds.
    placed: f64,
    plans: Vec<JobPlan>,
    overdue: Vec<usize>,
    rejected: Vec<usize>,
}

impl Schedule<'_> {
    /// Adds the entitled jobs, or those in excess of the rate of their workspace.
    fn add_jobs(&mut self, mut members: Vec<usize>) {
        if members.is_empty() {
            return;
        }
        let (jobs, now) = (self.jobs, self.now);
        members.sort_unstable_by(|&left, &right| {
            (jobs[left].slack(now).total_cmp(&jobs[right].slack(now)))
                .then(jobs[left].key.cmp(&jobs[right].key))
        });
        let mut positions: Vec<usize> = (0..members.len()).collect();
        positions.sort_unstable_by(|&left, &right| {
            jobs[members[left]].compare_claim(&jobs[members[right]])
        });
        let mut tree = SlackTree::new(members.len());
        let mut is_planned = vec![false; members.len()];
        for position in positions {
            let job = &jobs[members[position]];
            let limit = job.slack(now) * self.cores * (1.0 - OLDEST_SHARE) - self.placed;
            is_planned[position] = tree.add(position, job.work, limit);
        }
        let mut late = Vec::new();
        for (position, index) in members.into_iter().enumerate() {
            match is_planned[position] {
                true => self.place(index, PlanGroup::Planned, PlanOutcome::Planned),
                false => late.push(index),
            }
        }
        late.sort_unstable_by(|&left, &right| jobs[left].compare_late(&jobs[right]));
        for index in late {
            let job = &jobs[index];
            let is_in_time = self.end_after(job) <= job.latest;
            if is_in_time || (!job.is_accepted && job.has_room) {
                let group = match job.exceeds_rate {
                    true => PlanGroup::Excess,
                    false => PlanGroup::Late,
                };
                self.place(index, group, PlanOutcome::Delayed);
            } else if job.is_accepted {
                self.overdue.push(index);
            } else {
                self.rejected.push(index);
            }
        }
    }

    /// Returns the end of a job that is placed next.
    fn end_after(&self, job: &WaitingJob) -> Duration {
        let wait = (self.placed + job.work).max(0.0) / self.cores;
        self.now + Duration::from_secs_f64(wait) + job.critical_path
    }

    fn place(&mut self, index: usize, group: PlanGroup, outcome: PlanOutcome) {
        let job = &self.jobs[index];
        let end = self.end_after(job);
        self.placed += job.work;
        self.plans.push(JobPlan {
            index,
            group,
            outcome,
            end,
        });
    }

    fn finish(mut self) -> Vec<JobPlan> {
        let mut overdue = std::mem::take(&mut self.overdue);
        overdue.sort_unstable_by(|&left, &right| self.jobs[left].compare_late(&self.jobs[right]));
        for index in overdue {
            self.place(index, PlanGroup::Overdue, PlanOutcome::Delayed);
        }
        for index in std::mem::take(&mut self.rejected) {
            let outcome = PlanOutcome::Rejected(self.time_until_in_time(&self.jobs[index]));
            let end = self.end_after(&self.jobs[index]);
            self.plans.push(JobPlan {
                index,
                group: PlanGroup::Overdue,
                outcome,
                end,
            });
        }
        self.plans
    }

    /// Returns the time after which a rejected job would end in time if it arrived then, behind all
    /// jobs that wait now. A job that would be late in an idle cell waits until the cell is idle.
    fn time_until_in_time(&self, job: &WaitingJob) -> Duration {
        let own = job.work / self.cores + job.critical_path.as_secs_f64();
        let target = job.deadline.saturating_sub(job.since).as_secs_f64();
        let wait = self.placed.max(0.0) / self.cores;
        Duration::from_secs_f64((wait + own - target.max(own)).max(0.0))
    }
}
