//! `vms`: prints the VMs.

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "vms",
    summary: "print the VMs",
    help: "\
Usage: tanagerladder vms [--pool POOL]

  --pool POOL  only this pool

Examples:
  tanagerladder vms
  tanagerladder vms --pool case-files --json
",
    options: &["pool"],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let reply = session.read_filtered_by_pool("/v1/vms", "vms")?;
    session.print_result(&reply, |reply| {
        let mut objects = reply["vms"].as_array().cloned().unwrap_or_default();
        for object in &mut objects {
            object["activity"] = output::format_activity(&object["activity"]).into();
        }
        let fields = [
            "vm", "pool", "activity", "health", "zone", "rack", "address", "slots", "version",
        ];
        output::print_objects(&fields, &objects);
    });
    Ok(())
}
