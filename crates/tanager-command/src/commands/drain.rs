//! `drain`: drains a VM.

use serde_json::json;

use super::CommandSpec;
use crate::failure::Failure;
use crate::session::Session;
use crate::submit::ChangeObject;
use crate::submit::ChangeRequest;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "drain",
    summary: "take a VM out of service",
    help: "\
Usage: tanagerladder drain VM [--reason TEXT] [--expected N]

The VM receives no new work and finishes what it has. The drain is refused if the pool would fall
below its floor.

  --reason TEXT  why, 1 to 200 bytes; default: drained by an operator
  --expected N   version the drain is based on; default: the version read first

Examples:
  tanagerladder drain vm-17 --reason 'disk errors'
",
    options: &["expected", "reason"],
    positional_count: 1..=1,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let vm = session.positional(0);
    let current = session.read_vms_containing(vm)?;
    let mut body = json!({});
    if let Some(reason) = &session.options.reason {
        body["reason"] = json!(reason);
    }
    let version = session.submit(&ChangeRequest {
        method: "POST",
        path: format!("/v1/vms/{vm}/drain"),
        body,
        document: None,
        expected_version: session.expected_version(&current),
        object: ChangeObject::Vm(vm.to_owned()),
    })?;
    session.print_change(&format!("drain of {vm} started"), version);
    Ok(())
}
