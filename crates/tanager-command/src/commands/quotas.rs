//! `quotas`: prints the quotas of the teams.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "quotas",
    summary: "print the quotas of the teams",
    help: "\
Usage: tanagerladder quotas [--pool POOL]

  --pool POOL  only this pool

Examples:
  tanagerladder quotas
  tanagerladder quotas --pool case-files --json
",
    options: &["pool"],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let reply = session.read_filtered_by_pool("/v1/quotas", "quotas")?;
    session.print_result(&reply, |reply| {
        let objects = reply["quotas"].as_array().cloned().unwrap_or_default();
        let fields = ["pool", "team", "rate", "burst", "weight"];
        output::print_objects(&fields, &objects);
    });
    Ok(())
}
