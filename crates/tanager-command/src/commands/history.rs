//! `history`: prints the newest changes.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "history",
    summary: "print the newest changes",
    help: "\
Usage: tanagerladder history [--limit N]

  --limit N  number of changes, 1 to 1000; default 20

Examples:
  tanagerladder history
  tanagerladder history --limit 200 --json
",
    options: &["limit"],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let path = format!("/v1/history?limit={}", session.options.limit);
    let history = session.client.read(&path)?;
    session.print_result(&history, |history| {
        let entries = history["entries"].as_array().cloned().unwrap_or_default();
        output::print_objects(&["version", "author", "kind", "detail"], &entries);
        if let Some(version) = history["missing_before"].as_u64() {
            output::print_note(&format!(
                "entries before version {version} are not available: they were deleted after a \
                 snapshot, or the store does not answer"
            ));
        }
    });
    Ok(())
}
