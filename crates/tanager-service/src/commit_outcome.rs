//! What an answer of the store says about a transaction, given the answers to its earlier attempts.
//!
//! An attempt without an answer may have been applied, or may be applied later. Repeating the same
//! transaction reveals which, unless the store never applies it: then the cell would repeat it for
//! good and store nothing else.

use std::time::Duration;

use tanager_protocol::error::ErrorKind;

/// Time after the first attempt from which a transaction without an answer is given up, provided
/// that the store answers a read. A late attempt is applied up to some seconds later; after that time
/// the store has more likely a problem with this transaction than with all.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// Answer of the store to one attempt of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptAnswer {
    /// Applied.
    Applied,
    /// A condition failed.
    Conflict,
    /// Not applied, but another attempt may be: the store is overloaded, away or not reached.
    NotNow,
    /// Not applied, and never will be as it is.
    Rejected,
    /// None, or one that does not tell whether the attempt was applied.
    Missing,
}

/// What is known of the attempts before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlierAttempts {
    /// None was applied, or ever will be.
    NotApplied,
    /// One may have been applied, or may be later.
    Uncertain,
}

/// What follows from an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The transaction is applied.
    Applied,
    /// The rows of the conflict show whether an earlier attempt was applied.
    ReadConflict,
    /// The transaction is not applied, and a later one with the same rows may be.
    NotApplied,
    /// The transaction is not applied, and one with the same rows will not be either.
    Rejected,
    /// The same transaction must be sent again to find out.
    Repeat,
}

impl AttemptAnswer {
    /// Classifies a failed attempt.
    pub fn from_failure(kind: ErrorKind) -> Self {
        match kind {
            ErrorKind::NotSent | ErrorKind::Refused | ErrorKind::NotReady => Self::NotNow,
            // `Internal` is a transaction that cannot be encoded.
            ErrorKind::Invalid | ErrorKind::Forbidden | ErrorKind::Internal => Self::Rejected,
            ErrorKind::Conflict => Self::Conflict,
            ErrorKind::Unknown | ErrorKind::Timeout | ErrorKind::NotFound => Self::Missing,
        }
    }
}

/// Determines what follows from an answer.
///
/// The store rejects the same bytes each time, so a rejection also tells that no earlier attempt was
/// applied. Should it have applied one all the same, the conditions of the next transaction fail.
pub fn attempt_outcome(earlier: EarlierAttempts, answer: AttemptAnswer) -> AttemptOutcome {
    match (answer, earlier) {
        (AttemptAnswer::Applied, _) => AttemptOutcome::Applied,
        (AttemptAnswer::Conflict, _) => AttemptOutcome::ReadConflict,
        (AttemptAnswer::Rejected, _) => AttemptOutcome::Rejected,
        (AttemptAnswer::NotNow, EarlierAttempts::NotApplied) => AttemptOutcome::NotApplied,
        (AttemptAnswer::NotNow, EarlierAttempts::Uncertain) => AttemptOutcome::Repeat,
        (AttemptAnswer::Missing, _) => AttemptOutcome::Repeat,
    }
}

/// Returns whether a read should show whether the store answers at all, because it has not answered
/// a transaction for `silent_for`.
pub fn is_silence_suspicious(silent_for: Duration) -> bool {
    silent_for >= SILENCE_LIMIT
}
