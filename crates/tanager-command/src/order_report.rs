//! Text of the orders of VMs and of the findings about them.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::log_fields::seconds;
use crate::log_report::FindingLevel;
use crate::log_report::HistoryChoice;
use crate::log_report::LogReport;
use crate::log_report::count_of;
use crate::log_report::describe_missing;
use crate::order_history::OrderFinding;
use crate::order_history::OrderFindingKind;
use crate::order_history::OrderHistory;
use crate::order_log::OrderLine;
use crate::order_log::OrderLog;

/// Describes the orders of the chosen VMs and what was found about them; see
/// [`OrderHistory::findings`] for `lease`. Shared tokens concern all VMs and are always reported.
pub fn report(log: &OrderLog, choice: HistoryChoice<'_>, lease: Duration) -> LogReport {
    let history = OrderHistory::new(&log.lines);
    let includes = |vm: &str| choice.includes(|name| vm == name);
    let findings: Vec<OrderFinding> = (history.findings(lease).into_iter())
        .filter(|finding| finding.vm.as_deref().is_none_or(includes))
        .collect();
    let with_faults: BTreeSet<&str> = (findings.iter())
        .filter(|finding| finding.level == FindingLevel::Fault)
        .filter_map(|finding| finding.vm.as_deref())
        .collect();
    let mut text = String::new();
    for vm in history.vms().filter(|vm| includes(vm)) {
        let is_printed = !matches!(choice, HistoryChoice::Faults) || with_faults.contains(vm);
        if is_printed {
            text.push_str(&format!("vm {vm}\n"));
            for line in history.lines_of(vm) {
                text.push_str(&format!("  {}\n", describe(line)));
            }
        }
    }
    for finding in &findings {
        text.push_str(&describe_finding(finding));
    }
    let count = |level| count_of(level, findings.iter().map(|finding| finding.level));
    let (faults, near_misses) = (count(FindingLevel::Fault), count(FindingLevel::NearMiss));
    let calls = log.lines.iter().filter_map(|line| line.call.as_ref());
    let call_count = calls.clone().count();
    let sent_count = calls.filter(|call| call.start_ms().is_some()).count();
    text.push_str(&format!(
        "vms: {}, orders sent: {sent_count}, not sent: {}, withheld: {}, faults: {faults}, \
         near misses: {near_misses}\n",
        history.vms().count(),
        call_count - sent_count,
        log.lines.len() - call_count
    ));
    if log.lines.is_empty() {
        text.push_str("no line of an order: are these logs of the job service, level info?\n");
    }
    text.push_str(&describe_missing(log.dropped, log.unreadable));
    LogReport {
        text,
        faults,
        near_misses,
    }
}

fn describe_finding(finding: &OrderFinding) -> String {
    let kind = match finding.kind {
        OrderFindingKind::LowerToken => "lower token",
        OrderFindingKind::SharedToken => "shared token",
        OrderFindingKind::WithinLease => "within a lease",
        OrderFindingKind::OwnershipEnded => "ownership ended",
        OrderFindingKind::SlowTransit => "slow transit",
    };
    let vm = finding.vm.as_ref().map(|vm| format!("{vm}: "));
    format!(
        "{}: {kind}: {}{}\n",
        finding.level,
        vm.unwrap_or_default(),
        finding.text
    )
}

fn describe(line: &OrderLine) -> String {
    let OrderLine {
        order,
        holder,
        token,
        ..
    } = line;
    let times = match &line.call {
        Some(call) => {
            let sent = match (call.start_ms(), call.sent_ms) {
                (None, _) => "never".to_owned(),
                (Some(_), None | Some(0)) => "unknown".to_owned(),
                (Some(_), Some(sent)) => seconds(sent),
            };
            format!(
                "checked={} sent={sent} answered={}",
                seconds(call.checked_ms),
                seconds(call.answered_ms)
            )
        }
        None => format!("{} withheld", seconds(line.time_ms)),
    };
    let mut text = format!("{times} {order} token={token} holder={} ", holder.node);
    text.push_str(&format!(
        "incarnation={} closed={}",
        holder.incarnation, line.closed
    ));
    for (name, age) in &line.evidence {
        text.push_str(&format!(" {name}={age}"));
    }
    if let Some(call) = &line.call {
        text.push_str(&format!(" answer={}", call.answer));
    }
    text
}
