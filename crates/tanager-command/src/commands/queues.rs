//! `queues`: prints the queues of the job service.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "queues",
    summary: "print the queues of the job service",
    help: "\
Usage: tanagerladder queues

Prints each queue with its pool, priority and number of waiting jobs. --node is the operator's
address of a node of the job service.

Examples:
  tanagerladder queues --node 10.1.0.9:7061
",
    options: &[],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let reply = session.client.read("/v1/queues")?;
    session.print_result(&reply, |reply| {
        let objects = reply["queues"].as_array().cloned().unwrap_or_default();
        output::print_objects(&["queue", "pool", "priority", "waiting"], &objects);
    });
    Ok(())
}
