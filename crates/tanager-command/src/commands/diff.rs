//! `diff`: compares a document with the configuration in force.

use serde_json::Value;
use serde_json::json;

use super::CommandSpec;
use crate::failure::Failure;
use crate::input::read_document;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "diff",
    summary: "compare a document with the configuration in force",
    help: "\
Usage: tanagerladder diff FILE|-

Prints what apply would change: + added, - removed, ~ changed. Absent fields have their defaults.

Examples:
  tanagerladder diff site.json
  python3 library/python/examples/nilebite.py | tanagerladder diff - --json
",
    options: &[],
    positional_count: 1..=1,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let (_, document) = read_document(session.positional(0))?;
    let new = serde_json::to_value(document).map_err(|error| Failure::Usage(error.to_string()))?;
    let current = session.client.read("/v1/config")?;
    let mut changes = Vec::new();
    compare("", &current["document"], &new, &mut changes);
    let result = json!({"version": current["version"], "changes": changes});
    session.print_result(&result, |_| {
        for change in &changes {
            let path = output::format_cell(&change["path"]);
            let (old, new) = (&change["old"], &change["new"]);
            output::print(&match (old.is_null(), new.is_null()) {
                (true, _) => format!("+ {path}: {new}"),
                (_, true) => format!("- {path}: {old}"),
                _ => format!("~ {path}: {old} -> {new}"),
            });
        }
        let version = &current["version"];
        output::print_note(&format!("changes to version {version}: {}", changes.len()));
    });
    Ok(())
}

fn compare(path: &str, old: &Value, new: &Value, changes: &mut Vec<Value>) {
    if let (Value::Object(before), Value::Object(after)) = (old, new) {
        let mut keys: Vec<&String> = before.keys().chain(after.keys()).collect();
        keys.sort();
        keys.dedup();
        for key in keys {
            let field_path = if path.is_empty() {
                key.clone()
            } else {
                format!("{path}/{key}")
            };
            compare(&field_path, &old[key], &new[key], changes);
        }
    } else if old != new {
        changes.push(json!({"path": path, "old": old, "new": new}));
    }
}
