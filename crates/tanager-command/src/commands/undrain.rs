//! `undrain`: returns a drained VM to service.

use serde_json::json;

use super::CommandSpec;
use crate::failure::Failure;
use crate::session::Session;
use crate::submit::ChangeObject;
use crate::submit::ChangeRequest;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "undrain",
    summary: "return a drained VM to service",
    help: "\
Usage: tanagerladder undrain VM [--expected N]

  --expected N  version the change is based on; default: the version read first

Examples:
  tanagerladder undrain vm-17
",
    options: &["expected"],
    positional_count: 1..=1,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let vm = session.positional(0);
    let current = session.read_vms_containing(vm)?;
    let version = session.submit(&ChangeRequest {
        method: "POST",
        path: format!("/v1/vms/{vm}/undrain"),
        body: json!({}),
        document: None,
        expected_version: session.expected_version(&current),
        object: ChangeObject::Vm(vm.to_owned()),
    })?;
    session.print_change(&format!("drain of {vm} ended"), version);
    Ok(())
}
