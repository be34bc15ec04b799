//! Jobs, occurrences, steps and tasks as tracked by the cell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::OccurrenceProgress;
use tanager_jobs::ProgressRecord;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskKey;
use tanager_jobs::TaskProgress;
use tanager_jobs::ids::RunNumber;
use tanager_jobs::record::decode_done;
use tanager_jobs::record::encode_done;

use crate::advice::StepAdvice;
use crate::cell_memory::JobCharge;
use crate::done_occurrences::DoneOccurrences;
use crate::memory_cost::JobCost;
use crate::worker::WorkerKey;

/// In-memory state of a job.
#[derive(Debug)]
pub struct JobEntry {
    /// The record as accepted.
    pub record: Arc<JobRecord>,
    /// Current state, which may not be stored yet.
    pub state: JobState,
    /// Last stored state.
    pub stored_state: JobState,
    /// Time at which the job ended, in milliseconds since 1970; 0 while it is open.
    pub ended_ms: u64,
    /// Time of acceptance on the process's clock.
    pub accepted_at: Duration,
    /// Whether a task has started.
    pub started: bool,
    /// First start that this owner saw confirmed.
    pub first_start_at: Option<Duration>,
    /// Open occurrences, which are not done.
    pub occurrences: BTreeMap<u32, OccurrenceEntry>,
    /// Occurrences whose tasks are all done.
    pub done: DoneOccurrences,
    /// Stored progress of occurrences that are not open.
    pub stored_progress: BTreeMap<u32, OccurrenceProgress>,
    /// All occurrences below this number were opened in turn.
    pub next_occurrence: u32,
    /// A former owner may have opened the occurrences below this number.
    pub formerly_due: u32,
    /// Memory of the job.
    pub(crate) cost: JobCost,
    /// What of it is counted at present.
    pub(crate) charge: JobCharge,
}

/// An occurrence of a job.
#[derive(Debug)]
pub struct OccurrenceEntry {
    /// Due time on the process's clock; zero if it was due before that clock began.
    pub due: Duration,
    /// Time from the due time to the beginning of the process's clock; zero if it was due later.
    pub due_before_clock: Duration,
    /// Steps.
    pub steps: Vec<StepEntry>,
}

/// A step of an occurrence.
#[derive(Debug)]
pub struct StepEntry {
    /// Tasks by index.
    pub tasks: Vec<TaskEntry>,
    /// Number of tasks that are not done.
    pub unfinished: u32,
    /// Number of tasks that may be placed once the step is open.
    pub idle: u32,
    /// Whether all earlier steps are done.
    pub open: bool,
    /// Whether a gang's runs are being stopped before they start again together.
    pub gang_restarting: bool,
    /// Results of the advice service, if the queue requires advice.
    pub advice: StepAdvice,
}

/// Placement of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TaskPhase {
    /// Not placed.
    #[default]
    Idle,
    /// The task may be running on a worker that has not reported to the new owner yet.
    Unaccounted,
    /// Placed on a worker, whose run slot has the details.
    Placed(WorkerKey),
    /// Done.
    Done,
}

/// A worker on which a task failed or stalled.
#[derive(Clone, Copy, Debug)]
pub struct AvoidedWorker {
    /// Worker.
    pub worker: WorkerKey,
    /// Time of the failure.
    pub since: Duration,
}

/// State of a task.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// Phase.
    pub phase: TaskPhase,
    /// Runs that ended as failed.
    pub failed_runs: Vec<RunNumber>,
    /// Highest run number used.
    pub run: RunNumber,
    /// Highest run that has ended.
    pub ended_run: RunNumber,
    /// Newest checkpoint.
    pub checkpoint: String,
    /// Worker on which the task last failed or stalled.
    pub avoided: Option<AvoidedWorker>,
    /// Crashes of workers under a young run of the task, since a run last survived.
    pub crashes: u32,
    /// Crashes among them under an isolated run.
    pub isolated_crashes: u32,
    /// Highest run counted in `crashes`.
    pub crashed_run: RunNumber,
    /// Last run that started while `crashes` was not zero, or whose worker did not respond.
    pub suspect_run: RunNumber,
    /// Whether no worker became free for an isolated run, so that the next run is not isolated.
    pub isolation_failed: bool,
}

impl TaskEntry {
    /// Returns whether anything about the task must be stored.
    fn has_progress(&self) -> bool {
        self.ended_run > 0 || self.crashed_run > 0 || self.suspect_run > 0
    }
}

