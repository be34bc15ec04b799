//! Results of starts and stops, including orders without a response.
//!
//! An order without a response may be carried out seconds later. A start is therefore sent again
//! with the same run number until its outcome is confirmed by a response, the end of the run in the
//! worker's report, a confirmed stop of the run, or the expiry of the lease.

use std::time::Duration;

use tanager_jobs::OrderAnswer;
use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::RunNumber;

use crate::action::CellAction;
use crate::action::CellEvent;
use crate::action::ReleaseCause;
use crate::core::CellCore;
use crate::job::StepEntry;
use crate::job::TaskPhase;
use crate::worker::RunSlot;
use crate::worker::RunStage;
use crate::worker::WorkerKey;

/// Time for which a worker without room for a start gets no further ones.
const FULL_WORKER_DELAY: Duration = Duration::from_millis(60);
/// Time for which a worker that refuses a start because it is unwell gets no further ones, where
/// workers are weighed: it would otherwise get the same task again at once.
const UNWELL_WORKER_DELAY: Duration = Duration::from_secs(1);
/// Number of starts without a response after which the run is stopped instead.
const MAX_UNANSWERED_STARTS: u32 = 3;

/// Result of an order as seen by the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderResult {
    /// The worker responded.
    Answered(OrderAnswer),
    /// The order was not sent.
    NotSent,
    /// No response; the order may be carried out now or later.
    Unknown,
    /// As `Unknown`, but the owner itself ran late, so it says nothing about the worker.
    Unread,
}

impl CellCore {
    /// Records the result of an order on its worker; returns the run if it is still the ordered
    /// one.
    fn apply_order_result(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        result: OrderResult,
        now: Duration,
    ) -> Option<&mut RunSlot> {
        let worker = self.workers.get_mut(key)?;
        worker.record_order_result(result, now);
        let slot = worker.runs.get_mut(&task).filter(|slot| slot.run == run)?;
        slot.in_flight = false;
        Some(slot)
    }

    /// Applies the result of a start.
    pub fn apply_start_result(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        result: OrderResult,
        now: Duration,
    ) {
        self.placement_needed |= self.round.awaits_starts;
        self.record_start_observation(key, task, result, now);
        let has_expired = (self.workers.get(key)).is_some_and(|worker| worker.leases_expired(now));
        let Some(slot) = self.apply_order_result(key, task, run, result, now) else {
            return;
        };
        let was_retried = slot.unanswered_starts > 0;
        let is_stopping = matches!(slot.stage, RunStage::Stopping | RunStage::Stopped(_));
        match result {
            OrderResult::Answered(OrderAnswer::Accepted) => {
                if slot.stage == RunStage::Starting {
                    slot.stage = RunStage::Running;
                    slot.confirmed_at.get_or_insert(now);
                    slot.progressed_at = now;
                }
                if let Some(job) = self.jobs.get_mut(&task.job) {
                    job.started = true;
                    job.first_start_at.get_or_insert(now);
                }
            }
            OrderResult::Unknown | OrderResult::Unread => {
                slot.unanswered_starts += 1;
                if result == OrderResult::Unknown
                    && slot.unanswered_starts >= MAX_UNANSWERED_STARTS
                    && slot.stage == RunStage::Starting
                {
                    slot.stage = RunStage::Stopping;
                }
                let ordered_at = slot.ordered_at;
                if let Some(worker) = self.workers.get_mut(key) {
                    worker.record_unconfirmed_start(task, run, ordered_at);
                }
            }
            // An earlier start of this run may still be carried out.
            OrderResult::NotSent if was_retried => {}
            OrderResult::Answered(OrderAnswer::Fenced) => {
                self.actions.push(CellAction::CellLost);
            }
            OrderResult::Answered(OrderAnswer::OtherLife) => {
                if !was_retried {
                    self.release_run(key, task, ReleaseCause::NotStarted);
                }
                self.end_refused_incarnation(key);
            }
            OrderResult::Answered(OrderAnswer::OldRun) if was_retried && !is_stopping => {
                // The run has already ended; the end is in the worker's next report.
                slot.stage = RunStage::Running;
                slot.confirmed_at = Some(now);
            }
            OrderResult::Answered(answer) => {
                // The refusal applies to this order only, not to an earlier one that had no
                // response; only expired leases settle that one as well.
                let is_settled = !was_retried || (answer == OrderAnswer::Late && has_expired);
                if !is_settled {
                    slot.stage = RunStage::Stopping;
                    return;
                }
                self.handle_refused_start(key, task, answer, now);
            }
            OrderResult::NotSent => self.release_run(key, task, ReleaseCause::NotStarted),
        }
    }

    /// Returns whether a start that waited to be sent is still wanted. If it is not, because its job
    /// ended meanwhile or `may_start` is false, the run is released unless an earlier order may
    /// still start it.
    pub fn confirm_start(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        may_start: bool,
    ) -> bool {
        let slot = (self.workers.get_mut(key))
            .and_then(|worker| worker.runs.get_mut(&task))
            .filter(|slot| slot.run == run);
        let Some(slot) = slot else { return false };
        if may_start && slot.stage == RunStage::Starting {
            return true;
        }
        slot.in_flight = false;
        if slot.unanswered_starts == 0 {
            self.release_run(key, task, ReleaseCause::NotStarted);
        }
        false
    }

