//! Reads the log lines of job service nodes that tell of single runs.

use std::collections::HashMap;

use tanager_jobs::TaskKey;

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
    for text in texts.into_iter().flat_map(str::lines) {
        let fields = fields_of(text);
        log.dropped += number(&fields, "dropped_lines").unwrap_or(0);
        let Some(&event) = fields.get("event") else {
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

fn fields_of(text: &str) -> HashMap<&str, &str> {
    let mut fields = HashMap::new();
    for (name, value) in text
        .split_whitespace()
        .filter_map(|word| word.split_once('='))
    {
        // The fields of the line itself come first; later ones may be parts of quoted text.
        fields.entry(name).or_insert(value);
    }
    fields
}

fn number(fields: &HashMap<&str, &str>, name: &str) -> Option<u64> {
    fields.get(name)?.parse().ok()
}

/// Converts seconds, with or without the unit, to milliseconds.
fn millis(fields: &HashMap<&str, &str>, name: &str) -> Option<u64> {
    let seconds: f64 = fields.get(name)?.trim_end_matches('s').parse().ok()?;
    (seconds.is_finite() && seconds >= 0.0).then(|| (seconds * 1e3).round() as u64)
}

fn read_line(event: &str, fields: &HashMap<&str, &str>) -> Option<RunLine> {
    let text = |name: &str| fields.get(name).map(|value| (*value).to_owned());
    let event = match event {
        "ends_acknowledged" => RunEvent::Acknowledged(number(fields, "acknowledged")?),
        "incarnation_replaced" => RunEvent::Replaced(number(fields, "born_before")?),
        "worker_linked" => RunEvent::Linked,
        "recovery_ended" => {
            let workers = text("workers")?;
            let workers = workers.split(',').filter(|worker| !worker.is_empty());
            RunEvent::LeasesExpired(workers.map(str::to_owned).collect())
        }
        _ => RunEvent::Run {
            task: fields.get("task")?.parse().ok()?,
            run: number(fields, "run")?,
            step: read_step(event, fields)?,
        },
    };
    let names_incarnation = match &event {
        RunEvent::LeasesExpired(_) => false,
        RunEvent::Run { step, .. } => !matches!(step, RunStep::Released(_)),
        _ => true,
    };
    let born = number(fields, "born");
    Some(RunLine {
        time_ms: millis(fields, "time")?,
        node: text("node")?,
        cell: text("cell")?,
        token: number(fields, "token")?,
        worker: match &event {
            RunEvent::LeasesExpired(_) => String::new(),
            _ => text("worker")?,
        },
        born: match names_incarnation {
            true => born?,
            false => born.unwrap_or(0),
        },
        event,
    })
}

fn read_step(event: &str, fields: &HashMap<&str, &str>) -> Option<RunStep> {
    let text = |name: &str| fields.get(name).map(|value| (*value).to_owned());
    Some(match event {
        "run_started" | "run_not_started" => RunStep::Ordered {
            result: match *fields.get("result")? {
                "Answered(Accepted)" => StartResult::Accepted,
                "Unknown" => StartResult::Unanswered,
                other => StartResult::Refused(other.to_owned()),
            },
            lease_until_ms: number(fields, "lease_until_ms")?,
            after_ms: millis(fields, "after")?,
        },
        "run_adopted" => RunStep::Adopted,
        "unknown_run_stopped" => RunStep::UnknownStopped,
        "run_stopped" => {
            // A worker that is unwell, of another incarnation, or that knows a later owner has not
            // carried out the stop.
            let result = *fields.get("result")?;
            let is_ignored = ["Unwell", "OtherLife", "Fenced"]
                .iter()
                .any(|answer| result.contains(answer));
            RunStep::Stopped(result.starts_with("Answered(") && !is_ignored)
        }
        "run_lost" | "run_released" => RunStep::Released(text("cause")?),
        _ => RunStep::Ended {
            cause: text("cause")?,
            number: number(fields, "number")?,
        },
    })
}
