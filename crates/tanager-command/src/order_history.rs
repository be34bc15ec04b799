//! Finds in the log lines of all nodes the orders to one VM that two coordinators may have sent at
//! the same time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::time::Duration;

use crate::log_fields::seconds;
use crate::log_report::FindingLevel;
use crate::order_log::OrderCall;
use crate::order_log::OrderHolder;
use crate::order_log::OrderLine;

/// Difference up to which the wall clocks of two nodes may disagree. A successor waits for longer
/// than a lease, so orders that are only this far apart show a fault all the same.
const CLOCK_TOLERANCE_MS: u64 = 100;
/// Time in transit above which an order is reported.
const MAX_TRANSIT_MS: u64 = 1_000;

/// What was found.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum OrderFindingKind {
    /// An order may have reached the platform after one with a higher token was sent.
    LowerToken,
    /// Two holders sent orders with the same token.
    SharedToken,
    /// Orders by two holders lie closer together than a lease.
    WithinLease,
    /// An order was answered after the ownership had ended.
    OwnershipEnded,
    /// An order was in transit for longer than a second.
    SlowTransit,
}

/// An order, or a pair of orders.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct OrderFinding {
    /// Severity.
    pub level: FindingLevel,
    /// Kind.
    pub kind: OrderFindingKind,
    /// VM; `None` for a shared token, which concerns all VMs.
    pub vm: Option<String>,
    /// Explanation with holders, tokens and times.
    pub text: String,
}

/// An order that may have reached the platform.
#[derive(Clone, Copy, Debug)]
struct SentOrder<'a> {
    start_ms: u64,
    call: &'a OrderCall,
    line: &'a OrderLine,
}

/// The orders to all VMs.
#[derive(Debug, Default)]
pub struct OrderHistory {
    /// Lines of each VM, ordered by [`began_ms`].
    lines: BTreeMap<String, Vec<OrderLine>>,
}

impl OrderHistory {
    /// Arranges the lines of all nodes.
    pub fn new(lines: &[OrderLine]) -> Self {
        let mut history = Self::default();
        for line in lines {
            let of_vm = history.lines.entry(line.vm.clone()).or_default();
            of_vm.push(line.clone());
        }
        for of_vm in history.lines.values_mut() {
            of_vm.sort_by_key(began_ms);
        }
        history
    }

    /// Returns the VMs of which the logs have lines.
    pub fn vms(&self) -> impl Iterator<Item = &str> {
        self.lines.keys().map(String::as_str)
    }

    /// Returns the lines of a VM, ordered by the time at which the order was sent, checked or
    /// withheld.
    pub fn lines_of(&self, vm: &str) -> &[OrderLine] {
        self.lines.get(vm).map_or(&[], Vec::as_slice)
    }

    /// Returns all findings, faults first. Orders by two holders to one VM that lie closer together
    /// than `lease` are near misses.
    pub fn findings(&self, lease: Duration) -> Vec<OrderFinding> {
        let mut findings = BTreeSet::new();
        let mut all = Vec::new();
        for lines in self.lines.values() {
            let orders: Vec<SentOrder<'_>> = lines.iter().filter_map(SentOrder::new).collect();
            find_lower_tokens(&orders, &mut findings);
            find_close_orders(&orders, lease, &mut findings);
            find_late_answers(&orders, &mut findings);
            all.extend(orders);
        }
        find_shared_tokens(&all, &mut findings);
        findings.into_iter().collect()
    }
}

/// Returns when an order was sent, else checked, else withheld.
fn began_ms(line: &OrderLine) -> u64 {
    let call = line.call.as_ref();
    call.map_or(line.time_ms, |call| {
        call.start_ms().unwrap_or(call.checked_ms)
    })
}

