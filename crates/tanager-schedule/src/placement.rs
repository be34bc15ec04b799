//! Placement of tasks on workers.
//!
//! In a surge every core of a pool is needed. Tasks go to the least loaded worker with room, which
//! spreads orders and reports over connections; slow workers come last. A gang is placed as a whole
//! or not at all, so that two gangs cannot each occupy half of what the other one needs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;

use crate::action::CellAction;
use crate::core::CellCore;
use crate::core::StepKey;
use crate::ejection::WorkerStanding;
use crate::job::AvoidedWorker;
use crate::job::TaskPhase;
use crate::ranking::RankedStep;
use crate::start_limits::StartLimits;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;
use crate::worker::WorkerSlot;

/// Maximum time between placements: workers also become usable through time alone, for example
/// when an ejection ends.
const PLACE_PERIOD: Duration = Duration::from_millis(100);
/// A worker this much slower than expected is used only if no other has room.
const SLOW_WORKER_FACTOR: f64 = 2.0;
/// Time for which a worker on which a task failed or stalled is not used for it, because the worker may
/// be at fault. It bounds how fast a worker that no other can replace uses up the task's attempts,
/// and is below the 3 s after which users count a job as lost that has nothing running.
const AVOID_TIME: Duration = Duration::from_millis(2_000);
/// Number of starts without a result from which a worker gets no further ones. Orders are sent in turn, so tasks that go
/// first would otherwise wait behind thousands of small ones that were placed before. Members of gangs do not
/// count, because they start together.
const MAX_UNCONFIRMED_STARTS: usize = 32;
/// A gang that prefers a single rack is spread over several if no rack had room for this long.
const RACK_WAIT_LIMIT: Duration = Duration::from_millis(1_500);

/// A worker that can accept tasks.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) key: WorkerKey,
    pub(crate) free: ResourceAmount,
    capacity: ResourceAmount,
    runs: usize,
    /// Maximum number of runs; see `ejection` and `worker_health`.
    max_runs: usize,
    /// Which starts the worker gets in view of its failures.
    pub(crate) standing: WorkerStanding,
    rack: Option<String>,
    is_slow: bool,
    borrowed: bool,
    /// Number of runs of suspects; see `crashes`.
    suspects: usize,
    /// Number of starts that may still be ordered; see `MAX_UNCONFIRMED_STARTS`.
    starts_left: usize,
}

/// Requirements of one task for a worker.
struct TaskDemand<'a> {
    spec: &'a StepSpec,
    amount: ResourceAmount,
    /// Worker on which the task last failed or stalled; it comes after all others.
    avoided: Option<WorkerKey>,
    /// Whether that was so recently that the worker is not used at all.
    excludes_avoided: bool,
    /// Workers with a valid ticket, if the queue requires one.
    allowed: Option<&'a HashSet<WorkerKey>>,
    /// Whether a worker has crashed under the task.
    is_suspect: bool,
}

/// Returns whether a task failed or stalled on a worker so recently that the worker is not used for it.
fn is_recent(since: Duration, now: Duration) -> bool {
    now.saturating_sub(since) < AVOID_TIME
}

/// Returns the number of starts on a worker that have no result yet.
fn unconfirmed_starts(worker: &WorkerSlot) -> usize {
    let runs = worker.runs.values();
    runs.filter(|run| run.stage == RunStage::Starting).count()
}

/// Returns the largest room of any candidate, in each resource.
fn largest_free(candidates: &[Candidate]) -> ResourceAmount {
    (candidates.iter()).fold(ResourceAmount::default(), |largest, candidate| {
        ResourceAmount {
            cpu: largest.cpu.max(candidate.free.cpu),
            memory_mb: largest.memory_mb.max(candidate.free.memory_mb),
            gpu: largest.gpu.max(candidate.free.gpu),
        }
    })
}

