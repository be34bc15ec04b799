//! `CellCore`, the state of a cell: jobs, workers, pending actions and unsaved changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use tanager_jobs::JobId;
use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::ResourceAmount;
use tanager_jobs::TaskKey;
use tanager_jobs::ids::WorkerId;
use tanager_jobs::ids::WorkspaceName;

use crate::action::CellAction;
use crate::action::CellEvent;
use crate::action::ReleaseCause;
use crate::cancellation::EarlyCancellation;
use crate::caps::CapState;
use crate::cell_memory::CellMemory;
use crate::crashes::CrashTable;
use crate::decision_work::DecisionWork;
use crate::decision_work::WorkCounters;
use crate::delegation_table::DelegationTable;
use crate::durations::DurationTable;
use crate::durations::QueueDuration;
use crate::health_rates::HealthRates;
use crate::job::JobEntry;
use crate::job::TaskPhase;
use crate::order_token::IncarnationNumber;
use crate::placement_round::PlacementRound;
use crate::ranking::objective;
use crate::settings::CellSettings;
use crate::settings::QueuePolicy;
use crate::settings::WorkspacePolicy;
use crate::unheld_steps::UnheldSteps;
use crate::withheld_progress::WithheldProgress;
use crate::worker::RunStage;
use crate::worker::WorkerKey;
use crate::worker::WorkerTable;

/// Time after which a start or stop without a response is sent again.
pub(crate) const RESEND_DELAY: Duration = Duration::from_millis(400);

/// Interval between scans of all runs. An owner ticks at least every 50 ms, and after each of some
/// thousand reports a second in a surge.
const SCAN_PERIOD: Duration = Duration::from_millis(40);

/// A step of an occurrence: job, occurrence and step number.
pub type StepKey = (JobId, u32, u16);

/// The state of one cell.
#[derive(Debug)]
pub struct CellCore {
    pub(crate) settings: CellSettings,
    pub(crate) queues: HashMap<String, QueuePolicy>,
    /// Terms of the workspaces; `None` if the deployment has none.
    pub(crate) workspaces: Option<BTreeMap<WorkspaceName, WorkspacePolicy>>,
    pub(crate) jobs: HashMap<JobId, JobEntry>,
    /// Open jobs, ordered by id.
    pub(crate) open_jobs: BTreeSet<JobId>,
    /// Open jobs with occurrences that are not open yet.
    pub(crate) scheduled_jobs: BTreeSet<JobId>,
    /// Open steps with tasks to place.
    pub(crate) ready: BTreeSet<StepKey>,
    pub(crate) workers: WorkerTable,
    pub(crate) workers_by_id: HashMap<WorkerId, WorkerKey>,
    pub(crate) durations: DurationTable,
    /// Mean processor time of a job by queue, in core-seconds.
    pub(crate) mean_work_by_queue: HashMap<String, f64>,
    /// Work of recent admission requests in core-seconds, with the time of each request.
    pub(crate) recent_arrivals: VecDeque<(Duration, f64)>,
    pub(crate) actions: Vec<CellAction>,
    pub(crate) events: Vec<CellEvent>,
    /// Jobs with unsaved progress.
    pub(crate) dirty: BTreeSet<JobId>,
    /// Jobs among them whose progress the store rejects.
    pub(crate) withheld: WithheldProgress,
    /// Jobs of this cell that a sibling runs.
    pub delegations: DelegationTable,
    /// Cancellations of jobs that this cell does not have.
    pub(crate) early_cancellations: BTreeMap<JobId, EarlyCancellation>,
    /// Workers of the former owner that may still run tasks, with the time at which their leases
    /// will have expired. Unlisted tasks start only when each of these workers has reported or that
    /// time has passed.
    pub(crate) unconfirmed_workers: HashMap<WorkerId, Duration>,
    /// Former workers whose leases expired before they reported, for the log.
    pub(crate) unreached_workers: Vec<WorkerId>,
    /// Before this time, a task that is listed as running may have been stopped by the former
    /// owner.
    pub(crate) stops_visible_from: Duration,
    /// Whether loaded jobs have tasks that wait for `unconfirmed_workers`.
    pub(crate) recovering: bool,
    /// Order in which steps get resources.
    pub(crate) ranking: crate::ranking::StepRanking,
    /// Plan of the waiting jobs, if the cell plans for overload.
    pub(crate) plan: crate::planning::PlanState,
    /// Time of the last scan of all runs.
    pub(crate) last_scan: Duration,
    /// Whether a change since the last scan needs one at once.
    pub(crate) scan_needed: bool,
    /// Time of the last placement.
    pub(crate) last_placement: Duration,
    /// Whether a change since the last placement may allow a task to be placed.
    pub(crate) placement_needed: bool,
    /// Steps for whose tasks the workers of the cell have no room.
    pub(crate) unheld: UnheldSteps,
    /// Worker crashes and the tasks that may have caused them.
    pub(crate) crashes: CrashTable,
    /// Rates of bad runs and starts by queue and worker.
    pub(crate) health_rates: HealthRates,
    /// Limits of the workspaces in this cell.
    pub(crate) caps: CapState,
    /// Numbers of the next incarnations by id, for all ids that this owner has met.
    pub(crate) next_incarnations: HashMap<WorkerId, IncarnationNumber>,
    /// Ended jobs and early cancellations, ordered by the time of their end.
    pub(crate) ended: BTreeSet<(u64, JobId)>,
    /// Memory of the jobs.
    pub(crate) memory: CellMemory,
    /// State of the current round of placement.
    pub(crate) round: PlacementRound,
    /// Work of the decisions so far.
    pub(crate) work: WorkCounters,
}

