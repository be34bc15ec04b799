//! The owner of a cell: handles one duty after another, each of which costs processor time.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::OrderAnswer;
use tanager_jobs::TaskKey;
use tanager_jobs::WorkerReport;
use tanager_schedule::AdmissionDecision;
use tanager_schedule::CancelResult;
use tanager_schedule::CellAction;
use tanager_schedule::CellCore;
use tanager_schedule::CellSettings;
use tanager_schedule::WorkerKey;
use tanager_schedule::allowance::report::AllowanceReply;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::orders::OrderResult;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::persistence::EndWatermarks;
use tanager_schedule::renewal_timing::RenewalTiming;

use super::costs;
use super::exchange::CELL;
use super::load::QUEUE;
use super::load::WALL_MS;
use super::load::queue_policy;
use super::load::workspace_policies;

/// Time after which an order or report to the allocator has no answer. An answer that waits in the
/// owner's queue for longer is late too.
const ORDER_TIMEOUT: Duration = Duration::from_millis(600);
const ALLOWANCE_TIMEOUT: Duration = Duration::from_millis(400);
/// Limits of a renewal, as in the service.
const RENEWAL_PERIOD: Duration = Duration::from_millis(25);
const MAX_STORE_WAIT: Duration = Duration::from_millis(120);
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);
/// Interval between transactions, and the largest number of jobs and of progress entries in one.
const TRANSACTION_PERIOD: Duration = Duration::from_millis(20);
const TRANSACTION_JOBS: usize = 250;
/// Limits of the time after which a refused caller asks again.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_millis(5_000));

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Request {
    Submit,
    Status,
    Cancel,
}

/// What a caller is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Answer {
    Done,
    /// The job is refused; ask again after this time.
    Refused(Duration),
}

/// An order to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) task: TaskKey,
    pub(crate) run: u64,
    pub(crate) sent_at: Duration,
    /// Lease of a start; `None` for a stop.
    pub(crate) lease_until: Option<Duration>,
}

/// A lease renewal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Renewal {
    pub(crate) sent_at: Duration,
    pub(crate) wait: Duration,
    pub(crate) lease_until: Option<Duration>,
    pub(crate) acknowledged: u64,
}

/// Something that the owner has to handle.
#[derive(Debug)]
pub(crate) enum Duty {
    Tick,
    Call(usize, Request, JobRecord),
    /// Renew the leases of a worker, unless a later renewal was sent.
    Renew(usize, u64),
    Report(usize, Renewal, WorkerReport),
    RenewalFailed(usize),
    Send(usize, Order),
    OrderAnswered(usize, Order, OrderAnswer),
    Committed,
    AllowanceReply(AllowanceReply),
}

/// What the owner sends, or does later.
#[derive(Debug)]
pub(crate) enum Effect {
    Answer(usize, Answer),
    Accepted(JobId),
    Ended(JobId),
    Renew(usize, Renewal),
    Order(usize, Order),
    Commit(Vec<JobRecord>, Vec<DirtyJob>),
    Report(AllowanceReport),
    Later(Duration, Duty),
}

/// Progress that a transaction stores.
type Transaction = (Vec<(JobRecord, usize)>, Vec<DirtyJob>, EndWatermarks);

/// An owner.
pub(crate) struct Owner {
    pub(crate) token: u64,
    pub(crate) core: CellCore,
    pub(crate) inbox: VecDeque<Duty>,
    pub(crate) is_busy: bool,
    keys: Vec<WorkerKey>,
    timings: Vec<RenewalTiming>,
    renewals: Vec<u64>,
    sent_at: Vec<Duration>,
    awaits_commit: BTreeSet<usize>,
    unstored: Vec<(JobRecord, usize)>,
    cancels: Vec<(JobId, usize)>,
    committing: Option<Transaction>,
    committed_at: Duration,
    reported_at: Option<Duration>,
    effects: Vec<Effect>,
    cost: Duration,
}

