//! Text of the histories of tasks and of the findings about their runs.

use std::collections::BTreeSet;

use tanager_jobs::TaskKey;

use crate::log_fields::seconds;
use crate::log_report::FindingLevel;
use crate::log_report::HistoryChoice;
use crate::log_report::LogReport;
use crate::log_report::count_of;
use crate::log_report::describe_missing;
use crate::run_history::Finding;
use crate::run_history::FindingKind;
use crate::run_history::RunHistory;
use crate::run_log::RunEvent;
use crate::run_log::RunLine;
use crate::run_log::RunLog;
use crate::run_log::RunStep;
use crate::run_log::StartResult;

/// Describes the histories of the chosen tasks and what was found about them. Ends that no owner
/// read belong to no task and are always reported.
pub fn report(log: &RunLog, choice: HistoryChoice<'_>) -> LogReport {
    let history = RunHistory::new(&log.lines);
    let includes = |task: TaskKey| {
        choice.includes(|name| task.to_string() == name || task.job.to_string() == name)
    };
    let findings: Vec<Finding> = (history.findings().into_iter())
        .filter(|finding| finding.task.is_none_or(includes))
        .collect();
    let with_faults: BTreeSet<TaskKey> = (findings.iter())
        .filter(|finding| finding.level == FindingLevel::Fault)
        .filter_map(|finding| finding.task)
        .collect();
    let mut text = String::new();
    for task in history.tasks().filter(|task| includes(*task)) {
        let is_printed = !matches!(choice, HistoryChoice::Faults) || with_faults.contains(&task);
        if is_printed {
            text.push_str(&format!("task {task}\n"));
            for line in history.lines_of(task) {
                text.push_str(&format!("  {}\n", describe(&history, line)));
            }
        }
    }
    for finding in &findings {
        text.push_str(&describe_finding(finding));
    }
    let count = |level| count_of(level, findings.iter().map(|finding| finding.level));
    let (faults, near_misses) = (count(FindingLevel::Fault), count(FindingLevel::NearMiss));
    text.push_str(&format!(
        "tasks: {}, ends: {}, faults: {faults}, near misses: {near_misses}\n",
        history.tasks().count(),
        history.end_count()
    ));
    if history.end_count() == 0 {
        text.push_str("no line of a run's end: was RUST_LOG=info,tanager::runs=debug set?\n");
    }
    text.push_str(&describe_missing(log.dropped, log.unreadable));
    LogReport {
        text,
        faults,
        near_misses,
    }
}

fn describe_finding(finding: &Finding) -> String {
    let level = finding.level;
    let kind = match finding.kind {
        FindingKind::Overlap => "overlap",
        FindingKind::StartAfterDone => "start after done",
        FindingKind::DoneTwice => "done twice",
        FindingKind::UnreadEnds => "unread ends",
    };
    let task = finding.task.map(|task| format!("{task}: "));
    format!(
        "{level}: {kind}: {}{}\n",
        task.unwrap_or_default(),
        finding.text
    )
}

fn describe(history: &RunHistory, line: &RunLine) -> String {
    let what = match &line.event {
        RunEvent::Run { run, step, .. } => {
            let step = describe_step(history, line, step);
            format!("run {run} {step}")
        }
        other => format!("{other:?}"),
    };
    format!(
        "{} {what} worker={} born={} cell={} token={} node={}",
        seconds(line.time_ms),
        line.worker,
        line.born,
        line.cell,
        line.token,
        line.node
    )
}

fn describe_step(history: &RunHistory, line: &RunLine, step: &RunStep) -> String {
    match step {
        RunStep::Ordered {
            result,
            lease_until_ms,
            after_ms,
        } => {
            let result = match result {
                StartResult::Accepted => "accepted",
                StartResult::Unanswered => "without a response",
                StartResult::Refused(answer) => answer,
            };
            let sent = seconds(line.time_ms.saturating_sub(*after_ms));
            format!("start {result}, sent={sent} lease_until_ms={lease_until_ms}")
        }
        RunStep::Adopted => "adopted".to_owned(),
        RunStep::UnknownStopped => "unknown, is being stopped".to_owned(),
        RunStep::Stopped(true) => "stop confirmed".to_owned(),
        RunStep::Stopped(false) => "stop not confirmed".to_owned(),
        RunStep::Released(cause) => format!("released ({cause})"),
        RunStep::Ended { cause, number } => {
            let acknowledgement = history.acknowledgement(&line.worker, line.born, *number);
            let acknowledged = match acknowledgement {
                Some((time, upto, token)) => {
                    format!(
                        "acknowledged up to {upto} at {} by token {token}",
                        seconds(time)
                    )
                }
                None => "not acknowledged".to_owned(),
            };
            format!("ended ({cause}), end {number} {acknowledged}")
        }
    }
}