/// Phase of a job, from which the status reported to clients is derived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobPhase {
    /// No task has started.
    Queued,
    /// Tasks have started, or the end is not stored yet.
    Running,
    /// The job has ended, and its end is stored.
    Ended(JobState),
}

impl CellCore {
    /// Creates an empty cell.
    pub fn new(settings: CellSettings) -> Self {
        Self {
            delegations: DelegationTable::new(settings.retention),
            settings,
            queues: HashMap::new(),
            workspaces: None,
            jobs: HashMap::new(),
            open_jobs: BTreeSet::new(),
            scheduled_jobs: BTreeSet::new(),
            ready: BTreeSet::new(),
            workers: WorkerTable::with_key(),
            workers_by_id: HashMap::new(),
            durations: DurationTable::default(),
            mean_work_by_queue: HashMap::new(),
            recent_arrivals: VecDeque::new(),
            actions: Vec::new(),
            events: Vec::new(),
            dirty: BTreeSet::new(),
            withheld: WithheldProgress::default(),
            early_cancellations: BTreeMap::new(),
            unconfirmed_workers: HashMap::new(),
            unreached_workers: Vec::new(),
            stops_visible_from: Duration::ZERO,
            recovering: false,
            ranking: crate::ranking::StepRanking::default(),
            plan: crate::planning::PlanState::default(),
            last_scan: Duration::ZERO,
            scan_needed: true,
            last_placement: Duration::ZERO,
            placement_needed: true,
            unheld: UnheldSteps::default(),
            crashes: CrashTable::default(),
            health_rates: HealthRates::default(),
            caps: CapState::default(),
            next_incarnations: HashMap::new(),
            ended: BTreeSet::new(),
            memory: CellMemory::default(),
            round: PlacementRound::default(),
            work: WorkCounters::default(),
        }
    }

    /// Sets the policies of queues. A queue that was removed from the configuration keeps its
    /// policy for the jobs that it still has.
    pub fn set_queues(&mut self, queues: impl IntoIterator<Item = (String, QueuePolicy)>) {
        self.queues.extend(queues);
    }

    /// Sets the terms of the workspaces. One that was removed from the configuration keeps its last
    /// terms for the jobs that it still has.
    pub fn set_workspaces(
        &mut self,
        workspaces: impl IntoIterator<Item = (WorkspaceName, WorkspacePolicy)>,
    ) {
        (self.workspaces.get_or_insert_default()).extend(workspaces);
        self.placement_needed = true;
    }

    /// Returns the resources that the runs of each workspace reserve in this cell. Runs count until
    /// they are certain not to run, now or later.
    pub fn usage_by_workspace(&self) -> BTreeMap<WorkspaceName, ResourceAmount> {
        let mut usage: BTreeMap<WorkspaceName, ResourceAmount> = BTreeMap::new();
        for (task, run) in self.workers.values().flat_map(|worker| &worker.runs) {
            let workspace = (self.jobs.get(&task.job)).and_then(|job| job.record.workspace.clone());
            if let Some(workspace) = workspace {
                let used = usage.entry(workspace).or_default();
                *used = used.plus(&run.amount);
            }
        }
        usage
    }

    /// Returns the policy of a queue.
    pub fn policy(&self, queue: &str) -> QueuePolicy {
        self.queues.get(queue).cloned().unwrap_or_default()
    }

    /// Adds a stored job. Does nothing if the job is already known.
    pub fn add_job(&mut self, record: JobRecord, now: Duration, wall_ms: u64) {
        let id = record.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut entry = JobEntry::new(record, now);
        self.apply_early_cancellation(id, &mut entry);
        self.end_delegation(id, &mut entry);
        self.insert_job(id, entry, now, wall_ms);
    }

