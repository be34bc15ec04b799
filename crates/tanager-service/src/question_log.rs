//! Logs and counts questions of clients that end without an answer about the job or the queue.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// Period of [`LineBudget`].
const PERIOD: Duration = Duration::from_secs(1);
/// Lines in a period; a silent owner can fail hundreds of questions a second.
const LINES_PER_PERIOD: u32 = 20;

/// Why a question has no answer about the job or the queue.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum QuestionFailure {
    /// This node has not read a configuration yet.
    NoConfig,
    /// The pool of the queue is not partitioned yet.
    NoPartition,
    /// No owner of the cell is known.
    NoOwner,
    /// Too many questions to the owner are in flight.
    Withheld,
    /// The owner cannot be reached.
    Unreachable,
    /// The owner did not answer in time.
    Silent,
    /// The node that was asked does not own the cell, or has not loaded it yet.
    NotOwner,
    /// The owner refused the question.
    Refused,
    /// The job is being stored.
    Uncertain,
    /// The job belongs to another workspace.
    Forbidden,
    /// No cell knows the job.
    Unknown,
}

impl QuestionFailure {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoPartition => "no_partition",
            Self::NoOwner => "no_owner",
            Self::Withheld => "withheld",
            Self::Unreachable => "owner_unreachable",
            Self::Silent => "owner_silent",
            Self::NotOwner => "not_owner",
            Self::Refused => "refused",
            Self::Uncertain => "being_stored",
            Self::Forbidden => "forbidden",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for QuestionFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Limits the lines about one kind of event: those beyond the budget of a second are counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    period_end: Duration,
    used: u32,
    omitted: u64,
}

impl LineBudget {
    /// Takes a line from the budget. Returns the number of lines omitted since the last one, or
    /// `None` if the budget of this second is used up.
    pub fn take(&mut self, now: Duration) -> Option<u64> {
        if now >= self.period_end {
            self.period_end = now + PERIOD;
            self.used = 0;
        }
        if self.used >= LINES_PER_PERIOD {
            self.omitted += 1;
            return None;
        }
        self.used += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

/// Counters and line budget of failed questions.
#[derive(Debug, Default)]
pub struct FailedQuestions {
    counts: Family<[(&'static str, &'static str); 1], Counter>,
    budget: Mutex<LineBudget>,
}

impl FailedQuestions {
    /// Creates the counters and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let questions = Self::default();
        registry.register(
            "questions_failed",
            "Questions of clients without an answer about the job or the queue, by reason",
            questions.counts.clone(),
        );
        questions
    }

    /// Counts a failed question.
    pub fn count(&self, failure: QuestionFailure) {
        self.counts
            .get_or_create(&[("reason", failure.name())])
            .inc();
    }

    /// Counts a failed question. Returns the number of lines omitted before the one to be logged;
    /// `None` if none is to be logged.
    pub fn record(&self, failure: QuestionFailure, now: Duration) -> Option<u64> {
        self.count(failure);
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.take(now)
    }
}
