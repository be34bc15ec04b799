//! Peer protocol between nodes over tonic: forwarded requests, gossip and change log entries.

pub mod client;
pub mod convert;
pub mod server;

pub use client::ForwardFailure;
pub use client::PeerClient;
pub use server::PeerHandlers;
pub use server::PeerServer;

/// Size allowed for the headers and other fields of a message besides the body. hyper accepts at
/// most about 400 KiB of headers.
const MESSAGE_OVERHEAD_BYTES: usize = 1 << 20;

/// Returns the message size limit in bytes for request bodies of up to `max_body` bytes.
pub fn message_limit(max_body: usize) -> usize {
    max_body.saturating_add(MESSAGE_OVERHEAD_BYTES)
}
