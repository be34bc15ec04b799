//! The state of the model: rows, owners and workers of two cells, calls in transit and clients.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tanager_jobs::DelegationRecord;
use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobSpec;
use tanager_jobs::ProgressRecord;
use tanager_jobs::ResourceAmount;
use tanager_jobs::StepSpec;
use tanager_jobs::WorkerEntry;
use tanager_schedule::CellSettings;
use tanager_schedule::delegation_table::DelegationCall;
use tanager_schedule::recovery::FormerOwner;

use super::calls::Call;
use super::calls::Stage;
use super::check::RunRecord;
use super::clients::Client;
use super::ledger::StoreWrite;
use super::orders::CellWorker;
use super::orders::Transit;
use super::owner::Owner;
use super::results::JobResults;
use super::results::Totals;

/// The cell that the ids of all jobs map to.
pub(crate) const FIRST: usize = 0;
/// The cell that jobs are delegated to.
pub(crate) const SIBLING: usize = 1;
pub(crate) const NAMES: [&str; 2] = ["pool/0", "pool/1"];
const WALL_MS: u64 = 1_000_000;
/// Short, so that a run covers the removal of all rows.
const RETENTION: Duration = Duration::from_secs(24);
const STEP_MS: u64 = 10;
/// Length of a step once all jobs have ended.
const LONG_STEP_MS: u64 = 50;
const JOBS: u64 = 12;
const WORKERS_PER_CELL: usize = 3;
/// Time during which jobs are submitted and faults injected, in milliseconds.
pub(crate) const FAULT_TIME: u64 = 20_000;
/// Time after which every job must have ended: the last takeover is 14 s after the last fault, and
/// tasks then wait for the leases of the former owner.
const SETTLE_TIME: u64 = 60_000;
/// Time after which all rows must have been removed: the retention after the end of the last job,
/// twice the interval between checks, and some time for transactions.
const END_TIME: u64 = 96_000;
/// Time after which another node takes over the cell of an unresponsive owner.
const NODE_DEATH_TIMEOUT: u64 = 2_600;

/// Faults injected in a run of the model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultPlan {
    /// Whether calls between the cells are lost, late or unanswered.
    pub(crate) calls: bool,
    /// Whether such calls also arrive twice. A submission does not: the connection pool sends a
    /// request again only if none of it was sent.
    pub(crate) repeats: bool,
    /// Whether owners are killed and frozen.
    pub(crate) owners: bool,
    /// Whether owners hand over their cells.
    pub(crate) handovers: bool,
    /// Whether transactions without a response are carried out 1 to 6 s later.
    pub(crate) late_writes: bool,
    /// Shares of calls to workers that are lost, late or unanswered.
    pub(crate) worker_calls: f64,
    /// Whether workers crash and restart.
    pub(crate) worker_crashes: bool,
}

/// A job row.
#[derive(Clone, Debug)]
pub(crate) enum Row {
    Job(JobRecord),
    Delegation(DelegationRecord),
}

/// Rows of a cell.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) jobs: BTreeMap<JobId, Row>,
    pub(crate) progress: BTreeMap<JobId, ProgressRecord>,
    /// Token of the owner.
    pub(crate) token: u64,
    /// Version of the ledger row, and the token of its writer.
    pub(crate) ledger: u64,
    pub(crate) ledger_writer: u64,
    /// Workers that the ledger names.
    pub(crate) workers: Vec<WorkerEntry>,
    /// Time at which the cell gets a new owner.
    pub(crate) takeover_at: Option<u64>,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) random: SmallRng,
    pub(crate) plan: FaultPlan,
    traces: bool,
    pub(crate) seed: u64,
    pub(crate) rows: [Rows; 2],
    pub(crate) owners: Vec<Owner>,
    pub(crate) workers: Vec<CellWorker>,
    pub(crate) writes: Vec<StoreWrite>,
    pub(crate) transits: Vec<Transit>,
    pub(crate) calls: Vec<Call>,
    pub(crate) clients: Vec<Client>,
    pub(crate) record: RunRecord,
    pub(crate) results: BTreeMap<JobId, JobResults>,
    /// Jobs delegated, taken back.
    pub(crate) delegated: u64,
    pub(crate) taken_back: u64,
    pub(crate) takeovers: u64,
    pub(crate) late_writes: u64,
}