impl JobEntry {
    /// Creates the entry of a newly accepted job.
    pub fn new(record: JobRecord, now: Duration) -> Self {
        Self {
            cost: JobCost::of(&record),
            charge: JobCharge::default(),
            record: Arc::new(record),
            state: JobState::Open,
            stored_state: JobState::Open,
            ended_ms: 0,
            accepted_at: now,
            started: false,
            first_start_at: None,
            occurrences: BTreeMap::new(),
            done: DoneOccurrences::default(),
            stored_progress: BTreeMap::new(),
            next_occurrence: 0,
            formerly_due: 0,
        }
    }

    /// Returns whether the job has ended.
    pub fn is_ended(&self) -> bool {
        self.state != JobState::Open
    }

    /// Releases what an ended job needs no more, and returns its open occurrences. The job itself is kept until its
    /// status is forgotten.
    pub(crate) fn release_tasks(&mut self) -> BTreeMap<u32, OccurrenceEntry> {
        self.stored_progress.clear();
        if !self.record.spec.specification.is_empty() {
            let mut record = JobRecord::clone(&self.record);
            record.spec.specification = String::new();
            self.record = Arc::new(record);
        }
        std::mem::take(&mut self.occurrences)
    }

    /// Returns the first occurrence that is neither open nor done.
    pub(crate) fn next_unopened(&self) -> u32 {
        let mut number = self.next_occurrence.max(self.done.first_missing());
        while self.done.contains(number) || self.occurrences.contains_key(&number) {
            number += 1;
        }
        number
    }

    /// Returns the number of tasks of open occurrences that wait to be placed.
    pub(crate) fn waiting_tasks(&self) -> usize {
        (self.occurrences.values())
            .map(OccurrenceEntry::waiting_tasks)
            .sum()
    }

    /// Opens an occurrence with what is stored of it.
    pub(crate) fn open_occurrence(&mut self, number: u32, now: Duration, wall_ms: u64) {
        let overdue = (self.record.spec.due_ms(number))
            .map(|due_ms| Duration::from_millis(wall_ms.saturating_sub(due_ms)));
        let due = overdue.map_or(self.accepted_at, |overdue| now.saturating_sub(overdue));
        let specs = &self.record.spec.steps;
        let steps = (specs.iter())
            .map(|spec| StepEntry::new(spec, spec.after.is_empty()))
            .collect();
        let mut occurrence = OccurrenceEntry {
            due,
            due_before_clock: overdue.map_or(Duration::ZERO, |overdue| overdue.saturating_sub(now)),
            steps,
        };
        if let Some(stored) = self.stored_progress.remove(&number) {
            occurrence.restore(&stored, specs);
        }
        self.occurrences.insert(number, occurrence);
    }

    /// Marks the tasks of an open occurrence that may run on workers of a former owner; returns those under which
    /// a worker has crashed.
    pub(crate) fn mark_unaccounted(&mut self, number: u32) -> Vec<TaskKey> {
        let mut suspects = Vec::new();
        let Some(occurrence) = self.occurrences.get_mut(&number) else {
            return suspects;
        };
        // Includes steps that are not open: the former owner may have opened them after ends that are not
        // stored.
        for (step_number, step) in occurrence.steps.iter_mut().enumerate() {
            for index in 0..step.tasks.len() {
                if step.tasks[index].phase == TaskPhase::Idle {
                    step.set_phase(index, TaskPhase::Unaccounted);
                }
                if step.tasks[index].crashes > 0 {
                    suspects.push(TaskKey {
                        job: self.record.id,
                        occurrence: number,
                        step: step_number as u16,
                        index: index as u32,
                    });
                }
            }
        }
        suspects
    }

    /// Returns the progress to store.
    pub fn progress(&self) -> ProgressRecord {
        let ended = ProgressRecord {
            state: self.state,
            ended_ms: self.ended_ms,
            ..ProgressRecord::default()
        };
        // An ended job needs no progress of its tasks.
        if self.is_ended() {
            return ended;
        }
        let open = (self.occurrences.iter())
            .map(|(number, entry)| (*number, entry.progress()))
            .filter(|(_, progress)| *progress != OccurrenceProgress::default());
        let mut occurrences = self.stored_progress.clone();
        occurrences.extend(open);
        ProgressRecord {
            done_occurrences: self.done.to_set(),
            occurrences,
            ..ended
        }
    }