    pub(crate) fn insert_job(
        &mut self,
        id: JobId,
        mut entry: JobEntry,
        now: Duration,
        wall_ms: u64,
    ) {
        if entry.is_ended() {
            entry.release_tasks();
            self.ended.insert((entry.ended_ms, id));
        } else {
            self.open_jobs.insert(id);
            self.scheduled_jobs.insert(id);
        }
        self.jobs.insert(id, entry);
        self.release_memory(id);
        self.update_charge(id);
        self.charge_earlier_runs(id);
        self.open_due_occurrences(id, now, wall_ms);
        self.placement_needed = true;
    }

    /// Adds the open steps of a job that have tasks to place.
    pub(crate) fn add_ready_steps(&mut self, id: JobId) {
        let numbers: Vec<u32> = (self.jobs.get(&id))
            .map_or_else(Vec::new, |job| job.occurrences.keys().copied().collect());
        for number in numbers {
            self.add_ready_steps_of(id, number);
        }
    }

    /// Adds the open steps of an occurrence that have tasks to place.
    pub(crate) fn add_ready_steps_of(&mut self, id: JobId, number: u32) {
        let job = self.jobs.get(&id).filter(|job| !job.is_ended());
        let Some(occurrence) = job.and_then(|job| job.occurrences.get(&number)) else {
            return;
        };
        for (step_number, step) in occurrence.steps.iter().enumerate() {
            if step.open && step.idle > 0 {
                let key = (id, number, step_number as u16);
                if self.ready.insert(key) {
                    self.ranking.added.push(key);
                }
            }
        }
    }

