//! Reads the log lines of job service nodes that tell of the load of cells.

use std::collections::BTreeMap;

use crate::log_fields::LogFields;
use crate::log_fields::log_lines;

/// Load of one owner of a cell in one second, summed if it wrote several lines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OwnerSecond {
    /// Calls that it began to handle.
    pub asked: u64,
    /// Calls that it answered.
    pub answered: u64,
    /// Those that it refused.
    pub refused: u64,
    /// Calls that it left without an answer.
    pub dropped: u64,
    /// Start orders that it sent.
    pub started: u64,
    /// Ends of runs that it took from workers.
    pub ended: u64,
    /// Largest number of open jobs.
    pub open: u64,
    /// Largest number of waiting steps.
    pub waiting: u64,
    /// Largest lag of its loop, in milliseconds.
    pub lag_ms: u64,
    /// Processor time of its decisions, in milliseconds.
    pub decisions_ms: u64,
    /// Processor time of its process, in milliseconds.
    pub cpu_ms: u64,
    /// Time that the line covers, in milliseconds.
    pub span_ms: u64,
}

/// What happened to a cell in one second.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CellSecond {
    /// Load by node.
    pub owners: BTreeMap<String, OwnerSecond>,
    /// Calls to the owner that other nodes gave up.
    pub silent: u64,
    /// Calls for which other nodes could not reach the owner.
    pub unreachable: u64,
    /// Other events, in the order in which they were read.
    pub notes: Vec<String>,
}

/// Content of logs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadLog {
    /// Seconds since 1970 by cell, by the wall clock of the nodes.
    pub cells: BTreeMap<String, BTreeMap<u64, CellSecond>>,
    /// Number of lines that the nodes dropped because nobody read their output.
    pub dropped: u64,
    /// Number of lines about the load that lack a field.
    pub unreadable: u64,
}

/// Reads the lines of all nodes, in any order. Other lines, and text before the fields of a line,
/// are skipped. A line about the load counts for the second in which most of its span lies.
pub fn read_log<'a>(texts: impl IntoIterator<Item = &'a str>) -> LoadLog {
    let mut log = LoadLog::default();
    for text in texts.into_iter().flat_map(log_lines) {
        let fields = LogFields::parse(text);
        log.dropped += fields.number("dropped_lines").unwrap_or(0);
        let Some(event) = fields.get("event").filter(|event| is_read(event)) else {
            continue;
        };
        if read_line(&mut log, event, &fields).is_none() {
            log.unreadable += 1;
        }
    }
    log
}

fn is_read(event: &str) -> bool {
    matches!(
        event,
        "cell_load"
            | "owner_silent"
            | "owner_unreachable"
            | "owner_overloaded"
            | "recovery_waits"
            | "recovery_ended"
            | "cell_taken"
            | "cell_loaded"
            | "cell_lost"
    )
}

/// Adds a line to the log; `None` if it lacks a field.
fn read_line(log: &mut LoadLog, event: &str, fields: &LogFields<'_>) -> Option<()> {
    let time_ms = fields.millis("time")?;
    let cell = fields.owned("cell")?;
    if event == "cell_load" {
        let (node, load) = (fields.owned("node")?, read_load(fields)?);
        let middle_ms = time_ms.saturating_sub(load.span_ms / 2);
        let second = log.second(cell, middle_ms);
        second.owners.entry(node).or_default().add(&load);
        return Some(());
    }
    let note = match event {
        "owner_overloaded" => format!("overload {}", fields.get("phase")?),
        "recovery_waits" => format!("recovery waits for {}", fields.number("waits_for")?),
        "recovery_ended" => "recovery ended".to_owned(),
        "cell_taken" => format!(
            "taken by {} token={}",
            fields.get("node")?,
            fields.get("token")?
        ),
        "cell_loaded" => format!("loaded jobs={}", fields.number("jobs")?),
        "cell_lost" => format!("lost by {}", fields.get("node")?),
        _ => String::new(),
    };
    let second = log.second(cell, time_ms);
    match event {
        "owner_silent" => second.silent += 1,
        // A line may stand for others that were left out.
        "owner_unreachable" => {
            second.unreachable += 1 + fields.number("omitted").unwrap_or_default();
        }
        _ => second.notes.push(note),
    }
    Some(())
}

fn read_load(fields: &LogFields<'_>) -> Option<OwnerSecond> {
    Some(OwnerSecond {
        asked: fields.number("asked")?,
        answered: fields.number("answered")?,
        refused: fields.number("refused")?,
        dropped: fields.number("dropped")?,
        started: fields.number("started")?,
        ended: fields.number("ended")?,
        open: fields.number("open")?,
        waiting: fields.number("waiting")?,
        lag_ms: fields.millis("lag")?,
        decisions_ms: fields.number("decisions")?,
        cpu_ms: fields.number("cpu")?,
        span_ms: fields.millis("span")?,
    })
}

impl LoadLog {
    fn second(&mut self, cell: String, time_ms: u64) -> &mut CellSecond {
        let seconds = self.cells.entry(cell).or_default();
        seconds.entry(time_ms / 1_000).or_default()
    }
}

impl OwnerSecond {
    fn add(&mut self, other: &Self) {
        self.asked += other.asked;
        self.answered += other.answered;
        self.refused += other.refused;
        self.dropped += other.dropped;
        self.started += other.started;
        self.ended += other.ended;
        self.open = self.open.max(other.open);
        self.waiting = self.waiting.max(other.waiting);
        self.lag_ms = self.lag_ms.max(other.lag_ms);
        self.decisions_ms += other.decisions_ms;
        self.cpu_ms += other.cpu_ms;
        self.span_ms += other.span_ms;
    }
}