pub(crate) fn settings() -> CellSettings {
    CellSettings {
        lease: Duration::from_millis(5_700),
        max_lease: Duration::from_millis(6_000),
        stale_owner_limit: Duration::from_millis(4_000),
        max_stop_time: Duration::from_millis(200),
        retention: RETENTION,
        forecasts_demand: false,
        plans_overload: false,
        weighs_workers: false,
    }
}

impl World {
    pub(crate) fn new(seed: u64, plan: FaultPlan, traces: bool) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let clients = (1..=JOBS)
            .map(|number| Client::new(JobId(number), FAULT_TIME, &mut random))
            .collect();
        let workers = [FIRST, SIBLING]
            .into_iter()
            .flat_map(|cell| (0..WORKERS_PER_CELL).map(move |_| cell))
            .enumerate()
            .map(|(number, cell)| CellWorker::new(number, cell, random.random_range(0.98..=1.0)))
            .collect();
        let mut world = Self {
            now: 0,
            random,
            plan,
            traces,
            seed,
            rows: Default::default(),
            owners: Vec::new(),
            workers,
            writes: Vec::new(),
            transits: Vec::new(),
            calls: Vec::new(),
            clients,
            record: RunRecord::default(),
            results: BTreeMap::new(),
            delegated: 0,
            taken_back: 0,
            takeovers: 0,
            late_writes: 0,
        };
        world.take_over(FIRST, FormerOwner::Inactive);
        world.take_over(SIBLING, FormerOwner::Inactive);
        world
    }

    /// Runs the model; returns what happened.
    ///
    /// # Errors
    ///
    /// The first violation of a rule.
    pub(crate) fn run(mut self) -> Result<Totals, String> {
        while self.now < END_TIME {
            let step = match self.now < SETTLE_TIME {
                true => STEP_MS,
                false => LONG_STEP_MS,
            };
            self.now += step;
            self.inject_faults();
            self.replace_owners();
            self.step_workers(Duration::from_millis(step));
            self.deliver_orders();
            self.apply_writes();
            for number in 0..self.owners.len() {
                self.step_owner(number);
            }
            self.repeat_calls();
            self.step_calls();
            self.step_clients();
            self.check_always();
            if self.now == SETTLE_TIME {
                self.check_settled();
            }
            if let Some(first) = self.record.violations.first() {
                return Err(format!("seed {}: {first}", self.seed));
            }
        }
        self.check_removed();
        match self.record.violations.first() {
            Some(first) => Err(format!("seed {}: {first}", self.seed)),
            None => Ok(self.totals()),
        }
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now
    }

    pub(crate) fn clock(&self) -> Duration {
        Duration::from_millis(self.now)
    }

    pub(crate) fn chance(&mut self, rate: f64) -> bool {
        self.random.random_bool(rate)
    }

    /// Decides on a fault of a call between the cells.
    pub(crate) fn fault(&mut self, rate: f64) -> bool {
        let is_enabled = self.plan.calls;
        self.planned_fault(is_enabled, rate)
    }

    /// As [`Self::chance`], but only while faults are injected and if this one is.
    pub(crate) fn planned_fault(&mut self, is_enabled: bool, rate: f64) -> bool {
        is_enabled && self.now < FAULT_TIME && self.chance(rate)
    }

    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.traces {
            println!("{:>6} {}", self.now, text());
        }
    }

    pub(crate) fn record(&self, id: JobId) -> JobRecord {
        let steps = 1 + id.0 % 2;
        let step = |number| StepSpec {
            count: 1 + (id.0 % 3) as u32,
            request: ResourceAmount {
                cpu: 1_000,
                memory_mb: 10,
                gpu: 0,
            },
            after: (0..number).collect(),
            ..StepSpec::default()
        };
        JobRecord {
            id,
            queue: "queue".to_owned(),
            pool: "pool".to_owned(),
            accepted_ms: self.wall_ms(),
            max_attempts: 3,
            spec: JobSpec {
                specification: "work".to_owned(),
                steps: (0..steps as u16).map(step).collect(),
                ..JobSpec::default()
            },
            workspace: None,
            exceeds_rate: false,
        }
    }

    fn inject_faults(&mut self) {
        for cell in [FIRST, SIBLING] {
            let Some(number) = self.current_owner(cell) else {
                continue;
            };
            if self.planned_fault(self.plan.owners, 0.003) {
                let is_long = self.chance(0.1);
                // Without an owner for longer than the sibling can tell what it has run.
                let away = if is_long { 14_000 } else { NODE_DEATH_TIMEOUT };
                if self.chance(0.5) {
                    self.trace(|| format!("owner {number} of {cell} dies"));
                    self.owners[number].is_alive = false;
                } else {
                    let frozen = self.random.random_range(500..9_000);
                    self.trace(|| format!("owner {number} of {cell} is frozen for {frozen}"));
                    self.owners[number].frozen_until = self.now + frozen;
                    if frozen < NODE_DEATH_TIMEOUT {
                        continue;
                    }
                }
                self.rows[cell].takeover_at = Some(self.now + away);
            } else if self.planned_fault(self.plan.handovers, 0.003)
                && self.is_active(number)
                && self.owners[number].is_idle()
            {
                self.trace(|| format!("owner {number} hands over {cell}"));
                self.owners[number].is_alive = false;
                self.take_over(cell, FormerOwner::Inactive);
                self.takeovers += 1;
            }
        }
    }

    fn replace_owners(&mut self) {
        for cell in [FIRST, SIBLING] {
            let current = self.current_owner(cell);
            let rows = &mut self.rows[cell];
            if current.is_none() && rows.takeover_at.is_none() {
                rows.takeover_at = Some(self.now + 100);
            }
            if rows.takeover_at.is_some_and(|at| at <= self.now) {
                rows.takeover_at = None;
                // A dead process may be known to have ended, because a later one runs on its node.
                let former_owner = match current {
                    None => FormerOwner::Inactive,
                    Some(_) => FormerOwner::Unresponsive,
                };
                self.take_over(cell, former_owner);
                self.takeovers += 1;
            }
        }
    }

    /// Returns the owner that the row of the cell names, if it is alive.
    pub(crate) fn current_owner(&self, cell: usize) -> Option<usize> {
        let is_current = |owner: &Owner| {
            owner.cell == cell && owner.token == self.rows[cell].token && owner.is_alive
        };
        self.owners.iter().position(is_current)
    }

    pub(crate) fn is_current(&self, number: usize) -> bool {
        let owner = &self.owners[number];
        self.rows[owner.cell].token == owner.token
    }

    /// Returns whether an owner acts at present.
    pub(crate) fn is_active(&self, number: usize) -> bool {
        let owner = &self.owners[number];
        owner.is_alive && self.now >= owner.frozen_until
    }

    /// Returns an owner to which a request for the cell goes: the current one, or a former one that
    /// is still alive.
    pub(crate) fn find_owner(&mut self, cell: usize) -> Option<usize> {
        let former: Vec<usize> = (0..self.owners.len())
            .filter(|number| {
                let owner = &self.owners[*number];
                owner.cell == cell && owner.is_alive && !self.is_current(*number)
            })
            .collect();
        if !former.is_empty() && self.chance(0.3) {
            return Some(former[self.random.random_range(0..former.len())]);
        }
        self.current_owner(cell)
    }

    /// Lets calls between the cells arrive a second time, now or later.
    fn repeat_calls(&mut self) {
        let mut repeated = Vec::new();
        for index in 0..self.calls.len() {
            let call = &self.calls[index];
            let may_be_repeated = call.is_awaited
                && call.kind != DelegationCall::Submit
                && matches!(call.stage, Stage::Sent { .. });
            if may_be_repeated && self.planned_fault(self.plan.repeats, 0.05) {
                let arrives_at = self.now + self.random.random_range(0..6_000);
                let mut call = self.calls[index].clone();
                call.is_awaited = false;
                call.stage = Stage::Sent { arrives_at };
                repeated.push(call);
            }
        }
        self.calls.extend(repeated);
    }
}
