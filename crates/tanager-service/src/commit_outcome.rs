//! What an answer of the store says about a transaction, given the answers to its earlier attempts.
//!
//! An attempt without an answer may have been applied, or may be applied later. Repeating the same
//! transaction reveals which, unless the store never applies it: then the cell would repeat it for
//! good and store nothing else.

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_site::store::is_status_error;

/// Number of unclear answers in a row after which a transaction counts as rejected: a passing fault of the
/// store rarely takes as many.
const MAX_UNCLEAR_ANSWERS: u32 = 5;

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
    /// A status that the platform does not document, which does not tell whether the attempt was applied.
    Unclear,
    /// None.
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
    pub fn from_failure(error: &TanagerError) -> Self {
        match error.kind {
            ErrorKind::Unknown if is_status_error(error) => Self::Unclear,
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
///
/// `unclear_answers` is the number of unclear answers in a row, this one included. After several, the
/// transaction counts as rejected: with other rows, the next one is applied or conflicts.
pub fn attempt_outcome(
    earlier: EarlierAttempts,
    answer: AttemptAnswer,
    unclear_answers: u32,
) -> AttemptOutcome {
    match (answer, earlier) {
        (AttemptAnswer::Unclear, _) if unclear_answers >= MAX_UNCLEAR_ANSWERS => {
            AttemptOutcome::Rejected
        }
        (AttemptAnswer::Applied, _) => AttemptOutcome::Applied,
        (AttemptAnswer::Conflict, _) => AttemptOutcome::ReadConflict,
        (AttemptAnswer::Rejected, _) => AttemptOutcome::Rejected,
        (AttemptAnswer::NotNow, EarlierAttempts::NotApplied) => AttemptOutcome::NotApplied,
        (AttemptAnswer::NotNow, EarlierAttempts::Uncertain) => AttemptOutcome::Repeat,
        (AttemptAnswer::Unclear | AttemptAnswer::Missing, _) => AttemptOutcome::Repeat,
    }
}
