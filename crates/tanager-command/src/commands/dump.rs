//! `dump`: prints the state of a node.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "dump",
    summary: "print the state of a node as JSON",
    help: "\
Usage: tanagerladder dump

Prints the state of every service of the first node that answers.

Examples:
  tanagerladder dump --node 10.0.0.11:7003
",
    options: &[],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    output::print_json(&session.client.read("/dump")?);
    Ok(())
}
