//! `workspaces`: prints the workspaces of the job service.

use serde_json::Value;
use serde_json::json;

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "workspaces",
    summary: "print the workspaces of the job service",
    help: "\
Usage: tanagerladder workspaces [--pool POOL]

Prints each workspace with its weight and cap and, for each pool, the limit that the pool's cells
hold, the resources in use, the waiting jobs and the submissions refused since the cells' owners
acquired them. Resources are CPU/MEMORY/GPU in thousandths of a core, megabytes and accelerators;
0 in a cap means no limit. A cell whose owner does not respond is named and not counted. --node is
the operator's address of a node of the job service.

  --pool POOL  only this pool

Examples:
  tanagerladder workspaces --node 10.1.0.9:7061
  tanagerladder workspaces --pool entry --node 10.1.0.9:7061
",
    options: &["pool"],
    positional_count: 0..=0,
    run,
};

const FIELDS: [&str; 8] = [
    "workspace",
    "weight",
    "cap",
    "pool",
    "limit",
    "running",
    "waiting",
    "refused",
];

fn run(session: &Session) -> Result<(), Failure> {
    let mut reply = session.client.read("/v1/workspaces")?;
    if let Some(pool) = &session.options.pool {
        for workspace in reply["workspaces"].as_array_mut().into_iter().flatten() {
            if let Some(pools) = workspace["pools"].as_array_mut() {
                pools.retain(|row| row["pool"] == pool.as_str());
            }
        }
    }
    session.print_result(&reply, |reply| {
        let workspaces = reply["workspaces"].as_array().into_iter().flatten();
        let rows: Vec<Value> = workspaces.flat_map(workspace_rows).collect();
        output::print_objects(&FIELDS, &rows);
        for cell in reply["missing_cells"].as_array().into_iter().flatten() {
            let cell = output::format_cell(cell);
            output::print_note(&format!("the owner of {cell} did not respond"));
        }
    });
    Ok(())
}

/// Returns a row for each pool in which the workspace has something, or one row without a pool.
fn workspace_rows(workspace: &Value) -> Vec<Value> {
    let row = |pool: &Value| {
        json!({
            "workspace": workspace["workspace"],
            "weight": workspace["weight"],
            "cap": format_amount(&workspace["cap"]),
            "pool": pool["pool"],
            "limit": format_amount(&pool["limit"]),
            "running": format_amount(&pool["running"]),
            "waiting": pool["waiting"],
            "refused": pool["refused"],
        })
    };
    match workspace["pools"]
        .as_array()
        .filter(|pools| !pools.is_empty())
    {
        Some(pools) => pools.iter().map(row).collect(),
        None => vec![row(&Value::Null)],
    }
}

/// Formats resources as `CPU/MEMORY/GPU`; empty if there are none.
fn format_amount(amount: &Value) -> String {
    if amount.is_null() {
        return String::new();
    }
    let parts = ["cpu", "memory_mb", "gpu"].map(|field| output::format_cell(&amount[field]));
    parts.join("/")
}
