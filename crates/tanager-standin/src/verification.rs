//! Verifies the outcomes that callers saw against the runs that the endpoints recorded.

use std::collections::HashMap;
use std::fmt;

use tanager_protocol::request::is_idempotent_method;

use crate::record::EndpointRun;
use crate::record::caller_id;

/// Outcome of one attempt of a request, as the caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// A complete response of an endpoint arrived.
    Answered {
        /// Whether the response belongs to this request.
        own: bool,
    },
    /// The endpoint reported that it had no free slot.
    Rejected,
    /// The node reported that the request was not run, with this reason.
    NotRun(String),
    /// The node reported that the request may have run, with this reason.
    Unknown(String),
    /// The caller could not send the request.
    NotSent,
    /// The connection failed or the request timed out; the value is the kind of the error.
    Lost(String),
    /// The caller disconnected.
    Cancelled,
}

impl CallerOutcome {
    /// Name in reports, with the reason.
    pub fn name(&self) -> String {
        match self {
            Self::Answered { own: true } => "answered".to_owned(),
            Self::Answered { own: false } => "foreign".to_owned(),
            Self::Rejected => "rejected".to_owned(),
            Self::NotRun(reason) => format!("not_run:{reason}"),
            Self::Unknown(reason) => format!("unknown:{reason}"),
            Self::NotSent => "transport:not_sent".to_owned(),
            Self::Lost(kind) => format!("transport:{kind}"),
            Self::Cancelled => "cancelled".to_owned(),
        }
    }
}

/// A request and the outcomes of its attempts, as recorded by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRecord {
    /// Id that the caller chose; the last segment of the path.
    pub id: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// Outcomes of the attempts, in order.
    pub outcomes: Vec<CallerOutcome>,
}

/// Result of [`verify_runs`]: the ids of the requests with each kind of violation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Number of verified requests.
    pub requests: usize,
    /// Number of runs that belong to them.
    pub runs: usize,
    /// Received a response, but no run completed.
    pub answered_without_run: Vec<String>,
    /// Reported as not run on every attempt, but ran.
    pub ran_after_all: Vec<String>,
    /// Not idempotent, and ran more than once.
    pub ran_twice: Vec<String>,
    /// Received the response to another request.
    pub foreign_answers: Vec<String>,
}

impl Verdict {
    /// Whether there is no violation.
    pub fn passed(&self) -> bool {
        let lists = [
            &self.answered_without_run,
            &self.ran_after_all,
            &self.ran_twice,
            &self.foreign_answers,
        ];
        lists.iter().all(|list| list.is_empty())
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = if self.passed() { "passed" } else { "FAILED" };
        write!(
            formatter,
            "verdict {result} requests={} runs={}",
            self.requests, self.runs
        )?;
        for (name, ids) in [
            ("answered_without_run", &self.answered_without_run),
            ("ran_after_all", &self.ran_after_all),
            ("ran_twice", &self.ran_twice),
            ("foreign_answers", &self.foreign_answers),
        ] {
            if !ids.is_empty() {
                write!(formatter, "\n{name} {} {}", ids.len(), ids.join(" "))?;
            }
        }
        Ok(())
    }
}

/// Verifies the callers' records against the endpoints' runs.
///
/// A run belongs to the request whose id is the last segment of the run's path, or that has the
/// run's idempotency key. An interrupted run counts as a run, but not as a completed one.
pub fn verify_runs(records: &[CallerRecord], runs: &[EndpointRun]) -> Verdict {
    let mut runs_by_id: HashMap<&str, Vec<&EndpointRun>> = HashMap::new();
    let mut run_counts_by_key: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        runs_by_id
            .entry(caller_id(&run.path))
            .or_default()
            .push(run);
        if !run.key.is_empty() && !is_idempotent_method(&run.method) {
            *run_counts_by_key.entry(&run.key).or_default() += 1;
        }
    }
    let mut verdict = Verdict {
        requests: records.len(),
        ..Verdict::default()
    };
    for record in records {
        let runs = runs_by_id
            .get(record.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        verdict.runs += runs.len();
        let has_response = |own| {
            let outcome = CallerOutcome::Answered { own };
            record.outcomes.contains(&outcome)
        };
        if has_response(false) {
            verdict.foreign_answers.push(record.id.clone());
        }
        if has_response(true) && !runs.iter().any(|run| run.completed) {
            verdict.answered_without_run.push(record.id.clone());
        }
        let mut outcomes = record.outcomes.iter();
        let not_run = !record.outcomes.is_empty()
            && outcomes.all(|outcome| {
                matches!(outcome, CallerOutcome::NotRun(_) | CallerOutcome::NotSent)
            });
        if not_run && !runs.is_empty() {
            verdict.ran_after_all.push(record.id.clone());
        }
        let runs_with_key = run_counts_by_key
            .get(record.key.as_str())
            .copied()
            .unwrap_or_default();
        if !is_idempotent_method(&record.method) && runs.len().max(runs_with_key) > 1 {
            verdict.ran_twice.push(record.id.clone());
        }
    }
    verdict
}