impl CellCore {
    /// Places tasks in the order of the ranking.
    pub(crate) fn place_tasks(&mut self, now: Duration) {
        let is_due = now.saturating_sub(self.last_placement) >= PLACE_PERIOD;
        if self.ready.is_empty() || !(self.placement_needed || is_due) {
            return;
        }
        self.begin_cap_round(now);
        self.placement_needed = false;
        self.last_placement = now;
        let mut candidates = self.candidates(now);
        if candidates.is_empty() {
            return;
        }
        self.place_isolated_tasks(&mut candidates, now);
        candidates.retain(|candidate| self.workers[candidate.key].isolation.is_none());
        self.refresh_ranking(now);
        let has_last_resort =
            (candidates.iter()).any(|candidate| candidate.standing == WorkerStanding::LastResort);
        let workspaces = self.ranking.workspaces.len();
        let limits = self.start_limits(now);
        self.round.begin(workspaces, has_last_resort);
        self.round.starts = limits;
        self.place_oldest(&mut candidates, now);
        let mut steps = std::mem::take(&mut self.ranking.steps);
        // In a surge hundreds of steps wait and few workers have room: most steps are skipped by
        // this bound alone.
        let mut largest_free = largest_free(&candidates);
        self.work.add_steps(steps.len());
        for step in &mut steps {
            if self.round.starts.is_exhausted() {
                break;
            }
            self.round.starts.is_missed = step.is_missed();
            let RankedStep { key, need, .. } = step;
            // Advice is requested before a worker has room.
            let may_fit = need.needs_advice || largest_free.can_fit(&need.reserved);
            let is_held_back = self.round.starts.limit(need.reserved.cpu) == 0;
            if !may_fit
                || is_held_back
                || !self.ready.contains(key)
                || self.round.skip_refused(need)
            {
                continue;
            }
            self.round.was_refused = false;
            if self.place_counted(*key, &mut candidates, now) {
                largest_free = self::largest_free(&candidates);
            }
            if self.round.was_refused {
                self.round.record_refusal(need);
            }
            need.idle = self.step(*key).map_or(0, |step| step.idle);
        }
        self.placement_needed |= self.round.starts.is_exhausted();
        self.round.awaits_starts = (candidates.iter()).any(|candidate| candidate.starts_left == 0);
        self.round.starts.is_missed = false;
        self.ranking.steps = steps;
        for (index, tasks) in self.round.skipped() {
            let workspace = &self.ranking.workspaces[index];
            (self.caps.allowances).add_waiting(workspace, &tasks.wanted, &tasks.largest);
        }
    }

    /// Returns whether tasks can be placed that the last round left to the next one.
    pub fn has_more_starts(&self) -> bool {
        self.placement_needed && self.round.starts.is_exhausted()
    }

    /// Returns the limits of the starts in a round.
    fn start_limits(&self, now: Duration) -> StartLimits {
        // Only a ranking with missed occurrences needs the sums.
        if !self.ranking.steps.last().is_some_and(RankedStep::is_missed) {
            return StartLimits::default();
        }
        let usable = (self.workers.values())
            .filter(|worker| worker.responded_recently(now) && !worker.entry.draining);
        let cell_cpu = usable.map(|worker| worker.entry.capacity.cpu).sum();
        let runs = (self.workers.values()).flat_map(|worker| worker.runs.values());
        let missed_cpu = (runs.filter(|run| run.is_missed))
            .map(|run| run.amount.cpu)
            .sum();
        StartLimits::new(missed_cpu, cell_cpu)
    }

    fn candidates(&self, now: Duration) -> Vec<Candidate> {
        self.work.add_workers(self.workers.len());
        (self.workers.iter())
            .filter(|(_, worker)| worker.is_available(now) && worker.clock.is_some())
            .map(|(key, worker)| (key, worker, worker.standing(now)))
            .filter(|(_, _, standing)| *standing != WorkerStanding::Excluded)
            .map(|(key, worker, standing)| Candidate {
                key,
                free: worker.free(),
                capacity: worker.entry.capacity,
                runs: worker.runs.len(),
                max_runs: match standing {
                    WorkerStanding::Sound => self.max_runs(worker, now),
                    _ => worker.runs.len() + 1,
                },
                standing,
                rack: worker.entry.rack.clone(),
                is_slow: worker.health.slowness > SLOW_WORKER_FACTOR,
                borrowed: worker.entry.borrowed,
                suspects: self.suspect_count(worker),
                starts_left: MAX_UNCONFIRMED_STARTS.saturating_sub(unconfirmed_starts(worker)),
            })
            .collect()
    }

    fn suspect_count(&self, worker: &WorkerSlot) -> usize {
        match self.crashes.suspects.is_empty() {
            true => 0,
            false => (worker.runs.keys())
                .filter(|task| self.crashes.suspects.contains(task))
                .count(),
        }
    }

