//! Workers of the two cells, and the calls of owners to them.

use std::time::Duration;

use rand::RngExt;
use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerEntry;
use tanager_jobs::WorkerReport;
use tanager_schedule::WorkerKey;
use tanager_schedule::orders::OrderResult;

use super::worker::ModelStart;
use super::worker::ModelWorker;
use super::worker::WorkerEvent;
use super::world::World;

/// Time limit of a call.
const TIMEOUT: u64 = 400;
/// Longest lease and maximum number of listed ends of a worker.
const MAX_LEASE: Duration = Duration::from_millis(6_000);
const LISTED_ENDS: usize = 500;

/// Pauses before the next lease renewal, after a response and without one.
const RENEWAL_PAUSE: u64 = 50;
const MISSED_RENEWAL_PAUSE: u64 = 150;

/// A worker and its cell.
pub(crate) struct CellWorker {
    cell: usize,
    worker: ModelWorker,
    restart_at: Option<u64>,
}

impl CellWorker {
    pub(crate) fn new(number: usize, cell: usize, clock_rate: f64) -> Self {
        Self {
            cell,
            worker: ModelWorker::new(number, clock_rate, MAX_LEASE, LISTED_ENDS),
            restart_at: None,
        }
    }
}

/// Content of a call.
#[derive(Clone, Debug)]
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

#[derive(Debug)]
enum Reply {
    Order(OrderAnswer),
    Report(WorkerReport),
    NoResponse,
}

/// A call on its way to a worker, or its response on the way back.
#[derive(Debug)]
pub(crate) struct Transit {
    at: u64,
    owner: usize,
    worker: usize,
    key: WorkerKey,
    /// Start of the incarnation that the call was sent to.
    started_ms: u64,
    message: Message,
    is_late: bool,
    sends_response: bool,
    reply: Option<Reply>,
}

impl World {
    /// Returns the workers of a cell that are up.
    pub(crate) fn listed(&self, cell: usize) -> Vec<WorkerEntry> {
        (self.workers.iter())
            .filter(|slot| slot.cell == cell && slot.worker.up)
            .map(|slot| slot.worker.entry())
            .collect()
    }

    pub(crate) fn step_workers(&mut self, step: Duration) {
        for number in 0..self.workers.len() {
            let is_crashing = self.planned_fault(self.plan.worker_crashes, 0.0006);
            let pause = self.random.random_range(200..6_000);
            let now = self.now;
            if is_crashing {
                let running: Vec<TaskKey> = self.workers[number]
                    .worker
                    .running
                    .keys()
                    .copied()
                    .collect();
                for task in running {
                    self.record_crash(task);
                }
            }
            let slot = &mut self.workers[number];
            match slot.restart_at {
                Some(at) if at <= now => {
                    slot.restart_at = None;
                    slot.worker.restart(now);
                }
                None if is_crashing => {
                    slot.worker.crash();
                    slot.restart_at = Some(now + pause);
                }
                _ => {}
            }
            slot.worker.advance(step);
            self.collect_events(number, false);
        }
    }

    fn collect_events(&mut self, number: usize, is_late: bool) {
        let cell = self.workers[number].cell;
        let now = self.clock();
        for event in std::mem::take(&mut self.workers[number].worker.events) {
            if !matches!(
                event,
                WorkerEvent::Acknowledged(_) | WorkerEvent::LeaseExpired
            ) {
                self.trace(|| format!("worker {number} of cell {cell} {event:?}"));
            }
            if let WorkerEvent::Started(task, _) = &event {
                self.record_start(cell, *task, is_late);
            }
            self.record.apply_event(number, &event, now);
        }
    }

