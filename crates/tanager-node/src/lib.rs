//! The node: caller face, endpoint client, peer link, dispatch and administration API.

pub mod caller;
pub mod claims;
pub mod endpoint;
pub mod metrics;
pub mod peer;
pub mod router;
pub mod tickets;
