//! Home node of a pool, VM or task, chosen by rendezvous hashing over the live nodes.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the home of `name`, or `None` without nodes. The result depends only on the names, so
/// every process that knows the same nodes chooses the same home, and a node that joins or leaves
/// changes only the homes it gains or loses.
pub fn select_home<'a>(name: &str, nodes: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    nodes
        .into_iter()
        .max_by_key(|node| (home_score(name, node), *node))
}

/// Returns all nodes in order of preference, the home first.
pub fn rank_homes<'a>(name: &str, nodes: impl IntoIterator<Item = &'a str>) -> Vec<&'a str> {
    let mut order: Vec<&str> = nodes.into_iter().collect();
    order.sort_by_cached_key(|node| std::cmp::Reverse((home_score(name, node), *node)));
    order
}

fn home_score(name: &str, node: &str) -> u64 {
    let mut text = Vec::with_capacity(name.len() + node.len() + 1);
    text.extend_from_slice(name.as_bytes());
    // No name contains this byte, so different pairs give different hash inputs.
    text.push(0xff);
    text.extend_from_slice(node.as_bytes());
    xxh3_64(&text)
}
