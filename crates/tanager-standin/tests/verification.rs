//! Tests that the verification finds each kind of violation. If it missed one, no load run would
//! prove anything.

use tanager_standin::EndpointRun;
use tanager_standin::verification::CallerOutcome;
use tanager_standin::verification::CallerRecord;
use tanager_standin::verification::Verdict;
use tanager_standin::verification::verify_runs;

const ANSWERED: CallerOutcome = CallerOutcome::Answered { own: true };
const FOREIGN: CallerOutcome = CallerOutcome::Answered { own: false };

fn not_run() -> CallerOutcome {
    CallerOutcome::NotRun("queue_full".to_owned())
}

fn unknown() -> CallerOutcome {
    CallerOutcome::Unknown("timeout".to_owned())
}

fn caller_record(method: &str, key: &str, outcomes: Vec<CallerOutcome>) -> CallerRecord {
    CallerRecord {
        id: "a".to_owned(),
        key: key.to_owned(),
        method: method.to_owned(),
        outcomes,
    }
}

fn endpoint_run(path: &str, key: &str, completed: bool) -> EndpointRun {
    EndpointRun {
        key: key.to_owned(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        finish: Some(2),
        completed,
        ..EndpointRun::default()
    }
}

fn violation_counts(verdict: &Verdict) -> [usize; 4] {
    [
        verdict.answered_without_run.len(),
        verdict.ran_after_all.len(),
        verdict.ran_twice.len(),
        verdict.foreign_answers.len(),
    ]
}

macro_rules! verdict_cases {
    ($($case:ident: $record:expr, $runs:expr => $violations:expr;)*) => {
        $(
            /// Guards against a verification that misses this violation, or reports a false one.
            #[test]
            fn $case() {
                let runs: Vec<EndpointRun> = $runs;
                let verdict = verify_runs(&[$record], &runs);
                let expected: [usize; 4] = $violations;
                assert_eq!(violation_counts(&verdict), expected, "{verdict}");
                assert_eq!(verdict.passed(), expected == [0; 4]);
                assert_eq!(verdict.to_string().contains("FAILED"), expected != [0; 4]);
            }
        )*
    };
}

verdict_cases! {
    answered_and_ran: caller_record("POST", "", vec![ANSWERED]), vec![endpoint_run("/p/load/a?q", "", true)] => [0, 0, 0, 0];
    answered_without_run: caller_record("POST", "", vec![ANSWERED]), vec![] => [1, 0, 0, 0];
    answered_but_another_ran: caller_record("GET", "", vec![ANSWERED]), vec![endpoint_run("/load/ab", "", true)] => [1, 0, 0, 0];
    answered_but_interrupted: caller_record("GET", "", vec![ANSWERED]), vec![endpoint_run("/load/a", "", false)] => [1, 0, 0, 0];
    answered_after_an_earlier_run: caller_record("POST", "k", vec![unknown(), ANSWERED]), vec![endpoint_run("/load/a", "k", true)] => [0, 0, 0, 0];
    not_run_without_run: caller_record("POST", "", vec![not_run()]), vec![] => [0, 0, 0, 0];
    not_run_but_ran: caller_record("GET", "", vec![not_run()]), vec![endpoint_run("/load/a", "", true)] => [0, 1, 0, 0];
    not_run_but_interrupted: caller_record("GET", "", vec![not_run()]), vec![endpoint_run("/load/a", "", false)] => [0, 1, 0, 0];
    not_run_twice_but_ran: caller_record("POST", "k", vec![not_run(), not_run()]), vec![endpoint_run("/load/a", "k", true)] => [0, 1, 0, 0];
    not_sent_but_ran: caller_record("GET", "", vec![CallerOutcome::NotSent]), vec![endpoint_run("/load/a", "", true)] => [0, 1, 0, 0];
    unknown_then_not_run: caller_record("POST", "k", vec![unknown(), not_run()]), vec![endpoint_run("/load/a", "k", true)] => [0, 0, 0, 0];
    unknown_may_run_once: caller_record("POST", "", vec![unknown()]), vec![endpoint_run("/load/a", "", true)] => [0, 0, 0, 0];
    post_ran_twice: caller_record("POST", "", vec![ANSWERED]), vec![endpoint_run("/load/a", "", true), endpoint_run("/load/a", "", true)] => [0, 0, 1, 0];
    patch_ran_twice_interrupted: caller_record("PATCH", "", vec![unknown()]), vec![endpoint_run("/load/a", "", false), endpoint_run("/load/a", "", false)] => [0, 0, 1, 0];
    cancelled_post_ran_twice: caller_record("POST", "", vec![CallerOutcome::Cancelled]), vec![endpoint_run("/load/a", "", true), endpoint_run("/load/a", "", false)] => [0, 0, 1, 0];
    key_ran_under_two_paths: caller_record("POST", "k", vec![ANSWERED]), vec![endpoint_run("/load/a", "k", true), endpoint_run("/load/b", "k", true)] => [0, 0, 1, 0];
    get_may_run_twice: caller_record("GET", "", vec![ANSWERED]), vec![endpoint_run("/load/a", "", true), endpoint_run("/load/a", "", true)] => [0, 0, 0, 0];
    foreign_response: caller_record("GET", "", vec![FOREIGN]), vec![endpoint_run("/load/a", "", true)] => [0, 0, 0, 1];
    foreign_response_before_own: caller_record("POST", "k", vec![FOREIGN, ANSWERED]), vec![endpoint_run("/load/a", "k", true)] => [0, 0, 0, 1];
    lost_may_run: caller_record("POST", "", vec![CallerOutcome::Lost("timeout".to_owned())]), vec![endpoint_run("/load/a", "", true)] => [0, 0, 0, 0];
}

/// Guards against a verdict that does not list the ids of the violating requests.
#[test]
fn verdict_lists_the_request_ids() {
    let mut second = caller_record("POST", "", vec![not_run()]);
    second.id = "b".to_owned();
    let records = [caller_record("POST", "", vec![ANSWERED]), second];
    let verdict = verify_runs(&records, &[endpoint_run("/load/b", "", true)]);
    assert_eq!(verdict.answered_without_run, ["a"]);
    assert_eq!(verdict.ran_after_all, ["b"]);
    assert_eq!((verdict.requests, verdict.runs), (2, 1));
}
