//! The node: caller face, endpoint client, peer link, dispatch and administration API.

pub mod admin;
