//! Link between nodes over tonic: forwarded requests, gossip and change log entries.

pub mod client;
pub mod convert;
pub mod server;

pub use client::ForwardFailure;
pub use client::PeerClient;
pub use server::PeerHandlers;
pub use server::PeerServer;

/// Largest message: a body of 4 MiB, the headers of a request, and the fields around them. hyper
/// accepts at most about 400 KiB of headers.
pub const MAX_MESSAGE_BYTES: usize = 5 << 20;
