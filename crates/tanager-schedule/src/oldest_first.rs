//! Starts that go to the oldest job that has waited too long, so that the plan starves none.
//!
//! A job has waited too long once its end has no value for its caller. Before that, starts that went
//! to the oldest job would go to late jobs in each surge and make others late: in a surge of some
//! seconds that cost as much value in time as the share of these starts.

use std::collections::HashMap;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::StepSpec;

use crate::core::CellCore;
use crate::core::StepKey;
use crate::overload::OLDEST_SHARE;
use crate::placement::Candidate;

/// Maximum number of starts due to the oldest job, so that a time without contention gives
/// it no long precedence.
const MAX_OLDEST_CREDIT: f64 = 8.0;

impl CellCore {
    /// Sorts the steps of the jobs that have waited too long by the age of their jobs.
    pub(crate) fn sort_by_age(&mut self, now: Duration) {
        let overdue: HashMap<(JobId, u32), Duration> = (self.plan.jobs.iter())
            .filter(|job| job.latest <= now)
            .map(|job| (job.key, job.since))
            .collect();
        let since = |&(id, number, _): &StepKey| overdue.get(&(id, number)).copied();
        let mut steps: Vec<(Duration, StepKey)> = (self.ready.iter())
            .filter_map(|key| Some((since(key)?, *key)))
            .collect();
        steps.sort_unstable();
        self.plan.by_age = steps.into_iter().map(|(_, key)| key).collect();
    }

    /// Returns the step of the oldest waiting job.
    fn oldest_step(&self) -> Option<StepKey> {
        (self.plan.by_age.iter())
            .find(|key| self.ready.contains(key))
            .copied()
    }

    /// Places tasks of the oldest waiting job if starts are due to it. If none of them fits, the
    /// emptiest worker that can hold one gets no other task until it does.
    pub(crate) fn place_oldest(&mut self, candidates: &mut Vec<Candidate>, now: Duration) {
        if !self.settings.plans_overload || self.plan.oldest_credit < 1.0 {
            return;
        }
        let Some(key) = self.oldest_step() else {
            return;
        };
        if self.place_counted(key, candidates, now) {
            return;
        }
        let Some(spec) = self.step_spec(key).filter(|spec| !spec.gang) else {
            return;
        };
        let reserved = spec.reserved();
        let emptiest = (candidates.iter().enumerate())
            .filter(|(_, candidate)| {
                self.workers[candidate.key]
                    .entry
                    .capacity
                    .can_fit(&reserved)
                    && !candidate.free.can_fit(&reserved)
            })
            .max_by_key(|(_, candidate)| candidate.free.cpu)
            .map(|(position, _)| position);
        if let Some(position) = emptiest {
            candidates.swap_remove(position);
        }
    }

    /// Places tasks of a step and counts the starts, of which some are due to the oldest waiting
    /// job. Returns whether any task was placed.
    pub(crate) fn place_counted(
        &mut self,
        key: StepKey,
        candidates: &mut [Candidate],
        now: Duration,
    ) -> bool {
        if !self.settings.plans_overload {
            return self.place_step(key, candidates, now);
        }
        let is_oldest = self.oldest_step().is_some_and(|oldest| oldest.0 == key.0);
        let idle_before = self.idle_tasks(key);
        let is_placed = self.place_step(key, candidates, now);
        let count = f64::from(idle_before.saturating_sub(self.idle_tasks(key)));
        let change = match is_oldest {
            true => count * (OLDEST_SHARE - 1.0),
            false => count * OLDEST_SHARE,
        };
        let credit = self.plan.oldest_credit + change;
        self.plan.oldest_credit = credit.clamp(-MAX_OLDEST_CREDIT, MAX_OLDEST_CREDIT);
        is_placed
    }

    fn idle_tasks(&self, key: StepKey) -> u32 {
        self.step(key).map_or(0, |step| step.idle)
    }

    fn step_spec(&self, (id, _, step): StepKey) -> Option<&StepSpec> {
        (self.jobs.get(&id)?.record.spec.steps).get(usize::from(step))
    }
}
