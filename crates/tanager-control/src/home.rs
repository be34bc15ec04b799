//! Selection of the node that is responsible for an object.

use tanager_dispatch::home::select_home;

use tanager_protocol::ids::NodeId;

/// Returns the home of `name` among `nodes`, selected by the same function as for requests.
pub fn select_home_node<'node>(
    name: &str,
    nodes: impl IntoIterator<Item = &'node NodeId>,
) -> Option<&'node NodeId> {
    let nodes: Vec<&NodeId> = nodes.into_iter().collect();
    let home = select_home(name, nodes.iter().map(|node| node.as_str()))?;
    nodes.into_iter().find(|node| *node == home)
}
