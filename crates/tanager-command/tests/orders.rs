//! Findings of `orders` in small logs. Each test names the failure that it guards against.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use tanager_command::log_report::FindingLevel;
use tanager_command::log_report::HistoryChoice;
use tanager_command::order_history::OrderFinding;
use tanager_command::order_history::OrderFindingKind;
use tanager_command::order_history::OrderHistory;
use tanager_command::order_log::read_log;
use tanager_command::order_report::report;

const LEASE: Duration = Duration::from_secs(3);
const ACCEPTED: &str = "Ok(Accepted)";
const NOT_SENT: &str = "Err(TanagerError { kind: NotSent, step: \"connect\", peer: \"10.1.0.1:80\", \
                        message: \"connection refused\" })";
const TIMEOUT: &str = "Err(TanagerError { kind: Timeout, step: \"send\", peer: \"10.1.0.1:80\", \
                       message: \"1.2s passed\" })";
/// A failure whose message quotes another one.
const UNKNOWN: &str = "Err(TanagerError { kind: Unknown, step: \"send\", peer: \"10.1.0.1:80\", \
                       message: \"after kind: NotSent\" })";

/// An order in a log; times are in milliseconds.
#[derive(Clone, Copy)]
struct Order {
    vm: &'static str,
    node: &'static str,
    incarnation: u64,
    token: u64,
    checked: u64,
    sent: Option<u64>,
    answered: u64,
    closed: bool,
    answer: &'static str,
}

/// An order that is checked and sent in one millisecond, and accepted 10 ms later.
fn order(node: &'static str, token: u64, checked: u64) -> Order {
    Order {
        vm: "m-1",
        node,
        incarnation: 7,
        token,
        checked,
        sent: Some(checked),
        answered: checked + 10,
        closed: false,
        answer: ACCEPTED,
    }
}

impl Order {
    /// The line as a node writes it, after the name of its machine.
    fn line(&self) -> String {
        let base = 1_000_000;
        let sent = match self.sent {
            Some(0) => " sent_ms=0".to_owned(),
            Some(sent) => format!(" sent_ms={}", base + sent),
            None => String::new(),
        };
        let (checked, answered) = (base + self.checked, base + self.answered);
        format!(
            "  1.4 {node} time={}.{:03} level=info node={node} event=vm_ordered vm={} \
             order=move to=dele holder={node} incarnation={} token={} lease_age=0.158s \
             checked_ms={checked}{sent} answered_ms={answered} closed={} answer={}\n",
            answered / 1000,
            answered % 1000,
            self.vm,
            self.incarnation,
            self.token,
            self.closed,
            self.answer,
            node = self.node,
        )
    }
}

fn withheld(node: &str, token: u64, seconds: f64) -> String {
    let time = 1_000.0 + seconds;
    format!(
        "time={time:.3} level=info node={node} event=vm_order_withheld vm=m-1 \
         order=maintenance wave=1 holder={node} incarnation=7 token={token} closed=true \
         lease_age=none\n"
    )
}

fn findings(lines: &[String]) -> Vec<OrderFinding> {
    let log = read_log(lines.iter().map(String::as_str));
    assert_eq!((log.unreadable, log.lines.len()), (0, lines.len()));
    OrderHistory::new(&log.lines).findings(LEASE)
}

