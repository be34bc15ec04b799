//! `submit-job`: submits a job.

use serde_json::Value;
use serde_json::json;

use super::CommandSpec;
use super::job::parse_id;
use crate::failure::Failure;
use crate::input::parse_json;
use crate::input::read_text;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "submit-job",
    summary: "hand a job in",
    help: "\
Usage: tanagerladder submit-job ID QUEUE FILE [--workspace NAME]

Hands the job in FILE (JSON, - for standard input) to a queue, named as in the output of `queues`.
ID has 16 hexadecimal digits. The same ID stays one job, so the command may be repeated after any
failure. --node is the operator's address of a node of the job service.

  --workspace NAME  workspace that the job belongs to; without it, the job belongs to none

Examples:
  tanagerladder submit-job 5c0e7a21d94b36f8 entry.example/check/ job.json --node 10.1.0.9:7061
",
    options: &["workspace"],
    positional_count: 3..=3,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let id = parse_id(session.positional(0))?;
    let file = session.positional(2);
    let job: Value = parse_json(file, &read_text(file)?)?;
    let mut body = json!({"queue": session.positional(1), "job": job});
    if let Some(workspace) = &session.options.workspace {
        body["workspace"] = json!(workspace);
    }
    let body = body.to_string();
    let path = format!("/v1/jobs/{id}");
    let reply = session.client.send_idempotent("POST", &path, Some(&body))?;
    session.print_result(&reply, |reply| {
        output::print_objects(&["job", "queue"], std::slice::from_ref(reply));
    });
    Ok(())
}
