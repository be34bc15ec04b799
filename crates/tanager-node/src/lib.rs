//! The node of the request service: caller interface, endpoint client, peer protocol, dispatch and
//! administration API.

pub mod admin;
pub mod caller;
pub mod claims;
pub mod dispatcher;
pub mod endpoint;
pub mod metrics;
pub mod node;
mod node_metrics;
pub mod peer;
pub mod request_service;
pub mod router;
pub mod tickets;
