//! Link between nodes over tonic: forwarded requests, gossip and change log entries.

pub mod client;
pub mod convert;
pub mod server;

pub use client::ForwardFailure;
pub use client::PeerClient;
pub use server::PeerHandlers;
pub use server::PeerServer;

/// Room in a message for headers and the fields around the body, in bytes. hyper accepts at most
/// about 400 KiB of headers.
const MESSAGE_OVERHEAD: usize = 1 << 20;

/// Returns the largest message between nodes whose callers may send bodies of `max_body` bytes.
pub fn message_limit(max_body: usize) -> usize {
    max_body.saturating_add(MESSAGE_OVERHEAD)
}