    /// Ends a job and stops its runs.
    pub(crate) fn end_job(&mut self, id: JobId, state: JobState, now: Duration, wall_ms: u64) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_ended()) else {
            return;
        };
        let critical_path = self.total_critical_path(&job.record);
        let objective = objective(&self.policy(&job.record.queue), critical_path);
        self.events.push(CellEvent::JobEnded {
            job: id,
            state,
            age: now.saturating_sub(job.accepted_at),
            waited: (job.first_start_at).map(|start| start.saturating_sub(job.accepted_at)),
            objective,
        });
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.state = state;
        job.ended_ms = wall_ms;
        let mut placed = Vec::new();
        for (occurrence, entry) in job.release_tasks() {
            for (step, tasks) in entry.steps.iter().enumerate() {
                for (index, task) in tasks.tasks.iter().enumerate() {
                    if let TaskPhase::Placed(worker) = task.phase {
                        let key = TaskKey {
                            job: id,
                            occurrence,
                            step: step as u16,
                            index: index as u32,
                        };
                        placed.push((worker, key));
                    }
                }
            }
        }
        self.open_jobs.remove(&id);
        self.scheduled_jobs.remove(&id);
        let first = (id, 0, 0);
        let last = (id, u32::MAX, u16::MAX);
        let steps: Vec<StepKey> = self.ready.range(first..=last).copied().collect();
        for step in steps {
            self.ready.remove(&step);
        }
        self.ended.insert((wall_ms, id));
        self.dirty.insert(id);
        self.update_charge(id);
        for (worker, task) in placed {
            self.order_stop(worker, task);
        }
    }

    /// Returns the phase of a job; `None` for an unknown job.
    pub fn job_phase(&self, id: JobId) -> Option<JobPhase> {
        let job = self.jobs.get(&id)?;
        Some(match job.state {
            JobState::Open if job.started => JobPhase::Running,
            JobState::Open => JobPhase::Queued,
            // A takeover could undo an end that is not stored.
            state if job.stored_state == state => JobPhase::Ended(state),
            _ => JobPhase::Running,
        })
    }

    /// Returns the record of an accepted or delegated job.
    pub fn record(&self, id: JobId) -> Option<&JobRecord> {
        let delegated = || self.delegations.record(id).map(|record| &record.job);
        (self.jobs.get(&id).map(|job| job.record.as_ref())).or_else(delegated)
    }

    /// Returns the number of a queue's jobs for which no task has started.
    pub fn waiting(&self, queue: &str) -> u64 {
        (self.open_jobs.iter())
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| !job.started && job.record.queue == queue)
            .count() as u64
    }

    /// Returns the numbers of open jobs, open steps with tasks to place, and runs.
    pub fn sizes(&self) -> (usize, usize, usize) {
        let runs = self.workers.values().map(|worker| worker.runs.len()).sum();
        (self.open_jobs.len(), self.ready.len(), runs)
    }

    /// Returns the numbers of occurrences that are kept of open jobs, and of their tasks.
    pub fn open_tasks(&self) -> (usize, usize) {
        let jobs = (self.open_jobs.iter()).filter_map(|id| self.jobs.get(id));
        (jobs.flat_map(|job| job.occurrences.values())).fold(
            (0, 0),
            |(occurrences, tasks), occurrence| {
                let own: usize = (occurrence.steps.iter()).map(|step| step.tasks.len()).sum();
                (occurrences + 1, tasks + own)
            },
        )
    }

    /// Returns the work of the decisions since the cell was created.
    pub fn decision_work(&self) -> DecisionWork {
        self.work.get()
    }

    /// Returns the statistics of each queue: learned durations of tasks, and the mean processor
    /// time of a job in core-seconds. Begins with the queue that was used last.
    pub fn queue_statistics(&self) -> Vec<(String, QueueDuration, f64)> {
        (self.durations.learned().into_iter())
            .map(|(queue, duration)| (queue.clone(), duration, self.mean_work(queue)))
            .collect()
    }

    /// Restores the statistics that a former owner learned of a queue. `work` is in core-seconds.
    pub fn restore_queue_statistics(&mut self, queue: &str, duration: QueueDuration, work: f64) {
        self.durations.restore(queue, duration);
        if work > 0.0 && work.is_finite() {
            self.mean_work_by_queue.insert(queue.to_owned(), work);
        }
    }

    /// Advances time: opens occurrences, releases runs whose leases expired, resends orders, and
    /// places tasks if `may_start`. An owner whose ownership is unconfirmed may have lost the
    /// cell and must not start tasks.
    pub fn tick(&mut self, now: Duration, wall_ms: u64, may_start: bool) {
        let scheduled: Vec<JobId> = self.scheduled_jobs.iter().copied().collect();
        for id in scheduled {
            self.open_due_occurrences(id, now, wall_ms);
        }
        self.finish_recovery(now);
        if self.scan_needed || now.saturating_sub(self.last_scan) >= SCAN_PERIOD {
            self.scan_needed = false;
            self.last_scan = now;
            self.release_expired_runs(now);
            self.resend_orders(now);
            self.move_stalled_runs(now);
            self.drain_leaving_workers(now);
            self.review_suspects(now);
            self.review_lasting_runs(now);
            self.review_workers(now);
        }
        self.apply_crashes(now, wall_ms);
        if may_start {
            self.place_tasks(now);
        }
    }

    /// Releases the runs of unresponsive workers whose leases have expired for certain.
    fn release_expired_runs(&mut self, now: Duration) {
        let expired: Vec<WorkerKey> = (self.workers.iter())
            .filter(|(_, worker)| !worker.runs.is_empty() && !worker.responded_recently(now))
            .filter(|(_, worker)| worker.leases_expired(now))
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            self.record_crash(key, false);
            let tasks: Vec<TaskKey> = self.workers[key].runs.keys().copied().collect();
            for task in tasks {
                self.release_run(key, task, ReleaseCause::LeaseExpired);
            }
        }
    }

    /// Resends starts and stops that have no response.
    fn resend_orders(&mut self, now: Duration) {
        let mut repeats = Vec::new();
        for (key, worker) in &self.workers {
            self.work.add_runs(worker.runs.len());
            for (task, run) in &worker.runs {
                let is_due = !run.in_flight && now.saturating_sub(run.ordered_at) >= RESEND_DELAY;
                if is_due && matches!(run.stage, RunStage::Starting | RunStage::Stopping) {
                    repeats.push((key, *task, run.stage));
                }
            }
        }
        for (key, task, stage) in repeats {
            match stage {
                RunStage::Starting => self.resend_start(key, task, now),
                _ => self.send_stop(key, task, now),
            }
        }
    }

    /// Takes the log events since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// Takes the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<CellAction> {
        std::mem::take(&mut self.actions)
    }

    /// Describes the placement of a task, for the state dump and for traces.
    pub fn describe_task(&self, task: TaskKey) -> String {
        let entry = self.task(task);
        let runs: Vec<String> = (self.workers.values())
            .filter_map(|worker| Some((worker, worker.runs.get(&task)?)))
            .map(|(worker, run)| {
                let started_ms = worker.entry.started_ms;
                format!(
                    "run {} {:?} at {} born {started_ms}",
                    run.run, run.stage, worker.entry.worker
                )
            })
            .collect();
        format!(
            "{:?} {runs:?}",
            entry.map(|entry| (entry.phase, &entry.failed_runs))
        )
    }

    /// Returns a summary for the state dump: workers with their runs and leases.
    pub fn summary(&self, now: Duration) -> BTreeMap<String, String> {
        (self.workers.values())
            .map(|worker| {
                let text = format!(
                    "runs {} reserved {} of {} mcores, contact {:?} ago, failures {}, usable {}",
                    worker.runs.len(),
                    worker.reserved.cpu,
                    worker.entry.capacity.cpu,
                    worker.last_contact.map(|at| now.saturating_sub(at)),
                    worker.health.streak.failures(),
                    worker.is_usable(now),
                );
                (worker.entry.worker.clone(), text)
            })
            .collect()
    }
}
