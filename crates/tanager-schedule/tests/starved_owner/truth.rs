//! What became of each job, as the workers and the store know it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;

use super::fleet::WORKER_CPU;
use super::load::target_time;
use super::load::workspace_name;
use super::load::workspace_policies;

/// A job that was asked for.
#[derive(Debug)]
pub(crate) struct AskedJob {
    pub(crate) workspace: usize,
    pub(crate) asked_at: Duration,
    pub(crate) target: Duration,
    pub(crate) steps: Vec<StepSpec>,
    done: BTreeSet<(u16, u32)>,
    running: BTreeSet<(u16, u32)>,
    is_accepted: bool,
    pub(crate) ended_at: Option<Duration>,
    /// Time since which a task of it stands still beside free workers.
    stalled_since: Option<Duration>,
}

impl AskedJob {
    pub(crate) fn is_in_time(&self) -> bool {
        (self.ended_at).is_some_and(|at| at <= self.asked_at + self.target)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.ended_at.is_some() && self.done.len() as u32 == self.task_count()
    }

    fn task_count(&self) -> u32 {
        self.steps.iter().map(|step| step.count).sum()
    }

    /// Returns the processor time of a task of the first step with tasks that neither run nor are
    /// done.
    fn waiting_cpu(&self) -> Option<u64> {
        for (number, step) in self.steps.iter().enumerate() {
            let first = (number as u16, 0);
            let last = (number as u16, u32::MAX);
            let done = self.done.range(first..=last).count() as u32;
            let running = self.running.range(first..=last).count() as u32;
            if done < step.count {
                return (done + running < step.count).then_some(step.request.cpu);
            }
        }
        None
    }
}

#[derive(Debug, Default)]
pub(crate) struct Truth {
    pub(crate) jobs: BTreeMap<JobId, AskedJob>,
    /// Longest time for which a task stood still, with the job and the time of its end.
    pub(crate) longest_stall: (Duration, Option<JobId>, Duration),
    pub(crate) starts: u64,
}

impl Truth {
    pub(crate) fn add(&mut self, record: &JobRecord, workspace: usize, now: Duration) {
        let job = AskedJob {
            workspace,
            asked_at: now,
            target: target_time(record),
            steps: record.spec.steps.clone(),
            done: BTreeSet::new(),
            running: BTreeSet::new(),
            is_accepted: false,
            ended_at: None,
            stalled_since: None,
        };
        self.jobs.insert(record.id, job);
    }

    pub(crate) fn accept(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_accepted = true;
        }
    }

    pub(crate) fn is_open(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.ended_at.is_none())
    }

    pub(crate) fn end(&mut self, id: JobId, now: Duration) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ended_at.get_or_insert(now);
        }
    }

    pub(crate) fn step(&self, task: TaskKey) -> StepSpec {
        self.jobs[&task.job].steps[usize::from(task.step)].clone()
    }

    pub(crate) fn start(&mut self, task: TaskKey) {
        self.starts += 1;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.running.insert((task.step, task.index));
        }
    }

    /// Records ended runs: of tasks that are done, and of others.
    pub(crate) fn finish(&mut self, done: &[TaskKey], others: &[TaskKey]) {
        for task in done.iter().chain(others) {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.running.remove(&(task.step, task.index));
            }
        }
        for task in done {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.done.insert((task.step, task.index));
            }
        }
    }

    /// Notes for how long tasks have been standing still: under half of the capacity is in use, a
    /// worker has twice the room, and the workspace is below half its cap.
    pub(crate) fn sample(
        &mut self,
        free: &[u64],
        open: &BTreeSet<JobId>,
        is_recovering: bool,
        now: Duration,
    ) {
        let all = WORKER_CPU * free.len() as u64;
        let is_idle = free.iter().sum::<u64>() * 2 > all && !is_recovering;
        let most_free = free.iter().max().copied().unwrap_or_default();
        let mut used: BTreeMap<String, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            let cpu = |(step, _): &(u16, u32)| job.steps[usize::from(*step)].request.cpu;
            *used.entry(workspace_name(job.workspace)).or_default() +=
                job.running.iter().map(cpu).sum::<u64>();
        }
        let has_room: BTreeMap<String, bool> = (workspace_policies().into_iter())
            .map(|(name, policy)| {
                let used = used.get(&name).copied().unwrap_or_default();
                (name, used * 2 < policy.cap.cpu)
            })
            .collect();
        for (id, job) in &mut self.jobs {
            let is_stalled = is_idle
                && job.is_accepted
                && open.contains(id)
                && has_room[&workspace_name(job.workspace)]
                && job.waiting_cpu().is_some_and(|cpu| cpu * 2 <= most_free);
            if !is_stalled {
                job.stalled_since = None;
                continue;
            }
            let stall = now.saturating_sub(*job.stalled_since.get_or_insert(now));
            if stall > self.longest_stall.0 {
                self.longest_stall = (stall, Some(*id), now);
            }
        }
    }
}
