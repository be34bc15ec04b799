//! Reads the log lines of job service nodes that tell of single runs.

use tanager_jobs::TaskKey;

use crate::log_fields::LogFields;
use crate::log_fields::log_lines;

/// A log line about a run, the ends of a worker or an incarnation.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RunLine {
    /// Wall clock of the node, in milliseconds since 1970.
    pub time_ms: u64,
    /// Node.
    pub node: String,
    /// Cell.
    pub cell: String,
    /// Fencing token of the owner.
    pub token: u64,
    /// Worker; empty if the line names none.
    pub worker: String,
    /// Start of the worker's incarnation in milliseconds since 1970; 0 if unknown.
    pub born: u64,
    /// What happened.
    pub event: RunEvent,
}

/// What a [`RunLine`] tells.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunEvent {
    /// An event of one run.
    Run {
        /// Task.
        task: TaskKey,
        /// Run.
        run: u64,
        /// Event.
        step: RunStep,
    },
    /// A renewal acknowledged the ends of the worker up to this number.
    Acknowledged(u64),
    /// The incarnation that started at this time has ended.
    Replaced(u64),
    /// The owner began to use the worker.
    Linked,
    /// A new owner waited until the leases of these workers had expired.
    LeasesExpired(Vec<String>),
}

/// What happened to one run.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunStep {
    /// A start was ordered.
    Ordered {
        /// Result.
        result: StartResult,
        /// Lease expiry on the worker's clock, in milliseconds.
        lease_until_ms: u64,
        /// Time from sending the order to its result, in milliseconds.
        after_ms: u64,
    },
    /// A report listed the run, which its owner did not order; it continues.
    Adopted,
    /// A report listed the run, which must not continue.
    UnknownStopped,
    /// A stop was ordered; whether the worker confirmed it.
    Stopped(bool),
    /// The owner released the run without an end, for this reason.
    Released(String),
    /// The owner read the end of the run.
    Ended {
        /// Cause.
        cause: String,
        /// Number of the end in the incarnation.
        number: u64,
    },
}

/// Result of a start order.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum StartResult {
    /// The worker accepted it.
    Accepted,
    /// There was no response; the order may have been carried out.
    Unanswered,
    /// The worker refused it, or it was not sent.
    Refused(String),
}

/// Content of logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RunLog {
    /// Lines about runs, ordered by time.
    pub lines: Vec<RunLine>,
    /// Number of lines that the nodes dropped because nobody read their output.
    pub dropped: u64,
    /// Number of lines of a known event that lack a field.
    pub unreadable: u64,
}

/// Reads the lines of all nodes, in any order. Other lines, and text before the fields of a line,
/// are skipped. A line that occurs twice counts once.
pub fn read_log<'a>(texts: impl IntoIterator<Item = &'a str>) -> RunLog {
    let mut log = RunLog::default();
    for text in texts.into_iter().flat_map(log_lines) {
        let fields = LogFields::parse(text);
        log.dropped += fields.number("dropped_lines").unwrap_or(0);
        let Some(event) = fields.get("event") else {
            continue;
        };
        if !EVENTS.contains(&event) {
            continue;
        }
        match read_line(event, &fields) {
            Some(line) => log.lines.push(line),
            None => log.unreadable += 1,
        }
    }
    log.lines.sort();
    log.lines.dedup();
    log
}

/// Events that are read.
const EVENTS: [&str; 12] = [
    "run_started",
    "run_not_started",
    "run_adopted",
    "unknown_run_stopped",
    "run_stopped",
    "run_lost",
    "run_released",
    "run_ended",
    "ends_acknowledged",
    "incarnation_replaced",
    "worker_linked",
    "recovery_ended",
];

fn read_line(event: &str, fields: &LogFields<'_>) -> Option<RunLine> {
    let event = match event {
        "ends_acknowledged" => RunEvent::Acknowledged(fields.number("acknowledged")?),
        "incarnation_replaced" => RunEvent::Replaced(fields.number("born_before")?),
        "worker_linked" => RunEvent::Linked,
        "recovery_ended" => {
            let workers = fields.get("workers")?;
            let workers = workers.split(',').filter(|worker| !worker.is_empty());
            RunEvent::LeasesExpired(workers.map(str::to_owned).collect())
        }
        _ => RunEvent::Run {
            task: fields.get("task")?.parse().ok()?,
            run: fields.number("run")?,
            step: read_step(event, fields)?,
        },
    };
    let names_incarnation = match &event {
        RunEvent::LeasesExpired(_) => false,
        RunEvent::Run { step, .. } => !matches!(step, RunStep::Released(_)),
        _ => true,
    };
    let born = fields.number("born");
    Some(RunLine {
        time_ms: fields.millis("time")?,
        node: fields.owned("node")?,
        cell: fields.owned("cell")?,
        token: fields.number("token")?,
        worker: match &event {
            RunEvent::LeasesExpired(_) => String::new(),
            _ => fields.owned("worker")?,
        },
        born: match names_incarnation {
            true => born?,
            false => born.unwrap_or(0),
        },
        event,
    })
}

fn read_step(event: &str, fields: &LogFields<'_>) -> Option<RunStep> {
    Some(match event {
        "run_started" | "run_not_started" => RunStep::Ordered {
            result: match fields.get("result")? {
                "Answered(Accepted)" => StartResult::Accepted,
                "Unknown" | "Unread" => StartResult::Unanswered,
                other => StartResult::Refused(other.to_owned()),
            },
            lease_until_ms: fields.number("lease_until_ms")?,
            after_ms: fields.millis("after")?,
        },
        "run_adopted" => RunStep::Adopted,
        "unknown_run_stopped" => RunStep::UnknownStopped,
        "run_stopped" => {
            // A worker that is unwell, of another incarnation, or that knows a later owner has not
            // carried out the stop.
            let result = fields.get("result")?;
            let is_ignored = ["Unwell", "OtherLife", "Fenced"]
                .iter()
                .any(|answer| result.contains(answer));
            RunStep::Stopped(result.starts_with("Answered(") && !is_ignored)
        }
        "run_lost" | "run_released" => RunStep::Released(fields.owned("cause")?),
        _ => RunStep::Ended {
            cause: fields.owned("cause")?,
            number: fields.number("number")?,
        },
    })
}
