//! Logs and counts questions of clients that end without an answer about the job or the queue.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::line_budget::LineBudget;

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
