//! Judges what callers were told against what the endpoints ran.

use std::collections::HashMap;
use std::fmt;

use tanager_protocol::request::is_idempotent_method;

use crate::record::EndpointRun;
use crate::record::caller_id;

/// What the caller saw of one attempt of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// A complete response of an endpoint; `own` tells whether it belongs to this request.
    Answered {
        /// Whether the response belongs to this request.
        own: bool,
    },
    /// The endpoint answered that it had no free slot.
    Rejected,
    /// The request was not run, for this reason.
    NotRun(String),
    /// The request may have run, for this reason.
    Unknown(String),
    /// The request did not leave the caller.
    NotSent,
    /// The connection failed or the time limit passed without a response.
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

/// What a caller knows of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRecord {
    /// The caller's id, which is the last segment of the path.
    pub id: String,
    /// Idempotency key; empty when there was none.
    pub key: String,
    /// Method.
    pub method: String,
    /// Outcomes of the attempts, in order.
    pub outcomes: Vec<CallerOutcome>,
}

/// Violations found by [`verify_runs`], as ids of requests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Verdict {
    /// Requests that were judged.
    pub requests: usize,
    /// Runs that were matched to them.
    pub runs: usize,
    /// Answered, but no run completed.
    pub answered_without_run: Vec<String>,
    /// Not run on every attempt, but ran.
    pub ran_after_all: Vec<String>,
    /// Non-idempotent, and ran more than once.
    pub ran_twice: Vec<String>,
    /// Got the response to another request.
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
        let word = if self.passed() { "passed" } else { "FAILED" };
        write!(
            formatter,
            "verdict {word} requests={} runs={}",
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

/// Judges the callers' records against the endpoints' runs.
///
/// A run belongs to the request whose id is the last segment of its path, or that has its
/// idempotency key. A run that was broken off counts as a run, but not as a completed one.
pub fn verify_runs(records: &[CallerRecord], runs: &[EndpointRun]) -> Verdict {
    let mut by_id: HashMap<&str, Vec<&EndpointRun>> = HashMap::new();
    let mut by_key: HashMap<&str, usize> = HashMap::new();
    for run in runs {
        by_id.entry(caller_id(&run.path)).or_default().push(run);
        if !run.key.is_empty() && !is_idempotent_method(&run.method) {
            *by_key.entry(&run.key).or_default() += 1;
        }
    }
    let mut verdict = Verdict {
        requests: records.len(),
        ..Verdict::default()
    };
    for record in records {
        let runs = by_id.get(record.id.as_str()).map_or(&[][..], Vec::as_slice);
        verdict.runs += runs.len();
        let answered = |own| {
            let outcome = CallerOutcome::Answered { own };
            record.outcomes.contains(&outcome)
        };
        if answered(false) {
            verdict.foreign_answers.push(record.id.clone());
        }
        if answered(true) && !runs.iter().any(|run| run.completed) {
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
        let by_key = by_key.get(record.key.as_str()).copied().unwrap_or_default();
        if !is_idempotent_method(&record.method) && runs.len().max(by_key) > 1 {
            verdict.ran_twice.push(record.id.clone());
        }
    }
    verdict
}
