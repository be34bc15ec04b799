//! `snapshot`: exports or restores the complete state.

use serde_json::Value;
use serde_json::json;

use tanager_protocol::fleet::FleetState;

use super::CommandSpec;
use crate::client::ExchangeResult;
use crate::failure::Failure;
use crate::input::parse_json;
use crate::input::read_text;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "snapshot",
    summary: "export or restore the whole state",
    help: "\
Usage: tanagerladder snapshot export FILE|-
       tanagerladder snapshot restore FILE|-

export writes configuration, VMs, nodes and waves as JSON. restore puts such a file into an empty
store; it is refused otherwise, and needs the root token.

Examples:
  tanagerladder snapshot export fleet.json
  tanagerladder snapshot restore fleet.json
",
    options: &[],
    positional_count: 2..=2,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let path = session.positional(1);
    match session.positional(0) {
        "export" => export(session, path),
        "restore" => restore(session, path),
        other => {
            let message = format!("snapshot {other}: export or restore is needed");
            Err(Failure::Usage(message))
        }
    }
}

fn export(session: &Session, path: &str) -> Result<(), Failure> {
    let snapshot = session.client.read("/v1/snapshot")?;
    if path == "-" {
        output::print_json(&snapshot);
        return Ok(());
    }
    std::fs::write(path, format!("{snapshot:#}\n"))
        .map_err(|error| Failure::Usage(format!("write {path}: {error}")))?;
    let result = json!({"file": path, "version": snapshot["version"]});
    session.print_result(&result, |result| {
        output::print(&format!("version {} written to {path}", result["version"]));
    });
    Ok(())
}

fn restore(session: &Session, path: &str) -> Result<(), Failure> {
    let text = read_text(path)?;
    let state: FleetState = parse_json(path, &text)?;
    let check = state.document.validate();
    check.map_err(|problem| Failure::Usage(format!("{path}: {problem}")))?;
    let mut problems = Vec::new();
    let mut not_ready_failure = None;
    for (_, node) in session.client.nodes_by_preference() {
        let problem = match session
            .client
            .exchange(node, "PUT", "/v1/snapshot", Some(&text))
        {
            ExchangeResult::Answered(reply) if reply.status == 200 => {
                return print_restored(session, &state);
            }
            ExchangeResult::Answered(reply) if reply.status == 503 => {
                not_ready_failure = Some(reply.to_failure());
                continue;
            }
            ExchangeResult::Answered(reply) if reply.status < 500 => return Err(reply.to_failure()),
            ExchangeResult::Answered(reply) => reply.error_message(),
            ExchangeResult::NotSent(problem) => {
                problems.push(format!("{node}: {problem}"));
                continue;
            }
            ExchangeResult::Lost(problem) => problem,
        };
        let in_force = session.client.read("/v1/config").unwrap_or_default();
        if is_restored(&in_force, &state) {
            output::print_note("the response was lost; the restored state was read back");
            return print_restored(session, &state);
        }
        let message = format!("{problem}; the restored state is not in force yet");
        return Err(Failure::Unknown(message));
    }
    Err(not_ready_failure.unwrap_or_else(|| Failure::Unreachable(problems.join("; "))))
}

fn is_restored(in_force: &Value, state: &FleetState) -> bool {
    in_force["configured_version"] == state.configured_version
        && in_force["configured_author"] == state.configured_author
        && in_force["document"] == json!(state.document)
}

fn print_restored(session: &Session, state: &FleetState) -> Result<(), Failure> {
    let result = json!({"restored": true, "version": state.version});
    session.print_result(&result, |_| {
        output::print(&format!("state of version {} restored", state.version));
    });
    Ok(())
}
