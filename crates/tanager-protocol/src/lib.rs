//! Shared types of tanagerladder: ids, configuration, change log entries, requests, outcomes,
//! errors and the generated peer protocol. Depends on no other crate of the project.

pub mod change;
pub mod config;
pub mod error;
pub mod fleet;
pub mod ids;
pub mod outcome;
pub mod patch;
pub mod request;
pub mod token_bucket;

/// Peer protocol between nodes, generated from `proto/peer.proto` by the `generate_protocol`
/// example of `tanager-standin`.
#[allow(
    missing_docs,
    unreachable_pub,
    clippy::all,
    clippy::pedantic,
    clippy::restriction,
    clippy::nursery
)]
#[rustfmt::skip]
#[path = "generated/tanager.peer.rs"]
pub mod peer;
