//! Prints results to standard output and everything else to standard error.

use std::io::Write;

use serde_json::Value;
use serde_json::json;

use crate::failure::Failure;

/// Prints a result. A pipe that its reader has closed is not an error.
pub(crate) fn print(text: &str) {
    let mut stream = std::io::stdout().lock();
    let _ = stream.write_all(text.as_bytes());
    if !text.ends_with('\n') {
        let _ = stream.write_all(b"\n");
    }
    let _ = stream.flush();
}

/// Prints a result as JSON.
pub(crate) fn print_json(value: &Value) {
    print(&format!("{value:#}"));
}

/// Prints progress or a message to standard error.
pub(crate) fn print_note(text: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{text}");
}

/// Prints the failure of the command.
pub(crate) fn print_failure(failure: &Failure, as_json: bool) {
    if as_json {
        let code = failure.exit_code();
        let error = json!({"error": {"message": failure.to_string(), "exit_code": code}});
        print_note(&error.to_string());
    } else {
        print_note(&format!("tanagerladder: {failure}"));
    }
}

/// Prints a table with one line per row.
pub(crate) fn print_table(headers: &[&str], rows: &[Vec<String>]) {
    let headers: Vec<String> = headers.iter().map(|header| (*header).to_owned()).collect();
    let widths: Vec<usize> = (0..headers.len())
        .map(|column| {
            let cells = rows.iter().map(|row| row[column].chars().count());
            cells.max().unwrap_or(0).max(headers[column].len())
        })
        .collect();
    let mut text = String::new();
    for row in std::iter::once(&headers).chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(&format!("{cell:<width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    print(&text);
}

/// Formats a JSON value for a table cell: strings without quotes, null as an empty string.
pub(crate) fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Formats the activity of a VM: `active`, `moving (POOL)` or `draining (REASON)`.
pub(crate) fn format_activity(activity: &Value) -> String {
    match (&activity["moving"]["to"], &activity["draining"]["reason"]) {
        (Value::String(pool), _) => format!("moving ({pool})"),
        (_, Value::String(reason)) => format!("draining ({reason})"),
        _ => format_cell(activity),
    }
}

/// Prints objects as a table with the given fields as columns.
pub(crate) fn print_objects(fields: &[&str], objects: &[Value]) {
    let rows: Vec<Vec<String>> = objects
        .iter()
        .map(|object| {
            let cells = fields.iter().map(|field| format_cell(&object[*field]));
            cells.collect()
        })
        .collect();
    print_table(fields, &rows);
}
