//! Selection of the node that is responsible for an object.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use tanager_protocol::ids::NodeId;

/// Returns the rendezvous home of `name` among `nodes`: the node with the highest hash.
///
/// Nodes that agree on `nodes` agree on the home, and a change of `nodes` moves only the names of
/// the nodes that changed.
pub fn rendezvous_home<'node>(
    name: &str,
    nodes: impl IntoIterator<Item = &'node NodeId>,
) -> Option<&'node NodeId> {
    let weight = |node: &NodeId| xxh3_64_with_seed(name.as_bytes(), xxh3_64(node.as_bytes()));
    nodes.into_iter().max_by_key(|node| (weight(node), *node))
}
