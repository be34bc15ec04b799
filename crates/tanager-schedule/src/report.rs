//! Worker reports: running and ended runs.

use std::collections::HashSet;
use std::time::Duration;

use tanager_jobs::EndCause;
use tanager_jobs::EndedRun;
use tanager_jobs::JobState;
use tanager_jobs::RunningRun;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerReport;
use tanager_jobs::ids::RunNumber;

use crate::action::CellEvent;
use crate::action::ReleaseCause;
use crate::action::ReplacementSource;
use crate::core::CellCore;
use crate::job::AvoidedWorker;
use crate::job::TaskPhase;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::UnreadCalls;
use crate::worker::WorkerKey;

impl CellCore {
    /// Applies a worker's response to a lease renewal that was sent at `sent_at`.
    ///
    /// Returns whether the report is from the known incarnation. A report from a later incarnation
    /// ends the known one.
    pub fn apply_report(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        sent_at: Duration,
        now: Duration,
        wall_ms: u64,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(key) else {
            return false;
        };
        if let Some(started_ms) = report.started_ms {
            let known = worker.entry.started_ms;
            if known == 0 {
                worker.entry.started_ms = started_ms;
            } else if known != started_ms {
                if started_ms > known {
                    self.restart_incarnation(key, started_ms, now);
                }
                return false;
            }
        }
        let was_unusable = !worker.responded_recently(now) || worker.renewal_unanswered;
        worker.record_clock(report.clock_ms, now);
        worker.renewal_unanswered = false;
        worker.unanswered_orders = 0;
        worker.unread_calls = UnreadCalls::default();
        let id = worker.entry.worker.clone();
        self.placement_needed |= was_unusable;
        self.record_renewal_observation(key, true, now);
        self.withdraw_crashes(key);
        let ended_tasks = report.ended.iter().map(|ended| ended.task);
        for task in ended_tasks.chain(report.running.iter().map(|running| running.task)) {
            self.open_reported_occurrence(task, now, wall_ms);
        }
        for ended in &report.ended {
            self.apply_end(key, ended, now, wall_ms);
        }
        for running in &report.running {
            self.apply_running(key, running, now);
        }
        // A run whose end is omitted is in neither list.
        if report.omits_ends {
            self.await_worker_again(&id, self.settings.lease, now);
        } else {
            self.release_unlisted_runs(key, report, sent_at);
            self.unconfirmed_workers.remove(&id);
        }
        self.finish_recovery(now);
        self.pace_best_effort_tasks(key, now);
        true
    }