    /// Restores stored progress. `due` is the number of occurrences that are due, which a former owner may
    /// have opened.
    pub fn restore(&mut self, progress: &ProgressRecord, due: u32) {
        self.state = progress.state;
        self.stored_state = progress.state;
        self.ended_ms = progress.ended_ms;
        if self.is_ended() {
            return;
        }
        let total = self.record.spec.occurrences();
        self.done = DoneOccurrences::from_set(&progress.done_occurrences, total);
        for (&number, stored) in progress.occurrences.range(..total) {
            // Rows of earlier versions have done occurrences here.
            match stored.done {
                true => self.done.insert(number),
                false => _ = self.stored_progress.insert(number, stored.clone()),
            }
        }
        self.started = self.done.count() > 0 || !self.stored_progress.is_empty();
        let last_stored = self.stored_progress.last_key_value();
        self.formerly_due = due.max(last_stored.map_or(0, |(number, _)| number + 1));
    }
}

impl OccurrenceEntry {
    fn progress(&self) -> OccurrenceProgress {
        let mut progress = OccurrenceProgress::default();
        for (number, step) in self.steps.iter().enumerate() {
            let done: Vec<bool> = (step.tasks.iter())
                .map(|task| task.phase == TaskPhase::Done)
                .collect();
            if let Some(text) = encode_done(&done) {
                progress.done_tasks.insert(number as u16, text);
            }
            for (index, task) in step.tasks.iter().enumerate() {
                if !done[index] && task.has_progress() {
                    let stored = TaskProgress {
                        failed_runs: task.failed_runs.clone(),
                        run: task.ended_run,
                        checkpoint: task.checkpoint.clone(),
                        crashes: task.crashes,
                        isolated_crashes: task.isolated_crashes,
                        crashed_run: task.crashed_run,
                        suspect_run: task.suspect_run,
                    };
                    progress.tasks.insert(format!("{number}.{index}"), stored);
                }
            }
        }
        progress
    }

    /// Returns the number of tasks of open steps that wait to be placed.
    pub(crate) fn waiting_tasks(&self) -> usize {
        let steps = self.steps.iter().filter(|step| step.open);
        steps
            .map(|step| {
                let unaccounted = (step.tasks.iter())
                    .filter(|task| task.phase == TaskPhase::Unaccounted)
                    .count();
                step.idle as usize + unaccounted
            })
            .sum()
    }

    fn restore(&mut self, stored: &OccurrenceProgress, specs: &[StepSpec]) {
        for (name, progress) in &stored.tasks {
            let Some((step, index)) = name.split_once('.') else {
                continue;
            };
            let (Ok(step), Ok(index)) = (step.parse::<usize>(), index.parse::<usize>()) else {
                continue;
            };
            let Some(entry) = self.steps.get_mut(step) else {
                continue;
            };
            let Some(task) = entry.tasks.get_mut(index) else {
                continue;
            };
            task.failed_runs.clone_from(&progress.failed_runs);
            task.run = (progress.run)
                .max(progress.suspect_run)
                .max(progress.crashed_run);
            task.ended_run = progress.run;
            task.checkpoint.clone_from(&progress.checkpoint);
            task.crashes = progress.crashes;
            task.isolated_crashes = progress.isolated_crashes;
            task.crashed_run = progress.crashed_run;
            task.suspect_run = progress.suspect_run;
        }
        for (&number, text) in &stored.done_tasks {
            let Some(step) = self.steps.get_mut(usize::from(number)) else {
                continue;
            };
            for index in decode_done(text) {
                if index < step.tasks.len() {
                    step.set_phase(index, TaskPhase::Done);
                }
            }
        }
        self.open_steps(specs);
    }

    /// Opens the steps whose predecessors are done; returns their numbers.
    pub fn open_steps(&mut self, specs: &[StepSpec]) -> Vec<u16> {
        let mut opened = Vec::new();
        for (number, spec) in specs.iter().enumerate() {
            if self.steps[number].open {
                continue;
            }
            let ready =
                (spec.after.iter()).all(|&after| self.steps[usize::from(after)].unfinished == 0);
            if ready {
                self.steps[number].open = true;
                opened.push(number as u16);
            }
        }
        opened
    }

    /// Returns whether every task is done.
    pub fn is_complete(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }
}

impl StepEntry {
    fn new(spec: &StepSpec, open: bool) -> Self {
        Self {
            tasks: vec![TaskEntry::default(); spec.count as usize],
            unfinished: spec.count,
            idle: spec.count,
            open,
            gang_restarting: false,
            advice: StepAdvice::default(),
        }
    }

    /// Sets the phase of a task and updates the counts.
    pub fn set_phase(&mut self, index: usize, phase: TaskPhase) {
        let task = &mut self.tasks[index];
        let before = std::mem::replace(&mut task.phase, phase);
        self.idle -= u32::from(before == TaskPhase::Idle);
        self.idle += u32::from(phase == TaskPhase::Idle);
        self.unfinished -= u32::from(before != TaskPhase::Done);
        self.unfinished += u32::from(phase != TaskPhase::Done);
    }
}
