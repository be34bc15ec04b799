//! Findings of `runs` in small logs. Each test names the failure that it guards against.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use tanager_command::log_report::FindingLevel;
use tanager_command::log_report::HistoryChoice;
use tanager_command::run_history::Finding;
use tanager_command::run_history::FindingKind;
use tanager_command::run_history::RunHistory;
use tanager_command::run_log::read_log;
use tanager_command::run_report::report;

const TASK: &str = "3be3440cde88873d.0.0.1";
/// Fields that lines of the owner with token 5 have in common.
const OWNER: &str = "cell=leti/0 token=5";
const NEXT_OWNER: &str = "cell=leti/0 token=9";

/// A line as a node writes it, after the name of its machine.
fn line(seconds: f64, event: &str, fields: &str) -> String {
    let time = 1_000.0 + seconds;
    format!("front-2 | time={time:.3} level=info node=front-2 event={event} {fields}\n")
}

fn started_by(owner: &str, seconds: f64, run: u64, worker: &str, result: &str) -> String {
    let event = match result {
        "Answered(Accepted)" => "run_started",
        _ => "run_not_started",
    };
    let fields = format!(
        "job=3be3440cde88873d task={TASK} run={run} worker={worker} born=1000 result={result} \
         lease_until_ms=5000 after=0.005s {owner}"
    );
    line(seconds, event, &fields)
}

fn started(seconds: f64, run: u64, worker: &str) -> String {
    started_by(OWNER, seconds, run, worker, "Answered(Accepted)")
}

fn of_run(seconds: f64, event: &str, run: u64, worker: &str, fields: &str) -> String {
    let fields = format!("job=3be3440cde88873d task={TASK} run={run} worker={worker} {fields}");
    line(seconds, event, &format!("{fields} {OWNER}"))
}

fn ended(seconds: f64, run: u64, worker: &str, cause: &str, number: u64) -> String {
    let fields = format!("cause={cause} number={number} listed=1 born=1000");
    of_run(seconds, "run_ended", run, worker, &fields)
}

fn acknowledged(seconds: f64, worker: &str, born: u64, number: u64) -> String {
    let fields = format!("worker={worker} born={born} acknowledged={number} {OWNER}");
    line(seconds, "ends_acknowledged", &fields)
}

fn replaced(seconds: f64, worker: &str) -> String {
    let fields = format!(
        "worker={worker} born_before=1000 born=1001 source=Entry released=1 carried_over=0 {OWNER}"
    );
    line(seconds, "incarnation_replaced", &fields)
}

fn recovered(seconds: f64, workers: &str) -> String {
    let count = workers.split(',').filter(|name| !name.is_empty()).count();
    let fields = format!("{NEXT_OWNER} unreached={count} workers={workers}");
    line(seconds, "recovery_ended", &fields)
}

fn findings(lines: &[String]) -> Vec<Finding> {
    let log = read_log(lines.iter().map(String::as_str));
    assert_eq!(log.unreadable, 0);
    RunHistory::new(&log.lines).findings()
}