    fn handle_refused_start(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        answer: OrderAnswer,
        now: Duration,
    ) {
        let weighs_workers = self.settings.weighs_workers;
        if let Some(worker) = self.workers.get_mut(key) {
            match answer {
                OrderAnswer::NoRoom => worker.full_until = now + FULL_WORKER_DELAY,
                OrderAnswer::Unwell if weighs_workers => {
                    worker.full_until = now + UNWELL_WORKER_DELAY;
                }
                OrderAnswer::Unwell => worker.health.streak.record_failure(now),
                // The clock is ahead of the estimate; the next report corrects it.
                OrderAnswer::Late => worker.clock = None,
                _ => {}
            }
        }
        if answer == OrderAnswer::BadTicket
            && let Some(step) = self.step_mut(task)
        {
            step.advice.drop_ticket(key);
        }
        self.release_run(key, task, ReleaseCause::NotStarted);
    }

    /// Applies the result of a stop.
    pub fn apply_stop_result(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        run: RunNumber,
        result: OrderResult,
        now: Duration,
    ) {
        let Some(slot) = self.apply_order_result(key, task, run, result, now) else {
            return;
        };
        match result {
            OrderResult::Answered(OrderAnswer::Fenced) => self.actions.push(CellAction::CellLost),
            OrderResult::Answered(OrderAnswer::OtherLife) => self.end_refused_incarnation(key),
            OrderResult::Answered(OrderAnswer::Unwell) => {}
            OrderResult::Answered(_) if slot.stage == RunStage::Stopping => {
                slot.stage = RunStage::Stopped(now);
            }
            _ => {}
        }
    }

    /// Stops the run of a task on a worker.
    pub(crate) fn order_stop(&mut self, key: WorkerKey, task: TaskKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let Some(slot) = worker.runs.get_mut(&task) else {
            return;
        };
        if matches!(slot.stage, RunStage::Starting | RunStage::Running) {
            slot.stage = RunStage::Stopping;
            slot.in_flight = true;
            let run = slot.run;
            self.actions.push(CellAction::Stop {
                worker: key,
                task,
                run,
            });
        }
    }

    pub(crate) fn send_stop(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if let Some(slot) = worker.runs.get_mut(&task) {
            slot.ordered_at = now;
            slot.in_flight = true;
            let run = slot.run;
            self.actions.push(CellAction::Stop {
                worker: key,
                task,
                run,
            });
        }
    }

    /// Sends a start again with the same run number and lease.
    pub(crate) fn resend_start(&mut self, key: WorkerKey, task: TaskKey, now: Duration) {
        let checkpoint = match self.task(task) {
            Some(entry) => entry.checkpoint.clone(),
            None => return,
        };
        let Some(step) = self.step_mut(task) else {
            return;
        };
        let ticket = step.advice.ticket(key).cloned();
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let lease_until_ms = worker.lease_sent_ms;
        let Some(slot) = worker.runs.get_mut(&task) else {
            return;
        };
        slot.ordered_at = now;
        slot.in_flight = true;
        let run = slot.run;
        self.actions.push(CellAction::Start {
            worker: key,
            task,
            run,
            lease_until_ms,
            checkpoint,
            ticket,
        });
    }

    /// Releases a run that is certain not to run now or later.
    pub(crate) fn release_run(&mut self, key: WorkerKey, task: TaskKey, cause: ReleaseCause) {
        let Some(slot) = self.remove_run(key, &task) else {
            return;
        };
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let id = worker.entry.worker.clone();
        let observed = worker.observed_time(&slot);
        self.placement_needed = true;
        if slot.stage != RunStage::Running && cause != ReleaseCause::NotStarted {
            self.events.push(CellEvent::RunReleased {
                task,
                run: slot.run,
                worker: id.clone(),
                cause,
            });
        }
        let Some(step) = self.step_mut(task) else {
            return;
        };
        let index = task.index as usize;
        if step.tasks[index].phase == TaskPhase::Placed(key) {
            if slot.stage == RunStage::Running {
                self.events.push(CellEvent::RunLost {
                    task,
                    run: slot.run,
                    worker: id,
                    cause,
                    observed,
                });
            }
            let Some(step) = self.step_mut(task) else {
                return;
            };
            step.set_phase(index, TaskPhase::Idle);
            let is_gang = (self.jobs.get(&task.job))
                .and_then(|job| job.record.spec.steps.get(usize::from(task.step)))
                .is_some_and(|spec| spec.gang);
            if is_gang {
                self.restart_gang(task);
            }
            self.add_ready_steps_of(task.job, task.occurrence);
        }
    }

    pub(crate) fn step_mut(&mut self, task: TaskKey) -> Option<&mut StepEntry> {
        (self.jobs.get_mut(&task.job)?.occurrences)
            .get_mut(&task.occurrence)?
            .steps
            .get_mut(usize::from(task.step))
            .filter(|step| (task.index as usize) < step.tasks.len())
    }

    pub(crate) fn task(&self, task: TaskKey) -> Option<&crate::job::TaskEntry> {
        (self.jobs.get(&task.job)?.occurrences)
            .get(&task.occurrence)?
            .steps
            .get(usize::from(task.step))?
            .tasks
            .get(task.index as usize)
    }

    /// Returns the resources that a task reserves.
    pub(crate) fn reserved_for(&self, task: TaskKey) -> Option<ResourceAmount> {
        let job = self.jobs.get(&task.job)?;
        let spec = job.record.spec.steps.get(usize::from(task.step))?;
        Some(spec.reserved())
    }
}
