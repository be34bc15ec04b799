//! The node: caller interface, endpoint client, peer link, dispatch and administration API.

pub mod admin;
pub mod caller;
pub mod claims;
pub mod dispatcher;
pub mod endpoint;
pub mod metrics;
pub mod node;
mod node_metrics;
pub mod peer;
pub mod router;
pub mod serving;
pub mod tickets;
