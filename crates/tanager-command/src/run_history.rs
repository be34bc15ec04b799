//! Finds in the log lines of all nodes the runs of one task that may have overlapped or repeated
//! finished work, and the ends that no owner read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tanager_jobs::TaskKey;

use crate::log_fields::seconds;
use crate::log_report::FindingLevel;
use crate::run_log::RunEvent;
use crate::run_log::RunLine;
use crate::run_log::RunStep;
use crate::run_log::StartResult;

/// The time at which an order was sent is the difference of two times rounded to milliseconds. The
/// lines of a node are in order, and what one owner knew reaches the next through the store, so a
/// longer tolerance would only hide overlaps of a few milliseconds.
const ROUNDING_MS: u64 = 2;
/// Time after which an order or renewal without a response is not carried out any more.
pub(crate) const MAX_EXECUTION_DELAY_MS: u64 = 13_000;

/// A worker with the start of one of its incarnations in milliseconds since 1970, 0 if unknown.
pub type WorkerIncarnation = (String, u64);

/// What was found.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FindingKind {
    /// A run was started while an earlier one on another worker may still have run.
    Overlap,
    /// A run was started after the end of one that was done.
    StartAfterDone,
    /// Two runs ended as done.
    DoneTwice,
    /// A renewal acknowledged ends that no owner has read.
    UnreadEnds,
}

/// A pair of runs of one task, or a range of ends of one worker.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    /// Severity.
    pub level: FindingLevel,
    /// Kind.
    pub kind: FindingKind,
    /// Task; `None` for ends whose tasks are unknown.
    pub task: Option<TaskKey>,
    /// Explanation with runs, workers and times.
    pub text: String,
}

/// A run of a task on one incarnation of a worker, as the logs show it.
#[derive(Clone, Debug, Default)]
struct Execution {
    run: u64,
    worker: String,
    born: u64,
    cell: String,
    /// Highest token of the owners that ordered or saw it.
    token: u64,
    /// Time at which the first order was sent that may have started it.
    ordered_ms: Option<u64>,
    /// Time of the first sight of it: an accepted order, a report or its end.
    seen_ms: Option<u64>,
    /// Time of the last order without a response.
    unanswered_ms: Option<u64>,
    end: Option<(u64, String, u64)>,
    stopped_ms: Option<u64>,
    /// First release for each cause.
    released: BTreeMap<String, u64>,
}

/// What ended a run, or makes that likely.
enum Clearance {
    Certain,
    Assumed(&'static str),
    None,
}

/// The runs of all tasks and the incarnations of all workers.
#[derive(Debug, Default)]
pub struct RunHistory {
    tasks: BTreeMap<TaskKey, Vec<Execution>>,
    /// Lines of each task, ordered by time.
    lines: BTreeMap<TaskKey, Vec<RunLine>>,
    /// Acknowledgements: time, number and token, by time.
    pub(crate) acknowledged: BTreeMap<WorkerIncarnation, Vec<(u64, u64, u64)>>,
    /// Ends that were read: number with time and token of the first reading.
    pub(crate) ends: BTreeMap<WorkerIncarnation, BTreeMap<u64, (u64, u64)>>,
    /// Incarnations of each worker with the time at which a line first named them.
    incarnations: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Times at which incarnations were known to have ended.
    replaced: BTreeMap<WorkerIncarnation, u64>,
    /// Takeovers that ended: time, cell, token and the workers whose leases had to expire.
    recoveries: Vec<(u64, String, u64, Vec<String>)>,
}

impl RunHistory {
    /// Arranges the lines of all nodes, which must be ordered by time.
    pub fn new(lines: &[RunLine]) -> Self {
        let mut history = Self::default();
        for line in lines {
            history.add(line);
        }
        history
    }

    fn add(&mut self, line: &RunLine) {
        let incarnation = (line.worker.clone(), line.born);
        if line.born > 0 {
            let seen = self.incarnations.entry(line.worker.clone()).or_default();
            seen.entry(line.born).or_insert(line.time_ms);
        }
        match &line.event {
            RunEvent::Run { task, run, step } => {
                self.lines.entry(*task).or_default().push(line.clone());
                if let RunStep::Ended { number, .. } = step {
                    let ends = self.ends.entry(incarnation).or_default();
                    ends.entry(*number).or_insert((line.time_ms, line.token));
                }
                add_step(self.tasks.entry(*task).or_default(), line, *run, step);
            }
            RunEvent::Acknowledged(number) => {
                let entry = (line.time_ms, *number, line.token);
                self.acknowledged
                    .entry(incarnation)
                    .or_default()
                    .push(entry);
            }
            RunEvent::Replaced(born_before) => {
                let incarnation = (line.worker.clone(), *born_before);
                self.replaced.entry(incarnation).or_insert(line.time_ms);
            }
            RunEvent::Linked => {}
            RunEvent::LeasesExpired(workers) => {
                let (cell, workers) = (line.cell.clone(), workers.clone());
                (self.recoveries).push((line.time_ms, cell, line.token, workers));
            }
        }
    }

