//! `cancel-job`: cancels a job.

use super::CommandSpec;
use super::job::parse_id;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "cancel-job",
    summary: "cancel a job",
    help: "\
Usage: tanagerladder cancel-job ID

Cancels a job; what runs of it is stopped. ID has 16 hexadecimal digits. --node is the operator's
address of a node of the job service.

Examples:
  tanagerladder cancel-job 5c0e7a21d94b36f8 --node 10.1.0.9:7061
",
    options: &[],
    positional_count: 1..=1,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let id = parse_id(session.positional(0))?;
    let path = format!("/v1/jobs/{id}");
    let reply = session.client.send_idempotent("DELETE", &path, None)?;
    session.print_result(&reply, |reply| {
        output::print_objects(&["job", "cell"], std::slice::from_ref(reply));
    });
    Ok(())
}
