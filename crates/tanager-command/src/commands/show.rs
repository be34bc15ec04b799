//! `show`: prints the configuration in force.

use serde_json::json;

use super::CommandSpec;
use crate::failure::Failure;
use crate::output;
use crate::session::Session;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "show",
    summary: "print the configuration in force",
    help: "\
Usage: tanagerladder show [--document | --nodes]

  --document  print only the document as JSON, in the form that apply reads
  --nodes     print the registered nodes, each with the version it runs as read from the node

Examples:
  tanagerladder show
  tanagerladder show --document > site.json
  tanagerladder show --nodes
",
    options: &["document", "nodes"],
    positional_count: 0..=0,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    if session.options.list_nodes {
        return print_nodes(session);
    }
    let config = session.client.read("/v1/config")?;
    if session.options.document {
        output::print_json(&config["document"]);
        return Ok(());
    }
    session.print_result(&config, |config| {
        let document = &config["document"];
        let count = |section: &str| {
            document[section]
                .as_object()
                .map_or(0, serde_json::Map::len)
        };
        let rows = vec![
            vec!["site".to_owned(), output::format_cell(&document["site"])],
            vec!["pools".to_owned(), count("pools").to_string()],
            vec!["vms".to_owned(), count("vms").to_string()],
            vec!["teams".to_owned(), count("teams").to_string()],
            vec!["version".to_owned(), config["version"].to_string()],
            vec![
                "configured at".to_owned(),
                config["configured_version"].to_string(),
            ],
            vec![
                "configured by".to_owned(),
                output::format_cell(&config["configured_author"]),
            ],
        ];
        output::print_table(&["item", "value"], &rows);
    });
    Ok(())
}

fn print_nodes(session: &Session) -> Result<(), Failure> {
    let list = session.client.read("/v1/nodes")?;
    let mut nodes = Vec::new();
    for (name, record) in list["nodes"].as_object().into_iter().flatten() {
        let (version, problem) = match session.read_node_version(record) {
            Ok(version) => (json!(version), json!(null)),
            Err(problem) => (json!(null), json!(problem)),
        };
        nodes.push(json!({
            "node": name,
            "zone": record["zone"],
            "admin_address": record["admin_address"],
            "version": version,
            "problem": problem,
        }));
    }
    let result = json!({"version": list["version"], "nodes": nodes});
    session.print_result(&result, |_| {
        let fields = ["node", "zone", "admin_address", "version", "problem"];
        output::print_objects(&fields, &nodes);
    });
    Ok(())
}