pub(crate) fn cell_core() -> CellCore {
    let mut core = CellCore::new(CellSettings {
        lease: Duration::from_millis(5_700),
        max_lease: Duration::from_millis(6_000),
        stale_owner_limit: Duration::from_millis(4_000),
        max_stop_time: Duration::from_millis(400),
        retention: Duration::from_secs(180),
        forecasts_demand: false,
        plans_overload: false,
        weighs_workers: true,
    });
    core.set_queues([(QUEUE.to_owned(), queue_policy())]);
    core.set_config_version(1);
    core.set_workspaces(workspace_policies());
    core
}

impl Owner {
    /// Creates an owner of a cell that was loaded; `workers` are the names of the workers by number.
    pub(crate) fn new(token: u64, core: CellCore, workers: &[String]) -> Self {
        let keys: Vec<WorkerKey> = (workers.iter())
            .filter_map(|name| {
                let is_named = |key: &WorkerKey| {
                    core.worker(*key)
                        .is_some_and(|worker| worker.entry.worker == *name)
                };
                core.worker_keys().into_iter().find(is_named)
            })
            .collect();
        let count = keys.len();
        Self {
            token,
            core,
            inbox: VecDeque::new(),
            is_busy: false,
            keys,
            timings: (0..count).map(|_| RenewalTiming::default()).collect(),
            renewals: vec![0; count],
            sent_at: vec![Duration::ZERO; count],
            awaits_commit: BTreeSet::new(),
            unstored: Vec::new(),
            cancels: Vec::new(),
            committing: None,
            committed_at: Duration::ZERO,
            reported_at: None,
            effects: Vec::new(),
            cost: Duration::ZERO,
        }
    }

    pub(crate) fn begin(&mut self) {
        self.inbox.push_back(Duty::Tick);
        for worker in 0..self.keys.len() {
            self.inbox.push_back(Duty::Renew(worker, 0));
        }
    }

    /// Handles the next duty; returns its processor time and its effects.
    pub(crate) fn handle(&mut self, now: Duration) -> Option<(Duration, Vec<Effect>)> {
        let duty = self.inbox.pop_front()?;
        let before = self.core.decision_work();
        self.cost = Duration::ZERO;
        match duty {
            Duty::Tick => {
                self.decide(now);
                self.effects
                    .push(Effect::Later(Duration::from_millis(50), Duty::Tick));
            }
            Duty::Call(call, request, record) => self.answer_call(call, request, record, now),
            Duty::Renew(worker, number) => self.renew(worker, number, now),
            Duty::Report(worker, renewal, report) => {
                self.apply_report(worker, &renewal, &report, now);
            }
            Duty::RenewalFailed(worker) => {
                self.cost += costs::REPORT_COST;
                self.miss_renewal(worker);
            }
            Duty::Send(worker, order) => {
                self.cost += costs::ORDER_COST / 2;
                let order = Order {
                    sent_at: now,
                    ..order
                };
                self.effects.push(Effect::Order(worker, order));
            }
            Duty::OrderAnswered(worker, order, answer) => {
                self.cost += costs::ORDER_COST / 2;
                let result = match now.saturating_sub(order.sent_at) > ORDER_TIMEOUT {
                    true => OrderResult::Unknown,
                    false => OrderResult::Answered(answer),
                };
                let (key, core) = (self.keys[worker], &mut self.core);
                match order.lease_until {
                    Some(_) => core.apply_start_result(key, order.task, order.run, result, now),
                    None => core.apply_stop_result(key, order.task, order.run, result, now),
                }
                self.decide(now);
            }
            Duty::Committed => self.apply_commit(now),
            Duty::AllowanceReply(reply) => {
                self.cost += costs::CALL_COST;
                if self.reported_at.take().is_some() {
                    self.core.apply_allowance_reply(&reply, now);
                    self.decide(now);
                }
            }
        }
        self.begin_commit(now);
        self.report_usage(now);
        let work = costs::difference(&before, &self.core.decision_work());
        let cost = self.cost + costs::decision_cost(&work);
        Some((cost, std::mem::take(&mut self.effects)))
    }