fn find_lower_tokens(orders: &[SentOrder<'_>], findings: &mut BTreeSet<OrderFinding>) {
    for order in orders {
        let higher = (orders.iter())
            .filter(|other| order.may_follow_higher(other))
            .min_by_key(|other| other.start_ms);
        let Some(higher) = higher else {
            continue;
        };
        let unanswered = match order.call.is_unanswered() {
            true => ", or later, as its outcome is unknown",
            false => "",
        };
        let within_tolerance = match higher.start_ms > order.call.answered_ms {
            true => "; their clocks may differ by more than the time between both",
            false => "",
        };
        let text = format!(
            "{order} was sent at {} and may have arrived until {}{unanswered}; {higher} was sent at \
             {}{within_tolerance}",
            seconds(order.start_ms),
            seconds(order.call.answered_ms),
            seconds(higher.start_ms)
        );
        let kind = OrderFindingKind::LowerToken;
        findings.insert(order.finding(FindingLevel::Fault, kind, text));
    }
}

fn find_close_orders(
    orders: &[SentOrder<'_>],
    lease: Duration,
    findings: &mut BTreeSet<OrderFinding>,
) {
    for order in orders {
        let previous = (orders.iter())
            .filter(|other| other.line.holder != order.line.holder)
            .filter(|other| other.start_ms <= order.start_ms)
            .filter(|other| !other.may_follow_higher(order) && !order.may_follow_higher(other))
            .max_by_key(|other| other.call.answered_ms);
        let Some(previous) = previous else {
            continue;
        };
        let gap_ms = (order.start_ms).saturating_sub(previous.call.answered_ms);
        if u128::from(gap_ms) >= lease.as_millis() {
            continue;
        }
        let text = format!(
            "{order} was sent at {}, {} s after {previous} was answered",
            seconds(order.start_ms),
            seconds(gap_ms)
        );
        let kind = OrderFindingKind::WithinLease;
        findings.insert(order.finding(FindingLevel::NearMiss, kind, text));
    }
}

fn find_late_answers(orders: &[SentOrder<'_>], findings: &mut BTreeSet<OrderFinding>) {
    for order in orders {
        let answered = seconds(order.call.answered_ms);
        if order.line.closed {
            let text = format!(
                "{order} was sent at {} and answered at {answered}, after its ownership had ended",
                seconds(order.start_ms)
            );
            let kind = OrderFindingKind::OwnershipEnded;
            findings.insert(order.finding(FindingLevel::NearMiss, kind, text));
        }
        let transit_ms = (order.call.answered_ms).saturating_sub(order.start_ms);
        if transit_ms > MAX_TRANSIT_MS {
            let text = format!(
                "{order} was sent at {} and ended {} s later: {}",
                seconds(order.start_ms),
                seconds(transit_ms),
                order.call.answer
            );
            let kind = OrderFindingKind::SlowTransit;
            findings.insert(order.finding(FindingLevel::NearMiss, kind, text));
        }
    }
}

fn find_shared_tokens(orders: &[SentOrder<'_>], findings: &mut BTreeSet<OrderFinding>) {
    let mut holders: BTreeMap<u64, BTreeMap<&OrderHolder, SentOrder<'_>>> = BTreeMap::new();
    for order in orders {
        let of_token = holders.entry(order.line.token).or_default();
        let first = of_token.entry(&order.line.holder).or_insert(*order);
        if order.start_ms < first.start_ms {
            *first = *order;
        }
    }
    for (token, firsts) in holders {
        if firsts.len() < 2 {
            continue;
        }
        let firsts: Vec<String> = (firsts.values())
            .map(|order| {
                let (vm, sent) = (&order.line.vm, seconds(order.start_ms));
                format!("{order} to {vm}, first sent at {sent}")
            })
            .collect();
        findings.insert(OrderFinding {
            level: FindingLevel::Fault,
            kind: OrderFindingKind::SharedToken,
            vm: None,
            text: format!("token {token}: {}", firsts.join("; ")),
        });
    }
}

impl<'a> SentOrder<'a> {
    fn new(line: &'a OrderLine) -> Option<Self> {
        let call = line.call.as_ref()?;
        let start_ms = call.start_ms()?;
        Some(Self {
            start_ms,
            call,
            line,
        })
    }

    /// Returns whether it may have arrived after an order with a higher token was sent.
    fn may_follow_higher(&self, other: &Self) -> bool {
        let is_one_clock = self.line.holder.node == other.line.holder.node;
        let tolerance_ms = match is_one_clock {
            true => 0,
            false => CLOCK_TOLERANCE_MS,
        };
        self.line.token < other.line.token && other.start_ms <= self.call.answered_ms + tolerance_ms
    }

    fn finding(&self, level: FindingLevel, kind: OrderFindingKind, text: String) -> OrderFinding {
        let vm = Some(self.line.vm.clone());
        OrderFinding {
            level,
            kind,
            vm,
            text,
        }
    }
}

impl Display for SentOrder<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let OrderLine {
            order,
            holder,
            token,
            ..
        } = self.line;
        write!(formatter, "{order} with token {token} by {holder}")
    }
}

impl Display for OrderHolder {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.node, self.incarnation)
    }
}
