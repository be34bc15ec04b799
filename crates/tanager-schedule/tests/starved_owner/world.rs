//! Callers, an owner with a share of a core, and its workers, on one simulated clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::OrderAnswer;
use tanager_jobs::ProgressRecord;
use tanager_schedule::allowance::report::AllowanceReport;
use tanager_schedule::decision_work::DecisionWork;
use tanager_schedule::persistence::DirtyJob;
use tanager_schedule::recovery::FormerOwner;

use super::callers::Callers;
use super::costs;
use super::exchange::Exchange;
use super::fleet::ActiveRun;
use super::fleet::FleetWorker;
use super::fleet::gone_entry;
use super::fleet::worker_entry;
use super::load::FLOOD_RATE;
use super::load::FLOODING;
use super::load::random_job;
use super::load::usual_rates;
use super::owner::Answer;
use super::owner::Duty;
use super::owner::Effect;
use super::owner::Order;
use super::owner::Owner;
use super::owner::Renewal;
use super::owner::Request;
use super::owner::cell_core;
use super::owner::wall_ms;
use super::plan::HeldJobs;
use super::plan::Plan;
use super::truth::Truth;

pub(crate) const WORKERS: usize = 80;
/// Workers of the former owner that are gone when the cell is taken over.
const GONE_WORKERS: usize = 5;
/// Delay of a message between two machines, and time of a transaction in the store.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
const STORE_DELAY: Duration = Duration::from_millis(30);
/// Time from the death of an owner until its successor has read the cell's rows.
pub(crate) const TAKEOVER_TIME: Duration = Duration::from_millis(800);
const SAMPLE_PERIOD: Duration = Duration::from_millis(100);

/// A renewal that waits at its worker for an end.
#[derive(Clone, Copy, Debug)]
struct HeldRenewal {
    token: u64,
    renewal: Renewal,
}

#[derive(Debug)]
enum Event {
    /// The next job of a workspace; whether it belongs to the flood.
    Arrival(usize, bool),
    Ask(usize),
    Expire(usize),
    Answer(usize, Answer),
    Cancels,
    Arrive(u64, Duty),
    OwnerFree(u64),
    Renew(u64, usize, Renewal),
    Order(u64, usize, Order),
    Worker(usize),
    Commit(u64, Vec<JobRecord>, Vec<DirtyJob>),
    Report(u64, AllowanceReport),
    Kill,
    Load,
    Sample,
}

pub(crate) struct World {
    pub(crate) plan: Plan,
    pub(crate) now: Duration,
    rng: SmallRng,
    events: BTreeMap<(Duration, u64), Event>,
    event_count: u64,
    token: u64,
    pub(crate) owner: Option<Owner>,
    exchange: Exchange,
    workers: Vec<FleetWorker>,
    held: BTreeMap<usize, HeldRenewal>,
    stored: BTreeMap<JobId, (JobRecord, ProgressRecord)>,
    pub(crate) callers: Callers,
    pub(crate) truth: Truth,
    job_count: u64,
    /// Processor time that the owners used.
    pub(crate) used_time: Duration,
    /// Real time and items of each duty, if they are measured.
    pub(crate) measured: Option<Vec<(Duration, DecisionWork)>>,
}

impl World {
    pub(crate) fn new(seed: u64, plan: Plan) -> Self {
        let mut world = Self {
            plan,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            event_count: 0,
            token: 0,
            owner: None,
            exchange: Exchange::new(),
            workers: (0..WORKERS).map(|_| FleetWorker::default()).collect(),
            held: BTreeMap::new(),
            stored: BTreeMap::new(),
            callers: Callers::default(),
            truth: Truth::default(),
            job_count: 0,
            used_time: Duration::ZERO,
            measured: None,
        };
        match world.plan.held_jobs {
            Some(held) => {
                for _ in 0..held.count {
                    let record = world.held_job(held);
                    (world.stored).insert(record.id, (record, ProgressRecord::default()));
                }
            }
            None => {
                for workspace in 0..usual_rates().len() {
                    world.schedule_arrival(workspace, false);
                }
                let (flood_begin, _) = world.plan.flood;
                world.schedule(flood_begin, Event::Arrival(FLOODING, true));
            }
        }
        world.load_cell();
        for at in world.plan.kills.clone() {
            world.schedule(at, Event::Kill);
        }
        if let Some((at, _)) = world.plan.cancels {
            world.schedule(at, Event::Cancels);
        }
        world.schedule(SAMPLE_PERIOD, Event::Sample);
        world
    }

