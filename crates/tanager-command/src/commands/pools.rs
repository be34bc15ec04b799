//! `pools`: prints the pools with their availability.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "pools",
    summary: "print the pools with their availability",
    help: "\
Usage: tanagerladder pools [--pool POOL]

  --pool POOL  only this pool

Examples:
  tanagerladder pools
  tanagerladder pools --pool spare --json
",
    options: &["pool"],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let reply = session.read_filtered_by_pool("/v1/pools", "pools")?;
    session.print_result(&reply, |reply| {
        let objects = reply["pools"].as_array().cloned().unwrap_or_default();
        let fields = [
            "pool",
            "owner",
            "floor",
            "vms",
            "available",
            "moving",
            "draining",
            "wave",
        ];
        output::print_objects(&fields, &objects);
    });
    Ok(())
}
