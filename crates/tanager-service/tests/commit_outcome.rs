//! What an answer of the store says about a transaction.

use tanager_protocol::error::ErrorKind;
use tanager_protocol::error::TanagerError;
use tanager_service::commit_outcome::AttemptAnswer;
use tanager_service::commit_outcome::AttemptOutcome;
use tanager_service::commit_outcome::EarlierAttempts;
use tanager_service::commit_outcome::attempt_outcome;

macro_rules! outcome_tests {
    ($($name:ident: $answer:ident after $earlier:ident is $outcome:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let outcome =
                    attempt_outcome(EarlierAttempts::$earlier, AttemptAnswer::$answer, 1);
                assert_eq!(outcome, AttemptOutcome::$outcome);
            }
        )*
    };
}

// Guards against a transaction that is repeated although its outcome is known, and against one that
// is given up although it may be applied.
outcome_tests! {
    applied_at_once: Applied after NotApplied is Applied;
    applied_after_a_lost_answer: Applied after Uncertain is Applied;
    conflict_at_once: Conflict after NotApplied is ReadConflict;
    conflict_after_a_lost_answer: Conflict after Uncertain is ReadConflict;
    refused_at_once: NotNow after NotApplied is NotApplied;
    refused_after_a_lost_answer: NotNow after Uncertain is Repeat;
    rejected_at_once: Rejected after NotApplied is Rejected;
    rejected_after_a_lost_answer: Rejected after Uncertain is Rejected;
    unclear_at_first: Unclear after NotApplied is Repeat;
    unclear_again: Unclear after Uncertain is Repeat;
    no_answer_at_first: Missing after NotApplied is Repeat;
    no_answer_again: Missing after Uncertain is Repeat;
}

/// Guards against a failure that is taken for another one, for each kind.
#[test]
fn failures_are_classified() {
    let kinds = [
        (ErrorKind::NotSent, AttemptAnswer::NotNow),
        (ErrorKind::Refused, AttemptAnswer::NotNow),
        (ErrorKind::NotReady, AttemptAnswer::NotNow),
        (ErrorKind::Invalid, AttemptAnswer::Rejected),
        (ErrorKind::Forbidden, AttemptAnswer::Rejected),
        (ErrorKind::Internal, AttemptAnswer::Rejected),
        (ErrorKind::Conflict, AttemptAnswer::Conflict),
        (ErrorKind::Unknown, AttemptAnswer::Missing),
        (ErrorKind::Timeout, AttemptAnswer::Missing),
        (ErrorKind::NotFound, AttemptAnswer::Missing),
    ];
    for (kind, answer) in kinds {
        let error = TanagerError::new(kind, "connect", "store", "");
        assert_eq!(AttemptAnswer::from_failure(&error), answer, "{kind:?}");
    }
}

/// Guards against a transaction that is repeated for ever because the store answers it with a status that the
/// platform does not document.
#[test]
fn unclear_answers_in_a_row_count_as_a_rejection() {
    let outcome = |count| {
        let earlier = EarlierAttempts::Uncertain;
        attempt_outcome(earlier, AttemptAnswer::Unclear, count)
    };
    assert_eq!(outcome(4), AttemptOutcome::Repeat);
    assert_eq!(outcome(5), AttemptOutcome::Rejected);
}
