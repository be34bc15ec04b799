//! `move`: moves a VM to another pool.

use serde_json::Value;
use serde_json::json;

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;
use crate::submit::ChangeObject;
use crate::submit::ChangeRequest;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "move",
    summary: "move a VM to another pool",
    help: "\
Usage: tanagerladder move VM POOL [--expected N] [--wait] [--wait-timeout TIME]

Starts the move. The VM receives no new work of its pool, finishes what it has and then joins the
other pool. The move is refused if the pool would fall below its floor.

  --expected N         version the move is based on; default: the version read first
  --wait               wait until the VM belongs to the other pool, and print progress
  --wait-timeout TIME  default 10m

Examples:
  tanagerladder move vm-17 case-files
  tanagerladder move vm-17 case-files --wait --wait-timeout 5m
",
    options: &["expected", "wait", "wait-timeout"],
    positional_count: 2..=2,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let (vm, pool) = (session.positional(0), session.positional(1));
    let current = session.read_vms_containing(vm)?;
    let version = session.submit(&ChangeRequest {
        method: "POST",
        path: format!("/v1/vms/{vm}/move"),
        body: json!({"to": pool}),
        document: None,
        expected_version: session.expected_version(&current),
        object: ChangeObject::Vm(vm.to_owned()),
    })?;
    if !session.options.wait {
        session.print_change(&format!("move of {vm} to {pool} started"), version);
        return Ok(());
    }
    let description = format!("the move of {vm} started at version {version}, but it");
    session.wait_for(&description, || {
        // The command keeps polling while no node responds.
        let Ok(reply) = session.client.read("/v1/vms") else {
            return Ok(Err("no node answers".to_owned()));
        };
        if reply["version"].as_u64().unwrap_or(0) < version {
            return Ok(Err("the node asked is behind".to_owned()));
        }
        let vms = reply["vms"].as_array().cloned().unwrap_or_default();
        let Some(record) = vms.iter().find(|record| record["vm"] == vm) else {
            let message = format!("{vm} was removed from the configuration");
            return Err(Failure::Refused(message));
        };
        check_progress(record, vm, pool)
    })?;
    session.print_change(
        &format!("{vm} belongs to {pool}; the move started"),
        version,
    );
    Ok(())
}

fn check_progress(record: &Value, vm: &str, pool: &str) -> Result<Result<(), String>, Failure> {
    if record["pool"] == pool {
        return Ok(Ok(()));
    }
    if record["activity"]["moving"]["to"] != pool {
        let state = output::format_activity(&record["activity"]);
        let message = format!("the move of {vm} was abandoned; the VM is {state}");
        return Err(Failure::Refused(message));
    }
    let health = output::format_cell(&record["health"]);
    Ok(Err(format!(
        "{vm} ({health}) leaves {} for {pool}",
        output::format_cell(&record["pool"])
    )))
}