    fn decide(&mut self, now: Duration) {
        self.core.tick(now, wall_ms(now), true);
        self.core.take_events();
        for action in self.core.take_actions() {
            let (worker, task, run, lease_until) = match action {
                CellAction::Start {
                    worker,
                    task,
                    run,
                    lease_until_ms,
                    ..
                } => {
                    let lease_until = Duration::from_millis(lease_until_ms);
                    (worker, task, run, Some(lease_until))
                }
                CellAction::Stop { worker, task, run } => (worker, task, run, None),
                _ => continue,
            };
            let order = Order {
                task,
                run,
                sent_at: now,
                lease_until,
            };
            if let Some(number) = self.keys.iter().position(|key| *key == worker) {
                self.inbox.push_back(Duty::Send(number, order));
            }
        }
    }

    fn answer_call(&mut self, call: usize, request: Request, record: JobRecord, now: Duration) {
        self.cost += costs::CALL_COST;
        let id = record.id;
        let is_known = self.core.record(id).is_some();
        match request {
            Request::Status => self.effects.push(Effect::Answer(call, Answer::Done)),
            Request::Submit if is_known => self.effects.push(Effect::Answer(call, Answer::Done)),
            Request::Submit => self.submit(call, record, now),
            Request::Cancel => {
                match self.core.cancel(id, now, wall_ms(now)) {
                    CancelResult::Ended => self.effects.push(Effect::Answer(call, Answer::Done)),
                    CancelResult::Refused => {
                        let answer = Answer::Refused(RETRY_AFTER.0);
                        self.effects.push(Effect::Answer(call, answer));
                    }
                    CancelResult::Pending | CancelResult::Unknown => self.cancels.push((id, call)),
                }
                self.decide(now);
            }
        }
    }

    fn submit(&mut self, call: usize, mut record: JobRecord, now: Duration) {
        let after = match self.core.admit_record(&mut record, &[], now).decision {
            AdmissionDecision::Accept => {
                record.accepted_ms = wall_ms(now);
                self.unstored.push((record, call));
                return;
            }
            AdmissionDecision::Overloaded(after)
            | AdmissionDecision::NoWorker(after)
            | AdmissionDecision::NoRoom(after) => after,
            AdmissionDecision::ExceedsCap => RETRY_AFTER.1,
        };
        let answer = Answer::Refused(after.clamp(RETRY_AFTER.0, RETRY_AFTER.1));
        self.effects.push(Effect::Answer(call, answer));
    }

    fn renew(&mut self, worker: usize, number: u64, now: Duration) {
        if number != self.renewals[worker] {
            return;
        }
        self.renewals[worker] += 1;
        self.awaits_commit.remove(&worker);
        self.cost += costs::REPORT_COST / 2;
        let Some(plan) = self.core.plan_renewal(self.keys[worker], now) else {
            return;
        };
        let wait = match plan.lease_until_ms {
            Some(_) => RenewalTiming::wait(plan.activity),
            None => Duration::ZERO,
        };
        self.sent_at[worker] = now;
        let renewal = Renewal {
            sent_at: now,
            wait,
            lease_until: plan.lease_until_ms.map(Duration::from_millis),
            acknowledged: plan.acknowledged,
        };
        self.effects.push(Effect::Renew(worker, renewal));
    }

