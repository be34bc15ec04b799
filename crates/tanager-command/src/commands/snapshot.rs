//! `snapshot`: exports and restores the whole state.

use serde_json::Value;
use serde_json::json;

use tanager_protocol::fleet::FleetState;

use super::CommandSpec;
use crate::client::Exchange;
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
    values: 2..=2,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let path = session.value(1);
    match session.value(0) {
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
    session.show(&result, |result| {
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
    let mut unready = None;
    for (_, node) in session.client.order() {
        let lost = match session
            .client
            .exchange(node, "PUT", "/v1/snapshot", Some(&text))
        {
            Exchange::Answered(reply) if reply.status == 200 => return finish(session, &state),
            Exchange::Answered(reply) if reply.status == 503 => {
                unready = Some(reply.failure());
                continue;
            }
            Exchange::Answered(reply) if reply.status < 500 => return Err(reply.failure()),
            Exchange::Answered(reply) => reply.message(),
            Exchange::NotSent(problem) => {
                problems.push(format!("{node}: {problem}"));
                continue;
            }
            Exchange::Lost(problem) => problem,
        };
        let in_force = session.client.read("/v1/config").unwrap_or_default();
        if is_restored(&in_force, &state) {
            output::print_note("the answer was lost; the restored state was read back");
            return finish(session, &state);
        }
        let message = format!("{lost}; the restored state is not in force yet");
        return Err(Failure::Unknown(message));
    }
    Err(unready.unwrap_or_else(|| Failure::Unreachable(problems.join("; "))))
}

fn is_restored(in_force: &Value, state: &FleetState) -> bool {
    in_force["configured_version"] == state.configured_version
        && in_force["configured_author"] == state.configured_author
        && in_force["document"] == json!(state.document)
}

fn finish(session: &Session, state: &FleetState) -> Result<(), Failure> {
    let result = json!({"restored": true, "version": state.version});
    session.show(&result, |_| {
        output::print(&format!("state of version {} restored", state.version));
    });
    Ok(())
}