macro_rules! found_cases {
    ($($(#[$note:meta])* $case:ident: [$($order:expr),* $(,)?] => [$($level:ident $kind:ident),*];)*) => {
        $($(#[$note])*
        #[test]
        fn $case() {
            let found = findings(&[$($order.line()),*]);
            let kinds: Vec<_> = found.iter().map(|finding| (finding.level, finding.kind)).collect();
            let expected: &[(FindingLevel, OrderFindingKind)] =
                &[$((FindingLevel::$level, OrderFindingKind::$kind)),*];
            assert_eq!(kinds, expected, "{found:#?}");
        })*
    };
}

found_cases! {
    /// Guards against an order of a former coordinator that is not reported.
    lower_token_after_a_higher_one_is_found: [
        order("a", 5, 1_000), order("b", 9, 10_000), order("a", 5, 20_000),
    ] => [Fault LowerToken];
    /// Guards against the same when the logs have no `sent_ms`.
    lower_token_is_found_by_the_time_of_the_check: [
        Order { sent: None, ..order("b", 9, 10_000) },
        Order { sent: None, ..order("a", 5, 20_000) },
    ] => [Fault LowerToken];
    /// Guards against an order that is overlooked because it was sent before the one of the
    /// successor, although it may have arrived after it.
    order_in_transit_past_the_successors_is_found: [
        Order { answered: 10_500, ..order("a", 5, 9_700) }, order("b", 9, 10_000),
    ] => [Fault LowerToken];
    /// Guards against an order that is judged by its check, when it was sent long after it.
    order_sent_long_after_its_check_is_found: [
        Order { sent: Some(10_100), answered: 10_200, ..order("a", 5, 1_000) },
        order("b", 9, 10_000),
    ] => [Fault LowerToken];
    /// Guards against an order without a response that is taken as not sent.
    unanswered_order_is_found: [
        Order { answered: 10_600, answer: TIMEOUT, ..order("a", 5, 9_700) },
        order("b", 9, 10_000),
    ] => [Fault LowerToken];
    /// Guards against a failure that passes for one before the send, because its message quotes one.
    error_that_quotes_another_is_found: [
        order("b", 9, 10_000), Order { answer: UNKNOWN, ..order("a", 5, 20_000) },
    ] => [Fault LowerToken];
    /// Guards against an answered order that counts as not sent because its write was not noted.
    answered_order_without_a_write_is_found: [
        order("b", 9, 10_000), Order { sent: Some(0), ..order("a", 5, 20_000) },
    ] => [Fault LowerToken];
    /// Guards against a successor's order that hides a fault because it has no response.
    unanswered_order_of_the_successor_counts: [
        Order { answer: TIMEOUT, ..order("b", 9, 10_000) }, order("a", 5, 20_000),
    ] => [Fault LowerToken];
    /// Guards against a node that takes the ownership again and sends under its former token.
    former_token_of_one_process_is_found: [
        order("a", 9, 10_000), order("a", 5, 20_000),
    ] => [Fault LowerToken];

    /// Guards against an order that looks earlier than the successor's only because the clock of
    /// its node is behind.
    clocks_that_differ_hide_no_fault: [
        order("a", 5, 9_900), order("b", 9, 10_000),
    ] => [Fault LowerToken];
    /// Guards against a tolerance for clocks that makes orders of a short handover a fault.
    more_than_the_clocks_differ_is_a_near_miss: [
        order("a", 5, 9_889), order("b", 9, 10_000),
    ] => [NearMiss WithinLease];
    /// Guards against the tolerance where both orders have the clock of one node.
    one_clock_needs_no_tolerance: [
        order("a", 5, 9_900), Order { incarnation: 8, ..order("a", 9, 10_000) },
    ] => [NearMiss WithinLease];

    /// Guards against two coordinators with one token that are not reported, for different VMs too.
    shared_token_is_found: [
        order("a", 5, 1_000), Order { vm: "m-2", ..order("b", 5, 20_000) },
    ] => [Fault SharedToken];
    /// Guards against a restarted process that continues with the token of the former one.
    token_of_the_former_process_is_found: [
        order("a", 5, 1_000), Order { incarnation: 8, ..order("a", 5, 20_000) },
    ] => [Fault SharedToken];

    /// Guards against a handover without a wait that is not reported.
    orders_within_a_lease_are_a_near_miss: [
        order("a", 5, 1_000), order("b", 9, 4_009),
    ] => [NearMiss WithinLease];
    /// Guards against an order of the third coordinator that hides the one before it.
    each_order_within_a_lease_is_a_near_miss: [
        order("a", 5, 1_000), order("b", 9, 2_000), order("c", 12, 3_000),
    ] => [NearMiss WithinLease, NearMiss WithinLease];
    /// Guards against an ownership that ends during an order without a report.
    answer_after_the_ownership_is_a_near_miss: [
        Order { closed: true, ..order("a", 5, 1_000) },
    ] => [NearMiss OwnershipEnded];
    /// Guards against an order that waits on a cut link without a report.
    slow_transit_is_a_near_miss: [
        Order { answered: 2_001, answer: TIMEOUT, ..order("a", 5, 1_000) },
    ] => [NearMiss SlowTransit];

    /// Guards against a former coordinator's order that is reported although it was never sent.
    order_that_was_not_sent_is_harmless: [
        order("b", 9, 10_000),
        Order { answer: NOT_SENT, closed: true, answered: 21_200, ..order("a", 5, 20_000) },
        Order { sent: None, answer: NOT_SENT, ..order("a", 5, 20_000) },
        Order { sent: Some(0), answer: TIMEOUT, ..order("a", 5, 20_000) },
        Order { sent: Some(0), answer: NOT_SENT, ..order("c", 9, 20_000) },
    ] => [];
    /// Guards against the same for a successor that has not sent its order either.
    successor_that_has_not_sent_is_harmless: [
        Order { sent: Some(0), answer: TIMEOUT, ..order("b", 9, 10_000) }, order("a", 5, 10_000),
    ] => [];
    /// Guards against a regular handover that is reported.
    handover_after_a_lease_is_harmless: [
        order("a", 5, 1_000), order("b", 9, 4_010),
    ] => [];
    /// Guards against repeated orders of one coordinator that are reported, also after it took the
    /// ownership again.
    orders_of_one_holder_are_harmless: [
        order("a", 5, 1_000), order("a", 5, 1_005), order("a", 9, 1_100),
    ] => [];
    /// Guards against orders to different VMs that are compared.
    orders_to_two_vms_are_harmless: [
        order("b", 9, 10_000), Order { vm: "m-2", ..order("a", 5, 20_000) },
    ] => [];
    /// Guards against a connection attempt that counts as time in transit.
    time_before_the_send_is_no_transit: [
        Order { sent: Some(2_500), answered: 2_510, ..order("a", 5, 1_000) },
    ] => [];
}

/// Guards against a withheld order that is judged, or that is missing in the history.
#[test]
fn withheld_order_is_listed_and_harmless() {
    let lines = [order("b", 9, 10_000).line(), withheld("a", 5, 10.0)];
    assert_eq!(findings(&lines), []);
    let log = read_log(lines.iter().map(String::as_str));
    let text = report(&log, HistoryChoice::Only("m-1"), LEASE).text;
    let expected = "1010.000 withheld maintenance wave=1 token=5 holder=a incarnation=7 closed=true \
                    lease_age=none\n";
    assert!(text.contains(expected), "{text}");
}

/// Guards against a lease that is not the one of the site.
#[test]
fn lease_is_the_given_one() {
    let lines = [order("a", 5, 1_000).line(), order("b", 9, 4_010).line()];
    let log = read_log(lines.iter().map(String::as_str));
    let found = OrderHistory::new(&log.lines).findings(Duration::from_millis(3_001));
    assert_eq!(found.len(), 1, "{found:?}");
}

/// Guards against the last line of a killed node that takes its missing fields from the next line,
/// and against lines that are lost because a node has other evidence or lost lines before.
#[test]
fn lines_are_read_as_nodes_write_them() {
    let former = "\
time=1010.010 level=info node=a event=vm_ordered vm=m-1 order=maintenance wave=3 holder=a \
incarnation=7 token=5 heartbeat_age=0.158s owner_read_age=none checked_ms=1010000 \
answered_ms=1010010 closed=false answer=Ok(Accepted) dropped_lines=7";
    let next = order("b", 9, 20_000).line();
    let (cut, _) = next.split_once(" checked_ms").expect("a field");
    let text = format!("{former}\n{former}\n{cut}   20.2 {next}other text\n");
    let log = read_log([text.as_str()]);
    assert_eq!(
        (log.lines.len(), log.dropped, log.unreadable),
        (2, 14, 1),
        "{log:#?}"
    );
    let call = log.lines[0].call.as_ref().expect("a call");
    assert_eq!((call.answer.as_str(), call.sent_ms), (ACCEPTED, None));
    assert_eq!(log.lines[0].order, "maintenance wave=3");
    assert_eq!(
        log.lines[0].evidence,
        [
            ("heartbeat_age", "0.158s".to_owned()),
            ("owner_read_age", "none".to_owned())
        ]
    );
    assert_eq!(log.lines[1].holder.node, "b");
    let text = report(&log, HistoryChoice::Faults, LEASE).text;
    assert!(
        text.contains("incomplete: 14 lines dropped by the nodes, 1 unreadable"),
        "{text}"
    );
    let text = report(&read_log([]), HistoryChoice::Faults, LEASE).text;
    assert!(text.contains("no line of an order"), "{text}");
}

/// Runs the command without a node in its environment; returns exit code and output.
fn run_command(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_tanagerladder"))
        .arg("orders")
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
fn command_prints_orders_and_its_exit_code_tells_of_faults() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = |name: &str| {
        let file = directory.join(format!("orders-{}-{name}", std::process::id()));
        file.to_str().expect("a path").to_owned()
    };
    let (first, second) = (path("first.log"), path("second.log"));
    fs::write(&first, order("a", 5, 20_000).line()).expect("a file");
    let unsent = Order {
        sent: Some(0),
        answer: "Err(kind: NotSent)",
        ..order("b", 9, 30_000)
    };
    let lines = [order("b", 9, 10_000).line(), unsent.line()];
    fs::write(&second, lines.concat()).expect("a file");

    let (code, text) = run_command(&[&first]);
    assert_eq!(code, Some(0), "{text}");
    assert!(!text.contains("vm m-1\n"), "{text}");
    let (code, text) = run_command(&[&first, &second]);
    assert_eq!(code, Some(1), "{text}");
    let history = "\
vm m-1
  checked=1010.000 sent=1010.000 answered=1010.010 move to=dele token=9 holder=b incarnation=7 closed=false lease_age=0.158s answer=Ok(Accepted)
  checked=1020.000 sent=1020.000 answered=1020.010 move to=dele token=5 holder=a incarnation=7 closed=false lease_age=0.158s answer=Ok(Accepted)
  checked=1030.000 sent=never answered=1030.010 move to=dele token=9 holder=b incarnation=7 closed=false lease_age=0.158s answer=Err(kind: NotSent)
fault: lower token: m-1: move to=dele with token 5 by a 7 was sent at 1020.000 and may have arrived until 1020.010; move to=dele with token 9 by b 7 was sent at 1010.000
vms: 1, orders sent: 2, not sent: 1, withheld: 0, faults: 1, near misses: 0
";
    assert_eq!(text, history);
    for choice in [&["--vm", "m-1"][..], &["--all"]] {
        let (code, text) = run_command(&[&[first.as_str()], choice].concat());
        assert_eq!(
            (code, text.starts_with("vm m-1\n")),
            (Some(0), true),
            "{text}"
        );
    }
    let (code, text) = run_command(&[&first, &second, "--vm", "m-2"]);
    assert_eq!(
        (code, text.starts_with("vms: 1")),
        (Some(0), true),
        "{text}"
    );
    assert!(run_command(&[&second, &first, "--lease", "10m"]).0 == Some(1));
    assert_eq!(run_command(&[&first, "--all", "--vm", "m-1"]).0, Some(2));
    assert_eq!(run_command(&[&first, "--lease", "3"]).0, Some(2));
    assert_eq!(run_command(&[&path("missing.log")]).0, Some(3));
}