    fn apply_report(
        &mut self,
        worker: usize,
        renewal: &Renewal,
        report: &WorkerReport,
        now: Duration,
    ) {
        self.cost += costs::REPORT_COST / 2;
        let elapsed = now.saturating_sub(renewal.sent_at);
        if elapsed > self.timings[worker].timeout(renewal.wait) {
            self.miss_renewal(worker);
            return;
        }
        self.timings[worker].record_reply(renewal.wait, elapsed);
        let key = self.keys[worker];
        (self.core).apply_report(key, report, renewal.sent_at, now, wall_ms(now));
        self.decide(now);
        let has_ends =
            (self.core.worker(key)).is_some_and(|slot| slot.processed_end > slot.stored_end);
        let pause = match renewal.lease_until {
            Some(_) => RENEWAL_PERIOD.saturating_sub(elapsed),
            None => Duration::ZERO,
        };
        let pause = match has_ends {
            true => {
                self.awaits_commit.insert(worker);
                MAX_STORE_WAIT
            }
            false => pause,
        };
        let next = Duty::Renew(worker, self.renewals[worker]);
        self.effects.push(Effect::Later(pause, next));
    }

    fn miss_renewal(&mut self, worker: usize) {
        let pause = self.timings[worker].record_failure().max(REFUSAL_PAUSE);
        self.core.record_missed_renewal(self.keys[worker]);
        let next = Duty::Renew(worker, self.renewals[worker]);
        self.effects.push(Effect::Later(pause, next));
    }

    fn begin_commit(&mut self, now: Duration) {
        let has_work =
            !self.unstored.is_empty() || self.core.has_dirty() || self.core.has_unstored_ends();
        let is_early = now < self.committed_at + TRANSACTION_PERIOD;
        if self.committing.is_some() || !has_work || is_early {
            return;
        }
        let count = self.unstored.len().min(TRANSACTION_JOBS);
        let jobs: Vec<_> = self.unstored.drain(..count).collect();
        let (dirty, watermarks) = self.core.take_dirty(TRANSACTION_JOBS);
        self.cost += costs::TRANSACTION_COST;
        self.cost += costs::STORED_JOB_COST * (jobs.len() + dirty.len()) as u32;
        let records = jobs.iter().map(|(record, _)| record.clone()).collect();
        self.effects.push(Effect::Commit(records, dirty.clone()));
        self.committing = Some((jobs, dirty, watermarks));
    }

    fn apply_commit(&mut self, now: Duration) {
        let Some((jobs, dirty, watermarks)) = self.committing.take() else {
            return;
        };
        self.committed_at = now;
        self.core.mark_stored(&dirty, &watermarks);
        for (record, call) in jobs {
            self.effects.push(Effect::Accepted(record.id));
            self.effects.push(Effect::Answer(call, Answer::Done));
            self.core.add_job(record, now, wall_ms(now));
        }
        for dirty in &dirty {
            if dirty.progress.state != JobState::Open {
                self.effects.push(Effect::Ended(dirty.id));
            }
        }
        let core = &self.core;
        let (stored, waiting) = (std::mem::take(&mut self.cancels).into_iter())
            .partition(|(id, _)| core.is_stored(*id));
        self.cancels = waiting;
        let stored: Vec<(JobId, usize)> = stored;
        let answers = stored
            .iter()
            .map(|(_, call)| Effect::Answer(*call, Answer::Done));
        self.effects.extend(answers);
        for worker in std::mem::take(&mut self.awaits_commit) {
            let elapsed = now.saturating_sub(self.sent_at[worker]);
            let next = Duty::Renew(worker, self.renewals[worker]);
            let pause = RENEWAL_PERIOD.saturating_sub(elapsed);
            self.effects.push(Effect::Later(pause, next));
        }
        self.decide(now);
    }

    fn report_usage(&mut self, now: Duration) {
        if self
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) > ALLOWANCE_TIMEOUT)
        {
            self.reported_at = None;
            self.core.abandon_allowance_report();
        }
        let is_due = (self.core.allowance_report_due(now)).is_some_and(|due| due <= now);
        if is_due && self.reported_at.is_none() {
            self.reported_at = Some(now);
            self.cost += costs::CALL_COST;
            let report = (self.core).create_allowance_report(&CELL.to_owned(), self.token, now);
            self.effects.push(Effect::Report(report));
        }
    }
}

pub(crate) fn wall_ms(now: Duration) -> u64 {
    WALL_MS + now.as_millis() as u64
}
