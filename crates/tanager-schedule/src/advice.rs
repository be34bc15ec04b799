//! Which workers the queue's policy allows for a step, and when to ask the advice service.
//!
//! Load answered: the service takes some milliseconds for each worker that it is asked about, one
//! question at a time for each node, while a surge asks for many steps a second. So a step asks
//! once about the workers with the most room, and about others only if tasks are left over; what
//! was answered is reused. The next steps ask while the tasks before them still run.

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
use crate::placement::Candidate;
use crate::worker::WorkerKey;

/// Most workers named in one question; the platform's pages count 30.
const MAX_ADVICE_WORKERS: usize = 30;
/// Tickets that end sooner are not used for a start.
const TICKET_MARGIN: Duration = Duration::from_millis(100);
/// No further question about a step for this long after one without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// What the advice service has said of a step. Both answers hold for one life of a worker.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    /// Tickets, and when they end.
    tickets: HashMap<WorkerKey, (String, Duration)>,
    /// Workers that may not run the step.
    refused_workers: HashSet<WorkerKey>,
    /// Workers of the question under way.
    pending: Vec<WorkerKey>,
    /// No question before this time.
    next_request_at: Duration,
}

impl StepAdvice {
    /// Returns the ticket of a worker, if there is one.
    pub(crate) fn ticket(&self, worker: WorkerKey) -> Option<&String> {
        self.tickets.get(&worker).map(|(ticket, _)| ticket)
    }

    /// Returns the workers whose tickets are valid for a while.
    pub(crate) fn allowed(&self, now: Duration) -> HashSet<WorkerKey> {
        (self.tickets.iter())
            .filter(|(_, (_, end))| now + TICKET_MARGIN < *end)
            .map(|(worker, _)| *worker)
            .collect()
    }

    /// Returns whether anything was asked or answered that can be used.
    fn is_requested(&self) -> bool {
        !self.pending.is_empty() || !self.tickets.is_empty()
    }

    /// Forgets a ticket that a worker refused.
    pub(crate) fn drop_ticket(&mut self, worker: WorkerKey) {
        self.tickets.remove(&worker);
    }

    /// Chooses the workers to ask about: those whose tickets have ended, or else those with the
    /// most room of which nothing is known.
    fn select_workers_to_ask(
        &self,
        candidates: &[Candidate],
        amount: &ResourceAmount,
        now: Duration,
    ) -> Vec<WorkerKey> {
        let allowed = self.allowed(now);
        let mut open: Vec<&Candidate> = (candidates.iter())
            .filter(|candidate| {
                !self.refused_workers.contains(&candidate.key) && !allowed.contains(&candidate.key)
            })
            .collect();
        if open
            .iter()
            .any(|candidate| self.tickets.contains_key(&candidate.key))
        {
            open.retain(|candidate| self.tickets.contains_key(&candidate.key));
        }
        open.sort_by_key(|candidate| {
            (!candidate.free.can_fit(amount), Reverse(candidate.free.cpu))
        });
        (open.into_iter().take(MAX_ADVICE_WORKERS))
            .map(|candidate| candidate.key)
            .collect()
    }
}

impl CellCore {
    /// Asks about more workers for a step, unless a question is under way.
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

    /// Asks for the steps that follow a step whose tasks are all placed.
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

    /// Takes the answer of the advice service to a question sent at `asked`; `None` when there was
    /// no answer.
    pub fn apply_advice_result(
        &mut self,
        key: StepKey,
        answer: Option<(HashMap<WorkerId, String>, Duration)>,
        asked: Duration,
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
        let Some((tickets, validity)) = answer else {
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
                    let ticket = (ticket.clone(), asked + validity);
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