    /// Sends a call, which may be lost, unanswered or carried out late.
    pub(crate) fn send_order(&mut self, owner: usize, key: WorkerKey, message: Message) {
        let entry = (self.owners[owner].core.worker(key)).map(|slot| slot.entry.clone());
        let worker = entry.and_then(|entry| {
            (self.workers.iter()).position(|slot| slot.worker.id == entry.worker)
        });
        let Some(worker) = worker else {
            return;
        };
        let rate = self.plan.worker_calls;
        let is_order = !matches!(message, Message::Renew { .. });
        let is_lost = self.planned_fault(rate > 0.0, rate);
        let is_late = self.planned_fault(rate > 0.0 && is_order && !is_lost, rate);
        let is_response_lost = self.planned_fault(rate > 0.0, rate);
        let is_unanswered = is_lost || is_late || is_response_lost;
        let ModelWorker { up, started_ms, .. } = self.workers[worker].worker;
        let transit = |at, reply, message| Transit {
            at,
            owner,
            worker,
            key,
            started_ms,
            message,
            is_late,
            sends_response: !is_unanswered && up,
            reply,
        };
        if is_unanswered || !up {
            let timeout = transit(self.now + TIMEOUT, Some(Reply::NoResponse), message.clone());
            self.transits.push(timeout);
        }
        let delay = match is_late {
            true => self.random.random_range(2_000..12_000),
            false => self.random.random_range(1..8),
        };
        if !is_lost && up {
            let call = transit(self.now + delay, None, message);
            self.transits.push(call);
        }
    }

    pub(crate) fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<Transit> = (self.transits)
            .extract_if(.., |transit| transit.at <= now)
            .collect();
        for transit in due {
            match transit.reply {
                None => self.deliver_order(transit),
                Some(_) => self.deliver_reply(transit),
            }
        }
    }

    fn deliver_order(&mut self, mut transit: Transit) {
        let work = Duration::from_millis(self.random.random_range(100..2_500));
        let token = self.owners[transit.owner].token;
        let number = transit.worker;
        let worker = &mut self.workers[number].worker;
        // Orders that reach a later incarnation are the subject of `model.rs`.
        let is_reached = worker.up && worker.started_ms == transit.started_ms;
        let reply = match &transit.message {
            _ if !is_reached => Reply::NoResponse,
            Message::Start {
                task,
                run,
                until_ms,
                checkpoint,
            } => {
                let start = ModelStart {
                    until_ms: *until_ms,
                    token,
                    work,
                    fails: false,
                    long_running: false,
                    members: 0,
                    checkpoint,
                };
                Reply::Order(worker.start((*task, *run), &start))
            }
            Message::Stop { task, run } => Reply::Order(worker.stop(*task, *run, token)),
            Message::Renew {
                until_ms,
                acknowledged,
                ..
            } => match worker.renew_lease(*until_ms, token, *acknowledged) {
                Ok(report) => Reply::Report(report),
                Err(answer) => Reply::Order(answer),
            },
        };
        self.collect_events(number, transit.is_late);
        if transit.sends_response {
            let delay = match reply {
                Reply::NoResponse => TIMEOUT,
                _ => self.random.random_range(1..8),
            };
            transit.at = self.now + delay;
            transit.reply = Some(reply);
            self.transits.push(transit);
        }
    }

    fn deliver_reply(&mut self, transit: Transit) {
        let (now, wall_ms) = (self.clock(), self.wall_ms());
        let owner = &mut self.owners[transit.owner];
        if !owner.is_alive {
            return;
        }
        if self.now < owner.frozen_until {
            // A frozen owner reads its responses when it resumes.
            let at = owner.frozen_until;
            self.transits.push(Transit { at, ..transit });
            return;
        }
        let key = transit.key;
        let result = match &transit.reply {
            Some(Reply::Order(answer)) => OrderResult::Answered(*answer),
            _ => OrderResult::Unknown,
        };
        match (transit.message, transit.reply) {
            (Message::Start { task, run, .. }, _) => {
                owner.core.apply_start_result(key, task, run, result, now);
            }
            (Message::Stop { task, run }, _) => {
                owner.core.apply_stop_result(key, task, run, result, now);
            }
            (Message::Renew { sent_at, .. }, Some(Reply::Report(report))) => {
                (owner.core).apply_report(key, &report, sent_at, now, wall_ms);
                owner.renewals.insert(key, self.now + RENEWAL_PAUSE);
            }
            // A higher token was seen.
            (Message::Renew { .. }, Some(Reply::Order(_))) => owner.is_alive = false,
            (Message::Renew { .. }, _) => {
                owner.core.record_missed_renewal(key);
                owner.renewals.insert(key, self.now + MISSED_RENEWAL_PAUSE);
            }
        }
    }
}