    /// Returns the tasks of which the logs have lines.
    pub fn tasks(&self) -> impl Iterator<Item = TaskKey> + '_ {
        self.lines.keys().copied()
    }

    /// Returns the number of ends that were read.
    pub fn end_count(&self) -> usize {
        self.ends.values().map(BTreeMap::len).sum()
    }

    /// Returns the lines of a task, ordered by time.
    pub fn lines_of(&self, task: TaskKey) -> &[RunLine] {
        self.lines.get(&task).map_or(&[], Vec::as_slice)
    }

    /// Returns time in milliseconds since 1970, number and token of the first renewal that
    /// acknowledged an end.
    pub fn acknowledgement(&self, worker: &str, born: u64, number: u64) -> Option<(u64, u64, u64)> {
        let entries = self.acknowledged.get(&(worker.to_owned(), born))?;
        (entries.iter())
            .find(|(_, acknowledged, _)| *acknowledged >= number)
            .copied()
    }

    /// Returns all findings, faults first.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = BTreeSet::new();
        for (&task, executions) in &self.tasks {
            self.find_overlaps(task, executions, &mut findings);
            self.find_repetitions(task, executions, &mut findings);
        }
        self.find_unread_ends(&mut findings);
        findings.into_iter().collect()
    }

    fn find_overlaps(
        &self,
        task: TaskKey,
        executions: &[Execution],
        findings: &mut BTreeSet<Finding>,
    ) {
        let mut started: Vec<(u64, &Execution)> = (executions.iter())
            .filter_map(|execution| Some((execution.start_ms()?, execution)))
            .collect();
        started.sort_by_key(|(start, execution)| (*start, execution.run));
        for (number, (_, first)) in started.iter().enumerate() {
            for (start, second) in &started[number + 1..] {
                // A worker runs one run of a task at a time, and its incarnations follow each other.
                if first.worker == second.worker {
                    continue;
                }
                let level = match self.clearance(first, *start) {
                    Clearance::Certain => continue,
                    Clearance::Assumed(reason) => (FindingLevel::NearMiss, reason),
                    Clearance::None => (FindingLevel::Fault, "nothing shows that it had ended"),
                };
                let (level, reason) = level;
                findings.insert(Finding {
                    level,
                    kind: FindingKind::Overlap,
                    task: Some(task),
                    text: format!(
                        "{second} started at {} beside {first}: {reason}{}",
                        seconds(*start),
                        first.later_end(*start)
                    ),
                });
            }
        }
    }

    /// Returns what had ended a run when another one was started at `start`.
    fn clearance(&self, first: &Execution, start: u64) -> Clearance {
        let limit = start + ROUNDING_MS;
        let is_before = |time: Option<u64>| time.is_some_and(|time| time <= limit);
        let released = |cause: &str| is_before(first.released.get(cause).copied());
        let end_ms = first.end.as_ref().map(|(time, _, _)| *time);
        if is_before(end_ms) || is_before(first.stopped_ms) {
            return Clearance::Certain;
        }
        let later_incarnation = (self.incarnations.get(&first.worker))
            .filter(|_| first.born > 0)
            .and_then(|seen| seen.range(first.born + 1..).map(|(_, time)| *time).min());
        let incarnation = (first.worker.clone(), first.born);
        let replaced = [later_incarnation, self.replaced.get(&incarnation).copied()];
        let replaced_ms = replaced.into_iter().flatten().min();
        let may_reach_next = (first.unanswered_ms.zip(replaced_ms)).is_some_and(|(sent, ended)| {
            ended < sent + MAX_EXECUTION_DELAY_MS && limit < sent + MAX_EXECUTION_DELAY_MS
        });
        if is_before(replaced_ms) || released("WorkerRestarted") {
            return Clearance::Assumed(match may_reach_next {
                true => {
                    "its worker had restarted, and an order without a response may have reached \
                     the next incarnation"
                }
                false => "its worker had restarted",
            });
        }
        let mut recoveries = (self.recoveries.iter()).filter(|(time, cell, token, _)| {
            *time <= limit && *cell == first.cell && *token > first.token
        });
        let is_expired = (recoveries.clone()).any(|(.., workers)| workers.contains(&first.worker));
        if is_expired || released("LeaseExpired") {
            return Clearance::Assumed("its lease had expired on an unresponsive worker");
        }
        if released("Unlisted") {
            return Clearance::Assumed("a report of its worker did not list it");
        }
        match first.seen_ms.is_none() && recoveries.next().is_some() {
            true => Clearance::Assumed("it was never seen, and another owner had taken over"),
            false => Clearance::None,
        }
    }

    fn find_repetitions(
        &self,
        task: TaskKey,
        executions: &[Execution],
        findings: &mut BTreeSet<Finding>,
    ) {
        for first in executions {
            let Some((done_ms, number)) = first.done() else {
                continue;
            };
            let acknowledgement = self.acknowledgement(&first.worker, first.born, number);
            for second in executions {
                if first.is_same(second) {
                    continue;
                }
                let both_done = second.done().is_some_and(|(time, _)| time >= done_ms);
                let started_later =
                    (second.ordered_ms).filter(|ordered| *ordered > done_ms + ROUNDING_MS);
                let (level, kind) = match (both_done, started_later, acknowledgement) {
                    (true, _, _) => (FindingLevel::Fault, FindingKind::DoneTwice),
                    (_, Some(_), Some(_)) => (FindingLevel::Fault, FindingKind::StartAfterDone),
                    (_, Some(_), None) => (FindingLevel::NearMiss, FindingKind::StartAfterDone),
                    (_, None, _) => continue,
                };
                let acknowledged = match acknowledgement {
                    Some((time, _, token)) => {
                        format!("acknowledged at {} by token {token}", seconds(time))
                    }
                    None => "not acknowledged".to_owned(),
                };
                let ordered = match second.ordered_ms {
                    Some(time) => format!("ordered at {}", seconds(time)),
                    None => "without an order in the logs".to_owned(),
                };
                findings.insert(Finding {
                    level,
                    kind,
                    task: Some(task),
                    text: format!(
                        "{first} was done at {} (end {number}, {acknowledged}); {second}, {ordered}",
                        seconds(done_ms)
                    ),
                });
            }
        }
    }
}

