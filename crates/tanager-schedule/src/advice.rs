//! Workers that a queue's policy allows for a step, and when to call the advice service.
//!
//! A call takes some milliseconds for each worker named, and the service handles one call per node
//! at a time, while a surge needs advice on many steps a second. So a step first requests advice on
//! the workers with the most free resources, and on others only if tasks remain unplaced; results
//! are reused. The steps that follow request advice while the tasks before them still run.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::WorkerId;

use crate::action::CellAction;
use crate::core::CellCore;
use crate::core::StepKey;
use crate::ejection::WorkerStanding;
use crate::placement::Candidate;
use crate::worker::WorkerKey;

/// Maximum number of workers named in one call. The platform documents a limit of 30.
const MAX_ADVICE_WORKERS: usize = 30;
/// Tickets that expire sooner are not used for a start.
const TICKET_MARGIN: Duration = Duration::from_millis(100);
/// Minimum time between a failed call and the next one for the same step.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Results of the advice service for a step. They apply to one incarnation of a worker.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Tickets with their expiry times.
    tickets: HashMap<WorkerKey, (String, Duration)>,
    /// Workers that may not run the step.
    refused_workers: HashSet<WorkerKey>,
    /// Workers named in the call in progress.
    pending: Vec<WorkerKey>,
    /// Earliest time of the next call.
    next_request_at: Duration,
}

impl StepAdvice {
    /// Returns the ticket of a worker, if there is one.
    pub(crate) fn ticket(&self, worker: WorkerKey) -> Option<&String> {
        self.tickets.get(&worker).map(|(ticket, _)| ticket)
    }

    /// Returns whether a worker may not run the step.
    pub(crate) fn is_refused(&self, worker: WorkerKey) -> bool {
        self.refused_workers.contains(&worker)
    }

    /// Returns the workers whose tickets remain valid for longer than `TICKET_MARGIN`.
    pub(crate) fn allowed(&self, now: Duration) -> HashSet<WorkerKey> {
        (self.tickets.iter())
            .filter(|(_, (_, end))| now + TICKET_MARGIN < *end)
            .map(|(worker, _)| *worker)
            .collect()
    }

    /// Returns whether a call is in progress or a ticket is known.
    fn is_requested(&self) -> bool {
        !self.pending.is_empty() || !self.tickets.is_empty()
    }

    /// Removes a ticket that a worker refused.
    pub(crate) fn drop_ticket(&mut self, worker: WorkerKey) {
        self.tickets.remove(&worker);
    }

    /// Selects the workers for the next call: those whose tickets have expired, or else those
    /// without a result that have the most free resources.
    fn select_workers_to_ask(
        &self,
        candidates: &[Candidate],
        amount: &ResourceAmount,
        now: Duration,
    ) -> Vec<WorkerKey> {
        let allowed = self.allowed(now);
        let mut eligible: Vec<&Candidate> = (candidates.iter())
            .filter(|candidate| {
                !self.refused_workers.contains(&candidate.key) && !allowed.contains(&candidate.key)
            })
            .collect();
        if eligible
            .iter()
            .any(|candidate| self.tickets.contains_key(&candidate.key))
        {
            eligible.retain(|candidate| self.tickets.contains_key(&candidate.key));
        }
        eligible.sort_by_key(|candidate| {
            (
                candidate.standing == WorkerStanding::LastResort,
                !candidate.free.can_fit(amount),
                Reverse(candidate.free.cpu),
            )
        });
        (eligible.into_iter().take(MAX_ADVICE_WORKERS))
            .map(|candidate| candidate.key)
            .collect()
    }
}

impl CellCore {
    /// Requests advice on more workers for a step, unless a call is in progress.
    pub(crate) fn request_advice(
        &mut self,
        key: StepKey,
        candidates: &[Candidate],
        amount: &ResourceAmount,
        now: Duration,
    ) {
        let (job, occurrence, step) = key;
        let task = TaskKey {
            job,
            occurrence,
            step,
            index: 0,
        };
        let Some(advice) = self.step_mut(task).map(|step| &mut step.advice) else {
            return;
        };
        if !advice.pending.is_empty() || now < advice.next_request_at {
            return;
        }
        let keys = advice.select_workers_to_ask(candidates, amount, now);
        if keys.is_empty() {
            return;
        }
        advice.pending.clone_from(&keys);
        let workers = (keys.into_iter())
            .filter_map(|key| self.workers.get(key))
            .map(|worker| worker.entry.worker.clone())
            .collect();
        self.actions.push(CellAction::RequestAdvice {
            job,
            occurrence,
            step,
            workers,
        });
    }

    /// Requests advice for the steps that follow a step whose tasks are all placed.
    pub(crate) fn request_advice_ahead(
        &mut self,
        key: StepKey,
        candidates: &[Candidate],
        now: Duration,
    ) {
        let (id, occurrence, placed) = key;
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let record = std::sync::Arc::clone(&job.record);
        for (number, spec) in record.spec.steps.iter().enumerate() {
            let number = number as u16;
            let is_requested =
                (self.step((id, occurrence, number))).is_none_or(|step| step.advice.is_requested());
            if spec.after.contains(&placed) && !is_requested {
                let amount = spec.reserved();
                self.request_advice((id, occurrence, number), candidates, &amount, now);
            }
        }
    }

    /// Applies the result of an advice call that was sent at `requested_at`; `None` if the call
    /// failed.
    pub fn apply_advice_result(
        &mut self,
        key: StepKey,
        result: Option<(HashMap<WorkerId, String>, Duration)>,
        requested_at: Duration,
        now: Duration,
    ) {
        let (job, occurrence, step) = key;
        let task = TaskKey {
            job,
            occurrence,
            step,
            index: 0,
        };
        let Some(entry) = self.step_mut(task) else {
            return;
        };
        let keys = std::mem::take(&mut entry.advice.pending);
        let Some((tickets, validity)) = result else {
            entry.advice.next_request_at = now + RETRY_DELAY;
            return;
        };
        for key in keys {
            let Some(id) = self
                .workers
                .get(key)
                .map(|worker| worker.entry.worker.clone())
            else {
                continue;
            };
            let Some(entry) = self.step_mut(task) else {
                return;
            };
            match tickets.get(&id) {
                Some(ticket) => {
                    let ticket = (ticket.clone(), requested_at + validity);
                    entry.advice.tickets.insert(key, ticket);
                }
                None => {
                    entry.advice.tickets.remove(&key);
                    entry.advice.refused_workers.insert(key);
                }
            }
        }
        self.placement_needed = true;
    }
}
