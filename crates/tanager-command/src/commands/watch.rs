//! `watch`: prints changes as they are accepted.

use std::thread;

use serde_json::Value;

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "watch",
    summary: "print changes as they are accepted",
    help: "\
Usage: tanagerladder watch [--interval TIME] [--count N]

Prints one line per change, from the newest change on, until it is interrupted. While no node
answers it keeps trying.

  --interval TIME  time between two reads; default 1s
  --count N        end after N changes

Examples:
  tanagerladder watch
  tanagerladder watch --json --interval 5s
",
    options: &["interval", "count"],
    positional_count: 0..=0,
    run,
};

/// Number of changes read at once; if more occur within one interval, the gap is reported.
const READ_LIMIT: u64 = 1_000;

fn run(session: &Session) -> Result<(), Failure> {
    let newest = session.client.read("/v1/history?limit=1")?;
    let mut last_version = newest["entries"][0]["version"].as_u64().unwrap_or(0);
    output::print_note(&format!("watching from version {last_version}"));
    let mut remaining = session.options.count.unwrap_or(u64::MAX);
    while remaining > 0 {
        thread::sleep(session.options.interval);
        let path = format!("/v1/history?limit={READ_LIMIT}");
        let history = match session.client.read(&path) {
            Ok(history) => history,
            Err(failure @ (Failure::Usage(_) | Failure::Conflict(_))) => return Err(failure),
            Err(failure) => {
                output::print_note(&failure.to_string());
                continue;
            }
        };
        let entries = history["entries"].as_array().cloned().unwrap_or_default();
        let version = |entry: &Value| entry["version"].as_u64().unwrap_or(0);
        let mut new_entries: Vec<&Value> = entries
            .iter()
            .filter(|entry| version(entry) > last_version)
            .collect();
        new_entries.reverse();
        if let Some(first) = new_entries
            .first()
            .filter(|entry| version(entry) > last_version + 1)
        {
            let missed = version(first) - last_version - 1;
            output::print_note(&format!("{missed} changes were not read"));
        }
        for entry in new_entries {
            if remaining == 0 {
                break;
            }
            remaining -= 1;
            last_version = version(entry);
            print_entry(session, entry);
        }
    }
    Ok(())
}

fn print_entry(session: &Session, entry: &Value) {
    if session.options.json {
        output::print(&entry.to_string());
        return;
    }
    output::print(&format!(
        "{} {} by {} {}",
        entry["version"],
        output::format_cell(&entry["kind"]),
        output::format_cell(&entry["author"]),
        entry["detail"]
    ));
}
