//! Calls between owners and workers of the model, which may be lost, late or unanswered.

use std::time::Duration;

use rand::RngExt;
use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerReport;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;

use super::worker::ModelStart;
use super::world::World;

/// Time limit of a call.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Content of a call.
#[derive(Clone)]
pub(crate) enum Message {
    Start {
        task: TaskKey,
        run: u64,
        until_ms: u64,
        checkpoint: String,
    },
    Stop {
        task: TaskKey,
        run: u64,
    },
    Renew {
        until_ms: Option<u64>,
        acknowledged: u64,
        sent_at: Duration,
    },
}

/// A call on its way to a worker, or its response on the way back.
pub(crate) struct Transit {
    pub(crate) at: Duration,
    pub(crate) owner: usize,
    pub(crate) worker: usize,
    pub(crate) key: WorkerKey,
    pub(crate) token: u64,
    /// Start of the incarnation that the call was sent to.
    pub(crate) started_ms: u64,
    pub(crate) message: Message,
    /// Whether the call is carried out late.
    pub(crate) is_late: bool,
    /// Whether a response is sent.
    pub(crate) sends_response: bool,
    /// The response, once the worker has handled the call.
    pub(crate) reply: Option<Reply>,
}

pub(crate) enum Reply {
    Order(OrderAnswer),
    Report(WorkerReport),
    RenewalRefused(OrderAnswer),
    Nothing,
}

impl World {
    pub(crate) fn deliver(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for transit in std::mem::take(&mut self.transits) {
            match transit.at <= now {
                true => due.push(transit),
                false => rest.push(transit),
            }
        }
        self.transits = rest;
        for transit in due {
            match transit.reply {
                None => self.deliver_call(transit),
                Some(_) => self.deliver_reply(transit),
            }
        }
    }

    pub(crate) fn deliver_call(&mut self, mut transit: Transit) {
        let number = transit.worker;
        let poisoned = match &transit.message {
            Message::Start { task, .. } => self.poisoned.contains(&task.job),
            _ => false,
        };
        let work = Duration::from_millis(self.rng.random_range(100..900));
        let (long_running, members) = match &transit.message {
            Message::Start { task, .. } => (self.is_long_running(*task), self.members(*task)),
            _ => (false, 0),
        };
        let failing_work = match &transit.message {
            Message::Start { .. } => self.failing_work(number),
            _ => None,
        };
        let is_other_incarnation = transit.started_ms != self.workers[number].started_ms;
        // Not modelled: calls that arrive before any owner has contacted the incarnation
        // (docs/PROOF.md). Nothing that an owner does later can prevent such a start.
        let has_contact = self.workers[number].token > 0;
        if is_other_incarnation && !(self.plan.reaches_next_incarnation && has_contact) {
            return;
        }
        if let Message::Start { task, run, .. } = &transit.message {
            self.trace(|| {
                let (token, owner) = (transit.token, transit.owner);
                format!(
                    "start of {task} run {run} at worker {number} by owner {owner} token {token}"
                )
            });
        }
        if let Message::Stop { task, run } = &transit.message {
            self.trace(|| {
                let (token, owner) = (transit.token, transit.owner);
                format!(
                    "stop of {task} run {run} at worker {number} by owner {owner} token {token}"
                )
            });
        }
        let worker = &mut self.workers[number];
        let reply = match (&transit.message, worker.up) {
            (_, false) => Reply::Nothing,
            (
                Message::Start {
                    task,
                    run,
                    until_ms,
                    checkpoint,
                },
                true,
            ) => {
                let task_run = (*task, *run);
                let start = ModelStart {
                    until_ms: *until_ms,
                    token: transit.token,
                    work: failing_work.unwrap_or(work),
                    fails: poisoned || failing_work.is_some(),
                    long_running: long_running && failing_work.is_none(),
                    members,
                    checkpoint,
                };
                Reply::Order(worker.start(task_run, &start))
            }
            (Message::Stop { task, run }, true) => {
                Reply::Order(worker.stop(*task, *run, transit.token))
            }
            (
                Message::Renew {
                    until_ms,
                    acknowledged,
                    ..
                },
                true,
            ) => match worker.renew_lease(*until_ms, transit.token, *acknowledged) {
                Ok(report) => Reply::Report(report),
                Err(answer) => Reply::RenewalRefused(answer),
            },
        };
        self.collect(number, transit.is_late);
        if transit.sends_response {
            // A worker that crashed in the meantime does not respond; the call times out.
            let delay = match reply {
                Reply::Nothing => TIMEOUT,
                _ => Duration::from_millis(self.rng.random_range(1..8)),
            };
            transit.reply = Some(reply);
            transit.at = self.now + delay;
            self.transits.push(transit);
        }
    }

