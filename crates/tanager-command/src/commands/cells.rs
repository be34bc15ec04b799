//! `cells`: prints the cells of the job service with their owners.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "cells",
    summary: "print the cells of the job service with their owners",
    help: "\
Usage: tanagerladder cells

Prints each cell with its owner, fencing token and listed workers, as the node knows them. --node
is the operator's address of a node of the job service.

Examples:
  tanagerladder cells --node 10.1.0.9:7061
",
    options: &[],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let reply = session.client.read("/v1/cells")?;
    session.print_result(&reply, |reply| {
        let objects = reply["cells"].as_array().cloned().unwrap_or_default();
        output::print_objects(&["cell", "owner", "token", "workers"], &objects);
    });
    Ok(())
}