    /// Places tasks that must run isolated, and reserves workers for those that find none.
    fn place_isolated_tasks(&mut self, candidates: &mut [Candidate], now: Duration) {
        for task in self.tasks_to_isolate() {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let record = std::sync::Arc::clone(&job.record);
            let spec = &record.spec.steps[usize::from(task.step)];
            let needs_advice =
                (self.queues.get(&record.queue)).is_some_and(|policy| policy.advice.is_some());
            let key = (task.job, task.occurrence, task.step);
            let Some(step) = self.step(key) else { continue };
            let allowed = needs_advice.then(|| step.advice.allowed(now));
            let avoided = step.tasks[task.index as usize].avoided;
            let demand = TaskDemand {
                spec,
                amount: spec.reserved(),
                avoided: avoided.map(|avoided| avoided.worker),
                excludes_avoided: avoided.is_some_and(|avoided| is_recent(avoided.since, now)),
                allowed: allowed.as_ref(),
                is_suspect: true,
            };
            let used = self.tasks_by_worker(key);
            let reserved = self.reserved_worker(task);
            // Room that is only taken by young runs becomes free soon.
            let trial: Vec<Candidate> = (candidates.iter())
                .filter(|candidate| match reserved {
                    Some(reserved) => candidate.key == reserved,
                    None => self.workers[candidate.key].isolation.is_none(),
                })
                .cloned()
                .map(|mut candidate| {
                    candidate.free = self.workers[candidate.key].free_of_young_runs();
                    candidate
                })
                .collect();
            let quiet: Vec<Candidate> = (trial.iter())
                .filter(|candidate| self.workers[candidate.key].is_quiet())
                .cloned()
                .collect();
            if let Some(position) = self.choose_worker(&demand, &quiet, &used) {
                let (worker, amount) = (quiet[position].key, demand.amount);
                if self.count_allowed_starts(key, 1, now) == 0 {
                    continue;
                }
                self.start_task(worker, task, amount, None, now);
                self.isolate_run(worker, task, now);
            } else if reserved.is_none()
                && self.may_isolate_another(now)
                && let Some(position) = self.choose_worker(&demand, &trial, &used)
            {
                self.reserve_worker(trial[position].key, task, now);
            }
            if self.step(key).is_none_or(|step| step.idle == 0) {
                self.ready.remove(&key);
            }
        }
    }

