//! Text of the load of cells by second, and of the seconds in which calls were left without an answer.

use std::collections::BTreeMap;

use crate::load_log::CellSecond;
use crate::load_log::LoadLog;
use crate::load_log::OwnerSecond;
use crate::log_fields::seconds;
use crate::log_report::HistoryChoice;
use crate::log_report::LogReport;
use crate::log_report::describe_missing;

/// Names of the columns, and of the fields of `cell_load` that they come from.
const HEADER: &str = "second asked answered refused dropped started ended open waiting lag \
                      decisions cpu silent node and events";
/// Maximum number of different notes that a line shows.
const MAX_NOTES: usize = 4;

/// Describes the load of the chosen cells. Faults are seconds in which calls to the owner of a cell
/// were left without an answer, near misses those in which only its loop lagged, for
/// `slow_lag_ms` or longer.
pub fn report(log: &LoadLog, choice: HistoryChoice<'_>, slow_lag_ms: u64) -> LogReport {
    let chosen = (log.cells.iter()).filter(|(cell, _)| choice.includes(|name| *cell == name));
    let (mut faults, mut near_misses) = (0, 0);
    let mut text = String::new();
    let mut totals = String::new();
    for (cell, by_second) in chosen {
        let unanswered: Vec<u64> = (by_second.iter())
            .filter(|(_, second)| is_unanswered(second))
            .map(|(number, _)| *number)
            .collect();
        let slow = (by_second.values())
            .filter(|second| !is_unanswered(second) && lag_ms(second) >= slow_lag_ms)
            .count();
        faults += unanswered.len();
        near_misses += slow;
        if !matches!(choice, HistoryChoice::Faults) || !unanswered.is_empty() {
            text.push_str(&describe_cell(cell, by_second));
        }
        if let (Some(first), Some(last)) = (unanswered.first(), unanswered.last()) {
            let silent: u64 = by_second.values().map(|second| second.silent).sum();
            totals.push_str(&format!(
                "fault: calls without an answer: {cell}: {} s between {first} and {last}, {silent} \
                 calls given up\n",
                unanswered.len()
            ));
        }
    }
    text.push_str(&totals);
    text.push_str(&format!(
        "cells: {}, seconds with calls left without an answer: {faults}, with a slow loop only: \
         {near_misses}\n",
        log.cells.len()
    ));
    if log.cells.is_empty() {
        text.push_str("no line about a cell: are these logs of the job service, level info?\n");
    }
    text.push_str(&describe_missing(log.dropped, log.unreadable));
    LogReport {
        text,
        faults,
        near_misses,
    }
}

fn is_unanswered(second: &CellSecond) -> bool {
    second.silent > 0 || second.owners.values().any(|owner| owner.dropped > 0)
}

fn lag_ms(second: &CellSecond) -> u64 {
    let lags = second.owners.values().map(|owner| owner.lag_ms);
    lags.max().unwrap_or(0)
}

fn describe_cell(cell: &str, by_second: &BTreeMap<u64, CellSecond>) -> String {
    let mut text = format!("cell {cell}\n  {HEADER}\n");
    for (number, second) in by_second {
        let mark = match is_unanswered(second) {
            true => '!',
            false => ' ',
        };
        let mut silent = second.silent.to_string();
        let mut notes = describe_notes(second);
        if second.owners.is_empty() {
            let columns = "- ".repeat(HEADER_LOADS);
            text.push_str(&format!("{mark} {number} {columns}{silent} -{notes}\n"));
        }
        for (node, owner) in &second.owners {
            let columns = describe_owner(owner);
            text.push_str(&format!(
                "{mark} {number} {columns} {silent} {node}{notes}\n"
            ));
            // Calls and events of a second with two owners are shown once.
            (silent, notes) = ("-".to_owned(), String::new());
        }
    }
    text
}

/// Number of columns that [`describe_owner`] fills.
const HEADER_LOADS: usize = 11;

fn describe_owner(owner: &OwnerSecond) -> String {
    let columns: [String; HEADER_LOADS] = [
        owner.asked.to_string(),
        owner.answered.to_string(),
        owner.refused.to_string(),
        owner.dropped.to_string(),
        owner.started.to_string(),
        owner.ended.to_string(),
        owner.open.to_string(),
        owner.waiting.to_string(),
        seconds(owner.lag_ms),
        owner.decisions_ms.to_string(),
        owner.cpu_ms.to_string(),
    ];
    columns.join(" ")
}

fn describe_notes(second: &CellSecond) -> String {
    let mut text = String::new();
    if second.unreachable > 0 {
        text.push_str(&format!(", unreachable {}", second.unreachable));
    }
    for note in second.notes.iter().take(MAX_NOTES) {
        text.push_str(&format!(", {note}"));
    }
    if second.notes.len() > MAX_NOTES {
        text.push_str(&format!(", {} more", second.notes.len() - MAX_NOTES));
    }
    text
}