    /// Records that a lease renewal had no response.
    pub fn record_missed_renewal(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.renewal_unanswered = true;
        }
        // The last scan is at most some 50 ms ago.
        self.record_renewal_observation(key, false, self.last_scan);
        self.store_suspect_runs(key);
    }

    /// Records that the response to a lease renewal may have been missed because this owner ran late.
    /// Until the next report, the worker may be another incarnation.
    pub fn record_unread_renewal(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.unread_calls.has_renewal = true;
        }
        // The worker may have crashed all the same.
        self.store_suspect_runs(key);
    }

    /// Replaces the incarnation of a worker that restarted under its id.
    fn restart_incarnation(&mut self, key: WorkerKey, started_ms: u64, now: Duration) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let mut entry = worker.entry.clone();
        entry.started_ms = started_ms;
        self.replace_incarnation(key, entry, ReplacementSource::Report, now);
    }

    /// Applies the end of a run to its job, once.
    fn apply_end(&mut self, key: WorkerKey, ended: &EndedRun, now: Duration, wall_ms: u64) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if ended.number <= worker.processed_end {
            return;
        }
        worker.processed_end = ended.number;
        worker.unstored_ends.push(ended.number, ended.task.job);
        let task = ended.task;
        let matching_slot = worker.runs.get(&task).filter(|slot| slot.run == ended.run);
        let matching_slot = matching_slot.cloned();
        if matching_slot.is_some() {
            self.remove_run(key, &task);
            self.placement_needed = true;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let queue = job.record.queue.clone();
        let max_attempts = job.record.max_attempts;
        let is_ended = job.is_ended();
        let Some(spec) = job.record.spec.steps.get(usize::from(task.step)).cloned() else {
            return;
        };
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else {
            return;
        };
        let Some(step) = occurrence.steps.get_mut(usize::from(task.step)) else {
            return;
        };
        let index = task.index as usize;
        let Some(entry) = step.tasks.get_mut(index) else {
            return;
        };
        let was_done = entry.phase == TaskPhase::Done;
        // After a takeover, ends from several workers arrive in any order, and some are already
        // stored.
        let is_newest = ended.run > entry.ended_run;
        if is_newest {
            entry.ended_run = ended.run;
            entry.run = entry.run.max(ended.run);
        }
        let is_current = match entry.phase {
            TaskPhase::Placed(worker) => worker == key && matching_slot.is_some(),
            // A later run may be on a worker that has not reported yet.
            TaskPhase::Unaccounted | TaskPhase::Idle | TaskPhase::Done => false,
        };
        if is_newest && !ended.checkpoint.is_empty() {
            entry.checkpoint.clone_from(&ended.checkpoint);
        }
        let counts_as_failure = ended.cause == EndCause::Failed && !was_done && !spec.long_running;
        let is_new_failure = counts_as_failure && !entry.failed_runs.contains(&ended.run);
        if is_new_failure {
            entry.failed_runs.push(ended.run);
        }
        let failed_on = entry.avoided.map(|avoided| avoided.worker);
        if ended.cause == EndCause::Failed {
            entry.avoided = Some(AvoidedWorker {
                worker: key,
                since: now,
            });
        }
        let failures = entry.failed_runs.len();
        if is_current && ended.cause != EndCause::Done {
            step.set_phase(index, TaskPhase::Idle);
        }
        if is_ended {
            return;
        }
        job.started = true;
        if !was_done {
            self.mark_dirty(task.job);
        }
        match ended.cause {
            EndCause::Done if !was_done => {
                self.record_successful_run(key, &queue, matching_slot.as_ref(), now);
                self.record_duration(key, &queue, &spec, matching_slot.as_ref(), now);
                self.complete_task(key, task, now, wall_ms);
            }
            EndCause::Failed if !was_done => {
                let started_at = matching_slot.as_ref().map(|slot| slot.ordered_at);
                let elsewhere = failures.saturating_sub(1);
                self.record_failed_run(key, task, started_at, elsewhere, failed_on, now);
                if let Some(worker) = self.workers.get_mut(key) {
                    self.events.push(CellEvent::RunFailed {
                        task,
                        run: ended.run,
                        worker: worker.entry.worker.clone(),
                        failures,
                        max_attempts,
                    });
                }
                if failures >= max_attempts as usize {
                    self.end_job(task.job, JobState::Failed, now, wall_ms);
                    return;
                }
            }
            _ => {}
        }
        if spec.gang && ended.cause != EndCause::Done && is_current {
            self.restart_gang(task);
        }
        self.add_ready_steps_of(task.job, task.occurrence);
    }

    /// Learns from the duration of a run that was observed from start to end.
    fn record_duration(
        &mut self,
        key: WorkerKey,
        queue: &str,
        spec: &tanager_jobs::StepSpec,
        matching_slot: Option<&RunSlot>,
        now: Duration,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.health.streak.record_success();
        let Some(slot) = matching_slot.filter(|slot| slot.run == 1) else {
            return;
        };
        let measured = now.saturating_sub(slot.confirmed_at.unwrap_or(slot.ordered_at));
        let expected = self.durations.expected(queue, spec.estimate());
        let ratio = measured.as_secs_f64() / expected.as_secs_f64().max(0.001);
        worker.health.slowness += (ratio.min(8.0) - worker.health.slowness) * 0.1;
        self.durations.record(queue, spec.estimate(), measured);
    }

    /// Marks a task and the other members of its gang as done, and opens the next steps.
    fn complete_task(&mut self, key: WorkerKey, task: TaskKey, now: Duration, wall_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let record = std::sync::Arc::clone(&job.record);
        let specs = &record.spec.steps;
        let Some(occurrence) = job.occurrences.get_mut(&task.occurrence) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(task.step)];
        let mut others = Vec::new();
        let indices = match specs[usize::from(task.step)].gang {
            true => 0..step.tasks.len(),
            false => task.index as usize..task.index as usize + 1,
        };
        let is_gang = indices.len() > 1;
        for index in indices {
            // A run of the same task on another worker must be stopped. Members of a gang end by
            // themselves.
            if let TaskPhase::Placed(other) = step.tasks[index].phase
                && other != key
                && !is_gang
            {
                others.push(other);
            }
            step.set_phase(index, TaskPhase::Done);
        }
        if step.unfinished == 0 {
            occurrence.open_steps(specs);
        }
        if occurrence.is_complete() {
            job.occurrences.remove(&task.occurrence);
            job.done.insert(task.occurrence);
        }
        let is_complete = job.done.count() >= record.spec.occurrences() as usize;
        self.update_charge(task.job);
        self.ready.remove(&(task.job, task.occurrence, task.step));
        for other in others {
            self.order_stop(other, task);
        }
        if is_complete {
            self.end_job(task.job, JobState::Completed, now, wall_ms);
        } else {
            self.add_ready_steps_of(task.job, task.occurrence);
        }
        self.placement_needed = true;
    }

    /// Stops the remaining members of a gang after one of them ended, so that all start again
    /// together.
    pub(crate) fn restart_gang(&mut self, task: TaskKey) {
        let Some(step) = self.step_mut(task) else {
            return;
        };
        let mut placed = Vec::new();
        for (index, entry) in step.tasks.iter().enumerate() {
            if let TaskPhase::Placed(worker) = entry.phase {
                let index = index as u32;
                placed.push((worker, TaskKey { index, ..task }));
            }
        }
        step.gang_restarting = !placed.is_empty();
        for (worker, member) in placed {
            self.order_stop(worker, member);
        }
    }

    /// Applies a run that a worker lists as running.
    fn apply_running(&mut self, key: WorkerKey, running: &RunningRun, now: Duration) {
        let task = running.task;
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(slot) = worker.runs.get_mut(&task)
            && slot.run == running.run
        {
            slot.record_listed(running, now);
            return;
        }
        // The run was not ordered by this owner, or was released before.
        let can_adopt = self.can_adopt_run(task, running);
        if can_adopt {
            self.adopt_run(key, running, now);
        } else {
            self.stop_unknown_run(key, running, now);
        }
    }

    /// Returns whether a run that this owner did not order may continue.
    fn can_adopt_run(&self, task: TaskKey, running: &RunningRun) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let step = (job.occurrences.get(&task.occurrence))
            .and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        let Some(step) = step else { return false };
        let Some(entry) = step.tasks.get(task.index as usize) else {
            return false;
        };
        !job.is_ended()
            && running.run > entry.ended_run
            && running.run >= entry.run
            && matches!(entry.phase, TaskPhase::Unaccounted | TaskPhase::Idle)
    }

    /// Adopts a run that a former owner ordered.
    fn adopt_run(&mut self, key: WorkerKey, running: &RunningRun, now: Duration) {
        let task = running.task;
        let Some(amount) = self.reserved_for(task) else {
            return;
        };
        let Some(step) = self.step_mut(task) else {
            return;
        };
        step.set_phase(task.index as usize, TaskPhase::Placed(key));
        step.tasks[task.index as usize].run = running.run;
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.started = true;
        }
        let mut slot = RunSlot::starting(running.run, amount, now);
        slot.in_flight = false;
        // The former owner may have changed its pace.
        slot.pace_confirmed = false;
        slot.is_missed =
            (self.jobs.get(&task.job)).is_some_and(|job| self.is_missed(job, task.occurrence, now));
        slot.record_listed(running, now);
        self.add_run(key, task, slot);
        if let Some(worker) = self.workers.get(key) {
            self.events.push(CellEvent::RunAdopted {
                task,
                run: running.run,
                worker: worker.entry.worker.clone(),
                started_ms: worker.entry.started_ms,
            });
        }
    }

    /// Stops a run that must not continue.
    fn stop_unknown_run(&mut self, key: WorkerKey, running: &RunningRun, now: Duration) {
        let task = running.task;
        let amount = self.reserved_for(task).unwrap_or_default();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.runs.contains_key(&task) {
            // A lower run of the same task; the worker itself refuses two runs of one task.
            return;
        }
        let mut slot = RunSlot::starting(running.run, amount, now);
        slot.in_flight = false;
        slot.stage = RunStage::Stopping;
        let (worker_id, started_ms) = (worker.entry.worker.clone(), worker.entry.started_ms);
        self.add_run(key, task, slot);
        // The task waits until the stop is certain.
        if let Some(step) = self.step_mut(task) {
            let index = task.index as usize;
            if matches!(
                step.tasks[index].phase,
                TaskPhase::Idle | TaskPhase::Unaccounted
            ) {
                step.set_phase(index, TaskPhase::Placed(key));
            }
        }
        self.events.push(CellEvent::UnknownRunStopped {
            task,
            run: running.run,
            worker: worker_id,
            started_ms,
        });
        self.send_stop(key, task, now);
    }

    /// Releases runs that the worker lists neither as running nor as ended, although it must have
    /// known them when it responded.
    fn release_unlisted_runs(&mut self, key: WorkerKey, report: &WorkerReport, sent_at: Duration) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        // A worker may list thousands of small tasks.
        let listed: HashSet<(TaskKey, RunNumber)> = (report.running.iter())
            .map(|running| (running.task, running.run))
            .collect();
        let mut dropped = Vec::new();
        for (task, slot) in &worker.runs {
            let listed = listed.contains(&(*task, slot.run));
            let was_confirmed = match slot.stage {
                RunStage::Running => slot.confirmed_at.is_some_and(|at| at < sent_at),
                RunStage::Stopped(at) => at < sent_at,
                RunStage::Starting | RunStage::Stopping => false,
            };
            if !listed && was_confirmed {
                dropped.push(*task);
            }
        }
        for task in dropped {
            self.release_run(key, task, ReleaseCause::Unlisted);
        }
    }
}

impl RunSlot {
    fn record_listed(&mut self, running: &RunningRun, now: Duration) {
        if self.stage == RunStage::Starting {
            self.stage = RunStage::Running;
        }
        if self.confirmed_at.is_none() {
            self.confirmed_at = Some(now);
            self.progressed_at = now;
        }
        if running.percent > self.percent {
            self.percent = running.percent;
            self.progressed_at = now;
        }
        if running.percent < 100 && running.percent < self.percent {
            self.percent = running.percent;
        }
        self.usage = running.usage;
    }
}