    /// Places tasks of a step; returns whether any was placed.
    pub(crate) fn place_step(
        &mut self,
        key: StepKey,
        candidates: &mut [Candidate],
        now: Duration,
    ) -> bool {
        let (id, number, step_number) = key;
        let Some(job) = self.jobs.get(&id) else {
            self.ready.remove(&key);
            return false;
        };
        let record = std::sync::Arc::clone(&job.record);
        let spec = &record.spec.steps[usize::from(step_number)];
        let needs_advice =
            (self.queues.get(&record.queue)).is_some_and(|policy| policy.advice.is_some());
        let Some(step) = self.step(key) else {
            return false;
        };
        if step.gang_restarting {
            let still_placed =
                (step.tasks.iter()).any(|task| matches!(task.phase, TaskPhase::Placed(_)));
            if still_placed {
                return false;
            }
        }
        // A gang starts only when all its members are idle.
        let waiting = match spec.gang {
            true if (step.idle as usize) < step.tasks.len() => 0,
            true => step.idle as usize,
            false => (step.idle as usize).min(self.round.starts.limit(spec.reserved().cpu)),
        };
        let startable = self.count_allowed_starts(key, waiting, now);
        if startable == 0 && waiting > 0 {
            self.round.was_refused = true;
            return false;
        }
        let is_unplaceable = self.round.is_unplaceable(&spec.reserved());
        if is_unplaceable && waiting > 0 && !spec.gang && !needs_advice {
            return false;
        }
        let Some(step) = self.step(key) else {
            return false;
        };
        let allowed = needs_advice.then(|| step.advice.allowed(now));
        let mut used = match spec.anti_affinity {
            0 => HashMap::new(),
            _ => self.tasks_by_worker(key),
        };
        let idle: Vec<(usize, Option<AvoidedWorker>, bool)> = (step.tasks.iter().enumerate())
            .filter(|(_, task)| task.phase == TaskPhase::Idle && !task.needs_isolation(spec.gang))
            .map(|(index, task)| (index, task.avoided, task.crashes > 0))
            .take(startable)
            .collect();
        let demand = |avoided: Option<AvoidedWorker>, is_suspect| TaskDemand {
            spec,
            amount: spec.reserved(),
            avoided: avoided.map(|avoided| avoided.worker),
            excludes_avoided: avoided.is_some_and(|avoided| is_recent(avoided.since, now)),
            allowed: allowed.as_ref(),
            is_suspect,
        };
        let mut is_placed = false;
        if spec.gang {
            if idle.len() == step.tasks.len() {
                let chosen =
                    self.choose_gang(&demand(None, false), idle.len(), candidates, key, now);
                is_placed = chosen.is_some();
                self.start_gang(key, chosen, now);
            }
            if needs_advice {
                self.request_more_advice(key, spec, candidates, now);
            }
            return is_placed;
        }
        for (index, avoided, is_suspect) in idle {
            let demand = demand(avoided, is_suspect);
            let Some(position) = self.choose_worker(&demand, candidates, &used) else {
                // A worker that this task must not use may have room for the next one.
                if demand.excludes_avoided {
                    continue;
                }
                let may_use_any = spec.requirement.is_none() && spec.anti_affinity == 0;
                if may_use_any && !needs_advice {
                    self.round.record_unplaceable(&demand.amount);
                }
                break;
            };
            let candidate = &mut candidates[position];
            candidate.free = candidate.free.minus(&demand.amount);
            candidate.runs += 1;
            candidate.starts_left -= 1;
            candidate.suspects += usize::from(is_suspect);
            is_placed = true;
            let worker = candidate.key;
            *used.entry(worker).or_default() += 1;
            let task = TaskKey {
                job: id,
                occurrence: number,
                step: step_number,
                index: index as u32,
            };
            self.start_task(worker, task, demand.amount, None, now);
        }
        if self.step(key).is_none_or(|step| step.idle == 0) {
            self.ready.remove(&key);
        }
        if needs_advice {
            self.request_more_advice(key, spec, candidates, now);
        }
        is_placed
    }

    /// Requests advice on more workers if tasks remain unplaced, or else for the next steps.
    fn request_more_advice(
        &mut self,
        key: StepKey,
        spec: &StepSpec,
        candidates: &[Candidate],
        now: Duration,
    ) {
        match self.step(key) {
            Some(step) if step.idle > 0 => {
                self.request_advice(key, candidates, &spec.reserved(), now);
            }
            _ => self.request_advice_ahead(key, candidates, now),
        }
    }

    pub(crate) fn step(&self, (id, number, step): StepKey) -> Option<&crate::job::StepEntry> {
        (self.jobs.get(&id)?.occurrences)
            .get(&number)?
            .steps
            .get(usize::from(step))
    }

    /// Returns the number of the step's tasks on each worker.
    fn tasks_by_worker(&self, key: StepKey) -> HashMap<WorkerKey, u32> {
        let mut used = HashMap::new();
        for task in self.step(key).into_iter().flat_map(|step| &step.tasks) {
            if let TaskPhase::Placed(worker) = task.phase {
                *used.entry(worker).or_default() += 1;
            }
        }
        used
    }

    /// Returns the position of the best candidate. A worker of last resort is one only if no better
    /// worker could hold the task even if it were idle.
    fn choose_worker(
        &self,
        demand: &TaskDemand<'_>,
        candidates: &[Candidate],
        used: &HashMap<WorkerKey, u32>,
    ) -> Option<usize> {
        let is_better = |candidate: &Candidate| candidate.standing != WorkerStanding::LastResort;
        let best = self.choose_worker_among(demand, candidates, used, None, is_better);
        if best.is_some() || candidates.iter().all(is_better) {
            return best;
        }
        let could_hold = |candidate: &Candidate| {
            is_better(candidate)
                && demand.avoided != Some(candidate.key)
                && candidate.capacity.can_fit(&demand.amount)
                && self.may_run(demand, candidate, used)
        };
        match candidates.iter().any(could_hold) {
            true => None,
            false => self.choose_worker_among(demand, candidates, used, None, |_| true),
        }
    }

