//! Load of cells in small logs. Each test names the failure that it guards against.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use tanager_command::load_log::read_log;
use tanager_command::load_report::report;
use tanager_command::log_report::HistoryChoice;

const SLOW_LAG_MS: u64 = 200;

/// A line about the load, with the time of its end in milliseconds, as a node writes it.
fn load(cell: &str, time_ms: u64, dropped: u64, lag: &str) -> String {
    format!(
        "  1.4 a time={}.{:03} level=info node=a event=cell_load cell={cell} token=5 span=1.002 \
         asked=300 answered=40 refused=12 dropped={dropped} uncertain=1 started=70 ended=60 \
         open=815 waiting=90 runs=200 lag={lag} decisions=410 cpu=505 admission=20 reports=9 \
         renewals=3 ledger=12 peer_calls=30 log_lines=8 log_writer=2 steps=9000 cap_checks=9000 \
         compared=70000 visited_runs=100 visited_tasks=50\n",
        time_ms / 1_000,
        time_ms % 1_000
    )
}

fn silent(cell: &str, time: &str) -> String {
    format!(
        "time={time} level=info node=b event=owner_silent cell={cell} owner=a error=TanagerError \
         {{ kind: Timeout, step: \"exchange\", message: \"cell=other/0 time=7\" }}\n"
    )
}

fn event(time: &str, text: &str) -> String {
    format!("time={time} level=info node=a {text}\n")
}

/// Guards against calls without an answer that are counted for another cell or another second.
#[test]
fn calls_without_an_answer_mark_their_cell_and_second() {
    let lines = [
        load("leti/0", 1_001_400, 0, "0.350"),
        load("leti/0", 1_002_402, 0, "0.003"),
        load("leti/0", 1_003_402, 0, "0.250"),
        load("quiet/0", 1_002_400, 0, "0.004"),
        silent("leti/0", "1001.100"),
        silent("leti/0", "1001.900"),
        event(
            "1001.500",
            "event=owner_overloaded cell=leti/0 token=5 phase=begun lasted=0ns lag=0.350",
        ),
        event(
            "1004.100",
            "event=recovery_waits cell=leti/0 token=5 waits_for=3 first=1s longest=2s",
        ),
    ];
    let log = read_log(lines.iter().map(String::as_str));
    assert_eq!(log.unreadable, 0);
    let found = report(&log, HistoryChoice::Faults, SLOW_LAG_MS);
    let expected = "\
cell leti/0
  second asked answered refused dropped started ended open waiting lag decisions cpu silent node and events
  1000 300 40 12 0 70 60 815 90 0.350 410 505 0 a
! 1001 300 40 12 0 70 60 815 90 0.003 410 505 2 a, overload begun
  1002 300 40 12 0 70 60 815 90 0.250 410 505 0 a
  1004 - - - - - - - - - - - 0 -, recovery waits for 3
fault: calls without an answer: leti/0: 1 s between 1001 and 1001, 2 calls given up
cells: 2, seconds with calls left without an answer: 1, with a slow loop only: 2
";
    assert_eq!(found.text, expected);
    assert_eq!((found.faults, found.near_misses), (1, 2));
    let only = report(&log, HistoryChoice::Only("quiet/0"), SLOW_LAG_MS);
    assert_eq!((only.faults, only.near_misses), (0, 0));
    assert!(only.text.starts_with("cell quiet/0\n"), "{}", only.text);
}

/// Guards against dropped calls that do not count because their callers' nodes wrote no line.
#[test]
fn calls_that_the_owner_dropped_are_faults() {
    let line = load("leti/0", 1_001_400, 7, "0.003");
    let found = report(
        &read_log([line.as_str()]),
        HistoryChoice::Faults,
        SLOW_LAG_MS,
    );
    assert_eq!(found.faults, 1, "{}", found.text);
}

/// Guards against lines that a node left out and that do not count.
#[test]
fn omitted_lines_about_unreachable_owners_count() {
    let lines = [
        event(
            "1001.100",
            "event=owner_unreachable cell=leti/0 owner=b omitted=0 error=x",
        ),
        event(
            "1001.900",
            "event=owner_unreachable cell=leti/0 owner=b omitted=7 error=x",
        ),
        event(
            "1001.950",
            "event=owner_unreachable cell=leti/0 owner=b error=x",
        ),
    ];
    let log = read_log(lines.iter().map(String::as_str));
    assert_eq!(log.cells["leti/0"][&1_001].unreachable, 10);
}

