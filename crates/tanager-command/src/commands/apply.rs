//! `apply`: applies a configuration document.

use serde_json::json;

use tanager_protocol::config::ConfigDocument;

use super::CommandSpec;
use crate::failure::Failure;
use crate::input::read_document;
use crate::output;
use crate::session::Session;
use crate::submit::ChangeObject;
use crate::submit::ChangeRequest;

pub(super) const SPEC: CommandSpec = CommandSpec {
    name: "apply",
    summary: "put a configuration document in force",
    help: "\
Usage: tanagerladder apply FILE|- [--expected N] [--wait] [--wait-timeout TIME]

Validates the JSON document and puts it in force, unless another operator's configuration came
after the version it is based on. A document equal to the one in force is not applied again.

  --expected N         version the document is based on; default: the version read first
  --wait               wait until every registered node runs the configuration
  --wait-timeout TIME  default 10m

Examples:
  tanagerladder apply site.json --wait
  python3 library/python/examples/hallein.py | tanagerladder apply -
  tanagerladder apply site.json --expected 117
",
    options: &["expected", "wait", "wait-timeout"],
    positional_count: 1..=1,
    run,
};

fn run(session: &Session) -> Result<(), Failure> {
    let (text, document) = read_document(session.positional(0))?;
    let current = session.client.read("/v1/config")?;
    let current_document: Option<ConfigDocument> =
        serde_json::from_value(current["document"].clone()).ok();
    let configured_version = current["configured_version"].as_u64().unwrap_or(0);
    let unchanged = configured_version > 0 && current_document.as_ref() == Some(&document);
    let version = if unchanged && session.options.expected_version.is_none() {
        output::print_note("the document is already in force");
        configured_version
    } else {
        session.submit(&ChangeRequest {
            method: "PUT",
            path: "/v1/config".to_owned(),
            body: json!({}),
            document: Some(text),
            expected_version: session.expected_version(&current),
            object: ChangeObject::Document,
        })?
    };
    if session.options.wait {
        wait_for_nodes(session, version)?;
    }
    session.print_change("configuration in force", version);
    Ok(())
}

/// Waits until every registered node has applied a version.
fn wait_for_nodes(session: &Session, version: u64) -> Result<(), Failure> {
    let description =
        format!("the configuration is accepted at version {version}, but the rollout");
    session.wait_for(&description, || {
        let Ok(list) = session.client.read("/v1/nodes") else {
            return Ok(Err("no node answers".to_owned()));
        };
        // An outdated list may lack nodes that have joined since.
        if list["version"].as_u64().unwrap_or(0) < version {
            return Ok(Err("the node asked is behind".to_owned()));
        }
        let nodes = list["nodes"].as_object().cloned().unwrap_or_default();
        let mut behind = Vec::new();
        for (name, record) in &nodes {
            match session.read_node_version(record) {
                Ok(applied) if applied >= version => {}
                Ok(applied) => behind.push(format!("{name} (version {applied})")),
                Err(problem) => behind.push(format!("{name} ({problem})")),
            }
        }
        if behind.is_empty() {
            return Ok(Ok(()));
        }
        let applied_count = nodes.len() - behind.len();
        let node_count = nodes.len();
        Ok(Err(format!(
            "{applied_count} of {node_count} nodes run version {version}; waiting for {}",
            behind.join(", ")
        )))
    })
}