    /// Returns whether a worker may run a task, whatever else runs there.
    fn may_run(
        &self,
        demand: &TaskDemand<'_>,
        candidate: &Candidate,
        used: &HashMap<WorkerKey, u32>,
    ) -> bool {
        let limit = demand.spec.anti_affinity;
        (limit == 0 || used.get(&candidate.key).is_none_or(|&count| count < limit))
            && self.is_allowed(demand, candidate)
    }

    /// Returns the position of the best candidate among those that `is_included` accepts.
    fn choose_worker_among(
        &self,
        demand: &TaskDemand<'_>,
        candidates: &[Candidate],
        used: &HashMap<WorkerKey, u32>,
        rack: Option<&str>,
        is_included: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        self.work.add_workers(candidates.len());
        let spec = demand.spec;
        let is_avoided = |candidate: &Candidate| demand.avoided == Some(candidate.key);
        let is_suitable = |candidate: &Candidate| {
            !(demand.excludes_avoided && is_avoided(candidate))
                && is_included(candidate)
                && candidate.free.can_fit(&demand.amount)
                && candidate.runs < candidate.max_runs
                && (spec.gang || candidate.starts_left > 0)
                && rack.is_none_or(|rack| candidate.rack.as_deref() == Some(rack))
                && self.may_run(demand, candidate, used)
        };
        let cost = |candidate: &Candidate| {
            let is_far = spec.affinity.is_some() && candidate.rack != spec.affinity;
            let load = (candidate.capacity.cpu - candidate.free.cpu.min(candidate.capacity.cpu))
                * 1_000
                / candidate.capacity.cpu.max(1);
            // A long-running task would have to move again when a borrowed worker leaves.
            let may_leave_soon = spec.long_running && candidate.borrowed;
            // With one suspect on each worker, a crash tells which one is to blame.
            let suspects = match demand.is_suspect {
                true => candidate.suspects,
                false => 0,
            };
            (
                is_avoided(candidate),
                candidate.is_slow,
                suspects,
                is_far,
                may_leave_soon,
                load,
                candidate.runs,
            )
        };
        (candidates.iter().enumerate())
            .filter(|(_, candidate)| is_suitable(candidate))
            .min_by_key(|(_, candidate)| cost(candidate))
            .map(|(position, _)| position)
    }

    fn is_allowed(&self, demand: &TaskDemand<'_>, candidate: &Candidate) -> bool {
        let Some(label) = &demand.spec.requirement else {
            return (demand.allowed).is_none_or(|allowed| allowed.contains(&candidate.key));
        };
        let labelled = (self.workers.get(candidate.key))
            .is_some_and(|worker| worker.entry.labels.contains(label));
        labelled && (demand.allowed).is_none_or(|allowed| allowed.contains(&candidate.key))
    }

    /// Chooses workers for all members of a gang; `None` if they do not all fit. Workers of last
    /// resort are included only if the sound ones could not hold the gang even if they were idle.
    fn choose_gang(
        &self,
        demand: &TaskDemand<'_>,
        count: usize,
        candidates: &mut [Candidate],
        key: StepKey,
        now: Duration,
    ) -> Option<Vec<WorkerKey>> {
        let due = (self.jobs.get(&key.0))
            .and_then(|job| job.occurrences.get(&key.1))
            .map_or(now, |occurrence| occurrence.due);
        let mut racks: Vec<Option<String>> = Vec::new();
        if demand.spec.same_rack {
            let mut named: Vec<String> = (candidates.iter())
                .filter_map(|candidate| candidate.rack.clone())
                .collect();
            named.sort_by_key(|rack| (Some(rack) != demand.spec.affinity.as_ref(), rack.clone()));
            named.dedup();
            racks.extend(named.into_iter().map(Some));
        }
        if !demand.spec.same_rack || now.saturating_sub(due) > RACK_WAIT_LIMIT {
            racks.push(None);
        }
        let is_better = |candidate: &Candidate| candidate.standing != WorkerStanding::LastResort;
        let chosen = self.choose_members(demand, count, candidates, &racks, is_better);
        let is_sound = |candidate: &Candidate| candidate.standing == WorkerStanding::Sound;
        if chosen.is_some() || candidates.iter().all(is_sound) {
            return chosen;
        }
        let mut idle: Vec<Candidate> = (candidates.iter())
            .filter(|candidate| is_sound(candidate))
            .map(|candidate| Candidate {
                free: candidate.capacity,
                runs: 0,
                ..candidate.clone()
            })
            .collect();
        if (self.choose_members(demand, count, &mut idle, &racks, is_sound)).is_some() {
            return None;
        }
        // Members start together or not at all, so the limit of one run on trial cannot hold here.
        let mut unlimited = candidates.to_vec();
        for candidate in unlimited
            .iter_mut()
            .filter(|candidate| !is_sound(candidate))
        {
            candidate.max_runs = usize::MAX;
        }
        let chosen = self.choose_members(demand, count, &mut unlimited, &racks, |_| true)?;
        for (candidate, placed) in candidates.iter_mut().zip(unlimited) {
            candidate.free = placed.free;
            candidate.runs = placed.runs;
        }
        Some(chosen)
    }