    pub(crate) fn deliver_reply(&mut self, transit: Transit) {
        let now = self.now;
        let wall_ms = self.wall_ms();
        let owner = &mut self.owners[transit.owner];
        let resumes_at = owner.frozen_until.max(owner.busy_until);
        if !owner.alive || now < resumes_at {
            // A frozen or slow owner reads its responses when it resumes.
            if owner.alive {
                let at = resumes_at;
                self.transits.push(Transit { at, ..transit });
            }
            return;
        }
        let missed = match self.plan.lagging_owners && now.as_millis().is_multiple_of(2) {
            true => OrderResult::Unread,
            false => OrderResult::Unknown,
        };
        let core = &mut owner.core;
        match (transit.message, transit.reply) {
            (Message::Start { task, run, .. }, Some(Reply::Order(answer))) => {
                let result = OrderResult::Answered(answer);
                core.apply_start_result(transit.key, task, run, result, now);
            }
            (Message::Stop { task, run }, Some(Reply::Order(answer))) => {
                let result = OrderResult::Answered(answer);
                core.apply_stop_result(transit.key, task, run, result, now);
            }
            (Message::Renew { sent_at, .. }, Some(Reply::Report(report))) => {
                core.apply_report(transit.key, &report, sent_at, now, wall_ms);
                owner
                    .renewals
                    .insert(transit.key, now + Duration::from_millis(30));
            }
            (Message::Renew { .. }, Some(Reply::RenewalRefused(OrderAnswer::Fenced))) => {
                // Otherwise the owner itself has contacted a later incarnation.
                owner.alive = core.worker(transit.key).is_none();
            }
            // The call already timed out; its response is ignored.
            (Message::Start { task, run, .. }, _) => {
                core.apply_start_result(transit.key, task, run, missed, now);
            }
            (Message::Stop { task, run }, _) => {
                core.apply_stop_result(transit.key, task, run, missed, now);
            }
            (Message::Renew { .. }, _) => {
                match missed {
                    OrderResult::Unread => core.record_unread_renewal(transit.key),
                    _ => core.record_missed_renewal(transit.key),
                }
                owner
                    .renewals
                    .insert(transit.key, now + Duration::from_millis(150));
            }
        }
    }

    /// Sends a call, which may be lost, answered late or carried out late.
    pub(crate) fn send(&mut self, owner: usize, key: WorkerKey, message: Message) {
        let entry = self.owners[owner]
            .core
            .worker(key)
            .map(|slot| slot.entry.clone());
        let Some(entry) = entry else { return };
        let Some(worker) = self
            .workers
            .iter()
            .position(|worker| worker.id == entry.worker)
        else {
            return;
        };
        let is_cut = self.is_cut(owner, worker);
        let is_order = !matches!(message, Message::Renew { .. });
        let lost = is_cut || self.chance(self.plan.call_lost);
        let may_be_late = is_order || self.plan.late_renewals;
        let late = !lost && may_be_late && self.chance(self.plan.late);
        let unanswered = lost || late || self.chance(self.plan.response_lost);
        let ownership = self.owners[owner].token;
        let token = (self.owners[owner].core).order_token(key, ownership);
        let Some(token) = token else { return };
        let started_ms = self.workers[worker].started_ms;
        let timeout = self.now + TIMEOUT;
        if unanswered || !self.workers[worker].up {
            // The owner notices the failure when the call times out.
            self.transits.push(Transit {
                at: timeout,
                owner,
                worker,
                key,
                token,
                started_ms,
                message: message.clone(),
                is_late: late,
                sends_response: false,
                reply: Some(Reply::Nothing),
            });
        }
        if lost {
            return;
        }
        let delay = match late {
            true => Duration::from_millis(self.rng.random_range(2_000..12_000)),
            false => Duration::from_millis(self.rng.random_range(1..8)),
        };
        let sends_response = !unanswered && self.workers[worker].up;
        self.transits.push(Transit {
            at: self.now + delay,
            owner,
            worker,
            key,
            token,
            started_ms,
            message,
            is_late: late,
            sends_response,
            reply: None,
        });
    }
}