/// Guards against a second with two owners of which one is lost, and with many events.
#[test]
fn second_with_a_takeover_shows_both_owners() {
    let other = load("leti/0", 1_001_450, 0, "0.001").replace("node=a", "node=b");
    let mut lines = vec![load("leti/0", 1_001_400, 0, "0.003"), other];
    for token in 1..=6 {
        let text = format!("event=cell_taken cell=leti/0 token={token} before=OwnerRecord");
        lines.push(event("1000.950", &text));
    }
    let text = report(
        &read_log(lines.iter().map(String::as_str)),
        HistoryChoice::All,
        200,
    )
    .text;
    let rows: Vec<&str> = text.lines().skip(2).take(2).collect();
    let first = " 0 a, taken by a token=1, taken by a token=2, taken by a token=3, \
                 taken by a token=4, 2 more";
    assert!(rows[0].ends_with(first), "{text}");
    assert!(rows[1].ends_with(" - b"), "{text}");
}

/// Guards against the cut line of a killed node that is taken for a second without load.
#[test]
fn cut_and_dropped_lines_are_reported() {
    let line = load("leti/0", 1_001_400, 0, "0.003");
    let (cut, _) = line.split_once(" started").expect("a field");
    let whole = line.trim_end();
    let text = format!("{cut}   20.2 {whole} dropped_lines=7\nother text\n");
    let log = read_log([text.as_str()]);
    assert_eq!((log.dropped, log.unreadable), (7, 1));
    let text = report(&log, HistoryChoice::Faults, SLOW_LAG_MS).text;
    let incomplete = "incomplete: 7 lines dropped by the nodes, 1 unreadable";
    assert!(text.contains(incomplete), "{text}");
    let text = report(&read_log([]), HistoryChoice::Faults, SLOW_LAG_MS).text;
    assert!(text.contains("no line about a cell"), "{text}");
}

/// Guards against events that get the cut time of a killed node whose last words precede them.
#[test]
fn cut_time_of_another_node_is_skipped() {
    let text = format!(
        "  13.7 a time=178143  13.8 b {}",
        silent("leti/0", "1001.100")
    );
    let log = read_log([text.as_str()]);
    let seconds: Vec<u64> = log.cells["leti/0"].keys().copied().collect();
    assert_eq!(seconds, [1_001]);
}

/// Runs the command without a node in its environment; returns exit code and output.
fn run_command(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tanagerladder"))
        .arg("load")
        .args(arguments)
        .env_clear()
        .output()
        .expect("a process");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text)
}

/// Guards against an exit code that a script cannot use, and against options that have no effect.
#[test]
fn exit_code_of_the_command_tells_of_faults() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = |name: &str| {
        let file = directory.join(format!("load-{}-{name}", std::process::id()));
        file.to_str().expect("a path").to_owned()
    };
    let (first, second) = (path("first.log"), path("second.log"));
    fs::write(&first, load("leti/0", 1_001_400, 0, "0.003")).expect("a file");
    fs::write(&second, silent("leti/0", "1001.100")).expect("a file");
    let (code, text) = run_command(&[&first]);
    assert_eq!(
        (code, text.starts_with("cells: 1")),
        (Some(0), true),
        "{text}"
    );
    assert_eq!(run_command(&[&first, &second]).0, Some(1));
    for choice in [&["--cell", "leti/0"][..], &["--all"]] {
        let (code, text) = run_command(&[&[first.as_str()], choice].concat());
        let shows_cell = text.starts_with("cell leti/0\n");
        assert_eq!((code, shows_cell), (Some(0), true), "{text}");
    }
    assert_eq!(
        run_command(&[&first, &second, "--cell", "other/0"]).0,
        Some(0)
    );
    assert_eq!(
        run_command(&[&first, "--all", "--cell", "leti/0"]).0,
        Some(2)
    );
    assert_eq!(run_command(&[&path("missing.log")]).0, Some(3));
}