    /// Chooses workers that `is_included` accepts for all members of a gang, and takes their room
    /// from the candidates; `None` if the members do not all fit.
    fn choose_members(
        &self,
        demand: &TaskDemand<'_>,
        count: usize,
        candidates: &mut [Candidate],
        racks: &[Option<String>],
        is_included: impl Fn(&Candidate) -> bool,
    ) -> Option<Vec<WorkerKey>> {
        for rack in racks {
            let mut trial = candidates.to_vec();
            let mut used = HashMap::new();
            let mut chosen = Vec::with_capacity(count);
            while chosen.len() < count {
                let position =
                    self.choose_worker_among(demand, &trial, &used, rack.as_deref(), &is_included);
                let Some(position) = position else {
                    break;
                };
                let candidate = &mut trial[position];
                candidate.free = candidate.free.minus(&demand.amount);
                candidate.runs += 1;
                *used.entry(candidate.key).or_default() += 1;
                chosen.push(candidate.key);
            }
            if chosen.len() == count {
                candidates.clone_from_slice(&trial);
                return Some(chosen);
            }
        }
        None
    }

    fn start_gang(&mut self, key: StepKey, chosen: Option<Vec<WorkerKey>>, now: Duration) {
        let Some(chosen) = chosen else { return };
        let (job, occurrence, step) = key;
        let task = |index: usize| TaskKey {
            job,
            occurrence,
            step,
            index: index as u32,
        };
        let Some(amount) = self.reserved_for(task(0)) else {
            return;
        };
        let Some(entry) = self.step_mut(task(0)) else {
            return;
        };
        entry.gang_restarting = false;
        let run = 1 + entry.tasks.iter().map(|task| task.run).max().unwrap_or(0);
        // All members resume from the same checkpoint, or none does.
        let checkpoint = (entry.tasks.iter())
            .map(|task| task.checkpoint.clone())
            .max()
            .unwrap_or_default();
        for member in &mut entry.tasks {
            member.run = run - 1;
            member.checkpoint.clone_from(&checkpoint);
        }
        for (index, worker) in chosen.into_iter().enumerate() {
            self.start_task(worker, task(index), amount, Some(run), now);
        }
        self.ready.remove(&key);
    }

    fn start_task(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        amount: ResourceAmount,
        run: Option<u64>,
        now: Duration,
    ) {
        let lease = self.settings.lease.as_millis() as u64;
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(clock) = worker.min_clock_ms(now) else {
            return;
        };
        worker.lease_sent_ms = worker.lease_sent_ms.max(clock + lease);
        let lease_until_ms = worker.lease_sent_ms;
        let Some(step) = self.step_mut(task) else {
            return;
        };
        let index = task.index as usize;
        step.set_phase(index, TaskPhase::Placed(key));
        let ticket = step.advice.ticket(key).cloned();
        let entry = &mut step.tasks[index];
        let run = run.unwrap_or(entry.run + 1);
        entry.run = run;
        let checkpoint = entry.checkpoint.clone();
        let is_suspect = entry.crashes > 0;
        if is_suspect {
            entry.suspect_run = run;
            self.mark_dirty(task.job);
        }
        let slot = RunSlot {
            is_missed: self.round.starts.is_missed,
            ..RunSlot::starting(run, amount, now)
        };
        self.round.starts.record(amount.cpu);
        self.add_run(key, task, slot);
        self.record_cap_start(task);
        self.actions.push(CellAction::Start {
            worker: key,
            task,
            run,
            lease_until_ms,
            checkpoint,
            ticket,
        });
    }
}