macro_rules! found_cases {
    ($($(#[$note:meta])* $case:ident: [$($line:expr),* $(,)?] => [$($level:ident $kind:ident),*];)*) => {
        $($(#[$note])*
        #[test]
        fn $case() {
            let found = findings(&[$($line),*]);
            let kinds: Vec<_> = found.iter().map(|finding| (finding.level, finding.kind)).collect();
            let expected: &[(FindingLevel, FindingKind)] =
                &[$((FindingLevel::$level, FindingKind::$kind)),*];
            assert_eq!(kinds, expected, "{found:#?}");
        })*
    };
}

found_cases! {
    /// Guards against a second run beside a first one that is not reported.
    start_beside_a_run_is_found: [
        started(1.0, 1, "a"), started(2.0, 2, "b"),
        ended(3.0, 1, "a", "Stopped", 1), ended(4.0, 2, "b", "Done", 1),
    ] => [Fault Overlap];
    /// Guards against an overlap of a few milliseconds that passes for a matter of clocks: a new
    /// owner starts a task before it has read that the run of the former owner is stopped.
    start_just_before_the_end_is_found: [
        started(1.0, 1, "a"), of_run(1.999, "unknown_run_stopped", 1, "a", "born=1000"),
        ended(2.005, 1, "a", "Stopped", 1),
        started_by(NEXT_OWNER, 2.005, 2, "b", "Answered(Accepted)"),
    ] => [Fault Overlap];
    /// Guards against an order without a response that is taken as not carried out.
    start_beside_an_unanswered_order_is_found: [
        started_by(OWNER, 1.0, 1, "a", "Unknown"), started(2.0, 2, "b"),
    ] => [Fault Overlap];
    /// Guards against the same order if its owner ran late, which is logged with another result.
    start_beside_an_unread_order_is_found: [
        started_by(OWNER, 1.0, 1, "a", "Unread"), started(2.0, 2, "b"),
    ] => [Fault Overlap];
    /// Guards against a late order that is overlooked when it acts on another worker or a later
    /// incarnation, where a report shows the run first.
    unknown_run_beside_a_run_is_found: [
        started_by(OWNER, 1.0, 1, "a", "Unknown"),
        of_run(1.5, "run_stopped", 1, "a", "born=1000 result=Answered(Accepted)"),
        started(2.0, 2, "b"),
        of_run(2.5, "unknown_run_stopped", 1, "a", "born=1001"),
    ] => [Fault Overlap];
    /// Guards against an unconfirmed stop that counts as the end of a run.
    unconfirmed_stop_clears_nothing: [
        started(1.0, 1, "a"), of_run(1.5, "run_stopped", 1, "a", "born=1000 result=Unknown"),
        started(2.0, 2, "b"),
    ] => [Fault Overlap];
    /// Guards against a takeover that hides a run that was seen and neither listed nor ended.
    takeover_clears_no_run_that_was_seen: [
        started(1.0, 1, "a"), recovered(1.5, ""),
        started_by(NEXT_OWNER, 2.0, 2, "b", "Answered(Accepted)"),
    ] => [Fault Overlap];
    /// Guards against finished work that is repeated without a report, when the end was
    /// acknowledged before the start.
    start_after_an_acknowledged_end_is_found: [
        started(1.0, 1, "a"), ended(2.0, 1, "a", "Done", 1), acknowledged(2.5, "a", 1_000, 1),
        started(3.0, 2, "b"),
    ] => [Fault StartAfterDone];
    /// Guards against the same when the end was acknowledged after the start.
    start_before_the_acknowledgement_is_found: [
        started(1.0, 1, "a"), ended(2.0, 1, "a", "Done", 1),
        started(3.0, 2, "b"), acknowledged(3.5, "a", 1_000, 1),
    ] => [Fault StartAfterDone];
    /// Guards against a task done by two runs in a row on one worker that is not reported.
    two_done_runs_are_found: [
        started(1.0, 1, "a"), ended(2.0, 1, "a", "Done", 1),
        started(3.0, 2, "a"), ended(4.0, 2, "a", "Done", 2),
    ] => [Fault DoneTwice];
    /// Guards against an end that is lost between two readings because it was acknowledged.
    gap_in_the_ends_is_found: [
        ended(2.0, 1, "a", "Failed", 1), acknowledged(2.5, "a", 1_000, 3),
        ended(3.0, 2, "a", "Failed", 4),
    ] => [Fault UnreadEnds];
    /// Guards against an end that an owner skipped, where no acknowledgement shows it.
    end_that_an_owner_skipped_is_found: [
        ended(2.0, 1, "a", "Failed", 1), ended(3.0, 2, "a", "Failed", 3),
    ] => [Fault UnreadEnds];
    /// Guards against ends above the last one read that a renewal acknowledged.
    acknowledgement_above_the_last_end_is_found: [
        ended(2.0, 1, "a", "Failed", 1), acknowledged(2.5, "a", 1_000, 2),
    ] => [Fault UnreadEnds];
    /// Guards against a late renewal for one incarnation that acknowledges ends of the next one.
    acknowledgement_of_the_next_incarnation_is_found: [
        of_run(0.5, "run_ended", 8, "a", "cause=Failed number=1 listed=2 born=900"),
        of_run(0.5, "run_ended", 9, "a", "cause=Failed number=2 listed=2 born=900"),
        acknowledged(1.0, "a", 900, 2), ended(3.0, 1, "a", "Failed", 3),
    ] => [Fault UnreadEnds];

    /// Guards against a restart that is reported as a fault, or not at all.
    restart_is_a_near_miss: [
        started(1.0, 1, "a"), replaced(1.5, "a"), started(2.0, 2, "b"),
    ] => [NearMiss Overlap];
    /// Guards against a lost worker that is reported as a fault, or not at all.
    expired_lease_is_a_near_miss: [
        started(1.0, 1, "a"),
        of_run(9.0, "run_lost", 1, "a", "cause=LeaseExpired observed=2.000s"),
        started(9.1, 2, "b"),
    ] => [NearMiss Overlap];
    /// Guards against the same after a takeover, where no line names the run.
    lease_that_a_new_owner_awaited_is_a_near_miss: [
        started(1.0, 1, "a"), recovered(9.0, "c,a"),
        started_by(NEXT_OWNER, 9.1, 2, "b", "Answered(Accepted)"),
    ] => [NearMiss Overlap];
    /// Guards against a report with a missing run that is taken as proof that it had ended.
    unlisted_run_is_a_near_miss: [
        started(1.0, 1, "a"),
        of_run(1.5, "run_lost", 1, "a", "cause=Unlisted observed=0.400s"),
        started(2.0, 2, "b"),
    ] => [NearMiss Overlap];
    /// Guards against an order of a former owner, fenced since, that is reported as a fault.
    unanswered_order_before_a_takeover_is_a_near_miss: [
        started_by(OWNER, 1.0, 1, "a", "Unknown"), recovered(3.0, ""),
        started_by(NEXT_OWNER, 3.1, 2, "b", "Answered(Accepted)"),
    ] => [NearMiss Overlap];
    /// Guards against work done at an owner that died before it stored the end, reported as a fault.
    start_after_an_end_that_was_not_stored_is_a_near_miss: [
        started(1.0, 1, "a"), ended(2.0, 1, "a", "Done", 1),
        started_by(NEXT_OWNER, 3.0, 2, "b", "Answered(Accepted)"),
    ] => [NearMiss StartAfterDone];
    /// Guards against lines that a killed node lost, reported as lost ends.
    ends_of_a_lost_log_are_a_near_miss: [
        ended(2.0, 1, "a", "Failed", 3), acknowledged(2.5, "a", 1_000, 3),
    ] => [NearMiss UnreadEnds];

    /// Guards against retries of a failed task that are reported.
    retry_after_a_failed_run_is_harmless: [
        started(1.0, 1, "a"), ended(2.0, 1, "a", "Failed", 1), acknowledged(2.1, "a", 1_000, 1),
        started(2.005, 2, "b"), ended(3.0, 2, "b", "Done", 1), acknowledged(3.1, "b", 1_000, 1),
    ] => [];
    /// Guards against refused and repeated orders that are reported.
    refused_start_is_harmless: [
        started_by(OWNER, 1.0, 1, "a", "Answered(NoRoom)"), started_by(OWNER, 1.1, 2, "c", "NotSent"),
        started_by(OWNER, 1.2, 3, "b", "Unknown"), started(1.7, 3, "b"),
        ended(2.0, 3, "b", "Done", 1), acknowledged(2.1, "b", 1_000, 1),
    ] => [];
    /// Guards against a stopped run that is reported, also if the stop reached the next incarnation.
    confirmed_stop_is_harmless: [
        started_by(OWNER, 1.0, 1, "a", "Unknown"), replaced(1.2, "a"),
        of_run(1.5, "run_stopped", 1, "a", "born=1001 result=Answered(Accepted)"),
        started(2.0, 2, "b"),
    ] => [];
    /// Guards against a run that a new owner adopts, reported as a second one.
    adopted_run_is_harmless: [
        started(1.0, 1, "a"), of_run(2.0, "run_adopted", 1, "a", "born=1000"),
        ended(3.0, 1, "a", "Done", 1), acknowledged(3.1, "a", 1_000, 1),
        started(0.5, 1, "a"),
    ] => [];
}

/// Guards against lines that are counted twice when a node's log is in two files, and against
/// incomplete logs that look complete.
#[test]
fn incomplete_logs_are_told() {
    let lines = [
        ended(2.0, 1, "a", "Done", 1),
        ended(2.0, 1, "a", "Done", 1),
        "time=1003.0 level=info node=n event=run_ended task=? dropped_lines=7\n".to_owned(),
        "not a line of a node\n".to_owned(),
    ];
    let log = read_log(lines.iter().map(String::as_str));
    assert_eq!((log.lines.len(), log.dropped, log.unreadable), (1, 7, 1));
    let text = report(&log, HistoryChoice::Faults).text;
    assert!(
        text.contains("incomplete: 7 lines dropped by the nodes, 1 unreadable"),
        "{text}"
    );
    let text = report(&read_log([]), HistoryChoice::Faults).text;
    assert!(
        text.contains("was RUST_LOG=info,tanager::runs=debug set?"),
        "{text}"
    );
}

/// Guards against the line of another node that is lost, or mixed with the rest of a line, when a
/// node was killed while it wrote.
#[test]
fn line_after_a_cut_line_is_read() {
    let done = ended(2.0, 1, "a", "Done", 1);
    let next = ended(3.0, 2, "b", "Done", 1);
    let worker = done.find(" cause=").expect("a cause");
    let cut = &done[..worker];
    let log = read_log([format!("{cut}   20.2 {next}").as_str()]);
    assert_eq!((log.lines.len(), log.unreadable), (1, 1));
    let complete = read_log([next.as_str()]);
    assert_eq!(log.lines, complete.lines);
}

/// Runs the command without a node in its environment; returns exit code and output.
fn run_command(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tanagerladder"))
        .arg("runs")
        .args(arguments)
        .env_clear()
        .output()
        .expect("a process");
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stdout).into_owned(),
    )
}

/// Guards against a history from which the pair cannot be understood, and against an exit code that
/// a script cannot use.
#[test]
fn command_prints_histories_and_its_exit_code_tells_of_faults() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = |name: &str| {
        let file = directory.join(format!("runs-{}-{name}", std::process::id()));
        file.to_str().expect("a path").to_owned()
    };
    let (first, second) = (path("first.log"), path("second.log"));
    let lines = [started(1.0, 1, "a"), ended(2.0, 1, "a", "Done", 1)];
    fs::write(&first, lines.concat()).expect("a file");
    let lines = [acknowledged(2.1, "a", 1_000, 1), started(3.0, 2, "b")];
    fs::write(&second, lines.concat()).expect("a file");

    let (code, text) = run_command(&[&first]);
    assert_eq!(code, Some(0), "{text}");
    assert!(!text.contains(&format!("task {TASK}")), "{text}");
    let (code, text) = run_command(&[&first, &second]);
    assert_eq!(code, Some(1), "{text}");
    let history = "\
task 3be3440cde88873d.0.0.1
  1001.000 run 1 start accepted, sent=1000.995 lease_until_ms=5000 worker=a born=1000 cell=leti/0 token=5 node=front-2
  1002.000 run 1 ended (Done), end 1 acknowledged up to 1 at 1002.100 by token 5 worker=a born=1000 cell=leti/0 token=5 node=front-2
  1003.000 run 2 start accepted, sent=1002.995 lease_until_ms=5000 worker=b born=1000 cell=leti/0 token=5 node=front-2
fault: start after done: 3be3440cde88873d.0.0.1: run 1 on a born 1000 was done at 1002.000 (end 1, acknowledged at 1002.100 by token 5); run 2 on b born 1000, ordered at 1002.995
tasks: 1, ends: 1, faults: 1, near misses: 0
";
    assert_eq!(text, history);
    for choice in [TASK, "3be3440cde88873d"] {
        let (code, text) = run_command(&[&first, "--task", choice]);
        assert_eq!(code, Some(0));
        assert!(text.starts_with(&format!("task {TASK}\n")), "{text}");
    }
    let (code, text) = run_command(&[&first, &second, "--task", "0000000000000001"]);
    assert_eq!(
        (code, text.starts_with("tasks: 1")),
        (Some(0), true),
        "{text}"
    );
    let (code, text) = run_command(&[&first, "--all"]);
    assert_eq!((code, text.starts_with("task ")), (Some(0), true), "{text}");
    assert_eq!(run_command(&[&first, "--all", "--task", TASK]).0, Some(2));
    assert_eq!(run_command(&[&path("missing.log")]).0, Some(3));
}