    /// Plays the run to its end.
    pub(crate) fn play(&mut self) {
        self.play_until(self.plan.end);
    }

    pub(crate) fn play_until(&mut self, end: Duration) {
        while let Some((&(at, number), _)) = self.events.first_key_value() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&(at, number)) {
                self.apply(event);
            }
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((at, self.event_count), event);
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrival(workspace, is_flood) => self.arrive(workspace, is_flood),
            Event::Ask(call) => self.ask(call),
            Event::Expire(call) => {
                if let Some(next) = self.callers.expire(call, now) {
                    self.schedule(now, Event::Ask(next));
                }
            }
            Event::Answer(call, answer) => {
                if let Some((at, next)) = self.callers.apply_answer(call, answer, now) {
                    self.schedule(at, Event::Ask(next));
                }
            }
            Event::Cancels => self.cancel_jobs(),
            Event::Arrive(token, duty) => self.deliver(token, duty),
            Event::OwnerFree(token) => {
                if let Some(owner) = self.owner.as_mut().filter(|owner| owner.token == token) {
                    owner.is_busy = false;
                    self.run_owner();
                }
            }
            Event::Renew(token, worker, renewal) => self.renew(token, worker, renewal),
            Event::Order(token, worker, order) => self.carry_out(token, worker, &order),
            Event::Worker(worker) => self.advance_worker(worker),
            Event::Commit(token, records, dirty) => self.commit(token, records, &dirty),
            Event::Report(token, report) => {
                if let Some(reply) = self.exchange.answer(&report, now) {
                    let duty = Duty::AllowanceReply(reply);
                    self.schedule(now + NETWORK_DELAY, Event::Arrive(token, duty));
                }
            }
            Event::Kill => {
                self.owner = None;
                self.held.clear();
                self.callers.lose_all();
                self.schedule(now + TAKEOVER_TIME, Event::Load);
            }
            Event::Load => {
                self.exchange.restart(now);
                self.load_cell();
            }
            Event::Sample => self.sample(),
        }
    }

    fn schedule_arrival(&mut self, workspace: usize, is_flood: bool) {
        let rate = match is_flood {
            true => FLOOD_RATE,
            false => usual_rates()[workspace],
        };
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate;
        let at = self.now + Duration::from_secs_f64(pause);
        if !is_flood || at < self.plan.flood.1 {
            self.schedule(at, Event::Arrival(workspace, is_flood));
        }
    }

    fn arrive(&mut self, workspace: usize, is_flood: bool) {
        self.job_count += 1;
        let record = random_job(&mut self.rng, self.job_count, workspace);
        self.truth.add(&record, workspace, self.now);
        let call = self.callers.add(Request::Submit, record);
        self.ask(call);
        self.schedule_arrival(workspace, is_flood);
    }

    /// Creates an accepted job of the constant number.
    fn held_job(&mut self, held: HeldJobs) -> JobRecord {
        self.job_count += 1;
        let workspace = match held.is_one_workspace {
            true => FLOODING,
            false => self.job_count as usize % usual_rates().len(),
        };
        let mut record = random_job(&mut self.rng, self.job_count, workspace);
        record.accepted_ms = wall_ms(self.now);
        self.truth.add(&record, workspace, self.now);
        self.truth.accept(record.id);
        record
    }

    /// Replaces a job of the constant number that has ended.
    fn replace_held_job(&mut self) {
        let Some(held) = self.plan.held_jobs else {
            return;
        };
        let (record, now) = (self.held_job(held), self.now);
        (self.stored).insert(record.id, (record.clone(), ProgressRecord::default()));
        if let Some(owner) = &mut self.owner {
            owner.core.add_job(record, now, wall_ms(now));
        }
    }

    /// Cancels the oldest open jobs, spread over a second.
    fn cancel_jobs(&mut self) {
        let count = self.plan.cancels.map_or(0, |(_, count)| count);
        let records: Vec<JobRecord> = (self.stored.values())
            .filter(|(record, _)| self.truth.is_open(record.id))
            .map(|(record, _)| record.clone())
            .take(count)
            .collect();
        for (index, record) in records.into_iter().enumerate() {
            let at = self.now + Duration::from_secs(1).mul_f64(index as f64 / count as f64);
            let call = self.callers.add(Request::Cancel, record);
            self.schedule(at, Event::Ask(call));
        }
    }

    fn ask(&mut self, call: usize) {
        let now = self.now;
        let Some(owner) = &self.owner else {
            // The connection is refused.
            self.schedule(now + Duration::from_millis(500), Event::Ask(call));
            return;
        };
        let token = owner.token;
        let (request, record) = self.callers.ask(call, now);
        let limit = self.callers.expiry(call);
        self.schedule(limit, Event::Expire(call));
        let duty = Duty::Call(call, request, record);
        self.schedule(now + NETWORK_DELAY, Event::Arrive(token, duty));
    }

    fn deliver(&mut self, token: u64, duty: Duty) {
        if let Some(owner) = self.owner.as_mut().filter(|owner| owner.token == token) {
            owner.inbox.push_back(duty);
            self.run_owner();
        }
    }

    fn run_owner(&mut self) {
        let now = self.now;
        let Some(owner) = self.owner.as_mut().filter(|owner| !owner.is_busy) else {
            return;
        };
        let (before, started) = (owner.core.decision_work(), Instant::now());
        let Some((cost, effects)) = owner.handle(now) else {
            return;
        };
        if let Some(measured) = &mut self.measured {
            let work = costs::difference(&before, &owner.core.decision_work());
            measured.push((started.elapsed(), work));
        }
        owner.is_busy = true;
        let token = owner.token;
        self.used_time += cost;
        let done_at = now + cost.div_f64(self.plan.share);
        for effect in effects {
            self.apply_effect(token, effect, done_at);
        }
        self.schedule(done_at, Event::OwnerFree(token));
    }

    fn apply_effect(&mut self, token: u64, effect: Effect, at: Duration) {
        let sent = at + NETWORK_DELAY;
        match effect {
            Effect::Answer(call, answer) => self.schedule(sent, Event::Answer(call, answer)),
            Effect::Accepted(id) => self.truth.accept(id),
            Effect::Ended(id) => {
                self.truth.end(id, at);
                self.replace_held_job();
            }
            Effect::Renew(worker, renewal) => {
                self.schedule(sent, Event::Renew(token, worker, renewal));
            }
            Effect::Order(worker, order) => {
                self.schedule(sent, Event::Order(token, worker, order));
            }
            Effect::Commit(records, dirty) => {
                self.schedule(at + STORE_DELAY, Event::Commit(token, records, dirty));
            }
            Effect::Report(report) => self.schedule(sent, Event::Report(token, report)),
            Effect::Later(pause, duty) => self.schedule(at + pause, Event::Arrive(token, duty)),
        }
    }

    fn commit(&mut self, token: u64, records: Vec<JobRecord>, dirty: &[DirtyJob]) {
        if self.token != token {
            return;
        }
        for record in records {
            (self.stored).insert(record.id, (record, ProgressRecord::default()));
        }
        for dirty in dirty {
            if let Some((_, progress)) = self.stored.get_mut(&dirty.id) {
                progress.clone_from(&dirty.progress);
            }
        }
        let done = Event::Arrive(token, Duty::Committed);
        self.schedule(self.now + STORE_DELAY, done);
    }

    /// Starts an owner from the stored rows.
    fn load_cell(&mut self) {
        let now = self.now;
        let is_takeover = self.token > 0;
        self.token += 1;
        let mut core = cell_core();
        let jobs: Vec<_> = self.stored.values().cloned().collect();
        let cost = costs::LOADED_JOB_COST * jobs.len() as u32;
        for (record, progress) in jobs {
            core.load_job(record, &progress, now, wall_ms(now));
        }
        let count = WORKERS + usize::from(is_takeover) * GONE_WORKERS;
        let entries: Vec<_> = (0..count)
            .map(|number| match number < WORKERS {
                true => worker_entry(number),
                false => gone_entry(number),
            })
            .collect();
        if is_takeover {
            core.await_former_workers(&entries, FormerOwner::Inactive, now);
        }
        core.sync_workers(&entries, now);
        core.mark_registered(&core.worker_keys());
        let names: Vec<String> = entries.iter().map(|entry| entry.worker.clone()).collect();
        let mut owner = Owner::new(self.token, core, &names);
        owner.begin();
        owner.is_busy = true;
        self.owner = Some(owner);
        self.used_time += cost;
        let done_at = now + cost.div_f64(self.plan.share);
        self.schedule(done_at, Event::OwnerFree(self.token));
    }

    fn renew(&mut self, token: u64, number: usize, renewal: Renewal) {
        let now = self.now;
        if number >= WORKERS {
            let duty = Duty::RenewalFailed(number);
            self.schedule(now + NETWORK_DELAY, Event::Arrive(token, duty));
            return;
        }
        self.advance_worker(number);
        let worker = &mut self.workers[number];
        if worker.is_fenced(token) {
            return;
        }
        worker.renew(token, renewal.acknowledged, renewal.lease_until);
        self.held.insert(number, HeldRenewal { token, renewal });
        self.advance_worker(number);
        self.schedule(now + renewal.wait, Event::Worker(number));
    }

    /// Advances a worker and answers its renewal if that is due.
    fn advance_worker(&mut self, number: usize) {
        let now = self.now;
        let worker = &mut self.workers[number];
        let (done, expired) = worker.advance(now);
        self.truth.finish(&done, &expired);
        let is_due = self.held.get(&number).is_some_and(|held| {
            worker.has_ends() || now >= held.renewal.sent_at + held.renewal.wait + NETWORK_DELAY
        });
        if let Some(held) = is_due.then(|| self.held.remove(&number)).flatten() {
            let duty = Duty::Report(number, held.renewal, worker.report(now));
            self.schedule(now + NETWORK_DELAY, Event::Arrive(held.token, duty));
        }
    }

    fn carry_out(&mut self, token: u64, number: usize, order: &Order) {
        let now = self.now;
        if number >= WORKERS {
            return;
        }
        self.advance_worker(number);
        let worker = &mut self.workers[number];
        let answer = match order.lease_until {
            Some(lease_until) => {
                let step = self.truth.step(order.task);
                let run = ActiveRun {
                    run: order.run,
                    started_at: now,
                    ends_at: now + Duration::from_millis(step.estimated_ms),
                    cpu: step.request.cpu,
                };
                let ends_at = run.ends_at;
                let answer = worker.start(order.task, run, token, lease_until);
                if answer == OrderAnswer::Accepted {
                    self.truth.start(order.task);
                    self.schedule(ends_at, Event::Worker(number));
                }
                answer
            }
            None => {
                let answer = worker.stop(order.task, order.run, token);
                if !worker.runs.contains_key(&order.task) {
                    self.truth.finish(&[], &[order.task]);
                }
                answer
            }
        };
        self.advance_worker(number);
        let duty = Duty::OrderAnswered(number, *order, answer);
        self.schedule(now + NETWORK_DELAY, Event::Arrive(token, duty));
    }

    fn sample(&mut self) {
        let now = self.now;
        self.exchange.advance(now);
        self.callers.sample(now);
        let free: Vec<u64> = self.workers.iter().map(FleetWorker::free_cpu).collect();
        let is_recovering = (self.owner.as_ref()).is_none_or(|owner| owner.core.is_recovering());
        let open: BTreeSet<JobId> = (self.stored.iter())
            .filter(|(_, (_, progress))| progress.ended_ms == 0)
            .map(|(id, _)| *id)
            .collect();
        self.truth.sample(&free, &open, is_recovering, now);
        self.schedule(now + SAMPLE_PERIOD, Event::Sample);
    }
}
