//! `job`: prints the state of a job.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "job",
    summary: "print the state of a job",
    help: "\
Usage: tanagerladder job ID

Prints the cell, the state and the workspace of a job, and what its tasks wait for where that is
known; ID has 16 hexadecimal digits. --node is the operator's address of a node of the job service.

Examples:
  tanagerladder job 5c0e7a21d94b36f8 --node 10.1.0.9:7061
",
    options: &[],
    positional_count: 1..=1,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let id = parse_id(session.positional(0))?;
    let reply = session.client.read(&format!("/v1/jobs/{id}"))?;
    session.print_result(&reply, |reply| {
        let fields = ["job", "cell", "state", "workspace", "waits_for"];
        output::print_objects(&fields, std::slice::from_ref(reply));
    });
    Ok(())
}

/// Checks the id of a job and converts it to lower case.
pub(super) fn parse_id(text: &str) -> Result<String, Failure> {
    let is_id = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_id {
        let message = format!("{text:?} is not an id of 16 hexadecimal digits");
        return Err(Failure::Usage(message));
    }
    Ok(text.to_ascii_lowercase())
}