fn add_step(executions: &mut Vec<Execution>, line: &RunLine, run: u64, step: &RunStep) {
    let of_worker =
        |execution: &&mut Execution| execution.run == run && execution.worker == line.worker;
    match step {
        // Orders to a former incarnation are stopped on the next one, and releases name none.
        RunStep::Stopped(is_confirmed) => {
            for execution in executions.iter_mut().filter(of_worker) {
                if *is_confirmed {
                    execution.stopped_ms.get_or_insert(line.time_ms);
                }
            }
            return;
        }
        RunStep::Released(cause) => {
            for execution in executions.iter_mut().filter(of_worker) {
                let released = &mut execution.released;
                released.entry(cause.clone()).or_insert(line.time_ms);
            }
            return;
        }
        _ => {}
    }
    let is_known = |execution: &Execution| {
        execution.run == run && execution.worker == line.worker && execution.born == line.born
    };
    let index = (executions.iter().position(is_known)).unwrap_or_else(|| {
        executions.push(Execution {
            run,
            worker: line.worker.clone(),
            born: line.born,
            cell: line.cell.clone(),
            ..Execution::default()
        });
        executions.len() - 1
    });
    let execution = &mut executions[index];
    execution.token = execution.token.max(line.token);
    match step {
        RunStep::Ordered {
            result, after_ms, ..
        } => {
            let sent = line.time_ms.saturating_sub(*after_ms);
            match result {
                StartResult::Accepted => {
                    execution.seen_ms.get_or_insert(line.time_ms);
                    execution.ordered_ms.get_or_insert(sent);
                }
                StartResult::Unanswered => {
                    execution.unanswered_ms = Some(sent);
                    execution.ordered_ms.get_or_insert(sent);
                }
                StartResult::Refused(_) => {}
            }
        }
        RunStep::Ended { cause, number } => {
            execution.seen_ms.get_or_insert(line.time_ms);
            if execution.end.is_none() {
                execution.end = Some((line.time_ms, cause.clone(), *number));
            }
        }
        _ => {
            execution.seen_ms.get_or_insert(line.time_ms);
        }
    }
}

impl Execution {
    /// Returns when it may have started; `None` if it certainly did not.
    fn start_ms(&self) -> Option<u64> {
        match (self.ordered_ms, self.seen_ms) {
            (Some(ordered), Some(seen)) => Some(ordered.min(seen)),
            (ordered, seen) => ordered.or(seen),
        }
    }

    /// Returns time and number of its end if it was done.
    fn done(&self) -> Option<(u64, u64)> {
        let (time, cause, number) = self.end.as_ref()?;
        (cause == "Done").then_some((*time, *number))
    }

    fn is_same(&self, other: &Self) -> bool {
        self.run == other.run && self.worker == other.worker && self.born == other.born
    }

    /// Describes its end if it was read after `start`.
    fn later_end(&self, start: u64) -> String {
        match &self.end {
            Some((time, cause, _)) if *time > start => {
                format!("; its end ({cause}) was read at {}", seconds(*time))
            }
            _ => String::new(),
        }
    }
}

impl std::fmt::Display for Execution {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            run, worker, born, ..
        } = self;
        write!(formatter, "run {run} on {worker} born {born}")
    }
}
