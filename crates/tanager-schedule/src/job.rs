//! Jobs, occurrences, steps and tasks as tracked by the cell.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tanager_jobs::JobRecord;
use tanager_jobs::JobState;
use tanager_jobs::OccurrenceProgress;
use tanager_jobs::OccurrenceSet;
use tanager_jobs::ProgressRecord;
use tanager_jobs::StepSpec;
use tanager_jobs::TaskProgress;
use tanager_jobs::ids::RunNumber;
use tanager_jobs::record::decode_done;
use tanager_jobs::record::encode_done;

use crate::advice::StepAdvice;
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
    /// Occurrences that were opened, done ones included.
    pub occurrences: BTreeMap<u32, OccurrenceEntry>,
    /// Number of occurrences opened so far.
    pub opened_count: u32,
}

/// An occurrence of a job.
#[derive(Debug)]
pub struct OccurrenceEntry {
    /// Due time on the process's clock.
    pub due: Duration,
    /// Steps; empty once all tasks are done.
    pub steps: Vec<StepEntry>,
    /// Whether all tasks are done.
    pub done: bool,
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
            record: Arc::new(record),
            state: JobState::Open,
            stored_state: JobState::Open,
            ended_ms: 0,
            accepted_at: now,
            started: false,
            first_start_at: None,
            occurrences: BTreeMap::new(),
            opened_count: 0,
        }
    }

    /// Returns whether the job has ended.
    pub fn is_ended(&self) -> bool {
        self.state != JobState::Open
    }

    /// Opens an occurrence that became due.
    pub fn open_occurrence(&mut self, number: u32, due: Duration) {
        let steps = (self.record.spec.steps.iter())
            .map(|spec| StepEntry::new(spec, spec.after.is_empty()))
            .collect();
        let occurrence = OccurrenceEntry {
            due,
            steps,
            done: false,
        };
        self.occurrences.insert(number, occurrence);
        self.opened_count = self.opened_count.max(number + 1);
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
        let done = self.occurrences.iter().filter(|(_, entry)| entry.done);
        ProgressRecord {
            done_occurrences: OccurrenceSet::from_ascending(done.map(|(number, _)| *number)),
            occurrences: (self.occurrences.iter().filter(|(_, entry)| !entry.done))
                .map(|(number, entry)| (*number, entry.progress()))
                .filter(|(_, progress)| *progress != OccurrenceProgress::default())
                .collect(),
            ..ended
        }
    }

    /// Restores stored progress and opens the occurrences that have progress.
    pub fn restore(&mut self, progress: &ProgressRecord, due: impl Fn(u32) -> Duration) {
        self.state = progress.state;
        self.stored_state = progress.state;
        self.ended_ms = progress.ended_ms;
        if self.is_ended() {
            return;
        }
        for (&number, stored) in &progress.occurrences {
            if number >= self.record.spec.occurrences() {
                continue;
            }
            self.started = true;
            self.open_occurrence(number, due(number));
            if let Some(occurrence) = self.occurrences.get_mut(&number) {
                occurrence.restore(stored, &self.record.spec.steps);
            }
        }
        for number in progress
            .done_occurrences
            .numbers(self.record.spec.occurrences())
        {
            self.started = true;
            self.open_occurrence(number, due(number));
            if let Some(occurrence) = self.occurrences.get_mut(&number) {
                occurrence.set_done();
            }
        }
        // Occurrences below the highest one were open as well, without progress to store.
        for number in 0..self.opened_count {
            if !self.occurrences.contains_key(&number) {
                self.open_occurrence(number, due(number));
            }
        }
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

    fn set_done(&mut self) {
        self.done = true;
        self.steps.clear();
    }

    fn restore(&mut self, stored: &OccurrenceProgress, specs: &[StepSpec]) {
        if stored.done {
            self.set_done();
            return;
        }
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
